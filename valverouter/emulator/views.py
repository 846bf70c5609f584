"""Views of whole fleets in simulated time: thousands of `Membership`s over modelled paths, and what they
find.

Instances crash, come back, stall and are cut off as told; nothing here decides anything. A stalled instance
reads what came meanwhile first, and then does what was due, as the running one does.
"""

from __future__ import annotations

import heapq
import random
from collections import Counter
from collections.abc import Callable

from valverouter.membership.config import MembershipConfig
from valverouter.membership.events import MembershipEvent
from valverouter.membership.membership import Membership
from valverouter.membership.messages import Message
from valverouter.membership.records import MemberRecord
from valverouter.membership.view import MembershipView
from valverouter.servermodel.paths import Paths

SECOND = 10**9
# Wall time at the beginning, ms: what a process takes for its number.
WALL = 1_700_000_000_000


class Node:
    """One process of an instance; a restart makes another under the same name."""

    __slots__ = (
        "address",
        "alive",
        "bytes",
        "membership",
        "name",
        "sent",
        "stalled_until",
        "waiting",
        "wakes",
    )

    def __init__(self, name: str, address: str, core: Membership) -> None:
        self.name = name
        self.address = address
        self.membership = core
        self.alive = True
        self.sent: Counter[str] = Counter()
        self.bytes = 0
        self.stalled_until = 0
        self.waiting: list[tuple[str, Message]] = []
        self.wakes = 0


class Views:
    """A fleet. `watch` hears each thing found, with the node that found it; `size` tells a message's
    bytes."""

    def __init__(
        self,
        rules: MembershipConfig,
        paths: Paths,
        seed: int = 1,
        watch: Callable[[Node, MembershipEvent], None] = lambda node, event: None,
        size: Callable[[Message], int] | None = None,
        make: Callable[..., Membership] = Membership,
    ) -> None:
        self.now = 0
        self.nodes: dict[str, Node] = {}
        self.chance = random.Random(f"views/{seed}")
        self._rules = rules
        self._paths = paths
        self._watch = watch
        self._size = size
        self._make = make
        self._at_address: dict[str, Node] = {}
        self._events: list[tuple[int, int, Callable[..., None], tuple[object, ...]]] = []
        self._serial = 0
        self._starts = 0

    # The script

    def at(self, when: int, act: Callable[..., None], *args: object) -> None:
        self._serial += 1
        heapq.heappush(self._events, (when, self._serial, act, args))

    def start(
        self,
        name: str,
        seeds: tuple[str, ...] = (),
        address: str = "",
        region: str = "",
        wall_ms: int | None = None,
        knows: list[MemberRecord] | None = None,
    ) -> Node:
        """A new process of an instance, by default at its name's address. `knows`: a view it begins with, for
        fleets whose beginning is not what is looked at."""
        self._starts += 1
        address = address or f"{name}:1"
        number = WALL + self.now // 10**6 if wall_ms is None else wall_ms
        mine = MemberRecord(name, region, 0, address, number, self.chance.getrandbits(64))
        draws = random.Random(f"{self.chance.random()}/{self._starts}")
        core = self._make(mine, self._rules, draws.random, self.now, seeds)
        for record in knows or ():
            if record.name != name:
                core.view.put(record, self.now)
        node = Node(name, address, core)
        self.nodes[name] = node
        self._at_address[address] = node
        self._wake(node)
        return node

    def full(
        self, count: int, seeds: tuple[str, ...] = (), region: Callable[[int], str] | None = None
    ) -> None:
        """A fleet that knows itself already."""
        nodes = [self.start(f"e{at}", seeds, region=region(at) if region else "") for at in range(count)]
        whole = MembershipView(self._rules.forgotten_address_limit)
        for node in nodes:
            whole.put(node.membership.own_record, self.now)
        for node in nodes:
            node.membership.view = whole.copy()

    def kill(self, name: str) -> None:
        self.nodes[name].alive = False
        if self._at_address.get(self.nodes[name].address) is self.nodes[name]:
            del self._at_address[self.nodes[name].address]

    def stall(self, name: str, span: int) -> None:
        node = self.nodes[name]
        if node.alive:
            node.stalled_until = max(node.stalled_until, self.now + span)
            self.at(node.stalled_until, self._resume, node)

    def leave(self, name: str) -> None:
        node = self.nodes[name]
        node.membership.leave(self.now)
        self._after(node)
        self.kill(name)

    # The course

    def run(self, until: int) -> None:
        events = self._events
        while events and events[0][0] <= until:
            when, _, act, args = heapq.heappop(events)
            self.now = when
            act(*args)
        self.now = until

    def _wake(self, node: Node) -> None:
        node.wakes = node.membership.next_timer
        self.at(node.wakes, self._tick, node)

    def _tick(self, node: Node) -> None:
        if not node.alive or self.now < node.stalled_until or self.now != node.wakes:
            return
        node.membership.tick(self.now)
        self._after(node)
        self._wake(node)

    def _resume(self, node: Node) -> None:
        if not node.alive or self.now < node.stalled_until:
            return
        waiting, node.waiting = node.waiting, []
        # What is due is seen to be late before what came is read: the timers of a stopped process show it.
        for address, message in waiting:
            node.membership.receive(self.now, address, message)
        node.membership.tick(self.now)
        self._after(node)
        self._wake(node)

    def _hear(self, node: Node, source: str, message: Message) -> None:
        if not node.alive:
            return
        if self.now < node.stalled_until:
            node.waiting.append((source, message))
            return
        node.membership.receive(self.now, source, message)
        self._after(node)
        if node.membership.next_timer < node.wakes:
            self._wake(node)

    def _after(self, node: Node) -> None:
        core = node.membership
        if core.events:
            for event in core.take_events():
                self._watch(node, event)
        if not core.outbox:
            return
        for address, message in core.take_outbox():
            node.sent[type(message).__name__] += 1
            if self._size is not None:
                node.bytes += self._size(message)
            there = self._at_address.get(address)
            if there is None:
                continue
            for span in self._paths.arrivals(node.name, there.name, self.now):
                self.at(self.now + span, self._hear, there, node.address, message)

    # What is seen

    def live(self) -> list[Node]:
        return [node for node in self.nodes.values() if node.alive]

    def is_settled(self) -> bool:
        """Every live instance has the same digest, and it is that of those who live."""
        live = self.live()
        one = live[0].membership.view
        if one.live_count != len(live) or any(node.membership.view.digest != one.digest for node in live):
            return False
        return all(
            one.records[node.name].incarnation == node.membership.own_record.incarnation for node in live
        )

    def settles(self, until: int, step: int = SECOND // 4) -> int | None:
        """Runs until settled; when that was, or None."""
        while self.now < until:
            self.run(self.now + step)
            if self.is_settled():
                return self.now
        return None
