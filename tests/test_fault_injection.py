"""Fault injection: each dependency's worst failures, caused on purpose; docs/failures.md lists them.

One alone: `python -m pytest tests/test_fault_injection.py -k NAME`. Those with `drill` run `valverouter edge`
as a process on loopback; those with `rigged` run the same edge proxy in virtual time.
"""

from __future__ import annotations

import os
import resource
import signal
import socket
import time
from concurrent.futures import ThreadPoolExecutor
from contextlib import suppress
from pathlib import Path
from typing import Any

import pytest
import trio
from structlog.testing import capture_logs
from trio.testing import MockClock

from tests.edge_harness import INI, SECOND, Peer, dial, parse_config, running_edge
from tests.helpers import DriverHarness as Quiet
from tests.process_harness import Drill, drill
from tests.test_cross_region_config import GOOD as REGIONS
from valverouter.config.edge import load_edge_config
from valverouter.config.ini import InvalidConfigError
from valverouter.edge.clock import Clock
from valverouter.edge.connections import send_error
from valverouter.edge.discovery import DiscoveryClient
from valverouter.edge.incarnations import IncarnationTracker
from valverouter.edge.logs import LogWriter
from valverouter.edge.proxy import EdgeProxy
from valverouter.edge.queues import EventQueue
from valverouter.edge.sockets import PlainSocketStream, SocketRuntime
from valverouter.interface import CancelAttempt, DialogAction, LoadReport, Outcome
from valverouter.regions import cross_region_limiter
from valverouter.regions.time_sliced_quota import TimeSlicedQuota
from valverouter.scenarios.memory_network import STREAM_BUFFER_SIZE, WALL_CLOCK_START
from valverouter.signalling.framing import ProtocolError, encode_frame
from valverouter.signalling.greeting import Hello, Welcome
from valverouter.signalling.serverlist import EndpointRow, ListSession, Snapshot, Watch
from valverouter.signalling.setup import (
    Ended,
    Established,
    Failed,
    LegPhase,
    Load,
    LoadReported,
    Rejected,
    Setup,
    SetupSession,
)

# Troubled connections


@pytest.mark.parametrize(
    "address", ["", "nowhere", "127.0.0.1:99999", "127.0.0.1:²", "bad host:1", "x" * 70 + ":1"]
)
async def test_a_listed_address_that_is_none_costs_that_server_alone(tmp_path: Path, address: str) -> None:
    async with drill(tmp_path) as one:
        await one.start(one.ini())
        await one.publish(EndpointRow("s9", 9, "in-service", address, "", 1, 1))
        told = await one.event("link-down")
        assert told["server"] == "s9"
        assert told["why"].startswith("no connection")
        await one.stands("d1")


async def test_a_caller_that_reads_nothing_and_sends_rubbish_costs_itself_alone() -> None:
    near, far = socket.socketpair()
    stream = PlainSocketStream(trio.SocketStream(trio.socket.from_stdlib_socket(near)))
    async with trio.open_nursery() as nursery:
        nursery.start_soon(stream.send_all, b"x" * 10_000_000)
        await trio.testing.wait_all_tasks_blocked()
        await send_error(stream, SetupSession(), ProtocolError("malformed", "rubbish"))
        nursery.cancel_scope.cancel()
    await stream.aclose()
    far.close()


async def test_a_fault_in_one_connections_task_ends_neither_the_others_nor_the_instance(
    autojump_clock: MockClock, monkeypatch: pytest.MonkeyPatch
) -> None:
    async with running_edge() as rig:
        whole = SetupSession.receive

        def falls(session: SetupSession, data: Any) -> Any:
            if session.peer in ("bad", "s1"):
                raise MemoryError
            return whole(session, data)

        bad = await rig.caller("bad")
        monkeypatch.setattr(SetupSession, "receive", falls)
        with capture_logs() as logs:
            caller = await rig.caller("c1")
            await bad.stream.send_all(encode_frame(dial("b1")))
            await rig.servers["s1"].link.send(LoadReported(Load()))
            await trio.sleep(1)
        told = {(line["what"], line["peer"]) for line in logs if line["event"] == "connection-failed"}
        assert told == {("caller", "bad"), ("link", "s1")}
        await caller.send(dial())
        await rig.servers["s0"].link.next(Setup)
        await rig.servers["s0"].link.send(Established("d1"))
        assert await caller.next(Established)


async def test_a_server_gone_from_the_list_and_back_is_linked_again(autojump_clock: MockClock) -> None:
    async with running_edge() as rig:
        server = rig.servers["s0"]
        server.scope.cancel()
        await server.link.close()
        await trio.sleep(1)
        await rig.publish(server.row("gone"))
        await trio.sleep(10)
        assert list(rig.edge.links.by_server) == ["s1"]
        server.incarnation += 1
        await rig.nursery.start(server.run)
        await rig.publish(server.row())
        await trio.sleep(1)
        assert len(server.links) == 2


async def test_an_attempt_cancelled_behind_a_server_that_stopped_reading_still_gets_its_answer(
    autojump_clock: MockClock,
) -> None:
    async with running_edge(1, INI + "[attempts soon]\nleg_time_out = 500ms\n") as rig:
        caller = await rig.caller()
        began = trio.current_time()
        await caller.send(dial(no_answer=3 * SECOND))
        await rig.servers["s0"].link.next(Setup)
        rig.servers["s0"].stop_reading()
        outbox = rig.edge.links.by_server["s0"]._send_queue
        assert outbox is not None
        outbox.put(bytes(3 * STREAM_BUFFER_SIZE))  # more than the stream takes: what follows waits behind it
        answer = await caller.next(Failed | Rejected)
        assert trio.current_time() - began <= 3
        assert answer.dialog == "d1"
        assert "d1" not in rig.edge.dialogs.entries


async def test_every_reader_held_by_a_full_event_queue_goes_on(autojump_clock: MockClock) -> None:
    inbox, went = EventQueue(capacity=2), []

    async def reader(name: int) -> None:
        inbox.put(name)
        inbox.put(name)
        await inbox.wait_for_space()
        went.append(name)

    async with trio.open_nursery() as nursery:
        for name in range(5):
            nursery.start_soon(reader, name)
        await trio.sleep(1)
        while inbox.pop_next() is not None:
            await trio.sleep(0.01)
        await trio.sleep(1)
        nursery.cancel_scope.cancel()
    assert sorted(went) == [0, 1, 2, 3, 4]


# Bad configuration

LONG = ",".join(map(str, range(100_000, 102_000)))


@pytest.mark.parametrize(
    ("old", "new", "says"),
    [
        ("name = e0", "name = " + "e" * 129, "name: "),
        ("listen = edge:1", "listen = a b:1", "listen: 'a b:1' is not HOST:PORT"),
        ("listen = edge:1", "listen = edge:²", "is not HOST:PORT"),
        ("warm_after = 15s", "come_back_limit = 2h", "come_back_limit: '2h'"),
        ("warm_after = 15s", "warm_after = " + "9" * 400 + "s", "warm_after: "),
        ("cold_share", "edge_proxies = 9999999999999\ncold_share", "given twice"),
        ("edge_proxies = 1", "edge_proxies = " + "9" * 30, "edge_proxies: "),
        ("tip_multiple = 2.5", "tip_multiple = inf", "tip_multiple: 'inf'"),
        ("cold_share", "[links]\nwaiting_bytes = 100\n[fleet]\ncold_share", "given twice"),
        ("[traffic once]", "[links]\nwaiting_bytes = 100\n[traffic once]", "waiting_bytes: '100'"),
        ("[traffic once]", "[crossing ]\nlegs = 1\n[traffic once]", "a name must follow"),
        ("[traffic once]", "[traffic ]\nobjective = 1s\n[traffic once]", "a name must follow"),
        ("[traffic once]", "[traffic  plain]\nobjective = 1s\n[traffic once]", "a name must follow"),
        ("[traffic once]", f"[attempts a]\nlegs = 2\nprefix = {LONG}\n[traffic once]", "at most 1000 are"),
        ("[traffic once]", "#" * 300_000 + "\n[traffic once]", "longer than"),
    ],
)
def test_terms_that_would_start_something_useless_are_refused_with_line_and_reason(
    tmp_path: Path, old: str, new: str, says: str
) -> None:
    path = tmp_path / "edge.ini"
    path.write_text(INI.replace(old, new, 1))
    with pytest.raises(InvalidConfigError) as refused:
        load_edge_config(path)
    assert any(says in str(flaw) and str(path) in str(flaw) for flaw in refused.value.problems)


async def test_whatever_lies_there_at_sighup_the_old_terms_act_on_and_it_is_told(tmp_path: Path) -> None:
    async with drill(tmp_path, servers=2) as one:
        one.servers["s1"].answer = lambda asked: None
        good = one.ini(more="[attempts a]\nlegs = 2\n# end of terms\n")
        await one.start(good)
        caller = await one.caller()
        held = await one.caller("held")
        before = await one.settled()
        await held.send(dial("d-no-answer", first=1, no_answer=6 * SECOND))
        flawed = [
            None,
            b"\xff\xfe",
            good[: good.index("edge_proxies") + 5].encode(),
            good.replace("# end of terms", "").encode(),
            good.replace("legs = 2", "legs = two").encode(),
            good.replace("[attempts a]", "[crossing ]\nlegs = 1\n[attempts a]").encode(),
            good.replace("[attempts a]", f"[attempts b]\nlegs = 1\nprefix = {LONG}\n[attempts a]").encode(),
            good.replace("legs = 2", "come_back = 90s").encode(),
        ]
        for at, data in enumerate(flawed, 1):
            one.file.unlink() if data is None else one.file.write_bytes(data)
            for _ in range(5):  # repeated quickly it is read once more at most
                one.process.send_signal(signal.SIGHUP)
            told = await one.event(
                "configuration-rejected", many=len(one.events("configuration-rejected")) + 1
            )
            assert told["generation"] == 1
            assert told["file"] == str(one.file)
            assert told["why"]
            await one.stands(f"d{at}", caller)
            await trio.sleep(0.3)
        assert len(one.events("configuration-rejected")) <= 2 * len(flawed)
        assert not one.events("configuration-reloaded")
        one.file.write_text(good.replace("legs = 2", "legs = 1"))
        one.process.send_signal(signal.SIGHUP)
        assert (await one.event("configuration-reloaded"))["generation"] == 2
        await one.stands("d-after", caller)
        assert await held.next(Rejected | Failed)  # whose leg was out all the while
        after = await one.settled()
        assert after["descriptors"] <= before["descriptors"]
        assert not one.other_lines
        one.process.send_signal(signal.SIGHUP)
        one.process.send_signal(signal.SIGTERM)
        assert await one.ended() == 0


async def test_memory_that_runs_out_in_the_middle_of_a_reload_leaves_everything_as_it_was(
    autojump_clock: MockClock, monkeypatch: pytest.MonkeyPatch
) -> None:
    ini = REGIONS.replace("127.0.0.1:1", "edge:1", 1).replace("127.0.0.1:2", "list:1")
    with capture_logs() as logs:
        async with running_edge(1, ini) as rig:
            rule = rig.edge.cross_region
            assert rule is not None
            before = (rule.config, dict(rule._quotas), rule._reserve, rig.edge.config, rig.edge.generation)
            other = parse_config(ini.replace("legs = 10", "legs = 20"))
            for at in range(1, 20):
                made = 0

                class Short(TimeSlicedQuota):
                    def __init__(self, *args: Any) -> None:
                        nonlocal made
                        made += 1
                        if made == at:  # noqa: B023 - used at once
                            raise MemoryError
                        super().__init__(*args)

                monkeypatch.setattr(cross_region_limiter, "TimeSlicedQuota", Short)
                rig.edge.reload(other)
                await trio.sleep(0.1)
                if made < at:
                    break  # nothing was short any more: it was taken
                now = (rule.config, dict(rule._quotas), rule._reserve, rig.edge.config, rig.edge.generation)
                assert now == before
    told = [
        line["event"]
        for line in logs
        if line["event"] in ("configuration-rejected", "configuration-reloaded", "event-handling-failed")
    ]
    assert at > 3
    assert told == ["configuration-rejected"] * (at - 1) + ["configuration-reloaded"]


# Running out


async def refused(one: Drill) -> str:
    """What a new caller hears, told apart from silence; the moment it hears it is at most a second."""
    stream = await SocketRuntime().connect(one.address)
    peer = Peer(stream, SetupSession(Hello((1, 1), "caller", "more")))
    await stream.send_all(peer.session.hello_frame())
    with trio.fail_after(1):
        await peer.read()
    await peer.close()
    return peer.error.code if peer.error else ""


async def test_without_descriptors_callers_hear_so_and_all_is_as_before_with_room_again(
    tmp_path: Path,
) -> None:
    async with drill(tmp_path) as one:
        await one.start(one.ini())
        caller = await one.caller()
        await one.stands("d0", caller)
        before = await one.settled()
        one.limit(resource.RLIMIT_NOFILE, before["descriptors"])
        assert [await refused(one) for _ in range(5)] == ["peer:too-many"] * 5
        await one.stands("d1", caller)  # whoever is here is served
        one.limit(resource.RLIMIT_NOFILE, 4)
        for link in (*one.servers["s0"].links, *one.lists):
            await link.close()  # no descriptor for a new connection to either
        await one.event("discovery-down")
        await one.event("link-down", many=2)
        one.limit(resource.RLIMIT_NOFILE, 1_000)
        await one.event("link-up", many=2)
        for at in range(20):
            more = await one.caller(f"c{at}")
            await one.stands(f"e{at}", more)
            await more.close()
        await trio.sleep(0.5)
        after = await one.settled()
        assert after["descriptors"] <= before["descriptors"] + 1
        assert after["threads"] <= before["threads"] + 2
        assert one.events("callers-refused")
        assert not one.other_lines


async def test_callers_past_their_bound_leave_the_links_their_descriptors(tmp_path: Path) -> None:
    async with drill(tmp_path) as one:
        await one.start(one.ini(links="callers = 3"))
        callers = [await one.caller(f"c{at}") for at in range(3)]
        assert await refused(one) == "peer:too-many"
        for link in one.servers["s0"].links:
            await link.close()
        await one.event("link-up", many=2)
        await one.stands("d1", callers[0])
        await callers[1].close()
        await trio.sleep(0.2)
        await one.stands("d2")


async def test_without_memory_connections_are_lost_and_all_is_as_before_with_room_again(
    tmp_path: Path,
) -> None:
    async with drill(tmp_path) as one:
        await one.start(one.ini())
        caller = await one.caller()
        await one.stands("d0", caller)
        before = (await one.settled())["descriptors"]
        size = next(
            int(line.split()[1]) * 1024
            for line in Path(f"/proc/{one.process.pid}/status").read_text().splitlines()
            if line.startswith("VmSize")
        )
        one.limit(resource.RLIMIT_AS, size + 4 * 1024**2)
        others: list[Peer] = []
        lost = 0
        while lost < 3 and len(others) < 600:
            with trio.move_on_after(0.5) as patience, suppress(trio.BrokenResourceError):
                other = await one.caller(f"c{len(others)}")
                others.append(other)
                await other.stream.send_all(b"\x00\x00\xff\xff" + bytes(60_000))  # most of a large frame
            lost += patience.cancelled_caught or (bool(others) and others[-1].ended is not None)
        assert lost == 3
        assert one.process.poll() is None
        for other in others:
            await other.close()
        one.limit(resource.RLIMIT_AS, resource.RLIM_INFINITY)
        await trio.sleep(0.5)
        await one.stands("d2")
        assert one.holds()["descriptors"] <= before + 3


async def test_half_frames_and_connections_leave_nothing_behind(tmp_path: Path) -> None:
    async with drill(tmp_path) as one:
        await one.start(one.ini())
        caller = await one.caller()
        before, after = await one.settled(), []
        for times in range(3):
            others = [await one.caller(f"c{at}") for at in range(100)]
            for other in others:
                await other.stream.send_all(b"\x00\x00\xff\xff" + bytes(60_000))
            await one.stands(f"d{times}", caller)
            for other in others:
                await other.close()
            await trio.sleep(0.4)
            after.append(one.holds())
        assert after[2]["descriptors"] <= before["descriptors"] + 1
        assert after[2]["memory"] <= 1.1 * after[0]["memory"], after


# Logs


def a_port() -> int:
    with socket.socket() as one:
        one.bind(("127.0.0.1", 0))
        return int(one.getsockname()[1])


@pytest.mark.parametrize("to", ["full-disk", "closed-pipe", "stopped-reader"])
async def test_a_log_that_can_not_be_written_costs_its_lines_alone(tmp_path: Path, to: str) -> None:
    async with drill(tmp_path) as one:
        read, write = os.pipe()
        if to == "full-disk":
            os.close(write)
            write = os.open("/dev/full", os.O_WRONLY)
        one.address = f"127.0.0.1:{a_port()}"
        text = one.ini(more="[log]\nlevel = debug").replace("listen = 127.0.0.1:0", f"listen = {one.address}")
        await one.start(text, stderr=write)
        os.close(write)
        if to == "closed-pipe":
            os.close(read)
        with trio.fail_after(20):
            while not one.servers["s0"].links:
                await trio.sleep(0.05)
        await trio.sleep(0.2)
        caller = await one.caller()
        for at in range(300):  # the log of 300 dialogs is more than a pipe holds
            await one.stands(f"d{at}", caller)
        bad = await one.caller("bad")
        await bad.stream.send_all(b"\x00\x00\x00\x01\xc1")  # told as a warning, from a handler of last resort
        await one.stands("d-last", caller)
        if to == "stopped-reader":
            told = b""
            with trio.fail_after(10):
                while b"d-last" not in told:
                    told += await trio.to_thread.run_sync(os.read, read, 65_536)
        one.process.send_signal(signal.SIGTERM)
        assert await one.ended() == 0


def test_lines_past_the_bound_are_lost_counted_and_told_in_order() -> None:
    read, write = os.pipe()
    lines = LogWriter(write, max_bytes=500_000)
    for at in range(100_000):  # nobody reads yet, so that most of them find no room
        lines.msg(f"{at:060}")
    with open(read, "rb") as told, ThreadPoolExecutor() as threads:
        rest = threads.submit(told.read)
        while lines.lost:
            lines.msg("again")
            time.sleep(0.01)
        lines.close()
        os.close(write)
        rows = rest.result().splitlines()
    numbers = [int(row) for row in rows if row.isdigit()]
    lost = sum(int(row.split()[-1][:-1]) for row in rows if b"logs-lost" in row)
    assert numbers == sorted(set(numbers))
    assert len(numbers) + lost >= 100_000
    assert lost > 0


# The list service, its cache, and clocks


@pytest.mark.parametrize("kept", ["before", "after"])
async def test_a_wall_clock_set_forward_makes_no_cold_server_look_warm(
    autojump_clock: MockClock, kept: str
) -> None:
    async with running_edge(1) as rig:
        fresh = await rig.server("s1", 1, incarnation=5, age=0)
        await rig.publish(fresh.row())
        again = DiscoveryClient(rig.config, rig.runtime, EventQueue(), Clock(0), lambda tries: 0)
        rig.runtime.wall_time = lambda: WALL_CLOCK_START + 3_600 * SECOND  # type: ignore[method-assign]
        if kept == "before":
            rows = {row.server: row for row in await again.load_cached()}
        await rig.publish(rig.servers["s0"].row())  # kept once more, by the wrong clock
        if kept == "after":
            rows = {row.server: row for row in await again.load_cached()}
        assert rows["s1"].age is not None
        assert rows["s1"].age < SECOND
        assert rows["s0"].age is not None
        assert rows["s0"].age >= 10**15


async def test_a_disk_that_hangs_holds_up_neither_the_lists_word_nor_the_stop(
    autojump_clock: MockClock,
) -> None:
    async with running_edge(2) as rig:

        async def hangs(path: str, data: bytes) -> None:
            await trio.sleep_forever()

        rig.runtime.write_file = hangs  # type: ignore[method-assign]
        await rig.publish(rig.servers["s1"].row())
        await rig.publish(rig.servers["s0"].row("draining"))
        caller = await rig.caller()
        await caller.send(dial())
        assert (await rig.servers["s1"].link.next(Setup)).dialog == "d1"
        assert not rig.servers["s0"].link.all(Setup)


@pytest.mark.parametrize(
    "error", [OSError(28, "No space left on device"), RuntimeError("can't start new thread")]
)
async def test_a_list_cache_that_can_not_be_kept_is_told_once_and_costs_nothing_else(
    autojump_clock: MockClock, error: Exception
) -> None:
    with capture_logs() as logs:
        async with running_edge(1) as rig:
            whole = rig.runtime.write_file

            async def refuses(path: str, data: bytes) -> None:
                raise error

            rig.runtime.write_file = refuses  # type: ignore[method-assign]
            for _ in range(3):
                await rig.publish(rig.servers["s0"].row())
            rig.runtime.write_file = whole  # type: ignore[method-assign]
            await rig.publish(rig.servers["s0"].row("draining"))
            assert b"draining" in rig.network.files["cache"]
            assert rig.edge.source.is_up
    told = [line["event"] for line in logs if "endpoint-cache" in line["event"]]
    assert told == ["endpoint-cache-write-failed", "endpoint-cache-written"]


async def test_a_list_service_that_closes_after_each_word_is_not_stormed(autojump_clock: MockClock) -> None:
    async with running_edge(1) as rig:
        times = 0

        async def closes(stream: trio.abc.Stream) -> None:
            nonlocal times
            times += 1
            rig.list = peer = Peer(stream, ListSession())

            def once(message: Any) -> Any:
                if isinstance(message, Watch):
                    rig.nursery.start_soon(later, peer)
                    return Snapshot(f"epoch {times}", 1, list(rig.registry.rows.values()))
                return rig._answer_watch(message)

            async def later(peer: Peer) -> None:
                await trio.sleep(0.01)
                await peer.close()

            await peer.read(once)

        rig.network.listeners["list:1"] = lambda stream: rig.nursery.start_soon(closes, stream)
        assert rig.list is not None
        await rig.list.close()
        await trio.sleep(60)
        assert 20 <= times <= 90  # about one a second, each at a moment of its own


async def test_a_cached_start_is_set_right_once_the_list_tells_that_the_server_is_warm(
    autojump_clock: MockClock,
) -> None:
    async with running_edge(1) as rig:
        fresh = await rig.server("s1", 1, incarnation=5, age=0)
        await rig.publish(fresh.row())
        rig.scope.cancel()
        await trio.sleep(100)
        fresh.age = 100 * SECOND
        rig.registry.change([fresh.row()])
        rig.edge = EdgeProxy(rig.config, rig.runtime)
        await rig.nursery.start(rig.run_edge)
        await trio.sleep(0.1)
        far = rig.edge.context.driver.policy.table.servers["s1"]
        assert rig.edge.context.clock.now() - far.endpoint.started_at > 99 * SECOND


# Links that look up and are not


async def test_a_link_that_went_silent_is_given_up_and_made_again(autojump_clock: MockClock) -> None:
    async with running_edge(1, INI + "[links]\nsilence = 20s\n") as rig:
        server = rig.servers["s0"]
        caller = await rig.caller()
        await trio.sleep(100)
        assert len(server.links) == 1  # idle is not silent
        server.stop_reading()
        for at in range(12):
            await caller.send(dial(f"d{at}", no_answer=2 * SECOND))
            await trio.sleep(2.5)
        assert len(server.links) == 2
        await caller.send(dial("d-again"))
        assert await server.link.next(Setup)
        assert len(caller.all(Rejected | Failed)) == 12


async def test_connections_on_sockets_are_watched_by_the_kernel() -> None:
    listener = socket.create_server(("127.0.0.1", 0))
    stream = await SocketRuntime(silence=20 * SECOND).connect(f"127.0.0.1:{listener.getsockname()[1]}")
    assert isinstance(stream, PlainSocketStream)
    options = [socket.TCP_KEEPIDLE, socket.TCP_KEEPINTVL, socket.TCP_KEEPCNT, socket.TCP_USER_TIMEOUT]
    assert stream._socket.getsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE) == 1
    assert [stream._socket.getsockopt(socket.IPPROTO_TCP, one) for one in options] == [10, 3, 3, 20_000]
    await stream.aclose()
    listener.close()


async def test_links_to_servers_gone_for_good_are_closed_and_leave_no_entry(
    autojump_clock: MockClock,
) -> None:
    async with running_edge(1) as rig:
        for number in range(1, 20):
            fresh = await rig.server(f"s{number}", 1)
            await rig.publish(fresh.row())
            await trio.sleep(1)
            await rig.publish(fresh.row("gone"))  # and its machine closes nothing
        await trio.sleep(5)
        assert list(rig.edge.links.by_server) == ["s0"]
        assert not rig.edge.links.removed
        assert all(rig.servers[f"s{number}"].link.ended for number in range(1, 20))


async def test_nothing_goes_to_a_server_that_answers_under_anothers_address(
    autojump_clock: MockClock,
) -> None:
    with capture_logs() as logs:
        async with running_edge(2) as rig:
            await rig.publish(rig.servers["s1"].row("draining"))
            stale = EndpointRow("s7", 7, "in-service", "s1:1", "", 1, 10**15)
            await rig.publish(stale)
            caller = await rig.caller()
            for at in range(4):
                await caller.send(dial(f"d{at}", first=7))
            await trio.sleep(5)
            assert not any(peer.all(Setup) for peer in rig.servers["s1"].links)
    told = next(line for line in logs if line["event"] == "link-misdirected")
    assert (told["server"], told["answers_as"], told["address"]) == ("s7", "s1", "s1:1")


@pytest.mark.parametrize("how", ["never-welcome", "closes-after-welcome", "resets-at-legs", "half-a-frame"])
async def test_a_server_whose_connections_fail_is_not_stormed_and_its_dialogs_are_answered(
    autojump_clock: MockClock, how: str
) -> None:
    async with running_edge(2) as rig:
        times = 0
        reset: dict[str, float] = {}

        async def troubled(stream: trio.abc.Stream) -> None:
            nonlocal times
            times += 1
            session = SetupSession()
            with suppress(trio.BrokenResourceError):
                while data := await stream.receive_some():
                    for message in session.receive(data):
                        if isinstance(message, Hello) and how != "never-welcome":
                            await stream.send_all(session.send(Welcome(1, "s0", 1, 10**15)))
                        if isinstance(message, Setup) and how == "half-a-frame":
                            await stream.send_all(session.send(Established(message.dialog))[:9])
                        done = {"closes-after-welcome": Hello}.get(how, Setup)
                        if isinstance(message, done) and how != "never-welcome":
                            reset[getattr(message, "dialog", "")] = trio.current_time()
                            await stream.aclose()
                            return

        rig.network.listeners["s0:1"] = lambda stream: rig.nursery.start_soon(troubled, stream)
        await rig.servers["s0"].link.close()
        caller, other = await rig.caller(), rig.servers["s1"].link
        assert isinstance(other.session, SetupSession)
        for at in range(40):
            await caller.send(dial(f"d{at}", no_answer=2 * SECOND))
            await trio.sleep(0.75)
            for asked in [m for m in other.all(Setup) if (m.dialog, m.leg) in other.session.legs]:
                if other.session.legs[asked.dialog, asked.leg] is LegPhase.OPEN:
                    await other.send(Established(asked.dialog, asked.leg))
        await trio.sleep(3)
        assert (
            len(finals := caller.all(Established | Rejected | Failed))
            == 40
            == len({m.dialog for m in finals})
        )
        assert caller.all(Established)
        assert times <= 60  # in 33 s; the wait doubles up to 2 s, drawn in full
        if how in ("resets-at-legs", "half-a-frame"):  # may have run: the release time lies between
            again = [
                at - reset[m.dialog] for at, m in other.received if isinstance(m, Setup) and m.dialog in reset
            ]
            assert again
            assert min(again) >= 0.3 - 1e-6


async def test_an_attempt_cancelled_on_a_link_that_is_down_already_ends_once(
    autojump_clock: MockClock,
) -> None:
    async with running_edge(2) as rig:
        caller = await rig.caller()
        await caller.send(dial(no_answer=2 * SECOND))
        await rig.servers["s0"].link.next(Setup)
        # The link has gone down and the instance has not heard so yet, when the decisions cancel its leg.
        rig.edge.links.by_server["s0"]._on_down("reset")
        rig.edge.context.run_isolated("d1", rig.edge._execute, DialogAction("d1", CancelAttempt(0)))
        await trio.sleep(3)
        assert len(caller.all(Established | Rejected | Failed)) == 1
        assert not rig.edge.dialogs.entries


def test_a_failure_after_a_quiet_half_hour_does_not_shut_a_server_out_for_good() -> None:
    rig = Quiet(2)
    for server in ("s0", "s1"):
        rig.driver.update_load(server, LoadReport(free_lines=390, lines=400))
    first = rig.dialog()
    rig.result(first, "s0", Outcome.ESTABLISHED)
    rig.result(first, "s0", Outcome.ENDED, dialog_closed=True)
    rig.now += 1_800 * SECOND
    rig.driver.tick(rig.now)
    none_busy = LoadReport(free_lines=400, lines=400)
    rig.driver.update_load("s0", none_busy)
    rig.result(rig.dialog(called_number=5), "s0", Outcome.LINE_BUSY, load_report=none_busy)
    rig.result(rig.dialog(called_number=6), "s0", Outcome.RESET)
    rig.now += 600 * SECOND
    rig.driver.tick(rig.now)
    rig.take_commands()
    rig.dialog()
    assert "s0" in rig.describe_commands()


# Tables


async def test_tables_hold_what_is_open_whatever_callers_and_servers_say(autojump_clock: MockClock) -> None:
    async with running_edge(1) as rig:
        caller, server = await rig.caller(), rig.servers["s0"]
        for at in range(3_000):
            kind = "plain" if at % 2 else f"unknown-{at}"
            await caller.send(dial(f"d{at}", no_answer=3_600 * SECOND, kind=kind))
            if at % 2:
                await server.link.next(Setup)
                await server.link.send(Established(f"d{at}"), Ended(f"d{at}", reason=f"because-{at}"))
                await trio.sleep(0.01)
        await trio.sleep(1)
        edge = rig.edge
        assert len(caller.all(Established | Rejected)) == 3_000
        assert len(edge.context.timers) <= 1_100  # an hour's time-outs of legs long ended
        assert len(edge.reloader.guard.baseline) <= 3
        assert len(edge.counters.answers) <= 6
        assert not edge.dialogs.entries
        assert not edge.links.by_server["s0"].attempts


@pytest.mark.parametrize("how", ["no-thread", "hangs"])
async def test_accounts_that_can_not_be_kept_cost_their_rows_alone(
    autojump_clock: MockClock, how: str
) -> None:
    ini = REGIONS.replace("127.0.0.1:1", "edge:1", 1).replace("127.0.0.1:2", "list:1")
    with capture_logs() as logs:
        async with running_edge(1, ini.replace("[fleet]", "accounts = books\n[fleet]", 1)) as rig:

            async def keep(path: str, data: bytes) -> None:
                if how == "hangs":
                    await trio.sleep_forever()
                raise RuntimeError("can't start new thread")

            rig.runtime.write_file = keep  # type: ignore[method-assign]
            await trio.sleep(25)
            rig.edge.stop()
            began = trio.current_time()
            with trio.fail_after(10):
                while not any(line["event"] == "edge-stopped" for line in logs):
                    await trio.sleep(0.1)
            assert trio.current_time() - began <= 3
    assert how == "hangs" or [line["event"] for line in logs].count("accounts-write-failed") >= 2


async def test_many_callers_at_once_do_not_fill_the_event_queue_past_its_bound(
    autojump_clock: MockClock,
) -> None:
    async with running_edge(1) as rig:
        most = 0
        whole = EventQueue.put

        def put(inbox: EventQueue, event: Any) -> None:
            nonlocal most
            whole(inbox, event)
            most = max(most, len(inbox))

        callers = [await rig.caller(f"c{at}") for at in range(20)]
        with pytest.MonkeyPatch.context() as patched:
            patched.setattr(EventQueue, "put", put)
            for at, caller in enumerate(callers):
                asked = [dial(f"d{at}-{n}", kind="unknown") for n in range(700)]
                rig.nursery.start_soon(caller.send, *asked)
            await trio.sleep(30)
        assert sum(len(caller.all(Rejected)) for caller in callers) == 20 * 700
        assert 4_096 <= most <= 4_096 + 2 * 1_400  # the bound and what one read brings beyond it, twice


def test_a_failure_at_night_does_not_keep_a_server_away_in_the_morning() -> None:
    rig = Quiet(2, edge_proxies=200)
    for server in ("s0", "s1"):
        rig.driver.update_load(server, LoadReport(free_lines=399, lines=400))
    first = rig.dialog()
    rig.result(first, "s0", Outcome.ESTABLISHED)
    rig.result(first, "s0", Outcome.ENDED, dialog_closed=True)
    rig.result(rig.dialog(), "s0", Outcome.RESET)
    rig.now += 600 * SECOND
    rig.driver.tick(rig.now)
    for server in ("s0", "s1"):
        rig.driver.update_load(server, LoadReport(free_lines=100, lines=400))
    rig.take_commands()
    rig.dialog()
    assert rig.describe_commands() == "s0"


def test_a_server_started_again_under_a_smaller_incarnation_is_cold() -> None:
    known = IncarnationTracker(slow_start_duration=15 * SECOND)
    known.endpoint(EndpointRow("s0", 0, "in-service", "s0:1", "", 900, 3_600 * SECOND), 10_000 * SECOND)
    fresh = known.endpoint(EndpointRow("s0", 0, "in-service", "s0:1", "", 800, 0), 20_000 * SECOND)
    assert fresh.started_at == 20_000 * SECOND
    late = known.endpoint(
        EndpointRow("s0", 0, "in-service", "s0:1", "", 900, 13_600 * SECOND), 20_001 * SECOND
    )
    assert late.started_at == 20_000 * SECOND, "late word of the former self does not make it warm"
    assert known.started_at("s0", 950, 0, 30_000 * SECOND) == 30_000 * SECOND, "the next start counts as ever"


async def test_a_list_service_that_went_silent_is_told_from_a_calm_one(autojump_clock: MockClock) -> None:
    async with running_edge(1) as rig:
        assert rig.list is not None
        rig.list.reads = False
        await trio.sleep(600)
        assert not rig.edge.source.is_up
        rig.list.reads = True


async def test_a_calm_list_service_is_asked_and_keeps_its_connection(autojump_clock: MockClock) -> None:
    async with running_edge(1) as rig:
        assert rig.list is not None
        first = rig.list
        await trio.sleep(600)
        assert rig.edge.source.is_up
        assert rig.list is first
        asked = [at for at, message in first.received if isinstance(message, Watch)]
        assert 10 <= len(asked) <= 21, "once for each half minute in which nothing was told"
