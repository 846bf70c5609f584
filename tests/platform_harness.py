"""A harness for the edge proxy on the platform, with scripted callers, core servers and event bus.

It runs in memory and virtual time, or on loopback sockets. On sockets a test can hold the event loop between
two turns, and connects, so that what happens between two turns happens there in every run.
"""

from __future__ import annotations

import json
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from typing import Any

import h11
import trio

from valverouter.config.platform import PlatformConfig, platform_config
from valverouter.edge.runtime import Handler
from valverouter.edge.sockets import SocketRuntime
from valverouter.platform_edge.proxy import PlatformProxy
from valverouter.platform_protocol import isup
from valverouter.platform_protocol.lines import Line, LineReader
from valverouter.scenarios.memory_network import WALL_CLOCK_START, MemoryNetwork, MemoryRuntime

DESCRIPTION = "9d41c07a5be2f318\r\nm=audio 31000 RTP/AVP 0 \u00e4\r\n"
ROUTING_FIELDS = "dest:0;width:1;via:-1"
SETTINGS: dict[str, Any] = {
    "categories": [
        {"name": "voice", "objectiveUs": 1_500_000, "deadlineUs": 9_000_000},
        {"name": "urgent", "objectiveUs": 800_000, "deadlineUs": 6_000_000, "importance": 6.0},
    ],
    "nInstances": 1,
    "discovery": "pushed",
    "extra": {"classCells": [[0, 1], [0, 1]], "callLengthUs": [10**7, 10**7], "releaseGuardUs": 300_000},
    "limits": {"sendCap": 6, "mayCancel": True, "retryAfter": True, "maxRetryAfterUs": 2_000_000},
    "rules": {"startCapacity": 0.35, "tipMultiple": 2.5, "fallUs": 10**6, "warmWithinUs": 15 * 10**6},
}
# The harness starts at this wall time, in Unix milliseconds as on the event bus.
WALL_MS = WALL_CLOCK_START // 10**6


def host_row(name: str, number: int, health: str = "Ready", born_ms: int = 0) -> dict[str, Any]:
    return {"host": name, "dial": f"{name}:1", "block": number, "health": health, "born_ms": born_ms}


def bus_event(number: int, hosts: list[dict[str, Any]], whole: bool = False) -> dict[str, Any]:
    return {"offset": number, "topology": {"seq": number, "whole": whole, "hosts": hosts}}


def configuration(known: list[dict[str, Any]], listen: str = "edge:1", bus: str = "bus:1") -> dict[str, Any]:
    return {
        "name": "n0",
        "listen": listen,
        "seed": "8c1f30d27a5be964",
        "bus": bus,
        "known": {"offset": len(known), "batch": known},
        "limits": {"cores": 1.0, "memory_mb": 64, "sockets": 64},
        "settings": SETTINGS,
    }


def encode_setup(
    id_: str, routing_fields: str = ROUTING_FIELDS, time_left_ms: int = 5_000, traffic_type: str = "voice"
) -> bytes:
    parameters = {
        isup.TRAFFIC_TYPE: traffic_type.encode(),
        isup.TIME_LEFT: b"%d" % time_left_ms,
        isup.CALLED: b"7f3a9c21e0b4d655",
        isup.ROUTING_FIELDS: routing_fields.encode(),
        isup.DESCRIPTION: DESCRIPTION.encode(),
    }
    return isup.encode(isup.IAM, id_, parameters)


class Loopback(SocketRuntime):
    """A runtime on loopback sockets that maps addresses of the harness, such as `s0:1`, to free ports.

    As the runtime of an edge proxy, it starts no turn until `turn_gate` is set, and does not connect to an
    address in `connect_gates` until the event there is set.
    """

    def __init__(self, ports: dict[str, str] | None = None) -> None:
        super().__init__()
        self.ports = {} if ports is None else ports
        self.turn_gate = trio.Event()
        self.turn_gate.set()
        self.connect_gates: dict[str, trio.Event] = {}
        # Called once at the start of the next turn; no other task runs between it and the turn's first event.
        self.on_turn_start: Callable[[], None] | None = None

    async def connect(self, address: str) -> trio.abc.Stream:
        if address in self.connect_gates:
            await self.connect_gates[address].wait()
        if address not in self.ports:
            raise ConnectionRefusedError(f"no listener at {address}")
        return await super().connect(self.ports[address])

    async def serve(
        self,
        address: str,
        handler: Handler,
        task_status: trio.TaskStatus[str] = trio.TASK_STATUS_IGNORED,
        refuse: Handler | None = None,
    ) -> None:
        async with trio.open_nursery() as nursery:
            self.ports[address] = await nursery.start(super().serve, "127.0.0.1:0", handler)
            task_status.started(address)

    async def checkpoint(self) -> None:
        await super().checkpoint()
        await self.turn_gate.wait()
        on_turn_start, self.on_turn_start = self.on_turn_start, None
        if on_turn_start is not None:
            on_turn_start()

    def pause_turns(self) -> None:
        """Holds the event loop before its next turn until `resume_turns`; other tasks continue."""
        self.turn_gate = trio.Event()

    def resume_turns(self) -> None:
        self.turn_gate.set()


class LoopbackProxy(PlatformProxy):
    """An edge proxy whose turns wait at the gate of its Loopback after the read delay of a stall, too.

    After a stall the event loop has passed `checkpoint` and sleeps before it handles events. If the machine
    stalls just before `pause_turns`, that turn would handle events which the test holds back.
    """

    async def _wait_for_work(self) -> None:
        await super()._wait_for_work()
        runtime = self.context.runtime
        assert isinstance(runtime, Loopback)
        if not runtime.turn_gate.is_set():  # an open gate adds no checkpoint: on_turn_start needs none here
            await runtime.turn_gate.wait()


class Client:
    """One caller's connection; `received` has the messages to it with their times of arrival."""

    def __init__(self, stream: trio.abc.Stream) -> None:
        self.stream = stream
        self.received: list[tuple[float, isup.Message]] = []
        self.closed_at: float | None = None

    async def read(self) -> None:
        reader = isup.MessageReader()
        try:
            while data := await self.stream.receive_some():
                self.received += [(trio.current_time(), message) for message in reader.feed(data)]
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            pass
        self.closed_at = trio.current_time()

    async def send_setup(
        self,
        id_: str,
        routing_fields: str = ROUTING_FIELDS,
        time_left_ms: int = 5_000,
        traffic_type: str = "voice",
    ) -> None:
        await self.stream.send_all(encode_setup(id_, routing_fields, time_left_ms, traffic_type))

    async def release(self, id_: str) -> None:
        await self.stream.send_all(isup.encode_release(id_, 16))

    @property
    def responses(self) -> list[tuple[int, str, int]]:
        return [(message.type, message.id, message.cause) for _, message in self.received]


class Server:
    """A core server: records received lines; answers set-ups if `answers_setups`, otherwise the test does."""

    def __init__(self, harness: PlatformHarness, name: str) -> None:
        self.harness = harness
        self.name = name
        self.answers_setups = True
        self.streams: list[trio.abc.Stream] = []
        self.received: list[Line] = []
        # The connection on which each set-up was last received, by dialog id.
        self.setup_streams: dict[str, trio.abc.Stream] = {}
        self.scope = trio.CancelScope()

    async def run(self, task_status: trio.TaskStatus[str] = trio.TASK_STATUS_IGNORED) -> None:
        with trio.CancelScope() as self.scope:
            await self.harness.network.serve(f"{self.name}:1", self._serve, task_status)

    async def _serve(self, stream: trio.abc.Stream) -> None:
        self.streams.append(stream)
        reader = LineReader()
        try:
            while data := await stream.receive_some():
                for line in reader.feed(data):
                    if line.type == "ping":
                        await self.send(stream, {"type": "pong", "id": line.id, "fields": {}, "cause": 1})
                        continue
                    self.received.append(line)
                    if line.type == "setup":
                        self.setup_streams[line.id] = stream
                    if line.type == "setup" and self.answers_setups:
                        await self.send(stream, answer_line(line.id))
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            pass
        finally:
            if stream in self.streams:
                self.streams.remove(stream)
            with trio.CancelScope(shield=True):
                await stream.aclose()

    async def send(self, stream: trio.abc.Stream, *messages: dict[str, Any]) -> None:
        await stream.send_all(b"".join(json.dumps(one).encode() + b"\n" for one in messages))

    async def reset(self) -> None:
        for stream in list(self.streams):
            await stream.aclose()

    def received_ids(self, kind: str) -> list[str]:
        return [line.id for line in self.received if line.type == kind]


def answer_line(id_: str) -> dict[str, Any]:
    return {"type": "answer", "id": id_, "fields": {"load": "x0:90;x1:100"}, "sdp": DESCRIPTION + id_}


def release_line(id_: str, cause: int, **fields: str) -> dict[str, Any]:
    return {"type": "release", "id": id_, "fields": fields, "cause": cause}


class Bus:
    """The event bus. `silent`: accepts polls and never responds; `answers_immediately`: responds to each poll
    at once, even without new events; `polls` has the time and the offset of each poll; each response leaves
    `response_delay_s` seconds after it is complete.
    """

    def __init__(self) -> None:
        self.events: list[dict[str, Any]] = []
        self.polls: list[tuple[float, int]] = []
        self.silent = False
        self.answers_immediately = False
        self.response_delay_s = 0.0
        self._news = trio.Event()

    def publish(self, *hosts: dict[str, Any]) -> None:
        self.events.append(bus_event(len(self.events) + 1, list(hosts)))
        self._news.set()
        self._news = trio.Event()

    async def serve(self, stream: trio.abc.Stream) -> None:
        connection = h11.Connection(h11.SERVER)
        try:
            while data := await stream.receive_some():
                connection.receive_data(bytes(data))
                request = connection.next_event()
                assert isinstance(request, h11.Request)
                query = dict(pair.split("=") for pair in request.target.decode().partition("?")[2].split("&"))
                after = int(query["from"])
                self.polls.append((trio.current_time(), after))
                connection.next_event()
                if self.silent:
                    await trio.sleep_forever()
                if len(self.events) <= after and not self.answers_immediately:
                    with trio.move_on_after(int(query["hold"]) / 1e3):
                        await self._news.wait()
                body = json.dumps({"offset": len(self.events), "batch": self.events[after:]}).encode()
                head = h11.Response(status_code=200, headers=[("Content-Length", str(len(body)))])
                await trio.sleep(self.response_delay_s)
                sent = [connection.send(one) for one in (head, h11.Data(data=body), h11.EndOfMessage())]
                await stream.send_all(b"".join(one or b"" for one in sent))
                connection.start_next_cycle()
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            pass


class PlatformHarness:
    def __init__(
        self,
        nursery: trio.Nursery,
        names: list[str],
        network: MemoryNetwork | Loopback | None = None,
        settings: dict[str, Any] | None = None,
    ) -> None:
        self.nursery = nursery
        self.network = network or MemoryNetwork()
        self.bus = Bus()
        self.servers = {name: Server(self, name) for name in names}
        self.bus.events.append(
            bus_event(1, [host_row(name, at) for at, name in enumerate(names)], whole=True)
        )
        self.config = configuration(list(self.bus.events)) | {"settings": settings or SETTINGS}
        self.runtime: Loopback | MemoryRuntime
        self.edge: PlatformProxy
        if isinstance(self.network, Loopback):
            self.runtime = Loopback(self.network.ports)
            self.edge = LoopbackProxy(self.platform(), self.runtime)
        else:
            self.runtime = MemoryRuntime(self.network)
            self.edge = PlatformProxy(self.platform(), self.runtime)

    def platform(self) -> PlatformConfig:
        return platform_config(json.dumps(self.config).encode())

    async def client(self) -> Client:
        client = Client(await self.network.connect("edge:1"))
        self.nursery.start_soon(client.read)
        return client

    async def wait_until(self, condition: Any, within: float = 20.0) -> None:
        """Checks the condition every millisecond; raises TooSlowError if it isn't met `within` seconds."""
        with trio.fail_after(within):
            while not condition():
                await trio.sleep(0.001)


@asynccontextmanager
async def running_platform_edge(
    *names: str, network: Loopback | None = None, settings: dict[str, Any] | None = None
) -> AsyncIterator[PlatformHarness]:
    """Starts a harness whose links are up: in memory, or on loopback sockets if `network` is given."""
    async with trio.open_nursery() as nursery:
        harness = PlatformHarness(nursery, list(names) or ["s0", "s1"], network, settings)
        await nursery.start(harness.network.serve, "bus:1", harness.bus.serve)
        for server in harness.servers.values():
            await nursery.start(server.run)
        await nursery.start(harness.edge.run)
        if network is None:
            await trio.sleep(0.1)
        else:
            await harness.wait_until(
                lambda: (
                    len(harness.edge.links.by_server) == len(harness.servers)
                    and all(
                        link.is_writable and not getattr(link, "_connecting", 0)
                        for link in harness.edge.links.by_server.values()
                    )
                )
            )
        yield harness
        nursery.cancel_scope.cancel()
