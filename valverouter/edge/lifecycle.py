"""The graceful shutdown of an edge proxy: no new dialogs, answers to the open ones, then a quiet end."""

from __future__ import annotations

# For so long the end waits for callers that go on asking, or do not read what they are sent; nanoseconds.
FINAL_READ_LIMIT = 50_000_000
# So many turns in a row must find nothing to handle, read or write before the process ends: what the kernel
# has accepted meanwhile is seen only after its readers had their turn.
QUIET_TURNS = 2


class GracefulShutdown:
    """Draining from `begin` on, until every dialog has its answer or the deadline has passed."""

    def __init__(self) -> None:
        """Starts with a proxy that serves."""
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
        """Whether it is time to close the connections on which nothing is open."""
        return self.is_draining and self._closing_at <= now

    def has_expired(self, now: int) -> bool:
        """Whether the deadline has passed."""
        return self._deadline <= now

    def may_end(self, now: int, is_quiet: bool) -> bool:
        """Whether the proxy may end after this turn, in which nothing was open any more."""
        self._quiet_turns = self._quiet_turns + 1 if is_quiet else 0
        return self._quiet_turns >= QUIET_TURNS or now >= self._deadline + FINAL_READ_LIMIT
