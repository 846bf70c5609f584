"""A process that a supervisor started itself, or that it found running after its own restart."""

from __future__ import annotations

import os
import signal
from contextlib import suppress
from pathlib import Path

import trio

PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")
# Columns of /proc/PID/stat after the command's name, and of /proc/PID/statm.
STAT_STATE, STAT_START_TIME = 0, 19
STATM_RESIDENT_PAGES = 1
# States of a process that has ended: a zombie that nobody has waited for, and dead.
ENDED_STATES = "ZX"


class ManagedProcess:
    """A running process, held by a pidfd: nothing else tells of the end of a process that is not a child."""

    def __init__(self, pid: int) -> None:
        """Open the process; OSError where there is none of that number."""
        self.pid = pid
        # Number and start time: a number alone may belong to another process by now.
        self.identity = f"{pid} {_start_time(pid)}"
        self._pidfd = os.pidfd_open(pid)

    @classmethod
    def attach(cls, pid: int) -> ManagedProcess | None:
        """Return the process of that number, if there is one."""
        with suppress(OSError):
            return cls(pid)
        return None

    @classmethod
    def reattach(cls, identity: str) -> ManagedProcess | None:
        """Return the process of that `identity` if it still runs."""
        pid, _, start_time = identity.partition(" ")
        if not pid.isdigit() or not start_time or _start_time(int(pid)) != start_time:
            return None
        return cls.attach(int(pid))

    @property
    def resident_bytes(self) -> int:
        """Bytes of the process that are in memory; 0 where that can't be read."""
        try:
            columns = Path(f"/proc/{self.pid}/statm").read_text("ascii").split()
            return int(columns[STATM_RESIDENT_PAGES]) * PAGE_BYTES
        except (OSError, IndexError, ValueError):
            return 0

    def signal(self, number: signal.Signals) -> None:
        """Send a signal; nothing happens where the process has ended."""
        with suppress(OSError):
            signal.pidfd_send_signal(self._pidfd, number)

    async def wait(self) -> None:
        """Wait until the process has ended."""
        await trio.lowlevel.wait_readable(self._pidfd)

    def close(self) -> None:
        """Release the pidfd; the process goes on."""
        if self._pidfd >= 0:
            os.close(self._pidfd)
            self._pidfd = -1


def _start_time(pid: int) -> str:
    """When a process started, in ticks since the boot; empty where it has ended or there is none."""
    try:
        stat = Path(f"/proc/{pid}/stat").read_text("ascii", "replace")
    except OSError:
        return ""
    columns = stat.rpartition(")")[2].split()
    return columns[STAT_START_TIME] if columns[STAT_STATE] not in ENDED_STATES else ""
