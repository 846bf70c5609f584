"""In which order, and how fast, a restarted instance asks servers for the legs of its former self.

A restart with thousands of records must not be a surge at servers that are in trouble already. Each server
has a window of unanswered questions that widens with answers and halves with silence, as the decisions' own
window for legs does; within it those go first whose time is shortest, and of equal times the more important.
"""

from __future__ import annotations

import heapq
from dataclasses import dataclass, field

FIRST, LEAST, MOST = 8.0, 1.0, 64.0
SECOND = 1_000_000_000
# Times left within so much of each other count as equal, so that importance can speak.
ALIKE = SECOND // 4


@dataclass(slots=True)
class _Server:
    window: float = FIRST
    out: int = 0
    waiting: list[tuple[int, float, int, str]] = field(default_factory=list)
    rests_until: int = 0


@dataclass(slots=True)
class Pace:
    """Questions that wait, by server; each leaves as it is asked, or dropped with its dialog."""

    rest: int = SECOND // 2
    _servers: dict[str, _Server] = field(default_factory=dict)
    _dropped: set[str] = field(default_factory=set)
    _serial: int = 0

    def __len__(self) -> int:
        return sum(len(server.waiting) for server in self._servers.values()) - len(self._dropped)

    def add(self, dialog: str, server: str, left: int, importance: float) -> None:
        """A leg to be asked for; `left`: what remains of its dialog's time."""
        self._serial += 1
        entry = (left // ALIKE, -importance, self._serial, dialog)
        heapq.heappush(self._servers.setdefault(server, _Server()).waiting, entry)

    def drop(self, dialog: str) -> None:
        """Its dialog is over: the question is not asked any more."""
        if any(dialog == entry[3] for server in self._servers.values() for entry in server.waiting):
            self._dropped.add(dialog)

    def next(self, now: int) -> list[tuple[str, str]]:
        """Dialogs and servers to ask now, shortest time first at each server."""
        found = []
        for name, server in self._servers.items():
            while server.waiting and server.out < int(server.window) and now >= server.rests_until:
                dialog = heapq.heappop(server.waiting)[3]
                if dialog in self._dropped:
                    self._dropped.discard(dialog)
                    continue
                server.out += 1
                found.append((dialog, name))
        return found

    def answered(self, server: str) -> None:
        one = self._servers[server]
        one.out -= 1
        one.window = min(MOST, one.window + 1 / one.window)

    def silent(self, server: str, now: int) -> None:
        """No answer in its span: half as many at once, after a rest."""
        one = self._servers[server]
        one.out -= 1
        if now >= one.rests_until:
            one.window = max(LEAST, one.window / 2)
            one.rests_until = now + self.rest
