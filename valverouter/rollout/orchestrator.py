"""The orchestrator: decides which commands the control plane's leader proposes.

The commands request permits, record lost and returned instances, and advance or cancel a release. The
orchestrator does no I/O: its inputs are supervisors' reports and the operation log, its outputs are commands
to be committed. It has soft state only. After a change of leader, the new leader receives the same reports
and collects the evidence from the beginning, which delays a release and never weakens its evaluation. The
orchestrator grants no permits: the operation log does, within the limits, when a command is applied.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Iterator

from valverouter.rollout.canary import CanaryAnalysis
from valverouter.rollout.disruption_limits import Instance
from valverouter.rollout.disruption_permits import (
    EnrollInstances,
    InstanceLost,
    InstanceReturned,
    RequestPermit,
)
from valverouter.rollout.halt_conditions import HaltConditions
from valverouter.rollout.operation_log import OperationLog
from valverouter.rollout.operations import (
    Cancel,
    Command,
    DesiredState,
    InstanceReported,
    Operation,
    OperationPhase,
    StepReported,
    StepStatus,
)
from valverouter.rollout.orchestrator_config import SECOND, OrchestratorConfig
from valverouter.rollout.readiness import ReadinessTracker
from valverouter.rollout.reports import StepOutcome, SupervisorReport

# A rollback moves at most one in this many of the operation's instances back at a time.
ROLLBACK_FRACTION = 4


class Orchestrator:
    """Runs the operations while its node is the leader."""

    # Simulations replace it to compare other rules.
    analysis_class: type[CanaryAnalysis] = CanaryAnalysis

    def __init__(self, config: OrchestratorConfig, draw: Callable[[], float], now: int) -> None:
        """`draw` returns random numbers in [0, 1). `now` in ns."""
        self.config = config
        self.readiness = ReadinessTracker(now)
        self.canary = self.analysis_class(config, self.readiness, draw)
        self.halt_conditions = HaltConditions(config, self.readiness)
        self._permit_requested_at: dict[str, int] = {}

    def record_report(self, now: int, report: SupervisorReport, made_after: int) -> None:
        """Records a report, which was made no earlier than `made_after` (ns, this node's clock)."""
        self.readiness.record_report(now, report, made_after)

    def next_commands(self, now: int, log: OperationLog) -> list[Command]:
        """Returns the commands to propose. The log must include all commands that were proposed before."""
        enrollment = [*self._enroll_limits(log), *self._enroll_instances(log)]
        if enrollment:
            return enrollment
        commands = [*self._availability_changes(now, log)]
        for undrain in log.active_undrains:
            for name in undrain.participants:
                commands += self._step_outcome(log, undrain, name)
        operation = log.active_operation
        if operation is not None:
            commands += self._run(now, log, operation)
        return commands

    # Enrollment and availability

    def _enroll_limits(self, log: OperationLog) -> Iterator[Command]:
        limits = tuple(self.config.limits.items())
        if any(log.permits.limits.get(kind) != kind_limits for kind, kind_limits in limits):
            yield EnrollInstances((), limits)

    def _enroll_instances(self, log: OperationLog) -> Iterator[Command]:
        for name, observation in self.readiness.observations.items():
            report, info = observation.report, observation.report.info
            instance = Instance(name, info.kind, info.region, info.capacity, info.processor)
            if instance != log.permits.instances.get(name):
                yield EnrollInstances((instance,))
            versions = info.available_versions
            if name not in log.desired or log.available_versions.get(name) != versions:
                yield InstanceReported(
                    name, report.version, versions, report.permit_number, report.step_index, report.up
                )

    def _availability_changes(self, now: int, log: OperationLog) -> Iterator[Command]:
        """Yields the instances that were lost without a permit, and those that returned to service.

        An instance is lost if its reports stop, or say that it is not running or is shutting down. It has
        returned only when its reports show that it is ready.
        """
        for name in log.permits.instances:
            if name not in log.permits.unavailable:
                if self._is_lost(name, now):
                    yield InstanceLost(name)
                continue
            desired = log.desired.get(name)
            if desired is not None and self.readiness.is_ready(
                name, desired, now, log.permits.unavailable.__contains__
            ):
                yield InstanceReturned(name, log.permit_number(name))

    def _is_lost(self, name: str, now: int) -> bool:
        if self.readiness.time_since_report(name, now) > self.config.lost_after:
            return True
        if not self.readiness.has_fresh_report(name, now):
            return False
        report = self.readiness.observations[name].report
        return not report.is_running or report.is_leaving

    # The active operation

    def _run(self, now: int, log: OperationLog, operation: Operation) -> list[Command]:
        if operation.phase is OperationPhase.ROLLING_BACK:
            return [*self._continue_rollback(now, log, operation)]
        reason = self.halt_conditions.find(now, log, operation, self.canary.window)
        if reason:
            return [Cancel(operation.id, reason)]
        is_settled = self.halt_conditions.view_is_settled
        evaluation = self.canary.evaluate(now, log, operation, is_settled)
        if operation.phase is OperationPhase.EVALUATING:
            return evaluation
        cancellations: list[Command] = [command for command in evaluation if isinstance(command, Cancel)]
        return cancellations or [*self._continue_wave(now, log, operation, is_settled)]

    def _continue_wave(
        self, now: int, log: OperationLog, operation: Operation, is_settled: bool
    ) -> Iterator[Command]:
        for name in operation.current_wave:
            if operation.participants[name].status is not StepStatus.PENDING:
                yield from self._step_outcome(log, operation, name)
                continue
            silence = self.readiness.time_since_report(name, now)
            if silence > self.config.unreachable_after:
                reason = f"silent for {silence // SECOND} s"
                yield StepReported(operation.id, name, 0, StepStatus.UNREACHABLE, reason)
            elif is_settled and self.readiness.has_fresh_report(name, now):
                yield from self._request_permit(now, operation, name)

    def _continue_rollback(self, now: int, log: OperationLog, operation: Operation) -> Iterator[Command]:
        """Requests permits to move released instances back to their previous version, a group at a time.

        Unavailable instances return under the permits that they have. A rejected request is repeated.
        """
        unavailable = _with_status(operation, (StepStatus.IN_PROGRESS, StepStatus.FAILED))
        pending = _with_status(operation, (StepStatus.ROLLBACK_PENDING,))
        for name in unavailable:
            yield from self._step_outcome(log, operation, name)
        # Unavailable instances first: rolling them back takes no capacity away.
        pending.sort(key=lambda name: (name not in log.permits.unavailable, name))
        group_size = max(1, len(operation.participants) // ROLLBACK_FRACTION)
        for name in pending[: max(0, group_size - len(unavailable))]:
            if self.readiness.has_fresh_report(name, now):
                yield from self._request_permit(now, operation, name)

    def _request_permit(self, now: int, operation: Operation, name: str) -> Iterator[Command]:
        requests = operation.participants[name].permit_requests
        since_last = now - self._permit_requested_at.get(name, 0)
        if requests and since_last < self.config.permit_retry_interval:
            return
        self._permit_requested_at[name] = now
        # The id is part of the replicated state, and a repetition of this request has the same id.
        direction = "/back" if operation.phase is OperationPhase.ROLLING_BACK else ""
        yield RequestPermit(f"{operation.id}/{name}{direction}/{requests}", name, operation.id)

    def _step_outcome(self, log: OperationLog, operation: Operation, name: str) -> Iterator[Command]:
        """Yields the outcome of the desired step if the supervisor reported it.

        A missing report is not an outcome.
        """
        participant = operation.participants[name]
        observation = self.readiness.observations.get(name)
        desired = log.desired.get(name, DesiredState(""))
        if participant.status is not StepStatus.IN_PROGRESS or observation is None:
            return
        report = observation.report
        if report.step_id != desired.step_id:
            return
        number = participant.permit_number
        if report.outcome == StepOutcome.FAILED:
            yield StepReported(operation.id, name, number, StepStatus.FAILED, report.reason)
        elif report.outcome == StepOutcome.DONE and not desired.up:
            yield StepReported(operation.id, name, number, StepStatus.DRAINED)


def _with_status(operation: Operation, statuses: Iterable[StepStatus]) -> list[str]:
    wanted = set(statuses)
    return [name for name, participant in operation.participants.items() if participant.status in wanted]
