"""One connection to a core server, and what may still be in doubt on it."""

from __future__ import annotations

import trio

from valverouter.edge.queues import SendQueue

# For so long after the message that closed an attempt a duplicate of it may come.
DUPLICATE_WINDOW_S = 0.25
# For so long a release may lie unread on a dead connection: longer than it takes to find that out.
UNREAD_RELEASE_WINDOW_S = 5.0


def _remember(moments: dict[str, float], id_: str, lifetime_s: float) -> None:
    """Notes the present moment for an id, and drops those older than so many seconds."""
    now = trio.current_time()
    moments.pop(id_, None)
    moments[id_] = now
    while (oldest := next(iter(moments))) != id_ and moments[oldest] <= now - lifetime_s:
        del moments[oldest]


class ServerConnection:
    """One connection. `open` are the set-ups on it that have no answer, by id.

    `closed`: dialogs whose attempt here was rejected or cancelled lately, with the moment; a duplicate of
    that message may still come, and would pass for the answer to the same dialog's next attempt. `released`:
    what was released here lately, which is lost with this connection where nobody read it. Both are emptied
    by time.
    """

    def __init__(self, send_queue: SendQueue) -> None:
        self.send_queue = send_queue
        self.open: dict[str, tuple[str, int]] = {}
        self.closed: dict[str, float] = {}
        self.released: dict[str, float] = {}
        self.scope = trio.CancelScope()
        self.close_reason = ""
        self.received_at = trio.current_time()

    def close(self, reason: str) -> None:
        """Ends this connection."""
        self.close_reason = self.close_reason or reason
        self.scope.cancel()

    def on_attempt_closed(self, id_: str) -> None:
        """The attempt of a dialog was rejected or cancelled on this connection."""
        _remember(self.closed, id_, DUPLICATE_WINDOW_S)

    def on_release_sent(self, id_: str) -> None:
        """A dialog was released on this connection."""
        _remember(self.released, id_, UNREAD_RELEASE_WINDOW_S)

    def can_start(self, id_: str) -> bool:
        """Whether no message about a dialog's last attempt can be mistaken here for one about its next."""
        return (
            id_ not in self.open
            and self.closed.get(id_, -DUPLICATE_WINDOW_S) <= trio.current_time() - DUPLICATE_WINDOW_S
        )
