"""The dialogs established at one core server, and which of them its restarts have interrupted."""

from __future__ import annotations

from typing import NamedTuple

AttemptKey = tuple[str, int]


class _EstablishedDialog(NamedTuple):
    """A dialog's attempt, and the latest time at which it can have been established."""

    key: AttemptKey
    established_by: int


class EstablishedDialogs:
    """The established dialogs of one server by id, and when its process was last known to have died.

    A server's process that dies interrupts every dialog established before. A caller may report such a dialog
    only after the death, so the time of the last one is kept. All times are Unix times in nanoseconds.
    """

    def __init__(self, proxy_started_at: int) -> None:
        """`proxy_started_at`: when this proxy started; what it does not know was established earlier."""
        self._proxy_started_at = proxy_started_at
        self._dialogs: dict[str, _EstablishedDialog] = {}
        self._died_by = 0

    def __contains__(self, dialog_id: str) -> bool:
        """Whether this dialog is established."""
        return dialog_id in self._dialogs

    @property
    def has_server_died_since_our_start(self) -> bool:
        """Whether the process has died since this proxy started, and with it what is reported only later."""
        return self._proxy_started_at < self._died_by

    def add(self, key: AttemptKey, established_by: int) -> None:
        """Adds a dialog that was established at `established_by` or earlier."""
        self._dialogs[key[0]] = _EstablishedDialog(key, established_by)

    def add_reported(self, key: AttemptKey) -> None:
        """Adds a dialog that its caller reports.

        A previous incarnation of this proxy established it: the time of the report says nothing.
        """
        self.add(key, self._proxy_started_at)

    def remove(self, dialog_id: str) -> AttemptKey | None:
        """Removes a dialog that has ended and returns its key; None if it is not established."""
        removed = self._dialogs.pop(dialog_id, None)
        return removed.key if removed is not None else None

    def remove_all(self) -> frozenset[AttemptKey]:
        """Removes all dialogs and returns their keys."""
        removed, self._dialogs = self._dialogs, {}
        return frozenset(dialog.key for dialog in removed.values())

    def on_server_died(self, now: int) -> frozenset[AttemptKey]:
        """Removes all dialogs after the death of the server's process, and returns their keys."""
        self._died_by = max(self._died_by, now)
        return self.remove_all()

    def on_server_started(self, started_at: int) -> frozenset[AttemptKey]:
        """Removes the dialogs established before a newly known start of the server; returns their keys."""
        if started_at <= self._died_by:
            return frozenset()
        self._died_by = started_at
        interrupted = [dialog.key for dialog in self._dialogs.values() if dialog.established_by < started_at]
        for dialog_id, _ in interrupted:
            del self._dialogs[dialog_id]
        return frozenset(interrupted)
