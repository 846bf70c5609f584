"""Orders and how far each has come: the agreed record above the permits.

A replicated machine like `permits.py`, and round it: the same commands in the same order give the same state
everywhere. An order's plan and progress live here and not in the tool that placed it. One order goes at a
time; the others wait in the order in which they were placed, and one that names an instance that another
order still has is refused whole.

What an instance should be is kept as a `Want`: its version, whether it is up, and the turn by which it became
so, a permit's number and a step. A turn is carried out at most once, since whoever carries it out keeps the
highest one it has begun; coming up again under the same permit is that permit's second step.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass, field, replace
from enum import Enum

from msgspec import Struct

from valverouter.rollout.limits import impossible, refusal, waves
from valverouter.rollout.permits import Answer, Ask, Away, Back, Enrol, Halt, Permit, Register
from valverouter.rollout.permits import Command as PermitCommand

# Ended orders that are kept for `history`; the oldest leave.
ENDED_KEPT = 64
# So many orders wait or go at once.
OPEN_MOST = 16


class Kind(Enum):
    DRAIN = "drain"
    UNDRAIN = "undrain"
    RESTART = "restart"
    RELEASE = "release"


class Phase(Enum):
    """QUEUED: another order goes first. WATCHING: a wave is back, and evidence is gathered. RETURNING: what
    is out comes in again, and what was released goes back to its former version."""

    QUEUED = "queued"
    GOING = "going"
    WATCHING = "watching"
    RETURNING = "returning"
    ENDED = "ended"


class Step(Enum):
    """Of one instance in one order. OUT: under its permit, whatever it does there; what became of it is known
    only once it has told. FAILED: its program does not come up as ordered, and it is out."""

    WAITING = "waiting"
    OUT = "out"
    FAILED = "failed"
    DRAINED = "drained"
    DONE = "done"
    NOT_REACHED = "not reached"
    # While the order returns: released, and still to go back; and back.
    TO_RETURN = "to return"
    RETURNED = "returned"
    # Never gone out by this order.
    LEFT = "left"


OPEN = (Step.WAITING, Step.OUT, Step.FAILED)
BUSY = (Phase.GOING, Phase.WATCHING, Phase.RETURNING)


class Place(Struct, frozen=True, tag="Place"):
    """An order. `id` is its own: placed again, it is the same order. `at`: wall time in ms, to be shown and
    for nothing else. `dry`: nothing is placed, the plan is told."""

    id: str
    kind: Kind
    names: tuple[str, ...]
    version: str = ""
    at: int = 0
    by: str = ""


class Went(Struct, frozen=True, tag="Went"):
    """What became of an instance, as it told; `number`: of its permit, 0 where it has none yet."""

    order: str
    name: str
    number: int
    step: Step
    why: str = ""


class Next(Struct, frozen=True, tag="Next"):
    """The evidence lets the wave after `wave` go."""

    order: str
    wave: int


class Stop(Struct, frozen=True, tag="Stop"):
    """Nothing further goes out by the order (empty: by any), and what is out comes in. `back`: what was
    released returns to its former version as well."""

    order: str
    why: str
    back: bool = True
    at: int = 0


class Runs(Struct, frozen=True, tag="Runs"):
    """An instance tells which version it runs, and which its keeper can start; the highest turn that its
    keeper has begun, and whether it is to be up by that."""

    name: str
    version: str
    versions: tuple[str, ...]
    number: int = 0
    step: int = 0
    up: bool = True


class Retire(Struct, frozen=True, tag="Retire"):
    """An instance that is no part of the fleet any more."""

    name: str


Command = PermitCommand | Place | Went | Next | Stop | Runs | Retire


@dataclass(frozen=True, slots=True)
class Want:
    """What an instance should be. `number`, `step`: the turn that made it so; (0, 0): as it was found."""

    version: str
    up: bool = True
    number: int = 0
    step: int = 0
    order: str = ""

    @property
    def turn(self) -> tuple[int, int]:
        return self.number, self.step


@dataclass(slots=True)
class Member:
    """An instance in an order. `tries`: how often it asked for leave; `former`: its version before."""

    step: Step = Step.WAITING
    number: int = 0
    tries: int = 0
    former: str = ""
    why: str = ""


@dataclass(slots=True)
class Order:
    """One order. `wave` counts from 0, `watched` are those after which evidence is awaited; `result` is told
    once it has ended."""

    id: str
    kind: Kind
    version: str
    at: int
    by: str
    waves: list[list[str]]
    members: dict[str, Member]
    watched: list[int] = field(default_factory=list)
    phase: Phase = Phase.QUEUED
    wave: int = 0
    back: bool = False
    why: str = ""
    result: str = ""

    @property
    def present(self) -> list[str]:
        """The names of the wave that goes."""
        return self.waves[self.wave] if self.wave < len(self.waves) else []

    @property
    def stage(self) -> int:
        """How many watches are over."""
        return sum(wave < self.wave for wave in self.watched)

    @property
    def counts(self) -> dict[str, int]:
        told: dict[str, int] = {}
        for member in self.members.values():
            told[member.step.value] = told.get(member.step.value, 0) + 1
        return told

    def copy(self) -> Order:
        return replace(
            self,
            waves=[list(wave) for wave in self.waves],
            watched=list(self.watched),
            members={name: replace(one) for name, one in self.members.items()},
        )


@dataclass(frozen=True, slots=True)
class Placed:
    """To a Place: the order's waves, or why it is refused."""

    id: str
    waves: tuple[tuple[str, ...], ...] = ()
    why: str = ""


@dataclass(slots=True)
class Book:
    """The state: permits, what is wanted of whom, and the orders in the order in which they were placed."""

    register: Register = field(default_factory=Register)
    wants: dict[str, Want] = field(default_factory=dict)
    versions: dict[str, tuple[str, ...]] = field(default_factory=dict)
    orders: dict[str, Order] = field(default_factory=dict)
    # Permits' numbers are places in the record and this: a council that was founded anew, its former record
    # lost, must not give a number again that a keeper or the list has seen.
    base: int = 0

    def apply(self, place: int, command: Command) -> Answer | Placed | None:
        """The command at a place of the record."""
        number = place + self.base
        match command:
            case Place():
                return self._place(command)
            case Ask():
                return self._ask(number, command)
            case Back(name, permit):
                self._back(number, name, permit)
            case Went():
                self._went(command)
            case Next(order, wave):
                self._next(order, wave)
            case Stop(order, why, back):
                self._stop(order, why, back)
            case Runs():
                self._runs(number, command)
            case Retire(name):
                self._retire(name)
            case Away() | Enrol() | Halt():
                self.register.apply(number, command)
        return None

    def copy(self) -> Book:
        """For a snapshot."""
        return Book(
            self.register.copy(),
            dict(self.wants),
            dict(self.versions),
            {name: order.copy() for name, order in self.orders.items()},
            self.base,
        )

    def _runs(self, number: int, told: Runs) -> None:
        self.base += max(0, told.number - number)
        self.versions[told.name] = told.versions
        if told.name in self.wants:
            return
        self.wants[told.name] = Want(told.version, told.up, told.number, told.step)
        if not told.up and told.number:
            # Drained by a council that is no more: it stays so, and can be brought back.
            self.register.out[told.name] = Permit(told.number, told.name, "")

    # What is asked of it

    @property
    def going(self) -> Order | None:
        """The one order that takes anybody out."""
        busy = (order for order in self.orders.values() if order.phase in BUSY)
        return next((order for order in busy if order.kind is not Kind.UNDRAIN), None)

    @property
    def undrains(self) -> list[Order]:
        """Those under way: they bring in, wait for nobody, and whoever waits for room may wait for them."""
        return [o for o in self.orders.values() if o.kind is Kind.UNDRAIN and o.phase in BUSY]

    def plan(self, place: Place) -> Placed:
        """The waves of an order as it would be placed now, or why it would be refused whole."""
        why = self._flaw(place)
        if why:
            return Placed(place.id, (), why)
        if place.kind is Kind.UNDRAIN:
            return Placed(place.id, (place.names,))
        units = list(self.register.units.values())
        sort = self.register.units[place.names[0]].sort
        limits = self.register.limits.get(sort)
        if limits is None:
            return Placed(place.id, (), f"no limits are told for {sort.several}, so none may go out")
        flaws = impossible(limits, sort, units)
        if flaws:
            return Placed(place.id, (), f"by these limits: {flaws[0]}")
        try:
            # Planned for a whole fleet: who is out at this moment holds a wave up and does not change it.
            made = waves(limits, units, (), list(place.names))
            if place.kind is Kind.DRAIN:
                self._stays_out(place)
        except ValueError as flaw:
            return Placed(place.id, (), str(flaw))
        return Placed(place.id, tuple(tuple(wave) for wave in made))

    def _flaw(self, place: Place) -> str:
        if not place.names:
            return "nobody is meant"
        for name in place.names:
            if name not in self.register.units:
                return f"{name} is not enrolled"
        if len({self.register.units[name].sort for name in place.names}) > 1:
            return "edge proxies and servers go out by orders of their own"
        if sum(order.phase is not Phase.ENDED for order in self.orders.values()) >= OPEN_MOST:
            return f"{OPEN_MOST} orders wait or go already"
        if self.register.halted:
            return f"halted: {self.register.halted}"
        for order in self.orders.values():
            both = sorted(set(place.names) & order.members.keys())
            if order.phase is not Phase.ENDED and both:
                return f"{', '.join(both[:3])} of it: order {order.id} is not done with them"
        for name in place.names:
            if place.kind is Kind.RELEASE and place.version not in self.versions.get(name, ()):
                return f"the keeper of {name} knows no version {place.version!r}"
            want = self.wants.get(name)
            if place.kind is Kind.RELEASE and want is not None and want.version == place.version:
                return f"{name} is at {place.version} already"
            if place.kind is Kind.UNDRAIN and (want is None or want.up or not self._number(name)):
                return f"{name} is not drained"
            if place.kind is not Kind.UNDRAIN and want is not None and not want.up:
                return f"{name} is drained: it is brought back by undrain"
        return ""

    def _stays_out(self, place: Place) -> None:
        """Who is drained stays out: all of them must find room together, with those drained before."""
        unit = self.register.units[place.names[0]]
        units, out = list(self.register.units.values()), set(self._drained())
        for name in place.names:
            why = refusal(self.register.limits[unit.sort], units, out, self.register.units[name])
            if why is not None:
                raise ValueError(f"{name}: {why}")
            out.add(name)

    def _drained(self) -> list[str]:
        return [name for name, want in self.wants.items() if not want.up]

    def _number(self, name: str) -> int:
        """Of the permit that it is out by; 0: it has none."""
        held = self.register.out.get(name)
        return held.number if held else 0

    # Orders

    def _place(self, place: Place) -> Placed:
        known = self.orders.get(place.id)
        if known is not None:
            # Told again, a day later too: the same order, and not once more.
            return Placed(place.id, tuple(tuple(wave) for wave in known.waves))
        plan = self.plan(place)
        if plan.why:
            return plan
        members = {
            name: Member(former=self.wants[name].version if name in self.wants else "")
            for name in place.names
        }
        order = Order(
            place.id,
            place.kind,
            place.version,
            place.at,
            place.by,
            [list(w) for w in plan.waves],
            members,
            watches(plan.waves) if place.kind is Kind.RELEASE else [],
        )
        self.orders[place.id] = order
        ended = [one.id for one in self.orders.values() if one.phase is Phase.ENDED]
        for old in ended[: max(0, len(ended) - ENDED_KEPT)]:
            del self.orders[old]
        if place.kind is Kind.UNDRAIN:
            self._undrain(order)
        self._begin()
        return plan

    def _undrain(self, order: Order) -> None:
        """At once: queued behind an order that waited for the very room that it gives back, neither ever
        ended."""
        order.phase = Phase.GOING
        for name, member in order.members.items():
            member.number, member.step = self._number(name), Step.OUT
            self._want(name, member, 1, member.former, True, order.id)

    def _begin(self) -> None:
        """The first that waits goes, if none goes."""
        if self.going is None:
            order = next((one for one in self.orders.values() if one.phase is Phase.QUEUED), None)
            if order is not None:
                order.phase = Phase.GOING

    def _want(self, name: str, member: Member, step: int, version: str, up: bool, order: str) -> None:
        self.wants[name] = Want(version, up, member.number, step, order)

    def _ask(self, number: int, ask: Ask) -> Answer | None:
        order = self.orders.get(ask.order)
        member = order.members.get(ask.name) if order else None
        if order is None or member is None:
            return self.register.apply(number, ask)
        wanted = Step.TO_RETURN if order.phase is Phase.RETURNING else Step.WAITING
        if order.phase not in (Phase.GOING, Phase.RETURNING) or member.step is not wanted:
            # Asked before the order was stopped, and agreed on after: nothing further goes out.
            return Answer(ask.id, None, f"order {order.id} does not ask for it any more")
        answer = self._leave(number, ask, order)
        if answer.permit is not None and answer.permit.number != number:
            return answer  # an ask that came twice: its permit was acted on, and is over
        member.tries += 1
        if answer.permit is None:
            member.why = answer.why
            return answer
        member.number, member.why = answer.permit.number, ""
        if order.phase is Phase.RETURNING:
            member.step = Step.OUT
            self._want(ask.name, member, 1, member.former, True, order.id)
            return answer
        member.step = Step.OUT
        version = order.version if order.kind is Kind.RELEASE else member.former
        self._want(ask.name, member, 0, version, order.kind is not Kind.DRAIN, order.id)
        return answer

    def _leave(self, number: int, ask: Ask, order: Order) -> Answer:
        if order.phase is Phase.RETURNING and self.register.out.get(ask.name, ask) is None:
            # It is out without leave and uses its room already. Refused for that, an instance whose release
            # ends by itself over and over could never go back to what it ran before.
            permit = Permit(number, ask.name, ask.order)
            self.register.out[ask.name] = permit
            return Answer(ask.id, permit)
        answer = self.register.apply(number, ask)
        assert answer is not None
        return answer

    def _back(self, number: int, name: str, permit: int) -> None:
        if name not in self.register.out or self._number(name) != permit:
            return
        if not (self.wants.get(name) or Want("")).up:
            return  # drained: that its program runs is no leave to count it as in
        self.register.apply(number, Back(name, permit))
        for order in self.orders.values():
            member = order.members.get(name)
            if order.phase is not Phase.ENDED and member and member.number == permit and permit:
                self._came_in(order, name, member)

    def _came_in(self, order: Order, name: str, member: Member) -> None:
        if member.step not in (Step.OUT, Step.FAILED):
            return
        if order.phase is not Phase.RETURNING:
            member.step, member.why = Step.DONE, ""
        elif order.kind is Kind.RELEASE and self.wants[name].version == member.former:
            member.step = Step.RETURNED
        else:
            member.step = Step.DONE
        self._forward(order)

    def _went(self, went: Went) -> None:
        order = self.orders.get(went.order)
        member = order.members.get(went.name) if order else None
        if order is None or member is None or order.phase is Phase.ENDED:
            return
        if went.step is Step.NOT_REACHED:
            if member.step is Step.WAITING:
                member.step, member.why = Step.NOT_REACHED, went.why
        elif member.number == went.number and went.number and member.step in (Step.OUT, Step.FAILED):
            if went.step is Step.FAILED:
                member.step, member.why = Step.FAILED, went.why
            elif went.step is Step.DRAINED and not self.wants[went.name].up:
                member.step = Step.DRAINED
        self._forward(order)

    def _forward(self, order: Order) -> None:
        """What follows from a member's change: a wave that is over, an order that has ended."""
        if order.phase is Phase.GOING:
            if any(order.members[name].step in OPEN for name in order.present):
                return
            last = order.wave + 1 >= len(order.waves)
            if last:
                self._end(order)
            elif order.wave in order.watched:
                order.phase = Phase.WATCHING
            else:
                order.wave += 1
                self._forward(order)
        elif order.phase is Phase.RETURNING:
            still = (Step.OUT, Step.FAILED, Step.TO_RETURN)
            if not any(member.step in still for member in order.members.values()):
                self._end(order)

    def _next(self, order_id: str, wave: int) -> None:
        order = self.orders.get(order_id)
        if order is not None and order.phase is Phase.WATCHING and order.wave == wave:
            order.phase, order.wave = Phase.GOING, wave + 1
            self._forward(order)

    def _end(self, order: Order) -> None:
        returned = order.phase is Phase.RETURNING
        order.phase = Phase.ENDED
        missed = any(member.step is Step.NOT_REACHED for member in order.members.values())
        order.result = "halted" if returned else "in part" if missed else "done"
        self._begin()

    def _stop(self, order_id: str, why: str, back: bool) -> None:
        for order in list(self.orders.values()):
            if order_id in ("", order.id) and order.phase is not Phase.ENDED:
                self._stop_one(order, why, back)
        self._begin()

    def _stop_one(self, order: Order, why: str, back: bool) -> None:
        if order.phase is Phase.RETURNING:
            order.back = order.back or back
        else:
            order.why, order.back = why, back
        order.phase = Phase.RETURNING
        for name, member in order.members.items():
            if member.step in (Step.OUT, Step.FAILED, Step.DRAINED):
                self._turn_back(order, name, member)
            elif member.step is Step.WAITING:
                member.step = Step.LEFT
            elif member.step is Step.DONE and order.kind is Kind.RELEASE and order.back:
                member.step = Step.TO_RETURN
        self._forward(order)

    def _turn_back(self, order: Order, name: str, member: Member) -> None:
        """It is out: it comes up as it was, by its permit's second step."""
        want = self.wants.get(name)
        if want is not None and want.turn < (member.number, 1):
            member.step = Step.OUT
            self._want(name, member, 1, member.former, True, order.id)

    def _retire(self, name: str) -> None:
        """It is gone for good: what it was in goes on without it."""
        self.register.units.pop(name, None)
        self.register.out.pop(name, None)
        self.wants.pop(name, None)
        self.versions.pop(name, None)
        for order in list(self.orders.values()):
            member = order.members.get(name)
            if member is not None and order.phase is not Phase.ENDED:
                member.step, member.why = Step.LEFT, "retired"
                self._forward(order)


def watches(made: Sequence[Sequence[str]]) -> list[int]:
    """The waves after which evidence is awaited: once one is released, then each time about three times as
    many are. The limits may make the waves far smaller, and a watch after each would ask for the same
    evidence over and over."""
    found, count, wanted = [], 0, 1
    for at, wave in enumerate(made):
        count += len(wave)
        if count >= wanted and at + 1 < len(made):
            found.append(at)
            wanted = 3 * count + 1
    return found


def released(book: Book, order: Order) -> tuple[list[str], list[str]]:
    """Who runs the order's version, being in, and who of its sort does not yet."""
    sort = book.register.units[next(iter(order.members))].sort
    ones: list[str] = []
    others: list[str] = []
    for name, unit in book.register.units.items():
        want = book.wants.get(name)
        if unit.sort is not sort or want is None or name in book.register.out:
            continue
        (ones if want.version == order.version else others).append(name)
    return ones, others
