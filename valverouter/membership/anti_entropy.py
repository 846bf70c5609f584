"""Anti-entropy: whole views compared by the digests of their buckets, and the differing records exchanged.

Exchanges are rare or limited to one a period: a member's steady traffic must not grow with its fleet.
"""

from __future__ import annotations

from collections.abc import Iterator

from valverouter.membership.local_node import LocalNode
from valverouter.membership.messages import SyncDigests, SyncRecords
from valverouter.membership.name_conflicts import NameConflictResolver
from valverouter.membership.rate_limiter import AddressRateLimiter
from valverouter.membership.records import MemberRecord
from valverouter.membership.view import BUCKET_COUNT, MembershipView

# How many seeds a member without peers asks in each period.
SEEDS_PER_JOIN = 3
# The interval between two exchanges is drawn from these parts of `anti_entropy_periods`.
MIN_INTERVAL_FACTOR, INTERVAL_FACTOR_RANGE = 0.75, 0.5


def differing_buckets(own: list[int], received: tuple[int, ...]) -> list[int]:
    """Indexes of the buckets whose digests differ; both sides have BUCKET_COUNT of them."""
    return [index for index in range(BUCKET_COUNT) if own[index] != received[index]]


def valid_buckets(indexes: tuple[int, ...]) -> set[int]:
    """Those of the requested bucket indexes that exist."""
    return {index for index in indexes if 0 <= index < BUCKET_COUNT}


def record_pages(
    view: MembershipView, own_record: MemberRecord, buckets: set[int], max_bytes: int
) -> Iterator[tuple[MemberRecord, ...]]:
    """The records of the buckets in pages of at most `max_bytes`; the own record comes first in any case."""
    page, free_bytes = [own_record], max_bytes - own_record.size
    for record in view.records_in_buckets(buckets):
        if record.name == own_record.name:
            continue
        if record.size > free_bytes:
            yield tuple(page)
            page, free_bytes = [], max_bytes
        page.append(record)
        free_bytes -= record.size
    yield tuple(page)


class AntiEntropy:
    """One member's exchanges: to join through seeds, periodically, and when digests differ."""

    def __init__(
        self,
        node: LocalNode,
        seeds: tuple[str, ...],
        conflicts: NameConflictResolver,
        rate_limiter: AddressRateLimiter,
    ) -> None:
        """Prepares the exchanges; `start` schedules them."""
        self._node = node
        self._seeds = seeds
        self._conflicts = conflicts
        self._rate_limiter = rate_limiter
        self._last_digest_sync = node.now - node.config.probe_period

    def start(self) -> None:
        """Schedules the first join and the first exchange."""
        timers, now = self._node.timers, self._node.now
        timers.schedule(now, self._join)
        timers.schedule(now + self._interval(), self._run_exchange)

    def _interval(self) -> int:
        config = self._node.config
        factor = MIN_INTERVAL_FACTOR + INTERVAL_FACTOR_RANGE * self._node.draw()
        return int(config.anti_entropy_periods * config.probe_period * factor)

    def _join(self) -> None:
        """Until some member is known, asks a few seeds each period; later the exchanges go on trying them."""
        node = self._node
        if node.view.live_count == 1 and self._seeds:
            for _ in range(min(SEEDS_PER_JOIN, len(self._seeds))):
                self.sync(self._random_address(self._seeds))
            node.timers.schedule(node.now + node.config.probe_period, self._join)

    def _run_exchange(self) -> None:
        """Syncs with a live member, and with one that is not believed to be live.

        So two halves of a partition find each other, though each has declared the other gone.
        """
        node = self._node
        node.timers.schedule(node.now + self._interval(), self._run_exchange)
        self._rate_limiter.clear()
        for name in node.random_peers(1):
            self.sync(node.view.records[name].address)
        candidates = node.view.reconnect_addresses(self._seeds)
        if candidates:
            self.sync(self._random_address(candidates))
        self._conflicts.recheck()
        if node.view.live_count == 1:
            self._join()

    def _random_address(self, addresses: list[str] | tuple[str, ...]) -> str:
        return addresses[int(self._node.draw() * len(addresses))]

    def sync(self, address: str) -> None:
        """Begins an exchange with the member at the address."""
        node = self._node
        node.send(address, SyncDigests(*node.header(), tuple(node.view.bucket_digests), (node.own_record,)))

    def on_digest_mismatch(self, address: str) -> None:
        """Begins an exchange with a member that has another digest, at most once a period.

        While an update spreads, all digests differ for a moment.
        """
        node = self._node
        if node.now - self._last_digest_sync >= node.config.probe_period:
            self._last_digest_sync = node.now
            self.sync(address)

    def on_sync(self, address: str, request: SyncDigests) -> None:
        """Answers with the records of the buckets that differ, and asks for the sender's."""
        node = self._node
        if len(request.bucket_digests) != BUCKET_COUNT:
            return
        differing = differing_buckets(node.view.bucket_digests, request.bucket_digests)
        if differing:
            self._send_records(address, set(differing), tuple(differing))
        else:
            # The views are equal: without an answer a member that has just joined would not know it was
            # heard.
            node.send(address, SyncRecords(*node.header(), (), (node.own_record,)))

    def on_records(self, address: str, message: SyncRecords) -> None:
        """Sends the records that the other side asks for in turn."""
        if message.wanted_buckets:
            self._send_records(address, valid_buckets(message.wanted_buckets), ())

    def _send_records(self, address: str, buckets: set[int], wanted: tuple[int, ...]) -> None:
        """Sends the buckets' records page by page; the first page asks for the `wanted` buckets."""
        node = self._node
        for page in record_pages(node.view, node.own_record, buckets, node.config.max_update_bytes):
            node.send(address, SyncRecords(*node.header(), wanted, page))
            wanted = ()
