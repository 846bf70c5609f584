"""A Raft group in simulated time, whose state machine is the register of disruption permits.

Members crash between a save and the messages that follow it, lose their disks, are paused and cut off;
messages are lost, late, repeated and out of order, all by draws of a seed. Two properties are checked from
the outside: a term has one leader, and every member commits the same entry at an index.
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
# So many entries may the applied logs of members differ by, in a group that is whole.
MAX_APPLY_LAG = 20


class InvariantViolationError(Exception):
    """A property that must always hold was broken; the text says how and when."""


@dataclass(slots=True)
class SimulatedMember:
    """A member's machine, whose disk outlives its node. `node` is None while it is down."""

    name: str
    persistent: PersistentState
    node: RaftNode | None = None
    register: PermitRegister = field(default_factory=PermitRegister)
    applied_index: int = 0
    paused_until: int = 0
    incarnation: int = 0


class RaftGroup:
    """The group. `on_applied` is called with every command that a member has applied, and its result.

    `planted_fault` "disk" lets a member that lost its disk come back under the former disk id, so that the
    checks are seen to find it.
    """

    def __init__(
        self,
        events: EventQueue,
        draws: random.Random,
        size: int,
        loss: float,
        on_applied: Callable[[SimulatedMember, PermitCommand, PermitDecision | None], None],
        planted_fault: str = "",
        compaction_threshold: int = COMPACTION_THRESHOLD,
    ) -> None:
        """Founds the group: all members have the same first entry."""
        self.events = events
        self.planted_fault = planted_fault
        self.counts: Counter[str] = Counter()
        self._compaction_threshold = compaction_threshold
        self._draws = draws
        self._on_applied = on_applied
        self._committed: dict[int, Any] = {}
        self._leaders: dict[int, str] = {}
        self.network = LossyNetwork(events, draws, loss, NETWORK_PROFILE)
        self._has_faults = True
        founders = tuple((f"c{index}", draws.getrandbits(64)) for index in range(size))
        first_entry = SaveEntries(1, (LogEntry(1, Configuration(founders)),))
        self.members = {name: SimulatedMember(name, PersistentState(disk_id)) for name, disk_id in founders}
        for member in self.members.values():
            member.persistent.apply(first_entry)
        for name in self.members:
            self.start(name)

    # Members

    def start(self, name: str) -> None:
        """Starts a member's node from its disk, if it is down."""
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
        """Ends a member's node; its disk stays."""
        self.members[name].node = None
        self.counts["crash"] += 1

    def lose_disk(self, name: str) -> None:
        """Ends a member's node, which comes back under its name with an empty disk."""
        self.crash(name)
        member = self.members[name]
        if self.planted_fault == "disk":
            first_entry = LogEntry(1, self._committed[1])
            member.persistent = PersistentState(member.persistent.disk_id)
            member.persistent.apply(SaveEntries(1, (first_entry,)))
        else:
            member.persistent = PersistentState(self._draws.getrandbits(64))
        self.counts["disk lost"] += 1

    def pause(self, name: str, duration: int) -> None:
        """Stops a member for a while; what arrives meanwhile waits for it."""
        self.members[name].paused_until = self.events.now + duration
        self.counts["stop"] += 1

    def cut(self, side: frozenset[str], duration: int) -> None:
        """Lets nothing through between `side` and the other members."""
        now = self.events.now
        self.network.add_fault(PathFault("split", now, now + duration, groups=(side,)))
        self.counts["cut"] += 1

    def end_faults(self) -> None:
        """Heals all paths and starts everybody."""
        self._has_faults = False
        self.network.heal()
        for name, member in self.members.items():
            member.paused_until = min(member.paused_until, self.events.now)
            self.start(name)

    # Messages and entries

    def propose(self, command: PermitCommand) -> None:
        """Proposes a command to everybody; the leader takes it."""
        for member in self.members.values():
            if member.node is not None and not self._is_paused(member):
                member.node.propose(self.events.now, command)
                self._carry_out(member)

    def repair_membership(self) -> None:
        """Admits members that have come with another disk; their former selves are removed first."""
        for member in list(self.members.values()):
            if member.node is None or member.node.role is not Role.LEADER or self._is_paused(member):
                continue
            present = dict(member.node.configuration.members)
            for other in self.members.values():
                if other.node is not None:
                    with suppress(MembershipChangeError):
                        self._repair_member(member.node, present, other)
            self._carry_out(member)

    def _repair_member(self, leader: RaftNode, present: dict[str, int], other: SimulatedMember) -> None:
        disk_id = other.persistent.disk_id
        if other.name not in present:
            leader.change_membership(self.events.now, "", (other.name, disk_id))
        elif present[other.name] != disk_id:
            leader.change_membership(self.events.now, other.name, None)

    def _is_paused(self, member: SimulatedMember) -> bool:
        return self.events.now < member.paused_until

    def _tick(self, member: SimulatedMember, incarnation: int) -> None:
        if member.node is None or member.incarnation != incarnation:
            return
        self.events.call_after(TICK_INTERVAL, self._tick, member, incarnation)
        if not self._is_paused(member):
            member.node.tick(self.events.now)
            self._carry_out(member)

    def _receive(self, member: SimulatedMember, message: RaftMessage) -> None:
        if self._is_paused(member):
            self.events.call_at(member.paused_until, self._receive, member, message)
        elif member.node is not None:
            member.node.receive(self.events.now, message)
            self._carry_out(member)

    def _carry_out(self, member: SimulatedMember) -> None:
        """Saves are on disk, then messages leave: between the two the member may crash."""
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
            raise InvariantViolationError(f"entry {index} is {known} and, to {member.name}, {command}")
        if index <= member.applied_index:
            raise InvariantViolationError(f"{member.name} applies entry {index} after {member.applied_index}")

    @property
    def running_members(self) -> list[SimulatedMember]:
        """Those whose node is up, paused or not."""
        return [member for member in self.members.values() if member.node is not None]

    @property
    def is_complete(self) -> bool:
        """Whether everybody is up, and every running node is a member by itself and by a leader."""
        nodes = list(self._nodes())
        if len(nodes) < len(self.members):
            return False
        leaders = [node for node in nodes if node.role is Role.LEADER]
        return all(node.is_member for node in nodes) and any(
            len(leader.configuration.members) == len(self.members) for leader in leaders
        )

    @property
    def problem(self) -> str:
        """Why the group does not work as it should; empty: it has a leader and all have applied the same."""
        leaders = [node.name for node in self._nodes() if node.role is Role.LEADER]
        if len(leaders) != 1:
            return f"led by {leaders}"
        applied = [member.applied_index for member in self.members.values()]
        if max(applied) - min(applied) > MAX_APPLY_LAG:
            return f"applied up to {applied}"
        return ""

    def _nodes(self) -> Iterator[RaftNode]:
        return (member.node for member in self.members.values() if member.node is not None)
