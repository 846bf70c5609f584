"""Replay protection by the datagram counters received from each sender."""

from __future__ import annotations

from valverouter.fleet.bounded_dict import BoundedDict

# Number of counters up to an incarnation's highest one that are tracked; older ones are rejected.
WINDOW_SIZE = 1_024
# Number of incarnations that are tracked; the least recently active ones are evicted.
MAX_INCARNATIONS = 8_192


class ReplayWindow:
    """Keeps a sliding window of received counters for each incarnation."""

    def __init__(self) -> None:
        """Creates a window without known senders."""
        # The highest counter, and a bit set of received counters: bit n is the counter n below the highest.
        self._windows: BoundedDict[int, tuple[int, int]] = BoundedDict(MAX_INCARNATIONS)

    def accept(self, incarnation: int, counter: int) -> bool:
        """Records the counter; returns False if it was already received or is older than the window."""
        window = self._windows.pop(incarnation, None)
        if window is None:
            self._windows[incarnation] = counter, 1
            return True
        highest, seen = window
        if counter > highest:
            self._windows[incarnation] = counter, _shift_window(seen, counter - highest)
            return True
        age = highest - counter
        is_new = age < WINDOW_SIZE and not seen >> age & 1
        self._windows[incarnation] = highest, seen | 1 << age if is_new else seen
        return is_new


def _shift_window(seen: int, steps: int) -> int:
    """Returns the bit set after the highest counter has increased by `steps`, with the new one set."""
    if steps >= WINDOW_SIZE:
        return 1
    return (seen << steps | 1) & ((1 << WINDOW_SIZE) - 1)
