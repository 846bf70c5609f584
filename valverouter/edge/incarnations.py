"""Start times of the servers' current incarnations, on this proxy's clock."""

from __future__ import annotations

from valverouter.interface import Endpoint
from valverouter.signalling.serverlist import EndpointRow

# Previous incarnations remembered per server.
MAX_PREVIOUS_INCARNATIONS = 4


class IncarnationTracker:
    """Tracks the current incarnation of each listed server and when it started, on this proxy's clock.

    Messages carry a server's age and not its start time, since clocks differ between machines. The start time
    is computed from the first message about an incarnation and then kept: computed again, it would differ by
    the transmission delay and look like another start. A message about an earlier incarnation than the known
    one is ignored, however late it arrives.

    Incarnations normally increase, but not on a machine whose clock was set back. So a smaller incarnation
    that by its age started after the known one becomes the current one. The replaced incarnation is
    remembered, and late messages about it are ignored. If the message about the smaller incarnation was
    itself a late one, a warm server is treated as warming up until it reports its age: it gets less traffic,
    and is not overloaded.

    A start time taken from a cached row is corrected by the first live row, but only if that shows the server
    to be warm: there is no slow start then that computing the time again could restart.
    """

    def __init__(self, slow_start_duration: int = 0) -> None:
        self._slow_start_duration = slow_start_duration
        self._known: dict[str, tuple[int, int]] = {}
        # By server: the last MAX_PREVIOUS_INCARNATIONS incarnations that a smaller one replaced.
        self._previous: dict[str, tuple[int, ...]] = {}
        # Servers known only from the cached list; removed with their first row of the live list.
        self._cached: set[str] = set()

    def started_at(self, server: str, incarnation: int, age: int | None, now: int) -> int:
        """Returns when the current incarnation started, ns; 0 means long ago, as in Endpoint.

        `age`: in ns; None if the server is warm.
        """
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
            self._previous[server] = (known[0], *previous)[:MAX_PREVIOUS_INCARNATIONS]
        return True

    def current(self, server: str) -> int | None:
        """Returns the current incarnation of a listed server; None if it is not known."""
        known = self._known.get(server)
        return known[0] if known else None

    def retain(self, servers: set[str]) -> None:
        """Forgets all servers that are not in `servers`."""
        self._known = {server: known for server, known in self._known.items() if server in servers}
        self._previous = {server: ids for server, ids in self._previous.items() if server in servers}
        self._cached &= servers

    def forget(self, server: str) -> None:
        """Forgets a server that was removed from the list."""
        self._known.pop(server, None)
        self._previous.pop(server, None)
        self._cached.discard(server)

    def endpoint(self, row: EndpointRow, now: int, is_cached: bool = False) -> Endpoint:
        """Converts a row of the list to the driver's Endpoint."""
        if is_cached:
            self._cached.add(row.server)
        elif row.server in self._cached:
            self._cached.discard(row.server)
            is_warm = row.age is None or row.age >= self._slow_start_duration
            if is_warm and row.incarnation == self._known[row.server][0]:
                del self._known[row.server]
        started_at = self.started_at(row.server, row.incarnation, row.age, now)
        return Endpoint(row.server, row.number, row.phase == "in-service", started_at, row.region)
