"""Member records, and the one rule that decides which of two records of a name is the later.

A process draws a random `incarnation` at its start; no two processes share one. Within an incarnation,
`sequence` grows with each record that the process publishes of itself, and orders these records. It is what
SWIM calls the incarnation number: a member refutes a suspicion by raising it.

Between two incarnations neither clocks nor numbers decide: the later one is the one that names the other in
`previous_incarnations`. A process that starts knows of no previous incarnation. Whoever holds one sends it
that record, and it supersedes that one by naming it. A process that ended before another began can never have
named it, so nobody who has seen the later one goes back: not with a clock set back an hour, not without a
disk, and whatever datagrams come late. Only two processes that run at the same time may each name the other;
then `generation` decides, which is above every generation that its process had heard of when it was raised.
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


class MemberState(IntEnum):
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


LIVE_STATES = (MemberState.ALIVE, MemberState.SUSPECT)


class MemberRecord(Struct, frozen=True, array_like=True, gc=False):
    """One member, as published by itself or as reported by others.

    `place`: the member's index within the fleet, from its configuration. `generation`: at first the wall
    clock at its start, ms. `previous_incarnations`: latest first. `version`: of its program. `name_conflict`:
    another process runs under its name. `accuser`: who reported it, where `state` is SUSPECT or GONE.

    These are wire data: the order of the fields is fixed.
    """

    name: str
    region: str
    place: int
    address: str
    generation: int
    incarnation: int
    sequence: int = 0
    state: MemberState = MemberState.ALIVE
    previous_incarnations: tuple[int, ...] = ()
    version: str = ""
    config_digest: str = ""
    phase: Phase = Phase.SERVING
    name_conflict: bool = False
    accuser: str = ""

    @property
    def is_live(self) -> bool:
        """Whether the member is believed to run: alive or suspect."""
        return self.state <= MemberState.SUSPECT

    @property
    def size(self) -> int:
        """An upper bound of its size in a message, bytes."""
        texts = (self.name, self.region, self.address, self.version, self.config_digest, self.accuser)
        text_bytes = sum(len(text.encode()) for text in texts)
        return FIXED_RECORD_BYTES + INCARNATION_BYTES * len(self.previous_incarnations) + text_bytes


def self_reported_facts(record: MemberRecord) -> tuple[object, ...]:
    """What a process publishes of itself beside its identity."""
    location = record.region, record.place, record.address
    return *location, record.version, record.config_digest, int(record.phase), record.name_conflict


def supersedes(candidate: MemberRecord, current: MemberRecord) -> bool:
    """Whether `candidate` is the later record of the two."""
    if candidate.incarnation == current.incarnation:
        return (candidate.sequence, candidate.state) > (current.sequence, current.state)
    if current.incarnation not in candidate.previous_incarnations:
        return False
    if candidate.incarnation not in current.previous_incarnations:
        return True
    # Two processes that run at the same time have each named the other: one order for all members.
    return (candidate.generation, candidate.incarnation) > (current.generation, current.incarnation)


def are_unrelated(candidate: MemberRecord, current: MemberRecord) -> bool:
    """Whether these are two incarnations neither of which has named the other."""
    if candidate.incarnation == current.incarnation:
        return False
    return (
        current.incarnation not in candidate.previous_incarnations
        and candidate.incarnation not in current.previous_incarnations
    )


def as_reported(record: MemberRecord, state: MemberState, accuser: str) -> MemberRecord:
    """The record with the state that another member reports."""
    return msgspec.structs.replace(record, state=state, accuser=accuser)


def next_own_record(record: MemberRecord, state: MemberState = MemberState.ALIVE) -> MemberRecord:
    """The next record that a member publishes of itself."""
    return msgspec.structs.replace(record, sequence=record.sequence + 1, state=state, accuser="")


def refuting_record(own: MemberRecord, accusation: MemberRecord) -> MemberRecord:
    """The own record, later than one that reports this process as suspect or gone."""
    return next_own_record(msgspec.structs.replace(own, sequence=max(own.sequence, accusation.sequence)))


def superseding_record(own: MemberRecord, other: MemberRecord) -> MemberRecord:
    """The own record once it names another incarnation of the name."""
    earlier = (incarnation for incarnation in own.previous_incarnations if incarnation != other.incarnation)
    previous = (other.incarnation, *earlier)[:MAX_PREVIOUS_INCARNATIONS]
    generation = max(own.generation, other.generation + 1)
    updated = msgspec.structs.replace(own, generation=generation, previous_incarnations=previous)
    return next_own_record(updated)
