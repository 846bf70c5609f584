"""Simulates the membership of a whole fleet: thousands of `Membership` objects over modelled network paths.

Crashes, restarts and stalls are scripted by the caller and partitions by its network paths; the simulation
adds no faults of its own. A process that resumes after a stall first handles the messages received meanwhile
and then runs its timers, like the real one.
"""

from __future__ import annotations

import random
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field

from valverouter.emulator.event_queue import EventQueue
from valverouter.membership.config import MembershipConfig
from valverouter.membership.events import MembershipEvent
from valverouter.membership.membership import Membership
from valverouter.membership.messages import Message
from valverouter.membership.records import MemberRecord
from valverouter.membership.view import MembershipView
from valverouter.servermodel.paths import NetworkPaths

SECOND = 10**9
MILLISECOND = 10**6
# Wall clock at the start of the simulation, ms. A process's generation is its wall clock at its start.
WALL_CLOCK_START_MS = 1_700_000_000_000


@dataclass(slots=True, eq=False)
class SimulatedNode:
    """One process of a member; a restart creates another node under the same name.

    `sent_counts`: messages sent, by the name of their type. `deferred`: messages that arrived during a stall,
    each with its sender's address. `next_wake`: the time at which its timers run next, ns.
    """

    name: str
    address: str
    membership: Membership
    alive: bool = True
    sent_counts: Counter[str] = field(default_factory=Counter)
    sent_bytes: int = 0
    stalled_until: int = 0
    deferred: list[tuple[str, Message]] = field(default_factory=list)
    next_wake: int = 0


class MembershipSimulation(EventQueue):
    """A simulated fleet, which is also the queue of its events.

    `on_event` receives each membership event with the node that reported it. `message_size` returns the size
    of a message in bytes; without it bytes are not counted. `create_member` creates a member, by default a
    `Membership`; benchmarks pass other protocols.
    """

    def __init__(
        self,
        config: MembershipConfig,
        paths: NetworkPaths,
        seed: int = 1,
        on_event: Callable[[SimulatedNode, MembershipEvent], None] = lambda node, event: None,
        message_size: Callable[[Message], int] | None = None,
        create_member: Callable[..., Membership] = Membership,
    ) -> None:
        """Creates an empty fleet at time 0; `seed` seeds all random draws except those of `paths`."""
        super().__init__()
        self.nodes: dict[str, SimulatedNode] = {}
        self.random = random.Random(f"views/{seed}")
        self._config = config
        self._paths = paths
        self._on_event = on_event
        self._message_size = message_size
        self._create_member = create_member
        self._nodes_by_address: dict[str, SimulatedNode] = {}
        self._starts = 0

    # Scripted events

    def start(
        self,
        name: str,
        seeds: tuple[str, ...] = (),
        address: str = "",
        region: str = "",
        wall_ms: int | None = None,
        known_records: list[MemberRecord] | None = None,
    ) -> SimulatedNode:
        """Starts a process of a member; its address is by default derived from its name.

        `wall_ms`: its wall clock, ms, by default the correct one. `known_records`: the initial records of its
        view.
        """
        self._starts += 1
        address = address or f"{name}:1"
        if wall_ms is None:
            wall_ms = self.wall_clock_ms
        own_record = MemberRecord(name, region, 0, address, wall_ms, self.random.getrandbits(64))
        draws = random.Random(f"{self.random.random()}/{self._starts}")
        membership = self._create_member(own_record, self._config, draws.random, self.now, seeds)
        for record in known_records or ():
            if record.name != name:
                membership.view.set_record(record, self.now)
        node = SimulatedNode(name, address, membership)
        self.nodes[name] = node
        self._nodes_by_address[address] = node
        self._wake(node)
        return node

    @property
    def wall_clock_ms(self) -> int:
        """The correct wall clock at the present time, ms."""
        return WALL_CLOCK_START_MS + self.now // MILLISECOND

    def start_converged(
        self, count: int, seeds: tuple[str, ...] = (), region: Callable[[int], str] | None = None
    ) -> None:
        """Starts the members `e0`, `e1`, ..., each with a complete view of the fleet."""
        nodes = [
            self.start(f"e{index}", seeds, region=region(index) if region else "") for index in range(count)
        ]
        full_view = MembershipView(self._config.forgotten_address_limit)
        for node in nodes:
            full_view.set_record(node.membership.own_record, self.now)
        for node in nodes:
            node.membership.view = full_view.copy()

    def kill(self, name: str) -> None:
        """Ends a process without notice to other members."""
        node = self.nodes[name]
        node.alive = False
        if self._nodes_by_address.get(node.address) is node:
            del self._nodes_by_address[node.address]

    def stall(self, name: str, duration: int) -> None:
        """Suspends a process for `duration` ns; messages to it are handled afterwards."""
        node = self.nodes[name]
        if node.alive:
            node.stalled_until = max(node.stalled_until, self.now + duration)
            self.call_at(node.stalled_until, self._resume, node)

    def leave(self, name: str) -> None:
        """Ends a process after it has announced that it leaves the group."""
        node = self.nodes[name]
        node.membership.leave(self.now)
        self._flush(node)
        self.kill(name)

    # Processes

    def _wake(self, node: SimulatedNode) -> None:
        node.next_wake = node.membership.next_timer
        self.call_at(node.next_wake, self._tick, node)

    def _tick(self, node: SimulatedNode) -> None:
        if not node.alive or self.now < node.stalled_until or self.now != node.next_wake:
            return
        node.membership.tick(self.now)
        self._flush(node)
        self._wake(node)

    def _resume(self, node: SimulatedNode) -> None:
        if not node.alive or self.now < node.stalled_until:
            return
        deferred, node.deferred = node.deferred, []
        # Messages first, timers afterwards: the delay of the timers shows that the process was suspended.
        for address, message in deferred:
            node.membership.receive(self.now, address, message)
        node.membership.tick(self.now)
        self._flush(node)
        self._wake(node)

    def _deliver(self, node: SimulatedNode, source: str, message: Message) -> None:
        if not node.alive:
            return
        if self.now < node.stalled_until:
            node.deferred.append((source, message))
            return
        node.membership.receive(self.now, source, message)
        self._flush(node)
        if node.membership.next_timer < node.next_wake:
            self._wake(node)

    def _flush(self, node: SimulatedNode) -> None:
        membership = node.membership
        for event in membership.take_events():
            self._on_event(node, event)
        for address, message in membership.take_outbox():
            node.sent_counts[type(message).__name__] += 1
            if self._message_size is not None:
                node.sent_bytes += self._message_size(message)
            receiver = self._nodes_by_address.get(address)
            if receiver is None:
                continue
            for delay in self._paths.delivery_delays(node.name, receiver.name, self.now):
                self.call_at(self.now + delay, self._deliver, receiver, node.address, message)

    # Observation

    def running_nodes(self) -> list[SimulatedNode]:
        """Returns the running nodes, including stalled ones."""
        return [node for node in self.nodes.values() if node.alive]

    def is_converged(self) -> bool:
        """Whether all running nodes have the same view, whose live members are exactly these nodes."""
        nodes = self.running_nodes()
        view = nodes[0].membership.view
        if view.live_count != len(nodes):
            return False
        if any(node.membership.view.digest != view.digest for node in nodes):
            return False
        return all(
            view.records[node.name].incarnation == node.membership.own_record.incarnation for node in nodes
        )

    def run_until_converged(self, until: int, step: int = SECOND // 4) -> int | None:
        """Runs until all views agree or `until` is reached; returns the time of agreement, ns, or None."""
        while self.now < until:
            self.run_until(self.now + step)
            if self.is_converged():
                return self.now
        return None
