"""What every lmdb store shares: the folder's lock, checksums of values, and replacing a damaged store."""

from __future__ import annotations

import fcntl
import os
import time
import zlib
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path
from typing import Any, BinaryIO, Final, Generic, Protocol, TypeVar

import lmdb

LOCK_FILE: Final = "owner"
DATA_FILE: Final = "data.mdb"
# CRC-32, big-endian, before the body of each value.
CHECKSUM_BYTES: Final = 4


class StoreError(Exception):
    """The store can't be used as it is; the text says why and what to do."""


class StoreLockedError(StoreError):
    """Another process holds the store."""


def acquire_lock(path: Path) -> BinaryIO:
    """Makes the folder and locks it for this process until the returned file is closed.

    StoreLockedError where another process holds it.
    """
    path.mkdir(parents=True, exist_ok=True)
    lock = (path / LOCK_FILE).open("wb")
    try:
        fcntl.flock(lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
    except OSError:
        lock.close()
        raise StoreLockedError(f"{path} is held by another process") from None
    return lock


class LockedEnvironment:
    """An lmdb environment in a folder that this process holds until it is closed."""

    def __init__(self, path: Path, **options: Any) -> None:
        """Opens the folder, made where there is none, with `options` of lmdb.

        StoreLockedError where another process holds it, StoreError where lmdb can't open it.
        """
        self._lock = acquire_lock(path)
        try:
            self.lmdb = lmdb.open(str(path), **options)
            extend_truncated_file(path, self.lmdb)
        except lmdb.Error as error:
            self._lock.close()
            raise StoreError(f"{path}: {error}") from error

    def close(self) -> None:
        """Closes the environment and lets other processes open it."""
        self.lmdb.close()
        self._lock.close()


class Closable(Protocol):
    """A store, as far as opening it needs to know."""

    def close(self) -> None:
        """Releases the store and its lock."""


Store = TypeVar("Store", bound=Closable)
Content = TypeVar("Content")


@dataclass(frozen=True, slots=True)
class OpenedStore(Generic[Store, Content]):
    """An open store with what was read from it.

    `problem`: why an earlier store was set aside, empty if none was; `set_aside_to`: where that is now.
    """

    store: Store
    content: Content
    problem: str = ""
    set_aside_to: Path | None = None


def open_or_set_aside(
    path: Path, open_store: Callable[[], Store], read_content: Callable[[Store], Content]
) -> OpenedStore[Store, Content]:
    """Opens the store at `path` and reads it whole; one that can't be read is set aside for a fresh one.

    StoreLockedError where another process holds it.
    """
    try:
        return _open_and_read(open_store, read_content)
    except StoreLockedError:
        raise
    except StoreError as error:
        set_aside_to = path.with_name(f"{path.name}.aside-{time.time_ns()}")
        path.rename(set_aside_to)
        fresh = _open_and_read(open_store, read_content)
        return OpenedStore(fresh.store, fresh.content, str(error), set_aside_to)


def _open_and_read(
    open_store: Callable[[], Store], read_content: Callable[[Store], Content]
) -> OpenedStore[Store, Content]:
    store = open_store()
    try:
        return OpenedStore(store, read_content(store))
    except StoreError:
        store.close()
        raise


def bytes_in_use(env: Any) -> int:
    """Bytes of an lmdb environment's pages in use, with those of deleted entries, which are used again."""
    info, stat = env.info(), env.stat()
    return int((info["last_pgno"] + 1) * stat["psize"])


def extend_truncated_file(path: Path, env: Any) -> None:
    """Extends a data file that was cut off to the size that its environment expects.

    A file that was cut off is mapped past its end, and reading there ends the process by a signal, at every
    start anew. Filled with zeros, its missing pages read as damaged.
    """
    file = path / DATA_FILE
    expected = bytes_in_use(env)
    if file.stat().st_size < expected:
        os.truncate(file, expected)


def with_checksum(body: bytes) -> bytes:
    """The value to store for `body`: lmdb does not notice a flipped byte in a value."""
    return zlib.crc32(body).to_bytes(CHECKSUM_BYTES, "big") + body


def verified_body(value: bytes) -> bytes | None:
    """The body of a stored value; None where its checksum does not match or the body is empty."""
    checksum, body = value[:CHECKSUM_BYTES], value[CHECKSUM_BYTES:]
    if not body or zlib.crc32(body) != int.from_bytes(checksum, "big"):
        return None
    return body
