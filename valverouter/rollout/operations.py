"""Operations on a fleet's instances: their types, and the commands that submit and advance them.

An operation drains, undrains, restarts or releases (moves to another version) a set of instances, wave by
wave. Commands are replicated by Raft and applied by `operation_transitions.py` to the `OperationLog`, which
contains the plan and progress of every operation. An operation does not depend on the client that submitted
it: it continues if the client dies.

All types here are stored, or sent between processes, under the field names and tags of earlier versions
(`rename=`, `tag=`). The values of the enumerations are stored and sent as well.
"""

from __future__ import annotations

from enum import Enum
from typing import NamedTuple

from msgspec import Struct, field
from msgspec.structs import replace

from valverouter.rollout.disruption_permits import PermitCommand

# Indices of the two steps of a permit. The outbound step takes the instance out of service, to restart,
# release or drain it; the return step starts it again at its previous version.
OUTBOUND_STEP = 0
RETURN_STEP = 1


class StepId(NamedTuple):
    """Identifies a step. A supervisor begins a step only if its id is greater than all those it has begun."""

    permit_number: int
    step_index: int


# The step id of an instance that no operation has changed yet.
NO_STEP = StepId(0, 0)


class OperationKind(Enum):
    """What an operation does to its instances."""

    DRAIN = "drain"
    UNDRAIN = "undrain"
    RESTART = "restart"
    RELEASE = "release"


class OperationPhase(Enum):
    """The phase of an operation."""

    # Waits for an earlier operation to end.
    QUEUED = "queued"
    RUNNING = "going"
    # A wave is back in service, and evidence for or against the release is collected.
    EVALUATING = "watching"
    # Unavailable instances return at their previous version; released instances are moved back to it.
    ROLLING_BACK = "returning"
    ENDED = "ended"


class StepStatus(Enum):
    """The status of one instance in one operation."""

    PENDING = "waiting"
    # The instance has a permit. Its state under the permit is unknown until its supervisor reports.
    IN_PROGRESS = "out"
    # The step failed: the program does not start as desired. The instance counts as unavailable.
    FAILED = "failed"
    DRAINED = "drained"
    DONE = "done"
    UNREACHABLE = "not reached"
    # The operation is being rolled back, and this released instance is still at the new version.
    ROLLBACK_PENDING = "to return"
    ROLLED_BACK = "returned"
    # The operation was cancelled while the instance was pending, or the instance was retired.
    SKIPPED = "left"


UNFINISHED = (StepStatus.PENDING, StepStatus.IN_PROGRESS, StepStatus.FAILED)
ACTIVE_PHASES = (OperationPhase.RUNNING, OperationPhase.EVALUATING, OperationPhase.ROLLING_BACK)


class Submit(
    Struct,
    frozen=True,
    tag="Place",
    rename={"instances": "names", "submitted_at_ms": "at", "submitted_by": "by"},
):
    """Submits an operation. A repeated submission with the same `id` has no effect.

    `version`: the version to release; empty for other kinds. `submitted_at_ms`: wall clock, for display only.
    """

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
    """The outcome of a step of instance `name`, as its supervisor reported it.

    `permit_number` 0: the instance has no permit yet. The leader also uses this command for an instance whose
    supervisor does not report (`StepStatus.UNREACHABLE`).
    """

    operation: str
    name: str
    permit_number: int
    status: StepStatus
    reason: str = ""


class Advance(Struct, frozen=True, tag="Next", rename={"operation": "order"}):
    """Continues a release with the wave after `wave`, as the evidence allows."""

    operation: str
    wave: int


class Cancel(
    Struct,
    frozen=True,
    tag="Stop",
    rename={"operation": "order", "reason": "why", "roll_back": "back", "cancelled_at_ms": "at"},
):
    """Cancels an operation; an empty `operation` cancels all of them.

    No further instance becomes unavailable, and unavailable instances return to service. `roll_back`:
    instances that were already released are moved back to their previous version as well.
    """

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
    """The version that an instance runs and those that its supervisor can start, as the supervisor reported.

    `permit_number`, `step_index`: the latest step that the supervisor has begun. `up`: whether the instance
    is to run after that step.
    """

    name: str
    version: str
    available_versions: tuple[str, ...]
    permit_number: int = 0
    step_index: int = 0
    up: bool = True


class Retire(Struct, frozen=True, tag="Retire"):
    """Removes an instance that is no longer part of the fleet."""

    name: str


Command = PermitCommand | Submit | StepReported | Advance | Cancel | InstanceReported | Retire


class DesiredState(
    Struct, frozen=True, rename={"permit_number": "number", "step_index": "step", "operation": "order"}
):
    """The desired state of an instance: its version, whether it runs, and the step that leads to this state.

    A step is carried out at most once, since a supervisor stores the latest step that it has begun.
    """

    version: str
    up: bool = True
    permit_number: int = 0
    step_index: int = 0
    operation: str = ""

    @property
    def step_id(self) -> StepId:
        """The step that leads to this state; `NO_STEP`: no operation has changed the instance."""
        return StepId(self.permit_number, self.step_index)


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
    """An instance in an operation. `permit_requests` is the number of its permit requests decided so far."""

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
    """One operation with its plan and progress.

    `evaluated_waves`: indices of the waves that are followed by an evaluation. `result` of an ended
    operation: done, in part (some instances were unreachable) or halted.
    """

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
        """Names of the instances of the current wave."""
        return self.waves[self.wave_index] if self.wave_index < len(self.waves) else []

    @property
    def evaluation_stage(self) -> int:
        """The number of completed evaluations."""
        return sum(wave < self.wave_index for wave in self.evaluated_waves)

    @property
    def has_ended(self) -> bool:
        """Whether the operation has ended, with any result."""
        return self.phase is OperationPhase.ENDED

    @property
    def status_counts(self) -> dict[str, int]:
        """The number of instances by status; the keys are the values of `StepStatus`."""
        counts: dict[str, int] = {}
        for participant in self.participants.values():
            status = participant.status.value
            counts[status] = counts.get(status, 0) + 1
        return counts

    def copy(self) -> Operation:
        """An independent copy, for a snapshot."""
        return replace(
            self,
            waves=[list(wave) for wave in self.waves],
            evaluated_waves=list(self.evaluated_waves),
            participants={name: replace(participant) for name, participant in self.participants.items()},
        )


class SubmitResult(Struct, frozen=True, rename={"rejection": "why"}):
    """The answer to a `Submit`: the operation's waves, or the reason of its rejection."""

    id: str
    waves: tuple[tuple[str, ...], ...] = ()
    rejection: str = ""
