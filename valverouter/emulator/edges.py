"""Emulated edge proxies: the production Driver with counterparts of the tables in `valverouter.edge`."""

from __future__ import annotations

from collections.abc import Callable, Sequence

from valverouter.emulator.edge_attempts import EdgeAttempts
from valverouter.emulator.edge_dialogs import DialogTable
from valverouter.emulator.edge_links import EdgeLinks
from valverouter.emulator.edge_model import (
    Callers,
    DialogRequest,
    EdgePlan,
    ListedEndpoint,
    OpenDialog,
    ServerLink,
    ServerView,
)
from valverouter.emulator.edge_recovery import EdgeRecovery
from valverouter.emulator.edge_runtime import EdgeRuntime, ReportLog
from valverouter.emulator.servers import EmulatedServer
from valverouter.emulator.simulation import Simulation
from valverouter.interface import DialogAction, EndpointUpdateKind


class EmulatedEdge:
    """One edge proxy instance: its successive processes, and the events that it receives."""

    def __init__(
        self,
        plan: EdgePlan,
        sim: Simulation,
        find_server: Callable[[str], EmulatedServer],
        delay: Callable[[EmulatedServer], int],
        reports: ReportLog,
    ) -> None:
        self.plan = plan
        self.name = f"e{plan.fleet_index}"
        self.runtime = EdgeRuntime(plan, sim, delay, reports, self._on_action)
        self.dialogs = DialogTable(self.runtime)
        self.recovery = EdgeRecovery(self.runtime, self.dialogs)
        self._attempts = EdgeAttempts(self.runtime, self.dialogs)
        self._links = EdgeLinks(self.name, self.runtime, self._attempts, self.recovery, find_server)
        self._is_draining = False

    # Life cycle

    @property
    def is_running(self) -> bool:
        """Whether a process runs, stalled or not."""
        return self.runtime.is_running

    def start(self, entries: Sequence[ListedEndpoint]) -> None:
        """Starts a process, which receives the complete endpoint list and begins to connect to servers."""
        self._is_draining = False
        self.dialogs.open = {}
        self._links.forget_servers()
        self.recovery.reset()
        self.runtime.start()
        self.recovery.restore()
        self.update_endpoints(EndpointUpdateKind.COMPLETE, entries)

    def drain(self) -> None:
        """Rejects new dialogs from now on; open dialogs are still answered."""
        self._is_draining = True

    def kill(self) -> None:
        """Ends the process and closes its connections to callers and servers."""
        runtime, has_dialog_store = self.runtime, self.plan.has_dialog_store
        runtime.stop()
        links, runtime.links = runtime.links, {}
        legs_by_link = self.recovery.save() if has_dialog_store else {}
        for link in links.values():
            if link.connection is not None:
                link.connection.close(legs_by_link.get(link, ()))
        callers = self.dialogs.callers
        if callers is not None:
            if has_dialog_store:
                callers.on_restart_expected()
            else:
                callers.on_connection_lost()

    def stall(self, duration: int) -> None:
        """Stalls the process for a duration, ns; it handles the deferred events afterwards."""
        self.runtime.stall(duration)

    def advance(self) -> None:
        """Applies heartbeats and load reports up to now."""
        self.runtime.advance()

    # Events

    def attach(self, callers: Callers) -> None:
        """Sets the receiver of messages to callers."""
        self.dialogs.callers = callers

    def accept(self, request: DialogRequest) -> None:
        """Handles a caller's request for a dialog."""
        self.runtime.handle(self._on_request, request)

    def _on_request(self, request: DialogRequest) -> None:
        if self._is_draining:
            self.dialogs.reject_request(request)
        else:
            self.dialogs.accept(request)

    def cancel(self, dialog_id: str) -> None:
        """Handles a caller's cancel."""
        self.runtime.handle(self._attempts.on_caller_cancelled, dialog_id)

    def resume(self, dialog_id: str) -> None:
        """Handles a caller's request to resume a dialog of the previous process."""
        self.runtime.handle(self.recovery.on_caller_resumed, dialog_id)

    def update_endpoints(self, kind: EndpointUpdateKind, entries: Sequence[ListedEndpoint]) -> None:
        """Handles an update of the endpoint list."""
        self.runtime.handle(self._links.update_endpoints, kind, entries, is_endpoint_update=True)

    def _on_action(self, command: DialogAction) -> None:
        self._attempts.run(command)

    # Observation

    @property
    def has_unanswered_dialogs(self) -> bool:
        """Whether any dialog is unanswered."""
        return self.dialogs.has_unanswered

    @property
    def open_dialogs(self) -> dict[str, OpenDialog]:
        """The dialogs of this process by id."""
        return self.dialogs.open

    @property
    def links(self) -> dict[str, ServerLink]:
        """The links of this process by server."""
        return self.runtime.links

    def server_views(self) -> dict[str, ServerView]:
        """Returns the policy's estimates for each server."""
        return self.runtime.server_views()
