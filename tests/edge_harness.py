"""A test harness for the edge proxy in memory, with a scripted list service, servers and callers."""

from __future__ import annotations

from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from types import UnionType
from typing import Any, TypeVar

import trio

from valverouter.config.edge import EdgeConfig, edge_config
from valverouter.config.ini import IniFile
from valverouter.edge.proxy import EdgeProxy
from valverouter.scenarios.memory_network import MemoryNetwork, MemoryRuntime
from valverouter.signalling import setup
from valverouter.signalling.framing import ProtocolError
from valverouter.signalling.greeting import Hello, Session, Welcome
from valverouter.signalling.serverlist import EndpointRegistry, EndpointRow, ListSession, Watch
from valverouter.signalling.setup import SetupSession

MS, SECOND = 10**6, 10**9

INI = """
[edge]
name = e0
listen = edge:1
list_service = list:1
list_cache = cache

[fleet]
edge_proxies = 1
list_is_pushed = yes
release_wait = 300ms
cold_share = 0.35
tip_multiple = 2.5
warm_after = 15s

[traffic plain]
objective = 1500ms
length = 10s

[traffic once]
objective = 1500ms
repeatable = no
"""


def parse_config(ini: str = INI) -> EdgeConfig:
    return edge_config(IniFile(ini, "rig.ini"))


class Peer:
    """The peer's end of one connection to the edge proxy. `received` records every message with its time."""

    def __init__(self, stream: trio.abc.Stream, session: Session) -> None:
        self.stream = stream
        self.session = session
        self.received: list[tuple[float, Any]] = []
        self.ended: float | None = None
        self.reads = True
        self.error: ProtocolError | None = None
        self._changed = trio.Event()
        self._next_index = 0

    async def send(self, *messages: Any) -> None:
        await self.stream.send_all(b"".join(self.session.send(message) for message in messages))

    async def read(self, react: Callable[[Any], Any] = lambda message: None) -> None:
        try:
            while data := await self.stream.receive_some():
                if not self.reads:
                    await trio.sleep_forever()
                for message in self.session.receive(data):
                    self.received.append((trio.current_time(), message))
                    if (answer := react(message)) is not None:
                        await self.send(answer)
                    self._notify()
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            pass
        except ProtocolError as error:
            self.error = error
        self.ended = trio.current_time()
        self._notify()

    def _notify(self) -> None:
        self._changed.set()
        self._changed = trio.Event()

    async def next(self, kind: type | UnionType, within: float = 20.0) -> Any:
        """Returns the next message of a kind that was not yet returned; fails if it does not come in time."""
        with trio.fail_after(within):
            while True:
                while self._next_index < len(self.received):
                    self._next_index += 1
                    message = self.received[self._next_index - 1][1]
                    if isinstance(message, kind):
                        return message
                await self._changed.wait()

    def all(self, kind: type | UnionType) -> list[Any]:
        return [message for _, message in self.received if isinstance(message, kind)]

    def at(self, kind: type, nth: int = 0) -> float:
        return [at for at, message in self.received if isinstance(message, kind)][nth]

    async def close(self) -> None:
        await self.stream.aclose()


class FakeServer:
    """A server that answers a Hello; everything else is sent by the test on `link`."""

    def __init__(
        self, harness: EdgeHarness, name: str, number: int, incarnation: int = 1, age: int = 10**15
    ) -> None:
        self.harness = harness
        self.name = name
        self.number = number
        self.incarnation = incarnation
        self.age = age
        self.version = 1
        self.links: list[Peer] = []
        self.scope = trio.CancelScope()

    @property
    def link(self) -> Peer:
        return self.links[-1]

    async def run(self, task_status: trio.TaskStatus[str] = trio.TASK_STATUS_IGNORED) -> None:
        with trio.CancelScope() as self.scope:
            await self.harness.network.serve(f"{self.name}:1", self._serve, task_status)

    async def _serve(self, stream: trio.abc.Stream) -> None:
        peer = Peer(stream, SetupSession())
        self.links.append(peer)
        try:
            await peer.read(self._react)
        finally:
            with trio.CancelScope(shield=True):
                await peer.close()

    def stop_reading(self) -> None:
        """From now on, what the edge proxy sends on the current link is not read."""
        self.link.reads = False

    def _react(self, message: Any) -> Any:
        if isinstance(message, Hello):
            return Welcome(self.version, self.name, self.incarnation, self.age)
        return None

    def row(self, phase: Any = "in-service") -> EndpointRow:
        return EndpointRow(self.name, self.number, phase, f"{self.name}:1", "", self.incarnation, self.age)


class EdgeHarness:
    """The network, the edge proxy, its list service and any number of servers."""

    def __init__(self, nursery: trio.Nursery, edge: EdgeConfig) -> None:
        self.nursery = nursery
        self.network = MemoryNetwork()
        self.runtime = MemoryRuntime(self.network)
        self.config = edge
        self.registry = EndpointRegistry("rig")
        self.list: Peer | None = None
        self.servers: dict[str, FakeServer] = {}
        self.edge = self.make_edge()
        self.scope = trio.CancelScope()

    def make_edge(self) -> EdgeProxy:
        return EdgeProxy(self.config, self.runtime)

    async def server(self, name: str, number: int, **options: int) -> FakeServer:
        server = self.servers[name] = FakeServer(self, name, number, **options)
        await self.nursery.start(server.run)
        return server

    async def publish(self, *rows: EndpointRow) -> None:
        change = self.registry.change(list(rows))
        if self.list is not None:
            await self.list.send(change)
            await trio.sleep(0.05)

    async def serve_list(self, stream: trio.abc.Stream) -> None:
        self.list = peer = Peer(stream, ListSession())
        await peer.read(self._answer_watch)

    def _answer_watch(self, message: Any) -> Any:
        if isinstance(message, Hello):
            return Welcome(1, "list")
        return next(iter(self.registry.answer(message)), None) if isinstance(message, Watch) else None

    async def caller(self, name: str = "c0", newest: int = 1) -> Peer:
        stream = await self.network.connect("edge:1")
        peer = Peer(stream, SetupSession(Hello((1, newest), "caller", name)))
        await stream.send_all(peer.session.hello_frame())
        self.nursery.start_soon(peer.read)
        await peer.next(Welcome)
        return peer

    async def run_edge(self, task_status: trio.TaskStatus[Any] = trio.TASK_STATUS_IGNORED) -> None:
        with trio.CancelScope() as self.scope:
            await self.edge.run(task_status)

    async def restart(self) -> None:
        """Kills the edge proxy's process and starts another; memory state is lost, files are kept."""
        self.scope.cancel()
        await trio.sleep(0.01)
        self.runtime = MemoryRuntime(self.network)
        self.edge = self.make_edge()
        await self.nursery.start(self.run_edge)


HarnessT = TypeVar("HarnessT", bound=EdgeHarness)


@asynccontextmanager
async def running_harness(
    harness_type: type[HarnessT], servers: int = 2, ini: str = INI, version: int = 1
) -> AsyncIterator[HarnessT]:
    """Starts an edge proxy, its list service and warm servers s0, s1 ..., with all links up."""
    async with trio.open_nursery() as nursery:
        harness = harness_type(nursery, parse_config(ini))
        await nursery.start(harness.network.serve, "list:1", harness.serve_list)
        for number in range(servers):
            (await harness.server(f"s{number}", number)).version = version
        harness.registry.change([server.row() for server in harness.servers.values()])
        await nursery.start(harness.run_edge)
        await trio.sleep(0.1)
        yield harness
        nursery.cancel_scope.cancel()


@asynccontextmanager
async def running_edge(servers: int = 2, ini: str = INI) -> AsyncIterator[EdgeHarness]:
    async with running_harness(EdgeHarness, servers, ini) as harness:
        yield harness


def dial(dialog: str = "d1", first: int = 0, no_answer: int = 9 * SECOND, kind: str = "plain") -> setup.Setup:
    return setup.Setup(dialog=dialog, traffic_type=kind, time_left=no_answer, preferred_server_number=first)
