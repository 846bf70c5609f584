"""The edge proxy's clock in whole nanoseconds, and its timers."""

from __future__ import annotations

import heapq
from collections.abc import Callable
from typing import Any

import trio


class Clock:
    """The wall time at the start, advanced by the monotonic clock, so that it never goes back.

    The driver treats a start time of 0 as 'long ago', so this clock must never be near 0.
    """

    def __init__(self, wall_time: int) -> None:
        self._wall_at_start = wall_time
        self._started_at = trio.current_time()

    def now(self) -> int:
        """The current time, in nanoseconds."""
        return self._wall_at_start + round((trio.current_time() - self._started_at) * 1e9)

    def to_trio_time(self, time: int) -> float:
        """Converts a time of this clock to seconds of trio's clock.

        Rounding may make it slightly early; callers compare with `now` again when they wake up.
        """
        return self._started_at + (time - self._wall_at_start) / 1e9


class TimerQueue:
    """Timers in the order in which they are due; removed when due, or with `retain`."""

    def __init__(self) -> None:
        self._heap: list[tuple[int, int, Any]] = []
        self._serial = 0

    def schedule(self, due_at: int, timer: Any) -> None:
        """Adds a timer that is due at `due_at`, in nanoseconds."""
        self._serial += 1
        heapq.heappush(self._heap, (due_at, self._serial, timer))

    def __len__(self) -> int:
        """The number of queued timers."""
        return len(self._heap)

    def retain(self, predicate: Callable[[Any], bool]) -> None:
        """Removes all timers for which `predicate` returns False."""
        self._heap = [entry for entry in self._heap if predicate(entry[2])]
        heapq.heapify(self._heap)

    @property
    def next_due_at(self) -> int | None:
        """When the next timer is due; None if there is none."""
        return self._heap[0][0] if self._heap else None

    def pop_due(self, now: int) -> Any | None:
        """Removes and returns the earliest timer if it is due; None otherwise."""
        if self._heap and self._heap[0][0] <= now:
            return heapq.heappop(self._heap)[2]
        return None
