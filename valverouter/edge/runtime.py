"""The interface between an edge proxy and its environment: streams, datagrams, clocks and files.

`valverouter.edge.sockets` implements it with the operating system. Tests and scenarios in virtual time use an
implementation in memory, so that the same proxy runs deterministically under trio's MockClock.
"""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from typing import Protocol

import trio

from valverouter.recovery.lifecycle import Timestamp

# Bytes read from a stream at a time.
READ_SIZE = 64 * 1024
# Bytes of the longest datagram.
MAX_DATAGRAM_SIZE = 2_048

Handler = Callable[[trio.abc.Stream], Awaitable[object]]


class DatagramSocket(Protocol):
    """A datagram socket; only `wait_readable` blocks. Addresses are IP:PORT."""

    address: str

    def send(self, data: bytes, address: str) -> bool:
        """Sends a datagram, or drops it if it can't be sent at once; returns whether it was sent."""

    def receive(self) -> tuple[bytes, str] | None:
        """Returns a received datagram and its sender; None if there is none.

        Data beyond MAX_DATAGRAM_SIZE bytes is cut off.
        """

    async def wait_readable(self) -> None:
        """Waits until a datagram may have arrived."""

    def close(self) -> None:
        """Closes the socket and frees its address."""


class Runtime(Protocol):
    """The environment of an edge proxy. Addresses are HOST:PORT."""

    def wall_time(self) -> int:
        """Returns wall time, ns since 1970: for dating files of an earlier process, never for durations."""

    def timestamp(self) -> Timestamp:
        """Returns wall time and the monotonic clock of this boot, as stored in dialog records."""

    async def connect(self, address: str) -> trio.abc.Stream:
        """Connects to a peer; raises OSError on failure. The caller sets a timeout."""

    async def serve(
        self, address: str, handler: Handler, task_status: trio.TaskStatus[str], refuse: Handler | None = None
    ) -> None:
        """Serves until cancelled, with a task per stream; calls `task_status.started` with the bound address.

        `refuse` handles, one at a time, the connections that arrive while no file descriptor is free.
        """

    def bind_datagrams(self, address: str) -> DatagramSocket:
        """Returns a socket bound to `address`; raises OSError if that fails."""

    def max_descriptors(self) -> int:
        """Returns the current limit of open file descriptors of this process."""

    async def checkpoint(self) -> None:
        """Executes a trio checkpoint before each turn of the event loop; tests stall the process here."""

    async def read_file(self, path: str) -> bytes | None:
        """Returns the content of a file; None if it can't be read."""

    async def write_file(self, path: str, data: bytes) -> None:
        """Writes a file atomically; raises OSError on failure."""
