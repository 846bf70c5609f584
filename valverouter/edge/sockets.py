"""The operating system as an edge proxy's runtime: TCP and UDP sockets, files, and the system's clocks."""

from __future__ import annotations

import errno
import os
import resource
import select
import socket
import time
from collections.abc import Iterator
from contextlib import contextmanager, suppress
from pathlib import Path

import trio

from valverouter.edge.runtime import MAX_DATAGRAM_SIZE, READ_SIZE, DatagramSocket, Handler
from valverouter.recovery.lifecycle import Timestamp

# Requested size of a UDP socket's receive buffer, bytes: holds datagrams while this process does not run. The
# kernel may grant less.
DATAGRAM_BUFFER_SIZE = 1024 * 1024
# Errors of accept when the process or the machine has no resources for another connection.
RESOURCE_EXHAUSTED = frozenset((errno.EMFILE, errno.ENFILE, errno.ENOMEM, errno.ENOBUFS))
# Seconds that accepting and refusing one connection may take after such an error, and the wait after a
# MemoryError.
ACCEPT_RETRY_S = 0.1
# Unanswered keepalive probes after which a peer is considered gone.
KEEPALIVE_PROBES = 3
# The poll flag of a peer that has closed. Only Linux distinguishes this from data to read.
PEER_CLOSED = getattr(select, "POLLRDHUP", 0)
# Parsed addresses cached per datagram socket.
MAX_PARSED_ADDRESSES = 10_000


def split_address(address: str) -> tuple[str, int]:
    """Splits HOST:PORT into host and port; raises ValueError for anything else."""
    host, _, port = address.rpartition(":")
    if not host or not port.isascii() or not port.isdigit():
        raise ValueError(f"{address!r} is not HOST:PORT")
    return host.strip("[]"), int(port)


class PlainSocketStream(trio.abc.Stream):
    """A connected socket with less overhead than trio's SocketStream.

    Trio's stream tries the system call, checks for cancellation and yields on each call, in both directions.
    Here a read waits until the socket is readable and then reads once, and a write that the kernel accepts
    immediately costs only its system call.
    """

    def __init__(self, stream: trio.SocketStream, silence: int = 0) -> None:
        self._socket = socket.socket(fileno=stream.socket.detach())
        self._socket.setblocking(False)
        if silence:
            self._enable_keepalive(silence)

    def _enable_keepalive(self, silence: int) -> None:
        """Makes the kernel probe an idle peer and close the connection `silence` ns after its last response.

        A machine that loses power does not close its connections, and an idle one would stay open forever.
        """
        first_probe_s = max(1, silence // 2 // 10**9)
        probe_interval_s = max(1, (silence // 10**9 - first_probe_s) // KEEPALIVE_PROBES)
        self._socket.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
        for option, value in (
            (socket.TCP_KEEPIDLE, first_probe_s),
            (socket.TCP_KEEPINTVL, probe_interval_s),
            (socket.TCP_KEEPCNT, KEEPALIVE_PROBES),
            (socket.TCP_USER_TIMEOUT, silence // 10**6),
        ):
            self._socket.setsockopt(socket.IPPROTO_TCP, option, value)

    def send_now(self, data: bytes) -> int:
        """Sends without waiting; returns the number of bytes that the kernel accepted."""
        try:
            return self._socket.send(data)
        except OSError:
            return 0  # buffer full or connection lost: `send_all` waits or raises

    @property
    def has_unread_data(self) -> bool:
        """Whether received bytes wait to be read."""
        try:
            return bool(self._socket.recv(1, socket.MSG_PEEK))
        except OSError:
            return False

    @property
    def peer_has_closed(self) -> bool:
        """Whether the peer has closed, even if bytes that it sent before are still unread."""
        if self._socket.fileno() < 0:
            return True
        poll = select.poll()
        poll.register(self._socket, PEER_CLOSED)
        closed = PEER_CLOSED | select.POLLHUP | select.POLLERR
        try:
            return any(flags & closed for _, flags in poll.poll(0))
        except OSError:
            return False  # if the socket can't be polled, the reader will detect the close

    async def send_all(self, data: bytes | bytearray | memoryview) -> None:
        """Sends all of `data`, waiting while the kernel's buffer is full."""
        await trio.lowlevel.checkpoint()
        remaining = memoryview(data)
        with _as_trio_errors():
            while remaining:
                try:
                    remaining = remaining[self._socket.send(remaining) :]
                except BlockingIOError:
                    await trio.lowlevel.wait_writable(self._socket)

    async def wait_send_all_might_not_block(self) -> None:
        """Waits until the kernel's buffer has space."""
        with _as_trio_errors():
            if self._socket.fileno() < 0:
                raise trio.ClosedResourceError("this stream was closed here")
            await trio.lowlevel.wait_writable(self._socket)

    async def receive_some(self, max_bytes: int | None = None) -> bytes:
        """Waits for data and returns at most `max_bytes` bytes; empty if the peer has closed."""
        with _as_trio_errors():
            while True:
                if self._socket.fileno() < 0:  # trio's event loop would fail on a closed socket
                    raise trio.ClosedResourceError("this stream was closed here")
                await trio.lowlevel.wait_readable(self._socket)
                with suppress(BlockingIOError):
                    return self._socket.recv(max_bytes or READ_SIZE)

    def close_now(self) -> None:
        """Closes the socket without waiting."""
        if self._socket.fileno() >= 0:
            trio.lowlevel.notify_closing(self._socket)
            self._socket.close()

    async def aclose(self) -> None:
        """Closes the socket."""
        self.close_now()
        await trio.lowlevel.checkpoint()


class UdpSocket:
    """A UDP socket of the operating system."""

    def __init__(self, address: str) -> None:
        host, port = split_address(address)
        family = socket.AF_INET6 if ":" in host else socket.AF_INET
        self._socket = socket.socket(family, socket.SOCK_DGRAM)
        try:
            self._socket.setblocking(False)
            self._socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, DATAGRAM_BUFFER_SIZE)
            self._socket.bind((host, port))
        except BaseException:
            self._socket.close()
            raise
        self.address = _format_address(self._socket.getsockname())
        # Cache of parsed addresses, one per member of the fleet; cleared above MAX_PARSED_ADDRESSES.
        self._resolved: dict[str, tuple[str, int]] = {}

    def send(self, data: bytes, address: str) -> bool:
        """Sends a datagram; returns whether the kernel accepted it."""
        destination = self._resolved.get(address)
        if destination is None:
            if len(self._resolved) > MAX_PARSED_ADDRESSES:
                self._resolved.clear()
            destination = self._resolved[address] = split_address(address)
        try:
            self._socket.sendto(data, destination)
        except OSError:
            return False  # buffer full, port closed or no route: the datagram counts as lost
        return True

    def receive(self) -> tuple[bytes, str] | None:
        """Returns a received datagram and its sender; None if there is none."""
        while True:
            try:
                data, source = self._socket.recvfrom(MAX_DATAGRAM_SIZE)
            except BlockingIOError:
                return None
            except OSError:
                continue  # reports only that an earlier datagram sent here was refused
            return data, _format_address(source)

    async def wait_readable(self) -> None:
        """Waits until a datagram may have arrived."""
        await trio.lowlevel.wait_readable(self._socket)

    def close(self) -> None:
        """Closes the socket and frees its address."""
        if self._socket.fileno() >= 0:
            trio.lowlevel.notify_closing(self._socket)
            self._socket.close()


def _format_address(address: tuple[str, int] | tuple[str, int, int, int]) -> str:
    host, port = address[:2]
    return f"[{host}]:{port}" if ":" in host else f"{host}:{port}"


@contextmanager
def _as_trio_errors() -> Iterator[None]:
    try:
        yield
    except OSError as error:
        if error.errno == errno.EBADF:
            raise trio.ClosedResourceError("this stream was closed here") from error
        raise trio.BrokenResourceError(str(error)) from error


async def _handle(accepted: trio.SocketStream, handler: Handler, silence: int) -> None:
    try:
        stream = PlainSocketStream(accepted, silence)
    except OSError:
        return  # the peer has already closed the connection
    await handler(stream)


async def _accept(
    listener: trio.SocketListener, nursery: trio.Nursery, handler: Handler, refuse: Handler, silence: int
) -> None:
    """Accepts connections until cancelled.

    If all file descriptors are in use, clients would wait in the backlog without a response. So one spare
    descriptor is kept, and closed while a connection is accepted to be refused.
    """
    spare = os.open(os.devnull, os.O_RDONLY)
    try:
        while True:
            try:
                nursery.start_soon(_handle, await listener.accept(), handler, silence)
            except OSError as error:
                if error.errno not in RESOURCE_EXHAUSTED:
                    raise
                if spare >= 0:
                    os.close(spare)
                    spare = -1
                with trio.move_on_after(ACCEPT_RETRY_S), suppress(OSError):
                    await refuse(PlainSocketStream(await listener.accept()))
                await trio.sleep(ACCEPT_RETRY_S / 10)
            except MemoryError:
                await trio.sleep(ACCEPT_RETRY_S)
            if spare < 0:
                with suppress(OSError):
                    spare = os.open(os.devnull, os.O_RDONLY)
    finally:
        if spare >= 0:
            os.close(spare)


class SocketRuntime:
    """The runtime on the operating system. Nagle's algorithm is off: set-ups are small and urgent."""

    _boot_id = ""

    def __init__(self, silence: int = 0, max_descriptors: int = 0) -> None:
        """`silence`: ns after which an idle peer must have responded to keepalive probes; 0: no probes.

        `max_descriptors`: the limit of open file descriptors; 0: the kernel's limit.
        """
        self._silence = silence
        self._max_descriptors = max_descriptors
        # Identifies the boot that the monotonic clock counts from. Unreadable: only wall time can be
        # compared.
        with suppress(OSError):
            self._boot_id = Path("/proc/sys/kernel/random/boot_id").read_text("ascii").strip()

    def wall_time(self) -> int:
        """Returns wall time, ns since 1970."""
        return time.time_ns()

    def timestamp(self) -> Timestamp:
        """Returns wall time and the monotonic clock of this boot."""
        return Timestamp(time.time_ns(), time.monotonic_ns(), self._boot_id)

    async def connect(self, address: str) -> trio.abc.Stream:
        """Connects to a peer by TCP; raises OSError on failure."""
        host, port = split_address(address)
        return PlainSocketStream(await trio.open_tcp_stream(host, port), self._silence)

    async def serve(
        self,
        address: str,
        handler: Handler,
        task_status: trio.TaskStatus[str] = trio.TASK_STATUS_IGNORED,
        refuse: Handler | None = None,
    ) -> None:
        """Serves until cancelled, with a task per stream; `task_status.started` gets the bound address."""
        host, port = split_address(address)
        listeners = await trio.open_tcp_listeners(port, host=host or None)
        bound = listeners[0].socket.getsockname()[1]
        task_status.started(f"{host}:{bound}")
        async with trio.open_nursery() as nursery:
            for listener in listeners:
                nursery.start_soon(_accept, listener, nursery, handler, refuse or handler, self._silence)

    def bind_datagrams(self, address: str) -> DatagramSocket:
        """Returns a UDP socket bound to `address`; raises OSError if that fails."""
        return UdpSocket(address)

    def max_descriptors(self) -> int:
        """Returns the current limit of open file descriptors of this process."""
        limit = resource.getrlimit(resource.RLIMIT_NOFILE)[0]
        return min(limit, self._max_descriptors) if self._max_descriptors else limit

    async def checkpoint(self) -> None:
        """Lets the other tasks run."""
        await trio.lowlevel.checkpoint()

    async def read_file(self, path: str) -> bytes | None:
        """Returns the content of a file; None if it can't be read."""
        try:
            return await trio.Path(path).read_bytes()
        except OSError:
            return None

    async def write_file(self, path: str, data: bytes) -> None:
        """Writes a file atomically, in a thread; raises OSError on failure."""
        # Abandoned on cancel: a hung disk then blocks only the thread, and the process can still end.
        await trio.to_thread.run_sync(_write_atomically, Path(path), data, abandon_on_cancel=True)


def _write_atomically(path: Path, data: bytes) -> None:
    # After a crash the file must have either its old or its new content, complete.
    temporary = path.with_name(f"{path.name}.new")
    with temporary.open("wb") as file:
        file.write(data)
        file.flush()
        os.fsync(file.fileno())
    os.replace(temporary, path)
