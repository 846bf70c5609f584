"""Endpoint discovery: the connection to the list service, and the list as last received."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Protocol

import msgspec
import structlog
import trio

from valverouter.config.edge import EdgeConfig
from valverouter.edge.clock import Clock
from valverouter.edge.connections import isolate_failure, send_farewell
from valverouter.edge.endpoint_cache import EndpointCache
from valverouter.edge.link import ReconnectDelay
from valverouter.edge.queues import EventQueue
from valverouter.edge.runtime import READ_SIZE, Runtime
from valverouter.interface import EndpointUpdateKind
from valverouter.signalling.framing import ProtocolError
from valverouter.signalling.greeting import NEWEST_VERSION, OLDEST_VERSION, Hello, Welcome
from valverouter.signalling.serverlist import Change, EndpointRow, ListSession, Replica, Snapshot

log = structlog.get_logger()


@dataclass(frozen=True, slots=True)
class EndpointUpdate:
    """The endpoint list, or a change of it, was received."""

    kind: EndpointUpdateKind
    rows: list[EndpointRow]


class ServiceSilentError(Exception):
    """The list service was asked and said nothing."""


class EndpointSource(Protocol):
    """Where an edge proxy hears of its servers."""

    replica: Replica
    is_up: bool
    tries: int

    def request_list(self) -> None:
        """The decisions ask for the list."""

    async def load_cached(self) -> list[EndpointRow]:
        """What is known before anything is received."""

    async def run(self) -> None:
        """Puts the list's updates ahead of all other events, until cancelled."""

    async def persist(self) -> None:
        """Keeps what was received for a later start, if anything does."""


class DiscoveryClient:
    """The connection to the list service; a list that must be asked for waits until the decisions ask."""

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
        # When each row was received, by our own clock; follows the replica's rows.
        self._received_at: dict[str, int] = {}
        if config.deployment.endpoint_list_is_pushed:
            self._requested.set()

    def request_list(self) -> None:
        """Connects, where that waited for the decisions to ask."""
        self._requested.set()

    async def load_cached(self) -> list[EndpointRow]:
        """The list as an earlier start left it."""
        return await self._cache.read()

    async def run(self) -> None:
        """Connects again and again, until cancelled."""
        while True:
            await self._requested.wait()
            reason, began = "failed", trio.current_time()
            with isolate_failure("list", lambda: self._config.list_service):
                reason = await self._run_connection()
            was_up, self.is_up = self.is_up, False
            # One that closes after each message must not be asked ten times a second by every edge proxy.
            self.tries = 1 if was_up and trio.current_time() - began >= 1 else self.tries + 1
            log.warning("discovery-down", service=self._config.list_service, why=reason, tries=self.tries)
            if not self._config.deployment.endpoint_list_is_pushed and not was_up:
                # The decisions say when to ask again; a link that had served is made again at once by us.
                self._requested = trio.Event()
                self._events.put_urgent(EndpointUpdate(EndpointUpdateKind.FAILED, []))
                continue
            await trio.sleep(self._reconnect_delay(self.tries) / 1e9)

    async def _run_connection(self) -> str:
        """Serves one connection; the reason of its end."""
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
                await send_farewell(stream, session, error)
                return f"{error.code}: {error}"
            except (trio.BrokenResourceError, trio.ClosedResourceError):
                return "reset"
            except trio.TooSlowError:
                return "no list in time"
        return "closed"

    async def _follow_list(self, stream: trio.abc.Stream, session: ListSession) -> None:
        """Watches the list until the service closes."""
        with trio.fail_after(self._config.links.hello_within / 1e9) as patience:
            await stream.send_all(session.hello_frame())
            while data := await self._receive(stream, session):
                for message in session.receive(data):
                    if isinstance(message, Welcome):
                        await stream.send_all(session.send(self.replica.watch()))
                    elif isinstance(message, Snapshot | Change):
                        patience.deadline = float("inf")
                        self.is_up = True
                        if (answer := self._on_message(message)) is not None:
                            await stream.send_all(session.send(answer))
                self._updated.set()
            session.end()

    async def _receive(self, stream: trio.abc.Stream, session: ListSession) -> bytes | bytearray:
        """What comes next.

        A service that is calm says nothing for hours, and so does one that hangs: after `silence` it is asked
        for the last change once more, and after another it is closed.
        """
        silence = self._config.links.silence / 1e9
        if not self.is_up or not self._config.deployment.endpoint_list_is_pushed:
            return await stream.receive_some(READ_SIZE)
        with trio.move_on_after(silence):
            return await stream.receive_some(READ_SIZE)
        with trio.move_on_after(silence):
            await stream.send_all(session.send(self.replica.probe()))
            return await stream.receive_some(READ_SIZE)
        raise ServiceSilentError(f"silent for {silence:g} s, and again when it was asked")

    def _on_message(self, message: Snapshot | Change) -> object:
        """Queues an update; what to answer, or None."""
        rows, answer = self.replica.on_message(message)
        if rows is not None:
            now = self._clock.now()
            received_at = self._received_at | {row.server: now for row in rows}
            listed = self.replica.rows
            self._received_at = {server: at for server, at in received_at.items() if server in listed}
            is_complete = isinstance(message, Snapshot)
            kind = EndpointUpdateKind.COMPLETE if is_complete else EndpointUpdateKind.INCREMENTAL
            self._events.put_urgent(EndpointUpdate(kind, rows))
        if answer is not None:
            log.warning("endpoint-update-missed", have=self.replica.number, told=message.number)
        return answer

    async def persist(self) -> None:
        """Caches what was received last, in a task of its own: a hung disk must not hold up the list."""
        while self._config.list_cache:
            await self._updated.wait()
            self._updated = trio.Event()
            now = self._clock.now()
            rows = [_aged(row, now - self._received_at[row.server]) for row in self.replica.rows.values()]
            await self._cache.write(rows)


def _aged(row: EndpointRow, duration: int) -> EndpointRow:
    """A row as it would be received so much later."""
    return row if row.age is None else msgspec.structs.replace(row, age=row.age + max(0, duration))
