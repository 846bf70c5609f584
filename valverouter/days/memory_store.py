"""A dialog store in memory, for edge proxies in virtual time."""

from __future__ import annotations

from valverouter.recovery.lifecycle import DialogRecord


class MemoryStore:
    """The dialog store of an edge proxy in memory: committed records outlive its process, others do not.

    `kept`: the committed records by dialog. `fails`: the next commits of anything raise OSError.
    """

    def __init__(self) -> None:
        self.epoch = 0
        self.kept: dict[str, DialogRecord] = {}
        self.fails = False
        self._puts: dict[str, DialogRecord | None] = {}

    def begin_epoch(self, minimum: int = 0) -> int:
        """A process starts; the number of its epoch, at least `minimum`."""
        self._puts.clear()
        self.epoch = max(minimum, self.epoch + 1)
        return self.epoch

    def records(self) -> list[DialogRecord]:
        """All committed records."""
        return list(self.kept.values())

    def put(self, record: DialogRecord) -> None:
        """Writes a record with the next commit."""
        self._puts[record.dialog_id] = record

    def delete(self, dialog: str) -> None:
        """Deletes a record with the next commit."""
        self._puts[dialog] = None

    def commit(self) -> int:
        """Commits what was written and deleted; how many records that were."""
        puts, self._puts = self._puts, {}
        if puts and self.fails:
            raise OSError("no space left")
        self.kept |= {dialog: record for dialog, record in puts.items() if record is not None}
        for dialog in [dialog for dialog, record in puts.items() if record is None]:
            self.kept.pop(dialog, None)
        return len(puts)

    def clear(self) -> None:
        """Loses everything."""
        self._puts.clear()
        self.kept.clear()
