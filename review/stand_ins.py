"""Stand-ins for the cases: core servers, the event bus, callers, and an edge proxy as a real process.

They follow PROTOCOL.md and DEPLOY.md of the users' pages. Only the standard library is imported, and every
address is a loopback address.
"""

from __future__ import annotations

import asyncio
import json
import os
import signal
import socket
import struct
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parent.parent
HOST = "127.0.0.1"
SETUP, PROGRESS, ANSWER, RELEASE, RELEASED, TEST, TESTED = 1, 6, 9, 12, 16, 52, 53
TYPE_NAMES = {ANSWER: "answer", RELEASE: "release", TESTED: "tested"}
CLASS, LEFT, CALLED, EXTRAS, CAUSE, DESCRIPTION = 129, 131, 137, 139, 157, 159

# The settings of a small deployment: figures of the site file booking-line-bg where it names one.
SETTINGS: dict[str, Any] = {
    "categories": [
        {"name": "booking", "objectiveUs": 1_500_000, "deadlineUs": 9_000_000, "importance": 1.0},
        {"name": "urgent-referral", "objectiveUs": 800_000, "deadlineUs": 6_000_000, "importance": 6.0},
        {"name": "reschedule", "objectiveUs": 1_500_000, "deadlineUs": 9_000_000, "importance": 2.0},
    ],
    "nInstances": 2,
    "me": 0,
    "discovery": "pushed",
    "extra": {
        "classCells": [[0, 1], [0, 1], [0, 1]],
        "callLengthUs": [10_000_000, 6_000_000, 12_000_000],
        "circuitsByClass": [1, 1, 1],
        "here": -1,
        "releaseGuardUs": 300_000,
        "repeatUs": 500_000,
        "shape": "skills",
    },
    "limits": {
        "sendCap": 6,
        "mayCancel": True,
        "retryAfter": True,
        "maxRetryAfterUs": 2_000_000,
        "connectTimeoutUs": 500_000,
        "openCap": 20_000,
    },
    "report": {"fields": ["idle", "circuits", "utilization", "backlog"], "source": "answers"},
    "rules": {
        "startCapacity": 0.35,
        "tipMultiple": 2.5,
        "fallUs": 1_000_000,
        "warmWithinUs": 15_000_000,
        "stopSendingWithinUs": 2_000_000,
    },
}


def unix_ms() -> int:
    """Returns the Unix time in milliseconds."""
    return time.time_ns() // 1_000_000


def free_address() -> str:
    """Returns a loopback address with a port that is free now."""
    with socket.socket() as probe:
        probe.bind((HOST, 0))
        return f"{HOST}:{probe.getsockname()[1]}"


class Record:
    """Writes record.txt: what was sent, answered and run, each line with the seconds since the start."""

    def __init__(self, path: Path) -> None:
        """Replaces the file at `path`."""
        self._file = path.open("w", encoding="utf-8")
        self._started = time.monotonic()

    def write(self, who: str, what: str, **details: object) -> None:
        """Adds one line."""
        rest = " ".join(f"{name}={value}" for name, value in details.items())
        at = time.monotonic() - self._started
        self._file.write(f"{at:8.3f} {who:8} {what} {rest}".rstrip() + "\n")
        self._file.flush()


def reset(writer: asyncio.StreamWriter) -> None:
    """Resets a connection, as the end of a process with unread input does."""
    sock = writer.get_extra_info("socket")
    if sock is not None:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.transport.abort()


async def listen_at(
    address: str, handler: Callable[[asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]]
) -> asyncio.Server:
    """Listens at `address`, which an earlier listener may have used."""
    host, port = address.split(":")
    return await asyncio.start_server(handler, host, int(port), reuse_address=True)


# What a core server does with a set-up: gets the server, the connection and the message.
Behaviour = Callable[["CoreServer", "ServerConnection", dict[str, Any]], None]


def answer_at_once(server: CoreServer, connection: ServerConnection, message: dict[str, Any]) -> None:
    """Lets the call stand."""
    server.answer(connection, message["id"])


class ServerConnection:
    """One connection of the edge proxy to a core server."""

    def __init__(self, writer: asyncio.StreamWriter) -> None:
        """`writer` sends to the edge proxy."""
        self.writer = writer
        self.open: set[str] = set()

    def send(self, type_: str, id_: str = "0" * 16, **rest: Any) -> None:
        """Sends one line."""
        line = {"type": type_, "id": id_, "fields": rest.pop("fields", {}), **rest}
        self.writer.write(json.dumps(line, separators=(",", ":")).encode() + b"\n")


class CoreServer:
    """A core server: lets calls stand, ends them, and can die and come back.

    `standing` has the calls that stand here; `setups` each set-up with its Unix time in ms; `released` the
    calls that the edge proxy has released here.
    """

    def __init__(self, name: str, number: int, record: Record, behaviour: Behaviour = answer_at_once) -> None:
        """A server that doesn't listen yet."""
        self.name, self.number, self.address = name, number, free_address()
        self.behaviour = behaviour
        self.standing: dict[str, ServerConnection] = {}
        self.setups: list[tuple[int, str]] = []
        self.released: dict[str, int] = {}
        self.connections: list[ServerConnection] = []
        self.born_ms = 0
        self._unheard: dict[str, int] = {}
        self._record = record
        self._listener: asyncio.Server | None = None

    def row(self, health: str = "Ready") -> dict[str, Any]:
        """Returns this server as the event bus lists it."""
        return {
            "host": self.name,
            "dial": self.address,
            "site": "sofia",
            "class": "single-core",
            "block": self.number,
            "health": health,
            "share": 1,
            "born_ms": self.born_ms,
        }

    async def start(self) -> None:
        """Begins to listen."""
        self._listener = await listen_at(self.address, self._serve)
        self._record.write(self.name, "listens", address=self.address)

    def die(self) -> None:
        """Ends as a process does that is killed: connections are reset, calls cut, the port is closed."""
        assert self._listener is not None
        self._listener.close()
        for connection in self.connections:
            reset(connection.writer)
        self._record.write(self.name, "dies", cut=",".join(self.standing) or "none")
        self.connections, self.standing, self._unheard = [], {}, {}

    def answer(self, connection: ServerConnection, id_: str) -> None:
        """Lets a call stand."""
        connection.open.discard(id_)
        self.standing[id_] = connection
        self._record.write(self.name, "answer", call=id_)
        connection.send("answer", id_, sdp=f"from {self.name} for {id_}\r\n", fields={"load": self.load})

    def refuse(self, connection: ServerConnection, id_: str, cause: int, note: str) -> None:
        """Refuses a set-up."""
        connection.open.discard(id_)
        self._record.write(self.name, "refusal", call=id_, cause=cause, note=note)
        connection.send("release", id_, cause=cause, fields={"note": note})

    def end(self, id_: str, cause: int = 16) -> None:
        """Ends a call that stands: on its connection or any open one, and on the next that is opened."""
        used = self.standing.pop(id_)
        self._unheard[id_] = cause
        open_ones = [one for one in self.connections if not one.writer.is_closing()]
        if used not in open_ones and open_ones:
            used = open_ones[0]
        self._record.write(self.name, "release", call=id_, cause=cause)
        if open_ones:
            used.send("release", id_, cause=cause)

    @property
    def load(self) -> str:
        """The load report: many free lines, no queue."""
        return f"x0:{500 - len(self.standing)};x1:500;util:0.1;queue:0"

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        connection = ServerConnection(writer)
        self.connections.append(connection)
        connection.send("state", fields={"load": self.load})
        unheard, self._unheard = self._unheard, {}
        for id_, cause in unheard.items():
            connection.send("release", id_, cause=cause)
        try:
            while line := await reader.readline():
                self._on_message(connection, json.loads(line))
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        if connection in self.connections:
            self.connections.remove(connection)
        writer.close()

    def _on_message(self, connection: ServerConnection, message: dict[str, Any]) -> None:
        type_, id_ = message["type"], message["id"]
        if type_ == "ping":
            connection.send("pong", id_, cause=1)
        elif type_ == "setup":
            self.setups.append((unix_ms(), id_))
            self._record.write(self.name, "set-up", call=id_, left=message["fields"].get("left"))
            if id_ in self.standing:
                self._record.write(self.name, "stands already, set-up ignored", call=id_)
                return
            connection.open.add(id_)
            self.behaviour(self, connection, message)
        elif type_ == "release":
            self._record.write(self.name, "released by the edge proxy", call=id_)
            self.released[id_] = unix_ms()
            self.standing.pop(id_, None)
            for one in self.connections:
                one.open.discard(id_)
            connection.send("released", id_)


class EventBus:
    """The event bus: numbered events, told by long polls over HTTP/1.1. `answer_delay_s` makes it slow."""

    def __init__(self, record: Record) -> None:
        """A bus without events."""
        self.address = free_address()
        self.events: list[dict[str, Any]] = []
        self.answer_delay_s = 0.0
        self.asked: list[tuple[int, int]] = []
        self._changed = asyncio.Event()
        self._record = record
        self._listener: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    def add(self, *rows: dict[str, Any], whole: bool = False) -> None:
        """Adds an event."""
        offset = len(self.events) + 1
        topology = {"seq": offset, "whole": whole, "hosts": list(rows)}
        self.events.append({"offset": offset, "topology": topology})
        states = ",".join(f"{row['host']}:{row['health']}:{row['born_ms']}" for row in rows)
        self._record.write("bus", "event", offset=offset, hosts=states)
        self._changed.set()
        self._changed = asyncio.Event()

    @property
    def known(self) -> dict[str, Any]:
        """The events up to now, as in the configuration at a start: one whole list, numbered from 1."""
        return {"offset": len(self.events), "batch": list(self.events)}

    def restart_numbering(self, *rows: dict[str, Any]) -> None:
        """Numbers from 1 again, for a new start of the edge proxy: the first event holds the whole list."""
        self.events.clear()
        self.add(*rows, whole=True)

    async def start(self) -> None:
        """Begins to listen."""
        self._listener = await listen_at(self.address, self._serve)

    def stop(self) -> None:
        """Goes down: connections are reset, new ones refused."""
        assert self._listener is not None
        self._listener.close()
        for writer in list(self._writers):
            reset(writer)
        self._record.write("bus", "down")

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.add(writer)
        try:
            while head := await reader.readuntil(b"\r\n\r\n"):
                query = head.split(b" ")[1].decode().partition("?")[2]
                values = dict(pair.split("=") for pair in query.split("&"))
                await self._answer(writer, int(values["from"]), int(values["hold"]))
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        self._writers.discard(writer)
        writer.close()

    async def _answer(self, writer: asyncio.StreamWriter, after: int, hold_ms: int) -> None:
        self.asked.append((unix_ms(), after))
        self._record.write("bus", "asked", after=after, hold=hold_ms)
        until = time.monotonic() + min(hold_ms, 5_000) / 1000
        while len(self.events) <= after and (left := until - time.monotonic()) > 0:
            try:
                await asyncio.wait_for(self._changed.wait(), left)
            except TimeoutError:
                break
        body = json.dumps({"offset": len(self.events), "batch": self.events[after:]}).encode()
        await asyncio.sleep(self.answer_delay_s)
        if writer.is_closing():
            return
        head = f"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: {len(body)}\r\n\r\n"
        writer.write(head.encode() + body)
        self._record.write("bus", "answered", after=after, told=len(self.events))
        await writer.drain()


def encode(type_: int, id_: str, parameters: dict[int, bytes]) -> bytes:
    """Encodes a caller's message."""
    body = bytes((type_,)) + bytes.fromhex(id_)
    for code, value in parameters.items():
        body += bytes((code,)) + len(value).to_bytes(2, "big") + value
    return len(body).to_bytes(2, "big") + body


def decode(body: bytes) -> tuple[int, str, dict[int, bytes]]:
    """Decodes a message without its length."""
    parameters, at = {}, 9
    while at < len(body):
        size = int.from_bytes(body[at + 1 : at + 3], "big")
        parameters[body[at]] = body[at + 3 : at + 3 + size]
        at += 3 + size
    return body[0], body[1:9].hex(), parameters


def new_id() -> str:
    """Returns a new id of a call."""
    return os.urandom(8).hex()


class Caller:
    """A caller with one connection. `heard` has each message with its Unix time in ms, by call."""

    def __init__(self, record: Record, name: str = "caller") -> None:
        """A caller that isn't connected."""
        self.heard: dict[str, list[tuple[int, int, dict[int, bytes]]]] = {}
        self.is_closed = True
        self.name = name
        self._record = record
        self._writer: asyncio.StreamWriter | None = None
        self._news = asyncio.Event()
        self._task: asyncio.Task[None] | None = None

    async def connect(self, address: str) -> None:
        """Connects to the edge proxy."""
        host, port = address.split(":")
        reader, self._writer = await asyncio.open_connection(host, int(port))
        self.is_closed = False
        self._task = asyncio.create_task(self._read(reader))

    def close(self) -> None:
        """Closes the connection."""
        assert self._writer is not None
        self._writer.close()
        self.is_closed = True

    async def _read(self, reader: asyncio.StreamReader) -> None:
        try:
            while True:
                size = int.from_bytes(await reader.readexactly(2), "big")
                type_, id_, parameters = decode(await reader.readexactly(size))
                cause = parameters.get(CAUSE, b"")[:1]
                shown = {"cause": cause[0]} if cause else {}
                name = TYPE_NAMES.get(type_, str(type_))
                self._record.write(self.name, f"hears {name}", call=id_, **shown)
                self.heard.setdefault(id_, []).append((unix_ms(), type_, parameters))
                self._wake()
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        self.is_closed = True
        self._record.write(self.name, "connection ended")
        self._wake()

    def _wake(self) -> None:
        self._news.set()
        self._news = asyncio.Event()

    def send(self, data: bytes) -> None:
        """Sends bytes."""
        assert self._writer is not None
        self._writer.write(data)

    def set_up(
        self, id_: str, left_ms: int = 3_000, extras: str = "dest:0;width:1;via:-1", class_: str = "booking"
    ) -> None:
        """Sends a set-up; with `at:NAME` in `extras` it reports a call that stands."""
        self._record.write(self.name, "set-up", call=id_, left=left_ms, extras=extras)
        parameters = {
            CLASS: class_.encode(),
            LEFT: str(left_ms).encode(),
            CALLED: b"7f3a9c21e0b4d655",
            EXTRAS: extras.encode(),
            DESCRIPTION: f"{id_}\r\nc=IN IP4 127.0.0.1\r\nm=audio 31000 RTP/AVP 0 8 101\r\n".encode(),
        }
        self.send(encode(SETUP, id_, parameters))

    def release(self, id_: str) -> None:
        """Gives a set-up up, or releases a call that stands."""
        self._record.write(self.name, "release", call=id_)
        self.send(encode(RELEASE, id_, {CAUSE: bytes((16,))}))

    async def test(self) -> bool:
        """Sends a test; returns whether it passed within a second."""
        id_ = new_id()
        self.send(encode(TEST, id_, {CAUSE: b"\0"}))
        return await self.wait(id_, TESTED, 1) and self.heard[id_][0][2].get(CAUSE) == b"\1"

    def times(self, id_: str, type_: int) -> list[int]:
        """Returns the Unix times in ms at which messages of a type came for a call."""
        return [at for at, kind, _ in self.heard.get(id_, []) if kind == type_]

    async def wait(self, id_: str, type_: int, seconds: float) -> bool:
        """Waits for a message of a type about a call; returns whether it came."""
        until = time.monotonic() + seconds
        while not self.times(id_, type_):
            left = until - time.monotonic()
            if left <= 0:
                return False
            try:
                await asyncio.wait_for(self._news.wait(), left)
            except TimeoutError:
                return bool(self.times(id_, type_))
        return True


class Edge:
    """One edge proxy, started as a process by the `run` command of the deploy file."""

    def __init__(
        self, folder: Path, bus: EventBus, record: Record, settings: dict[str, Any], name: str = "n0"
    ) -> None:
        """`folder` holds the configuration and the log."""
        self.address, self.name = free_address(), name
        folder.mkdir(exist_ok=True)
        self._folder, self._bus, self._record, self._settings = folder, bus, record, settings
        self._process: asyncio.subprocess.Process | None = None

    def write_configuration(self) -> Path:
        """Writes the configuration file, with the events of the bus up to now."""
        path = self._folder / "config.json"
        content = {
            "name": self.name,
            "listen": self.address,
            "seed": os.urandom(8).hex(),
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
            "bus": self._bus.address,
            "known": self._bus.known,
            "settings": self._settings,
        }
        path.with_suffix(".new").write_text(json.dumps(content), encoding="utf-8")
        path.with_suffix(".new").rename(path)
        return path

    async def start(self) -> None:
        """Starts the process and waits until it passes a test, as the front does."""
        with (ROOT / "deploy" / "balancer.toml").open("rb") as file:
            command = tomllib.load(file)["run"]
        temporary = self._folder / "tmp"
        temporary.mkdir(exist_ok=True)
        environment = os.environ | {
            "RELAY_NAME": self.name,
            "RELAY_LISTEN": self.address,
            "RELAY_CONFIG": str(self.write_configuration()),
            "TMPDIR": str(temporary),
        }
        with (self._folder / "edge.log").open("ab") as log:
            self._process = await asyncio.create_subprocess_exec(
                "/bin/sh", "-c", command, cwd=ROOT, env=environment, stdout=log, stderr=log
            )
        self._record.write(self.name, "started", address=self.address)
        for _ in range(300):
            await asyncio.sleep(0.03)
            front = Caller(self._record, "front")
            try:
                await front.connect(self.address)
            except OSError:
                continue
            passed = await front.test()
            front.close()
            if passed:
                self._record.write(self.name, "ready")
                return
        raise CannotRunError("the edge proxy did not get ready")

    @property
    def is_running(self) -> bool:
        """Whether the process has not ended."""
        return self._process is not None and self._process.returncode is None

    def signal(self, number: signal.Signals) -> None:
        """Sends a signal to the process."""
        assert self._process is not None
        self._record.write(self.name, number.name)
        self._process.send_signal(number)

    async def kill(self) -> None:
        """Kills the process outright and waits for its end."""
        if self._process is not None and self._process.returncode is None:
            self.signal(signal.SIGKILL)
            await self._process.wait()

    def log_text(self) -> str:
        """Returns what the process has logged."""
        path = self._folder / "edge.log"
        return path.read_text("utf-8", "replace") if path.exists() else ""


class CannotRunError(Exception):
    """The case could not be run."""


class World:
    """What a case works with. `trouble` is False with TROUBLE=0: the same without the disruption."""

    def __init__(self, folder: Path, record: Record) -> None:
        """`folder` is temporary."""
        self.record = record
        self.folder = folder
        self.trouble = os.environ.get("TROUBLE", "1") != "0"
        self.bus = EventBus(record)
        self.edges: list[Edge] = []

    def edge(self, settings: dict[str, Any] | None = None, name: str = "n0") -> Edge:
        """Returns an edge proxy that isn't started; it is killed when the case has been played."""
        self.edges.append(Edge(self.folder / name, self.bus, self.record, settings or SETTINGS, name))
        return self.edges[-1]


def run_case(file: str, play: Callable[[World], Awaitable[list[str]]]) -> int:
    """Plays a case; returns 1 if it reports a breach, 0 if none, 2 if the case could not be run."""
    record = Record(Path(file).resolve().parent / "record.txt")

    async def bounded() -> list[str]:
        with tempfile.TemporaryDirectory() as folder:
            world = World(Path(folder), record)
            try:
                async with asyncio.timeout(100):
                    return await play(world)
            finally:
                for edge in world.edges:
                    await edge.kill()
                    record.write(edge.name, "log:\n" + edge.log_text())

    try:
        breaches = asyncio.run(bounded())
    except (CannotRunError, OSError, TimeoutError, AssertionError) as error:
        print(f"could not run: {type(error).__name__}: {error}")
        record.write("case", "could not run", why=repr(error))
        return 2
    for breach in breaches:
        print(f"broken: {breach}")
        record.write("case", "broken", why=breach)
    if not breaches:
        print("held")
        record.write("case", "held")
    return 1 if breaches else 0
