"""Plays a scenario against a fleet under test: start, calls and faults, shutdown.

FleetUnderTest abstracts from how the fleet runs: as processes on loopback or as tasks in virtual time.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

import trio

from valverouter.config.scenario_sections import FaultConfig, PathFaultConfig
from valverouter.fakes.callers import with_scaled_abandon_fraction
from valverouter.scenarios.call_generation import CallLoad
from valverouter.scenarios.edge_faults import EdgeFaults
from valverouter.scenarios.fault_targets import FaultProcess, FaultTargets
from valverouter.scenarios.membership_recorder import MembershipRecorder
from valverouter.scenarios.scenario_fakes import NS_PER_S, ScenarioFakes
from valverouter.scenarios.server_faults import ServerFaults
from valverouter.signalling.traffic_record import CallersStartedRow, Row

# Recording continues for this time after the last answer was due, so that late answers are recorded too.
LATE_ANSWER_WAIT_S = 0.3
PROGRESS_INTERVAL_S = 0.25
ANSWER_POLL_INTERVAL_S = 0.05
PATHS_TARGET = "paths"

# Called periodically with the fraction of the scenario's length that has passed.
ProgressCallback = Callable[[float], None]


class FleetUnderTest(Protocol):
    """The edge proxies of a scenario."""

    @property
    def membership(self) -> MembershipRecorder | None:
        """The recorder of the fleet's membership views; None before the start or without membership."""
        ...

    async def start(self, nursery: trio.Nursery) -> None:
        """Starts the edge proxies, except those that the scenario starts late, and adds their callers."""
        ...

    async def stop(self) -> None:
        """Stops the edge proxies after the scenario."""
        ...


async def run_scenario(
    fakes: ScenarioFakes, fleet: FleetUnderTest, on_progress: ProgressCallback = lambda fraction: None
) -> list[Row]:
    """Plays the whole scenario and returns the rows that were recorded."""
    with trio.CancelScope() as scope:
        async with trio.open_nursery() as nursery:
            await fakes.start(nursery)
            await fleet.start(nursery)
            await trio.sleep(fakes.scenario.run.settle / NS_PER_S)
            if fleet.membership is not None:
                fleet.membership.start_faults()
            await run_calls_and_faults(fakes, on_progress)
            if fleet.membership is not None:
                await fleet.membership.settle()
            await fleet.stop()
            scope.cancel()
    return fakes.recorder.rows


async def run_calls_and_faults(
    fakes: ScenarioFakes, on_progress: ProgressCallback = lambda fraction: None
) -> None:
    """Runs the scenario's calls and faults, then waits until every call is answered."""
    fakes.recorder.record(CallersStartedRow)
    targets, load = FaultTargets(fakes), CallLoad(fakes)
    faults = ServerFaults(fakes, targets).by_kind() | EdgeFaults(fakes, targets, load).by_kind()
    async with trio.open_nursery() as nursery:
        for name, fault in fakes.scenario.faults.items():
            nursery.start_soon(_run_fault, fakes, name, fault, faults[fault.kind])
        for path in fakes.scenario.paths.values():
            nursery.start_soon(_record_path_fault, targets, path)
        await _run_calls(fakes, load, on_progress)
    await _wait_for_answers(fakes)


async def _run_fault(fakes: ScenarioFakes, name: str, fault: FaultConfig, process: FaultProcess) -> None:
    await trio.sleep(fault.start / NS_PER_S)
    await process(fault, fakes.random_stream(f"trouble {name}"))


async def _record_path_fault(targets: FaultTargets, path: PathFaultConfig) -> None:
    """Records a path fault at its start; the model of the network paths causes the fault itself."""
    await trio.sleep(path.start / NS_PER_S)
    targets.record_kind(f"path-{path.kind}", PATHS_TARGET, path.length)


async def _run_calls(fakes: ScenarioFakes, load: CallLoad, on_progress: ProgressCallback) -> None:
    start, length = trio.current_time(), fakes.scenario.run.length
    with trio.move_on_after(length / NS_PER_S):
        async with trio.open_nursery() as nursery:
            for fleet_index, callers in enumerate(fakes.callers):
                nursery.start_soon(load.run, fleet_index, callers)
            while True:
                await trio.sleep(PROGRESS_INTERVAL_S)
                on_progress((trio.current_time() - start) * NS_PER_S / length)


async def _wait_for_answers(fakes: ScenarioFakes) -> None:
    for callers in fakes.callers:
        callers.behavior = with_scaled_abandon_fraction(callers.behavior, 1.0)
    longest = max(mix.no_answer for mix in fakes.scenario.mix.values())
    with trio.move_on_after(longest / NS_PER_S + 1):
        while any(
            not attempt.is_established for callers in fakes.callers for attempt in callers.attempts.values()
        ):
            await trio.sleep(ANSWER_POLL_INTERVAL_S)
    await trio.sleep(LATE_ANSWER_WAIT_S)
