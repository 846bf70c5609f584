"""The replicated state of the control plane: permits, each instance's desired state, and all operations.

Only `operation_transitions.apply` changes it. The same commands in the same order give the same state on
every node; nothing in it depends on a clock or on random numbers.
"""

from __future__ import annotations

from msgspec import Struct, field

from valverouter.rollout.disruption_permits import PermitRegister
from valverouter.rollout.operations import ACTIVE_PHASES, DesiredState, Operation, OperationKind


class OperationLog(
    Struct,
    rename={
        "permits": "register",
        "desired": "wants",
        "available_versions": "versions",
        "operations": "orders",
        "permit_number_offset": "base",
    },
):
    """The state. Operations are in the order in which they were submitted; instances are keyed by name.

    A permit's number is the log index of its command plus `permit_number_offset`. If a control plane lost its
    log and starts with an empty one, it raises the offset, so that no permit number is reused that a
    supervisor has already seen.
    """

    permits: PermitRegister = field(default_factory=PermitRegister)
    desired: dict[str, DesiredState] = field(default_factory=dict)
    available_versions: dict[str, tuple[str, ...]] = field(default_factory=dict)
    operations: dict[str, Operation] = field(default_factory=dict)
    permit_number_offset: int = 0

    def copy(self) -> OperationLog:
        """An independent copy, for a snapshot."""
        return OperationLog(
            self.permits.copy(),
            dict(self.desired),
            dict(self.available_versions),
            {id_: operation.copy() for id_, operation in self.operations.items()},
            self.permit_number_offset,
        )

    @property
    def active_operation(self) -> Operation | None:
        """The active operation that makes instances unavailable; there is at most one."""
        for operation in self.operations.values():
            if operation.phase in ACTIVE_PHASES and operation.kind is not OperationKind.UNDRAIN:
                return operation
        return None

    @property
    def active_undrains(self) -> list[Operation]:
        """The active undrains. They make no instance unavailable, so they are not queued."""
        return [
            operation
            for operation in self.operations.values()
            if operation.kind is OperationKind.UNDRAIN and operation.phase in ACTIVE_PHASES
        ]

    @property
    def open_operations(self) -> list[Operation]:
        """Operations that have not ended."""
        return [operation for operation in self.operations.values() if not operation.has_ended]

    @property
    def drained_instances(self) -> list[str]:
        """Names of the instances that are to stay stopped until an undrain."""
        return [name for name, desired in self.desired.items() if not desired.up]

    def permit_number(self, name: str) -> int:
        """The number of the permit under which an instance is unavailable; 0: it has none."""
        permit = self.permits.unavailable.get(name)
        return permit.number if permit else 0

    def desired_version(self, name: str) -> str:
        """The version that an instance should run; empty for an unknown instance."""
        desired = self.desired.get(name)
        return desired.version if desired else ""
