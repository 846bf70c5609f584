"""The ids of dialogs that have ended recently: a set-up with one of them is a repetition."""

from __future__ import annotations

# The end of a dialog that no failure has cut.
ENDED_NORMALLY = "over"


class AnsweredIds:
    """The last `capacity` ids of dialogs that were given their final answer, cancelled or released.

    Every set-up has a new id, so a caller that repeats one of these is faulty. Without this check, each
    repetition would start another dialog in the driver. A report of one of them is not faulty: its caller may
    not have received the release.
    """

    def __init__(self, capacity: int = 2_048) -> None:
        self._capacity = capacity
        self._end_reasons: dict[str, str] = {}

    def add(self, id_: str, end_reason: str = ENDED_NORMALLY) -> None:
        """Adds an id with the reason for the dialog's end; the oldest is removed above the capacity."""
        self._end_reasons[id_] = end_reason
        if len(self._end_reasons) > self._capacity:
            del self._end_reasons[next(iter(self._end_reasons))]

    def __contains__(self, id_: str) -> bool:
        """Whether the dialog of this id was recently answered, cancelled or released."""
        return id_ in self._end_reasons

    def end_reason(self, id_: str) -> str | None:
        """Returns the reason for the end of a dialog; None if it is not one of these."""
        return self._end_reasons.get(id_)
