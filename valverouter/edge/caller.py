"""Callers' connections: read set-ups, cancels and releases; send provisional and final answers."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass
from typing import Any

import msgspec
import structlog
import trio

from valverouter.config.edge import LinkConfig
from valverouter.edge.connections import isolate_failure, receive_by, send_error
from valverouter.edge.event_queue import EventQueue
from valverouter.edge.runtime import READ_SIZE
from valverouter.edge.send_queue import SendBatch, SendQueue, SendQueueFullError
from valverouter.signalling import setup
from valverouter.signalling.framing import ProtocolError
from valverouter.signalling.greeting import Hello, NotUnderstood, Welcome
from valverouter.signalling.setup import SetupSession

log = structlog.get_logger()


@dataclass(frozen=True, slots=True)
class CallerMessage:
    """A Setup, Cancel or Release of a caller.

    `received_at` is when its last byte was read; 0 means that it counts as received in the turn that
    handles it.
    """

    caller: CallerConnection
    message: setup.LegMessage
    received_at: int = 0


@dataclass(frozen=True, slots=True)
class CallerDisconnected:
    """A caller's connection was lost: answers to its dialogs can no longer be delivered."""

    caller: CallerConnection


class CallerConnection:
    """One caller's connection. `dialogs` holds its open and established dialogs.

    `pending_setups` counts, by dialog, the set-ups that were read but not yet handled; `cancelled_setups`
    holds the dialogs among them that the caller has cancelled since. Entries of both are removed when the
    set-up is handled. `queued_cancels` holds the open dialogs whose cancel is queued: repeated ones are not.
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
        self.queued_cancels: set[str] = set()
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
        """Whether the caller may reconnect and resume its dialogs.

        That requires an epoch in our welcome and version 2 of the protocol.
        """
        return self._welcome.epoch > 0 and self._session.version >= 2

    @property
    def is_reachable(self) -> bool:
        """Whether the caller may still be waiting for its dialogs.

        Checked before each attempt: the connection may already be closed by the peer without its reader
        knowing, if the close is queued behind unread bytes or in the kernel while this process is busy.
        """
        return self.can_resume or not (self.is_closed or getattr(self._stream, "peer_has_closed", False))

    @property
    def is_closed(self) -> bool:
        """Whether this connection has ended, as far as its reader knows."""
        return self._has_ended or self._scope.cancel_called

    def enqueue(self, message: setup.LegMessage, received_at: int = 0) -> None:
        """Queues a message of this caller as an event.

        A cancel is queued ahead of regular events. If the dialog's set-up is itself still queued, the cancel
        is noted, so that the set-up starts no attempt.
        """
        if isinstance(message, setup.Setup):
            self.pending_setups[message.dialog] += 1
        elif isinstance(message, setup.Cancel):
            if message.dialog in self.pending_setups:
                self.cancelled_setups.add(message.dialog)
            if message.dialog in self.dialogs:
                if message.dialog not in self.queued_cancels:
                    self.queued_cancels.add(message.dialog)
                    self._events.put_cancellation(CallerMessage(self, message, received_at))
                return
        self._events.put_request(self, CallerMessage(self, message, received_at))

    def begin_setup(self, dialog_id: str) -> bool:
        """Marks a set-up of this caller as handled; returns False if it has been cancelled."""
        is_wanted = dialog_id not in self.cancelled_setups
        self.pending_setups[dialog_id] -= 1
        if self.pending_setups[dialog_id] <= 0:
            del self.pending_setups[dialog_id]
            self.cancelled_setups.discard(dialog_id)
        return is_wanted

    def send(self, message: Any) -> None:
        """Queues an answer; closes the connection if the caller reads too slowly and the queue is full."""
        if self._scope.cancel_called:
            return
        try:
            self._send_queue.put(self._session.send(message))
        except SendQueueFullError as error:
            log.warning("caller-too-slow", caller=self.name, why=str(error))
            self._scope.cancel()

    def expire(self, dialog_id: str, leg: int) -> None:
        """Drops a dialog whose caller's deadline has passed; the caller drops it too, without a message."""
        self._session.drop((dialog_id, leg))

    def refuse(self, error: ProtocolError) -> None:
        """Closes the connection after an Error message, because of a request that can't be served."""
        log.warning("caller-refused", caller=self.name, code=error.code, why=str(error))
        self._send_queue.put(self._session.error_frame(error), on_sent=self._scope.cancel)

    async def run(self) -> None:
        """Serves the connection until either side closes it; a failure affects this connection only."""
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
                    self._on_read_timeout()
                self._has_ended = True
                nursery.cancel_scope.cancel()
        self._has_ended = True
        self._scope.cancel()
        self._events.put_cancellation(CallerDisconnected(self))

    def _on_read_timeout(self) -> None:
        log.warning("caller-silent", why="no hello in time")

    async def _on_protocol_error(self, stream: trio.abc.Stream, error: ProtocolError) -> None:
        """Sends an Error message to a caller that violated the protocol."""
        log.warning("caller-refused", caller=self.name, code=error.code, why=str(error))
        await send_error(stream, self._session, error)

    async def _write(self, stream: trio.abc.Stream) -> None:
        try:
            await self._send_queue.run(stream)
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            self._scope.cancel()

    async def _read(self, stream: trio.abc.Stream) -> None:
        deadline = trio.current_time() + self._config.hello_within / 1e9
        while data := await receive_by(stream, READ_SIZE, deadline):
            for message in self._session.receive(data):
                if isinstance(message, Hello):
                    deadline = float("inf")
                    self.name = message.name
                    self.send(msgspec.structs.replace(self._welcome, version=self._session.version))
                elif isinstance(message, NotUnderstood):
                    self.send(message)
                else:
                    self.enqueue(message)
                if not self._events.may_request(self):
                    # Waits before the next message is decoded: one read may hold thousands.
                    await self._events.wait_for_request_space(self)
        self._session.end()


class DetachedCaller(CallerConnection):
    """Takes the place of a disconnected caller that may reconnect.

    Messages to it are discarded; the caller gets them when it reconnects and resumes its dialogs.
    """

    def __init__(self, name: str, resume_deadline: int) -> None:
        self.dialogs = set()
        self.pending_setups = Counter()
        self.cancelled_setups = set()
        self.queued_cancels = set()
        self.name = name
        self.resume_deadline = resume_deadline

    @property
    def can_resume(self) -> bool:
        """Always true: a detached caller may reconnect until `resume_deadline`."""
        return True

    @property
    def is_reachable(self) -> bool:
        """Always true: its dialogs continue until `resume_deadline`."""
        return True

    def send(self, message: Any) -> None:
        """Discards the message: there is no connection."""

    def expire(self, dialog_id: str, leg: int) -> None:
        """Does nothing: there is no session that tracks the dialog."""
