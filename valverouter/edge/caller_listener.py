"""The listener for callers: as many connections as there are descriptors for, the others refused."""

from __future__ import annotations

from contextlib import suppress

import trio

from valverouter.config.ini import format_duration
from valverouter.edge.caller import CallerConnection
from valverouter.edge.context import ProxyContext
from valverouter.edge.runtime import READ_SIZE
from valverouter.edge.server_links import ServerLinks
from valverouter.signalling.framing import ProtocolError
from valverouter.signalling.greeting import Welcome
from valverouter.signalling.setup import SetupSession

# Descriptors that callers leave to the rest: the list, files, what the interpreter holds; and for each link,
# since one that is made again may overlap the connection before.
RESERVED_DESCRIPTORS = 32
DESCRIPTORS_PER_LINK = 2
# For so long a refused caller may take to read the reason, in seconds.
REFUSAL_TIMEOUT_S = 0.1
# Refusals are logged no oftener than once in so long; nanoseconds.
REFUSAL_LOG_INTERVAL = 1_000_000_000


class CallerListener:
    """Admits callers' connections and runs each."""

    def __init__(self, context: ProxyContext, links: ServerLinks, incarnation: int) -> None:
        """`links` come before callers: without one no caller is served, and one lost must be made again."""
        self.open_connections = 0
        self._context = context
        self._links = links.by_server
        self._incarnation = incarnation
        self._refused = 0
        self._refusal_logged_at = 0

    @property
    def max_connections(self) -> int:
        """How many callers' connections there are descriptors for, within the configured limit."""
        descriptors = self._context.runtime.max_descriptors()
        available = descriptors - RESERVED_DESCRIPTORS - DESCRIPTORS_PER_LINK * len(self._links)
        return min(self._context.config.links.callers, available)

    async def serve(self, stream: trio.abc.Stream) -> None:
        """Runs one caller's connection until it ends."""
        if self.open_connections >= self.max_connections and not self.make_space():
            await self.refuse(stream)
            return
        self.open_connections += 1
        try:
            await self.run_connection(stream)
        finally:
            self.open_connections -= 1

    def make_space(self) -> bool:
        """Whether another caller's connection was closed for the one that comes."""
        return False

    async def run_connection(self, stream: trio.abc.Stream) -> None:
        """Runs a connection that was admitted."""
        context = self._context
        welcome = Welcome(0, context.config.name, self._incarnation, epoch=context.epoch)
        caller = CallerConnection(stream, context.config.links, context.events, welcome, context.send_batch)
        await caller.run()

    async def refuse(self, stream: trio.abc.Stream) -> None:
        """Refuses a connection that there is no descriptor for, with a time to come back."""
        self._refused += 1
        self._log_refusal()
        back = format_duration(self._context.config.deployment.max_retry_after)
        error = ProtocolError("too-many", f"no room for another connection; come back after {back}")
        broken = trio.BrokenResourceError, trio.ClosedResourceError
        with trio.move_on_after(REFUSAL_TIMEOUT_S), suppress(*broken):
            await stream.send_all(SetupSession().error_frame(error))
            # What it sent is read, or closing would be a reset that takes the message from it.
            while await stream.receive_some(READ_SIZE):
                pass
        await trio.aclose_forcefully(stream)

    def _log_refusal(self) -> None:
        now = self._context.clock.now()
        if now - self._refusal_logged_at >= REFUSAL_LOG_INTERVAL:
            self._refusal_logged_at = now
            self._context.log.warning("callers-refused", callers=self.open_connections, refused=self._refused)
