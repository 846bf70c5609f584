"""`python -m valverouter.platform_edge`: one edge proxy on the platform, configured by the file RELAY_CONFIG.

Exit codes: 0 stopped; 2 the configuration is invalid; 3 the start failed. To stay within the platform's
memory limit, neither the command line nor numerical libraries are imported.
"""

from __future__ import annotations

import os
import signal
import sys
from pathlib import Path

if __name__ == "__main__":
    # Installed before the other imports: without a handler SIGHUP terminates the process.
    EARLY_SIGNALS: list[int] = []
    signal.signal(signal.SIGHUP, lambda number, frame: EARLY_SIGNALS.append(number))

import structlog
import trio

from valverouter.config import platform
from valverouter.config.edge import LogConfig
from valverouter.config.options import MalformedInputError
from valverouter.edge import logs
from valverouter.edge.garbage_collection import tune_garbage_collector
from valverouter.edge.signals import receive_signals
from valverouter.edge.sockets import SocketRuntime
from valverouter.platform_edge.proxy import PlatformProxy
from valverouter.platform_protocol import bus
from valverouter.signalling.framing import ProtocolError

EXIT_INVALID_CONFIG, EXIT_START_FAILED = 2, 3
CONFIG_VARIABLE = "RELAY_CONFIG"
# The file may be read while it is being replaced: an invalid one is read again after this delay, in this many
# attempts at most.
RELOAD_RETRY_DELAY_S, RELOAD_ATTEMPTS = 0.1, 20
# How long a connection is idle before the kernel sends keepalive probes, in nanoseconds.
KEEPALIVE_IDLE = 60 * 10**9

log = structlog.get_logger()


async def serve(path: Path, config: platform.PlatformConfig, early_signals: list[int]) -> None:
    """Runs the proxy until it is stopped.

    `early_signals`: SIGHUPs received before the signal receiver was open. The file at `path` may have been
    read before them, so it is read again.
    """
    proxy = PlatformProxy(
        config, SocketRuntime(silence=KEEPALIVE_IDLE, max_descriptors=config.limits.sockets)
    )
    with receive_signals(signal.SIGHUP, signal.SIGTERM, signal.SIGINT) as signals:
        async with trio.open_nursery() as nursery:
            await nursery.start(proxy.run)
            tune_garbage_collector()

            async def listen() -> None:
                async for number in signals:
                    if number == signal.SIGHUP:
                        nursery.start_soon(reload, proxy, path)
                    else:
                        nursery.start_soon(stop_after_accept_period, proxy)

            if early_signals:
                nursery.start_soon(reload, proxy, path)
            nursery.start_soon(listen)
            await proxy.ended.wait()
            nursery.cancel_scope.cancel()


async def stop_after_accept_period(proxy: PlatformProxy) -> None:
    """Waits until the platform no longer sends connections and requests to this process, then stops it."""
    await trio.sleep(platform.ACCEPT_PERIOD / 1e9)
    proxy.stop()


async def reload(proxy: PlatformProxy, path: Path) -> None:
    """Handles SIGHUP: applies the configuration file; while it is invalid, retries and changes nothing."""
    for _ in range(RELOAD_ATTEMPTS):
        try:
            proxy.reconfigure(read_config(path))
            return
        except (OSError, MalformedInputError) as error:
            reason = str(error)
        await trio.sleep(RELOAD_RETRY_DELAY_S)
    log.error("configuration-rejected", path=str(path), why=reason)


def read_config(path: Path) -> platform.PlatformConfig:
    """Reads and validates the configuration and its events; raises OSError or MalformedInputError."""
    config = platform.platform_config(path.read_bytes())
    try:
        bus.decode_batch(config.known)
    except ProtocolError as error:
        raise MalformedInputError(f"known: {error}") from None
    return config


def main(early_signals: list[int]) -> int:
    """Runs the process and returns its exit code; `early_signals`: SIGHUPs received during the imports."""
    path = os.environ.get(CONFIG_VARIABLE, "")
    try:
        config = read_config(Path(path))
    except (OSError, MalformedInputError) as error:
        print(f"valverouter: {CONFIG_VARIABLE}={path}: {error}", file=sys.stderr)
        return EXIT_INVALID_CONFIG
    logs.configure_logging(LogConfig())
    failures: list[str] = []
    try:
        trio.run(serve, Path(path), config, early_signals)
    except* OSError as errors:
        failures = [str(error) for error in errors.exceptions]
    if failures:
        log.error("edge-start-failed", why=failures[0])
    return EXIT_START_FAILED if failures else 0


if __name__ == "__main__":
    sys.exit(main(EARLY_SIGNALS))
