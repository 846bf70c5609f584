"""The accounting file of an edge proxy: its usage of other regions, as rows of JSON."""

from __future__ import annotations

import msgspec
import trio

from valverouter.edge.context import ProxyContext

# Seconds between two writes of the file.
WRITE_INTERVAL_S = 10.0
# Seconds after which the final write is abandoned, so that a hung disk can't delay the shutdown further.
FINAL_WRITE_TIMEOUT_S = 2.0


class AccountWriter:
    """Writes the cross-region usage to the accounting file periodically.

    A failed write is logged and otherwise ignored: a disk error costs only the rows.
    """

    def __init__(self, context: ProxyContext, incarnation: int) -> None:
        """`incarnation` distinguishes the rows of this process from those of an earlier one."""
        self._context = context
        self._incarnation = incarnation

    async def run(self) -> None:
        """Writes every WRITE_INTERVAL_S until cancelled."""
        while True:
            await trio.sleep(WRITE_INTERVAL_S)
            await self._write()

    async def write_final(self) -> None:
        """Writes a last time, at shutdown; abandons the write after FINAL_WRITE_TIMEOUT_S."""
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
        except Exception as error:  # includes RuntimeError: no thread could be started for the write
            context.log.warning("accounts-write-failed", path=path, why=str(error))
