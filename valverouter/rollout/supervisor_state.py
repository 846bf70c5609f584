"""The state that a supervisor stores on disk: its instance's desired state, and the steps that it has begun.

It is stored under the field names of earlier versions (`rename=`).
"""

from __future__ import annotations

from msgspec import Struct

from valverouter.rollout.operations import NO_STEP, DesiredState, StepId
from valverouter.rollout.reports import StepOutcome

# Number of steps kept, so that the outcome of an earlier step can be looked up; the oldest are dropped.
MAX_KEPT_STEPS = 64


class Step(
    Struct,
    frozen=True,
    rename={"permit_number": "number", "index": "step", "operation": "order", "reason": "why"},
):
    """A step that was begun, and its `outcome` (a `StepOutcome`)."""

    permit_number: int
    index: int
    operation: str
    outcome: str = StepOutcome.IN_PROGRESS
    reason: str = ""

    @classmethod
    def from_desired_state(
        cls, desired: DesiredState, outcome: StepOutcome = StepOutcome.IN_PROGRESS, reason: str = ""
    ) -> Step:
        """The step that brings an instance to a desired state."""
        return cls(desired.permit_number, desired.step_index, desired.operation, outcome, reason)

    @property
    def step_id(self) -> StepId:
        """Identifies the step."""
        return StepId(self.permit_number, self.index)


class SupervisorState(Struct, rename={"running_version": "running", "steps": "turns"}):
    """The stored state.

    `version`, `up`: the desired version, and whether the instance is to run. `process`: identifies the
    process that was started last, in a form that the caller chooses; `running_version`: its version. With
    these, a supervisor that was killed adopts its running program when it is restarted.
    """

    version: str
    up: bool = True
    process: str = ""
    running_version: str = ""
    steps: list[Step] = []

    @property
    def latest_step(self) -> Step | None:
        """The latest step begun."""
        return self.steps[-1] if self.steps else None

    @property
    def latest_step_id(self) -> StepId:
        """Identifies the latest step begun; `NO_STEP`: none was begun."""
        return self.steps[-1].step_id if self.steps else NO_STEP

    def add_step(self, step: Step) -> None:
        """Appends a step, and drops the oldest if there are more than `MAX_KEPT_STEPS`."""
        self.steps.append(step)
        del self.steps[:-MAX_KEPT_STEPS]
