"""Recovery of an emulated edge proxy's dialogs by its next process, as with a dialog store.

Established dialogs are queried at their servers, at the rate that `recovery.pacing` allows. The attempts of
all others ended at their servers with the connection, so those dialogs wait for the release delay and then
for their caller before routing continues.
"""

from __future__ import annotations

from valverouter.emulator.edge_dialogs import DialogTable
from valverouter.emulator.edge_model import CallerMessage, FailureReason, OpenDialog, ServerLink
from valverouter.emulator.edge_runtime import EdgeRuntime
from valverouter.emulator.servers import Connection, EndReason
from valverouter.recovery.pacing import QueryPacer
from valverouter.recovery.plan import RecoveryAction, remaining_attempt_policy
from valverouter.servermodel.events import LegKey

# How long an established dialog waits for its server's reply after a restart, ns.
QUERY_TIMEOUT = 5_000_000_000


class EdgeRecovery:
    """Recovers the dialogs of the previous process."""

    def __init__(self, runtime: EdgeRuntime, dialogs: DialogTable) -> None:
        self._runtime = runtime
        self._dialogs = dialogs
        self._pacer = QueryPacer()
        self._saved: list[OpenDialog] = []

    @property
    def saved_dialogs(self) -> int:
        """The number of dialogs saved by an ended process for the next one."""
        return len(self._saved)

    @property
    def waiting_queries(self) -> int:
        """The number of queries that wait for their server's query window."""
        return len(self._pacer)

    def save(self) -> dict[ServerLink, list[LegKey]]:
        """Saves the open dialogs for the next process; returns the established legs by link."""
        self._saved = list(self._dialogs.open.values())
        legs_by_link: dict[ServerLink, list[LegKey]] = {}
        for dialog in self._saved:
            link, attempt = dialog.link, dialog.attempt
            if not dialog.is_established or link is None or link.connection is None or attempt is None:
                continue
            dialog.server = link.server.name
            dialog.leg = dialog.leg or (link.connection.peer, dialog.request.dialog_id, attempt)
            legs_by_link.setdefault(link, []).append(dialog.leg)
        return legs_by_link

    def reset(self) -> None:
        """Discards all queries, for a new process."""
        self._pacer = QueryPacer()

    def restore(self) -> None:
        """Opens the dialogs of the previous process again."""
        saved, self._saved = self._saved, []
        for dialog in saved:
            self._restore(dialog)

    def _restore(self, dialog: OpenDialog) -> None:
        runtime = self._runtime
        self._dialogs.open[dialog.request.dialog_id] = dialog
        dialog.previous_attempts += dialog.attempts
        dialog.attempts, dialog.attempt, dialog.link = 0, None, None
        dialog.is_caller_connected = False
        if dialog.is_established:
            dialog.recovery_action = RecoveryAction.QUERY_SERVER
            wait = QUERY_TIMEOUT
        else:
            dialog.recovery_action = RecoveryAction.AWAIT_RELEASE
            wait = runtime.plan.deployment.release_delay
        runtime.sim.call_after(wait, runtime.handle, self._on_wait_elapsed, runtime.incarnation, dialog)

    def _on_wait_elapsed(self, incarnation: int, dialog: OpenDialog) -> None:
        is_open = self._dialogs.open.get(dialog.request.dialog_id) is dialog
        if incarnation != self._runtime.incarnation or not is_open:
            return
        if dialog.recovery_action is RecoveryAction.QUERY_SERVER:
            self._dialogs.end(dialog, EndReason.INTERRUPTED.value)
        elif dialog.recovery_action is RecoveryAction.AWAIT_RELEASE:
            dialog.recovery_action = RecoveryAction.CONTINUE_ROUTING
            if dialog.is_caller_connected:
                self._continue_routing(dialog)

    # Dialogs that were not established

    def _continue_routing(self, dialog: OpenDialog) -> None:
        dialog.recovery_action = None
        plan, request = self._runtime.plan, dialog.request
        policy = self._dialogs.attempt_policy(request)
        if dialog.previous_attempts:
            full_policy = policy or plan.default_attempt_policy(request.traffic_type)
            if full_policy is not None:
                max_attempts = plan.deployment.max_attempts
                policy = remaining_attempt_policy(full_policy, dialog.previous_attempts, max_attempts)
                if policy is None:
                    self._dialogs.reject(dialog, plan.deployment.max_retry_after)
                    return
        deadline = dialog.deadline - plan.answer_margin
        if deadline <= self._runtime.sim.now():
            self._dialogs.fail(dialog, FailureReason.NO_TIME)
            return
        self._dialogs.start_flow(request, deadline, policy)

    # Established dialogs

    def query_server(self, link: ServerLink) -> None:
        """Queries the dialogs established at a server, when its link is connected."""
        for dialog_id, dialog in self._dialogs.open.items():
            is_queried = dialog.recovery_action is RecoveryAction.QUERY_SERVER
            if is_queried and dialog.link is None and link.server.name == dialog.server:
                dialog.link = link
                traffic_type = self._runtime.plan.deployment.traffic_types.get(dialog.request.traffic_type)
                weight = traffic_type.priority_weight if traffic_type else 0.0
                time_left = dialog.deadline - self._runtime.sim.now()
                self._pacer.enqueue(dialog_id, dialog.server, time_left, weight)
        self._send_queries()

    def _send_queries(self) -> None:
        runtime = self._runtime
        for dialog_id, server in self._pacer.take_due(runtime.sim.now()):
            dialog, link = self._dialogs.open.get(dialog_id), runtime.links.get(server)
            if (
                dialog is None
                or link is None
                or link.connection is None
                or dialog.leg is None
                or dialog.recovery_action is not RecoveryAction.QUERY_SERVER
            ):
                self._pacer.on_reply(server)
                continue
            runtime.sim.call_after(
                runtime.delay(link.server),
                self._on_query_arrived,
                runtime.incarnation,
                dialog_id,
                link,
                link.connection,
                dialog.leg,
            )

    def _on_query_arrived(
        self, incarnation: int, dialog_id: str, link: ServerLink, connection: Connection, leg: LegKey
    ) -> None:
        runtime = self._runtime
        if incarnation == runtime.incarnation and connection.is_open:
            end_reason = link.server.resume(leg, connection)
            delay = runtime.delay(link.server)
            runtime.sim.call_after(delay, self._on_reply_arrived, incarnation, dialog_id, link, end_reason)

    def _on_reply_arrived(
        self, incarnation: int, dialog_id: str, link: ServerLink, end_reason: EndReason | None
    ) -> None:
        if incarnation == self._runtime.incarnation:
            self._runtime.handle(self._on_reply, dialog_id, link, end_reason)

    def _on_reply(self, dialog_id: str, link: ServerLink, end_reason: EndReason | None) -> None:
        """Handles a reply; `end_reason`: why the dialog ended, None if it is still established."""
        self._pacer.on_reply(link.server.name)
        dialog = self._dialogs.open.get(dialog_id)
        if (
            dialog is not None
            and dialog.leg is not None
            and dialog.recovery_action is RecoveryAction.QUERY_SERVER
        ):
            dialog.recovery_action = None
            if end_reason is None:
                _, _, dialog.attempt = dialog.leg
                link.attempts[dialog_id, dialog.attempt] = False
            else:
                self._dialogs.end(dialog, end_reason.value)
        self._send_queries()

    # Callers

    def on_caller_resumed(self, dialog_id: str) -> None:
        """Handles a caller's resume request: repeats the recorded answer, or continues routing."""
        dialog = self._dialogs.open.get(dialog_id)
        if dialog is None:
            self._dialogs.notify(CallerMessage.UNKNOWN, dialog_id)
            return
        dialog.is_caller_connected = True
        if dialog.is_established and self._dialogs.callers is not None:
            self._dialogs.notify(CallerMessage.ESTABLISHED, dialog_id, details=dialog.server)
            if dialog.recovery_action is RecoveryAction.RESEND_ANSWER_AND_END:
                self._dialogs.end(dialog, dialog.end_reason)
        elif dialog.recovery_action is RecoveryAction.CONTINUE_ROUTING:
            self._continue_routing(dialog)
