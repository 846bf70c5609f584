"""Endpoint discovery: the client of the list service, and the endpoint list as last received."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Protocol

import msgspec
import structlog
import trio

from valverouter.config.edge import EdgeConfig
from valverouter.edge.clock import Clock
from valverouter.edge.connections import isolate_failure, send_error
from valverouter.edge.endpoint_cache import EndpointCache
from valverouter.edge.event_queue import EventQueue
from valverouter.edge.link import ReconnectDelay
from valverouter.edge.runtime import READ_SIZE, Runtime
from valverouter.interface import EndpointUpdateKind
from valverouter.signalling.framing import ProtocolError
from valverouter.signalling.greeting import NEWEST_VERSION, OLDEST_VERSION, Hello, Welcome
from valverouter.signalling.serverlist import Change, EndpointRow, ListSession, Replica, Snapshot

log = structlog.get_logger()


@dataclass(frozen=True, slots=True)
class EndpointUpdate:
    """Event: the endpoint list or a change of it was received, or requesting it failed."""

    kind: EndpointUpdateKind
    rows: list[EndpointRow]


class ServiceSilentError(Exception):
    """The list service did not respond to a probe in time."""


class EndpointSource(Protocol):
    """The source of an edge proxy's endpoint list."""

    replica: Replica
    is_up: bool
    tries: int

    def request_list(self) -> None:
        """Requests the list, on behalf of the driver."""

    async def load_cached(self) -> list[EndpointRow]:
        """Returns the cached list, for use until a list is received."""

    async def run(self) -> None:
        """Receives updates and queues each ahead of all other events, until cancelled."""

    async def persist(self) -> None:
        """Writes received lists to the cache, if there is one, until cancelled."""


class DiscoveryClient:
    """Keeps a connection to the list service.

    Where the list is not pushed, the client connects only after the driver has requested the list.
    """

    def __init__(
        self,
        config: EdgeConfig,
        runtime: Runtime,
        events: EventQueue,
        clock: Clock,
        reconnect_delay: ReconnectDelay,
    ) -> None:
        self.replica = Replica()
        self.is_up = False
        self.tries = 0
        self._config = config
        self._runtime = runtime
        self._events = events
        self._clock = clock
        self._reconnect_delay = reconnect_delay
        self._cache = EndpointCache(config.list_cache, runtime)
        self._requested = trio.Event()
        self._updated = trio.Event()
        # When each row of the replica was received, by server, on this proxy's clock.
        self._received_at: dict[str, int] = {}
        if config.deployment.endpoint_list_is_pushed:
            self._requested.set()

    def request_list(self) -> None:
        """Lets `run` connect; has no effect where the list is pushed."""
        self._requested.set()

    async def load_cached(self) -> list[EndpointRow]:
        """Returns the list that an earlier process cached."""
        return await self._cache.read()

    async def run(self) -> None:
        """Connects, and reconnects after each failure, until cancelled."""
        while True:
            await self._requested.wait()
            reason, started_at = "failed", trio.current_time()
            with isolate_failure("list", lambda: self._config.list_service):
                reason = await self._run_connection()
            was_up, self.is_up = self.is_up, False
            # A connection that lasted less than 1 s counts as another failure: without that, a service that
            # closes after each message is connected to ten times a second by every edge proxy.
            self.tries = 1 if was_up and trio.current_time() - started_at >= 1 else self.tries + 1
            log.warning("discovery-down", service=self._config.list_service, why=reason, tries=self.tries)
            if not self._config.deployment.endpoint_list_is_pushed and not was_up:
                # The driver decides when to request the list again. A connection that had delivered a list is
                # instead made again here, without a request.
                self._requested = trio.Event()
                self._events.put_endpoint_update(EndpointUpdate(EndpointUpdateKind.FAILED, []))
                continue
            await trio.sleep(self._reconnect_delay(self.tries) / 1e9)

    async def _run_connection(self) -> str:
        """Runs one connection and returns the reason of its end, for the log."""
        session = ListSession(Hello((OLDEST_VERSION, NEWEST_VERSION), "edge", self._config.name))
        try:
            with trio.fail_after(self._config.links.connect_within / 1e9):
                stream = await self._runtime.connect(self._config.list_service)
        except (OSError, ValueError, OverflowError, trio.TooSlowError) as error:
            return f"no connection: {error or type(error).__name__}"
        async with stream:
            try:
                await self._follow_list(stream, session)
            except ServiceSilentError as error:
                return str(error)
            except ProtocolError as error:
                await send_error(stream, session, error)
                return f"{error.code}: {error}"
            except (trio.BrokenResourceError, trio.ClosedResourceError):
                return "reset"
            except trio.TooSlowError:
                return "no list in time"
        return "closed"

    async def _follow_list(self, stream: trio.abc.Stream, session: ListSession) -> None:
        """Watches the list until the service closes the connection.

        Raises trio.TooSlowError if no list arrives within `hello_within`.
        """
        with trio.fail_after(self._config.links.hello_within / 1e9) as timeout_scope:
            await stream.send_all(session.hello_frame())
            while data := await self._receive(stream, session):
                for message in session.receive(data):
                    if isinstance(message, Welcome):
                        await stream.send_all(session.send(self.replica.watch()))
                    elif isinstance(message, Snapshot | Change):
                        timeout_scope.deadline = float("inf")
                        self.is_up = True
                        if (reply := self._on_message(message)) is not None:
                            await stream.send_all(session.send(reply))
                self._updated.set()
            session.end()

    async def _receive(self, stream: trio.abc.Stream, session: ListSession) -> bytes | bytearray:
        """Returns the next bytes from the service; empty when it has closed.

        An idle service sends nothing for hours, and so does one that hangs. To tell them apart, the service
        is probed after `silence` by requesting the last change again; without a response within another
        `silence`, ServiceSilentError is raised.
        """
        silence = self._config.links.silence / 1e9
        if not self.is_up or not self._config.deployment.endpoint_list_is_pushed:
            return await stream.receive_some(READ_SIZE)
        with trio.move_on_after(silence):
            return await stream.receive_some(READ_SIZE)
        with trio.move_on_after(silence):
            await stream.send_all(session.send(self.replica.probe()))
            return await stream.receive_some(READ_SIZE)
        raise ServiceSilentError(f"silent for {silence:g} s, and for as long after a probe")

    def _on_message(self, message: Snapshot | Change) -> object:
        """Queues the update, if any, and returns the reply to the service, or None."""
        rows, reply = self.replica.on_message(message)
        if rows is not None:
            now = self._clock.now()
            received_at = self._received_at | {row.server: now for row in rows}
            listed = self.replica.rows
            self._received_at = {server: at for server, at in received_at.items() if server in listed}
            is_complete = isinstance(message, Snapshot)
            kind = EndpointUpdateKind.COMPLETE if is_complete else EndpointUpdateKind.INCREMENTAL
            self._events.put_endpoint_update(EndpointUpdate(kind, rows))
        if reply is not None:
            log.warning("endpoint-update-missed", have=self.replica.number, told=message.number)
        return reply

    async def persist(self) -> None:
        """Writes each received list to the cache.

        Runs in a task of its own, so that a hung disk does not delay updates of the list.
        """
        while self._config.list_cache:
            await self._updated.wait()
            self._updated = trio.Event()
            now = self._clock.now()
            rows = [_aged(row, now - self._received_at[row.server]) for row in self.replica.rows.values()]
            await self._cache.write(rows)


def _aged(row: EndpointRow, duration: int) -> EndpointRow:
    """Returns a row with its age increased by `duration` ns, as if it were received that much later."""
    return row if row.age is None else msgspec.structs.replace(row, age=row.age + max(0, duration))
