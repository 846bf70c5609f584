"""A rate limit for each address, for messages that others can cause."""

from __future__ import annotations


class AddressRateLimiter:
    """Allows one message for each address in each `interval` (ns), however often it is asked.

    Corrections and verifications pass through it: the traffic that others can cause stays bounded.
    """

    def __init__(self, interval: int) -> None:
        self._interval = interval
        self._last_allowed: dict[str, int] = {}

    def allow(self, address: str, now: int) -> bool:
        """Whether a message to the address may go now; if so, it is counted."""
        last = self._last_allowed.get(address)
        if last is not None and now - last < self._interval:
            return False
        self._last_allowed[address] = now
        return True

    def clear(self) -> None:
        """Forgets all addresses; called now and then, so that the table stays small."""
        self._last_allowed.clear()
