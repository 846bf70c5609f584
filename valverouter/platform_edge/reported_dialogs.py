"""The dialogs that callers have reported as established: limited in number, fairly to each caller."""

from __future__ import annotations

from collections.abc import Hashable


class ReportedDialogs:
    """Ids of reported dialogs, by the connection that reported them.

    No message confirms a report, so a faulty caller can report any number of dialogs that no server has. At
    the limit, the connection with the most reports loses its oldest one: others keep theirs.
    """

    def __init__(self, capacity: int) -> None:
        """`capacity`: how many are held at most, at least 1."""
        self._capacity = capacity
        self._reporter_of: dict[str, Hashable] = {}
        self._by_reporter: dict[Hashable, dict[str, None]] = {}

    def __contains__(self, dialog_id: str) -> bool:
        """Whether this dialog was reported and has not ended."""
        return dialog_id in self._reporter_of

    def __len__(self) -> int:
        """The number of reported dialogs."""
        return len(self._reporter_of)

    def add(self, reporter: Hashable, dialog_id: str) -> str | None:
        """Adds a dialog that is not held yet; returns the id of one that has to be ended for it, or None."""
        self._reporter_of[dialog_id] = reporter
        self._by_reporter.setdefault(reporter, {})[dialog_id] = None
        if len(self._reporter_of) <= self._capacity:
            return None
        most = max(self._by_reporter.values(), key=len)
        evicted = next(iter(most))
        self.discard(evicted)
        return evicted

    def discard(self, dialog_id: str) -> None:
        """Removes a dialog that has ended, if it was reported."""
        reporter = self._reporter_of.pop(dialog_id, None)
        if reporter is None:
            return
        reported = self._by_reporter[reporter]
        del reported[dialog_id]
        if not reported:
            del self._by_reporter[reporter]
