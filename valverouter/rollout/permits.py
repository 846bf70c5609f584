"""The record that the council agrees on: who is out, by which permit, and what was refused.

A replicated machine: the same commands in the same order give the same state everywhere, and nothing in it
reads a clock, a view or chance. The number of a permit is the place of its command in the record, so a later
permit has a higher number, and whoever was shown a number refuses any lower one.

Out never becomes in by time. A permit ends by evidence that its holder serves again, told with its number; a
holder that died keeps its permit until that. One that is found away without leave is out until it is back.
"""

from __future__ import annotations

from dataclasses import dataclass, field, replace

from msgspec import Struct

from valverouter.rollout.limits import Limits, Refusal, Sort, Unit, refusal

# Outcomes of asks are kept so that one that is told again is answered again; the oldest leave.
ANSWERS_KEPT = 1_024


class Ask(Struct, frozen=True, tag="Ask"):
    """`name` asks to go out, for an order. `id` is the ask's own: repeated, it gets its first answer."""

    id: str
    name: str
    order: str = ""


class Back(Struct, frozen=True, tag="Back"):
    """`name` serves again, is warm and takes its share; `number`: the permit it went out by, 0: without."""

    name: str
    number: int = 0


class Away(Struct, frozen=True, tag="Away"):
    """`name` was found gone, or was stopped by its machine, without leave."""

    name: str


class Enrol(Struct, frozen=True, tag="Enrol"):
    """What there is in the fleet, and its limits; `units` of the same name take the former's place."""

    units: tuple[Unit, ...] = ()
    limits: tuple[tuple[Sort, Limits], ...] = ()


class Halt(Struct, frozen=True, tag="Halt"):
    """Nothing further goes out, until `over`."""

    why: str
    over: bool = False


Command = Ask | Back | Away | Enrol | Halt


@dataclass(frozen=True, slots=True)
class Permit:
    """Leave to be out. `number` is its fencing number."""

    number: int
    name: str
    order: str


@dataclass(frozen=True, slots=True)
class Answer:
    """To an ask: a permit, or why not."""

    id: str
    permit: Permit | None
    why: str = ""


@dataclass(slots=True)
class Register:
    """The state. `out`: those out, by name; None: without leave."""

    units: dict[str, Unit] = field(default_factory=dict)
    limits: dict[Sort, Limits] = field(default_factory=dict)
    out: dict[str, Permit | None] = field(default_factory=dict)
    answers: dict[str, Answer] = field(default_factory=dict)
    halted: str = ""

    def apply(self, number: int, command: Command) -> Answer | None:
        """The command at place `number` of the record; an answer to an ask."""
        match command:
            case Ask():
                return self._ask(number, command)
            case Back(name, permit):
                self._back(name, permit)
            case Away(name):
                if name in self.units:
                    self.out.setdefault(name, None)
            case Enrol(units, limits):
                self.units |= {unit.name: unit for unit in units}
                self.limits |= dict(limits)
            case Halt(why, over):
                self.halted = "" if over else why
        return None

    def _ask(self, number: int, ask: Ask) -> Answer:
        if (known := self.answers.get(ask.id)) is not None:
            return known
        answer = self._decide(number, ask)
        self.answers[ask.id] = answer
        if len(self.answers) > ANSWERS_KEPT:
            del self.answers[next(iter(self.answers))]
        if answer.permit is not None:
            self.out[ask.name] = answer.permit
        return answer

    def _decide(self, number: int, ask: Ask) -> Answer:
        unit = self.units.get(ask.name)
        if unit is None:
            return Answer(ask.id, None, f"{ask.name} is not enrolled")
        if self.halted:
            return Answer(ask.id, None, f"halted: {self.halted}")
        if ask.name in self.out:
            held = self.out[ask.name]
            by = f"by permit {held.number} of {held.order or 'no order'}" if held else "without leave"
            return Answer(ask.id, None, f"{ask.name} is out already, {by}")
        limits = self.limits.get(unit.sort)
        if limits is None:
            return Answer(ask.id, None, f"no limits are told for {unit.sort.several}, so none may go out")
        why = refusal(limits, self.units.values(), self.out, unit)
        if why is not None:
            return Answer(ask.id, None, self._told(why))
        return Answer(ask.id, Permit(number, ask.name, ask.order))

    def _told(self, why: Refusal) -> str:
        orders = {permit.order for name, permit in self.out.items() if name in why.by and permit}
        of = f"; of {', '.join(sorted(order or 'no order' for order in orders))}" if orders else ""
        return f"{why}{of}; ask again when one of them is back"

    def _back(self, name: str, number: int) -> None:
        held = self.out.get(name)
        if name not in self.out or (held.number if held else 0) != number:
            # Of a permit that ended before, told late; or of a former process of one that is out again.
            return
        del self.out[name]

    def copy(self) -> Register:
        """For a snapshot."""
        return replace(
            self,
            units=dict(self.units),
            limits=dict(self.limits),
            out=dict(self.out),
            answers=dict(self.answers),
        )


@dataclass(slots=True)
class Fence:
    """At whoever acts on permits: the highest number seen of each name, and the highest that is over. A
    permit
    that is over, or lower than one seen, is void, however late its word comes or its holder wakes."""

    highest: dict[str, int] = field(default_factory=dict)
    spent: dict[str, int] = field(default_factory=dict)

    def accepts(self, permit: Permit) -> bool:
        if permit.number < self.highest.get(permit.name, 0) or permit.number <= self.spent.get(
            permit.name, 0
        ):
            return False
        self.highest[permit.name] = permit.number
        return True

    def over(self, permit: Permit) -> None:
        """Its holder is in again. Kept open, a copy of its word that comes late let the holder out once more
        while the council took it for in."""
        self.spent[permit.name] = max(self.spent.get(permit.name, 0), permit.number)
