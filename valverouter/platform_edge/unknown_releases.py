"""Releases of unknown dialogs, stored until their callers report the dialogs."""

from __future__ import annotations

import structlog
import trio

log = structlog.get_logger()

# How long the release of an unknown dialog is stored, in seconds.
UNKNOWN_RELEASE_LIFETIME_S = 15.0
# Dropped releases are logged at most once per interval of this length, in seconds.
DROP_LOG_INTERVAL_S = 10.0


class UnknownReleases:
    """Releases received for unknown dialogs, limited in age and number.

    After a restart of this edge proxy, a server may release a dialog before its caller has reported it. A
    dialog whose release was dropped is taken for an established one once it is reported, and never ends.
    """

    def __init__(self, capacity: int) -> None:
        """`capacity`: the most dialogs that the previous process can have had."""
        self.dropped_count = 0
        self._capacity = capacity
        self._releases: dict[str, tuple[float, bool]] = {}
        self._drop_logged_at = -DROP_LOG_INTERVAL_S

    def __len__(self) -> int:
        """The number of releases held."""
        return len(self._releases)

    def add(self, id_: str, was_interrupted: bool) -> None:
        """Stores the release of an unknown dialog; `was_interrupted`: the dialog did not end normally."""
        now = trio.current_time()
        self._releases.pop(id_, None)
        self._releases[id_] = now, was_interrupted
        self._remove_expired(now)
        if len(self._releases) > self._capacity:
            del self._releases[next(iter(self._releases))]
            self._on_dropped(now)

    def pop(self, id_: str) -> bool | None:
        """Removes a dialog's release and returns whether it was an interruption; None if none is stored."""
        known = self._releases.pop(id_, None)
        return known[1] if known else None

    def _remove_expired(self, now: float) -> None:
        while self._releases[next(iter(self._releases))][0] <= now - UNKNOWN_RELEASE_LIFETIME_S:
            del self._releases[next(iter(self._releases))]

    def _on_dropped(self, now: float) -> None:
        self.dropped_count += 1
        if now - self._drop_logged_at >= DROP_LOG_INTERVAL_S:
            self._drop_logged_at = now
            log.warning("unknown-releases-dropped", total=self.dropped_count, capacity=self._capacity)
