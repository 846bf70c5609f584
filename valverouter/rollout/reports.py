"""What a supervisor reports to the control plane about its instance.

Sent and stored under the field names of former versions (`rename=`).
"""

from __future__ import annotations

from enum import StrEnum

from msgspec import Struct

from valverouter.rollout.disruption_limits import InstanceKind
from valverouter.rollout.operations import StepId


class StepOutcome(StrEnum):
    """What became of a step, as it is written into reports and stores."""

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
    """An instance's state and its counters of dialogs since its process started.

    - `incarnation`: of the process; 0: nothing is known of the instance.
    - `ready`: it has the server list and a server.
    - `view_health`: of its view of the fleet; empty: it keeps none.
    - `memory_bytes`: held by its process, as its supervisor sees it; 0: not known.
    - `version_label`, `pid`: the version that it was started as, and its process. By them a supervisor that
      has lost its disk finds what it had started.
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
    """What an instance is, by its supervisor's configuration.

    `capacity`: dialogs of an edge proxy, lines of a server; `processor`: a server's, in a unit that all
    share.
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
    """A supervisor's report, sent at an interval.

    - `version`: the one that runs, or that is to run.
    - `permit_number`, `step_index`: the latest step begun; `outcome` (a `StepOutcome`) and `reason` are
      that step's.
    - `unexpected_exits`: of the program, since the latest step began.
    - `is_leaving`: the machine has asked the supervisor to shut down.
    - `up`: whether the program is to run by the latest step.
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
        """The latest step begun; `NO_STEP`: none was."""
        return StepId(self.permit_number, self.step_index)
