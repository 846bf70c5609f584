"""Who is suspected, by whom, and until when it may say otherwise.

One accuser may be the one who is deaf: alone it waits longer, and no time runs shorter than the first
accuser's word. An instance that doubts itself gives everybody more time, by `patience`. When the time is
up the holder asks once more itself (the last word) before it puts anybody away.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from valverouter.membership.rules import Rules

# The last word's probe ends within one period of the holder's patience; until then no second one begins.
LAST_WORD_PERIODS = 4


@dataclass(slots=True)
class Suspicion:
    """One member's, from its first accusation on our clock."""

    began: int
    ends: int = 0
    accusers: set[str] = field(default_factory=set)


class Suspicions:
    """By name. An entry leaves when its member speaks, goes or leaves."""

    def __init__(self, rules: Rules) -> None:
        self._rules = rules
        self._open: dict[str, Suspicion] = {}

    def over(self, name: str) -> None:
        """It spoke, or is known to be gone."""
        self._open.pop(name, None)

    def accuse(self, name: str, by: str, now: int, living: int, patience: int) -> int | None:
        """When its time is up, now that `by` accuses it too; None where that is nothing new.

        `living`: members of the view, this one and the suspect among them.
        """
        rules = self._rules
        one = self._open.get(name)
        if one is None:
            one = self._open[name] = Suspicion(now)
        if by in one.accusers or len(one.accusers) > rules.accusers:
            return None
        one.accusers.add(by)
        # In a fleet of three only one other is left that could accuse.
        enough = len(one.accusers) >= min(rules.accusers, max(1, living - 2))
        span = int(rules.suspicion * rules.period * patience)
        one.ends = one.began + (span if enough else int(span * rules.alone))
        return max(one.ends, now)

    def is_due(self, name: str, now: int) -> bool:
        one = self._open.get(name)
        return one is None or one.ends <= now

    def ends(self, name: str) -> int:
        return self._open[name].ends

    def last_word(self, name: str, now: int, patience: int) -> None:
        """The holder asks: a second timer of the same suspicion must not ask again."""
        one = self._open.setdefault(name, Suspicion(now))
        one.began, one.ends = now, now + LAST_WORD_PERIODS * self._rules.period * patience

    def answered(self, name: str, now: int) -> None:
        """It answered us: whatever others say, its own word is on its way, and gets the time to come."""
        one = self._open.get(name)
        if one is not None:
            one.ends = max(one.ends, now + int(self._rules.suspicion * self._rules.period))

    def later(self, span: int) -> None:
        """This instance did not run for so long, and heard nobody."""
        for one in self._open.values():
            one.ends += span
