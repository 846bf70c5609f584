"""One edge proxy on the operators' platform: `python -m valverouter.relayedge`, told by RELAY_CONFIG.

Exit codes: 0 stopped; 2 the configuration can't be used; 3 the program could not come up. What is imported
here is what the platform's memory has room for: no command line, no numbers library.
"""

from __future__ import annotations

import os
import signal
import sys
from pathlib import Path

import structlog
import trio

from valverouter.edge import logs
from valverouter.edge.surroundings import Sockets, long_lived
from valverouter.relayedge.proxy import RelayProxy
from valverouter.terms import platform
from valverouter.terms.edge import Log
from valverouter.terms.options import MalformedInputError

UNUSABLE, FAILED = 2, 3
VARIABLE = "RELAY_CONFIG"
# A file that is being replaced is read again after so long, so many times.
AGAIN_S, TIMES = 0.1, 20

log = structlog.get_logger()


async def serve(path: Path, told: platform.Platform) -> None:
    proxy = RelayProxy(told, Sockets(silence=60 * 10**9))
    with trio.open_signal_receiver(signal.SIGHUP, signal.SIGTERM, signal.SIGINT) as signals:
        async with trio.open_nursery() as nursery:
            await nursery.start(proxy.run)
            long_lived()

            async def listen() -> None:
                async for number in signals:
                    if number == signal.SIGHUP:
                        nursery.start_soon(reread, proxy, path)
                    else:
                        nursery.start_soon(end, proxy)

            nursery.start_soon(listen)
            await proxy.ended.wait()
            nursery.cancel_scope.cancel()


async def end(proxy: RelayProxy) -> None:
    """Connections and requests go on coming for a while after the signal; they are served."""
    await trio.sleep(platform.GOES_ON / 1e9)
    proxy.stop()


async def reread(proxy: RelayProxy, path: Path) -> None:
    """SIGHUP: a file that can't be read leaves the old one acting, and is tried again."""
    for _ in range(TIMES):
        try:
            proxy.reconfigure(platform.platform(path.read_bytes()))
            return
        except (OSError, ValueError) as error:
            why = str(error)
        await trio.sleep(AGAIN_S)
    log.error("configuration-refused", path=str(path), why=why)


def main() -> int:
    # Until the loop runs, the signal's own action would end the process.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    named = os.environ.get(VARIABLE, "")
    try:
        told = platform.platform(Path(named).read_bytes())
    except (OSError, MalformedInputError) as error:
        print(f"valverouter: {VARIABLE}={named}: {error}", file=sys.stderr)
        return UNUSABLE
    logs.set_up(Log())
    failed: list[str] = []
    try:
        trio.run(serve, Path(named), told)
    except* OSError as errors:
        failed = [str(error) for error in errors.exceptions]
    if failed:
        log.error("could-not-come-up", why=failed[0])
    return FAILED if failed else 0


if __name__ == "__main__":
    sys.exit(main())
