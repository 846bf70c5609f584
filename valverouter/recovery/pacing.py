"""In which order, and how fast, a restarted instance asks servers for the attempts of the process before it.

A restart with thousands of records must not be a surge at servers that are in trouble already. Each server
has a window of unanswered queries (AIMD): it widens with each reply, as the routing policy's window for
attempts does, and halves when none comes in time. Within it the queries with the least time left go first, of
equal times those with the higher priority weight.
"""

from __future__ import annotations

import heapq
from dataclasses import dataclass, field
from typing import Final, NamedTuple

SECOND: Final = 1_000_000_000
# Unanswered queries at one server.
INITIAL_WINDOW: Final = 8.0
MIN_WINDOW: Final = 1.0
MAX_WINDOW: Final = 64.0
# Times left within one bucket count as equal, so that the priority weight decides; ns.
TIME_LEFT_BUCKET: Final = SECOND // 4


class _Query(NamedTuple):
    """A query that waits; heap order is the order of the fields."""

    time_left_bucket: int
    negative_weight: float
    serial: int
    dialog_id: str


@dataclass(slots=True)
class _ServerQueue:
    """The queries of one server: those that wait, and how many are unanswered."""

    window: float = INITIAL_WINDOW
    in_flight: int = 0
    waiting: list[_Query] = field(default_factory=list)
    paused_until: int = 0

    def may_send(self, now: int) -> bool:
        """Whether a query waits and may leave now."""
        return bool(self.waiting) and self.in_flight < int(self.window) and now >= self.paused_until


@dataclass(slots=True)
class QueryPacer:
    """Queries that wait, by server; each leaves when it is sent, or discarded with its dialog.

    `pause`: how long a server that did not reply is left alone, ns.
    """

    pause: int = SECOND // 2
    _servers: dict[str, _ServerQueue] = field(default_factory=dict)
    _discarded: set[str] = field(default_factory=set)
    _last_serial: int = 0

    def __len__(self) -> int:
        """How many queries wait."""
        return sum(len(queue.waiting) for queue in self._servers.values()) - len(self._discarded)

    def enqueue(self, dialog_id: str, server: str, time_left: int, priority_weight: float) -> None:
        """A dialog whose server has to be asked; `time_left`: of its caller's time, ns."""
        self._last_serial += 1
        query = _Query(time_left // TIME_LEFT_BUCKET, -priority_weight, self._last_serial, dialog_id)
        heapq.heappush(self._servers.setdefault(server, _ServerQueue()).waiting, query)

    def discard(self, dialog_id: str) -> None:
        """The dialog is over: its query is not sent any more."""
        queues = self._servers.values()
        if any(dialog_id == query.dialog_id for queue in queues for query in queue.waiting):
            self._discarded.add(dialog_id)

    def take_due(self, now: int) -> list[tuple[str, str]]:
        """Dialog ids with the servers to ask now, the least time left first at each server."""
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
        """The server replied: its window widens by one a window's worth of replies."""
        queue = self._servers[server]
        queue.in_flight -= 1
        queue.window = min(MAX_WINDOW, queue.window + 1 / queue.window)

    def on_timeout(self, server: str, now: int) -> None:
        """The server did not reply in time: half the window, after a pause."""
        queue = self._servers[server]
        queue.in_flight -= 1
        if now >= queue.paused_until:
            queue.window = max(MIN_WINDOW, queue.window / 2)
            queue.paused_until = now + self.pause
