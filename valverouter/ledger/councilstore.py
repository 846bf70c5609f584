"""What a councillor must not forget, in an embedded store (lmdb): its disk's number, term, vote, record.

A commit is one transaction and waits for the disk: a vote or an entry that was told and lost breaks
agreement. After a kill at any moment the store holds a commit whole or not at all. Each value carries a
checksum. A store that can't be read whole is a lost disk: nothing of it is trusted, it is set aside, and
the councillor comes back with a new one, as another, for the council to let in.
"""

from __future__ import annotations

from collections.abc import Iterable
from pathlib import Path
from typing import Any

import lmdb
import msgspec

from valverouter.ledger.storage import (
    StoreError,
    acquire_lock,
    extend_truncated_file,
    verified_body,
    with_checksum,
)
from valverouter.rollout.council import Durable, Save, SaveEntries, SaveSnapshot, SaveTerm
from valverouter.rollout.written import KeptEntry, KeptSnapshot, kept_entry, kept_snapshot

FORMAT = b"council 1"
MOST = 64 * 1024 * 1024


_encoder = msgspec.msgpack.Encoder()
_entries = msgspec.msgpack.Decoder(KeptEntry)
_snapshots = msgspec.msgpack.Decoder(KeptSnapshot)


class CouncilStore:
    """An open store, one process at a time. `fresh_disk` names an empty one."""

    def __init__(self, path: Path, fresh_disk: int) -> None:
        self.path = path
        self._lock = acquire_lock(path)
        try:
            self._env = lmdb.open(str(path), map_size=MOST, max_dbs=2, sync=True, metasync=True)
            extend_truncated_file(path, self._env)
            self._meta = self._env.open_db(b"meta")
            self._record = self._env.open_db(b"record")
            self._begin(fresh_disk)
        except lmdb.Error as error:
            self._lock.close()
            raise StoreError(f"{path}: {error}") from error
        except StoreError:
            self.close()
            raise

    def close(self) -> None:
        self._env.close()
        self._lock.close()

    def _begin(self, fresh_disk: int) -> None:
        with self._env.begin(write=True) as commit:
            found = commit.get(b"format", db=self._meta)
            if found is None:
                commit.put(b"format", FORMAT, db=self._meta)
                commit.put(b"disk", _kept(fresh_disk), db=self._meta)
            elif bytes(found) != FORMAT:
                raise StoreError(f"{self.path} has the format {bytes(found)!r}, and {FORMAT!r} is read here")

    def load(self) -> Durable:
        """All of it, checked; StoreError where any of it can't be trusted."""
        try:
            with self._env.begin() as read:
                disk = msgspec.msgpack.decode(self._read(read.get(b"disk", db=self._meta), "disk"), type=int)
                durable = Durable(disk)
                if (vote := read.get(b"vote", db=self._meta)) is not None:
                    term, voted = msgspec.msgpack.decode(self._read(vote, "vote"), type=tuple[int, str])
                    durable.term, durable.voted = term, voted
                if (kept := read.get(b"snapshot", db=self._meta)) is not None:
                    durable.snapshot = _snapshots.decode(self._read(kept, "snapshot")).snapshot()
                expected = durable.first
                for key, value in read.cursor(db=self._record):
                    index = int.from_bytes(key, "big")
                    if index != expected:
                        raise StoreError(f"{self.path}: entry {expected} is missing")
                    durable.entries.append(_entries.decode(self._read(value, f"entry {index}")).entry())
                    expected += 1
                return durable
        except (lmdb.Error, msgspec.MsgspecError) as error:
            raise StoreError(f"{self.path}: {error}") from error

    def _read(self, value: Any, what: str) -> bytes:
        body = verified_body(bytes(value)) if value is not None else None
        if body is None:
            raise StoreError(f"{self.path}: {what} is damaged")
        return body

    def commit(self, saves: Iterable[Save]) -> None:
        """All of them, on disk when it returns; StoreError where they are not, and then none is."""
        try:
            with self._env.begin(write=True) as commit:
                for save in saves:
                    self._put(commit, save)
        except lmdb.Error as error:
            raise StoreError(f"{self.path}: {error}") from error

    def _put(self, commit: Any, save: Save) -> None:
        match save:
            case SaveTerm(term, voted):
                commit.put(b"vote", _kept((term, voted)), db=self._meta)
            case SaveEntries(first, entries):
                self._cut(commit, first, None)
                for index, entry in enumerate(entries, first):
                    commit.put(_key(index), _kept(kept_entry(entry)), db=self._record)
            case SaveSnapshot(snapshot):
                at = commit.get(_key(snapshot.index), db=self._record)
                same = at is not None and _entries.decode(bytes(at)[4:]).term == snapshot.term
                commit.put(b"snapshot", _kept(kept_snapshot(snapshot)), db=self._meta)
                self._cut(commit, 0, snapshot.index if same else None)

    def _cut(self, commit: Any, first: int, last: int | None) -> None:
        """Entries from `first` to `last`, or to the end, go."""
        cursor = commit.cursor(db=self._record)
        more = cursor.set_range(_key(first))
        while more and (last is None or int.from_bytes(cursor.key(), "big") <= last):
            more = cursor.delete()


def _key(index: int) -> bytes:
    return index.to_bytes(8, "big")


def _kept(value: Any) -> bytes:
    return with_checksum(_encoder.encode(value))
