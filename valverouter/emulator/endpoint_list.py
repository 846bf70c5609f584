"""The endpoint list of an emulated fleet: the service phases of servers, and updates to all edge proxies."""

from __future__ import annotations

from collections.abc import Sequence
from enum import StrEnum

from valverouter.emulator.edge_model import ListedEndpoint
from valverouter.emulator.edges import EmulatedEdge
from valverouter.emulator.servers import EmulatedServer
from valverouter.emulator.simulation import Simulation
from valverouter.interface import Endpoint, EndpointUpdateKind
from valverouter.signalling.traffic_record import EndpointUpdateRow, TrafficRecorder


class ServicePhase(StrEnum):
    """The phase of a server in the list; the values are the phases of the recorded rows."""

    IN_SERVICE = "in-service"
    DRAINING = "draining"
    GONE = "gone"


class EmulatedEndpointList:
    """The phase of each server by name; `servers` and `edges` are the fleet's own tables."""

    def __init__(
        self,
        sim: Simulation,
        recorder: TrafficRecorder,
        servers: dict[str, EmulatedServer],
        edges: list[EmulatedEdge],
    ) -> None:
        self._sim = sim
        self._recorder = recorder
        self._servers = servers
        self._edges = edges
        self._phases = dict.fromkeys(servers, ServicePhase.IN_SERVICE)
        # Start times of servers that started during the run, ns.
        self._started_at: dict[str, int] = {}

    def complete(self) -> list[ListedEndpoint]:
        """Returns the entries of all servers that are not gone."""
        return [self._entry(name) for name, phase in self._phases.items() if phase is not ServicePhase.GONE]

    def record_start(self, server: EmulatedServer) -> None:
        """Records that a server's process starts now; announced entries state its age."""
        self._started_at[server.name] = self._sim.now()

    def announce(self, servers: Sequence[EmulatedServer], phase: ServicePhase) -> None:
        """Sets the phase of servers and sends the update to all running edge proxies."""
        names = [server.name for server in servers]
        for name in names:
            self._phases[name] = phase
        entries = [self._entry(name) for name in names]
        for edge in self._edges:
            if edge.is_running:
                for name in names:
                    self._recorder.record(EndpointUpdateRow, edge=edge.name, server=name, phase=phase.value)
                edge.update_endpoints(EndpointUpdateKind.INCREMENTAL, entries)

    def announce_down(self, servers: Sequence[EmulatedServer]) -> None:
        """Announces the servers that are not running as gone."""
        if down := [server for server in servers if not server.model.is_running]:
            self.announce(down, ServicePhase.GONE)

    def announce_up(self, servers: Sequence[EmulatedServer]) -> None:
        """Announces the servers that are running as in service."""
        if up := [server for server in servers if server.model.is_running]:
            self.announce(up, ServicePhase.IN_SERVICE)

    def _entry(self, name: str) -> ListedEndpoint:
        server = self._servers[name]
        age = self._sim.now() - self._started_at[name] if name in self._started_at else None
        in_service = self._phases[name] is ServicePhase.IN_SERVICE
        endpoint = Endpoint(name, server.number, in_service, 0, server.region)
        return ListedEndpoint(endpoint, server.incarnation, age)
