"""The fake peers of a scenario's fleet: setup servers, the endpoint list service and callers.

The same fakes run on sockets in real time and on in-memory streams in virtual time: the network is a
parameter. Each source of random numbers has its own stream, so that a draw of one source does not change
those of another.
"""

from __future__ import annotations

import random
from collections.abc import Callable

import trio

from valverouter.config.scenario import ScenarioConfig
from valverouter.emulator.server_profile import server_profile
from valverouter.fakes.callers import CallerBehavior, FakeCallers
from valverouter.fakes.endpoint_list import FakeEndpointList
from valverouter.fakes.environment import Environment, Network, Scheduler
from valverouter.fakes.server import FakeServer, FakeServerOptions
from valverouter.scenarios.edge_under_test import EdgeUnderTest
from valverouter.servermodel.lines import CalledNumbers
from valverouter.servermodel.server import SetupServer
from valverouter.signalling.serverlist import EndpointRow, ServerPhase
from valverouter.signalling.traffic_record import AuditConfigRow, PlacementRow, TrafficRecorder

NS_PER_S = 10**9
# The record's clock starts at one day, so that no recorded time is negative.
CLOCK_START = 86_400 * NS_PER_S


class ScenarioFakes:
    """All peers of the edge proxies under test; `recorder` records the run.

    `slack`, `fault_slack`: the tolerance for the machine's own delays, ns, in the audit and in the rows of
    faults. `addresses` returns the address at which a fake listens, by its name. `servers` and
    `server_numbers` are by name and keep replaced servers; `callers` and `edges` are by fleet index.
    """

    def __init__(
        self,
        scenario: ScenarioConfig,
        network: Network,
        slack: int,
        addresses: Callable[[str], str],
        fault_slack: int = 0,
    ) -> None:
        self.scenario = scenario
        self.started_at = trio.current_time()
        self.recorder = TrafficRecorder(self.now)
        self.scheduler = Scheduler(self.now)
        self.called_numbers = CalledNumbers()
        self.servers: dict[str, FakeServer] = {}
        self.server_numbers: dict[str, int] = {}
        self.callers: list[FakeCallers] = []
        self.edges: list[EdgeUnderTest] = []
        self.fault_slack = fault_slack
        self.nursery: trio.Nursery | None = None
        self._addresses = addresses
        self._environment = Environment(network, self.recorder, self.scheduler)
        self.endpoint_list = FakeEndpointList(addresses("list"), self._environment)
        self.recorder.record(
            AuditConfigRow,
            release_wait=scenario.fleet.release_wait,
            slack=slack,
            latency_objectives=scenario.objectives,
            priority_weights=scenario.importance,
        )
        for number in range(scenario.server_count):
            self.add_server(f"s{number}", number)

    def now(self) -> int:
        """Returns the time on the record's clock, ns."""
        return CLOCK_START + round((trio.current_time() - self.started_at) * NS_PER_S)

    def random_stream(self, source: str) -> random.Random:
        """Returns the random stream of one source, the same for the same seed of the scenario."""
        return random.Random(f"{self.scenario.run.seed}/{source}")

    async def start(self, nursery: trio.Nursery) -> None:
        """Starts the servers and the endpoint list service; edge proxies may be started afterwards."""
        self.nursery = nursery
        nursery.start_soon(self.scheduler.run)
        for server in self.servers.values():
            await self.run_server(server)
        await nursery.start(self.endpoint_list.run)
        self.endpoint_list.registry.change([self.endpoint_row(name, "in-service") for name in self.servers])

    async def run_server(self, server: FakeServer) -> None:
        """Starts a server, which runs until the end of the scenario; returns once it listens."""
        assert self.nursery is not None
        await self.nursery.start(server.run)

    def endpoint_row(self, name: str, phase: ServerPhase) -> EndpointRow:
        """Returns a server's row of the endpoint list."""
        server = self.servers[name]
        number = self.server_numbers[name]
        age = 0 if name in self.endpoint_list.started_at else None
        region = self.scenario.region_of_server(number)
        return EndpointRow(name, number, phase, server.address, region, server.incarnation, age)

    def announce(self, names: list[str], phase: ServerPhase) -> None:
        """Sends an update with the servers' new phase to the endpoint list's subscribers."""
        self.endpoint_list.announce([self.endpoint_row(name, phase) for name in names])

    def add_callers(self, fleet_index: int, edge: EdgeUnderTest) -> None:
        """Starts the callers of an edge proxy, which dial once the scenario's calls are generated."""
        assert self.nursery is not None
        region = self.scenario.region_of_edge(fleet_index)
        self.recorder.record(PlacementRow, name=f"e{fleet_index}", region=region)
        config = self.scenario.callers
        caller = FakeCallers(
            f"c{fleet_index}",
            lambda: edge.address,
            self._environment,
            self.random_stream(f"caller {fleet_index}"),
            CallerBehavior(config.redials, config.redial_wait, config.patience, config.heeds),
        )
        self.callers.append(caller)
        self.edges.append(edge)
        self.nursery.start_soon(caller.run)

    def add_server(self, name: str, number: int) -> FakeServer:
        """Adds a server with the number by which callers prefer it; does not start it."""
        scenario = self.scenario
        rng = self.random_stream(f"server {name}")
        model = SetupServer(server_profile(scenario), rng.random, self.called_numbers)
        region = scenario.region_of_server(number)

        def delay(edge: str) -> int:
            in_same_region = edge[1:].isdigit() and scenario.region_of_edge(int(edge[1:])) == region
            base = scenario.delays.same if in_same_region else scenario.delays.cross
            return int(base * (1 + scenario.delays.jitter * (2 * rng.random() - 1)))

        options = FakeServerOptions(
            mean_duration=lambda traffic_type: (
                scenario.traffic[traffic_type].length if traffic_type in scenario.traffic else 0
            ),
            delay=delay,
            reports_lines=scenario.servers.tells_lines,
            report_interval=scenario.servers.report_every,
        )
        duration_rng = self.random_stream(f"length {name}")
        server = FakeServer(name, self._addresses(name), model, self._environment, duration_rng, options)
        self.servers[name] = server
        self.server_numbers[name] = number
        self.recorder.record(PlacementRow, name=name, region=region)
        return server
