"""Orders and how far each has come: the agreed record above the permits.

A replicated machine like `disruption_permits.py`, and round it: the same commands in the same order give the
same state everywhere. An order's plan and progress live here and not in the tool that placed it. One order
goes at a time; the others wait in the order in which they were placed, and one that names an instance that
another order still has is refused whole.

What an instance should be is kept as a `Want`: its version, whether it is up, and the turn by which it became
so, a permit's number and a step. A turn is carried out at most once, since whoever carries it out keeps the
highest one it has begun; coming up again under the same permit is that permit's second step.
"""

from __future__ import annotations

from collections.abc import Sequence
from enum import Enum

from msgspec import Struct, field
from msgspec.structs import replace

from valverouter.rollout.disruption_limits import find_exceeded_limit, find_unsatisfiable_limits, plan_waves
from valverouter.rollout.disruption_permits import (
    EnrollInstances,
    HaltDisruptions,
    InstanceLost,
    InstanceReturned,
    Permit,
    PermitDecision,
    PermitRegister,
    RequestPermit,
)
from valverouter.rollout.disruption_permits import PermitCommand as PermitCommand

# Ended orders that are kept for `history`; the oldest leave.
MAX_ENDED_OPERATIONS = 64
# So many orders wait or go at once.
MAX_OPEN_OPERATIONS = 16


class OperationKind(Enum):
    DRAIN = "drain"
    UNDRAIN = "undrain"
    RESTART = "restart"
    RELEASE = "release"


class OperationPhase(Enum):
    """QUEUED: another order goes first. WATCHING: a wave is back, and evidence is gathered. RETURNING: what
    is out comes in again, and what was released goes back to its former version."""

    QUEUED = "queued"
    RUNNING = "going"
    EVALUATING = "watching"
    ROLLING_BACK = "returning"
    ENDED = "ended"


class StepStatus(Enum):
    """Of one instance in one order. OUT: under its permit, whatever it does there; what became of it is known
    only once it has told. FAILED: its program does not come up as ordered, and it is out."""

    PENDING = "waiting"
    OUT = "out"
    FAILED = "failed"
    DRAINED = "drained"
    DONE = "done"
    UNREACHABLE = "not reached"
    # While the order returns: released, and still to go back; and back.
    ROLLBACK_PENDING = "to return"
    ROLLED_BACK = "returned"
    # Never gone out by this order.
    SKIPPED = "left"


UNFINISHED = (StepStatus.PENDING, StepStatus.OUT, StepStatus.FAILED)
ACTIVE_PHASES = (OperationPhase.RUNNING, OperationPhase.EVALUATING, OperationPhase.ROLLING_BACK)


class Submit(
    Struct,
    frozen=True,
    tag="Place",
    rename={"instances": "names", "submitted_at_ms": "at", "submitted_by": "by"},
):
    """An order. `id` is its own: placed again, it is the same order. `at`: wall time in ms, to be shown and
    for nothing else. `dry`: nothing is placed, the plan is told."""

    id: str
    kind: OperationKind
    instances: tuple[str, ...]
    version: str = ""
    submitted_at_ms: int = 0
    submitted_by: str = ""


class StepReported(
    Struct,
    frozen=True,
    tag="Went",
    rename={"operation": "order", "permit_number": "number", "status": "step", "reason": "why"},
):
    """What became of an instance, as it told; `number`: of its permit, 0 where it has none yet."""

    operation: str
    name: str
    permit_number: int
    status: StepStatus
    reason: str = ""


class Advance(Struct, frozen=True, tag="Next", rename={"operation": "order"}):
    """The evidence lets the wave after `wave` go."""

    operation: str
    wave: int


class Cancel(
    Struct,
    frozen=True,
    tag="Stop",
    rename={"operation": "order", "reason": "why", "roll_back": "back", "cancelled_at_ms": "at"},
):
    """Nothing further goes out by the order (empty: by any), and what is out comes in. `back`: what was
    released returns to its former version as well."""

    operation: str
    reason: str
    roll_back: bool = True
    cancelled_at_ms: int = 0


class InstanceReported(
    Struct,
    frozen=True,
    tag="Runs",
    rename={"available_versions": "versions", "permit_number": "number", "step_index": "step"},
):
    """An instance tells which version it runs, and which its keeper can start; the highest turn that its
    keeper has begun, and whether it is to be up by that."""

    name: str
    version: str
    available_versions: tuple[str, ...]
    permit_number: int = 0
    step_index: int = 0
    up: bool = True


class Retire(Struct, frozen=True, tag="Retire"):
    """An instance that is no part of the fleet any more."""

    name: str


Command = PermitCommand | Submit | StepReported | Advance | Cancel | InstanceReported | Retire


class DesiredState(
    Struct, frozen=True, rename={"permit_number": "number", "step_index": "step", "operation": "order"}
):
    """What an instance should be. `number`, `step`: the turn that made it so; (0, 0): as it was found."""

    version: str
    up: bool = True
    permit_number: int = 0
    step_index: int = 0
    operation: str = ""

    @property
    def step_id(self) -> tuple[int, int]:
        return self.permit_number, self.step_index


class Participant(
    Struct,
    rename={
        "status": "step",
        "permit_number": "number",
        "permit_requests": "tries",
        "previous_version": "former",
        "reason": "why",
    },
):
    """An instance in an order. `tries`: how often it asked for leave; `former`: its version before."""

    status: StepStatus = StepStatus.PENDING
    permit_number: int = 0
    permit_requests: int = 0
    previous_version: str = ""
    reason: str = ""


class Operation(
    Struct,
    rename={
        "submitted_at_ms": "at",
        "submitted_by": "by",
        "participants": "members",
        "evaluated_waves": "watched",
        "wave_index": "wave",
        "roll_back": "back",
        "halt_reason": "why",
    },
):
    """One order. `wave` counts from 0, `watched` are those after which evidence is awaited; `result` is told
    once it has ended."""

    id: str
    kind: OperationKind
    version: str
    submitted_at_ms: int
    submitted_by: str
    waves: list[list[str]]
    participants: dict[str, Participant]
    evaluated_waves: list[int] = field(default_factory=list)
    phase: OperationPhase = OperationPhase.QUEUED
    wave_index: int = 0
    roll_back: bool = False
    halt_reason: str = ""
    result: str = ""

    @property
    def current_wave(self) -> list[str]:
        """The names of the wave that goes."""
        return self.waves[self.wave_index] if self.wave_index < len(self.waves) else []

    @property
    def evaluation_stage(self) -> int:
        """How many watches are over."""
        return sum(wave < self.wave_index for wave in self.evaluated_waves)

    @property
    def status_counts(self) -> dict[str, int]:
        told: dict[str, int] = {}
        for member in self.participants.values():
            told[member.status.value] = told.get(member.status.value, 0) + 1
        return told

    def copy(self) -> Operation:
        return replace(
            self,
            waves=[list(wave) for wave in self.waves],
            evaluated_waves=list(self.evaluated_waves),
            participants={name: replace(one) for name, one in self.participants.items()},
        )


class SubmitResult(Struct, frozen=True, rename={"rejection": "why"}):
    """To a Place: the order's waves, or why it is refused."""

    id: str
    waves: tuple[tuple[str, ...], ...] = ()
    rejection: str = ""


class OperationLog(
    Struct,
    rename={
        "permits": "register",
        "desired": "wants",
        "available_versions": "versions",
        "operations": "orders",
        "permit_number_offset": "base",
    },
):
    """The state: permits, what is wanted of whom, and the orders in the order in which they were placed."""

    permits: PermitRegister = field(default_factory=PermitRegister)
    desired: dict[str, DesiredState] = field(default_factory=dict)
    available_versions: dict[str, tuple[str, ...]] = field(default_factory=dict)
    operations: dict[str, Operation] = field(default_factory=dict)
    # Permits' numbers are places in the record and this: a council that was founded anew, its former record
    # lost, must not give a number again that a keeper or the list has seen.
    permit_number_offset: int = 0

    def apply(self, index: int, command: Command) -> PermitDecision | SubmitResult | None:
        """The command at a place of the record."""
        number = index + self.permit_number_offset
        match command:
            case Submit():
                return self._place(command)
            case RequestPermit():
                return self._ask(number, command)
            case InstanceReturned(name, permit):
                self._back(number, name, permit)
            case StepReported():
                self._went(command)
            case Advance(order, wave):
                self._next(order, wave)
            case Cancel(order, why, back):
                self._stop(order, why, back)
            case InstanceReported():
                self._runs(number, command)
            case Retire(name):
                self._retire(name)
            case InstanceLost() | EnrollInstances() | HaltDisruptions():
                self.permits.apply(number, command)
        return None

    def copy(self) -> OperationLog:
        """For a snapshot."""
        return OperationLog(
            self.permits.copy(),
            dict(self.desired),
            dict(self.available_versions),
            {name: order.copy() for name, order in self.operations.items()},
            self.permit_number_offset,
        )

    def _runs(self, number: int, told: InstanceReported) -> None:
        self.permit_number_offset += max(0, told.permit_number - number)
        self.available_versions[told.name] = told.available_versions
        if told.name in self.desired:
            return
        self.desired[told.name] = DesiredState(told.version, told.up, told.permit_number, told.step_index)
        if not told.up and told.permit_number:
            # Drained by a council that is no more: it stays so, and can be brought back.
            self.permits.unavailable[told.name] = Permit(told.permit_number, told.name, "")

    # What is asked of it

    @property
    def active_operation(self) -> Operation | None:
        """The one order that takes anybody out."""
        busy = (order for order in self.operations.values() if order.phase in ACTIVE_PHASES)
        return next((order for order in busy if order.kind is not OperationKind.UNDRAIN), None)

    @property
    def active_undrains(self) -> list[Operation]:
        """Those under way: they bring in, wait for nobody, and whoever waits for room may wait for them."""
        return [
            o
            for o in self.operations.values()
            if o.kind is OperationKind.UNDRAIN and o.phase in ACTIVE_PHASES
        ]

    def plan(self, place: Submit) -> SubmitResult:
        """The waves of an order as it would be placed now, or why it would be refused whole."""
        why = self._flaw(place)
        if why:
            return SubmitResult(place.id, (), why)
        if place.kind is OperationKind.UNDRAIN:
            return SubmitResult(place.id, (place.instances,))
        units = list(self.permits.instances.values())
        sort = self.permits.instances[place.instances[0]].kind
        limits = self.permits.limits.get(sort)
        if limits is None:
            return SubmitResult(place.id, (), f"no limits are told for {sort.plural}, so none may go out")
        flaws = find_unsatisfiable_limits(limits, sort, units)
        if flaws:
            return SubmitResult(place.id, (), f"by these limits: {flaws[0]}")
        try:
            # Planned for a whole fleet: who is out at this moment holds a wave up and does not change it.
            made = plan_waves(limits, units, (), list(place.instances))
            if place.kind is OperationKind.DRAIN:
                self._stays_out(place)
        except ValueError as flaw:
            return SubmitResult(place.id, (), str(flaw))
        return SubmitResult(place.id, tuple(tuple(wave) for wave in made))

    def _flaw(self, place: Submit) -> str:
        if not place.instances:
            return "nobody is meant"
        for name in place.instances:
            if name not in self.permits.instances:
                return f"{name} is not enrolled"
        if len({self.permits.instances[name].kind for name in place.instances}) > 1:
            return "edge proxies and servers go out by orders of their own"
        if (
            sum(order.phase is not OperationPhase.ENDED for order in self.operations.values())
            >= MAX_OPEN_OPERATIONS
        ):
            return f"{MAX_OPEN_OPERATIONS} orders wait or go already"
        if self.permits.halt_reason:
            return f"halted: {self.permits.halt_reason}"
        for order in self.operations.values():
            both = sorted(set(place.instances) & order.participants.keys())
            if order.phase is not OperationPhase.ENDED and both:
                return f"{', '.join(both[:3])} of it: order {order.id} is not done with them"
        for name in place.instances:
            if place.kind is OperationKind.RELEASE and place.version not in self.available_versions.get(
                name, ()
            ):
                return f"the keeper of {name} knows no version {place.version!r}"
            want = self.desired.get(name)
            if place.kind is OperationKind.RELEASE and want is not None and want.version == place.version:
                return f"{name} is at {place.version} already"
            if place.kind is OperationKind.UNDRAIN and (want is None or want.up or not self._number(name)):
                return f"{name} is not drained"
            if place.kind is not OperationKind.UNDRAIN and want is not None and not want.up:
                return f"{name} is drained: it is brought back by undrain"
        return ""

    def _stays_out(self, place: Submit) -> None:
        """Who is drained stays out: all of them must find room together, with those drained before."""
        unit = self.permits.instances[place.instances[0]]
        units, out = list(self.permits.instances.values()), set(self._drained())
        for name in place.instances:
            why = find_exceeded_limit(
                self.permits.limits[unit.kind], units, out, self.permits.instances[name]
            )
            if why is not None:
                raise ValueError(f"{name}: {why}")
            out.add(name)

    def _drained(self) -> list[str]:
        return [name for name, want in self.desired.items() if not want.up]

    def _number(self, name: str) -> int:
        """Of the permit that it is out by; 0: it has none."""
        held = self.permits.unavailable.get(name)
        return held.number if held else 0

    # Orders

    def _place(self, place: Submit) -> SubmitResult:
        known = self.operations.get(place.id)
        if known is not None:
            # Told again, a day later too: the same order, and not once more.
            return SubmitResult(place.id, tuple(tuple(wave) for wave in known.waves))
        plan = self.plan(place)
        if plan.rejection:
            return plan
        members = {
            name: Participant(previous_version=self.desired[name].version if name in self.desired else "")
            for name in place.instances
        }
        order = Operation(
            place.id,
            place.kind,
            place.version,
            place.submitted_at_ms,
            place.submitted_by,
            [list(w) for w in plan.waves],
            members,
            evaluation_waves(plan.waves) if place.kind is OperationKind.RELEASE else [],
        )
        self.operations[place.id] = order
        ended = [one.id for one in self.operations.values() if one.phase is OperationPhase.ENDED]
        for old in ended[: max(0, len(ended) - MAX_ENDED_OPERATIONS)]:
            del self.operations[old]
        if place.kind is OperationKind.UNDRAIN:
            self._undrain(order)
        self._begin()
        return plan

    def _undrain(self, order: Operation) -> None:
        """At once: queued behind an order that waited for the very room that it gives back, neither ever
        ended."""
        order.phase = OperationPhase.RUNNING
        for name, member in order.participants.items():
            member.permit_number, member.status = self._number(name), StepStatus.OUT
            self._want(name, member, 1, member.previous_version, True, order.id)

    def _begin(self) -> None:
        """The first that waits goes, if none goes."""
        if self.active_operation is None:
            order = next(
                (one for one in self.operations.values() if one.phase is OperationPhase.QUEUED), None
            )
            if order is not None:
                order.phase = OperationPhase.RUNNING

    def _want(self, name: str, member: Participant, step: int, version: str, up: bool, order: str) -> None:
        self.desired[name] = DesiredState(version, up, member.permit_number, step, order)

    def _ask(self, number: int, ask: RequestPermit) -> PermitDecision | None:
        order = self.operations.get(ask.operation)
        member = order.participants.get(ask.name) if order else None
        if order is None or member is None:
            return self.permits.apply(number, ask)
        wanted = (
            StepStatus.ROLLBACK_PENDING if order.phase is OperationPhase.ROLLING_BACK else StepStatus.PENDING
        )
        if (
            order.phase not in (OperationPhase.RUNNING, OperationPhase.ROLLING_BACK)
            or member.status is not wanted
        ):
            # Asked before the order was stopped, and agreed on after: nothing further goes out.
            return PermitDecision(ask.id, None, f"order {order.id} does not ask for it any more")
        answer = self._leave(number, ask, order)
        if answer.permit is not None and answer.permit.number != number:
            return answer  # an ask that came twice: its permit was acted on, and is over
        member.permit_requests += 1
        if answer.permit is None:
            member.reason = answer.rejection
            return answer
        member.permit_number, member.reason = answer.permit.number, ""
        if order.phase is OperationPhase.ROLLING_BACK:
            member.status = StepStatus.OUT
            self._want(ask.name, member, 1, member.previous_version, True, order.id)
            return answer
        member.status = StepStatus.OUT
        version = order.version if order.kind is OperationKind.RELEASE else member.previous_version
        self._want(ask.name, member, 0, version, order.kind is not OperationKind.DRAIN, order.id)
        return answer

    def _leave(self, number: int, ask: RequestPermit, order: Operation) -> PermitDecision:
        if order.phase is OperationPhase.ROLLING_BACK and self.permits.unavailable.get(ask.name, ask) is None:
            # It is out without leave and uses its room already. Refused for that, an instance whose release
            # ends by itself over and over could never go back to what it ran before.
            permit = Permit(number, ask.name, ask.operation)
            self.permits.unavailable[ask.name] = permit
            return PermitDecision(ask.id, permit)
        answer = self.permits.apply(number, ask)
        assert answer is not None
        return answer

    def _back(self, number: int, name: str, permit: int) -> None:
        if name not in self.permits.unavailable or self._number(name) != permit:
            return
        if not (self.desired.get(name) or DesiredState("")).up:
            return  # drained: that its program runs is no leave to count it as in
        self.permits.apply(number, InstanceReturned(name, permit))
        for order in self.operations.values():
            member = order.participants.get(name)
            if (
                order.phase is not OperationPhase.ENDED
                and member
                and member.permit_number == permit
                and permit
            ):
                self._came_in(order, name, member)

    def _came_in(self, order: Operation, name: str, member: Participant) -> None:
        if member.status not in (StepStatus.OUT, StepStatus.FAILED):
            return
        if order.phase is not OperationPhase.ROLLING_BACK:
            member.status, member.reason = StepStatus.DONE, ""
        elif order.kind is OperationKind.RELEASE and self.desired[name].version == member.previous_version:
            member.status = StepStatus.ROLLED_BACK
        else:
            member.status = StepStatus.DONE
        self._forward(order)

    def _went(self, went: StepReported) -> None:
        order = self.operations.get(went.operation)
        member = order.participants.get(went.name) if order else None
        if order is None or member is None or order.phase is OperationPhase.ENDED:
            return
        if went.status is StepStatus.UNREACHABLE:
            if member.status is StepStatus.PENDING:
                member.status, member.reason = StepStatus.UNREACHABLE, went.reason
        elif (
            member.permit_number == went.permit_number
            and went.permit_number
            and member.status in (StepStatus.OUT, StepStatus.FAILED)
        ):
            if went.status is StepStatus.FAILED:
                member.status, member.reason = StepStatus.FAILED, went.reason
            elif went.status is StepStatus.DRAINED and not self.desired[went.name].up:
                member.status = StepStatus.DRAINED
        self._forward(order)

    def _forward(self, order: Operation) -> None:
        """What follows from a member's change: a wave that is over, an order that has ended."""
        if order.phase is OperationPhase.RUNNING:
            if any(order.participants[name].status in UNFINISHED for name in order.current_wave):
                return
            last = order.wave_index + 1 >= len(order.waves)
            if last:
                self._end(order)
            elif order.wave_index in order.evaluated_waves:
                order.phase = OperationPhase.EVALUATING
            else:
                order.wave_index += 1
                self._forward(order)
        elif order.phase is OperationPhase.ROLLING_BACK:
            still = (StepStatus.OUT, StepStatus.FAILED, StepStatus.ROLLBACK_PENDING)
            if not any(member.status in still for member in order.participants.values()):
                self._end(order)

    def _next(self, order_id: str, wave: int) -> None:
        order = self.operations.get(order_id)
        if order is not None and order.phase is OperationPhase.EVALUATING and order.wave_index == wave:
            order.phase, order.wave_index = OperationPhase.RUNNING, wave + 1
            self._forward(order)

    def _end(self, order: Operation) -> None:
        returned = order.phase is OperationPhase.ROLLING_BACK
        order.phase = OperationPhase.ENDED
        missed = any(member.status is StepStatus.UNREACHABLE for member in order.participants.values())
        order.result = "halted" if returned else "in part" if missed else "done"
        self._begin()

    def _stop(self, order_id: str, why: str, back: bool) -> None:
        for order in list(self.operations.values()):
            if order_id in ("", order.id) and order.phase is not OperationPhase.ENDED:
                self._stop_one(order, why, back)
        self._begin()

    def _stop_one(self, order: Operation, why: str, back: bool) -> None:
        if order.phase is OperationPhase.ROLLING_BACK:
            order.roll_back = order.roll_back or back
        else:
            order.halt_reason, order.roll_back = why, back
        order.phase = OperationPhase.ROLLING_BACK
        for name, member in order.participants.items():
            if member.status in (StepStatus.OUT, StepStatus.FAILED, StepStatus.DRAINED):
                self._turn_back(order, name, member)
            elif member.status is StepStatus.PENDING:
                member.status = StepStatus.SKIPPED
            elif member.status is StepStatus.DONE and order.kind is OperationKind.RELEASE and order.roll_back:
                member.status = StepStatus.ROLLBACK_PENDING
        self._forward(order)

    def _turn_back(self, order: Operation, name: str, member: Participant) -> None:
        """It is out: it comes up as it was, by its permit's second step."""
        want = self.desired.get(name)
        if want is not None and want.step_id < (member.permit_number, 1):
            member.status = StepStatus.OUT
            self._want(name, member, 1, member.previous_version, True, order.id)

    def _retire(self, name: str) -> None:
        """It is gone for good: what it was in goes on without it."""
        self.permits.instances.pop(name, None)
        self.permits.unavailable.pop(name, None)
        self.desired.pop(name, None)
        self.available_versions.pop(name, None)
        for order in list(self.operations.values()):
            member = order.participants.get(name)
            if member is not None and order.phase is not OperationPhase.ENDED:
                member.status, member.reason = StepStatus.SKIPPED, "retired"
                self._forward(order)


def evaluation_waves(waves: Sequence[Sequence[str]]) -> list[int]:
    """The waves after which evidence is awaited: once one is released, then each time about three times as
    many are. The limits may make the waves far smaller, and a watch after each would ask for the same
    evidence over and over."""
    found, count, wanted = [], 0, 1
    for at, wave in enumerate(waves):
        count += len(wave)
        if count >= wanted and at + 1 < len(waves):
            found.append(at)
            wanted = 3 * count + 1
    return found


def split_by_version(book: OperationLog, order: Operation) -> tuple[list[str], list[str]]:
    """Who runs the order's version, being in, and who of its sort does not yet."""
    sort = book.permits.instances[next(iter(order.participants))].kind
    ones: list[str] = []
    others: list[str] = []
    for name, unit in book.permits.instances.items():
        want = book.desired.get(name)
        if unit.kind is not sort or want is None or name in book.permits.unavailable:
            continue
        (ones if want.version == order.version else others).append(name)
    return ones, others
