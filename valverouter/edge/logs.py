"""Structured logs through structlog, as JSON lines or for a console, written to standard error by a thread.

A log that can't be written must lose only log lines. When lines were written in the event loop, a full disk
or a closed pipe raised exceptions even in the handlers of last resort and ended the process, and a reader
that stopped reading blocked every dialog. So a thread writes the lines from a queue of up to
MAX_QUEUED_BYTES. Lines that don't fit or can't be written are lost and counted; the count is logged once
writing works again.
"""

from __future__ import annotations

import atexit
import logging
import os
import sys
import threading
import time
from collections import deque

import structlog

from valverouter.config.edge import LogConfig

MAX_QUEUED_BYTES = 1024 * 1024
# Seconds before the next write after a failed one.
WRITE_RETRY_S = 0.25
# Seconds that writing the last lines may take when the log is closed.
CLOSE_TIMEOUT_S = 1.0


class LogWriter:
    """A queue of log lines for one file descriptor and the thread that writes them.

    `lost` counts the lines that were lost and not yet reported.
    """

    def __init__(self, descriptor: int, max_bytes: int = MAX_QUEUED_BYTES) -> None:
        self.lost = 0
        self._descriptor = descriptor
        self._max_bytes = max_bytes
        self._queued: deque[bytes] = deque()
        self._queued_bytes = 0
        self._is_mid_line = False
        self._changed = threading.Condition()
        self._is_closing = False
        self._thread = threading.Thread(target=self._run, name="log", daemon=True)
        self._thread.start()

    def msg(self, line: str) -> None:
        """Queues a line, or drops and counts it if the queue is full.

        structlog calls this method by the name of the line's level.
        """
        data = line.encode("utf-8", "replace") + b"\n"
        with self._changed:
            if self._queued_bytes + len(data) > self._max_bytes:
                self.lost += 1
                return
            self._queued.append(data)
            self._queued_bytes += len(data)
            self._changed.notify()

    log = debug = info = warn = warning = error = critical = fatal = exception = failure = msg

    def close(self) -> None:
        """Writes the remaining lines and ends the thread; waits at most CLOSE_TIMEOUT_S for that."""
        with self._changed:
            self._is_closing = True
            self._changed.notify()
        self._thread.join(CLOSE_TIMEOUT_S)

    def _run(self) -> None:
        while True:
            with self._changed:
                while not self._queued:
                    if self._is_closing:
                        return
                    self._changed.wait()
                lines = list(self._queued)
                self._queued.clear()
            data = b"".join(lines)
            unwritten = self._write(data)
            with self._changed:
                self._queued_bytes -= len(data)
                self.lost += unwritten.count(b"\n")
                lost = self.lost
            if unwritten:
                time.sleep(WRITE_RETRY_S)
            elif lost and not self._write(
                b'{"event": "logs-lost", "level": "warning", "lines": %d}\n' % lost
            ):
                with self._changed:
                    self.lost -= lost

    def _write(self, data: bytes) -> bytes:
        """Writes the data and returns the part that could not be written.

        If the last write ended within a line, that line is ended first.
        """
        remaining = memoryview(data)
        try:
            if self._is_mid_line:
                os.write(self._descriptor, b"\n")
                self._is_mid_line = False
            while remaining:
                remaining = remaining[os.write(self._descriptor, remaining) :]
        except OSError:
            written = data[: len(data) - len(remaining)]
            self._is_mid_line = self._is_mid_line or (bool(written) and not written.endswith(b"\n"))
        return bytes(remaining)


def configure_logging(config: LogConfig) -> None:
    """Configures structlog; every event carries its time, its level and the bound context."""
    renderer: structlog.typing.Processor = structlog.processors.JSONRenderer()
    if config.form == "console":
        renderer = structlog.dev.ConsoleRenderer(colors=sys.stderr.isatty())
    writer = LogWriter(sys.stderr.fileno())
    atexit.register(writer.close)
    structlog.configure(
        processors=[
            structlog.contextvars.merge_contextvars,
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso", utc=True),
            structlog.processors.format_exc_info,
            renderer,
        ],
        wrapper_class=structlog.make_filtering_bound_logger(
            logging.getLevelNamesMapping()[config.level.upper()]
        ),
        logger_factory=lambda *args: writer,
        cache_logger_on_first_use=True,
    )
