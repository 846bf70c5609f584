"""When each listed server's present incarnation started, on this proxy's clock."""

from __future__ import annotations

from valverouter.interface import Endpoint
from valverouter.signalling.serverlist import EndpointRow

# Previous incarnations that are remembered for each server.
MAX_PREVIOUS = 4


class IncarnationTracker:
    """When each listed server started, on our clock. Emptied as servers leave the list.

    Ages travel, moments don't: clocks differ. The first message about an incarnation fixes its moment, since
    a second computation would differ by the travel time and pass for a fresh start. A message about an
    earlier incarnation than one we know says nothing of when the present one began, however late it comes.

    Incarnations are to grow, and do not at a machine whose clock was set back. So one that is smaller and, by
    its age, began after the one we know is the present one; the one it replaced is remembered, and late
    messages about it say nothing any more. Should a smaller one be a late message itself, a warm server
    passes for one that is warming up until its age says otherwise: it gets less, and is not pushed over. Only
    a cached row is corrected by a live one, and only where that shows a server to be warm: then no slow start
    is at stake that a second computation could begin again.
    """

    def __init__(self, slow_start_duration: int = 0) -> None:
        self._slow_start_duration = slow_start_duration
        self._known: dict[str, tuple[int, int]] = {}
        # Those that a smaller one replaced, the last few by server; they leave with their server.
        self._previous: dict[str, tuple[int, ...]] = {}
        # Servers known by the cached list alone; each leaves with its first row of the live list.
        self._cached: set[str] = set()

    def started_at(self, server: str, incarnation: int, age: int | None, now: int) -> int:
        """When the present incarnation started; 0 is long ago, as the decisions have it."""
        known = self._known.get(server)
        if known is None or (
            incarnation != known[0] and self._is_current(server, known, incarnation, age, now)
        ):
            known = self._known[server] = incarnation, 0 if age is None else max(1, now - age)
        return known[1]

    def _is_current(
        self, server: str, known: tuple[int, int], incarnation: int, age: int | None, now: int
    ) -> bool:
        previous = self._previous.get(server, ())
        if incarnation == known[0] or incarnation in previous:
            return False
        if incarnation < known[0]:
            if age is None or now - age <= known[1]:
                return False
            self._previous[server] = (known[0], *previous)[:MAX_PREVIOUS]
        return True

    def current(self, server: str) -> int | None:
        """The present incarnation of a listed server; None: it is not known."""
        known = self._known.get(server)
        return known[0] if known else None

    def retain(self, servers: set[str]) -> None:
        """Forgets all servers but these."""
        self._known = {server: known for server, known in self._known.items() if server in servers}
        self._previous = {server: ids for server, ids in self._previous.items() if server in servers}
        self._cached &= servers

    def forget(self, server: str) -> None:
        """A server has left the list."""
        self._known.pop(server, None)
        self._previous.pop(server, None)
        self._cached.discard(server)

    def endpoint(self, row: EndpointRow, now: int, is_cached: bool = False) -> Endpoint:
        """A row of the list as the decisions take it."""
        if is_cached:
            self._cached.add(row.server)
        elif row.server in self._cached:
            self._cached.discard(row.server)
            is_warm = row.age is None or row.age >= self._slow_start_duration
            if is_warm and row.incarnation == self._known[row.server][0]:
                del self._known[row.server]
        started_at = self.started_at(row.server, row.incarnation, row.age, now)
        return Endpoint(row.server, row.number, row.phase == "in-service", started_at, row.region)
