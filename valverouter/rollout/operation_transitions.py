"""The state machine of operations: applies committed commands to the `OperationLog`.

At most one operation that makes instances unavailable is active; the others are queued in the order in which
they were submitted. An operation that shares an instance with another open operation is rejected as a whole.

An operation runs wave by wave. For each instance of the wave a permit is requested, and the instance is
unavailable under it. The wave is complete when every instance is back in service, drained or unreachable.
Some waves of a release are followed by an evaluation, which an `Advance` ends. A `Cancel` rolls the operation
back.
"""

from __future__ import annotations

from valverouter.rollout.disruption_permits import (
    EnrollInstances,
    HaltDisruptions,
    InstanceLost,
    InstanceReturned,
    Permit,
    PermitDecision,
    RequestPermit,
)
from valverouter.rollout.operation_log import OperationLog
from valverouter.rollout.operation_planning import evaluation_waves, plan_operation
from valverouter.rollout.operations import (
    OUTBOUND_STEP,
    RETURN_STEP,
    UNFINISHED,
    Advance,
    Cancel,
    Command,
    DesiredState,
    InstanceReported,
    Operation,
    OperationKind,
    OperationPhase,
    Participant,
    Retire,
    StepId,
    StepReported,
    StepStatus,
    Submit,
    SubmitResult,
)

# Number of ended operations kept for the history; the oldest are dropped.
MAX_ENDED_OPERATIONS = 64
# Statuses of instances for which a rollback is not complete.
UNFINISHED_ROLLBACK = (StepStatus.IN_PROGRESS, StepStatus.FAILED, StepStatus.ROLLBACK_PENDING)


def apply(log: OperationLog, index: int, command: Command) -> PermitDecision | SubmitResult | None:
    """Applies the committed command at a log index; returns the answer to a `RequestPermit` or `Submit`."""
    number = index + log.permit_number_offset
    match command:
        case Submit():
            return _on_submit(log, command)
        case RequestPermit():
            return _on_permit_request(log, number, command)
        case InstanceReturned(name, permit_number):
            _on_instance_returned(log, number, name, permit_number)
        case StepReported():
            _on_step_reported(log, command)
        case Advance():
            _on_advance(log, command)
        case Cancel():
            _on_cancel(log, command)
        case InstanceReported():
            _on_instance_reported(log, number, command)
        case Retire(name):
            _on_retire(log, name)
        case InstanceLost() | EnrollInstances() | HaltDisruptions():
            log.permits.apply(number, command)
    return None


# Submission


def _on_submit(log: OperationLog, submit: Submit) -> SubmitResult:
    known = log.operations.get(submit.id)
    if known is not None:
        # A repeated submission, perhaps much later: the operation is not carried out again.
        return SubmitResult(submit.id, tuple(tuple(wave) for wave in known.waves))
    result = plan_operation(log, submit)
    if result.rejection:
        return result
    operation = log.operations[submit.id] = _new_operation(log, submit, result)
    _drop_old_operations(log)
    if operation.kind is OperationKind.UNDRAIN:
        _start_undrain(log, operation)
    _start_next(log)
    return result


def _new_operation(log: OperationLog, submit: Submit, plan: SubmitResult) -> Operation:
    return Operation(
        submit.id,
        submit.kind,
        submit.version,
        submit.submitted_at_ms,
        submit.submitted_by,
        [list(wave) for wave in plan.waves],
        {name: Participant(previous_version=log.desired_version(name)) for name in submit.instances},
        evaluation_waves(plan.waves) if submit.kind is OperationKind.RELEASE else [],
    )


def _drop_old_operations(log: OperationLog) -> None:
    ended = [operation.id for operation in log.operations.values() if operation.has_ended]
    for id_ in ended[: max(0, len(ended) - MAX_ENDED_OPERATIONS)]:
        del log.operations[id_]


def _start_undrain(log: OperationLog, operation: Operation) -> None:
    """Starts an undrain without queueing it.

    Queued behind an operation that waits for the capacity which the undrain restores, both would wait
    forever.
    """
    operation.phase = OperationPhase.RUNNING
    for name, participant in operation.participants.items():
        participant.permit_number = log.permit_number(name)
        _begin_return_step(log, operation, name, participant)


def _start_next(log: OperationLog) -> None:
    """Starts the first queued operation if none is active."""
    if log.active_operation is not None:
        return
    for operation in log.operations.values():
        if operation.phase is OperationPhase.QUEUED:
            operation.phase = OperationPhase.RUNNING
            return


# Permits and steps


def _on_permit_request(log: OperationLog, number: int, request: RequestPermit) -> PermitDecision | None:
    operation = log.operations.get(request.operation)
    participant = operation.participants.get(request.name) if operation else None
    if operation is None or participant is None:
        return log.permits.apply(number, request)
    if not _awaits_permit(operation, participant):
        # The request was proposed before the operation was cancelled and committed afterwards.
        return PermitDecision(request.id, None, f"order {operation.id} does not ask for it any more")
    decision = _decide_permit(log, number, request, operation)
    if decision.permit is not None and decision.permit.number != number:
        return decision  # a repeated request, whose permit was already used
    participant.permit_requests += 1
    if decision.permit is None:
        participant.reason = decision.rejection
        return decision
    participant.permit_number, participant.reason = number, ""
    if operation.phase is OperationPhase.ROLLING_BACK:
        _begin_return_step(log, operation, request.name, participant)
    else:
        _begin_outbound_step(log, operation, request.name, participant)
    return decision


def _awaits_permit(operation: Operation, participant: Participant) -> bool:
    if operation.phase is OperationPhase.ROLLING_BACK:
        return participant.status is StepStatus.ROLLBACK_PENDING
    return operation.phase is OperationPhase.RUNNING and participant.status is StepStatus.PENDING


def _decide_permit(
    log: OperationLog, number: int, request: RequestPermit, operation: Operation
) -> PermitDecision:
    unavailable = log.permits.unavailable
    is_lost = request.name in unavailable and unavailable[request.name] is None
    if operation.phase is OperationPhase.ROLLING_BACK and is_lost:
        # The instance is unavailable without a permit and counts against the limits already. If its request
        # were rejected for that, an instance whose new version keeps crashing could never be rolled back.
        permit = Permit(number, request.name, request.operation)
        unavailable[request.name] = permit
        return PermitDecision(request.id, permit)
    decision = log.permits.apply(number, request)
    assert decision is not None
    return decision


def _begin_outbound_step(
    log: OperationLog, operation: Operation, name: str, participant: Participant
) -> None:
    participant.status = StepStatus.IN_PROGRESS
    is_release = operation.kind is OperationKind.RELEASE
    log.desired[name] = DesiredState(
        operation.version if is_release else participant.previous_version,
        operation.kind is not OperationKind.DRAIN,
        participant.permit_number,
        OUTBOUND_STEP,
        operation.id,
    )


def _begin_return_step(log: OperationLog, operation: Operation, name: str, participant: Participant) -> None:
    """Begins the permit's second step, which starts the instance at its previous version."""
    participant.status = StepStatus.IN_PROGRESS
    log.desired[name] = DesiredState(
        participant.previous_version, True, participant.permit_number, RETURN_STEP, operation.id
    )


def _on_instance_returned(log: OperationLog, number: int, name: str, permit_number: int) -> None:
    if name not in log.permits.unavailable or log.permit_number(name) != permit_number:
        return
    desired = log.desired.get(name)
    if desired is not None and not desired.up:
        return  # a drained instance stays unavailable even if its program runs
    log.permits.apply(number, InstanceReturned(name, permit_number))
    for operation in log.open_operations:
        participant = operation.participants.get(name)
        if participant is not None and permit_number and participant.permit_number == permit_number:
            _on_participant_returned(log, operation, name, participant)


def _on_participant_returned(
    log: OperationLog, operation: Operation, name: str, participant: Participant
) -> None:
    if participant.status not in (StepStatus.IN_PROGRESS, StepStatus.FAILED):
        return
    if operation.phase is not OperationPhase.ROLLING_BACK:
        participant.status, participant.reason = StepStatus.DONE, ""
    elif (
        operation.kind is OperationKind.RELEASE and log.desired_version(name) == participant.previous_version
    ):
        participant.status = StepStatus.ROLLED_BACK
    else:
        participant.status = StepStatus.DONE
    _progress(log, operation)


def _on_step_reported(log: OperationLog, report: StepReported) -> None:
    operation = log.operations.get(report.operation)
    participant = operation.participants.get(report.name) if operation else None
    if operation is None or participant is None or operation.has_ended:
        return
    has_permit = report.permit_number != 0 and participant.permit_number == report.permit_number
    is_unavailable = has_permit and participant.status in (StepStatus.IN_PROGRESS, StepStatus.FAILED)
    if report.status is StepStatus.UNREACHABLE:
        if participant.status is StepStatus.PENDING:
            participant.status, participant.reason = StepStatus.UNREACHABLE, report.reason
    elif is_unavailable and report.status is StepStatus.FAILED:
        participant.status, participant.reason = StepStatus.FAILED, report.reason
    elif is_unavailable and report.status is StepStatus.DRAINED and not log.desired[report.name].up:
        participant.status = StepStatus.DRAINED
    _progress(log, operation)


# Progress


def _progress(log: OperationLog, operation: Operation) -> None:
    """Starts the next wave or an evaluation, or ends the operation, if the participants' statuses allow."""
    if operation.phase is OperationPhase.RUNNING:
        _progress_waves(log, operation)
    elif operation.phase is OperationPhase.ROLLING_BACK:
        statuses = {participant.status for participant in operation.participants.values()}
        if statuses.isdisjoint(UNFINISHED_ROLLBACK):
            _end(log, operation)


def _progress_waves(log: OperationLog, operation: Operation) -> None:
    """Moves to the first wave with unfinished instances, unless an evaluation or the end comes before it."""
    while all(operation.participants[name].status not in UNFINISHED for name in operation.current_wave):
        if operation.wave_index + 1 >= len(operation.waves):
            _end(log, operation)
            return
        if operation.wave_index in operation.evaluated_waves:
            operation.phase = OperationPhase.EVALUATING
            return
        operation.wave_index += 1


def _on_advance(log: OperationLog, advance: Advance) -> None:
    operation = log.operations.get(advance.operation)
    if operation is None or operation.phase is not OperationPhase.EVALUATING:
        return
    if operation.wave_index == advance.wave:
        operation.phase, operation.wave_index = OperationPhase.RUNNING, advance.wave + 1
        _progress(log, operation)


def _end(log: OperationLog, operation: Operation) -> None:
    statuses = {participant.status for participant in operation.participants.values()}
    if operation.phase is OperationPhase.ROLLING_BACK:
        operation.result = "halted"
    else:
        operation.result = "in part" if StepStatus.UNREACHABLE in statuses else "done"
    operation.phase = OperationPhase.ENDED
    _start_next(log)


# Cancellation


def _on_cancel(log: OperationLog, cancel: Cancel) -> None:
    for operation in log.open_operations:
        if cancel.operation in ("", operation.id):
            _roll_back(log, operation, cancel)
    _start_next(log)


def _roll_back(log: OperationLog, operation: Operation, cancel: Cancel) -> None:
    if operation.phase is OperationPhase.ROLLING_BACK:
        operation.roll_back = operation.roll_back or cancel.roll_back
    else:
        operation.halt_reason, operation.roll_back = cancel.reason, cancel.roll_back
    operation.phase = OperationPhase.ROLLING_BACK
    rolls_back_released = operation.kind is OperationKind.RELEASE and operation.roll_back
    for name, participant in operation.participants.items():
        if participant.status in (StepStatus.IN_PROGRESS, StepStatus.FAILED, StepStatus.DRAINED):
            _begin_return_step_if_due(log, operation, name, participant)
        elif participant.status is StepStatus.PENDING:
            participant.status = StepStatus.SKIPPED
        elif participant.status is StepStatus.DONE and rolls_back_released:
            participant.status = StepStatus.ROLLBACK_PENDING
    _progress(log, operation)


def _begin_return_step_if_due(
    log: OperationLog, operation: Operation, name: str, participant: Participant
) -> None:
    desired = log.desired.get(name)
    if desired is not None and desired.step_id < StepId(participant.permit_number, RETURN_STEP):
        _begin_return_step(log, operation, name, participant)


# Instances


def _on_instance_reported(log: OperationLog, number: int, report: InstanceReported) -> None:
    log.permit_number_offset += max(0, report.permit_number - number)
    log.available_versions[report.name] = report.available_versions
    if report.name in log.desired:
        return
    log.desired[report.name] = DesiredState(
        report.version, report.up, report.permit_number, report.step_index
    )
    if not report.up and report.permit_number:
        # Drained by a control plane whose log was lost: it stays drained until an undrain.
        log.permits.unavailable[report.name] = Permit(report.permit_number, report.name, "")


def _on_retire(log: OperationLog, name: str) -> None:
    """Removes an instance that no longer exists; operations continue without it."""
    log.permits.instances.pop(name, None)
    log.permits.unavailable.pop(name, None)
    log.desired.pop(name, None)
    log.available_versions.pop(name, None)
    for operation in log.open_operations:
        participant = operation.participants.get(name)
        if participant is not None:
            participant.status, participant.reason = StepStatus.SKIPPED, "retired"
            _progress(log, operation)
