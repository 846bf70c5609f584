"""Plays a day in a world: its calls and faults, then the time until everything is answered."""

from __future__ import annotations

from collections.abc import Callable

import trio

from valverouter.days.call_load import CallLoad
from valverouter.days.edge_faults import EdgeFaults
from valverouter.days.fault_targets import FaultProcess, FaultTargets
from valverouter.days.server_faults import ServerFaults
from valverouter.days.world import World
from valverouter.fakes.callers import with_scaled_patience
from valverouter.signalling.tap import CallersStartedRow
from valverouter.terms.scenario_sections import FaultConfig, PathFaultConfig

# So long after the last answer was due the record goes on, so that a late answer is in it.
LATE_S = 0.3
TICK_S = 0.25
ANSWER_POLL_S = 0.05
PATHS_TARGET = "paths"


async def play_day(world: World, tick: Callable[[float], None] = lambda progress: None) -> None:
    """Plays the day to its end; `tick` is called with the fraction of it that has passed."""
    world.tap.record(CallersStartedRow)
    targets, load = FaultTargets(world), CallLoad(world)
    faults = ServerFaults(world, targets).by_kind() | EdgeFaults(world, targets, load).by_kind()
    async with trio.open_nursery() as nursery:
        for name, trouble in world.day.faults.items():
            nursery.start_soon(_run_fault, world, name, trouble, faults[trouble.kind])
        for path in world.day.paths.values():
            nursery.start_soon(_record_path_fault, targets, path)
        await _run_calls(world, load, tick)
    await _wait_for_answers(world)


async def _run_fault(world: World, name: str, fault: FaultConfig, process: FaultProcess) -> None:
    await trio.sleep(fault.start / 1e9)
    await process(fault, world.chance(f"trouble {name}"))


async def _record_path_fault(targets: FaultTargets, path: PathFaultConfig) -> None:
    """Records a fault of the paths, which itself takes effect in the model of the paths."""
    await trio.sleep(path.start / 1e9)
    targets.record_kind(f"path-{path.kind}", PATHS_TARGET, path.length)


async def _run_calls(world: World, load: CallLoad, tick: Callable[[float], None]) -> None:
    start, length = trio.current_time(), world.day.run.length
    with trio.move_on_after(length / 1e9):
        async with trio.open_nursery() as nursery:
            for place, callers in enumerate(world.callers):
                nursery.start_soon(load.run, place, callers)
            while True:
                await trio.sleep(TICK_S)
                tick((trio.current_time() - start) * 1e9 / length)


async def _wait_for_answers(world: World) -> None:
    for callers in world.callers:
        callers.behavior = with_scaled_patience(callers.behavior, 1.0)
    longest = max(mix.no_answer for mix in world.day.mix.values())
    with trio.move_on_after(longest / 1e9 + 1):
        while any(not made.is_established for callers in world.callers for made in callers.attempts.values()):
            await trio.sleep(ANSWER_POLL_S)
    await trio.sleep(LATE_S)
