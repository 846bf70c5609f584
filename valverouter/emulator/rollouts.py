"""Orders to a fleet in simulated time, under faults drawn by a seed: seats, keepers, programs, tools.

Control plane nodes and supervisors are the program's own (`rollout/control_plane_node.py`,
`rollout/supervisor.py`), with disks that outlive them. The rest is simulated: programs that come up, serve,
fail by their version, and are killed; messages that are lost, late, repeated or cut off. What the programs
really did is judged from the simulation's own log:

    out       never more taken out by orders at once than the limits let, in all and by region
    once      no turn is carried out twice by a keeper that kept its disk
    told      whoever an order tells as done had run its turn to the end, and drained ones are down
    back      once faults are over, every halted release is back at one version
"""

from __future__ import annotations

import heapq
import random
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

import msgspec

from valverouter.emulator.release_baselines import BASELINES
from valverouter.rollout.control_plane_node import ControlPlaneNode, DesiredStateReply
from valverouter.rollout.disruption_limits import DisruptionLimits, InstanceKind
from valverouter.rollout.disruption_permits import InstanceReturned
from valverouter.rollout.operations import Cancel, Operation, OperationKind, StepStatus, Submit, SubmitResult
from valverouter.rollout.orchestrator_config import OrchestratorConfig
from valverouter.rollout.raft import SECOND
from valverouter.rollout.raft_log import Configuration, LogEntry, PersistentState, SaveEntries
from valverouter.rollout.reports import InstanceCounters, InstanceInfo
from valverouter.rollout.sequential_test import SequentialTestConfig
from valverouter.rollout.supervisor import Supervisor, SupervisorAction
from valverouter.rollout.supervisor_state import SupervisorState
from valverouter.servermodel.paths import NetworkPaths, PathFault

TICK = SECOND // 10
REPORTS = SECOND // 2
REGIONS = ("north", "south", "west")
VERSIONS = ("v1", "v2", "crashes", "dies-late", "declines")
# A program that dies late does so after this.
DIES_AFTER = 12 * SECOND


class Broken(Exception):  # noqa: N818 - a property that a course broke
    """What was broken, and when."""


@dataclass(slots=True)
class Machine:
    """A seat's: its disk outlives it. `seat` None: it is down."""

    name: str
    durable: PersistentState
    seat: ControlPlaneNode | None = None
    stopped_until: int = 0
    life: int = 0


@dataclass(slots=True)
class Instance:
    """A keeper with its program. `disk`: the memory as it was last saved."""

    facts: InstanceInfo
    disk: bytes
    keeping: Supervisor | None = None
    life: int = 0
    stopped_until: int = 0
    # The program: 0, none; when it came up; until when a stop takes.
    process: int = 0
    version: str = ""
    up_at: int = 0
    ends_at: int = 0
    taken: int = 0
    declined: int = 0
    looked_at: int = 0
    rate: float = 10.0
    told_leader: str = ""
    stamps: dict[str, int] = field(default_factory=dict)
    # Really out by an order: its turn.
    turn: tuple[int, int] | None = None
    done: list[tuple[int, int]] = field(default_factory=list)
    lost_disk: bool = False


class Rollout:
    """One course. `plant` takes a rule out, so that the watch is seen to find it: `again` (a keeper forgets
    what it began, and asks for no open permit), `lapse` (a leader takes whoever is silent for in).
    `watching`: what judges releases, the program or one of the baselines."""

    def __init__(
        self,
        seed: int,
        instances: int = 12,
        limits: DisruptionLimits | None = None,
        loss: float = 0.02,
        rules: OrchestratorConfig | None = None,
        plant: str = "",
        watching: str = "program",
    ) -> None:
        self.now = 0
        self._watching = watching
        self.chance = random.Random(f"rollout/{seed}")
        self.plant = plant
        self.limits = limits or DisruptionLimits(
            max_unavailable=max(2, instances // 6), max_unavailable_per_region=max(1, instances // 8)
        )
        self.rules = rules or _default_config(self.limits)
        self.found: Counter[str] = Counter()
        self.answers: dict[str, SubmitResult] = {}
        self.harmed = 0
        self.served = 0
        disks = tuple((f"c{at}", self.chance.getrandbits(64)) for at in range(3))
        self.seats = {name: Machine(name, PersistentState(disk)) for name, disk in disks}
        for one in self.seats.values():
            one.durable.apply(SaveEntries(1, (LogEntry(1, Configuration(disks)),)))
        self.fleet = _new_fleet(instances)
        self._events: list[tuple[int, int, Callable[..., None], tuple[Any, ...]]] = []
        self._serial = 0
        self._processes = 0
        self._faults: list[PathFault] = []
        self._paths = NetworkPaths([], self.chance.random, self._delay, loss)
        self._loss = loss
        for name in self.seats:
            self.start_seat(name)
        for name in self.fleet:
            self.start_keeper(name)

    def _delay(self, sender: str, receiver: str) -> int:
        slow = self.chance.random() < 0.02
        return int(self.chance.expovariate(1 / 0.003) * SECOND) + (SECOND if slow else 0)

    def at(self, when: int, act: Callable[..., None], *args: Any) -> None:
        self._serial += 1
        heapq.heappush(self._events, (when, self._serial, act, args))

    def _send(self, sender: str, receiver: str, act: Callable[..., None], *args: Any) -> None:
        copies = 2 if self.chance.random() < 0.01 else 1
        for _ in range(copies):
            for span in self._paths.delivery_delays(sender, receiver, self.now):
                self.at(self.now + span, act, *args)

    # Seats

    def start_seat(self, name: str) -> None:
        one = self.seats[name]
        if one.seat is None:
            one.life += 1
            one.seat = ControlPlaneNode(name, one.durable, self.rules, self.chance.random, self.now)
            if self._watching != "program":
                one.seat.orchestrator_class = BASELINES[self._watching]
            self.at(self.now + TICK, self._tick_seat, one, one.life)

    def crash_seat(self, name: str) -> None:
        self.seats[name].seat = None
        self.found["seat crashed"] += 1

    def _tick_seat(self, one: Machine, life: int) -> None:
        if one.seat is None or one.life != life:
            return
        self.at(self.now + TICK, self._tick_seat, one, life)
        if self.now >= one.stopped_until:
            if self.plant == "lapse" and one.seat.orchestrator is not None:
                self._lapses(one.seat)
            one.seat.tick(self.now)
            self._after(one)

    def _lapses(self, seat: ControlPlaneNode) -> None:
        """Planted: out becomes in by time."""
        assert seat.orchestrator is not None
        for name, held in list(seat.operation_log.permits.unavailable.items()):
            if held is not None and self.chance.random() < 0.02:
                seat.propose(self.now, InstanceReturned(name, held.number))

    def _hears(self, one: Machine, message: Any) -> None:
        if self.now < one.stopped_until:
            self.at(one.stopped_until, self._hears, one, message)
        elif one.seat is not None:
            one.seat.on_message(self.now, message)
            self._after(one)

    def _after(self, one: Machine) -> None:
        """Saves are durable, then words leave; between the two it may crash."""
        assert one.seat is not None
        one.seat.pending_saves.clear()
        out = list(one.seat.outgoing)
        one.seat.outgoing.clear()
        if self._faults and self.chance.random() < 0.0002:
            self.crash_seat(one.name)
            self.at(self.now + int(self.chance.uniform(0.1, 5) * SECOND), self.start_seat, one.name)
            return
        for to, message in out:
            if to in self.seats:
                self._send(one.name, to, self._hears, self.seats[to], message)

    @property
    def leader(self) -> ControlPlaneNode | None:
        """Whoever leads by the highest term."""
        ones = [m.seat for m in self.seats.values() if m.seat is not None and m.seat.is_leader]
        return max(ones, key=lambda seat: seat.raft.persistent.current_term, default=None)

    # Keepers

    def start_keeper(self, name: str) -> None:
        one = self.fleet[name]
        if one.keeping is not None:
            return
        one.life += 1
        one.stamps.clear()
        memory = msgspec.msgpack.decode(one.disk, type=SupervisorState)
        one.keeping = Supervisor(one.facts, memory)
        # Its program may have outlived it: then it is taken over.
        one.keeping.resume(bool(one.process))
        if self.plant == "again":
            memory.steps.clear()
        self.at(self.now, self._tick_keeper, one, one.life)
        self.at(self.now + int(self.chance.random() * REPORTS), self._reports, one, one.life)

    def crash_keeper(self, name: str) -> None:
        self.fleet[name].keeping = None
        self.found["keeper crashed"] += 1

    def lose_keeper_disk(self, name: str) -> None:
        one = self.fleet[name]
        self.crash_keeper(name)
        # What runs tells the new keeper what it was started as.
        one.disk = msgspec.msgpack.encode(SupervisorState("v1", running_version=one.version))
        one.lost_disk = True
        self.found["keeper disk lost"] += 1

    def kill(self, name: str) -> None:
        """Its program, by the machine."""
        one = self.fleet[name]
        if one.process:
            self._over(one)
            self.found["killed"] += 1

    def _over(self, one: Instance) -> None:
        one.process = 0
        one.ends_at = 0
        if one.keeping is not None and self.now >= one.stopped_until:
            one.keeping.on_exited(self.now)
        elif one.keeping is not None:
            self.at(one.stopped_until, self._over_late, one, one.life)

    def _over_late(self, one: Instance, life: int) -> None:
        if one.keeping is not None and one.life == life and not one.process and one.keeping.is_running:
            one.keeping.on_exited(self.now)

    def _tick_keeper(self, one: Instance, life: int) -> None:
        if one.keeping is None or one.life != life:
            return
        self.at(self.now + TICK, self._tick_keeper, one, life)
        self._lives(one)
        if self.now >= one.stopped_until:
            self._acts(one)

    def _lives(self, one: Instance) -> None:
        """What the program does meanwhile, whatever its keeper knows."""
        if one.ends_at and self.now >= one.ends_at:
            self._over(one)
            return
        if not one.process or self.now < one.up_at:
            return
        span, one.looked_at = self.now - max(one.looked_at, one.up_at), self.now
        came = int(one.rate * span / SECOND + self.chance.random())
        bad = 0.11 if one.version == "declines" else 0.01
        declined = sum(self.chance.random() < bad for _ in range(came))
        one.taken, one.declined = one.taken + came, one.declined + declined
        self.served += came
        self.harmed += declined

    def _acts(self, one: Instance) -> None:
        keeping = one.keeping
        assert keeping is not None
        if one.process and self.now >= one.up_at:
            keeping.on_counters(
                InstanceCounters(one.process, not one.ends_at, True, one.taken, one.declined, 0, 0, "settled")
            )
        while (do := keeping.next_action(self.now)) is not None:
            if do is SupervisorAction.SAVE:
                one.disk = msgspec.msgpack.encode(keeping.state)
                keeping.on_saved()
                self._saved(one, keeping)
            elif do is SupervisorAction.STOP:
                keeping.on_stop_requested()
                one.ends_at = self.now + int(self.chance.uniform(0.1, 1.5) * SECOND)
            else:
                self._starts(one, keeping)

    def _saved(self, one: Instance, keeping: Supervisor) -> None:
        """What the disk holds is what has happened: a turn that was begun, one that was ended."""
        if not keeping.state.steps:
            return
        last = keeping.state.steps[-1]
        turn = last.permit_number, last.index
        if last.reason == "of a former memory":
            return
        if not last.outcome and one.turn != turn:
            if turn in one.done and not one.lost_disk:
                raise Broken(f"{one.facts.name} carries turn {turn} out twice, at {self.now / SECOND:.1f}")
            one.turn = turn
            self.found["out"] += 1
            self._watch()
        elif last.outcome == "done":
            if turn not in one.done:
                one.done.append(turn)
            if keeping.state.up:
                one.turn = None

    def _starts(self, one: Instance, keeping: Supervisor) -> None:
        self._processes += 1
        one.process, one.version = self._processes, keeping.state.version
        one.taken = one.declined = 0
        one.up_at = self.now + int(self.chance.uniform(0.2, 1.0) * SECOND)
        one.looked_at = one.up_at
        one.ends_at = 0
        if one.version == "crashes":
            one.up_at, one.ends_at = self.now + 10**6 * SECOND, self.now + SECOND // 5
        elif one.version == "dies-late":
            one.ends_at = self.now + DIES_AFTER
        keeping.on_started(self.now, one.version)

    def _reports(self, one: Instance, life: int) -> None:
        if one.keeping is None or one.life != life:
            return
        self.at(self.now + REPORTS, self._reports, one, life)
        if self.now < one.stopped_until:
            return
        report = one.keeping.report()
        for name, machine in self.seats.items():
            self._send(
                one.facts.name,
                name,
                self._reported,
                machine,
                one,
                life,
                report,
                one.stamps.get(name, -(10**18)),
            )

    def _reported(self, machine: Machine, one: Instance, life: int, report: Any, since: int) -> None:
        if machine.seat is None or self.now < machine.stopped_until:
            return

        def answer(word: DesiredStateReply) -> None:
            self._send(machine.name, one.facts.name, self._worded, one, life, machine.name, word)

        machine.seat.on_report(self.now, report, since, answer)
        self._after(machine)

    def _worded(self, one: Instance, life: int, seat: str, word: DesiredStateReply) -> None:
        if one.keeping is None or one.life != life:
            return
        if self.now < one.stopped_until:
            self.at(one.stopped_until, self._worded, one, life, seat, word)
            return
        one.stamps[seat] = max(one.stamps.get(seat, 0), word.stamp)
        one.keeping.on_desired_state(self.now, word.desired, word.is_open or self.plant == "again")
        self._acts(one)

    def _watch(self) -> None:
        out = [one for one in self.fleet.values() if one.turn is not None]
        if len(out) > self.limits.max_unavailable:
            raise Broken(
                f"{len(out)} are out by orders at {self.now / SECOND:.1f}, "
                f"{self.limits.max_unavailable} may be"
            )
        for region in {one.facts.region for one in out}:
            here = sum(one.facts.region == region for one in out)
            if here > self.limits.max_unavailable_in(region):
                raise Broken(
                    f"{here} of {region} are out by orders, {self.limits.max_unavailable_in(region)} may be"
                )

    # Tools

    def order(self, place: Submit, tries: int = 10) -> None:
        """Told to all seats until one answers: the tool may be killed after any of them."""
        if place.id in self.answers or not tries:
            return
        for machine in self.seats.values():
            self._send("tool", machine.name, self._ordered, machine, place)
        self.at(self.now + 2 * SECOND, self.order, place, tries - 1)

    def _ordered(self, machine: Machine, place: Submit) -> None:
        if machine.seat is None or self.now < machine.stopped_until:
            return
        if machine.seat.propose(self.now, place):
            self.at(self.now + SECOND, self._answers, machine, place)
        self._after(machine)

    def _answers(self, machine: Machine, place: Submit) -> None:
        if machine.seat is not None and place.id in machine.seat.answers:
            answer = machine.seat.answers[place.id]
            assert isinstance(answer, SubmitResult)
            self.answers.setdefault(place.id, answer)

    def stop_order(self, order: str, why: str, tries: int = 5) -> None:
        for machine in self.seats.values():
            if machine.seat is not None and self.now >= machine.stopped_until:
                machine.seat.propose(self.now, Cancel(order, why))
                self._after(machine)
        if tries > 1:
            self.at(self.now + 2 * SECOND, self.stop_order, order, why, tries - 1)

    # The course

    def run(self, until: int) -> None:
        while self._events and self._events[0][0] <= until:
            self.now, _, act, args = heapq.heappop(self._events)
            act(*args)
        self.now = until

    def course(self, seconds: float, faults: float = 0.5, orders: float = 0.1) -> None:
        """Orders and faults at random for two thirds of the time; then none, until all is at rest."""
        until, calm = int(seconds * SECOND), int(seconds * SECOND * 0.6)
        for rate, act in ((faults, self._fault), (orders, self._some_order)):
            when = 5 * SECOND + int(self.chance.expovariate(rate) * SECOND)
            while when < calm:
                self.at(when, act)
                when += int(self.chance.expovariate(rate) * SECOND)
        self.at(calm, self._calm)
        self.run(until)

    def _some_order(self) -> None:
        chance = self.chance
        kind = chance.choices(list(OperationKind), (2, 2, 2, 4))[0]
        names = chance.sample(sorted(self.fleet), chance.randint(1, len(self.fleet)))
        if kind is OperationKind.DRAIN:
            names = names[: self.limits.max_unavailable_per_region]
        if kind is OperationKind.UNDRAIN:
            names = [name for name, one in self.fleet.items() if one.keeping and not one.keeping.state.up]
        if kind is OperationKind.RELEASE and chance.random() < 0.7:
            names = sorted(self.fleet)
        if not names:
            return
        self.found[f"order {kind.value}"] += 1
        version = chance.choice(VERSIONS) if kind is OperationKind.RELEASE else ""
        place = Submit(f"o{self.found.total()}", kind, tuple(names), version)
        self.order(place, chance.randint(1, 6))
        if chance.random() < 0.2:
            self.at(self.now + int(chance.uniform(1, 20) * SECOND), self.stop_order, place.id, "by hand")
        if chance.random() < 0.1:
            self.at(self.now + int(chance.uniform(10, 40) * SECOND), self.order, place)

    def _fault(self) -> None:
        chance = self.chance
        kind = chance.random()
        name, seat = chance.choice(sorted(self.fleet)), chance.choice(sorted(self.seats))
        later = self.now + int(chance.uniform(0.2, 6) * SECOND)
        if kind < 0.15:
            self.crash_seat(seat)
            self.at(later, self.start_seat, seat)
        elif kind < 0.25:
            self.seats[seat].stopped_until = self.now + int(chance.uniform(0.5, 10) * SECOND)
            self.found["seat stopped"] += 1
        elif kind < 0.45:
            self.kill(name)
        elif kind < 0.55:
            self.crash_keeper(name)
            self.at(later, self.start_keeper, name)
        elif kind < 0.6:
            self.lose_keeper_disk(name)
            self.at(later, self.start_keeper, name)
        elif kind < 0.7:
            self.fleet[name].stopped_until = self.now + int(chance.uniform(0.5, 10) * SECOND)
            self.found["keeper stopped"] += 1
        else:
            cut = frozenset(chance.sample([*self.fleet, *self.seats], chance.randint(1, len(self.fleet))))
            rest = frozenset([*self.fleet, *self.seats]) - cut
            groups = (cut, rest)
            if chance.random() < 0.5:
                fault = PathFault("split", self.now, later, groups=groups)
            else:
                fault = PathFault("cut", self.now, later, senders=cut, receivers=rest)
            self._faults = [one for one in self._faults if one.until > self.now] + [fault]
            self._paths = NetworkPaths(self._faults, self.chance.random, self._delay, self._loss)
            self.found["cut"] += 1

    def _calm(self) -> None:
        self._faults.clear()
        self._paths = NetworkPaths([], self.chance.random, self._delay, 0.0)
        for name, machine in self.seats.items():
            machine.stopped_until = min(machine.stopped_until, self.now)
            self.start_seat(name)
        for name, one in self.fleet.items():
            one.stopped_until = min(one.stopped_until, self.now)
            self.start_keeper(name)
        # Drained ones come back, and whatever waits for evidence goes on.
        self.at(self.now + 8 * SECOND, self._undrain)

    def _undrain(self) -> None:
        names = tuple(name for name, one in self.fleet.items() if one.keeping and not one.keeping.state.up)
        if names:
            self.order(Submit(f"undrain/{self.now}", OperationKind.UNDRAIN, names))

    # At its end

    def judge(self) -> dict[str, int]:
        """Raises Broken; else how the orders ended."""
        leader = self.leader
        if leader is None:
            raise Broken("nobody leads at the end")
        ends: Counter[str] = Counter()
        for order in leader.operation_log.operations.values():
            ends[f"{order.kind.value}: {order.result or order.phase.value}"] += 1
            self._judge(order, list(leader.operation_log.operations.values()))
        return dict(ends)

    def _judge(self, order: Operation, orders: list[Operation]) -> None:
        for name, member in order.participants.items():
            one = self.fleet[name]
            told = member.status in (StepStatus.DONE, StepStatus.DRAINED, StepStatus.ROLLED_BACK)
            if told and not one.lost_disk and not any(turn[0] == member.permit_number for turn in one.done):
                raise Broken(f"{name} is told as {member.status.value} by {order.id}, and has not done it")
        if order.kind is OperationKind.RELEASE and order.result == "halted":
            later = any(one.submitted_at_ms > order.submitted_at_ms for one in orders)
            for name, member in order.participants.items():
                if (
                    member.status in (StepStatus.DONE, StepStatus.OUT, StepStatus.FAILED)
                    and order.roll_back
                    and not later
                ):
                    raise Broken(f"{name} was not brought back by {order.id}: {member.status.value}")


def _default_config(limits: DisruptionLimits) -> OrchestratorConfig:
    return OrchestratorConfig(
        {InstanceKind.EDGE: limits},
        sequential_test=SequentialTestConfig(0.001, 0.05, 3.0, 150),
        max_unsettled=10 * SECOND,
    )


def _new_fleet(size: int) -> dict[str, Instance]:
    fleet = {}
    for index in range(size):
        region = REGIONS[index % len(REGIONS)]
        info = InstanceInfo(f"e{index}", InstanceKind.EDGE, region, 100, 0.0, VERSIONS)
        fleet[info.name] = Instance(info, msgspec.msgpack.encode(SupervisorState("v1")))
    return fleet
