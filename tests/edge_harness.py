"""An edge proxy in memory with scripted peers: list service, servers and callers that do as the test says."""

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


def terms(ini: str = INI) -> EdgeConfig:
    return edge_config(IniFile(ini, "rig.ini"))


class Peer:
    """One connection at the far end of the edge. `heard` keeps every message with its moment."""

    def __init__(self, stream: trio.abc.Stream, session: Session) -> None:
        self.stream = stream
        self.session = session
        self.heard: list[tuple[float, Any]] = []
        self.ended: float | None = None
        self.reads = True
        self.error: ProtocolError | None = None
        self._stirred = trio.Event()
        self._taken = 0

    async def send(self, *messages: Any) -> None:
        await self.stream.send_all(b"".join(self.session.send(message) for message in messages))

    async def read(self, react: Callable[[Any], Any] = lambda message: None) -> None:
        try:
            while data := await self.stream.receive_some():
                if not self.reads:
                    await trio.sleep_forever()
                for message in self.session.receive(data):
                    self.heard.append((trio.current_time(), message))
                    if (answer := react(message)) is not None:
                        await self.send(answer)
                    self._stir()
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            pass
        except ProtocolError as error:
            self.error = error
        self.ended = trio.current_time()
        self._stir()

    def _stir(self) -> None:
        self._stirred.set()
        self._stirred = trio.Event()

    async def next(self, kind: type | UnionType, within: float = 20.0) -> Any:
        """The next message of a kind that no `next` has given yet; fails when it does not come in time."""
        with trio.fail_after(within):
            while True:
                while self._taken < len(self.heard):
                    self._taken += 1
                    message = self.heard[self._taken - 1][1]
                    if isinstance(message, kind):
                        return message
                await self._stirred.wait()

    def all(self, kind: type | UnionType) -> list[Any]:
        return [message for _, message in self.heard if isinstance(message, kind)]

    def at(self, kind: type, nth: int = 0) -> float:
        return [at for at, message in self.heard if isinstance(message, kind)][nth]

    async def cut(self) -> None:
        await self.stream.aclose()


class FakeServer:
    """A server that welcomes, and else does what the test sends on `link`."""

    def __init__(self, rig: Rig, name: str, number: int, incarnation: int = 1, age: int = 10**15) -> None:
        self.rig = rig
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
            await self.rig.network.serve(f"{self.name}:1", self._serve, task_status)

    async def _serve(self, stream: trio.abc.Stream) -> None:
        peer = Peer(stream, SetupSession())
        self.links.append(peer)
        try:
            await peer.read(self._react)
        finally:
            with trio.CancelScope(shield=True):
                await peer.cut()

    def stops_reading(self) -> None:
        """Whatever the edge sends on this link from now on stays where it is."""
        self.link.reads = False

    def _react(self, message: Any) -> Any:
        if isinstance(message, Hello):
            return Welcome(self.version, self.name, self.incarnation, self.age)
        return None

    def row(self, phase: Any = "in-service") -> EndpointRow:
        return EndpointRow(self.name, self.number, phase, f"{self.name}:1", "", self.incarnation, self.age)


class Rig:
    """The network, the edge, its list service, and as many servers as asked for."""

    def __init__(self, nursery: trio.Nursery, edge: EdgeConfig) -> None:
        self.nursery = nursery
        self.network = MemoryNetwork()
        self.runtime = MemoryRuntime(self.network)
        self.terms = edge
        self.register = EndpointRegistry("rig")
        self.list: Peer | None = None
        self.servers: dict[str, FakeServer] = {}
        self.edge = self.make_edge()
        self.scope = trio.CancelScope()

    def make_edge(self) -> EdgeProxy:
        return EdgeProxy(self.terms, self.runtime)

    async def server(self, name: str, number: int, **more: int) -> FakeServer:
        server = self.servers[name] = FakeServer(self, name, number, **more)
        await self.nursery.start(server.run)
        return server

    async def tell(self, *rows: EndpointRow) -> None:
        change = self.register.change(list(rows))
        if self.list is not None:
            await self.list.send(change)
            await trio.sleep(0.05)

    async def serve_list(self, stream: trio.abc.Stream) -> None:
        self.list = peer = Peer(stream, ListSession())
        await peer.read(self._listing)

    def _listing(self, message: Any) -> Any:
        if isinstance(message, Hello):
            return Welcome(1, "list")
        return next(iter(self.register.answer(message)), None) if isinstance(message, Watch) else None

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
        """The edge's process is killed and another started; what it held is gone, its files stay."""
        self.scope.cancel()
        await trio.sleep(0.01)
        self.runtime = MemoryRuntime(self.network)
        self.edge = self.make_edge()
        await self.nursery.start(self.run_edge)


Sort = TypeVar("Sort", bound=Rig)


@asynccontextmanager
async def rigged_as(
    sort: type[Sort], servers: int = 2, ini: str = INI, version: int = 1
) -> AsyncIterator[Sort]:
    """An edge with its list and warm servers s0, s1 ... up, all links made."""
    async with trio.open_nursery() as nursery:
        rig = sort(nursery, terms(ini))
        await nursery.start(rig.network.serve, "list:1", rig.serve_list)
        for number in range(servers):
            (await rig.server(f"s{number}", number)).version = version
        rig.register.change([server.row() for server in rig.servers.values()])
        await nursery.start(rig.run_edge)
        await trio.sleep(0.1)
        yield rig
        nursery.cancel_scope.cancel()


@asynccontextmanager
async def rigged(servers: int = 2, ini: str = INI) -> AsyncIterator[Rig]:
    async with rigged_as(Rig, servers, ini) as rig:
        yield rig


def dial(dialog: str = "d1", first: int = 0, no_answer: int = 9 * SECOND, kind: str = "plain") -> setup.Setup:
    return setup.Setup(dialog=dialog, traffic_type=kind, time_left=no_answer, preferred_server_number=first)
