"""An in-memory network for runs in virtual time: streams, datagrams, and an edge proxy's runtime on them.

Streams have a bounded buffer, as sockets do, so that a peer that stops reading blocks the writer.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Awaitable, Callable

import trio

from valverouter.recovery.lifecycle import Timestamp
from valverouter.servermodel.paths import NetworkPaths

NS_PER_S = 10**9
STREAM_BUFFER_SIZE = 64 * 1024
# Connecting takes time, as on sockets: otherwise a connection that is still being opened would never occur.
CONNECT_DELAY_S = 0.002
# Capacity of a datagram socket's receive queue; when it is full, the oldest datagram is dropped.
MAX_RECEIVED_DATAGRAMS = 4_096
MAX_DESCRIPTORS = 1_000_000
# The wall clock at virtual time zero, ns since 1970.
WALL_CLOCK_START = 1_700_000_000 * NS_PER_S

StreamHandler = Callable[[trio.abc.Stream], Awaitable[object]]


class _Pipe:
    """One direction of a stream. `ended`: the writer has closed it; `broken`: the reader has closed it."""

    def __init__(self) -> None:
        self.buffer = bytearray()
        self.ended = False
        self.broken = False
        self.changed = trio.Event()

    def notify(self) -> None:
        """Wakes all tasks that wait for a change."""
        self.changed.set()
        self.changed = trio.Event()


class MemoryStream(trio.abc.Stream):
    """One end of an in-memory stream. Once it is closed, the peer reads end-of-stream and cannot write."""

    def __init__(self, inward: _Pipe, outward: _Pipe) -> None:
        self._in = inward
        self._out = outward
        self._closed = False

    async def send_all(self, data: bytes | bytearray | memoryview) -> None:
        """Writes all data; waits while the peer's buffer is full."""
        await trio.lowlevel.checkpoint()
        rest = bytes(data)
        while rest:
            if self._closed:
                raise trio.ClosedResourceError
            if self._out.broken or self._out.ended:
                raise trio.BrokenResourceError
            free = STREAM_BUFFER_SIZE - len(self._out.buffer)
            if free > 0:
                self._out.buffer += rest[:free]
                rest = rest[free:]
                self._out.notify()
            else:
                await self._out.changed.wait()

    async def wait_send_all_might_not_block(self) -> None:
        """Waits until the peer's buffer has free space or the peer has closed."""
        while len(self._out.buffer) >= STREAM_BUFFER_SIZE and not self._out.broken:
            await self._out.changed.wait()

    async def receive_some(self, max_bytes: int | None = None) -> bytes:
        """Reads what has arrived, at most `max_bytes`; empty at the end of the stream."""
        await trio.lowlevel.checkpoint()
        while True:
            if self._closed:
                raise trio.ClosedResourceError
            if self._in.buffer:
                size = max_bytes or STREAM_BUFFER_SIZE
                data = bytes(self._in.buffer[:size])
                del self._in.buffer[:size]
                self._in.notify()
                return data
            if self._in.ended:
                return b""
            await self._in.changed.wait()

    @property
    def has_unread_data(self) -> bool:
        """Whether received bytes have not been read yet."""
        return bool(self._in.buffer)

    def close_now(self) -> None:
        """Closes this end without a checkpoint."""
        self._closed = True
        self._out.ended = True
        self._in.broken = True
        self._out.notify()
        self._in.notify()

    async def aclose(self) -> None:
        """Closes this end."""
        self.close_now()
        await trio.lowlevel.checkpoint()


class MemoryNetwork:
    """The listeners, datagram sockets and files of one run, by address or path.

    `paths`: the delays and faults of datagrams between nodes; without it, datagrams arrive immediately, as
    they always do from or to `fault_free_addresses`. `node_names`: the names of nodes by address. `nursery`
    runs the tasks that deliver delayed datagrams.
    """

    def __init__(self) -> None:
        self.listeners: dict[str, Callable[[trio.abc.Stream], None]] = {}
        self.files: dict[str, bytes] = {}
        self.datagram_sockets: dict[str, MemoryDatagramSocket] = {}
        self.paths: NetworkPaths | None = None
        self.node_names: dict[str, str] = {}
        self.nursery: trio.Nursery | None = None
        self.fault_free_addresses: frozenset[str] = frozenset()
        self._last_port = 0

    def send_datagram(self, source: str, address: str, data: bytes) -> None:
        """Sends a datagram on the path between two nodes, which may delay, duplicate or lose it."""
        if self.paths is None or self.nursery is None or {source, address} & self.fault_free_addresses:
            self._deliver(source, address, data)
            return
        sender = self.node_names.get(source, source)
        receiver = self.node_names.get(address, address)
        now = round(trio.current_time() * NS_PER_S)
        for delay in self.paths.delivery_delays(sender, receiver, now):
            self.nursery.start_soon(self._deliver_after, delay, source, address, data)

    async def _deliver_after(self, delay: int, source: str, address: str, data: bytes) -> None:
        await trio.sleep(delay / NS_PER_S)
        self._deliver(source, address, data)

    def _deliver(self, source: str, address: str, data: bytes) -> None:
        socket = self.datagram_sockets.get(address)
        if socket is not None:
            socket.deliver(data, source)

    async def connect(self, address: str) -> trio.abc.Stream:
        """Opens a stream to a listener; raises ConnectionRefusedError if there is none."""
        await trio.sleep(CONNECT_DELAY_S)
        accept = self.listeners.get(address)
        if accept is None:
            raise ConnectionRefusedError(f"no listener at {address}")
        to_client, to_server = _Pipe(), _Pipe()
        accept(MemoryStream(to_server, to_client))
        return MemoryStream(to_client, to_server)

    async def serve(
        self,
        address: str,
        handler: StreamHandler,
        task_status: trio.TaskStatus[str] = trio.TASK_STATUS_IGNORED,
    ) -> None:
        """Runs the handler for each incoming stream until cancelled; port 0 is replaced by a free port.

        Raises OSError if the address is in use.
        """
        if address.endswith(":0"):
            self._last_port += 1
            address = f"{address[:-1]}{self._last_port}"
        if address in self.listeners:
            raise OSError(f"{address} is in use")
        try:
            async with trio.open_nursery() as nursery:
                self.listeners[address] = lambda stream: nursery.start_soon(handler, stream)
                task_status.started(address)
                await trio.sleep_forever()
        finally:
            del self.listeners[address]


class MemoryRuntime:
    """The runtime of one edge proxy on a shared network; its wall clock is `wall_clock_setback` ns behind."""

    def __init__(self, network: MemoryNetwork, wall_clock_setback: int = 0) -> None:
        self._network = network
        self._wall_clock_setback = wall_clock_setback
        self._running = trio.Event()
        self._running.set()

    def wall_time(self) -> int:
        """Returns the wall clock's time, ns since 1970."""
        return WALL_CLOCK_START + round(trio.current_time() * NS_PER_S) - self._wall_clock_setback

    def timestamp(self) -> Timestamp:
        """Returns the time on both clocks; all instances of a run have the same boot ID."""
        return Timestamp(self.wall_time(), round(trio.current_time() * NS_PER_S), "memory")

    async def connect(self, address: str) -> trio.abc.Stream:
        """Opens a stream to a listener of the network."""
        return await self._network.connect(address)

    async def serve(
        self,
        address: str,
        handler: StreamHandler,
        task_status: trio.TaskStatus[str] = trio.TASK_STATUS_IGNORED,
        refuse: StreamHandler | None = None,
    ) -> None:
        """Runs the handler for each incoming stream; never refuses one, as descriptors are unlimited."""
        await self._network.serve(address, handler, task_status)

    def bind_datagrams(self, address: str) -> MemoryDatagramSocket:
        """Opens a datagram socket; raises OSError if the address is in use."""
        return MemoryDatagramSocket(self._network, address)

    def max_descriptors(self) -> int:
        """Returns the maximum number of open streams and files."""
        return MAX_DESCRIPTORS

    async def checkpoint(self) -> None:
        """Lets other tasks run, and waits while the instance is stalled."""
        await trio.lowlevel.checkpoint()
        await self._running.wait()

    async def read_file(self, path: str) -> bytes | None:
        """Returns a file's content; None if it does not exist."""
        await trio.lowlevel.checkpoint()
        return self._network.files.get(path)

    async def write_file(self, path: str, data: bytes) -> None:
        """Creates or replaces a file."""
        await trio.lowlevel.checkpoint()
        self._network.files[path] = data

    async def stall(self, duration: int) -> None:
        """Blocks the instance at its next checkpoints for `duration` ns, like a process under SIGSTOP."""
        self._running = trio.Event()
        await trio.sleep(duration / NS_PER_S)
        self._running.set()


class MemoryDatagramSocket:
    """A socket of the in-memory network. It queues datagrams for a stalled instance, as a kernel does."""

    def __init__(self, network: MemoryNetwork, address: str) -> None:
        if address in network.datagram_sockets:
            raise OSError(f"{address} is in use")
        self.address = address
        self.received: deque[tuple[bytes, str]] = deque(maxlen=MAX_RECEIVED_DATAGRAMS)
        self._network = network
        self._arrived = trio.Event()
        network.datagram_sockets[address] = self

    def send(self, data: bytes, address: str) -> bool:
        """Sends a datagram. Always returns true: there is no send buffer that could be full."""
        self._network.send_datagram(self.address, address, data)
        return True

    def deliver(self, data: bytes, source: str) -> None:
        """Queues a datagram that has arrived from the network."""
        self.received.append((data, source))
        self._arrived.set()

    def receive(self) -> tuple[bytes, str] | None:
        """Returns the oldest queued datagram and its sender's address; None if the queue is empty."""
        return self.received.popleft() if self.received else None

    async def wait_readable(self) -> None:
        """Waits until a datagram is queued."""
        while not self.received:
            self._arrived = trio.Event()
            await self._arrived.wait()

    def close(self) -> None:
        """Closes the socket and frees its address."""
        if self._network.datagram_sockets.get(self.address) is self:
            del self._network.datagram_sockets[self.address]
