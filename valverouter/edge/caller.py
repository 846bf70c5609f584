"""Callers' connections: their dialogs in, provisional and final answers out."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass
from typing import Any

import msgspec
import structlog
import trio

from valverouter.config.edge import LinkConfig
from valverouter.edge.connections import isolate_failure, receive_by, send_farewell
from valverouter.edge.queues import EventQueue, SendBatch, SendQueue, SendQueueFullError
from valverouter.edge.runtime import READ_SIZE
from valverouter.signalling import setup
from valverouter.signalling.framing import ProtocolError
from valverouter.signalling.greeting import Hello, NotUnderstood, Welcome
from valverouter.signalling.setup import SetupSession

log = structlog.get_logger()


@dataclass(frozen=True, slots=True)
class CallerMessage:
    """A caller asks: Setup, Cancel or Release. `received_at`: when its last byte was
    read, 0: with its turn."""

    caller: CallerConnection
    message: setup.LegMessage
    received_at: int = 0


@dataclass(frozen=True, slots=True)
class CallerDisconnected:
    """A caller's connection is gone: nobody is left to hear the answers to its dialogs."""

    caller: CallerConnection


class CallerConnection:
    """One caller's connection. `dialogs` are its open and established ones; each leaves when it is over.

    `pending_setups` counts its set-ups that were read and have not been handled, by dialog;
    `cancelled_setups` are those of them that it cancelled meanwhile. Both leave when the set-up is handled.
    """

    def __init__(
        self,
        stream: trio.abc.Stream,
        config: LinkConfig,
        events: EventQueue,
        welcome: Welcome,
        batch: SendBatch | None = None,
    ) -> None:
        self.dialogs: set[str] = set()
        self.pending_setups: Counter[str] = Counter()
        self.cancelled_setups: set[str] = set()
        self.name = ""
        self._has_ended = False
        self._stream = stream
        self._config = config
        self._events = events
        self._welcome = welcome
        self._session = SetupSession(max_open_legs=config.open_dialogs)
        self._send_queue = SendQueue(config.waiting_bytes, batch)
        self._scope = trio.CancelScope()

    @property
    def can_resume(self) -> bool:
        """Whether it may come back for its dialogs, by our welcome and its protocol version."""
        return self._welcome.epoch > 0 and self._session.version >= 2

    @property
    def is_reachable(self) -> bool:
        """Whether somebody may still wait for its dialogs.

        Asked where an attempt begins: a close may lie behind bytes that nobody has read yet, or wait in the
        kernel while this process is busy.
        """
        return self.can_resume or not (self.is_closed or getattr(self._stream, "peer_has_closed", False))

    @property
    def is_closed(self) -> bool:
        """Whether this connection is over, as far as its reader knows."""
        return self._has_ended or self._scope.cancel_called

    def enqueue(self, message: setup.LegMessage, received_at: int = 0) -> None:
        """Queues a message of this caller as an event.

        A cancel does not wait behind the others, nor is the dialog's own set-up then handled as if nothing
        had been said.
        """
        if isinstance(message, setup.Setup):
            self.pending_setups[message.dialog] += 1
        elif isinstance(message, setup.Cancel):
            if message.dialog in self.pending_setups:
                self.cancelled_setups.add(message.dialog)
            if message.dialog in self.dialogs:
                self._events.put_cancellation(CallerMessage(self, message, received_at))
                return
        self._events.put(CallerMessage(self, message, received_at))

    def begin_setup(self, dialog_id: str) -> bool:
        """A set-up of this caller is handled; whether it is still wanted."""
        is_wanted = dialog_id not in self.cancelled_setups
        self.pending_setups[dialog_id] -= 1
        if self.pending_setups[dialog_id] <= 0:
            del self.pending_setups[dialog_id]
            self.cancelled_setups.discard(dialog_id)
        return is_wanted

    def send(self, message: Any) -> None:
        """Queues an answer; a caller that reads too slowly to take it loses its connection."""
        if self._scope.cancel_called:
            return
        try:
            self._send_queue.put(self._session.send(message))
        except SendQueueFullError as error:
            log.warning("caller-too-slow", caller=self.name, why=str(error))
            self._scope.cancel()

    def expire(self, dialog_id: str, leg: int) -> None:
        """The caller's time for this dialog has passed: both sides drop it without a message."""
        self._session.drop((dialog_id, leg))

    def refuse(self, error: ProtocolError) -> None:
        """What this connection asked for can't be: it ends with one clear error."""
        log.warning("caller-refused", caller=self.name, code=error.code, why=str(error))
        self._send_queue.put(self._session.error_frame(error), on_sent=self._scope.cancel)

    async def run(self) -> None:
        """Serves until either side ends; whatever happens here costs this connection alone."""
        with isolate_failure("caller", lambda: self.name), self._scope:
            async with self._stream as stream, trio.open_nursery() as nursery:
                nursery.start_soon(self._write, stream)
                try:
                    await self._read(stream)
                except ProtocolError as error:
                    await self._on_protocol_error(stream, error)
                except (trio.BrokenResourceError, trio.ClosedResourceError):
                    pass
                except trio.TooSlowError:
                    self._on_silent()
                self._has_ended = True
                nursery.cancel_scope.cancel()
        self._has_ended = True
        self._scope.cancel()
        self._events.put_cancellation(CallerDisconnected(self))

    def _on_silent(self) -> None:
        log.warning("caller-silent", why="no hello in time")

    async def _on_protocol_error(self, stream: trio.abc.Stream, error: ProtocolError) -> None:
        """Sends the last message to a caller that broke the protocol."""
        log.warning("caller-refused", caller=self.name, code=error.code, why=str(error))
        await send_farewell(stream, self._session, error)

    async def _write(self, stream: trio.abc.Stream) -> None:
        try:
            await self._send_queue.run(stream)
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            self._scope.cancel()

    async def _read(self, stream: trio.abc.Stream) -> None:
        deadline = trio.current_time() + self._config.hello_within / 1e9
        while data := await receive_by(stream, READ_SIZE, deadline):
            # Before its messages are taken apart: ten thousand callers' reads at once would each go past the
            # bound by hundreds of events, here they hold their bytes.
            await self._events.wait_for_space()
            for message in self._session.receive(data):
                if isinstance(message, Hello):
                    deadline = float("inf")
                    self.name = message.name
                    self.send(msgspec.structs.replace(self._welcome, version=self._session.version))
                elif isinstance(message, NotUnderstood):
                    self.send(message)
                else:
                    self.enqueue(message)
        self._session.end()


class DetachedCaller(CallerConnection):
    """Stands in for a caller whose connection is gone and that may come back.

    What it is sent goes nowhere, and is sent again when it asks.
    """

    def __init__(self, name: str, back_by: int) -> None:
        self.dialogs = set()
        self.pending_setups = Counter()
        self.cancelled_setups = set()
        self.name = name
        self.resume_deadline = back_by

    @property
    def can_resume(self) -> bool:
        """It may come back."""
        return True

    @property
    def is_reachable(self) -> bool:
        """Its dialogs go on until it has had its time to come back."""
        return True

    def send(self, message: Any) -> None:
        """Nobody is there to read it."""

    def expire(self, dialog_id: str, leg: int) -> None:
        """There is no connection to drop the dialog from."""
