"""A whole day of a fleet in simulated time: servers, list, callers, edge proxies, and what goes wrong."""

from __future__ import annotations

from collections.abc import Callable, Generator, Sequence
from dataclasses import dataclass, field
from typing import Any

from valverouter.emulator.callers import EmulatedCallers
from valverouter.emulator.edges import Asked, EdgePlan, EmulatedEdge
from valverouter.emulator.profiles import server_profile_of
from valverouter.emulator.servers import EmulatedServer
from valverouter.emulator.simulated import Chance, Simulated
from valverouter.interface import Endpoint, EndpointUpdateKind, LoadReport
from valverouter.servermodel.arrivals import ArrivalPattern, ArrivalProcess, draw_repetitions
from valverouter.servermodel.lines import CalledNumbers
from valverouter.servermodel.server import SetupServer
from valverouter.signalling.tap import (
    AuditConfigRow,
    CallersStartedRow,
    EndpointUpdateRow,
    FaultRow,
    PlacementRow,
    Row,
    Tap,
)
from valverouter.terms.calls import Call
from valverouter.terms.day import Day, Trouble

SECOND = 1_000_000_000
HOT_NUMBER = 1
# How often edge proxies without events take in what was told meanwhile, so that no report is kept for long.
SWEEP = 2 * SECOND
LATE = 300_000_000
# How often edge proxies that were asked to end are looked at.
LEAVING_LOOK = 50_000_000

Process = Generator[Any, Any, None]


@dataclass(frozen=True, slots=True)
class Sampled:
    """What the edge proxies knew of a server at a moment, on average: its wait (ns), their windows for it,
    the share of retry tokens left."""

    at: int
    server: str
    wait: float
    window: float
    tokens: float


@dataclass(slots=True)
class Emulated:
    """What a day gave: its rows, and what cost how much."""

    rows: list[Row]
    servers: dict[str, EmulatedServer] = field(default_factory=dict)
    dialled: int = 0
    samples: list[Sampled] = field(default_factory=list)


class Fleet:
    """The world of one day; `run` plays it to the end."""

    def __init__(self, day: Day, plans: Sequence[EdgePlan], sample_every: int = 0) -> None:
        self.day = day
        self.sim = Simulated()
        self.tap = Tap(self.sim.now)
        self.servers: dict[str, EmulatedServer] = {}
        self.callers: list[EmulatedCallers] = []
        self.edges: list[EmulatedEdge] = []
        self.rate = 1.0
        self.hot = 0.0
        self.dialled = 0
        self.samples: list[Sampled] = []
        self._sample_every = sample_every
        self._numbers = CalledNumbers()
        self._phases: dict[str, str] = {}
        self._born: dict[str, int] = {}
        self._reports: list[tuple[int, str, LoadReport]] = []
        self._network = self.chance("network")
        self._server_profile = server_profile_of(day)
        self._ends = self.sim.now() + day.terms.length
        self.tap.record(
            AuditConfigRow,
            release_wait=day.fleet.release_wait,
            slack=0,
            latency_objectives=day.objectives,
            priority_weights=day.importance,
        )
        for number in range(day.server_count):
            self._build(f"s{number}", number)
        self._phases = dict.fromkeys(self.servers, "in-service")
        for plan in plans:
            self._add(plan)

    def chance(self, source: str) -> Chance:
        return Chance(self.day.terms.seed, source)

    def _build(self, name: str, number: int) -> EmulatedServer:
        day = self.day
        region = day.region_of_server(number)
        model = SetupServer(self._server_profile, self.chance(f"server {name}").random, self._numbers)
        server = self.servers[name] = EmulatedServer(
            name,
            number,
            region,
            model,
            self.sim,
            self.tap,
            self.chance(f"length {name}"),
            lambda kind: day.traffic[kind].length if kind in day.traffic else 0,
            day.servers.tells_lines,
        )
        self.tap.record(PlacementRow, name=name, region=region)
        if day.servers.report_every:
            self._report(server, self.chance(f"report {name}"))
        return server

    def _add(self, plan: EdgePlan) -> None:
        day, network = self.day, self._network
        same, cross = day.delays.same, day.delays.cross

        def delay(server: EmulatedServer) -> int:
            base = same if server.region == plan.region else cross
            return int(base * (1 + day.delays.jitter * (2 * network.random() - 1)))

        edge = EmulatedEdge(plan, self.sim, lambda name: self.servers[name], delay, self._reports)
        self.tap.record(PlacementRow, name=edge.name, region=plan.region)
        chance = self.chance(f"caller {plan.place}")
        self.edges.append(edge)
        self.callers.append(EmulatedCallers(edge, day.callers, self.sim, self.tap, chance))

    def _report(self, server: EmulatedServer, chance: Chance) -> None:
        """Reports go to one log for all edge proxies, which read on in it: no event for each of them."""
        if server.model.is_running and server.wires:
            lag = max(self.day.delays.same, self.day.delays.cross if len(self.day.regions) > 1 else 0)
            self._reports.append((self.sim.now() + lag, server.name, server.load()))
        span = int(self.day.servers.report_every * (0.9 + 0.2 * chance.random()))
        self.sim.after(span, self._report, server, chance)

    def run(self) -> Emulated:
        """The day, and until all has its answer."""
        day, sim = self.day, self.sim
        for edge in self.edges:
            edge.start(self.whole())
        settle = sim.now() + day.terms.settle
        self._ends = settle + day.terms.length
        sim.run(settle)
        self.tap.record(CallersStartedRow)
        for name, trouble in day.troubles.items():
            sim.env.process(self._trouble(name, trouble))
        for callers in self.callers:
            self._source(callers)
        self._sweep()
        if self._sample_every:
            self._sample()
        sim.run(self._ends)
        for callers in self.callers:
            callers.patience = 1.0
        latest = self._ends + max(mix.no_answer for mix in day.mix.values()) + SECOND
        while sim.now() < latest and any(callers.waiting for callers in self.callers):
            sim.run(min(latest, sim.now() + SECOND // 20))
        sim.run(sim.now() + LATE)
        return Emulated(self.tap.rows, self.servers, self.dialled, self.samples)

    def _sweep(self) -> None:
        for edge in self.edges:
            edge.catch_up()
        self.sim.after(SWEEP, self._sweep)

    def _sample(self) -> None:
        by_server: dict[str, list[tuple[int, float, float]]] = {}
        for edge in self.edges:
            for name, seen in edge.known().items() if edge.runs else ():
                by_server.setdefault(name, []).append(seen)
        for name, every in sorted(by_server.items()):
            means = [sum(column) / len(every) for column in zip(*every, strict=True)]
            self.samples.append(Sampled(self.sim.now(), name, *means))
        self.sim.after(self._sample_every, self._sample)

    # Callers

    def _source(self, callers: EmulatedCallers) -> None:
        day, place = self.day, int(callers.name[1:])
        chance, asks = self.chance(f"arrivals {place}"), self.chance(f"asks {place}")
        terms = day.callers
        pattern = ArrivalPattern(terms.on, terms.off, terms.drift, day.terms.length)
        source = ArrivalProcess(pattern, chance.exponential, self.sim.now())
        kinds = list(day.mix)
        shares = [day.mix[kind].share for kind in kinds]
        home = day.region_of_edge(place)
        numbers = list(range(day.server_count))
        if terms.local:
            numbers = [number for number in numbers if day.region_of_server(number) == home] or numbers

        def dial(told: Call | None) -> None:
            # What is on record is drawn all the same, so that a day's record with its seed is that day again.
            kind = kinds[asks.weighted(shares)]
            called = 100 + asks.below(10**6)
            hot = asks.random() < self.hot
            first = numbers[asks.below(len(numbers))]
            no_answer = None
            if told is not None:
                kind, no_answer = told.traffic_type, told.no_answer
                called = called if told.number is None else told.number
                first = first if told.first_choice is None else told.first_choice
            self.dialled += 1
            called = HOT_NUMBER if hot else called
            callers.dial(Asked("-", kind, no_answer or day.mix[kind].no_answer, first, called))

        def call() -> None:
            dial(None)
            again()

        def again() -> None:
            at = source.next_arrival(self.sim.now(), terms.rate / len(self.callers) * self.rate)
            if at < self._ends:
                self.sim.at(at, call)

        if day.recorded is not None:
            began = self.sim.now()
            calls = (one for one in day.recorded[place] if began + one.at < self._ends)

            def replay(told: Call) -> None:
                for _ in range(draw_repetitions(terms.times * self.rate, chance.random)):
                    dial(told)
                go_on()

            def go_on() -> None:
                # One at a time: the calendar holds a call for each edge proxy, not the record.
                if (told := next(calls, None)) is not None:
                    self.sim.at(began + told.at, replay, told)

            go_on()
            return

        again()

    # The list

    def _entry(self, name: str) -> tuple[Endpoint, int, int | None]:
        server = self.servers[name]
        age = self.sim.now() - self._born[name] if name in self._born else None
        in_service = self._phases[name] == "in-service"
        entry = Endpoint(name, server.number, in_service, 0, server.region)
        return entry, server.incarnation, age

    def whole(self) -> list[tuple[Endpoint, int, int | None]]:
        return [self._entry(name) for name, phase in self._phases.items() if phase != "gone"]

    def tell(self, names: Sequence[str], phase: str) -> None:
        for name in names:
            self._phases[name] = phase
        rows = [self._entry(name) for name in names]
        for edge in self.edges:
            if edge.runs:
                for name in names:
                    self.tap.record(EndpointUpdateRow, edge=edge.name, server=name, phase=phase)
                edge.listed(EndpointUpdateKind.INCREMENTAL, rows)

    # Troubles

    def _trouble(self, name: str, trouble: Trouble) -> Process:
        yield self.sim.env.timeout(trouble.start)
        act: Callable[[Trouble, Chance], Process] = getattr(self, f"_{trouble.kind}")
        yield from act(trouble, self.chance(f"trouble {name}"))

    def _struck(self, trouble: Trouble, chance: Chance, names: list[str]) -> list[str]:
        if trouble.on:
            return [name for name in names if name in trouble.on]
        count = max(1, round(trouble.part * len(names)))
        return sorted(chance.sample(names, min(count, len(names))))

    def _of_servers(self, trouble: Trouble, chance: Chance) -> list[EmulatedServer]:
        running = [name for name, server in self.servers.items() if server.model.is_running]
        struck = self._struck(trouble, chance, running)
        for name in struck:
            self._fault(trouble, name)
        return [self.servers[name] for name in struck]

    def _of_edges(self, trouble: Trouble, chance: Chance) -> list[EmulatedEdge]:
        by_name = {edge.name: edge for edge in self.edges}
        struck = self._struck(trouble, chance, list(by_name))
        return [by_name[name] for name in struck]

    def _fault(self, trouble: Trouble, target: str, span: int | None = None) -> None:
        until = self.sim.now() + (trouble.length if span is None else span)
        self.tap.record(FaultRow, until=until, kind=trouble.kind, target=target)

    def _wait(self, span: int) -> Any:
        return self.sim.env.timeout(span)

    def _burst(self, trouble: Trouble, chance: Chance) -> Process:
        self._fault(trouble, "callers")
        self.rate *= trouble.size
        yield self._wait(trouble.length)
        self.rate /= trouble.size

    def _crash(self, trouble: Trouble, chance: Chance) -> Process:
        struck = self._of_servers(trouble, chance)
        for server in struck:
            server.crash()
        self.sim.after(self.day.list_terms.notice, self._if_down, struck)
        yield self._wait(trouble.length)
        self._restart(struck)

    def _if_down(self, struck: Sequence[EmulatedServer]) -> None:
        if down := [server.name for server in struck if not server.model.is_running]:
            self.tell(down, "gone")

    def _restart(self, struck: Sequence[EmulatedServer]) -> None:
        for server in struck:
            self._born[server.name] = self.sim.now()
            server.start()
        self.sim.after(self.day.list_terms.add, self._if_up, struck)

    def _if_up(self, struck: Sequence[EmulatedServer]) -> None:
        if up := [server.name for server in struck if server.model.is_running]:
            self.tell(up, "in-service")

    def _vanish(self, trouble: Trouble, chance: Chance) -> Process:
        struck = self._of_servers(trouble, chance)
        for server in struck:
            server.vanish()
        self.sim.after(self.day.list_terms.silent_notice, self._if_down, struck)
        if trouble.length:
            yield self._wait(trouble.length)
            self._restart(struck)

    def _deploy(self, trouble: Trouble, chance: Chance) -> Process:
        """Each struck server drains, stops, and a new machine under a new name takes its number."""
        running = [name for name, server in self.servers.items() if server.model.is_running]
        struck = [self.servers[name] for name in self._struck(trouble, chance, running)]
        batch = max(1, round(trouble.size))
        groups = [struck[at : at + batch] for at in range(0, len(struck), batch)]
        pace = trouble.length // max(1, len(groups))
        for group in groups:
            began = self.sim.now()
            self.tell([server.name for server in group], "draining")
            for server in group:
                self._fault(trouble, server.name, trouble.extra)
            yield self._wait(trouble.extra)
            fresh = []
            for server in group:
                server.crash()
                new = self._build(f"{server.name}n", server.number)
                new.model.start(self.sim.now())
                self._born[new.name] = self.sim.now()
                new.began()
                fresh.append(new)
            self.tell([server.name for server in group], "gone")
            self.sim.after(self.day.list_terms.add, self._if_up, fresh)
            yield self._wait(max(0, pace - (self.sim.now() - began)))

    def _slow(self, trouble: Trouble, chance: Chance) -> Process:
        struck = self._of_servers(trouble, chance)
        for server in struck:
            server.model.set_slowdown(trouble.size)
        yield self._wait(trouble.length)
        for server in struck:
            server.model.set_slowdown(1.0)

    def _ageing(self, trouble: Trouble, chance: Chance) -> Process:
        struck = self._of_servers(trouble, chance)
        for server in struck:
            server.model.start_degrading(self.sim.now(), trouble.size, trouble.length)
        yield self._wait(trouble.length)
        for server in struck:
            server.model.start_degrading(self.sim.now(), 1.0, 1)

    def _hang(self, trouble: Trouble, chance: Chance) -> Process:
        struck = self._of_servers(trouble, chance)
        for server in struck:
            server.model.set_hung(self.sim.now(), True)
        yield self._wait(trouble.length)
        for server in struck:
            server.model.set_hung(self.sim.now(), False)
            server.stirred()

    def _origin_slow(self, trouble: Trouble, chance: Chance) -> Process:
        """One region's servers keep only a part of their lines."""
        names = [name for name, region in self.day.regions.items() if region.servers]
        region = trouble.on[0] if trouble.on else names[chance.below(len(names))]
        struck = [server for server in self.servers.values() if server.region == region]
        for server in struck:
            self._fault(trouble, server.name)
            server.model.limit_lines(self.sim.now(), trouble.size**-0.5)
            server.stirred()
        yield self._wait(trouble.length)
        for server in struck:
            server.model.limit_lines(self.sim.now(), 1.0)

    def _reconnect(self, trouble: Trouble, chance: Chance) -> Process:
        for server in self.servers.values():
            self._fault(trouble, server.name)
            server.model.cut_established(self.sim.now(), trouble.size)
            server.stirred()
        yield self._wait(0)

    def _hot_key(self, trouble: Trouble, chance: Chance) -> Process:
        self._fault(trouble, "callers")
        self._numbers.capacities[HOT_NUMBER] = trouble.lines
        self.hot = trouble.size
        yield self._wait(trouble.length)
        self.hot = 0.0

    def _give_up(self, trouble: Trouble, chance: Chance) -> Process:
        self._fault(trouble, "callers")
        for callers in self.callers:
            callers.patience *= trouble.size
        yield self._wait(trouble.length)
        for callers in self.callers:
            callers.patience /= trouble.size

    def _answer_lost(self, trouble: Trouble, chance: Chance) -> Process:
        struck = self._of_servers(trouble, chance)
        for server in struck:
            server.model.set_answer_loss(trouble.size)
        yield self._wait(trouble.length)
        for server in struck:
            server.model.set_answer_loss(0.0)

    def _balancer_crash(self, trouble: Trouble, chance: Chance) -> Process:
        struck = self._of_edges(trouble, chance)
        for edge in struck:
            self._fault(trouble, edge.name)
            edge.kill()
        yield self._wait(trouble.length)
        for edge in struck:
            edge.start(self.whole())

    def _balancer_leave(self, trouble: Trouble, chance: Chance) -> Process:
        """Asked to end, and started again: each goes once it owes nobody an answer, or at its limit."""
        struck = self._of_edges(trouble, chance)
        for edge in struck:
            self._fault(trouble, edge.name)
            edge.leaves = True
        owing, limit = struck, self.sim.now() + self.day.links.stop_within
        while owing:
            over = [edge for edge in owing if not edge.owes or self.sim.now() >= limit]
            for edge in over:
                edge.kill()
            owing = [edge for edge in owing if edge not in over]
            if owing:
                yield self._wait(LEAVING_LOOK)
        yield self._wait(trouble.length)
        for edge in struck:
            edge.start(self.whole())

    def _balancer_stall(self, trouble: Trouble, chance: Chance) -> Process:
        for edge in self._of_edges(trouble, chance):
            self._fault(trouble, edge.name)
            edge.stall(trouble.length)
        yield self._wait(trouble.length)

    def _peer_down(self, trouble: Trouble, chance: Chance) -> Process:
        """Some edge proxies can't reach some servers; everyone else can."""
        edges = {edge.name for edge in self._of_edges(trouble, chance)}
        struck = [self.servers[name] for name in self._struck(trouble, chance, list(self.servers))]
        for server in struck:
            self._fault(trouble, server.name)
            server.refuses |= edges
            for wire in list(server.wires.values()):
                if wire.edge.name in edges:
                    wire.cut()
        yield self._wait(trouble.length)
        for server in struck:
            server.refuses -= edges
