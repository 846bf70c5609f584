"""Permits to be unavailable: the part of the replicated state that enforces the disruption limits.

`PermitRegister` is a replicated state machine: the same commands in the same order give the same state on
every member. It reads no clock, no membership view and no random numbers. A permit's number is derived from
the log index of its request, so a later permit has a higher number. The number is the permit's fencing token:
a recipient that has seen a number rejects all lower ones (see `Fence`).

An unavailable instance never becomes available by a timeout. A permit ends when its holder is reported to be
serving again, with the permit's number; the permit of a crashed holder lasts until then. An instance that was
lost without a permit is unavailable until it is reported to be serving again.
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

# Number of decisions kept, so that a repeated request gets its first decision; the oldest are dropped.
MAX_DECISIONS = 1_024


class RequestPermit(Struct, frozen=True, tag="Ask", rename={"operation": "order"}):
    """Requests a permit for instance `name` to become unavailable, for an operation (empty: for none).

    `id` identifies the request: a repeated request gets the first decision again.
    """

    id: str
    name: str
    operation: str = ""


class InstanceReturned(Struct, frozen=True, tag="Back", rename={"permit_number": "number"}):
    """Instance `name` is available again: it serves its share of the traffic and is no longer warming up.

    `permit_number`: the permit under which it was unavailable; 0: none.
    """

    name: str
    permit_number: int = 0


class InstanceLost(Struct, frozen=True, tag="Away"):
    """Instance `name` became unavailable without a permit: it was lost, or stopped by its machine."""

    name: str


class EnrollInstances(Struct, frozen=True, tag="Enrol", rename={"instances": "units"}):
    """Adds instances and limits, or replaces those of the same name or kind."""

    instances: tuple[Instance, ...] = ()
    limits: tuple[tuple[InstanceKind, DisruptionLimits], ...] = ()


class HaltDisruptions(Struct, frozen=True, tag="Halt", rename={"reason": "why", "lifted": "over"}):
    """Stops the granting of permits, or allows it again if `lifted`."""

    reason: str
    lifted: bool = False


PermitCommand = RequestPermit | InstanceReturned | InstanceLost | EnrollInstances | HaltDisruptions


class Permit(Struct, frozen=True, rename={"operation": "order"}):
    """Allows an instance to be unavailable; `number` is the fencing token."""

    number: int
    name: str
    operation: str


class PermitDecision(Struct, frozen=True, rename={"rejection": "why"}):
    """The decision on a request: a permit, or the reason of its rejection."""

    id: str
    permit: Permit | None
    rejection: str = ""


class PermitRegister(
    Struct,
    rename={"instances": "units", "unavailable": "out", "decisions": "answers", "halt_reason": "halted"},
):
    """The state machine. `unavailable` maps each unavailable instance to its permit; None: it has none."""

    instances: dict[str, Instance] = msgspec.field(default_factory=dict)
    limits: dict[InstanceKind, DisruptionLimits] = msgspec.field(default_factory=dict)
    unavailable: dict[str, Permit | None] = msgspec.field(default_factory=dict)
    decisions: dict[str, PermitDecision] = msgspec.field(default_factory=dict)
    halt_reason: str = ""

    def apply(self, number: int, command: PermitCommand) -> PermitDecision | None:
        """Applies a committed command. If that grants a permit, `number` is its number."""
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
        """The reason to reject a request; empty: it is granted."""
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
        # Any other number is that of an earlier permit, or was sent by a former process of the instance.
        if name in self.unavailable and permit_number == (permit.number if permit else 0):
            del self.unavailable[name]


@dataclasses.dataclass(slots=True)
class Fence:
    """Rejects stale permits, at each component that acts on permits.

    A permit is stale if it has ended or if a higher number has been seen for the same instance, however late
    its message arrives or its holder resumes.
    """

    highest_seen: dict[str, int] = dataclasses.field(default_factory=dict)
    highest_ended: dict[str, int] = dataclasses.field(default_factory=dict)

    def accepts(self, permit: Permit) -> bool:
        """Whether the permit may be acted on. An accepted permit makes all lower ones stale."""
        is_stale = permit.number < self.highest_seen.get(permit.name, 0)
        if is_stale or permit.number <= self.highest_ended.get(permit.name, 0):
            return False
        self.highest_seen[permit.name] = permit.number
        return True

    def end(self, permit: Permit) -> None:
        """Records that the permit has ended because its holder is available again.

        Otherwise a delayed copy of the permit's message would make the holder unavailable once more, while
        the register counts it as available.
        """
        self.highest_ended[permit.name] = max(self.highest_ended.get(permit.name, 0), permit.number)
