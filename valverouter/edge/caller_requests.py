"""Callers' requests: passes set-ups to the driver; handles cancels, releases and disconnections."""

from __future__ import annotations

from valverouter.edge.attempts import AttemptHandler
from valverouter.edge.caller import CallerConnection
from valverouter.edge.context import ProxyContext
from valverouter.edge.dialogs import DialogEntry, DialogTable
from valverouter.edge.events import CallerDisconnected, CallerMessage
from valverouter.interface import AttemptPolicy, Dialog
from valverouter.signalling import setup
from valverouter.signalling.framing import ProtocolError


class CallerRequests:
    """Handles callers' messages and disconnections."""

    def __init__(self, context: ProxyContext, dialogs: DialogTable, attempts: AttemptHandler) -> None:
        """Accepted dialogs are added to `dialogs`; `attempts` ends those that are cancelled."""
        self._context = context
        self._dialogs = dialogs
        self._entries = dialogs.entries
        self._attempts = attempts

    def on_caller_message(self, event: CallerMessage) -> None:
        """Handles a set-up, cancel or release."""
        message = event.message
        if isinstance(message, setup.Setup):
            self.accept(event.caller, message, self._received_at(event, message.time_left))
        else:
            event.caller.queued_cancels.discard(message.dialog)
            self.on_cancel_or_release(event.caller, message)

    def _received_at(self, event: CallerMessage, time_left: int) -> int:
        """When a set-up arrived; if it was read after a stall, this may be long before it was read."""
        context = self._context
        read_at = event.received_at or context.now
        unread = context.unread_since and self._received_during_stall(time_left)
        return min(read_at, unread) if unread else read_at

    def _received_during_stall(self, time_left: int) -> int:
        """The assumed arrival time of a set-up read after a stall; 0 if none can be assumed.

        Its real arrival time is unknown, so it counts as received when the stall began. Counted from the end
        of the stall, its answer came after the caller's deadline. If the stall was longer than the caller's
        time limit, no arrival time can be assumed, and the caller is answered as soon as possible.
        """
        context = self._context
        since = context.unread_since
        return since if since + time_left - context.config.answer_margin > context.now else 0

    def on_caller_disconnected(self, event: CallerDisconnected) -> None:
        """Ends the dialogs of a caller whose connection was lost."""
        for dialog_id in list(event.caller.dialogs):
            self._attempts.abort_dialog(dialog_id, "caller-gone")

    def accept(self, caller: CallerConnection, request: setup.Setup, received_at: int) -> None:
        """Accepts a set-up, or rejects it if this proxy is draining or at its limit of open dialogs."""
        context = self._context
        is_wanted = caller.begin_setup(request.dialog)
        if self._is_abandoned(caller, request):
            return
        if request.dialog in self._entries:
            caller.refuse(ProtocolError("out-of-state", f"dialog {request.dialog!r} is open here already"))
            return
        if context.shutdown.is_draining or len(self._entries) >= context.config.links.open_dialogs:
            # The driver is not consulted: this instance rejects every new dialog.
            retry_after = context.config.deployment.max_retry_after
            caller.send(setup.Rejected(request.dialog, request.leg, retry_after))
            context.counters.answers["declined-here"] += 1
            return
        caller.send(setup.Provisional(request.dialog, request.leg))
        deadline = received_at + request.time_left
        entry = DialogEntry(request, caller, deadline, generation=context.generation)
        self._dialogs.accept(entry)
        if not is_wanted:
            self._dialogs.answer(entry, setup.Failed(request.dialog, request.leg, "cancelled"))
            return
        self._start(entry, received_at)

    def _is_abandoned(self, caller: CallerConnection, request: setup.Setup) -> bool:
        """Whether the caller disconnected before its set-up was handled; it is not answered then."""
        if caller.is_reachable and not caller.is_closed:
            return False
        self._context.counters.answers["gone-before-its-turn"] += 1
        self._context.log.debug("setup-abandoned", dialog=request.dialog)
        return True

    def _start(self, entry: DialogEntry, received_at: int) -> None:
        """Passes an accepted dialog to the driver.

        Its deadline is the caller's minus the answer margin, or earlier if the attempt policy has a shorter
        no-answer time-out.
        """
        request = entry.setup
        time_limit = request.time_left - self._context.config.answer_margin
        if received_at + time_limit <= self._context.now:
            self._dialogs.answer(entry, setup.Failed(request.dialog, request.leg, "no-time"))
            return
        policy = self.policy_for(request, entry.caller.name)
        if policy is not None and policy.no_answer_timeout:
            time_limit = min(time_limit, policy.no_answer_timeout)
        self.start_dialog(request, received_at + time_limit, policy)

    def policy_for(self, request: setup.Setup, caller: str) -> AttemptPolicy | None:
        """Returns the attempt policy of a dialog; None for the driver's default."""
        policies = self._context.attempt_policies
        if policies is None:
            return None
        return policies.policy_for(
            request.traffic_type, request.called_number, caller, request.preferred_server_number
        )

    def start_dialog(self, request: setup.Setup, deadline: int, policy: AttemptPolicy | None) -> None:
        """Passes a dialog to the driver."""
        dialog = Dialog(
            id=request.dialog,
            traffic_type=request.traffic_type,
            deadline=deadline,
            preferred_server_number=request.preferred_server_number,
            called_number=request.called_number,
            was_interrupted=request.was_interrupted,
            attempt_policy=policy,
        )
        context = self._context
        context.run_isolated(request.dialog, context.driver.start_dialog, dialog)

    def on_cancel_or_release(self, caller: CallerConnection, message: setup.LegMessage) -> None:
        """Cancels an open dialog or releases an established one.

        A cancel or release that crossed our answer was already dropped by the session.
        """
        entry = self._entries.get(message.dialog)
        if entry is None or entry.caller is not caller:
            return
        if not entry.is_established:
            self._attempts.abort_dialog(message.dialog, "cancelled")
        else:
            # The server sends Ended; if the link is lost first, the dialog ends with reason `cut`.
            self._dialogs.release(entry)
