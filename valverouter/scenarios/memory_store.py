"""An edge proxy's dialog store in memory, for runs in virtual time."""

from __future__ import annotations

from valverouter.recovery.lifecycle import DialogRecord


class MemoryDialogStore:
    """A dialog store: committed records survive the edge proxy, pending changes do not.

    `commit_fails`: commits of changes raise OSError, as on a full disk.
    """

    def __init__(self) -> None:
        self.epoch = 0
        self.committed: dict[str, DialogRecord] = {}
        self.commit_fails = False
        self._pending: dict[str, DialogRecord | None] = {}

    def begin_epoch(self, minimum: int = 0) -> int:
        """Begins the next incarnation's epoch and drops pending changes; returns the epoch."""
        self._pending.clear()
        self.epoch = max(minimum, self.epoch + 1)
        return self.epoch

    def records(self) -> list[DialogRecord]:
        """Returns all committed records."""
        return list(self.committed.values())

    def put(self, record: DialogRecord) -> None:
        """Stores a record with the next commit."""
        self._pending[record.dialog_id] = record

    def delete(self, dialog_id: str) -> None:
        """Deletes a dialog's record with the next commit."""
        self._pending[dialog_id] = None

    def commit(self) -> int:
        """Applies the pending changes and returns their number.

        Raises OSError if `commit_fails` is set; the changes are dropped then.
        """
        changes, self._pending = self._pending, {}
        if changes and self.commit_fails:
            raise OSError("no space left")
        self.committed |= {dialog_id: record for dialog_id, record in changes.items() if record is not None}
        for dialog_id in [dialog_id for dialog_id, record in changes.items() if record is None]:
            self.committed.pop(dialog_id, None)
        return len(changes)

    def clear(self) -> None:
        """Deletes all records, committed and pending."""
        self._pending.clear()
        self.committed.clear()
