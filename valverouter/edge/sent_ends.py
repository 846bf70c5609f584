"""The ends of established dialogs that were sent to their callers, for callers that did not receive them."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class SentEnd:
    """The end of a dialog as sent to its caller; `ended_at` is in nanoseconds."""

    caller: str
    server: str
    reason: str
    ended_at: int


class SentEnds:
    """The ends of the last `lifetime` nanoseconds by dialog id, at most `capacity`.

    A connection may be lost before its caller has received an end that was sent on it. The caller then
    resumes the dialog; if that was answered Unknown, it would dial again.
    """

    def __init__(self, lifetime: int, capacity: int) -> None:
        """`lifetime`: how long after the loss of its connection a caller may resume its dialogs."""
        self._lifetime = lifetime
        self._capacity = capacity
        self._ends: dict[str, SentEnd] = {}

    def __len__(self) -> int:
        """The number of ends held."""
        return len(self._ends)

    def add(self, dialog_id: str, end: SentEnd) -> None:
        """Adds the end of a dialog; removes those that have expired, or the oldest above the capacity."""
        self._ends.pop(dialog_id, None)
        self._ends[dialog_id] = end
        while True:
            oldest = next(iter(self._ends))
            is_expired = self._ends[oldest].ended_at + self._lifetime < end.ended_at
            if not is_expired and len(self._ends) <= self._capacity:
                return
            del self._ends[oldest]

    def find(self, dialog_id: str, caller: str, now: int) -> SentEnd | None:
        """Returns the end of this caller's dialog; None if there is none, or it has expired."""
        end = self._ends.get(dialog_id)
        if end is None or end.caller != caller or end.ended_at + self._lifetime < now:
            return None
        return end
