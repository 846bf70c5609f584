"""Recording of attempts, and queries to servers about unresolved ones.

An attempt is unresolved after a restart of this process or the loss of its connection, until its server has
reported its status or has not responded in time.
"""

from __future__ import annotations

from valverouter.edge.attempts import AttemptHandler
from valverouter.edge.context import ProxyContext
from valverouter.edge.dialogs import DialogEntry, DialogTable
from valverouter.edge.events import LinkDown, RecoveryTimer
from valverouter.edge.link import ServerLink
from valverouter.edge.recovery_state import RecoveryState
from valverouter.edge.server_links import ServerLinks
from valverouter.interface import Outcome
from valverouter.recovery.lifecycle import Phase
from valverouter.recovery.plan import PeerStatus, RecoveryAction, RecoveryPlan, plan_on_status
from valverouter.signalling import setup


class ResumableAttempts(AttemptHandler):
    """Records each attempt before it is sent, and queries servers for the status of unresolved attempts."""

    def __init__(
        self, context: ProxyContext, dialogs: DialogTable, links: ServerLinks, state: RecoveryState
    ) -> None:
        """`state` holds the records and the pending recovery actions."""
        super().__init__(context, dialogs, links)
        self._incarnations = links.incarnations
        self._state = state
        self._pending = state.pending

    # Recording attempts

    def _on_attempt_sent(self, entry: DialogEntry, server: str) -> None:
        assert entry.attempt is not None
        incarnation = self._incarnations.current(server) or 0
        self._state.log.on_attempt_sent(entry.setup.dialog, entry.attempt, server, incarnation)

    def driver_attempt_number(self, dialog_id: str, attempt: int) -> int:
        """Returns an attempt's number minus the previous incarnation's attempts, unknown to the driver."""
        return attempt - self._state.attempt_offsets.get(dialog_id, 0)

    def cancel(self, entry: DialogEntry, outcome: Outcome) -> None:
        """Records the cancel and cancels; for an unsent attempt an event reports later that it never ran."""
        self._state.log.on_attempt_cancelled(entry.setup.dialog)
        super().cancel(entry, outcome)

    def _on_outcome(self, entry: DialogEntry, outcome: Outcome) -> None:
        if outcome is Outcome.ESTABLISHED:
            self._state.log.on_established(entry.setup.dialog)
            self._send_persisted(entry)
        else:
            self._state.log.on_attempt_ended(entry.setup.dialog, outcome)

    def _send_persisted(self, entry: DialogEntry) -> None:
        """Notifies the server that the dialog is on record, so that a lost connection does not end it."""
        link = entry.link
        if link is None or entry.attempt is None or not link.can_resume:
            return
        key = entry.setup.dialog, entry.attempt
        if key in link.attempts and not link.has_closed(key):
            link.send(setup.Persisted(*key))

    def abort_dialog(self, dialog_id: str, reason: str) -> None:
        """Ends a dialog without the driver; an unresolved attempt is cancelled even if it is established."""
        if self._pending.pop(dialog_id, None) is RecoveryAction.QUERY_SERVER:
            self.cancel_unresolved(self._entries[dialog_id])
        super().abort_dialog(dialog_id, reason)

    def cancel_unresolved(self, entry: DialogEntry) -> None:
        """Cancels an unresolved attempt, if its server was queried for it and may still have it."""
        link, attempt, entry.attempt = entry.link, entry.attempt, None
        if link is None or attempt is None:
            return
        key = (entry.setup.dialog, attempt)
        if link.attempts.get(key) is not False or not link.is_writable or link.has_closed(key):
            return
        link.attempts[key] = True
        link.send(setup.Cancel(*key))

    # Querying servers for unresolved attempts

    def enqueue_queries(self, link: ServerLink, incarnation: int) -> None:
        """Queues queries to a newly connected server for the unresolved attempts that were sent to it.

        `incarnation`: the server's. Attempts sent to another incarnation are resolved without a query.
        """
        for dialog_id in self._unresolved_dialogs():
            entry, record = self._entries[dialog_id], self._state.log.record(dialog_id)
            if record is None or record.server != link.server:
                continue
            same_incarnation = record.server_incarnation in (0, incarnation)
            if not same_incarnation or not link.can_resume:
                # Another process never had the attempt; one with an older protocol version dropped it with
                # the connection.
                self.on_peer_status(entry, PeerStatus.UNKNOWN, same_incarnation)
                continue
            entry.link = link
            traffic_type = self._context.config.deployment.traffic_types.get(record.traffic_type)
            priority_weight = traffic_type.priority_weight if traffic_type is not None else 0
            time_left = entry.deadline - self._context.now
            self._state.pacing.enqueue(dialog_id, link.server, time_left, priority_weight)
        self._send_due_queries()

    def _unresolved_dialogs(self) -> list[str]:
        return [
            dialog_id for dialog_id, action in self._pending.items() if action is RecoveryAction.QUERY_SERVER
        ]

    def _send_due_queries(self) -> None:
        """Sends the queries that are due by the pacing."""
        for dialog_id, server in self._state.pacing.take_due(self._context.now):
            entry, link = self._entries.get(dialog_id), self._links.get(server)
            if not self._send_query(entry, link):
                self._state.pacing.on_reply(server)

    def _send_query(self, entry: DialogEntry | None, link: ServerLink | None) -> bool:
        """Queries a server for an attempt; returns False without sending if it is no longer unresolved."""
        if entry is None or entry.attempt is None or link is None:
            return False
        is_unresolved = (
            self._pending.get(entry.setup.dialog) is RecoveryAction.QUERY_SERVER and entry.link is link
        )
        if not is_unresolved or not link.is_writable:
            return False
        key = entry.setup.dialog, entry.attempt
        link.attempts[key] = False
        link.send(setup.Resume(*key))
        return True

    def _on_answer(self, link: ServerLink, message: setup.LegMessage) -> None:
        entry, key = self._entries.get(message.dialog), (message.dialog, message.leg)
        was_queried = (
            self._pending.get(message.dialog) is RecoveryAction.QUERY_SERVER
            and link.attempts.get(key) is False
        )
        if entry is None or not was_queried or entry.attempt != message.leg:
            super()._on_answer(link, message)
            return
        is_established = isinstance(message, setup.Established)
        if not is_established:
            del link.attempts[key]
        self._state.pacing.on_reply(link.server)
        self.on_peer_status(entry, PeerStatus.ESTABLISHED if is_established else PeerStatus.UNKNOWN, True)
        self._send_due_queries()

    def on_peer_status(self, entry: DialogEntry, status: PeerStatus, same_incarnation: bool) -> None:
        """Resolves an attempt by its server's status or NO_RESPONSE, and carries out the resulting plan.

        `same_incarnation`: the status is of the server process that the attempt was sent to.
        """
        dialog_id, link = entry.setup.dialog, entry.link
        record = self._state.log.record(dialog_id)
        if record is None:  # the store has failed meanwhile and was cleared
            self.abort_dialog(dialog_id, "internal")
            return
        del self._pending[dialog_id]
        time_left = max(0, entry.deadline - self._context.now)
        release_delay = self._context.config.deployment.release_delay
        plan = plan_on_status(record, status, same_incarnation, time_left, release_delay)
        self._log.debug(
            "attempt-resolved", dialog=dialog_id, word=status.name.lower(), need=plan.action.name.lower()
        )
        if status is PeerStatus.NO_RESPONSE and link is not None:
            self._state.pacing.on_timeout(link.server, self._context.now)
        self._apply(entry, plan)

    def _apply(self, entry: DialogEntry, plan: RecoveryPlan) -> None:
        """Carries out the plan for a dialog's record."""
        dialog_id, link = entry.setup.dialog, entry.link
        if plan.action is RecoveryAction.RESEND_ANSWER:
            if not entry.is_established:
                self._state.log.on_established(dialog_id)
                server = link.server if link is not None else ""
                self._dialogs.answer(entry, setup.Established(dialog_id, 0, server))
            self._send_persisted(entry)
        elif plan.action is RecoveryAction.RESEND_ANSWER_AND_END:
            self.cancel_unresolved(entry)
            self._dialogs.end(entry, "cut")
        elif plan.action is RecoveryAction.FORGET:
            self._dialogs.remove(entry)
        else:
            self.cancel_unresolved(entry)
            self._state.log.on_attempt_cancelled(dialog_id)
            self._pending[dialog_id] = RecoveryAction.AWAIT_RELEASE
            self._timers.schedule(
                self._context.now + plan.delay, RecoveryTimer(dialog_id, RecoveryAction.AWAIT_RELEASE)
            )

    # Lost links

    def on_link_down(self, event: LinkDown) -> None:
        """Makes recorded established dialogs unresolved, to be queried on the next connection, not ended.

        If no connection can be made, they end at once without a query: a server that died has interrupted
        them, and the sooner their callers are notified, the sooner they can dial again.
        """
        link = event.link
        if link.is_final or not event.sent:
            for dialog_id in self._unresolved_dialogs():
                record = self._state.log.record(dialog_id)
                if record is not None and record.server == link.server:
                    self.on_peer_status(self._entries[dialog_id], PeerStatus.UNKNOWN, True)
        keys_to_query = (
            set() if link.is_final else {key for key in event.sent if self._make_unresolved(link, key)}
        )
        super().on_link_down(LinkDown(link, event.reason, event.sent - keys_to_query, event.unsent))

    def _make_unresolved(self, link: ServerLink, key: tuple[str, int]) -> bool:
        """Makes an established attempt on a lost connection unresolved and starts its timeout.

        Returns whether the attempt is to be queried on the next connection.
        """
        dialog_id, attempt = key
        entry = self._entries.get(dialog_id)
        if entry is None or entry.link is not link or entry.attempt != attempt:
            return False
        if self._pending.get(dialog_id) is RecoveryAction.QUERY_SERVER:
            self._state.pacing.on_timeout(link.server, self._context.now)
            return True
        record = self._state.log.record(dialog_id)
        if record is None or record.phase is not Phase.ESTABLISHED:
            return False
        if not entry.is_established or entry.is_released:
            return False
        self._pending[dialog_id] = RecoveryAction.QUERY_SERVER
        resume_within = self._context.config.ledger.resume_within
        self._timers.schedule(
            self._context.now + resume_within, RecoveryTimer(dialog_id, RecoveryAction.QUERY_SERVER)
        )
        return True
