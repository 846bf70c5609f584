"""Emulated signalling servers, which run `servermodel`, and their connections to edge proxies."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from enum import StrEnum
from typing import Protocol

from msgspec import Struct

from valverouter.emulator.simulation import RandomStream, Simulation
from valverouter.interface import LoadReport, Outcome
from valverouter.servermodel.events import LegKey, ServerEvent, ServerEventKind
from valverouter.servermodel.server import SetupServer
from valverouter.signalling.traffic_record import (
    ConnectionLostRow,
    MessageRow,
    ServerStartedRow,
    TrafficRecorder,
)

# How long a leg without a connection, or the recorded end of such a leg, is retained, ns.
RETENTION = 10_000_000_000
ENDED_KIND = "ended"

# By event of the model: the attempt's outcome, and the kind of the message that reports it.
OUTCOMES = {
    ServerEventKind.ESTABLISHED: (Outcome.ESTABLISHED, "stands"),
    ServerEventKind.ENDED: (Outcome.ENDED, ENDED_KIND),
    ServerEventKind.INTERRUPTED: (Outcome.ENDED, ENDED_KIND),
    ServerEventKind.LINE_BUSY: (Outcome.LINE_BUSY, "line-busy"),
    ServerEventKind.FULL: (Outcome.FULL, "full"),
    ServerEventKind.NO_AGENT: (Outcome.NO_AGENT, "no-agent"),
    ServerEventKind.FAULT: (Outcome.FAULT, "fault"),
    ServerEventKind.CANCELLED: (Outcome.CANCELLED, "cancelled"),
}


class EndReason(StrEnum):
    """Why an established dialog ended; the values are the details of the recorded rows."""

    COMPLETED = "over"
    INTERRUPTED = "cut"


class AttemptAnswer(Struct, frozen=True):
    """A server's answer to an attempt, or the end of an established dialog, as the edge proxy receives it.

    `retry_after` in ns; `details`: the reason for the end of an established dialog.
    """

    connection: Connection
    dialog_id: str
    attempt: int
    outcome: Outcome
    retry_after: int
    load_report: LoadReport
    details: str


class ConnectionOwner(Protocol):
    """The edge proxy's side of a connection."""

    name: str

    def on_attempt_answer(self, answer: AttemptAnswer) -> None:
        """Handles a message from the server."""

    def on_connection_lost(self, connection: Connection) -> None:
        """Handles the loss of the connection."""


class Connection:
    """One connection between an edge proxy and a server.

    Each message has its own delay, but messages in the same direction arrive in order. A row is recorded when
    the edge proxy sends or receives a message, as with the fakes.
    """

    def __init__(
        self, owner: ConnectionOwner, server: EmulatedServer, serial: int, delay: Callable[[], int]
    ) -> None:
        self.owner = owner
        self.server = server
        self.peer = f"{owner.name}#{serial}"
        self.is_open = True
        self._delay = delay
        self._last_arrival_at_server = self._last_arrival_at_edge = 0

    def send(
        self,
        kind: str,
        dialog_id: str,
        attempt: int,
        request: Callable[[int, LegKey], None],
        details: str = "",
    ) -> None:
        """Records a request now and calls `request(now, leg)` when it arrives at the server."""
        server = self.server
        sim = server.sim
        now = sim.now()
        server.record_message(now, self.owner.name, False, kind, dialog_id, attempt, details)
        self._last_arrival_at_server = max(self._last_arrival_at_server, now + self._delay())
        sim.call_at(self._last_arrival_at_server, self._on_arrival, request, (self.peer, dialog_id, attempt))

    def _on_arrival(self, request: Callable[[int, LegKey], None], leg: LegKey) -> None:
        if self.is_open and self.server.model.is_running:
            request(self.server.sim.now(), leg)
            if not self.server.model.is_running:
                self.server.close_connections()
            self.server.deliver_events()

    def send_event(self, event: ServerEvent) -> None:
        """Sends an event to the edge proxy; it is lost if the connection closes before it arrives."""
        sim = self.server.sim
        self._last_arrival_at_edge = max(self._last_arrival_at_edge, sim.now() + self._delay())
        sim.call_at(self._last_arrival_at_edge, self._on_event, event, self.server.load_report())

    def _on_event(self, event: ServerEvent, load_report: LoadReport) -> None:
        if not self.is_open:
            return
        server = self.server
        _, dialog_id, attempt = event.key
        outcome, kind = OUTCOMES[event.kind]
        details = ""
        if kind == ENDED_KIND:
            details = _end_reason(event).value
        server.record_message(
            server.sim.now(), self.owner.name, True, kind, dialog_id, attempt, details, event.retry_after
        )
        self.owner.on_attempt_answer(
            AttemptAnswer(self, dialog_id, attempt, outcome, event.retry_after, load_report, details)
        )

    def close(self, retained_legs: Sequence[LegKey] = ()) -> None:
        """Closes the connection; `retained_legs` can be resumed on another connection for RETENTION ns."""
        if not self.is_open:
            return
        self.is_open = False
        server = self.server
        server.connections.pop(self.peer, None)
        server.recorder.record(ConnectionLostRow, edge=self.owner.name, peer=server.name)
        server.retain(retained_legs)
        server.model.on_connection_lost(server.sim.now(), self.peer, server.retained_legs)
        server.deliver_events()
        self.owner.on_connection_lost(self)


def _end_reason(event: ServerEvent) -> EndReason:
    return EndReason.INTERRUPTED if event.kind is ServerEventKind.INTERRUPTED else EndReason.COMPLETED


class EmulatedServer:
    """A named server, which runs one process at a time, with its open connections by peer.

    `is_silent`: the machine is lost, and nothing is answered. Edge proxies in `refused_edges` can't connect.
    """

    def __init__(
        self,
        name: str,
        number: int,
        region: str,
        model: SetupServer,
        sim: Simulation,
        recorder: TrafficRecorder,
        durations: RandomStream,
        mean_duration: Callable[[str], int],
        reports_lines: bool,
    ) -> None:
        self.name = name
        self.number = number
        self.region = region
        self.model = model
        self.sim = sim
        self.recorder = recorder
        self.incarnation = 1
        self.is_silent = False
        self.refused_edges: set[str] = set()
        self.connections: dict[str, Connection] = {}
        # Legs whose connection was lost, with the connection that resumed them; removed when the leg ends.
        self.retained_legs: dict[LegKey, Connection | None] = {}
        # Ends of retained legs without a connection; removed by a resume request or after RETENTION.
        self.undelivered_ends: dict[LegKey, EndReason] = {}
        self._durations = durations
        self._mean_duration = mean_duration
        self._reports_lines = reports_lines
        self._next_delivery_at: int | None = None

    def record_message(
        self,
        at: int,
        edge: str,
        is_sent: bool,
        kind: str,
        dialog_id: str,
        attempt: int,
        details: str,
        retry_after: int = 0,
    ) -> None:
        """Records a message at an edge proxy; `is_sent`: whether this server sent it."""
        rows = self.recorder.rows
        rows.append(
            MessageRow(
                len(rows), at, edge, self.name, is_sent, kind, dialog_id, attempt, retry_after, details
            )
        )

    def setup_request(self, traffic_type: str, called_number: int) -> Callable[[int, LegKey], None]:
        """Returns a request that sets up a dialog, whose duration is drawn when the request arrives."""

        def request(now: int, leg: LegKey) -> None:
            duration = int(self._durations.exponential() * self._mean_duration(traffic_type))
            self.model.setup(now, leg, called_number, duration)

        return request

    def load_report(self) -> LoadReport:
        """Returns the load report that is sent with each message to an edge proxy."""
        if not self._reports_lines:
            return LoadReport()
        return LoadReport(free_lines=self.model.free_lines, lines=self.model.line_count)

    def deliver_events(self) -> None:
        """Sends the model's events up to now, and schedules the next call at the model's next event."""
        now = self.sim.now()
        for event in self.model.advance(now):
            connection = self.connections.get(event.key[0])
            if event.key in self.retained_legs:
                connection = self.retained_legs.pop(event.key)
                if connection is None:
                    self.undelivered_ends[event.key] = _end_reason(event)
                    self.sim.call_after(RETENTION, self._forget_end, event.key)
            if (
                connection is not None
                and not self.is_silent
                and event.kind is not ServerEventKind.PROVISIONAL
            ):
                connection.send_event(event)
        due = self.model.next_event_at()
        scheduled = self._next_delivery_at
        if due is not None and (scheduled is None or due < scheduled or scheduled <= now):
            self._next_delivery_at = due
            self.sim.call_at(due, self.deliver_events)

    def retain(self, legs: Sequence[LegKey]) -> None:
        """Retains legs for RETENTION ns, together with resumed legs whose new connection has closed too."""
        orphaned = [
            leg
            for leg, connection in self.retained_legs.items()
            if connection is not None and not connection.is_open
        ]
        for leg in [*legs, *orphaned]:
            self.retained_legs[leg] = None
            self.sim.call_after(RETENTION, self._abandon, leg)

    def _forget_end(self, leg: LegKey) -> None:
        self.undelivered_ends.pop(leg, None)

    def _abandon(self, leg: LegKey) -> None:
        if leg in self.retained_legs and self.retained_legs[leg] is None:
            del self.retained_legs[leg]
            self.model.abandon(self.sim.now(), leg)
            self.deliver_events()

    def resume(self, leg: LegKey, connection: Connection) -> EndReason | None:
        """Resumes a leg on a new connection; returns why it ended, or None if it is still established."""
        self.model.on_resume_request(self.sim.now())
        self.deliver_events()
        if leg in self.retained_legs and leg in self.model.legs:
            self.retained_legs[leg] = connection
            return None
        return self.undelivered_ends.pop(leg, EndReason.INTERRUPTED)

    def close_connections(self) -> None:
        """Closes all connections; no legs are retained."""
        self.retained_legs.clear()
        self.undelivered_ends.clear()
        for connection in list(self.connections.values()):
            connection.close()

    def crash(self) -> None:
        """Ends the process and closes its connections."""
        self.model.crash(self.sim.now())
        self.close_connections()

    def vanish(self) -> None:
        """Simulates the loss of the machine: the server stops answering, and its connections stay open."""
        self.model.crash(self.sim.now())
        self.is_silent = True

    def start(self) -> None:
        """Starts a new process in slow start; a server that crashed by overload does not start again."""
        self.close_connections()
        self.is_silent = False
        self.model.start(self.sim.now())
        if self.model.is_running:
            self.incarnation += 1
            self.record_start()

    def record_start(self) -> None:
        """Records the start of a process with its slow-start parameters."""
        self.recorder.record(ServerStartedRow, server=self.name, **self.model.profile.slow_start_parameters())
