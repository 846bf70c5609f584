"""Races of the platform's edge proxy: at shutdown, at signals, with an idle bus, without free descriptors.

The tests use loopback sockets. In one process, they hold the event loop between turns; with
`python -m valverouter.platform_edge`, they wait for its log events. So the order of events does not depend on
timing.
"""

from __future__ import annotations

import errno
import os
import resource
import signal
import socket
import subprocess
import sys
import time
from contextlib import suppress
from pathlib import Path
from typing import Any

import msgspec
import pytest
import trio
from trio.testing import MockClock

from tests.platform_harness import (
    SETTINGS,
    Bus,
    Loopback,
    PlatformHarness,
    Server,
    configuration,
    encode_setup,
    host_row,
    release_line,
    running_platform_edge,
)
from tests.process_harness import ProcessHarness, running_process
from valverouter.config import platform
from valverouter.edge.sockets import SocketRuntime
from valverouter.platform_edge.link import PlatformLink
from valverouter.platform_edge.unheard_releases import RELEASE_LIFETIME
from valverouter.platform_protocol import isup
from valverouter.signalling import setup

A, B = "a" * 16, "b" * 16


# Shutdown


async def responses_at_exit(harness: PlatformHarness, raw: socket.socket) -> list[tuple[int, str, int]]:
    """Waits until the edge proxy has ended; returns the messages that the caller received by then."""
    await harness.wait_until(harness.edge.ended.is_set)
    raw.setblocking(False)
    data = b""
    with suppress(BlockingIOError):
        while more := raw.recv(4_096):
            data += more
    return [(message.type, message.id, message.cause) for message in isup.MessageReader().feed(data)]


@pytest.mark.parametrize("connected", [True, False])
async def test_a_set_up_unread_at_shutdown_is_answered(connected: bool) -> None:
    # At the stop request no dialog is open, and the set-up is unread, on a connection accepted or not.
    async with running_platform_edge(network=Loopback()) as harness:
        assert isinstance(harness.runtime, Loopback)
        host_, port = harness.runtime.ports["edge:1"].split(":")
        with socket.socket() as raw:
            if connected:
                raw.connect((host_, int(port)))
                await harness.wait_until(lambda: harness.edge.listener.open_connections == 1)

            def send_set_up() -> None:
                if not connected:
                    raw.connect((host_, int(port)))
                raw.sendall(encode_setup(A))

            harness.runtime.on_turn_start = send_set_up
            harness.edge.stop()
            assert await responses_at_exit(harness, raw) == [(isup.REL, A, 42)]


async def test_open_dialogs_are_answered_before_sigkill(autojump_clock: MockClock) -> None:
    async with running_platform_edge("s0") as harness:
        client, server = await harness.client(), harness.servers["s0"]
        server.answers_setups = False
        await client.send_setup(A, time_left_ms=9_000)
        await harness.wait_until(lambda: server.received_ids("setup") == [A])
        signalled_at = trio.current_time()
        await trio.sleep(platform.ACCEPT_PERIOD / 1e9)
        harness.edge.stop()
        await harness.wait_until(harness.edge.ended.is_set)
        # SIGKILL comes 0.7 s after the longest no-answer time, of which at most 3 s count.
        assert client.responses == [(isup.REL, A, 41)]
        assert trio.current_time() - signalled_at < 3.7
        assert platform.ACCEPT_PERIOD < platform.KILL_DELAY


# Duplicate messages and lost connections of a server


async def test_a_duplicate_rejection_does_not_affect_the_next_attempt() -> None:
    # Dialogs are so short that a server without a free agent is retried soon.
    quick = SETTINGS | {"extra": SETTINGS["extra"] | {"callLengthUs": [20_000, 20_000]}}
    async with running_platform_edge(network=Loopback(), settings=quick) as harness:
        client, s0, s1 = await harness.client(), *harness.servers.values()
        s0.answers_setups = s1.answers_setups = False
        await client.send_setup(A, traffic_type="urgent")
        await harness.wait_until(lambda: s0.received_ids("setup") == [A])
        first = s0.setup_streams[A]
        await s0.send(first, release_line(A, 34, note="no_path"))
        await harness.wait_until(lambda: s1.received_ids("setup") == [A])
        await s1.send(s1.setup_streams[A], release_line(A, 34))
        await harness.wait_until(lambda: s0.received_ids("setup") == [A, A])
        assert s0.setup_streams[A] is not first, (
            "the retry must use the other connection, on which no duplicate can arrive"
        )
        await s0.send(first, release_line(A, 34, note="no_path"))
        await s0.send(first, {"type": "ping", "id": B, "fields": {}, "cause": 0}, {"type": "state", "id": B})
        await trio.sleep(0.05)
        assert harness.edge.dialogs.entries[A].attempt == 2
        assert s1.received_ids("setup") == [A]
        await s0.send(s0.setup_streams[A], {"type": "answer", "id": A, "fields": {}, "sdp": "v=0"})
        await harness.wait_until(lambda: client.responses == [(isup.ANM, A, -1)])


async def test_a_set_up_that_crosses_a_servers_close_counts_as_one_that_may_have_run() -> None:
    # Both connections are closed while the set-up is sent on the first. The close of the second is read
    # later, so that the release that follows the loss of the first is sent there and never read.
    async with running_platform_edge(network=Loopback()) as harness:
        assert isinstance(harness.runtime, Loopback)
        client, (s0, s1) = await harness.client(), harness.servers.values()
        s0.answers_setups = False
        link = harness.edge.links.by_server["s0"]
        assert isinstance(link, PlatformLink)
        first, second = server_streams(link, s0)
        harness.runtime.pause_turns()
        harness.edge.context.events._capacity = 1
        await client.send_setup(A)
        await harness.wait_until(lambda: len(harness.edge.context.events) == 1)
        received_at = link._connections[1].received_at
        await s0.send(second, {"type": "state", "id": B})
        # From then on the reader of the second connection waits for space in the event queue.
        await harness.wait_until(lambda: link._connections[1].received_at > received_at)

        def close_both() -> None:
            first.close_now()
            second.close_now()

        harness.runtime.on_turn_start = close_both
        started_at = time.monotonic()
        harness.runtime.resume_turns()
        await harness.wait_until(lambda: client.responses == [(isup.ANM, A, -1)])
        elapsed = time.monotonic() - started_at
        await harness.wait_until(lambda: s0.received_ids("release") == [A])
        assert s1.received_ids("setup") == [A]
        assert s0.received_ids("setup") == []
        assert elapsed >= 0.3


def server_streams(link: PlatformLink, server: Server) -> list[Any]:
    """Returns the server's streams for a link's connections, in the order of the link."""
    ours = [getattr(line.send_queue._stream, "_socket").getsockname() for line in link._connections]  # noqa: B009
    theirs = {getattr(stream, "_socket").getpeername(): stream for stream in server.streams}  # noqa: B009
    return [theirs[name] for name in ours]


# The event bus


async def test_a_bus_that_responds_at_once_without_events_is_polled_with_a_delay() -> None:
    async with running_platform_edge("s0", network=Loopback()) as harness:
        harness.bus.answers_immediately = True
        harness.bus.publish(host_row("s0", 0))
        before = len(harness.bus.polls)
        started_at = time.monotonic()
        await trio.sleep(0.5)
        polls, max_polls = (
            len(harness.bus.polls) - before,
            (time.monotonic() - started_at) * 1e9 / platform.BUS_RETRY_DELAY,
        )
        assert 1 < polls <= max_polls + 2
        harness.bus.publish(host_row("s0", 0, "Gone"))
        await harness.wait_until(lambda: not harness.edge.links.by_server)


async def test_a_bus_that_lost_events_does_not_undo_applied_ones(autojump_clock: MockClock) -> None:
    async with running_platform_edge() as harness:
        harness.bus.publish(host_row("s1", 1, "Terminating"))
        await trio.sleep(0.5)
        del harness.bus.events[1:]
        await trio.sleep(5)
        client = await harness.client()
        await client.send_setup(A, "dest:1")
        await harness.wait_until(lambda: client.responses == [(isup.ANM, A, -1)])
        assert harness.servers["s1"].received_ids("setup") == []
        assert harness.edge.source.offset == 2


async def test_releases_without_a_connected_caller_expire(autojump_clock: MockClock) -> None:
    async with running_platform_edge() as harness:
        client = await harness.client()
        await harness.wait_until(lambda: harness.edge.listener.open_connections == 1)
        caller = next(iter(harness.edge.connected._unproven))
        await client.stream.aclose()
        await harness.wait_until(lambda: caller.is_closed)
        for at in range(50):
            harness.edge.release_notifier.notify(caller, setup.Ended(f"{at:016x}", 0, "over"))
            await trio.sleep(1)
        assert harness.edge.release_notifier.unheard_count <= RELEASE_LIFETIME / 1e9 + 1


# Customers with different traffic types


OTHER_CUSTOMER = SETTINGS | {
    "categories": [
        {"name": "ward-round", "objectiveUs": 400_000, "deadlineUs": 2_000_000, "importance": 2.0},
        {"name": "blood", "objectiveUs": 200_000, "deadlineUs": 900_000, "semantics": "non_idempotent"},
        {"name": "porter", "objectiveUs": 700_000, "deadlineUs": 3_000_000},
    ],
    "extra": {"classCells": [[0, 1], [1], [0, 1]], "callLengthUs": [10**6] * 3, "releaseGuardUs": 120_000},
}


@pytest.mark.parametrize(
    ("settings", "own_class", "foreign_class"),
    [(SETTINGS, "urgent", "blood"), (OTHER_CUSTOMER, "blood", "urgent")],
)
async def test_traffic_types_are_those_of_the_customers_configuration(
    settings: dict[str, Any], own_class: str, foreign_class: str
) -> None:
    async with running_platform_edge(network=Loopback(), settings=settings) as harness:
        client = await harness.client()
        await client.send_setup(B, "dest:1", 800, foreign_class)
        await harness.wait_until(lambda: client.responses == [(isup.REL, B, 100)])
        await client.send_setup(A, "dest:1", 800, own_class)
        await harness.wait_until(lambda: client.responses[1:] == [(isup.ANM, A, -1)])
        assert harness.servers["s1"].received[-1].fields["class"] == own_class


# The process


def free_port() -> str:
    with socket.socket() as free:
        free.bind(("127.0.0.1", 0))
        return f"127.0.0.1:{free.getsockname()[1]}"


class PlatformPeers:
    """An event bus and core servers for an edge proxy in another process, on their real addresses."""

    def __init__(self, nursery: trio.Nursery) -> None:
        self.nursery, self.network, self.bus = nursery, SocketRuntime(), Bus()
        self.addresses: dict[str, str] = {}

    async def server(self, name: str) -> Server:
        server = Server(self, name)  # type: ignore[arg-type]
        self.addresses[name] = await self.nursery.start(self.network.serve, "127.0.0.1:0", server._serve)
        return server

    def row(self, name: str, number: int, health: str = "Ready") -> dict[str, Any]:
        return host_row(name, number, health) | {"dial": self.addresses[name]}


async def connect_and_test(address: str) -> trio.abc.Stream:
    """Connects as a caller and waits until a test request is answered."""
    stream = await SocketRuntime().connect(address)
    await stream.send_all(isup.encode(isup.TEST, A, {isup.CAUSE: b"\0"}))
    with trio.fail_after(20):
        assert await stream.receive_some() == isup.encode(isup.TESTED, A, {isup.CAUSE: b"\1"})
    return stream


async def test_callers_that_use_all_descriptors_do_not_block_the_bus_or_servers(tmp_path: Path) -> None:
    sockets, servers = 96, 20
    async with running_process(tmp_path, servers=0) as harness:
        peers = PlatformPeers(harness.nursery)
        bus_at = free_port()
        config = configuration([], free_port(), bus_at)
        config["limits"]["sockets"] = sockets
        config["settings"] = SETTINGS | {
            "extra": SETTINGS["extra"] | {"classCells": [list(range(servers))] * 2}
        }
        await harness.start_platform_edge(config)
        harness.set_limit(resource.RLIMIT_NOFILE, sockets)
        await harness.wait_for_event("bus-down")
        idle = []
        for _ in range(2 * sockets):
            with suppress(trio.BrokenResourceError, trio.ClosedResourceError, AssertionError):
                idle.append(await connect_and_test(harness.address))
        assert len(idle) > sockets // 4
        # The bus is available again and lists servers that need the descriptors used by callers.
        names = [f"s{number}" for number in range(servers)]
        listed = [await peers.server(name) for name in names]
        peers.bus.events.append(
            {
                "offset": 1,
                "topology": {"whole": True, "hosts": [peers.row(n, at) for at, n in enumerate(names)]},
            }
        )
        await harness.nursery.start(peers.network.serve, bus_at, peers.bus.serve)
        with trio.fail_after(20):
            while not all(len(server.streams) == 2 for server in listed):
                await trio.sleep(0.01)
        good = await connect_and_test(harness.address)
        await good.send_all(encode_setup(B))
        with trio.fail_after(20):
            (answer,) = isup.MessageReader().feed(await good.receive_some())
        assert (answer.type, answer.id) == (isup.ANM, B)
        assert harness.resource_usage()["descriptors"] < sockets


async def open_pipe_and_write(path: Path, data: bytes) -> int:
    """Writes to a pipe once the process reads it; returns the descriptor, still open."""
    with trio.fail_after(20):
        while True:
            try:
                descriptor = os.open(path, os.O_WRONLY | os.O_NONBLOCK)
                break
            except OSError as error:
                if error.errno != errno.ENXIO:
                    raise
                await trio.sleep(0.005)
    os.write(descriptor, data)
    return descriptor


async def test_sighup_while_the_configuration_is_read_is_not_lost(tmp_path: Path) -> None:
    # The file is a pipe, so that the test can end the read after the signal.
    async with running_process(tmp_path, servers=0) as harness:
        path = tmp_path / "config.json"
        os.mkfifo(path)
        listen = free_port()
        harness.spawn(["valverouter.platform_edge"], {"RELAY_CONFIG": str(path)})
        descriptor = await open_pipe_and_write(
            path, msgspec.json.encode(configuration([], listen, "127.0.0.1:1"))
        )
        harness.process.send_signal(signal.SIGHUP)
        os.close(descriptor)
        # The first read has ended by now; a second writer before that would have appended to its input.
        await harness.wait_for_event("edge-listening")
        os.close(
            await open_pipe_and_write(path, msgspec.json.encode(configuration([], listen, "127.0.0.1:2")))
        )
        assert (await harness.wait_for_event("configuration-reloaded"))["bus"] == "127.0.0.1:2"


INVALID_EVENTS: list[tuple[str, dict[str, Any]]] = [
    ("known", {"known": {"offset": 1, "batch": [{"offset": "one"}]}}),
    ("known", {"known": {"offset": 1, "batch": [{"offset": 1, "topology": {"hosts": [{"host": 7}]}}]}}),
]


@pytest.mark.parametrize(("named", "change"), INVALID_EVENTS)
async def test_invalid_events_end_the_start_with_one_line(
    tmp_path: Path, named: str, change: dict[str, Any]
) -> None:
    async with running_process(tmp_path, servers=0) as harness:
        path = tmp_path / "config.json"
        path.write_bytes(msgspec.json.encode(configuration([], free_port()) | change))
        harness.spawn(["valverouter.platform_edge"], {"RELAY_CONFIG": str(path)})
        assert await harness.wait_for_exit() == 2
        with trio.fail_after(20):
            while not harness.unparsed_lines:
                await trio.sleep(0.01)
        assert len(harness.unparsed_lines) == 1
        assert f"{path}: {named}:" in harness.unparsed_lines[0].decode()


async def reload_rejected(harness: ProcessHarness, contents: list[bytes]) -> None:
    """Checks that each content is rejected at SIGHUP and that the process continues to serve."""
    for count, content in enumerate(contents, start=1):
        harness.config_file.write_bytes(content)
        harness.process.send_signal(signal.SIGHUP)
        await harness.wait_for_event("configuration-rejected", count=count)
        await (await connect_and_test(harness.address)).aclose()


async def test_an_unusable_configuration_changes_nothing_at_sighup(tmp_path: Path) -> None:
    async with running_process(tmp_path, servers=0) as harness:
        config = configuration([], free_port(), "127.0.0.1:1")
        await harness.start_platform_edge(config)
        complete = msgspec.json.encode(config | {"bus": "127.0.0.1:2"})
        invalid = [
            msgspec.json.encode(config | {"bus": "127.0.0.1:2"} | change) for _, change in INVALID_EVENTS[:1]
        ]
        other_edge = msgspec.json.encode(config | {"bus": "127.0.0.1:2", "name": "n1"})
        await reload_rejected(harness, [complete[: len(complete) // 2], *invalid, other_edge])
        assert not harness.events("configuration-reloaded")
        harness.config_file.write_bytes(complete)
        harness.process.send_signal(signal.SIGHUP)
        await harness.wait_for_event("configuration-reloaded")
        harness.process.send_signal(signal.SIGTERM)
        harness.process.send_signal(signal.SIGTERM)
        harness.process.send_signal(signal.SIGHUP)
        assert await harness.wait_for_exit() == 0


# Start-up

# Ten seconds at a quarter of a core, the smallest share that an edge proxy is given.
READY_CPU_S = 2.5
# rich is not listed: structlog imports it if it is installed, which it is not where the edge proxy runs.
HEAVY_MODULES = ("click", "hdrh", "jinja2", "lark", "lmdb", "numpy", "scipy", "simpy", "valverouter.cli")


def processor_time_s(pid: int) -> float:
    """The processor time that all threads of a process have used, in seconds."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


async def test_a_restarted_process_is_ready_within_its_time_limit(tmp_path: Path) -> None:
    # Measured in processor time, which depends little on other processes. The start includes reading a long
    # endpoint list.
    rows = [host_row(f"s{at}", at) | {"dial": f"127.0.0.1:{at + 1}"} for at in range(300)]
    whole = {"offset": 1, "topology": {"whole": True, "hosts": rows}}
    durations = []
    for at in range(10):
        (folder := tmp_path / str(at)).mkdir()
        async with running_process(folder, servers=0) as harness:
            config = configuration([whole], free_port(), "127.0.0.1:1")
            config["settings"] = SETTINGS | {
                "extra": SETTINGS["extra"] | {"classCells": [list(range(len(rows)))] * 2}
            }
            config["limits"]["sockets"] = 1_024
            await harness.start_platform_edge(config)
            await (await connect_and_test(harness.address)).aclose()
            durations.append(processor_time_s(harness.process.pid))
    assert sorted(durations)[8] < READY_CPU_S, durations


PLATFORM_EDGE = ["valverouter.platform_edge", "valverouter.relayedge"]
# Runs a module as `python -m` does, and prints for each library whether SIGHUP has a handler
# before its import.
SIGHUP_PROBE = """
import runpy, signal, sys

class Probe:
    def find_spec(name, path=None, target=None):
        if name in ("msgspec", "structlog", "trio"):
            print(name, signal.getsignal(signal.SIGHUP) is not signal.SIG_DFL)

sys.meta_path.insert(0, Probe)
sys.argv = sys.argv[1:]
runpy.run_module(sys.argv[0], run_name="__main__", alter_sys=True)
"""


INJECTED_FAULTS = ["valverouter.soak.injected_faults", "valverouter.soak.planted"]


@pytest.mark.parametrize(
    "arguments",
    [*([module] for module in PLATFORM_EDGE), *([module, "lost-hangup"] for module in INJECTED_FAULTS)],
)
def test_sighup_is_handled_before_libraries_are_imported(arguments: list[str], tmp_path: Path) -> None:
    result = subprocess.run(
        [sys.executable, "-c", SIGHUP_PROBE, *arguments],
        env=os.environ | {"RELAY_CONFIG": str(tmp_path / "none")},
        capture_output=True, text=True, timeout=60, check=False,
    )  # fmt: skip
    assert result.returncode == 2, result.stderr
    assert "valverouter: RELAY_CONFIG=" in result.stderr
    assert sorted(result.stdout.splitlines()) == ["msgspec True", "structlog True", "trio True"]


@pytest.mark.parametrize("module", PLATFORM_EDGE)
def test_no_heavy_module_is_imported_at_the_start(module: str) -> None:
    result = subprocess.run(
        [sys.executable, "-c", f"import {module}.__main__, sys; print(*sorted(sys.modules))"],
        capture_output=True, text=True, timeout=60, check=True,
    )  # fmt: skip
    loaded = set(result.stdout.split())
    assert "valverouter.platform_edge.proxy" in loaded
    assert not loaded & set(HEAVY_MODULES)
