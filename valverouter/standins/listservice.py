"""A stand-in list service: tells every edge proxy what the day's script says of the servers, late or
wrong."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import msgspec
import trio

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
from valverouter.signalling.tap import Tap, Told
from valverouter.standins.wires import Agenda, Place, Wire


class ListStandIn:
    """The service. Ages are reckoned at the moment of telling from `born`, when each server started."""

    def __init__(self, address: str, place: Place, tap: Tap, agenda: Agenda, epoch: str = "e1") -> None:
        self.address = address
        self.register = Register(epoch)
        self.born: dict[str, int] = {}
        self.skips = 0
        self.permits = Permits()
        # What a server's leave does, beside being answered.
        self.leaves: Callable[[str], None] = lambda server: None
        self.wires: dict[Wire, bool] = {}
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
        wire = Wire(stream, ListSession(), self._tap, self._agenda, "list", self._heard)
        self.wires[wire] = False
        try:
            await wire.run()
        finally:
            del self.wires[wire]

    def _heard(self, wire: Wire, message: Any) -> None:
        if isinstance(message, Hello):
            wire.send(Welcome(wire.session.version, "list"))
        elif isinstance(message, Watch):
            self.wires[wire] = True
            for answer in self.register.answer(message):
                self._tell(wire, answer)
        elif isinstance(message, Leave):
            why = self.permits.why_not(message)
            if not why and message.server not in self.register.rows:
                why = f"{message.server} is not on the list"
            if not why:
                self.leaves(message.server)
            wire.send(Left(message.server, message.number, not why, why))
        elif isinstance(message, Returns):
            self.permits.over(message)
            wire.send(Left(message.server, message.number, True))

    def _tell(self, wire: Wire, word: Any, late: bool = False) -> None:
        now = self._agenda.now()
        rows = [
            msgspec.structs.replace(row, age=now - self.born[row.server]) if row.server in self.born else row
            for row in word.rows
        ]
        for row in rows if not late else ():
            self._tap.row(Told, edge=wire.edge, server=row.server, phase=row.phase)
        wire.send(msgspec.structs.replace(word, rows=rows))

    def tell(self, rows: list[Row]) -> None:
        """A change, to every edge proxy that watches; `skips` of them are lost on the way."""
        change: Change = self.register.change(rows)
        if self.skips:
            self.skips -= 1
            return
        for wire, watches in self.wires.items():
            if watches:
                self._tell(wire, change)

    def tell_late(self, number: int, rows: list[Row]) -> None:
        """A change whose number has gone by, as if delayed on the way: it tells nothing that still holds."""
        for wire, watches in self.wires.items():
            if watches:
                self._tell(wire, Change(self.register.epoch, number, rows), late=True)

    def down(self) -> None:
        self._listening.cancel()
        for wire in list(self.wires):
            wire.cut()

    async def up(self) -> None:
        assert self._nursery is not None
        await self._nursery.start(self._listen)
