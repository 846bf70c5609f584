"""What a keeper must not forget, in an embedded store (lmdb): the turns that it has begun, what should run.

One value with a checksum, one transaction a save, on disk when it returns. A store that can't be read whole
is set aside: the keeper then holds no turn, and the council tells it which are over.
"""

from __future__ import annotations

from pathlib import Path

import lmdb
import msgspec

from valverouter.ledger.storage import (
    StoreError,
    acquire_lock,
    extend_truncated_file,
    open_or_set_aside,
    verified_body,
    with_checksum,
)
from valverouter.rollout.keeping import Memory

FORMAT = b"keeper 1"
MOST = 4 * 1024 * 1024


class KeeperStore:
    """An open store, one process at a time."""

    def __init__(self, path: Path) -> None:
        self.path = path
        self._lock = acquire_lock(path)
        try:
            self._env = lmdb.open(str(path), map_size=MOST, sync=True, metasync=True)
            extend_truncated_file(path, self._env)
        except lmdb.Error as error:
            self._lock.close()
            raise StoreError(f"{path}: {error}") from error

    def close(self) -> None:
        self._env.close()
        self._lock.close()

    def load(self) -> Memory | None:
        """None where nothing was kept yet; StoreError where it can't be trusted."""
        try:
            with self._env.begin() as read:
                found, kept = read.get(b"format"), read.get(b"memory")
                if found is None:
                    return None
                body = verified_body(bytes(kept)) if kept is not None else None
                if bytes(found) != FORMAT or body is None:
                    raise StoreError(f"{self.path}: what a keeper kept is damaged")
                return msgspec.msgpack.decode(body, type=Memory)
        except (lmdb.Error, msgspec.MsgspecError) as error:
            raise StoreError(f"{self.path}: {error}") from error

    def save(self, memory: Memory) -> None:
        """On disk when it returns; StoreError where it is not."""
        try:
            with self._env.begin(write=True) as commit:
                commit.put(b"format", FORMAT)
                commit.put(b"memory", with_checksum(msgspec.msgpack.encode(memory)))
        except lmdb.Error as error:
            raise StoreError(f"{self.path}: {error}") from error


def opened(path: Path) -> tuple[KeeperStore, Memory | None, str]:
    """A store that can be used, what it held, and why a former one was set aside: empty, if none was."""
    opened_store = open_or_set_aside(path, lambda: KeeperStore(path), KeeperStore.load)
    return opened_store.store, opened_store.content, opened_store.problem
