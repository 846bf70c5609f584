"""Call legs at a server, and their timers."""

from __future__ import annotations

import heapq
from dataclasses import dataclass
from enum import Enum, auto
from typing import NamedTuple

from valverouter.servermodel.events import LegKey


class LegStage(Enum):
    """The stages of an open leg; a closed leg is removed."""

    QUEUED = auto()
    RINGING = auto()
    ESTABLISHED = auto()
    ENDING = auto()


@dataclass(slots=True)
class Leg:
    """A leg at a server; `duration`: the duration of its dialog once established, ns.

    `serial` distinguishes it from an earlier leg with the same key, whose jobs and timers may still be
    queued.
    """

    number: int
    duration: int
    serial: int
    stage: LegStage = LegStage.QUEUED
    holds_line: bool = False
    was_established: bool = False
    retransmissions: int = 0


class TimerKind(Enum):
    """The action that is due when a leg's timer expires."""

    ANSWER = auto()
    HANG_UP = auto()
    RETRANSMIT = auto()


class Timer(NamedTuple):
    """A timer of a leg; timers with the same time expire in the order in which they were set."""

    at: int
    order: int
    kind: TimerKind
    key: LegKey
    leg_serial: int


class TimerQueue:
    """The timers of all legs of a server, by time. Timers of removed legs remain until they expire."""

    def __init__(self) -> None:
        self._heap: list[Timer] = []
        self._count = 0

    @property
    def next_at(self) -> int | None:
        """The time at which the next timer expires, ns; None if there are no timers."""
        return self._heap[0].at if self._heap else None

    def set(self, at: int, kind: TimerKind, key: LegKey, leg_serial: int) -> None:
        """Adds a timer that expires at `at`, ns."""
        self._count += 1
        heapq.heappush(self._heap, Timer(at, self._count, kind, key, leg_serial))

    def pop(self) -> Timer:
        """Removes the next timer and returns it."""
        return heapq.heappop(self._heap)

    def clear(self) -> None:
        """Removes all timers."""
        self._heap.clear()
