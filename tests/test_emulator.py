"""The emulator: closed forms, the same rows every time, sources apart, and agreement with the edge proxy."""

from __future__ import annotations

import math
from pathlib import Path
from typing import Any

import msgspec
import pytest
import trio
from trio.testing import MockClock

from tests.edge_harness import dial, running_edge
from valverouter.audit.account import account_by_type, weighted_service_level
from valverouter.audit.attempts import attempt_statistics
from valverouter.audit.rules import audit
from valverouter.config.ini import IniFile
from valverouter.config.scenario import ScenarioConfig, load_scenario, scenario_config
from valverouter.emulator.fleet import Fleet
from valverouter.emulator.simulate import simulate_day
from valverouter.emulator.simulation import EPOCH, RandomStream, Simulation
from valverouter.experiments.scenario_page import render_scenario_page
from valverouter.scenarios.emulated import edge_plans, run_emulated
from valverouter.scenarios.virtual import run_virtual
from valverouter.servermodel.arrivals import ArrivalPattern, ArrivalProcess, draw_repetitions
from valverouter.servermodel.events import ServerEventKind
from valverouter.servermodel.profile import ServerProfile
from valverouter.servermodel.server import SetupServer
from valverouter.signalling import setup
from valverouter.signalling.traffic_record import MessageRow

MS, SECOND = 10**6, 10**9
DAYS = Path(__file__).parent.parent / "deploy" / "days"


# Closed forms: a server of the model under Poisson arrivals


def served(
    profile: ServerProfile, rate: float, length: float, arrivals: int, seed: int
) -> tuple[list[int], float, float]:
    """The waits that arrivals find, the share that finds the processor busy, the share without a line."""
    sim, chance, lengths = Simulation(), RandomStream(seed, "arrivals"), RandomStream(seed, "lengths")
    model = SetupServer(profile, RandomStream(seed, "server").random)
    source, waits, busy, lost = ArrivalProcess(ArrivalPattern(), chance.exponential, EPOCH), list[int](), 0, 0
    now = EPOCH
    for at in range(arrivals):
        now = source.next_arrival(now, rate)
        lost += sum(happening.kind is ServerEventKind.NO_AGENT for happening in model.advance(now))
        waits.append(model.queue_delay(now))
        busy += waits[-1] > 0
        model.setup(now, ("p", str(at), 0), at, int(lengths.exponential() * length * SECOND))
    assert sim.now() == EPOCH
    return waits, busy / arrivals, lost / arrivals


def bounds(values: list[float]) -> tuple[float, float]:
    """Mean and bound over runs that owe each other nothing: 99.9% of Student's t with 11 degrees."""
    mean = sum(values) / len(values)
    spread = math.sqrt(sum((value - mean) ** 2 for value in values) / (len(values) - 1))
    return mean, 4.44 * spread / math.sqrt(len(values))


FREE: dict[str, Any] = {"answer_work": 0, "release_work": 0, "max_queue_delay": 1 << 60, "lines": 10**9}


@pytest.mark.parametrize(("spread", "name"), [(0.0, "M/D/1"), (1.0, "M/M/1")])
@pytest.mark.parametrize("rho", [0.5, 0.8])
def test_waits_at_the_processor_are_those_of_the_closed_form(spread: float, name: str, rho: float) -> None:
    profile = ServerProfile(setup_work=10 * MS, random_work_fraction=spread, **FREE)
    runs = [served(profile, rho * 100, 0, 4_000, seed) for seed in range(12)]
    mean, error = bounds([sum(waits) / len(waits) for waits, _, _ in runs])
    # Pollaczek and Khinchine: rho s (1 + c^2) / 2 (1 - rho), c^2 0 for fixed work and 1 for exponential.
    expected = rho * 10 * MS * (1 + spread) / (2 * (1 - rho))
    assert abs(mean - expected) <= error, name
    assert error < 0.35 * expected, "the bound says something"
    waiting, error = bounds([busy for _, busy, _ in runs])
    assert abs(waiting - rho) <= max(error, 0.01), "Erlang C of one server is its load"


@pytest.mark.parametrize(("lines", "load"), [(8, 6.0), (20, 20.0), (3, 1.0)])
def test_losses_for_want_of_a_line_are_erlang_b(lines: int, load: float) -> None:
    profile = ServerProfile(setup_work=1, answer_work=0, release_work=0, max_queue_delay=1 << 60, lines=lines)
    runs = [served(profile, load, 1.0, 4_000, seed) for seed in range(12)]
    mean, error = bounds([lost for _, _, lost in runs])
    blocked = 1.0
    for at in range(1, lines + 1):
        blocked = load * blocked / (at + load * blocked)
    assert abs(mean - blocked) <= error
    assert error < 0.25 * blocked


# Arrivals


def gaps(pattern: ArrivalPattern, rate: float, count: int) -> list[int]:
    chance, now, found = RandomStream(3, "arrivals"), EPOCH, list[int]()
    source = ArrivalProcess(pattern, chance.exponential, now)
    for _ in range(count):
        after = source.next_arrival(now, rate)
        found.append(after - now)
        now = after
    return found


def test_arrivals_keep_their_mean_rate_and_on_off_ones_come_in_bursts() -> None:
    even, bursts = (
        gaps(ArrivalPattern(), 50, 20_000),
        gaps(ArrivalPattern(SECOND // 2, SECOND // 2), 50, 20_000),
    )
    variation = []
    for found in (even, bursts):
        mean = sum(found) / len(found)
        assert mean == pytest.approx(20 * MS, rel=0.06)
        variation.append(sum((gap - mean) ** 2 for gap in found) / len(found) / mean**2)
    assert variation[0] == pytest.approx(1, abs=0.1)
    assert variation[1] > 3


def test_the_rate_drifts_to_its_factor_at_the_end() -> None:
    pattern = ArrivalPattern(drift=3.0, drift_duration=10 * SECOND)
    assert [pattern.rate(10, at * SECOND) for at in (0, 5, 10, 20)] == [10, 20, 30, 30]


@pytest.mark.parametrize(("times", "least", "most"), [(0.25, 0, 1), (1.0, 1, 1), (2.5, 2, 3)])
def test_a_recorded_call_is_repeated_so_often_on_average(times: float, least: int, most: int) -> None:
    chance = RandomStream(5, "copies")
    found = [draw_repetitions(times, chance.random) for _ in range(4_000)]
    assert (min(found), max(found)) == (least, most)
    assert sum(found) / len(found) == pytest.approx(times, rel=0.08)


# Days


def short(name: str) -> ScenarioConfig:
    text = (DAYS / name).read_text().replace("length = 30s", "length = 8s")
    return scenario_config(IniFile(text, name), name)


STALLED_THEN_KILLED = """
[trouble stop]
kind = balancer_stall
start = 1s
length = 2s
on = e0

[trouble kill]
kind = balancer_crash
start = 2s
length = 500ms
on = e0
"""


def test_an_edge_proxy_killed_while_it_is_stalled_serves_after_its_restart() -> None:
    """The new process went on deferring all events: the end of a stall was told to its own process alone.

    Of a day of 8 s, e0's callers had no answer from the stall's beginning on.
    """
    text = (DAYS / "bad-day.ini").read_text().replace("length = 30s", "length = 8s")
    text = text[: text.index("[trouble")] + STALLED_THEN_KILLED
    rows = run_emulated(scenario_config(IniFile(text, "stalled"), "stalled")).rows
    answers = [
        (row.at - rows[0].at) / SECOND
        for row in rows
        if isinstance(row, MessageRow) and row.edge == "e0" and row.kind == "stands" and not row.sent
    ]
    # The callers start 1 s after the record does.
    assert sum(at < 2 for at in answers) > 5
    assert sum(at > 4.5 for at in answers) > 20


def test_the_same_day_gives_the_same_rows_and_another_seed_others() -> None:
    played = short("bad-day.ini")
    first, second = run_emulated(played).rows, run_emulated(played).rows
    assert first == second
    assert len(first) > 1_000
    other = msgspec.structs.replace(played, run=msgspec.structs.replace(played.run, seed=8))
    assert run_emulated(other).rows != first


def test_the_draws_of_one_source_do_not_change_those_of_another() -> None:
    # Twice the servers' reports draw twice as much; the callers dial at the same moments all the same.
    played = short("bad-day.ini")
    often = msgspec.structs.replace(
        played, servers=msgspec.structs.replace(played.servers, report_every=250 * MS)
    )
    dialled_at = [
        [row.at for row in run_emulated(emulated_day).rows if isinstance(row, MessageRow) and first_try(row)]
        for emulated_day in (played, often)
    ]
    assert dialled_at[0] == dialled_at[1]


def first_try(row: MessageRow) -> bool:
    return row.sent and row.kind == "setup" and "." not in row.dialog


EVERY = """
[trouble a]
kind = {kind}
start = 1s
length = 3s
part = 0.5
extra = 1s
size = {size}
"""
SIZES = {"slow": 4, "ageing": 6, "burst": 2, "origin_slow": 4, "reconnect": 0.5, "hot_key": 0.6}
SIZES |= {"give_up": 0.1, "answer_lost": 0.5}
KINDS = [
    *("burst", "crash", "deploy", "slow", "ageing", "hang", "origin_slow", "reconnect", "hot_key", "give_up"),
    *("answer_lost", "balancer_crash", "balancer_leave", "balancer_stall", "peer_down", "vanish"),
]


@pytest.mark.parametrize("kind", KINDS)
def test_every_kind_of_fault_runs_and_keeps_the_rules(kind: str) -> None:
    text = (DAYS / "bad-day.ini").read_text()
    text = text[: text.index("[trouble ")].replace("length = 30s", "length = 6s")
    played = scenario_config(IniFile(text + EVERY.format(kind=kind, size=SIZES.get(kind, 1)), kind), kind)
    verdict = audit(run_emulated(played).rows)
    assert verdict.passed, verdict.violations[:3]
    assert verdict.check_counts[1] > 100
    assert verdict.check_counts[2] > 80


def test_the_emulator_and_the_edge_proxy_agree_on_a_day() -> None:
    # Six kinds of trouble over many seeds are in benchmarks/agreement.py; here the draws of one day differ.
    text = (DAYS / "bad-day.ini").read_text()
    text = text[: text.index("[trouble ")].replace("length = 30s", "length = 10s")
    text += "[trouble slow]\nkind = slow\nstart = 2s\nlength = 4s\nsize = 4\non = s0, s3\n"
    played = scenario_config(IniFile(text, "slow"), "slow")
    services = [
        weighted_service_level(account_by_type(rows), played.importance)
        for rows in (run_emulated(played).rows, run_virtual(played))
    ]
    assert abs(services[0] - services[1]) < 0.08
    assert min(services) > 0.8


def test_attempt_policies_and_cross_region_rules_apply_in_the_emulator_too() -> None:
    rows = run_emulated(load_scenario(DAYS / "attempts.ini")).rows
    booking = attempt_statistics(rows)["booking"]
    assert booking.max_attempts <= 2
    assert booking.min_retry_gap is not None
    assert booking.min_retry_gap >= 450 * MS
    assert booking.cancelled_after is not None
    assert booking.cancelled_after[1] <= 701 * MS
    fleet = Fleet(played := load_scenario(DAYS / "four-regions.ini"), edge_plans(played))
    assert all(edge.plan.cross_region(EPOCH) is not None for edge in fleet.edges)


def test_no_table_of_an_edge_proxy_holds_entries_of_ended_dialogs() -> None:
    played = short("bad-day.ini")
    fleet = Fleet(played, edge_plans(played))
    simulate_day(fleet)
    fleet.sim.run(fleet.sim.now() + 120 * SECOND)  # the longest dialogs end
    for edge in fleet.edges:
        assert not edge.open_dialogs
        assert not any(link.attempts for link in edge.links.values())
        assert edge.runtime.driver.open_dialogs == 0


async def test_a_link_holds_no_cancelled_leg(autojump_clock: MockClock) -> None:
    # Found beside the emulated edge: the closing word of a leg let go left its entry for the link's life.
    async with running_edge(1) as rig:
        caller = await rig.caller()
        await caller.send(dial())
        link = rig.servers["s0"].link
        await link.next(setup.Setup)
        await caller.send(setup.Cancel("d1"))
        await link.next(setup.Cancel)
        await link.send(setup.Cancelled("d1"))
        await caller.next(setup.Failed)
        await trio.sleep(0.1)
        assert not rig.edge.links.by_server["s0"].attempts


def test_a_day_page_shows_each_second_and_needs_no_network() -> None:
    result = run_emulated(short("bad-day.ini"), sample_interval=SECOND)
    assert {sample.server for sample in result.samples} >= {"s0", "s1", "s2", "s3"}
    assert all(
        0 <= sample.token_fraction <= 1 and sample.window > 0 and sample.queue_delay >= 0
        for sample in result.samples
    )
    assert run_emulated(short("bad-day.ini")).rows == result.rows, "looking changes nothing"
    page = render_scenario_page("bad <day>", result)
    assert page.count("<polyline") > 10
    assert "bad &lt;day&gt;" in page
    assert "s3, second" in page
    assert "http" not in page
    assert "<script" not in page
