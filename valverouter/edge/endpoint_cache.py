"""The endpoint cache: a file with the list as last received, for a start while the list service is down."""

from __future__ import annotations

import msgspec
import structlog

from valverouter.edge.runtime import Runtime
from valverouter.signalling.serverlist import EndpointRow

log = structlog.get_logger()

SECOND = 10**9


class CachedEndpoints(msgspec.Struct, rename={"written_at": "wall"}):
    """The content of the file: the rows as last received, and the wall time of writing in ns."""

    written_at: int
    rows: list[EndpointRow]


class EndpointCache:
    """Reads and writes the cache file.

    Errors are logged and not raised; after a failed write a later start may have no list, or an older one.
    """

    def __init__(self, path: str, runtime: Runtime) -> None:
        """With an empty `path`, `read` returns no rows."""
        self._path = path
        self._runtime = runtime
        self._is_failing = False

    async def read(self) -> list[EndpointRow]:
        """Returns the cached list; empty if there is none or it can't be decoded.

        The servers' ages are those at the time of writing. Advancing them by the wall clock broke rule 4:
        after the clock had been set forward, a server that was warming up passed for warm. An age that is too
        low is safe: the server only gets less traffic until the live list provides its age.
        """
        data = await self._runtime.read_file(self._path) if self._path else None
        if data is None:
            return []
        try:
            cached = msgspec.json.decode(data, type=CachedEndpoints)
        except (msgspec.DecodeError, UnicodeDecodeError) as error:
            log.warning("endpoint-cache-unreadable", path=self._path, why=str(error))
            return []
        age = self._runtime.wall_time() - cached.written_at
        log.info("endpoint-cache-loaded", servers=len(cached.rows), age_s=age // SECOND)
        return cached.rows

    async def write(self, rows: list[EndpointRow]) -> None:
        """Writes the list. Logs the first of several failures in a row, and the first success after them."""
        cached = CachedEndpoints(self._runtime.wall_time(), rows)
        try:
            await self._runtime.write_file(self._path, msgspec.json.encode(cached))
        except Exception as error:  # includes RuntimeError: no thread could be started for the write
            if not self._is_failing:
                log.warning("endpoint-cache-write-failed", path=self._path, why=str(error))
            self._is_failing = True
            return
        if self._is_failing:
            log.info("endpoint-cache-written", path=self._path)
        self._is_failing = False
