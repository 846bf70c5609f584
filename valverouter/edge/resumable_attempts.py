"""Attempts on record, and those of a previous incarnation or a lost connection: their servers are asked."""

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
    """Records each attempt before it leaves, and finds out what became of those in doubt."""

    def __init__(
        self, context: ProxyContext, dialogs: DialogTable, links: ServerLinks, state: RecoveryState
    ) -> None:
        """`state` holds the records, and which attempts are in doubt."""
        super().__init__(context, dialogs, links)
        self._incarnations = links.incarnations
        self._state = state
        self._pending = state.pending

    # On record, before it leaves

    def _on_attempt_sent(self, entry: DialogEntry, server: str) -> None:
        assert entry.attempt is not None
        incarnation = self._incarnations.current(server) or 0
        self._state.log.on_attempt_sent(entry.setup.dialog, entry.attempt, server, incarnation)

    def driver_attempt_number(self, dialog_id: str, attempt: int) -> int:
        """An attempt's number without those of the previous incarnation, which the decisions never saw."""
        return attempt - self._state.attempt_offsets.get(dialog_id, 0)

    def cancel(self, entry: DialogEntry, outcome: Outcome) -> None:
        """Records the cancel, also of an attempt that had not left: the event that it never ran follows."""
        self._state.log.on_attempt_cancelled(entry.setup.dialog)
        super().cancel(entry, outcome)

    def _on_outcome(self, entry: DialogEntry, outcome: Outcome) -> None:
        if outcome is Outcome.ESTABLISHED:
            self._state.log.on_established(entry.setup.dialog)
            self._confirm_record(entry)
        else:
            self._state.log.on_attempt_ended(entry.setup.dialog, outcome)

    def _confirm_record(self, entry: DialogEntry) -> None:
        """Tells the server that the dialog is on record: it need not cut it should this connection go."""
        link = entry.link
        if link is None or entry.attempt is None or not link.can_resume:
            return
        key = entry.setup.dialog, entry.attempt
        if key in link.attempts and not link.has_closed(key):
            link.send(setup.Persisted(*key))

    def abort_dialog(self, dialog_id: str, reason: str) -> None:
        """Ends a dialog from outside the decisions; one in doubt is cancelled at its server either way."""
        if self._pending.pop(dialog_id, None) is RecoveryAction.QUERY_SERVER:
            self.withdraw(self._entries[dialog_id])
        super().abort_dialog(dialog_id, reason)

    def withdraw(self, entry: DialogEntry) -> None:
        """Cancels a previous incarnation's attempt, where its server was asked for it and may have it."""
        link, attempt, entry.attempt = entry.link, entry.attempt, None
        if link is None or attempt is None:
            return
        key = (entry.setup.dialog, attempt)
        if link.attempts.get(key) is not False or not link.is_writable or link.has_closed(key):
            return
        link.attempts[key] = True
        link.send(setup.Cancel(*key))

    # Asking servers for attempts in doubt

    def query_link(self, link: ServerLink, incarnation: int) -> None:
        """A server is there: it is asked for attempts in doubt, where it is the process that had them."""
        for dialog_id in self._in_doubt():
            entry, record = self._entries[dialog_id], self._state.log.record(dialog_id)
            if record is None or record.server != link.server:
                continue
            is_same_process = record.server_incarnation in (0, incarnation)
            if not is_same_process or not link.can_resume:
                # Another process never had it; one of an older version dropped it with the connection.
                self.on_peer_status(entry, PeerStatus.UNKNOWN, is_same_process)
                continue
            entry.link = link
            traffic_type = self._context.config.deployment.traffic_types.get(record.traffic_type)
            priority_weight = traffic_type.priority_weight if traffic_type is not None else 0
            time_left = entry.deadline - self._context.now
            self._state.pacing.enqueue(dialog_id, link.server, time_left, priority_weight)
        self._query_next()

    def _in_doubt(self) -> list[str]:
        return [
            dialog_id for dialog_id, action in self._pending.items() if action is RecoveryAction.QUERY_SERVER
        ]

    def _query_next(self) -> None:
        """Asks for as many as the pace allows."""
        for dialog_id, server in self._state.pacing.take_due(self._context.now):
            entry, link = self._entries.get(dialog_id), self._links.get(server)
            if not self._query(entry, link):
                self._state.pacing.on_reply(server)

    def _query(self, entry: DialogEntry | None, link: ServerLink | None) -> bool:
        """Whether a server was asked for an attempt; it is not where that is in doubt no more."""
        if entry is None or entry.attempt is None or link is None:
            return False
        is_in_doubt = (
            self._pending.get(entry.setup.dialog) is RecoveryAction.QUERY_SERVER and entry.link is link
        )
        if not is_in_doubt or not link.is_writable:
            return False
        key = entry.setup.dialog, entry.attempt
        link.attempts[key] = False
        link.send(setup.Resume(*key))
        return True

    def _on_answer(self, link: ServerLink, message: setup.LegMessage) -> None:
        entry, key = self._entries.get(message.dialog), (message.dialog, message.leg)
        was_asked = (
            self._pending.get(message.dialog) is RecoveryAction.QUERY_SERVER
            and link.attempts.get(key) is False
        )
        if entry is None or not was_asked or entry.attempt != message.leg:
            super()._on_answer(link, message)
            return
        is_established = isinstance(message, setup.Established)
        if not is_established:
            del link.attempts[key]
        self._state.pacing.on_reply(link.server)
        self.on_peer_status(entry, PeerStatus.ESTABLISHED if is_established else PeerStatus.UNKNOWN, True)
        self._query_next()

    def on_peer_status(self, entry: DialogEntry, status: PeerStatus, is_same_process: bool) -> None:
        """What a server says of an attempt in doubt, or its silence."""
        dialog_id, link = entry.setup.dialog, entry.link
        record = self._state.log.record(dialog_id)
        if record is None:  # the store failed meanwhile, and what it held of this attempt is void
            self.abort_dialog(dialog_id, "internal")
            return
        del self._pending[dialog_id]
        time_left = max(0, entry.deadline - self._context.now)
        release_delay = self._context.config.deployment.release_delay
        plan = plan_on_status(record, status, is_same_process, time_left, release_delay)
        self._log.debug(
            "attempt-resolved", dialog=dialog_id, word=status.name.lower(), need=plan.action.name.lower()
        )
        if status is PeerStatus.NO_RESPONSE and link is not None:
            self._state.pacing.on_timeout(link.server, self._context.now)
        self._apply(entry, plan)

    def _apply(self, entry: DialogEntry, plan: RecoveryPlan) -> None:
        """Does what the record of a dialog needs, now that its server's status is known."""
        dialog_id, link = entry.setup.dialog, entry.link
        if plan.action is RecoveryAction.RESEND_ANSWER:
            if not entry.is_established:
                self._state.log.on_established(dialog_id)
                server = link.server if link is not None else ""
                self._dialogs.answer(entry, setup.Established(dialog_id, 0, server))
            self._confirm_record(entry)
        elif plan.action is RecoveryAction.RESEND_ANSWER_AND_END:
            self.withdraw(entry)
            self._dialogs.end(entry, "cut")
        elif plan.action is RecoveryAction.FORGET:
            self._dialogs.remove(entry)
        else:
            self.withdraw(entry)
            self._state.log.on_attempt_cancelled(dialog_id)
            self._pending[dialog_id] = RecoveryAction.AWAIT_RELEASE
            self._timers.schedule(
                self._context.now + plan.delay, RecoveryTimer(dialog_id, RecoveryAction.AWAIT_RELEASE)
            )

    # Links that are lost

    def on_link_down(self, event: LinkDown) -> None:
        """What is established on record is asked for on the next connection, not cut at once.

        A connection that does not come about is answer enough: a server that died has cut it, and a caller
        who hears of it late dials again late.
        """
        link = event.link
        if link.is_final or not event.sent:
            for dialog_id in self._in_doubt():
                record = self._state.log.record(dialog_id)
                if record is not None and record.server == link.server:
                    self.on_peer_status(self._entries[dialog_id], PeerStatus.UNKNOWN, True)
        in_doubt = (
            set() if link.is_final else {key for key in event.sent if self._becomes_doubtful(link, key)}
        )
        super().on_link_down(LinkDown(link, event.reason, event.sent - in_doubt, event.unsent))

    def _becomes_doubtful(self, link: ServerLink, key: tuple[str, int]) -> bool:
        """Whether an attempt on a lost connection is asked for again."""
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
