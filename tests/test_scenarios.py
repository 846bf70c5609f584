"""Whole scenarios: reproducible runs, the audit rules under every kind of fault, and injected faults."""

from __future__ import annotations

import dataclasses
import json
import logging
import subprocess
import sys
from collections.abc import Iterator
from pathlib import Path
from typing import Any

import msgspec
import pytest
import structlog
import trio

from valverouter.audit.account import account_by_type
from valverouter.audit.rules import audit
from valverouter.audit.verdict import Verdict
from valverouter.config.ini import IniFile
from valverouter.config.scenario import ScenarioConfig, load_scenario, scenario_config
from valverouter.config.scenario_sections import FAULT_KINDS, MEMBERSHIP_FAULT_KINDS, FaultConfig
from valverouter.edge.attempts import OUTCOMES, AttemptHandler
from valverouter.edge.caller_requests import CallerRequests
from valverouter.edge.server_links import ServerLinks
from valverouter.interface import Outcome
from valverouter.policy import tuning
from valverouter.scenarios.scenario_fakes import ScenarioFakes
from valverouter.scenarios.virtual import VirtualEdge, run_virtual
from valverouter.signalling import setup, traffic_record

MS, SECOND = 10**6, 10**9
BAD_DAY = Path(__file__).parent.parent / "deploy" / "days" / "bad-day.ini"


@pytest.fixture(autouse=True)
def silence_logs() -> Iterator[None]:
    structlog.configure(wrapper_class=structlog.make_filtering_bound_logger(logging.CRITICAL))
    yield
    structlog.reset_defaults()


def short_scenario(
    *faults: tuple[str, dict[str, Any]], length: int = 8, rate: float = 25, **fleet: Any
) -> ScenarioConfig:
    """Returns a short scenario with three edge proxies and three servers."""
    scenario = load_scenario(BAD_DAY)
    replace = msgspec.structs.replace
    return replace(
        scenario,
        run=replace(scenario.run, length=length * SECOND),
        callers=replace(scenario.callers, rate=rate),
        fleet=replace(scenario.fleet, **fleet),
        faults={kind: FaultConfig(kind=kind, **{"start": 2 * SECOND, **more}) for kind, more in faults},
    )


def test_bad_day_scenario_keeps_the_rules_and_is_reproducible() -> None:
    scenario = load_scenario(BAD_DAY)
    first, second = run_virtual(scenario), run_virtual(scenario)
    assert first == second
    verdict = audit(first)
    assert verdict.passed, verdict.violations[:5]
    assert all(verdict.check_counts.values()), f"a rule was never checked: {verdict.check_counts}"
    assert 0.2 < verdict.slow_start_budget_used < 1
    accounts = account_by_type(first)
    offered = sum(account.offered for account in accounts.values())
    assert offered > 1_000
    assert sum(account.within_objective for account in accounts.values()) > 0.7 * offered


def test_another_seed_gives_other_rows() -> None:
    scenario = short_scenario(length=2)
    other = msgspec.structs.replace(scenario, run=msgspec.structs.replace(scenario.run, seed=8))
    assert run_virtual(scenario) != run_virtual(other)


FAULT_SETTINGS: dict[str, dict[str, Any]] = {
    "burst": {"length": 3 * SECOND, "size": 3},
    "crash": {"length": 3 * SECOND, "part": 0.5},
    "deploy": {"length": 5 * SECOND, "part": 0.5, "extra": SECOND},
    "slow": {"length": 4 * SECOND, "size": 4, "part": 0.5},
    "ageing": {"length": 4 * SECOND, "size": 6, "part": 0.5},
    "hang": {"length": 3 * SECOND, "part": 0.5},
    "origin_slow": {"length": 4 * SECOND, "size": 200},
    "reconnect": {"size": 0.6},
    "hot_key": {"length": 4 * SECOND, "size": 0.4, "lines": 2},
    "give_up": {"length": 4 * SECOND, "size": 0.02},
    "answer_lost": {"length": 4 * SECOND, "size": 0.5, "part": 0.5},
    "balancer_crash": {"length": SECOND, "part": 0.6},
    "balancer_stall": {"length": 3 * SECOND, "part": 0.6},
    "peer_down": {"length": 3 * SECOND, "part": 0.5},
    "vanish": {"length": 5 * SECOND, "part": 0.5},
    "balancer_leave": {"length": SECOND, "part": 0.6},
    "balancer_late": {"start": 2 * SECOND, "on": ("e1",)},
}

# The kind of row that shows that the fault took effect.
EVIDENCE = {
    "crash": "lost",
    "hang": "cancel",
    "origin_slow": "no-agent",
    "reconnect": "ended cut",
    "hot_key": "line-busy",
    "give_up": "aborted",
    "answer_lost": "cancel",
    "balancer_crash": "lost",
    "peer_down": "lost",
    "vanish": "lost",
}


@pytest.mark.parametrize("kind", [*FAULT_KINDS, *MEMBERSHIP_FAULT_KINDS])
def test_each_fault_kind_keeps_the_rules(kind: str) -> None:
    rows = run_virtual(short_scenario((kind, FAULT_SETTINGS[kind])))
    verdict = audit(rows)
    assert verdict.passed, verdict.violations[:5]
    faults = [row for row in rows if isinstance(row, traffic_record.FaultRow) and row.kind == kind]
    kinds = {row.kind for row in rows if isinstance(row, traffic_record.MessageRow)}
    kinds |= {f"{row.kind} {row.detail}" for row in rows if isinstance(row, traffic_record.MessageRow)}
    kinds |= {"lost" for row in rows if isinstance(row, traffic_record.ConnectionLostRow)}
    assert faults, kinds
    assert kind not in EVIDENCE or EVIDENCE[kind] in kinds, kinds


def test_slow_start_during_a_burst_and_an_edge_proxy_restart() -> None:
    faults = (
        ("burst", {"start": SECOND, "length": 7 * SECOND, "size": 3}),
        ("crash", {"start": SECOND, "length": SECOND, "part": 0.5}),
        ("balancer_crash", {"start": 3 * SECOND, "length": 500 * MS, "part": 0.6}),
    )
    verdict = audit(run_virtual(short_scenario(*faults)))
    assert verdict.passed
    assert verdict.check_counts[4] > 20


# Injected faults: each breaks the edge proxy in one place, and the audit must report the violated rule.


def audit_scenario(scenario: ScenarioConfig, prepare: Any = None) -> Verdict:
    return audit(run_virtual(scenario, prepare))


def test_injected_second_leg_is_found(monkeypatch: pytest.MonkeyPatch) -> None:
    original = AttemptHandler.start

    def start_twice(self: AttemptHandler, dialog_id: str, action: Any) -> None:
        original(self, dialog_id, action)
        entry = self._entries[dialog_id]
        other = next(
            (link for link in self._links.values() if link is not entry.link and link.is_writable), None
        )
        if other is not None and dialog_id.endswith("7"):
            request = msgspec.structs.replace(entry.setup, leg=60)
            other.start_attempt((dialog_id, 60), request)

    monkeypatch.setattr(AttemptHandler, "start", start_twice)
    assert 2 in audit_scenario(short_scenario(length=3)).violated_rules()


def test_injected_late_answer_is_found(monkeypatch: pytest.MonkeyPatch) -> None:
    original = CallerRequests.accept

    def accept_with_more_time(
        self: CallerRequests, caller: Any, request: setup.Setup, received_at: int
    ) -> None:
        original(
            self, caller, msgspec.structs.replace(request, time_left=request.time_left + 51 * MS), received_at
        )

    monkeypatch.setattr(CallerRequests, "accept", accept_with_more_time)
    scenario = short_scenario(("hang", {"length": 60 * SECOND, "part": 1.0, "start": 0}), length=2)
    patient_callers = msgspec.structs.replace(scenario.callers, patience=1.0)
    assert audit_scenario(msgspec.structs.replace(scenario, callers=patient_callers)).violated_rules() == {1}


def test_injected_send_to_a_draining_server_is_found(monkeypatch: pytest.MonkeyPatch) -> None:
    original = ServerLinks.on_endpoint_update

    def ignore_phases(self: ServerLinks, update: Any) -> None:
        rows = [msgspec.structs.replace(row, phase="in-service") for row in update.rows]
        original(self, type(update)(update.kind, rows))

    monkeypatch.setattr(ServerLinks, "on_endpoint_update", ignore_phases)
    assert (
        3 in audit_scenario(short_scenario(("deploy", FAULT_SETTINGS["deploy"]), length=5)).violated_rules()
    )


@pytest.mark.parametrize(("reduction", "violated"), [(0, set()), (1 * MS, {5})])
def test_injected_release_delay_shorter_by_a_millisecond_is_found(reduction: int, violated: set[int]) -> None:
    def shorten_release_delay(fakes: ScenarioFakes, edges: list[VirtualEdge]) -> None:
        for edge in edges:
            assert edge.proxy is not None
            deployment = edge.proxy.context.driver.policy.deployment
            edge.proxy.context.driver.policy.deployment = _with(
                deployment, release_delay=deployment.release_delay - reduction
            )

    verdict = audit_scenario(
        short_scenario(("answer_lost", FAULT_SETTINGS["answer_lost"])), shorten_release_delay
    )
    assert verdict.check_counts[5] > 3
    assert verdict.violated_rules() == violated


def _with(deployment: Any, **more: Any) -> Any:
    return dataclasses.replace(deployment, **more)


@pytest.mark.parametrize(("factor", "violated"), [(1, set()), (2, {4})])
def test_injected_doubled_slow_start_budget_is_found(
    monkeypatch: pytest.MonkeyPatch, factor: int, violated: set[int]
) -> None:
    # Two of three servers restart under far more load than they can handle while warming up, and the load
    # that overloads them (tip_multiple) is below their capacity: only the slow-start budget limits the edge
    # proxies.
    monkeypatch.setattr(tuning, "SLOW_START_MARGIN", tuning.SLOW_START_MARGIN * factor)
    faults = (
        ("burst", {"start": 0, "length": 20 * SECOND, "size": 3}),
        ("crash", {"start": 4 * SECOND, "length": 500 * MS, "part": 0.6}),
    )
    verdict = audit_scenario(short_scenario(*faults, length=10, tip_multiple=0.8))
    assert verdict.violated_rules() == violated, verdict.slow_start_budget_used


def test_outcomes_are_all_mapped() -> None:
    assert set(OUTCOMES) == set(setup.SERVER_CLOSING_MESSAGES) | {setup.Established}
    assert len(set(OUTCOMES.values())) == len(OUTCOMES)
    assert Outcome.TIMED_OUT not in OUTCOMES.values()


# The command line, on loopback sockets with a process per edge proxy


SHORT = """
[day]
length = 2s
settle = 500ms
[fleet]
edge_proxies = 2
release_wait = 300ms
cold_share = 0.35
tip_multiple = 2.5
warm_after = 15s
[region one]
edges = 2
servers = 2
[servers]
setup_work = 10ms
[traffic plain]
objective = 1500ms
length = 1s
[mix plain]
share = 1
no_answer = 3s
[callers]
rate = 30
[trouble gone]
kind = crash
start = 500ms
length = 700ms
on = s1
[trouble killed]
kind = balancer_crash
start = 1s
length = 200ms
on = e1
"""


def valverouter(*words: str) -> subprocess.CompletedProcess[str]:
    return subprocess.run(
        [sys.executable, "-m", "valverouter.cli", *words],
        capture_output=True,
        text=True,
        timeout=60,
        check=False,
    )


def test_loopback_run_and_audit_of_its_stored_rows(tmp_path: Path) -> None:
    (tmp_path / "short.ini").write_text(SHORT)
    records, logs = tmp_path / "rows.jsonl", tmp_path / "logs"
    completed = valverouter(
        "day", str(tmp_path / "short.ini"), "--records", str(records), "--logs", str(logs)
    )
    assert completed.returncode == 0, completed.stdout + completed.stderr
    assert "service weighted by importance" in completed.stdout
    assert "BROKEN" not in completed.stdout
    rows = traffic_record.read_rows(records)
    assert sum(account.answers["stands"] for account in account_by_type(rows).values()) > 20
    starts = [
        line
        for line in (logs / "e1.log").read_text().splitlines()
        if json.loads(line)["event"] == "edge-listening"
    ]
    assert len(starts) == 2, "expected two starts: it was killed and restarted"
    assert json.loads((logs / "e0.log").read_text().splitlines()[-1])["event"] == "edge-stopped"
    assert valverouter("audit", str(records)).returncode == 0
    answer_row = next(
        row
        for row in rows
        if isinstance(row, traffic_record.MessageRow) and row.kind in ("stands", "declined") and not row.sent
    )
    traffic_record.write_rows(records, [row for row in rows if row is not answer_row])
    broken = valverouter("audit", str(records))
    assert broken.returncode == 1
    assert "BROKEN" in broken.stdout


@pytest.mark.parametrize(
    ("words", "code", "said"),
    [
        (("check", "{bad}"), 2, "bad.ini:3: [day] lenght: unknown key; did you mean length?"),
        (("check", "{good}"), 0, "sound"),
        (("day", "{bad}"), 2, "did you mean length?"),
        (("edge", "{good}"), 2, "[day]"),
        (("audit", "{good}"), 2, "good.ini:1"),
        (("audit", "none"), 2, "No such file"),
        (("dance",), 2, "No such command"),
        (("--version",), 0, "valverouter"),
        (("standin", "{good}", "--seconds", "0.2"), 0, "list service at 127.0.0.1:"),
    ],
)
def test_commands_and_their_exit_codes(words: tuple[str, ...], code: int, said: str, tmp_path: Path) -> None:
    (tmp_path / "good.ini").write_text(SHORT.lstrip())
    (tmp_path / "bad.ini").write_text(SHORT.replace("length = 2s", "lenght = 2s"))
    names = {"good": str(tmp_path / "good.ini"), "bad": str(tmp_path / "bad.ini")}
    completed = valverouter(*(word.format(**names) for word in words))
    shown = " ".join((completed.stdout + completed.stderr).split())
    assert (completed.returncode, said in shown) == (code, True), completed.stdout + completed.stderr
    assert "Traceback" not in shown


def test_edge_proxy_that_cannot_listen_exits_with_status_3(tmp_path: Path) -> None:
    ini = "[edge]\nname = e\nlisten = 192.0.2.1:1\nlist_service = 127.0.0.1:9\n[fleet]\nedge_proxies = 1\n"
    (tmp_path / "e.ini").write_text(ini + "[traffic plain]\nobjective = 1s\n")
    completed = valverouter("edge", str(tmp_path / "e.ini"))
    assert completed.returncode == 3
    assert "could-not-run" in completed.stderr
    assert "Traceback" not in completed.stderr


def test_short_scenario_in_virtual_time() -> None:
    assert audit(run_virtual(scenario_config(IniFile(SHORT, "short"), "short"))).passed


# Faults that the fake peers cause


def connections_drop(fakes: ScenarioFakes, edges: list[VirtualEdge]) -> None:
    """s0 closes its connection before sending every ninth answer, s1 after receiving every ninth set-up."""
    count = 0

    def drop_every_ninth(kind: type, sent: bool) -> Any:
        def drop(is_sent: bool, message: Any) -> bool:
            nonlocal count
            count += isinstance(message, kind)
            return is_sent is sent and isinstance(message, kind) and count % 9 == 0

        return drop

    fakes.servers["s0"].on_connection = lambda connection: setattr(
        connection, "drop_on", drop_every_ninth(setup.Established, True)
    )
    fakes.servers["s1"].on_connection = lambda connection: setattr(
        connection, "drop_on", drop_every_ninth(setup.Setup, False)
    )
    for connection in (*fakes.servers["s0"].connections, *fakes.servers["s1"].connections):
        connection.close()


def server_sends_slowly(fakes: ScenarioFakes, edges: list[VirtualEdge]) -> None:
    for connection in fakes.servers["s0"].connections:
        connection.byte_interval = 0.05


def server_stops_reading(fakes: ScenarioFakes, edges: list[VirtualEdge]) -> None:
    """s0 stops reading for three seconds; the messages that it reads afterwards were sent earlier."""
    fakes.recorder.record(traffic_record.FaultRow, until=fakes.now() + 4 * SECOND, kind="held", target="s0")
    for connection in fakes.servers["s0"].connections:
        connection.reading_allowed = trio.Event()
        fakes.scheduler.call_at(fakes.now() + 3 * SECOND, connection.reading_allowed.set)


def list_loses_updates(fakes: ScenarioFakes, edges: list[VirtualEdge]) -> None:
    fakes.endpoint_list.updates_to_drop = 2


def list_sends_conflicting_updates(fakes: ScenarioFakes, edges: list[VirtualEdge]) -> None:
    def update(number: int) -> None:
        phase: Any = "draining" if number % 2 else "in-service"
        fakes.announce(["s0"], phase)
        fakes.endpoint_list.announce_stale(1, [fakes.endpoint_row("s1", "gone")])  # an outdated update

    for number in range(6):
        fakes.scheduler.call_at(fakes.now() + (2 + number) * SECOND, lambda number=number: update(number))  # type: ignore[misc]


def list_service_restarts(fakes: ScenarioFakes, edges: list[VirtualEdge]) -> None:
    assert fakes.nursery is not None
    nursery = fakes.nursery
    fakes.scheduler.call_at(fakes.now() + 2 * SECOND, fakes.endpoint_list.stop_listening)
    fakes.scheduler.call_at(
        fakes.now() + 4 * SECOND, lambda: nursery.start_soon(fakes.endpoint_list.start_listening)
    )


@pytest.mark.parametrize(
    "fault",
    [
        connections_drop,
        server_sends_slowly,
        server_stops_reading,
        list_loses_updates,
        list_sends_conflicting_updates,
        list_service_restarts,
    ],
    ids=lambda fault: fault.__name__,
)
def test_peer_faults_keep_the_rules(fault: Any) -> None:
    scenario = short_scenario(("deploy", FAULT_SETTINGS["deploy"]))
    rows = run_virtual(scenario, fault)
    verdict = audit(rows)
    assert verdict.passed, verdict.violations[:5]
    served = sum(account.within_objective for account in account_by_type(rows).values())
    assert served > 0.4 * sum(account.offered for account in account_by_type(rows).values())
