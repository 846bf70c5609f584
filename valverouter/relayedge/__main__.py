"""Runs `valverouter.platform_edge` under its former name, which operators' units start."""

from __future__ import annotations

import signal
import sys

if __name__ == "__main__":
    # Before the other imports: without a handler SIGHUP ends the process.
    EARLY_SIGNALS: list[int] = []
    signal.signal(signal.SIGHUP, lambda number, frame: EARLY_SIGNALS.append(number))

from valverouter.platform_edge.__main__ import main

if __name__ == "__main__":
    sys.exit(main(EARLY_SIGNALS))
