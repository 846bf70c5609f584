"""Scenarios with servers in several regions keep the budgets, the audit rules and local service levels."""

from __future__ import annotations

from collections.abc import Iterator
from pathlib import Path
from typing import Any

import msgspec
import pytest
import structlog

from tests.test_scenarios import valverouter
from valverouter.audit.account import account_by_type
from valverouter.audit.cross_region import count_by_route, cross_region_setups, max_in_window
from valverouter.audit.rules import audit
from valverouter.config.ini import IniFile
from valverouter.config.scenario import ScenarioConfig, load_scenario, scenario_config
from valverouter.regions.usage import merge_totals
from valverouter.scenarios.planning import plan_scenario
from valverouter.scenarios.scenario_fakes import ScenarioFakes
from valverouter.scenarios.virtual import VirtualEdge, run_virtual
from valverouter.signalling import traffic_record

MS, SECOND = 10**6, 10**9
SCENARIOS_DIR = Path(__file__).parent.parent / "deploy" / "days"


@pytest.fixture(autouse=True)
def quiet() -> Iterator[None]:
    import logging

    structlog.configure(wrapper_class=structlog.make_filtering_bound_logger(logging.CRITICAL))
    yield
    structlog.reset_defaults()


def four_regions(**changes: Any) -> ScenarioConfig:
    return load_scenario(SCENARIOS_DIR / "four-regions.ini")


def reported_attempts(edges: list[VirtualEdge]) -> dict[tuple[str, str, str], int]:
    """Returns the edge proxies' own counts of cross-region attempts, without those lost with a connection."""
    reported = [
        edge.proxy.cross_region.usage.to_rows(edge.config.name, 0, 0)
        for edge in edges
        if edge.proxy is not None and edge.proxy.cross_region is not None
    ]
    return {line: total.attempts for line, total in merge_totals(reported).items() if total.attempts}


def run(scenario: ScenarioConfig) -> tuple[list[Any], dict[tuple[str, str, str], int]]:
    started_edges: list[VirtualEdge] = []

    def prepare(fakes: ScenarioFakes, edges: list[VirtualEdge]) -> None:
        started_edges.extend(edges)

    rows = run_virtual(scenario, prepare)
    return rows, reported_attempts(started_edges)


def test_a_region_that_loses_lines_spills_over_within_its_budget() -> None:
    scenario = four_regions()
    rows, reported = run(scenario)
    setups = cross_region_setups(rows)
    assert audit(rows).passed
    routine = [one.at for one in setups if one.traffic_type == "booking"]
    assert len(routine) > 20
    assert max_in_window(routine, 2 * SECOND) <= 24
    assert reported == dict(count_by_route(setups)), "accounts equal the servers' counts"
    accounts = account_by_type(rows)
    assert accounts["urgent-referral"].service_level > 0.95
    assert plan_scenario(scenario, rows, {"sofia": 40**-0.5}).served_fraction <= 1


def test_without_regions_configured_there_is_no_limiter() -> None:
    text = (SCENARIOS_DIR / "four-regions.ini").read_text()
    text = text[: text.index("[crossing]")]
    scenario = scenario_config(IniFile(text, "plain"), "plain")
    started_edges: list[VirtualEdge] = []
    run_virtual(
        msgspec.structs.replace(scenario, run=msgspec.structs.replace(scenario.run, length=SECOND)),
        lambda fakes, edges: started_edges.extend(edges),
    )
    assert all(edge.proxy is not None and edge.proxy.cross_region is None for edge in started_edges)


FAULTS = {
    "two at once": "[trouble two]\nkind = origin_slow\nstart = 4s\nlength = 5s\nsize = 40\non = plovdiv\n",
    "a deploy beside it": "[trouble roll]\nkind = deploy\nstart = 3s\nlength = 6s\nextra = 1s\non = s3, s5\n",
    "a routine burst before": "[trouble rush]\nkind = burst\nstart = 2s\nlength = 3s\nsize = 2.5\n",
    "starts": "[trouble back]\nkind = balancer_crash\nstart = 5s\nlength = 500ms\npart = 0.7\n",
}


@pytest.mark.parametrize("name", FAULTS)
def test_simultaneous_faults_stay_within_the_budget_and_the_rules(name: str) -> None:
    text = (SCENARIOS_DIR / "four-regions.ini").read_text() + FAULTS[name]
    rows = run_virtual(scenario_config(IniFile(text, name), name))
    assert audit(rows).passed
    for home in ("sofia", "plovdiv", "varna", "burgas"):
        times = [
            one.at
            for one in cross_region_setups(rows)
            if one.traffic_type == "booking" and one.home_region == home
        ]
        assert max_in_window(times, 2 * SECOND) <= 24
    assert account_by_type(rows)["urgent-referral"].service_level > 0.8


def test_spillover_on_loopback_agrees_with_the_report(tmp_path: Path) -> None:
    text = (
        (SCENARIOS_DIR / "four-regions.ini")
        .read_text()
        .replace("length = 12s", "length = 5s\nsettle = 700ms")
    )
    text = text.replace("start = 3s\nlength = 6s", "start = 500ms\nlength = 4s")
    (tmp_path / "day.ini").write_text(text)
    records, logs = tmp_path / "rows.jsonl", tmp_path / "logs"
    completed = valverouter("day", str(tmp_path / "day.ini"), "--records", str(records), "--logs", str(logs))
    assert completed.returncode == 0, completed.stdout + completed.stderr
    setups = cross_region_setups(traffic_record.read_rows(records))
    routine = [one.at for one in setups if one.traffic_type == "booking"]
    assert routine
    assert max_in_window(routine, 2 * SECOND) <= 24
    files = [str(path) for path in sorted(logs.glob("*.accounts"))]
    report = valverouter("regions", "report", "--json", "--edges", "7", *files)
    reported = msgspec.json.decode(report.stdout)
    assert {tuple(one["line"]): one["legs"] for one in reported["lines"] if one["legs"]} == dict(
        count_by_route(setups)
    )
    assert reported["missing"] == ["1 of 7 edge proxies left no record"]
    assert "What crossed" in valverouter("regions", "report", *files).stdout
    assert "can be had" in valverouter("regions", "plan", str(tmp_path / "day.ini"), str(records)).stdout


def test_callers_of_other_regions_keep_their_service_level_and_gates_stay_stable() -> None:
    started_edges: list[VirtualEdge] = []
    rows = run_virtual(four_regions(), lambda fakes, edges: started_edges.extend(edges))
    own = [
        row for row in rows if not isinstance(row, traffic_record.MessageRow) or row.edge not in ("e0", "e1")
    ]
    others = account_by_type(own)
    assert sum(one.within_objective for one in others.values()) > 0.97 * sum(
        one.offered for one in others.values()
    )
    limiters = [
        edge.proxy.cross_region
        for edge in started_edges
        if edge.proxy is not None and edge.proxy.cross_region is not None
    ]
    assert [limiter.gate.openings for limiter in limiters[2:]] == [0] * 4, "a gate opens only on evidence"
    assert all(1 <= limiter.gate.openings <= 2 for limiter in limiters[:2])
    assert all(len(limiter._charged) == limiter.established_count for limiter in limiters), (
        "only circuits in use are charged"
    )
