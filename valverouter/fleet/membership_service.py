"""A task beside an edge proxy that runs the fleet's membership protocol on one socket.

Datagrams are read in small batches with a checkpoint between them, so that a flood of datagrams does not
starve the instance's other tasks. Datagrams that have arrived are processed before timers: after a pause of
the process, messages that arrived meanwhile must be processed before a timer finds their senders silent.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable
from typing import Any

import msgspec
import structlog
import trio

from valverouter.config.edge import EdgeConfig
from valverouter.config.gossip import GossipConfig
from valverouter.edge.runtime import DatagramSocket, Runtime
from valverouter.fleet.authentication import (
    MAX_DATAGRAM_BYTES,
    Authenticator,
    DatagramReader,
    MessageTooLongError,
)
from valverouter.fleet.clock import monotonic_ns
from valverouter.fleet.queries import CountersQuery, CountersReply, ViewPage, ViewQuery
from valverouter.fleet.transport import DropLogger
from valverouter.fleet.view_pages import view_page
from valverouter.membership.config import MembershipConfig
from valverouter.membership.convergence import ViewHealth
from valverouter.membership.events import EventKind, MembershipEvent
from valverouter.membership.membership import Membership
from valverouter.membership.records import MemberRecord, Phase
from valverouter.randomness import CounterRandom
from valverouter.rollout.reports import InstanceCounters

# Maximum number of datagrams that are read between two checkpoints.
BATCH_SIZE = 16
# Maximum sleep; also the interval at which `facts` is checked for changes.
MAX_SLEEP_S = 0.25
NS_PER_MS = 1_000_000
# Log levels of membership events; all others are logged at info level.
EVENT_LEVELS = {
    EventKind.CONFLICT: "error",
    EventKind.CUT_OFF: "warning",
    EventKind.STALLED: "warning",
    EventKind.ACCUSED: "warning",
}

log = structlog.get_logger()


def _ignore_event(event: MembershipEvent) -> None:
    """Ignores an event; the default for `on_event`."""


class MembershipService:
    """Runs the membership protocol for one instance and answers queries for its view and counters."""

    def __init__(
        self,
        config: EdgeConfig,
        gossip: GossipConfig,
        runtime: Runtime,
        incarnation: int,
        facts: Callable[[], tuple[Phase, str]],
        version: str = "",
        on_event: Callable[[MembershipEvent], None] = _ignore_event,
        counters: Callable[[], InstanceCounters] = InstanceCounters,
    ) -> None:
        """Creates the service; `run` opens the socket.

        `incarnation` is 64 random bits, generated once per process. `facts` returns the instance's phase and
        configuration digest, `counters` its counters; both are called repeatedly.
        """
        self.counts: Counter[str] = Counter()
        self.membership: Membership | None = None
        self.ended = trio.Event()
        self._config = config
        self._gossip = gossip
        self._runtime = runtime
        self._incarnation = incarnation
        self._facts = facts
        self._version = version
        self._on_event = on_event
        self._counters = counters
        self._authenticator = Authenticator(gossip.keys)
        self._reader = DatagramReader(self._authenticator)
        self._log = log.bind(edge=config.name)
        self._drop_logger = DropLogger(self._reader, self._log)
        self._leaving = False
        self._sleep_scope = trio.CancelScope()
        # The fleet size that was last compared with the configuration.
        self._checked_size = config.deployment.edge_proxies

    async def run(self, task_status: trio.TaskStatus[MembershipService] = trio.TASK_STATUS_IGNORED) -> None:
        """Runs until `leave` is called or it is cancelled; raises OSError if the address can't be bound."""
        socket = self._runtime.bind_datagrams(self._gossip.listen)
        try:
            self.membership = membership = self._join(socket.address)
            own_record = membership.own_record
            self._log.info(
                "membership-started",
                address=socket.address,
                advertised=own_record.address,
                life=f"{own_record.incarnation:016x}",
            )
            task_status.started(self)
            await self._serve(socket, membership)
        finally:
            socket.close()
            self.ended.set()

    def _join(self, bound_address: str) -> Membership:
        gossip, config = self._gossip, self._config
        phase, config_digest = self._facts()
        own_record = MemberRecord(
            name=config.name,
            region=config.region,
            place=config.place,
            address=gossip.advertise or bound_address,
            generation=self._runtime.wall_time() // NS_PER_MS,
            incarnation=self._incarnation,
            version=self._version,
            config_digest=config_digest,
            phase=phase,
        )
        membership_config = MembershipConfig(probe_period=gossip.period, gone_retention=gossip.remembers)
        draw = CounterRandom(self._incarnation).draw
        return Membership(own_record, membership_config, draw, monotonic_ns(), gossip.seeds)

    async def _serve(self, socket: DatagramSocket, membership: Membership) -> None:
        while not self._leaving:
            await self._wait(socket, membership)
            self._receive_batch(socket, membership)
            now = monotonic_ns()
            phase, config_digest = self._facts()
            membership.update_facts(now, phase, config_digest)
            # `now` is read after at most one batch of datagrams: a flood does not keep timers from running,
            # and after a pause received messages are processed before a timer expires.
            if membership.next_timer <= now:
                membership.tick(now)
                self._check_fleet_size(membership)
            self._flush(socket, membership)
        membership.leave(monotonic_ns())
        self._flush(socket, membership)

    async def _wait(self, socket: DatagramSocket, membership: Membership) -> None:
        """Waits for a datagram, the next timer or a call of `leave`, at most MAX_SLEEP_S."""
        until_due = (membership.next_timer - monotonic_ns()) / 1e9
        with trio.move_on_after(min(max(0.0, until_due), MAX_SLEEP_S)) as self._sleep_scope:
            await socket.wait_readable()
        await self._runtime.checkpoint()

    def leave(self) -> None:
        """Announces to the other members that this instance leaves, and ends `run`."""
        self._leaving = True
        self._sleep_scope.cancel()

    # Incoming datagrams

    def _receive_batch(self, socket: DatagramSocket, membership: Membership) -> None:
        for _ in range(BATCH_SIZE):
            datagram = socket.receive()
            if datagram is None:
                break
            self._on_datagram(socket, membership, *datagram)

    def _on_datagram(self, socket: DatagramSocket, membership: Membership, data: bytes, source: str) -> None:
        message = self._reader.read(data)
        if message is None:
            self._on_dropped()
        elif isinstance(message, ViewQuery):
            self._reply_with_page(socket, membership, message, source)
        elif isinstance(message, CountersQuery):
            self._reply_with_counters(socket, membership, message, source)
        elif not isinstance(message, ViewPage | CountersReply):
            self.counts["heard"] += 1
            membership.receive(monotonic_ns(), source, message)

    def _on_dropped(self) -> None:
        for version in self._reader.unknown_versions:
            self._log.warning("version-unknown", version=version)
        self._reader.unknown_versions.clear()
        self._drop_logger.on_dropped()

    def _reply_with_page(
        self, socket: DatagramSocket, membership: Membership, query: ViewQuery, source: str
    ) -> None:
        counts = {f"dropped-{reason}": count for reason, count in self._reader.dropped.items()}
        page = view_page(membership, monotonic_ns(), query, counts | dict(self.counts))
        if page is not None:
            self._send(socket, source, page)

    def _reply_with_counters(
        self, socket: DatagramSocket, membership: Membership, query: CountersQuery, source: str
    ) -> None:
        counters = msgspec.structs.replace(
            self._counters(), incarnation=self._incarnation, view_health=membership.view_health.value
        )
        own_record = membership.own_record
        sender = own_record.name, own_record.incarnation, membership.view.digest
        reply = CountersReply(*sender, query.nonce, counters)
        self._send(socket, source, reply)

    # Outgoing datagrams and events

    def _flush(self, socket: DatagramSocket, membership: Membership) -> None:
        """Logs the events and sends the messages that the membership has queued."""
        for event in membership.take_events():
            self._log_event(membership, event)
        for address, message in membership.take_outbox():
            self._send(socket, address, message)

    def _send(self, socket: DatagramSocket, address: str, message: Any) -> None:
        try:
            data = self._authenticator.sign(message)
        except MessageTooLongError as error:
            self.counts["too-long"] += 1
            self._log.error("message-too-long", why=str(error), most=MAX_DATAGRAM_BYTES)
            return
        self.counts["sent"] += 1
        self.counts["sent-bytes"] += len(data)
        if not socket.send(data, address):
            self.counts["not-sent"] += 1

    def _log_event(self, membership: Membership, event: MembershipEvent) -> None:
        kind = event.kind.value
        self.counts[kind] += 1
        self._on_event(event)
        record = event.record
        is_own = record.incarnation == membership.own_record.incarnation
        subject = "view" if is_own else "member"
        level = EVENT_LEVELS.get(event.kind, "info")
        getattr(self._log, level)(
            f"{subject}-{kind}",
            member=record.name,
            life=f"{record.incarnation:016x}",
            number=record.generation,
            address=record.address,
            by=event.source,
            digest=f"{membership.view.digest:016x}",
            members=membership.view.live_count,
        )

    def _check_fleet_size(self, membership: Membership) -> None:
        """Logs a warning, once per count, when the view settles on a member count other than configured."""
        members = membership.view.live_count
        if membership.view_health is not ViewHealth.SETTLED or members == self._checked_size:
            return
        self._checked_size = members
        configured = self._config.deployment.edge_proxies
        if members != configured:
            self.counts["size-differs"] += 1
            self._log.warning("fleet-size-differs", members=members, edge_proxies=configured)
