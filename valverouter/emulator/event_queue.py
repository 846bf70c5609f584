"""Simulated time: actions that are due at a moment, in the order of their moments."""

from __future__ import annotations

import heapq
from collections.abc import Callable
from typing import Any


class EventQueue:
    """The queue and its clock, in ns. Actions of one moment run in the order of their adding."""

    def __init__(self) -> None:
        """Begins at 0, with nothing to do."""
        self.now = 0
        # How many actions were added so far.
        self.scheduled_count = 0
        self._heap: list[tuple[int, int, Callable[..., None], tuple[Any, ...]]] = []

    def call_at(self, time: int, action: Callable[..., None], *arguments: Any) -> None:
        """Runs the action at a moment."""
        self.scheduled_count += 1
        heapq.heappush(self._heap, (time, self.scheduled_count, action, arguments))

    def call_after(self, delay: int, action: Callable[..., None], *arguments: Any) -> None:
        """Runs the action `delay` ns from now."""
        self.call_at(self.now + delay, action, *arguments)

    def call_every(self, interval: int, action: Callable[[], None]) -> None:
        """Runs the action again and again, first `interval` ns from now."""

        def repeat() -> None:
            action()
            self.call_after(interval, repeat)

        self.call_after(interval, repeat)

    def run_until(self, end: int) -> None:
        """Runs what is due up to `end`, which is the present time afterwards."""
        heap = self._heap
        while heap and heap[0][0] <= end:
            self.now, _, action, arguments = heapq.heappop(heap)
            action(*arguments)
        self.now = end
