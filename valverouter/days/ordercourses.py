"""Courses of orders drawn by a seed: tools that are killed, seats and keepers killed and stopped, edges
proxies killed, cuts, loss and delays between them; then calm, and everybody is to be in again."""

from __future__ import annotations

import random

import trio

from valverouter.days.operation_files import NODES, supervisor_of
from valverouter.days.ordering import OrderRig
from valverouter.servermodel.paths import PathFault

VERSIONS = ("v1", "v2", "declines", "crashes", "dies-late")
# How long all may take to come to rest once faults are over: a release that waits for its evidence, and the
# orders behind it.
REST_S = 150.0


class OrderCourse:
    """One course; `play` is a script for `run_orders`."""

    def __init__(self, seed: int, length_s: float) -> None:
        self._chance = random.Random(f"orders/{seed}")
        self._length_s = length_s
        self.orders = 0
        self.faults = 0
        self.rested = False

    async def play(self, rig: OrderRig) -> None:
        chance = self._chance
        began = trio.current_time()
        async with trio.open_nursery() as nursery:
            with trio.move_on_after(self._length_s):
                while True:
                    await trio.sleep(chance.expovariate(1 / 1.2))
                    if chance.random() < 0.5:
                        nursery.start_soon(self._order, rig, self._words(rig))
                    else:
                        nursery.start_soon(self._fault, rig, began)
            # Whatever was struck comes back by itself within its own span.
        for name in (*NODES, *map(supervisor_of, (*rig.edges, *rig.servers))):
            if rig.processes[name].poll() is not None:
                rig.start(name)
        with trio.move_on_after(REST_S):
            while not self.rested:
                await rig.settled(REST_S)
                shown = await rig.status()
                if shown is None or any(one.phase != "ended" for one in shown.operations):
                    continue
                if any(unit.state == "drained" for unit in shown.instances):
                    await rig.tool("undrain", "--all")
                    continue
                self.rested = True

    def _words(self, rig: OrderRig) -> tuple[str, ...]:
        chance = self._chance
        kind = chance.choices(("restart", "release", "drain", "undrain", "halt"), (3, 4, 2, 2, 1))[0]
        self.orders += 1
        id_ = f"o{self.orders}"
        if kind == "halt":
            return ("halt",)
        if kind == "undrain":
            return ("undrain", "--all", "--id", id_)
        if kind == "drain":
            return ("drain", chance.choice(rig.edges), "--id", id_)
        if rig.servers and chance.random() < 0.2:
            return ("restart", chance.choice(rig.servers), "--servers", "--id", id_)
        names = sorted(chance.sample(rig.edges, chance.randint(1, len(rig.edges))))
        if kind == "restart":
            return ("restart", *names, "--id", id_)
        return ("release", *names, "--to", chance.choice(VERSIONS), "--id", id_)

    async def _order(self, rig: OrderRig, words: tuple[str, ...]) -> None:
        """A tool that may be killed at any moment, and is told again now and then."""
        again = self._chance.random() < 0.3
        await rig.tool(*words, within=self._chance.choice((1.0, 2.0, 4.0, 8.0)))
        if again:
            await rig.tool(*words, within=4.0)

    async def _fault(self, rig: OrderRig, began: float) -> None:
        chance = self._chance
        left = self._length_s - (trio.current_time() - began)
        span = min(chance.uniform(0.5, 6.0), max(0.1, left))
        self.faults += 1
        kind = chance.random()
        seat, edge = chance.choice(NODES), chance.choice(rig.edges)
        if kind < 0.4:
            name = seat if kind < 0.2 else supervisor_of(edge)
            if rig.processes[name].poll() is None:
                rig.kill(name)
                await trio.sleep(span)
                rig.start(name)
        elif kind < 0.55:
            rig.kill(edge)
        elif kind < 0.7:
            name = seat if kind < 0.62 else supervisor_of(edge)
            if rig.processes[name].poll() is None:
                await rig.stall(name, span)
        else:
            self._path(rig, span)

    def _path(self, rig: OrderRig, span: float) -> None:
        chance, now = self._chance, rig.world.now()
        names = [*NODES, *rig.edges, *map(supervisor_of, (*rig.edges, *rig.servers))]
        some = frozenset(chance.sample(names, chance.randint(1, len(names) // 2)))
        rest = frozenset(names) - some
        until = now + round(span * 1e9)
        kind = chance.choice(("split", "cut", "loss", "late"))
        if kind == "split":
            rig.strike(PathFault("split", now, until, groups=(some, rest)))
        elif kind == "cut":
            rig.strike(PathFault("cut", now, until, senders=some, receivers=rest))
        elif kind == "loss":
            rig.strike(PathFault("loss", now, until, senders=some, probability=chance.uniform(0.1, 0.5)))
        else:
            rig.strike(PathFault("late", now, until, senders=some, delay=300_000_000, jitter=0.5))
