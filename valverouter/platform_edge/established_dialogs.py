"""The dialogs established at one core server, and which of them its restarts have interrupted."""

from __future__ import annotations

AttemptKey = tuple[str, int]


class EstablishedDialogs:
    """The established dialogs of one server by id, each with the latest time at which it can have begun.

    A server's process that dies interrupts every dialog that began before. A caller may report such a dialog
    only after its death, so the time of the last one is kept. All times are Unix times in nanoseconds.
    """

    def __init__(self, proxy_started_at: int) -> None:
        """`proxy_started_at`: when this proxy started; what it does not know was established earlier."""
        self._proxy_started_at = proxy_started_at
        self._keys: dict[str, AttemptKey] = {}
        self._established_by: dict[str, int] = {}
        self._interrupted_before = 0

    def __len__(self) -> int:
        """The number of established dialogs."""
        return len(self._keys)

    def __contains__(self, dialog_id: str) -> bool:
        """Whether this dialog is established."""
        return dialog_id in self._keys

    @property
    def are_reported_ones_interrupted(self) -> bool:
        """Whether a dialog that a caller reports now has been interrupted already."""
        return self._proxy_started_at < self._interrupted_before

    def add(self, key: AttemptKey, now: int) -> None:
        """Adds a dialog whose answer was received at `now`."""
        self._add(key, now)

    def add_reported(self, key: AttemptKey) -> None:
        """Adds a dialog that its caller reports.

        A previous incarnation of this proxy established it: the time of the report says nothing.
        """
        self._add(key, self._proxy_started_at)

    def _add(self, key: AttemptKey, established_by: int) -> None:
        self._keys[key[0]] = key
        self._established_by[key[0]] = established_by

    def remove(self, dialog_id: str) -> AttemptKey | None:
        """Removes a dialog that has ended and returns its key; None if it is not established."""
        self._established_by.pop(dialog_id, None)
        return self._keys.pop(dialog_id, None)

    def remove_all(self) -> frozenset[AttemptKey]:
        """Removes all dialogs and returns their keys."""
        removed = frozenset(self._keys.values())
        self._keys.clear()
        self._established_by.clear()
        return removed

    def remove_interrupted(self, interrupted_before: int) -> frozenset[AttemptKey]:
        """Removes the dialogs that began before the server's process started or died, returns their keys."""
        self._interrupted_before = max(self._interrupted_before, interrupted_before)
        ids = [id_ for id_, since in self._established_by.items() if since < self._interrupted_before]
        for id_ in ids:
            del self._established_by[id_]
        return frozenset(self._keys.pop(id_) for id_ in ids)
