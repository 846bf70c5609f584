"""A time-sliced quota: one budget of cross-region attempts, shared by edge proxies without communication.

Time is cut into slots that every edge proxy derives alike from its clock. Of the n edge proxies that share a
budget, slot k belongs to the one with index k mod n and permits one attempt. A slot that is not used at once
stays open for its lifetime and then lapses, so at most `burst` slots of the fleet are open at any moment.

With slots `spacing` apart that stay open for `lifetime`, attempts on slots i < j lie at least
(j - i) * spacing - lifetime - 2 * skew apart. With spacing = window / (attempts - burst + 1) and
lifetime = (burst - 1) * spacing - 2 * skew, attempts + 1 of them span more than a window: no window at any
position holds more than `attempts`, whichever edge proxies send and whenever they do.
"""

from __future__ import annotations

import math
from dataclasses import replace

from valverouter.interface import CrossRegionBudget

NANOSECONDS = 1e9
# Below 2 a slot would lapse the moment it opens.
MIN_BURST = 2


class TimeSlicedQuota:
    """One edge proxy's part of a budget. Holds the used slots that are still open, and no others."""

    def __init__(self, budget: CrossRegionBudget, clock_skew: int, now: int) -> None:
        """A quota whose slots may be used from `now` on; `clock_skew` bounds how far clocks are apart, in ns.

        Raises ValueError with the `infeasibility` of a budget that could never permit an attempt.
        """
        budget = with_default_burst(budget, clock_skew)
        if reason := infeasibility(budget, clock_skew):
            raise ValueError(reason)
        self.budget = budget
        self.spacing = slot_spacing(budget)
        self.lifetime = slot_lifetime(budget, clock_skew)
        # What a previous incarnation used is unknown: every slot that may have begun before our start, by
        # the clock of either, counts as used.
        self._first_begin = now + 2 * clock_skew
        self._used: set[int] = set()

    def available_slot(self, now: int) -> int | None:
        """The oldest of our open, unused slots, because it lapses first; None where there is none."""
        available = None
        slot = now // self.spacing
        slot -= (slot - self.budget.fleet_index) % self.budget.edge_proxies
        while self._is_open(slot, now) and slot * self.spacing >= self._first_begin:
            if slot not in self._used:
                available = slot
            slot -= self.budget.edge_proxies
        return available

    def acquire(self, now: int) -> int | None:
        """Uses a slot and returns its number; None when none is available."""
        slot = self.available_slot(now)
        if slot is not None:
            self._used = {used for used in self._used if self._is_open(used, now)}
            self._used.add(slot)
        return slot

    def release(self, slot: int) -> None:
        """Refunds a slot whose attempt was never sent; until it lapses it may be used again."""
        self._used.discard(slot)

    @property
    def used_slots(self) -> int:
        """How many used slots are held in memory."""
        return len(self._used)

    def _is_open(self, slot: int, now: int) -> bool:
        return slot * self.spacing > now - self.lifetime


def slot_spacing(budget: CrossRegionBudget) -> int:
    """Nanoseconds between the fleet's slots; rounded up, so that no window gets one more attempt."""
    return -(-budget.window // (budget.attempts - budget.burst + 1))


def slot_lifetime(budget: CrossRegionBudget, clock_skew: int) -> int:
    """How long a slot stays open, in nanoseconds."""
    return (budget.burst - 1) * slot_spacing(budget) - 2 * clock_skew


def max_rate(budget: CrossRegionBudget) -> float:
    """Attempts a second that the whole fleet can sustain while every edge proxy has some to send."""
    return NANOSECONDS / slot_spacing(budget)


def expected_utilization(budget: CrossRegionBudget, clock_skew: int, demand: float) -> float:
    """The fraction of the slots that gets used when each edge proxy has `demand` random attempts a second.

    An edge proxy with several open slots nearly always finds one. One whose turn comes rarely uses a slot
    only if an attempt happens to come while it is open.
    """
    turn_interval = budget.edge_proxies * slot_spacing(budget) / NANOSECONDS
    lifetime = slot_lifetime(budget, clock_skew) / NANOSECONDS
    if lifetime <= 0 or demand <= 0:
        return 0.0
    used_in_turn = 1 - math.exp(-demand * min(lifetime, turn_interval))
    # Open slots as a queue with so many places: a new slot is lost when the queue is full.
    places = int(lifetime / turn_interval)
    if places < 1:
        return used_in_turn
    load = 1 / (turn_interval * demand)
    return max(used_in_turn, 1 - _full_probability(places, load))


def _full_probability(places: int, load: float) -> float:
    """The probability that an M/M/1 queue with so many places is full."""
    if abs(load - 1) <= 1e-9:
        return 1 / (places + 1)
    return load**places * (1 - load) / (1 - load ** (places + 1))


def with_default_burst(budget: CrossRegionBudget, clock_skew: int) -> CrossRegionBudget:
    """The budget with the burst that uses most of it, where none is given (0).

    A small burst gives many slots that lapse soon, a large one few that wait long for an attempt. The choice
    assumes demand that equals the budget and is spread evenly. It depends on the configuration alone, so that
    all who share the budget choose alike.
    """
    if budget.burst or budget.attempts < MIN_BURST:
        return budget
    demand = budget.attempts * NANOSECONDS / budget.window / budget.edge_proxies
    candidates = [replace(budget, burst=burst) for burst in range(MIN_BURST, budget.attempts + 1)]
    return max(
        candidates,
        key=lambda candidate: max_rate(candidate) * expected_utilization(candidate, clock_skew, demand),
    )


def infeasibility(budget: CrossRegionBudget, clock_skew: int) -> str:
    """Why the budget could never permit an attempt; empty for a feasible one."""
    budget = with_default_burst(budget, clock_skew)
    if not 1 <= budget.burst <= budget.attempts:
        return f"burst is {budget.burst}, must lie from 1 to the {budget.attempts} legs of a window"
    if not 0 <= budget.fleet_index < budget.edge_proxies:
        return f"place {budget.fleet_index} is not among the {budget.edge_proxies} that share it"
    if budget.burst < MIN_BURST:
        return "burst is 1: a slot would lapse the moment it opens; 2 is the least"
    if slot_lifetime(budget, clock_skew) <= 0:
        return f"the clocks' skew eats up a slot's life; burst {budget.burst + 1} or more legs are needed"
    return ""
