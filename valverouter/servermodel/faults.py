"""Faults that slow a server down or lose its answers."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(slots=True)
class ServerFaults:
    """The faults of a process. `slowdown`: every job takes that many times longer.

    From `degrading_since` on it takes longer and longer, `degrading_factor` times after `degrading_duration`
    ns. `answer_loss`: the probability with which an answer is lost.
    """

    slowdown: float = 1.0
    degrading_since: int = 0
    degrading_factor: float = 1.0
    degrading_duration: int = 1
    answer_loss: float = 0.0

    def slowdown_at(self, now: int) -> float:
        """By which factor jobs that start now take longer."""
        if self.degrading_factor <= 1:
            return self.slowdown
        progress = min(1.0, (now - self.degrading_since) / self.degrading_duration)
        return self.slowdown * (1 + (self.degrading_factor - 1) * progress)
