"""The emulated fleet of a scenario: servers, endpoint list, edge proxies and callers."""

from __future__ import annotations

from collections.abc import Sequence

from valverouter.config.scenario import ScenarioConfig
from valverouter.emulator.callers import EmulatedCallers
from valverouter.emulator.edge_model import EdgePlan
from valverouter.emulator.edge_runtime import ReportLog
from valverouter.emulator.edges import EmulatedEdge
from valverouter.emulator.endpoint_list import EmulatedEndpointList
from valverouter.emulator.server_profile import server_profile
from valverouter.emulator.servers import EmulatedServer
from valverouter.emulator.simulation import RandomStream, Simulation
from valverouter.servermodel.lines import CalledNumbers
from valverouter.servermodel.server import SetupServer
from valverouter.signalling.traffic_record import AuditConfigRow, PlacementRow, TrafficRecorder

# The report interval is multiplied by a random factor in [0.9, 1.1), drawn for each load report.
MIN_REPORT_FRACTION, REPORT_FRACTION_RANGE = 0.9, 0.2


class Fleet:
    """The parts of a fleet, built for one scenario; `simulate.simulate_scenario` runs it."""

    def __init__(self, scenario: ScenarioConfig, plans: Sequence[EdgePlan]) -> None:
        self.scenario = scenario
        self.sim = Simulation()
        self.recorder = TrafficRecorder(self.sim.now)
        self.servers: dict[str, EmulatedServer] = {}
        self.edges: list[EmulatedEdge] = []
        self.callers: list[EmulatedCallers] = []
        self.called_numbers = CalledNumbers()
        self._reports: ReportLog = []
        self._network = self.random_stream("network")
        self._profile = server_profile(scenario)
        self.recorder.record(
            AuditConfigRow,
            release_wait=scenario.fleet.release_wait,
            slack=0,
            latency_objectives=scenario.objectives,
            priority_weights=scenario.importance,
        )
        for number in range(scenario.server_count):
            self.add_server(f"s{number}", number)
        self.endpoint_list = EmulatedEndpointList(self.sim, self.recorder, self.servers, self.edges)
        for plan in plans:
            self._add_edge(plan)

    def random_stream(self, source: str) -> RandomStream:
        """Returns the random stream of a named source, seeded with the scenario's seed."""
        return RandomStream(self.scenario.run.seed, source)

    def add_server(self, name: str, number: int) -> EmulatedServer:
        """Adds a server with its server number; the caller announces it on the endpoint list."""
        scenario = self.scenario
        region = scenario.region_of_server(number)
        model = SetupServer(self._profile, self.random_stream(f"server {name}").random, self.called_numbers)
        server = self.servers[name] = EmulatedServer(
            name,
            number,
            region,
            model,
            self.sim,
            self.recorder,
            self.random_stream(f"length {name}"),
            lambda traffic_type: (
                scenario.traffic[traffic_type].length if traffic_type in scenario.traffic else 0
            ),
            scenario.servers.tells_lines,
        )
        self.recorder.record(PlacementRow, name=name, region=region)
        if scenario.servers.report_every:
            self._report_load(server, self.random_stream(f"report {name}"))
        return server

    def _add_edge(self, plan: EdgePlan) -> None:
        scenario, network = self.scenario, self._network
        same_region, cross_region = scenario.delays.same, scenario.delays.cross

        def delay(server: EmulatedServer) -> int:
            base = same_region if server.region == plan.region else cross_region
            return int(base * (1 + scenario.delays.jitter * (2 * network.random() - 1)))

        edge = EmulatedEdge(plan, self.sim, self.servers.__getitem__, delay, self._reports)
        self.recorder.record(PlacementRow, name=edge.name, region=plan.region)
        random = self.random_stream(f"caller {plan.fleet_index}")
        self.edges.append(edge)
        self.callers.append(EmulatedCallers(edge, scenario.callers, self.sim, self.recorder, random))

    def _report_load(self, server: EmulatedServer, random: RandomStream) -> None:
        # All edge proxies read the reports from one log, which saves an event per report and edge proxy.
        delays = self.scenario.delays
        if server.model.is_running and server.connections:
            max_delay = max(delays.same, delays.cross if len(self.scenario.regions) > 1 else 0)
            self._reports.append((self.sim.now() + max_delay, server.name, server.load_report()))
        fraction = MIN_REPORT_FRACTION + REPORT_FRACTION_RANGE * random.random()
        interval = int(self.scenario.servers.report_every * fraction)
        self.sim.call_after(interval, self._report_load, server, random)
