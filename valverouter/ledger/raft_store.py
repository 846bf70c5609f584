"""Stores the persistent state of a Raft member in lmdb: its disk id, term, vote, snapshot and log.

A commit is one transaction and waits for the disk: sending a vote or an acknowledgement that is then lost
breaks the safety of the group. If the process is killed at any time, the store has either all changes of a
commit or none. Each value has a checksum. A store with any unreadable part is treated as a lost disk: none of
it is used, it is moved aside, and the member restarts with a new disk id, as a new member that the group must
admit.
"""

from __future__ import annotations

from collections.abc import Iterable
from pathlib import Path
from typing import Any

import lmdb
import msgspec

from valverouter.ledger.storage import LockedEnvironment, StoreError, verified_body, with_checksum
from valverouter.rollout.raft_log import (
    LogEntry,
    PersistentState,
    Save,
    SaveEntries,
    SaveSnapshot,
    SaveTerm,
    Snapshot,
)
from valverouter.rollout.serialization import StoredEntry, StoredSnapshot, to_stored_entry, to_stored_snapshot

FORMAT = b"council 1"
MAP_SIZE = 64 * 1024 * 1024
# Keys of the metadata.
FORMAT_KEY = b"format"
DISK_ID_KEY = b"disk"
VOTE_KEY = b"vote"
SNAPSHOT_KEY = b"snapshot"

_encoder = msgspec.msgpack.Encoder()
_entry_decoder = msgspec.msgpack.Decoder(StoredEntry)
_snapshot_decoder = msgspec.msgpack.Decoder(StoredSnapshot)
_vote_decoder = msgspec.msgpack.Decoder(tuple[int, str])


class RaftStore:
    """An open store, locked against other processes.

    All methods raise StoreError if lmdb fails or the store is damaged; opening raises StoreLockedError if
    another process has locked the store.
    """

    def __init__(self, path: Path, new_disk_id: int) -> None:
        """Opens the store at `path`; an empty one gets `new_disk_id`."""
        self.path = path
        self._environment = LockedEnvironment(path, map_size=MAP_SIZE, max_dbs=2, sync=True, metasync=True)
        self._env = self._environment.lmdb
        try:
            self._metadata_db = self._env.open_db(b"meta")
            self._log_db = self._env.open_db(b"record")
            self._initialize(new_disk_id)
        except lmdb.Error as error:
            self.close()
            raise StoreError(f"{path}: {error}") from error
        except StoreError:
            self.close()
            raise

    def close(self) -> None:
        """Closes the store and lets other processes open it."""
        self._environment.close()

    def load(self) -> PersistentState:
        """Loads the whole state and verifies all checksums."""
        try:
            with self._env.begin() as transaction:
                state = PersistentState(self._load_disk_id(transaction))
                state.current_term, state.voted_for = self._load_vote(transaction)
                state.snapshot = self._load_snapshot(transaction)
                state.entries = self._load_entries(transaction, state.first_index)
                return state
        except (lmdb.Error, msgspec.MsgspecError) as error:
            raise StoreError(f"{self.path}: {error}") from error

    def commit(self, saves: Iterable[Save]) -> None:
        """Stores all changes durably in one transaction; if it fails, none is stored."""
        try:
            with self._env.begin(write=True) as transaction:
                for save in saves:
                    self._put(transaction, save)
        except lmdb.Error as error:
            raise StoreError(f"{self.path}: {error}") from error

    def _initialize(self, new_disk_id: int) -> None:
        with self._env.begin(write=True) as transaction:
            found = transaction.get(FORMAT_KEY, db=self._metadata_db)
            if found is None:
                transaction.put(FORMAT_KEY, FORMAT, db=self._metadata_db)
                transaction.put(DISK_ID_KEY, _encode(new_disk_id), db=self._metadata_db)
            elif bytes(found) != FORMAT:
                raise StoreError(f"{self.path} has format {bytes(found)!r}, expected {FORMAT!r}")

    def _load_disk_id(self, transaction: Any) -> int:
        value = transaction.get(DISK_ID_KEY, db=self._metadata_db)
        return msgspec.msgpack.decode(self._verified(value, "disk"), type=int)

    def _load_vote(self, transaction: Any) -> tuple[int, str]:
        value = transaction.get(VOTE_KEY, db=self._metadata_db)
        return (0, "") if value is None else _vote_decoder.decode(self._verified(value, "vote"))

    def _load_snapshot(self, transaction: Any) -> Snapshot | None:
        value = transaction.get(SNAPSHOT_KEY, db=self._metadata_db)
        if value is None:
            return None
        return _snapshot_decoder.decode(self._verified(value, "snapshot")).to_snapshot()

    def _load_entries(self, transaction: Any, first_index: int) -> list[LogEntry]:
        entries: list[LogEntry] = []
        for expected, (key, value) in enumerate(transaction.cursor(db=self._log_db), first_index):
            index = int.from_bytes(key, "big")
            if index != expected:
                raise StoreError(f"{self.path}: entry {expected} is missing")
            stored = _entry_decoder.decode(self._verified(value, f"entry {index}"))
            entries.append(stored.to_log_entry())
        return entries

    def _verified(self, value: Any, name: str) -> bytes:
        """The body of a stored value; raises StoreError if it is missing or its checksum is wrong."""
        body = verified_body(bytes(value)) if value is not None else None
        if body is None:
            raise StoreError(f"{self.path}: {name} is damaged")
        return body

    def _put(self, transaction: Any, save: Save) -> None:
        match save:
            case SaveTerm(term, voted_for):
                transaction.put(VOTE_KEY, _encode((term, voted_for)), db=self._metadata_db)
            case SaveEntries(first_index, entries):
                self._delete_entries(transaction, first_index, None)
                for index, entry in enumerate(entries, first_index):
                    transaction.put(_key(index), _encode(to_stored_entry(entry)), db=self._log_db)
            case SaveSnapshot(snapshot):
                self._put_snapshot(transaction, snapshot)

    def _put_snapshot(self, transaction: Any, snapshot: Snapshot) -> None:
        """Keeps the entries after the snapshot only if the log has the snapshot's last entry, by its term."""
        value = transaction.get(_key(snapshot.last_included_index), db=self._log_db)
        is_prefix = value is not None and _stored_term(value) == snapshot.last_included_term
        transaction.put(SNAPSHOT_KEY, _encode(to_stored_snapshot(snapshot)), db=self._metadata_db)
        self._delete_entries(transaction, 0, snapshot.last_included_index if is_prefix else None)

    def _delete_entries(self, transaction: Any, first_index: int, last_index: int | None) -> None:
        """Deletes the entries from `first_index` up to `last_index`, or to the end of the log."""
        cursor = transaction.cursor(db=self._log_db)
        has_entry = cursor.set_range(_key(first_index))
        while has_entry and (last_index is None or int.from_bytes(cursor.key(), "big") <= last_index):
            has_entry = cursor.delete()


def _key(index: int) -> bytes:
    """Big-endian, so that lmdb sorts the entries by index."""
    return index.to_bytes(8, "big")


def _encode(value: Any) -> bytes:
    return with_checksum(_encoder.encode(value))


def _stored_term(value: Any) -> int:
    """The term of a stored entry, which follows its checksum of four bytes."""
    return _entry_decoder.decode(bytes(value)[4:]).term
