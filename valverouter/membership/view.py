"""The table of members, its digest, and how long those stay who are gone.

The digest is over who is believed to be there and what they tell of themselves, not over suspicions, which
come and go: two instances with the same digest would send to the same members at the same addresses. It is
kept bucket by bucket as a sum of the records' own digests, so a change costs one hash, and two instances that
differ find out where by comparing buckets.
"""

from __future__ import annotations

import zlib
from collections import deque
from hashlib import blake2b

from valverouter.membership.records import Record, State, facts, supersedes

BUCKETS = 64
MASK = 2**64 - 1


def bucket_of(name: str) -> int:
    return zlib.crc32(name.encode()) % BUCKETS


def digest_of(record: Record) -> int:
    """64 bits over what the digest of a view holds of a member."""
    parts = record.name, *_tells(record)
    return int.from_bytes(blake2b(repr(parts).encode(), digest_size=8).digest(), "big")


class View:
    """Who is there, by name. `since`: when each state began, on our clock. Those gone leave with `forget`,
    and the addresses of the last few of them stay, to be tried."""

    def __init__(self, old_addresses: int) -> None:
        self.records: dict[str, Record] = {}
        self.since: dict[str, int] = {}
        self.living = 0
        self.gone = 0
        self.suspects = 0
        self.buckets = [0] * BUCKETS
        self.digest = 0
        self.old: deque[str] = deque(maxlen=old_addresses)
        self._digests: dict[str, int] = {}
        self._names: list[str] | None = None

    def copy(self) -> View:
        """The same table, for another instance."""
        other = View(self.old.maxlen or 0)
        other.records, other.since = self.records.copy(), self.since.copy()
        other.living, other.gone, other.suspects = self.living, self.gone, self.suspects
        other.buckets, other.digest = self.buckets.copy(), self.digest
        other.old.extend(self.old)
        other._digests = self._digests.copy()
        return other

    def names(self, but: str) -> list[str]:
        """Who is believed to be there, but one; a list of the caller's own. Kept from call to call: every
        word that is passed on draws from it, and going through a whole fleet for each cost the most."""
        if self._names is None:
            self._names = [name for name, one in self.records.items() if one.state <= State.SUSPECT]
        names = self._names.copy()
        if self.lives(but):
            names.remove(but)
        return names

    def lives(self, name: str) -> bool:
        held = self.records.get(name)
        return held is not None and held.state <= State.SUSPECT

    def is_later(self, news: Record) -> bool:
        """Whether the record would change the table. Of one who is over and whom nobody here knew, there is
        nothing to keep: kept, the dead would be passed round for ever."""
        held = self.records.get(news.name)
        if held is None:
            return news.state <= State.SUSPECT
        return supersedes(news, held)

    def put(self, news: Record, now: int) -> None:
        """Takes a record that is later."""
        name = news.name
        held = self.records.get(name)
        if held is not None:
            self._count(held, -1)
        self.records[name] = news
        self._count(news, 1)
        if held is None or held.state != news.state or held.life != news.life:
            self.since[name] = now
            self._names = None
        before, after = self._digests.pop(name, 0), 0
        if news.state <= State.SUSPECT:
            # Most changes are suspicions and their ends, and leave what is told of a member as it was.
            same = before and held is not None and _tells(held) == _tells(news)
            self._digests[name] = after = before if same else digest_of(news)
        self._change(name, before, after)

    def _change(self, name: str, before: int, after: int) -> None:
        if before != after:
            at = bucket_of(name)
            self.buckets[at] = (self.buckets[at] - before + after) & MASK
            self.digest = (self.digest - before + after) & MASK

    def _count(self, record: Record, one: int) -> None:
        if record.state <= State.SUSPECT:
            self.living += one
            if record.state == State.SUSPECT:
                self.suspects += one
        elif record.state == State.GONE:
            self.gone += one

    def forget(self, name: str) -> None:
        """One who was gone for long enough, or has left."""
        held = self.records.pop(name)
        self._names = None
        self._count(held, -1)
        self._change(name, self._digests.pop(name, 0), 0)
        self.since.pop(name, None)
        if held.state == State.GONE and held.address not in self.old:
            self.old.append(held.address)

    def of_buckets(self, wanted: set[int]) -> list[Record]:
        return [record for name, record in self.records.items() if bucket_of(name) in wanted]

    def strangers(self, seeds: tuple[str, ...]) -> list[str]:
        """Addresses of those taken for gone, of some gone for long, and of seeds nobody is known at."""
        there = {record.address for record in self.records.values() if record.state <= State.SUSPECT}
        gone = [record.address for record in self.records.values() if record.state == State.GONE]
        return [address for address in dict.fromkeys((*gone, *seeds, *self.old)) if address not in there]


def _tells(record: Record) -> tuple[object, ...]:
    return record.life, record.number, *facts(record)
