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

from valverouter.ledger.file import LedgerError, body_of, cover, owned, summed
from valverouter.rollout.raft_log import PersistentState, Save, SaveEntries, SaveSnapshot, SaveTerm
from valverouter.rollout.serialization import StoredEntry, StoredSnapshot, to_stored_entry, to_stored_snapshot

FORMAT = b"council 1"
MAP_SIZE = 64 * 1024 * 1024


_encoder = msgspec.msgpack.Encoder()
_entries = msgspec.msgpack.Decoder(StoredEntry)
_snapshots = msgspec.msgpack.Decoder(StoredSnapshot)


class RaftStore:
    """An open store, one process at a time. `fresh_disk` names an empty one."""

    def __init__(self, path: Path, fresh_disk: int) -> None:
        self.path = path
        self._lock = owned(path)
        try:
            self._env = lmdb.open(str(path), map_size=MAP_SIZE, max_dbs=2, sync=True, metasync=True)
            cover(path, self._env)
            self._metadata_db = self._env.open_db(b"meta")
            self._log_db = self._env.open_db(b"record")
            self._begin(fresh_disk)
        except lmdb.Error as error:
            self._lock.close()
            raise LedgerError(f"{path}: {error}") from error
        except LedgerError:
            self.close()
            raise

    def close(self) -> None:
        self._env.close()
        self._lock.close()

    def _begin(self, fresh_disk: int) -> None:
        with self._env.begin(write=True) as commit:
            found = commit.get(b"format", db=self._metadata_db)
            if found is None:
                commit.put(b"format", FORMAT, db=self._metadata_db)
                commit.put(b"disk", _kept(fresh_disk), db=self._metadata_db)
            elif bytes(found) != FORMAT:
                raise LedgerError(f"{self.path} has the format {bytes(found)!r}, and {FORMAT!r} is read here")

    def load(self) -> PersistentState:
        """All of it, checked; LedgerError where any of it can't be trusted."""
        try:
            with self._env.begin() as read:
                disk = msgspec.msgpack.decode(
                    self._read(read.get(b"disk", db=self._metadata_db), "disk"), type=int
                )
                durable = PersistentState(disk)
                if (vote := read.get(b"vote", db=self._metadata_db)) is not None:
                    term, voted = msgspec.msgpack.decode(self._read(vote, "vote"), type=tuple[int, str])
                    durable.current_term, durable.voted_for = term, voted
                if (kept := read.get(b"snapshot", db=self._metadata_db)) is not None:
                    durable.snapshot = _snapshots.decode(self._read(kept, "snapshot")).to_snapshot()
                expected = durable.first_index
                for key, value in read.cursor(db=self._log_db):
                    index = int.from_bytes(key, "big")
                    if index != expected:
                        raise LedgerError(f"{self.path}: entry {expected} is missing")
                    durable.entries.append(
                        _entries.decode(self._read(value, f"entry {index}")).to_log_entry()
                    )
                    expected += 1
                return durable
        except (lmdb.Error, msgspec.MsgspecError) as error:
            raise LedgerError(f"{self.path}: {error}") from error

    def _read(self, value: Any, what: str) -> bytes:
        body = body_of(bytes(value)) if value is not None else None
        if body is None:
            raise LedgerError(f"{self.path}: {what} is damaged")
        return body

    def commit(self, saves: Iterable[Save]) -> None:
        """All of them, on disk when it returns; LedgerError where they are not, and then none is."""
        try:
            with self._env.begin(write=True) as commit:
                for save in saves:
                    self._put(commit, save)
        except lmdb.Error as error:
            raise LedgerError(f"{self.path}: {error}") from error

    def _put(self, commit: Any, save: Save) -> None:
        match save:
            case SaveTerm(term, voted):
                commit.put(b"vote", _kept((term, voted)), db=self._metadata_db)
            case SaveEntries(first, entries):
                self._cut(commit, first, None)
                for index, entry in enumerate(entries, first):
                    commit.put(_key(index), _kept(to_stored_entry(entry)), db=self._log_db)
            case SaveSnapshot(snapshot):
                at = commit.get(_key(snapshot.last_included_index), db=self._log_db)
                same = at is not None and _entries.decode(bytes(at)[4:]).term == snapshot.last_included_term
                commit.put(b"snapshot", _kept(to_stored_snapshot(snapshot)), db=self._metadata_db)
                self._cut(commit, 0, snapshot.last_included_index if same else None)

    def _cut(self, commit: Any, first: int, last: int | None) -> None:
        """Entries from `first` to `last`, or to the end, go."""
        cursor = commit.cursor(db=self._log_db)
        more = cursor.set_range(_key(first))
        while more and (last is None or int.from_bytes(cursor.key(), "big") <= last):
            more = cursor.delete()


def _key(index: int) -> bytes:
    return index.to_bytes(8, "big")


def _kept(value: Any) -> bytes:
    return summed(_encoder.encode(value))
