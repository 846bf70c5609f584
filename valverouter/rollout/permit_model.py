"""A walk of all steps of three givers and their holders: never more out than allowed.

The givers' agreement is that of `council.py` with its exchanges as single steps, each of which may reach any
part of the others: an election takes the votes of any set that gives them; a leader's words of a term are the
beginnings of its record, any of which may reach anybody, once, often, late (after that leader's fall too), or
never. What the machine answers is `Register`'s own, over any beginning that was agreed on, and its word
reaches a holder likewise. A holder acts by `Fence`. So a stop is a word that comes later than others.

    out      really out, whatever anybody believes: at most `most`
    one      what is agreed on at a place is the same for all time

`without` plants a fault: fence (a holder acts on any permit), lapse (a permit ends though its holder is out),
twice (a giver's vote counts twice), memory (a crash loses what was durable). That entries of a former term
are agreed on with one of the leader's own only takes five terms to matter; tests/test_rollout.py steps
that by hand.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Iterator
from dataclasses import dataclass, replace
from itertools import combinations

from valverouter.rollout.disruption_limits import DisruptionLimits, Instance, InstanceKind
from valverouter.rollout.disruption_permits import (
    EnrollInstances,
    Fence,
    InstanceReturned,
    Permit,
    PermitRegister,
    RequestPermit,
)

PLANTED_FAULTS = ("fence", "lapse", "twice", "memory")
GIVERS = 3
MAJORITY = 2

Entry = tuple[int, RequestPermit | InstanceReturned]
Record = tuple[Entry, ...]


class InvariantViolationError(Exception):
    """What a step broke."""


@dataclass(frozen=True, slots=True)
class Giver:
    """What is durable, and the term that it leads: 0, none."""

    term: int = 0
    voted: int = -1
    record: Record = ()
    leads: int = 0


@dataclass(frozen=True, slots=True)
class Holder:
    out: int = 0
    highest: int = 0
    spent: int = 0


@dataclass(frozen=True, slots=True)
class State:
    """`words`: each term's leader's record as far as it grew. `acks`: (term, giver, length). `asked`:
    commands
    that any leader may take up, any number of times."""

    givers: tuple[Giver, ...] = (Giver(),) * GIVERS
    holders: tuple[Holder, ...] = ()
    words: tuple[Record, ...] = ()
    acks: frozenset[tuple[int, int, int]] = frozenset()
    agreed: Record = ()
    asked: frozenset[RequestPermit | InstanceReturned] = frozenset()
    crashes: int = 0


@dataclass(frozen=True, slots=True)
class PermitModel:
    holders: int = 2
    max_unavailable: int = 1
    max_terms: int = 2
    max_log_length: int = 3
    max_crashes: int = 1
    planted_fault: str = ""
    # Whether the newest state is gone on from first: a planted fault many steps away is found sooner.
    depth_first: bool = False

    def explore(self, limit: int = 3_000_000) -> int:
        """How many states there are; raises Broken at the first that breaks a property."""
        asks = frozenset(RequestPermit(f"a{at}", f"h{at}") for at in range(self.holders))
        begin = State(holders=(Holder(),) * self.holders, words=((),) * self.max_terms, asked=asks)
        seen, waiting = {begin}, deque([begin])
        while waiting:
            for after in self._steps(waiting.pop() if self.depth_first else waiting.popleft()):
                if after not in seen:
                    self._check(after)
                    seen.add(after)
                    waiting.append(after)
                    if len(seen) > limit:
                        raise MemoryError(f"over {limit} states")
        return len(seen)

    def _check(self, state: State) -> None:
        out = sum(holder.out > 0 for holder in state.holders)
        if out > self.max_unavailable:
            raise InvariantViolationError(
                f"out: {out} are out by permits {[holder.out for holder in state.holders]}"
            )

    def _steps(self, state: State) -> Iterator[State]:
        for at, giver in enumerate(state.givers):
            yield from self._elects(state, at, giver)
            if giver.leads:
                yield from self._takes_up(state, at, giver)
                yield from self._agrees(state, at, giver)
            if state.crashes < self.max_crashes:
                down = Giver() if self.planted_fault == "memory" else replace(giver, leads=0)
                yield replace(_with(state, at, down), crashes=state.crashes + 1)
        for term, record in enumerate(state.words, 1):
            for length in range(1, len(record) + 1):
                for at in range(GIVERS):
                    if (
                        state.givers[at].record[:length] == record[:length]
                        and (term, at, length) in state.acks
                    ):
                        continue
                    yield from self._hears(state, at, term, record[:length])
        yield from self._holders(state)

    # Givers

    def _elects(self, state: State, at: int, giver: Giver) -> Iterator[State]:
        term = giver.term + 1
        if term > self.max_terms:
            return
        willing = [
            other
            for other in range(GIVERS)
            if other != at and self._gives(state.givers[other], term, giver.record)
        ]
        needed = MAJORITY - 1 if self.planted_fault != "twice" else 0
        for voters in combinations(willing, needed):
            givers = list(state.givers)
            for other in voters:
                givers[other] = replace(givers[other], term=term, voted=at, leads=0)
            givers[at] = replace(giver, term=term, voted=at, leads=term)
            words = _put(state.words, term, giver.record)
            yield replace(state, givers=tuple(givers), words=words)

    @staticmethod
    def _gives(other: Giver, term: int, record: Record) -> bool:
        fresh = other.term < term or (other.term == term and other.voted == -1)
        last, mine = (other.record[-1][0] if other.record else 0), (record[-1][0] if record else 0)
        return fresh and (mine, len(record)) >= (last, len(other.record))

    def _takes_up(self, state: State, at: int, giver: Giver) -> Iterator[State]:
        if len(giver.record) >= self.max_log_length:
            return
        for command in state.asked:
            if any(command == kept for _, kept in giver.record):
                continue  # taken up twice it changes nothing: the machine's own tests say so
            record = (*giver.record, (giver.leads, command))
            after = _with(state, at, replace(giver, record=record))
            yield replace(after, words=_put(state.words, giver.leads, record))

    def _hears(self, state: State, at: int, term: int, record: Record) -> Iterator[State]:
        """A beginning of the record of the leader of `term`, as it was when it was sent."""
        giver = state.givers[at]
        if giver.term > term or giver.leads == term:
            return
        kept = giver.record if giver.record[: len(record)] == record else record
        voted = giver.voted if giver.term == term else -1
        after = _with(state, at, Giver(term, voted, kept))
        # The longest that it told of a term says all that the shorter ones do.
        longest = max([len(record), *(has for t, other, has in state.acks if (t, other) == (term, at))])
        others = frozenset(ack for ack in state.acks if ack[:2] != (term, at))
        yield replace(after, acks=others | {(term, at, longest)})

    def _agrees(self, state: State, at: int, giver: Giver) -> Iterator[State]:
        for length in range(1, len(giver.record) + 1):
            having = {other for term, other, has in state.acks if term == giver.leads and has >= length}
            if len(having | {at}) < MAJORITY:
                continue
            if giver.record[length - 1][0] != giver.leads:
                continue
            record = giver.record[:length]
            if record[: len(state.agreed)] != state.agreed[:length]:
                raise InvariantViolationError(f"one: {state.agreed} was agreed on, and now {record}")
            if length > len(state.agreed):
                yield replace(state, agreed=record)

    # Holders

    def _holders(self, state: State) -> Iterator[State]:
        for at, holder in enumerate(state.holders):
            if holder.out:
                after = replace(holder, out=0, spent=holder.out)
                told = state.asked | {InstanceReturned(f"h{at}", holder.out)}
                yield replace(_held(state, at, after), asked=told)
                if self.planted_fault == "lapse":
                    yield replace(state, asked=told)
                continue
            for permit in self._permits(state.agreed):
                if permit.name == f"h{at}" and self._accepts(holder, permit):
                    after = replace(holder, out=permit.number, highest=permit.number)
                    yield _held(state, at, after)

    def _accepts(self, holder: Holder, permit: Permit) -> bool:
        fence = Fence({permit.name: holder.highest}, {permit.name: holder.spent})
        return self.planted_fault == "fence" or fence.accepts(permit)

    def _permits(self, agreed: Record) -> list[Permit]:
        """Every permit that the machine gave over what is agreed on."""
        register = PermitRegister()
        units = tuple(Instance(f"h{at}", InstanceKind.EDGE, "", 1) for at in range(self.holders))
        limits = DisruptionLimits(self.max_unavailable, self.max_unavailable)
        register.apply(0, EnrollInstances(units, ((InstanceKind.EDGE, limits),)))
        given = []
        for number, (_, command) in enumerate(agreed, 1):
            answer = register.apply(number, command)
            if answer is not None and answer.permit is not None:
                given.append(answer.permit)
        return given


def _with(state: State, at: int, giver: Giver) -> State:
    return replace(state, givers=(*state.givers[:at], giver, *state.givers[at + 1 :]))


def _held(state: State, at: int, holder: Holder) -> State:
    return replace(state, holders=(*state.holders[:at], holder, *state.holders[at + 1 :]))


def _put(words: tuple[Record, ...], term: int, record: Record) -> tuple[Record, ...]:
    return (*words[: term - 1], record, *words[term:])
