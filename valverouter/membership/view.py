"""The membership view: a table of all members, with a digest by which two members compare their views.

The digest covers the live members and the facts that they publish of themselves, but not suspicions, which
are transient: two members with equal digests would send to the same members at the same addresses. The
digest is the sum of the records' digests. Another sum is kept for each bucket of names, so that a change
costs one hash, and two members locate the differences of their views by comparing buckets.
"""

from __future__ import annotations

import zlib
from collections import deque
from hashlib import blake2b

from valverouter.membership.records import MemberRecord, MemberState, self_reported_facts, supersedes

BUCKET_COUNT = 64
DIGEST_BYTES = 8
DIGEST_MASK = 2 ** (8 * DIGEST_BYTES) - 1


def bucket_index(name: str) -> int:
    """Returns the index of the bucket that a member name belongs to."""
    return zlib.crc32(name.encode()) % BUCKET_COUNT


def member_digest(record: MemberRecord) -> int:
    """Returns a 64-bit hash of the fields of a record that the view's digest covers."""
    parts = record.name, *_digested_facts(record)
    digest = blake2b(repr(parts).encode(), digest_size=DIGEST_BYTES).digest()
    return int.from_bytes(digest, "big")


class MembershipView:
    """The records of all known members by name.

    `state_since`: the time at which each member entered its present state, ns on this member's clock.
    `forget` removes a member that is gone or has left. The last addresses of removed members that were gone
    are kept in `forgotten_addresses`, to be tried again.
    """

    def __init__(self, forgotten_address_limit: int) -> None:
        self.records: dict[str, MemberRecord] = {}
        self.state_since: dict[str, int] = {}
        self.live_count = 0
        self.gone_count = 0
        self.suspect_count = 0
        self.bucket_digests = [0] * BUCKET_COUNT
        self.digest = 0
        self.forgotten_addresses: deque[str] = deque(maxlen=forgotten_address_limit)
        self._digests: dict[str, int] = {}
        # Every transmission draws from it; iterating over the whole fleet each time was the largest cost.
        self._cached_live_names: list[str] | None = None

    def copy(self) -> MembershipView:
        """Returns an independent copy, for another member."""
        other = MembershipView(self.forgotten_addresses.maxlen or 0)
        other.records = self.records.copy()
        other.state_since = self.state_since.copy()
        other.live_count = self.live_count
        other.gone_count = self.gone_count
        other.suspect_count = self.suspect_count
        other.bucket_digests = self.bucket_digests.copy()
        other.digest = self.digest
        other.forgotten_addresses.extend(self.forgotten_addresses)
        other._digests = self._digests.copy()
        return other

    def live_names(self, excluding: str) -> list[str]:
        """Returns the names of the live members except `excluding`, as a new list."""
        if self._cached_live_names is None:
            self._cached_live_names = [name for name, record in self.records.items() if record.is_live]
        names = self._cached_live_names.copy()
        if self.is_live(excluding):
            names.remove(excluding)
        return names

    def is_live(self, name: str) -> bool:
        """Returns whether the member is known and alive or suspect."""
        current = self.records.get(name)
        return current is not None and current.is_live

    def accepts(self, candidate: MemberRecord) -> bool:
        """Returns whether the record is later than the view's record of the member.

        A record of an unknown member that is gone or has left is not accepted; otherwise records of members
        that ended long ago would circulate forever.
        """
        current = self.records.get(candidate.name)
        if current is None:
            return candidate.is_live
        return supersedes(candidate, current)

    def set_record(self, record: MemberRecord, now: int) -> None:
        """Adds the member's first record or replaces its record by a later one."""
        name = record.name
        previous = self.records.get(name)
        if previous is not None:
            self._adjust_counts(previous, -1)
        self.records[name] = record
        self._adjust_counts(record, 1)
        if previous is None or previous.state != record.state or previous.incarnation != record.incarnation:
            self.state_since[name] = now
            self._cached_live_names = None
        self._update_digest(previous, record)

    def forget(self, name: str) -> None:
        """Removes a member, and keeps its address if it was gone."""
        record = self.records.pop(name)
        self.state_since.pop(name, None)
        self._cached_live_names = None
        self._adjust_counts(record, -1)
        self._replace_digest(name, self._digests.pop(name, 0), 0)
        if record.state == MemberState.GONE and record.address not in self.forgotten_addresses:
            self.forgotten_addresses.append(record.address)

    def records_in_buckets(self, buckets: set[int]) -> list[MemberRecord]:
        """Returns the records of all members in the buckets."""
        return [record for name, record in self.records.items() if bucket_index(name) in buckets]

    def reconnect_addresses(self, seeds: tuple[str, ...]) -> list[str]:
        """Returns addresses that no live member has: of gone members, seeds and some forgotten members."""
        live = {record.address for record in self.records.values() if record.is_live}
        gone = [record.address for record in self.records.values() if record.state == MemberState.GONE]
        candidates = dict.fromkeys((*gone, *seeds, *self.forgotten_addresses))
        return [address for address in candidates if address not in live]

    def _update_digest(self, previous: MemberRecord | None, record: MemberRecord) -> None:
        name = record.name
        old_digest, new_digest = self._digests.pop(name, 0), 0
        if record.is_live:
            # Most changes begin or end a suspicion, which the digest doesn't cover, so they need no hash.
            is_unchanged = previous is not None and _digested_facts(previous) == _digested_facts(record)
            new_digest = old_digest if old_digest and is_unchanged else member_digest(record)
            self._digests[name] = new_digest
        self._replace_digest(name, old_digest, new_digest)

    def _replace_digest(self, name: str, old_digest: int, new_digest: int) -> None:
        if old_digest == new_digest:
            return
        change = new_digest - old_digest
        index = bucket_index(name)
        self.bucket_digests[index] = (self.bucket_digests[index] + change) & DIGEST_MASK
        self.digest = (self.digest + change) & DIGEST_MASK

    def _adjust_counts(self, record: MemberRecord, change: int) -> None:
        if record.is_live:
            self.live_count += change
        if record.state == MemberState.SUSPECT:
            self.suspect_count += change
        elif record.state == MemberState.GONE:
            self.gone_count += change


def _digested_facts(record: MemberRecord) -> tuple[object, ...]:
    return record.incarnation, record.generation, *self_reported_facts(record)
