"""Races of the platform's edge proxy: at shutdown, at a signal, on a quiet bus, without descriptors.

On loopback sockets. Where one process plays both sides, no turn of the instance begins before the test lets
it; where `python -m valverouter.platform_edge` runs, its own events are waited for. No clock judges the
order.
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
    Rig,
    Server,
    configuration,
    host,
    relayed,
    release,
    set_up,
)
from tests.process_harness import Drill, drill
from valverouter.config import platform
from valverouter.edge.sockets import SocketRuntime
from valverouter.platform_edge import dialogs as platform_dialogs
from valverouter.platform_edge.link import PlatformLink
from valverouter.platform_protocol import isup
from valverouter.signalling import setup

A, B = "a" * 16, "b" * 16


# The end


async def said_at_the_end(rig: Rig, raw: socket.socket) -> list[tuple[int, str, int]]:
    """Ends the instance; what a caller heard by then, read to the connection's end."""
    await rig.until(rig.edge.ended.is_set)
    raw.setblocking(False)
    data = b""
    with suppress(BlockingIOError):
        while more := raw.recv(4_096):
            data += more
    return [(message.type, message.id, message.cause) for message in isup.MessageReader().feed(data)]


@pytest.mark.parametrize("connected", [True, False])
async def test_what_the_kernel_has_taken_at_the_end_is_answered(connected: bool) -> None:
    # Nothing is open when it is to stop; the set-up lies unread, on a connection accepted or not.
    async with relayed(network=Loopback()) as rig:
        assert isinstance(rig.place, Loopback)
        host_, port = rig.place.ports["edge:1"].split(":")
        with socket.socket() as raw:
            if connected:
                raw.connect((host_, int(port)))
                await rig.until(lambda: rig.edge.listener.open_connections == 1)

            def comes() -> None:
                if not connected:
                    raw.connect((host_, int(port)))
                raw.sendall(set_up(A))

            rig.place.at_turn = comes
            rig.edge.stop()
            assert await said_at_the_end(rig, raw) == [(isup.REL, A, 42)]


async def test_the_last_dialogs_have_their_answer_before_the_process_is_killed(
    autojump_clock: MockClock,
) -> None:
    async with relayed("s0") as rig:
        client, server = await rig.client(), rig.servers["s0"]
        server.answers = False
        await client.ask(A, left=9_000)
        await rig.until(lambda: server.of("setup") == [A])
        signalled = trio.current_time()
        await trio.sleep(platform.ACCEPT_PERIOD / 1e9)
        rig.edge.stop()
        await rig.until(rig.edge.ended.is_set)
        # SIGKILL: the longest no-answer time, counted as 3 s where it is longer, and 0.7 s.
        assert client.said == [(isup.REL, A, 41)]
        assert trio.current_time() - signalled < 3.7
        assert platform.ACCEPT_PERIOD < platform.KILL_DELAY


# A second copy of a server's word


async def test_a_second_copy_of_a_refusal_is_no_word_on_the_next_attempt() -> None:
    # Dialogs so short that a server without a free agent is asked again soon.
    quick = SETTINGS | {"extra": SETTINGS["extra"] | {"callLengthUs": [20_000, 20_000]}}
    async with relayed(network=Loopback(), settings=quick) as rig:
        client, s0, s1 = await rig.client(), *rig.servers.values()
        s0.answers = s1.answers = False
        await client.ask(A, traffic_type="urgent")
        await rig.until(lambda: s0.of("setup") == [A])
        first = s0.at[A]
        await s0.say(first, release(A, 34, note="no_path"))
        await rig.until(lambda: s1.of("setup") == [A])
        await s1.say(s1.at[A], release(A, 34))
        await rig.until(lambda: s0.of("setup") == [A, A])
        assert s0.at[A] is not first, "the other connection, where a copy can't come"
        await s0.say(first, release(A, 34, note="no_path"))
        await s0.say(first, {"type": "ping", "id": B, "fields": {}, "cause": 0}, {"type": "state", "id": B})
        await trio.sleep(0.05)
        assert rig.edge.dialogs.entries[A].attempt == 2
        assert s1.of("setup") == [A]
        await s0.say(s0.at[A], {"type": "answer", "id": A, "fields": {}, "sdp": "v=0"})
        await rig.until(lambda: client.said == [(isup.ANM, A, -1)])


async def test_a_server_s_close_that_crosses_a_set_up_is_an_attempt_that_may_have_run() -> None:
    # Both connections are closed as the set-up leaves on the first. Of the second that is read later, so that
    # what the first one's end gives to release goes there, and is read by nobody.
    async with relayed(network=Loopback()) as rig:
        assert isinstance(rig.place, Loopback)
        client, (s0, s1) = await rig.client(), rig.servers.values()
        s0.answers = False
        link = rig.edge.links.by_server["s0"]
        assert isinstance(link, PlatformLink)
        first, second = ends_of(link, s0)
        rig.place.hold()
        rig.edge.context.events._capacity = 1
        await client.ask(A)
        await rig.until(lambda: len(rig.edge.context.events) == 1)
        heard_at = link._connections[1].received_at
        await s0.say(second, {"type": "state", "id": B})
        await rig.until(lambda: link._connections[1].received_at > heard_at)  # and waits for room

        def closes() -> None:
            first.close_now()
            second.close_now()

        rig.place.at_turn = closes
        began = time.monotonic()
        rig.place.go()
        await rig.until(lambda: client.said == [(isup.ANM, A, -1)])
        waited = time.monotonic() - began
        await rig.until(lambda: s0.of("release") == [A])
        assert s1.of("setup") == [A]
        assert s0.of("setup") == []
        assert waited >= 0.3


def ends_of(link: PlatformLink, server: Server) -> list[Any]:
    """The server's ends of a link's connections, in the link's order."""
    ours = [getattr(line.send_queue._stream, "_socket").getsockname() for line in link._connections]  # noqa: B009
    theirs = {getattr(stream, "_socket").getpeername(): stream for stream in server.streams}  # noqa: B009
    return [theirs[name] for name in ours]


# The list


async def test_a_bus_that_says_nothing_at_once_is_not_asked_all_the_time() -> None:
    async with relayed("s0", network=Loopback()) as rig:
        rig.bus.hurried = True
        rig.bus.tell(host("s0", 0))
        before = len(rig.bus.asked)
        began = time.monotonic()
        await trio.sleep(0.5)
        asked, most = len(rig.bus.asked) - before, (time.monotonic() - began) * 1e9 / platform.BUS_RETRY_DELAY
        assert 1 < asked <= most + 2
        rig.bus.tell(host("s0", 0, "Gone"))
        await rig.until(lambda: not rig.edge.links.by_server)


async def test_a_bus_that_lost_events_takes_nothing_back(autojump_clock: MockClock) -> None:
    async with relayed() as rig:
        rig.bus.tell(host("s1", 1, "Terminating"))
        await trio.sleep(0.5)
        del rig.bus.events[1:]
        await trio.sleep(5)
        client = await rig.client()
        await client.ask(A, "dest:1")
        await rig.until(lambda: client.said == [(isup.ANM, A, -1)])
        assert rig.servers["s1"].of("setup") == []
        assert rig.edge.source.offset == 2


async def test_ends_that_find_nobody_are_kept_for_a_while_only(autojump_clock: MockClock) -> None:
    async with relayed() as rig:
        client = await rig.client()
        await rig.until(lambda: rig.edge.listener.open_connections == 1)
        caller = next(iter(rig.edge.connected._unproven))
        await client.stream.aclose()
        await rig.until(lambda: caller.is_closed)
        for at in range(50):
            rig.edge.release_notifier.notify(caller, setup.Ended(f"{at:016x}", 0, "over"))
            await trio.sleep(1)
        assert len(rig.edge.release_notifier._pending) <= platform_dialogs.PENDING_RELEASE_LIFETIME_S + 1


# Customers


OTHERS = SETTINGS | {
    "categories": [
        {"name": "ward-round", "objectiveUs": 400_000, "deadlineUs": 2_000_000, "importance": 2.0},
        {"name": "blood", "objectiveUs": 200_000, "deadlineUs": 900_000, "semantics": "non_idempotent"},
        {"name": "porter", "objectiveUs": 700_000, "deadlineUs": 3_000_000},
    ],
    "extra": {"classCells": [[0, 1], [1], [0, 1]], "callLengthUs": [10**6] * 3, "releaseGuardUs": 120_000},
}


@pytest.mark.parametrize(
    ("settings", "its", "others"), [(SETTINGS, "urgent", "blood"), (OTHERS, "blood", "urgent")]
)
async def test_customers_in_turn_each_with_its_own_classes(
    settings: dict[str, Any], its: str, others: str
) -> None:
    async with relayed(network=Loopback(), settings=settings) as rig:
        client = await rig.client()
        await client.ask(B, "dest:1", 800, others)
        await rig.until(lambda: client.said == [(isup.REL, B, 100)])
        await client.ask(A, "dest:1", 800, its)
        await rig.until(lambda: client.said[1:] == [(isup.ANM, A, -1)])
        assert rig.servers["s1"].heard[-1].fields["class"] == its


# The process


def free_port() -> str:
    with socket.socket() as free:
        free.bind(("127.0.0.1", 0))
        return f"127.0.0.1:{free.getsockname()[1]}"


class Far:
    """A bus and core servers for a process: their addresses are told as they are."""

    def __init__(self, nursery: trio.Nursery) -> None:
        self.nursery, self.network, self.bus = nursery, SocketRuntime(), Bus()
        self.addresses: dict[str, str] = {}

    async def server(self, name: str) -> Server:
        server = Server(self, name)  # type: ignore[arg-type]
        self.addresses[name] = await self.nursery.start(self.network.serve, "127.0.0.1:0", server._serve)
        return server

    def row(self, name: str, number: int, health: str = "Ready") -> dict[str, Any]:
        return host(name, number, health) | {"dial": self.addresses[name]}


async def passed(address: str) -> trio.abc.Stream:
    """A caller's connection that has passed a test."""
    stream = await SocketRuntime().connect(address)
    await stream.send_all(isup.encode(isup.TEST, A, {isup.CAUSE: b"\0"}))
    with trio.fail_after(20):
        assert await stream.receive_some() == isup.encode(isup.TESTED, A, {isup.CAUSE: b"\1"})
    return stream


async def test_callers_that_fill_the_descriptors_keep_neither_bus_nor_servers_away(tmp_path: Path) -> None:
    sockets, servers = 96, 20
    async with drill(tmp_path, servers=0) as one:
        far = Far(one.nursery)
        bus_at = free_port()
        told = configuration([], free_port(), bus_at)
        told["limits"]["sockets"] = sockets
        told["settings"] = SETTINGS | {
            "extra": SETTINGS["extra"] | {"classCells": [list(range(servers))] * 2}
        }
        await one.relay(told)
        one.limit(resource.RLIMIT_NOFILE, sockets)
        await one.event("bus-down")
        idle = []
        for _ in range(2 * sockets):
            with suppress(trio.BrokenResourceError, trio.ClosedResourceError, AssertionError):
                idle.append(await passed(one.address))
        assert len(idle) > sockets // 4
        # Discovery is back, and tells of servers that need the descriptors which callers hold.
        names = [f"s{number}" for number in range(servers)]
        found = [await far.server(name) for name in names]
        far.bus.events.append(
            {
                "offset": 1,
                "topology": {"whole": True, "hosts": [far.row(n, at) for at, n in enumerate(names)]},
            }
        )
        await one.nursery.start(far.network.serve, bus_at, far.bus.serve)
        with trio.fail_after(20):
            while not all(len(server.streams) == 2 for server in found):
                await trio.sleep(0.01)
        good = await passed(one.address)
        await good.send_all(set_up(B))
        with trio.fail_after(20):
            (answer,) = isup.MessageReader().feed(await good.receive_some())
        assert (answer.type, answer.id) == (isup.ANM, B)
        assert one.holds()["descriptors"] < sockets


async def piped(path: Path, data: bytes) -> int:
    """Opens a pipe that the process reads, once it does, and writes to it; the descriptor, still open."""
    with trio.fail_after(20):
        while True:
            try:
                there = os.open(path, os.O_WRONLY | os.O_NONBLOCK)
                break
            except OSError as error:
                if error.errno != errno.ENXIO:
                    raise
                await trio.sleep(0.005)
    os.write(there, data)
    return there


async def test_a_hangup_while_the_configuration_is_read_is_not_lost(tmp_path: Path) -> None:
    # A pipe in the file's place: the read ends when the test says so, after the signal.
    async with drill(tmp_path, servers=0) as one:
        path = tmp_path / "config.json"
        os.mkfifo(path)
        listen = free_port()
        one.spawn(["valverouter.platform_edge"], {"RELAY_CONFIG": str(path)})
        there = await piped(path, msgspec.json.encode(configuration([], listen, "127.0.0.1:1")))
        one.process.send_signal(signal.SIGHUP)
        os.close(there)
        # The first read has ended by then: a second writer who comes before would add to what it reads.
        await one.event("edge-listening")
        os.close(await piped(path, msgspec.json.encode(configuration([], listen, "127.0.0.1:2"))))
        assert (await one.event("configuration-reloaded"))["bus"] == "127.0.0.1:2"


UNUSABLE: list[tuple[str, dict[str, Any]]] = [
    ("known", {"known": {"offset": 1, "batch": [{"offset": "one"}]}}),
    ("known", {"known": {"offset": 1, "batch": [{"offset": 1, "topology": {"hosts": [{"host": 7}]}}]}}),
]


@pytest.mark.parametrize(("named", "change"), UNUSABLE)
async def test_events_that_can_not_be_read_end_the_start_with_one_line(
    tmp_path: Path, named: str, change: dict[str, Any]
) -> None:
    async with drill(tmp_path, servers=0) as one:
        path = tmp_path / "config.json"
        path.write_bytes(msgspec.json.encode(configuration([], free_port()) | change))
        one.spawn(["valverouter.platform_edge"], {"RELAY_CONFIG": str(path)})
        assert await one.ended() == 2
        with trio.fail_after(20):
            while not one.other_lines:
                await trio.sleep(0.01)
        assert len(one.other_lines) == 1
        assert f"{path}: {named}:" in one.other_lines[0].decode()


async def refused(one: Drill, contents: list[bytes]) -> None:
    """Each is told and refused at a hangup, and the process serves on."""
    for many, content in enumerate(contents, start=1):
        one.file.write_bytes(content)
        one.process.send_signal(signal.SIGHUP)
        await one.event("configuration-rejected", many=many)
        await (await passed(one.address)).aclose()


async def test_a_configuration_that_can_not_be_used_changes_nothing_at_a_hangup(tmp_path: Path) -> None:
    async with drill(tmp_path, servers=0) as one:
        told = configuration([], free_port(), "127.0.0.1:1")
        await one.relay(told)
        whole = msgspec.json.encode(told | {"bus": "127.0.0.1:2"})
        spoilt = [msgspec.json.encode(told | {"bus": "127.0.0.1:2"} | change) for _, change in UNUSABLE[:1]]
        another = msgspec.json.encode(told | {"bus": "127.0.0.1:2", "name": "n1"})
        await refused(one, [whole[: len(whole) // 2], *spoilt, another])
        assert not one.events("configuration-reloaded")
        one.file.write_bytes(whole)
        one.process.send_signal(signal.SIGHUP)
        await one.event("configuration-reloaded")
        one.process.send_signal(signal.SIGTERM)
        one.process.send_signal(signal.SIGTERM)
        one.process.send_signal(signal.SIGHUP)
        assert await one.ended() == 0


# Ready again

# Ten seconds of the least share of a core that an edge proxy is given, a quarter.
READY_CPU_S = 2.5
# Rich is read by structlog where it is installed, which it is not beside the edge proxy.
HEAVY = ("click", "hdrh", "jinja2", "lark", "lmdb", "numpy", "scipy", "simpy", "valverouter.cli")


def processor_s(pid: int) -> float:
    """Of a process, all its threads, since it was started."""
    told = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(told[11]) + int(told[12])) / os.sysconf("SC_CLK_TCK")


async def test_a_restarted_process_is_ready_within_its_time(tmp_path: Path) -> None:
    # By the processor's time, which what else runs changes little; a long list is read on the way.
    rows = [host(f"s{at}", at) | {"dial": f"127.0.0.1:{at + 1}"} for at in range(300)]
    whole = {"offset": 1, "topology": {"whole": True, "hosts": rows}}
    took = []
    for at in range(10):
        (folder := tmp_path / str(at)).mkdir()
        async with drill(folder, servers=0) as one:
            told = configuration([whole], free_port(), "127.0.0.1:1")
            told["settings"] = SETTINGS | {
                "extra": SETTINGS["extra"] | {"classCells": [list(range(len(rows)))] * 2}
            }
            told["limits"]["sockets"] = 1_024
            await one.relay(told)
            await (await passed(one.address)).aclose()
            took.append(processor_s(one.process.pid))
    assert sorted(took)[8] < READY_CPU_S, took


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
    "words",
    [*([module] for module in PLATFORM_EDGE), *([module, "lost-hangup"] for module in INJECTED_FAULTS)],
)
def test_a_hangup_is_handled_before_libraries_are_imported(words: list[str], tmp_path: Path) -> None:
    ran = subprocess.run(
        [sys.executable, "-c", SIGHUP_PROBE, *words],
        env=os.environ | {"RELAY_CONFIG": str(tmp_path / "none")},
        capture_output=True, text=True, timeout=60, check=False,
    )  # fmt: skip
    assert ran.returncode == 2, ran.stderr
    assert "valverouter: RELAY_CONFIG=" in ran.stderr
    assert sorted(ran.stdout.splitlines()) == ["msgspec True", "structlog True", "trio True"]


@pytest.mark.parametrize("module", PLATFORM_EDGE)
def test_nothing_heavy_is_read_before_it_listens(module: str) -> None:
    told = subprocess.run(
        [sys.executable, "-c", f"import {module}.__main__, sys; print(*sorted(sys.modules))"],
        capture_output=True, text=True, timeout=60, check=True,
    )  # fmt: skip
    loaded = set(told.stdout.split())
    assert "valverouter.platform_edge.proxy" in loaded
    assert not loaded & set(HEAVY)
