"""Python's garbage collector, set for a long-lived process that leaves nothing in cycles."""

from __future__ import annotations

import gc


def tune_garbage_collector() -> None:
    """Tells Python's collector that what is here stays, and to look less often: nothing of ours is left in
    cycles.

    Looking at every 700 new objects costs a busy edge proxy rate, and the rare whole look its slowest
    set-ups.
    """
    gc.collect()
    gc.freeze()
    gc.set_threshold(50_000, 20, 50)
