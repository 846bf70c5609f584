"""Links to servers: each keeps one connection and reconnects with full-jitter backoff while in service."""

from __future__ import annotations

from collections.abc import Callable, Hashable
from dataclasses import dataclass
from typing import Any

import structlog
import trio

from valverouter.config.edge import LinkConfig
from valverouter.edge.connections import isolate_failure, receive_by, send_error
from valverouter.edge.event_queue import EventQueue
from valverouter.edge.runtime import READ_SIZE, Runtime
from valverouter.edge.send_queue import SendBatch, SendQueue, SendQueueFullError
from valverouter.signalling import setup
from valverouter.signalling.framing import ProtocolError
from valverouter.signalling.greeting import NEWEST_VERSION, OLDEST_VERSION, Hello, NotUnderstood, Welcome
from valverouter.signalling.setup import Provisional, SetupSession

log = structlog.get_logger()

ReconnectDelay = Callable[[int], int]


@dataclass(frozen=True, slots=True)
class ServerMessage:
    """A server's answer to an attempt, or its load report."""

    link: ServerLink
    message: setup.LegMessage | setup.LoadReported


@dataclass(frozen=True, slots=True)
class LinkUp:
    """A server's welcome was received; the link sends attempts once the event loop has checked it."""

    link: ServerLink
    welcome: Welcome


@dataclass(frozen=True, slots=True)
class LinkDown:
    """A connection ended or could not be made; with the attempts that were sent on it and those unsent."""

    link: ServerLink
    reason: str
    sent: frozenset[tuple[str, int]]
    unsent: frozenset[tuple[str, int]]


class ServerLink:
    """The link to one server.

    `attempts` holds the attempts in flight or established on it, by dialog and number; the value is True once
    the attempt was cancelled here. Attempts started while the link connects are queued until the welcome;
    during the reconnect delay it accepts none. An attempt is removed when it ends, all of them when the link
    goes down.
    """

    def __init__(
        self,
        server: str,
        address: str,
        name: str,
        config: LinkConfig,
        runtime: Runtime,
        events: EventQueue,
        reconnect_delay: ReconnectDelay,
        batch: SendBatch | None = None,
        epoch: int = 0,
    ) -> None:
        self._epoch = epoch
        self.server = server
        self.address = address
        self.in_service = True
        self.has_ended = False
        self.attempts: dict[tuple[str, int], bool] = {}
        self._name = name
        self._config = config
        self._runtime = runtime
        self._events = events
        self._reconnect_delay = reconnect_delay
        self._batch = batch
        # Set-ups queued before the welcome: until then, the protocol version to encode them in is unknown.
        self._early_attempts: dict[tuple[str, int], Any] = {}
        self._session: SetupSession | None = None
        self._send_queue: SendQueue | None = None
        self._connection = trio.CancelScope()
        self._close_reason = ""
        self._is_welcomed = False
        # When the first message was queued since the last one was received, in seconds of trio's clock;
        # None if there is none.
        self._awaiting_since: float | None = None

    @property
    def is_final(self) -> bool:
        """Whether the link does not reconnect after a LinkDown."""
        return self.has_ended or not self.in_service

    @property
    def can_return_to_service(self) -> bool:
        """Whether the link makes another connection if its server is put in service again now."""
        return not self.has_ended

    def has_closed(self, key: tuple[str, int]) -> bool:
        """Whether an attempt's closing message was read but is not yet handled.

        No message may be sent for such an attempt.
        """
        return self._session is not None and self._is_welcomed and key not in self._session.legs

    @property
    def can_resume(self) -> bool:
        """Whether attempts of a previous connection can be resumed; needs protocol version 2."""
        return self._session is not None and self._session.version >= 2

    @property
    def is_up(self) -> bool:
        """Whether the event loop has handled the welcome and the connection is not closing."""
        return self._is_welcomed and self.is_writable

    @property
    def is_writable(self) -> bool:
        """Whether a connection is up or being made on which a frame queued now may still be sent."""
        return self._send_queue is not None and not self._close_reason

    def has_attempt(self, key: tuple[str, int]) -> bool:
        """Whether an attempt with this key is open here: a caller may reuse a dialog id before it ended."""
        return key in self.attempts or (self._session is not None and key in self._session.legs)

    def start_attempt(self, key: tuple[str, int], message: Any) -> None:
        """Queues a set-up for this server; it can be withdrawn until it is passed to the stream."""
        self.attempts[key] = False
        if self._is_welcomed:
            self.send(message, key)
        else:
            self._early_attempts[key] = message

    def send(
        self, message: Any, key: Hashable | None = None, on_sent: Callable[[], None] | None = None
    ) -> None:
        """Queues a message; if the send queue is full, closes the connection, and LinkDown follows."""
        assert self._session is not None
        assert self._send_queue is not None
        try:
            self._send_queue.put(self._session.send(message), key, on_sent)
        except SendQueueFullError as error:
            self.close(f"reads too slowly: {error}")
        if self._awaiting_since is None:
            self._awaiting_since = trio.current_time()

    def withdraw(self, key: tuple[str, int]) -> bool:
        """Withdraws an unsent set-up and removes its attempt; returns False if it may have been sent."""
        if self._early_attempts.pop(key, None) is None:
            if self._send_queue is None or not self._send_queue.withdraw(key):
                return False
            assert self._session is not None
            self._session.drop(key)
        del self.attempts[key]
        return True

    def is_partly_sent(self, key: tuple[str, int]) -> bool:
        """Whether this set-up was passed to the stream, which has not yet accepted all of it."""
        return self._send_queue is not None and key in self._send_queue.in_flight

    def send_early_attempts(self) -> None:
        """Sends the set-ups queued before the welcome; called when the event loop has handled it."""
        if self._send_queue is None or self._session is None or not self._session.version:
            return  # that connection has already ended
        self._is_welcomed = True
        early, self._early_attempts = self._early_attempts, {}
        for key, message in early.items():
            self.send(message, key)

    def close(self, reason: str) -> None:
        """Ends the current connection; LinkDown with the first given reason follows."""
        self._close_reason = self._close_reason or reason
        self._connection.cancel()

    async def run(self) -> None:
        """Connects, serves, and reconnects after a delay; ends when the server is no longer in service."""
        tries = 0
        while self.in_service:
            began = trio.current_time()
            reason = "failed"
            with isolate_failure("link", lambda: self.server):
                reason = await self._run_connection()
            tries = tries + 1 if trio.current_time() - began < 1 else 1
            self._on_down(reason)
            if self.in_service:
                await trio.sleep(max(self._config.reconnect_least, self._reconnect_delay(tries)) / 1e9)
                if not self.in_service:
                    # The server was taken out of service during the delay. Without this event the table would
                    # keep the link and treat it as running when the server is listed again.
                    self._on_down("the server is no longer in service")
        self.has_ended = True

    def _on_down(self, reason: str) -> None:
        # The event carries the attempts: by the time it is handled, `attempts` may already hold some of the
        # next connection.
        queue, attempts, self.attempts = self._send_queue, self.attempts, {}
        unsent = frozenset(
            key
            for key in attempts
            if key in self._early_attempts or (queue is not None and queue.is_queued(key))
        )
        self._send_queue, self._session, self._close_reason, self._is_welcomed = None, None, "", False
        self._awaiting_since = None
        self._early_attempts.clear()
        self._events.put(LinkDown(self, reason, frozenset(attempts) - unsent, unsent))

    async def _run_connection(self) -> str:
        """Makes and serves one connection; returns the reason for which it ended."""
        hello = Hello((OLDEST_VERSION, NEWEST_VERSION), "edge", self._name, self._epoch)
        self._close_reason = ""  # a close() between two connections does not apply to the new one
        self._session = session = SetupSession(hello)
        self._send_queue = queue = SendQueue(self._config.waiting_bytes, self._batch)
        self._connection = trio.CancelScope()
        reason = "closed"
        with self._connection:
            try:
                with trio.fail_after(self._config.connect_within / 1e9):
                    stream = await self._runtime.connect(self.address)
            except (OSError, ValueError, OverflowError, trio.TooSlowError) as error:
                # ValueError, OverflowError: the endpoint list has an invalid address.
                return f"no connection: {error or type(error).__name__}"
            async with stream, trio.open_nursery() as nursery:
                try:
                    await stream.send_all(session.hello_frame())
                    nursery.start_soon(self._write, queue, stream)
                    nursery.start_soon(self._watch_silence)
                    await self._read(stream, session)
                except ProtocolError as error:
                    reason = f"{error.code}: {error}"
                    await send_error(stream, session, error)
                except (trio.BrokenResourceError, trio.ClosedResourceError):
                    reason = "reset"
                except trio.TooSlowError:
                    reason = "no welcome in time"
                nursery.cancel_scope.cancel()
        return self._close_reason or reason

    async def _write(self, queue: SendQueue, stream: trio.abc.Stream) -> None:
        try:
            await queue.run(stream)
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            self.close("reset")

    async def _watch_silence(self) -> None:
        """Closes a connection if the server sends nothing within the limit after a message to it.

        A half-open connection would accept attempts for as long as the kernel retransmits: a quarter of an
        hour, or indefinitely. An idle connection, with no message sent, is not closed.
        """
        limit = self._config.silence / 1e9
        while True:
            since = self._awaiting_since
            if since is not None and trio.current_time() >= since + limit:
                self.close(f"silent for {limit:g} s")
            await trio.sleep_until((trio.current_time() if since is None else since) + limit)

    async def _read(self, stream: trio.abc.Stream, session: SetupSession) -> None:
        deadline = trio.current_time() + self._config.hello_within / 1e9
        while data := await receive_by(stream, READ_SIZE, deadline):
            self._awaiting_since = None
            await self._events.wait_for_space()
            for message in session.receive(data):
                if isinstance(message, Provisional):
                    continue  # the session has checked it; no further handling is needed
                if isinstance(message, Welcome):
                    deadline = float("inf")
                    self._events.put(LinkUp(self, message))
                elif isinstance(message, NotUnderstood):
                    log.info("message-not-understood", server=self.server, kind=message.kind)
                    self.send(message)
                else:
                    self._events.put(ServerMessage(self, message))
        session.end()
