"""Tests the check of each rule with records that just keep the rule, and records that just violate it."""

from __future__ import annotations

from pathlib import Path
from typing import Any

import pytest

from valverouter.audit.account import account_by_type, weighted_service_level
from valverouter.audit.rules import audit
from valverouter.signalling import traffic_record
from valverouter.signalling.traffic_record import (
    AuditConfigRow,
    ConnectionLostRow,
    EndpointUpdateRow,
    FaultRow,
    MessageRow,
    Row,
    ServerStartedRow,
)

MS, SECOND = 10**6, 10**9
RELEASE_DELAY = 300 * MS


def record(*rows: Any, slack: int = 0) -> list[Row]:
    """Returns rows from (time, type, fields), between the audit's limits and a late end of a connection."""
    limits = [
        (
            0,
            AuditConfigRow,
            {
                "release_wait": RELEASE_DELAY,
                "slack": slack,
                "latency_objectives": {"p": SECOND},
                "priority_weights": {"p": 2.0},
            },
        )
    ]
    end = [(1_000 * SECOND, ConnectionLostRow, {"edge": "-", "peer": "-"})]
    specs = enumerate([*limits, *rows, *end])
    return [row_type(seq=seq, at=at, **fields) for seq, (at, row_type, fields) in specs]


def caller_message(at: int, kind: str, dialog: str = "d", sent: bool = False, **more: Any) -> Any:
    return at, MessageRow, {"edge": "e0", "peer": "c0", "sent": sent, "kind": kind, "dialog": dialog, **more}


def sent_setup(at: int, dialog: str = "d", duration: int = 9 * SECOND) -> Any:
    return caller_message(at, "setup", dialog, sent=True, duration=duration, detail="p")


def server_message(
    at: int,
    kind: str,
    peer: str = "s0",
    leg: int = 0,
    sent: bool = False,
    dialog: str = "d",
    edge: str = "e0",
) -> Any:
    return (
        at,
        MessageRow,
        {"edge": edge, "peer": peer, "sent": sent, "kind": kind, "dialog": dialog, "leg": leg},
    )


def endpoint_update(at: int, phase: str, name: str = "s0") -> Any:
    return at, EndpointUpdateRow, {"edge": "e0", "server": name, "phase": phase}


def server_started(at: int, name: str = "s0") -> Any:
    profile = {
        "setup_work": 100 * MS,
        "slow_start_fraction": 0.5,
        "slow_start_duration": 10 * SECOND,
        "overload_multiple": 2.0,
        "overload_window": SECOND,
    }
    return at, ServerStartedRow, {"server": name, **profile}


def fault(at: int, until: int, kind: str, target: str = "e0") -> Any:
    return at, FaultRow, {"until": until, "kind": kind, "target": target}


ATTEMPT = [server_message(10, "setup")]
ACCEPTED = [
    sent_setup(0),
    caller_message(1, "provisional"),
    (5, ConnectionLostRow, {"edge": "e0", "peer": "c0"}),
]
RESUME = caller_message(6, "resume", sent=True)
ESTABLISHED = [
    sent_setup(0),
    caller_message(1, "provisional"),
    caller_message(2, "stands"),
    (5, ConnectionLostRow, {"edge": "e0", "peer": "c0"}),
]
CASES: list[tuple[str, set[int], list[Any]]] = [
    ("answered at the deadline", set(), [sent_setup(0), caller_message(9 * SECOND, "declined")]),
    ("answered 1 ns late", {1}, [sent_setup(0), caller_message(9 * SECOND + 1, "declined")]),
    ("never answered", {1}, [sent_setup(0)]),
    (
        "connection lost before the deadline",
        set(),
        [sent_setup(0), (5, ConnectionLostRow, {"edge": "e0", "peer": "c0"})],
    ),
    ("answered twice", {1}, [sent_setup(0), caller_message(5, "aborted"), caller_message(6, "aborted")]),
    (
        "two answers of different kinds",
        {1},
        [sent_setup(0), caller_message(5, "declined"), caller_message(6, "stands")],
    ),
    (
        "provisional after the final answer",
        {1},
        [sent_setup(0), caller_message(5, "declined"), caller_message(6, "provisional")],
    ),
    (
        "established, then ended",
        set(),
        [sent_setup(0), caller_message(5, "stands"), caller_message(6, "ended")],
    ),
    (
        "ended twice",
        {1},
        [sent_setup(0), caller_message(5, "stands"), caller_message(6, "ended"), caller_message(7, "ended")],
    ),
    (
        "resumed, then answered",
        set(),
        [*ACCEPTED, RESUME, caller_message(7, "provisional"), caller_message(8, "declined")],
    ),
    ("resumed, never answered", {1}, [*ACCEPTED, RESUME]),
    ("resumed, answered 1 ns late", {1}, [*ACCEPTED, RESUME, caller_message(9 * SECOND + 1, "declined")]),
    (
        "resumed, answered twice",
        {1},
        [*ACCEPTED, RESUME, caller_message(7, "declined"), caller_message(8, "declined")],
    ),
    ("accepted, then unknown", {1}, [*ACCEPTED, RESUME, caller_message(7, "unknown")]),
    ("not accepted, then unknown", set(), [ACCEPTED[0], ACCEPTED[2], RESUME, caller_message(7, "unknown")]),
    (
        "established, resumed, and the answer repeated",
        set(),
        [*ESTABLISHED, RESUME, caller_message(7, "stands"), caller_message(8, "ended")],
    ),
    (
        "established, and the answer repeated without a resume",
        {1},
        [*ESTABLISHED, caller_message(7, "stands")],
    ),
    ("established, resumed, then another answer", {1}, [*ESTABLISHED, RESUME, caller_message(7, "declined")]),
    ("established, resumed, then provisional", {1}, [*ESTABLISHED, RESUME, caller_message(7, "provisional")]),
    ("established, resumed, then unknown", set(), [*ESTABLISHED, RESUME, caller_message(7, "unknown")]),
    (
        "established, resumed, unknown, then ended",
        {1},
        [*ESTABLISHED, RESUME, caller_message(7, "unknown"), caller_message(8, "ended")],
    ),
    (
        "edge proxy stalled at the deadline",
        set(),
        [sent_setup(0), fault(8 * SECOND, 10 * SECOND, "balancer_stall")],
    ),
    (
        "edge proxy stalled, answered late",
        {1},
        [
            sent_setup(0),
            fault(SECOND, 10 * SECOND, "balancer_stall"),
            caller_message(11 * SECOND, "declined"),
        ],
    ),
    (
        "edge proxy stalled only before the deadline",
        {1},
        [sent_setup(0), fault(SECOND, 8 * SECOND, "balancer_stall")],
    ),
    (
        "one attempt after another",
        set(),
        [*ATTEMPT, server_message(20, "full", sent=True), server_message(20, "setup", "s1", 1)],
    ),
    (
        "two attempts in flight",
        {2},
        [*ATTEMPT, server_message(20, "setup", "s1", 1), server_message(21, "full", sent=True)],
    ),
    (
        "a second attempt while one is established",
        {2},
        [*ATTEMPT, server_message(20, "stands", sent=True), server_message(30, "setup", "s1", 1)],
    ),
    (
        "retried 300 ms after a cancel",
        set(),
        [*ATTEMPT, server_message(20, "cancel"), server_message(20 + RELEASE_DELAY, "setup", "s1", 1)],
    ),
    (
        "retried 300 ms less 1 ns after a cancel",
        {5},
        [*ATTEMPT, server_message(20, "cancel"), server_message(19 + RELEASE_DELAY, "setup", "s1", 1)],
    ),
    (
        "retried 300 ms after a lost connection",
        set(),
        [
            *ATTEMPT,
            (20, ConnectionLostRow, {"edge": "e0", "peer": "s0"}),
            server_message(20 + RELEASE_DELAY, "setup", "s1", 1),
        ],
    ),
    (
        "retried 300 ms less 1 ns after a lost connection",
        {5},
        [
            *ATTEMPT,
            (20, ConnectionLostRow, {"edge": "e0", "peer": "s0"}),
            server_message(19 + RELEASE_DELAY, "setup", "s1", 1),
        ],
    ),
    (
        "connection of another edge proxy lost",
        {2},
        [
            *ATTEMPT,
            (20, ConnectionLostRow, {"edge": "e1", "peer": "s0"}),
            server_message(9 * SECOND, "setup", "s1", 1),
        ],
    ),
    (
        "set-up at the time of the update",
        set(),
        [endpoint_update(10, "draining"), server_message(10, "setup")],
    ),
    ("set-up 1 ns after the update", {3}, [endpoint_update(9, "draining"), server_message(10, "setup")]),
    (
        "set-up after the server is in service again",
        set(),
        [endpoint_update(8, "gone"), endpoint_update(9, "in-service"), server_message(10, "setup")],
    ),
    (
        "set-up after the edge proxy restarted",
        set(),
        [endpoint_update(8, "gone"), fault(9, 9, "balancer_crash"), server_message(10, "setup")],
    ),
    (
        "set-up after another edge proxy restarted",
        {3},
        [endpoint_update(8, "gone"), fault(9, 9, "balancer_crash", "e1"), server_message(10, "setup")],
    ),
    (
        "slow start, under the overload limit",
        set(),
        [
            server_started(0),
            *(server_message(n + 1, "setup", dialog=f"d{n}", edge=f"e{n}") for n in range(9)),
        ],
    ),
    (
        "slow start, one more set-up",
        {4},
        [
            server_started(0),
            *(server_message(n + 1, "setup", dialog=f"d{n}", edge=f"e{n}") for n in range(10)),
        ],
    ),
    (
        "after slow start, far more set-ups",
        set(),
        [server_started(0), *(server_message(10 * SECOND + n, "setup", dialog=f"d{n}") for n in range(99))],
    ),
    (
        "slow start, one set-up just outside the window",
        set(),
        [
            server_started(0),
            *(server_message(n + 1, "setup", dialog=f"d{n}") for n in range(9)),
            server_message(SECOND + 1, "setup", dialog="d9"),
        ],
    ),
]


@pytest.mark.parametrize(("name", "violated", "rows"), CASES, ids=[name for name, _, _ in CASES])
def test_rules(name: str, violated: set[int], rows: list[Any]) -> None:
    assert audit(record(*rows)).violated_rules() == violated


def test_the_slack_between_clocks_is_exact() -> None:
    rows = [*ATTEMPT, server_message(20, "cancel"), server_message(20 + RELEASE_DELAY - 5, "setup", "s1", 1)]
    assert audit(record(*rows, slack=5)).passed
    assert not audit(record(*rows, slack=4)).passed


def test_a_set_up_that_a_stopped_server_receives_late_is_no_violation() -> None:
    late = [endpoint_update(9, "draining"), server_message(100, "setup")]
    assert not audit(record(*late)).passed
    assert audit(record(fault(0, 200, "held", "s0"), *late)).passed


def test_a_record_without_limits_is_rejected() -> None:
    with pytest.raises(ValueError, match="no terms row"):
        audit([])


def test_written_records_are_read_unchanged(tmp_path: Path) -> None:
    rows = record(*CASES[0][2], server_started(5), endpoint_update(6, "gone"), fault(1, 2, "slow"))
    traffic_record.write_rows(tmp_path / "rows", rows)
    assert traffic_record.read_rows(tmp_path / "rows") == rows
    (tmp_path / "rows").write_bytes((tmp_path / "rows").read_bytes() + b'{"row":"passed"}\n')
    with pytest.raises(ValueError, match=f"rows:{len(rows) + 1}: "):
        traffic_record.read_rows(tmp_path / "rows")


def test_a_call_and_its_redials_count_once() -> None:
    rows = record(
        *[
            sent_setup(0, "a"),
            caller_message(5, "declined", "a"),
            sent_setup(SECOND // 2, "a.2"),
            caller_message(SECOND, "stands", "a.2"),
        ],
        *[sent_setup(0, "b"), caller_message(SECOND + 1, "stands", "b")],
        *[
            sent_setup(0, "c"),
            caller_message(5, "stands", "c"),
            caller_message(6, "ended", "c", detail="cut"),
        ],
        *[
            sent_setup(0, "f"),
            caller_message(5, "stands", "f"),
            caller_message(6, "ended", "f", detail="cut"),
        ],
        *[sent_setup(7 * SECOND, "f.2"), caller_message(8 * SECOND, "stands", "f.2")],
    )
    account = account_by_type(rows)["p"]
    assert (account.offered, account.dial_attempts, account.within_objective, account.late) == (4, 6, 2, 1)
    assert account.answers == {"declined": 1, "stands": 5, "cut": 2}
    assert weighted_service_level(account_by_type(rows), {"p": 2.0}) == 0.5


def test_an_established_dialog_counts_once_and_a_redial_after_a_cut_again() -> None:
    lost = (5, ConnectionLostRow, {"edge": "e0", "peer": "c0"})
    back = [caller_message(2 * SECOND, "resume", sent=True), caller_message(3 * SECOND, "stands")]
    account = account_by_type(record(sent_setup(0), caller_message(4, "stands"), lost, *back))["p"]
    assert (account.within_objective, account.late, account.answers["stands"]) == (1, 0, 1)
    # The edge proxy crashed without sending `ended`: only the established redial shows the cut.
    again = [sent_setup(2 * SECOND, "d.2"), caller_message(3 * SECOND, "stands", "d.2")]
    account = account_by_type(record(sent_setup(0), caller_message(4, "stands"), lost, *again))["p"]
    assert (account.within_objective, account.late, account.answers["stands"]) == (0, 1, 2)
