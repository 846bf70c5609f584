"""Faults that slow a server down or lose its answers."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(slots=True)
class ServerFaults:
    """The faults of a process. `slowdown`: the factor by which jobs take longer.

    From `degrading_since` a further factor grows linearly from 1 to `degrading_factor` within
    `degrading_duration` ns. `answer_loss`: the probability that an answer is lost.
    """

    slowdown: float = 1.0
    degrading_since: int = 0
    degrading_factor: float = 1.0
    degrading_duration: int = 1
    answer_loss: float = 0.0

    def slowdown_at(self, now: int) -> float:
        """Returns the factor by which jobs that start now take longer."""
        if self.degrading_factor <= 1:
            return self.slowdown
        progress = min(1.0, (now - self.degrading_since) / self.degrading_duration)
        return self.slowdown * (1 + (self.degrading_factor - 1) * progress)
