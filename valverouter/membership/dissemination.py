"""Dissemination of updates: piggybacked on other messages, and in gossip rounds while they are new."""

from __future__ import annotations

from valverouter.membership.gossip import BroadcastQueue
from valverouter.membership.local_node import LocalNode
from valverouter.membership.messages import Gossip
from valverouter.membership.records import MemberRecord


class Dissemination:
    """Disseminates the updates that one member publishes or passes on."""

    def __init__(self, node: LocalNode) -> None:
        self._node = node
        self._queue = BroadcastQueue(node.config.max_update_bytes)
        self._is_gossip_scheduled = False

    def publish(self, own_record: MemberRecord) -> None:
        """Replaces the own record in the view and disseminates it."""
        node = self._node
        node.own_record = own_record
        node.view.set_record(own_record, node.now)
        self.broadcast(own_record)

    def broadcast(self, record: MemberRecord) -> None:
        """Queues an update for all members and starts gossip rounds if none are scheduled."""
        self._queue.enqueue(record)
        if not self._is_gossip_scheduled:
            self._is_gossip_scheduled = True
            self._schedule_gossip()

    def take_updates(self, first: MemberRecord | None = None) -> tuple[MemberRecord, ...]:
        """Returns updates to piggyback on one message; `first` is always among them."""
        node = self._node
        return self._queue.take_batch(node.config.retransmit_limit(node.view.live_count), first)

    def _schedule_gossip(self) -> None:
        config = self._node.config
        interval = config.probe_period // config.gossip_rounds_per_period
        self._node.timers.schedule(self._node.now + interval, self._gossip)

    def _gossip(self) -> None:
        """Runs one gossip round, so that new updates don't wait for a probe to be piggybacked on."""
        node = self._node
        if not self._queue.has_eager_updates(node.config.eager_transmits):
            self._is_gossip_scheduled = False
            return
        self._schedule_gossip()
        for name in node.random_peers(node.config.gossip_fanout):
            if not len(self._queue):
                break
            address = node.view.records[name].address
            node.send(address, Gossip(*node.header(), self.take_updates()))
