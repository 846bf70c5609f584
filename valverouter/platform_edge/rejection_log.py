"""The log of callers that were refused: many alike give one line."""

from __future__ import annotations

import structlog
import trio

log = structlog.get_logger()

# Events of one kind are logged at most once per interval of this length, in seconds.
LOG_INTERVAL_S = 10.0


class RateLimitedLog:
    """Logs one event of each kind per interval, with the number suppressed since the previous one."""

    def __init__(self) -> None:
        self._suppressed: dict[str, tuple[float, int]] = {}

    def warn(self, kind: str, reason: str) -> None:
        """Logs that a caller was refused, unless this kind was logged within LOG_INTERVAL_S seconds."""
        now = trio.current_time()
        logged_at, suppressed = self._suppressed.get(kind, (-LOG_INTERVAL_S, 0))
        if now - logged_at < LOG_INTERVAL_S:
            self._suppressed[kind] = logged_at, suppressed + 1
            return
        log.warning("caller-refused", kind=kind, why=reason, untold=suppressed)
        self._suppressed[kind] = now, 0
