"""Membership of whole fleets in simulated time: thousands of `Membership`s over modelled network paths.

Processes crash, restart, stall and are partitioned as scripted; nothing here decides anything. A stalled
process first handles the messages received meanwhile and then runs its timers, as the real one does.
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
from valverouter.servermodel.paths import NetworkPaths

SECOND = 10**9
# Wall clock at the start, ms: the generation of a process that starts then.
WALL = 1_700_000_000_000


class Node:
    """One process of a member; a restart makes another node under the same name."""

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

    def __init__(self, name: str, address: str, membership: Membership) -> None:
        self.name = name
        self.address = address
        self.membership = membership
        self.alive = True
        self.sent: Counter[str] = Counter()
        self.bytes = 0
        self.stalled_until = 0
        self.waiting: list[tuple[str, Message]] = []
        self.wakes = 0


class Views:
    """A fleet.

    `watch` receives each event with the node that reported it. `size` returns a message's bytes; without it
    bytes are not counted. `make` creates a member, by default the program's own.
    """

    def __init__(
        self,
        config: MembershipConfig,
        paths: NetworkPaths,
        seed: int = 1,
        watch: Callable[[Node, MembershipEvent], None] = lambda node, event: None,
        size: Callable[[Message], int] | None = None,
        make: Callable[..., Membership] = Membership,
    ) -> None:
        """An empty fleet at time 0; `seed` decides all random draws but those of the paths."""
        self.now = 0
        self.nodes: dict[str, Node] = {}
        self.chance = random.Random(f"views/{seed}")
        self._config = config
        self._paths = paths
        self._watch = watch
        self._size = size
        self._make = make
        self._at_address: dict[str, Node] = {}
        self._events: list[tuple[int, int, Callable[..., None], tuple[object, ...]]] = []
        self._serial = 0
        self._starts = 0

    # Scripted events

    def at(self, time: int, action: Callable[..., None], *arguments: object) -> None:
        """Calls `action(*arguments)` at `time`, ns."""
        self._serial += 1
        heapq.heappush(self._events, (time, self._serial, action, arguments))

    def start(
        self,
        name: str,
        seeds: tuple[str, ...] = (),
        address: str = "",
        region: str = "",
        wall_ms: int | None = None,
        knows: list[MemberRecord] | None = None,
    ) -> Node:
        """Starts a process of a member, by default at its name's address.

        `wall_ms`: its wall clock, by default the right one. `knows`: records that it holds from the start.
        """
        self._starts += 1
        address = address or f"{name}:1"
        number = WALL + self.now // 10**6 if wall_ms is None else wall_ms
        mine = MemberRecord(name, region, 0, address, number, self.chance.getrandbits(64))
        draws = random.Random(f"{self.chance.random()}/{self._starts}")
        membership = self._make(mine, self._config, draws.random, self.now, seeds)
        for record in knows or ():
            if record.name != name:
                membership.view.put(record, self.now)
        node = Node(name, address, membership)
        self.nodes[name] = node
        self._at_address[address] = node
        self._wake(node)
        return node

    def full(
        self, count: int, seeds: tuple[str, ...] = (), region: Callable[[int], str] | None = None
    ) -> None:
        """Starts a fleet whose members `e0`, `e1`, ... know each other already."""
        nodes = [self.start(f"e{at}", seeds, region=region(at) if region else "") for at in range(count)]
        whole = MembershipView(self._config.forgotten_address_limit)
        for node in nodes:
            whole.put(node.membership.own_record, self.now)
        for node in nodes:
            node.membership.view = whole.copy()

    def kill(self, name: str) -> None:
        """Ends a process; the others are not told."""
        self.nodes[name].alive = False
        if self._at_address.get(self.nodes[name].address) is self.nodes[name]:
            del self._at_address[self.nodes[name].address]

    def stall(self, name: str, span: int) -> None:
        """Stops a process for `span` ns; messages wait until then."""
        node = self.nodes[name]
        if node.alive:
            node.stalled_until = max(node.stalled_until, self.now + span)
            self.at(node.stalled_until, self._resume, node)

    def leave(self, name: str) -> None:
        """Ends a process that announces its leave."""
        node = self.nodes[name]
        node.membership.leave(self.now)
        self._flush(node)
        self.kill(name)

    # Simulation

    def run(self, until: int) -> None:
        """Runs the fleet until a time, ns."""
        events = self._events
        while events and events[0][0] <= until:
            self.now, _, action, arguments = heapq.heappop(events)
            action(*arguments)
        self.now = until

    def _wake(self, node: Node) -> None:
        node.wakes = node.membership.next_timer
        self.at(node.wakes, self._tick, node)

    def _tick(self, node: Node) -> None:
        if not node.alive or self.now < node.stalled_until or self.now != node.wakes:
            return
        node.membership.tick(self.now)
        self._flush(node)
        self._wake(node)

    def _resume(self, node: Node) -> None:
        if not node.alive or self.now < node.stalled_until:
            return
        waiting, node.waiting = node.waiting, []
        # Messages first, timers afterwards: how late the timers are shows that the process was stopped.
        for address, message in waiting:
            node.membership.receive(self.now, address, message)
        node.membership.tick(self.now)
        self._flush(node)
        self._wake(node)

    def _deliver(self, node: Node, source: str, message: Message) -> None:
        if not node.alive:
            return
        if self.now < node.stalled_until:
            node.waiting.append((source, message))
            return
        node.membership.receive(self.now, source, message)
        self._flush(node)
        if node.membership.next_timer < node.wakes:
            self._wake(node)

    def _flush(self, node: Node) -> None:
        membership = node.membership
        for event in membership.take_events():
            self._watch(node, event)
        for address, message in membership.take_outbox():
            node.sent[type(message).__name__] += 1
            if self._size is not None:
                node.bytes += self._size(message)
            there = self._at_address.get(address)
            if there is None:
                continue
            for span in self._paths.delivery_delays(node.name, there.name, self.now):
                self.at(self.now + span, self._deliver, there, node.address, message)

    # Observation

    def live(self) -> list[Node]:
        """The nodes that run, stalled ones included."""
        return [node for node in self.nodes.values() if node.alive]

    def is_settled(self) -> bool:
        """Whether all running nodes have the same view, and it holds exactly these nodes."""
        live = self.live()
        view = live[0].membership.view
        if view.live_count != len(live) or any(node.membership.view.digest != view.digest for node in live):
            return False
        return all(
            view.records[node.name].incarnation == node.membership.own_record.incarnation for node in live
        )

    def settles(self, until: int, step: int = SECOND // 4) -> int | None:
        """Runs until all views agree, at most until `until`; the time (ns) when they did, or None."""
        while self.now < until:
            self.run(self.now + step)
            if self.is_settled():
                return self.now
        return None
