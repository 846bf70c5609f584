"""Random operations and faults between real processes, drawn by a seed.

Clients are killed, raft servers and supervisors killed and paused, edge proxies killed, and messages cut,
lost and delayed between them. Then nothing is disturbed any more, and every instance is to be back in
service.
"""

from __future__ import annotations

import random

import trio

from valverouter.scenarios.operation_files import NODES, supervisor_of
from valverouter.scenarios.operation_harness import OperationHarness
from valverouter.servermodel.paths import PathFault

NS_PER_S = 1e9
VERSIONS = ("v1", "v2", "declines", "crashes", "dies-late")
MEAN_INTERVAL_S = 1.2
CLIENT_TIMEOUTS_S = (1.0, 2.0, 4.0, 8.0)
REPEATED_CLIENT_TIMEOUT_S = 4.0
FAULT_DURATIONS_S = (0.5, 6.0)
# How long all may take to come to rest once faults are over: a release awaits its evidence, and operations
# are queued behind it.
REST_TIMEOUT_S = 150.0
LATE_MESSAGES_DELAY = 300_000_000


class RandomOperations:
    """One course; `play` is a script for `run_operations`. `operations` and `faults` count what was drawn."""

    def __init__(self, seed: int, length_s: float) -> None:
        """`length_s`: of the time with operations and faults."""
        self._draws = random.Random(f"orders/{seed}")
        self._length_s = length_s
        self.operations = 0
        self.faults = 0
        self.has_settled = False

    async def play(self, harness: OperationHarness) -> None:
        """Draws operations and faults, then waits until all is at rest."""
        started_at = trio.current_time()
        async with trio.open_nursery() as nursery:
            with trio.move_on_after(self._length_s):
                while True:
                    await trio.sleep(self._draws.expovariate(1 / MEAN_INTERVAL_S))
                    if self._draws.random() < 0.5:
                        nursery.start_soon(self._run_client, harness, self._draw_arguments(harness))
                    else:
                        nursery.start_soon(self._cause_fault, harness, started_at)
            # Each fault ends by itself within its duration.
        for name in (*NODES, *map(supervisor_of, (*harness.edges, *harness.servers))):
            if harness.processes[name].poll() is not None:
                harness.start(name)
        with trio.move_on_after(REST_TIMEOUT_S):
            while not self.has_settled:
                await self._come_to_rest(harness)

    async def _come_to_rest(self, harness: OperationHarness) -> None:
        """Waits for open operations, and brings drained instances back."""
        await harness.wait_until_settled(REST_TIMEOUT_S)
        status = await harness.status()
        if status is None or any(operation.phase != "ended" for operation in status.operations):
            return
        if any(instance.state == "drained" for instance in status.instances):
            await harness.run_client("undrain", "--all")
        else:
            self.has_settled = True

    def _draw_arguments(self, harness: OperationHarness) -> tuple[str, ...]:
        draws = self._draws
        kind = draws.choices(("restart", "release", "drain", "undrain", "halt"), (3, 4, 2, 2, 1))[0]
        self.operations += 1
        id_ = f"o{self.operations}"
        if kind == "halt":
            return ("halt",)
        if kind == "undrain":
            return ("undrain", "--all", "--id", id_)
        if kind == "drain":
            return ("drain", draws.choice(harness.edges), "--id", id_)
        if harness.servers and draws.random() < 0.2:
            return ("restart", draws.choice(harness.servers), "--servers", "--id", id_)
        names = sorted(draws.sample(harness.edges, draws.randint(1, len(harness.edges))))
        if kind == "restart":
            return ("restart", *names, "--id", id_)
        return ("release", *names, "--to", draws.choice(VERSIONS), "--id", id_)

    async def _run_client(self, harness: OperationHarness, arguments: tuple[str, ...]) -> None:
        """A client that may be killed at any moment, and now and then runs again."""
        is_repeated = self._draws.random() < 0.3
        await harness.run_client(*arguments, timeout_s=self._draws.choice(CLIENT_TIMEOUTS_S))
        if is_repeated:
            await harness.run_client(*arguments, timeout_s=REPEATED_CLIENT_TIMEOUT_S)

    async def _cause_fault(self, harness: OperationHarness, started_at: float) -> None:
        draws = self._draws
        remaining_s = self._length_s - (trio.current_time() - started_at)
        duration_s = min(draws.uniform(*FAULT_DURATIONS_S), max(0.1, remaining_s))
        self.faults += 1
        kind = draws.random()
        node, edge = draws.choice(NODES), draws.choice(harness.edges)
        if kind < 0.4:
            name = node if kind < 0.2 else supervisor_of(edge)
            if harness.processes[name].poll() is None:
                harness.kill(name)
                await trio.sleep(duration_s)
                harness.start(name)
        elif kind < 0.55:
            harness.kill(edge)
        elif kind < 0.7:
            name = node if kind < 0.62 else supervisor_of(edge)
            if harness.processes[name].poll() is None:
                await harness.pause(name, duration_s)
        else:
            self._add_path_fault(harness, duration_s)

    def _add_path_fault(self, harness: OperationHarness, duration_s: float) -> None:
        draws, now = self._draws, harness.fakes.now()
        names = [*NODES, *harness.edges, *map(supervisor_of, (*harness.edges, *harness.servers))]
        side = frozenset(draws.sample(names, draws.randint(1, len(names) // 2)))
        rest = frozenset(names) - side
        end = now + round(duration_s * NS_PER_S)
        kind = draws.choice(("split", "cut", "loss", "late"))
        if kind == "split":
            harness.add_path_fault(PathFault("split", now, end, groups=(side, rest)))
        elif kind == "cut":
            harness.add_path_fault(PathFault("cut", now, end, senders=side, receivers=rest))
        elif kind == "loss":
            probability = draws.uniform(0.1, 0.5)
            harness.add_path_fault(PathFault("loss", now, end, senders=side, probability=probability))
        else:
            harness.add_path_fault(
                PathFault("late", now, end, senders=side, delay=LATE_MESSAGES_DELAY, jitter=0.5)
            )
