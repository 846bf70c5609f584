"""A day in virtual time: the same edge proxies and fakes on streams in memory, under trio's MockClock.

It ends in seconds and gives the same rows every time. Streams have room for so many bytes, as sockets have,
so that a peer that does not read blocks its writer here too.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Awaitable, Callable
from contextlib import contextmanager
from typing import Any

import trio
import trio.testing

from valverouter.days.play import play_day
from valverouter.days.viewing import MemoryViews
from valverouter.days.world import World
from valverouter.edge.proxy import EdgeProxy
from valverouter.edge.resumable_proxy import make_edge_proxy
from valverouter.recovery.lifecycle import DialogRecord, Timestamp
from valverouter.servermodel.paths import NetworkPaths
from valverouter.signalling.tap import Row
from valverouter.terms.day import ScenarioConfig

ROOM = 64 * 1024
# Connecting takes its time here too, or nothing would ever be asked of a link that still connects.
CONNECT_S = 0.002
EPOCH = 1_700_000_000 * 10**9


class _Pipe:
    """One direction of a stream."""

    def __init__(self) -> None:
        self.held = bytearray()
        self.ended = False
        self.broken = False
        self.stirred = trio.Event()

    def stir(self) -> None:
        self.stirred.set()
        self.stirred = trio.Event()


class MemoryStream(trio.abc.Stream):
    """One end of a stream in memory. Closing it ends the other's reading and breaks the other's writing."""

    def __init__(self, inward: _Pipe, outward: _Pipe) -> None:
        self._in = inward
        self._out = outward
        self._closed = False

    async def send_all(self, data: bytes | bytearray | memoryview) -> None:
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
        while len(self._out.held) >= ROOM and not self._out.broken:
            await self._out.stirred.wait()

    async def receive_some(self, max_bytes: int | None = None) -> bytes:
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
        self._closed = True
        self._out.ended = True
        self._in.broken = True
        self._out.stir()
        self._in.stir()
        await trio.lowlevel.checkpoint()


class MemoryPlace:
    """A network in memory: who serves at which address. Emptied as servers end."""

    def __init__(self) -> None:
        self.serving: dict[str, Callable[[trio.abc.Stream], None]] = {}
        self.files: dict[str, bytes] = {}
        self.refused: set[str] = set()
        self.bound: dict[str, MemoryDatagrams] = {}
        # By which ways datagrams go, and who stands at an address; without, each arrives at once.
        self.paths: NetworkPaths | None = None
        self.names: dict[str, str] = {}
        self.carrier: trio.Nursery | None = None
        self.unstruck: frozenset[str] = frozenset()
        self._ports = 0

    def carry(self, source: str, address: str, data: bytes) -> None:
        if self.paths is None or self.carrier is None or {source, address} & self.unstruck:
            self._arrive(source, address, data)
            return
        pair = self.names.get(source, source), self.names.get(address, address)
        for span in self.paths.delivery_delays(*pair, round(trio.current_time() * 1e9)):
            self.carrier.start_soon(self._arrive_after, span, source, address, data)

    async def _arrive_after(self, span: int, source: str, address: str, data: bytes) -> None:
        await trio.sleep(span / 1e9)
        self._arrive(source, address, data)

    def _arrive(self, source: str, address: str, data: bytes) -> None:
        there = self.bound.get(address)
        if there is not None:
            there.put(data, source)

    async def connect(self, address: str) -> trio.abc.Stream:
        await trio.sleep(CONNECT_S)
        take = self.serving.get(address)
        if take is None:
            raise ConnectionRefusedError(f"nobody serves at {address}")
        there, back = _Pipe(), _Pipe()
        take(MemoryStream(there, back))
        return MemoryStream(back, there)

    async def serve(
        self,
        address: str,
        handler: Callable[[trio.abc.Stream], Awaitable[object]],
        task_status: trio.TaskStatus[str] = trio.TASK_STATUS_IGNORED,
    ) -> None:
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
    """One edge proxy's runtime on a shared network; `hold` stalls it, as a stopped process is."""

    def __init__(self, place: MemoryPlace, wall_back: int = 0) -> None:
        super().__init__()
        self._place = place
        self._wall_back = wall_back
        self._runs = trio.Event()
        self._runs.set()
        self._began = trio.current_time()

    def wall_time(self) -> int:
        return EPOCH + round(trio.current_time() * 1e9) - self._wall_back

    def moment(self) -> Timestamp:
        return Timestamp(self.wall_time(), round(trio.current_time() * 1e9), "memory")

    async def connect(self, address: str) -> trio.abc.Stream:
        return await self._place.connect(address)

    async def serve(
        self,
        address: str,
        handler: Callable[[trio.abc.Stream], Awaitable[object]],
        task_status: trio.TaskStatus[str] = trio.TASK_STATUS_IGNORED,
        refuse: Callable[[trio.abc.Stream], Awaitable[object]] | None = None,
    ) -> None:
        await self._place.serve(address, handler, task_status)

    def bind_datagrams(self, address: str) -> MemoryDatagrams:
        return MemoryDatagrams(self._place, address)

    def max_descriptors(self) -> int:
        return 1_000_000

    async def checkpoint(self) -> None:
        await trio.lowlevel.checkpoint()
        await self._runs.wait()

    async def read_file(self, path: str) -> bytes | None:
        await trio.lowlevel.checkpoint()
        return self._place.files.get(path)

    async def write_file(self, path: str, data: bytes) -> None:
        await trio.lowlevel.checkpoint()
        self._place.files[path] = data

    async def hold(self, span: int) -> None:
        self._runs = trio.Event()
        await trio.sleep(span / 1e9)
        self._runs.set()


class MemoryDatagrams:
    """Datagrams on the network in memory. While its instance is held, they wait, as in a kernel."""

    def __init__(self, place: MemoryPlace, address: str) -> None:
        if address in place.bound:
            raise OSError(f"{address} is in use")
        self.address = address
        self.held: deque[tuple[bytes, str]] = deque(maxlen=4_096)
        self._place = place
        self._came = trio.Event()
        place.bound[address] = self

    def send(self, data: bytes, address: str) -> bool:
        self._place.carry(self.address, address, data)
        return True

    def put(self, data: bytes, source: str) -> None:
        self.held.append((data, source))
        self._came.set()

    def receive(self) -> tuple[bytes, str] | None:
        return self.held.popleft() if self.held else None

    async def wait_readable(self) -> None:
        while not self.held:
            self._came = trio.Event()
            await self._came.wait()

    def close(self) -> None:
        if self._place.bound.get(self.address) is self:
            del self._place.bound[self.address]


class MemoryStore:
    """What an edge proxy's ledger is in virtual time: committed records outlive it, others do not."""

    def __init__(self) -> None:
        self.epoch = 0
        self.kept: dict[str, DialogRecord] = {}
        self.fails = False
        self._puts: dict[str, DialogRecord | None] = {}

    def begin_epoch(self, minimum: int = 0) -> int:
        self._puts.clear()
        self.epoch = max(minimum, self.epoch + 1)
        return self.epoch

    def records(self) -> list[DialogRecord]:
        return list(self.kept.values())

    def put(self, record: DialogRecord) -> None:
        self._puts[record.dialog_id] = record

    def delete(self, dialog: str) -> None:
        self._puts[dialog] = None

    def commit(self) -> int:
        puts, self._puts = self._puts, {}
        if puts and self.fails:
            raise OSError("no space left")
        self.kept |= {dialog: record for dialog, record in puts.items() if record is not None}
        for dialog in [dialog for dialog, record in puts.items() if record is None]:
            self.kept.pop(dialog, None)
        return len(puts)

    def clear(self) -> None:
        self._puts.clear()
        self.kept.clear()


class MemoryEdge:
    """An edge proxy as a task; killing it drops all that it holds, as an ended process does."""

    def __init__(
        self,
        day: ScenarioConfig,
        place: int,
        network: MemoryPlace,
        nursery: trio.Nursery,
        list_at: str,
        views: MemoryViews | None = None,
    ) -> None:
        self.name = f"e{place}"
        self.address = f"edge{place}:1"
        self.store = MemoryStore() if day.ledger else None
        self.terms = day.edge_config(place, self.address, list_at, f"list-{place}", f"accounts-{place}")
        self.proxy: EdgeProxy | None = None
        self._network = network
        self._nursery = nursery
        self._scope = trio.CancelScope()
        self._runtime: MemoryRuntime | None = None
        self._views = views
        # How far its clock is set back.
        self.wall_back = 0

    async def start(self) -> None:
        await self._nursery.start(self._run)

    async def _run(self, task_status: trio.TaskStatus[EdgeProxy] = trio.TASK_STATUS_IGNORED) -> None:
        with trio.CancelScope() as self._scope:
            self._runtime = MemoryRuntime(self._network, self.wall_back)
            self.proxy = make_edge_proxy(self.terms, self._runtime, self.store)
            if self._views is None:
                await self.proxy.run(task_status)
            else:
                await self._run_viewed(self._views, self._runtime, self.proxy, task_status)

    async def _run_viewed(
        self,
        views: MemoryViews,
        runtime: MemoryRuntime,
        proxy: EdgeProxy,
        task_status: trio.TaskStatus[EdgeProxy],
    ) -> None:
        fleet = views.task(self.name, self.terms, runtime, proxy)
        try:
            async with trio.open_nursery() as nursery:
                await nursery.start(fleet.run)
                views.began(self.name)
                await proxy.run(task_status)
                fleet.leave()
                await fleet.ended.wait()
        finally:
            views.over(self.name)

    async def kill(self) -> None:
        self._scope.cancel()
        await trio.lowlevel.checkpoint()

    async def stall(self, span: int) -> None:
        if self._runtime is not None:
            await self._runtime.hold(span)

    async def stop(self) -> None:
        if self.proxy is not None:
            self.proxy.stop()
            await self.proxy.ended.wait()
            await trio.sleep(0.01)


@contextmanager
def same_order(seed: int) -> Any:
    """Makes trio take its tasks in the same order every time.

    trio shuffles them so that nobody relies on their order; a day that must give the same rows twice has to
    fix it. These are the two knobs that hypothesis and pytest-trio turn for the same end.
    """
    import trio._core._run as run  # no public name for it

    before = run._ALLOW_DETERMINISTIC_SCHEDULING
    run._ALLOW_DETERMINISTIC_SCHEDULING = True  # type: ignore[misc]
    state = run._r.getstate()
    run._r.seed(seed)
    try:
        yield
    finally:
        run._ALLOW_DETERMINISTIC_SCHEDULING = before  # type: ignore[misc]
        run._r.setstate(state)


def run_virtual(
    day: ScenarioConfig, prepare: Callable[[World, list[MemoryEdge]], None] | None = None
) -> list[Row]:
    """Plays the day; the rows of what passed. `prepare` may add to the world before it starts."""

    async def main() -> list[Row]:
        network = MemoryPlace()
        world = World(day, network, 0, lambda name: f"{name}:1")
        with trio.CancelScope() as scope:
            async with trio.open_nursery() as nursery:
                await world.open(nursery)
                edges = []
                views = None
                if day.between is not None:
                    views = MemoryViews(day, day.between, world, network, MemoryRuntime(network))
                    await nursery.start(views.run)
                for place in range(day.fleet.edge_proxies):
                    edge = MemoryEdge(day, place, network, nursery, world.list.address, views)
                    if edge.name not in day.late_edges:
                        await edge.start()
                    world.add_callers(place, edge)
                    edges.append(edge)
                if prepare is not None:
                    prepare(world, edges)
                await trio.sleep(day.run.settle / 1e9)
                if views is not None:
                    views.begins()
                await play_day(world)
                if views is not None:
                    await views.settle()
                scope.cancel()
        return world.tap.rows

    with same_order(day.run.seed):
        return trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))
