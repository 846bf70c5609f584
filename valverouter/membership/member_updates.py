"""Applies updates about other members to the view: joins, suspicions, failures, leaves and removals."""

from __future__ import annotations

from valverouter.membership.dissemination import Dissemination
from valverouter.membership.events import EventKind
from valverouter.membership.failure_detector import FailureDetector
from valverouter.membership.local_node import LocalNode
from valverouter.membership.messages import Gossip
from valverouter.membership.rate_limiter import AddressRateLimiter
from valverouter.membership.records import (
    MemberRecord,
    MemberState,
    are_unrelated,
    as_reported,
    self_reported_facts,
)
from valverouter.membership.suspicion import SuspicionTable


class MemberUpdates:
    """Updates this member's view of the others.

    A suspicion is removed from `suspicions` when its member refutes it, is declared gone or leaves. Members
    that are gone or have left are removed from the view after `gone_retention`.
    """

    def __init__(
        self,
        node: LocalNode,
        dissemination: Dissemination,
        detector: FailureDetector,
        rate_limiter: AddressRateLimiter,
    ) -> None:
        self.suspicions = SuspicionTable(node.config)
        self._node = node
        self._dissemination = dissemination
        self._detector = detector
        self._rate_limiter = rate_limiter

    def apply(self, update: MemberRecord) -> None:
        """Applies a received record of another member."""
        node = self._node
        current = node.view.records.get(update.name)
        if current is not None and _is_accusation_of(update, current):
            self._on_accusation(current, update.accuser)
        elif node.view.accepts(update):
            self._accept(update, update.accuser)
        elif current is not None and update.is_live and are_unrelated(update, current):
            self._send_other_incarnation(update.address, current)

    def _send_other_incarnation(self, address: str, current: MemberRecord) -> None:
        """Sends the current record to another incarnation of its member, at `address`.

        Neither incarnation has named the other. If the one at `address` is running, it names the current one
        and so supersedes it in all views. If it isn't, the message is of no use to a new user of the address.
        """
        if self._rate_limiter.allow(address, self._node.now):
            self._node.send(address, Gossip(*self._node.header(), (current,)))

    # Suspicion

    def _on_accusation(self, current: MemberRecord, accuser: str) -> None:
        """Records an accusation by another member, and at random probes the new suspect to check it."""
        node = self._node
        if not current.is_live or accuser == node.own_record.name:
            return
        self._suspect(current, accuser)
        was_alive = current.state == MemberState.ALIVE
        if was_alive and node.draw() * node.view.live_count < node.config.expected_confirmers:
            self._detector.probe(node.view.records[current.name])

    def on_probe_failed(self, record: MemberRecord, is_final: bool) -> None:
        """Suspects a live member whose probe failed; after a failed final probe, declares it gone."""
        if is_final and record.state == MemberState.SUSPECT:
            self._declare_gone(record)
        else:
            self._suspect(record, self._node.own_record.name)

    def _suspect(self, current: MemberRecord, accuser: str) -> None:
        """Counts an accusation, based on an own failed probe or reported by another member."""
        node = self._node
        if not node.config.suspicion_enabled:
            self._declare_gone(current)
            return
        name = current.name
        suspect = as_reported(current, MemberState.SUSPECT, accuser)
        if current.state == MemberState.ALIVE:
            node.view.set_record(suspect, node.now)
            node.emit(EventKind.SUSPECT, suspect, accuser)
            self.suspicions.clear(name)
        multiplier = self._detector.local_health.timeout_multiplier
        deadline = self.suspicions.accuse(name, accuser, node.now, node.view.live_count, multiplier)
        if deadline is not None:
            self._dissemination.broadcast(suspect)
            node.timers.schedule(
                deadline, self._on_suspicion_deadline, name, current.incarnation, current.sequence
            )

    def _on_suspicion_deadline(self, name: str, incarnation: int, sequence: int) -> None:
        """Sends an expired suspect the final probe, which precedes declaring it gone."""
        node = self._node
        current = node.view.records.get(name)
        if current is None or current.state != MemberState.SUSPECT:
            return
        if (current.incarnation, current.sequence) != (incarnation, sequence):
            return
        if not self.suspicions.is_expired(name, node.now):
            deadline = self.suspicions.deadline(name)
            node.timers.schedule(deadline, self._on_suspicion_deadline, name, incarnation, sequence)
            return
        multiplier = self._detector.local_health.timeout_multiplier
        self.suspicions.begin_final_probe(name, node.now, multiplier)
        self._detector.probe(current, is_final=True)

    def _declare_gone(self, current: MemberRecord) -> None:
        self._accept(as_reported(current, MemberState.GONE, self._node.own_record.name), "")

    # State changes

    def _accept(self, update: MemberRecord, source: str) -> None:
        """Stores a later record in the view, emits the change as an event and disseminates the record."""
        node = self._node
        previous = node.view.records.get(update.name)
        node.view.set_record(update, node.now)
        self.suspicions.clear(update.name)
        self._dissemination.broadcast(update)
        if update.state == MemberState.SUSPECT:
            self._accept_suspect(previous, update, source)
            return
        self._report_transition(previous, update, source)
        if not update.is_live:
            forget_at = node.now + node.config.gone_retention
            node.timers.schedule(forget_at, self._forget, update.name, update.incarnation, update.sequence)
        elif previous is None or not previous.is_live:
            self._detector.add_member(update.name)

    def _accept_suspect(self, previous: MemberRecord | None, update: MemberRecord, source: str) -> None:
        """Stores a later record that is already suspect; its suspicion timeout starts now."""
        alive = as_reported(update, MemberState.ALIVE, "")
        self._node.view.set_record(alive, self._node.now)
        self._report_transition(previous, alive, source)
        self._suspect(alive, source)

    def _report_transition(self, previous: MemberRecord | None, update: MemberRecord, source: str) -> None:
        kind = _transition_kind(previous, update)
        if kind is not None:
            self._node.emit(kind, update, source)

    def _forget(self, name: str, incarnation: int, sequence: int) -> None:
        """Removes a member that is gone or has left, unless its record has changed since the scheduling."""
        view = self._node.view
        current = view.records.get(name)
        if current is None or current.is_live:
            return
        if (current.incarnation, current.sequence) == (incarnation, sequence):
            view.forget(name)
            self._node.emit(EventKind.FORGOTTEN, current)


def _is_accusation_of(update: MemberRecord, current: MemberRecord) -> bool:
    """Returns whether the update is a suspicion of exactly the current record."""
    is_same = (update.incarnation, update.sequence) == (current.incarnation, current.sequence)
    return is_same and update.state == MemberState.SUSPECT


def _transition_kind(previous: MemberRecord | None, update: MemberRecord) -> EventKind | None:
    """Returns the event for a record that replaces the previous one; None if there is none to emit."""
    if update.state == MemberState.GONE:
        return EventKind.GONE
    if update.state == MemberState.LEFT:
        return EventKind.LEFT
    if previous is None:
        return EventKind.JOINED
    if previous.incarnation != update.incarnation:
        return EventKind.RESTARTED
    if previous.state != MemberState.ALIVE:
        return EventKind.REFUTED
    if self_reported_facts(previous) != self_reported_facts(update):
        return EventKind.CHANGED
    return None
