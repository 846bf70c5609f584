"""What the stand-ins share: a peer's connection with network delay at its own end, and where streams come
from.

Rows are written when bytes pass the socket; the delay lies behind it, so that the record shows the edge's own
moments and not those of a distant region.
"""

from __future__ import annotations

import heapq
from collections.abc import Awaitable, Callable
from typing import Any, Protocol

import trio

from valverouter.signalling.framing import ProtocolError
from valverouter.signalling.greeting import Session
from valverouter.signalling.tap import ConnectionLostRow, Tap

Handler = Callable[[trio.abc.Stream], Awaitable[object]]


class Network(Protocol):
    """Where streams come from; sockets, or memory in virtual time."""

    async def connect(self, address: str) -> trio.abc.Stream: ...

    async def serve(self, address: str, handler: Handler, task_status: trio.TaskStatus[str]) -> None: ...


class Scheduler:
    """Acts at their times, one task for all of them. Emptied as they come."""

    def __init__(self, now: Callable[[], int]) -> None:
        self.now = now
        self._heap: list[tuple[int, int, Callable[[], None]]] = []
        self._serial = 0
        self._stirred = trio.Event()

    def call_at(self, at: int, act: Callable[[], None]) -> None:
        self._serial += 1
        heapq.heappush(self._heap, (at, self._serial, act))
        self._stirred.set()

    async def run(self) -> None:
        while True:
            now = self.now()
            if self._heap and self._heap[0][0] <= now:
                heapq.heappop(self._heap)[2]()
                continue
            self._stirred = trio.Event()
            with trio.move_on_after((self._heap[0][0] - now) / 1e9 if self._heap else float("inf")):
                await self._stirred.wait()


class FakePeerConnection:
    """One connection at a stand-in's end; what is heard goes to `heard`, after the delay.

    `drop_on` is asked for each message that passes, with whether this end sends it: True cuts the line there,
    before it leaves or after it came. `reads` and `byte_gap` make a peer that does not read, or trickles.
    """

    def __init__(
        self,
        stream: trio.abc.Stream,
        session: Session,
        tap: Tap,
        agenda: Scheduler,
        name: str,
        heard: Callable[[FakePeerConnection, Any], None],
        delay: Callable[[str], int] = lambda edge: 0,
    ) -> None:
        self.edge_name = ""
        self.session = session
        self.drop_on: Callable[[bool, Any], bool] = lambda sent, message: False
        self.reading_allowed = trio.Event()
        self.reading_allowed.set()
        self.byte_interval = 0.0
        self.error: ProtocolError | None = None
        self.scope = trio.CancelScope()
        self._stream = stream
        self._tap = tap
        self._agenda = agenda
        self._name = name
        self._heard = heard
        self._delay = delay
        self._out: list[Any] = []
        self._stirred = trio.Event()
        self._last_in = self._last_out = 0

    def send(self, message: Any, delayed: bool = True) -> None:
        """Towards the edge; it passes the socket after the delay, in order."""
        self._last_out = max(
            self._last_out, self._agenda.now() + (self._delay(self.edge_name) if delayed else 0)
        )
        self._agenda.call_at(self._last_out, lambda: self._leaves(message))

    def _leaves(self, message: Any) -> None:
        self._out.append(message)
        self._stirred.set()

    def close(self) -> None:
        self.scope.cancel()

    async def run(self) -> None:
        """Until either end closes, or the protocol is broken (then `error` says how)."""
        try:
            with self.scope:
                try:
                    async with trio.open_nursery() as nursery:
                        nursery.start_soon(self._write)
                        if self.session.asking:
                            await self._stream.send_all(self.session.opening())
                        await self._read()
                        nursery.cancel_scope.cancel()
                except* (trio.BrokenResourceError, trio.ClosedResourceError):
                    pass
        finally:
            # Also where the whole process is taken down round us: a peer sees its connection break at once.
            self._tap.record(ConnectionLostRow, edge=self.edge_name, peer=self._name)
            with trio.CancelScope(shield=True):
                await trio.aclose_forcefully(self._stream)

    async def _read(self) -> None:
        try:
            while data := await self._stream.receive_some(65_536):
                for message in self.session.receive(data):
                    self.edge_name = self.session.peer or self.edge_name
                    self._tap.record_message(self.edge_name, self._name, False, message)
                    if self.drop_on(False, message):
                        self.close()
                        return
                    self._last_in = max(self._last_in, self._agenda.now() + self._delay(self.edge_name))
                    self._agenda.call_at(self._last_in, lambda message=message: self._heard(self, message))  # type: ignore[misc]
                await self.reading_allowed.wait()
        except ProtocolError as error:
            self.error = error
            await self._stream.send_all(self.session.farewell(error))

    async def _write(self) -> None:
        while True:
            while not self._out:
                self._stirred = trio.Event()
                await self._stirred.wait()
            message = self._out.pop(0)
            if self.drop_on(True, message):
                self.close()
                return
            try:
                data = self.session.send(message)
            except ProtocolError:
                continue  # it crossed what closed the leg
            self._tap.record_message(self.edge_name, self._name, True, message)
            if not self.byte_interval:
                await self._stream.send_all(data)
                continue
            for byte in data:
                await self._stream.send_all(bytes([byte]))
                await trio.sleep(self.byte_interval)
