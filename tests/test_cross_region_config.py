"""Configuration of cross-region traffic: the budgets read from a file, its problems, and reloads."""

from __future__ import annotations

import msgspec
import pytest
import structlog
import trio
from structlog.testing import capture_logs
from trio.testing import MockClock

from tests.edge_harness import running_edge
from valverouter.config.edge import edge_config
from valverouter.config.ini import IniFile, InvalidConfigError
from valverouter.interface import CrossRegionBudget

MS, SECOND = 10**6, 10**9


GOOD = """[edge]
name = e0
listen = 127.0.0.1:1
list_service = 127.0.0.1:2
region = a
[fleet]
edge_proxies = 3
[traffic plain]
objective = 1s
[region a]
edges = 2
[region b]
edges = 1
[crossing]
reserve = 10
[crossing plain]
legs = 10
urgent = yes
[crossing plain a b]
legs = 4
"""


def test_budgets_are_shared_by_the_fleet_or_by_a_region() -> None:
    crossing = edge_config(IniFile(GOOD, "e.ini")).crossing
    assert crossing is not None
    assert crossing.reserve is not None
    policy = crossing.policies["plain"]
    assert policy.urgent
    assert policy.budget == CrossRegionBudget(10, 10 * SECOND, 0, 3, 0)
    assert policy.pairs == {("a", "b"): CrossRegionBudget(4, 10 * SECOND, 0, 2, 0)}


@pytest.mark.parametrize(
    ("old", "new", "line", "message"),
    [
        ("region = a", "region = c", 5, "no [region c]"),
        ("region = a", "region = a\nregion_place = 2", 6, "less than the 2 edges"),
        ("[crossing plain a b]", "[crossing plain a c]", 19, "unknown region 'c'"),
        ("[crossing plain a b]", "[crossing plain a a]", 19, "the same region"),
        ("[crossing plain a b]", "[crossing plain a]", 19, "[crossing TYPE FROM TO]"),
        ("[crossing plain a b]", "[crossing fancy a b]", 19, "no [traffic fancy]"),
        ("reserve = 10", "reserve = 0", 15, "no reserve for it"),
        ("legs = 4", "legs = 4\nburst = 5", 21, "must be from 2 to the 4 legs"),
        ("legs = 4", "legs = 1", 19, "must be from 2"),
        ("legs = 4", "window = 1s", 19, "a section for a pair"),
        ("legs = 4", "legs = 4\nurgent = yes", 21, "not to one of its pairs"),
        ("legs = 10", "legs = 0", 17, "contradict"),
        ("reserve = 10", "reserve = 10\nclock_skew = 20s", 20, "skew"),
    ],
)
def test_problems_are_reported_with_line_and_reason(old: str, new: str, line: int, message: str) -> None:
    with pytest.raises(InvalidConfigError) as caught:
        edge_config(IniFile(GOOD.replace(old, new, 1), "e.ini"))
    assert any(problem.line == line and message in str(problem) for problem in caught.value.problems), (
        caught.value
    )


async def test_a_reload_changes_cross_region_budgets_and_reports_what_needs_a_restart(
    autojump_clock: MockClock,
) -> None:
    ini = GOOD.replace("127.0.0.1:1", "edge:1", 1).replace("127.0.0.1:2", "list:1")
    structlog.reset_defaults()
    with capture_logs() as logged:
        async with running_edge(ini=ini) as rig:
            more = edge_config(IniFile(ini.replace("legs = 10", "legs = 20"), "e.ini"))
            rig.edge.reload(more)
            await trio.sleep(0.1)
            assert rig.edge.cross_region is not None
            assert rig.edge.cross_region.config == more.crossing
            late = msgspec.structs.replace(more, answer_margin=1)
            rig.edge.reload(late)
            await trio.sleep(0.1)
    reloads = [entry for entry in logged if entry["event"] == "configuration-reloaded"]
    assert [entry["waits_for_a_start"] for entry in reloads] == [[], ["answer_margin"]]
