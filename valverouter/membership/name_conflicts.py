"""Records under the own name that are not this process's: a previous incarnation, or another running process.

A previous incarnation is superseded once, by naming it. Two processes that run under one name are in
conflict: neither supersedes the other again, so that the fleet's view stays with one of them, and both report
the conflict. Another process counts as running only after it answered a nonce of ours, since a datagram of a
previous incarnation may come late. When it has been silent for a while, or its end is known, the conflict is
over.
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

# A conflict is over after the other process was silent for so many anti-entropy intervals.
CONFLICT_TIMEOUT_INTERVALS = 3


class ConflictAction(Enum):
    """What to do about a record under the own name."""

    NOTHING = "nothing"
    # This process is reported as suspect or gone: say that it runs.
    REFUTE = "refute"
    # Another incarnation that was not named yet, and that others may hold in place of this one: supersede it.
    SUPERSEDE = "supersede"
    # The other incarnation may be running: probe its address.
    VERIFY = "verify"


def classify_own_name_record(own: MemberRecord, received: MemberRecord, conflicting: int) -> ConflictAction:
    """What to do about a received record under the own name.

    `conflicting`: the incarnation known to run under the same name; 0: none.
    """
    if received.incarnation == own.incarnation:
        is_accusation = received.state != MemberState.ALIVE and own.state != MemberState.LEFT
        is_current = received.sequence >= own.sequence
        return ConflictAction.REFUTE if is_accusation and is_current else ConflictAction.NOTHING
    if received.state > MemberState.SUSPECT:
        # The end of another incarnation. Whoever holds it does not accept this one before it was named.
        return ConflictAction.NOTHING if supersedes(own, received) else ConflictAction.SUPERSEDE
    if received.incarnation == conflicting:
        return ConflictAction.NOTHING
    if own.incarnation in received.previous_incarnations:
        # The other one has named this process as a previous incarnation, and this one runs: either both run,
        # or the record is old and the other has ended. Its address can tell.
        return ConflictAction.VERIFY
    return (
        ConflictAction.NOTHING
        if received.incarnation in own.previous_incarnations
        else ConflictAction.SUPERSEDE
    )


@dataclass(slots=True)
class NameConflict:
    """The other process that answered under the own name, and when it last did (ns); incarnation 0: none."""

    incarnation: int = 0
    address: str = ""
    last_received: int = 0

    @property
    def is_active(self) -> bool:
        """Whether another process is known to run under the own name."""
        return self.incarnation != 0

    def update(self, incarnation: int, address: str, now: int) -> bool:
        """Notes a message of the other process; whether that one was not known before."""
        is_new = incarnation != self.incarnation
        self.incarnation, self.address, self.last_received = incarnation, address, now
        return is_new

    def is_expired(self, now: int, timeout: int) -> bool:
        """Whether the other process has been silent for longer than `timeout` ns."""
        return self.is_active and now - self.last_received > timeout

    def clear(self) -> None:
        """No other process is known any more."""
        self.incarnation, self.address, self.last_received = 0, "", 0


class NameConflictResolver:
    """Defends the own name: refutes, supersedes previous incarnations, and reports conflicts."""

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
        """A record under the own name was received."""
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
        """Another incarnation of the own name sent a message.

        The datagram may be old: only an answer to a nonce of ours proves that the other process runs.
        """
        is_known = message.incarnation == self.conflict.incarnation
        is_ack = isinstance(message, Ack)
        if not is_ack and not is_known and self._rate_limiter.allow(address, self._node.now):
            self._verify(address, message.incarnation)
        elif is_known:
            self.conflict.update(message.incarnation, address, self._node.now)

    def on_ack(self, probe: Probe, ack: Ack) -> None:
        """A process answered a probe of the own name."""
        node = self._node
        if ack.member_incarnation == node.own_record.incarnation:
            return
        if self.conflict.update(ack.member_incarnation, probe.address, node.now):
            node.emit(EventKind.CONFLICT, node.own_record, probe.address)
            marked = msgspec.structs.replace(node.own_record, name_conflict=True)
            self._dissemination.publish(next_own_record(marked))

    def recheck(self) -> None:
        """Probes the other process of a conflict again, or ends the conflict after a long silence."""
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
        """Probes another process of the own name."""
        node, probes = self._node, self._detector.probes
        own = node.own_record
        probe = Probe(own.name, incarnation, 0, address, node.now + node.config.probe_period)
        nonce = probes.add(probe)
        node.send(address, Ping(*node.header(), nonce, incarnation, (own,)))
        node.timers.schedule(probe.deadline, probes.discard, nonce)

    def _end_conflict(self) -> None:
        self._node.emit(EventKind.CONFLICT_OVER, self._node.own_record, self.conflict.address)
        self.conflict.clear()
