"""Dialogs on the platform: an established one belongs to no connection, and its end is sent on any."""

from __future__ import annotations

import msgspec
import trio

from valverouter.edge.attempts import AttemptHandler
from valverouter.edge.caller import CallerConnection
from valverouter.edge.caller_requests import CallerRequests
from valverouter.edge.context import ProxyContext
from valverouter.edge.dialogs import DialogEntry, DialogTable
from valverouter.edge.events import CallerDisconnected
from valverouter.edge.reload import ConfigReloader
from valverouter.edge.server_links import ServerLinks
from valverouter.platform_edge.callers import (
    AnsweredIds,
    ConnectedCallers,
    EstablishedReported,
    PlatformCaller,
)
from valverouter.platform_edge.link import PlatformLink
from valverouter.platform_edge.unknown_releases import UnknownReleases
from valverouter.signalling import setup

# How long an end is stored for the next connection where no caller is connected, in seconds.
PENDING_RELEASE_LIFETIME_S = 8.0


class ReleaseNotifier:
    """Sends callers the ends of established dialogs, on whichever connection is open."""

    def __init__(self, connected: ConnectedCallers) -> None:
        """`connected` are the callers' connections."""
        self._connected = connected
        # Ends that no connection was there for, with their moments; emptied by the next connection, and by
        # time.
        self._pending: list[tuple[float, setup.Ended]] = []

    def notify(self, caller: CallerConnection, ended: setup.Ended) -> None:
        """Sends to `caller`, or to the most recently active one where its connection is gone."""
        assert isinstance(caller, PlatformCaller)
        if caller.is_closed:
            most_recent = self._connected.most_recent()
            if most_recent is None:
                now = trio.current_time()
                oldest = now - PENDING_RELEASE_LIFETIME_S
                self._pending = [(at, pending) for at, pending in self._pending if at >= oldest]
                self._pending.append((now, ended))
                return
            caller = most_recent
        caller.send(ended)

    def send_pending(self, caller: CallerConnection) -> None:
        """A connection came: it is sent the ends that no connection was there for."""
        if not self._pending:
            return
        pending, self._pending = self._pending, []
        oldest = trio.current_time() - PENDING_RELEASE_LIFETIME_S
        for at, ended in pending:
            if at >= oldest:
                caller.send(ended)


class PlatformDialogs(DialogTable):
    """The dialogs of a proxy on the platform."""

    def __init__(
        self,
        context: ProxyContext,
        reloader: ConfigReloader,
        notifier: ReleaseNotifier,
        answered_ids: AnsweredIds,
    ) -> None:
        """`answered_ids` gets each dialog that leaves."""
        super().__init__(context, reloader)
        self._notifier = notifier
        self._answered_ids = answered_ids

    def end(self, entry: DialogEntry, reason: str) -> None:
        """An established dialog has ended; its caller is notified on any connection."""
        self._notifier.notify(entry.caller, setup.Ended(entry.setup.dialog, 0, reason))
        self._counters.answers[f"ended-{reason}"] += 1
        self.remove(entry)

    def remove(self, entry: DialogEntry) -> None:
        """Nothing more is owed for a dialog; its id does not come again."""
        super().remove(entry)
        self._answered_ids.add(entry.setup.dialog)


class PlatformAttempts(AttemptHandler):
    """Attempts on the platform."""

    def abort_dialog(self, dialog_id: str, reason: str) -> None:
        """Ends a dialog from outside the decisions; an established one goes on without a proxy that stops.

        Its caller tells our successor of it.
        """
        entry = self._entries[dialog_id]
        if entry.is_established and reason == "stopping":
            self._dialogs.remove(entry)
            return
        super().abort_dialog(dialog_id, reason)


class PlatformRequests(CallerRequests):
    """What callers ask for on the platform."""

    def __init__(
        self,
        context: ProxyContext,
        dialogs: DialogTable,
        attempts: AttemptHandler,
        links: ServerLinks,
        unknown_releases: UnknownReleases,
    ) -> None:
        """`unknown_releases` are those that came before their dialogs were reported."""
        super().__init__(context, dialogs, attempts)
        self._links = links.by_server
        self._unknown_releases = unknown_releases

    def on_caller_disconnected(self, event: CallerDisconnected) -> None:
        """A caller's connection is gone, and its open dialogs with it; the established ones go on."""
        for dialog_id in list(event.caller.dialogs):
            if not self._entries[dialog_id].is_established:
                self._attempts.abort_dialog(dialog_id, "caller-gone")

    def on_cancel_or_release(self, caller: CallerConnection, message: setup.LegMessage) -> None:
        """Cancels an open dialog of this connection, or releases an established one, from any connection."""
        entry = self._entries.get(message.dialog)
        if entry is None:
            return
        if entry.is_established:
            self._dialogs.release(entry)
            self._dialogs.remove(entry)
        elif entry.caller is caller:
            self._attempts.abort_dialog(message.dialog, "cancelled")

    def on_established_reported(self, event: EstablishedReported) -> None:
        """A caller reports a dialog that is established already, perhaps by a previous incarnation."""
        request, server = event.dialog.setup, event.dialog.server
        if request.dialog in self._entries:
            return
        link = self._links.get(server)
        was_cut = self._unknown_releases.pop(request.dialog)
        if was_cut is not None or not isinstance(link, PlatformLink) or link.has_ended:
            # It has ended while no edge proxy ran, or its server is gone and has cut it.
            reason = "over" if was_cut is False else "cut"
            event.caller.send(setup.Ended(request.dialog, 0, reason))
            return
        if len(self._entries) >= self._context.config.links.open_dialogs:
            return
        link.add_established((request.dialog, 0))
        # No description is needed any more; it would stay for as long as the dialog is established.
        request = msgspec.structs.replace(request, description="")
        self._entries[request.dialog] = DialogEntry(
            request, event.caller, deadline=0, attempt=0, link=link, attempts_started=1, is_established=True
        )
