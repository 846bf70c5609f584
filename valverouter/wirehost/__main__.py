"""Runs `valverouter.simulator_adapter` under its former name, which operators' units start."""

from __future__ import annotations

import sys

from valverouter.simulator_adapter.__main__ import main

if __name__ == "__main__":
    sys.exit(main(sys.stdin.buffer, sys.stdout.buffer))
