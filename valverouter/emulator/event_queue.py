"""A queue of scheduled actions with a simulated clock."""

from __future__ import annotations

import heapq
from collections.abc import Callable
from typing import Any


class EventQueue:
    """Runs actions in the order of their times, ns; simultaneous actions run in the order of scheduling."""

    def __init__(self) -> None:
        """Starts the clock at 0 with an empty queue."""
        self.now = 0
        # Number of actions scheduled so far; breaks ties between simultaneous actions.
        self.scheduled_count = 0
        self._heap: list[tuple[int, int, Callable[..., None], tuple[Any, ...]]] = []

    def call_at(self, time: int, action: Callable[..., None], *arguments: Any) -> None:
        """Schedules the action at `time`, ns."""
        self.scheduled_count += 1
        heapq.heappush(self._heap, (time, self.scheduled_count, action, arguments))

    def call_after(self, delay: int, action: Callable[..., None], *arguments: Any) -> None:
        """Schedules the action `delay` ns from now."""
        self.call_at(self.now + delay, action, *arguments)

    def call_every(self, interval: int, action: Callable[[], None]) -> None:
        """Schedules the action every `interval` ns, first `interval` ns from now."""

        def repeat() -> None:
            action()
            self.call_after(interval, repeat)

        self.call_after(interval, repeat)

    def run_until(self, end: int) -> None:
        """Runs all actions that are due up to `end`, ns, and sets the clock to `end`."""
        heap = self._heap
        while heap and heap[0][0] <= end:
            self.now, _, action, arguments = heapq.heappop(heap)
            action(*arguments)
        self.now = end
