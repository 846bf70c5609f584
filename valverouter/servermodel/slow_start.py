"""Slow start: a new process starts at reduced speed, and too many set-ups in this time crash it."""

from __future__ import annotations

from collections import deque

from valverouter.servermodel.profile import ServerProfile

# Start time of a process that has always run, ns.
LONG_AGO = -(1 << 62)


class SlowStart:
    """The slow start of one server's current process.

    `budget_used`: the highest work within an overload window so far, as a fraction of the work that crashes
    the process. `started_at`: the start time of the process, ns. `_recent_setups`: the times of the set-ups
    within the last overload window.
    """

    def __init__(self, profile: ServerProfile) -> None:
        self.started_at = LONG_AGO
        self.budget_used = 0.0
        self._profile = profile
        self._recent_setups: deque[int] = deque()

    def restart(self, now: int) -> None:
        """Begins the slow start of a new process."""
        self.started_at = now
        self._recent_setups.clear()

    def speed(self, now: int) -> float:
        """Returns the speed as a fraction of full speed."""
        profile = self._profile
        age = now - self.started_at
        if age >= profile.slow_start_duration:
            return 1.0
        fraction = profile.slow_start_fraction
        return fraction + (1 - fraction) * max(0, age) / profile.slow_start_duration

    def add_setup(self, now: int) -> bool:
        """Counts a set-up; returns whether it crashes the process."""
        profile, recent = self._profile, self._recent_setups
        while recent and recent[0] <= now - profile.overload_window:
            recent.popleft()
        recent.append(now)
        if now - self.started_at >= profile.slow_start_duration:
            return False
        work = len(recent) * profile.setup_work
        budget = profile.overload_multiple * self.speed(now) * profile.overload_window
        self.budget_used = max(self.budget_used, work / budget)
        return work > budget
