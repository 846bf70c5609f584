"""The record that the council agrees on: who is out, by which permit, and what was refused.

A replicated machine: the same commands in the same order give the same state everywhere, and nothing in it
reads a clock, a view or chance. The number of a permit is the place of its command in the record, so a later
permit has a higher number, and whoever was shown a number refuses any lower one.

Out never becomes in by time. A permit ends by evidence that its holder serves again, told with its number; a
holder that died keeps its permit until that. One that is found away without leave is out until it is back.
"""

from __future__ import annotations

from dataclasses import dataclass, field

import msgspec
from msgspec import Struct

from valverouter.rollout.disruption_limits import (
    BudgetExceeded,
    DisruptionLimits,
    Instance,
    InstanceKind,
    check_budget,
)

# Outcomes of asks are kept so that one that is told again is answered again; the oldest leave.
MAX_DECISIONS = 1_024


class RequestPermit(Struct, frozen=True, tag="Ask", rename={"operation": "order"}):
    """`name` asks to go out, for an order. `id` is the ask's own: repeated, it gets its first answer."""

    id: str
    name: str
    operation: str = ""


class InstanceReturned(Struct, frozen=True, tag="Back", rename={"permit_number": "number"}):
    """`name` serves again, is warm and takes its share; `number`: the permit it went out by, 0: without."""

    name: str
    permit_number: int = 0


class InstanceLost(Struct, frozen=True, tag="Away"):
    """`name` was found gone, or was stopped by its machine, without leave."""

    name: str


class EnrollInstances(Struct, frozen=True, tag="Enrol", rename={"instances": "units"}):
    """What there is in the fleet, and its limits; `units` of the same name take the former's place."""

    instances: tuple[Instance, ...] = ()
    limits: tuple[tuple[InstanceKind, DisruptionLimits], ...] = ()


class HaltDisruptions(Struct, frozen=True, tag="Halt", rename={"reason": "why", "lifted": "over"}):
    """Nothing further goes out, until `over`."""

    reason: str
    lifted: bool = False


PermitCommand = RequestPermit | InstanceReturned | InstanceLost | EnrollInstances | HaltDisruptions


class Permit(Struct, frozen=True, rename={"operation": "order"}):
    """Leave to be out. `number` is its fencing number."""

    number: int
    name: str
    operation: str


class PermitDecision(Struct, frozen=True, rename={"rejection": "why"}):
    """To an ask: a permit, or why not."""

    id: str
    permit: Permit | None
    rejection: str = ""


class PermitRegister(
    Struct,
    rename={"instances": "units", "unavailable": "out", "decisions": "answers", "halt_reason": "halted"},
):
    """The state. `out`: those out, by name; None: without leave."""

    instances: dict[str, Instance] = msgspec.field(default_factory=dict)
    limits: dict[InstanceKind, DisruptionLimits] = msgspec.field(default_factory=dict)
    unavailable: dict[str, Permit | None] = msgspec.field(default_factory=dict)
    decisions: dict[str, PermitDecision] = msgspec.field(default_factory=dict)
    halt_reason: str = ""

    def apply(self, number: int, command: PermitCommand) -> PermitDecision | None:
        """The command at place `number` of the record; an answer to an ask."""
        match command:
            case RequestPermit():
                return self._ask(number, command)
            case InstanceReturned(name, permit):
                self._back(name, permit)
            case InstanceLost(name):
                if name in self.instances:
                    self.unavailable.setdefault(name, None)
            case EnrollInstances(units, limits):
                self.instances |= {unit.name: unit for unit in units}
                self.limits |= dict(limits)
            case HaltDisruptions(why, over):
                self.halt_reason = "" if over else why
        return None

    def _ask(self, number: int, ask: RequestPermit) -> PermitDecision:
        if (known := self.decisions.get(ask.id)) is not None:
            return known
        answer = self._decide(number, ask)
        self.decisions[ask.id] = answer
        if len(self.decisions) > MAX_DECISIONS:
            del self.decisions[next(iter(self.decisions))]
        if answer.permit is not None:
            self.unavailable[ask.name] = answer.permit
        return answer

    def _decide(self, number: int, ask: RequestPermit) -> PermitDecision:
        unit = self.instances.get(ask.name)
        if unit is None:
            return PermitDecision(ask.id, None, f"{ask.name} is not enrolled")
        if self.halt_reason:
            return PermitDecision(ask.id, None, f"halted: {self.halt_reason}")
        if ask.name in self.unavailable:
            held = self.unavailable[ask.name]
            by = f"by permit {held.number} of {held.operation or 'no order'}" if held else "without leave"
            return PermitDecision(ask.id, None, f"{ask.name} is out already, {by}")
        limits = self.limits.get(unit.kind)
        if limits is None:
            return PermitDecision(
                ask.id, None, f"no limits are told for {unit.kind.plural}, so none may go out"
            )
        why = check_budget(limits, self.instances.values(), self.unavailable, unit)
        if why is not None:
            return PermitDecision(ask.id, None, self._told(why))
        return PermitDecision(ask.id, Permit(number, ask.name, ask.operation))

    def _told(self, why: BudgetExceeded) -> str:
        orders = {
            permit.operation for name, permit in self.unavailable.items() if name in why.instances and permit
        }
        of = f"; of {', '.join(sorted(order or 'no order' for order in orders))}" if orders else ""
        return f"{why}{of}; ask again when one of them is back"

    def _back(self, name: str, number: int) -> None:
        held = self.unavailable.get(name)
        if name not in self.unavailable or (held.number if held else 0) != number:
            # Of a permit that ended before, told late; or of a former process of one that is out again.
            return
        del self.unavailable[name]

    def copy(self) -> PermitRegister:
        """For a snapshot."""
        return PermitRegister(
            dict(self.instances),
            dict(self.limits),
            dict(self.unavailable),
            dict(self.decisions),
            self.halt_reason,
        )


@dataclass(slots=True)
class Fence:
    """At whoever acts on permits: the highest number seen of each name, and the highest that is over. A
    permit
    that is over, or lower than one seen, is void, however late its word comes or its holder wakes."""

    highest_seen: dict[str, int] = field(default_factory=dict)
    highest_ended: dict[str, int] = field(default_factory=dict)

    def accepts(self, permit: Permit) -> bool:
        if permit.number < self.highest_seen.get(permit.name, 0) or permit.number <= self.highest_ended.get(
            permit.name, 0
        ):
            return False
        self.highest_seen[permit.name] = permit.number
        return True

    def end(self, permit: Permit) -> None:
        """Its holder is in again. Kept open, a copy of its word that comes late let the holder out once more
        while the council took it for in."""
        self.highest_ended[permit.name] = max(self.highest_ended.get(permit.name, 0), permit.number)
