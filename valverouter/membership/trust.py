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

    def heard(self, now: int, name: str, digest: int) -> None:
        self._heard.append((now, name, digest))

    def trust(self, now: int, view: View, unheard: int, expects: bool) -> Trust:
        """`expects`: the terms name seeds, so that being alone is no fleet of one."""
        others = view.living - 1
        if 2 * view.living < view.living + view.gone or unheard >= UNHEARD:
            return Trust.CUT_OFF
        if not others:
            return Trust.UNSETTLED if expects else Trust.SETTLED
        if view.suspects:
            return Trust.UNSETTLED
        digest, agreeing = view.digest, set()
        for at, name, heard in reversed(self._heard):
            if now - at > self._fresh:
                break
            if name in agreeing:
                continue  # its later word counts
            if heard != digest:
                return Trust.UNSETTLED
            agreeing.add(name)
        return Trust.SETTLED if len(agreeing) >= min(AGREEING, others) else Trust.UNSETTLED
