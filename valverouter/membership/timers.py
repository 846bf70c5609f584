"""A queue of callbacks in order of time; callbacks of the same time run in the order of scheduling."""

from __future__ import annotations

import heapq
from collections.abc import Callable


class TimerQueue:
    """Timers of one member. They are never cancelled: a callback checks whether it still applies."""

    def __init__(self) -> None:
        self._heap: list[tuple[int, int, Callable[..., None], tuple[object, ...]]] = []
        self._serial = 0

    @property
    def next_due(self) -> int:
        """When the earliest timer is due, ns."""
        return self._heap[0][0]

    def schedule(self, time: int, callback: Callable[..., None], *arguments: object) -> None:
        """Calls `callback(*arguments)` once `time` (ns) has come."""
        self._serial += 1
        heapq.heappush(self._heap, (time, self._serial, callback, arguments))

    def run_due(self, now: int) -> None:
        """Runs all that is due by `now`, what the callbacks schedule for now or earlier included."""
        while self._heap[0][0] <= now:
            _, _, callback, arguments = heapq.heappop(self._heap)
            callback(*arguments)
