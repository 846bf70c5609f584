"""The listener for callers on the platform: evicts the least useful idle connection for a new one."""

from __future__ import annotations

from collections.abc import Mapping

import trio

from valverouter.edge.caller_listener import CallerListener
from valverouter.edge.context import ProxyContext
from valverouter.edge.server_links import ServerLinks
from valverouter.platform_edge.callers import AnsweredIds, ConnectedCallers, PlatformCaller, RateLimitedLog
from valverouter.platform_edge.release_notifier import ReleaseNotifier


class PlatformListener(CallerListener):
    """Admits callers' connections on the platform."""

    def __init__(
        self,
        context: ProxyContext,
        links: ServerLinks,
        incarnation: int,
        widths: Mapping[str, int],
        connected: ConnectedCallers,
        notifier: ReleaseNotifier,
        answered_ids: AnsweredIds,
    ) -> None:
        """`widths`: the lines that a dialog occupies, by traffic type; set-ups must state the same number."""
        super().__init__(context, links, incarnation)
        self._widths = widths
        self._connected = connected
        self._notifier = notifier
        self._answered_ids = answered_ids
        self._rejection_log = RateLimitedLog()

    async def run_connection(self, stream: trio.abc.Stream) -> None:
        """Serves an admitted connection."""
        context = self._context
        caller = PlatformCaller(
            stream,
            context.config.links,
            context.events,
            context.send_batch,
            context.clock,
            context.config.deployment,
            self._widths,
            lambda: not context.shutdown.is_draining,
            self._connected,
            self._answered_ids,
            self._rejection_log,
            self._notifier,
        )
        self._connected.on_received(caller)
        try:
            await caller.run()
        finally:
            self._connected.remove(caller)

    def make_space(self) -> bool:
        """Closes an idle connection: one without a valid request if there is one, else the longest idle.

        The new connection is preferred, since it may carry a set-up already, which closing it would lose.
        """
        self._rejection_log.warn("no-room", f"{self.open_connections} connections")
        caller = self._connected.eviction_candidate()
        if caller is None:
            return False
        caller.close()
        return True

    def free_descriptors(self) -> None:
        """Closes idle connections whose file descriptors the links to servers need."""
        for _ in range(self._connected.open_count - self.max_connections):
            if not self.make_space():
                break

    async def refuse(self, stream: trio.abc.Stream) -> None:
        """Closes a connection above the limit, and an idle one to make space for the next."""
        self._refused += 1
        self.make_space()
        await trio.aclose_forcefully(stream)
