"""Log events for the progress of operations, as applied by one raft server."""

from __future__ import annotations

from typing import Any

from valverouter.rollout.operations import Operation


class OperationEventLogger:
    """Logs an operation whenever its phase, wave, result or halt reason changes."""

    def __init__(self, logger: Any) -> None:
        """`logger` is a structlog logger that is bound to the server's name."""
        self._log = logger
        self._logged: dict[str, tuple[str, int, str, str]] = {}

    def log_changes(self, operations: dict[str, Operation]) -> None:
        """Logs the operations, given by id, that have changed since the last call."""
        for removed in self._logged.keys() - operations.keys():
            del self._logged[removed]
        for operation in operations.values():
            progress = operation.phase.value, operation.wave_index, operation.result, operation.halt_reason
            if self._logged.get(operation.id) != progress:
                self._logged[operation.id] = progress
                self._log_progress(operation)

    def _log_progress(self, operation: Operation) -> None:
        level = self._log.warning if operation.halt_reason else self._log.info
        level(
            "operation-changed",
            order=operation.id,
            kind=operation.kind.value,
            phase=operation.phase.value,
            wave=operation.wave_index,
            result=operation.result,
            why=operation.halt_reason,
            **{f"members_{step.replace(' ', '_')}": count for step, count in operation.status_counts.items()},
        )
