"""An operation log to which tests apply commands one by one."""

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
    """An operation log with enrolled edge proxies. `number`: the index of the last applied command."""

    def __init__(self, count: int = 6, limits: DisruptionLimits = LIMITS) -> None:
        self.log = OperationLog()
        self.number = 0
        instances = tuple(
            Instance(f"e{index}", InstanceKind.EDGE, ("north", "south")[index % 2], 100)
            for index in range(count)
        )
        self.apply(EnrollInstances(instances, ((InstanceKind.EDGE, limits),)))
        for instance in instances:
            self.apply(InstanceReported(instance.name, "v1", ("v1", "v2")))

    def apply(self, command: Command) -> Any:
        self.number += 1
        return apply(self.log, self.number, command)

    def submit(self, id_: str, kind: OperationKind, *names: str, version: str = "") -> SubmitResult:
        result = self.apply(Submit(id_, kind, names, version))
        assert isinstance(result, SubmitResult)
        return result

    def request_permit(self, operation: str, name: str, attempt: int = 0) -> int:
        decision = self.apply(RequestPermit(f"{operation}/{name}/{attempt}", name, operation))
        assert isinstance(decision, PermitDecision), decision
        assert decision.permit is not None, decision
        return decision.permit.number

    def status(self, operation: str, name: str) -> StepStatus:
        return self.log.operations[operation].participants[name].status
