"""Runs `valverouter.soak.injected_faults` under its former name.

python -m valverouter.soak.planted NAME
"""

from __future__ import annotations

import signal
import sys

if __name__ == "__main__":
    # Installed before the other imports: without a handler SIGHUP ends the process.
    EARLY_SIGNALS: list[int] = []
    signal.signal(signal.SIGHUP, lambda number, frame: EARLY_SIGNALS.append(number))

from valverouter.platform_edge import __main__ as program
from valverouter.soak.injected_faults import FAULTS

if __name__ == "__main__":
    FAULTS[sys.argv[1]]()
    sys.exit(program.main(EARLY_SIGNALS))
