"""Operations on a fleet's instances: their types, and the commands that submit and progress them.

An operation drains, undrains, restarts or releases (brings to another version) a set of instances, wave by
wave. Commands are replicated by Raft and applied by `operation_transitions.py` to the `OperationLog`, which
holds every operation's plan and progress. A client that submitted an operation may vanish: nothing depends
on it.

All types here are stored, or sent between processes, under the field names and tags of former versions
(`rename=`, `tag=`); values of the enumerations are written out as well.
"""

from __future__ import annotations

from enum import Enum
from typing import NamedTuple

from msgspec import Struct, field
from msgspec.structs import replace

from valverouter.rollout.disruption_permits import PermitCommand

# Indices of the steps that are carried out under one permit: going out, and coming up as before.
OUTBOUND_STEP = 0
RETURN_STEP = 1


class StepId(NamedTuple):
    """Identifies a step. A supervisor begins no step that is lower than, or the same as, one it has begun."""

    permit_number: int
    step_index: int


# Of an instance that no operation has changed yet.
NO_STEP = StepId(0, 0)


class OperationKind(Enum):
    """What an operation does to its instances."""

    DRAIN = "drain"
    UNDRAIN = "undrain"
    RESTART = "restart"
    RELEASE = "release"


class OperationPhase(Enum):
    """How far an operation has come."""

    # Another operation goes first.
    QUEUED = "queued"
    RUNNING = "going"
    # A wave is back in service, and evidence for or against the release is gathered.
    EVALUATING = "watching"
    # Instances that are out come up as before, and released ones go back to their previous version.
    ROLLING_BACK = "returning"
    ENDED = "ended"


class StepStatus(Enum):
    """How far one instance has come in one operation."""

    PENDING = "waiting"
    # It has a permit. What it did under it is known only once its supervisor has reported.
    IN_PROGRESS = "out"
    # Its program does not come up as wanted, and it is out of service.
    FAILED = "failed"
    DRAINED = "drained"
    DONE = "done"
    UNREACHABLE = "not reached"
    # The operation is rolled back; this instance was released and has still to go back.
    ROLLBACK_PENDING = "to return"
    ROLLED_BACK = "returned"
    # The operation never took it out.
    SKIPPED = "left"


UNFINISHED = (StepStatus.PENDING, StepStatus.IN_PROGRESS, StepStatus.FAILED)
ACTIVE_PHASES = (OperationPhase.RUNNING, OperationPhase.EVALUATING, OperationPhase.ROLLING_BACK)


class Submit(
    Struct,
    frozen=True,
    tag="Place",
    rename={"instances": "names", "submitted_at_ms": "at", "submitted_by": "by"},
):
    """Submits an operation. `id` is the operation's own: submitted again, it is the same operation.

    `version`: the one to release, else empty. `submitted_at_ms`: wall clock, for display only.
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
    """What became of instance `name`, as its supervisor reported; `permit_number` 0: it has no permit yet."""

    operation: str
    name: str
    permit_number: int
    status: StepStatus
    reason: str = ""


class Advance(Struct, frozen=True, tag="Next", rename={"operation": "order"}):
    """The evidence lets a release go on to the wave after `wave`."""

    operation: str
    wave: int


class Cancel(
    Struct,
    frozen=True,
    tag="Stop",
    rename={"operation": "order", "reason": "why", "roll_back": "back", "cancelled_at_ms": "at"},
):
    """Ends an operation early (empty: all): no further instance goes out, and those out come in again.

    `roll_back`: instances that were released go back to their previous version as well.
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
    """A supervisor reported which version its instance runs and which ones it can start.

    `permit_number`, `step_index`: the latest step that it has begun; `up`: whether the instance is to run
    by it.
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
    """What an instance should be: its version, whether it runs, and the step that made it so.

    A step is carried out at most once, since a supervisor keeps the latest one that it has begun.
    """

    version: str
    up: bool = True
    permit_number: int = 0
    step_index: int = 0
    operation: str = ""

    @property
    def step_id(self) -> StepId:
        """The step that made it so; `NO_STEP`: the instance is as it was found."""
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
    """An instance in an operation. `permit_requests` counts the decided requests for a permit."""

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

    `evaluated_waves`: indices of the waves after which evidence is awaited. `result`, once it has ended:
    done, in part (some instances were unreachable) or halted.
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
        """Names of the instances of the wave that is under way."""
        return self.waves[self.wave_index] if self.wave_index < len(self.waves) else []

    @property
    def evaluation_stage(self) -> int:
        """How many evaluations are over."""
        return sum(wave < self.wave_index for wave in self.evaluated_waves)

    @property
    def has_ended(self) -> bool:
        """Whether nothing more will be done by it."""
        return self.phase is OperationPhase.ENDED

    @property
    def status_counts(self) -> dict[str, int]:
        """How many instances have each status, by the status's value."""
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
    """The answer to a `Submit`: the operation's waves, or why it is rejected."""

    id: str
    waves: tuple[tuple[str, ...], ...] = ()
    rejection: str = ""
