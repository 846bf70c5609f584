"""One edge proxy on the operators' platform: `python -m valverouter.relayedge`, configured by RELAY_CONFIG.

Exit codes: 0 stopped; 2 the configuration can't be used; 3 the program could not come up. What is imported
here is what the platform's memory has room for: no command line, no numbers library.
"""

from __future__ import annotations

import os
import signal
import sys
from pathlib import Path

if __name__ == "__main__":
    # Before all else is imported: until a handler of ours is there, SIGHUP's own action ends the process.
    EARLY: list[int] = []
    signal.signal(signal.SIGHUP, lambda number, frame: EARLY.append(number))

import structlog
import trio

from valverouter.edge import logs
from valverouter.edge.garbage_collection import tune_garbage_collector
from valverouter.edge.sockets import SocketRuntime
from valverouter.relayedge.proxy import RelayProxy
from valverouter.relaywire import bus
from valverouter.signalling.framing import ProtocolError
from valverouter.terms import platform
from valverouter.terms.edge import LogConfig
from valverouter.terms.options import MalformedInputError

UNUSABLE, FAILED = 2, 3
VARIABLE = "RELAY_CONFIG"
# A file that is being replaced is read again after so long, so many times.
READ_RETRY_S, READ_ATTEMPTS = 0.1, 20
# A peer that is silent for so long is probed, in nanoseconds.
PEER_SILENCE = 60 * 10**9

log = structlog.get_logger()


async def serve(path: Path, config: platform.PlatformConfig, early: list[int]) -> None:
    """Runs the proxy until it is stopped.

    `early`: SIGHUPs that came before anybody could act on them, after the file was read perhaps.
    """
    proxy = RelayProxy(config, SocketRuntime(silence=PEER_SILENCE, max_descriptors=config.limits.sockets))
    with trio.open_signal_receiver(signal.SIGHUP, signal.SIGTERM, signal.SIGINT) as signals:
        async with trio.open_nursery() as nursery:
            await nursery.start(proxy.run)
            tune_garbage_collector()

            async def listen() -> None:
                async for number in signals:
                    if number == signal.SIGHUP:
                        nursery.start_soon(reread, proxy, path)
                    else:
                        nursery.start_soon(end, proxy)

            if early:
                nursery.start_soon(reread, proxy, path)
            nursery.start_soon(listen)
            await proxy.ended.wait()
            nursery.cancel_scope.cancel()


async def end(proxy: RelayProxy) -> None:
    """Connections and requests go on coming for a while after the signal; they are served."""
    await trio.sleep(platform.ACCEPT_PERIOD / 1e9)
    proxy.stop()


async def reread(proxy: RelayProxy, path: Path) -> None:
    """SIGHUP: a file that can't be read leaves the old one acting, and is tried again."""
    for _ in range(READ_ATTEMPTS):
        try:
            proxy.reconfigure(read(path))
            return
        except (OSError, MalformedInputError) as error:
            reason = str(error)
        await trio.sleep(READ_RETRY_S)
    log.error("configuration-rejected", path=str(path), why=reason)


def read(path: Path) -> platform.PlatformConfig:
    """The configuration, whole and checked, the events in it too; OSError, MalformedInputError."""
    config = platform.platform_config(path.read_bytes())
    try:
        bus.batch(config.known)
    except ProtocolError as error:
        raise MalformedInputError(f"known: {error}") from None
    return config


def main(early: list[int]) -> int:
    """Runs the edge proxy; the exit code. `early`: SIGHUPs that came before."""
    path = os.environ.get(VARIABLE, "")
    try:
        config = read(Path(path))
    except (OSError, MalformedInputError) as error:
        print(f"valverouter: {VARIABLE}={path}: {error}", file=sys.stderr)
        return UNUSABLE
    logs.configure_logging(LogConfig())
    failures: list[str] = []
    try:
        trio.run(serve, Path(path), config, early)
    except* OSError as errors:
        failures = [str(error) for error in errors.exceptions]
    if failures:
        log.error("edge-start-failed", why=failures[0])
    return FAILED if failures else 0


if __name__ == "__main__":
    sys.exit(main(EARLY))
