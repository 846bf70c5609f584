"""Words under our own name that are not ours: a former self, or another process alive beside us.

A former self is gone over once, and named. A process that has been named by another as former, and lives,
is a twin: neither raises itself over the other again, so that the fleet's view stays with one of them, and
both tell. A twin is believed only on its own answer to a nonce of ours, since a datagram of a former self
may come late. When nothing was heard of it for a while, or its end is told, what remains is a former self
again.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from valverouter.membership.records import Record, State, supersedes


class Answer(Enum):
    """What to do about a record under our own name."""

    NOTHING = "nothing"
    # We had been doubted or put away: say that we live.
    REFUTE = "refute"
    # A life that we have not named, and that may be held where we should be: go above it.
    RAISE = "raise"
    # It lives, or may: ask at its address.
    ASK = "ask"


def answer(mine: Record, news: Record, twin: int) -> Answer:
    """`twin`: the life that we know to live beside us; 0: none."""
    if news.life == mine.life:
        doubted = news.seq >= mine.seq and news.state != State.ALIVE and mine.state != State.LEFT
        return Answer.REFUTE if doubted else Answer.NOTHING
    if news.state > State.SUSPECT:
        # Its end. Whoever holds it would not take us for present before we have named it.
        return Answer.NOTHING if supersedes(mine, news) else Answer.RAISE
    if news.life == twin:
        return Answer.NOTHING
    if mine.life in news.over:
        # It was told of us when it began, and we live: both run, or the word is old and it has ended. Its
        # address can tell.
        return Answer.ASK
    return Answer.NOTHING if news.life in mine.over else Answer.RAISE


@dataclass(slots=True)
class Twin:
    """Another process that answered under our name, and when it last did."""

    life: int = 0
    address: str = ""
    heard_at: int = 0

    def heard(self, life: int, address: str, now: int) -> bool:
        """Whether that is news."""
        fresh = life != self.life
        self.life, self.address, self.heard_at = life, address, now
        return fresh

    def is_over(self, now: int, patience: int) -> bool:
        return self.life != 0 and now - self.heard_at > patience

    def clear(self) -> None:
        self.life, self.address, self.heard_at = 0, "", 0
