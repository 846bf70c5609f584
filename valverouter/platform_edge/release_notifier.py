"""Sends callers the releases of established dialogs, which belong to no connection, until one is received."""

from __future__ import annotations

from collections.abc import Callable

from valverouter.edge.caller import CallerConnection
from valverouter.edge.context import ProxyContext
from valverouter.platform_edge.unheard_releases import UnheardRelease, UnheardReleases
from valverouter.signalling import setup

# The most releases sent on one connection at once: a quarter of the bytes that may be queued on it.
MAX_RELEASES_AT_ONCE = 4_096


class ReleaseNotifier:
    """Sends callers the releases of established dialogs, on any open connection of a caller.

    A connection that is not known to be a caller's is not sent any: its client would discard them, and the
    dialogs would stay established at their callers. A release that its connection did not deliver is sent
    again on another, or waits for the next caller.
    """

    def __init__(self, context: ProxyContext, find_recipient: Callable[[], CallerConnection | None]) -> None:
        """`find_recipient` returns a caller's open connection; None if there is none."""
        self._context = context
        self._find_recipient = find_recipient
        self._unheard: UnheardReleases[CallerConnection] = UnheardReleases(context.config.links.open_dialogs)

    @property
    def unheard_count(self) -> int:
        """The number of releases that may still have to be sent again."""
        return len(self._unheard)

    def notify(self, caller: CallerConnection, ended: setup.Ended, is_confirmed: bool = True) -> None:
        """Sends a release to `caller` or, if that connection is closed, on another caller's connection.

        `is_confirmed`: whether the dialog is known to have been established.
        """
        now = self._context.clock.now()
        self._log_dropped(self._unheard.add(UnheardRelease(ended, caller, now, is_confirmed)))
        recipient = caller if caller.is_reachable else self._find_recipient()
        if recipient is not None:
            self._send(recipient, ended, now)

    def on_caller_identified(self, caller: CallerConnection) -> None:
        """Sends the releases that no caller has received on a connection now known to be a caller's."""
        now = self._context.clock.now()
        self._log_dropped(self._unheard.expire(now))
        for ended in self._unheard.due_on(caller, now, MAX_RELEASES_AT_ONCE):
            self._send(caller, ended, now)

    def on_acknowledged(self, caller: CallerConnection, dialog_id: str) -> bool:
        """Handles a caller's acknowledgement; returns False if no release was sent to it for this dialog."""
        return self._unheard.on_acknowledged(dialog_id, caller)

    def on_released_by_caller(self, dialog_id: str) -> None:
        """Handles a caller's own release of a dialog that has ended, which has crossed ours."""
        self._unheard.on_released_by_caller(dialog_id)

    def on_disconnected(self, caller: CallerConnection, has_lost_output: bool) -> None:
        """Sends the releases that a lost connection did not deliver on another caller's connection.

        Without one they wait. `has_lost_output`: whether not all that was queued on it was delivered.
        """
        now = self._context.clock.now()
        self._log_dropped(self._unheard.expire(now))
        undelivered = self._unheard.on_closed(caller, now, has_lost_output)
        if not undelivered:
            return
        recipient = self._find_recipient()
        self._context.counters.answers["releases-undelivered"] += len(undelivered)
        self._context.log.info("releases-undelivered", count=len(undelivered), waiting=recipient is None)
        if recipient is not None:
            for dialog_id in undelivered[:MAX_RELEASES_AT_ONCE]:
                self._send(recipient, self._unheard.message_of(dialog_id), now)

    def _send(self, recipient: CallerConnection, ended: setup.Ended, now: int) -> None:
        recipient.send(ended)
        self._unheard.on_sent(ended.dialog, recipient, now)

    def _log_dropped(self, count: int) -> None:
        """Logs releases that were removed although no caller was connected to receive them."""
        if count:
            self._context.counters.answers["releases-dropped"] += count
            self._context.log.warning("releases-dropped", count=count)
