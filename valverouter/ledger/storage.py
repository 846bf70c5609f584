"""Common functions of the lmdb stores: folder lock, checksums of values, replacement of a damaged store."""

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
# Length of the big-endian CRC-32 that precedes the body of each value.
CHECKSUM_BYTES: Final = 4


class StoreError(Exception):
    """The store can't be used in its present state; the text says why and, where possible, what to do."""


class StoreLockedError(StoreError):
    """The store is locked by another process."""


def acquire_lock(path: Path) -> BinaryIO:
    """Creates the folder if necessary and locks it until the returned file is closed.

    Raises StoreLockedError if another process has locked it.
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
    """An lmdb environment whose folder is locked by this process until `close`."""

    def __init__(self, path: Path, **options: Any) -> None:
        """Opens the environment with lmdb's `options`, and creates the folder if it doesn't exist.

        Raises StoreLockedError if another process has locked the folder, StoreError if lmdb can't open it.
        """
        self._lock = acquire_lock(path)
        try:
            self.lmdb = lmdb.open(str(path), **options)
            extend_truncated_file(path, self.lmdb)
        except lmdb.Error as error:
            self._lock.close()
            raise StoreError(f"{path}: {error}") from error

    def close(self) -> None:
        """Closes the environment and releases the lock."""
        self.lmdb.close()
        self._lock.close()


class Closable(Protocol):
    """The part of a store's interface that `open_or_set_aside` uses."""

    def close(self) -> None:
        """Releases the store and its lock."""


Store = TypeVar("Store", bound=Closable)
Content = TypeVar("Content")


@dataclass(frozen=True, slots=True)
class OpenedStore(Generic[Store, Content]):
    """An open store and the content read from it.

    `problem`: why an unreadable store was set aside, empty if none was; `set_aside_to`: its new path.
    """

    store: Store
    content: Content
    problem: str = ""
    set_aside_to: Path | None = None


def open_or_set_aside(
    path: Path, open_store: Callable[[], Store], read_content: Callable[[Store], Content]
) -> OpenedStore[Store, Content]:
    """Opens the store at `path` and reads its content.

    A store that can't be read is set aside, that is renamed, and replaced by an empty one. Raises
    StoreLockedError if another process has locked it.
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
    """Returns the bytes in use by an lmdb environment, including reusable pages of deleted entries."""
    info, stat = env.info(), env.stat()
    return int((info["last_pgno"] + 1) * stat["psize"])


def extend_truncated_file(path: Path, env: Any) -> None:
    """Extends a truncated data file with zeros to the size that its environment expects.

    lmdb maps a truncated file beyond its end, and reading there kills the process by a signal at every start.
    Pages of zeros are reported as damaged instead.
    """
    file = path / DATA_FILE
    expected = bytes_in_use(env)
    if file.stat().st_size < expected:
        os.truncate(file, expected)


def with_checksum(body: bytes) -> bytes:
    """Returns the value to store for `body`: with a checksum, since lmdb doesn't detect flipped bytes."""
    return zlib.crc32(body).to_bytes(CHECKSUM_BYTES, "big") + body


def verified_body(value: bytes) -> bytes | None:
    """Returns the body of a stored value, or None if its checksum doesn't match or the body is empty."""
    checksum, body = value[:CHECKSUM_BYTES], value[CHECKSUM_BYTES:]
    if not body or zlib.crc32(body) != int.from_bytes(checksum, "big"):
        return None
    return body
