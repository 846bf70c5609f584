"""What is told of a member, and which of two words on one name is the later: the one rule that all share.

A process draws a `life` at its start, 64 random bits, and no two processes have one in common. `seq` grows
with each word that a process says of itself, so that within a life the order is its own.

Between two lives neither clocks nor numbers decide: the later is the one that names the other in `over`. A
process that begins knows of no former self. Whoever holds one tells it, and it goes above it, naming it. One
that ended before another began can never have named it, so nobody who has seen the later process goes back,
with a clock set back an hour, without a disk, and whatever comes late. Only of two that run at once may each
name the other: then `number` decides, which is above all that its process had heard of when it was raised.
"""

from __future__ import annotations

from enum import IntEnum

import msgspec
from msgspec import Struct

# So many former lives a record names at most.
OVER_MOST = 3
# A record's fields in bytes beside its texts, as a bound.
FIXED = 64


class State(IntEnum):
    """The later in this list holds where one life said, or had said of it, two things in one `seq`."""

    ALIVE = 0
    SUSPECT = 1
    GONE = 2
    LEFT = 3
    # Of an address that the terms name and nobody has answered from; never told to others.
    UNKNOWN = 4


class Phase(IntEnum):
    SERVING = 0
    DRAINING = 1


LIVING = (State.ALIVE, State.SUSPECT)


class Record(Struct, frozen=True, array_like=True, gc=False):
    """One member as told. `by`: who accuses it, where `state` is SUSPECT or GONE.

    `twin`: it has found another process alive under its name. `version`, `terms`: of its program and of its
    file, as it tells them.
    """

    name: str
    region: str
    place: int
    address: str
    number: int
    life: int
    seq: int = 0
    state: State = State.ALIVE
    over: tuple[int, ...] = ()
    version: str = ""
    terms: str = ""
    phase: Phase = Phase.SERVING
    twin: bool = False
    by: str = ""

    @property
    def lives(self) -> bool:
        return self.state <= State.SUSPECT

    @property
    def size(self) -> int:
        """Bytes that it takes at most in a message."""
        texts = (self.name, self.region, self.address, self.version, self.terms, self.by)
        return FIXED + 9 * len(self.over) + sum(len(text.encode()) for text in texts)


def facts(record: Record) -> tuple[object, ...]:
    """What a process tells of itself beside who it is."""
    place = record.region, record.place, record.address
    return *place, record.version, record.terms, int(record.phase), record.twin


def supersedes(news: Record, held: Record) -> bool:
    """Whether `news` is the later word."""
    if news.life == held.life:
        return (news.seq, news.state) > (held.seq, held.state)
    if held.life not in news.over:
        return False
    # Twins that each went above the other: one order for all.
    return news.life not in held.over or (news.number, news.life) > (held.number, held.life)


def unaware(news: Record, held: Record) -> bool:
    """Whether these are two lives neither of which has heard of the other."""
    return news.life != held.life and held.life not in news.over and news.life not in held.over


def told(record: Record, state: State, by: str) -> Record:
    """What another member says of it."""
    return msgspec.structs.replace(record, state=state, by=by)


def said(record: Record, state: State = State.ALIVE) -> Record:
    """The next word that a member says of itself."""
    return msgspec.structs.replace(record, seq=record.seq + 1, state=state, by="")


def above(mine: Record, other: Record) -> Record:
    """My record over that of another life under my name."""
    over = (other.life, *(life for life in mine.over if life != other.life))[:OVER_MOST]
    raised = msgspec.structs.replace(mine, number=max(mine.number, other.number + 1), over=over)
    return said(raised)
