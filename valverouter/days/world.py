"""The far ends of a day: servers, list service and callers round a fleet of edge proxies, and its troubles.

The same world runs on sockets in real time and in memory in virtual time; what differs is handed in: where
streams come from, and what starts, kills and stalls an edge proxy.
"""

from __future__ import annotations

import random
from collections.abc import Callable
from typing import Protocol

import trio

from valverouter.emulator.call_load import HOT_CALLED_NUMBER
from valverouter.emulator.server_profile import server_profile
from valverouter.fakes.callers import CallerBehavior, FakeCallers, with_scaled_patience
from valverouter.fakes.endpoint_list import FakeEndpointList
from valverouter.fakes.environment import Environment, Network, Scheduler
from valverouter.fakes.server import FakeServer, FakeServerOptions
from valverouter.servermodel.arrivals import ArrivalPattern, ArrivalProcess, draw_repetitions
from valverouter.servermodel.lines import CalledNumbers
from valverouter.servermodel.server import SetupServer
from valverouter.signalling import setup
from valverouter.signalling.serverlist import PhaseWord, Row
from valverouter.signalling.tap import AuditConfigRow, CallersStartedRow, FaultRow, PlacementRow, Tap
from valverouter.terms.calls import Call
from valverouter.terms.day import Day, PathTerms, Trouble

LATE_S = 0.3


class EdgeHandle(Protocol):
    """One edge proxy, as the day's script handles it."""

    address: str

    async def start(self) -> None: ...

    async def kill(self) -> None: ...

    async def stall(self, span: int) -> None: ...

    async def stop(self) -> None: ...


class World:
    """All that an edge proxy meets in a day. Draws come from one stream for each source."""

    def __init__(
        self, day: Day, network: Network, slack: int, addresses: Callable[[str], str], fault_slack: int = 0
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
        self.rate = 1.0
        self.hot = 0.0
        self._addresses = addresses
        self._environment = Environment(network, self.tap, self.agenda)
        self._fault_slack = fault_slack
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
            self._build(f"s{number}", number)

    def now(self) -> int:
        """Whole nanoseconds since a day before the world began, so that nothing lies before nought."""
        return 86_400 * 10**9 + round((trio.current_time() - self.began) * 1e9)

    def chance(self, source: str) -> random.Random:
        return random.Random(f"{self.day.terms.seed}/{source}")

    def _build(self, name: str, number: int) -> FakeServer:
        day = self.day
        chance = self.chance(f"server {name}")
        model = SetupServer(server_profile(day), chance.random, self.numbers)
        region = day.region_of_server(number)

        def delay(edge: str) -> int:
            near = edge[1:].isdigit() and day.region_of_edge(int(edge[1:])) == region
            base = day.delays.same if near else day.delays.cross
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

    # A day's course

    async def open(self, nursery: trio.Nursery) -> None:
        """Brings up the far ends; edge proxies may be started after it."""
        self._nursery = nursery
        nursery.start_soon(self.agenda.run)
        for server in self.servers.values():
            await nursery.start(server.run)
        await nursery.start(self.list.run)
        self.list.register.change([self.row(name, "in-service") for name in self.servers])

    def row(self, name: str, phase: PhaseWord) -> Row:
        server = self.servers[name]
        age = 0 if name in self.list.started_at else None
        region = self.day.region_of_server(self.numbers_of[name])
        return Row(name, self.numbers_of[name], phase, server.address, region, server.incarnation, age)

    def tell(self, names: list[str], phase: PhaseWord) -> None:
        self.list.announce([self.row(name, phase) for name in names])

    def add_callers(self, place: int, edge: EdgeHandle) -> None:
        assert self._nursery is not None
        self.tap.record(PlacementRow, name=f"e{place}", region=self.day.region_of_edge(place))
        habits = self.day.callers
        caller = FakeCallers(
            f"c{place}",
            lambda: edge.address,
            self._environment,
            self.chance(f"caller {place}"),
            CallerBehavior(habits.redials, habits.redial_wait, habits.patience, habits.heeds),
        )
        self.callers.append(caller)
        self.edges.append(edge)
        self._nursery.start_soon(caller.run)

    async def play(self, tick: Callable[[float], None] = lambda share: None) -> None:
        """The day itself: arrivals and troubles, then until all has its answer."""
        self.tap.record(CallersStartedRow)
        async with trio.open_nursery() as nursery:
            for name, trouble in self.day.troubles.items():
                nursery.start_soon(self._trouble, name, trouble)
            for path in self.day.paths.values():
                nursery.start_soon(self._path, path)
            began = trio.current_time()
            with trio.move_on_after(self.day.terms.length / 1e9):
                async with trio.open_nursery() as arrivals:
                    for at, caller in enumerate(self.callers):
                        arrivals.start_soon(self._dials, at, caller)
                    while True:
                        await trio.sleep(0.25)
                        tick((trio.current_time() - began) * 1e9 / self.day.terms.length)
        for caller in self.callers:
            caller.behavior = with_scaled_patience(caller.behavior, 1.0)
        longest = max(mix.no_answer for mix in self.day.mix.values())
        with trio.move_on_after(longest / 1e9 + 1):
            while any(
                not made.is_established for caller in self.callers for made in caller.attempts.values()
            ):
                await trio.sleep(0.05)
        await trio.sleep(LATE_S)  # so that an answer that comes too late is on record

    async def _dials(self, place: int, caller: FakeCallers) -> None:
        day, chance = self.day, self.chance(f"arrivals {place}")
        kinds = list(day.mix)
        shares = [day.mix[kind].share for kind in kinds]
        terms = day.callers
        home = day.region_of_edge(place)
        numbers = sorted(set(self.numbers_of.values()))
        if day.callers.local:
            numbers = [number for number in numbers if day.region_of_server(number) == home] or numbers

        def dial(told: Call | None) -> None:
            kind = chance.choices(kinds, shares)[0]
            hot = chance.random() < self.hot
            first = chance.choice(numbers)
            number = HOT_CALLED_NUMBER if hot else 100 + chance.randrange(10**6)
            no_answer = None
            if told is not None:
                kind, no_answer = told.traffic_type, told.no_answer
                first = first if told.first_choice is None else told.first_choice
                number = number if hot or told.number is None else told.number
            caller.dial(
                setup.Setup(
                    dialog="-",
                    traffic_type=kind,
                    no_answer=no_answer or day.mix[kind].no_answer,
                    first_choice=first,
                    called_number=number,
                )
            )

        if day.recorded is not None:
            began = self.now()
            for told in day.recorded[place]:
                await trio.sleep(max(0, began + told.at - self.now()) / 1e9)
                for _ in range(draw_repetitions(terms.times * self.rate, chance.random)):
                    dial(told)
            return
        pattern = ArrivalPattern(terms.on, terms.off, terms.drift, day.terms.length)
        source = ArrivalProcess(pattern, lambda: chance.expovariate(1), self.now())
        share = terms.rate / len(self.callers)
        while True:
            now = self.now()
            await trio.sleep((source.next_arrival(now, share * self.rate) - now) / 1e9)
            dial(None)

    # Troubles

    async def _trouble(self, name: str, trouble: Trouble) -> None:
        await trio.sleep(trouble.start / 1e9)
        chance = self.chance(f"trouble {name}")
        act = getattr(self, f"_{trouble.kind}")
        await act(trouble, chance)

    def _struck(self, trouble: Trouble, chance: random.Random, names: list[str]) -> list[str]:
        if trouble.on:
            return [name for name in names if name in trouble.on]
        count = max(1, round(trouble.part * len(names)))
        return sorted(chance.sample(names, min(count, len(names))))

    def _servers(self, trouble: Trouble, chance: random.Random) -> list[str]:
        return self._struck(
            trouble, chance, [name for name, one in self.servers.items() if one.model.is_running]
        )

    def _fault(self, trouble: Trouble, target: str, span: int | None = None) -> None:
        until = self.now() + (trouble.length if span is None else span) + self._fault_slack
        self.tap.record(FaultRow, until=until, kind=trouble.kind, target=target)

    def _later(self, span: int, act: Callable[[], None]) -> None:
        self.agenda.call_at(self.now() + span, act)

    async def _burst(self, trouble: Trouble, chance: random.Random) -> None:
        self._fault(trouble, "callers")
        self.rate *= trouble.size
        await trio.sleep(trouble.length / 1e9)
        self.rate /= trouble.size

    async def _crash(self, trouble: Trouble, chance: random.Random) -> None:
        struck, notice = self._servers(trouble, chance), self.day.list_terms
        for name in struck:
            self._fault(trouble, name)
            self.servers[name].crash()
        self._later(notice.notice, lambda: self._if_down(struck))
        await trio.sleep(trouble.length / 1e9)
        await self._restart(struck)

    def _if_down(self, names: list[str]) -> None:
        if down := [name for name in names if not self.servers[name].model.is_running]:
            self.tell(down, "gone")

    async def _restart(self, names: list[str]) -> None:
        for name in names:
            self.list.started_at[name] = self.now()
            await self.servers[name].start()
        self._later(self.day.list_terms.add, lambda: self._if_up(names))

    def _if_up(self, names: list[str]) -> None:
        if up := [name for name in names if self.servers[name].model.is_running]:
            self.tell(up, "in-service")

    async def _vanish(self, trouble: Trouble, chance: random.Random) -> None:
        struck = self._servers(trouble, chance)
        for name in struck:
            self._fault(trouble, name)
            self.servers[name].vanish()
        self._later(self.day.list_terms.silent_notice, lambda: self._if_down(struck))
        if trouble.length:
            await trio.sleep(trouble.length / 1e9)
            await self._restart(struck)

    async def _deploy(self, trouble: Trouble, chance: random.Random) -> None:
        """Each struck server drains, stops, and a new machine under a new name takes its number."""
        struck = self._servers(trouble, chance)
        batch = max(1, round(trouble.size))
        groups = [struck[at : at + batch] for at in range(0, len(struck), batch)]
        pace = trouble.length / max(1, len(groups)) / 1e9
        for group in groups:
            began = trio.current_time()
            self.tell(group, "draining")
            for name in group:
                self._fault(trouble, name, trouble.extra)
            await trio.sleep(trouble.extra / 1e9)
            fresh = []
            for name in group:
                self.servers[name].crash()
                new = f"{name}n"
                server = self._build(new, self.numbers_of[name])
                server.model.start(self.now())
                self.list.started_at[new] = self.now()
                assert self._nursery is not None
                await self._nursery.start(server.run)
                server.record_start()
                fresh.append(new)
            self.tell(group, "gone")
            self._later(self.day.list_terms.add, lambda fresh=fresh: self._if_up(fresh))  # type: ignore[misc]
            await trio.sleep(max(0.0, pace - (trio.current_time() - began)))

    async def _slow(self, trouble: Trouble, chance: random.Random) -> None:
        struck = self._servers(trouble, chance)
        for name in struck:
            self._fault(trouble, name)
            self.servers[name].model.set_slowdown(trouble.size)
        await trio.sleep(trouble.length / 1e9)
        for name in struck:
            self.servers[name].model.set_slowdown(1.0)

    async def _ageing(self, trouble: Trouble, chance: random.Random) -> None:
        struck = self._servers(trouble, chance)
        for name in struck:
            self._fault(trouble, name)
            self.servers[name].model.start_degrading(self.now(), trouble.size, trouble.length)
        await trio.sleep(trouble.length / 1e9)
        for name in struck:
            self.servers[name].model.start_degrading(self.now(), 1.0, 1)

    async def _hang(self, trouble: Trouble, chance: random.Random) -> None:
        struck = self._servers(trouble, chance)
        for name in struck:
            self._fault(trouble, name)
            self.servers[name].model.set_hung(self.now(), True)
        await trio.sleep(trouble.length / 1e9)
        for name in struck:
            self.servers[name].model.set_hung(self.now(), False)
            self.servers[name].deliver_events()

    async def _origin_slow(self, trouble: Trouble, chance: random.Random) -> None:
        """One region's servers keep only a part of their lines."""
        names = [name for name, region in self.day.regions.items() if region.servers]
        region = trouble.on[0] if trouble.on else chance.choice(names)
        struck = [n for n, number in self.numbers_of.items() if self.day.region_of_server(number) == region]
        for name in struck:
            self._fault(trouble, name)
            self.servers[name].model.limit_lines(self.now(), trouble.size**-0.5)
            self.servers[name].deliver_events()
        await trio.sleep(trouble.length / 1e9)
        for name in struck:
            self.servers[name].model.limit_lines(self.now(), 1.0)

    async def _reconnect(self, trouble: Trouble, chance: random.Random) -> None:
        for name, server in self.servers.items():
            self._fault(trouble, name)
            server.model.cut_established(self.now(), trouble.size)
            server.deliver_events()

    async def _hot_key(self, trouble: Trouble, chance: random.Random) -> None:
        self._fault(trouble, "callers")
        self.numbers.capacities[HOT_CALLED_NUMBER] = trouble.lines
        self.hot = trouble.size
        await trio.sleep(trouble.length / 1e9)
        self.hot = 0.0

    async def _give_up(self, trouble: Trouble, chance: random.Random) -> None:
        self._fault(trouble, "callers")
        for caller in self.callers:
            caller.behavior = with_scaled_patience(caller.behavior, trouble.size)
        await trio.sleep(trouble.length / 1e9)
        for caller in self.callers:
            caller.behavior = with_scaled_patience(caller.behavior, 1 / trouble.size)

    async def _answer_lost(self, trouble: Trouble, chance: random.Random) -> None:
        struck = self._servers(trouble, chance)
        for name in struck:
            self._fault(trouble, name)
            self.servers[name].model.set_answer_loss(trouble.size)
        await trio.sleep(trouble.length / 1e9)
        for name in struck:
            self.servers[name].model.set_answer_loss(0.0)

    def _edges(self, trouble: Trouble, chance: random.Random) -> list[int]:
        names = [f"e{place}" for place in range(len(self.edges))]
        return [int(name[1:]) for name in self._struck(trouble, chance, names)]

    async def _balancer_crash(self, trouble: Trouble, chance: random.Random) -> None:
        struck = self._edges(trouble, chance)
        for place in struck:
            self._fault(trouble, f"e{place}")
            await self.edges[place].kill()
        await trio.sleep(trouble.length / 1e9)
        for place in struck:
            await self.edges[place].start()

    async def _path(self, path: PathTerms) -> None:
        """Its row; the paths themselves are struck where they are kept."""
        await trio.sleep(path.start / 1e9)
        until = self.now() + path.length + self._fault_slack
        self.tap.record(FaultRow, until=until, kind=f"path-{path.kind}", target="paths")

    async def _balancer_late(self, trouble: Trouble, chance: random.Random) -> None:
        """Those that were not started with the others."""
        for place in self._edges(trouble, chance):
            self._fault(trouble, f"e{place}")
            await self.edges[place].start()

    async def _balancer_leave(self, trouble: Trouble, chance: random.Random) -> None:
        """Asked to end, and started again."""
        struck = self._edges(trouble, chance)
        for place in struck:
            self._fault(trouble, f"e{place}")
            await self.edges[place].stop()
        await trio.sleep(trouble.length / 1e9)
        for place in struck:
            await self.edges[place].start()

    async def _balancer_stall(self, trouble: Trouble, chance: random.Random) -> None:
        async with trio.open_nursery() as nursery:
            for place in self._edges(trouble, chance):
                self._fault(trouble, f"e{place}")
                nursery.start_soon(self.edges[place].stall, trouble.length)

    async def _peer_down(self, trouble: Trouble, chance: random.Random) -> None:
        """Some edge proxies can't reach some servers; everyone else can."""
        edges = {f"e{place}" for place in self._edges(trouble, chance)}
        struck = [self.servers[name] for name in self._struck(trouble, chance, list(self.servers))]
        for server in struck:
            self._fault(trouble, server.name)
            server.refused_edges |= edges
            for wire in list(server.connections):
                if wire.edge_name in edges:
                    wire.close()
        await trio.sleep(trouble.length / 1e9)
        for server in struck:
            server.refused_edges -= edges
