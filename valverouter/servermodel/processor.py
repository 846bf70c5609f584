"""The processor of a server: it processes one job at a time, while the others wait in a queue."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum, auto

from valverouter.servermodel.events import LegKey, ServerCounters

# Minimum interval between two measurements of the utilization, ns.
UTILIZATION_INTERVAL = 100_000_000


class WorkKind(Enum):
    """The kinds of jobs."""

    SETUP = auto()
    ANSWER = auto()
    RELEASE = auto()
    REJECT = auto()
    RETRANSMIT = auto()


# Jobs of these kinds are queued ahead of DEFERRED_KINDS if the server prioritizes set-ups, and are dropped
# with a cancelled leg if the server drops cancelled set-ups.
SETUP_KINDS = (WorkKind.SETUP, WorkKind.RETRANSMIT)
DEFERRED_KINDS = (WorkKind.ANSWER, WorkKind.RELEASE)


@dataclass(slots=True)
class Job:
    """Work for a leg (`key` and its serial), or without a leg; `cost`: processor time at full speed, ns."""

    kind: WorkKind
    key: LegKey | None
    cost: int
    leg_serial: int = 0


class Processor:
    """Processes jobs in queue order.

    `speed` returns the speed at a time as a fraction of full speed; a job runs at the speed of its start
    time. `is_obsolete` returns whether a queued job is dropped instead of started. A hung processor keeps its
    current job and continues it afterwards.
    """

    def __init__(
        self,
        counters: ServerCounters,
        speed: Callable[[int], float],
        is_obsolete: Callable[[Job], bool],
        prioritizes_setups: bool,
    ) -> None:
        self.is_hung = False
        self._counters = counters
        self._speed = speed
        self._is_obsolete = is_obsolete
        self._prioritizes_setups = prioritizes_setups
        self._queue: deque[Job] = deque()
        self._queued_work = 0
        self._current: Job | None = None
        self._finishes_at = 0
        # Remaining time of the current job when it started, or when the processor last hung, ns.
        self._remaining = 0
        self._measured_at = 0
        self._busy_time = 0
        self._utilization = 0.0

    @property
    def finishes_at(self) -> int | None:
        """The time at which the current job is done, ns; None if there is none, or the processor is hung."""
        return None if self._current is None or self.is_hung else self._finishes_at

    @property
    def queued_setups(self) -> int:
        """The number of set-ups in the queue."""
        return sum(job.kind is WorkKind.SETUP for job in self._queue)

    def queue_delay(self, now: int) -> int:
        """Returns how long a set-up that arrives now would wait until it is started, ns."""
        return self._time_left(now) + int(self._queued_work / self._speed(now))

    def _time_left(self, now: int) -> int:
        if self.is_hung:
            return self._remaining
        return max(0, self._finishes_at - now) if self._current else 0

    def enqueue(self, now: int, job: Job, at_front: bool = False) -> None:
        """Queues a job and starts it if the processor is idle."""
        if at_front:
            self._queue.appendleft(job)
        elif self._prioritizes_setups and job.kind in SETUP_KINDS:
            self._enqueue_ahead_of_deferred(job)
        else:
            self._queue.append(job)
        self._queued_work += job.cost
        self.start_next(now)

    def _enqueue_ahead_of_deferred(self, job: Job) -> None:
        deferred: list[Job] = []
        while self._queue and self._queue[-1].kind in DEFERRED_KINDS:
            deferred.append(self._queue.pop())
        self._queue.append(job)
        self._queue.extend(reversed(deferred))

    def start_next(self, now: int) -> None:
        """Starts the next job that is not obsolete, unless the processor is busy."""
        if self._current is not None:
            return
        while self._queue:
            job = self._queue.popleft()
            self._queued_work -= job.cost
            if not self._is_obsolete(job):
                self._start(now, job)
                return

    def _start(self, now: int, job: Job) -> None:
        duration = int(job.cost / self._speed(now))
        self._current = job
        self._finishes_at = now + duration
        self._remaining = duration
        self._counters.work += duration
        self._busy_time += duration

    def take_finished(self) -> Job:
        """Removes the current job, which must be done, and returns it."""
        job, self._current = self._current, None
        assert job is not None
        return job

    def set_hung(self, now: int, is_hung: bool) -> None:
        """Suspends the current job, or continues it."""
        if is_hung and not self.is_hung:
            self._remaining = max(0, self._finishes_at - now)
        elif self.is_hung and not is_hung:
            self._finishes_at = now + self._remaining
        self.is_hung = is_hung

    def clear(self) -> None:
        """Drops the current job and the queue."""
        self._queue.clear()
        self._queued_work = 0
        self._current = None

    def utilization(self, now: int) -> float:
        """Returns the fraction of time that the processor was busy, 0 to 1, as last measured."""
        elapsed = now - self._measured_at
        if elapsed >= UTILIZATION_INTERVAL:
            ahead = max(0, self._finishes_at - now) if self._current else 0
            self._utilization = min(1.0, max(0.0, (self._busy_time - ahead) / elapsed))
            self._measured_at, self._busy_time = now, ahead
        return self._utilization
