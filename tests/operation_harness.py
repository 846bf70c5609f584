"""An operation log that tests feed with commands one by one."""

from __future__ import annotations

from typing import Any

from valverouter.rollout.disruption_limits import DisruptionLimits, Instance, InstanceKind
from valverouter.rollout.disruption_permits import EnrollInstances, PermitDecision, RequestPermit
from valverouter.rollout.operation_log import OperationLog
from valverouter.rollout.operation_transitions import apply
from valverouter.rollout.operations import (
    Command,
    InstanceReported,
    OperationKind,
    StepStatus,
    Submit,
    SubmitResult,
)

SECOND = 10**9
LIMITS = DisruptionLimits(max_unavailable=2, max_unavailable_per_region=1)


class OperationLogHarness:
    """An operation log with enrolled edge proxies, and the index of the next command."""

    def __init__(self, count: int = 6, limits: DisruptionLimits = LIMITS) -> None:
        self.log = OperationLog()
        self.number = 0
        units = tuple(
            Instance(f"e{at}", InstanceKind.EDGE, ("north", "south")[at % 2], 100) for at in range(count)
        )
        self.apply(EnrollInstances(units, ((InstanceKind.EDGE, limits),)))
        for unit in units:
            self.apply(InstanceReported(unit.name, "v1", ("v1", "v2")))

    def apply(self, command: Command) -> Any:
        self.number += 1
        return apply(self.log, self.number, command)

    def submit(self, id_: str, kind: OperationKind, *names: str, version: str = "") -> SubmitResult:
        placed = self.apply(Submit(id_, kind, names, version))
        assert isinstance(placed, SubmitResult)
        return placed

    def request_permit(self, order: str, name: str, try_: int = 0) -> int:
        answer = self.apply(RequestPermit(f"{order}/{name}/{try_}", name, order))
        assert isinstance(answer, PermitDecision), answer
        assert answer.permit is not None, answer
        return answer.permit.number

    def status(self, order: str, name: str) -> StepStatus:
        return self.log.operations[order].participants[name].status
