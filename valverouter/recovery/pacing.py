"""Paces the status queries that a restarted process sends to servers about its predecessor's attempts.

After a restart with thousands of records, querying all at once could overload servers that are already in
trouble. Each server has an AIMD window of unanswered queries: it grows with each reply, like the routing
policy's window of attempts in flight, and is halved when a query times out. Queries with the least time left
are sent first, and among equal times those with the higher priority weight.
"""

from __future__ import annotations

import heapq
from dataclasses import dataclass, field
from typing import Final, NamedTuple

SECOND: Final = 1_000_000_000
# Limits of the window, in unanswered queries at one server.
INITIAL_WINDOW: Final = 8.0
MIN_WINDOW: Final = 1.0
MAX_WINDOW: Final = 64.0
# Queries whose times left fall into the same bucket are ordered by priority weight; ns.
TIME_LEFT_BUCKET: Final = SECOND // 4


class _Query(NamedTuple):
    """A waiting query. The order of the fields defines the order in the heap."""

    time_left_bucket: int
    negative_weight: float
    serial: int
    dialog_id: str


@dataclass(slots=True)
class _ServerQueue:
    """The queries to one server: `waiting` is a heap, `in_flight` counts the unanswered ones."""

    window: float = INITIAL_WINDOW
    in_flight: int = 0
    waiting: list[_Query] = field(default_factory=list)
    paused_until: int = 0

    def may_send(self, now: int) -> bool:
        """Returns whether a query is waiting and may be sent now."""
        return bool(self.waiting) and self.in_flight < int(self.window) and now >= self.paused_until


@dataclass(slots=True)
class QueryPacer:
    """Queues of waiting queries by server. A query is removed when it is sent or when its dialog has ended.

    `pause`: the time without queries to a server after a timeout, ns.
    """

    pause: int = SECOND // 2
    _servers: dict[str, _ServerQueue] = field(default_factory=dict)
    _discarded: set[str] = field(default_factory=set)
    _last_serial: int = 0

    def __len__(self) -> int:
        """Returns the number of waiting queries."""
        return sum(len(queue.waiting) for queue in self._servers.values()) - len(self._discarded)

    def enqueue(self, dialog_id: str, server: str, time_left: int, priority_weight: float) -> None:
        """Adds a query to the server of a dialog's attempt; `time_left`: until the caller's deadline, ns."""
        self._last_serial += 1
        query = _Query(time_left // TIME_LEFT_BUCKET, -priority_weight, self._last_serial, dialog_id)
        heapq.heappush(self._servers.setdefault(server, _ServerQueue()).waiting, query)

    def discard(self, dialog_id: str) -> None:
        """Drops the waiting query of a dialog that has ended, if there is one."""
        queues = self._servers.values()
        if any(dialog_id == query.dialog_id for queue in queues for query in queue.waiting):
            self._discarded.add(dialog_id)

    def take_due(self, now: int) -> list[tuple[str, str]]:
        """Removes the queries to send now and returns their dialog ids and servers.

        At each server the query with the least time left comes first.
        """
        due = []
        for server, queue in self._servers.items():
            while queue.may_send(now):
                dialog_id = heapq.heappop(queue.waiting).dialog_id
                if dialog_id in self._discarded:
                    self._discarded.discard(dialog_id)
                    continue
                queue.in_flight += 1
                due.append((dialog_id, server))
        return due

    def on_reply(self, server: str) -> None:
        """Handles a reply of a server: its window grows by one query per window of replies."""
        queue = self._servers[server]
        queue.in_flight -= 1
        queue.window = min(MAX_WINDOW, queue.window + 1 / queue.window)

    def on_timeout(self, server: str, now: int) -> None:
        """Handles a query that timed out: halves the server's window and pauses its queries.

        Further timeouts during the pause don't halve the window again.
        """
        queue = self._servers[server]
        queue.in_flight -= 1
        if now >= queue.paused_until:
            queue.window = max(MIN_WINDOW, queue.window / 2)
            queue.paused_until = now + self.pause
