"""A stand-in list service: tells every edge proxy what the day's script says of the servers, late or
wrong."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import msgspec
import trio

from valverouter.fakes.connection import FakePeerConnection, Network, Scheduler
from valverouter.signalling.greeting import Hello, Welcome
from valverouter.signalling.serverlist import (
    Change,
    Leave,
    Left,
    ListSession,
    Permits,
    Register,
    Returns,
    Row,
    Watch,
)
from valverouter.signalling.tap import EndpointUpdateRow, Tap


class FakeEndpointList:
    """The service. Ages are reckoned at the moment of telling from `born`, when each server started."""

    def __init__(self, address: str, place: Network, tap: Tap, agenda: Scheduler, epoch: str = "e1") -> None:
        self.address = address
        self.register = Register(epoch)
        self.started_at: dict[str, int] = {}
        self.updates_to_drop = 0
        self.permits = Permits()
        # What a server's leave does, beside being answered.
        self.on_leave: Callable[[str], None] = lambda server: None
        self.watching_by_connection: dict[FakePeerConnection, bool] = {}
        self._place = place
        self._tap = tap
        self._agenda = agenda
        self._nursery: trio.Nursery | None = None
        self._listening = trio.CancelScope()

    async def run(self, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED) -> None:
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            self.address = await nursery.start(self._listen)
            task_status.started()
            await trio.sleep_forever()

    async def _listen(self, task_status: trio.TaskStatus[str] = trio.TASK_STATUS_IGNORED) -> None:
        with trio.CancelScope() as self._listening:
            await self._place.serve(self.address, self._serve, task_status)

    async def _serve(self, stream: trio.abc.Stream) -> None:
        wire = FakePeerConnection(stream, ListSession(), self._tap, self._agenda, "list", self._heard)
        self.watching_by_connection[wire] = False
        try:
            await wire.run()
        finally:
            del self.watching_by_connection[wire]

    def _heard(self, wire: FakePeerConnection, message: Any) -> None:
        if isinstance(message, Hello):
            wire.send(Welcome(wire.session.version, "list"))
        elif isinstance(message, Watch):
            self.watching_by_connection[wire] = True
            for answer in self.register.answer(message):
                self._tell(wire, answer)
        elif isinstance(message, Leave):
            why = self.permits.why_not(message)
            if not why and message.server not in self.register.rows:
                why = f"{message.server} is not on the list"
            if not why:
                self.on_leave(message.server)
            wire.send(Left(message.server, message.number, not why, why))
        elif isinstance(message, Returns):
            self.permits.over(message)
            wire.send(Left(message.server, message.number, True))

    def _tell(self, wire: FakePeerConnection, word: Any, late: bool = False) -> None:
        now = self._agenda.now()
        rows = [
            msgspec.structs.replace(row, age=now - self.started_at[row.server])
            if row.server in self.started_at
            else row
            for row in word.rows
        ]
        for row in rows if not late else ():
            self._tap.record(EndpointUpdateRow, edge=wire.edge_name, server=row.server, phase=row.phase)
        wire.send(msgspec.structs.replace(word, rows=rows))

    def announce(self, rows: list[Row]) -> None:
        """A change, to every edge proxy that watches; `skips` of them are lost on the way."""
        change: Change = self.register.change(rows)
        if self.updates_to_drop:
            self.updates_to_drop -= 1
            return
        for wire, watches in self.watching_by_connection.items():
            if watches:
                self._tell(wire, change)

    def announce_stale(self, number: int, rows: list[Row]) -> None:
        """A change whose number has gone by, as if delayed on the way: it tells nothing that still holds."""
        for wire, watches in self.watching_by_connection.items():
            if watches:
                self._tell(wire, Change(self.register.epoch, number, rows), late=True)

    def stop_listening(self) -> None:
        self._listening.cancel()
        for wire in list(self.watching_by_connection):
            wire.close()

    async def start_listening(self) -> None:
        assert self._nursery is not None
        await self._nursery.start(self._listen)
