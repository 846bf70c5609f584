"""The raft server process: performs the network and disk I/O of one control plane node of `rollout`.

A node's state is written to disk before any message is sent that depends on it. Nodes announce their disk
ids to each other, so that the leader can add a node that is not a member yet or has lost its disk.
"""

from __future__ import annotations

import secrets

import structlog
import trio

from valverouter.config.rollout import RaftServerConfig
from valverouter.edge.runtime import Runtime
from valverouter.fleet.client_requests import ClientRequestHandler
from valverouter.fleet.clock import monotonic_ns
from valverouter.fleet.messages import (
    ClientRequest,
    ControlMessage,
    DesiredStateMessage,
    NodeAnnouncement,
    RaftEnvelope,
    ReportMessage,
)
from valverouter.fleet.operation_events import OperationEventLogger
from valverouter.fleet.orchestrator_config import orchestrator_config
from valverouter.fleet.raft_membership import RaftMembershipReconciler
from valverouter.fleet.transport import Transport
from valverouter.ledger.raft_store import RaftStore
from valverouter.randomness import CounterRandom
from valverouter.rollout.control_plane_node import ControlPlaneNode, DesiredStateReply
from valverouter.rollout.raft_log import Configuration, LogEntry, PersistentState, SaveEntries
from valverouter.rollout.serialization import from_wire, to_wire

# Maximum time to wait for a datagram before timers are checked.
MAX_SLEEP_S = 0.05
# Maximum number of messages that are handled before timers are checked again.
BATCH_SIZE = 64
ANNOUNCEMENT_INTERVAL_S = 1.0
INCARNATION_BITS = 63
# Stamp, in ns, assumed for a report that acknowledges no message of this incarnation: lower than any stamp
# of the monotonic clock.
NO_STAMP = -(10**18)

log = structlog.get_logger()


class AlreadyBootstrappedError(RuntimeError):
    """Raised when a raft group is bootstrapped from a store that is not empty."""


class RaftServer:
    """Runs one node of the control plane with a socket and a store."""

    def __init__(self, config: RaftServerConfig, runtime: Runtime, store: RaftStore, bootstrap: bool) -> None:
        """Loads the node's state from `store`.

        `bootstrap`: this is the first node of a new group, which adds the others. Raises
        AlreadyBootstrappedError if the store is not empty then.
        """
        self._config = config
        self._runtime = runtime
        self._store = store
        self._incarnation = secrets.randbits(INCARNATION_BITS)
        self._announced_at = float("-inf")
        self._was_leader = False
        self._log = log.bind(seat=config.name)
        persistent = store.load()
        if bootstrap:
            _bootstrap(config.name, persistent, store)
        draw = CounterRandom(self._incarnation).draw
        self.node = ControlPlaneNode(
            config.name, persistent, orchestrator_config(config), draw, monotonic_ns()
        )
        # Replies to send after the state that they depend on has been written to disk.
        self._replies: list[tuple[str, ControlMessage]] = []
        self._client_requests = ClientRequestHandler(self.node, self._reply)
        self._reconciler = RaftMembershipReconciler(self.node, frozenset(config.council), self._log)
        self._operation_events = OperationEventLogger(self._log)

    async def run(self, task_status: trio.TaskStatus[str] = trio.TASK_STATUS_IGNORED) -> None:
        """Runs until cancelled.

        Raises OSError if the address can't be bound, and StoreError if a write to disk fails: a node that
        can't persist its state must not continue.
        """
        socket = self._runtime.bind_datagrams(self._config.listen)
        try:
            transport = Transport(socket, self._config.keys, self._config.name, self._incarnation)
            self._log.info("raft-server-listening", address=transport.address, disk=f"{self._disk_id:016x}")
            task_status.started(transport.address)
            while True:
                with trio.move_on_after(MAX_SLEEP_S):
                    await socket.wait_readable()
                await self._runtime.checkpoint()
                self._receive_batch(transport)
                self.node.tick(monotonic_ns())
                self._reconciler.reconcile(monotonic_ns())
                self._flush(transport)
                self._announce(transport)
                self._log_changes()
        finally:
            socket.close()

    @property
    def _disk_id(self) -> int:
        return self.node.raft.persistent.disk_id

    def _receive_batch(self, transport: Transport) -> None:
        for _ in range(BATCH_SIZE):
            received = transport.receive()
            if received is None:
                break
            self._on_message(*received)
            self._flush(transport)

    def _on_message(self, message: ControlMessage, source: str) -> None:
        match message:
            case RaftEnvelope(recipient, content):
                if recipient == self._config.name:
                    self.node.on_message(monotonic_ns(), from_wire(content))
            case NodeAnnouncement(name, disk_id):
                self._reconciler.on_announcement(name, disk_id)
            case ReportMessage():
                self._on_report(message, source)
            case ClientRequest():
                self._client_requests.on_request(source, message)

    def _on_report(self, message: ReportMessage, source: str) -> None:
        is_answer = message.incarnation == self._incarnation
        made_after = message.stamp if is_answer else NO_STAMP
        self.node.on_report(
            monotonic_ns(),
            message.report,
            made_after,
            lambda desired: self._reply(source, self._desired_state_message(desired)),
        )

    def _desired_state_message(self, reply: DesiredStateReply) -> DesiredStateMessage:
        return DesiredStateMessage(
            self._config.name, reply.instance, self._incarnation, reply.stamp, reply.desired, reply.is_open
        )

    def _reply(self, address: str, message: ControlMessage) -> None:
        self._replies.append((address, message))

    def _flush(self, transport: Transport) -> None:
        """Writes pending changes to disk, then sends the outgoing messages and replies."""
        if self.node.pending_saves:
            self._store.commit(self.node.pending_saves)
            self.node.pending_saves.clear()
        outgoing = list(self.node.outgoing)
        self.node.outgoing.clear()
        for name, message in outgoing:
            address = self._config.council.get(name)
            if address is not None:
                transport.send(address, RaftEnvelope(name, to_wire(message)))
        replies, self._replies = self._replies, []
        for address, reply in replies:
            transport.send(address, reply)

    def _announce(self, transport: Transport) -> None:
        now = trio.current_time()
        if now - self._announced_at < ANNOUNCEMENT_INTERVAL_S:
            return
        self._announced_at = now
        announcement = NodeAnnouncement(self._config.name, self._disk_id)
        for name, address in self._config.council.items():
            if name != self._config.name:
                transport.send(address, announcement)

    def _log_changes(self) -> None:
        if self.node.is_leader != self._was_leader:
            self._was_leader = self.node.is_leader
            self._client_requests.on_leadership_changed()
            event = "raft-leadership-acquired" if self._was_leader else "raft-leadership-lost"
            self._log.info(event, term=self.node.raft.persistent.current_term)
        self._operation_events.log_changes(self.node.operation_log.operations)


def _bootstrap(name: str, persistent: PersistentState, store: RaftStore) -> None:
    """Writes the first log entry of a new group: a configuration with this node as the only member."""
    if persistent.entries or persistent.snapshot or persistent.current_term:
        raise AlreadyBootstrappedError(f"{store.path} is not empty: the raft group was already bootstrapped")
    only_member = Configuration(((name, persistent.disk_id),))
    save = SaveEntries(1, (LogEntry(1, only_member),))
    persistent.apply(save)
    store.commit([save])
