"""Lifeguard's local health: a member's estimate of its own ability to send, receive and run on time.

A member that is stalled, starved of CPU or cut off receives no answers from any member. The worse its local
health, the longer it waits before it accuses others.
"""

from __future__ import annotations

from valverouter.membership.config import MembershipConfig


class LocalHealth:
    """The local health score, from 0 (healthy) to `max_local_health`.

    It rises by one with each failed probe that no helper answered either, with each suspicion against this
    member and with each stall. It falls by one with each answered probe.
    """

    def __init__(self, config: MembershipConfig) -> None:
        self._config = config
        self.score = 0
        # Consecutive probes by this member that neither the target nor a helper answered.
        self.unanswered_probes = 0

    @property
    def timeout_multiplier(self) -> int:
        """The factor by which this member's timeouts are longer than a healthy member's."""
        return 1 + (self.score if self._config.local_health_enabled else 0)

    def on_probe_answered(self) -> None:
        """Improves the score: a probe by this member was answered."""
        self.score = max(0, self.score - 1)
        self.unanswered_probes = 0

    def on_probe_failed(self, helper_answered: bool) -> None:
        """Worsens the score unless a helper answered, which shows that this member can send and receive."""
        if not helper_answered:
            self.degrade()
            self.unanswered_probes += 1

    def degrade(self) -> None:
        """Worsens the score by one, up to its maximum."""
        self.score = min(self._config.max_local_health, self.score + 1)
