"""The lines of a server, and the lines of called numbers, which all servers share."""

from __future__ import annotations

from valverouter.servermodel.events import ServerEventKind


class CalledNumbers:
    """Counts busy lines by called number.

    `capacities`: lines by number; the capacity of other numbers is unlimited. The counter of a number is
    removed with its last dialog.
    """

    def __init__(self, capacities: dict[int, int] | None = None) -> None:
        self.capacities = capacities or {}
        self._busy: dict[int, int] = {}

    def acquire(self, number: int) -> bool:
        """Occupies a line of the number; returns False if all are busy."""
        busy = self._busy.get(number, 0)
        if busy >= self.capacities.get(number, busy + 1):
            return False
        self._busy[number] = busy + 1
        return True

    def release(self, number: int) -> None:
        """Frees a line that was acquired."""
        self._busy[number] -= 1
        if not self._busy[number]:
            del self._busy[number]


class LinePool:
    """The lines of one server; `held` of them are in use. A fault reduces the usable `available_fraction`."""

    def __init__(self, installed: int, called_numbers: CalledNumbers) -> None:
        self.held = 0
        self.available_fraction = 1.0
        self._installed = installed
        self._called_numbers = called_numbers

    @property
    def available(self) -> int:
        """The number of usable lines, held or free."""
        return int(self._installed * self.available_fraction)

    @property
    def free(self) -> int:
        """The number of lines available to new dialogs."""
        return max(0, self.available - self.held)

    def acquire(self, number: int) -> ServerEventKind | None:
        """Occupies a line here and one of the called number; returns the rejection, None on success."""
        if self.held >= self.available:
            return ServerEventKind.NO_AGENT
        if not self._called_numbers.acquire(number):
            return ServerEventKind.LINE_BUSY
        self.held += 1
        return None

    def release(self, number: int) -> None:
        """Frees the line of a dialog and that of its called number."""
        self.held -= 1
        self._called_numbers.release(number)
