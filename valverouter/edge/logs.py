"""Structured logs through structlog: JSON lines or a console, on standard error.

A log must cost the router nothing but its lines. Written in the turn, a full disk or a closed pipe raised in
the handlers of last resort and ended the instance, and a reader that stopped reading stopped every dialog. So
lines wait, up to MOST_BYTES of them, for a thread that writes; what does not fit or can't be written is lost,
counted, and told once there is room again.
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

from valverouter.terms.edge import Log

MOST_BYTES = 1024 * 1024
# Before a write that failed is tried again, and for how long the last lines may take at the end.
AGAIN_S = 0.25
LAST_LINES_S = 1.0


class Lines:
    """Lines for one descriptor; `lost` counts those that never left. Emptied by its thread."""

    def __init__(self, descriptor: int, most: int = MOST_BYTES) -> None:
        self.lost = 0
        self._descriptor = descriptor
        self._most = most
        self._waiting: deque[bytes] = deque()
        self._bytes = 0
        self._half = False
        self._stirred = threading.Condition()
        self._ends = False
        self._thread = threading.Thread(target=self._run, name="log", daemon=True)
        self._thread.start()

    def msg(self, line: str) -> None:
        data = line.encode("utf-8", "replace") + b"\n"
        with self._stirred:
            if self._bytes + len(data) > self._most:
                self.lost += 1
                return
            self._waiting.append(data)
            self._bytes += len(data)
            self._stirred.notify()

    log = debug = info = warn = warning = error = critical = fatal = exception = failure = msg

    def end(self) -> None:
        """The last lines leave, if they can in LAST_LINES_S."""
        with self._stirred:
            self._ends = True
            self._stirred.notify()
        self._thread.join(LAST_LINES_S)

    def _run(self) -> None:
        while True:
            with self._stirred:
                while not self._waiting:
                    if self._ends:
                        return
                    self._stirred.wait()
                lines = list(self._waiting)
                self._waiting.clear()
            data = b"".join(lines)
            rest = self._write(data)
            with self._stirred:
                self._bytes -= len(data)
                self.lost += rest.count(b"\n")
                lost = self.lost
            if rest:
                time.sleep(AGAIN_S)
            elif lost and not self._write(
                b'{"event": "logs-lost", "level": "warning", "lines": %d}\n' % lost
            ):
                with self._stirred:
                    self.lost -= lost

    def _write(self, data: bytes) -> bytes:
        """What could not be written. After half a line the next begins on a line of its own."""
        rest = memoryview(data)
        try:
            if self._half:
                os.write(self._descriptor, b"\n")
                self._half = False
            while rest:
                rest = rest[os.write(self._descriptor, rest) :]
        except OSError:
            left = data[: len(data) - len(rest)]
            self._half = self._half or (bool(left) and not left.endswith(b"\n"))
        return bytes(rest)


def set_up(log: Log) -> None:
    """Every event carries its time, its level and what it is about: edge, dialog, leg, server."""
    last: structlog.typing.Processor = structlog.processors.JSONRenderer()
    if log.form == "console":
        last = structlog.dev.ConsoleRenderer(colors=sys.stderr.isatty())
    lines = Lines(sys.stderr.fileno())
    atexit.register(lines.end)
    structlog.configure(
        processors=[
            structlog.contextvars.merge_contextvars,
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso", utc=True),
            structlog.processors.format_exc_info,
            last,
        ],
        wrapper_class=structlog.make_filtering_bound_logger(
            logging.getLevelNamesMapping()[log.level.upper()]
        ),
        logger_factory=lambda *args: lines,
        cache_logger_on_first_use=True,
    )
