"""Sends callers the releases of established dialogs, which belong to no connection."""

from __future__ import annotations

from collections.abc import Callable

import trio

from valverouter.edge.caller import CallerConnection
from valverouter.signalling import setup

# While no caller is connected, how long a release is stored for the next one, in seconds.
PENDING_RELEASE_LIFETIME_S = 8.0


class ReleaseNotifier:
    """Sends callers the releases of established dialogs, on any open connection of a caller.

    A connection that is not known to be a caller's is not sent any: its client would discard them, and the
    dialogs would stay established at their callers.
    """

    def __init__(self, find_recipient: Callable[[], CallerConnection | None]) -> None:
        """`find_recipient` returns a caller's open connection; None if there is none."""
        self._find_recipient = find_recipient
        # Releases that could not be sent because no caller was connected, with the times at which they were
        # stored. Removed with the next caller or once they expire.
        self._pending: list[tuple[float, setup.Ended]] = []

    def notify(self, caller: CallerConnection, ended: setup.Ended) -> None:
        """Sends the release to `caller` or, if that connection is closed, on another caller's connection."""
        recipient = self._find_recipient() if caller.is_closed else caller
        if recipient is not None:
            recipient.send(ended)
            return
        now = trio.current_time()
        oldest = now - PENDING_RELEASE_LIFETIME_S
        self._pending = [(at, pending) for at, pending in self._pending if at >= oldest]
        self._pending.append((now, ended))

    def send_pending(self, caller: CallerConnection) -> None:
        """Sends the pending releases, except the expired ones, on a connection now known as a caller's."""
        if not self._pending:
            return
        pending, self._pending = self._pending, []
        oldest = trio.current_time() - PENDING_RELEASE_LIFETIME_S
        for at, ended in pending:
            if at >= oldest:
                caller.send(ended)
