"""Estimates the health of a member's own view: settled, unsettled or cut off.

The fleet has converged when all live members that can reach each other have the same digest. A single member
can't observe that. It considers its view settled when the latest digests from randomly drawn members equal
its own and it suspects no member. It considers itself cut off when fewer than half of the members in its view
are live, or when several of its probes in a row got no answer from any member.
"""

from __future__ import annotations

from collections import deque
from enum import Enum
from typing import NamedTuple

from valverouter.membership.config import MembershipConfig
from valverouter.membership.view import MembershipView

# The number of members whose digests must equal the own one; in a smaller fleet, all other live members.
REQUIRED_AGREEING_MEMBERS = 5
# The number of consecutive probes without an answer, from helpers either, after which the member is cut off.
CUT_OFF_UNANSWERED_PROBES = 8
# How long a received digest is valid, in probe periods.
DIGEST_LIFETIME_PERIODS = 5


class ViewHealth(Enum):
    """The health of a view. Its values are sent to tools and printed."""

    SETTLED = "settled"
    UNSETTLED = "unsettled"
    CUT_OFF = "cut off"


class ReceivedDigest(NamedTuple):
    """A view digest, the name of its sender, and when it was received (ns)."""

    time: int
    sender: str
    digest: int


class CachedResult(NamedTuple):
    """A comparison of digests, valid until a time (ns) for one own digest and one number of peers."""

    until: int
    digest: int
    peer_count: int
    health: ViewHealth

    def is_valid(self, now: int, digest: int, peer_count: int) -> bool:
        """Returns whether a new comparison would give the same result."""
        return now <= self.until and (digest, peer_count) == (self.digest, self.peer_count)


class ConvergenceDetector:
    """Derives the view's health from the most recently received digests, a bounded number."""

    def __init__(self, config: MembershipConfig) -> None:
        self._received: deque[ReceivedDigest] = deque(maxlen=4 * REQUIRED_AGREEING_MEMBERS)
        self._lifetime = DIGEST_LIFETIME_PERIODS * config.probe_period
        self._cached: CachedResult | None = None

    def record_digest(self, now: int, sender: str, digest: int) -> None:
        """Stores the digest that a live member sent."""
        self._received.append(ReceivedDigest(now, sender, digest))
        self._cached = None

    def health(
        self, now: int, view: MembershipView, unanswered_probes: int, expects_peers: bool
    ) -> ViewHealth:
        """Returns the health of the view.

        `unanswered_probes`: consecutive probes that neither the target nor a helper answered.
        `expects_peers`: seeds are configured, so a view without other live members isn't settled.
        """
        if _is_cut_off(view, unanswered_probes):
            return ViewHealth.CUT_OFF
        peer_count = view.live_count - 1
        if not peer_count:
            return ViewHealth.UNSETTLED if expects_peers else ViewHealth.SETTLED
        if view.suspect_count:
            return ViewHealth.UNSETTLED
        cached = self._cached
        if cached is None or not cached.is_valid(now, view.digest, peer_count):
            until, health = self._compare_digests(now, view.digest, peer_count)
            cached = self._cached = CachedResult(until, view.digest, peer_count, health)
        return cached.health

    def _compare_digests(self, now: int, own_digest: int, peer_count: int) -> tuple[int, ViewHealth]:
        """Returns until when (ns) the result is valid unless another digest is received, and the result."""
        agreeing: set[str] = set()
        until = now
        for received in reversed(self._received):
            if now - received.time > self._lifetime:
                break
            until = received.time + self._lifetime
            if received.sender in agreeing:
                continue  # superseded by a later digest of the same member
            if received.digest != own_digest:
                return until, ViewHealth.UNSETTLED
            agreeing.add(received.sender)
        needed = min(REQUIRED_AGREEING_MEMBERS, peer_count)
        return until, ViewHealth.SETTLED if len(agreeing) >= needed else ViewHealth.UNSETTLED


def _is_cut_off(view: MembershipView, unanswered_probes: int) -> bool:
    is_minority = 2 * view.live_count < view.live_count + view.gone_count
    return is_minority or unanswered_probes >= CUT_OFF_UNANSWERED_PROBES
