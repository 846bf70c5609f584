"""Stand-ins for callers, core servers, the event bus and the platform, for the cases review/6 to review/10.

They follow the users' protocol page and use the standard library only. All addresses are loopback addresses.
Times are seconds of the system's Unix clock.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import signal
import socket
import sys
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parent.parent
HOST = "127.0.0.1"
SETUP, ANSWER, RELEASE, RELEASED, TEST, TESTED = 1, 9, 12, 16, 52, 53
# The types that an edge proxy may send to a caller.
TO_CALLERS = (6, ANSWER, RELEASE, RELEASED, TEST, TESTED)
CAUSE_ENDED, CAUSE_CUT = 16, 41
# Causes with which an edge proxy refuses; any other cause before the answer means 'failed'.
REFUSALS = (34, 42, 102)
# The protocol page makes every time limit 50 ms longer.
SLACK_S = 0.05
# The most memory on the days that are scored.
MEMORY_MB = 192
# The lines of a core server: far more than are usual.
LINES = 2_000
# A core server sends a release again on the next connection if none was open when the call ended, or if that
# was so short a time ago that the release may be lost.
RETELL_S = 1.0
HELD, BROKEN, NOT_RUN = 0, 1, 2


class Record:
    """The file record.txt of a case: what was sent, answered and run, with the time since the start."""

    def __init__(self, folder: Path) -> None:
        """Starts an empty file."""
        self._file = (folder / "record.txt").open("w", encoding="utf-8")
        self._start = time.time()

    def write(self, text: str) -> None:
        """Writes a line."""
        self._file.write(f"{time.time() - self._start:9.3f} {text}\n")

    def say(self, text: str) -> None:
        """Writes a line, and prints it too."""
        self.write(text)
        print(text, flush=True)

    def close(self) -> None:
        """Closes the file."""
        self._file.close()


def trouble() -> bool:
    """Whether the disruption is played."""
    return os.environ.get("TROUBLE", "1") != "0"


def free_port() -> int:
    """Returns a port that is free now."""
    with socket.socket() as listener:
        listener.bind((HOST, 0))
        port: int = listener.getsockname()[1]
        return port


def settings(**rules: int) -> dict[str, Any]:
    """Returns settings like those of the protocol note for a small deployment; `rules` replaces some."""
    names = (("booking", 9_000_000, 1_500_000, 1.0), ("urgent-referral", 6_000_000, 800_000, 6.0))
    return {
        "categories": [
            {
                "name": name,
                "deadlineUs": deadline,
                "objectiveUs": objective,
                "importance": importance,
                "semantics": "read_like",
                "keyScope": "all",
                "lateShare": 0.25,
                "streamed": True,
                "windowUs": 5_000_000,
            }
            for name, deadline, objective, importance in names
        ],
        "nInstances": 1,
        "me": 0,
        "discovery": "pushed",
        "extra": {
            "callLengthUs": [10_200_000, 6_100_000],
            "circuitsByClass": [1, 1],
            "classCells": [[0, 1], [0, 1]],
            "here": -1,
            "releaseGuardUs": 300_000,
            "repeatUs": 500_000,
            "shape": "skills",
        },
        "limits": {
            "connectTimeoutUs": 500_000,
            "idleCloseUs": 600_000_000,
            "maxRetryAfterUs": 2_000_000,
            "mayCancel": True,
            "openCap": 20_000,
            "retryAfter": True,
            "sendCap": 6,
        },
        "report": {"fields": ["idle", "circuits", "utilization", "backlog"], "source": "answers"},
        "rules": {
            "answerSlackUs": 20_000,
            "askWithinUs": 10_000_000,
            "fallUs": 1_000_000,
            "startCapacity": 0.35,
            "stopSendingWithinUs": 2_000_000,
            "tipMultiple": 2.5,
            "warmWithinUs": 15_000_000,
        }
        | rules,
    }


class Bus:
    """The event bus. `delay`: how long after it is due an answer leaves, in seconds."""

    def __init__(self, record: Record) -> None:
        """Has no event yet."""
        self.events: list[dict[str, Any]] = []
        self.delay = 0.0
        self.port = 0
        self._record = record
        self._changed = asyncio.Event()

    @property
    def address(self) -> str:
        """HOST:PORT."""
        return f"{HOST}:{self.port}"

    @property
    def known(self) -> dict[str, Any]:
        """All events up to now, as in a configuration."""
        return {"offset": len(self.events), "batch": list(self.events)}

    def tell(self, servers: list[CoreServer], health: str, whole: bool = False) -> None:
        """Adds an event that lists servers in this state."""
        number = len(self.events) + 1
        hosts = [server.row(health) for server in servers]
        self.events.append({"offset": number, "topology": {"seq": number, "whole": whole, "hosts": hosts}})
        self._record.write(f"bus event {number}: {[server.name for server in servers]} {health}")
        self._changed.set()
        self._changed = asyncio.Event()

    async def start(self) -> None:
        """Starts to listen."""
        server = await asyncio.start_server(self._serve, HOST, 0)
        self.port = server.sockets[0].getsockname()[1]

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode("ascii")
                query = head.split()[1].partition("?")[2]
                words = dict(pair.split("=") for pair in query.split("&"))
                first, hold = int(words["from"]), min(5.0, int(words["hold"]) / 1000)
                end = time.time() + hold
                while len(self.events) <= first and time.time() < end:
                    with contextlib.suppress(TimeoutError):
                        await asyncio.wait_for(self._changed.wait(), end - time.time())
                body = json.dumps({"offset": len(self.events), "batch": self.events[first:]}).encode()
                await asyncio.sleep(self.delay)
                head = f"HTTP/1.1 200 OK\r\nContent-Length: {len(body)}\r\n\r\n"
                writer.write(head.encode() + body)
                await writer.drain()
        writer.close()


class CoreServer:
    """A core server: answers set-ups after `answer_after` seconds; a call then stands for `hold` seconds.

    `hold` gives the seconds by call id. `standing` has the calls that stand. `received` has the time and the
    id of each set-up that came.
    """

    def __init__(self, record: Record, name: str, number: int, hold: Callable[[str], float]) -> None:
        """Does not listen yet."""
        self.name, self.number, self.hold = name, number, hold
        self.answer_after = 0.03
        # The length of the description that an answer carries, and the descriptions sent, by call id.
        self.description_length = 0
        self.descriptions: dict[str, str] = {}
        self.received: list[tuple[float, str]] = []
        self.released: dict[str, float] = {}
        self.standing: dict[str, asyncio.StreamWriter] = {}
        self.ended: dict[str, float] = {}
        self.port = 0
        self._record = record
        self._connections: list[asyncio.StreamWriter] = []
        self._open: dict[str, asyncio.Task[None]] = {}
        # The releases to send again on the next connection: when, whether none was open then, the message.
        self._retold: list[tuple[float, bool, dict[str, Any]]] = []
        self._tasks: set[asyncio.Task[None]] = set()

    def row(self, health: str) -> dict[str, Any]:
        """Returns the server's entry in a list."""
        address = f"{HOST}:{self.port}"
        place = {"site": "sofia", "class": "single-core", "block": self.number, "share": 1, "born_ms": 0}
        return {"host": self.name, "dial": address, "health": health} | place

    async def start(self) -> None:
        """Starts to listen."""
        server = await asyncio.start_server(self._serve, HOST, 0)
        self.port = server.sockets[0].getsockname()[1]

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._connections.append(writer)
        self._send(writer, {"type": "state", "id": "0" * 16, "fields": {"load": self._load()}})
        retold, self._retold = self._retold, []
        for ended_at, was_unsent, message in retold:
            if was_unsent or time.time() < ended_at + RETELL_S:
                self._send(writer, message)
        mine: set[str] = set()
        with contextlib.suppress(OSError):
            while line := await reader.readline():
                self._on_line(json.loads(line), writer, mine)
        self._connections.remove(writer)
        for id_ in mine:
            if task := self._open.pop(id_, None):
                self._record.write(f"{self.name} set-up {id_} given up with its connection")
                task.cancel()
        writer.close()

    def _load(self) -> str:
        return f"x0:{LINES - len(self.standing)};x1:{LINES};util:0.3;queue:0"

    def _send(self, writer: asyncio.StreamWriter, message: dict[str, Any]) -> None:
        if not writer.is_closing():
            writer.write(json.dumps(message).encode() + b"\n")

    def _on_line(self, message: dict[str, Any], writer: asyncio.StreamWriter, mine: set[str]) -> None:
        kind, id_ = message["type"], message["id"]
        if kind == "ping":
            self._send(writer, {"type": "pong", "id": id_, "fields": {}, "cause": 1})
        elif kind == "setup":
            self.received.append((time.time(), id_))
            self._record.write(f"{self.name} got set-up {id_} left {message['fields']['left']}")
            mine.add(id_)
            self._open[id_] = self._spawn(self._run_call(id_, message["sdp"], writer))
        elif kind == "release":
            self._record.write(f"{self.name} got release {id_} cause {message.get('cause')}")
            self.released[id_] = time.time()
            self.standing.pop(id_, None)
            if task := self._open.pop(id_, None):
                task.cancel()
            self._send(writer, {"type": "released", "id": id_, "fields": {}})

    def _spawn(self, work: Any) -> asyncio.Task[None]:
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    async def _run_call(self, id_: str, sdp: str, writer: asyncio.StreamWriter) -> None:
        await asyncio.sleep(self.answer_after)
        self._open.pop(id_, None)
        sdp += f"s={self.name}\r\n"
        line = f"a=candidate:{id_} 1 UDP 2130706431 127.0.0.1 31000 typ host\r\n"
        sdp += line * max(0, (self.description_length - len(sdp)) // len(line))
        self.descriptions[id_] = sdp
        fields = {"load": self._load()}
        self._send(writer, {"type": "answer", "id": id_, "fields": fields, "sdp": sdp})
        self._record.write(f"{self.name} answered {id_}")
        self.standing[id_] = writer
        await asyncio.sleep(self.hold(id_))
        if self.standing.pop(id_, None) is not None:
            self.end(id_, CAUSE_ENDED, writer)

    def end(self, id_: str, cause: int, writer: asyncio.StreamWriter) -> None:
        """Releases a call: on its connection, else on any open one, and on the next that is opened."""
        message = {"type": "release", "id": id_, "fields": {}, "cause": cause}
        self.ended[id_] = time.time()
        self._retold.append((time.time(), not self._connections, message))
        self._record.write(f"{self.name} released {id_} cause {cause}")
        if writer.is_closing() and self._connections:
            writer = self._connections[0]
        self._send(writer, message)


def encode(kind: int, id_: str, parameters: dict[int, bytes] | None = None) -> bytes:
    """Encodes a message of a caller."""
    parts = [bytes((kind,)), bytes.fromhex(id_)]
    for code, value in (parameters or {}).items():
        parts += [bytes((code,)), len(value).to_bytes(2, "big"), value]
    body = b"".join(parts)
    return len(body).to_bytes(2, "big") + body


def encode_setup(id_: str, left_ms: int, dest: int, traffic: str = "booking", more: str = "") -> bytes:
    """Encodes a set-up; `more`: further figures of the request, such as `;at:s-1`."""
    description = f"{id_}\r\nc=IN IP4 127.0.0.1\r\nm=audio 31000 RTP/AVP 0 8 101\r\n"
    parameters = {
        129: traffic.encode(),
        131: b"%d" % left_ms,
        137: id_[::-1].encode(),
        139: f"dest:{dest};width:1;via:-1{more}".encode(),
        159: description.encode(),
    }
    return encode(SETUP, id_, parameters)


class Call:
    """What a caller knows of one call. `messages`: kind, cause and time of each message for it."""

    def __init__(self, id_: str, left_ms: int) -> None:
        """The call's time starts now."""
        self.id, self.left_ms = id_, left_ms
        self.sent_at = time.time()
        self.messages: list[tuple[int, int, float]] = []
        self.description = ""
        self.changed = asyncio.Event()

    @property
    def final(self) -> tuple[int, int, float] | None:
        """The first message for the call; None if there is none."""
        return self.messages[0] if self.messages else None

    @property
    def stands(self) -> bool:
        """Whether the call was answered and not released since."""
        return [kind for kind, _, _ in self.messages] == [ANSWER]

    @property
    def released_at(self) -> float | None:
        """When the call was released after its answer; None if it was not."""
        return next((at for kind, _, at in self.messages[1:] if kind == RELEASE), None)

    def result(self) -> str:
        """How the caller saw the call end."""
        if self.final is None:
            return "no answer"
        kind, cause, at = self.final
        words = "served" if kind == ANSWER else "refused" if cause in REFUSALS else f"failed ({cause})"
        return f"{words} after {at - self.sent_at:.3f} s"


class Caller:
    """One connection of a caller. Calls are shared by all connections of the same caller in `calls`."""

    def __init__(self, record: Record, name: str, calls: dict[str, Call]) -> None:
        """Is not connected yet."""
        self.name, self.calls = name, calls
        self.closed_at = 0.0
        # What came on this connection and can't be read, or is for a call that nobody set up.
        self.unreadable: list[tuple[bytes, str]] = []
        self.tests: list[int] = []
        self._record = record
        self._writer: asyncio.StreamWriter | None = None
        self._task: asyncio.Task[None] | None = None

    async def connect(self, port: int, receive_buffer: int = 0) -> None:
        """Connects to an edge proxy; raises OSError. `receive_buffer`: in bytes; 0 for the system's own."""
        with socket.socket() as connection:
            if receive_buffer:
                connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_buffer)
            connection.setblocking(False)
            await asyncio.get_running_loop().sock_connect(connection, (HOST, port))
            connected = connection.dup()
        reader, self._writer = await asyncio.open_connection(sock=connected)
        self._record.write(f"{self.name} connected")
        self._task = asyncio.get_running_loop().create_task(self._read(reader))

    def send(self, data: bytes) -> None:
        """Sends bytes."""
        assert self._writer is not None
        self._writer.write(data)

    def set_up(self, id_: str, left_ms: int, dest: int, traffic: str = "booking") -> Call:
        """Sends a set-up."""
        call = self.calls[id_] = Call(id_, left_ms)
        self._record.write(f"{self.name} sent set-up {id_} left {left_ms} dest {dest}")
        self.send(encode_setup(id_, left_ms, dest, traffic))
        return call

    def report(self, call: Call, server: CoreServer) -> None:
        """Sends a set-up for a call that stands at a core server already."""
        self._record.write(f"{self.name} reported {call.id} at {server.name}")
        self.send(encode_setup(call.id, call.left_ms, server.number, more=f";at:{server.name}"))

    def close(self) -> None:
        """Closes the connection."""
        self._record.write(f"{self.name} closed its connection")
        assert self._writer is not None
        self._writer.close()

    async def _read(self, reader: asyncio.StreamReader) -> None:
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            while True:
                size = int.from_bytes(await reader.readexactly(2), "big")
                body = await reader.readexactly(size)
                try:
                    self._on_message(body)
                except (ValueError, IndexError) as error:
                    self.unreadable.append((body, str(error)))
                    self._record.write(f"{self.name} can't read {size} bytes, {error}: {body!r}")
                    break
        self.closed_at = time.time()
        self._record.write(f"{self.name} connection ended")

    def _on_message(self, body: bytes) -> None:
        kind, id_, cause, place, description = body[0], body[1:9].hex(), -1, 9, ""
        if len(body) < 9 or kind not in TO_CALLERS:
            raise ValueError(f"message type {kind}")
        while place < len(body):
            code, size = body[place], int.from_bytes(body[place + 1 : place + 3], "big")
            value = body[place + 3 : place + 3 + size]
            if code == 157:
                cause = value[0]
            elif code == 159:
                description = value.decode()
            place += 3 + size
        if place != len(body):
            raise ValueError("a parameter's length does not fit")
        if kind == TESTED:
            self.tests.append(cause)
            return
        self._record.write(f"{self.name} got type {kind} cause {cause} for {id_}")
        if kind in (ANSWER, RELEASE) and (call := self.calls.get(id_)) is not None:
            call.messages.append((kind, cause, time.time()))
            if kind == ANSWER:
                call.description = description
            call.changed.set()
            if kind == RELEASE and len(call.messages) > 1:
                self.send(encode(RELEASED, id_))


class DelayedPath:
    """The way between callers and an edge proxy: each byte and each close takes `delay` seconds."""

    def __init__(self, delay: float) -> None:
        """Does not listen yet."""
        self.port = 0
        self._delay = delay
        self._target = 0

    async def start(self, target: int) -> None:
        """Starts to pass connections on to the port `target`."""
        self._target = target
        server = await asyncio.start_server(self._serve, HOST, 0)
        self.port = server.sockets[0].getsockname()[1]

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(OSError, asyncio.CancelledError):
            far_reader, far_writer = await asyncio.open_connection(HOST, self._target)
            await asyncio.gather(self._pass(reader, far_writer), self._pass(far_reader, writer))

    async def _pass(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        loop = asyncio.get_running_loop()
        with contextlib.suppress(OSError):
            while data := await reader.read(64 * 1024):
                loop.call_later(self._delay, _write_if_open, writer, data)
        loop.call_later(self._delay, writer.close)


def _write_if_open(writer: asyncio.StreamWriter, data: bytes) -> None:
    if not writer.is_closing():
        writer.write(data)


class EdgeProxy:
    """One edge proxy: the process that the deploy file's `run` starts."""

    def __init__(self, record: Record, bus: Bus, options: dict[str, Any] | None = None) -> None:
        """Is not started yet; keeps its name and address over restarts."""
        self.port = free_port()
        self.starts = 0
        self._record = record
        self._bus = bus
        self._options = options or settings()
        self._folder = Path(tempfile.mkdtemp(prefix="review-2-"))
        self._log = (self._folder / "log.txt").open("ab")
        self._process: asyncio.subprocess.Process | None = None

    async def start(self) -> None:
        """Starts the process with the configuration of now, and waits until it passes a test."""
        self.starts += 1
        path = self._folder / "config.json"
        listen = f"{HOST}:{self.port}"
        config = {
            "name": "n0",
            "listen": listen,
            "seed": f"8c1f30d27a5be96{self.starts % 16:x}",
            "limits": {"cores": 1.0, "memory_mb": MEMORY_MB, "sockets": 256},
            "bus": self._bus.address,
            "known": self._bus.known,
            "settings": self._options,
        }
        path.write_text(json.dumps(config), encoding="utf-8")
        (self._folder / "tmp").mkdir(exist_ok=True)
        names = {"RELAY_NAME": "n0", "RELAY_LISTEN": listen, "RELAY_CONFIG": str(path)}
        names["TMPDIR"] = str(self._folder / "tmp")
        command = tomllib.loads((ROOT / "deploy/balancer.toml").read_text(encoding="utf-8"))["run"]
        self._process = await asyncio.create_subprocess_exec(
            "/bin/sh", "-c", command, cwd=ROOT, env=os.environ | names, stderr=self._log, stdout=self._log
        )
        self._record.write(f"edge proxy started, process {self._process.pid}")
        await self._wait_until_ready()

    async def _wait_until_ready(self) -> None:
        for _ in range(300):
            front = Caller(self._record, "front", {})
            with contextlib.suppress(OSError):
                await front.connect(self.port)
                front.send(encode(TEST, "0" * 15 + "1", {157: b"\0"}))
                await asyncio.sleep(0.1)
                front.close()
                if front.tests == [1]:
                    # The servers' connections come up meanwhile.
                    await asyncio.sleep(0.3)
                    return
            if self.has_ended:
                break
            await asyncio.sleep(0.1)
        raise CannotRunError("the edge proxy did not become ready")

    @property
    def has_ended(self) -> bool:
        """Whether the process has ended."""
        return self._process is None or self._process.returncode is not None

    @property
    def memory_mb(self) -> float:
        """The process's resident memory."""
        if self.has_ended:
            return 0.0
        assert self._process is not None
        text = Path(f"/proc/{self._process.pid}/status").read_text(encoding="ascii")
        line = next((line for line in text.splitlines() if line.startswith("VmRSS")), "VmRSS: 0 kB")
        return int(line.split()[1]) / 1024

    def signal(self, number: signal.Signals) -> None:
        """Sends the process a signal."""
        assert self._process is not None
        self._record.write(f"edge proxy is sent {number.name}")
        self._process.send_signal(number)

    async def stop(self) -> None:
        """Ends the process as at a planned restart: SIGTERM, and SIGKILL 3.7 s later."""
        assert self._process is not None
        self.signal(signal.SIGTERM)
        with contextlib.suppress(TimeoutError):
            await asyncio.wait_for(self._process.wait(), 3.7)
        if not self.has_ended:
            self._process.kill()
            await self._process.wait()
        self._record.write(f"edge proxy ended with {self._process.returncode}")

    async def end(self) -> None:
        """Ends the process at once, if it runs, and adds its log's warnings to the record."""
        if not self.has_ended:
            assert self._process is not None
            self._process.send_signal(signal.SIGCONT)
            self._process.kill()
            await self._process.wait()
        self._log.close()
        for line in (self._folder / "log.txt").read_text(encoding="utf-8").splitlines()[-200:]:
            self._record.write(f"log {line}")
        for path in sorted(self._folder.rglob("*"), reverse=True):
            path.rmdir() if path.is_dir() else path.unlink()
        self._folder.rmdir()


class CannotRunError(Exception):
    """The case could not run, so it says nothing about the rule."""


Case = Callable[[Record], Awaitable[list[str]]]


def run_case(case: Case, folder: Path, limit_s: float = 110.0) -> None:
    """Runs a case, which returns what broke the rule, and exits with 0 (held), 1 (broken) or 2 (not run)."""
    record = Record(folder)
    record.write(f"TROUBLE={int(trouble())}")

    async def limited() -> list[str]:
        return await asyncio.wait_for(_as_coroutine(case(record)), limit_s)

    try:
        faults = asyncio.run(limited())
    except Exception as error:  # the exit code 1 is for a broken rule only
        record.say(f"could not run: {type(error).__name__}: {error}")
        record.close()
        sys.exit(NOT_RUN)
    for fault in faults[:20]:
        record.say(f"broken: {fault}")
    record.say(f"the rule was broken {len(faults)} times" if faults else "the rule held")
    record.close()
    sys.exit(BROKEN if faults else HELD)


async def _as_coroutine(work: Awaitable[list[str]]) -> list[str]:
    return await work
