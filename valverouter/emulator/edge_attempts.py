"""Attempts of an emulated edge proxy, from their start to their result."""

from __future__ import annotations

from valverouter.emulator.edge_dialogs import DialogTable
from valverouter.emulator.edge_model import FailureReason, OpenDialog, ServerLink
from valverouter.emulator.edge_runtime import EdgeRuntime
from valverouter.emulator.servers import AttemptAnswer, EndReason
from valverouter.interface import (
    AttemptResult,
    CancelAttempt,
    DialogAction,
    Fail,
    LoadReport,
    Outcome,
    Reject,
    StartAttempt,
)


class EdgeAttempts:
    """Carries out the driver's actions at servers, and reports the result of each attempt to the driver."""

    def __init__(self, runtime: EdgeRuntime, dialogs: DialogTable) -> None:
        self._runtime = runtime
        self._dialogs = dialogs

    # Actions

    def run(self, command: DialogAction) -> None:
        """Carries out an action; ignores it if its dialog is closed."""
        dialog = self._dialogs.open.get(command.dialog_id)
        if dialog is None:
            return
        action = command.action
        if isinstance(action, StartAttempt):
            self._start(dialog, action)
        elif isinstance(action, CancelAttempt):
            if dialog.attempt == action.attempt and not dialog.is_established:
                self._cancel(dialog, Outcome.CANCELLED)
        elif isinstance(action, Reject):
            self._dialogs.reject(dialog, action.retry_after)
        elif isinstance(action, Fail):
            self._dialogs.fail(dialog, FailureReason.FAILED)

    def on_caller_cancelled(self, dialog_id: str) -> None:
        """Handles a caller's cancel of a dialog that is not established."""
        dialog = self._dialogs.open.get(dialog_id)
        if dialog is None or dialog.is_established:
            return
        self._runtime.driver.on_caller_gone(dialog_id)
        attempt, link = dialog.attempt, dialog.link
        if attempt is not None and link is not None and (dialog_id, attempt) in link.attempts:
            self._cancel(dialog, Outcome.CANCELLED)
        self._dialogs.fail(dialog, FailureReason.CANCELLED)

    def _start(self, dialog: OpenDialog, action: StartAttempt) -> None:
        runtime, dialog_id, attempt = self._runtime, dialog.request.dialog_id, dialog.attempts
        dialog.attempt, dialog.attempts = attempt, attempt + 1
        dialog.link = link = runtime.links.get(action.server)
        if link is None or not link.is_listed or not (link.connection is not None or link.is_connecting):
            self.finish_later(dialog_id, attempt, action.server, Outcome.UNREACHABLE)
            return
        link.attempts[dialog_id, attempt] = False
        if link.connection is not None:
            self._send_setup(link, dialog, attempt)
        else:
            link.on_connected.append(lambda: self._send_setup(link, dialog, attempt))
        runtime.sim.call_at(
            action.deadline,
            self.finish,
            runtime.incarnation,
            dialog_id,
            attempt,
            action.server,
            Outcome.TIMED_OUT,
        )

    def _send_setup(self, link: ServerLink, dialog: OpenDialog, attempt: int) -> None:
        request = dialog.request
        if link.connection is not None and (request.dialog_id, attempt) in link.attempts:
            setup = link.server.setup_request(request.traffic_type, request.called_number)
            link.connection.send("setup", request.dialog_id, attempt, setup, request.traffic_type)

    def _cancel(self, dialog: OpenDialog, outcome: Outcome) -> None:
        link, attempt, dialog_id = dialog.link, dialog.attempt, dialog.request.dialog_id
        assert link is not None
        assert attempt is not None
        if link.connection is None:
            link.attempts.pop((dialog_id, attempt), None)
            outcome = Outcome.UNREACHABLE
        else:
            link.attempts[dialog_id, attempt] = True
            link.connection.send("cancel", dialog_id, attempt, link.server.model.cancel)
        self.finish_later(dialog_id, attempt, link.server.name, outcome)

    # Results determined by the edge proxy

    def finish_later(self, dialog_id: str, attempt: int, server: str, outcome: Outcome) -> None:
        """Finishes an attempt after all other events that are due now."""
        runtime = self._runtime
        runtime.sim.call_after(0, self.finish, runtime.incarnation, dialog_id, attempt, server, outcome)

    def finish(self, incarnation: int, dialog_id: str, attempt: int, server: str, outcome: Outcome) -> None:
        """Finishes an attempt of the process `incarnation`; ignored once that process has ended."""
        if incarnation != self._runtime.incarnation:
            return
        dialog = self._dialogs.open.get(dialog_id)
        if outcome is Outcome.TIMED_OUT and not _is_pending(dialog, attempt):
            return  # The usual case: the attempt finished before its timeout.
        self._runtime.handle(self._on_finished, dialog_id, attempt, server, outcome)

    def _on_finished(self, dialog_id: str, attempt: int, server: str, outcome: Outcome) -> None:
        dialog, link = self._dialogs.open.get(dialog_id), self._runtime.links.get(server)
        if dialog is None or not _is_pending(dialog, attempt):
            if outcome is not Outcome.TIMED_OUT:
                self._report(AttemptResult(dialog_id, attempt, server, outcome))
            return
        is_timeout = outcome is Outcome.TIMED_OUT
        if is_timeout and link is not None and link.attempts.get((dialog_id, attempt)) is False:
            self._cancel(dialog, outcome)
            if self._runtime.sim.now() < dialog.deadline - self._runtime.plan.answer_margin:
                return
        self._conclude(dialog, outcome)

    def _conclude(
        self,
        dialog: OpenDialog,
        outcome: Outcome,
        retry_after: int = 0,
        load_report: LoadReport | None = None,
    ) -> None:
        dialog_id, attempt, link = dialog.request.dialog_id, dialog.attempt, dialog.link
        assert attempt is not None
        server = link.server.name if link is not None else ""
        if outcome is not Outcome.ESTABLISHED:
            dialog.attempt = None
            if link is not None and not link.attempts.get((dialog_id, attempt)):
                link.attempts.pop((dialog_id, attempt), None)
        self._report(
            AttemptResult(
                dialog_id, attempt, server, outcome, retry_after=retry_after, load_report=load_report
            )
        )
        if outcome is Outcome.ESTABLISHED:
            self._dialogs.establish(dialog, server)

    def _report(self, result: AttemptResult) -> None:
        self._runtime.driver.on_attempt_result(result)

    # Messages from servers

    def on_answer(self, answer: AttemptAnswer) -> None:
        """Handles a server's answer to an attempt, or the end of an established dialog."""
        dialog_id, attempt, outcome = answer.dialog_id, answer.attempt, answer.outcome
        key, server = (dialog_id, attempt), answer.connection.server.name
        link = self._runtime.links.get(server)
        if link is None or link.connection is not answer.connection or key not in link.attempts:
            return
        dialog = self._dialogs.open.get(dialog_id)
        if link.attempts[key] or dialog is None or not _uses_link(dialog, attempt, link):
            if outcome is not Outcome.ESTABLISHED and not link.attempts.pop(key):
                self._report(AttemptResult(dialog_id, attempt, server, outcome))
            self._runtime.driver.update_load(server, answer.load_report)
        elif outcome is Outcome.ENDED:
            del link.attempts[key]
            self._report(
                AttemptResult(
                    dialog_id, attempt, server, outcome, dialog_closed=True, load_report=answer.load_report
                )
            )
            self._dialogs.end(dialog, answer.details)
        else:
            self._conclude(dialog, outcome, answer.retry_after, answer.load_report)

    def on_connection_lost(self, link: ServerLink) -> None:
        """Resets all attempts on a link and ends its established dialogs."""
        for dialog_id, attempt in link.take_attempts():
            dialog = self._dialogs.open.get(dialog_id)
            is_current = dialog is not None and _uses_link(dialog, attempt, link)
            if dialog is not None and is_current and not dialog.is_established:
                self._conclude(dialog, Outcome.RESET)
                continue
            self._report(AttemptResult(dialog_id, attempt, link.server.name, Outcome.RESET))
            if dialog is not None and is_current:
                self._dialogs.end(dialog, EndReason.INTERRUPTED.value)

    def on_connect_failed(self, link: ServerLink) -> None:
        """Finishes all attempts that waited for the connection as unreachable, immediately."""
        for dialog_id, attempt in link.take_attempts():
            self.finish(self._runtime.incarnation, dialog_id, attempt, link.server.name, Outcome.UNREACHABLE)

    def on_restart_detected(self, link: ServerLink) -> None:
        """Finishes all attempts that were meant for a server's previous process as unreachable."""
        for dialog_id, attempt in link.take_attempts():
            self.finish_later(dialog_id, attempt, link.server.name, Outcome.UNREACHABLE)


def _is_pending(dialog: OpenDialog | None, attempt: int) -> bool:
    return dialog is not None and dialog.attempt == attempt and not dialog.is_established


def _uses_link(dialog: OpenDialog, attempt: int, link: ServerLink) -> bool:
    return dialog.link is link and dialog.attempt == attempt
