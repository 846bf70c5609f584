"""One member of the fleet: the protocol's entry points, and the dispatch of messages to its parts.

The owner calls `receive` with each message and `tick` at the time `next_timer`, sends the messages that
`take_outbox` returns and reports the events that `take_events` returns. This module does no I/O.

The protocol is SWIM (Das, Gupta, Motivala 2002) with the local health and the suspicion of Lifeguard (Dadgar,
Phillips, Currey 2018); docs/fleet.md lists the deviations from them and their reasons.
"""

from __future__ import annotations

from collections.abc import Callable

import msgspec

from valverouter.membership.anti_entropy import AntiEntropy
from valverouter.membership.config import MembershipConfig
from valverouter.membership.convergence import ConvergenceDetector, ViewHealth
from valverouter.membership.dissemination import Dissemination
from valverouter.membership.events import EventKind, MembershipEvent
from valverouter.membership.failure_detector import FailureDetector
from valverouter.membership.local_node import LocalNode
from valverouter.membership.member_updates import MemberUpdates
from valverouter.membership.messages import (
    Ack,
    Gossip,
    Message,
    Nack,
    Ping,
    PingReq,
    SyncDigests,
    SyncRecords,
    updates_of,
)
from valverouter.membership.name_conflicts import NameConflict, NameConflictResolver
from valverouter.membership.rate_limiter import AddressRateLimiter
from valverouter.membership.records import MemberRecord, MemberState, Phase, next_own_record
from valverouter.membership.view import MembershipView

HEALTH_EVENTS = {
    ViewHealth.SETTLED: EventKind.SETTLED,
    ViewHealth.UNSETTLED: EventKind.UNSETTLED,
    ViewHealth.CUT_OFF: EventKind.CUT_OFF,
}


class Membership:
    """One member of the fleet. The size of its tables is bounded by the size of the fleet.

    `own_record`: the member's first record of itself. `draw` returns random numbers in [0, 1). `now`
    and all other times are ns on the owner's clock. `seeds`: addresses through which to join the fleet.
    """

    def __init__(
        self,
        own_record: MemberRecord,
        config: MembershipConfig,
        draw: Callable[[], float],
        now: int,
        seeds: tuple[str, ...] = (),
    ) -> None:
        """Schedules the first probe, join attempt and anti-entropy exchange."""
        self.config = config
        self.seeds = tuple(seed for seed in seeds if seed != own_record.address)
        self.view_health = ViewHealth.UNSETTLED
        node = LocalNode(own_record, config, draw, now)
        rate_limiter = AddressRateLimiter(config.probe_period)
        dissemination = Dissemination(node)
        detector = FailureDetector(node, dissemination, self._on_probe_failed)
        conflicts = NameConflictResolver(node, dissemination, detector, rate_limiter)
        self.failure_detector = detector
        self.member_updates = MemberUpdates(node, dissemination, detector, rate_limiter)
        self._node = node
        self._rate_limiter = rate_limiter
        self._dissemination = dissemination
        self._conflicts = conflicts
        self._convergence = ConvergenceDetector(config)
        self._anti_entropy = AntiEntropy(node, self.seeds, conflicts, rate_limiter)
        detector.start()
        self._anti_entropy.start()

    # State

    @property
    def own_record(self) -> MemberRecord:
        """The latest record that this member has published of itself."""
        return self._node.own_record

    @property
    def view(self) -> MembershipView:
        """This member's view of the fleet, including itself."""
        return self._node.view

    @view.setter
    def view(self, view: MembershipView) -> None:
        self._node.view = view

    @property
    def name_conflict(self) -> NameConflict:
        """The conflict with another process that runs under this member's name, if any."""
        return self._conflicts.conflict

    @property
    def next_timer(self) -> int:
        """The time at which `tick` must be called next, ns."""
        return self._node.timers.next_due

    @property
    def outbox(self) -> list[tuple[str, Message]]:
        """The messages to send, each with its destination address."""
        return self._node.outbox

    @property
    def events(self) -> list[MembershipEvent]:
        """The events to report, oldest first."""
        return self._node.events

    def take_outbox(self) -> list[tuple[str, Message]]:
        """Empties the outbox and returns its addresses with messages, in sending order."""
        node = self._node
        outbox, node.outbox = node.outbox, []
        return outbox

    def take_events(self) -> list[MembershipEvent]:
        """Empties the list of events and returns them, oldest first."""
        node = self._node
        events, node.events = node.events, []
        return events

    # Time

    def tick(self, now: int) -> None:
        """Runs the timers that are due.

        Timers that are late by more than half a probe period show that this process has stalled.
        """
        node = self._node
        lateness = now - node.timers.next_due
        node.now = now
        if lateness > self.config.probe_period // 2:
            self._on_stall(lateness)
        node.timers.run_due(now)
        self._update_view_health()

    def _on_stall(self, duration: int) -> None:
        """Discards open probes and extends all suspicions by the time in which nothing was received."""
        self._node.emit(EventKind.STALLED, self.own_record)
        self.failure_detector.on_stall()
        self.member_updates.suspicions.postpone_all(duration)

    def _update_view_health(self) -> None:
        node = self._node
        unanswered = self.failure_detector.local_health.unanswered_probes
        health = self._convergence.health(node.now, node.view, unanswered, bool(self.seeds))
        if health is ViewHealth.SETTLED and self.name_conflict.is_active:
            health = ViewHealth.UNSETTLED
        if health is not self.view_health:
            self.view_health = health
            node.emit(HEALTH_EVENTS[health], node.own_record)

    # The own record

    def update_facts(self, now: int, phase: Phase | None = None, config_digest: str | None = None) -> None:
        """Publishes changed facts about this member; None keeps the present value."""
        self._node.now = now
        own = self.own_record
        phase = own.phase if phase is None else phase
        config_digest = own.config_digest if config_digest is None else config_digest
        if (phase, config_digest) != (own.phase, own.config_digest):
            changed = msgspec.structs.replace(own, phase=phase, config_digest=config_digest)
            self._dissemination.publish(next_own_record(changed))

    def leave(self, now: int) -> None:
        """Announces that this member leaves, so that the others needn't detect it as failed."""
        node = self._node
        node.now = now
        self._dissemination.publish(next_own_record(self.own_record, MemberState.LEFT))
        for name in node.random_peers(2 * self.config.gossip_fanout):
            node.send(node.view.records[name].address, Gossip(*node.header(), (self.own_record,)))

    # Messages

    def receive(self, now: int, address: str, message: Message) -> None:
        """Handles an authenticated message that was received from `address`."""
        self._node.now = now
        for record in updates_of(message):
            self._apply_update(record)
        self._check_sender(address, message)
        match message:
            case Ping():
                self._on_ping(address, message)
            case Ack():
                self._on_ack(message)
            case PingReq():
                self.failure_detector.on_ping_req(address, message)
            case Nack():
                self.failure_detector.on_nack(message)
            case SyncDigests():
                self._anti_entropy.on_sync(address, message)
            case SyncRecords():
                self._anti_entropy.on_records(address, message)

    def _apply_update(self, record: MemberRecord) -> None:
        if record.name == self._node.own_record.name:
            self._conflicts.on_own_name_record(record)
        else:
            self.member_updates.apply(record)

    def _check_sender(self, address: str, message: Message) -> None:
        """Compares the sender and the digest in the message's header with the view."""
        own, view = self._node.own_record, self._node.view
        if message.name == own.name and message.incarnation != own.incarnation:
            self._conflicts.on_message(address, message)
            return
        current = view.records.get(message.name)
        if current is None or current.incarnation != message.incarnation or not current.is_live:
            self._correct_sender(address, current)
            return
        self._convergence.record_digest(self._node.now, message.name, message.digest)
        if message.digest != view.digest:
            self._anti_entropy.on_digest_mismatch(current.address)

    def _correct_sender(self, address: str, current: MemberRecord | None) -> None:
        """Sends a sender the view's record of it, which it contradicts, so that it answers with its own.

        `current`: the view's record of the sender; None starts an exchange instead.
        """
        if not self._rate_limiter.allow(address, self._node.now):
            return
        if current is None:
            self._anti_entropy.sync(address)
        else:
            self._node.send(address, Gossip(*self._node.header(), (current,)))

    def _on_ping(self, address: str, ping: Ping) -> None:
        """Sends an ack, with the own record if the ping was for another incarnation or had an accusation."""
        node, own = self._node, self.own_record
        is_accused = any(record.name == own.name for record in ping.updates)
        needs_record = ping.target_incarnation != own.incarnation or is_accused
        updates = self._dissemination.take_updates(own if needs_record else None)
        node.send(address, Ack(*node.header(), ping.nonce, own.name, own.incarnation, updates))

    def _on_ack(self, ack: Ack) -> None:
        """Handles the answer to an own probe, to a probe for a requester, or to one of the own name."""
        probe = self.failure_detector.probes.pop(ack.nonce)
        if probe is None or probe.target != ack.member:
            return
        if probe.target == self.own_record.name:
            self._conflicts.on_ack(probe, ack)
        elif probe.requester is not None:
            self.failure_detector.relay_ack(probe, ack)
        else:
            self.failure_detector.local_health.on_probe_answered()
            self._on_member_answered(ack)

    def _on_member_answered(self, ack: Ack) -> None:
        node = self._node
        current = self.view.records.get(ack.member)
        if current is None:
            return
        if ack.member_incarnation == current.incarnation:
            if current.state == MemberState.SUSPECT:
                self.member_updates.suspicions.on_ack(current.name, node.now)
        elif ack.member_incarnation not in current.previous_incarnations:
            # Another incarnation answered. It supersedes the current record when it receives it.
            node.send(current.address, Gossip(*node.header(), (current,)))

    def _on_probe_failed(self, record: MemberRecord, is_final: bool) -> None:
        self.member_updates.on_probe_failed(record, is_final)
