"""Planning of an operation: its acceptance or rejection, its waves, and its evaluations."""

from __future__ import annotations

from collections.abc import Sequence

from valverouter.rollout.disruption_limits import (
    DisruptionLimits,
    UnsatisfiableLimitsError,
    find_exceeded_limit,
    find_unsatisfiable_limits,
    plan_waves,
)
from valverouter.rollout.operation_log import OperationLog
from valverouter.rollout.operations import OperationKind, Submit, SubmitResult

# Maximum number of queued and active operations.
MAX_OPEN_OPERATIONS = 16
# Maximum number of instance names in a rejection.
MAX_LISTED_NAMES = 3
# Factor by which the number of released instances grows from one evaluation to the next.
EVALUATION_GROWTH = 3


def plan_operation(log: OperationLog, submit: Submit) -> SubmitResult:
    """Returns the waves of an operation if it were submitted now, or the reason to reject it as a whole."""
    rejection = _find_rejection(log, submit)
    if rejection:
        return SubmitResult(submit.id, rejection=rejection)
    if submit.kind is OperationKind.UNDRAIN:
        return SubmitResult(submit.id, (submit.instances,))
    instances = list(log.permits.instances.values())
    kind = log.permits.instances[submit.instances[0]].kind
    limits = log.permits.limits.get(kind)
    if limits is None:
        return SubmitResult(submit.id, rejection=f"no limits are told for {kind.plural}, so none may go out")
    problems = find_unsatisfiable_limits(limits, kind, instances)
    if problems:
        return SubmitResult(submit.id, rejection=f"by these limits: {problems[0]}")
    try:
        # Planned as if all instances were available: an unavailable one delays a wave and does not change it.
        waves = plan_waves(limits, instances, (), list(submit.instances))
        if submit.kind is OperationKind.DRAIN:
            _check_drained_together(log, limits, submit)
    except UnsatisfiableLimitsError as error:
        return SubmitResult(submit.id, rejection=str(error))
    return SubmitResult(submit.id, tuple(tuple(wave) for wave in waves))


def evaluation_waves(waves: Sequence[Sequence[str]]) -> list[int]:
    """Returns the indices of the waves of a release that are followed by an evaluation.

    The first evaluation follows the first wave, and each further one takes place when the number of released
    instances has grown by more than `EVALUATION_GROWTH`. The limits may make waves far smaller than that, and
    an evaluation after each of them would collect the same evidence repeatedly.
    """
    indices, released, next_evaluation = [], 0, 1
    for index, wave in enumerate(waves):
        released += len(wave)
        is_last = index + 1 == len(waves)
        if released >= next_evaluation and not is_last:
            indices.append(index)
            next_evaluation = EVALUATION_GROWTH * released + 1
    return indices


def _find_rejection(log: OperationLog, submit: Submit) -> str:
    """The reason to reject an operation before its waves are planned; empty: there is none."""
    return (
        _reject_instances(log, submit)
        or _reject_in_present_state(log)
        or _reject_overlap(log, submit)
        or next((reason for name in submit.instances if (reason := _reject_one(log, submit, name))), "")
    )


def _reject_instances(log: OperationLog, submit: Submit) -> str:
    known = log.permits.instances
    if not submit.instances:
        return "nobody is meant"
    for name in submit.instances:
        if name not in known:
            return f"{name} is not enrolled"
    if len({known[name].kind for name in submit.instances}) > 1:
        return "edge proxies and servers go out by orders of their own"
    return ""


def _reject_in_present_state(log: OperationLog) -> str:
    if len(log.open_operations) >= MAX_OPEN_OPERATIONS:
        return f"{MAX_OPEN_OPERATIONS} orders wait or go already"
    if log.permits.halt_reason:
        return f"halted: {log.permits.halt_reason}"
    return ""


def _reject_overlap(log: OperationLog, submit: Submit) -> str:
    for operation in log.open_operations:
        shared = sorted(set(submit.instances) & operation.participants.keys())
        if shared:
            listed = ", ".join(shared[:MAX_LISTED_NAMES])
            return f"{listed} of it: order {operation.id} is not done with them"
    return ""


def _reject_one(log: OperationLog, submit: Submit, name: str) -> str:
    """The reason why an instance can't take part, by its desired state and its available versions."""
    desired = log.desired.get(name)
    is_drained = desired is not None and not desired.up
    if submit.kind is OperationKind.RELEASE:
        if submit.version not in log.available_versions.get(name, ()):
            return f"the keeper of {name} knows no version {submit.version!r}"
        if desired is not None and desired.version == submit.version:
            return f"{name} is at {submit.version} already"
    if submit.kind is OperationKind.UNDRAIN:
        return "" if is_drained and log.permit_number(name) else f"{name} is not drained"
    return f"{name} is drained: it is brought back by undrain" if is_drained else ""


def _check_drained_together(log: OperationLog, limits: DisruptionLimits, submit: Submit) -> None:
    """Raises UnsatisfiableLimitsError unless all instances of the drain can be unavailable simultaneously.

    Instances that were drained before count as unavailable as well.
    """
    instances = list(log.permits.instances.values())
    unavailable = set(log.drained_instances)
    for name in submit.instances:
        exceeded = find_exceeded_limit(limits, instances, unavailable, log.permits.instances[name])
        if exceeded is not None:
            raise UnsatisfiableLimitsError(name, exceeded)
        unavailable.add(name)
