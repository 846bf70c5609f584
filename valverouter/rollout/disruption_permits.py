"""Permits to be unavailable: the part of the replicated state that keeps the disruption limits.

`PermitRegister` is a replicated state machine: the same commands in the same order give the same state on
every member, and nothing in it reads a clock, a view of the fleet or chance. A permit's number is derived
from the log index of the command that it answers, so a later permit has a higher number. It is the permit's
fencing token: whoever has seen a number rejects every lower one (see `Fence`).

An unavailable instance never becomes available by time. A permit ends by evidence that its holder serves
again, sent with the permit's number; a holder that died keeps its permit until then. An instance that is
found gone without a permit is unavailable until it is back.
"""

from __future__ import annotations

import dataclasses

import msgspec
from msgspec import Struct

from valverouter.rollout.disruption_limits import (
    DisruptionLimits,
    ExceededLimit,
    Instance,
    InstanceKind,
    find_exceeded_limit,
)

# Decisions are kept so that a request that comes again gets its first answer; the oldest are dropped.
MAX_DECISIONS = 1_024


class RequestPermit(Struct, frozen=True, tag="Ask", rename={"operation": "order"}):
    """Instance `name` asks to become unavailable, for an operation (empty: for none).

    `id` identifies the request: repeated, it gets its first decision again.
    """

    id: str
    name: str
    operation: str = ""


class InstanceReturned(Struct, frozen=True, tag="Back", rename={"permit_number": "number"}):
    """Instance `name` serves again, is warm and takes its part of the traffic.

    `permit_number`: of the permit by which it was unavailable; 0: it had none.
    """

    name: str
    permit_number: int = 0


class InstanceLost(Struct, frozen=True, tag="Away"):
    """Instance `name` was found gone, or its machine stopped it, without a permit."""

    name: str


class EnrollInstances(Struct, frozen=True, tag="Enrol", rename={"instances": "units"}):
    """Instances and limits of the fleet. Those of the same name or kind replace the former ones."""

    instances: tuple[Instance, ...] = ()
    limits: tuple[tuple[InstanceKind, DisruptionLimits], ...] = ()


class HaltDisruptions(Struct, frozen=True, tag="Halt", rename={"reason": "why", "lifted": "over"}):
    """No further permit is given, until the same command comes with `lifted`."""

    reason: str
    lifted: bool = False


PermitCommand = RequestPermit | InstanceReturned | InstanceLost | EnrollInstances | HaltDisruptions


class Permit(Struct, frozen=True, rename={"operation": "order"}):
    """Allows an instance to be unavailable; `number` is the fencing token."""

    number: int
    name: str
    operation: str


class PermitDecision(Struct, frozen=True, rename={"rejection": "why"}):
    """The answer to a request: a permit, or why it is rejected."""

    id: str
    permit: Permit | None
    rejection: str = ""


class PermitRegister(
    Struct,
    rename={"instances": "units", "unavailable": "out", "decisions": "answers", "halt_reason": "halted"},
):
    """The state machine. `unavailable` holds the permit of each unavailable instance; None: it has none."""

    instances: dict[str, Instance] = msgspec.field(default_factory=dict)
    limits: dict[InstanceKind, DisruptionLimits] = msgspec.field(default_factory=dict)
    unavailable: dict[str, Permit | None] = msgspec.field(default_factory=dict)
    decisions: dict[str, PermitDecision] = msgspec.field(default_factory=dict)
    halt_reason: str = ""

    def apply(self, number: int, command: PermitCommand) -> PermitDecision | None:
        """Applies a committed command; `number` is the one that a permit given by it gets."""
        match command:
            case RequestPermit():
                return self._on_request(number, command)
            case InstanceReturned(name, permit_number):
                self._on_returned(name, permit_number)
            case InstanceLost(name):
                if name in self.instances:
                    self.unavailable.setdefault(name, None)
            case EnrollInstances(instances, limits):
                self.instances |= {instance.name: instance for instance in instances}
                self.limits |= dict(limits)
            case HaltDisruptions(reason, lifted):
                self.halt_reason = "" if lifted else reason
        return None

    def copy(self) -> PermitRegister:
        """An independent copy, for a snapshot."""
        return PermitRegister(
            dict(self.instances),
            dict(self.limits),
            dict(self.unavailable),
            dict(self.decisions),
            self.halt_reason,
        )

    def _on_request(self, number: int, request: RequestPermit) -> PermitDecision:
        if (earlier_decision := self.decisions.get(request.id)) is not None:
            return earlier_decision
        rejection = self._find_rejection(request)
        permit = None if rejection else Permit(number, request.name, request.operation)
        decision = PermitDecision(request.id, permit, rejection)
        self.decisions[request.id] = decision
        if len(self.decisions) > MAX_DECISIONS:
            del self.decisions[next(iter(self.decisions))]
        if permit is not None:
            self.unavailable[request.name] = permit
        return decision

    def _find_rejection(self, request: RequestPermit) -> str:
        """Why a request is rejected; empty: it is granted."""
        instance = self.instances.get(request.name)
        if instance is None:
            return f"{request.name} is not enrolled"
        if self.halt_reason:
            return f"halted: {self.halt_reason}"
        if request.name in self.unavailable:
            return f"{request.name} is out already, {self._describe_permit(request.name)}"
        limits = self.limits.get(instance.kind)
        if limits is None:
            return f"no limits are told for {instance.kind.plural}, so none may go out"
        exceeded = find_exceeded_limit(limits, self.instances.values(), self.unavailable, instance)
        return "" if exceeded is None else self._describe_exceeded(exceeded)

    def _describe_permit(self, name: str) -> str:
        permit = self.unavailable[name]
        if permit is None:
            return "without leave"
        return f"by permit {permit.number} of {permit.operation or 'no order'}"

    def _describe_exceeded(self, exceeded: ExceededLimit) -> str:
        permits = (self.unavailable.get(name) for name in exceeded.instances)
        operations = {permit.operation for permit in permits if permit is not None}
        names = sorted(operation or "no order" for operation in operations)
        holders = f"; of {', '.join(names)}" if names else ""
        return f"{exceeded}{holders}; ask again when one of them is back"

    def _on_returned(self, name: str, permit_number: int) -> None:
        permit = self.unavailable.get(name)
        # Any other number is of a permit that ended before, or of a former process of the instance.
        if name in self.unavailable and permit_number == (permit.number if permit else 0):
            del self.unavailable[name]


@dataclasses.dataclass(slots=True)
class Fence:
    """Rejects stale permits, at whoever acts on permits.

    A permit that has ended, or is lower than one that was seen for the same instance, is void, however late
    its message arrives or its holder wakes.
    """

    highest_seen: dict[str, int] = dataclasses.field(default_factory=dict)
    highest_ended: dict[str, int] = dataclasses.field(default_factory=dict)

    def accepts(self, permit: Permit) -> bool:
        """Whether the permit may be acted on. One that is accepted makes the lower ones stale."""
        is_stale = permit.number < self.highest_seen.get(permit.name, 0)
        if is_stale or permit.number <= self.highest_ended.get(permit.name, 0):
            return False
        self.highest_seen[permit.name] = permit.number
        return True

    def end(self, permit: Permit) -> None:
        """Notes that the permit's holder is available again.

        Otherwise a copy of its message that comes late would take the holder out once more, while the group
        holds it for available.
        """
        self.highest_ended[permit.name] = max(self.highest_ended.get(permit.name, 0), permit.number)
