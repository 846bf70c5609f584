"""Callers' connections on the platform: the least useful make way for those that come."""

from __future__ import annotations

from collections.abc import Mapping

import trio

from valverouter.edge.caller_listener import CallerListener
from valverouter.edge.context import ProxyContext
from valverouter.edge.server_links import ServerLinks
from valverouter.platform_edge.callers import AnsweredIds, ConnectedCallers, PlatformCaller, RateLimitedLog
from valverouter.platform_edge.dialogs import ReleaseNotifier


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
        """`widths` by traffic type, as the platform's set-ups tell them."""
        super().__init__(context, links, incarnation)
        self._widths = widths
        self._connected = connected
        self._notifier = notifier
        self._answered_ids = answered_ids
        self._rejection_log = RateLimitedLog()

    async def run_connection(self, stream: trio.abc.Stream) -> None:
        """Serves an admitted connection; it is first sent the ends that no connection was there for."""
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
        )
        self._connected.on_received(caller)
        self._notifier.send_pending(caller)
        try:
            await caller.run()
        finally:
            self._connected.remove(caller)

    def make_space(self) -> bool:
        """Closes one that has said nothing of use, else the one idle for longest.

        Who comes may be a good caller that asks at once: closed in its stead, its set-up would be lost.
        """
        self._rejection_log.warn("no-room", f"{self.open_connections} connections")
        caller = self._connected.eviction_candidate()
        if caller is None:
            return False
        caller.close()
        return True

    def free_descriptors(self) -> None:
        """Closes idle connections where the links to servers need their descriptors."""
        for _ in range(self._connected.open_count - self.max_connections):
            if not self.make_space():
                break

    async def refuse(self, stream: trio.abc.Stream) -> None:
        """Closes a connection that there is no descriptor for, and makes space for the next."""
        self._refused += 1
        self.make_space()
        await trio.aclose_forcefully(stream)
