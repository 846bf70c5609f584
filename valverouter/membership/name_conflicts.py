"""Handles records of other processes under the own name: previous incarnations and name conflicts.

A previous incarnation is superseded once, by naming it. Two processes that run under one name are in
conflict: neither supersedes the other again, so that the fleet's views keep one of them, and both report the
conflict. Another process counts as running only after it has answered a nonce of this process, since a
datagram of a previous incarnation may be delayed. The conflict ends when the other process has been silent
for a while or is known to have ended.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

import msgspec

from valverouter.membership.dissemination import Dissemination
from valverouter.membership.events import EventKind
from valverouter.membership.failure_detector import FailureDetector
from valverouter.membership.local_node import LocalNode
from valverouter.membership.messages import Ack, Message, Ping
from valverouter.membership.probes import Probe
from valverouter.membership.rate_limiter import AddressRateLimiter
from valverouter.membership.records import (
    MemberRecord,
    MemberState,
    next_own_record,
    refuting_record,
    supersedes,
    superseding_record,
)

# How long the other process must be silent for a conflict to end, in anti-entropy intervals.
CONFLICT_TIMEOUT_INTERVALS = 3


class ConflictAction(Enum):
    """The action to take on a record under the own name."""

    NOTHING = "nothing"
    # This process is reported as suspect or gone: publish a later record.
    REFUTE = "refute"
    # This process has not named the other incarnation yet, and views may hold that one instead: supersede it.
    SUPERSEDE = "supersede"
    # The other incarnation may be running: probe its address to find out.
    VERIFY = "verify"


def classify_own_name_record(own: MemberRecord, received: MemberRecord, conflicting: int) -> ConflictAction:
    """Returns the action to take on a received record under the own name.

    `conflicting`: the other incarnation that is known to run under the name; 0 if there is none.
    """
    if received.incarnation == own.incarnation:
        is_accusation = received.state != MemberState.ALIVE and own.state != MemberState.LEFT
        is_current = received.sequence >= own.sequence
        return ConflictAction.REFUTE if is_accusation and is_current else ConflictAction.NOTHING
    if received.state > MemberState.SUSPECT:
        # Another incarnation has ended. Members that hold its record accept the own record only once the own
        # record names that incarnation.
        return ConflictAction.NOTHING if supersedes(own, received) else ConflictAction.SUPERSEDE
    if received.incarnation == conflicting:
        return ConflictAction.NOTHING
    if own.incarnation in received.previous_incarnations:
        # The other incarnation has named this running one as a previous incarnation. Either both are running,
        # or the record is old and the other one has ended. A probe of its address distinguishes the two.
        return ConflictAction.VERIFY
    return (
        ConflictAction.NOTHING
        if received.incarnation in own.previous_incarnations
        else ConflictAction.SUPERSEDE
    )


@dataclass(slots=True)
class NameConflict:
    """The other process under the own name and the time of its last message, ns; incarnation 0: none."""

    incarnation: int = 0
    address: str = ""
    last_received: int = 0

    @property
    def is_active(self) -> bool:
        """Whether another process is known to run under the own name."""
        return self.incarnation != 0

    def update(self, incarnation: int, address: str, now: int) -> bool:
        """Records a message of the other process; returns whether that process is a new one."""
        is_new = incarnation != self.incarnation
        self.incarnation, self.address, self.last_received = incarnation, address, now
        return is_new

    def is_expired(self, now: int, timeout: int) -> bool:
        """Returns whether the other process has been silent for longer than `timeout` ns."""
        return self.is_active and now - self.last_received > timeout

    def clear(self) -> None:
        """Resets the conflict: no other process is known."""
        self.incarnation, self.address, self.last_received = 0, "", 0


class NameConflictResolver:
    """Refutes accusations, supersedes previous incarnations, and reports name conflicts."""

    def __init__(
        self,
        node: LocalNode,
        dissemination: Dissemination,
        detector: FailureDetector,
        rate_limiter: AddressRateLimiter,
    ) -> None:
        self.conflict = NameConflict()
        self._node = node
        self._dissemination = dissemination
        self._detector = detector
        self._rate_limiter = rate_limiter

    def on_own_name_record(self, record: MemberRecord) -> None:
        """Handles a received record under the own name."""
        match classify_own_name_record(self._node.own_record, record, self.conflict.incarnation):
            case ConflictAction.REFUTE:
                self._refute(record)
            case ConflictAction.SUPERSEDE:
                self._supersede(record)
            case ConflictAction.VERIFY:
                if self._rate_limiter.allow(record.address, self._node.now):
                    self._verify(record.address, record.incarnation)
            case ConflictAction.NOTHING:
                pass

    def _refute(self, accusation: MemberRecord) -> None:
        node = self._node
        if accusation.state == MemberState.SUSPECT:
            self._detector.local_health.degrade()
        node.emit(EventKind.ACCUSED, accusation, accusation.accuser)
        self._dissemination.publish(refuting_record(node.own_record, accusation))

    def _supersede(self, other: MemberRecord) -> None:
        own = self._node.own_record
        if other.incarnation == self.conflict.incarnation:
            self._end_conflict()
            own = msgspec.structs.replace(own, name_conflict=False)
        self._dissemination.publish(superseding_record(own, other))

    def on_message(self, address: str, message: Message) -> None:
        """Handles a message from another incarnation of the own name.

        The datagram may be old: only an answer to a nonce of this process proves that the other one runs.
        """
        is_known = message.incarnation == self.conflict.incarnation
        is_ack = isinstance(message, Ack)
        if not is_ack and not is_known and self._rate_limiter.allow(address, self._node.now):
            self._verify(address, message.incarnation)
        elif is_known:
            self.conflict.update(message.incarnation, address, self._node.now)

    def on_ack(self, probe: Probe, ack: Ack) -> None:
        """Handles the answer to a probe of the own name; another incarnation in it is a conflict."""
        node = self._node
        if ack.member_incarnation == node.own_record.incarnation:
            return
        if self.conflict.update(ack.member_incarnation, probe.address, node.now):
            node.emit(EventKind.CONFLICT, node.own_record, probe.address)
            marked = msgspec.structs.replace(node.own_record, name_conflict=True)
            self._dissemination.publish(next_own_record(marked))

    def recheck(self) -> None:
        """Probes the other process of a conflict again, or ends the conflict once that process is silent."""
        conflict, node = self.conflict, self._node
        if not conflict.is_active:
            return
        config = node.config
        timeout = int(CONFLICT_TIMEOUT_INTERVALS * config.anti_entropy_periods * config.probe_period)
        if conflict.is_expired(node.now, timeout):
            self._end_conflict()
            cleared = msgspec.structs.replace(node.own_record, name_conflict=False)
            self._dissemination.publish(next_own_record(cleared))
        else:
            self._verify(conflict.address, conflict.incarnation)

    def _verify(self, address: str, incarnation: int) -> None:
        """Probes another incarnation of the own name."""
        node, probes = self._node, self._detector.probes
        own = node.own_record
        probe = Probe(own.name, incarnation, 0, address, node.now + node.config.probe_period)
        nonce = probes.add(probe)
        node.send(address, Ping(*node.header(), nonce, incarnation, (own,)))
        node.timers.schedule(probe.deadline, probes.discard, nonce)

    def _end_conflict(self) -> None:
        self._node.emit(EventKind.CONFLICT_OVER, self._node.own_record, self.conflict.address)
        self.conflict.clear()
