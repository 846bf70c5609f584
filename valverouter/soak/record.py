"""What a course saw at its own ends of the sockets. Times are whole nanoseconds of one monotonic clock."""

from __future__ import annotations

from dataclasses import dataclass, field


@dataclass(slots=True)
class SetupRecord:
    """One set-up of a caller.

    `sent_at`: its last byte was written. `answers`: the moments and causes of what closed or established it;
    cause -1 is an answer. `connection_ended_at`: when the connection that it came on ended, 0: it did not.
    """

    id: str
    process: int
    sent_at: int
    time_left: int
    cancelled_at: int = 0
    answers: list[tuple[int, int]] = field(default_factory=list)
    connection_ended_at: int = 0


@dataclass(slots=True)
class ProcessRecord:
    """One process of the edge proxy: its signals, its end, and what it held.

    `killed_at` 0: it ended by itself, with `exit_code`, at `ended_at`. `descriptors` and `memory_kib` are
    read just before the first signal to stop.
    """

    number: int
    stopped_at: int = 0
    killed_at: int = 0
    ended_at: int = 0
    exit_code: int = 0
    descriptors: int = 0
    memory_kib: int = 0
    log_problems: list[str] = field(default_factory=list)


@dataclass(slots=True)
class RunRecord:
    """All of one course. `driver_lag`: the longest that the soak's own loop stood still."""

    setups: list[SetupRecord] = field(default_factory=list)
    processes: list[ProcessRecord] = field(default_factory=list)
    # The last hangup with a whole file before the stop, and when the address that it names was asked.
    sighup_at: int = 0
    sighup_applied_at: int = 0
    loop_lag: int = 0
