"""Runs the platform's edge proxy with an injected fault, to show that the soak detects it.

python -m valverouter.soak.injected_faults NAME
"""

from __future__ import annotations

import itertools
import os
import signal
import sys
from pathlib import Path
from typing import Any

if __name__ == "__main__":
    # Installed before the other imports, as in the program itself: without a handler SIGHUP ends the process.
    EARLY_SIGNALS: list[int] = []
    signal.signal(signal.SIGHUP, lambda number, frame: EARLY_SIGNALS.append(number))

import trio

from valverouter.config import platform
from valverouter.platform_edge import __main__ as program
from valverouter.platform_edge.callers import PlatformCaller
from valverouter.platform_edge.proxy import PlatformProxy

EARLY_BY_S = 0.3
DROP_EVERY = 50


def _exit_early() -> None:
    """Exits before the end of the accept period, in which set-ups must still be served."""

    async def stop(proxy: PlatformProxy) -> None:
        await trio.sleep(platform.ACCEPT_PERIOD / 1e9 - EARLY_BY_S)
        os._exit(0)

    program.stop_after_accept_period = stop


def _drop_answers() -> None:
    """Drops every `DROP_EVERY`th message to callers."""
    send = PlatformCaller.send
    counter = itertools.count(1)

    def send_with_losses(self: PlatformCaller, message: Any) -> None:
        if next(counter) % DROP_EVERY:
            send(self, message)

    PlatformCaller.send = send_with_losses  # type: ignore[method-assign]


def _exit_at_second_stop_signal() -> None:
    """Exits immediately at a second stop signal."""
    stop = program.stop_after_accept_period
    counter = itertools.count(1)

    async def stop_once(proxy: PlatformProxy) -> None:
        if next(counter) > 1:
            os._exit(0)
        await stop(proxy)

    program.stop_after_accept_period = stop_once


def _ignore_sighup() -> None:
    """Ignores new configurations."""

    async def ignore(proxy: PlatformProxy, path: Path) -> None:
        """Does nothing."""

    program.reload = ignore


FAULTS = {
    "early-exit": _exit_early,
    "dropped-answer": _drop_answers,
    "second-stop": _exit_at_second_stop_signal,
    "lost-hangup": _ignore_sighup,
}

if __name__ == "__main__":
    FAULTS[sys.argv[1]]()
    sys.exit(program.main(EARLY_SIGNALS))
