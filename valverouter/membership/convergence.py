"""How far a member trusts its own view: settled, unsettled or cut off.

The fleet has converged when all live members that reach each other have the same digest. A single member
can't see that. It takes its view for settled when the digests last received from members drawn at random are
all its own and it suspects nobody. It takes itself for cut off when it holds less than half of those it knew
for live, or when nobody has answered for a while.
"""

from __future__ import annotations

from collections import deque
from enum import Enum
from typing import NamedTuple

from valverouter.membership.config import MembershipConfig
from valverouter.membership.view import MembershipView

# The digests of so many different members have to agree, where there are so many.
REQUIRED_AGREEING_MEMBERS = 5
# After so many probes in a row that nobody answered, helpers included, the member is cut off.
CUT_OFF_UNANSWERED_PROBES = 8
# Digests count for so many probe periods.
DIGEST_LIFETIME_PERIODS = 5


class ViewHealth(Enum):
    """The health of a view. The values are sent to tools and printed."""

    SETTLED = "settled"
    UNSETTLED = "unsettled"
    CUT_OFF = "cut off"


class ReceivedDigest(NamedTuple):
    """A digest, who sent it, and when it was received (ns)."""

    time: int
    sender: str
    digest: int


class CachedResult(NamedTuple):
    """A comparison of digests: until when (ns) and for which own digest and number of peers it holds."""

    until: int
    digest: int
    peer_count: int
    health: ViewHealth

    def is_valid(self, now: int, digest: int, peer_count: int) -> bool:
        """Whether the comparison would give the same result again."""
        return now <= self.until and (digest, peer_count) == (self.digest, self.peer_count)


class ConvergenceDetector:
    """The digests received last, bounded in number, and what follows from them."""

    def __init__(self, config: MembershipConfig) -> None:
        self._received: deque[ReceivedDigest] = deque(maxlen=4 * REQUIRED_AGREEING_MEMBERS)
        self._lifetime = DIGEST_LIFETIME_PERIODS * config.probe_period
        self._cached: CachedResult | None = None

    def record_digest(self, now: int, sender: str, digest: int) -> None:
        """Counts the digest that a live member sent."""
        self._received.append(ReceivedDigest(now, sender, digest))
        self._cached = None

    def health(
        self, now: int, view: MembershipView, unanswered_probes: int, expects_peers: bool
    ) -> ViewHealth:
        """The health of the view.

        `unanswered_probes`: in a row, by nobody. `expects_peers`: seeds are configured, so being alone is not
        a fleet of one.
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
        """What the received digests show, and until when (ns) that holds if no other one is received."""
        agreeing: set[str] = set()
        until = now
        for received in reversed(self._received):
            if now - received.time > self._lifetime:
                break
            until = received.time + self._lifetime
            if received.sender in agreeing:
                continue  # a later digest of the same member counts
            if received.digest != own_digest:
                return until, ViewHealth.UNSETTLED
            agreeing.add(received.sender)
        needed = min(REQUIRED_AGREEING_MEMBERS, peer_count)
        return until, ViewHealth.SETTLED if len(agreeing) >= needed else ViewHealth.UNSETTLED


def _is_cut_off(view: MembershipView, unanswered_probes: int) -> bool:
    is_minority = 2 * view.live_count < view.live_count + view.gone_count
    return is_minority or unanswered_probes >= CUT_OFF_UNANSWERED_PROBES
