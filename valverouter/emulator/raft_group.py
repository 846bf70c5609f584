"""Simulates a Raft group whose state machine is the register of disruption permits.

Members crash, also between a save and the messages that depend on it, lose their disks, are paused and
partitioned; messages are lost, delayed, duplicated and reordered. All faults are drawn from a seeded random
generator. Two safety properties are checked: a term has at most one leader, and all members commit the same
entry at an index.
"""

from __future__ import annotations

import random
from collections import Counter
from collections.abc import Callable, Iterator
from contextlib import suppress
from dataclasses import dataclass, field
from typing import Any

from valverouter.emulator.event_queue import EventQueue
from valverouter.emulator.lossy_network import LossyNetwork, NetworkProfile
from valverouter.rollout.disruption_permits import PermitCommand, PermitDecision, PermitRegister
from valverouter.rollout.raft import COMPACTION_THRESHOLD, ELECTION_TIMEOUT, SECOND, RaftNode, Role
from valverouter.rollout.raft_log import Configuration, LogEntry, PersistentState, SaveEntries
from valverouter.rollout.raft_membership import MembershipChangeError
from valverouter.rollout.raft_messages import RaftMessage
from valverouter.servermodel.paths import PathFault

TICK_INTERVAL = ELECTION_TIMEOUT // 8
NETWORK_PROFILE = NetworkProfile(mean_delay_s=0.004, slow_fraction=0.05, duplicated_fraction=0.02)
CRASH_AFTER_SAVE_PROBABILITY = 0.0005
# The maximum difference between applied indexes of members, in entries, in a group without faults.
MAX_APPLY_LAG = 20


class InvariantViolationError(Exception):
    """A simulation violated a property that must always hold; the message describes the violation."""


@dataclass(slots=True)
class SimulatedMember:
    """A member's machine. `persistent`: its disk, which survives crashes. `node`: None while it is down.

    `incarnation` counts the starts of the node, so that timers of an earlier one are ignored.
    """

    name: str
    persistent: PersistentState
    node: RaftNode | None = None
    register: PermitRegister = field(default_factory=PermitRegister)
    applied_index: int = 0
    paused_until: int = 0
    incarnation: int = 0


class RaftGroup:
    """A Raft group on a lossy network.

    `on_applied` is called with every command that a member has applied, and the command's result.
    `injected_fault` "disk" restarts a member that lost its disk under its former disk id, to test that the
    checks detect the violation.
    """

    def __init__(
        self,
        events: EventQueue,
        draws: random.Random,
        size: int,
        loss: float,
        on_applied: Callable[[SimulatedMember, PermitCommand, PermitDecision | None], None],
        injected_fault: str = "",
        compaction_threshold: int = COMPACTION_THRESHOLD,
    ) -> None:
        """Bootstraps the group: the first log entry of all members is the same configuration."""
        self.events = events
        self.injected_fault = injected_fault
        self.counts: Counter[str] = Counter()
        self._compaction_threshold = compaction_threshold
        self._draws = draws
        self._on_applied = on_applied
        self._committed: dict[int, Any] = {}
        self._leaders: dict[int, str] = {}
        self.network = LossyNetwork(events, draws, loss, NETWORK_PROFILE)
        self._has_faults = True
        initial_members = tuple((f"c{index}", draws.getrandbits(64)) for index in range(size))
        first_entry = SaveEntries(1, (LogEntry(1, Configuration(initial_members)),))
        self.members = {
            name: SimulatedMember(name, PersistentState(disk_id)) for name, disk_id in initial_members
        }
        for member in self.members.values():
            member.persistent.apply(first_entry)
        for name in self.members:
            self.start(name)

    # Members

    def start(self, name: str) -> None:
        """Starts a member's node from its disk; does nothing if it runs."""
        member = self.members[name]
        if member.node is not None:
            return
        member.incarnation += 1
        member.register = PermitRegister()

        def restore_state(state: PermitRegister) -> None:
            member.register = state.copy()

        persistent = member.persistent
        member.applied_index = persistent.snapshot.last_included_index if persistent.snapshot else 0
        member.node = RaftNode(
            name,
            persistent,
            self._draws.random,
            self.events.now,
            lambda: member.register.copy(),
            restore_state,
            self._compaction_threshold,
        )
        self.events.call_after(TICK_INTERVAL, self._tick, member, member.incarnation)

    def crash(self, name: str) -> None:
        """Ends a member's node; its disk is kept."""
        self.members[name].node = None
        self.counts["crash"] += 1

    def lose_disk(self, name: str) -> None:
        """Ends a member's node and replaces its disk by an empty one with another disk id."""
        self.crash(name)
        member = self.members[name]
        if self.injected_fault == "disk":
            first_entry = LogEntry(1, self._committed[1])
            member.persistent = PersistentState(member.persistent.disk_id)
            member.persistent.apply(SaveEntries(1, (first_entry,)))
        else:
            member.persistent = PersistentState(self._draws.getrandbits(64))
        self.counts["disk lost"] += 1

    def pause(self, name: str, duration: int) -> None:
        """Suspends a member for `duration` ns; messages that arrive meanwhile are handled afterwards."""
        self.members[name].paused_until = self.events.now + duration
        self.counts["stop"] += 1

    def partition(self, side: frozenset[str], duration: int) -> None:
        """Drops all messages between `side` and the other members for `duration` ns."""
        now = self.events.now
        self.network.add_fault(PathFault("split", now, now + duration, groups=(side,)))
        self.counts["cut"] += 1

    def end_faults(self) -> None:
        """Ends all network faults and pauses, and starts all members that are down."""
        self._has_faults = False
        self.network.heal()
        for name, member in self.members.items():
            member.paused_until = min(member.paused_until, self.events.now)
            self.start(name)

    # Messages and entries

    def propose(self, command: PermitCommand) -> None:
        """Proposes a command to all running members; only the leader accepts it."""
        for member in self.members.values():
            if member.node is not None and not self._is_paused(member):
                member.node.propose(self.events.now, command)
                self._persist_and_send(member)

    def repair_membership(self) -> None:
        """Lets the leader replace members whose disk id has changed: removes the old id, adds the new."""
        for member in list(self.members.values()):
            if member.node is None or member.node.role is not Role.LEADER or self._is_paused(member):
                continue
            configured_disks = dict(member.node.configuration.members)
            for other in self.members.values():
                if other.node is not None:
                    with suppress(MembershipChangeError):
                        self._repair_member(member.node, configured_disks, other)
            self._persist_and_send(member)

    def _repair_member(
        self, leader: RaftNode, configured_disks: dict[str, int], other: SimulatedMember
    ) -> None:
        disk_id = other.persistent.disk_id
        if other.name not in configured_disks:
            leader.change_membership(self.events.now, "", (other.name, disk_id))
        elif configured_disks[other.name] != disk_id:
            leader.change_membership(self.events.now, other.name, None)

    def _is_paused(self, member: SimulatedMember) -> bool:
        return self.events.now < member.paused_until

    def _tick(self, member: SimulatedMember, incarnation: int) -> None:
        if member.node is None or member.incarnation != incarnation:
            return
        self.events.call_after(TICK_INTERVAL, self._tick, member, incarnation)
        if not self._is_paused(member):
            member.node.tick(self.events.now)
            self._persist_and_send(member)

    def _receive(self, member: SimulatedMember, message: RaftMessage) -> None:
        if self._is_paused(member):
            self.events.call_at(member.paused_until, self._receive, member, message)
        elif member.node is not None:
            member.node.receive(self.events.now, message)
            self._persist_and_send(member)

    def _persist_and_send(self, member: SimulatedMember) -> None:
        """Persists pending saves, then sends messages and applies entries; a crash may occur in between."""
        node = member.node
        assert node is not None
        node.pending_saves.clear()
        outgoing, node.outgoing = node.outgoing, []
        committed, node.committed = node.committed, []
        self._check_leader(node)
        if self._has_faults and self._draws.random() < CRASH_AFTER_SAVE_PROBABILITY:
            self.crash(member.name)
            self.events.call_after(int(self._draws.random() * 5 * SECOND), self.start, member.name)
            return
        for receiver, message in outgoing:
            if receiver in self.members:
                self.network.send(member.name, receiver, self._receive, self.members[receiver], message)
        for index, command in committed:
            self._apply(member, index, command)
        node.compact_log()

    def _apply(self, member: SimulatedMember, index: int, command: Any) -> None:
        self._check_entry(member, index, command)
        member.applied_index = index
        if command is not None and not isinstance(command, Configuration):
            decision = member.register.apply(index, command)
            self._on_applied(member, command, decision)

    # Checks

    def _check_leader(self, node: RaftNode) -> None:
        if node.role is not Role.LEADER:
            return
        term = node.persistent.current_term
        known = self._leaders.setdefault(term, node.name)
        if known != node.name:
            raise InvariantViolationError(f"two leaders in term {term}: {known}, {node.name}")

    def _check_entry(self, member: SimulatedMember, index: int, command: Any) -> None:
        known = self._committed.setdefault(index, command)
        if known != command:
            raise InvariantViolationError(f"entry {index} is {known}, but {member.name} committed {command}")
        if index <= member.applied_index:
            raise InvariantViolationError(f"{member.name} applies entry {index} after {member.applied_index}")

    @property
    def running_members(self) -> list[SimulatedMember]:
        """The members whose node is running, paused or not."""
        return [member for member in self.members.values() if member.node is not None]

    @property
    def is_complete(self) -> bool:
        """Whether all members run, each in its own configuration, and a leader's configuration has all."""
        nodes = list(self._nodes())
        if len(nodes) < len(self.members):
            return False
        leaders = [node for node in nodes if node.role is Role.LEADER]
        return all(node.is_member for node in nodes) and any(
            len(leader.configuration.members) == len(self.members) for leader in leaders
        )

    @property
    def problem(self) -> str:
        """Why the group is unhealthy; empty if it has one leader and similar applied indexes."""
        leaders = [node.name for node in self._nodes() if node.role is Role.LEADER]
        if len(leaders) != 1:
            return f"leaders: {leaders}"
        applied = [member.applied_index for member in self.members.values()]
        if max(applied) - min(applied) > MAX_APPLY_LAG:
            return f"applied indexes: {applied}"
        return ""

    def _nodes(self) -> Iterator[RaftNode]:
        return (member.node for member in self.members.values() if member.node is not None)
