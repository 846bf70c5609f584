"""An embedded store (lmdb) of the dialogs that an edge proxy still has to answer: its recovery log.

Changes are collected and committed whole or not at all: a commit is one transaction, so after a kill at any
moment the store holds it or does not. Whether it also survives the machine going down is up to the sync
policy: `each` waits for the disk at every commit, `none` leaves it to the system (a killed process loses
nothing by that). Every value carries its checksum, since lmdb does not notice a flipped byte in one.

One process at a time: a second one gets StoreLockedError. The size is bounded when the store is opened; a
full store keeps what it holds and refuses the commit (StoreFullError), so that the caller accepts no new
dialogs until some have ended.
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
# lmdb writes beside what it replaces, deletions too: a store filled to its map can't even be emptied. So the
# map is larger than what entries may take, by this factor.
MAP_SIZE_FACTOR: Final = 4
# Live bytes are counted again once a 64th of the maximum was written: at each commit it cost a third of it.
RECOUNT_DIVISOR: Final = 64
SYNC_EACH_COMMIT: Final = "each"
# The tables, as they are called in the file and in DamagedEntry.
DIALOGS: Final = "dialogs"
SERVERS: Final = "servers"

Entry: TypeAlias = DialogRecord | LearnedServerState

_encoder = msgspec.msgpack.Encoder()
_record_decoder = msgspec.msgpack.Decoder(DialogRecord)
_learned_state_decoder = msgspec.msgpack.Decoder(LearnedServerState)


class StoreFullError(StoreError):
    """The commit did not fit, or the disk refused it: nothing of it is kept."""


class DamagedEntry(msgspec.Struct, frozen=True, rename={"reason": "why"}):
    """An entry that can't be read, and why."""

    table: str
    key: str
    reason: str


class DialogStore:
    """An open store. `delete` takes dialogs out; servers' entries are replaced, one a server."""

    def __init__(self, path: Path, max_bytes: int = DEFAULT_MAX_BYTES, sync: str = "none") -> None:
        """Opens the store in the folder `path`, which is made where there is none.

        `max_bytes`: what entries may take. StoreLockedError, or StoreError where it can't be read.
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
        # By table and key; None deletes the entry. Emptied by each commit.
        self._pending: dict[tuple[Any, str], Entry | None] = {}
        self._max_bytes = max_bytes
        # Bytes written since the live ones were last counted: the first commit counts.
        self._bytes_since_count = max_bytes

    def __enter__(self) -> DialogStore:
        """The store, closed at the end of the block."""
        return self

    def __exit__(
        self, kind: type[BaseException] | None, error: BaseException | None, trace: TracebackType | None
    ) -> None:
        """Closes the store."""
        self.close()

    def close(self) -> None:
        """Releases the store. Changes that were not committed are lost."""
        self._environment.close()

    def verify(self) -> None:
        """Walks every page once; StoreError where pages of the store are damaged.

        A damaged entry alone is no error here: it is for whoever reads the entries.
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
                "the one that wrote it, or move it away and lose what it holds"
            )

    def _write_meta(self, key: bytes, value: int) -> None:
        with self._env.begin(write=True, db=self._meta) as transaction:
            transaction.put(key, str(value).encode())
        self._env.sync(True)

    def begin_epoch(self, minimum: int = 0) -> int:
        """A number above any earlier instance's, at least `minimum`; on disk before it is returned."""
        with self._env.begin(db=self._meta) as transaction:
            epoch = max(minimum, int(transaction.get(b"epoch") or 0) + 1)
        self._write_meta(b"epoch", epoch)
        return epoch

    # Changes

    def put(self, record: DialogRecord) -> None:
        """Stores a dialog's record with the next commit, which encodes its last state alone."""
        self._pending[self._dialogs, record.dialog_id] = record

    def delete(self, dialog_id: str) -> None:
        """Takes a dialog's record out with the next commit."""
        self._pending[self._dialogs, dialog_id] = None

    def put_learned_state(self, state: LearnedServerState) -> None:
        """Stores a server's learned state with the next commit."""
        self._pending[self._servers, state.server] = state

    @property
    def pending_changes(self) -> int:
        """How many changes wait for a commit."""
        return len(self._pending)

    def commit(self) -> int:
        """Writes all pending changes in one transaction and returns how many they were.

        StoreFullError: none of them is kept, and they are no longer pending.
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
            raise StoreFullError(f"{self.path}: {live} bytes live, {self._max_bytes} are allowed")
        self._bytes_since_count = 0

    def clear(self) -> None:
        """Takes every entry out and gives pending changes up. StoreFullError: the store is as it was."""
        self._pending = {}
        try:
            with self._env.begin(write=True) as transaction:
                for table in (self._dialogs, self._servers):
                    transaction.drop(table, delete=False)
        except (lmdb.Error, OSError) as error:
            raise self._full_error(error) from error

    # Reading back

    def records(self) -> Iterator[DialogRecord | DamagedEntry]:
        """Every committed record of a dialog; an entry that can't be read as DamagedEntry."""
        yield from self._read_table(self._dialogs, DIALOGS, _record_decoder)

    def learned_states(self) -> Iterator[LearnedServerState | DamagedEntry]:
        """Every committed learned state of a server; an entry that can't be read as DamagedEntry."""
        yield from self._read_table(self._servers, SERVERS, _learned_state_decoder)

    def _read_table(self, table: Any, name: str, decoder: Any) -> Iterator[Any]:
        with self._env.begin(db=table) as transaction, closing(transaction.cursor()) as cursor:
            for key, value in cursor:
                yield _decode(bytes(key), bytes(value), name, decoder)

    def damaged_entries(self) -> list[DamagedEntry]:
        """Every entry that can't be read."""
        entries = (*self.records(), *self.learned_states())
        return [entry for entry in entries if isinstance(entry, DamagedEntry)]

    def repair(self) -> list[DamagedEntry]:
        """Takes out what can't be read, and returns what was lost by it."""
        lost = self.damaged_entries()
        tables = {DIALOGS: self._dialogs, SERVERS: self._servers}
        with self._env.begin(write=True) as transaction:
            for entry in lost:
                transaction.delete(_encode_key(entry.key), db=tables[entry.table])
        self._env.sync(True)
        return lost

    def live_bytes(self) -> int:
        """Bytes of the pages that entries take now."""
        total = 0
        with self._env.begin() as transaction:
            for table in (self._dialogs, self._servers):
                stat = transaction.stat(table)
                pages = stat["branch_pages"] + stat["leaf_pages"] + stat["overflow_pages"]
                total += int(pages * stat["psize"])
        return total

    def bytes_in_use(self) -> int:
        """Bytes of the pages in use; pages of deleted entries count, and are used again."""
        return bytes_in_use(self._env)


def _encode_key(key: str) -> bytes:
    # A damaged entry's key may be no text; it is deleted under the bytes it has.
    return key.encode("utf-8", "surrogateescape")


def _decode(key: bytes, value: bytes, table: str, decoder: Any) -> Any:
    name = key.decode("utf-8", "surrogateescape")
    body = verified_body(value)
    if body is None:
        return DamagedEntry(table, name, "its checksum does not fit")
    try:
        return decoder.decode(body)
    except msgspec.DecodeError as error:
        return DamagedEntry(table, name, str(error))
