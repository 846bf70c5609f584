"""Links to setup servers: one connection each, made again with full-jitter waits while the list names it."""

from __future__ import annotations

from collections.abc import Callable, Hashable
from dataclasses import dataclass
from typing import Any

import structlog
import trio

from valverouter.edge.connections import isolate_failure, send_farewell
from valverouter.edge.queues import EventQueue, SendBatch, SendQueue, SendQueueFullError
from valverouter.edge.runtime import READ_SIZE, Runtime
from valverouter.signalling import setup
from valverouter.signalling.framing import ProtocolError
from valverouter.signalling.greeting import NEWEST, OLDEST, Hello, NotUnderstood, Welcome
from valverouter.signalling.setup import Provisional, SetupSession
from valverouter.terms.edge import Links

log = structlog.get_logger()

ReconnectDelay = Callable[[int], int]


@dataclass(frozen=True, slots=True)
class ServerMessage:
    """A server answers, or reports."""

    link: ServerLink
    message: setup.OfLeg | setup.Reported


@dataclass(frozen=True, slots=True)
class LinkUp:
    """A server's welcome: the link carries legs once the instance has heard who is there."""

    link: ServerLink
    welcome: Welcome


@dataclass(frozen=True, slots=True)
class LinkDown:
    """A link, or the attempt to make one, came to an end, with the legs that had left on it and those not."""

    link: ServerLink
    reason: str
    sent: frozenset[tuple[str, int]]
    unsent: frozenset[tuple[str, int]]


class ServerLink:
    """One server's link. `ready` once the instance has heard its welcome; `legs` are those out on it.

    Legs asked for while it connects wait in the outbox; while it waits to connect again, there is none to
    take them. The instance empties `legs` with their answers, and all at once when the link goes down.
    """

    def __init__(
        self,
        server: str,
        address: str,
        name: str,
        config: Links,
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
        # Set-ups asked for before the welcome: until then there is no version to write them in. Emptied by
        # it.
        self._early_attempts: dict[tuple[str, int], Any] = {}
        self._session: SetupSession | None = None
        self._send_queue: SendQueue | None = None
        self._connection = trio.CancelScope()
        self._close_reason = ""
        self._is_welcomed = False
        # When something was first sent that nothing has been heard since; None: nothing is asked.
        self._awaiting_since: float | None = None

    @property
    def is_final(self) -> bool:
        """Whether the word that it went down was its last."""
        return self.has_ended or not self.in_service

    def has_closed(self, key: tuple[str, int]) -> bool:
        """Whether its closing word was read on this connection already, and waits to be handled: nothing more
        may be sent of that leg."""
        return self._session is not None and self._is_welcomed and key not in self._session.legs

    @property
    def can_resume(self) -> bool:
        """Whether the server there can be asked for legs of a former connection."""
        return self._session is not None and self._session.version >= 2

    @property
    def is_up(self) -> bool:
        """Whether the instance has heard its welcome, and the connection stands."""
        return self._is_welcomed and self.is_writable

    @property
    def is_writable(self) -> bool:
        """Whether a frame put now may still leave on a connection that is up or being made."""
        return self._send_queue is not None and not self._close_reason

    def has_attempt(self, key: tuple[str, int]) -> bool:
        """Whether a leg of this name is still open here: its caller used an id again before its end came."""
        return key in self.attempts or (self._session is not None and key in self._session.legs)

    def start_attempt(self, key: tuple[str, int], message: Any) -> None:
        """A leg for this server; it may be withdrawn until the stream takes it."""
        self.attempts[key] = False
        if self._is_welcomed:
            self.send(message, key)
        else:
            self._early_attempts[key] = message

    def send(
        self, message: Any, key: Hashable | None = None, on_sent: Callable[[], None] | None = None
    ) -> None:
        """Queues a message. A peer that lets too much wait loses its connection, told as LinkDown."""
        assert self._session is not None
        assert self._send_queue is not None
        try:
            self._send_queue.put(self._session.send(message), key, on_sent)
        except SendQueueFullError as error:
            self.close(f"reads too slowly: {error}")
        if self._awaiting_since is None:
            self._awaiting_since = trio.current_time()

    def withdraw(self, key: tuple[str, int]) -> bool:
        """Takes back a set-up that has not left; whether it could be. It is out of `legs` then."""
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
        """The instance has heard the welcome: what was collected may leave."""
        if self._send_queue is None or self._session is None or not self._session.version:
            return  # that connection is gone already
        self._is_welcomed = True
        early, self._early_attempts = self._early_attempts, {}
        for key, message in early.items():
            self.send(message, key)

    def close(self, reason: str) -> None:
        self._close_reason = self._close_reason or reason
        self._connection.cancel()

    async def run(self) -> None:
        """Connects, serves, waits, connects again; ends when the list no longer wants it."""
        tries = 0
        while self.in_service:
            began = trio.current_time()
            why = "failed"
            with isolate_failure("link", lambda: self.server):
                why = await self._run_connection()
            tries = tries + 1 if trio.current_time() - began < 1 else 1
            self._on_down(why)
            if self.in_service:
                await trio.sleep(max(self._config.reconnect_least, self._reconnect_delay(tries)) / 1e9)
                if not self.in_service:
                    # Its server left the list during the wait: without a word the instance would keep this
                    # link, and take it for one that runs when the server comes back.
                    self._on_down("no longer listed")
        self.has_ended = True

    def _on_down(self, reason: str) -> None:
        # The legs go with the event: those put on the next connection before it is heard are not meant.
        outbox, legs, self.attempts = self._send_queue, self.attempts, {}
        unsent = frozenset(
            leg
            for leg in legs
            if leg in self._early_attempts or (outbox is not None and outbox.is_queued(leg))
        )
        self._send_queue, self._session, self._close_reason, self._is_welcomed = None, None, "", False
        self._awaiting_since = None
        self._early_attempts.clear()
        self._events.put(LinkDown(self, reason, frozenset(legs) - unsent, unsent))

    async def _run_connection(self) -> str:
        hello = Hello((OLDEST, NEWEST), "edge", self._name, self._epoch)
        self._close_reason = ""  # what was given up between two connections is not this one
        self._session = session = SetupSession(hello)
        self._send_queue = outbox = SendQueue(self._config.waiting_bytes, self._batch)
        self._connection = trio.CancelScope()
        why = "closed"
        with self._connection:
            try:
                with trio.fail_after(self._config.connect_within / 1e9):
                    stream = await self._runtime.connect(self.address)
            except (OSError, ValueError, OverflowError, trio.TooSlowError) as error:
                # ValueError, OverflowError: the list told an address that is none.
                return f"no connection: {error or type(error).__name__}"
            async with stream, trio.open_nursery() as nursery:
                try:
                    await stream.send_all(session.opening())
                    nursery.start_soon(self._write, outbox, stream)
                    nursery.start_soon(self._watch_silence)
                    await self._read(stream, session)
                except ProtocolError as error:
                    why = f"{error.code}: {error}"
                    await send_farewell(stream, session, error)
                except (trio.BrokenResourceError, trio.ClosedResourceError):
                    why = "reset"
                except trio.TooSlowError:
                    why = "no welcome in time"
                nursery.cancel_scope.cancel()
        return self._close_reason or why

    async def _write(self, outbox: SendQueue, stream: trio.abc.Stream) -> None:
        try:
            await outbox.run(stream)
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            self.close("reset")

    async def _watch_silence(self) -> None:
        """Gives up a link whose far side was asked and says nothing at all: half open, it would take legs for
        as long as the kernel goes on sending, a quarter of an hour or for good. Idle is not silent."""
        limit = self._config.silence / 1e9
        while True:
            asked_at = self._awaiting_since
            if asked_at is not None and trio.current_time() >= asked_at + limit:
                self.close(f"silent for {limit:g} s")
            await trio.sleep_until((trio.current_time() if asked_at is None else asked_at) + limit)

    async def _read(self, stream: trio.abc.Stream, session: SetupSession) -> None:
        with trio.fail_after(self._config.hello_within / 1e9) as patience:
            while data := await stream.receive_some(READ_SIZE):
                self._awaiting_since = None
                await self._events.wait_for_space()
                for message in session.receive(data):
                    if isinstance(message, Provisional):
                        continue  # checked by the session; it changes nothing here
                    if isinstance(message, Welcome):
                        patience.deadline = float("inf")
                        self._events.put(LinkUp(self, message))
                    elif isinstance(message, NotUnderstood):
                        log.info("message-not-understood", server=self.server, kind=message.kind)
                        self.send(message)
                    else:
                        self._events.put(ServerMessage(self, message))
            session.end()
