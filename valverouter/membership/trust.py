"""How far an instance trusts its view: settled, unsettled, or cut off.

Settled for all is: every live instance that can reach the others has the same digest. One instance can not
see that; it says settled when all digests that it heard of late, from members drawn at random, are its
own, and nothing in its own view is in doubt. Cut off is told by numbers alone: it reaches less than half
of those whom it knew, or nobody has answered for a while.
"""

from __future__ import annotations

from collections import deque
from enum import Enum

from valverouter.membership.rules import Rules
from valverouter.membership.view import View

# Digests of so many different members have to agree, where there are so many.
AGREEING = 5
# So many probes in a row that nobody answered, not even for another.
UNHEARD = 8


class Trust(Enum):
    SETTLED = "settled"
    UNSETTLED = "unsettled"
    CUT_OFF = "cut off"


class Agreement:
    """The digests heard last, in fixed memory."""

    def __init__(self, rules: Rules) -> None:
        self._heard: deque[tuple[int, str, int]] = deque(maxlen=4 * AGREEING)
        self._fresh = 5 * rules.period
        # What was made of them last, for which digest and how many others, and until when it holds.
        self._last: tuple[int, int, int, Trust] | None = None

    def heard(self, now: int, name: str, digest: int) -> None:
        self._heard.append((now, name, digest))
        self._last = None

    def trust(self, now: int, view: View, unheard: int, expects: bool) -> Trust:
        """`expects`: the terms name seeds, so that being alone is no fleet of one."""
        others = view.living - 1
        if 2 * view.living < view.living + view.gone or unheard >= UNHEARD:
            return Trust.CUT_OFF
        if not others:
            return Trust.UNSETTLED if expects else Trust.SETTLED
        if view.suspects:
            return Trust.UNSETTLED
        last = self._last
        if last is not None and now <= last[0] and last[1:3] == (view.digest, others):
            return last[3]
        until, trust = self._agree(now, view.digest, min(AGREEING, others))
        self._last = until, view.digest, others, trust
        return trust

    def _agree(self, now: int, digest: int, needed: int) -> tuple[int, Trust]:
        """What the digests say, and until when they do if none is heard."""
        agreeing: set[str] = set()
        until = now
        for at, name, heard in reversed(self._heard):
            if now - at > self._fresh:
                break
            until = at + self._fresh
            if name in agreeing:
                continue  # its later word counts
            if heard != digest:
                return until, Trust.UNSETTLED
            agreeing.add(name)
        return until, Trust.SETTLED if len(agreeing) >= needed else Trust.UNSETTLED
