"""What belongs to one run of a process: its monotonic clock in nanoseconds and its random draws."""

from __future__ import annotations

import zlib

import trio


def monotonic_ns() -> int:
    """Trio's clock in whole nanoseconds; in tests that is a virtual clock."""
    return round(trio.current_time() * 1e9)


class IncarnationRandom:
    """Draws in [0, 1) that depend on the incarnation number and the count of draws alone.

    The same incarnation draws the same sequence, so that a run in virtual time can be repeated.
    """

    def __init__(self, incarnation: int) -> None:
        """Start the sequence of the process run `incarnation`."""
        self._incarnation = incarnation
        self._draws = 0

    def draw(self) -> float:
        """Return the next number of the sequence."""
        self._draws += 1
        return zlib.crc32(b"%d/%d" % (self._incarnation, self._draws)) / 2**32
