"""A rate limit per address, for messages that other hosts can trigger."""

from __future__ import annotations


class AddressRateLimiter:
    """Allows at most one message per address and `interval` (ns).

    It applies to corrections and verifications, so that the traffic that other hosts can trigger is bounded.
    """

    def __init__(self, interval: int) -> None:
        self._interval = interval
        self._last_allowed: dict[str, int] = {}

    def allow(self, address: str, now: int) -> bool:
        """Returns whether a message to the address may be sent now; if so, counts it as sent."""
        last = self._last_allowed.get(address)
        if last is not None and now - last < self._interval:
            return False
        self._last_allowed[address] = now
        return True

    def clear(self) -> None:
        """Removes all addresses; called periodically to bound the size of the table."""
        self._last_allowed.clear()
