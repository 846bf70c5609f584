"""A model checker that explores every interleaving of three replicas and the holders of their permits.

Consensus is that of `raft.py`, with each exchange of messages as a single step that may reach any subset of
the replicas. An election may use the votes of any sufficient set of replicas that grant them. A leader sends
prefixes of its log; each may reach any replica once, repeatedly, late (even after the leader's term has
ended), or never. Decisions are those of `PermitRegister` over any committed prefix, and reach a holder in the
same way. A holder checks permits with `Fence`. A leader that is suspended and resumed is covered as one whose
messages are delayed.

Two properties are checked in every state:

    out      the number of holders that are actually unavailable is at most `max_unavailable`
    one      the entry that was committed at an index never changes

`injected_fault` disables a rule: "fence" (a holder acts on any permit), "lapse" (a permit ends while its
holder is unavailable), "twice" (a replica's vote counts twice), "memory" (a crash loses what is on disk).
The rule that an entry of a former term is committed only together with one of the leader's own term matters
only from five terms on; the tests of the Raft node cover it.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Iterator
from dataclasses import dataclass, replace
from itertools import combinations
from typing import TypeVar

from valverouter.rollout.disruption_limits import DisruptionLimits, Instance, InstanceKind
from valverouter.rollout.disruption_permits import (
    EnrollInstances,
    Fence,
    InstanceReturned,
    Permit,
    PermitRegister,
    RequestPermit,
)

INJECTED_FAULTS = ("fence", "lapse", "twice", "memory")
REPLICAS = 3
QUORUM = 2
NO_VOTE = -1

Command = RequestPermit | InstanceReturned
# A term and a command.
Entry = tuple[int, Command]
Log = tuple[Entry, ...]
Item = TypeVar("Item")


class SafetyViolationError(Exception):
    """A reachable state violates a property; the message names the property and the violation."""


@dataclass(frozen=True, slots=True)
class Replica:
    """The persistent state of a replica, and the term in which it is the leader (0: none)."""

    term: int = 0
    voted_for: int = NO_VOTE
    log: Log = ()
    leading_term: int = 0


@dataclass(frozen=True, slots=True)
class Holder:
    """The permit number under which a holder is unavailable (0: available), and its fence's state."""

    permit_number: int = 0
    highest_seen: int = 0
    highest_ended: int = 0


@dataclass(frozen=True, slots=True)
class State:
    """The state of all replicas and holders, and the messages sent between them.

    `leader_logs` has the longest log of each term's leader. `acknowledged` has tuples of a term, a replica
    and the length of the longest prefix of that term's leader log that the replica has on disk. `proposed`
    are commands that any leader may append, any number of times.
    """

    replicas: tuple[Replica, ...] = (Replica(),) * REPLICAS
    holders: tuple[Holder, ...] = ()
    leader_logs: tuple[Log, ...] = ()
    acknowledged: frozenset[tuple[int, int, int]] = frozenset()
    committed: Log = ()
    proposed: frozenset[Command] = frozenset()
    crashes: int = 0

    def with_replica(self, index: int, replica: Replica) -> State:
        """This state with the replica at `index` replaced."""
        return replace(self, replicas=_replaced(self.replicas, index, replica))

    def with_holder(self, index: int, holder: Holder) -> State:
        """This state with the holder at `index` replaced."""
        return replace(self, holders=_replaced(self.holders, index, holder))

    def with_leader_log(self, term: int, log: Log) -> State:
        """This state with the log of the leader of `term` replaced."""
        return replace(self, leader_logs=_replaced(self.leader_logs, term - 1, log))


@dataclass(frozen=True, slots=True)
class PermitModel:
    """The bounds of the exploration, and an injected fault.

    `depth_first` explores the newest state first, which finds a violation many steps away sooner.
    """

    holders: int = 2
    max_unavailable: int = 1
    max_terms: int = 2
    max_log_length: int = 3
    max_crashes: int = 1
    injected_fault: str = ""
    depth_first: bool = False

    def explore(self, max_states: int = 3_000_000) -> int:
        """Explores all reachable states and returns their number.

        Raises SafetyViolationError at the first state that violates a property, MemoryError if there are more
        than `max_states`.
        """
        initial = State(
            holders=(Holder(),) * self.holders,
            leader_logs=((),) * self.max_terms,
            proposed=frozenset(
                RequestPermit(f"a{index}", _holder_name(index)) for index in range(self.holders)
            ),
        )
        seen, frontier = {initial}, deque([initial])
        while frontier:
            state = frontier.pop() if self.depth_first else frontier.popleft()
            for successor in self._successors(state):
                if successor in seen:
                    continue
                self._check(successor)
                seen.add(successor)
                frontier.append(successor)
                if len(seen) > max_states:
                    raise MemoryError(f"more than {max_states} states")
        return len(seen)

    def _check(self, state: State) -> None:
        permit_numbers = [holder.permit_number for holder in state.holders]
        unavailable = sum(number > 0 for number in permit_numbers)
        if unavailable > self.max_unavailable:
            raise SafetyViolationError(
                f"out: {unavailable} holders are unavailable, by permits {permit_numbers}"
            )

    def _successors(self, state: State) -> Iterator[State]:
        for index, replica in enumerate(state.replicas):
            yield from self._elections(state, index, replica)
            if replica.leading_term:
                yield from self._appends(state, index, replica)
                yield from self._commits(state, index, replica)
            if state.crashes < self.max_crashes:
                yield self._crashed(state, index, replica)
        yield from self._replications(state)
        for index, holder in enumerate(state.holders):
            yield from self._holder_steps(state, index, holder)

    # Replicas

    def _elections(self, state: State, index: int, candidate: Replica) -> Iterator[State]:
        """The candidate becomes the leader of its next term, for each sufficient set of votes."""
        term = candidate.term + 1
        if term > self.max_terms:
            return
        granting = [
            other
            for other, replica in enumerate(state.replicas)
            if other != index and _grants_vote(replica, term, candidate.log)
        ]
        votes_needed = QUORUM - 1 if self.injected_fault != "twice" else 0
        for voters in combinations(granting, votes_needed):
            elected = state.with_replica(
                index, replace(candidate, term=term, voted_for=index, leading_term=term)
            )
            for voter in voters:
                vote = replace(state.replicas[voter], term=term, voted_for=index, leading_term=0)
                elected = elected.with_replica(voter, vote)
            yield elected.with_leader_log(term, candidate.log)

    def _crashed(self, state: State, index: int, replica: Replica) -> State:
        restarted = Replica() if self.injected_fault == "memory" else replace(replica, leading_term=0)
        return replace(state.with_replica(index, restarted), crashes=state.crashes + 1)

    def _appends(self, state: State, index: int, leader: Replica) -> Iterator[State]:
        """The leader appends a command that is not in its log yet.

        Duplicates are left out, since a repeated command has no effect: the tests of the register cover that.
        """
        if len(leader.log) >= self.max_log_length:
            return
        present = {command for _, command in leader.log}
        for command in state.proposed:
            if command not in present:
                log = (*leader.log, (leader.leading_term, command))
                appended = state.with_replica(index, replace(leader, log=log))
                yield appended.with_leader_log(leader.leading_term, log)

    def _commits(self, state: State, index: int, leader: Replica) -> Iterator[State]:
        """The leader commits a prefix that a majority has stored and whose last entry is of its own term."""
        for length in range(1, len(leader.log) + 1):
            acknowledging = {
                replica
                for term, replica, acknowledged in state.acknowledged
                if term == leader.leading_term and acknowledged >= length
            }
            last_term, _ = leader.log[length - 1]
            if len(acknowledging | {index}) < QUORUM or last_term != leader.leading_term:
                continue
            prefix = leader.log[:length]
            if prefix[: len(state.committed)] != state.committed[:length]:
                raise SafetyViolationError(f"one: {state.committed} was committed before {prefix}")
            if length > len(state.committed):
                yield replace(state, committed=prefix)

    def _replications(self, state: State) -> Iterator[State]:
        """Every prefix of every leader's log reaches every replica that has not acknowledged it."""
        for term, log in enumerate(state.leader_logs, 1):
            for length in range(1, len(log) + 1):
                for index, replica in enumerate(state.replicas):
                    is_stored = replica.log[:length] == log[:length]
                    if not (is_stored and (term, index, length) in state.acknowledged):
                        yield from self._replication(state, index, term, log[:length])

    def _replication(self, state: State, index: int, term: int, prefix: Log) -> Iterator[State]:
        """A replica receives a prefix of the log of the leader of `term`, as it was when it was sent."""
        replica = state.replicas[index]
        if replica.term > term or replica.leading_term == term:
            return
        log = replica.log if replica.log[: len(prefix)] == prefix else prefix
        voted_for = replica.voted_for if replica.term == term else NO_VOTE
        # Only the longest prefix that a replica acknowledged in a term is kept: it implies the shorter ones.
        acknowledged_lengths = [
            length for t, other, length in state.acknowledged if (t, other) == (term, index)
        ]
        longest = max([len(prefix), *acknowledged_lengths])
        others = frozenset(entry for entry in state.acknowledged if entry[:2] != (term, index))
        updated = state.with_replica(index, Replica(term, voted_for, log))
        yield replace(updated, acknowledged=others | {(term, index, longest)})

    # Holders

    def _holder_steps(self, state: State, index: int, holder: Holder) -> Iterator[State]:
        """An unavailable holder returns; an available one acts on any permit that its fence accepts."""
        name = _holder_name(index)
        if holder.permit_number:
            returned = replace(holder, permit_number=0, highest_ended=holder.permit_number)
            proposed = state.proposed | {InstanceReturned(name, holder.permit_number)}
            yield replace(state.with_holder(index, returned), proposed=proposed)
            if self.injected_fault == "lapse":
                yield replace(state, proposed=proposed)
            return
        for permit in self._permits(state.committed):
            if permit.name == name and self._accepts(holder, permit):
                unavailable = replace(holder, permit_number=permit.number, highest_seen=permit.number)
                yield state.with_holder(index, unavailable)

    def _accepts(self, holder: Holder, permit: Permit) -> bool:
        fence = Fence({permit.name: holder.highest_seen}, {permit.name: holder.highest_ended})
        return self.injected_fault == "fence" or fence.accepts(permit)

    def _permits(self, committed: Log) -> list[Permit]:
        """All permits that the register granted over the committed entries."""
        register = PermitRegister()
        instances = tuple(
            Instance(_holder_name(index), InstanceKind.EDGE, "", 1) for index in range(self.holders)
        )
        limits = DisruptionLimits(self.max_unavailable, self.max_unavailable)
        register.apply(0, EnrollInstances(instances, ((InstanceKind.EDGE, limits),)))
        decisions = (register.apply(number, command) for number, (_, command) in enumerate(committed, 1))
        return [
            decision.permit for decision in decisions if decision is not None and decision.permit is not None
        ]


def _holder_name(index: int) -> str:
    return f"h{index}"


def _grants_vote(voter: Replica, term: int, candidate_log: Log) -> bool:
    """One vote per term, for a candidate whose log is at least as up to date as the voter's."""
    can_vote = voter.term < term or (voter.term == term and voter.voted_for == NO_VOTE)
    return can_vote and _last_term_and_length(candidate_log) >= _last_term_and_length(voter.log)


def _last_term_and_length(log: Log) -> tuple[int, int]:
    """The key by which two logs are compared for which is more up to date."""
    return (log[-1][0] if log else 0), len(log)


def _replaced(items: tuple[Item, ...], index: int, item: Item) -> tuple[Item, ...]:
    return (*items[:index], item, *items[index + 1 :])
