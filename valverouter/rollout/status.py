"""The fleet's status as shown to operators: instances with their permits, and the progress of operations.

It is sent to clients and printed as JSON under the field names of earlier versions (`rename=`). All values
are of built-in types.
"""

from __future__ import annotations

from msgspec import Struct

from valverouter.rollout.control_plane_node import ControlPlaneNode
from valverouter.rollout.operation_log import OperationLog
from valverouter.rollout.operations import Operation, OperationPhase, Participant

MILLISECOND = 1_000_000
# The report age of an instance from which this leader has received no report.
NEVER_REPORTED = -1
# Requests the participants of all operations, including ended ones.
ALL_OPERATIONS = "*"


class InstanceStatus(
    Struct,
    frozen=True,
    rename={
        "kind": "sort",
        "running_version": "version",
        "desired_version": "wanted",
        "permit_number": "number",
        "operation": "order",
        "report_age_ms": "heard_ms",
        "unexpected_exits": "ends",
        "available_versions": "versions",
    },
):
    """The status of an instance.

    `state`: "in" (available), "out" or "drained" (unavailable under a permit), or "away" (unavailable without
    a permit). `running_version` and `unexpected_exits` are from its latest report, received `report_age_ms`
    ago. `permit_number` and `operation` identify the permit under which it is unavailable.
    """

    name: str
    kind: str
    region: str
    running_version: str
    desired_version: str
    state: str
    permit_number: int = 0
    operation: str = ""
    report_age_ms: int = NEVER_REPORTED
    unexpected_exits: int = 0
    available_versions: tuple[str, ...] = ()


class ParticipantStatus(
    Struct,
    frozen=True,
    rename={"status": "step", "permit_number": "number", "previous_version": "former", "reason": "why"},
):
    """The status of an instance in an operation."""

    name: str
    status: str
    permit_number: int
    previous_version: str
    reason: str


class OperationStatus(
    Struct,
    frozen=True,
    rename={
        "submitted_at_ms": "at",
        "submitted_by": "by",
        "wave_index": "wave",
        "halt_reason": "why",
        "status_counts": "counts",
        "participants": "members",
    },
):
    """The status of an operation.

    `status_counts`: number of participants by status. `participants` are listed only if the operation has not
    ended or if they were requested.
    """

    id: str
    kind: str
    version: str
    submitted_at_ms: int
    submitted_by: str
    phase: str
    wave_index: int
    waves: tuple[tuple[str, ...], ...]
    result: str
    halt_reason: str
    status_counts: dict[str, int]
    participants: tuple[ParticipantStatus, ...]


class FleetStatus(
    Struct,
    frozen=True,
    rename={
        "node": "seat",
        "halt_reason": "halted",
        "instances": "units",
        "operations": "orders",
        "compared_pairs": "pairs",
        "min_pairs": "least",
    },
):
    """The fleet's status, from node `node`, the leader in Raft term `term`.

    `members`: the nodes of the control plane. `compared_pairs`: the number of pairs that the active release's
    canary analysis has compared so far, of the required `min_pairs`; both are 0 if no evidence is collected.
    """

    node: str
    term: int
    members: tuple[str, ...]
    halt_reason: str
    instances: tuple[InstanceStatus, ...]
    operations: tuple[OperationStatus, ...]
    compared_pairs: int = 0
    min_pairs: int = 0


def fleet_status(log: OperationLog, node: ControlPlaneNode, now: int, about: str = "") -> FleetStatus:
    """Returns the status from a leader's operation log and reports. `now` in ns.

    `about`: the id of an ended operation whose participants are listed as well, or `ALL_OPERATIONS`.
    """
    pairs, min_pairs = _evidence_progress(log, node)
    return FleetStatus(
        node=node.name,
        term=node.raft.persistent.current_term,
        members=tuple(name for name, _ in node.raft.configuration.members),
        halt_reason=log.permits.halt_reason,
        instances=tuple(_instance_status(log, node, now, name) for name in sorted(log.permits.instances)),
        operations=tuple(
            _operation_status(operation, not operation.has_ended or about in (ALL_OPERATIONS, operation.id))
            for operation in log.operations.values()
        ),
        compared_pairs=pairs,
        min_pairs=min_pairs,
    )


def _evidence_progress(log: OperationLog, node: ControlPlaneNode) -> tuple[int, int]:
    active = log.active_operation
    if node.orchestrator is None or active is None:
        return 0, 0
    is_gathering = active.phase in (OperationPhase.EVALUATING, OperationPhase.RUNNING)
    return node.orchestrator.canary.progress if is_gathering else (0, 0)


def _operation_status(operation: Operation, with_participants: bool) -> OperationStatus:
    participants = operation.participants if with_participants else {}
    return OperationStatus(
        operation.id,
        operation.kind.value,
        operation.version,
        operation.submitted_at_ms,
        operation.submitted_by,
        operation.phase.value,
        operation.wave_index,
        tuple(tuple(wave) for wave in operation.waves),
        operation.result,
        operation.halt_reason,
        operation.status_counts,
        tuple(_participant_status(name, participant) for name, participant in participants.items()),
    )


def _participant_status(name: str, participant: Participant) -> ParticipantStatus:
    return ParticipantStatus(
        name,
        participant.status.value,
        participant.permit_number,
        participant.previous_version,
        participant.reason,
    )


def _instance_status(log: OperationLog, node: ControlPlaneNode, now: int, name: str) -> InstanceStatus:
    instance, permit = log.permits.instances[name], log.permits.unavailable.get(name)
    observation = node.orchestrator.readiness.observations.get(name) if node.orchestrator else None
    return InstanceStatus(
        name,
        instance.kind.value,
        instance.region,
        observation.report.version if observation else "",
        log.desired_version(name),
        _availability(log, name),
        permit.number if permit else 0,
        permit.operation if permit else "",
        (now - observation.received_at) // MILLISECOND if observation else NEVER_REPORTED,
        observation.report.unexpected_exits if observation else 0,
        log.available_versions.get(name, ()),
    )


def _availability(log: OperationLog, name: str) -> str:
    """The availability of an instance; see `InstanceStatus.state`."""
    if name not in log.permits.unavailable:
        return "in"
    if log.permits.unavailable[name] is None:
        return "away"
    return "drained" if name in log.desired and not log.desired[name].up else "out"
