"""The file with the endpoint list as last received, for a later start without a list service."""

from __future__ import annotations

import msgspec
import structlog

from valverouter.edge.runtime import Runtime
from valverouter.signalling.serverlist import EndpointRow

log = structlog.get_logger()

SECOND = 10**9


class CachedEndpoints(msgspec.Struct, rename={"written_at": "wall"}):
    """The file's content: the rows as last received, and the wall time of that in nanoseconds."""

    written_at: int
    rows: list[EndpointRow]


class EndpointCache:
    """Reads and writes the cache; a disk that refuses costs a later start its list."""

    def __init__(self, path: str, runtime: Runtime) -> None:
        """Without a `path` nothing is read."""
        self._path = path
        self._runtime = runtime
        self._is_failing = False

    async def read(self) -> list[EndpointRow]:
        """The list as an earlier start left it, with its servers' ages of then.

        Carried on by the wall clock, a clock set forward made a server that was warming up look warm: rule 4.
        Too young is safe, a server taken for colder than it is only gets less, until the list tells its age.
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
        """Writes the list; a failure is logged once, and once more when it is over."""
        cached = CachedEndpoints(self._runtime.wall_time(), rows)
        try:
            await self._runtime.write_file(self._path, msgspec.json.encode(cached))
        except Exception as error:  # a thread that can't be had is a RuntimeError
            if not self._is_failing:
                log.warning("endpoint-cache-write-failed", path=self._path, why=str(error))
            self._is_failing = True
            return
        if self._is_failing:
            log.info("endpoint-cache-written", path=self._path)
        self._is_failing = False
