"""A stand-in setup server: valverouter.servermodel behind the set-up protocol."""

from __future__ import annotations

import random
from collections.abc import Callable
from functools import partial
from typing import Any

import trio

from valverouter.fakes.connection import FakePeerConnection, Network, Scheduler
from valverouter.servermodel.events import LegKey, ServerEvent, ServerEventKind
from valverouter.servermodel.server import SetupServer
from valverouter.signalling import setup
from valverouter.signalling.greeting import Hello, NotUnderstood, Welcome
from valverouter.signalling.tap import ServerStartedRow, Tap

# So long a leg that is on record at its edge proxy outlives the connection, for that one to come back.
KEEPS = 10_000_000_000

ANSWERS: dict[ServerEventKind, Callable[[str, int, setup.Load, int], Any]] = {
    ServerEventKind.ESTABLISHED: lambda dialog, leg, load, wait: setup.Stands(dialog, leg, report=load),
    ServerEventKind.ENDED: lambda dialog, leg, load, wait: setup.Ended(dialog, leg, "over", load),
    ServerEventKind.CUT: lambda dialog, leg, load, wait: setup.Ended(dialog, leg, "cut", load),
    ServerEventKind.LINE_BUSY: lambda dialog, leg, load, wait: setup.LineBusy(dialog, leg, load),
    ServerEventKind.FULL: lambda dialog, leg, load, wait: setup.Full(dialog, leg, wait, load),
    ServerEventKind.NO_AGENT: lambda dialog, leg, load, wait: setup.NoAgent(dialog, leg, load),
    ServerEventKind.FAULT: lambda dialog, leg, load, wait: setup.Fault(dialog, leg, "cut", load),
    ServerEventKind.CANCELLED: lambda dialog, leg, load, wait: setup.Cancelled(dialog, leg, load),
    ServerEventKind.PROVISIONAL: lambda dialog, leg, load, wait: setup.Provisional(dialog, leg),
}


class FakeServer:
    """One process at a time behind a name and an address. `wires` holds the connections that are up."""

    def __init__(
        self,
        name: str,
        address: str,
        model: SetupServer,
        place: Network,
        tap: Tap,
        agenda: Scheduler,
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
        self.connections: list[FakePeerConnection] = []
        self._serials: dict[FakePeerConnection, int] = {}
        self._served = 0
        # Connections that have been sent their welcome.
        self._greeted: set[FakePeerConnection] = set()
        # The latest start of each edge proxy that keeps a ledger; one entry for each of a day's.
        self._epochs: dict[str, int] = {}
        # Legs that outlive their connection, by edge proxy, dialog and leg: their name in the model and the
        # connection that they are on now. Each leaves with its end.
        self._kept: dict[LegKey, tuple[LegKey, FakePeerConnection | None]] = {}
        # Ends of such legs that found nobody connected: told when asked for, else they leave in time.
        self._untold: dict[LegKey, ServerEvent] = {}
        self.refused_edges: set[str] = set()
        self.is_silent = False
        self.on_connection: Callable[[FakePeerConnection], None] = lambda wire: None
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
        if self.model.is_running:
            report = setup.Reported(self._load(self._agenda.now()))
            for wire in self.connections:
                # Its hello may be read and not answered: a report ahead of the welcome breaks the protocol.
                if wire in self._greeted:
                    wire.send(report)

    async def _listen(self, task_status: trio.TaskStatus[str] = trio.TASK_STATUS_IGNORED) -> None:
        self._closed = trio.Event()
        try:
            with trio.CancelScope() as self._listening:
                await self._place.serve(self.address, self._serve, task_status)
        finally:
            self._closed.set()

    async def _serve(self, stream: trio.abc.Stream) -> None:
        wire = FakePeerConnection(
            stream, setup.SetupSession(), self._tap, self._agenda, self.name, self._heard, self._delay
        )
        self.connections.append(wire)
        self._served += 1
        self._serials[wire] = self._served
        self.on_connection(wire)
        try:
            await wire.run()
        finally:
            self._lost(wire)

    def _lost(self, wire: FakePeerConnection) -> None:
        self.connections.remove(wire)
        self._greeted.discard(wire)
        now, kept = self._agenda.now(), {name for name, _ in self._kept.values()}
        self.model.on_connection_lost(now, self._peer(wire), kept)
        for leg, (name, on) in list(self._kept.items()):
            if on is wire:
                self._kept[leg] = name, None
                self._agenda.call_at(now + KEEPS, lambda leg=leg, name=name: self._forsake(leg, name))  # type: ignore[misc]
        del self._serials[wire]
        self.deliver_events()

    def _forsake(self, leg: LegKey, name: LegKey) -> None:
        if self._kept.get(leg) == (name, None):
            del self._kept[leg]
            self.model.abandon(self._agenda.now(), name)
            self.deliver_events()

    def _forgets(self, leg: LegKey) -> None:
        self._untold.pop(leg, None)

    def _welcomed(self, wire: FakePeerConnection, hello: Hello, now: int) -> None:
        """A later start of an edge proxy fences off the former one: what that still sends is not heard, and
        what was under way there is given up before the new one can ask for it."""
        if hello.epoch < self._epochs.get(wire.edge_name, 0):
            wire.close()
            return
        self._epochs[wire.edge_name] = hello.epoch
        former = [one for one in self.connections if one.edge_name == wire.edge_name and one is not wire]
        for one in former if hello.epoch else ():
            one.close()
            kept = {name for name, _ in self._kept.values()}
            self.model.on_connection_lost(now, self._peer(one), kept)
        self._greeted.add(wire)
        age = max(0, now - self.model.started_at)
        wire.send(Welcome(wire.session.version, self.name, self.incarnation, age))

    def _resumed(self, wire: FakePeerConnection, leg: LegKey) -> None:
        self.model.on_resume_request(self._agenda.now())
        name = self._kept.get(leg, (leg, None))[0]
        if (ended := self._untold.pop(leg, None)) is not None:
            wire.send(setup.Stands(leg[1], leg[2], report=self._load(self._agenda.now())))
            self._tell(wire, ended, self._agenda.now())
            return
        if leg not in self._kept or name not in self.model.legs:
            wire.send(setup.Unknown(leg[1], leg[2]))
            return
        self._kept[leg] = name, wire
        wire.send(setup.Stands(leg[1], leg[2], report=self._load(self._agenda.now())))

    def _peer(self, wire: FakePeerConnection) -> str:
        return f"{wire.edge_name}#{self._serials[wire]}"

    def _heard(self, wire: FakePeerConnection, message: Any) -> None:
        now = self._agenda.now()
        if wire not in self.connections or not self.model.is_running:
            return
        if isinstance(message, Hello):
            if wire.edge_name in self.refused_edges:
                wire.close()
                return
            self._welcomed(wire, message, now)
            return
        if isinstance(message, NotUnderstood):
            wire.send(message)
            return
        leg = (wire.edge_name, message.dialog, message.leg)
        if isinstance(message, setup.Resume):
            self._resumed(wire, leg)
            return
        key = self._kept[leg][0] if leg in self._kept else (self._peer(wire), message.dialog, message.leg)
        if isinstance(message, setup.Kept):
            if key in self.model.legs:
                self._kept[leg] = key, wire
        elif isinstance(message, setup.Setup):
            length = int(self._chance.expovariate(1) * self._mean_length(message.traffic_type))
            self.model.setup(now, key, message.called_number, length)
            if not self.model.is_running:
                self._fell()
        elif isinstance(message, setup.Cancel):
            self.model.cancel(now, key)
        elif isinstance(message, setup.Release):
            self.model.release(now, key)
        self.deliver_events()

    def deliver_events(self) -> None:
        """Tells what happened in the model by now, and comes back when it next has something to do."""
        now = self._agenda.now()
        by_peer = {self._peer(wire): wire for wire in self.connections}
        for happening in self.model.advance(now):
            peer, dialog, number = happening.key
            wire, leg = by_peer.get(peer), (peer.rpartition("#")[0], dialog, number)
            if self._kept and leg in self._kept and self._kept[leg][0] == happening.key:
                wire = self._kept.pop(leg)[1]
                if wire is None:
                    self._untold[leg] = happening
                    self._agenda.call_at(now + KEEPS, partial(self._forgets, leg))
            if wire is not None and not self.is_silent:
                self._tell(wire, happening, now)
        due = self.model.next_event_at()
        if due is not None and (self._due is None or due < self._due or self._due <= now):
            self._due = due
            self._agenda.call_at(due, self.deliver_events)

    def _tell(self, wire: FakePeerConnection, happening: ServerEvent, now: int) -> None:
        _, dialog, leg = happening.key
        wire.send(ANSWERS[happening.kind](dialog, leg, self._load(now), happening.retry_after))

    def _load(self, now: int) -> setup.Load:
        model = self.model
        return setup.Load(
            util=round(model.utilization(now), 3),
            queue=model.queued_setups,
            free_lines=model.free_lines if self._tells_lines else None,
            lines=model.line_count if self._tells_lines else None,
        )

    # Troubles

    def crash(self) -> None:
        """The process is gone: its connections break, its port refuses."""
        self._kept.clear()
        self._untold.clear()
        self.model.crash(self._agenda.now())
        self._fell()

    def _fell(self) -> None:
        self._listening.cancel()
        for wire in list(self.connections):
            wire.close()

    def vanish(self) -> None:
        """The machine is gone without a word: nothing is answered, nothing is closed."""
        self._kept.clear()
        self._untold.clear()
        self.model.crash(self._agenda.now())
        self.is_silent = True

    async def start(self) -> None:
        """A new process under the same name and address, cold."""
        self._fell()
        await self._closed.wait()
        now = self._agenda.now()
        self.is_silent = False
        self.model.start(now)
        if not self.model.is_running:
            return
        self.incarnation += 1
        self.record_start()
        assert self._nursery is not None
        await self._nursery.start(self._listen)

    def record_start(self) -> None:
        self._tap.record(ServerStartedRow, server=self.name, **self.model.profile.slow_start_parameters())
