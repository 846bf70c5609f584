"""The agreed book as a tool is shown it: who is out and by what, orders with their progress, and what is
waited for."""

from __future__ import annotations

from msgspec import Struct

from valverouter.rollout.control_plane_node import ControlPlaneNode
from valverouter.rollout.operations import OperationLog, OperationPhase


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
    """`version`: as its keeper told it last; `wanted`: as agreed. `heard_ms`: since its last report, -1:
    never by this leader."""

    name: str
    kind: str
    region: str
    running_version: str
    desired_version: str
    state: str
    permit_number: int = 0
    operation: str = ""
    report_age_ms: int = -1
    unexpected_exits: int = 0
    available_versions: tuple[str, ...] = ()


class ParticipantStatus(
    Struct,
    frozen=True,
    rename={"status": "step", "permit_number": "number", "previous_version": "former", "reason": "why"},
):
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
    """`counts`: of members by their step; `members` where they were asked for, or the order has not ended."""

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
    """`pairs`, `least`: of a release's evidence under way, how many were looked at and are wanted."""

    node: str
    term: int
    members: tuple[str, ...]
    halt_reason: str
    instances: tuple[InstanceStatus, ...]
    operations: tuple[OperationStatus, ...]
    compared_pairs: int = 0
    min_pairs: int = 0


def fleet_status(log: OperationLog, node: ControlPlaneNode, now: int, about: str = "") -> FleetStatus:
    """`about`: an order that has ended and whose members are wanted too; * is all of them."""
    pairs, least = node.orchestrator.evidence_progress if node.orchestrator else (0, 0)
    going = log.active_operation
    watching = going is not None and going.phase in (OperationPhase.EVALUATING, OperationPhase.RUNNING)
    return FleetStatus(
        node=node.name,
        term=node.raft.persistent.current_term,
        members=tuple(name for name, _ in node.raft.configuration.members),
        halt_reason=log.permits.halt_reason,
        instances=tuple(_unit(log, node, now, name) for name in sorted(log.permits.instances)),
        operations=tuple(
            OperationStatus(
                one.id,
                one.kind.value,
                one.version,
                one.submitted_at_ms,
                one.submitted_by,
                one.phase.value,
                one.wave_index,
                tuple(tuple(wave) for wave in one.waves),
                one.result,
                one.halt_reason,
                one.status_counts,
                tuple(
                    ParticipantStatus(
                        name,
                        member.status.value,
                        member.permit_number,
                        member.previous_version,
                        member.reason,
                    )
                    for name, member in one.participants.items()
                    if one.phase is not OperationPhase.ENDED or about in ("*", one.id)
                ),
            )
            for one in log.operations.values()
        ),
        compared_pairs=pairs if watching else 0,
        min_pairs=least if watching else 0,
    )


def _unit(book: OperationLog, seat: ControlPlaneNode, now: int, name: str) -> InstanceStatus:
    unit, want = book.permits.instances[name], book.desired.get(name)
    seen = seat.orchestrator.readiness.observations.get(name) if seat.orchestrator else None
    state, number, order = "in", 0, ""
    if name in book.permits.unavailable:
        held = book.permits.unavailable[name]
        state = "out" if held else "away"
        number, order = (held.number, held.operation) if held else (0, "")
        if held and want is not None and not want.up:
            state = "drained"
    return InstanceStatus(
        name,
        unit.kind.value,
        unit.region,
        seen.report.version if seen else "",
        want.version if want else "",
        state,
        number,
        order,
        (now - seen.received_at) // 1_000_000 if seen else -1,
        seen.report.unexpected_exits if seen else 0,
        book.available_versions.get(name, ()),
    )
