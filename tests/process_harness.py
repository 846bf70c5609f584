"""`valverouter edge` as a process on loopback, with scripted peers, for fault injection.

Shortages are small limits on the child alone (resource.prlimit on its pid); the machine is left as it is.
"""

from __future__ import annotations

import os
import resource
import signal
import subprocess
import sys
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager, suppress
from pathlib import Path
from typing import Any

import msgspec
import trio

from tests.edge_harness import Peer
from valverouter.edge.sockets import SocketRuntime
from valverouter.signalling.greeting import Hello, Welcome
from valverouter.signalling.serverlist import EndpointRegistry, EndpointRow, ListSession, Watch
from valverouter.signalling.setup import Established, Failed, Provisional, Rejected, Setup, SetupSession

INI = """
[edge]
name = e0
listen = 127.0.0.1:0
list_service = {list_at}
list_cache = {folder}/cache
{edge}

[fleet]
edge_proxies = 1
release_wait = 300ms
{fleet}

[traffic plain]
objective = 1500ms
length = 10s

[links]
{links}

{more}
"""


class Far:
    """A stand-in server on a real socket: welcomes, and says `answer` to each set-up."""

    def __init__(self, name: str, number: int) -> None:
        self.name, self.number, self.address = name, number, "127.0.0.1:0"
        self.links: list[Peer] = []
        self.answer: Callable[[Setup], Any] = lambda asked: Established(asked.dialog, asked.leg)

    async def run(self, task_status: trio.TaskStatus[str] = trio.TASK_STATUS_IGNORED) -> None:
        await SocketRuntime().serve(self.address, self._serve, task_status)

    async def _serve(self, stream: trio.abc.Stream) -> None:
        self.links.append(peer := Peer(stream, SetupSession()))
        await peer.read(self._react)
        await peer.close()

    def _react(self, message: Any) -> Any:
        if isinstance(message, Hello):
            return Welcome(1, self.name, 1, 10**15)
        return self.answer(message) if isinstance(message, Setup) else None

    def row(self, phase: Any = "in-service", address: str = "") -> EndpointRow:
        return EndpointRow(self.name, self.number, phase, address or self.address, "", 1, 10**15)


class Drill:
    """The process, its list service and servers s0, s1 ...; `lines` are its log events so far."""

    def __init__(self, nursery: trio.Nursery, folder: Path) -> None:
        self.nursery, self.folder = nursery, folder
        self.file = folder / "edge.ini"
        self.servers: dict[str, Far] = {}
        self.registry = EndpointRegistry("drill")
        self.lists: list[Peer] = []
        self.lines: list[dict[str, Any]] = []
        self.other_lines: list[bytes] = []
        self.address = ""
        self.process: subprocess.Popen[bytes]
        self._stirred = trio.Event()

    def ini(self, edge: str = "", fleet: str = "", links: str = "", more: str = "") -> str:
        return INI.format(
            list_at=self.list_at, folder=self.folder, edge=edge, fleet=fleet, links=links, more=more
        )

    async def open(self, servers: int) -> None:
        for number in range(servers):
            far = self.servers[f"s{number}"] = Far(f"s{number}", number)
            far.address = await self.nursery.start(far.run)
        self.list_at = await self.nursery.start(SocketRuntime().serve, "127.0.0.1:0", self._list)
        self.registry.change([far.row() for far in self.servers.values()])

    async def _list(self, stream: trio.abc.Stream) -> None:
        self.lists.append(peer := Peer(stream, ListSession()))
        await peer.read(self._listing)
        await peer.close()

    def _listing(self, message: Any) -> Any:
        if isinstance(message, Hello):
            return Welcome(1, "list")
        return next(iter(self.registry.answer(message)), None) if isinstance(message, Watch) else None

    async def publish(self, *rows: EndpointRow) -> None:
        await self.lists[-1].send(self.registry.change(list(rows)))

    async def start(self, text: str, stderr: int | None = None) -> None:
        """Starts it and waits until it listens; with `stderr` of its own, until its port is known to us."""
        self.file.write_text(text, "utf-8")
        self.spawn(["valverouter.cli", "edge", str(self.file)], stderr=stderr)
        if stderr is None:
            self.address = (await self.event("edge-listening"))["address"]
            await self.event("link-up", many=len(self.servers))

    async def start_platform_edge(self, told: dict[str, Any]) -> None:
        """Starts the edge proxy behind the platform's protocol, told so; waits until it listens."""
        self.file = self.folder / "config.json"
        self.file.write_bytes(msgspec.json.encode(told))
        self.spawn(["valverouter.platform_edge"], {"RELAY_CONFIG": str(self.file)})
        await self.event("edge-listening")
        self.address = told["listen"]

    def spawn(
        self, module: list[str], environment: dict[str, str] | None = None, stderr: int | None = None
    ) -> None:
        mine, theirs = (-1, stderr) if stderr is not None else os.pipe()
        command = [sys.executable, "-m", *module]
        self.process = subprocess.Popen(
            command, env=os.environ | (environment or {}), stderr=theirs, stdin=subprocess.DEVNULL
        )
        if mine >= 0:
            os.close(theirs)
            self.nursery.start_soon(self._read, trio.lowlevel.FdStream(mine))

    async def _read(self, stream: trio.lowlevel.FdStream) -> None:
        rest = b""
        while data := await stream.receive_some(65_536):
            *lines, rest = (rest + data).split(b"\n")
            for line in lines:
                try:
                    self.lines.append(msgspec.json.decode(line))
                except msgspec.DecodeError:
                    self.other_lines.append(line)
            self._stirred.set()
            self._stirred = trio.Event()

    def events(self, name: str) -> list[dict[str, Any]]:
        return [line for line in self.lines if line.get("event") == name]

    async def event(self, name: str, many: int = 1, within: float = 20.0) -> dict[str, Any]:
        """The `many`-th event of that name, waited for; fails where it does not come."""
        with trio.fail_after(within):
            while len(found := self.events(name)) < many:
                await self._stirred.wait()
        return found[many - 1]

    async def caller(self, name: str = "c0") -> Peer:
        stream = await SocketRuntime().connect(self.address)
        peer = Peer(stream, SetupSession(Hello((1, 1), "caller", name)))
        await stream.send_all(peer.session.hello_frame())
        self.nursery.start_soon(peer.read)
        await peer.next(Welcome)
        return peer

    async def stands(self, dialog: str, caller: Peer | None = None) -> None:
        """Proves that a dialog still goes through, from dialling to its answer.

        One that is declined comes again: a machine that is held up for a moment looks like a slow server, and
        this must not be judged by luck.
        """
        caller = caller or await self.caller(f"of-{dialog}")
        with trio.fail_after(20):
            for again in range(100):
                name = f"{dialog}.{again}" if again else dialog
                await caller.send(
                    Setup(dialog=name, traffic_type="plain", time_left=9 * 10**9, preferred_server_number=0)
                )
                await caller.next(Provisional)
                if isinstance(await caller.next(Established | Rejected | Failed), Established):
                    return
                await trio.sleep(0.2)
        raise AssertionError(f"{dialog} was declined 100 times")

    def limit(self, what: int, most: int) -> None:
        """A limit on the child alone; its hard limit stays, so that it can be raised again."""
        hard = resource.prlimit(self.process.pid, what)[1]
        resource.prlimit(self.process.pid, what, (most, hard))

    def holds(self) -> dict[str, int]:
        """What the process holds: descriptors, threads, and resident memory in KiB."""
        status = Path(f"/proc/{self.process.pid}/status").read_text()
        found = dict(line.split(":", 1) for line in status.splitlines() if ":" in line)
        return {
            "descriptors": len(os.listdir(f"/proc/{self.process.pid}/fd")),
            "threads": int(found["Threads"]),
            "memory": int(found["VmRSS"].split()[0]),
        }

    async def settled(self) -> dict[str, int]:
        """`holds` once it stays the same: a file may be open for a moment."""
        before: dict[str, int] = {}
        while (now := self.holds())["descriptors"] != before.get("descriptors"):
            before = now
            await trio.sleep(0.3)
        return now

    async def ended(self, within: float = 15.0) -> int:
        with trio.fail_after(within):
            while (code := self.process.poll()) is None:
                await trio.sleep(0.02)
        return code


@asynccontextmanager
async def drill(folder: Path, servers: int = 1) -> AsyncIterator[Drill]:
    async with trio.open_nursery() as nursery:
        one = Drill(nursery, folder)
        await one.open(servers)
        try:
            yield one
        finally:
            nursery.cancel_scope.cancel()
            with suppress(AttributeError):
                if one.process.poll() is None:
                    one.process.send_signal(signal.SIGCONT)
                    one.process.kill()
                one.process.wait()
