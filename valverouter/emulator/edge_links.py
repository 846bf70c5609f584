"""Links of an emulated edge proxy to servers: connections, reconnection, and endpoint list updates."""

from __future__ import annotations

import zlib
from collections.abc import Callable, Sequence

from valverouter.emulator.edge_attempts import EdgeAttempts
from valverouter.emulator.edge_model import ListedEndpoint, ServerLink
from valverouter.emulator.edge_recovery import EdgeRecovery
from valverouter.emulator.edge_runtime import EdgeRuntime
from valverouter.emulator.servers import AttemptAnswer, Connection, EmulatedServer
from valverouter.interface import Endpoint, EndpointUpdateKind
from valverouter.policy.retry import retry_delay

# Time that connecting and the hello take in addition to one round trip, ns.
CONNECT_DURATION = 2_000_000
HELLO_TIMEOUT = 2_000_000_000
# A connection that was established for less than this counts as another consecutive failure, ns.
MIN_CONNECTION_DURATION = 1_000_000_000
# A server whose process is older than this is treated as one that has always run, ns.
MAX_SERVER_AGE = 10**17


class EdgeLinks:
    """Connects to the servers of the endpoint list.

    The link to a server that is no longer in service is removed once it is not connected. This is the owner
    of all connections: it passes their messages on as events of the edge proxy.
    """

    def __init__(
        self,
        name: str,
        runtime: EdgeRuntime,
        attempts: EdgeAttempts,
        recovery: EdgeRecovery,
        find_server: Callable[[str], EmulatedServer],
    ) -> None:
        self.name = name
        self._runtime = runtime
        self._attempts = attempts
        self._recovery = recovery
        self._find_server = find_server
        self._last_serial = 0
        self._backoff_draws = 0
        # By server: the newest known incarnation and its start time, ns; 0: it has always run.
        self._started_at: dict[str, tuple[int, int]] = {}

    def forget_servers(self) -> None:
        """Discards the start times of servers; a new process receives them with the endpoint list."""
        self._started_at = {}

    # Connections

    def on_attempt_answer(self, answer: AttemptAnswer) -> None:
        """Passes a server's message on as an event."""
        self._runtime.handle(self._attempts.on_answer, answer)

    def on_connection_lost(self, connection: Connection) -> None:
        """Passes the loss of a connection on as an event."""
        self._runtime.handle(self._on_connection_lost, connection)

    def _on_connection_lost(self, connection: Connection) -> None:
        links, server = self._runtime.links, connection.server.name
        link = links.get(server)
        if link is None or link.connection is not connection:
            return
        link.connection = None
        was_short = self._runtime.sim.now() - link.connected_at < MIN_CONNECTION_DURATION
        link.connection_failures = link.connection_failures + 1 if was_short else 1
        self._attempts.on_connection_lost(link)
        if link.is_listed:
            self._retry(link)
        else:
            links.pop(server, None)

    def _retry(self, link: ServerLink) -> None:
        runtime = self._runtime
        self._backoff_draws += 1
        draw = zlib.crc32(b"link/%d/%d" % (runtime.plan.seed, self._backoff_draws)) / 2**32
        backoff = retry_delay(link.connection_failures, draw, 0)
        runtime.sim.call_after(backoff, self._connect, runtime.incarnation, link)

    def _connect(self, incarnation: int, link: ServerLink) -> None:
        runtime, server = self._runtime, link.server
        is_stale = incarnation != runtime.incarnation or not runtime.is_running
        if is_stale or not link.is_listed or link.connection is not None:
            return
        link.is_connecting = True
        if self._accepts_connection(server):
            duration = 2 * runtime.delay(server) + CONNECT_DURATION
            runtime.sim.call_after(duration, self._on_connected, incarnation, link, server.incarnation)
        else:
            duration = HELLO_TIMEOUT if server.is_silent else CONNECT_DURATION
            runtime.sim.call_after(duration, self._on_connect_failed, incarnation, link)

    def _accepts_connection(self, server: EmulatedServer) -> bool:
        return server.model.is_running and self.name not in server.refused_edges

    def _on_connect_failed(self, incarnation: int, link: ServerLink) -> None:
        if incarnation != self._runtime.incarnation:
            return
        link.is_connecting, link.on_connected = False, []
        self._attempts.on_connect_failed(link)
        link.connection_failures += 1
        if link.is_listed:
            self._retry(link)

    def _on_connected(self, incarnation: int, link: ServerLink, server_incarnation: int) -> None:
        runtime, server = self._runtime, link.server
        is_stale = incarnation != runtime.incarnation or not runtime.is_running
        if is_stale or link.connection is not None:
            return
        if not self._accepts_connection(server) or server.incarnation != server_incarnation:
            self._on_connect_failed(incarnation, link)
            return
        self._last_serial += 1
        connection = Connection(self, server, self._last_serial, lambda: runtime.delay(server))
        server.connections[connection.peer] = connection
        link.is_connecting = False
        link.connection = connection
        link.connected_at = runtime.sim.now()
        runtime.handle(self._on_hello, link)

    def _on_hello(self, link: ServerLink) -> None:
        """Handles a server's hello, which states its incarnation.

        A restart that the endpoint list has not announced yet takes effect here.
        """
        server = link.server
        callbacks, link.on_connected = link.on_connected, []
        known = self._started_at.get(server.name)
        age = self._runtime.sim.now() - server.model.started_at
        started_at = self._record_start(server.name, server.incarnation, age)
        if known is not None and known[1] != started_at:
            endpoint = Endpoint(server.name, server.number, True, started_at, server.region)
            self._runtime.driver.update_endpoints(EndpointUpdateKind.INCREMENTAL, [endpoint])
            self._attempts.on_restart_detected(link)
            return
        for callback in callbacks:
            callback()
        self._recovery.query_server(link)

    def _record_start(self, server: str, incarnation: int, age: int | None) -> int:
        known = self._started_at.get(server)
        if known is None or incarnation > known[0]:
            started_at = 0
            if age is not None and age <= MAX_SERVER_AGE:
                started_at = max(1, self._runtime.sim.now() - age)
            known = self._started_at[server] = incarnation, started_at
        return known[1]

    # The endpoint list

    def update_endpoints(self, kind: EndpointUpdateKind, entries: Sequence[ListedEndpoint]) -> None:
        """Passes an endpoint update to the driver, and connects to new servers."""
        endpoints = [self._with_start_time(entry) for entry in entries]
        self._runtime.driver.update_endpoints(kind, endpoints)
        links = self._runtime.links
        for endpoint in endpoints:
            link = links.get(endpoint.id)
            if endpoint.in_service and link is None:
                link = links[endpoint.id] = ServerLink(self._find_server(endpoint.id))
                self._connect(self._runtime.incarnation, link)
            elif link is not None:
                link.is_listed = endpoint.in_service
                if not link.is_listed and link.connection is None:
                    del links[endpoint.id]

    def _with_start_time(self, entry: ListedEndpoint) -> Endpoint:
        endpoint = entry.endpoint
        started_at = self._record_start(endpoint.id, entry.incarnation, entry.age)
        return Endpoint(endpoint.id, endpoint.number, endpoint.in_service, started_at, endpoint.region)
