"""The interface by which a scenario controls one edge proxy, a process or a task."""

from __future__ import annotations

from typing import Protocol


class EdgeUnderTest(Protocol):
    """One edge proxy of the fleet under test, named e0, e1, ..."""

    name: str
    address: str

    async def start(self) -> None:
        """Starts or restarts the edge proxy; returns once it listens."""
        ...

    async def kill(self) -> None:
        """Terminates it immediately, without a message to its peers; only its stored data survives."""
        ...

    async def stall(self, duration: int) -> None:
        """Suspends it for `duration` ns with its connections open; returns when it has resumed."""
        ...

    async def stop(self) -> None:
        """Shuts it down gracefully; returns once it has ended."""
        ...
