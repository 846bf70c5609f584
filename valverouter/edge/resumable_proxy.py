"""An edge proxy whose accepted dialogs survive its restart and the loss of a caller's connection.

It keeps a record of each dialog (`recovery_log`) and commits the changes at the end of each turn, before the
messages queued in the turn are sent. At its start it loads the records of the previous incarnation.
`valverouter.recovery` decides what each dialog needs and how fast servers are queried. The routing of a
dialog continues once its caller has resumed it; until then, no answer could be delivered.
"""

from __future__ import annotations

from valverouter.config.edge import EdgeConfig
from valverouter.edge.caller import DetachedCaller
from valverouter.edge.caller_requests import CallerRequests
from valverouter.edge.dialogs import DialogEntry, DialogTable
from valverouter.edge.events import LinkUp, RecoveryTimer
from valverouter.edge.proxy import EdgeProxy
from valverouter.edge.recovery_log import RecordStore, RecoveryLog
from valverouter.edge.recovery_state import RecoveryState
from valverouter.edge.resumable_attempts import ResumableAttempts
from valverouter.edge.resumable_dialogs import ResumableDialogs
from valverouter.edge.resumable_requests import ResumableRequests
from valverouter.edge.runtime import Runtime
from valverouter.edge.sent_ends import SentEnds
from valverouter.recovery.lifecycle import DialogRecord, Phase
from valverouter.recovery.plan import PeerStatus, RecoveryAction, RecoveryPlan
from valverouter.signalling import setup

# How long a server has to report the status of an attempt that was in flight, ns. For an established attempt
# it has as long as the caller has to resume, `resume_within`.
QUERY_TIMEOUT = 1_000_000_000
# The attempts of a dialog that was taken over are numbered after those of the previous incarnation. The
# offset is kept for this time after the dialog's deadline, until the last message about any attempt has
# arrived; ns.
ATTEMPT_OFFSET_LIFETIME = 60_000_000_000


def make_edge_proxy(config: EdgeConfig, runtime: Runtime, store: RecordStore | None) -> EdgeProxy:
    """Returns a ResumableProxy if there is a store, otherwise an EdgeProxy."""
    return EdgeProxy(config, runtime) if store is None else ResumableProxy(config, runtime, store)


class ResumableProxy(EdgeProxy):
    """An edge proxy with a store for the records of its dialogs."""

    attempts: ResumableAttempts
    requests: ResumableRequests

    def __init__(self, config: EdgeConfig, runtime: Runtime, store: RecordStore) -> None:
        """Begins a new epoch of `store`."""
        sent_ends = SentEnds(config.ledger.resume_within, config.links.open_dialogs)
        self.recovery = RecoveryState(RecoveryLog(store, runtime.timestamp), sent_ends)
        super().__init__(config, runtime, self.recovery.log.epoch)
        self._handlers[RecoveryTimer] = self._on_recovery_timer

    def _make_dialogs(self) -> DialogTable:
        return ResumableDialogs(self.context, self.reloader, self.recovery)

    def _make_attempts(self) -> ResumableAttempts:
        return ResumableAttempts(self.context, self.dialogs, self.links, self.recovery)

    def _make_requests(self) -> CallerRequests:
        return ResumableRequests(self.context, self.dialogs, self.attempts, self.recovery)

    def _before_send(self, now: int) -> None:
        self.recovery.log.commit(now)

    def _on_link_up(self, event: LinkUp) -> None:
        super()._on_link_up(event)
        if event.link.is_writable:
            self.attempts.enqueue_queries(event.link, event.welcome.incarnation)

    # Dialogs of a previous incarnation

    def _on_start(self) -> None:
        context = self.context
        context.now = now = context.clock.now()
        recovered = self.recovery.log.take_over(context.config.deployment.release_delay)
        for record, plan in recovered:
            if plan.action is RecoveryAction.RESEND_ANSWER:
                self.recovery.log.keep_answer_until(record.dialog_id, now + plan.time_left)
            else:
                self._take_over(record, plan)
        if recovered:
            self._log.info(
                "dialogs-recovered",
                dialogs=len(recovered),
                standing=self.established_dialogs,
                epoch=context.epoch,
            )

    def _take_over(self, record: DialogRecord, plan: RecoveryPlan) -> None:
        config, now, dialog_id = self.context.config, self.context.now, record.dialog_id
        deadline = now + plan.time_left
        resume_deadline = now + max(plan.time_left, config.ledger.resume_within)
        caller = DetachedCaller(record.caller, resume_deadline)
        entry = DialogEntry(
            _setup_from_record(record, plan.time_left), caller, deadline, attempts_started=record.attempt + 1
        )
        self.dialogs.add(entry)
        if entry.attempts_started:
            self.recovery.attempt_offsets[dialog_id] = entry.attempts_started
            self._schedule(deadline + ATTEMPT_OFFSET_LIFETIME, dialog_id, RecoveryAction.RESEND_ANSWER)
        self.recovery.pending[dialog_id] = plan.action
        wait = plan.delay
        if plan.action is RecoveryAction.QUERY_SERVER:
            entry.attempt, entry.is_established = record.attempt, record.phase is Phase.ESTABLISHED
            wait = config.ledger.resume_within if entry.is_established else QUERY_TIMEOUT
        self._schedule(now + wait, dialog_id, plan.action)
        self._schedule(resume_deadline, dialog_id, RecoveryAction.FORGET)
        if not entry.is_established:
            self._schedule(deadline - config.answer_margin, dialog_id, RecoveryAction.CANCEL_ATTEMPT)

    def _schedule(self, at: int, dialog_id: str, action: RecoveryAction) -> None:
        self.context.timers.schedule(at, RecoveryTimer(dialog_id, action))

    def _on_recovery_timer(self, timer: RecoveryTimer) -> None:
        """Handles the expiry of a timer, whose action says what has expired.

        FORGET: the caller's time to resume. CANCEL_ATTEMPT: the time of a dialog whose routing has not
        continued. RESEND_ANSWER: the lifetime of its attempt offset. QUERY_SERVER, AWAIT_RELEASE: the time
        for that pending action.
        """
        dialog_id = timer.dialog_id
        if timer.action is RecoveryAction.RESEND_ANSWER:
            self.recovery.attempt_offsets.pop(dialog_id, None)
            return
        entry = self.dialogs.entries.get(dialog_id)
        if entry is None:
            return
        pending = self.recovery.pending.get(dialog_id)
        if timer.action is RecoveryAction.FORGET:
            self._on_resume_deadline(entry)
        elif timer.action is RecoveryAction.CANCEL_ATTEMPT:
            if pending is not None:
                self.attempts.abort_dialog(dialog_id, "no-time")
        elif pending is timer.action is RecoveryAction.QUERY_SERVER:
            self.attempts.on_peer_status(entry, PeerStatus.NO_RESPONSE, True)
        elif pending is timer.action is RecoveryAction.AWAIT_RELEASE:
            self.requests.continue_dialog(entry)

    def _on_resume_deadline(self, entry: DialogEntry) -> None:
        caller = entry.caller
        if isinstance(caller, DetachedCaller) and self.context.now >= caller.resume_deadline:
            self.attempts.abort_dialog(entry.setup.dialog, "caller-gone")


def _setup_from_record(record: DialogRecord, time_left: int) -> setup.Setup:
    """Returns the set-up that a record was made from, with `time_left` ns of the caller's time left."""
    return setup.Setup(
        dialog=record.dialog_id,
        traffic_type=record.traffic_type,
        time_left=max(1, time_left),
        preferred_server_number=record.preferred_server_number,
        called_number=record.called_number,
        was_interrupted=record.was_interrupted,
    )
