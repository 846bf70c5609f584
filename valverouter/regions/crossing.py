"""Which legs may cross to another region: the rule that the server rule asks, and pays through.

Home comes first. Past it, a routine dialog crosses only while evidence from home has opened crossing, to a
server that has room beyond its own callers' needs, and with a slot of its budget. An urgent one crosses at
the first lack, with its own budget, then the reserve that no routine type may touch, then as an overdraft.
"""

from __future__ import annotations

from dataclasses import dataclass

from valverouter.interface import AttemptResult, CrossRegionBudget, CrossRegionConfig, Outcome
from valverouter.regions.accounts import Accounts, Line
from valverouter.regions.opening import Opening
from valverouter.regions.slots import Slots

# Of what a dialog of its type may wait there, the share that a routine comer may find: the callers of that
# region come first to what is left.
WAIT_SHARE = 0.5

UNKNOWN = "?"
ANYWHERE = "*"


@dataclass(slots=True)
class _Out:
    """A crossing leg that is out or stands, and the slot that it paid with."""

    line: Line
    lane: Slots | None
    slot: int
    reserve: bool
    stood_at: int = 0


class Crossing:
    """One edge proxy's crossing. `_out` empties with the legs' results and the dialogs' ends."""

    def __init__(self, terms: CrossRegionConfig, now: int) -> None:
        self.accounts = Accounts()
        self.opening = Opening()
        self._out: dict[tuple[str, int], _Out] = {}
        self._set(terms, now)

    def change(self, terms: CrossRegionConfig, now: int) -> None:
        """Other terms from now on; legs that are out keep the slots they paid with, books and evidence stay.

        Nothing is sent by the new budgets until a window has passed: what went by the old ones in that time
        would otherwise be spent twice. Raises ValueError, and changes nothing, where one could never send.
        """
        Crossing(terms, now)
        self._set(terms, now, wait=True)

    def _set(self, terms: CrossRegionConfig, now: int, wait: bool = False) -> None:
        def slots(budget: CrossRegionBudget) -> Slots:
            return Slots(budget, terms.clock_skew, now + budget.window * wait)

        reserve = slots(terms.reserve) if terms.reserve else None
        lanes: dict[tuple[str, str], Slots] = {}
        for name, kind in terms.policies.items():
            if kind.budget is not None:
                lanes[name, ""] = slots(kind.budget)
            for (home, away), budget in (kind.pairs or {}).items():
                if home == terms.home_region:
                    lanes[name, away] = slots(budget)
        # All at once: memory that runs out on the way must not leave half of each.
        self.terms, self._reserve, self._lanes = terms, reserve, lanes

    def is_remote(self, region: str) -> bool:
        """A server whose region is not told is taken to be across: it can't be shown to be at home."""
        return region != self.terms.home_region

    def _line(self, traffic_type: str, region: str) -> Line:
        return traffic_type, self.terms.home_region, region or UNKNOWN

    def _lane(self, traffic_type: str, region: str) -> Slots | None:
        # The narrowest that is given: of the pair, of all that leaves home, of the type in the whole fleet.
        lanes = self._lanes
        found = lanes.get((traffic_type, region)) or lanes.get((traffic_type, ANYWHERE))
        return found or lanes.get((traffic_type, ""))

    def on_selection(self, now: int, home_available: bool) -> None:
        self.opening.looked(now, home_available)

    def allows(
        self, now: int, traffic_type: str, region: str, delay_fraction: float, free_fraction: float | None
    ) -> bool:
        """`wait_share`: the server's wait against what this dialog may find; `free_share`: of its lines."""
        kind = self.terms.policies.get(traffic_type)
        if kind is None:
            return False
        if not kind.urgent:
            # Of a server that told nothing of its lines, its wait alone speaks.
            kept = free_fraction is not None and free_fraction <= self.terms.reserved_fraction
            if kept or delay_fraction > WAIT_SHARE or not self.opening.allows(now):
                return False
        lane = self._lane(traffic_type, region)
        return lane is None or kind.urgent or lane.open(now) is not None

    def on_attempt_started(self, now: int, traffic_type: str, region: str, key: tuple[str, int]) -> None:
        """Pays for a leg that crosses: its own budget, the reserve, or past both as an overdraft."""
        if not self.is_remote(region):
            return
        line = self._line(traffic_type, region)
        lane, reserve, slot = self._lane(traffic_type, region), False, None
        if lane is not None and (slot := lane.take(now)) is None and self._reserve is not None:
            lane, reserve = self._reserve, True
            slot = lane.take(now)
        counts = {"legs": 1}
        if lane is not None and slot is None:
            counts["overdraft"] = 1
        elif reserve:
            counts["reserve"] = 1
        self.accounts.count(now, line, **counts)
        self._out[key] = _Out(line, lane if slot is not None else None, slot or 0, reserve)

    def on_rejected(self, now: int, traffic_type: str) -> None:
        self.accounts.count(now, self._line(traffic_type, UNKNOWN), refused=1)

    def on_attempt_result(self, now: int, result: AttemptResult) -> None:
        """A leg that never left gives its slot back; one that failed there has used it. Ends close
        circuits."""
        key = (result.dialog_id, result.attempt)
        out = self._out.get(key)
        if out is None:
            return
        if result.outcome is Outcome.ESTABLISHED:
            out.stood_at = now
            self.accounts.count(now, out.line, stands=1)
            return
        del self._out[key]
        if out.stood_at:
            self.accounts.count(now, out.line, circuit_ns=now - out.stood_at)
        elif result.outcome in (Outcome.UNREACHABLE, Outcome.NOT_SENT):
            if out.lane is not None:
                out.lane.give_back(out.slot)
            paid = {"reserve": -1} if out.reserve and out.lane else {} if out.lane else {"overdraft": -1}
            if not out.lane and self._lane(out.line[0], out.line[2]) is None:
                paid = {}
            self.accounts.count(now, out.line, legs=-1, unsent=1, **paid)
        elif result.outcome is Outcome.RESET:
            self.accounts.count(now, out.line, reset=1)

    @property
    def circuits(self) -> int:
        """Crossing circuits in use: dialogs that stand across now."""
        return sum(bool(out.stood_at) for out in self._out.values())
