"""The figures of the view, all of them, in the probe period where they are spans."""

from __future__ import annotations

import math
from dataclasses import dataclass

SECOND = 10**9


@dataclass(frozen=True, slots=True)
class Rules:
    """Spans in ns. Those that a baseline switches off are named in docs/fleet.md.

    `period`: each member probes `probes` others in it. `direct`: an answer that is not here by then is asked
    for once more and through `helpers`; the verdict falls at the period's end, so that one who answers late
    answers all the same. `suspicion`: periods that a suspect has to say otherwise, once `accusers` have
    found it silent; one accuser alone waits `alone` times as long. `witnesses`: about so many members look
    for themselves when they hear of a suspect. `exchange`: periods between two exchanges of whole views.
    `remembers`: ns for which one that is gone is told of and tried.
    """

    period: int = SECOND
    probes: int = 2
    direct: float = 0.3
    helpers: int = 3
    suspicion: float = 4.0
    accusers: int = 2
    alone: float = 2.0
    witnesses: float = 3.0
    health_most: int = 8
    spreads: float = 3.0
    eager: int = 4
    fan: int = 3
    ticks: int = 5
    exchange: float = 10.0
    remembers: int = 300 * SECOND
    old_addresses: int = 32
    room: int = 1_000
    # What a baseline leaves out.
    suspects: bool = True
    doubts_itself: bool = True

    def sends(self, members: int) -> int:
        """How often a word is passed on by each who has it: enough to reach all, and an end to it."""
        return max(self.eager, math.ceil(self.spreads * math.log10(members + 1)))
