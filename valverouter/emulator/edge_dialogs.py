"""The dialogs of an emulated edge proxy, and the messages to their callers."""

from __future__ import annotations

from valverouter.emulator.edge_model import CallerMessage, Callers, DialogRequest, FailureReason, OpenDialog
from valverouter.emulator.edge_runtime import EdgeRuntime
from valverouter.interface import AttemptPolicy, Dialog
from valverouter.recovery.plan import RecoveryAction


class DialogTable:
    """Open dialogs by id; a dialog is removed when it ends, or when it is rejected or fails."""

    def __init__(self, runtime: EdgeRuntime) -> None:
        self.callers: Callers | None = None
        self.open: dict[str, OpenDialog] = {}
        self._runtime = runtime

    @property
    def has_unanswered(self) -> bool:
        """Whether any dialog is unanswered."""
        return any(not dialog.is_established for dialog in self.open.values())

    def accept(self, request: DialogRequest) -> None:
        """Opens a dialog and passes it to the driver."""
        now, plan = self._runtime.sim.now(), self._runtime.plan
        dialog = OpenDialog(request, now + request.no_answer_timeout)
        self.open[request.dialog_id] = dialog
        time_left = request.no_answer_timeout - plan.answer_margin
        if time_left <= 0:
            self.fail(dialog, FailureReason.NO_TIME)
            return
        policy = self.attempt_policy(request)
        if policy is not None and policy.no_answer_timeout:
            time_left = min(time_left, policy.no_answer_timeout)
        self.start_flow(request, now + time_left, policy)

    def reject_request(self, request: DialogRequest) -> None:
        """Rejects a request without opening a dialog, because this process is draining."""
        self.notify(CallerMessage.REJECTED, request.dialog_id, self._runtime.plan.deployment.max_retry_after)

    def attempt_policy(self, request: DialogRequest) -> AttemptPolicy | None:
        """Returns the attempt policy configured for a dialog; None: the routing policy's default."""
        plan = self._runtime.plan
        if plan.attempt_policies is None:
            return None
        return plan.attempt_policies.policy_for(
            request.traffic_type,
            request.called_number,
            f"c{plan.fleet_index}",
            request.preferred_server_number,
        )

    def start_flow(self, request: DialogRequest, deadline: int, policy: AttemptPolicy | None) -> None:
        """Passes a dialog to the driver."""
        self._runtime.driver.start_dialog(
            Dialog(
                request.dialog_id,
                request.traffic_type,
                deadline,
                request.preferred_server_number,
                request.called_number,
                request.was_interrupted,
                attempt_policy=policy,
            )
        )

    # Answers and ends

    def reject(self, dialog: OpenDialog, retry_after: int) -> None:
        """Closes a dialog; its caller may redial after `retry_after` ns."""
        if not self._is_late(dialog):
            self.notify(CallerMessage.REJECTED, dialog.request.dialog_id, retry_after)
        self._remove(dialog)

    def fail(self, dialog: OpenDialog, reason: FailureReason) -> None:
        """Closes a dialog that could not be established."""
        if not self._is_late(dialog):
            self.notify(CallerMessage.FAILED, dialog.request.dialog_id, details=reason.value)
        self._remove(dialog)

    def establish(self, dialog: OpenDialog, server: str) -> None:
        """Answers a dialog that a server established; releases it instead if its deadline has passed."""
        if self._is_late(dialog):
            self._release(dialog)
            self._remove(dialog)
            return
        self.notify(CallerMessage.ESTABLISHED, dialog.request.dialog_id, details=server)
        dialog.is_established = True

    def end(self, dialog: OpenDialog, reason: str) -> None:
        """Ends an established dialog; a disconnected caller receives the end when it has reconnected."""
        if not dialog.is_caller_connected:
            dialog.recovery_action = RecoveryAction.RESEND_ANSWER_AND_END
            dialog.end_reason = reason
            dialog.attempt = None
            return
        self.notify(CallerMessage.ENDED, dialog.request.dialog_id, details=reason)
        self._remove(dialog)

    def notify(self, message: CallerMessage, dialog_id: str, retry_after: int = 0, details: str = "") -> None:
        """Sends a message to the callers, if any are attached."""
        if self.callers is not None:
            self.callers.on_message(message, dialog_id, retry_after, details)

    def _is_late(self, dialog: OpenDialog) -> bool:
        return self._runtime.sim.now() >= dialog.deadline

    def _release(self, dialog: OpenDialog) -> None:
        link, attempt = dialog.link, dialog.attempt
        if link is not None and link.connection is not None and attempt is not None:
            release = link.server.model.release
            link.connection.send("release", dialog.request.dialog_id, attempt, release)

    def _remove(self, dialog: OpenDialog) -> None:
        self.open.pop(dialog.request.dialog_id, None)
