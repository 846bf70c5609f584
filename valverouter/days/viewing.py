"""A day's edge proxies asked for their views, over and over, and what they say written down as rows.

The asking goes to the processes themselves, past the paths between them: what is asked is what they believe,
not whether they can be reached.
"""

from __future__ import annotations

import os
import random
from collections.abc import Callable
from pathlib import Path

import msgspec
import trio

from valverouter.days.memory_network import MemoryPlace
from valverouter.days.paths import path_faults, paths_of
from valverouter.days.world import World
from valverouter.edge.proxy import EdgeProxy
from valverouter.edge.runtime import Runtime
from valverouter.edge.sockets import SocketRuntime
from valverouter.fakes.datagrams import FakeDatagramNetwork
from valverouter.fleet.client import FleetClient
from valverouter.fleet.instance_status import membership_facts
from valverouter.fleet.membership_service import MembershipService
from valverouter.fleet.view_comparison import ViewAnswer
from valverouter.membership.events import MembershipEvent
from valverouter.membership.records import LIVE_STATES
from valverouter.servermodel.paths import NetworkPaths
from valverouter.signalling.tap import (
    ConvergenceDeadlineRow,
    EdgeProcessRow,
    MembershipEventRow,
    MembershipViewRow,
)
from valverouter.terms.between import GossipConfig, derive_key
from valverouter.terms.day import ScenarioConfig
from valverouter.terms.edge import EdgeConfig
from valverouter.terms.scenario_sections import ScenarioGossipConfig

SECRET = b"the key of a day's fleet, which protects nothing but a day"
# What an edge proxy's log says of its fleet, before the word that counts.
SAYS = ("member-", "view-")


class Views:
    """Who runs, and the rows of what they believe.

    Asked once a period: the asking is a load on the rig too, and with it at its limit the paths between the
    processes are later than any fault makes them.
    """

    def __init__(
        self, day: ScenarioConfig, between: ScenarioGossipConfig, world: World, keys: tuple[bytes, ...]
    ) -> None:
        self.day = day
        self.between = between
        self.every = between.period
        self._world = world
        self._keys = keys
        self._lives: dict[str, str] = {}
        self._where: dict[str, str] = {}
        self._closed = False

    @property
    def within(self) -> int:
        return self.between.settles * self.between.period

    def began_at(self, name: str, life: str, address: str) -> None:
        self._lives[name], self._where[name] = life, address
        self._world.tap.record(EdgeProcessRow, edge=name, incarnation=life, is_start=True)

    def over(self, name: str) -> None:
        if name in self._lives and not self._closed:
            self._where.pop(name, None)
            self._world.tap.record(
                EdgeProcessRow, edge=name, incarnation=self._lives.pop(name), is_start=False
            )

    def found(self, name: str, what: str, member: str, life: str) -> None:
        if name in self._lives and not self._closed:
            self._world.tap.record(
                MembershipEventRow,
                edge=name,
                incarnation=self._lives[name],
                kind=what,
                member=member,
                member_incarnation=life,
            )

    def begins(self) -> None:
        """The day's moments count from here."""
        self._world.tap.record(ConvergenceDeadlineRow, max_duration=self.within, poll_interval=self.every)

    async def settle(self) -> None:
        """Waits as long as settling may take, so that it is on record whether it did."""
        faults = [one.until for one in path_faults(self.day)]
        faults += [one.start + one.length for one in self.day.faults.values()]
        rest = max([0, *faults]) - self.day.run.length
        await trio.sleep((max(0, rest) + self.within + 3 * self.every) / 1e9)
        # What follows is the day's own end, and says nothing of the views.
        self._closed = True

    async def _ask(self, asker: FleetClient) -> None:
        while True:
            began = trio.current_time()
            where = dict(self._where)
            answers = await asker.query_views(where.values())
            for one in answers:
                self._row(one)
            await trio.sleep(max(0.0, began + self.every / 1e9 - trio.current_time()))

    def _row(self, one: ViewAnswer) -> None:
        if one.missing_page is not None or self._closed:
            return
        self._world.tap.record(
            MembershipViewRow,
            edge=one.name,
            incarnation=f"{one.incarnation:016x}",
            digest=f"{one.digest:016x}",
            view_health=one.view_health,
            members={row.name: f"{row.incarnation:016x}" for row in one.rows if row.state in LIVE_STATES},
        )

    def _chance(self, what: str) -> Callable[[], float]:
        return random.Random(f"{self.day.run.seed}/{what}").random

    def _asker(self, runtime: Runtime, address: str) -> FleetClient:
        chance = random.Random(f"{self.day.run.seed}/asker")
        return FleetClient(self._keys, runtime.bind_datagrams(address), chance)


class LoopbackViews(Views):
    """Of real processes, with the paths between them."""

    def __init__(
        self,
        day: ScenarioConfig,
        between: ScenarioGossipConfig,
        world: World,
        place: SocketRuntime,
        folder: Path,
    ) -> None:
        super().__init__(day, between, world, (derive_key(SECRET),))
        self._place = place
        self._key_file = folder.absolute() / "between.key"
        with os.fdopen(os.open(self._key_file, os.O_WRONLY | os.O_CREAT | os.O_TRUNC, 0o600), "wb") as file:
            file.write(SECRET)
        self._draw = self._chance("paths")
        self._paths = FakeDatagramNetwork(place.bind_datagrams, world.now, NetworkPaths([], self._draw))
        self._fronts: dict[str, str] = {}

    async def run(self, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED) -> None:
        async with trio.open_nursery() as nursery:
            await nursery.start(self._paths.run)
            for place in range(self.day.fleet.edge_proxies):
                self._fronts[f"e{place}"] = self._paths.open_front(f"e{place}")
            nursery.start_soon(self._ask, self._asker(self._place, "127.0.0.1:0"))
            task_status.started()

    def begins(self) -> None:
        super().begins()
        self._paths.paths = paths_of(self.day, self._draw, self._world.now())

    def section(self, name: str) -> dict[str, str]:
        """The [between] that this edge proxy is started with."""
        seeds = [
            self._fronts[f"e{place}"] for place in range(self.between.seeds) if f"e{place}" in self._fronts
        ]
        return {
            "listen": "127.0.0.1:0",
            "advertise": self._fronts[name],
            "key": str(self._key_file),
            "seeds": ", ".join(seeds),
        }

    def heard(self, name: str, event: str, address: str, member: str, life: str) -> None:
        """A line of its log."""
        if event == "membership-started":
            self._paths.set_process_address(name, address)
            self.began_at(name, life, address)
        elif event.startswith(SAYS):
            self.found(name, event.partition("-")[2], member, life)


class MemoryViews(Views):
    """Of edge proxies in virtual time."""

    def __init__(
        self,
        day: ScenarioConfig,
        between: ScenarioGossipConfig,
        world: World,
        network: MemoryPlace,
        asks: Runtime,
    ) -> None:
        super().__init__(day, between, world, (derive_key(SECRET),))
        self._network = network
        self._asks = asks
        self._draw = self._chance("paths")
        self._starts = 0
        self._tasks: dict[str, MembershipService] = {}
        for place in range(day.fleet.edge_proxies):
            network.names[f"between{place}:1"] = f"e{place}"

    async def run(self, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED) -> None:
        async with trio.open_nursery() as nursery:
            self._network.carrier = nursery
            asker = self._asker(self._asks, "asker:1")
            nursery.start_soon(self._ask, asker)
            task_status.started()

    def begins(self) -> None:
        super().begins()
        # Questions go by no path: the asker is in no group, and no fault names it.
        paths = paths_of(self.day, self._draw, round(trio.current_time() * 1e9))
        self._network.paths = paths
        self._network.unstruck = frozenset({"asker:1"})

    def task(self, name: str, terms: EdgeConfig, runtime: Runtime, proxy: EdgeProxy) -> MembershipService:
        self._starts += 1
        life = random.Random(f"{self.day.run.seed}/life/{name}/{self._starts}").getrandbits(64)
        seeds = tuple(f"between{place}:1" for place in range(self.between.seeds))
        told = GossipConfig(
            f"between{name[1:]}:1",
            self._keys,
            seeds,
            period=self.between.period,
            remembers=self.between.remembers,
        )
        task = MembershipService(
            msgspec.structs.replace(terms, between=told),
            told,
            runtime,
            life,
            lambda: membership_facts(proxy),
            "virtual",
            lambda said: self._hears(name, said),
        )
        self._tasks[name] = task
        return task

    def began(self, name: str) -> None:
        core = self._tasks[name].membership
        assert core is not None
        self.began_at(name, f"{core.own_record.incarnation:016x}", core.own_record.address)

    def _hears(self, name: str, event: MembershipEvent) -> None:
        self.found(name, event.kind.value, event.record.name, f"{event.record.incarnation:016x}")
