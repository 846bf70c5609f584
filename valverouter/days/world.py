"""The surroundings of a day's edge proxies: fake servers, endpoint-list service and callers.

The same world runs on sockets in real time and in memory in virtual time; what differs is passed in: the
network, and what starts, kills and stalls an edge proxy.
"""

from __future__ import annotations

import random
from collections.abc import Callable
from typing import Protocol

import trio

from valverouter.emulator.server_profile import server_profile
from valverouter.fakes.callers import CallerBehavior, FakeCallers
from valverouter.fakes.endpoint_list import FakeEndpointList
from valverouter.fakes.environment import Environment, Network, Scheduler
from valverouter.fakes.server import FakeServer, FakeServerOptions
from valverouter.servermodel.lines import CalledNumbers
from valverouter.servermodel.server import SetupServer
from valverouter.signalling.serverlist import EndpointRow, ServerPhase
from valverouter.signalling.tap import AuditConfigRow, PlacementRow, Tap
from valverouter.terms.day import ScenarioConfig

# The time at which a world begins, ns, so that no age reaches back beyond 0.
EPOCH = 86_400 * 10**9


class EdgeHandle(Protocol):
    """One edge proxy, as a day handles it; `address`: where it accepts its callers."""

    address: str

    async def start(self) -> None:
        """Starts a process and waits until it is ready."""
        ...

    async def kill(self) -> None:
        """Ends the process at once."""
        ...

    async def stall(self, span: int) -> None:
        """Holds the process for `span` ns."""
        ...

    async def stop(self) -> None:
        """Lets the process drain and end."""
        ...


class World:
    """All that the edge proxies of a day meet; each source of random numbers has a stream of its own.

    `slack`: the tolerance of the audit's clock, ns. `addresses` gives the address at which a fake listens, by
    its name. `fault_slack`: faults are recorded as that much longer, ns. `servers` and `numbers_of` by name;
    a server that was replaced stays there. `callers` and `edges` by place.
    """

    def __init__(
        self,
        day: ScenarioConfig,
        network: Network,
        slack: int,
        addresses: Callable[[str], str],
        fault_slack: int = 0,
    ) -> None:
        self.day = day
        self.began = trio.current_time()
        self.tap = Tap(self.now)
        self.agenda = Scheduler(self.now)
        self.numbers = CalledNumbers()
        self.servers: dict[str, FakeServer] = {}
        self.numbers_of: dict[str, int] = {}
        self.callers: list[FakeCallers] = []
        self.edges: list[EdgeHandle] = []
        self._addresses = addresses
        self._environment = Environment(network, self.tap, self.agenda)
        self.fault_slack = fault_slack
        self._nursery: trio.Nursery | None = None
        self.list = FakeEndpointList(addresses("list"), self._environment)
        self.tap.record(
            AuditConfigRow,
            release_wait=day.fleet.release_wait,
            slack=slack,
            latency_objectives=day.objectives,
            priority_weights=day.importance,
        )
        for number in range(day.server_count):
            self.add_server(f"s{number}", number)

    def now(self) -> int:
        """The time in whole nanoseconds."""
        return EPOCH + round((trio.current_time() - self.began) * 1e9)

    def chance(self, source: str) -> random.Random:
        """A new stream of random numbers, the same for a source and seed."""
        return random.Random(f"{self.day.run.seed}/{source}")

    def add_server(self, name: str, number: int) -> FakeServer:
        """Adds a server under a number that callers know; it doesn't run yet."""
        day = self.day
        chance = self.chance(f"server {name}")
        model = SetupServer(server_profile(day), chance.random, self.numbers)
        region = day.region_of_server(number)

        def delay(edge: str) -> int:
            is_near = edge[1:].isdigit() and day.region_of_edge(int(edge[1:])) == region
            base = day.delays.same if is_near else day.delays.cross
            return int(base * (1 + day.delays.jitter * (2 * chance.random() - 1)))

        options = FakeServerOptions(
            mean_duration=lambda kind: day.traffic[kind].length if kind in day.traffic else 0,
            delay=delay,
            reports_lines=day.servers.tells_lines,
            report_interval=day.servers.report_every,
        )
        rng = self.chance(f"length {name}")
        server = FakeServer(name, self._addresses(name), model, self._environment, rng, options)
        self.servers[name] = server
        self.numbers_of[name] = number
        self.tap.record(PlacementRow, name=name, region=region)
        return server

    async def open(self, nursery: trio.Nursery) -> None:
        """Starts servers and the endpoint-list service; edge proxies may be started after it."""
        self._nursery = nursery
        nursery.start_soon(self.agenda.run)
        for server in self.servers.values():
            await self.run_server(server)
        await nursery.start(self.list.run)
        self.list.register.change([self.row(name, "in-service") for name in self.servers])

    async def run_server(self, server: FakeServer) -> None:
        """Runs a server for the rest of the day; returns when it listens."""
        assert self._nursery is not None
        await self._nursery.start(server.run)

    def row(self, name: str, phase: ServerPhase) -> EndpointRow:
        """A server's row of the endpoint list, in a phase."""
        server = self.servers[name]
        age = 0 if name in self.list.started_at else None
        region = self.day.region_of_server(self.numbers_of[name])
        return EndpointRow(
            name, self.numbers_of[name], phase, server.address, region, server.incarnation, age
        )

    def tell(self, names: list[str], phase: ServerPhase) -> None:
        """Has the endpoint-list service announce servers in a phase."""
        self.list.announce([self.row(name, phase) for name in names])

    def add_callers(self, place: int, edge: EdgeHandle) -> None:
        """Adds an edge proxy and starts its callers."""
        assert self._nursery is not None
        self.tap.record(PlacementRow, name=f"e{place}", region=self.day.region_of_edge(place))
        settings = self.day.callers
        behavior = CallerBehavior(settings.redials, settings.redial_wait, settings.patience, settings.heeds)
        callers = FakeCallers(
            f"c{place}", lambda: edge.address, self._environment, self.chance(f"caller {place}"), behavior
        )
        self.callers.append(callers)
        self.edges.append(edge)
        self._nursery.start_soon(callers.run)
