"""A queue of callbacks ordered by time; callbacks with equal times run in the order of scheduling."""

from __future__ import annotations

import heapq
from collections.abc import Callable


class TimerQueue:
    """The timers of one member. They can't be cancelled: a callback checks whether it still applies."""

    def __init__(self) -> None:
        self._heap: list[tuple[int, int, Callable[..., None], tuple[object, ...]]] = []
        self._serial = 0

    @property
    def next_due(self) -> int:
        """The time of the earliest timer, ns."""
        return self._heap[0][0]

    def schedule(self, time: int, callback: Callable[..., None], *arguments: object) -> None:
        """Schedules `callback(*arguments)` for `time`, ns."""
        self._serial += 1
        heapq.heappush(self._heap, (time, self._serial, callback, arguments))

    def run_due(self, now: int) -> None:
        """Runs all timers due by `now`, including those that callbacks schedule for `now` or earlier."""
        while self._heap[0][0] <= now:
            _, _, callback, arguments = heapq.heappop(self._heap)
            callback(*arguments)
