"""A day in virtual time: the same edge proxies and fakes on streams in memory, under trio's MockClock.

It ends in seconds and gives the same rows every time.
"""

from __future__ import annotations

from collections.abc import Callable
from contextlib import contextmanager
from typing import Any

import trio
import trio.testing

from valverouter.days.memory_network import MemoryPlace, MemoryRuntime
from valverouter.days.memory_store import MemoryStore
from valverouter.days.play import play_day
from valverouter.days.viewing import MemoryViews
from valverouter.days.world import World
from valverouter.edge.proxy import EdgeProxy
from valverouter.edge.resumable_proxy import make_edge_proxy
from valverouter.signalling.tap import Row
from valverouter.terms.day import ScenarioConfig


class MemoryEdge:
    """An edge proxy as a task; killing it drops all that it holds, as an ended process does."""

    def __init__(
        self,
        day: ScenarioConfig,
        place: int,
        network: MemoryPlace,
        nursery: trio.Nursery,
        list_at: str,
        views: MemoryViews | None = None,
    ) -> None:
        self.name = f"e{place}"
        self.address = f"edge{place}:1"
        self.store = MemoryStore() if day.ledger else None
        self.terms = day.edge_config(place, self.address, list_at, f"list-{place}", f"accounts-{place}")
        self.proxy: EdgeProxy | None = None
        self._network = network
        self._nursery = nursery
        self._scope = trio.CancelScope()
        self._runtime: MemoryRuntime | None = None
        self._views = views
        # How far its clock is set back.
        self.wall_back = 0

    async def start(self) -> None:
        """Starts a process and waits until it is ready."""
        await self._nursery.start(self._run)

    async def _run(self, task_status: trio.TaskStatus[EdgeProxy] = trio.TASK_STATUS_IGNORED) -> None:
        with trio.CancelScope() as self._scope:
            self._runtime = MemoryRuntime(self._network, self.wall_back)
            self.proxy = make_edge_proxy(self.terms, self._runtime, self.store)
            if self._views is None:
                await self.proxy.run(task_status)
            else:
                await self._run_viewed(self._views, self._runtime, self.proxy, task_status)

    async def _run_viewed(
        self,
        views: MemoryViews,
        runtime: MemoryRuntime,
        proxy: EdgeProxy,
        task_status: trio.TaskStatus[EdgeProxy],
    ) -> None:
        fleet = views.task(self.name, self.terms, runtime, proxy)
        try:
            async with trio.open_nursery() as nursery:
                await nursery.start(fleet.run)
                views.began(self.name)
                await proxy.run(task_status)
                fleet.leave()
                await fleet.ended.wait()
        finally:
            views.over(self.name)

    async def kill(self) -> None:
        """Ends the process at once."""
        self._scope.cancel()
        await trio.lowlevel.checkpoint()

    async def stall(self, span: int) -> None:
        """Holds the process for `span` ns."""
        if self._runtime is not None:
            await self._runtime.hold(span)

    async def stop(self) -> None:
        """Lets the process drain and end."""
        if self.proxy is not None:
            self.proxy.stop()
            await self.proxy.ended.wait()
            await trio.sleep(0.01)


@contextmanager
def same_order(seed: int) -> Any:
    """Makes trio take its tasks in the same order every time.

    trio shuffles them so that nobody relies on their order; a day that must give the same rows twice has to
    fix it. These are the two knobs that hypothesis and pytest-trio turn for the same end.
    """
    import trio._core._run as run  # no public name for it

    before = run._ALLOW_DETERMINISTIC_SCHEDULING
    run._ALLOW_DETERMINISTIC_SCHEDULING = True  # type: ignore[misc]
    state = run._r.getstate()
    run._r.seed(seed)
    try:
        yield
    finally:
        run._ALLOW_DETERMINISTIC_SCHEDULING = before  # type: ignore[misc]
        run._r.setstate(state)


def run_virtual(
    day: ScenarioConfig, prepare: Callable[[World, list[MemoryEdge]], None] | None = None
) -> list[Row]:
    """Plays the day; the rows of what passed. `prepare` may add to the world before it starts."""

    async def main() -> list[Row]:
        network = MemoryPlace()
        world = World(day, network, 0, lambda name: f"{name}:1")
        with trio.CancelScope() as scope:
            async with trio.open_nursery() as nursery:
                await world.open(nursery)
                edges = []
                views = None
                if day.between is not None:
                    views = MemoryViews(day, day.between, world, network, MemoryRuntime(network))
                    await nursery.start(views.run)
                for place in range(day.fleet.edge_proxies):
                    edge = MemoryEdge(day, place, network, nursery, world.list.address, views)
                    if edge.name not in day.late_edges:
                        await edge.start()
                    world.add_callers(place, edge)
                    edges.append(edge)
                if prepare is not None:
                    prepare(world, edges)
                await trio.sleep(day.run.settle / 1e9)
                if views is not None:
                    views.begins()
                await play_day(world)
                if views is not None:
                    await views.settle()
                scope.cancel()
        return world.tap.rows

    with same_order(day.run.seed):
        return trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))
