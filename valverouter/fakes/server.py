"""A fake signalling server: the set-up protocol in front of the server model."""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

import trio

from valverouter.fakes.connection import FakePeerConnection
from valverouter.fakes.environment import Environment
from valverouter.fakes.retained_legs import RetainedLegs
from valverouter.servermodel.events import LegKey, ServerEvent, ServerEventKind
from valverouter.servermodel.server import SetupServer
from valverouter.signalling import setup
from valverouter.signalling.greeting import Hello, NotUnderstood, Welcome
from valverouter.signalling.traffic_record import ServerStartedRow

# Builds the message of an event from dialog, leg, load report and retry delay.
MESSAGE_BUILDERS: dict[ServerEventKind, Callable[[str, int, setup.Load, int], Any]] = {
    ServerEventKind.ESTABLISHED: lambda dialog, leg, load, wait: setup.Established(dialog, leg, report=load),
    ServerEventKind.ENDED: lambda dialog, leg, load, wait: setup.Ended(dialog, leg, "over", load),
    ServerEventKind.INTERRUPTED: lambda dialog, leg, load, wait: setup.Ended(dialog, leg, "cut", load),
    ServerEventKind.LINE_BUSY: lambda dialog, leg, load, wait: setup.LineBusy(dialog, leg, load),
    ServerEventKind.FULL: lambda dialog, leg, load, wait: setup.Full(dialog, leg, wait, load),
    ServerEventKind.NO_AGENT: lambda dialog, leg, load, wait: setup.NoAgent(dialog, leg, load),
    ServerEventKind.FAULT: lambda dialog, leg, load, wait: setup.Fault(dialog, leg, "cut", load),
    ServerEventKind.CANCELLED: lambda dialog, leg, load, wait: setup.Cancelled(dialog, leg, load),
    ServerEventKind.PROVISIONAL: lambda dialog, leg, load, wait: setup.Provisional(dialog, leg),
}


@dataclass(frozen=True, slots=True)
class FakeServerOptions:
    """Options of a fake server; times are in ns.

    `mean_duration`: the mean duration of dialogs by traffic type. `delay`: the one-way delay to an edge
    proxy, by its name. `reports_lines`: load reports include the number of free lines. `report_interval`: the
    mean interval of load reports outside dialogs; 0: none are sent.
    """

    mean_duration: Callable[[str], int]
    delay: Callable[[str], int]
    reports_lines: bool = False
    report_interval: int = 0


class FakeServer:
    """A server with a fixed name and address, and at most one process at a time.

    `connections`: the open connections. `incarnation`: the number of the current process. The connections of
    edge proxies in `refused_edges` are closed instead of welcomed. `is_silent`: the machine was lost without
    any message or closed connection.
    """

    def __init__(
        self,
        name: str,
        address: str,
        model: SetupServer,
        environment: Environment,
        rng: random.Random,
        options: FakeServerOptions,
    ) -> None:
        self.name = name
        self.address = address
        self.model = model
        self.incarnation = 1
        self.connections: list[FakePeerConnection] = []
        self.refused_edges: set[str] = set()
        self.is_silent = False
        self.on_connection: Callable[[FakePeerConnection], None] = lambda connection: None
        self._environment = environment
        self._scheduler = environment.scheduler
        self._rng = rng
        self._options = options
        self._connection_numbers: dict[FakePeerConnection, int] = {}
        self._connection_count = 0
        # Connections on which the welcome was sent.
        self._welcomed: set[FakePeerConnection] = set()
        # The latest epoch of each edge proxy with a recovery log; bounded by the number of edge proxies.
        self._epochs: dict[str, int] = {}
        self._retained = RetainedLegs(environment.scheduler, self._abandon)
        self._nursery: trio.Nursery | None = None
        self._listening = trio.CancelScope()
        self._stopped_listening = trio.Event()
        self._next_event_at: int | None = None

    # Connections

    async def run(self, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED) -> None:
        """Serves edge proxies until cancelled; reports as started once it listens."""
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            self.address = await nursery.start(self._listen)
            task_status.started()
            while self._options.report_interval:
                await trio.sleep(self._options.report_interval * (0.9 + 0.2 * self._rng.random()) / 1e9)
                self._send_load_reports()
            await trio.sleep_forever()

    def _send_load_reports(self) -> None:
        if not self.model.is_running:
            return
        report = setup.LoadReported(self._load(self._scheduler.now()))
        for connection in self.connections:
            # A report before the welcome would violate the protocol.
            if connection in self._welcomed:
                connection.send(report)

    async def _listen(self, task_status: trio.TaskStatus[str] = trio.TASK_STATUS_IGNORED) -> None:
        self._stopped_listening = trio.Event()
        try:
            with trio.CancelScope() as self._listening:
                await self._environment.network.serve(self.address, self._serve, task_status)
        finally:
            self._stopped_listening.set()

    async def _serve(self, stream: trio.abc.Stream) -> None:
        connection = FakePeerConnection(
            stream, setup.SetupSession(), self._environment, self.name, self._on_message, self._options.delay
        )
        self.connections.append(connection)
        self._connection_count += 1
        self._connection_numbers[connection] = self._connection_count
        self.on_connection(connection)
        try:
            await connection.run()
        finally:
            self._on_connection_lost(connection)

    def _on_connection_lost(self, connection: FakePeerConnection) -> None:
        self.connections.remove(connection)
        self._welcomed.discard(connection)
        self._remove_legs(connection)
        self._retained.on_connection_lost(connection)
        del self._connection_numbers[connection]
        self.deliver_events()

    def _remove_legs(self, connection: FakePeerConnection) -> None:
        """Removes the legs of a connection from the model, except for retained ones."""
        now = self._scheduler.now()
        self.model.on_connection_lost(now, self._peer_of(connection), self._retained.model_keys())

    def _abandon(self, key: LegKey) -> None:
        self.model.abandon(self._scheduler.now(), key)
        self.deliver_events()

    def _peer_of(self, connection: FakePeerConnection) -> str:
        """Returns the name of a connection's peer in the model; an edge proxy may have several."""
        return f"{connection.edge_name}#{self._connection_numbers[connection]}"

    # Messages

    def _on_message(self, connection: FakePeerConnection, message: Any) -> None:
        if connection not in self.connections or not self.model.is_running:
            return
        if isinstance(message, Hello):
            if connection.edge_name in self.refused_edges:
                connection.close()
            else:
                self._on_hello(connection, message)
        elif isinstance(message, NotUnderstood):
            connection.send(message)
        elif isinstance(message, setup.Resume):
            self._on_resume(connection, (connection.edge_name, message.dialog, message.leg))
        else:
            self._on_leg_message(connection, message)
            self.deliver_events()

    def _on_hello(self, connection: FakePeerConnection, hello: Hello) -> None:
        """Welcomes an edge proxy, and fences off its earlier epochs.

        Their connections are closed and their legs removed before the new epoch can resume them.
        """
        edge_name = connection.edge_name
        if hello.epoch < self._epochs.get(edge_name, 0):
            connection.close()
            return
        self._epochs[edge_name] = hello.epoch
        if hello.epoch:
            for other in self.connections:
                if other.edge_name == edge_name and other is not connection:
                    other.close()
                    self._remove_legs(other)
        self._welcomed.add(connection)
        age = max(0, self._scheduler.now() - self.model.started_at)
        connection.send(Welcome(connection.session.version, self.name, self.incarnation, age))

    def _on_resume(self, connection: FakePeerConnection, key: LegKey) -> None:
        now, (_, dialog, leg) = self._scheduler.now(), key
        self.model.on_resume_request(now)
        model_key = self._retained.model_key(key)
        if (end := self._retained.pop_undelivered_end(key)) is not None:
            connection.send(setup.Established(dialog, leg, report=self._load(now)))
            self._send_event(connection, end, now)
        elif model_key is None or model_key not in self.model.legs:
            connection.send(setup.Unknown(dialog, leg))
        else:
            self._retained.retain(key, model_key, connection)
            connection.send(setup.Established(dialog, leg, report=self._load(now)))

    def _on_leg_message(self, connection: FakePeerConnection, message: Any) -> None:
        now = self._scheduler.now()
        key = (connection.edge_name, message.dialog, message.leg)
        model_key = self._retained.model_key(key) or (self._peer_of(connection), message.dialog, message.leg)
        match message:
            case setup.Persisted():
                if model_key in self.model.legs:
                    self._retained.retain(key, model_key, connection)
            case setup.Setup():
                mean_duration = self._options.mean_duration(message.traffic_type)
                duration = int(self._rng.expovariate(1) * mean_duration)
                self.model.setup(now, model_key, message.called_number, duration)
                if not self.model.is_running:
                    self._stop_process()
            case setup.Cancel():
                self.model.cancel(now, model_key)
            case setup.Release():
                self.model.release(now, model_key)

    # Events of the model

    def deliver_events(self) -> None:
        """Sends the model's pending events, and schedules the next call for the model's next event."""
        now = self._scheduler.now()
        by_peer = {self._peer_of(connection): connection for connection in self.connections}
        for event in self.model.advance(now):
            connection = self._connection_for(event, by_peer)
            if connection is not None and not self.is_silent:
                self._send_event(connection, event, now)
        self._schedule_delivery(now)

    def _connection_for(
        self, event: ServerEvent, by_peer: dict[str, FakePeerConnection]
    ) -> FakePeerConnection | None:
        peer, dialog, leg = event.key
        key = (peer.rpartition("#")[0], dialog, leg)
        if self._retained.model_key(key) == event.key:
            return self._retained.end(key, event)
        return by_peer.get(peer)

    def _schedule_delivery(self, now: int) -> None:
        next_at, scheduled = self.model.next_event_at(), self._next_event_at
        if next_at is not None and (scheduled is None or next_at < scheduled or scheduled <= now):
            self._next_event_at = next_at
            self._scheduler.call_at(next_at, self.deliver_events)

    def _send_event(self, connection: FakePeerConnection, event: ServerEvent, now: int) -> None:
        _, dialog, leg = event.key
        connection.send(MESSAGE_BUILDERS[event.kind](dialog, leg, self._load(now), event.retry_after))

    def _load(self, now: int) -> setup.Load:
        model, reports_lines = self.model, self._options.reports_lines
        return setup.Load(
            utilization=round(model.utilization(now), 3),
            queue_length=model.queued_setups,
            free_lines=model.free_lines if reports_lines else None,
            lines=model.line_count if reports_lines else None,
        )

    # Life cycle

    def crash(self) -> None:
        """Ends the process: its connections close, and its port refuses new ones."""
        self._retained.clear()
        self.model.crash(self._scheduler.now())
        self._stop_process()

    def _stop_process(self) -> None:
        self._listening.cancel()
        for connection in list(self.connections):
            connection.close()

    def vanish(self) -> None:
        """Simulates the loss of the machine: nothing is answered, and no connection is closed."""
        self._retained.clear()
        self.model.crash(self._scheduler.now())
        self.is_silent = True

    async def start(self) -> None:
        """Starts a new process under the same name and address, in slow start."""
        self._stop_process()
        await self._stopped_listening.wait()
        self.is_silent = False
        self.model.start(self._scheduler.now())
        if not self.model.is_running:
            return
        self.incarnation += 1
        self.record_start()
        assert self._nursery is not None
        await self._nursery.start(self._listen)

    def record_start(self) -> None:
        """Records that a process has started."""
        parameters = self.model.profile.slow_start_parameters()
        self._environment.recorder.record(ServerStartedRow, server=self.name, **parameters)
