"""A connection of a fake peer to an edge proxy, with the network delay simulated at the peer's end.

Rows are recorded when bytes pass through the socket. The delay is added between the socket and the peer, so
that the recorded times are those at the edge proxy and not those in a distant region.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import trio

from valverouter.fakes.environment import Environment
from valverouter.signalling.framing import ProtocolError
from valverouter.signalling.greeting import Session
from valverouter.signalling.traffic_record import ConnectionLostRow

RECEIVE_BYTES = 65_536


class FakePeerConnection:
    """One connection; received messages are passed to `on_message` after the delay.

    `peer_name`: the fake's name in the record. `delay` returns the one-way delay in ns by the edge proxy's
    name. `drop_on` is called for each message, with whether this end sends it; if it returns true, the
    connection is closed before the message is sent or after it was received. While `reading_allowed` is not
    set, the peer reads nothing; `byte_interval` (seconds between bytes) makes it send slowly. `error`: the
    edge proxy's protocol error, if any.
    """

    def __init__(
        self,
        stream: trio.abc.Stream,
        session: Session,
        environment: Environment,
        peer_name: str,
        on_message: Callable[[FakePeerConnection, Any], None],
        delay: Callable[[str], int] = lambda edge_name: 0,
    ) -> None:
        self.edge_name = ""
        self.session = session
        self.drop_on: Callable[[bool, Any], bool] = lambda sent, message: False
        self.reading_allowed = trio.Event()
        self.reading_allowed.set()
        self.byte_interval = 0.0
        self.error: ProtocolError | None = None
        self._scope = trio.CancelScope()
        self._stream = stream
        self._recorder = environment.recorder
        self._scheduler = environment.scheduler
        self._peer_name = peer_name
        self._on_message = on_message
        self._delay = delay
        self._send_queue: list[Any] = []
        self._send_queued = trio.Event()
        # Times at which the peer receives and sends its last message: a shorter delay does not overtake it.
        self._last_receive_at = self._last_send_at = 0

    def send(self, message: Any, delayed: bool = True) -> None:
        """Sends a message to the edge proxy; it is written to the socket after the delay, in order."""
        delay = self._delay(self.edge_name) if delayed else 0
        self._last_send_at = max(self._last_send_at, self._scheduler.now() + delay)
        self._scheduler.call_at(self._last_send_at, lambda: self._enqueue(message))

    def _enqueue(self, message: Any) -> None:
        self._send_queue.append(message)
        self._send_queued.set()

    def close(self) -> None:
        """Closes the connection immediately."""
        self._scope.cancel()

    async def run(self) -> None:
        """Reads and writes until either end closes the connection, or violates the protocol."""
        try:
            with self._scope:
                try:
                    await self._exchange()
                except* (trio.BrokenResourceError, trio.ClosedResourceError):
                    pass
        finally:
            # Also when the run is cancelled, so that the edge proxy sees the connection close immediately.
            self._recorder.record(ConnectionLostRow, edge=self.edge_name, peer=self._peer_name)
            with trio.CancelScope(shield=True):
                await trio.aclose_forcefully(self._stream)

    async def _exchange(self) -> None:
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._write)
            if self.session.is_client:
                await self._stream.send_all(self.session.hello_frame())
            await self._read()
            nursery.cancel_scope.cancel()

    async def _read(self) -> None:
        try:
            while data := await self._stream.receive_some(RECEIVE_BYTES):
                for message in self.session.receive(data):
                    if not self._receive(message):
                        return
                await self.reading_allowed.wait()
        except ProtocolError as error:
            self.error = error
            await self._stream.send_all(self.session.error_frame(error))

    def _receive(self, message: Any) -> bool:
        """Records and dispatches a received message; returns whether the connection is still open."""
        self.edge_name = self.session.peer or self.edge_name
        self._recorder.record_message(self.edge_name, self._peer_name, False, message)
        if self.drop_on(False, message):
            self.close()
            return False
        self._last_receive_at = max(
            self._last_receive_at, self._scheduler.now() + self._delay(self.edge_name)
        )
        self._scheduler.call_at(self._last_receive_at, lambda: self._on_message(self, message))
        return True

    async def _write(self) -> None:
        while True:
            while not self._send_queue:
                self._send_queued = trio.Event()
                await self._send_queued.wait()
            message = self._send_queue.pop(0)
            if self.drop_on(True, message):
                self.close()
                return
            try:
                data = self.session.send(message)
            except ProtocolError:
                continue  # A message that closed the leg arrived in the meantime.
            self._recorder.record_message(self.edge_name, self._peer_name, True, message)
            await self._send_bytes(data)

    async def _send_bytes(self, data: bytes) -> None:
        if not self.byte_interval:
            await self._stream.send_all(data)
            return
        for byte in data:
            await self._stream.send_all(bytes([byte]))
            await trio.sleep(self.byte_interval)
