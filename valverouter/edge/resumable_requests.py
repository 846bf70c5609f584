"""Requests of callers that may lose their connection and resume their dialogs on another."""

from __future__ import annotations

from valverouter.edge.attempt_policies import default_policy
from valverouter.edge.caller import CallerConnection, DetachedCaller
from valverouter.edge.caller_requests import CallerRequests
from valverouter.edge.context import ProxyContext
from valverouter.edge.dialogs import DialogEntry, DialogTable
from valverouter.edge.events import CallerDisconnected, CallerMessage, RecoveryTimer
from valverouter.edge.recovery_state import RecoveryState
from valverouter.edge.resumable_attempts import ResumableAttempts
from valverouter.recovery.lifecycle import Phase
from valverouter.recovery.plan import RecoveryAction, remaining_attempt_policy
from valverouter.signalling import setup


class ResumableRequests(CallerRequests):
    """Keeps the dialogs of disconnected callers, and continues a dialog once its caller has resumed it."""

    def __init__(
        self, context: ProxyContext, dialogs: DialogTable, attempts: ResumableAttempts, state: RecoveryState
    ) -> None:
        """`state` holds the records and the pending recovery actions."""
        super().__init__(context, dialogs, attempts)
        self._resumable_attempts = attempts
        self._state = state

    def on_caller_disconnected(self, event: CallerDisconnected) -> None:
        """Keeps the dialogs of a disconnected caller, which it may resume within `resume_within`."""
        context = self._context
        if not event.caller.can_resume or context.shutdown.is_draining:
            super().on_caller_disconnected(event)
            return
        deadline = context.now + context.config.ledger.resume_within
        detached = DetachedCaller(event.caller.name, deadline)
        for dialog_id in list(event.caller.dialogs):
            self._attach(self._entries[dialog_id], detached)
            context.timers.schedule(deadline, RecoveryTimer(dialog_id, RecoveryAction.FORGET))

    def _attach(self, entry: DialogEntry, caller: CallerConnection) -> None:
        entry.caller.dialogs.discard(entry.setup.dialog)
        entry.caller = caller
        caller.dialogs.add(entry.setup.dialog)

    def on_caller_message(self, event: CallerMessage) -> None:
        """Handles a caller's request, among them Resume."""
        if isinstance(event.message, setup.Resume):
            self._resume(event.caller, event.message.dialog)
        else:
            super().on_caller_message(event)

    def on_cancel_or_release(self, caller: CallerConnection, message: setup.LegMessage) -> None:
        """Releases an established dialog with an unresolved attempt without waiting for its server."""
        entry = self._entries.get(message.dialog)
        is_unresolved = self._state.pending.get(message.dialog) is RecoveryAction.QUERY_SERVER
        if entry is None or not entry.is_established or not is_unresolved:
            super().on_cancel_or_release(caller, message)
        elif entry.caller is caller:
            self._resumable_attempts.cancel_unresolved(entry)
            self._dialogs.end(entry, "released")

    def _resume(self, caller: CallerConnection, dialog_id: str) -> None:
        """Handles a caller's Resume: sends what is owed to it, and continues the routing of the dialog."""
        entry = self._entries.get(dialog_id)
        if entry is None or entry.caller.name != caller.name:
            self._resume_closed(caller, dialog_id)
            return
        self._attach(entry, caller)
        action = self._state.pending.get(dialog_id)
        if entry.is_established:
            server = entry.link.server if entry.link is not None else ""
            caller.send(setup.Established(dialog_id, 0, server))
            if action is RecoveryAction.RESEND_ANSWER_AND_END:
                self._dialogs.end(entry, self._state.unreported_ends[dialog_id])
            return
        caller.send(setup.Provisional(dialog_id))
        if action is RecoveryAction.CONTINUE_ROUTING:
            self.continue_dialog(entry)

    def _resume_closed(self, caller: CallerConnection, dialog_id: str) -> None:
        """Sends the end or the final answer of a dialog again that its caller did not receive."""
        end = self._state.sent_ends.find(dialog_id, caller.name, self._context.now)
        if end is None:
            caller.send(self._recorded_answer(caller, dialog_id))
            return
        caller.send(setup.Established(dialog_id, 0, end.server))
        caller.send(setup.Ended(dialog_id, 0, end.reason))

    def _recorded_answer(
        self, caller: CallerConnection, dialog_id: str
    ) -> setup.Unknown | setup.Rejected | setup.Failed:
        record = self._state.log.record(dialog_id)
        if record is None or record.phase is not Phase.CONCLUDED or record.caller != caller.name:
            return setup.Unknown(dialog_id)
        if record.final_answer == "declined":
            return setup.Rejected(dialog_id, 0, record.retry_after)
        return setup.Failed(dialog_id, 0, "failed")

    def continue_dialog(self, entry: DialogEntry) -> None:
        """Passes a dialog to the driver, once no earlier attempt of it may still be running.

        While its caller is disconnected the dialog waits, since no answer could be delivered.
        """
        request = entry.setup
        if isinstance(entry.caller, DetachedCaller):
            self._state.pending[request.dialog] = RecoveryAction.CONTINUE_ROUTING
            return
        self._state.pending.pop(request.dialog, None)
        deployment = self._context.config.deployment
        policy = self.policy_for(request, entry.caller.name)
        traffic_type = deployment.traffic_types.get(request.traffic_type)
        if entry.attempts_started and traffic_type is not None:
            policy = policy or default_policy(deployment, traffic_type.latency_objective)
            policy = remaining_attempt_policy(policy, entry.attempts_started, deployment.max_attempts)
            if policy is None:
                retry_after = deployment.max_retry_after
                self._dialogs.answer(entry, setup.Rejected(request.dialog, request.leg, retry_after))
                return
        deadline = entry.deadline - self._context.config.answer_margin
        if deadline <= self._context.now:
            self._dialogs.answer(entry, setup.Failed(request.dialog, request.leg, "no-time"))
            return
        self.start_dialog(request, deadline, policy)
