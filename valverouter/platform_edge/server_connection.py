"""One connection to a core server, and what may still be in doubt on it."""

from __future__ import annotations

import trio

from valverouter.edge.queues import SendQueue

# For so long after the message that closed an attempt a duplicate of it may come.
DUPLICATE_WINDOW_S = 0.25
# For so long a release may lie unread on a dead connection: longer than it takes to find that out.
UNREAD_RELEASE_WINDOW_S = 5.0


def _record_time(times: dict[str, float], id_: str, lifetime_s: float) -> None:
    """Notes the present moment for an id, and drops those older than so many seconds."""
    now = trio.current_time()
    times.pop(id_, None)
    times[id_] = now
    while (oldest := next(iter(times))) != id_ and times[oldest] <= now - lifetime_s:
        del times[oldest]


class ServerConnection:
    """One connection. `open` are the set-ups on it that have no answer, by id.

    `closed`: dialogs whose attempt here was rejected or cancelled lately, with the moment; a duplicate of
    that message may still come, and would pass for the answer to the same dialog's next attempt. `released`:
    what was released here lately, which is lost with this connection where nobody read it. Both are emptied
    by time.
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
        """Ends this connection."""
        self.close_reason = self.close_reason or reason
        self.scope.cancel()

    def on_attempt_closed(self, id_: str) -> None:
        """The attempt of a dialog was rejected or cancelled on this connection."""
        _record_time(self.closed_attempts, id_, DUPLICATE_WINDOW_S)

    def on_release_sent(self, id_: str) -> None:
        """A dialog was released on this connection."""
        _record_time(self.sent_releases, id_, UNREAD_RELEASE_WINDOW_S)

    def can_start(self, id_: str) -> bool:
        """Whether no message about a dialog's last attempt can be mistaken here for one about its next."""
        return (
            id_ not in self.open_setups
            and self.closed_attempts.get(id_, -DUPLICATE_WINDOW_S) <= trio.current_time() - DUPLICATE_WINDOW_S
        )
