"""What a soak run observed at its ends of the sockets. Times are in ns of one monotonic clock."""

from __future__ import annotations

from dataclasses import dataclass, field


@dataclass(slots=True)
class SetupRecord:
    """One set-up of a caller.

    `process`: number of the edge proxy process. `sent_at`: when its last byte was written. `answers`: time
    and cause of each message that established or ended it; cause -1 for an answer. `connection_ended_at`:
    when its connection ended; 0 if it did not.
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
    """One edge proxy process: its stop signal, its exit, and its resource usage.

    `killed_at`: 0 if it exited by itself, with `exit_code`, at `ended_at`. `descriptors` and `memory_kib` are
    read just before the first stop signal.
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
    """The record of one run. `loop_lag`: the longest delay of the soak's own event loop, ns."""

    setups: list[SetupRecord] = field(default_factory=list)
    processes: list[ProcessRecord] = field(default_factory=list)
    # The last SIGHUP with a complete file before the stop signal; the first poll of that file's event bus.
    sighup_at: int = 0
    sighup_applied_at: int = 0
    loop_lag: int = 0
