"""Member records, and the one rule that decides which of two records of a name is the later.

A process draws a random `life` (its incarnation) at its start; no two processes share one. Within an
incarnation, `seq` grows with each record that the process publishes of itself, and orders them.
It does what SWIM calls the incarnation number.

Between two incarnations neither clocks nor numbers decide: the later one is the one that names the other in
`over`. A process that starts knows of no previous incarnation. Whoever holds one tells it, and it supersedes it by
naming it. A process that ended before another began can never have named it, so nobody who has seen the later one
goes back: not with a clock set back an hour, not without a disk, and whatever datagrams come late. Only two
processes that run at the same time may each name the other; then `number` (the generation) decides, which is above
every generation that its process had heard of when it was raised.
"""

from __future__ import annotations

from enum import IntEnum

import msgspec
from msgspec import Struct

# A record names at most so many previous incarnations.
MAX_PREVIOUS_INCARNATIONS = 3
# Upper bounds of a record's encoded size, bytes: all fields but the texts, and one previous incarnation.
FIXED_RECORD_BYTES = 64
INCARNATION_BYTES = 9


class State(IntEnum):
    """The state of a member. Of two records with one sequence, the higher state is the later."""

    ALIVE = 0
    SUSPECT = 1
    GONE = 2
    LEFT = 3
    # Of a configured address that nobody has answered from; never sent to other members.
    UNKNOWN = 4


class Phase(IntEnum):
    """Whether a member accepts dialogs or is being drained."""

    SERVING = 0
    DRAINING = 1


LIVING = (State.ALIVE, State.SUSPECT)


class Record(Struct, frozen=True, array_like=True, gc=False):
    """One member, as published by itself or as reported by others.

    `place`: the member's index within the fleet, from its configuration. `number`: the generation, at first the
    wall clock's ms. `over`: previous incarnations, latest first. `version`, `terms`: of its program, and the
    digest of its configuration. `twin`: another process runs under its name. `by`: who reported it, where `state` is
    SUSPECT or GONE.

    These are wire data: the order of the fields is fixed.
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
        """Whether the member is believed to run: alive or suspect."""
        return self.state <= State.SUSPECT

    @property
    def size(self) -> int:
        """An upper bound of its size in a message, bytes."""
        texts = (self.name, self.region, self.address, self.version, self.terms, self.by)
        text_bytes = sum(len(text.encode()) for text in texts)
        return FIXED_RECORD_BYTES + INCARNATION_BYTES * len(self.over) + text_bytes


def self_reported_facts(record: Record) -> tuple[object, ...]:
    """What a process publishes of itself beside its identity."""
    location = record.region, record.place, record.address
    return *location, record.version, record.terms, int(record.phase), record.twin


def supersedes(candidate: Record, current: Record) -> bool:
    """Whether `candidate` is the later record of the two."""
    if candidate.life == current.life:
        return (candidate.seq, candidate.state) > (current.seq, current.state)
    if current.life not in candidate.over:
        return False
    if candidate.life not in current.over:
        return True
    # Two processes that run at the same time have each named the other: one order for all members.
    return (candidate.number, candidate.life) > (current.number, current.life)


def are_unrelated(candidate: Record, current: Record) -> bool:
    """Whether these are two incarnations neither of which has named the other."""
    if candidate.life == current.life:
        return False
    return current.life not in candidate.over and candidate.life not in current.over


def as_reported(record: Record, state: State, accuser: str) -> Record:
    """The record with the state that another member reports."""
    return msgspec.structs.replace(record, state=state, by=accuser)


def next_own_record(record: Record, state: State = State.ALIVE) -> Record:
    """The next record that a member publishes of itself."""
    return msgspec.structs.replace(record, seq=record.seq + 1, state=state, by="")


def refuting_record(own: Record, accusation: Record) -> Record:
    """The own record, later than one that reports this process as suspect or gone."""
    return next_own_record(msgspec.structs.replace(own, seq=max(own.seq, accusation.seq)))


def superseding_record(own: Record, other: Record) -> Record:
    """The own record once it names another incarnation of the name."""
    earlier = (incarnation for incarnation in own.over if incarnation != other.life)
    previous = (other.life, *earlier)[:MAX_PREVIOUS_INCARNATIONS]
    raised = msgspec.structs.replace(own, number=max(own.number, other.number + 1), over=previous)
    return next_own_record(raised)
