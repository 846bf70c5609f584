"""An explicit-state model of one member name: its processes, in turn or at once, and two observers.

All orders of starts, ends, accusations, deliveries and forgetting are walked breadth first. The decisions are
the program's own functions: `supersedes`, `classify_own_name_record`, `superseding_record`,
`refuting_record`, `as_reported`. A published record may reach anybody at any later time, any number of times,
or never: that covers loss, delay, duplication and reordering. Clocks are wrong in both directions: a new
process draws a generation below or above all previous ones.

Properties:

- No return: an observer never goes back from a process to one that ended before it began, unless it forgot
  the name in between.
- No endless raise: two processes under one name do not supersede each other without end.
- Convergence: from every state, once faults are over and records get through, all observers hold the same
  running process as alive.

With one rule of the protocol omitted, the walk must end in `PropertyViolationError`: that shows that the rule
is needed, and that the walk would notice its absence.
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

# The generations that a new process draws: a clock set back, and one that is right.
LOW_GENERATION, HIGH_GENERATION = 1, 5
# A generation above this shows that processes supersede each other without end.
MAX_GENERATION = 12
# After so many rounds of delivering everything to everybody nothing may change any more.
MAX_DELIVERY_ROUNDS = 24
OBSERVER_COUNT = 2

Item = TypeVar("Item")


class ProtocolRule(Enum):
    """The rules that can be omitted from a walk."""

    # A superseding record names the incarnation that it supersedes.
    NAMING = "naming"
    # Of two incarnations the one that names the other is the later, not the one of the higher generation.
    ORDER = "order"
    # A process refutes accusations.
    REFUTE = "refute"
    # A process supersedes previous incarnations.
    SUPERSEDE = "supersede"
    # A process verifies that another one runs under its name before it supersedes it.
    VERIFY = "verify"
    # Within an incarnation the sequence orders records.
    SEQUENCE = "sequence"
    # Two incarnations that name each other are ordered by generation.
    TIE_BREAK = "tie-break"


class PropertyViolationError(Exception):
    """A state or step that violates a property."""


class StateLimitError(Exception):
    """A walk that reached more states than allowed."""


@dataclass(frozen=True, slots=True)
class ModelProcess:
    """A process of the name. `conflicting`: the incarnation that it has proven to run beside it; 0: none."""

    own_record: MemberRecord
    is_running: bool = True
    conflicting: int = 0


@dataclass(frozen=True, slots=True)
class ModelState:
    """A state of the model.

    `held`: the record of each observer. `seen`: the incarnations that each observer has held since it last
    forgot the name. `published`: all records ever published. `concurrent`: pairs of incarnations that ran at
    the same time, so that neither is a previous one of the other.
    """

    processes: tuple[ModelProcess, ...] = ()
    held: tuple[MemberRecord | None, ...] = (None,) * OBSERVER_COUNT
    seen: tuple[frozenset[int], ...] = (frozenset(),) * OBSERVER_COUNT
    published: frozenset[MemberRecord] = frozenset()
    accusations: int = 0
    concurrent: frozenset[tuple[int, int]] = frozenset()

    def running(self) -> list[ModelProcess]:
        """The processes that run, in the order of their starts."""
        return [process for process in self.processes if process.is_running]

    def with_published(self, *records: MemberRecord) -> ModelState:
        """The state once the records are published."""
        return replace(self, published=self.published.union(records))

    def with_held(self, observer: int, record: MemberRecord) -> ModelState:
        """The state once the observer holds the record."""
        seen = self.seen[observer] | {record.incarnation}
        return replace(
            self,
            held=_replace_item(self.held, observer, record),
            seen=_replace_item(self.seen, observer, seen),
        )

    def with_forgotten(self, observer: int) -> ModelState:
        """The state once the observer has forgotten the name."""
        nothing_seen: frozenset[int] = frozenset()
        return replace(
            self,
            held=_replace_item(self.held, observer, None),
            seen=_replace_item(self.seen, observer, nothing_seen),
        )

    def with_process(self, index: int, process: ModelProcess) -> ModelState:
        """The state with a process replaced."""
        return replace(self, processes=_replace_item(self.processes, index, process))


@dataclass(frozen=True, slots=True)
class Model:
    """A walk over all states of a bounded number of processes and accusations.

    `max_concurrent`: how many processes may run at once. `omitted`: a rule that the protocol goes without.
    """

    max_processes: int = 3
    max_accusations: int = 2
    max_concurrent: int = 1
    can_forget: bool = True
    omitted: ProtocolRule | None = None

    def explore(self, state_limit: int = 2_000_000) -> int:
        """The number of states.

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
                    raise StateLimitError(f"over {state_limit} states")
        return len(explored)

    # The protocol, with a rule omitted where asked

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
        """The state after an observer received the record; nothing where that changes nothing."""
        held = state.held[observer]
        accepts = record.state in LIVE_STATES if held is None else self._supersedes(record, held)
        if accepts:
            _check_no_reversion(state, observer, record)
            yield state.with_held(observer, record)

    def _delivered_to_process(
        self, state: ModelState, index: int, record: MemberRecord
    ) -> Iterator[ModelState]:
        """The state after a process of the name received the record; nothing where that changes nothing."""
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

    # Convergence once all faults are over

    def _check_convergence(self, state: ModelState) -> None:
        running = {process.own_record.incarnation for process in state.running()}
        if not running:
            return
        final = self._quiescent_state(state)
        held = {record.incarnation if record else 0 for record in final.held}
        all_alive = all(record is not None and record.state == MemberState.ALIVE for record in final.held)
        if len(held) > 1 or not held <= running or not all_alive:
            raise PropertyViolationError(f"no convergence: {final.held} while {sorted(running)} runs")

    def _quiescent_state(self, state: ModelState) -> ModelState:
        """The state in which nothing changes any more once every record reaches everybody."""
        start = state
        for _ in range(MAX_DELIVERY_ROUNDS):
            before = state
            state = self._delivery_round(state)
            if state == before:
                return state
        raise PropertyViolationError(f"endless raise: records without end from {start}")

    def _delivery_round(self, state: ModelState) -> ModelState:
        """Processes publish their records, ends are detected, and every record reaches everybody."""
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
    """The observer finds the process silent: an alive one becomes suspect, a suspect gone."""
    worse = MemberState.SUSPECT if held.state == MemberState.ALIVE else MemberState.GONE
    accusation = as_reported(held, worse, _observer_name(observer))
    after = state.with_held(observer, accusation).with_published(accusation)
    return replace(after, accusations=state.accusations + 1)


def _published(state: ModelState, index: int, process: ModelProcess, own: MemberRecord) -> ModelState:
    """The process publishes a new record of itself."""
    if own.generation > MAX_GENERATION:
        raise PropertyViolationError(
            f"endless raise: process {own.incarnation} has generation {own.generation}"
        )
    return state.with_process(index, replace(process, own_record=own)).with_published(own)


def _verified(state: ModelState, index: int, incarnation: int) -> Iterator[ModelState]:
    """The process probes another incarnation: the answer proves to both that both run."""
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
                f"return: {name} went from process {incarnation} back to {record.incarnation}"
            )


def _observer_name(observer: int) -> str:
    return f"o{observer}"


def _delivery_order(record: MemberRecord) -> tuple[int, int, int, str]:
    return record.incarnation, record.sequence, int(record.state), record.accuser


def _replace_item(items: tuple[Item, ...], index: int, item: Item) -> tuple[Item, ...]:
    return (*items[:index], item, *items[index + 1 :])
