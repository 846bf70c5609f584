"""The reports that a supervisor sends to the control plane about its instance.

They are sent and stored under the field names of earlier versions (`rename=`).
"""

from __future__ import annotations

from enum import StrEnum

from msgspec import Struct

from valverouter.rollout.disruption_limits import InstanceKind
from valverouter.rollout.operations import StepId


class StepOutcome(StrEnum):
    """The outcome of a step, as written to reports and stores."""

    IN_PROGRESS = ""
    DONE = "done"
    FAILED = "failed"


class InstanceCounters(
    Struct,
    frozen=True,
    rename={
        "incarnation": "life",
        "accepted": "taken",
        "rejected": "declined",
        "view_health": "trust",
        "memory_bytes": "memory",
        "version_label": "label",
        "pid": "process",
    },
):
    """An instance's state, and its dialog counters since its process started.

    - `incarnation`: the incarnation of the process; 0: the state of the instance is unknown.
    - `ready`: whether it has the endpoint list and a server.
    - `view_health`: the health of its membership view; empty: it has no view.
    - `memory_bytes`: memory used by its process, as measured by its supervisor; 0: unknown.
    - `version_label`, `pid`: the version that it was started as, and its process id. A supervisor that has
      lost its disk uses them to find the process that it had started.
    """

    incarnation: int = 0
    serving: bool = False
    ready: bool = False
    accepted: int = 0
    rejected: int = 0
    lost: int = 0
    late: int = 0
    view_health: str = ""
    memory_bytes: int = 0
    version_label: str = ""
    pid: int = 0


class InstanceInfo(Struct, frozen=True, rename={"kind": "sort", "available_versions": "versions"}):
    """The static properties of an instance, from its supervisor's configuration.

    `capacity`: the number of dialogs of an edge proxy or of lines of a server. `processor`: a server's
    processor power, in the same unit for all servers.
    """

    name: str
    kind: InstanceKind = InstanceKind.EDGE
    region: str = ""
    capacity: int = 0
    processor: float = 0.0
    available_versions: tuple[str, ...] = ()


class SupervisorReport(
    Struct,
    frozen=True,
    rename={
        "info": "facts",
        "is_running": "runs",
        "permit_number": "number",
        "step_index": "step",
        "reason": "why",
        "unexpected_exits": "ends",
        "is_leaving": "leaving",
        "counters": "counts",
    },
):
    """A supervisor's report, sent periodically.

    - `version`: the version that is running; if none is, the version to start.
    - `permit_number`, `step_index`: identify the latest step begun; `outcome` (a `StepOutcome`) and `reason`
      are the outcome of that step and its reason.
    - `unexpected_exits`: number of unexpected exits of the program since the latest step began.
    - `is_leaving`: whether the supervisor is shutting down at the request of its machine.
    - `up`: whether the program is to run after the latest step.
    """

    info: InstanceInfo
    version: str
    is_running: bool
    permit_number: int = 0
    step_index: int = 0
    outcome: str = StepOutcome.IN_PROGRESS
    reason: str = ""
    unexpected_exits: int = 0
    is_leaving: bool = False
    up: bool = True
    counters: InstanceCounters = InstanceCounters()

    @property
    def step_id(self) -> StepId:
        """Identifies the latest step begun; `NO_STEP`: none was begun."""
        return StepId(self.permit_number, self.step_index)
