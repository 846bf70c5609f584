"""Emulated servers round `servermodel`, and the wires between them and the edge proxies."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from typing import Protocol

from valverouter.emulator.simulated import Chance, Simulated
from valverouter.interface import LoadReport, Outcome
from valverouter.servermodel.events import LegKey, ServerEvent, ServerEventKind
from valverouter.servermodel.server import SetupServer
from valverouter.signalling.tap import ConnectionLostRow, MessageRow, ServerStartedRow, Tap

# So long a leg that is on record at its edge proxy outlives the connection.
KEEPS = 10_000_000_000

OUTCOMES = {
    ServerEventKind.ESTABLISHED: (Outcome.ESTABLISHED, "stands"),
    ServerEventKind.ENDED: (Outcome.ENDED, "ended"),
    ServerEventKind.CUT: (Outcome.ENDED, "ended"),
    ServerEventKind.LINE_BUSY: (Outcome.LINE_BUSY, "line-busy"),
    ServerEventKind.FULL: (Outcome.FULL, "full"),
    ServerEventKind.NO_AGENT: (Outcome.NO_AGENT, "no-agent"),
    ServerEventKind.FAULT: (Outcome.FAULT, "fault"),
    ServerEventKind.CANCELLED: (Outcome.CANCELLED, "cancelled"),
}


class Answered(Protocol):
    """The edge's side of a wire."""

    name: str

    def answered(
        self,
        wire: Wire,
        dialog: str,
        leg: int,
        outcome: Outcome,
        asked_wait: int,
        report: LoadReport,
        word: str,
    ) -> None: ...

    def wire_down(self, wire: Wire) -> None: ...


class Wire:
    """One connection: words pass in order, each after a delay of its own. A row is written where the edge's
    end of it is, as the stand-ins do."""

    def __init__(self, edge: Answered, server: EmulatedServer, serial: int, delay: Callable[[], int]) -> None:
        self.edge = edge
        self.server = server
        self.peer = f"{edge.name}#{serial}"
        self.up = True
        self._delay = delay
        self._in = self._out = 0

    def asks(
        self, kind: str, dialog: str, leg: int, act: Callable[[int, LegKey], None], word: str = ""
    ) -> None:
        """Towards the server: a row now, and the act with the model when it arrives."""
        server = self.server
        sim = server.sim
        now = sim.now()
        server.row(now, self.edge.name, False, kind, dialog, leg, word)
        self._in = max(self._in, now + self._delay())
        sim.at(self._in, self._arrives, act, (self.peer, dialog, leg))

    def _arrives(self, act: Callable[[int, LegKey], None], key: LegKey) -> None:
        if self.up and self.server.model.is_running:
            act(self.server.sim.now(), key)
            if not self.server.model.is_running:
                self.server.fell()
            self.server.stirred()

    def tells(self, happening: ServerEvent) -> None:
        """Towards the edge: nothing is heard of what left before the wire went down and arrives after."""
        sim = self.server.sim
        self._out = max(self._out, sim.now() + self._delay())
        sim.at(self._out, self._heard, happening, self.server.load())

    def _heard(self, happening: ServerEvent, report: LoadReport) -> None:
        if not self.up:
            return
        _, dialog, leg = happening.key
        outcome, kind = OUTCOMES[happening.kind]
        word = "cut" if happening.kind is ServerEventKind.CUT else "over" if kind == "ended" else ""
        self.server.row(
            self.server.sim.now(), self.edge.name, True, kind, dialog, leg, word, happening.retry_after
        )
        self.edge.answered(self, dialog, leg, outcome, happening.retry_after, report, word)

    def cut(self, keeps: Sequence[LegKey] = ()) -> None:
        """The connection breaks; the legs to keep outlive it for a while, to be resumed on another."""
        if not self.up:
            return
        self.up = False
        server = self.server
        server.wires.pop(self.peer, None)
        server.tap.record(ConnectionLostRow, edge=self.edge.name, peer=server.name)
        server.keep(keeps)
        server.model.on_connection_lost(server.sim.now(), self.peer, server.kept)
        server.stirred()
        self.edge.wire_down(self)


class EmulatedServer:
    """One process at a time behind a name. `wires` by peer; each leaves with its connection."""

    def __init__(
        self,
        name: str,
        number: int,
        region: str,
        model: SetupServer,
        sim: Simulated,
        tap: Tap,
        lengths: Chance,
        mean_length: Callable[[str], int],
        tells_lines: bool,
    ) -> None:
        self.name = name
        self.number = number
        self.region = region
        self.model = model
        self.sim = sim
        self.tap = tap
        self.incarnation = 1
        self.silent = False
        self.refuses: set[str] = set()
        self.wires: dict[str, Wire] = {}
        # Legs that outlived their connection, with the one that they are on now; each leaves with its end.
        self.kept: dict[LegKey, Wire | None] = {}
        # Ends of such legs that found nobody connected; each leaves when it is asked for, or in time.
        self.untold: dict[LegKey, str] = {}
        self._lengths = lengths
        self._mean_length = mean_length
        self._tells_lines = tells_lines
        self._due: int | None = None

    def row(
        self, at: int, edge: str, sent: bool, kind: str, dialog: str, leg: int, word: str, span: int = 0
    ) -> None:
        rows = self.tap.rows
        rows.append(MessageRow(len(rows), at, edge, self.name, sent, kind, dialog, leg, span, word))

    def set_up(self, traffic_type: str, number: int) -> Callable[[int, LegKey], None]:
        def act(now: int, key: LegKey) -> None:
            length = int(self._lengths.exponential() * self._mean_length(traffic_type))
            self.model.setup(now, key, number, length)

        return act

    def load(self) -> LoadReport:
        if not self._tells_lines:
            return LoadReport()
        return LoadReport(free_lines=self.model.free_lines, lines=self.model.line_count)

    def stirred(self) -> None:
        """Tells what happened by now, and comes back when the model next has something to do."""
        now = self.sim.now()
        for happening in self.model.advance(now):
            wire = self.wires.get(happening.key[0])
            if happening.key in self.kept:
                wire = self.kept.pop(happening.key)
                if wire is None:
                    self.untold[happening.key] = "cut" if happening.kind is ServerEventKind.CUT else "over"
                    self.sim.after(KEEPS, self._forgets, happening.key)
            if wire is not None and not self.silent and happening.kind is not ServerEventKind.PROVISIONAL:
                wire.tells(happening)
        due = self.model.next_event_at()
        if due is not None and (self._due is None or due < self._due or self._due <= now):
            self._due = due
            self.sim.at(due, self.stirred)

    def keep(self, keys: Sequence[LegKey]) -> None:
        for key in [*keys, *(key for key, wire in self.kept.items() if wire is not None and not wire.up)]:
            self.kept[key] = None
            self.sim.after(KEEPS, self._forsake, key)

    def _forgets(self, key: LegKey) -> None:
        self.untold.pop(key, None)

    def _forsake(self, key: LegKey) -> None:
        if key in self.kept and self.kept[key] is None:
            del self.kept[key]
            self.model.abandon(self.sim.now(), key)
            self.stirred()

    def resume(self, key: LegKey, wire: Wire) -> str:
        """A later start asks for a leg on a connection of its own: "stands", or how it ended."""
        self.model.on_resume_request(self.sim.now())
        self.stirred()
        if key in self.kept and key in self.model.legs:
            self.kept[key] = wire
            return "stands"
        return self.untold.pop(key, "cut")

    def fell(self) -> None:
        self.kept.clear()
        self.untold.clear()
        for wire in list(self.wires.values()):
            wire.cut()

    def crash(self) -> None:
        self.model.crash(self.sim.now())
        self.fell()

    def vanish(self) -> None:
        """Gone without a word: nothing is answered, nothing is closed."""
        self.model.crash(self.sim.now())
        self.silent = True

    def start(self) -> None:
        """A new process, cold; one that fell over stays down."""
        self.fell()
        self.silent = False
        self.model.start(self.sim.now())
        if self.model.is_running:
            self.incarnation += 1
            self.began()

    def began(self) -> None:
        self.tap.record(ServerStartedRow, server=self.name, **self.model.profile.slow_start_parameters())
