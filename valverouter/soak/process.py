"""An edge proxy process of a soak run: its start, signals, log and exit."""

from __future__ import annotations

import os
import signal
import subprocess
import sys
import time
from pathlib import Path

import msgspec
import trio

from valverouter.soak.record import ProcessRecord

READ_SIZE = 65_536
# Log events that must not occur in any run, whatever the peers do.
FORBIDDEN_EVENTS = frozenset(("event-handling-failed", "decision-failed", "connection-failed"))


class _LogLine(msgspec.Struct):
    event: str = ""
    level: str = ""
    address: str = ""


def log_problem(line: bytes) -> str:
    """Returns the problem that a line of an edge proxy's log shows; empty if none."""
    try:
        parsed = msgspec.json.decode(line, type=_LogLine)
    except msgspec.DecodeError:
        return f"not a log line: {line[:200].decode(errors='replace')}"
    if parsed.event in FORBIDDEN_EVENTS or parsed.level == "critical":
        return f"logged {line[:400].decode(errors='replace')}"
    return ""


class StartFailedError(RuntimeError):
    """The process exited before it listened; its log shows why."""


class EdgeProcess:
    """One edge proxy process. `address` is set once it listens."""

    def __init__(self, record: ProcessRecord, log_file: Path) -> None:
        self.record = record
        self.address = ""
        self._log_file = log_file
        self._listening = trio.Event()
        self._process: trio.Process | None = None

    async def run(
        self,
        command: list[str],
        environment: dict[str, str],
        task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED,
    ) -> None:
        """Runs `python` with these arguments until it exits; reports as started once it listens.

        Raises StartFailedError if it exits before.
        """
        self._process = process = await trio.lowlevel.open_process(
            [sys.executable, *command], env=os.environ | environment, stderr=subprocess.PIPE
        )
        try:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._follow_log)
                nursery.start_soon(self._wait_for_end)
                await self._listening.wait()
                if not self.address:
                    raise StartFailedError(f"the process exited before it listened; see {self._log_file}")
                task_status.started()
        finally:
            with trio.CancelScope(shield=True):
                if process.poll() is None:
                    process.kill()
                await process.wait()

    async def _wait_for_end(self) -> None:
        assert self._process is not None
        code = await self._process.wait()
        self.record.ended_at, self.record.exit_code = time.monotonic_ns(), code
        self._listening.set()

    async def _follow_log(self) -> None:
        assert self._process is not None
        assert self._process.stderr is not None
        rest = b""
        with self._log_file.open("ab") as log:
            while data := await self._process.stderr.receive_some(READ_SIZE):
                log.write(data)
                log.flush()
                *lines, rest = (rest + data).split(b"\n")
                for line in lines:
                    self._on_log_line(line)

    def _on_log_line(self, line: bytes) -> None:
        if problem := log_problem(line):
            self.record.log_problems.append(problem)
        elif (parsed := msgspec.json.decode(line, type=_LogLine)).event == "edge-listening":
            self.address = parsed.address
            self._listening.set()

    def send_signal(self, number: signal.Signals) -> None:
        """Sends a signal, unless the process has exited."""
        assert self._process is not None
        if self._process.poll() is None:
            self._process.send_signal(number)

    def record_resource_usage(self) -> None:
        """Records the number of open descriptors and the resident memory of the process."""
        assert self._process is not None
        folder = Path(f"/proc/{self._process.pid}")
        self.record.descriptors = len(os.listdir(folder / "fd"))
        status = (folder / "status").read_text()
        line = next(line for line in status.splitlines() if line.startswith("VmRSS"))
        self.record.memory_kib = int(line.split()[1])

    async def wait_or_kill(self, deadline: int) -> None:
        """Waits for the process to exit; kills it at `deadline`, in ns of the monotonic clock."""
        assert self._process is not None
        with trio.move_on_after(max(0.0, (deadline - time.monotonic_ns()) / 1e9)):
            await self._process.wait()
            return
        self.record.killed_at = time.monotonic_ns()
        self._process.kill()
        await self._process.wait()
