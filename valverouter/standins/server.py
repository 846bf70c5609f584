"""A stand-in setup server: valverouter.servermodel behind the set-up protocol."""

from __future__ import annotations

import random
from collections.abc import Callable
from typing import Any

import trio

from valverouter.servermodel.server import Happening, Happens, SetupServer
from valverouter.signalling import setup
from valverouter.signalling.greeting import Hello, NotUnderstood, Welcome
from valverouter.signalling.tap import Began, Tap
from valverouter.standins.wires import Agenda, Place, Wire

ANSWERS: dict[Happens, Callable[[str, int, setup.Load, int], Any]] = {
    Happens.STANDS: lambda dialog, leg, load, wait: setup.Stands(dialog, leg, report=load),
    Happens.ENDED: lambda dialog, leg, load, wait: setup.Ended(dialog, leg, "over", load),
    Happens.CUT: lambda dialog, leg, load, wait: setup.Ended(dialog, leg, "cut", load),
    Happens.LINE_BUSY: lambda dialog, leg, load, wait: setup.LineBusy(dialog, leg, load),
    Happens.FULL: lambda dialog, leg, load, wait: setup.Full(dialog, leg, wait, load),
    Happens.NO_AGENT: lambda dialog, leg, load, wait: setup.NoAgent(dialog, leg, load),
    Happens.FAULT: lambda dialog, leg, load, wait: setup.Fault(dialog, leg, "cut", load),
    Happens.CANCELLED: lambda dialog, leg, load, wait: setup.Cancelled(dialog, leg, load),
    Happens.PROVISIONAL: lambda dialog, leg, load, wait: setup.Provisional(dialog, leg),
}


class ServerStandIn:
    """One process at a time behind a name and an address. `wires` holds the connections that are up."""

    def __init__(
        self,
        name: str,
        address: str,
        model: SetupServer,
        place: Place,
        tap: Tap,
        agenda: Agenda,
        chance: random.Random,
        mean_length: Callable[[str], int],
        delay: Callable[[str], int],
        tells_lines: bool = False,
        report_every: int = 0,
    ) -> None:
        self.name = name
        self.address = address
        self.model = model
        self.incarnation = 1
        self.wires: list[Wire] = []
        self._serials: dict[Wire, int] = {}
        self._served = 0
        self.refuses: set[str] = set()
        self.silent = False
        self.on_wire: Callable[[Wire], None] = lambda wire: None
        self._place = place
        self._tap = tap
        self._agenda = agenda
        self._chance = chance
        self._mean_length = mean_length
        self._delay = delay
        self._tells_lines = tells_lines
        self._report_every = report_every
        self._nursery: trio.Nursery | None = None
        self._listening = trio.CancelScope()
        self._closed = trio.Event()
        self._due: int | None = None

    async def run(self, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED) -> None:
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            self.address = await nursery.start(self._listen)
            task_status.started()
            while self._report_every:
                await trio.sleep(self._report_every * (0.9 + 0.2 * self._chance.random()) / 1e9)
                self._report()
            await trio.sleep_forever()

    def _report(self) -> None:
        if self.model.runs:
            report = setup.Reported(self._load(self._agenda.now()))
            for wire in self.wires:
                if wire.session.version:
                    wire.send(report)

    async def _listen(self, task_status: trio.TaskStatus[str] = trio.TASK_STATUS_IGNORED) -> None:
        self._closed = trio.Event()
        try:
            with trio.CancelScope() as self._listening:
                await self._place.serve(self.address, self._serve, task_status)
        finally:
            self._closed.set()

    async def _serve(self, stream: trio.abc.Stream) -> None:
        wire = Wire(
            stream, setup.SetupSession(), self._tap, self._agenda, self.name, self._heard, self._delay
        )
        self.wires.append(wire)
        self._served += 1
        self._serials[wire] = self._served
        self.on_wire(wire)
        try:
            await wire.run()
        finally:
            self.wires.remove(wire)
            self.model.peer_lost(self._agenda.now(), self._peer(wire))
            del self._serials[wire]
            self.stirred()

    def _peer(self, wire: Wire) -> str:
        return f"{wire.edge}#{self._serials[wire]}"

    def _heard(self, wire: Wire, message: Any) -> None:
        now = self._agenda.now()
        if wire not in self.wires or not self.model.runs:
            return
        if isinstance(message, Hello):
            if wire.edge in self.refuses:
                wire.cut()
                return
            age = max(0, now - self.model.started_at)
            wire.send(Welcome(wire.session.version, self.name, self.incarnation, age))
            return
        if isinstance(message, NotUnderstood):
            wire.send(message)
            return
        key = (self._peer(wire), message.dialog, message.leg)
        if isinstance(message, setup.Setup):
            length = int(self._chance.expovariate(1) * self._mean_length(message.traffic_type))
            self.model.setup(now, key, message.called_number, length)
            if not self.model.runs:
                self._fell()
        elif isinstance(message, setup.Cancel):
            self.model.cancel(now, key)
        elif isinstance(message, setup.Release):
            self.model.release(now, key)
        self.stirred()

    def stirred(self) -> None:
        """Tells what happened in the model by now, and comes back when it next has something to do."""
        now = self._agenda.now()
        by_peer = {self._peer(wire): wire for wire in self.wires}
        for happening in self.model.advance(now):
            if (wire := by_peer.get(happening.key[0])) is not None and not self.silent:
                self._tell(wire, happening, now)
        due = self.model.due()
        if due is not None and (self._due is None or due < self._due or self._due <= now):
            self._due = due
            self._agenda.at(due, self.stirred)

    def _tell(self, wire: Wire, happening: Happening, now: int) -> None:
        _, dialog, leg = happening.key
        wire.send(ANSWERS[happening.what](dialog, leg, self._load(now), happening.asked_wait))

    def _load(self, now: int) -> setup.Load:
        model = self.model
        return setup.Load(
            util=round(model.util(now), 3),
            queue=model.queue,
            free_lines=model.free_lines if self._tells_lines else None,
            lines=model.lines if self._tells_lines else None,
        )

    # Troubles

    def crash(self) -> None:
        """The process is gone: its connections break, its port refuses."""
        self.model.crash(self._agenda.now())
        self._fell()

    def _fell(self) -> None:
        self._listening.cancel()
        for wire in list(self.wires):
            wire.cut()

    def vanish(self) -> None:
        """The machine is gone without a word: nothing is answered, nothing is closed."""
        self.model.crash(self._agenda.now())
        self.silent = True

    async def start(self) -> None:
        """A new process under the same name and address, cold."""
        self._fell()
        await self._closed.wait()
        now = self._agenda.now()
        self.silent = False
        self.model.start(now)
        if not self.model.runs:
            return
        self.incarnation += 1
        self.began()
        assert self._nursery is not None
        await self._nursery.start(self._listen)

    def began(self) -> None:
        self._tap.row(Began, server=self.name, **self.model.make.cold_terms())
