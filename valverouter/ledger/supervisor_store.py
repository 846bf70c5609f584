"""A supervisor's state in an embedded store (lmdb).

One value with a checksum; a save is one transaction, and on disk when it returns. A store that can't be read
whole is set aside: the supervisor then knows no step, and the control plane tells it which ones have ended.
"""

from __future__ import annotations

from pathlib import Path

import lmdb
import msgspec

from valverouter.ledger.storage import (
    LockedEnvironment,
    StoreError,
    open_or_set_aside,
    verified_body,
    with_checksum,
)
from valverouter.rollout.supervisor_state import SupervisorState

FORMAT = b"keeper 1"
MAP_SIZE = 4 * 1024 * 1024
FORMAT_KEY = b"format"
STATE_KEY = b"memory"


class SupervisorStore:
    """An open store, held by one process at a time.

    Every method raises StoreError where the store fails or can't be trusted, StoreLockedError where another
    process holds it.
    """

    def __init__(self, path: Path) -> None:
        """Opens the store at `path`, which is made where it does not exist."""
        self.path = path
        self._environment = LockedEnvironment(path, map_size=MAP_SIZE, sync=True, metasync=True)
        self._env = self._environment.lmdb

    def close(self) -> None:
        """Closes the store, for another process to open."""
        self._environment.close()

    def load(self) -> SupervisorState | None:
        """The state that was saved last; None where none was."""
        try:
            with self._env.begin() as transaction:
                stored_format, value = transaction.get(FORMAT_KEY), transaction.get(STATE_KEY)
                if stored_format is None:
                    return None
                body = verified_body(bytes(value)) if value is not None else None
                if bytes(stored_format) != FORMAT or body is None:
                    raise StoreError(f"{self.path}: what a keeper kept is damaged")
                return msgspec.msgpack.decode(body, type=SupervisorState)
        except (lmdb.Error, msgspec.MsgspecError) as error:
            raise StoreError(f"{self.path}: {error}") from error

    def save(self, state: SupervisorState) -> None:
        """Saves a state; it is on disk when this returns."""
        try:
            with self._env.begin(write=True) as transaction:
                transaction.put(FORMAT_KEY, FORMAT)
                transaction.put(STATE_KEY, with_checksum(msgspec.msgpack.encode(state)))
        except lmdb.Error as error:
            raise StoreError(f"{self.path}: {error}") from error


def open_supervisor_store(path: Path) -> tuple[SupervisorStore, SupervisorState | None, str]:
    """A store that can be used, the state in it, and why a former store was set aside (empty: none was)."""
    opened = open_or_set_aside(path, lambda: SupervisorStore(path), SupervisorStore.load)
    return opened.store, opened.content, opened.problem
