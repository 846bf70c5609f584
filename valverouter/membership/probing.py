"""Probes under way, and how well this instance itself hears: SWIM's rounds with Lifeguard's local health.

An instance that is stalled, starved or cut off finds everybody silent. Its own health, 0 when all is well,
makes it wait longer before it says so of others. It gets worse by a probe that not even the helpers answer
to, by finding itself accused, and by running late; better by each probe that is answered.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from valverouter.membership.rules import Rules


@dataclass(slots=True)
class Probe:
    """One member asked whether it is there, and what was last known that it said of itself (`seq`): if it has
    said more since, its silence says nothing. `for_whom`: address and nonce of the one who asked us to."""

    name: str
    life: int
    seq: int
    address: str
    until: int
    nacked: bool = False
    last_word: bool = False
    for_whom: tuple[str, int] | None = None


class Probes:
    """By nonce. Emptied by answers and by verdicts."""

    def __init__(self, rules: Rules, draw: Callable[[], float]) -> None:
        self._rules = rules
        self._draw = draw
        self.open: dict[int, Probe] = {}
        self.health = 0
        # How many probes of our own in a row went without an answer or a helper's word.
        self.unheard = 0
        self._order: list[str] = []
        self._nonces = 0

    @property
    def patience(self) -> int:
        """By how much longer than a healthy instance this one waits."""
        return 1 + (self.health if self._rules.doubts_itself else 0)

    def begin(self, probe: Probe) -> int:
        """The nonce for a probe: nobody who did not hear it can answer."""
        nonce = int(self._draw() * 2**52) << 12 | (self._nonces & 0xFFF)
        self._nonces += 1
        self.open[nonce] = probe
        return nonce

    def next(self, living: Callable[[], list[str]], lives: Callable[[str], bool]) -> str | None:
        """Whom to probe: everyone once, in an order drawn anew each time round, so that nobody waits for
        longer than two rounds."""
        while self._order:
            name = self._order.pop()
            if lives(name):
                return name
        self._order = living()
        order, draw = self._order, self._draw
        for at in range(len(order) - 1, 0, -1):
            other = int(draw() * (at + 1))
            order[at], order[other] = order[other], order[at]
        return self._order.pop() if self._order else None

    def joined(self, name: str) -> None:
        """A new member comes in at a drawn place of the present round."""
        self._order.insert(int(self._draw() * (len(self._order) + 1)), name)

    def answered(self) -> None:
        self.health = max(0, self.health - 1)
        self.unheard = 0

    def failed(self, nacked: bool) -> None:
        if not nacked:
            self.worse()
            self.unheard += 1

    def worse(self) -> None:
        self.health = min(self._rules.health_most, self.health + 1)

    def void(self) -> None:
        """We did not run for a while: what was open then says nothing of those asked."""
        self.open.clear()
