"""What the fakes of one run share: the network, the record, and a scheduler on the run's clock."""

from __future__ import annotations

import heapq
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import Protocol

import trio

from valverouter.signalling.traffic_record import TrafficRecorder

StreamHandler = Callable[[trio.abc.Stream], Awaitable[object]]


class Network(Protocol):
    """Opens streams: over sockets, or in memory in virtual time."""

    async def connect(self, address: str) -> trio.abc.Stream:
        """Opens a stream to an address; raises OSError if nobody listens there."""
        ...

    async def serve(self, address: str, handler: StreamHandler, task_status: trio.TaskStatus[str]) -> None:
        """Runs the handler for each incoming stream; reports the address that it listens at."""
        ...


class Scheduler:
    """Calls back at given times, from one task; `now` gives the time in ns. A callback runs once."""

    def __init__(self, now: Callable[[], int]) -> None:
        self.now = now
        self._heap: list[tuple[int, int, Callable[[], None]]] = []
        self._count = 0
        self._changed = trio.Event()

    def call_at(self, at: int, callback: Callable[[], None]) -> None:
        """Schedules a callback; those of one time run in the order in which they were scheduled."""
        self._count += 1
        heapq.heappush(self._heap, (at, self._count, callback))
        self._changed.set()

    async def run(self) -> None:
        """Runs callbacks as they become due, until cancelled."""
        while True:
            now = self.now()
            if self._heap and self._heap[0][0] <= now:
                _, _, callback = heapq.heappop(self._heap)
                callback()
                continue
            self._changed = trio.Event()
            with trio.move_on_after((self._heap[0][0] - now) / 1e9 if self._heap else float("inf")):
                await self._changed.wait()


@dataclass(frozen=True, slots=True)
class Environment:
    """What every fake of one run is given."""

    network: Network
    recorder: TrafficRecorder
    scheduler: Scheduler
