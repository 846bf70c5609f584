"""The seam between an edge proxy and the machine: streams, datagrams, wall time, a file or two, and the turn.

`valverouter.edge.sockets` is the machine itself. Tests and scenarios in virtual time hand in a runtime of
their own, so that the same proxy runs under trio's MockClock on streams in memory, with the same result every
run.
"""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from typing import Protocol

import trio

from valverouter.recovery.lifecycle import Timestamp

# Bytes read from a stream at a time, and the longest datagram.
READ_SIZE = 64 * 1024
MAX_DATAGRAM_SIZE = 2_048

Handler = Callable[[trio.abc.Stream], Awaitable[object]]


class DatagramSocket(Protocol):
    """A socket for datagrams; nothing here ever waits but `wait_readable`. Addresses are IP:PORT."""

    address: str

    def send(self, data: bytes, address: str) -> bool:
        """Whether it left; one that does not at once is dropped, as the network may drop any."""

    def receive(self) -> tuple[bytes, str] | None:
        """A datagram that has arrived, cut off after MAX_DATAGRAM_SIZE bytes, and its sender."""

    async def wait_readable(self) -> None:
        """Returns when one may have arrived."""

    def close(self) -> None:
        """Frees the address."""


class Runtime(Protocol):
    """What an edge proxy asks of the place where it runs. Addresses are HOST:PORT."""

    def wall_time(self) -> int:
        """Wall time in ns since 1970: to date what an earlier start wrote, never to measure a duration."""

    def moment(self) -> Timestamp:
        """Wall time and the monotonic clock of this boot, as records keep them over a restart."""

    async def connect(self, address: str) -> trio.abc.Stream:
        """A stream to a peer; OSError when there is none. The caller limits the wait."""

    async def serve(
        self, address: str, handler: Handler, task_status: trio.TaskStatus[str], refuse: Handler | None = None
    ) -> None:
        """Serves until cancelled, a task for each stream; `started` with the address in use.

        `refuse` gets, one at a time, those that came while there was no descriptor for another.
        """

    def bind_datagrams(self, address: str) -> DatagramSocket:
        """A socket bound there; OSError when it can't be."""

    def max_descriptors(self) -> int:
        """How many this process may hold at present."""

    async def checkpoint(self) -> None:
        """Before each turn of the instance: a checkpoint, and where a test holds it up."""

    async def read_file(self, path: str) -> bytes | None:
        """A file that an earlier start kept; None when there is none to read."""

    async def write_file(self, path: str, data: bytes) -> None:
        """Writes a file whole or not at all; OSError when it can't be written."""
