"""Until when a caller's connection must have sent a valid request, or the rest of an incomplete message."""

from __future__ import annotations

import trio

from valverouter.platform_protocol.isup import MAX_MESSAGE_SIZE


class RequestDeadline:
    """The deadline of a connection, in seconds of trio's clock; infinite if nothing is due.

    What had arrived before the deadline may be read after it, if this process was stopped meanwhile. So a
    connection whose bytes are read after the deadline is closed only once they hold more than the longest
    message: a peer that keeps sending would never be closed otherwise.
    """

    def __init__(self, limit_s: float, now: float) -> None:
        """`limit_s`: how long a connection may take to its first valid request, or over one message."""
        self.at = now + limit_s
        self._limit_s = limit_s
        self._late_bytes = 0

    def on_input(
        self, now: float, size: int, is_useful: bool, message_count: int, has_partial_message: bool
    ) -> None:
        """Updates the deadline after a read of `size` bytes that completed `message_count` messages.

        `is_useful`: whether a valid request was received. Raises trio.TooSlowError if there was none in time.
        """
        if not is_useful:
            self._late_bytes += size if now >= self.at else 0
            if self._late_bytes > MAX_MESSAGE_SIZE:
                raise trio.TooSlowError
        elif not has_partial_message:
            self.at = float("inf")
        elif message_count or self.at == float("inf"):
            self.at = now + self._limit_s
