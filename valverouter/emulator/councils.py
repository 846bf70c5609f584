"""A council and those who hold its permits, in simulated time, under faults drawn by a seed.

Councillors crash between any save and the words that follow it, lose their disks, stop and wake, are cut off;
words are lost, late, repeated, out of order. Holders ask, go out, die outside, wake late. What is watched is
told by the course itself and by nothing of the council's own: who is really out, against the limits; which
entry each member took for agreed on at each place; who led which term.
"""

from __future__ import annotations

import heapq
import random
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from valverouter.rollout.council import (
    PATIENCE,
    SECOND,
    Councillor,
    Durable,
    Entry,
    Members,
    Message,
    Part,
    SaveEntries,
)
from valverouter.rollout.limits import Limits, Sort, Unit
from valverouter.rollout.permits import Ask, Away, Back, Enrol, Fence, Permit, Register
from valverouter.servermodel.paths import NetworkPaths, PathFault


class Broken(Exception):  # noqa: N818 - a property that a course broke
    """What was broken, and when."""


@dataclass(slots=True)
class Seat:
    """A councillor's machine: its disk outlives it. `councillor` None: it is down."""

    name: str
    durable: Durable
    councillor: Councillor | None = None
    register: Register | None = None
    applied: int = 0
    stopped_until: int = 0
    life: int = 0


@dataclass(slots=True)
class Holder:
    """A unit that wants to go out now and then. `out`: really, whatever anybody believes."""

    unit: Unit
    out: bool = False
    permit: Permit | None = None
    asking: str = ""
    asks: int = 0
    dead: bool = False
    away_told: bool = False


class Course:
    """One course. `plant` takes a rule out, so that the watch is seen to find it."""

    def __init__(
        self,
        seed: int,
        seats: int = 3,
        holders: int = 12,
        limits: Limits | None = None,
        loss: float = 0.02,
        plant: str = "",
    ) -> None:
        self.now = 0
        self.chance = random.Random(f"council/{seed}")
        self.plant = plant
        self.limits = limits or Limits(most=3, in_region=2)
        self.found: Counter[str] = Counter()
        names = [f"c{at}" for at in range(seats)]
        disks = tuple((name, self.chance.getrandbits(64)) for name in names)
        founded = Members(disks)
        self.seats = {name: Seat(name, Durable(disk)) for name, disk in disks}
        for seat in self.seats.values():
            # All were there when it was founded, and have the same first entry.
            seat.durable.apply(SaveEntries(1, (_first(founded),)))
        regions = ("north", "south", "west")
        self.holders = {
            f"e{at}": Holder(Unit(f"e{at}", Sort.EDGE, regions[at % 3], 100)) for at in range(holders)
        }
        self.fence = Fence()
        self._events: list[tuple[int, int, Callable[..., None], tuple[Any, ...]]] = []
        self._serial = 0
        self._decided: dict[int, Any] = {}
        self._leaders: dict[int, str] = {}
        self._faults: list[PathFault] = []
        self._paths = NetworkPaths([], self.chance.random, self._delay, loss)
        self._faulty = True
        for name in names:
            self.start(name)
        for holder in self.holders.values():
            self.at(int(self.chance.random() * 4 * SECOND), self._wants, holder)

    def _delay(self, sender: str, receiver: str) -> int:
        slow = self.chance.random() < 0.05
        return int(self.chance.expovariate(1 / 0.004) * SECOND) + (SECOND if slow else 0)

    def at(self, when: int, act: Callable[..., None], *args: Any) -> None:
        self._serial += 1
        heapq.heappush(self._events, (when, self._serial, act, args))

    # Councillors

    def start(self, name: str) -> None:
        seat = self.seats[name]
        if seat.councillor is not None:
            return
        seat.life += 1
        seat.register = register = Register()

        def install(state: Any) -> None:
            seat.register = state.copy()

        durable = seat.durable
        seat.applied = durable.snapshot.index if durable.snapshot else 0
        seat.councillor = Councillor(
            name, durable, self.chance.random, self.now, lambda: self._state(seat), install
        )
        if durable.snapshot is None:
            seat.register = register
        self.at(self.now + PATIENCE // 8, self._tick, seat, seat.life)

    @staticmethod
    def _state(seat: Seat) -> Register:
        assert seat.register is not None
        return seat.register.copy()

    def crash(self, name: str) -> None:
        self.seats[name].councillor = None
        self.found["crash"] += 1

    def lose_disk(self, name: str) -> None:
        """It comes back as another: under its name, with an empty disk."""
        self.crash(name)
        seat = self.seats[name]
        old = seat.durable.disk
        disk = old if self.plant == "disk" else self.chance.getrandbits(64)
        seat.durable = Durable(disk)
        if self.plant == "disk":
            seat.durable.apply(SaveEntries(1, (_first(self._decided[1]),)))
        self.found["disk lost"] += 1

    def stop(self, name: str, span: int) -> None:
        seat = self.seats[name]
        seat.stopped_until = self.now + span
        self.found["stop"] += 1

    def _tick(self, seat: Seat, life: int) -> None:
        if seat.councillor is None or seat.life != life:
            return
        self.at(self.now + PATIENCE // 8, self._tick, seat, life)
        if self.now >= seat.stopped_until:
            seat.councillor.tick(self.now)
            self._after(seat)

    def _hears(self, seat: Seat, message: Message) -> None:
        if self.now < seat.stopped_until:
            self.at(seat.stopped_until, self._hears, seat, message)
            return
        if seat.councillor is not None:
            seat.councillor.heard(self.now, message)
            self._after(seat)

    def _after(self, seat: Seat) -> None:
        """Saves are durable, then words leave: between the two it may crash."""
        one = seat.councillor
        assert one is not None
        one.saves.clear()
        out, one.out = one.out, []
        decided, one.decided = one.decided, []
        if one.part is Part.LEADER:
            known = self._leaders.setdefault(one.durable.term, one.name)
            if known != one.name:
                raise Broken(f"two leaders in term {one.durable.term}: {known}, {one.name}")
        if self._faulty and self.chance.random() < 0.0005:
            self.crash(seat.name)
            self.at(self.now + int(self.chance.random() * 5 * SECOND), self.start, seat.name)
            return
        for to, message in out:
            there = self.seats.get(to)
            if there is None:
                continue
            copies = 2 if self.chance.random() < 0.02 else 1
            for _ in range(copies):
                for span in self._paths.delivery_delays(seat.name, to, self.now):
                    self.at(self.now + span, self._hears, there, message)
        for index, what in decided:
            self._apply(seat, index, what)
        one.compact()

    def _apply(self, seat: Seat, index: int, what: Any) -> None:
        known = self._decided.setdefault(index, what)
        if known != what:
            raise Broken(f"entry {index} is {known} and, to {seat.name}, {what}")
        if index <= seat.applied:
            raise Broken(f"{seat.name} applies entry {index} after {seat.applied}")
        seat.applied = index
        if isinstance(what, Members) or what is None:
            return
        assert seat.register is not None
        answer = seat.register.apply(index, what)
        if answer is not None:
            told = answer.id, answer.permit, answer.why
            self.at(self.now + self._delay("", ""), self._answered, *told)
            if self.chance.random() < 0.1:
                self.at(self.now + 3 * SECOND, self._answered_late, answer.permit)
        if len(seat.register.out) > self.limits.most and not isinstance(what, Away):
            crashed = [name for name, permit in seat.register.out.items() if permit is None]
            if len(seat.register.out) - len(crashed) > self.limits.most:
                raise Broken(f"{sorted(seat.register.out)} are out by permits, {self.limits.most} may be")

    def propose(self, what: Any) -> None:
        """By somebody, to everybody: who leads takes it."""
        for seat in self.seats.values():
            if seat.councillor is not None and self.now >= seat.stopped_until:
                seat.councillor.propose(self.now, what)
                self._after(seat)

    def mend_council(self) -> None:
        """Lets a member in that comes with another disk: its former self goes first."""
        for seat in list(self.seats.values()):
            one = seat.councillor
            if one is None or one.part is not Part.LEADER or self.now < seat.stopped_until:
                continue
            present = dict(one.members.disks)
            for name, other in self.seats.items():
                if other.councillor is None:
                    continue
                if name in present and present[name] != other.durable.disk:
                    one.replace(self.now, name, None)
                elif name not in present:
                    one.replace(self.now, "", (name, other.durable.disk))
            self._after(seat)

    # Holders

    def _wants(self, holder: Holder) -> None:
        self.at(self.now + int(self.chance.uniform(0.2, 3) * SECOND), self._wants, holder)
        if holder.dead:
            return
        if holder.out:
            if holder.permit is not None and self.chance.random() < 0.5:
                self._comes_back(holder)
            return
        if holder.permit is not None:
            # It came in, and its word has to be heard: told again until it is.
            self._tell_back(holder)
            return
        if not holder.asking:
            holder.asks += 1
            holder.asking = f"{holder.unit.name}/{holder.asks}"
        self.propose(Ask(holder.asking, holder.unit.name, "roll"))

    def _answered(self, ask: str, permit: Permit | None, why: str) -> None:
        holder = self.holders[ask.partition("/")[0]]
        if holder.asking != ask or holder.dead:
            return
        holder.asking = ""
        if permit is None:
            self.found["refused"] += 1
            return
        if self.plant != "fence" and not self.fence.accepts(permit):
            self.found["void"] += 1
            return
        holder.permit = permit
        holder.out = True
        self.found["out"] += 1
        self._watch()

    def _answered_late(self, permit: Permit | None) -> None:
        """A copy of the word, long after: its holder may have gone out and come in by it meanwhile."""
        holder = self.holders[permit.name] if permit is not None else None
        if permit is None or holder is None or holder.dead or holder.out:
            return
        if self.plant == "fence" or self.fence.accepts(permit):
            holder.permit, holder.out, holder.asking = permit, True, ""
            self._watch()
        else:
            self.found["void"] += 1

    def _comes_back(self, holder: Holder) -> None:
        holder.out = False
        assert holder.permit is not None
        self.fence.over(holder.permit)
        self._tell_back(holder)

    def _tell_back(self, holder: Holder) -> None:
        assert holder.permit is not None
        self.propose(Back(holder.unit.name, holder.permit.number))
        if self._is_in(holder.unit.name, holder.permit):
            holder.permit = None

    def _is_in(self, name: str, permit: Permit) -> bool:
        """Whether the council has heard it, as far as the holder can know: somebody of it says so."""
        return any(
            seat.councillor is not None
            and seat.register is not None
            and seat.applied >= permit.number
            and seat.register.out.get(name) != permit
            for seat in self.seats.values()
        )

    def die(self, name: str) -> None:
        """Out without leave, until its keeper starts it again."""
        holder = self.holders[name]
        if holder.dead:
            return
        holder.dead = True
        self.found["died"] += 1
        self.at(self.now + SECOND, self._tell_away, holder)
        self.at(self.now + int(self.chance.uniform(2, 8) * SECOND), self._revive, holder)

    def _tell_away(self, holder: Holder) -> None:
        if holder.dead and not holder.out:
            holder.away_told = True
            self.propose(Away(holder.unit.name))

    def _revive(self, holder: Holder) -> None:
        """Serving again. What it went out by, it has from its keeper."""
        holder.dead = False
        holder.asking = ""
        if holder.away_told:
            holder.away_told = False
            self.propose(Back(holder.unit.name, 0))
            self.at(self.now + 2 * SECOND, self._tell_again, holder)

    def _tell_again(self, holder: Holder) -> None:
        """That it is in without a permit, until somebody says that it is."""
        known = [seat.register.out for seat in self.seats.values() if seat.councillor and seat.register]
        if (
            any(holder.unit.name in out and out[holder.unit.name] is None for out in known)
            and not holder.dead
        ):
            self.propose(Back(holder.unit.name, 0))
            self.at(self.now + 2 * SECOND, self._tell_again, holder)

    def _watch(self) -> None:
        """Who is really out by a permit: never more than the limits let."""
        out = [holder for holder in self.holders.values() if holder.out]
        if len(out) > self.limits.most:
            raise Broken(f"{len(out)} are out at {self.now / SECOND:.1f}, {self.limits.most} may be")
        for region in {holder.unit.region for holder in out}:
            here = sum(holder.unit.region == region for holder in out)
            if here > self.limits.of(region):
                raise Broken(f"{here} of {region} are out, {self.limits.of(region)} may be")

    # The course

    def run(self, seconds: float, faults: float = 1.0) -> None:
        """Faults come `faults` times a second on average; the last fifth of the course has none."""
        until = int(seconds * SECOND)
        calm = int(0.8 * until)
        self.at(2 * SECOND, self._enrol)
        when = 3 * SECOND + int(self.chance.expovariate(faults) * SECOND)
        while when < calm:
            self.at(when, self._fault)
            when += int(self.chance.expovariate(faults) * SECOND)
        self.at(calm, self._calm)
        self._every(SECOND, self.mend_council)
        while self._events and self._events[0][0] <= until:
            self.now, _, act, args = heapq.heappop(self._events)
            act(*args)
        self.now = until

    def _every(self, span: int, act: Callable[[], None]) -> None:
        def again() -> None:
            act()
            self.at(self.now + span, again)

        self.at(self.now + span, again)

    def _enrol(self) -> None:
        """Until it is in the record: the first of all commands may be lost like any other."""
        known = [seat.register for seat in self.seats.values() if seat.councillor and seat.register]
        if any(register.units for register in known):
            return
        units = tuple(holder.unit for holder in self.holders.values())
        self.propose(Enrol(units, ((Sort.EDGE, self.limits),)))
        self.at(self.now + SECOND, self._enrol)

    def _fault(self) -> None:
        chance, names = self.chance, sorted(self.seats)
        name = chance.choice(names)
        kind = chance.random()
        up = [seat for seat in self.seats.values() if seat.councillor is not None]
        if kind < 0.25:
            self.crash(name)
            self.at(self.now + int(chance.uniform(0.1, 6) * SECOND), self.start, name)
        elif kind < 0.45:
            self.stop(name, int(chance.uniform(0.5, 10) * SECOND))
        elif kind < 0.65:
            side = frozenset(chance.sample(names, chance.randint(1, len(names) - 1)))
            span = int(chance.uniform(0.5, 6) * SECOND)
            self._faults = [one for one in self._faults if one.until > self.now]
            self._faults.append(PathFault("split", self.now, self.now + span, groups=(side,)))
            self._paths = NetworkPaths(self._faults, chance.random, self._delay, 0.02)
            self.found["cut"] += 1
        elif kind < 0.9:
            self.die(chance.choice(sorted(self.holders)))
        elif len(up) == len(self.seats) and self._all_members():
            # One disk at a time: two lost of three are the record's end, and told so.
            self.lose_disk(name)
            self.at(self.now + int(chance.uniform(0.1, 3) * SECOND), self.start, name)

    def _all_members(self) -> bool:
        ones = [seat.councillor for seat in self.seats.values() if seat.councillor is not None]
        leads = [one for one in ones if one.part is Part.LEADER]
        return any(
            all(one.is_member for one in ones) and len(lead.members.disks) == len(self.seats)
            for lead in leads
        )

    def _calm(self) -> None:
        self._faulty = False
        self._faults.clear()
        self._paths = NetworkPaths([], self.chance.random, self._delay, 0.0)
        for name, seat in self.seats.items():
            seat.stopped_until = min(seat.stopped_until, self.now)
            self.start(name)

    # At its end

    def is_whole(self) -> str:
        """Empty where the council leads and agrees again; else what is wrong."""
        leads = [
            seat.name
            for seat in self.seats.values()
            if seat.councillor is not None and seat.councillor.part is Part.LEADER
        ]
        if len(leads) != 1:
            return f"led by {leads}"
        agreed = [seat.applied for seat in self.seats.values()]
        if max(agreed) - min(agreed) > 20:
            return f"agreed on {agreed}"
        return ""


def _first(members: Members) -> Entry:
    return Entry(1, members)
