"""Whole days: the same twice, every kind of trouble with the rules kept, and planted failures found."""

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
def quiet() -> Iterator[None]:
    structlog.configure(wrapper_class=structlog.make_filtering_bound_logger(logging.CRITICAL))
    yield
    structlog.reset_defaults()


def short_scenario(
    *troubles: tuple[str, dict[str, Any]], length: int = 8, rate: float = 25, **fleet: Any
) -> ScenarioConfig:
    """A short day on three edge proxies and three servers."""
    script = load_scenario(BAD_DAY)
    replace = msgspec.structs.replace
    return replace(
        script,
        run=replace(script.run, length=length * SECOND),
        callers=replace(script.callers, rate=rate),
        fleet=replace(script.fleet, **fleet),
        faults={kind: FaultConfig(kind=kind, **{"start": 2 * SECOND, **more}) for kind, more in troubles},
    )


def test_the_bad_day_keeps_the_rules_and_gives_the_same_rows_twice() -> None:
    script = load_scenario(BAD_DAY)
    once, again = run_virtual(script), run_virtual(script)
    assert once == again
    verdict = audit(once)
    assert verdict.passed, verdict.violations[:5]
    assert all(verdict.check_counts.values()), f"every rule was tried: {verdict.check_counts}"
    assert 0.2 < verdict.slow_start_budget_used < 1
    accounts = account_by_type(once)
    offered = sum(one.offered for one in accounts.values())
    assert offered > 1_000
    assert sum(one.within_objective for one in accounts.values()) > 0.7 * offered


def test_another_seed_is_another_day() -> None:
    script = short_scenario(length=2)
    other = msgspec.structs.replace(script, run=msgspec.structs.replace(script.run, seed=8))
    assert run_virtual(script) != run_virtual(other)


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

# What shows in the record that the trouble did strike.
SHOWS = {
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
def test_each_kind_of_trouble_with_the_rules_kept(kind: str) -> None:
    rows = run_virtual(short_scenario((kind, FAULT_SETTINGS[kind])))
    verdict = audit(rows)
    assert verdict.passed, verdict.violations[:5]
    struck = [row for row in rows if isinstance(row, traffic_record.FaultRow) and row.kind == kind]
    words = {row.kind for row in rows if isinstance(row, traffic_record.MessageRow)}
    words |= {f"{row.kind} {row.detail}" for row in rows if isinstance(row, traffic_record.MessageRow)}
    words |= {"lost" for row in rows if isinstance(row, traffic_record.ConnectionLostRow)}
    assert struck, words
    assert kind not in SHOWS or SHOWS[kind] in words, words


def test_a_cold_server_in_a_burst_and_an_edge_started_again() -> None:
    troubles = (
        ("burst", {"start": SECOND, "length": 7 * SECOND, "size": 3}),
        ("crash", {"start": SECOND, "length": SECOND, "part": 0.5}),
        ("balancer_crash", {"start": 3 * SECOND, "length": 500 * MS, "part": 0.6}),
    )
    verdict = audit(run_virtual(short_scenario(*troubles)))
    assert verdict.passed
    assert verdict.check_counts[4] > 20


# Planted failures: each breaks the edge in one place, and the audit must name the rule.


def verdict_of(script: ScenarioConfig, prepare: Any = None) -> Verdict:
    return audit(run_virtual(script, prepare))


def test_a_planted_second_leg_is_found(monkeypatch: pytest.MonkeyPatch) -> None:
    sound = AttemptHandler.start

    def twice(self: AttemptHandler, dialog_id: str, action: Any) -> None:
        sound(self, dialog_id, action)
        taken = self._entries[dialog_id]
        other = next(
            (link for link in self._links.values() if link is not taken.link and link.is_writable), None
        )
        if other is not None and dialog_id.endswith("7"):
            asked = msgspec.structs.replace(taken.setup, leg=60)
            other.start_attempt((dialog_id, 60), asked)

    monkeypatch.setattr(AttemptHandler, "start", twice)
    assert 2 in verdict_of(short_scenario(length=3)).violated_rules()


def test_a_planted_late_answer_is_found(monkeypatch: pytest.MonkeyPatch) -> None:
    sound = CallerRequests.accept

    def generous(self: CallerRequests, caller: Any, asked: setup.Setup, received_at: int) -> None:
        sound(self, caller, msgspec.structs.replace(asked, time_left=asked.time_left + 51 * MS), received_at)

    monkeypatch.setattr(CallerRequests, "accept", generous)
    script = short_scenario(("hang", {"length": 60 * SECOND, "part": 1.0, "start": 0}), length=2)
    patient = msgspec.structs.replace(script.callers, patience=1.0)
    assert verdict_of(msgspec.structs.replace(script, callers=patient)).violated_rules() == {1}


def test_a_planted_send_to_a_draining_server_is_found(monkeypatch: pytest.MonkeyPatch) -> None:
    sound = ServerLinks.on_endpoint_update

    def deaf(self: ServerLinks, update: Any) -> None:
        rows = [msgspec.structs.replace(row, phase="in-service") for row in update.rows]
        sound(self, type(update)(update.kind, rows))

    monkeypatch.setattr(ServerLinks, "on_endpoint_update", deaf)
    assert 3 in verdict_of(short_scenario(("deploy", FAULT_SETTINGS["deploy"]), length=5)).violated_rules()


@pytest.mark.parametrize(("cut", "broken"), [(0, set()), (1 * MS, {5})])
def test_a_planted_release_time_cut_by_a_millisecond_is_found(cut: int, broken: set[int]) -> None:
    def hasty(fakes: ScenarioFakes, edges: list[VirtualEdge]) -> None:
        for edge in edges:
            assert edge.proxy is not None
            terms = edge.proxy.context.driver.policy.deployment
            edge.proxy.context.driver.policy.deployment = _with(
                terms, release_delay=terms.release_delay - cut
            )

    verdict = verdict_of(short_scenario(("answer_lost", FAULT_SETTINGS["answer_lost"])), hasty)
    assert verdict.check_counts[5] > 3
    assert verdict.violated_rules() == broken


def _with(terms: Any, **more: Any) -> Any:
    return dataclasses.replace(terms, **more)


@pytest.mark.parametrize(("times", "broken"), [(1, set()), (2, {4})])
def test_a_planted_doubled_cold_budget_is_found(
    monkeypatch: pytest.MonkeyPatch, times: int, broken: set[int]
) -> None:
    # Two of three servers come back cold under far more than they can take, and what tips them is under
    # what they can do: nothing but the budget itself holds the edge proxies back.
    monkeypatch.setattr(tuning, "SLOW_START_MARGIN", tuning.SLOW_START_MARGIN * times)
    troubles = (
        ("burst", {"start": 0, "length": 20 * SECOND, "size": 3}),
        ("crash", {"start": 4 * SECOND, "length": 500 * MS, "part": 0.6}),
    )
    verdict = verdict_of(short_scenario(*troubles, length=10, tip_multiple=0.8))
    assert verdict.violated_rules() == broken, verdict.slow_start_budget_used


def test_outcomes_are_all_mapped() -> None:
    assert set(OUTCOMES) == set(setup.SERVER_CLOSING_MESSAGES) | {setup.Established}
    assert len(set(OUTCOMES.values())) == len(OUTCOMES)
    assert Outcome.TIMED_OUT not in OUTCOMES.values()


# The command line, on loopback sockets with a process for each edge proxy


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


def test_a_day_on_loopback_and_its_kept_record(tmp_path: Path) -> None:
    (tmp_path / "short.ini").write_text(SHORT)
    records, logs = tmp_path / "rows.jsonl", tmp_path / "logs"
    ran = valverouter("day", str(tmp_path / "short.ini"), "--records", str(records), "--logs", str(logs))
    assert ran.returncode == 0, ran.stdout + ran.stderr
    assert "service weighted by importance" in ran.stdout
    assert "BROKEN" not in ran.stdout
    rows = traffic_record.read_rows(records)
    assert sum(one.answers["stands"] for one in account_by_type(rows).values()) > 20
    starts = [
        line
        for line in (logs / "e1.log").read_text().splitlines()
        if json.loads(line)["event"] == "edge-listening"
    ]
    assert len(starts) == 2, "killed and started again"
    assert json.loads((logs / "e0.log").read_text().splitlines()[-1])["event"] == "edge-stopped"
    assert valverouter("audit", str(records)).returncode == 0
    cut = next(
        row
        for row in rows
        if isinstance(row, traffic_record.MessageRow) and row.kind in ("stands", "declined") and not row.sent
    )
    traffic_record.write_rows(records, [row for row in rows if row is not cut])
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
    ran = valverouter(*(word.format(**names) for word in words))
    shown = " ".join((ran.stdout + ran.stderr).split())
    assert (ran.returncode, said in shown) == (code, True), ran.stdout + ran.stderr
    assert "Traceback" not in shown


def test_an_edge_that_can_not_listen_says_so(tmp_path: Path) -> None:
    ini = "[edge]\nname = e\nlisten = 192.0.2.1:1\nlist_service = 127.0.0.1:9\n[fleet]\nedge_proxies = 1\n"
    (tmp_path / "e.ini").write_text(ini + "[traffic plain]\nobjective = 1s\n")
    ran = valverouter("edge", str(tmp_path / "e.ini"))
    assert ran.returncode == 3
    assert "could-not-run" in ran.stderr
    assert "Traceback" not in ran.stderr


def test_the_short_day_runs_in_virtual_time_too() -> None:
    assert audit(run_virtual(scenario_config(IniFile(SHORT, "short"), "short"))).passed


# Faults that the fakes cause


def drops_lines(fakes: ScenarioFakes, edges: list[VirtualEdge]) -> None:
    """s0 cuts its line under every ninth answer, s1 under every ninth set-up that it hears."""
    count = 0

    def ninth(kind: type, sent: bool) -> Any:
        def drop(way: bool, message: Any) -> bool:
            nonlocal count
            count += isinstance(message, kind)
            return way is sent and isinstance(message, kind) and count % 9 == 0

        return drop

    fakes.servers["s0"].on_connection = lambda wire: setattr(wire, "drop_on", ninth(setup.Established, True))
    fakes.servers["s1"].on_connection = lambda wire: setattr(wire, "drop_on", ninth(setup.Setup, False))
    for wire in (*fakes.servers["s0"].connections, *fakes.servers["s1"].connections):
        wire.close()


def trickles(fakes: ScenarioFakes, edges: list[VirtualEdge]) -> None:
    for wire in fakes.servers["s0"].connections:
        wire.byte_interval = 0.05


def stops_reading(fakes: ScenarioFakes, edges: list[VirtualEdge]) -> None:
    """s0 reads nothing for two seconds; what it reads late had left long before."""
    fakes.recorder.record(traffic_record.FaultRow, until=fakes.now() + 4 * SECOND, kind="held", target="s0")
    for wire in fakes.servers["s0"].connections:
        wire.reading_allowed = trio.Event()
        fakes.scheduler.call_at(fakes.now() + 3 * SECOND, wire.reading_allowed.set)


def list_loses_words(fakes: ScenarioFakes, edges: list[VirtualEdge]) -> None:
    fakes.endpoint_list.updates_to_drop = 2


def list_contradicts_itself(fakes: ScenarioFakes, edges: list[VirtualEdge]) -> None:
    def again(number: int) -> None:
        phase: Any = "draining" if number % 2 else "in-service"
        fakes.announce(["s0"], phase)
        fakes.endpoint_list.announce_stale(1, [fakes.endpoint_row("s1", "gone")])  # an old word, come late

    for number in range(6):
        fakes.scheduler.call_at(fakes.now() + (2 + number) * SECOND, lambda number=number: again(number))  # type: ignore[misc]


def list_goes_down(fakes: ScenarioFakes, edges: list[VirtualEdge]) -> None:
    assert fakes.nursery is not None
    nursery = fakes.nursery
    fakes.scheduler.call_at(fakes.now() + 2 * SECOND, fakes.endpoint_list.stop_listening)
    fakes.scheduler.call_at(
        fakes.now() + 4 * SECOND, lambda: nursery.start_soon(fakes.endpoint_list.start_listening)
    )


@pytest.mark.parametrize(
    "fault",
    [drops_lines, trickles, stops_reading, list_loses_words, list_contradicts_itself, list_goes_down],
    ids=lambda fault: fault.__name__,
)
def test_faults_on_request_with_the_rules_kept(fault: Any) -> None:
    script = short_scenario(("deploy", FAULT_SETTINGS["deploy"]))
    rows = run_virtual(script, fault)
    verdict = audit(rows)
    assert verdict.passed, verdict.violations[:5]
    served = sum(one.within_objective for one in account_by_type(rows).values())
    assert served > 0.4 * sum(one.offered for one in account_by_type(rows).values())
