"""Each rule's check is tested by a record that keeps the rule, and one that breaks it by the least."""

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
    """Rows from (time, type, fields), with their limits before and the end of a connection long after."""
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
    ("answered at the last moment", set(), [sent_setup(0), caller_message(9 * SECOND, "declined")]),
    ("answered 1 ns late", {1}, [sent_setup(0), caller_message(9 * SECOND + 1, "declined")]),
    ("never answered", {1}, [sent_setup(0)]),
    (
        "its connection lost first",
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
        "a word after the answer",
        {1},
        [sent_setup(0), caller_message(5, "declined"), caller_message(6, "provisional")],
    ),
    ("stands and ends", set(), [sent_setup(0), caller_message(5, "stands"), caller_message(6, "ended")]),
    (
        "ends twice",
        {1},
        [sent_setup(0), caller_message(5, "stands"), caller_message(6, "ended"), caller_message(7, "ended")],
    ),
    (
        "back for it, and answered",
        set(),
        [*ACCEPTED, RESUME, caller_message(7, "provisional"), caller_message(8, "declined")],
    ),
    ("back for it, and never answered", {1}, [*ACCEPTED, RESUME]),
    (
        "back for it, and answered 1 ns late",
        {1},
        [*ACCEPTED, RESUME, caller_message(9 * SECOND + 1, "declined")],
    ),
    (
        "back for it, and answered twice",
        {1},
        [*ACCEPTED, RESUME, caller_message(7, "declined"), caller_message(8, "declined")],
    ),
    ("told as taken, then unknown", {1}, [*ACCEPTED, RESUME, caller_message(7, "unknown")]),
    (
        "never told as taken, then unknown",
        set(),
        [ACCEPTED[0], ACCEPTED[2], RESUME, caller_message(7, "unknown")],
    ),
    (
        "told again that it stands",
        set(),
        [*ESTABLISHED, RESUME, caller_message(7, "stands"), caller_message(8, "ended")],
    ),
    ("told again without having asked", {1}, [*ESTABLISHED, caller_message(7, "stands")]),
    ("stood, and another answer", {1}, [*ESTABLISHED, RESUME, caller_message(7, "declined")]),
    ("stood, and a provisional", {1}, [*ESTABLISHED, RESUME, caller_message(7, "provisional")]),
    ("stood, and unknown", set(), [*ESTABLISHED, RESUME, caller_message(7, "unknown")]),
    (
        "stood, unknown, and a word after",
        {1},
        [*ESTABLISHED, RESUME, caller_message(7, "unknown"), caller_message(8, "ended")],
    ),
    ("held through its time", set(), [sent_setup(0), fault(8 * SECOND, 10 * SECOND, "balancer_stall")]),
    (
        "held, and answered late",
        {1},
        [
            sent_setup(0),
            fault(SECOND, 10 * SECOND, "balancer_stall"),
            caller_message(11 * SECOND, "declined"),
        ],
    ),
    ("held before its time alone", {1}, [sent_setup(0), fault(SECOND, 8 * SECOND, "balancer_stall")]),
    (
        "one leg after another",
        set(),
        [*ATTEMPT, server_message(20, "full", sent=True), server_message(20, "setup", "s1", 1)],
    ),
    (
        "two legs out",
        {2},
        [*ATTEMPT, server_message(20, "setup", "s1", 1), server_message(21, "full", sent=True)],
    ),
    (
        "a second while one stands",
        {2},
        [*ATTEMPT, server_message(20, "stands", sent=True), server_message(30, "setup", "s1", 1)],
    ),
    (
        "released 300 ms",
        set(),
        [*ATTEMPT, server_message(20, "cancel"), server_message(20 + RELEASE_DELAY, "setup", "s1", 1)],
    ),
    (
        "released 300 ms less 1 ns",
        {5},
        [*ATTEMPT, server_message(20, "cancel"), server_message(19 + RELEASE_DELAY, "setup", "s1", 1)],
    ),
    (
        "reset 300 ms",
        set(),
        [
            *ATTEMPT,
            (20, ConnectionLostRow, {"edge": "e0", "peer": "s0"}),
            server_message(20 + RELEASE_DELAY, "setup", "s1", 1),
        ],
    ),
    (
        "reset 300 ms less 1 ns",
        {5},
        [
            *ATTEMPT,
            (20, ConnectionLostRow, {"edge": "e0", "peer": "s0"}),
            server_message(19 + RELEASE_DELAY, "setup", "s1", 1),
        ],
    ),
    (
        "another edge's link lost",
        {2},
        [
            *ATTEMPT,
            (20, ConnectionLostRow, {"edge": "e1", "peer": "s0"}),
            server_message(9 * SECOND, "setup", "s1", 1),
        ],
    ),
    ("at the moment of the word", set(), [endpoint_update(10, "draining"), server_message(10, "setup")]),
    ("1 ns after the word", {3}, [endpoint_update(9, "draining"), server_message(10, "setup")]),
    (
        "after it came back",
        set(),
        [endpoint_update(8, "gone"), endpoint_update(9, "in-service"), server_message(10, "setup")],
    ),
    (
        "after a new start of the edge",
        set(),
        [endpoint_update(8, "gone"), fault(9, 9, "balancer_crash"), server_message(10, "setup")],
    ),
    (
        "another edge's start",
        {3},
        [endpoint_update(8, "gone"), fault(9, 9, "balancer_crash", "e1"), server_message(10, "setup")],
    ),
    (
        "cold, under its budget",
        set(),
        [
            server_started(0),
            *(server_message(n + 1, "setup", dialog=f"d{n}", edge=f"e{n}") for n in range(9)),
        ],
    ),
    (
        "cold, one more",
        {4},
        [
            server_started(0),
            *(server_message(n + 1, "setup", dialog=f"d{n}", edge=f"e{n}") for n in range(10)),
        ],
    ),
    (
        "warm, far more",
        set(),
        [server_started(0), *(server_message(10 * SECOND + n, "setup", dialog=f"d{n}") for n in range(99))],
    ),
    (
        "cold, just out of the window",
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


def test_the_slack_between_clocks_is_granted_and_no_more() -> None:
    rows = [*ATTEMPT, server_message(20, "cancel"), server_message(20 + RELEASE_DELAY - 5, "setup", "s1", 1)]
    assert audit(record(*rows, slack=5)).passed
    assert not audit(record(*rows, slack=4)).passed


def test_what_a_held_server_reads_late_is_not_held_against_the_edge() -> None:
    late = [endpoint_update(9, "draining"), server_message(100, "setup")]
    assert not audit(record(*late)).passed
    assert audit(record(fault(0, 200, "held", "s0"), *late)).passed


def test_a_record_without_limits_is_rejected() -> None:
    with pytest.raises(ValueError, match="no terms"):
        audit([])


def test_records_are_written_and_read_again(tmp_path: Path) -> None:
    rows = record(*CASES[0][2], server_started(5), endpoint_update(6, "gone"), fault(1, 2, "slow"))
    traffic_record.write_rows(tmp_path / "rows", rows)
    assert traffic_record.read_rows(tmp_path / "rows") == rows
    (tmp_path / "rows").write_bytes((tmp_path / "rows").read_bytes() + b'{"row":"passed"}\n')
    with pytest.raises(ValueError, match=f"rows:{len(rows) + 1}: "):
        traffic_record.read_rows(tmp_path / "rows")


def test_redials_count_with_their_first_call() -> None:
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


def test_an_established_dialog_counts_once_however_often_it_is_told_and_a_redial_anew() -> None:
    lost = (5, ConnectionLostRow, {"edge": "e0", "peer": "c0"})
    back = [caller_message(2 * SECOND, "resume", sent=True), caller_message(3 * SECOND, "stands")]
    account = account_by_type(record(sent_setup(0), caller_message(4, "stands"), lost, *back))["p"]
    assert (account.within_objective, account.late, account.answers["stands"]) == (1, 0, 1)
    # Its edge proxy died without a word: no `ended` tells of the cut, the try that stood in its place does.
    again = [sent_setup(2 * SECOND, "d.2"), caller_message(3 * SECOND, "stands", "d.2")]
    account = account_by_type(record(sent_setup(0), caller_message(4, "stands"), lost, *again))["p"]
    assert (account.within_objective, account.late, account.answers["stands"]) == (0, 1, 2)
