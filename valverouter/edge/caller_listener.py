"""The listener for callers: refuses connections above the limit set by the process's file descriptors."""

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

# File descriptors not available to callers: the list service's connection, files, the interpreter's own.
RESERVED_DESCRIPTORS = 32
# A new connection to a server may overlap with the one that it replaces.
DESCRIPTORS_PER_LINK = 2
# How long a refused caller may take to read the reason, in seconds.
REFUSAL_TIMEOUT_S = 0.1
# Refusals are logged at most once per interval of this length, in nanoseconds.
REFUSAL_LOG_INTERVAL = 1_000_000_000


class CallerListener:
    """Admits callers' connections and runs each."""

    def __init__(self, context: ProxyContext, links: ServerLinks, incarnation: int) -> None:
        """Descriptors are reserved for `links`: without links, which must reconnect, no caller is served."""
        self.open_connections = 0
        self._context = context
        self._links = links.by_server
        self._incarnation = incarnation
        self._refused = 0
        self._refusal_logged_at = 0

    @property
    def max_connections(self) -> int:
        """The limit of callers' connections: the configured one, or the available descriptors if fewer."""
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
        """Tries to close another caller's connection for a new one; returns whether one was closed."""
        return False

    async def run_connection(self, stream: trio.abc.Stream) -> None:
        """Runs an admitted connection."""
        context = self._context
        welcome = Welcome(0, context.config.name, self._incarnation, epoch=context.epoch)
        caller = CallerConnection(stream, context.config.links, context.events, welcome, context.send_batch)
        await caller.run()

    async def refuse(self, stream: trio.abc.Stream) -> None:
        """Refuses a connection above the limit with an Error message that gives a retry-after."""
        self._refused += 1
        self._log_refusal()
        retry_after = format_duration(self._context.config.deployment.max_retry_after)
        error = ProtocolError("too-many", f"no room for another connection; come back after {retry_after}")
        broken = trio.BrokenResourceError, trio.ClosedResourceError
        with trio.move_on_after(REFUSAL_TIMEOUT_S), suppress(*broken):
            await stream.send_all(SetupSession().error_frame(error))
            # Closing with unread input would reset the connection, and the caller would lose the message.
            while await stream.receive_some(READ_SIZE):
                pass
        await trio.aclose_forcefully(stream)

    def _log_refusal(self) -> None:
        now = self._context.clock.now()
        if now - self._refusal_logged_at >= REFUSAL_LOG_INTERVAL:
            self._refusal_logged_at = now
            self._context.log.warning("callers-refused", callers=self.open_connections, refused=self._refused)
