"""Anti-entropy: two members compare their views by bucket digests and exchange the records that differ.

Exchanges run at long intervals or at most once per probe period, so that a member's steady traffic doesn't
grow with the size of the fleet.
"""

from __future__ import annotations

from collections.abc import Iterator

from valverouter.membership.local_node import LocalNode
from valverouter.membership.messages import SyncDigests, SyncRecords
from valverouter.membership.name_conflicts import NameConflictResolver
from valverouter.membership.rate_limiter import AddressRateLimiter
from valverouter.membership.records import MemberRecord
from valverouter.membership.view import BUCKET_COUNT, MembershipView

# The number of seeds that a member without peers contacts in each probe period.
SEEDS_PER_JOIN = 3
# The interval between two exchanges is `anti_entropy_periods` times a random factor in [0.75, 1.25).
MIN_INTERVAL_FACTOR, INTERVAL_FACTOR_RANGE = 0.75, 0.5


def differing_buckets(own: list[int], received: tuple[int, ...]) -> list[int]:
    """Returns the indexes of the buckets whose digests differ; both arguments have BUCKET_COUNT entries."""
    return [index for index in range(BUCKET_COUNT) if own[index] != received[index]]


def valid_buckets(indexes: tuple[int, ...]) -> set[int]:
    """Returns the requested bucket indexes without those out of range."""
    return {index for index in indexes if 0 <= index < BUCKET_COUNT}


def record_pages(
    view: MembershipView, own_record: MemberRecord, buckets: set[int], max_bytes: int
) -> Iterator[tuple[MemberRecord, ...]]:
    """Yields the buckets' records in pages of at most `max_bytes`.

    The first page always begins with the own record.
    """
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
    """Runs one member's exchanges: to join through seeds, periodically, and when digests differ."""

    def __init__(
        self,
        node: LocalNode,
        seeds: tuple[str, ...],
        conflicts: NameConflictResolver,
        rate_limiter: AddressRateLimiter,
    ) -> None:
        """Creates the exchanges; `start` schedules them."""
        self._node = node
        self._seeds = seeds
        self._conflicts = conflicts
        self._rate_limiter = rate_limiter
        self._last_digest_sync = node.now - node.config.probe_period

    def start(self) -> None:
        """Schedules the first join attempt and the first periodic exchange."""
        timers, now = self._node.timers, self._node.now
        timers.schedule(now, self._join)
        timers.schedule(now + self._interval(), self._run_exchange)

    def _interval(self) -> int:
        config = self._node.config
        factor = MIN_INTERVAL_FACTOR + INTERVAL_FACTOR_RANGE * self._node.draw()
        return int(config.anti_entropy_periods * config.probe_period * factor)

    def _join(self) -> None:
        """Syncs with a few random seeds each period until another live member is known.

        After that, the periodic exchanges continue to try seeds that are not live members.
        """
        node = self._node
        if node.view.live_count == 1 and self._seeds:
            for _ in range(min(SEEDS_PER_JOIN, len(self._seeds))):
                self.sync(self._random_address(self._seeds))
            node.timers.schedule(node.now + node.config.probe_period, self._join)

    def _run_exchange(self) -> None:
        """Syncs with a random live member and with a random address that no live member has.

        The second sync lets the two sides of a partition merge after each has declared the other gone.
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
        """Begins an exchange with the member at `address`."""
        node = self._node
        node.send(address, SyncDigests(*node.header(), tuple(node.view.bucket_digests), (node.own_record,)))

    def on_digest_mismatch(self, address: str) -> None:
        """Begins an exchange with a member whose digest differs, at most once per probe period.

        The limit is needed because digests differ temporarily while any update is being disseminated.
        """
        node = self._node
        if node.now - self._last_digest_sync >= node.config.probe_period:
            self._last_digest_sync = node.now
            self.sync(address)

    def on_sync(self, address: str, request: SyncDigests) -> None:
        """Answers with the records of the differing buckets and requests the sender's records of them."""
        node = self._node
        if len(request.bucket_digests) != BUCKET_COUNT:
            return
        differing = differing_buckets(node.view.bucket_digests, request.bucket_digests)
        if differing:
            self._send_records(address, set(differing), tuple(differing))
        else:
            # The views are equal. Without an answer, a member that has just joined wouldn't know that its
            # message was received.
            node.send(address, SyncRecords(*node.header(), (), (node.own_record,)))

    def on_records(self, address: str, message: SyncRecords) -> None:
        """Sends the records of the buckets that the other side requests."""
        if message.wanted_buckets:
            self._send_records(address, valid_buckets(message.wanted_buckets), ())

    def _send_records(self, address: str, buckets: set[int], wanted: tuple[int, ...]) -> None:
        """Sends the buckets' records page by page; the first page requests the `wanted` buckets."""
        node = self._node
        for page in record_pages(node.view, node.own_record, buckets, node.config.max_update_bytes):
            node.send(address, SyncRecords(*node.header(), wanted, page))
            wanted = ()
