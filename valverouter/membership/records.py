"""Member records, and the single rule that decides which of two records of a name is later.

A process draws a random `incarnation` at its start, unique to that process. Within an incarnation, `sequence`
increases with each record that the process publishes of itself, and orders these records. It corresponds to
the incarnation number in the SWIM paper: a member refutes a suspicion by increasing it.

Two incarnations are not ordered by clocks or numbers: the later one is the one that names the other in
`previous_incarnations`. A starting process knows no previous incarnation. A member that has a record of one
sends it to the process, which supersedes that incarnation by naming it. A process can't have named one that
started after its own end, so a member that has seen the later one never reverts to the earlier one, even if a
clock is set back by an hour, no disk is available or datagrams are delayed. Only two processes that run at
the same time can each name the other; they are ordered by `generation`, which on each increase becomes
greater than every generation that its process has received.
"""

from __future__ import annotations

from enum import IntEnum

import msgspec
from msgspec import Struct

# The maximum number of previous incarnations that a record names.
MAX_PREVIOUS_INCARNATIONS = 3
# Upper bounds of encoded sizes, bytes: of a record's fields except texts and previous incarnations, and of
# one previous incarnation.
FIXED_RECORD_BYTES = 64
INCARNATION_BYTES = 9


class MemberState(IntEnum):
    """The state of a member. Of two records with equal sequences, the one with the higher state is later."""

    ALIVE = 0
    SUSPECT = 1
    GONE = 2
    LEFT = 3
    # The state of a configured address without an answer; never sent to other members.
    UNKNOWN = 4


class Phase(IntEnum):
    """Whether a member accepts dialogs or is being drained."""

    SERVING = 0
    DRAINING = 1


LIVE_STATES = (MemberState.ALIVE, MemberState.SUSPECT)


class MemberRecord(Struct, frozen=True, array_like=True, gc=False):
    """The record of one member, as published by the member or as reported by others.

    `place`: the member's index within the fleet, from its configuration. `generation`: initially the wall
    clock at the member's start, ms. `previous_incarnations`: latest first. `version`: of the member's
    program. `name_conflict`: another process runs under the name. `accuser`: the name of the member that
    reported the state SUSPECT or GONE.

    This is the wire format: the order of the fields must not change.
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
        """An upper bound of the record's encoded size, bytes."""
        texts = (self.name, self.region, self.address, self.version, self.config_digest, self.accuser)
        text_bytes = sum(len(text.encode()) for text in texts)
        return FIXED_RECORD_BYTES + INCARNATION_BYTES * len(self.previous_incarnations) + text_bytes


def self_reported_facts(record: MemberRecord) -> tuple[object, ...]:
    """Returns the facts that a process publishes of itself besides its identity."""
    location = record.region, record.place, record.address
    return *location, record.version, record.config_digest, int(record.phase), record.name_conflict


def supersedes(candidate: MemberRecord, current: MemberRecord) -> bool:
    """Returns whether `candidate` is the later of the two records."""
    if candidate.incarnation == current.incarnation:
        return (candidate.sequence, candidate.state) > (current.sequence, current.state)
    if current.incarnation not in candidate.previous_incarnations:
        return False
    if candidate.incarnation not in current.previous_incarnations:
        return True
    # Two concurrent processes have each named the other: all members must order them in the same way.
    return (candidate.generation, candidate.incarnation) > (current.generation, current.incarnation)


def are_unrelated(candidate: MemberRecord, current: MemberRecord) -> bool:
    """Returns whether the records are of two incarnations neither of which names the other."""
    if candidate.incarnation == current.incarnation:
        return False
    return (
        current.incarnation not in candidate.previous_incarnations
        and candidate.incarnation not in current.previous_incarnations
    )


def as_reported(record: MemberRecord, state: MemberState, accuser: str) -> MemberRecord:
    """Returns the record with a state that another member reports."""
    return msgspec.structs.replace(record, state=state, accuser=accuser)


def next_own_record(record: MemberRecord, state: MemberState = MemberState.ALIVE) -> MemberRecord:
    """Returns the next record that a member publishes of itself."""
    return msgspec.structs.replace(record, sequence=record.sequence + 1, state=state, accuser="")


def refuting_record(own: MemberRecord, accusation: MemberRecord) -> MemberRecord:
    """Returns the own record, made later than an accusation against this process."""
    return next_own_record(msgspec.structs.replace(own, sequence=max(own.sequence, accusation.sequence)))


def superseding_record(own: MemberRecord, other: MemberRecord) -> MemberRecord:
    """Returns the next own record, which names `other` as a previous incarnation and so supersedes it."""
    earlier = (incarnation for incarnation in own.previous_incarnations if incarnation != other.incarnation)
    previous = (other.incarnation, *earlier)[:MAX_PREVIOUS_INCARNATIONS]
    generation = max(own.generation, other.generation + 1)
    updated = msgspec.structs.replace(own, generation=generation, previous_incarnations=previous)
    return next_own_record(updated)
