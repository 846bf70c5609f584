"""The listener for callers on the platform: evicts the least useful idle connection for a new one."""

from __future__ import annotations

import trio

from valverouter.edge.caller_listener import CallerListener
from valverouter.edge.context import ProxyContext
from valverouter.edge.server_links import ServerLinks
from valverouter.platform_edge.callers import PlatformCaller, SharedCallerState


class PlatformListener(CallerListener):
    """Admits callers' connections on the platform."""

    def __init__(
        self, context: ProxyContext, links: ServerLinks, incarnation: int, shared: SharedCallerState
    ) -> None:
        """`shared`: the state shared by the connections."""
        super().__init__(context, links, incarnation)
        self._shared = shared

    async def run_connection(self, stream: trio.abc.Stream) -> None:
        """Serves an admitted connection."""
        caller = PlatformCaller(stream, self._shared)
        self._shared.connected.on_received(caller)
        try:
            await caller.run()
        finally:
            self._shared.connected.remove(caller)

    def make_space(self) -> bool:
        """Closes an idle connection: one without a valid request if there is one, else the longest idle.

        The new connection is preferred, since it may carry a set-up already, which closing it would lose.
        """
        self._shared.rejection_log.warn("no-room", f"{self.open_connections} connections")
        caller = self._shared.connected.eviction_candidate()
        if caller is None:
            return False
        caller.close()
        return True

    def free_descriptors(self) -> None:
        """Closes idle connections whose file descriptors the links to servers need."""
        for _ in range(self._shared.connected.open_count - self.max_connections):
            if not self.make_space():
                break

    async def refuse(self, stream: trio.abc.Stream) -> None:
        """Closes a connection above the limit, and an idle one to make space for the next."""
        self._refused += 1
        self.make_space()
        await trio.aclose_forcefully(stream)
