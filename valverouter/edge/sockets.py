"""The machine as an edge proxy's runtime: TCP and UDP sockets, files, and the system's clocks."""

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

# What the kernel keeps of datagrams while this process does not run, as far as it allows so much.
DATAGRAM_BUFFER_SIZE = 1024 * 1024
# What accept says when this process or the machine has nothing left for another connection.
RESOURCE_EXHAUSTED = frozenset((errno.EMFILE, errno.ENFILE, errno.ENOMEM, errno.ENOBUFS))
# Before accepting is tried again then, in seconds.
ACCEPT_RETRY_S = 0.1
KEEPALIVE_PROBES = 3
# What poll says of a peer that has closed; Linux alone knows it apart from bytes to be read.
PEER_CLOSED = getattr(select, "POLLRDHUP", 0)
# Addresses that a datagram socket remembers parsed.
MAX_PARSED_ADDRESSES = 10_000


def split_address(address: str) -> tuple[str, int]:
    """Host and port of HOST:PORT; ValueError where it is none."""
    host, _, port = address.rpartition(":")
    if not host or not port.isascii() or not port.isdigit():
        raise ValueError(f"{address!r} is no HOST:PORT")
    return host.strip("[]"), int(port)


class PlainSocketStream(trio.abc.Stream):
    """A connected socket, read when trio says that it is readable and written first without a wait.

    Trio's own stream tries, asks whether it was cancelled and yields at each call, in both directions; here a
    read waits once, and a write that the kernel takes at once costs its system call alone.
    """

    def __init__(self, stream: trio.SocketStream, silence: int = 0) -> None:
        self._socket = socket.socket(fileno=stream.socket.detach())
        self._socket.setblocking(False)
        if silence:
            self._enable_keepalive(silence)

    def _enable_keepalive(self, silence: int) -> None:
        """Lets the kernel probe a silent peer, and close within `silence` ns one that is not there.

        A machine that lost its power closes nothing, and an idle connection to it would stay for good.
        """
        first = max(1, silence // 2 // 10**9)
        between = max(1, (silence // 10**9 - first) // KEEPALIVE_PROBES)
        self._socket.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
        for option, value in (
            (socket.TCP_KEEPIDLE, first),
            (socket.TCP_KEEPINTVL, between),
            (socket.TCP_KEEPCNT, KEEPALIVE_PROBES),
            (socket.TCP_USER_TIMEOUT, silence // 10**6),
        ):
            self._socket.setsockopt(socket.IPPROTO_TCP, option, value)

    def send_now(self, data: bytes) -> int:
        """How many bytes the kernel took without a wait."""
        try:
            return self._socket.send(data)
        except OSError:
            return 0  # full, or gone: `send_all` waits or tells

    @property
    def has_unread_data(self) -> bool:
        """Whether bytes have arrived that nobody has read."""
        try:
            return bool(self._socket.recv(1, socket.MSG_PEEK))
        except OSError:
            return False

    @property
    def peer_has_closed(self) -> bool:
        """Whether the peer has closed, also where bytes that it sent before lie unread."""
        if self._socket.fileno() < 0:
            return True
        poll = select.poll()
        poll.register(self._socket, PEER_CLOSED)
        closed = PEER_CLOSED | select.POLLHUP | select.POLLERR
        try:
            return any(flags & closed for _, flags in poll.poll(0))
        except OSError:
            return False  # where it can't be polled, the reader finds out

    async def send_all(self, data: bytes | bytearray | memoryview) -> None:
        """Sends everything, waiting where the kernel has no space."""
        await trio.lowlevel.checkpoint()
        rest = memoryview(data)
        with _as_trio_errors():
            while rest:
                try:
                    rest = rest[self._socket.send(rest) :]
                except BlockingIOError:
                    await trio.lowlevel.wait_writable(self._socket)

    async def wait_send_all_might_not_block(self) -> None:
        """Returns when the kernel has space."""
        with _as_trio_errors():
            if self._socket.fileno() < 0:
                raise trio.ClosedResourceError("this stream was closed here")
            await trio.lowlevel.wait_writable(self._socket)

    async def receive_some(self, max_bytes: int | None = None) -> bytes:
        """What has arrived, at most so many bytes; empty: the peer has closed."""
        with _as_trio_errors():
            while True:
                if self._socket.fileno() < 0:  # trio's own loop would fall over a closed one
                    raise trio.ClosedResourceError("this stream was closed here")
                await trio.lowlevel.wait_readable(self._socket)
                with suppress(BlockingIOError):
                    return self._socket.recv(max_bytes or READ_SIZE)

    def close_now(self) -> None:
        """Closes the socket without a wait."""
        if self._socket.fileno() >= 0:
            trio.lowlevel.notify_closing(self._socket)
            self._socket.close()

    async def aclose(self) -> None:
        """Closes the socket."""
        self.close_now()
        await trio.lowlevel.checkpoint()


class UdpSocket:
    """A UDP socket of the machine."""

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
        # Addresses by their text, as many as a fleet has; emptied when there are too many.
        self._resolved: dict[str, tuple[str, int]] = {}

    def send(self, data: bytes, address: str) -> bool:
        """Whether the kernel took it."""
        destination = self._resolved.get(address)
        if destination is None:
            if len(self._resolved) > MAX_PARSED_ADDRESSES:
                self._resolved.clear()
            destination = self._resolved[address] = split_address(address)
        try:
            self._socket.sendto(data, destination)
        except OSError:
            return False  # full, nobody there, no way there: as good as lost
        return True

    def receive(self) -> tuple[bytes, str] | None:
        """A datagram that has arrived, and its sender; None: none has."""
        while True:
            try:
                data, source = self._socket.recvfrom(MAX_DATAGRAM_SIZE)
            except BlockingIOError:
                return None
            except OSError:
                continue  # an earlier datagram of ours was refused; that is all it says
            return data, _format_address(source)

    async def wait_readable(self) -> None:
        """Returns when a datagram may have arrived."""
        await trio.lowlevel.wait_readable(self._socket)

    def close(self) -> None:
        """Frees the address."""
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
        return  # closed again already
    await handler(stream)


async def _accept(
    listener: trio.SocketListener, nursery: trio.Nursery, handler: Handler, refuse: Handler, silence: int
) -> None:
    """Accepts until cancelled.

    With no descriptor left callers would wait in the backlog and hear nothing; the one spare is given up for
    as long as it takes to refuse each.
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
    """The machine. Delayed sending (Nagle) is off: set-ups are small and urgent."""

    _boot_id = ""

    def __init__(self, silence: int = 0, max_descriptors: int = 0) -> None:
        """A peer silent for `silence` ns is probed. `max_descriptors` 0: the kernel's limit."""
        self._silence = silence
        self._max_descriptors = max_descriptors
        # The monotonic clock counts from the boot that this names; without it only wall time is left.
        with suppress(OSError):
            self._boot_id = Path("/proc/sys/kernel/random/boot_id").read_text("ascii").strip()

    def wall_time(self) -> int:
        """Wall time in ns since 1970."""
        return time.time_ns()

    def moment(self) -> Timestamp:
        """Wall time and the monotonic clock of this boot."""
        return Timestamp(time.time_ns(), time.monotonic_ns(), self._boot_id)

    async def connect(self, address: str) -> trio.abc.Stream:
        """A TCP stream to a peer; OSError when there is none."""
        host, port = split_address(address)
        return PlainSocketStream(await trio.open_tcp_stream(host, port), self._silence)

    async def serve(
        self,
        address: str,
        handler: Handler,
        task_status: trio.TaskStatus[str] = trio.TASK_STATUS_IGNORED,
        refuse: Handler | None = None,
    ) -> None:
        """Serves until cancelled, a task for each stream; `started` with the address in use."""
        host, port = split_address(address)
        listeners = await trio.open_tcp_listeners(port, host=host or None)
        bound = listeners[0].socket.getsockname()[1]
        task_status.started(f"{host}:{bound}")
        async with trio.open_nursery() as nursery:
            for listener in listeners:
                nursery.start_soon(_accept, listener, nursery, handler, refuse or handler, self._silence)

    def bind_datagrams(self, address: str) -> DatagramSocket:
        """A UDP socket bound there; OSError when it can't be."""
        return UdpSocket(address)

    def max_descriptors(self) -> int:
        """How many descriptors this process may hold at present."""
        limit = resource.getrlimit(resource.RLIMIT_NOFILE)[0]
        return min(limit, self._max_descriptors) if self._max_descriptors else limit

    async def checkpoint(self) -> None:
        """Gives the other tasks their turn."""
        await trio.lowlevel.checkpoint()

    async def read_file(self, path: str) -> bytes | None:
        """A file's content; None when there is none to read."""
        try:
            return await trio.Path(path).read_bytes()
        except OSError:
            return None

    async def write_file(self, path: str, data: bytes) -> None:
        """Writes a file whole or not at all; OSError."""
        # A disk that hangs keeps its thread, not the instance, which could not end otherwise.
        await trio.to_thread.run_sync(_write_atomically, Path(path), data, abandon_on_cancel=True)


def _write_atomically(path: Path, data: bytes) -> None:
    # A reader after a crash must find the old content or the new, not half of either.
    temporary = path.with_name(f"{path.name}.new")
    with temporary.open("wb") as file:
        file.write(data)
        file.flush()
        os.fsync(file.fileno())
    os.replace(temporary, path)
