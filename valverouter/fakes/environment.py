"""The environment that the fakes of one run share: network, traffic recorder and scheduler."""

from __future__ import annotations

import heapq
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import Protocol

import trio

from valverouter.signalling.traffic_record import TrafficRecorder

StreamHandler = Callable[[trio.abc.Stream], Awaitable[object]]


class Network(Protocol):
    """Opens and serves streams: over sockets, or in memory in virtual time."""

    async def connect(self, address: str) -> trio.abc.Stream:
        """Opens a stream to an address; raises OSError if there is no listener."""
        ...

    async def serve(self, address: str, handler: StreamHandler, task_status: trio.TaskStatus[str]) -> None:
        """Runs the handler for each incoming stream; reports the address on which it listens."""
        ...


class Scheduler:
    """Runs callbacks at given times, each once, from one task. `now` returns the time in ns."""

    def __init__(self, now: Callable[[], int]) -> None:
        self.now = now
        self._heap: list[tuple[int, int, Callable[[], None]]] = []
        self._count = 0
        self._changed = trio.Event()

    def call_at(self, at: int, callback: Callable[[], None]) -> None:
        """Schedules a callback; callbacks with equal times run in the order in which they were scheduled."""
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
    """The network, traffic recorder and scheduler that are passed to every fake of a run."""

    network: Network
    recorder: TrafficRecorder
    scheduler: Scheduler
