"""Runs `valverouter edge` as a process on loopback, with scripted peers, for fault injection.

Resource exhaustion is caused by limits on the child process only (resource.prlimit on its pid).
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
list_service = {list_address}
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


class ScriptedServer:
    """A fake server on a real socket: sends Welcome, and answers each set-up with the result of `answer`."""

    def __init__(self, name: str, number: int) -> None:
        self.name, self.number, self.address = name, number, "127.0.0.1:0"
        self.links: list[Peer] = []
        self.answer: Callable[[Setup], Any] = lambda request: Established(request.dialog, request.leg)

    async def run(self, task_status: trio.TaskStatus[str] = trio.TASK_STATUS_IGNORED) -> None:
        await SocketRuntime().serve(self.address, self._serve, task_status)

    async def _serve(self, stream: trio.abc.Stream) -> None:
        self.links.append(peer := Peer(stream, SetupSession()))
        await peer.read(self._answer)
        await peer.close()

    def _answer(self, message: Any) -> Any:
        if isinstance(message, Hello):
            return Welcome(1, self.name, 1, 10**15)
        return self.answer(message) if isinstance(message, Setup) else None

    def row(self, phase: Any = "in-service", address: str = "") -> EndpointRow:
        return EndpointRow(self.name, self.number, phase, address or self.address, "", 1, 10**15)


class ProcessHarness:
    """The process, its list service and servers s0, s1 ...

    `log_events`: the log events so far; `unparsed_lines`: lines of its log that are not JSON.
    """

    def __init__(self, nursery: trio.Nursery, folder: Path) -> None:
        self.nursery, self.folder = nursery, folder
        self.config_file = folder / "edge.ini"
        self.servers: dict[str, ScriptedServer] = {}
        self.registry = EndpointRegistry("drill")
        self.list_connections: list[Peer] = []
        self.log_events: list[dict[str, Any]] = []
        self.unparsed_lines: list[bytes] = []
        self.address = ""
        self.process: subprocess.Popen[bytes]
        self._log_grew = trio.Event()

    def ini(self, edge: str = "", fleet: str = "", links: str = "", more: str = "") -> str:
        return INI.format(
            list_address=self.list_address, folder=self.folder, edge=edge, fleet=fleet, links=links, more=more
        )

    async def start_peers(self, servers: int) -> None:
        for number in range(servers):
            server = self.servers[f"s{number}"] = ScriptedServer(f"s{number}", number)
            server.address = await self.nursery.start(server.run)
        self.list_address = await self.nursery.start(SocketRuntime().serve, "127.0.0.1:0", self._serve_list)
        self.registry.change([server.row() for server in self.servers.values()])

    async def _serve_list(self, stream: trio.abc.Stream) -> None:
        self.list_connections.append(peer := Peer(stream, ListSession()))
        await peer.read(self._answer_watch)
        await peer.close()

    def _answer_watch(self, message: Any) -> Any:
        if isinstance(message, Hello):
            return Welcome(1, "list")
        return next(iter(self.registry.answer(message)), None) if isinstance(message, Watch) else None

    async def publish(self, *rows: EndpointRow) -> None:
        await self.list_connections[-1].send(self.registry.change(list(rows)))

    async def start(self, text: str, stderr: int | None = None) -> None:
        """Starts the process; unless `stderr` is given, waits until it is connected to all servers."""
        self.config_file.write_text(text, "utf-8")
        self.spawn(["valverouter.cli", "edge", str(self.config_file)], stderr=stderr)
        if stderr is None:
            self.address = (await self.wait_for_event("edge-listening"))["address"]
            await self.wait_for_event("link-up", count=len(self.servers))

    async def start_platform_edge(self, config: dict[str, Any]) -> None:
        """Starts the platform's edge proxy with a configuration and waits until it listens."""
        self.config_file = self.folder / "config.json"
        self.config_file.write_bytes(msgspec.json.encode(config))
        self.spawn(["valverouter.platform_edge"], {"RELAY_CONFIG": str(self.config_file)})
        await self.wait_for_event("edge-listening")
        self.address = config["listen"]

    def spawn(
        self, module: list[str], environment: dict[str, str] | None = None, stderr: int | None = None
    ) -> None:
        read_end, write_end = (-1, stderr) if stderr is not None else os.pipe()
        command = [sys.executable, "-m", *module]
        self.process = subprocess.Popen(
            command, env=os.environ | (environment or {}), stderr=write_end, stdin=subprocess.DEVNULL
        )
        if read_end >= 0:
            os.close(write_end)
            self.nursery.start_soon(self._read, trio.lowlevel.FdStream(read_end))

    async def _read(self, stream: trio.lowlevel.FdStream) -> None:
        rest = b""
        while data := await stream.receive_some(65_536):
            *lines, rest = (rest + data).split(b"\n")
            for line in lines:
                try:
                    self.log_events.append(msgspec.json.decode(line))
                except msgspec.DecodeError:
                    self.unparsed_lines.append(line)
            self._log_grew.set()
            self._log_grew = trio.Event()

    def events(self, name: str) -> list[dict[str, Any]]:
        return [line for line in self.log_events if line.get("event") == name]

    async def wait_for_event(self, name: str, count: int = 1, timeout_s: float = 20.0) -> dict[str, Any]:
        """Returns the `count`-th event of that name; raises TooSlowError after `timeout_s`."""
        with trio.fail_after(timeout_s):
            while len(found := self.events(name)) < count:
                await self._log_grew.wait()
        return found[count - 1]

    async def caller(self, name: str = "c0") -> Peer:
        stream = await SocketRuntime().connect(self.address)
        peer = Peer(stream, SetupSession(Hello((1, 1), "caller", name)))
        await stream.send_all(peer.session.hello_frame())
        self.nursery.start_soon(peer.read)
        await peer.next(Welcome)
        return peer

    async def establish_dialog(self, dialog: str, caller: Peer | None = None) -> None:
        """Sends set-ups until one is established; fails after 20 s.

        A declined set-up is sent again under a new name, because a short stall of the machine looks like a
        slow server to the edge proxy, and the result of a test must not depend on it.
        """
        caller = caller or await self.caller(f"of-{dialog}")
        with trio.fail_after(20):
            for retry in range(100):
                name = f"{dialog}.{retry}" if retry else dialog
                await caller.send(
                    Setup(dialog=name, traffic_type="plain", time_left=9 * 10**9, preferred_server_number=0)
                )
                await caller.next(Provisional)
                if isinstance(await caller.next(Established | Rejected | Failed), Established):
                    return
                await trio.sleep(0.2)
        raise AssertionError(f"{dialog} was declined 100 times")

    def set_limit(self, resource_number: int, soft_limit: int) -> None:
        """Sets a soft limit on the child process; keeps the hard limit, so that it can be raised again."""
        hard_limit = resource.prlimit(self.process.pid, resource_number)[1]
        resource.prlimit(self.process.pid, resource_number, (soft_limit, hard_limit))

    def resource_usage(self) -> dict[str, int]:
        """Returns the process's number of descriptors and threads, and its resident memory in KiB."""
        status = Path(f"/proc/{self.process.pid}/status").read_text()
        fields = dict(line.split(":", 1) for line in status.splitlines() if ":" in line)
        return {
            "descriptors": len(os.listdir(f"/proc/{self.process.pid}/fd")),
            "threads": int(fields["Threads"]),
            "memory": int(fields["VmRSS"].split()[0]),
        }

    async def stable_resource_usage(self) -> dict[str, int]:
        """Returns the resource usage once the number of descriptors is stable: a file may be open briefly."""
        previous: dict[str, int] = {}
        while (now := self.resource_usage())["descriptors"] != previous.get("descriptors"):
            previous = now
            await trio.sleep(0.3)
        return now

    async def wait_for_exit(self, timeout_s: float = 15.0) -> int:
        with trio.fail_after(timeout_s):
            while (code := self.process.poll()) is None:
                await trio.sleep(0.02)
        return code


@asynccontextmanager
async def running_process(folder: Path, servers: int = 1) -> AsyncIterator[ProcessHarness]:
    async with trio.open_nursery() as nursery:
        harness = ProcessHarness(nursery, folder)
        await harness.start_peers(servers)
        try:
            yield harness
        finally:
            nursery.cancel_scope.cancel()
            with suppress(AttributeError):
                if harness.process.poll() is None:
                    harness.process.send_signal(signal.SIGCONT)
                    harness.process.kill()
                harness.process.wait()
