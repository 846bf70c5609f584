"""A fleet's budget of crossing legs, shared by edge proxies that tell each other nothing.

Time is cut into slots that all edge proxies reckon alike from their clocks; slot k belongs to number k mod n
of the n that share the budget, and lets it send one leg. A slot that is not used at once stays open for a
while and then lapses, so that at most `burst` are open in the whole fleet at any moment.

With slots `spacing` apart and open for `life`, legs of slots i < j lie at least (j - i) spacing - life - 2
skew apart. With spacing = window / (legs - burst + 1) and life = (burst - 1) spacing - 2 skew, legs + 1 of
them lie more than a window apart: no window of any position holds more than `legs`, whoever sends when.
"""

from __future__ import annotations

import math
from dataclasses import replace

from valverouter.interface import CrossRegionBudget


class Slots:
    """One edge proxy's part of a budget. `_used` holds slots that are still open, and no others."""

    def __init__(self, budget: CrossRegionBudget, skew: int, now: int) -> None:
        """Raises ValueError for a budget that can never send a leg; `why_never` says why. Burst 0: the
        best."""
        budget = settled(budget, skew)
        if reason := why_never(budget, skew):
            raise ValueError(reason)
        self.budget = budget
        self.spacing = spacing(budget)
        self.life = life(budget, skew)
        # What a former self of ours spent is not known: every slot that may have begun before our start, by
        # either's clock, counts as used.
        self._from = now + 2 * skew
        self._used: set[int] = set()

    def open(self, now: int) -> int | None:
        """The oldest of our slots that is open and not used: it lapses first."""
        found, step = None, self.budget.edge_proxies
        slot = now // self.spacing
        slot -= (slot - self.budget.fleet_index) % step
        while slot * self.spacing > now - self.life and slot * self.spacing >= self._from:
            if slot not in self._used:
                found = slot
            slot -= step
        return found

    def take(self, now: int) -> int | None:
        """Uses a slot; None when none is open."""
        slot = self.open(now)
        if slot is not None:
            self._used = {one for one in self._used if one * self.spacing > now - self.life}
            self._used.add(slot)
        return slot

    def give_back(self, slot: int) -> None:
        """The leg never left; what is left of its slot may be used again."""
        self._used.discard(slot)

    @property
    def used(self) -> int:
        return len(self._used)


def spacing(budget: CrossRegionBudget) -> int:
    """Nanoseconds from one slot of the fleet to the next; rounded up, so that no window gets one more."""
    return -(-budget.window // (budget.attempts - budget.burst + 1))


def life(budget: CrossRegionBudget, skew: int) -> int:
    """How long a slot stays open, in nanoseconds."""
    return (budget.burst - 1) * spacing(budget) - 2 * skew


def pace(budget: CrossRegionBudget) -> float:
    """Legs a second that the whole fleet can send in the long run, when all have some to send."""
    return 1e9 / spacing(budget)


def usable(budget: CrossRegionBudget, skew: int, wished: float) -> float:
    """Of the slots, the share that finds a leg to send where each sharer wishes for `wished` a second, at
    random.

    A sharer whose slots overlap has them nearly always in hand; one whose turn comes seldom uses it only when
    something comes while it is open.
    """
    own_turn = budget.edge_proxies * spacing(budget) / 1e9
    open_for = life(budget, skew) / 1e9
    if open_for <= 0 or wished <= 0:
        return 0.0
    by_turn = 1 - math.exp(-wished * min(open_for, own_turn))
    # Slots in hand as a store of so many places: a new one is lost when the store is full.
    places, supply = int(open_for / own_turn), 1 / (own_turn * wished)
    if places < 1:
        return by_turn
    full = 1 / (places + 1)
    if abs(supply - 1) > 1e-9:
        full = supply**places * (1 - supply) / (1 - supply ** (places + 1))
    return max(by_turn, 1 - full)


def settled(budget: CrossRegionBudget, skew: int) -> CrossRegionBudget:
    """The budget with its burst, where none is given the one that uses most of it.

    A small burst paces many slots that lapse soon, a large one few that wait long for a leg. Reckoned for a
    fleet that wishes for just the budget, evenly; from the terms alone, so that all who share it reckon
    alike.
    """
    if budget.burst or budget.attempts < 2:
        return budget
    wished = budget.attempts * 1e9 / budget.window / budget.edge_proxies
    tried = [replace(budget, burst=burst) for burst in range(2, budget.attempts + 1)]
    return max(tried, key=lambda one: pace(one) * usable(one, skew, wished))


def why_never(budget: CrossRegionBudget, skew: int) -> str:
    """Why a budget could never send one leg, or nothing."""
    budget = settled(budget, skew)
    if not 1 <= budget.burst <= budget.attempts:
        return f"burst is {budget.burst}, must lie from 1 to the {budget.attempts} legs of a window"
    if not 0 <= budget.fleet_index < budget.edge_proxies:
        return f"place {budget.fleet_index} is not among the {budget.edge_proxies} that share it"
    if budget.burst < 2:
        return "burst is 1: a slot would lapse the moment it opens; 2 is the least"
    if life(budget, skew) <= 0:
        return f"the clocks' skew eats up a slot's life; burst {budget.burst + 1} or more legs are needed"
    return ""
