"""Plays a scenario in virtual time: edge proxies are tasks on in-memory streams, under trio's MockClock.

A run takes seconds, and gives the same rows every time.
"""

from __future__ import annotations

from collections.abc import Callable, Iterator
from contextlib import contextmanager

import trio
import trio.testing

from valverouter.config.scenario import ScenarioConfig
from valverouter.edge.proxy import EdgeProxy
from valverouter.edge.resumable_proxy import make_edge_proxy
from valverouter.scenarios.memory_network import MemoryNetwork, MemoryRuntime
from valverouter.scenarios.memory_store import MemoryDialogStore
from valverouter.scenarios.scenario_fakes import ScenarioFakes
from valverouter.scenarios.scenario_runner import run_scenario
from valverouter.scenarios.virtual_membership import VirtualMembership
from valverouter.signalling.traffic_record import Row

# Wait after the end of an edge proxy, in which its peers notice that its connections have closed.
STOP_WAIT_S = 0.01


class VirtualEdge:
    """An edge proxy that runs as a task; killing it discards its memory, as the end of a process does."""

    def __init__(
        self,
        scenario: ScenarioConfig,
        fleet_index: int,
        network: MemoryNetwork,
        nursery: trio.Nursery,
        list_address: str,
        membership: VirtualMembership | None = None,
    ) -> None:
        self.name = f"e{fleet_index}"
        self.address = f"edge{fleet_index}:1"
        self.store = MemoryDialogStore() if scenario.ledger else None
        self.config = scenario.edge_config(
            fleet_index, self.address, list_address, f"list-{fleet_index}", f"accounts-{fleet_index}"
        )
        self.proxy: EdgeProxy | None = None
        # The time by which the wall clock is set back at the next start, ns.
        self.wall_clock_setback = 0
        self._network = network
        self._nursery = nursery
        self._scope = trio.CancelScope()
        self._runtime: MemoryRuntime | None = None
        self._membership = membership

    async def start(self) -> None:
        """Starts it with only the state in its store; returns once it listens."""
        await self._nursery.start(self._run)

    async def _run(self, task_status: trio.TaskStatus[EdgeProxy] = trio.TASK_STATUS_IGNORED) -> None:
        with trio.CancelScope() as self._scope:
            self._runtime = MemoryRuntime(self._network, self.wall_clock_setback)
            self.proxy = make_edge_proxy(self.config, self._runtime, self.store)
            if self._membership is None:
                await self.proxy.run(task_status)
            else:
                await self._run_with_membership(self._membership, self._runtime, self.proxy, task_status)

    async def _run_with_membership(
        self,
        membership: VirtualMembership,
        runtime: MemoryRuntime,
        proxy: EdgeProxy,
        task_status: trio.TaskStatus[EdgeProxy],
    ) -> None:
        service = membership.make_service(self.name, self.config, runtime, proxy)
        try:
            async with trio.open_nursery() as nursery:
                await nursery.start(service.run)
                membership.record_service_start(self.name)
                await proxy.run(task_status)
                service.leave()
                await service.ended.wait()
        finally:
            membership.record_end(self.name)

    async def kill(self) -> None:
        """Terminates it immediately; its connections close."""
        self._scope.cancel()
        await trio.lowlevel.checkpoint()

    async def stall(self, duration: int) -> None:
        """Blocks it at its checkpoints for `duration` ns."""
        if self._runtime is not None:
            await self._runtime.stall(duration)

    async def stop(self) -> None:
        """Shuts it down gracefully; returns once it has ended."""
        if self.proxy is not None:
            self.proxy.stop()
            await self.proxy.ended.wait()
            await trio.sleep(STOP_WAIT_S)


# Called after the start of the fleet, before the settling time, with the fakes and the edge proxies.
PrepareCallback = Callable[[ScenarioFakes, list[VirtualEdge]], None]


class VirtualFleet:
    """The scenario's edge proxies as tasks, started sequentially."""

    def __init__(
        self, fakes: ScenarioFakes, network: MemoryNetwork, prepare: PrepareCallback | None = None
    ) -> None:
        self.membership: VirtualMembership | None = None
        self.edges: list[VirtualEdge] = []
        self._fakes = fakes
        self._network = network
        self._prepare = prepare

    async def start(self, nursery: trio.Nursery) -> None:
        """Starts the edge proxies and their callers."""
        scenario, fakes = self._fakes.scenario, self._fakes
        if scenario.between is not None:
            client_runtime = MemoryRuntime(self._network)
            self.membership = VirtualMembership(fakes, scenario.between, self._network, client_runtime)
            await nursery.start(self.membership.run)
        for fleet_index in range(scenario.fleet.edge_proxies):
            list_address = fakes.endpoint_list.address
            edge = VirtualEdge(scenario, fleet_index, self._network, nursery, list_address, self.membership)
            if edge.name not in scenario.late_edges:
                await edge.start()
            fakes.add_callers(fleet_index, edge)
            self.edges.append(edge)
        if self._prepare is not None:
            self._prepare(fakes, self.edges)

    async def stop(self) -> None:
        """Nothing to do: the tasks are cancelled with the run."""


@contextmanager
def deterministic_scheduling(seed: int) -> Iterator[None]:
    """Makes trio schedule its tasks in the same order every time.

    trio shuffles runnable tasks so that programs do not rely on their order; a reproducible run has to fix
    it. hypothesis and pytest-trio set the same two variables for this purpose.
    """
    import trio._core._run as run  # no public API

    before = run._ALLOW_DETERMINISTIC_SCHEDULING
    run._ALLOW_DETERMINISTIC_SCHEDULING = True  # type: ignore[misc]
    state = run._r.getstate()
    run._r.seed(seed)
    try:
        yield
    finally:
        run._ALLOW_DETERMINISTIC_SCHEDULING = before  # type: ignore[misc]
        run._r.setstate(state)


def run_virtual(scenario: ScenarioConfig, prepare: PrepareCallback | None = None) -> list[Row]:
    """Plays the scenario and returns the rows that were recorded; see PrepareCallback for `prepare`."""

    async def main() -> list[Row]:
        network = MemoryNetwork()
        fakes = ScenarioFakes(scenario, network, 0, lambda name: f"{name}:1")
        return await run_scenario(fakes, VirtualFleet(fakes, network, prepare))

    with deterministic_scheduling(scenario.run.seed):
        return trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))
