"""Replay protection: which datagram counters of each sender were seen already."""

from __future__ import annotations

from valverouter.fleet.bounded_dict import BoundedDict

# Counters behind the highest one of an incarnation that are told apart; those further back are rejected.
WINDOW_SIZE = 1_024
MAX_INCARNATIONS = 8_192


class ReplayWindow:
    """A sliding window of counters for each incarnation; the least recently active ones are evicted."""

    def __init__(self) -> None:
        """Start without any known sender."""
        # The highest counter, and a bit set of those seen: bit n is the counter n below the highest.
        self._windows: BoundedDict[int, tuple[int, int]] = BoundedDict(MAX_INCARNATIONS)

    def accept(self, incarnation: int, counter: int) -> bool:
        """Record the counter; False for one that was seen before or lies behind the window."""
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
    """The bit set after the highest counter grew by `steps`, the new one marked as seen."""
    if steps >= WINDOW_SIZE:
        return 1
    return (seen << steps | 1) & ((1 << WINDOW_SIZE) - 1)
