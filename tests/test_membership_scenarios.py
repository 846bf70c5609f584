"""Scenarios of faults between edge proxies: in virtual time, as real processes and on the emulator."""

from __future__ import annotations

from pathlib import Path
from typing import Any

import msgspec
import pytest
from click.testing import CliRunner

from tests.membership_service_harness import SCENARIO_FILE, SECOND
from valverouter.audit.rules import audit
from valverouter.audit.views import check_views
from valverouter.cli.__main__ import main
from valverouter.config.ini import IniFile
from valverouter.config.scenario import ScenarioConfig, load_scenario, scenario_config
from valverouter.scenarios.loopback import run_loopback
from valverouter.scenarios.memory_network import MemoryRuntime
from valverouter.scenarios.scenario_fakes import ScenarioFakes
from valverouter.scenarios.virtual import VirtualEdge, run_virtual
from valverouter.signalling.traffic_record import CallersStartedRow, MembershipEventRow, MessageRow


def modified_scenario(text: str = "", **run_settings: Any) -> ScenarioConfig:
    scenario = scenario_config(IniFile(SCENARIO_FILE.read_text() + text, "d.ini"), "d")
    return msgspec.structs.replace(scenario, run=msgspec.structs.replace(scenario.run, **run_settings))


def test_faults_in_virtual_time() -> None:
    rows = run_virtual(load_scenario(SCENARIO_FILE))
    views = check_views(rows)
    assert views is not None, views
    assert views.passed, views
    assert not views.false_failures
    assert audit(rows).passed
    assert {row.kind for row in rows if isinstance(row, MembershipEventRow)} >= {
        "joined",
        "suspect",
        "gone",
        "refuted",
        "cut-off",
    }
    assert [repr(row) for row in run_virtual(load_scenario(SCENARIO_FILE))] == [repr(row) for row in rows]


def test_faults_between_real_processes(tmp_path: Path) -> None:
    """Runs six edge proxy processes for 22 s: datagram loss, delay and duplication, a partitioned region, a
    one-way partition, a kill, a stall and a late join."""
    rows = run_loopback(load_scenario(SCENARIO_FILE), tmp_path)
    views = check_views(rows)
    assert views is not None, views
    assert views.passed, views
    assert audit(rows).passed
    kinds = {row.kind for row in rows if isinstance(row, MembershipEventRow)}
    assert kinds >= {"joined", "suspect", "gone", "refuted", "restarted", "stalled", "settled"}


@pytest.mark.parametrize("members", ["6", "60"])
def test_same_scenario_on_the_emulator(members: str) -> None:
    result = CliRunner().invoke(main, ["fleet", "emulate", str(SCENARIO_FILE), "--members", members])
    assert result.exit_code == 0
    assert f"{members} members" in result.output
    assert "one view" in result.output
    if members == "6":
        assert CliRunner().invoke(main, ["fleet", "emulate", str(SCENARIO_FILE)]).output == result.output


def test_membership_changes_no_message_to_callers_or_servers() -> None:
    """Delays have no jitter here: the order of simultaneous messages depends on the order of tasks."""
    scenario = modified_scenario(length=6 * SECOND)
    scenario = msgspec.structs.replace(
        scenario, faults={}, delays=msgspec.structs.replace(scenario.delays, jitter=0.0)
    )
    without = msgspec.structs.replace(scenario, between=None, paths={})

    def messages(variant: ScenarioConfig) -> list[tuple[Any, ...]]:
        rows = run_virtual(variant)
        (started_at,) = [row.at for row in rows if isinstance(row, CallersStartedRow)]
        # With membership, the run continues after that for the maximum convergence time.
        until = started_at + variant.run.length
        before_end = [row for row in rows if isinstance(row, MessageRow) and row.at < until]
        return sorted(
            (row.at, row.edge, row.peer, row.sent, row.kind, row.dialog, row.leg, row.duration)
            for row in before_end
        )

    with_membership = messages(scenario)
    assert len(with_membership) > 1_500
    assert with_membership == messages(without)


def test_without_gossip_section_no_datagram_socket_is_opened(monkeypatch: pytest.MonkeyPatch) -> None:
    def refused(*args: Any) -> Any:
        raise AssertionError("a datagram socket was opened")

    monkeypatch.setattr(MemoryRuntime, "bind_datagrams", refused)
    scenario = msgspec.structs.replace(
        modified_scenario(length=3 * SECOND), between=None, paths={}, faults={}
    )
    assert audit(run_virtual(scenario)).passed


def test_restart_with_wall_clock_set_back_an_hour() -> None:
    scenario = modified_scenario(
        "\n[trouble back]\nkind = balancer_crash\nstart = 9s\nlength = 1s\non = e4\n"
    )

    def prepare(fakes: ScenarioFakes, edges: list[VirtualEdge]) -> None:
        edges[4].wall_clock_setback = 3_600 * SECOND

    rows = run_virtual(scenario, prepare)
    views = check_views(rows)
    assert views is not None, views
    assert views.passed, views


def test_graceful_shutdown_is_reported_as_left_and_never_as_gone() -> None:
    fault = "\n[trouble back]\nkind = balancer_leave\nstart = 3s\nlength = 3s\non = e4\n"
    scenario = msgspec.structs.replace(modified_scenario(fault), paths={})
    scenario = msgspec.structs.replace(scenario, faults={"back": scenario.faults["back"]})
    rows = run_virtual(scenario)
    views = check_views(rows)
    assert views is not None
    assert views.passed
    kinds = {row.kind for row in rows if isinstance(row, MembershipEventRow) and row.member == "e4"}
    assert "left" in kinds
    assert "gone" not in kinds
