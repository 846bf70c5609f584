"""An edge proxy whose accepted dialogs outlive its restart, and a caller's broken connection.

It moves a record for each dialog (`recovery_log`), committed at the end of each turn, before what the turn
queued leaves. At its start it takes over what a previous incarnation left: what each dialog needs is decided
by `valverouter.recovery`, and so is how fast servers are asked. A dialog goes on once its caller has come
back for it; without, nobody would hear the answer.
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
from valverouter.recovery.lifecycle import DialogRecord, Phase
from valverouter.recovery.plan import PeerStatus, RecoveryAction, RecoveryPlan
from valverouter.signalling import setup

# For so long a server is given to say what became of an attempt that was in flight; for one that is
# established, as long as its caller has to come back. Nanoseconds.
QUERY_TIMEOUT = 1_000_000_000
# A dialog of a previous incarnation numbers its attempts on from that one's. Its numbers are remembered so
# much longer than its time, until the last message on any of them has come.
ATTEMPT_OFFSET_LIFETIME = 60_000_000_000


def make_edge_proxy(config: EdgeConfig, runtime: Runtime, store: RecordStore | None) -> EdgeProxy:
    """An instance, resumable where it has a store."""
    return EdgeProxy(config, runtime) if store is None else ResumableProxy(config, runtime, store)


class ResumableProxy(EdgeProxy):
    """An instance with a store for the records of its dialogs."""

    attempts: ResumableAttempts
    requests: ResumableRequests

    def __init__(self, config: EdgeConfig, runtime: Runtime, store: RecordStore) -> None:
        """Begins a new epoch of `store`."""
        self.recovery = RecoveryState(RecoveryLog(store, runtime.moment))
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
            self.attempts.query_link(event.link, event.welcome.incarnation)

    # Dialogs of a previous incarnation

    def _on_start(self) -> None:
        context = self.context
        context.now = now = context.clock.now()
        found = self.recovery.log.take_over(context.config.deployment.release_delay)
        for record, plan in found:
            if plan.action is RecoveryAction.RESEND_ANSWER:
                self.recovery.log.keep_answer_until(record.dialog_id, now + plan.time_left)
            else:
                self._take_over(record, plan)
        if found:
            self._log.info(
                "dialogs-recovered",
                dialogs=len(found),
                standing=self.established_dialogs,
                epoch=context.epoch,
            )

    def _take_over(self, record: DialogRecord, plan: RecoveryPlan) -> None:
        config, now, dialog_id = self.context.config, self.context.now, record.dialog_id
        deadline = now + plan.time_left
        resume_deadline = now + max(plan.time_left, config.ledger.resume_within)
        caller = DetachedCaller(record.caller, resume_deadline)
        entry = DialogEntry(
            _request_of(record, plan.time_left), caller, deadline, attempts_started=record.attempt + 1
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
        """The time that something was given is over.

        FORGET: a caller's time to come back; LET_GO: the time of a dialog that has not gone on; ANSWER: the
        lifetime of its attempt numbers; else the time of what the dialog waits for.
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


def _request_of(record: DialogRecord, time_left: int) -> setup.Setup:
    """The set-up that a record was made of, with what is left of its time."""
    return setup.Setup(
        dialog=record.dialog_id,
        traffic_type=record.traffic_type,
        time_left=max(1, time_left),
        preferred_server_number=record.preferred_server_number,
        called_number=record.called_number,
        was_interrupted=record.was_interrupted,
    )
