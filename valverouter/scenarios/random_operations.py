"""Generates random operations and faults for a fleet of real processes from a seed.

Clients and edge proxies are killed, raft servers and supervisors are killed and paused, and datagrams between
them are blocked, lost and delayed. After the last fault every instance must return to service.
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
# The time after the last fault within which all operations must end: a release waits for its evidence, and
# other operations are queued until it ends.
SETTLE_TIMEOUT_S = 150.0
LATE_FAULT_DELAY = 300_000_000


class RandomOperations:
    """One random sequence; `play` is a script for `run_operations`.

    `operations` and `faults`: the numbers drawn. `has_settled`: afterwards all operations ended, and
    no instance remained drained.
    """

    def __init__(self, seed: int, length_s: float) -> None:
        """`length_s`: the duration of the phase with operations and faults."""
        self._rng = random.Random(f"orders/{seed}")
        self._length_s = length_s
        self.operations = 0
        self.faults = 0
        self.has_settled = False

    async def play(self, harness: OperationHarness) -> None:
        """Starts random operations and faults, then waits until all operations have ended."""
        started_at = trio.current_time()
        async with trio.open_nursery() as nursery:
            with trio.move_on_after(self._length_s):
                while True:
                    await trio.sleep(self._rng.expovariate(1 / MEAN_INTERVAL_S))
                    if self._rng.random() < 0.5:
                        nursery.start_soon(self._run_client, harness, self._draw_arguments(harness))
                    else:
                        nursery.start_soon(self._cause_fault, harness, started_at)
            # Leaving the nursery waits until each fault has ended, which it does after its duration.
        for name in (*NODES, *map(supervisor_of, (*harness.edges, *harness.servers))):
            if harness.processes[name].poll() is not None:
                harness.start(name)
        with trio.move_on_after(SETTLE_TIMEOUT_S):
            while not self.has_settled:
                await self._settle(harness)

    async def _settle(self, harness: OperationHarness) -> None:
        """Waits until open operations have ended, and returns drained instances to service."""
        await harness.wait_until_settled(SETTLE_TIMEOUT_S)
        status = await harness.status()
        if status is None or any(operation.phase != "ended" for operation in status.operations):
            return
        if any(instance.state == "drained" for instance in status.instances):
            await harness.run_client("undrain", "--all")
        else:
            self.has_settled = True

    def _draw_arguments(self, harness: OperationHarness) -> tuple[str, ...]:
        rng = self._rng
        kind = rng.choices(("restart", "release", "drain", "undrain", "halt"), (3, 4, 2, 2, 1))[0]
        self.operations += 1
        id_ = f"o{self.operations}"
        if kind == "halt":
            return ("halt",)
        if kind == "undrain":
            return ("undrain", "--all", "--id", id_)
        if kind == "drain":
            return ("drain", rng.choice(harness.edges), "--id", id_)
        if harness.servers and rng.random() < 0.2:
            return ("restart", rng.choice(harness.servers), "--servers", "--id", id_)
        names = sorted(rng.sample(harness.edges, rng.randint(1, len(harness.edges))))
        if kind == "restart":
            return ("restart", *names, "--id", id_)
        return ("release", *names, "--to", rng.choice(VERSIONS), "--id", id_)

    async def _run_client(self, harness: OperationHarness, arguments: tuple[str, ...]) -> None:
        """Runs a client, which is killed at a random timeout, and sometimes runs the same command again."""
        is_repeated = self._rng.random() < 0.3
        await harness.run_client(*arguments, timeout_s=self._rng.choice(CLIENT_TIMEOUTS_S))
        if is_repeated:
            await harness.run_client(*arguments, timeout_s=REPEATED_CLIENT_TIMEOUT_S)

    async def _cause_fault(self, harness: OperationHarness, started_at: float) -> None:
        rng = self._rng
        remaining_s = self._length_s - (trio.current_time() - started_at)
        duration_s = min(rng.uniform(*FAULT_DURATIONS_S), max(0.1, remaining_s))
        self.faults += 1
        selector = rng.random()
        node, edge = rng.choice(NODES), rng.choice(harness.edges)
        if selector < 0.4:
            name = node if selector < 0.2 else supervisor_of(edge)
            if harness.processes[name].poll() is None:
                harness.kill(name)
                await trio.sleep(duration_s)
                harness.start(name)
        elif selector < 0.55:
            harness.kill(edge)
        elif selector < 0.7:
            name = node if selector < 0.62 else supervisor_of(edge)
            if harness.processes[name].poll() is None:
                await harness.pause(name, duration_s)
        else:
            self._add_path_fault(harness, duration_s)

    def _add_path_fault(self, harness: OperationHarness, duration_s: float) -> None:
        rng, now = self._rng, harness.fakes.now()
        names = [*NODES, *harness.edges, *map(supervisor_of, (*harness.edges, *harness.servers))]
        side = frozenset(rng.sample(names, rng.randint(1, len(names) // 2)))
        others = frozenset(names) - side
        end = now + round(duration_s * NS_PER_S)
        kind = rng.choice(("split", "cut", "loss", "late"))
        if kind == "split":
            harness.add_path_fault(PathFault("split", now, end, groups=(side, others)))
        elif kind == "cut":
            harness.add_path_fault(PathFault("cut", now, end, senders=side, receivers=others))
        elif kind == "loss":
            probability = rng.uniform(0.1, 0.5)
            harness.add_path_fault(PathFault("loss", now, end, senders=side, probability=probability))
        else:
            harness.add_path_fault(
                PathFault("late", now, end, senders=side, delay=LATE_FAULT_DELAY, jitter=0.5)
            )
