"""A time-sliced quota: one budget of cross-region attempts, shared by edge proxies without communication.

Time is divided into slots, which all edge proxies derive from their clocks in the same way. Of the n edge
proxies that share a budget, slot k belongs to the one with index k mod n and permits one attempt. An unused
slot stays open for its lifetime and then lapses, so at most `burst` slots of the fleet are open at any time.

With slots `spacing` apart that stay open for `lifetime`, attempts on slots i < j lie at least
(j - i) * spacing - lifetime - 2 * skew apart. With spacing = window / (attempts - burst + 1) and
lifetime = (burst - 1) * spacing - 2 * skew, attempts + 1 of them span more than a window: no window at any
position contains more than `attempts`, regardless of which edge proxies send, and when.
"""

from __future__ import annotations

import math
from dataclasses import replace

from valverouter.interface import CrossRegionBudget

NANOSECONDS_PER_SECOND = 1e9
# Below 2 a slot would lapse the moment it opens.
MIN_BURST = 2


class TimeSlicedQuota:
    """One edge proxy's share of a budget. Of the used slots, only those still open are kept in memory."""

    def __init__(self, budget: CrossRegionBudget, clock_skew: int, now: int) -> None:
        """Creates a quota with slots from `now` on; `clock_skew` (ns) bounds the difference between clocks.

        Raises ValueError with the `infeasibility_reason` of a budget that could never permit an attempt.
        """
        budget = with_default_burst(budget, clock_skew)
        if reason := infeasibility_reason(budget, clock_skew):
            raise ValueError(reason)
        self.budget = budget
        self.spacing = slot_spacing(budget)
        self.lifetime = slot_lifetime(budget, clock_skew)
        # The slots that a previous incarnation used are unknown: every slot that may have begun before this
        # start, by the clock of either incarnation, counts as used.
        self._first_begin = now + 2 * clock_skew
        self._used: set[int] = set()

    def available_slot(self, now: int) -> int | None:
        """The oldest open, unused slot of this edge proxy, because it lapses first; None if there is none."""
        available = None
        slot = now // self.spacing
        slot -= (slot - self.budget.fleet_index) % self.budget.edge_proxies
        while self._is_open(slot, now) and slot * self.spacing >= self._first_begin:
            if slot not in self._used:
                available = slot
            slot -= self.budget.edge_proxies
        return available

    def acquire(self, now: int) -> int | None:
        """Uses a slot and returns its number; None if none is available."""
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
        """The number of used slots in memory."""
        return len(self._used)

    def _is_open(self, slot: int, now: int) -> bool:
        return slot * self.spacing > now - self.lifetime


def slot_spacing(budget: CrossRegionBudget) -> int:
    """Nanoseconds between the fleet's slots; rounded up, so that no window permits one more attempt."""
    return -(-budget.window // (budget.attempts - budget.burst + 1))


def slot_lifetime(budget: CrossRegionBudget, clock_skew: int) -> int:
    """How long a slot stays open, in nanoseconds."""
    return (budget.burst - 1) * slot_spacing(budget) - 2 * clock_skew


def max_rate(budget: CrossRegionBudget) -> float:
    """Attempts per second that the whole fleet can sustain while every edge proxy has some to send."""
    return NANOSECONDS_PER_SECOND / slot_spacing(budget)


def expected_utilization(budget: CrossRegionBudget, clock_skew: int, demand: float) -> float:
    """The expected fraction of slots used when each edge proxy has `demand` random attempts per second.

    An edge proxy with several open slots nearly always finds one. An edge proxy that rarely has a slot uses
    it only if an attempt happens to arrive while the slot is open.
    """
    own_slot_interval = budget.edge_proxies * slot_spacing(budget) / NANOSECONDS_PER_SECOND
    lifetime = slot_lifetime(budget, clock_skew) / NANOSECONDS_PER_SECOND
    if lifetime <= 0 or demand <= 0:
        return 0.0
    use_probability = 1 - math.exp(-demand * min(lifetime, own_slot_interval))
    # The open slots are modelled as a queue of limited length: a new slot is lost when the queue is full.
    max_length = int(lifetime / own_slot_interval)
    if max_length < 1:
        return use_probability
    load = 1 / (own_slot_interval * demand)
    return max(use_probability, 1 - _full_probability(max_length, load))


def _full_probability(max_length: int, load: float) -> float:
    """The probability that an M/M/1 queue of this maximum length is full."""
    if abs(load - 1) <= 1e-9:
        return 1 / (max_length + 1)
    return load**max_length * (1 - load) / (1 - load ** (max_length + 1))


def with_default_burst(budget: CrossRegionBudget, clock_skew: int) -> CrossRegionBudget:
    """The budget with its burst, or with the burst of the highest utilization if none is given (0).

    A small burst gives many slots that lapse soon, a large one few slots that stay open long. The choice
    assumes a demand that equals the budget and is spread evenly. It depends on the configuration alone, so
    that all edge proxies that share the budget choose the same burst.
    """
    if budget.burst or budget.attempts < MIN_BURST:
        return budget
    demand = budget.attempts * NANOSECONDS_PER_SECOND / budget.window / budget.edge_proxies
    candidates = [replace(budget, burst=burst) for burst in range(MIN_BURST, budget.attempts + 1)]
    return max(
        candidates,
        key=lambda candidate: max_rate(candidate) * expected_utilization(candidate, clock_skew, demand),
    )


def infeasibility_reason(budget: CrossRegionBudget, clock_skew: int) -> str:
    """The reason why the budget could never permit an attempt; empty for a feasible budget."""
    budget = with_default_burst(budget, clock_skew)
    if not 1 <= budget.burst <= budget.attempts:
        return f"burst is {budget.burst}, must lie between 1 and the {budget.attempts} attempts of a window"
    if not 0 <= budget.fleet_index < budget.edge_proxies:
        return f"fleet index {budget.fleet_index} is not among the {budget.edge_proxies} that share it"
    if budget.burst < MIN_BURST:
        return "burst is 1: a slot would lapse the moment it opens; must be 2 or more"
    if slot_lifetime(budget, clock_skew) <= 0:
        return f"the clock skew exceeds a slot's lifetime: a burst of {budget.burst + 1} or more is needed"
    return ""
