"""One connection to a core server, with the set-ups and releases whose outcome is still uncertain."""

from __future__ import annotations

import trio

from valverouter.edge.send_queue import SendQueue

# How long after the closing message of an attempt a duplicate of it may arrive.
DUPLICATE_WINDOW_S = 0.25
# How long a release may be unread on a dead connection: longer than it takes to detect such a connection.
UNREAD_RELEASE_WINDOW_S = 5.0


def _record_time(times: dict[str, float], id_: str, lifetime_s: float) -> None:
    """Records the current time for an id and removes entries older than `lifetime_s` seconds."""
    now = trio.current_time()
    times.pop(id_, None)
    times[id_] = now
    while (oldest := next(iter(times))) != id_ and times[oldest] <= now - lifetime_s:
        del times[oldest]


class ServerConnection:
    """One connection. `open_setups`: the attempt keys of unanswered set-ups, by dialog id.

    `closed_attempts`: when an attempt was rejected or cancelled on this connection, by dialog id; a duplicate
    of that message may still arrive and would be taken for the answer to the dialog's next attempt.
    `sent_releases`: when a dialog was released on this connection, by id; the release is lost if the
    connection breaks before the server reads it. Old entries of both are removed.
    """

    def __init__(self, send_queue: SendQueue) -> None:
        self.send_queue = send_queue
        self.open_setups: dict[str, tuple[str, int]] = {}
        self.closed_attempts: dict[str, float] = {}
        self.sent_releases: dict[str, float] = {}
        self.scope = trio.CancelScope()
        self.close_reason = ""
        self.received_at = trio.current_time()

    def close(self, reason: str) -> None:
        """Closes this connection; the first reason is kept."""
        self.close_reason = self.close_reason or reason
        self.scope.cancel()

    def on_attempt_closed(self, id_: str) -> None:
        """Records that the attempt of a dialog was rejected or cancelled on this connection."""
        _record_time(self.closed_attempts, id_, DUPLICATE_WINDOW_S)

    def on_release_sent(self, id_: str) -> None:
        """Records that a dialog was released on this connection."""
        _record_time(self.sent_releases, id_, UNREAD_RELEASE_WINDOW_S)

    def can_start(self, id_: str) -> bool:
        """Whether the next attempt of a dialog can be started on this connection.

        It can't while a message about the previous attempt could be mistaken for one about the next.
        """
        return (
            id_ not in self.open_setups
            and self.closed_attempts.get(id_, -DUPLICATE_WINDOW_S) <= trio.current_time() - DUPLICATE_WINDOW_S
        )
