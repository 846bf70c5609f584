"""The file in which an edge proxy accounts for its attempts in other regions."""

from __future__ import annotations

import msgspec
import trio

from valverouter.edge.context import ProxyContext

# How often the accounts are written, and how long the end waits for a disk that hangs; seconds.
WRITE_INTERVAL_S = 10.0
FINAL_WRITE_TIMEOUT_S = 2.0


class AccountWriter:
    """Writes the accounts of cross-region attempts at intervals; a disk that refuses costs the rows alone."""

    def __init__(self, context: ProxyContext, incarnation: int) -> None:
        """`incarnation` tells this process's rows from those of an earlier one."""
        self._context = context
        self._incarnation = incarnation

    async def run(self) -> None:
        """Writes until cancelled."""
        while True:
            await trio.sleep(WRITE_INTERVAL_S)
            await self._write()

    async def write_final(self) -> None:
        """Writes once more, giving a disk that hangs FINAL_WRITE_TIMEOUT_S."""
        with trio.move_on_after(FINAL_WRITE_TIMEOUT_S):
            await self._write()

    async def _write(self) -> None:
        context = self._context
        path = context.config.accounts
        if context.cross_region is None or not path:
            return
        usage = context.cross_region.usage
        rows = usage.to_rows(context.config.name, self._incarnation, context.clock.now())
        try:
            data = b"".join(msgspec.json.encode(row) + b"\n" for row in rows)
            await context.runtime.write_file(path, data)
        except Exception as error:  # a thread that can't be had is a RuntimeError
            context.log.warning("accounts-write-failed", path=path, why=str(error))
