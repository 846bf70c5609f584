"""A network in memory for runs in virtual time: streams, datagrams, and an edge proxy's runtime on it.

Streams have room for so many bytes, as sockets have, so that a peer that does not read blocks its writer here
too.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Awaitable, Callable

import trio

from valverouter.recovery.lifecycle import Timestamp
from valverouter.servermodel.paths import NetworkPaths

# Bytes that a stream takes before its reader reads, as in a socket.
ROOM = 64 * 1024
# Connecting takes its time here too, or nothing would ever be asked of a link that still connects.
CONNECT_S = 0.002
# The wall clock at the start of a run, ns.
EPOCH = 1_700_000_000 * 10**9
# Datagrams that wait at a socket; the oldest are dropped beyond that.
MAX_WAITING_DATAGRAMS = 4_096
MAX_DESCRIPTORS = 1_000_000


class _Pipe:
    """One direction of a stream: the bytes on their way, and who waits for a change."""

    def __init__(self) -> None:
        self.held = bytearray()
        self.ended = False
        self.broken = False
        self.stirred = trio.Event()

    def stir(self) -> None:
        """Wakes all that wait for a change."""
        self.stirred.set()
        self.stirred = trio.Event()


class MemoryStream(trio.abc.Stream):
    """One end of a stream in memory. Closing it ends the other's reading and breaks the other's writing."""

    def __init__(self, inward: _Pipe, outward: _Pipe) -> None:
        self._in = inward
        self._out = outward
        self._closed = False

    async def send_all(self, data: bytes | bytearray | memoryview) -> None:
        """Sends bytes, and waits while there is no room."""
        await trio.lowlevel.checkpoint()
        rest = bytes(data)
        while rest:
            if self._closed:
                raise trio.ClosedResourceError
            if self._out.broken or self._out.ended:
                raise trio.BrokenResourceError
            room = ROOM - len(self._out.held)
            if room > 0:
                self._out.held += rest[:room]
                rest = rest[room:]
                self._out.stir()
            else:
                await self._out.stirred.wait()

    async def wait_send_all_might_not_block(self) -> None:
        """Waits until there is room."""
        while len(self._out.held) >= ROOM and not self._out.broken:
            await self._out.stirred.wait()

    async def receive_some(self, max_bytes: int | None = None) -> bytes:
        """The next bytes; none once the other end has closed."""
        await trio.lowlevel.checkpoint()
        while True:
            if self._closed:
                raise trio.ClosedResourceError
            if self._in.held:
                size = max_bytes or ROOM
                data = bytes(self._in.held[:size])
                del self._in.held[:size]
                self._in.stir()
                return data
            if self._in.ended:
                return b""
            await self._in.stirred.wait()

    async def aclose(self) -> None:
        """Closes this end."""
        self._closed = True
        self._out.ended = True
        self._in.broken = True
        self._out.stir()
        self._in.stir()
        await trio.lowlevel.checkpoint()


class MemoryPlace:
    """A network in memory. `serving` and `bound` by address: an entry is removed when its owner ends.

    `paths`: the model that datagrams pass; without, each arrives at once. `names`: instances by address, as
    the paths know them. `carrier`: runs what arrives later. `unstruck`: addresses whose datagrams pass no
    path.
    """

    def __init__(self) -> None:
        self.serving: dict[str, Callable[[trio.abc.Stream], None]] = {}
        self.files: dict[str, bytes] = {}
        self.refused: set[str] = set()
        self.bound: dict[str, MemoryDatagrams] = {}
        self.paths: NetworkPaths | None = None
        self.names: dict[str, str] = {}
        self.carrier: trio.Nursery | None = None
        self.unstruck: frozenset[str] = frozenset()
        self._ports = 0

    def carry(self, source: str, address: str, data: bytes) -> None:
        """Takes a datagram to its address, by the paths."""
        if self.paths is None or self.carrier is None or {source, address} & self.unstruck:
            self._arrive(source, address, data)
            return
        pair = self.names.get(source, source), self.names.get(address, address)
        for delay in self.paths.delivery_delays(*pair, round(trio.current_time() * 1e9)):
            self.carrier.start_soon(self._arrive_after, delay, source, address, data)

    async def _arrive_after(self, delay: int, source: str, address: str, data: bytes) -> None:
        await trio.sleep(delay / 1e9)
        self._arrive(source, address, data)

    def _arrive(self, source: str, address: str, data: bytes) -> None:
        receiver = self.bound.get(address)
        if receiver is not None:
            receiver.put(data, source)

    async def connect(self, address: str) -> trio.abc.Stream:
        """Opens a stream to an address; raises ConnectionRefusedError if nobody listens there."""
        await trio.sleep(CONNECT_S)
        accept = self.serving.get(address)
        if accept is None:
            raise ConnectionRefusedError(f"nobody serves at {address}")
        outward, inward = _Pipe(), _Pipe()
        accept(MemoryStream(outward, inward))
        return MemoryStream(inward, outward)

    async def serve(
        self,
        address: str,
        handler: Callable[[trio.abc.Stream], Awaitable[object]],
        task_status: trio.TaskStatus[str] = trio.TASK_STATUS_IGNORED,
    ) -> None:
        """Runs the handler for each incoming stream; reports the address, of which port 0 is replaced."""
        if address.endswith(":0"):
            self._ports += 1
            address = f"{address[:-1]}{self._ports}"
        if address in self.serving:
            raise OSError(f"{address} is in use")
        try:
            async with trio.open_nursery() as nursery:
                self.serving[address] = lambda stream: nursery.start_soon(handler, stream)
                task_status.started(address)
                await trio.sleep_forever()
        finally:
            del self.serving[address]


class MemoryRuntime(MemoryPlace):
    """One edge proxy's runtime on a shared network; its wall clock is `wall_back` ns behind."""

    def __init__(self, place: MemoryPlace, wall_back: int = 0) -> None:
        super().__init__()
        self._place = place
        self._wall_back = wall_back
        self._runs = trio.Event()
        self._runs.set()
        self._began = trio.current_time()

    def wall_time(self) -> int:
        """The wall clock, ns since 1970."""
        return EPOCH + round(trio.current_time() * 1e9) - self._wall_back

    def moment(self) -> Timestamp:
        """Now, on the wall clock and on the monotonic one."""
        return Timestamp(self.wall_time(), round(trio.current_time() * 1e9), "memory")

    async def connect(self, address: str) -> trio.abc.Stream:
        """Opens a stream on the shared network."""
        return await self._place.connect(address)

    async def serve(
        self,
        address: str,
        handler: Callable[[trio.abc.Stream], Awaitable[object]],
        task_status: trio.TaskStatus[str] = trio.TASK_STATUS_IGNORED,
        refuse: Callable[[trio.abc.Stream], Awaitable[object]] | None = None,
    ) -> None:
        """Serves on the shared network, which never refuses a stream."""
        await self._place.serve(address, handler, task_status)

    def bind_datagrams(self, address: str) -> MemoryDatagrams:
        """Opens a datagram socket on the shared network."""
        return MemoryDatagrams(self._place, address)

    def max_descriptors(self) -> int:
        """How many descriptors a process may have open."""
        return MAX_DESCRIPTORS

    async def checkpoint(self) -> None:
        """Lets others run, and waits while the process is held."""
        await trio.lowlevel.checkpoint()
        await self._runs.wait()

    async def read_file(self, path: str) -> bytes | None:
        """The content of a file, None if there is none."""
        await trio.lowlevel.checkpoint()
        return self._place.files.get(path)

    async def write_file(self, path: str, data: bytes) -> None:
        """Writes a file, which outlives the process."""
        await trio.lowlevel.checkpoint()
        self._place.files[path] = data

    async def hold(self, span: int) -> None:
        """Stalls the process for `span` ns, as a stopped one is."""
        self._runs = trio.Event()
        await trio.sleep(span / 1e9)
        self._runs.set()


class MemoryDatagrams:
    """Datagrams on the network in memory. While its instance is held, they wait, as in a kernel."""

    def __init__(self, place: MemoryPlace, address: str) -> None:
        if address in place.bound:
            raise OSError(f"{address} is in use")
        self.address = address
        self.held: deque[tuple[bytes, str]] = deque(maxlen=MAX_WAITING_DATAGRAMS)
        self._place = place
        self._came = trio.Event()
        place.bound[address] = self

    def send(self, data: bytes, address: str) -> bool:
        """Sends a datagram; it is always taken."""
        self._place.carry(self.address, address, data)
        return True

    def put(self, data: bytes, source: str) -> None:
        """A datagram arrives."""
        self.held.append((data, source))
        self._came.set()

    def receive(self) -> tuple[bytes, str] | None:
        """The next datagram and its source; None if there is none."""
        return self.held.popleft() if self.held else None

    async def wait_readable(self) -> None:
        """Waits until a datagram has arrived."""
        while not self.held:
            self._came = trio.Event()
            await self._came.wait()

    def close(self) -> None:
        """Frees the address."""
        if self._place.bound.get(self.address) is self:
            del self._place.bound[self.address]
