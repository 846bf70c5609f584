"""The edge proxy's clock in whole nanoseconds, and its timers."""

from __future__ import annotations

import heapq
from collections.abc import Callable
from typing import Any

import trio


class Clock:
    """Wall time at the start, carried on by the monotonic clock: never set back, never near 0.

    The decisions take a start time of 0 for 'long ago', so no moment of this clock may come close to it.
    """

    def __init__(self, wall_time: int) -> None:
        self._wall_at_start = wall_time
        self._started_at = trio.current_time()

    def now(self) -> int:
        """The present moment, in nanoseconds."""
        return self._wall_at_start + round((trio.current_time() - self._started_at) * 1e9)

    def trio_time(self, at: int) -> float:
        """When trio should wake us for a moment; a rounding early is made up by looking at `now` again."""
        return self._started_at + (at - self._wall_at_start) / 1e9


class TimerQueue:
    """Timers by their time. One leaves when it is due, or with `retain` where it is no longer wanted."""

    def __init__(self) -> None:
        self._heap: list[tuple[int, int, Any]] = []
        self._serial = 0

    def schedule(self, at: int, timer: Any) -> None:
        """Adds a timer that is due `at` a moment of the clock."""
        self._serial += 1
        heapq.heappush(self._heap, (at, self._serial, timer))

    def __len__(self) -> int:
        """Timers that are not yet due."""
        return len(self._heap)

    def retain(self, wanted: Callable[[Any], bool]) -> None:
        """Drops all timers but those that are `wanted`."""
        self._heap = [entry for entry in self._heap if wanted(entry[2])]
        heapq.heapify(self._heap)

    @property
    def next_due_at(self) -> int | None:
        """When the next timer is due; None: there is none."""
        return self._heap[0][0] if self._heap else None

    def pop_due(self, now: int) -> Any | None:
        """A timer whose time has come, in the order of their times; None: there is none."""
        if self._heap and self._heap[0][0] <= now:
            return heapq.heappop(self._heap)[2]
        return None
