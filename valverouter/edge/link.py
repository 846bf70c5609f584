"""Links to servers: one connection each, made again with full-jitter backoff while in service."""

from __future__ import annotations

from collections.abc import Callable, Hashable
from dataclasses import dataclass
from typing import Any

import structlog
import trio

from valverouter.config.edge import LinkConfig
from valverouter.edge.connections import isolate_failure, receive_by, send_farewell
from valverouter.edge.queues import EventQueue, SendBatch, SendQueue, SendQueueFullError
from valverouter.edge.runtime import READ_SIZE, Runtime
from valverouter.signalling import setup
from valverouter.signalling.framing import ProtocolError
from valverouter.signalling.greeting import NEWEST_VERSION, OLDEST_VERSION, Hello, NotUnderstood, Welcome
from valverouter.signalling.setup import Provisional, SetupSession

log = structlog.get_logger()

ReconnectDelay = Callable[[int], int]


@dataclass(frozen=True, slots=True)
class ServerMessage:
    """A server answers an attempt, or reports its load."""

    link: ServerLink
    message: setup.LegMessage | setup.LoadReported


@dataclass(frozen=True, slots=True)
class LinkUp:
    """A server's welcome: the link carries attempts once the event loop knows who is there."""

    link: ServerLink
    welcome: Welcome


@dataclass(frozen=True, slots=True)
class LinkDown:
    """A connection ended, or could not be made; with the attempts that had left on it and those unsent."""

    link: ServerLink
    reason: str
    sent: frozenset[tuple[str, int]]
    unsent: frozenset[tuple[str, int]]


class ServerLink:
    """One server's link.

    `attempts` are those in flight or established on it, by dialog and number; True once cancelled here. Those
    started while it connects wait for the welcome; while it waits to connect again, it takes none. Answers
    empty `attempts`, and all leave at once when the link goes down.
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
        # Set-ups from before the welcome, which empties this: until then there is no version to write them
        # in.
        self._early_attempts: dict[tuple[str, int], Any] = {}
        self._session: SetupSession | None = None
        self._send_queue: SendQueue | None = None
        self._connection = trio.CancelScope()
        self._close_reason = ""
        self._is_welcomed = False
        # When the first message was sent since the last was received; None: nothing is awaited.
        self._awaiting_since: float | None = None

    @property
    def is_final(self) -> bool:
        """Whether no connection follows after a LinkDown."""
        return self.has_ended or not self.in_service

    def has_closed(self, key: tuple[str, int]) -> bool:
        """Whether an attempt's closing message was read already and waits to be handled.

        Nothing more may be sent of that attempt.
        """
        return self._session is not None and self._is_welcomed and key not in self._session.legs

    @property
    def can_resume(self) -> bool:
        """Whether the server can be asked for attempts of a previous connection."""
        return self._session is not None and self._session.version >= 2

    @property
    def is_up(self) -> bool:
        """Whether the event loop has handled its welcome, and the connection holds."""
        return self._is_welcomed and self.is_writable

    @property
    def is_writable(self) -> bool:
        """Whether a frame put now may still leave on a connection that is up or being made."""
        return self._send_queue is not None and not self._close_reason

    def has_attempt(self, key: tuple[str, int]) -> bool:
        """Whether this key is still open here: its caller used an id again before its end came."""
        return key in self.attempts or (self._session is not None and key in self._session.legs)

    def start_attempt(self, key: tuple[str, int], message: Any) -> None:
        """Queues a set-up for this server; it may be withdrawn until the stream takes it."""
        self.attempts[key] = False
        if self._is_welcomed:
            self.send(message, key)
        else:
            self._early_attempts[key] = message

    def send(
        self, message: Any, key: Hashable | None = None, on_sent: Callable[[], None] | None = None
    ) -> None:
        """Queues a message; a peer that lets too much wait loses its connection, and LinkDown follows."""
        assert self._session is not None
        assert self._send_queue is not None
        try:
            self._send_queue.put(self._session.send(message), key, on_sent)
        except SendQueueFullError as error:
            self.close(f"reads too slowly: {error}")
        if self._awaiting_since is None:
            self._awaiting_since = trio.current_time()

    def withdraw(self, key: tuple[str, int]) -> bool:
        """Takes back a set-up that has not left; whether it could be. It is out of `attempts` then."""
        if self._early_attempts.pop(key, None) is None:
            if self._send_queue is None or not self._send_queue.withdraw(key):
                return False
            assert self._session is not None
            self._session.drop(key)
        del self.attempts[key]
        return True

    def is_partly_sent(self, key: tuple[str, int]) -> bool:
        """Whether the stream has been handed this set-up and not yet taken it."""
        return self._send_queue is not None and key in self._send_queue.in_flight

    def send_early_attempts(self) -> None:
        """The event loop has handled the welcome: attempts that waited for it may leave."""
        if self._send_queue is None or self._session is None or not self._session.version:
            return  # that connection is gone already
        self._is_welcomed = True
        early, self._early_attempts = self._early_attempts, {}
        for key, message in early.items():
            self.send(message, key)

    def close(self, reason: str) -> None:
        """Ends the present connection; LinkDown with the first reason given follows."""
        self._close_reason = self._close_reason or reason
        self._connection.cancel()

    async def run(self) -> None:
        """Connects, serves, waits, connects again; ends when the server is no longer in service."""
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
                    # Its server left the list during the wait: without an event the table would keep this
                    # link, and take it for one that runs when the server comes back.
                    self._on_down("no longer listed")
        self.has_ended = True

    def _on_down(self, reason: str) -> None:
        # The attempts go with the event: those of the next connection, started before it is handled, are not
        # meant.
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
        """Makes and serves one connection; the reason of its end."""
        hello = Hello((OLDEST_VERSION, NEWEST_VERSION), "edge", self._name, self._epoch)
        self._close_reason = ""  # a close between two connections does not mean this one
        self._session = session = SetupSession(hello)
        self._send_queue = queue = SendQueue(self._config.waiting_bytes, self._batch)
        self._connection = trio.CancelScope()
        reason = "closed"
        with self._connection:
            try:
                with trio.fail_after(self._config.connect_within / 1e9):
                    stream = await self._runtime.connect(self.address)
            except (OSError, ValueError, OverflowError, trio.TooSlowError) as error:
                # ValueError, OverflowError: the list names an address that is none.
                return f"no connection: {error or type(error).__name__}"
            async with stream, trio.open_nursery() as nursery:
                try:
                    await stream.send_all(session.hello_frame())
                    nursery.start_soon(self._write, queue, stream)
                    nursery.start_soon(self._watch_silence)
                    await self._read(stream, session)
                except ProtocolError as error:
                    reason = f"{error.code}: {error}"
                    await send_farewell(stream, session, error)
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
        """Closes a connection whose server was sent something and says nothing at all.

        Half open, it would take attempts for as long as the kernel goes on sending, a quarter of an hour or
        for good. Idle is not silent.
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
                    continue  # checked by the session; it changes nothing here
                if isinstance(message, Welcome):
                    deadline = float("inf")
                    self._events.put(LinkUp(self, message))
                elif isinstance(message, NotUnderstood):
                    log.info("message-not-understood", server=self.server, kind=message.kind)
                    self.send(message)
                else:
                    self._events.put(ServerMessage(self, message))
        session.end()
