"""A process that a supervisor started, or found running after its own restart."""

from __future__ import annotations

import os
import signal
from contextlib import suppress
from pathlib import Path

import trio

PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")
# Columns of /proc/PID/stat, counted after the command name.
STAT_STATE, STAT_START_TIME = 0, 19
# Column of /proc/PID/statm.
STATM_RESIDENT_PAGES = 1
# States in /proc/PID/stat of a process that has ended: zombie (not reaped yet) and dead.
ENDED_STATES = "ZX"


class ManagedProcess:
    """A running process, referenced by a pidfd, since the exit of a non-child can't be awaited otherwise."""

    def __init__(self, pid: int) -> None:
        """Opens the process; raises OSError if no process has this id."""
        self.pid = pid
        # Process id and start time, since the id alone may be reused by another process.
        self.identity = f"{pid} {_start_time(pid)}"
        self._pidfd = os.pidfd_open(pid)

    @classmethod
    def attach(cls, pid: int) -> ManagedProcess | None:
        """Returns the process with this id; None if there is none."""
        with suppress(OSError):
            return cls(pid)
        return None

    @classmethod
    def reattach(cls, identity: str) -> ManagedProcess | None:
        """Returns the process with this `identity`; None if it no longer runs."""
        pid, _, start_time = identity.partition(" ")
        if not pid.isdigit() or not start_time or _start_time(int(pid)) != start_time:
            return None
        return cls.attach(int(pid))

    @property
    def resident_bytes(self) -> int:
        """Returns the resident set size in bytes; 0 if it can't be read."""
        try:
            columns = Path(f"/proc/{self.pid}/statm").read_text("ascii").split()
            return int(columns[STATM_RESIDENT_PAGES]) * PAGE_BYTES
        except (OSError, IndexError, ValueError):
            return 0

    def signal(self, number: signal.Signals) -> None:
        """Sends a signal; does nothing if the process has ended."""
        with suppress(OSError):
            signal.pidfd_send_signal(self._pidfd, number)

    async def wait(self) -> None:
        """Waits until the process has ended."""
        await trio.lowlevel.wait_readable(self._pidfd)

    def close(self) -> None:
        """Closes the pidfd; the process continues to run."""
        if self._pidfd >= 0:
            os.close(self._pidfd)
            self._pidfd = -1


def _start_time(pid: int) -> str:
    """Returns the start time in clock ticks since boot; empty if the process has ended or doesn't exist."""
    try:
        stat = Path(f"/proc/{pid}/stat").read_text("ascii", "replace")
    except OSError:
        return ""
    columns = stat.rpartition(")")[2].split()
    return columns[STAT_START_TIME] if columns[STAT_STATE] not in ENDED_STATES else ""
