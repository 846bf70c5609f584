"""The edge proxy's recovery log: an embedded lmdb store of dialog records and learned server state.

Pending changes are committed in one transaction, so a process killed at any time leaves either all changes of
a commit or none. The sync policy decides whether commits survive a crash of the machine: `each` waits for the
disk at every commit, `none` leaves flushing to the operating system (a killed process loses nothing by that).
Every value has a checksum, since lmdb doesn't detect a flipped byte in a value.

Only one process can open a store; a second one gets StoreLockedError. The maximum size is set on opening. A
full store keeps its entries and rejects the commit with StoreFullError; the edge proxy then clears it and
stops recording dialogs for a time.
"""

from __future__ import annotations

from collections.abc import Iterator, Mapping
from contextlib import closing
from pathlib import Path
from types import TracebackType
from typing import Any, Final, TypeAlias

import lmdb
import msgspec

from valverouter.ledger.storage import (
    LockedEnvironment,
    StoreError,
    StoreLockedError,
    bytes_in_use,
    verified_body,
    with_checksum,
)
from valverouter.recovery.learned_state import LearnedServerState
from valverouter.recovery.lifecycle import DialogRecord

__all__ = ["DamagedEntry", "DialogStore", "StoreError", "StoreFullError", "StoreLockedError"]

FORMAT_VERSION: Final = 1
MIB: Final = 1024 * 1024
DEFAULT_MAX_BYTES: Final = 64 * MIB
# Ratio of lmdb's map size to the maximum size of entries. lmdb copies pages on every write, also on deletion:
# in a store that fills its map, entries could not even be deleted.
MAP_SIZE_FACTOR: Final = 4
# The live bytes are counted again once this fraction of the maximum has been written. Counting them at every
# commit took a third of the commit's time.
RECOUNT_DIVISOR: Final = 64
SYNC_EACH_COMMIT: Final = "each"
# Names of the tables in the file and in DamagedEntry.
DIALOGS: Final = "dialogs"
SERVERS: Final = "servers"

Entry: TypeAlias = DialogRecord | LearnedServerState

_encoder = msgspec.msgpack.Encoder()
_record_decoder = msgspec.msgpack.Decoder(DialogRecord)
_learned_state_decoder = msgspec.msgpack.Decoder(LearnedServerState)


class StoreFullError(StoreError):
    """A commit exceeded the maximum size or failed on disk; none of its changes is stored."""


class DamagedEntry(msgspec.Struct, frozen=True, rename={"reason": "why"}):
    """An entry that can't be read, with the reason."""

    table: str
    key: str
    reason: str


class DialogStore:
    """An open dialog store. Learned state has one entry per server, which is replaced and never deleted."""

    def __init__(self, path: Path, max_bytes: int = DEFAULT_MAX_BYTES, sync: str = "none") -> None:
        """Opens the store in the folder `path`, or creates it.

        `max_bytes`: the maximum size of the entries; `sync`: `each` or `none`, see the module. Raises
        StoreLockedError if another process has locked it, StoreError if it can't be read.
        """
        self.path = path
        sync_commits = sync == SYNC_EACH_COMMIT
        self._environment = LockedEnvironment(
            path, map_size=MAP_SIZE_FACTOR * max_bytes, max_dbs=3, sync=sync_commits, metasync=sync_commits
        )
        self._env = self._environment.lmdb
        try:
            self._meta = self._env.open_db(b"meta")
            self._dialogs = self._env.open_db(DIALOGS.encode())
            self._servers = self._env.open_db(SERVERS.encode())
            self._check_format()
        except lmdb.Error as error:
            self.close()
            raise StoreError(f"{path}: {error}") from error
        except StoreError:
            self.close()
            raise
        # Uncommitted changes by table and key; None deletes the entry.
        self._pending: dict[tuple[Any, str], Entry | None] = {}
        self._max_bytes = max_bytes
        # Bytes written since the last count of live bytes; its initial value makes the first commit count.
        self._bytes_since_count = max_bytes

    def __enter__(self) -> DialogStore:
        """Returns the store, which is closed at the end of the block."""
        return self

    def __exit__(
        self, kind: type[BaseException] | None, error: BaseException | None, trace: TracebackType | None
    ) -> None:
        """Closes the store."""
        self.close()

    def close(self) -> None:
        """Closes the store and releases its lock. Uncommitted changes are lost."""
        self._environment.close()

    def verify(self) -> None:
        """Reads every page once. Raises StoreError if pages are damaged.

        A damaged entry is no error here; it is reported when the entries are read.
        """
        try:
            for table in (self._dialogs, self._servers):
                with self._env.begin(db=table) as transaction, closing(transaction.cursor()) as cursor:
                    for _ in cursor:
                        pass
        except lmdb.Error as error:
            raise StoreError(f"{self.path}: {error}") from error

    def _check_format(self) -> None:
        with self._env.begin(db=self._meta) as transaction:
            version = transaction.get(b"format")
        if version is None:
            self._write_meta(b"format", FORMAT_VERSION)
        elif int(version) != FORMAT_VERSION:
            raise StoreError(
                f"{self.path} has format {int(version)}, this version reads {FORMAT_VERSION}: export it with "
                "the version that wrote it, or move it away, which loses its records"
            )

    def _write_meta(self, key: bytes, value: int) -> None:
        with self._env.begin(write=True, db=self._meta) as transaction:
            transaction.put(key, str(value).encode())
        self._env.sync(True)

    def begin_epoch(self, minimum: int = 0) -> int:
        """Begins a new epoch: above all earlier ones, at least `minimum`, on disk before it is returned."""
        with self._env.begin(db=self._meta) as transaction:
            epoch = max(minimum, int(transaction.get(b"epoch") or 0) + 1)
        self._write_meta(b"epoch", epoch)
        return epoch

    # Changes

    def put(self, record: DialogRecord) -> None:
        """Adds or replaces a dialog's record with the next commit, which writes only the last one put."""
        self._pending[self._dialogs, record.dialog_id] = record

    def delete(self, dialog_id: str) -> None:
        """Removes a dialog's record with the next commit."""
        self._pending[self._dialogs, dialog_id] = None

    def put_learned_state(self, state: LearnedServerState) -> None:
        """Stores a server's learned state with the next commit."""
        self._pending[self._servers, state.server] = state

    @property
    def pending_changes(self) -> int:
        """The number of uncommitted changes."""
        return len(self._pending)

    def commit(self) -> int:
        """Writes all pending changes in one transaction and returns their number.

        Raises StoreFullError if that fails; the changes are then discarded.
        """
        changes, self._pending = self._pending, {}
        if not changes:
            return 0
        try:
            self._ensure_capacity(changes)
            with self._env.begin(write=True) as transaction:
                for (table, key), entry in changes.items():
                    self._apply(transaction, table, key, entry)
        except (lmdb.Error, OSError) as error:
            raise self._full_error(error) from error
        return len(changes)

    def _apply(self, transaction: Any, table: Any, key: str, entry: Entry | None) -> None:
        if entry is None:
            transaction.delete(_encode_key(key), db=table)
            return
        value = with_checksum(_encoder.encode(entry))
        self._bytes_since_count += len(value)
        transaction.put(_encode_key(key), value, db=table)

    def _full_error(self, error: Exception) -> StoreFullError:
        return StoreFullError(f"{self.path}: {type(error).__name__}: {error}")

    def _ensure_capacity(self, changes: Mapping[Any, Entry | None]) -> None:
        if self._bytes_since_count < self._max_bytes // RECOUNT_DIVISOR:
            return
        if all(entry is None for entry in changes.values()):
            return
        live = self.live_bytes()
        if live >= self._max_bytes:
            raise StoreFullError(f"{self.path}: entries take {live} bytes, the maximum is {self._max_bytes}")
        self._bytes_since_count = 0

    def clear(self) -> None:
        """Removes all entries and discards pending changes.

        Raises StoreFullError if that fails; the stored entries are then unchanged.
        """
        self._pending = {}
        try:
            with self._env.begin(write=True) as transaction:
                for table in (self._dialogs, self._servers):
                    transaction.drop(table, delete=False)
        except (lmdb.Error, OSError) as error:
            raise self._full_error(error) from error

    # Reading

    def records(self) -> Iterator[DialogRecord | DamagedEntry]:
        """Yields all committed dialog records, and a DamagedEntry for each that can't be read."""
        yield from self._read_table(self._dialogs, DIALOGS, _record_decoder)

    def learned_states(self) -> Iterator[LearnedServerState | DamagedEntry]:
        """Yields the committed learned states of servers, and a DamagedEntry for each that can't be read."""
        yield from self._read_table(self._servers, SERVERS, _learned_state_decoder)

    def _read_table(self, table: Any, name: str, decoder: Any) -> Iterator[Any]:
        with self._env.begin(db=table) as transaction, closing(transaction.cursor()) as cursor:
            for key, value in cursor:
                yield _decode(bytes(key), bytes(value), name, decoder)

    def damaged_entries(self) -> list[DamagedEntry]:
        """Returns all entries that can't be read."""
        entries = (*self.records(), *self.learned_states())
        return [entry for entry in entries if isinstance(entry, DamagedEntry)]

    def repair(self) -> list[DamagedEntry]:
        """Removes all entries that can't be read and returns them."""
        lost = self.damaged_entries()
        tables = {DIALOGS: self._dialogs, SERVERS: self._servers}
        with self._env.begin(write=True) as transaction:
            for entry in lost:
                transaction.delete(_encode_key(entry.key), db=tables[entry.table])
        self._env.sync(True)
        return lost

    def live_bytes(self) -> int:
        """Returns the size of the pages that hold entries now, in bytes."""
        total = 0
        with self._env.begin() as transaction:
            for table in (self._dialogs, self._servers):
                stat = transaction.stat(table)
                pages = stat["branch_pages"] + stat["leaf_pages"] + stat["overflow_pages"]
                total += int(pages * stat["psize"])
        return total

    def bytes_in_use(self) -> int:
        """Returns the bytes in use, including pages of deleted entries, which lmdb reuses."""
        return bytes_in_use(self._env)


def _encode_key(key: str) -> bytes:
    # The key of a damaged entry may be invalid UTF-8; surrogateescape restores its bytes.
    return key.encode("utf-8", "surrogateescape")


def _decode(key: bytes, value: bytes, table: str, decoder: Any) -> Any:
    name = key.decode("utf-8", "surrogateescape")
    body = verified_body(value)
    if body is None:
        return DamagedEntry(table, name, "checksum mismatch")
    try:
        return decoder.decode(body)
    except msgspec.DecodeError as error:
        return DamagedEntry(table, name, str(error))
