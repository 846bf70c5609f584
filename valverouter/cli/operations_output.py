"""The output of the commands for operations."""

from __future__ import annotations

from collections import Counter
from collections.abc import Sequence
from datetime import UTC, datetime

from rich.table import Table

from valverouter.cli.command_support import console
from valverouter.rollout.operations import Submit, SubmitResult
from valverouter.rollout.status import FleetStatus, InstanceStatus, OperationStatus

MS_PER_S = 1_000
# Participants with one of these statuses are shown with the reason for it.
EXPLAINED_STATUSES = ("waiting", "failed", "to return")


def print_status(status: FleetStatus) -> None:
    """Prints the raft leader, instances by state, instances in an unusual state, and open operations."""
    members = ", ".join(status.members)
    console.print(f"{status.node} leads in term {status.term}; council: {members}", highlight=False)
    if status.halt_reason:
        console.print(f"halted: {status.halt_reason}", highlight=False, soft_wrap=True)
    states = Counter((instance.kind, instance.state) for instance in status.instances)
    for (kind, state), count in sorted(states.items()):
        console.print(f"{count} {kind} {state}", highlight=False)
    _print_instances([instance for instance in status.instances if _is_notable(instance)])
    for operation in status.operations:
        if operation.phase != "ended":
            _print_open_operation(operation)


def print_history(operations: Sequence[OperationStatus], with_participants: bool) -> None:
    """Prints a table of operations; `with_participants` adds the outcome for each one's instances."""
    table = _table("order", "kind", "placed", "end", "instances")
    for operation in operations:
        table.add_row(
            operation.id,
            operation.kind,
            _date(operation.submitted_at_ms),
            operation.result or operation.phase,
            _status_counts(operation),
        )
    console.print(table, highlight=False)
    for operation in operations if with_participants else ():
        print_halt_reason(operation)
        print_participants(operation)


def print_halt_reason(operation: OperationStatus) -> None:
    """Prints why an operation was halted, if it was."""
    if operation.halt_reason:
        console.print(f"halted: {operation.halt_reason}", highlight=False, soft_wrap=True)


def print_participants(operation: OperationStatus) -> None:
    """Prints a table of an operation's participants with their status, permit and reason."""
    table = _table("instance", "step", "permit", "why")
    for participant in operation.participants:
        permit = str(participant.permit_number or "")
        table.add_row(participant.name, participant.status, permit, participant.reason)
    console.print(table, highlight=False)


def print_waves(status: FleetStatus, operation: Submit, plan: SubmitResult) -> None:
    """Prints the instances of each wave, and how many instances of its region stay in service."""
    by_name = {instance.name: instance for instance in status.instances}
    kind = by_name[operation.instances[0]].kind
    sizes = Counter(instance.region for instance in status.instances if instance.kind == kind)
    table = _table("wave", "region", "out", "stay there")
    for number, wave in enumerate(plan.waves, 1):
        region = by_name[wave[0]].region
        stay = f"{sizes[region] - len(wave)} of {sizes[region]}"
        table.add_row(str(number), region, ", ".join(wave), stay)
    console.print(table, highlight=False)


def describe_progress(status: FleetStatus, operation: OperationStatus) -> str:
    """Formats an operation's phase, wave and participants as one line.

    While a wave is being evaluated, the number of compared pairs is included.
    """
    line = f"{operation.phase}, {_wave(operation)}: {_status_counts(operation)}"
    if status.min_pairs and operation.phase == "watching":
        line += f"; evidence: {status.compared_pairs} pairs, {status.min_pairs} at least"
    return line


def _print_instances(instances: Sequence[InstanceStatus]) -> None:
    if not instances:
        return
    table = _table("instance", "region", "state", "runs", "wanted", "by")
    for instance in instances:
        permit = f"{instance.operation} ({instance.permit_number})" if instance.permit_number else ""
        table.add_row(
            instance.name,
            instance.region,
            instance.state,
            instance.running_version,
            instance.desired_version,
            permit,
        )
    console.print(table, highlight=False)


def _is_notable(instance: InstanceStatus) -> bool:
    return instance.state != "in" or instance.running_version not in ("", instance.desired_version)


def _print_open_operation(operation: OperationStatus) -> None:
    heading = f"{operation.id}: {operation.kind} {operation.version}".rstrip()
    line = f"{heading}, {operation.phase}, {_wave(operation)}: {_status_counts(operation)}"
    console.print(line, highlight=False, soft_wrap=True)
    if operation.halt_reason:
        console.print(f"  halted: {operation.halt_reason}", highlight=False, soft_wrap=True)
    for participant in operation.participants:
        if participant.reason and participant.status in EXPLAINED_STATUSES:
            console.print(f"  {participant.name}: {participant.reason}", highlight=False, soft_wrap=True)


def _table(*headings: str) -> Table:
    table = Table(box=None, pad_edge=False)
    for heading in headings:
        table.add_column(heading, overflow="fold")
    return table


def _date(ms: int) -> str:
    return f"{datetime.fromtimestamp(ms / MS_PER_S, UTC):%m-%d %H:%M:%S}" if ms else ""


def _status_counts(operation: OperationStatus) -> str:
    return ", ".join(f"{count} {status}" for status, count in operation.status_counts.items())


def _wave(operation: OperationStatus) -> str:
    return f"wave {operation.wave_index + 1} of {len(operation.waves)}"
