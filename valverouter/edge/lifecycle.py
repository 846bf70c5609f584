"""The graceful shutdown of an edge proxy: accepts no new dialogs, answers the open ones, then ends."""

from __future__ import annotations

# How long after the deadline the proxy still waits for callers that keep sending requests or do not read
# their answers, in nanoseconds.
FINAL_READ_LIMIT = 50_000_000
# The number of consecutive turns that must find nothing to handle, read or write before the process ends:
# data that the kernel has accepted is seen only after the readers have run.
QUIET_TURNS = 2


class GracefulShutdown:
    """The state of a graceful shutdown.

    The proxy drains from `begin` on, until every dialog is answered or the deadline has passed.
    """

    def __init__(self) -> None:
        """The proxy is not draining at first."""
        self.is_draining = False
        self._closing_at = self._deadline = 0
        self._quiet_turns = 0

    def begin(self, now: int, limit: int, closing_period: int = 0) -> tuple[int, int]:
        """Starts draining for at most `limit` nanoseconds; returns when closing starts, and the deadline.

        Closing starts `closing_period` nanoseconds before the deadline.
        """
        self.is_draining = True
        self._deadline = now + limit
        self._closing_at = max(now, self._deadline - closing_period)
        return self._closing_at, self._deadline

    def is_closing(self, now: int) -> bool:
        """Whether the proxy is draining and should close callers' idle connections."""
        return self.is_draining and self._closing_at <= now

    def has_expired(self, now: int) -> bool:
        """Whether the deadline has passed."""
        return self._deadline <= now

    def may_end(self, now: int, is_quiet: bool) -> bool:
        """Whether the proxy may end after this turn; called once per turn after no dialog is open.

        `is_quiet`: whether nothing remained to be handled, read or written in this turn.
        """
        self._quiet_turns = self._quiet_turns + 1 if is_quiet else 0
        return self._quiet_turns >= QUIET_TURNS or now >= self._deadline + FINAL_READ_LIMIT
