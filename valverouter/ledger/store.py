"""An embedded store (lmdb) of records that a recovery reads: changes collected, committed whole or not at
all.

A commit is one transaction: after a kill at any moment the store holds a commit or does not hold it. Whether
it also survives the machine going down is the sync policy's: `each` waits for the disk at every commit,
`none` leaves it to the system (a killed process loses nothing by that). Every value carries its checksum,
since lmdb does not notice a flipped byte in one.

One process at a time: a second one on the same store gets LedgerBusyError. The size is bounded when opened; a
store that is full takes back nothing that it holds and refuses the commit (LedgerFullError), so the caller
takes no new dialogs until some have ended.
"""

from __future__ import annotations

from collections.abc import Iterator, Mapping
from contextlib import closing
from pathlib import Path
from types import TracebackType
from typing import Any

import lmdb
import msgspec

from valverouter.ledger.file import LedgerBusyError, LedgerError, body_of, cover, owned, summed, used
from valverouter.recovery.course import Record
from valverouter.recovery.learnt import Learnt

__all__ = ["Damaged", "Ledger", "LedgerBusyError", "LedgerError", "LedgerFullError"]

FORMAT = 1
MIB = 1024 * 1024
DEFAULT_MOST = 64 * MIB
# lmdb writes beside what it replaces, deletions too: a store filled to its map can't even be emptied. So the
# map has room beyond what entries may take.
SPARE = 4
# Live bytes are counted again after so large a part of the most was put.
COUNTED_IN = 64

_encoder = msgspec.msgpack.Encoder()
_records = msgspec.msgpack.Decoder(Record)
_learnt = msgspec.msgpack.Decoder(Learnt)


class LedgerFullError(LedgerError):
    """The commit did not fit, or the disk refused it: nothing of it is kept."""


class Damaged(msgspec.Struct, frozen=True):
    """An entry that can't be read, and why."""

    table: str
    key: str
    why: str


class Ledger:
    """An open store. Records leave by `drop`; nothing else grows."""

    def __init__(self, path: Path, most: int = DEFAULT_MOST, sync: str = "none") -> None:
        self.path = path
        self._lock = owned(path)
        try:
            self._env = lmdb.open(
                str(path), map_size=SPARE * most, max_dbs=3, sync=sync == "each", metasync=sync == "each"
            )
            cover(path, self._env)
            self._meta, self._dialogs, self._servers = (
                self._env.open_db(name) for name in (b"meta", b"dialogs", b"servers")
            )
            self._check_format()
        except lmdb.Error as error:
            self._lock.close()
            raise LedgerError(f"{path}: {error}") from error
        except LedgerError:
            self.close()
            raise
        # None: the entry goes. Emptied by each commit.
        self._puts: dict[tuple[Any, str], Record | Learnt | None] = {}
        self._most = most
        # Bytes put since the live ones were last counted: counting at each commit cost a third of it.
        self._uncounted = most

    def __enter__(self) -> Ledger:
        return self

    def __exit__(
        self, kind: type[BaseException] | None, error: BaseException | None, trace: TracebackType | None
    ) -> None:
        self.close()

    def close(self) -> None:
        """What was not committed is not kept."""
        self._env.close()
        self._lock.close()

    def check(self) -> None:
        """Walks every page once; LedgerError where the store's own are damaged, not an entry alone. What the
        entries say is for whoever reads them."""
        try:
            for table in (self._dialogs, self._servers):
                with self._env.begin(db=table) as txn, closing(txn.cursor()) as cursor:
                    for _ in cursor:
                        pass
        except lmdb.Error as error:
            raise LedgerError(f"{self.path}: {error}") from error

    def _check_format(self) -> None:
        with self._env.begin(db=self._meta) as txn:
            held = txn.get(b"format")
        if held is None:
            self._write_meta(b"format", FORMAT)
        elif int(held) != FORMAT:
            raise LedgerError(
                f"{self.path} has format {int(held)}, this version reads {FORMAT}: export it with the one "
                "that wrote it, or move it away and lose what it holds"
            )

    def _write_meta(self, key: bytes, value: int) -> None:
        with self._env.begin(write=True, db=self._meta) as txn:
            txn.put(key, str(value).encode())
        self._env.sync(True)

    def begin_epoch(self, least: int = 0) -> int:
        """A later number than any former instance's, and no smaller than `least`; on disk before it is
        given."""
        with self._env.begin(db=self._meta) as txn:
            epoch = max(least, int(txn.get(b"epoch") or 0) + 1)
        self._write_meta(b"epoch", epoch)
        return epoch

    # Changes

    def put(self, record: Record) -> None:
        # Written out at the commit alone: of a dialog that moves on twice in a turn, the last state.
        self._puts[self._dialogs, record.dialog] = record

    def drop(self, dialog: str) -> None:
        self._puts[self._dialogs, dialog] = None

    def put_learnt(self, learnt: Learnt) -> None:
        self._puts[self._servers, learnt.server] = learnt

    @property
    def pending(self) -> int:
        """Changes that wait for a commit."""
        return len(self._puts)

    def commit(self) -> int:
        """Writes all changes as one; how many. LedgerFullError: none is kept, and they wait no more."""
        puts, self._puts = self._puts, {}
        if not puts:
            return 0
        try:
            self._has_room(puts)
            with self._env.begin(write=True) as txn:
                for (table, key), value in puts.items():
                    if value is None:
                        txn.delete(_key(key), db=table)
                    else:
                        sealed = _sealed(value)
                        self._uncounted += len(sealed)
                        txn.put(_key(key), sealed, db=table)
        except (lmdb.Error, OSError) as error:
            raise LedgerFullError(f"{self.path}: {type(error).__name__}: {error}") from error
        return len(puts)

    def _has_room(self, puts: Mapping[Any, Record | Learnt | None]) -> None:
        if self._uncounted < self._most // COUNTED_IN or not any(
            value is not None for value in puts.values()
        ):
            return
        if (live := self.live()) >= self._most:
            raise LedgerFullError(f"{self.path}: {live} bytes live, {self._most} are allowed")
        self._uncounted = 0

    def void(self) -> None:
        """Takes out every entry; changes that wait are given up. LedgerFullError: the store is as it was."""
        self._puts = {}
        try:
            with self._env.begin(write=True) as txn:
                for table in (self._dialogs, self._servers):
                    txn.drop(table, delete=False)
        except (lmdb.Error, OSError) as error:
            raise LedgerFullError(f"{self.path}: {type(error).__name__}: {error}") from error

    # Reading back

    def records(self) -> Iterator[Record | Damaged]:
        """Every dialog's record as committed; what can't be read as Damaged, and the rest all the same."""
        yield from self._all(self._dialogs, "dialogs", _records)

    def learnt(self) -> Iterator[Learnt | Damaged]:
        yield from self._all(self._servers, "servers", _learnt)

    def _all(self, table: Any, name: str, decoder: Any) -> Iterator[Any]:
        with self._env.begin(db=table) as txn, closing(txn.cursor()) as cursor:
            for key, value in cursor:
                yield _opened(bytes(key), bytes(value), name, decoder)

    def repair(self) -> list[Damaged]:
        """Takes out what can't be read; gives what was lost by it."""
        lost = [one for one in (*self.records(), *self.learnt()) if isinstance(one, Damaged)]
        tables = {"dialogs": self._dialogs, "servers": self._servers}
        with self._env.begin(write=True) as txn:
            for one in lost:
                txn.delete(_key(one.key), db=tables[one.table])
        self._env.sync(True)
        return lost

    def live(self) -> int:
        """Bytes of the pages that entries take now."""
        found = 0
        with self._env.begin() as txn:
            for table in (self._dialogs, self._servers):
                stat = txn.stat(table)
                pages = stat["branch_pages"] + stat["leaf_pages"] + stat["overflow_pages"]
                found += int(pages * stat["psize"])
        return found

    def used(self) -> int:
        """Bytes of pages in use; those of entries that went are used again."""
        return used(self._env)


def _key(name: str) -> bytes:
    # A damaged entry's name may be no text; it is taken out under the bytes it has.
    return name.encode("utf-8", "surrogateescape")


def _sealed(value: Record | Learnt) -> bytes:
    return summed(_encoder.encode(value))


def _opened(key: bytes, value: bytes, table: str, decoder: Any) -> Any:
    name = key.decode("utf-8", "surrogateescape")
    body = body_of(value)
    if body is None:
        return Damaged(table, name, "its checksum does not fit")
    try:
        return decoder.decode(body)
    except msgspec.DecodeError as error:
        return Damaged(table, name, str(error))
