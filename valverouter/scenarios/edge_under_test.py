"""How a scenario controls one edge proxy, whatever that edge proxy runs on."""

from __future__ import annotations

from typing import Protocol


class EdgeUnderTest(Protocol):
    """One edge proxy of the fleet under test; `name` is e0, e1, ..."""

    name: str
    address: str

    async def start(self) -> None:
        """Starts it for the first time or again; returns once it listens."""
        ...

    async def kill(self) -> None:
        """Ends it at once, without a word to its peers; only what it has stored outlives it."""
        ...

    async def stall(self, duration: int) -> None:
        """Stops it from running for `duration` ns, with its connections open; returns afterwards."""
        ...

    async def stop(self) -> None:
        """Asks it to shut down gracefully, and waits until it has."""
        ...
