"""An explicit-state model of one member name: its processes, sequential or concurrent, and two observers.

The model checker explores all interleavings of starts, exits, accusations, deliveries and removals breadth
first. Decisions are made by the program's own functions: `supersedes`, `classify_own_name_record`,
`superseding_record`, `refuting_record`, `as_reported`. A published record may reach any process or observer
at any later time, any number of times, or never, which covers loss, delay, duplication and reordering. Clocks
may be wrong in both directions: a new process draws a generation below or above all previous ones.

Properties:

- No reversion: an observer never replaces a process by one that ended before that process started, unless it
  has forgotten the name in between.
- Bounded supersession: two processes under one name don't supersede each other without end.
- Convergence: from every state, once faults have ended and records are delivered, all observers hold the same
  running process as alive.

With any single rule of the protocol omitted, the exploration must raise `PropertyViolationError`. This shows
that the rule is necessary and that the model detects its absence.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Iterator
from dataclasses import dataclass, replace
from enum import Enum
from typing import TypeVar

import msgspec

from valverouter.membership.name_conflicts import ConflictAction, classify_own_name_record
from valverouter.membership.records import (
    LIVE_STATES,
    MemberRecord,
    MemberState,
    as_reported,
    refuting_record,
    supersedes,
    superseding_record,
)

# The generations that a new process draws: of a clock that was set back, and of a correct one.
LOW_GENERATION, HIGH_GENERATION = 1, 5
# A greater generation shows that processes supersede each other without end.
MAX_GENERATION = 12
# The maximum number of rounds, each delivering all records to all recipients, until the state is stable.
MAX_DELIVERY_ROUNDS = 24
OBSERVER_COUNT = 2

Item = TypeVar("Item")


class ProtocolRule(Enum):
    """The protocol rules that an exploration can omit."""

    # A superseding record names the incarnation that it supersedes.
    NAMING = "naming"
    # Of two incarnations, the one that names the other is later, not the one with the higher generation.
    ORDER = "order"
    # A process refutes accusations.
    REFUTE = "refute"
    # A process supersedes previous incarnations.
    SUPERSEDE = "supersede"
    # A process verifies that another one runs under its name before it supersedes it.
    VERIFY = "verify"
    # Within an incarnation, the sequence orders records.
    SEQUENCE = "sequence"
    # Two incarnations that name each other are ordered by generation.
    TIE_BREAK = "tie-break"


class PropertyViolationError(Exception):
    """A state or step that violates a property."""


class StateLimitError(Exception):
    """An exploration that reached more states than allowed."""


@dataclass(frozen=True, slots=True)
class ModelProcess:
    """A process of the name. `conflicting`: the other incarnation proven to run concurrently; 0: none."""

    own_record: MemberRecord
    is_running: bool = True
    conflicting: int = 0


@dataclass(frozen=True, slots=True)
class ModelState:
    """A state of the model.

    `held`: each observer's current record. `seen`: the incarnations that each observer has held since it last
    forgot the name. `published`: all records ever published. `concurrent`: pairs of incarnations that ran at
    the same time, so that neither precedes the other.
    """

    processes: tuple[ModelProcess, ...] = ()
    held: tuple[MemberRecord | None, ...] = (None,) * OBSERVER_COUNT
    seen: tuple[frozenset[int], ...] = (frozenset(),) * OBSERVER_COUNT
    published: frozenset[MemberRecord] = frozenset()
    accusations: int = 0
    concurrent: frozenset[tuple[int, int]] = frozenset()

    def running(self) -> list[ModelProcess]:
        """Returns the running processes in the order of their starts."""
        return [process for process in self.processes if process.is_running]

    def with_published(self, *records: MemberRecord) -> ModelState:
        """Returns the state after the records are published."""
        return replace(self, published=self.published.union(records))

    def with_held(self, observer: int, record: MemberRecord) -> ModelState:
        """Returns the state after the observer stores the record."""
        seen = self.seen[observer] | {record.incarnation}
        return replace(
            self,
            held=_replace_item(self.held, observer, record),
            seen=_replace_item(self.seen, observer, seen),
        )

    def with_forgotten(self, observer: int) -> ModelState:
        """Returns the state after the observer forgets the name."""
        nothing_seen: frozenset[int] = frozenset()
        return replace(
            self,
            held=_replace_item(self.held, observer, None),
            seen=_replace_item(self.seen, observer, nothing_seen),
        )

    def with_process(self, index: int, process: ModelProcess) -> ModelState:
        """Returns the state with one process replaced."""
        return replace(self, processes=_replace_item(self.processes, index, process))


@dataclass(frozen=True, slots=True)
class Model:
    """A model with a bounded number of processes and accusations.

    `max_concurrent`: the maximum number of processes that run at the same time. `omitted`: the protocol rule
    that isn't applied.
    """

    max_processes: int = 3
    max_accusations: int = 2
    max_concurrent: int = 1
    can_forget: bool = True
    omitted: ProtocolRule | None = None

    def explore(self, state_limit: int = 2_000_000) -> int:
        """Explores all reachable states and returns their number.

        Raises PropertyViolationError at the first violation, StateLimitError above `state_limit` states.
        """
        start = ModelState()
        explored = {start}
        frontier = deque([start])
        while frontier:
            state = frontier.popleft()
            self._check_convergence(state)
            for successor in self._successors(state):
                if successor in explored:
                    continue
                explored.add(successor)
                frontier.append(successor)
                if len(explored) > state_limit:
                    raise StateLimitError(f"more than {state_limit} states")
        return len(explored)

    # The protocol, without the omitted rule

    def _supersedes(self, candidate: MemberRecord, current: MemberRecord) -> bool:
        if candidate.incarnation == current.incarnation:
            if self.omitted is ProtocolRule.SEQUENCE:
                return (candidate.state, candidate.sequence) > (current.state, current.sequence)
        elif self.omitted is ProtocolRule.ORDER:
            return candidate.generation > current.generation
        elif self.omitted is ProtocolRule.TIE_BREAK:
            return current.incarnation in candidate.previous_incarnations
        return supersedes(candidate, current)

    def _superseding_record(self, own: MemberRecord, other: MemberRecord) -> MemberRecord:
        updated = superseding_record(own, other)
        if self.omitted is ProtocolRule.NAMING:
            return msgspec.structs.replace(updated, previous_incarnations=own.previous_incarnations)
        return updated

    def _conflict_action(self, process: ModelProcess, record: MemberRecord) -> ConflictAction:
        action = classify_own_name_record(process.own_record, record, process.conflicting)
        if action is ConflictAction.VERIFY and self.omitted is ProtocolRule.VERIFY:
            action = ConflictAction.SUPERSEDE
        if action is ConflictAction.REFUTE and self.omitted is ProtocolRule.REFUTE:
            return ConflictAction.NOTHING
        if action is ConflictAction.SUPERSEDE and self.omitted is ProtocolRule.SUPERSEDE:
            return ConflictAction.NOTHING
        return action

    # Steps

    def _successors(self, state: ModelState) -> Iterator[ModelState]:
        yield from self._starts(state)
        yield from self._exits(state)
        for record in state.published:
            yield from self._deliveries(state, record)
        for observer, held in enumerate(state.held):
            if held is None:
                continue
            if held.state in LIVE_STATES and state.accusations < self.max_accusations:
                yield _accused(state, observer, held)
            if self.can_forget and held.state not in LIVE_STATES:
                yield state.with_forgotten(observer)

    def _starts(self, state: ModelState) -> Iterator[ModelState]:
        incarnation = len(state.processes) + 1
        running = state.running()
        if incarnation > self.max_processes or len(running) >= self.max_concurrent:
            return
        pairs = {(process.own_record.incarnation, incarnation) for process in running}
        for generation in (LOW_GENERATION, HIGH_GENERATION):
            own = MemberRecord("n", "", 0, "n:1", generation, incarnation)
            processes = (*state.processes, ModelProcess(own))
            started = replace(state, processes=processes, concurrent=state.concurrent | pairs)
            yield started.with_published(own)

    def _exits(self, state: ModelState) -> Iterator[ModelState]:
        for index, process in enumerate(state.processes):
            if process.is_running:
                yield state.with_process(index, replace(process, is_running=False))

    def _deliveries(self, state: ModelState, record: MemberRecord) -> Iterator[ModelState]:
        for observer in range(len(state.held)):
            yield from self._delivered_to_observer(state, observer, record)
        for index in range(len(state.processes)):
            yield from self._delivered_to_process(state, index, record)

    def _delivered_to_observer(
        self, state: ModelState, observer: int, record: MemberRecord
    ) -> Iterator[ModelState]:
        """Yields the state after an observer received the record, unless it is unchanged."""
        held = state.held[observer]
        accepts = record.state in LIVE_STATES if held is None else self._supersedes(record, held)
        if accepts:
            _check_no_reversion(state, observer, record)
            yield state.with_held(observer, record)

    def _delivered_to_process(
        self, state: ModelState, index: int, record: MemberRecord
    ) -> Iterator[ModelState]:
        """Yields the state after a process of the name received the record, unless it is unchanged."""
        process = state.processes[index]
        if not process.is_running:
            return
        match self._conflict_action(process, record):
            case ConflictAction.REFUTE:
                yield _published(state, index, process, refuting_record(process.own_record, record))
            case ConflictAction.SUPERSEDE:
                updated = self._superseding_record(process.own_record, record)
                yield _published(state, index, replace(process, conflicting=0), updated)
            case ConflictAction.VERIFY:
                yield from _verified(state, index, record.incarnation)

    # Convergence after all faults have ended

    def _check_convergence(self, state: ModelState) -> None:
        running = {process.own_record.incarnation for process in state.running()}
        if not running:
            return
        final = self._quiescent_state(state)
        held = {record.incarnation if record else 0 for record in final.held}
        all_alive = all(record is not None and record.state == MemberState.ALIVE for record in final.held)
        if len(held) > 1 or not held <= running or not all_alive:
            raise PropertyViolationError(f"no convergence: {final.held}, running: {sorted(running)}")

    def _quiescent_state(self, state: ModelState) -> ModelState:
        """Returns the stable state reached when every record is delivered to every recipient."""
        start = state
        for _ in range(MAX_DELIVERY_ROUNDS):
            before = state
            state = self._delivery_round(state)
            if state == before:
                return state
        raise PropertyViolationError(f"unbounded supersession: no stable state is reached from {start}")

    def _delivery_round(self, state: ModelState) -> ModelState:
        """Processes publish their records, exits are detected, and every record is delivered to all."""
        own_records = [process.own_record for process in state.running()]
        running = {record.incarnation for record in own_records}
        state = state.with_published(*own_records)
        for observer, held in enumerate(state.held):
            if held is not None and held.incarnation not in running and held.state in LIVE_STATES:
                gone = as_reported(held, MemberState.GONE, _observer_name(observer))
                state = state.with_held(observer, gone).with_published(gone)
        for record in sorted(state.published, key=_delivery_order):
            for index in range(len(state.processes)):
                state = next(self._delivered_to_process(state, index, record), state)
            for observer in range(len(state.held)):
                state = next(self._delivered_to_observer(state, observer, record), state)
        return state


def _accused(state: ModelState, observer: int, held: MemberRecord) -> ModelState:
    """Returns the state after an accusation by the observer: alive becomes suspect, suspect gone."""
    worse = MemberState.SUSPECT if held.state == MemberState.ALIVE else MemberState.GONE
    accusation = as_reported(held, worse, _observer_name(observer))
    after = state.with_held(observer, accusation).with_published(accusation)
    return replace(after, accusations=state.accusations + 1)


def _published(state: ModelState, index: int, process: ModelProcess, own: MemberRecord) -> ModelState:
    """Returns the state after the process publishes a new record of itself."""
    if own.generation > MAX_GENERATION:
        raise PropertyViolationError(
            f"unbounded supersession: process {own.incarnation} has generation {own.generation}"
        )
    return state.with_process(index, replace(process, own_record=own)).with_published(own)


def _verified(state: ModelState, index: int, incarnation: int) -> Iterator[ModelState]:
    """Yields the state after the process probed another running incarnation: both know of each other."""
    process = state.processes[index]
    for other_index, other in enumerate(state.processes):
        if other.own_record.incarnation == incarnation and other.is_running:
            proven = state.with_process(index, replace(process, conflicting=incarnation))
            yield proven.with_process(other_index, replace(other, conflicting=process.own_record.incarnation))


def _check_no_reversion(state: ModelState, observer: int, record: MemberRecord) -> None:
    if record.state not in LIVE_STATES:
        return
    for incarnation in state.seen[observer]:
        was_concurrent = (record.incarnation, incarnation) in state.concurrent
        if record.incarnation < incarnation and not was_concurrent:
            name = _observer_name(observer)
            raise PropertyViolationError(
                f"reversion: {name} replaced process {incarnation} by earlier {record.incarnation}"
            )


def _observer_name(observer: int) -> str:
    return f"o{observer}"


def _delivery_order(record: MemberRecord) -> tuple[int, int, int, str]:
    return record.incarnation, record.sequence, int(record.state), record.accuser


def _replace_item(items: tuple[Item, ...], index: int, item: Item) -> tuple[Item, ...]:
    return (*items[:index], item, *items[index + 1 :])
