"""Structured logs through structlog: JSON lines or a console, on standard error.

A log must cost the router nothing but its lines. Written in the event loop, a full disk or a closed pipe
raised in the handlers of last resort and ended the instance, and a reader that stopped reading stopped every
dialog. So lines wait, up to MAX_QUEUED_BYTES of them, for a thread that writes; what does not fit or can't be
written is lost, counted, and logged once there is space again.
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
# Before a write that failed is tried again, and how long the last lines may take at the end; seconds.
WRITE_RETRY_S = 0.25
CLOSE_TIMEOUT_S = 1.0


class LogWriter:
    """Lines for one descriptor; `lost` counts those that never left. Emptied by its thread."""

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
        """Queues a line; structlog calls it by the name of its level."""
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
        """Writes the last lines, if that takes no longer than CLOSE_TIMEOUT_S."""
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
        """What could not be written. After half a line the next begins on a line of its own."""
        rest = memoryview(data)
        try:
            if self._is_mid_line:
                os.write(self._descriptor, b"\n")
                self._is_mid_line = False
            while rest:
                rest = rest[os.write(self._descriptor, rest) :]
        except OSError:
            left = data[: len(data) - len(rest)]
            self._is_mid_line = self._is_mid_line or (bool(left) and not left.endswith(b"\n"))
        return bytes(rest)


def configure_logging(config: LogConfig) -> None:
    """Sets structlog up; every event carries its time, its level and what it is about."""
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
