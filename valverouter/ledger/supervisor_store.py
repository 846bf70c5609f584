"""The store of a supervisor's state, in lmdb.

The state is one value with a checksum. A save is one transaction, which is on disk when the call returns. A
store that is damaged is renamed and replaced by an empty one: the supervisor then has no record of any step,
and learns from the control plane which steps' permits have ended.
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
    """An open store, which is locked by one process at a time.

    All methods raise StoreError if lmdb fails or the store is damaged; opening raises StoreLockedError if
    another process has locked the store.
    """

    def __init__(self, path: Path) -> None:
        """Opens the store at `path`, and creates it if it does not exist."""
        self.path = path
        self._environment = LockedEnvironment(path, map_size=MAP_SIZE, sync=True, metasync=True)
        self._env = self._environment.lmdb

    def close(self) -> None:
        """Closes the store and releases its lock."""
        self._environment.close()

    def load(self) -> SupervisorState | None:
        """Returns the state that was saved last; None if none was saved."""
        try:
            with self._env.begin() as transaction:
                stored_format, value = transaction.get(FORMAT_KEY), transaction.get(STATE_KEY)
                if stored_format is None:
                    return None
                body = verified_body(bytes(value)) if value is not None else None
                if bytes(stored_format) != FORMAT or body is None:
                    raise StoreError(f"{self.path}: the supervisor's state is damaged")
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
    """Opens the store at `path`, replacing one that can't be read.

    Returns the store, the state in it, and the reason why the earlier store was renamed and replaced; empty:
    it was not.
    """
    opened = open_or_set_aside(path, lambda: SupervisorStore(path), SupervisorStore.load)
    return opened.store, opened.content, opened.problem
