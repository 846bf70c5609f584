"""A fake endpoint list service.

It sends edge proxies the updates that the scenario specifies, which may be delayed, lost or stale.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import msgspec
import trio

from valverouter.fakes.connection import FakePeerConnection
from valverouter.fakes.environment import Environment
from valverouter.signalling.greeting import Hello, Welcome
from valverouter.signalling.serverlist import (
    Change,
    DrainEnded,
    DrainPermits,
    DrainReply,
    DrainRequest,
    EndpointRegistry,
    EndpointRow,
    ListSession,
    Snapshot,
    Watch,
)
from valverouter.signalling.traffic_record import EndpointUpdateRow

NAME = "list"


class FakeEndpointList:
    """The service. `started_at`: the start times of servers, ns, from which it computes their ages.

    `updates_to_drop`: the number of next updates to lose. `on_drain_request` is called with the name of a
    server whose request to drain is granted. `watching_by_connection`: the open connections, and whether the
    peer subscribed to updates.
    """

    def __init__(self, address: str, environment: Environment, epoch: str = "e1") -> None:
        self.address = address
        self.registry = EndpointRegistry(epoch)
        self.started_at: dict[str, int] = {}
        self.updates_to_drop = 0
        self.permits = DrainPermits()
        self.on_drain_request: Callable[[str], None] = lambda server: None
        self.watching_by_connection: dict[FakePeerConnection, bool] = {}
        self._environment = environment
        self._nursery: trio.Nursery | None = None
        self._listening = trio.CancelScope()

    async def run(self, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED) -> None:
        """Serves edge proxies until cancelled; reports as started once it listens."""
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            self.address = await nursery.start(self._listen)
            task_status.started()
            await trio.sleep_forever()

    async def _listen(self, task_status: trio.TaskStatus[str] = trio.TASK_STATUS_IGNORED) -> None:
        with trio.CancelScope() as self._listening:
            await self._environment.network.serve(self.address, self._serve, task_status)

    async def _serve(self, stream: trio.abc.Stream) -> None:
        connection = FakePeerConnection(stream, ListSession(), self._environment, NAME, self._on_message)
        self.watching_by_connection[connection] = False
        try:
            await connection.run()
        finally:
            del self.watching_by_connection[connection]

    def _on_message(self, connection: FakePeerConnection, message: Any) -> None:
        match message:
            case Hello():
                connection.send(Welcome(connection.session.version, NAME))
            case Watch():
                self.watching_by_connection[connection] = True
                for update in self.registry.answer(message):
                    self._send_update(connection, update)
            case DrainRequest():
                self._handle_drain_request(connection, message)
            case DrainEnded():
                self.permits.end(message)
                connection.send(DrainReply(message.server, message.number, True))

    def _handle_drain_request(self, connection: FakePeerConnection, request: DrainRequest) -> None:
        refusal = self.permits.check(request)
        if not refusal and request.server not in self.registry.rows:
            refusal = f"{request.server} is not on the list"
        if not refusal:
            self.on_drain_request(request.server)
        connection.send(DrainReply(request.server, request.number, not refusal, refusal))

    def _send_update(
        self, connection: FakePeerConnection, update: Snapshot | Change, is_stale: bool = False
    ) -> None:
        now = self._environment.scheduler.now()
        rows = [self._with_age(row, now) for row in update.rows]
        if not is_stale:
            for row in rows:
                self._environment.recorder.record(
                    EndpointUpdateRow, edge=connection.edge_name, server=row.server, phase=row.phase
                )
        connection.send(msgspec.structs.replace(update, rows=rows))

    def _with_age(self, row: EndpointRow, now: int) -> EndpointRow:
        if row.server not in self.started_at:
            return row
        return msgspec.structs.replace(row, age=now - self.started_at[row.server])

    def announce(self, rows: list[EndpointRow]) -> None:
        """Sends a change to every subscribed edge proxy, unless `updates_to_drop` says to lose it."""
        change: Change = self.registry.change(rows)
        if self.updates_to_drop:
            self.updates_to_drop -= 1
            return
        self._send_to_watchers(change)

    def announce_stale(self, number: int, rows: list[EndpointRow]) -> None:
        """Sends a change with an outdated number, as if it had been delayed by the network."""
        self._send_to_watchers(Change(self.registry.epoch, number, rows), is_stale=True)

    def _send_to_watchers(self, change: Change, is_stale: bool = False) -> None:
        for connection, is_watching in self.watching_by_connection.items():
            if is_watching:
                self._send_update(connection, change, is_stale)

    def stop_listening(self) -> None:
        """Closes the port and all connections."""
        self._listening.cancel()
        for connection in list(self.watching_by_connection):
            connection.close()

    async def start_listening(self) -> None:
        """Listens on the port again."""
        assert self._nursery is not None
        await self._nursery.start(self._listen)
