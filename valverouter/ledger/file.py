"""What every store of ours on lmdb does with its folder and its values."""

from __future__ import annotations

import fcntl
import os
import time
import zlib
from collections.abc import Callable
from pathlib import Path
from typing import Any, BinaryIO, Protocol, TypeVar


class LedgerError(Exception):
    """The store can't be used as it is; the text says why and what to do."""


class LedgerBusyError(LedgerError):
    """Another process holds it."""


def owned(path: Path) -> BinaryIO:
    """Makes the folder and holds it for this process, until the file is closed; LedgerBusyError where
    another does."""
    path.mkdir(parents=True, exist_ok=True)
    lock = (path / "owner").open("wb")
    try:
        fcntl.flock(lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
    except OSError:
        lock.close()
        raise LedgerBusyError(f"{path} is held by another process") from None
    return lock


class Closes(Protocol):
    def close(self) -> None: ...


Store = TypeVar("Store", bound=Closes)
Held = TypeVar("Held")


def sound(
    path: Path, opens: Callable[[], Store], reads: Callable[[Store], Held]
) -> tuple[Store, Held, str, Path | None]:
    """An open store that can be read whole, and what `reads` makes of it.

    One that can't is set aside and a fresh one opened in its place: then why, and where the former is.
    LedgerBusyError where another process holds it.
    """
    try:
        return *_read(opens, reads), "", None
    except LedgerBusyError:
        raise
    except LedgerError as error:
        aside = path.with_name(f"{path.name}.aside-{time.time_ns()}")
        path.rename(aside)
        return *_read(opens, reads), str(error), aside


def _read(opens: Callable[[], Store], reads: Callable[[Store], Held]) -> tuple[Store, Held]:
    store = opens()
    try:
        return store, reads(store)
    except LedgerError:
        store.close()
        raise


def used(env: Any) -> int:
    """Bytes of pages in use; those of entries that went are used again."""
    info, stat = env.info(), env.stat()
    return int((info["last_pgno"] + 1) * stat["psize"])


def cover(path: Path, env: Any) -> None:
    """A file that was cut off is mapped past its end, and reading there ends the process by a signal, at
    every start anew. Covered with noughts, its missing pages read as damaged."""
    file = path / "data.mdb"
    if file.stat().st_size < (needs := used(env)):
        os.truncate(file, needs)


def summed(body: bytes) -> bytes:
    """With its checksum: lmdb does not notice a flipped byte in a value."""
    return zlib.crc32(body).to_bytes(4, "big") + body


def body_of(value: bytes) -> bytes | None:
    """None where the checksum does not fit; no value of ours is empty."""
    body = value[4:]
    if len(value) < 5 or zlib.crc32(body) != int.from_bytes(value[:4], "big"):
        return None
    return body
