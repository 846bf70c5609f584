"""Dialogs on the platform: established ones belong to no connection."""

from __future__ import annotations

import msgspec

from valverouter.config.platform import LATE_ANSWER_LIMIT
from valverouter.edge.attempts import AttemptHandler
from valverouter.edge.caller import CallerConnection
from valverouter.edge.caller_requests import CallerRequests
from valverouter.edge.context import ProxyContext
from valverouter.edge.dialogs import DialogEntry, DialogTable, FinalAnswer
from valverouter.edge.events import CallerDisconnected
from valverouter.edge.reload import ConfigReloader
from valverouter.platform_edge.answered_ids import AnsweredIds
from valverouter.platform_edge.callers import EstablishedReported, PlatformCaller
from valverouter.platform_edge.connected_callers import CallerEvidence
from valverouter.platform_edge.release_notifier import ReleaseNotifier
from valverouter.platform_edge.reported_dialogs import ReportedDialogs
from valverouter.platform_edge.server_links import PlatformLinks
from valverouter.platform_edge.unknown_releases import UnknownReleases
from valverouter.signalling import setup


class PlatformDialogs(DialogTable):
    """The dialogs of a proxy on the platform."""

    def __init__(
        self,
        context: ProxyContext,
        reloader: ConfigReloader,
        notifier: ReleaseNotifier,
        answered_ids: AnsweredIds,
    ) -> None:
        """The id of each removed dialog is added to `answered_ids`."""
        super().__init__(context, reloader)
        self._notifier = notifier
        self._answered_ids = answered_ids
        # Half of the limit of open dialogs: however many are reported, set-ups are still accepted.
        self._reported = ReportedDialogs(max(1, context.config.links.open_dialogs // 2))

    def add_reported(self, entry: DialogEntry) -> None:
        """Adds a reported dialog; above the limit, releases another at its server and ends it as cut."""
        self.entries[entry.setup.dialog] = entry
        evicted_id = self._reported.add(entry.caller, entry.setup.dialog)
        if evicted_id is not None:
            self._counters.answers["reported-over-limit"] += 1
            evicted = self.entries[evicted_id]
            self.release(evicted)
            self._end(evicted, "cut", is_confirmed=False)

    def _answer_late(self, entry: DialogEntry, message: FinalAnswer) -> str:
        """Sends a final answer after the caller's deadline for as long as the platform counts it as answered.

        A dialog that a server has established meanwhile fails: the caller may have given it up.
        """
        if self._context.now >= entry.deadline + LATE_ANSWER_LIMIT:
            return super()._answer_late(entry, message)
        if isinstance(message, setup.Established):
            message = setup.Failed(message.dialog, message.leg, "no-time")
        self._log.warning("answer-late", dialog=message.dialog, answer=message.answer_name)
        entry.caller.send(message)
        return f"{message.answer_name}-late"

    def end(self, entry: DialogEntry, reason: str) -> None:
        """Ends an established dialog and notifies its caller on any connection."""
        # Nothing confirms a report but the server's own release.
        is_confirmed = reason == "over" or entry.setup.dialog not in self._reported
        self._end(entry, reason, is_confirmed)

    def _end(self, entry: DialogEntry, reason: str, is_confirmed: bool) -> None:
        self._notifier.notify(entry.caller, setup.Ended(entry.setup.dialog, 0, reason), is_confirmed)
        self._counters.answers[f"ended-{reason}"] += 1
        self.remove(entry)
        self._answered_ids.add(entry.setup.dialog, reason)

    def end_reason(self, dialog_id: str) -> str | None:
        """Returns why a dialog has ended that ended recently; None for any other dialog."""
        return self._answered_ids.end_reason(dialog_id)

    def remove(self, entry: DialogEntry) -> None:
        """Removes a dialog that needs no further message; its id must not be used again."""
        super().remove(entry)
        self._reported.discard(entry.setup.dialog)
        self._answered_ids.add(entry.setup.dialog)


class PlatformAttempts(AttemptHandler):
    """Attempts on the platform."""

    def abort_dialog(self, dialog_id: str, reason: str) -> None:
        """Ends a dialog on behalf of the proxy rather than the driver.

        An established dialog outlives a proxy that stops; its caller reports it to the next process.
        """
        entry = self._entries[dialog_id]
        if entry.is_established and reason == "stopping":
            self._dialogs.remove(entry)
            return
        super().abort_dialog(dialog_id, reason)


class PlatformRequests(CallerRequests):
    """Handles callers' requests on the platform."""

    _dialogs: PlatformDialogs

    def __init__(
        self,
        context: ProxyContext,
        dialogs: PlatformDialogs,
        attempts: AttemptHandler,
        links: PlatformLinks,
        unknown_releases: UnknownReleases,
        release_notifier: ReleaseNotifier,
    ) -> None:
        """`unknown_releases`: releases received for dialogs that are not reported yet."""
        super().__init__(context, dialogs, attempts)
        self._links = links
        self._release_notifier = release_notifier
        self._unknown_releases = unknown_releases

    def on_caller_disconnected(self, event: CallerDisconnected) -> None:
        """Aborts the open dialogs of a closed connection; established dialogs are not affected."""
        caller = event.caller
        assert isinstance(caller, PlatformCaller)
        for dialog_id in list(caller.dialogs):
            if not self._entries[dialog_id].is_established:
                self._attempts.abort_dialog(dialog_id, "caller-gone")
        self._release_notifier.on_disconnected(caller, caller.has_lost_output)

    def on_cancel_or_release(self, caller: CallerConnection, message: setup.LegMessage) -> None:
        """Cancels an open dialog of this connection, or releases an established one of any connection."""
        assert isinstance(caller, PlatformCaller)
        entry = self._entries.get(message.dialog)
        if entry is None:
            if caller.is_identified:
                self._release_notifier.on_released_by_caller(message.dialog)
        elif entry.is_established:
            caller.add_evidence(CallerEvidence.ESTABLISHED)
            self._dialogs.release(entry)
            self._dialogs.remove(entry)
        elif entry.caller is caller:
            self._attempts.abort_dialog(message.dialog, "cancelled")

    def on_established_reported(self, event: EstablishedReported) -> None:
        """Adds a dialog that its caller reports as established, perhaps by a previous incarnation."""
        request, server = event.dialog.setup, event.dialog.server
        if request.dialog in self._entries:
            return
        if (end_reason := self._dialogs.end_reason(request.dialog)) is not None:
            self._end_reported(event, end_reason, is_confirmed=False)
            return
        was_interrupted = self._unknown_releases.pop(request.dialog)
        link = self._links.link_for_reported(server) if was_interrupted is None else None
        if link is None:
            # The server released it while no edge proxy ran, or has interrupted it and is no longer listed.
            reason = "over" if was_interrupted is False else "cut"
            self._end_reported(event, reason, is_confirmed=was_interrupted is not None)
            return
        if link.has_died_since_our_start:
            link.release_reported(request.dialog)
            self._end_reported(event, "cut", is_confirmed=False)
            return
        link.add_reported((request.dialog, 0))
        # The session description is dropped: it would use memory for as long as the dialog is established.
        request = msgspec.structs.replace(request, description="")
        entry = DialogEntry(
            request, event.caller, deadline=0, attempt=0, link=link, attempts_started=1, is_established=True
        )
        self._dialogs.add_reported(entry)

    def _end_reported(self, event: EstablishedReported, reason: str, is_confirmed: bool) -> None:
        """Releases a reported dialog that is over; `is_confirmed`: whether its server has released it."""
        ended = setup.Ended(event.dialog.setup.dialog, 0, reason)
        self._release_notifier.notify(event.caller, ended, is_confirmed)
