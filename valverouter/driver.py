"""Runs the dialogs of one edge proxy: their flows, their timers and the attempts that belong to them.

The driver makes no decisions: each dialog's flow comes from valverouter.policy, and the commands go to the
signalling stack. The edge proxy, the emulator and the simulator adapter use it alike.
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from dataclasses import dataclass

from valverouter.interface import (
    ActionResult,
    AttemptResult,
    CancelAttempt,
    Command,
    CrossRegionRule,
    Delay,
    Deployment,
    Dialog,
    DialogAction,
    DialogFlow,
    Endpoint,
    EndpointUpdateKind,
    Fail,
    LoadReport,
    Outcome,
    Reject,
    RetryBudgetConfig,
    StartAttempt,
    Subscribe,
    Timer,
)
from valverouter.policy.routing import RoutingPolicy

# The key of the policy's maintenance flow in the table of open dialogs; ids of dialogs are never empty.
MAINTENANCE_KEY = ""


class UnansweredDialogError(RuntimeError):
    """A dialog's flow ended without a final answer for its caller."""


@dataclass(slots=True)
class _OpenDialog:
    """An open flow: how many attempts were sent, the one in flight, and the timer that it waits for."""

    flow: DialogFlow
    attempts: int = 0
    in_flight: int | None = None
    timer_id: int | None = None


class Driver:
    """Runs the dialogs of one edge proxy. Entries of its tables are removed when dialogs and timers end."""

    def __init__(
        self, deployment: Deployment, seed: int, now: int, cross_region: CrossRegionRule | None = None
    ) -> None:
        self.commands: list[Command] = []
        self.policy = RoutingPolicy(deployment, seed, now, cross_region)
        self._open_dialogs: dict[str, _OpenDialog] = {}
        self._timers: dict[int, str] = {}
        self._last_timer_id = 0
        self._start(MAINTENANCE_KEY, self.policy.maintenance_flow())

    @property
    def open_dialogs(self) -> int:
        """The number of dialogs without a final answer."""
        return len(self._open_dialogs) - 1

    def tick(self, now: int) -> None:
        """Sets the clock, in nanoseconds; called before each event."""
        self.policy.tick(now)

    def take_commands(self) -> list[Command]:
        """Returns the commands since the last call, in order."""
        commands, self.commands = self.commands, []
        return commands

    def start_dialog(self, dialog: Dialog) -> None:
        """Starts a dialog; its first command is available on return."""
        self._start(dialog.id, self.policy.dialog_flow(dialog))

    def update_endpoints(self, kind: EndpointUpdateKind, endpoints: Sequence[Endpoint]) -> None:
        """Applies an endpoint update, or handles a failed request for the list."""
        self.policy.table.update_endpoints(self.policy.now, kind, endpoints)
        maintenance = self._open_dialogs[MAINTENANCE_KEY]
        if maintenance.timer_id is None and kind is not EndpointUpdateKind.CACHED:
            self._resume(MAINTENANCE_KEY, maintenance, kind)

    def set_retry_budgets(
        self, by_number: Mapping[int, RetryBudgetConfig], default: RetryBudgetConfig
    ) -> None:
        """Sets the retry budgets by server number, and the default for all other servers."""
        self.policy.table.set_retry_budgets(by_number, default)

    def update_load(self, server: str, report: LoadReport) -> None:
        """Applies the load report of a server."""
        self.policy.table.update_load(self.policy.now, server, report)

    def on_attempt_result(self, result: AttemptResult) -> None:
        """Resumes the dialog of the result; cancels attempts which the result shows to be lost."""
        for dialog_id, attempt in self.policy.on_attempt_result(result):
            other = self._open_dialogs.get(dialog_id)
            if other is not None and other.in_flight == attempt:
                self.commands.append(DialogAction(dialog_id, CancelAttempt(attempt)))
        dialog = self._open_dialogs.get(result.dialog_id)
        if dialog is None:
            return
        if result.dialog_closed:
            self._close(result.dialog_id, dialog)
        elif dialog.in_flight == result.attempt and result.outcome is not Outcome.ENDED:
            dialog.in_flight = None
            self._resume(result.dialog_id, dialog, result)

    def on_caller_gone(self, dialog_id: str) -> None:
        """Closes a dialog whose caller has cancelled it or lost its connection."""
        dialog = self._open_dialogs.get(dialog_id)
        if dialog is not None:
            self._close(dialog_id, dialog)

    def on_timer(self, timer_id: int) -> None:
        """Resumes the flow that waits for the timer, if any."""
        key = self._timers.pop(timer_id, None)
        dialog = self._open_dialogs.get(key) if key is not None else None
        if key is not None and dialog is not None and dialog.timer_id == timer_id:
            dialog.timer_id = None
            self._resume(key, dialog, None)

    def _start(self, key: str, flow: DialogFlow) -> None:
        dialog = self._open_dialogs[key] = _OpenDialog(flow)
        self._resume(key, dialog, None)

    def _close(self, key: str, dialog: _OpenDialog) -> None:
        del self._open_dialogs[key]
        if dialog.timer_id is not None:
            del self._timers[dialog.timer_id]
        dialog.flow.close()

    def _resume(self, key: str, dialog: _OpenDialog, result: ActionResult) -> None:
        try:
            action = dialog.flow.send(result)
        except StopIteration:
            is_established = isinstance(result, AttemptResult) and result.outcome is Outcome.ESTABLISHED
            if not is_established:
                raise UnansweredDialogError(f"the flow of dialog {key} ended without an answer") from None
            del self._open_dialogs[key]
            return
        match action:
            case StartAttempt():
                dialog.in_flight = dialog.attempts
                dialog.attempts += 1
                self.commands.append(DialogAction(key, action))
            case Delay(duration=duration):
                self._last_timer_id += 1
                dialog.timer_id = self._last_timer_id
                self._timers[self._last_timer_id] = key
                self.commands.append(Timer(duration, self._last_timer_id))
            case Subscribe():
                self.commands.append(action)
            case Reject() | Fail():
                self.commands.append(DialogAction(key, action))
                self._close(key, dialog)
