"""Runs the simulator's adapter with a variant of the driver, to rank variants there as on the emulator.

python benchmarks/variant_on_the_wire.py NAME [KEY=VALUE ...]
"""

from __future__ import annotations

import sys
from unittest.mock import patch

from valverouter.experiments.variants import parse_variant
from valverouter.simulator_adapter import __main__ as simulator_adapter


def main() -> None:
    decisions = parse_variant(" ".join(sys.argv[1:]))
    with decisions.applied(), patch.object(simulator_adapter, "Driver", decisions.build):
        sys.exit(simulator_adapter.main(sys.stdin.buffer, sys.stdout.buffer))


if __name__ == "__main__":
    main()
