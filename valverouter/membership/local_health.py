"""How well this member itself seems to send, receive and run: Lifeguard's local health.

A member that is stalled, starved or cut off finds everybody silent. The worse its own health, the longer it
waits before it accuses others.
"""

from __future__ import annotations

from valverouter.membership.config import MembershipConfig


class LocalHealth:
    """A score from 0 (healthy) to `max_local_health`.

    It gets worse with a probe that not even a helper answered, with an accusation against this member, and
    with a stall; it gets better with each probe that is answered.
    """

    def __init__(self, config: MembershipConfig) -> None:
        self._config = config
        self.score = 0
        # Probes of this member in a row that nobody answered, helpers included.
        self.unanswered_probes = 0

    @property
    def timeout_multiplier(self) -> int:
        """By how much the timeouts of this member are longer than those of a healthy one."""
        return 1 + (self.score if self._config.local_health_enabled else 0)

    def on_probe_answered(self) -> None:
        """A probe of this member was answered."""
        self.score = max(0, self.score - 1)
        self.unanswered_probes = 0

    def on_probe_failed(self, helper_answered: bool) -> None:
        """A probe of this member failed; with a helper's answer the fault is not ours."""
        if not helper_answered:
            self.degrade()
            self.unanswered_probes += 1

    def degrade(self) -> None:
        """Worsens the score by one."""
        self.score = min(self._config.max_local_health, self.score + 1)
