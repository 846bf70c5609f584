"""Fault injection: the worst failures of each dependency, listed in docs/failures.md.

To run one: `python -m pytest tests/test_fault_injection.py -k NAME`. Tests with `running_process` run
`valverouter edge` as a process on loopback; those with `running_edge` run the edge proxy in virtual time.
"""

from __future__ import annotations

import os
import resource
import signal
import socket
import time
from collections.abc import Hashable
from concurrent.futures import ThreadPoolExecutor
from contextlib import suppress
from pathlib import Path
from typing import Any

import pytest
import trio
from structlog.testing import capture_logs
from trio.testing import MockClock

from tests.edge_harness import INI, SECOND, Peer, dial, parse_config, running_edge
from tests.helpers import DriverHarness
from tests.process_harness import ProcessHarness, running_process
from tests.test_cross_region_config import GOOD as REGIONS_INI
from valverouter.config.edge import load_edge_config
from valverouter.config.ini import InvalidConfigError
from valverouter.edge.clock import Clock
from valverouter.edge.connections import send_error
from valverouter.edge.discovery import DiscoveryClient
from valverouter.edge.event_queue import GUARANTEED_REQUESTS, EventQueue
from valverouter.edge.incarnations import IncarnationTracker
from valverouter.edge.logs import LogWriter
from valverouter.edge.proxy import EdgeProxy
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

# Failing connections


@pytest.mark.parametrize(
    "address", ["", "nowhere", "127.0.0.1:99999", "127.0.0.1:²", "bad host:1", "x" * 70 + ":1"]
)
async def test_an_invalid_listed_address_affects_only_that_server(tmp_path: Path, address: str) -> None:
    async with running_process(tmp_path) as harness:
        await harness.start(harness.ini())
        await harness.publish(EndpointRow("s9", 9, "in-service", address, "", 1, 1))
        event = await harness.wait_for_event("link-down")
        assert event["server"] == "s9"
        assert event["why"].startswith("no connection")
        await harness.establish_dialog("d1")


async def test_an_error_to_a_caller_that_stopped_reading_does_not_block() -> None:
    near, remote = socket.socketpair()
    stream = PlainSocketStream(trio.SocketStream(trio.socket.from_stdlib_socket(near)))
    async with trio.open_nursery() as nursery:
        nursery.start_soon(stream.send_all, b"x" * 10_000_000)
        await trio.testing.wait_all_tasks_blocked()
        await send_error(stream, SetupSession(), ProtocolError("malformed", "rubbish"))
        nursery.cancel_scope.cancel()
    await stream.aclose()
    remote.close()


async def test_an_exception_in_one_connection_task_ends_only_that_connection(
    autojump_clock: MockClock, monkeypatch: pytest.MonkeyPatch
) -> None:
    async with running_edge() as harness:
        original_receive = SetupSession.receive

        def failing_receive(session: SetupSession, data: Any) -> Any:
            if session.peer in ("bad", "s1"):
                raise MemoryError
            return original_receive(session, data)

        bad = await harness.caller("bad")
        monkeypatch.setattr(SetupSession, "receive", failing_receive)
        with capture_logs() as logs:
            caller = await harness.caller("c1")
            await bad.stream.send_all(encode_frame(dial("b1")))
            await harness.servers["s1"].link.send(LoadReported(Load()))
            await trio.sleep(1)
        failures = {(line["what"], line["peer"]) for line in logs if line["event"] == "connection-failed"}
        assert failures == {("caller", "bad"), ("link", "s1")}
        await caller.send(dial())
        await harness.servers["s0"].link.next(Setup)
        await harness.servers["s0"].link.send(Established("d1"))
        assert await caller.next(Established)


async def test_a_server_removed_from_the_list_and_added_again_is_reconnected(
    autojump_clock: MockClock,
) -> None:
    async with running_edge() as harness:
        server = harness.servers["s0"]
        server.scope.cancel()
        await server.link.close()
        await trio.sleep(1)
        await harness.publish(server.row("gone"))
        await trio.sleep(10)
        assert list(harness.edge.links.by_server) == ["s1"]
        server.incarnation += 1
        await harness.nursery.start(server.run)
        await harness.publish(server.row())
        await trio.sleep(1)
        assert len(server.links) == 2


async def test_an_attempt_timing_out_at_a_server_that_stopped_reading_is_answered(
    autojump_clock: MockClock,
) -> None:
    async with running_edge(1, INI + "[attempts soon]\nleg_time_out = 500ms\n") as harness:
        caller = await harness.caller()
        began = trio.current_time()
        await caller.send(dial(no_answer=3 * SECOND))
        await harness.servers["s0"].link.next(Setup)
        harness.servers["s0"].stop_reading()
        outbox = harness.edge.links.by_server["s0"]._send_queue
        assert outbox is not None
        outbox.put(
            bytes(3 * STREAM_BUFFER_SIZE)
        )  # more than the stream buffers, so later messages stay queued
        answer = await caller.next(Failed | Rejected)
        assert trio.current_time() - began <= 3
        assert answer.dialog == "d1"
        assert "d1" not in harness.edge.dialogs.entries


async def test_every_reader_blocked_by_a_full_event_queue_resumes(autojump_clock: MockClock) -> None:
    queue, resumed = EventQueue(capacity=2), []

    async def reader(name: int) -> None:
        queue.put(name)
        queue.put(name)
        await queue.wait_for_space()
        resumed.append(name)

    async with trio.open_nursery() as nursery:
        for name in range(5):
            nursery.start_soon(reader, name)
        await trio.sleep(1)
        while queue.pop_next() is not None:
            await trio.sleep(0.01)
        await trio.sleep(1)
        nursery.cancel_scope.cancel()
    assert sorted(resumed) == [0, 1, 2, 3, 4]


# Bad configuration

LONG = ",".join(map(str, range(100_000, 102_000)))


@pytest.mark.parametrize(
    ("old", "new", "expected"),
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
def test_an_unusable_configuration_is_rejected_with_file_and_reason(
    tmp_path: Path, old: str, new: str, expected: str
) -> None:
    path = tmp_path / "edge.ini"
    path.write_text(INI.replace(old, new, 1))
    with pytest.raises(InvalidConfigError) as error:
        load_edge_config(path)
    assert any(expected in str(problem) and str(path) in str(problem) for problem in error.value.problems)


async def test_a_rejected_reload_keeps_the_old_configuration_and_is_logged(tmp_path: Path) -> None:
    async with running_process(tmp_path, servers=2) as harness:
        harness.servers["s1"].answer = lambda request: None
        valid_ini = harness.ini(more="[attempts a]\nlegs = 2\n# end of terms\n")
        await harness.start(valid_ini)
        caller = await harness.caller()
        waiting = await harness.caller("held")
        before = await harness.stable_resource_usage()
        await waiting.send(dial("d-no-answer", first=1, no_answer=6 * SECOND))
        invalid_files = [
            None,
            b"\xff\xfe",
            valid_ini[: valid_ini.index("edge_proxies") + 5].encode(),
            valid_ini.replace("# end of terms", "").encode(),
            valid_ini.replace("legs = 2", "legs = two").encode(),
            valid_ini.replace("[attempts a]", "[crossing ]\nlegs = 1\n[attempts a]").encode(),
            valid_ini.replace(
                "[attempts a]", f"[attempts b]\nlegs = 1\nprefix = {LONG}\n[attempts a]"
            ).encode(),
            valid_ini.replace("legs = 2", "come_back = 90s").encode(),
        ]
        for at, data in enumerate(invalid_files, 1):
            harness.config_file.unlink() if data is None else harness.config_file.write_bytes(data)
            for _ in range(5):  # signals in quick succession cause at most one more read
                harness.process.send_signal(signal.SIGHUP)
            event = await harness.wait_for_event(
                "configuration-rejected", count=len(harness.events("configuration-rejected")) + 1
            )
            assert event["generation"] == 1
            assert event["file"] == str(harness.config_file)
            assert event["why"]
            await harness.establish_dialog(f"d{at}", caller)
            await trio.sleep(0.3)
        assert len(harness.events("configuration-rejected")) <= 2 * len(invalid_files)
        assert not harness.events("configuration-reloaded")
        harness.config_file.write_text(valid_ini.replace("legs = 2", "legs = 1"))
        harness.process.send_signal(signal.SIGHUP)
        assert (await harness.wait_for_event("configuration-reloaded"))["generation"] == 2
        await harness.establish_dialog("d-after", caller)
        assert await waiting.next(Rejected | Failed)  # its attempt was in flight during all reloads
        after = await harness.stable_resource_usage()
        assert after["descriptors"] <= before["descriptors"]
        assert not harness.unparsed_lines
        harness.process.send_signal(signal.SIGHUP)
        harness.process.send_signal(signal.SIGTERM)
        assert await harness.wait_for_exit() == 0


async def test_running_out_of_memory_during_a_reload_changes_nothing(
    autojump_clock: MockClock, monkeypatch: pytest.MonkeyPatch
) -> None:
    ini = REGIONS_INI.replace("127.0.0.1:1", "edge:1", 1).replace("127.0.0.1:2", "list:1")
    with capture_logs() as logs:
        async with running_edge(1, ini) as harness:
            limiter = harness.edge.cross_region
            assert limiter is not None
            before = (
                limiter.config,
                dict(limiter._quotas),
                limiter._reserve,
                harness.edge.config,
                harness.edge.generation,
            )
            other = parse_config(ini.replace("legs = 10", "legs = 20"))
            for at in range(1, 20):
                created = 0

                class FailingQuota(TimeSlicedQuota):
                    def __init__(self, *args: Any) -> None:
                        nonlocal created
                        created += 1
                        if created == at:  # noqa: B023 - used at once
                            raise MemoryError
                        super().__init__(*args)

                monkeypatch.setattr(cross_region_limiter, "TimeSlicedQuota", FailingQuota)
                harness.edge.reload(other)
                await trio.sleep(0.1)
                if created < at:
                    break  # no constructor failed any more, so the configuration was applied
                now = (
                    limiter.config,
                    dict(limiter._quotas),
                    limiter._reserve,
                    harness.edge.config,
                    harness.edge.generation,
                )
                assert now == before
    event_names = [
        line["event"]
        for line in logs
        if line["event"] in ("configuration-rejected", "configuration-reloaded", "event-handling-failed")
    ]
    assert at > 3
    assert event_names == ["configuration-rejected"] * (at - 1) + ["configuration-reloaded"]


# Exhausted resources


async def rejection_code(harness: ProcessHarness) -> str:
    """Returns the code of the Error message that a new caller receives; empty if none.

    The connection must be closed within a second.
    """
    stream = await SocketRuntime().connect(harness.address)
    peer = Peer(stream, SetupSession(Hello((1, 1), "caller", "more")))
    await stream.send_all(peer.session.hello_frame())
    with trio.fail_after(1):
        await peer.read()
    await peer.close()
    return peer.error.code if peer.error else ""


async def test_without_file_descriptors_callers_are_refused_and_service_recovers(tmp_path: Path) -> None:
    async with running_process(tmp_path) as harness:
        await harness.start(harness.ini())
        caller = await harness.caller()
        await harness.establish_dialog("d0", caller)
        before = await harness.stable_resource_usage()
        harness.set_limit(resource.RLIMIT_NOFILE, before["descriptors"])
        assert [await rejection_code(harness) for _ in range(5)] == ["peer:too-many"] * 5
        await harness.establish_dialog("d1", caller)  # connected callers are still served
        harness.set_limit(resource.RLIMIT_NOFILE, 4)
        for link in (*harness.servers["s0"].links, *harness.list_connections):
            await link.close()  # no descriptor is free to reconnect to either
        await harness.wait_for_event("discovery-down")
        await harness.wait_for_event("link-down", count=2)
        harness.set_limit(resource.RLIMIT_NOFILE, 1_000)
        await harness.wait_for_event("link-up", count=2)
        for at in range(20):
            more = await harness.caller(f"c{at}")
            await harness.establish_dialog(f"e{at}", more)
            await more.close()
        await trio.sleep(0.5)
        after = await harness.stable_resource_usage()
        assert after["descriptors"] <= before["descriptors"] + 1
        assert after["threads"] <= before["threads"] + 2
        assert harness.events("callers-refused")
        assert not harness.unparsed_lines


async def test_callers_over_the_limit_take_no_descriptors_from_links(tmp_path: Path) -> None:
    async with running_process(tmp_path) as harness:
        await harness.start(harness.ini(links="callers = 3"))
        callers = [await harness.caller(f"c{at}") for at in range(3)]
        assert await rejection_code(harness) == "peer:too-many"
        for link in harness.servers["s0"].links:
            await link.close()
        await harness.wait_for_event("link-up", count=2)
        await harness.establish_dialog("d1", callers[0])
        await callers[1].close()
        await trio.sleep(0.2)
        await harness.establish_dialog("d2")


async def test_without_memory_connections_are_lost_and_service_recovers(tmp_path: Path) -> None:
    async with running_process(tmp_path) as harness:
        await harness.start(harness.ini())
        caller = await harness.caller()
        await harness.establish_dialog("d0", caller)
        before = (await harness.stable_resource_usage())["descriptors"]
        size = next(
            int(line.split()[1]) * 1024
            for line in Path(f"/proc/{harness.process.pid}/status").read_text().splitlines()
            if line.startswith("VmSize")
        )
        harness.set_limit(resource.RLIMIT_AS, size + 4 * 1024**2)
        others: list[Peer] = []
        lost = 0
        while lost < 3 and len(others) < 600:
            with trio.move_on_after(0.5) as timeout, suppress(trio.BrokenResourceError):
                other = await harness.caller(f"c{len(others)}")
                others.append(other)
                await other.stream.send_all(b"\x00\x00\xff\xff" + bytes(60_000))  # most of a large frame
            lost += timeout.cancelled_caught or (bool(others) and others[-1].ended is not None)
        assert lost == 3
        assert harness.process.poll() is None
        for other in others:
            await other.close()
        harness.set_limit(resource.RLIMIT_AS, resource.RLIM_INFINITY)
        await trio.sleep(0.5)
        await harness.establish_dialog("d2")
        assert harness.resource_usage()["descriptors"] <= before + 3


async def test_closed_connections_with_incomplete_frames_leak_no_resources(tmp_path: Path) -> None:
    async with running_process(tmp_path) as harness:
        await harness.start(harness.ini())
        caller = await harness.caller()
        before, after = await harness.stable_resource_usage(), []
        for repetition in range(3):
            others = [await harness.caller(f"c{at}") for at in range(100)]
            for other in others:
                await other.stream.send_all(b"\x00\x00\xff\xff" + bytes(60_000))
            await harness.establish_dialog(f"d{repetition}", caller)
            for other in others:
                await other.close()
            await trio.sleep(0.4)
            after.append(harness.resource_usage())
        assert after[2]["descriptors"] <= before["descriptors"] + 1
        assert after[2]["memory"] <= 1.1 * after[0]["memory"], after


# Logs


def free_port() -> int:
    with socket.socket() as one:
        one.bind(("127.0.0.1", 0))
        return int(one.getsockname()[1])


@pytest.mark.parametrize("sink", ["full-disk", "closed-pipe", "stopped-reader"])
async def test_an_unwritable_log_loses_only_its_lines(tmp_path: Path, sink: str) -> None:
    async with running_process(tmp_path) as harness:
        read, write = os.pipe()
        if sink == "full-disk":
            os.close(write)
            write = os.open("/dev/full", os.O_WRONLY)
        harness.address = f"127.0.0.1:{free_port()}"
        text = harness.ini(more="[log]\nlevel = debug").replace(
            "listen = 127.0.0.1:0", f"listen = {harness.address}"
        )
        await harness.start(text, stderr=write)
        os.close(write)
        if sink == "closed-pipe":
            os.close(read)
        with trio.fail_after(20):
            while not harness.servers["s0"].links:
                await trio.sleep(0.05)
        await trio.sleep(0.2)
        caller = await harness.caller()
        for at in range(300):  # the log of 300 dialogs is more than a pipe holds
            await harness.establish_dialog(f"d{at}", caller)
        bad = await harness.caller("bad")
        await bad.stream.send_all(b"\x00\x00\x00\x01\xc1")  # logged as a warning by the catch-all handler
        await harness.establish_dialog("d-last", caller)
        if sink == "stopped-reader":
            log = b""
            with trio.fail_after(10):
                while b"d-last" not in log:
                    log += await trio.to_thread.run_sync(os.read, read, 65_536)
        harness.process.send_signal(signal.SIGTERM)
        assert await harness.wait_for_exit() == 0


def test_log_lines_over_the_limit_are_dropped_and_counted_in_order() -> None:
    read, write = os.pipe()
    lines = LogWriter(write, max_bytes=500_000)
    for at in range(100_000):  # nothing reads yet, so most lines exceed the limit
        lines.msg(f"{at:060}")
    with open(read, "rb") as log, ThreadPoolExecutor() as threads:
        rest = threads.submit(log.read)
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


@pytest.mark.parametrize("cache_loaded", ["before", "after"])
async def test_a_wall_clock_set_forward_does_not_make_a_cold_server_look_warm(
    autojump_clock: MockClock, cache_loaded: str
) -> None:
    async with running_edge(1) as harness:
        fresh = await harness.server("s1", 1, incarnation=5, age=0)
        await harness.publish(fresh.row())
        client = DiscoveryClient(harness.config, harness.runtime, EventQueue(), Clock(0), lambda tries: 0)
        harness.runtime.wall_time = lambda: WALL_CLOCK_START + 3_600 * SECOND  # type: ignore[method-assign]
        if cache_loaded == "before":
            rows = {row.server: row for row in await client.load_cached()}
        await harness.publish(harness.servers["s0"].row())  # caches the list again, by the wrong clock
        if cache_loaded == "after":
            rows = {row.server: row for row in await client.load_cached()}
        assert rows["s1"].age is not None
        assert rows["s1"].age < SECOND
        assert rows["s0"].age is not None
        assert rows["s0"].age >= 10**15


async def test_a_hanging_disk_delays_neither_endpoint_updates_nor_shutdown(autojump_clock: MockClock) -> None:
    async with running_edge(2) as harness:

        async def hang(path: str, data: bytes) -> None:
            await trio.sleep_forever()

        harness.runtime.write_file = hang  # type: ignore[method-assign]
        await harness.publish(harness.servers["s1"].row())
        await harness.publish(harness.servers["s0"].row("draining"))
        caller = await harness.caller()
        await caller.send(dial())
        assert (await harness.servers["s1"].link.next(Setup)).dialog == "d1"
        assert not harness.servers["s0"].link.all(Setup)


@pytest.mark.parametrize(
    "error", [OSError(28, "No space left on device"), RuntimeError("can't start new thread")]
)
async def test_a_failing_endpoint_cache_write_is_logged_once_and_affects_nothing_else(
    autojump_clock: MockClock, error: Exception
) -> None:
    with capture_logs() as logs:
        async with running_edge(1) as harness:
            original_write_file = harness.runtime.write_file

            async def fail(path: str, data: bytes) -> None:
                raise error

            harness.runtime.write_file = fail  # type: ignore[method-assign]
            for _ in range(3):
                await harness.publish(harness.servers["s0"].row())
            harness.runtime.write_file = original_write_file  # type: ignore[method-assign]
            await harness.publish(harness.servers["s0"].row("draining"))
            assert b"draining" in harness.network.files["cache"]
            assert harness.edge.source.is_up
    event_names = [line["event"] for line in logs if "endpoint-cache" in line["event"]]
    assert event_names == ["endpoint-cache-write-failed", "endpoint-cache-written"]


async def test_reconnects_to_a_list_service_that_closes_after_each_message_are_limited(
    autojump_clock: MockClock,
) -> None:
    async with running_edge(1) as harness:
        connections = 0

        async def serve_list(stream: trio.abc.Stream) -> None:
            nonlocal connections
            connections += 1
            harness.list = peer = Peer(stream, ListSession())

            def answer(message: Any) -> Any:
                if isinstance(message, Watch):
                    harness.nursery.start_soon(close_soon, peer)
                    return Snapshot(f"epoch {connections}", 1, list(harness.registry.rows.values()))
                return harness._answer_watch(message)

            async def close_soon(peer: Peer) -> None:
                await trio.sleep(0.01)
                await peer.close()

            await peer.read(answer)

        harness.network.listeners["list:1"] = lambda stream: harness.nursery.start_soon(serve_list, stream)
        assert harness.list is not None
        await harness.list.close()
        await trio.sleep(60)
        assert 20 <= connections <= 90  # about one a second, with jitter


async def test_a_cached_start_time_is_corrected_by_the_endpoint_list(autojump_clock: MockClock) -> None:
    async with running_edge(1) as harness:
        fresh = await harness.server("s1", 1, incarnation=5, age=0)
        await harness.publish(fresh.row())
        harness.scope.cancel()
        await trio.sleep(100)
        fresh.age = 100 * SECOND
        harness.registry.change([fresh.row()])
        harness.edge = EdgeProxy(harness.config, harness.runtime)
        await harness.nursery.start(harness.run_edge)
        await trio.sleep(0.1)
        server = harness.edge.context.driver.policy.table.servers["s1"]
        assert harness.edge.context.clock.now() - server.endpoint.started_at > 99 * SECOND


# Links that seem to be up but are not


async def test_a_silent_link_is_closed_and_reconnected(autojump_clock: MockClock) -> None:
    async with running_edge(1, INI + "[links]\nsilence = 20s\n") as harness:
        server = harness.servers["s0"]
        caller = await harness.caller()
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


async def test_sockets_use_tcp_keepalive_and_user_timeout() -> None:
    listener = socket.create_server(("127.0.0.1", 0))
    stream = await SocketRuntime(silence=20 * SECOND).connect(f"127.0.0.1:{listener.getsockname()[1]}")
    assert isinstance(stream, PlainSocketStream)
    options = [socket.TCP_KEEPIDLE, socket.TCP_KEEPINTVL, socket.TCP_KEEPCNT, socket.TCP_USER_TIMEOUT]
    assert stream._socket.getsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE) == 1
    assert [stream._socket.getsockopt(socket.IPPROTO_TCP, one) for one in options] == [10, 3, 3, 20_000]
    await stream.aclose()
    listener.close()


async def test_links_to_removed_servers_are_closed_and_forgotten(autojump_clock: MockClock) -> None:
    async with running_edge(1) as harness:
        for number in range(1, 20):
            fresh = await harness.server(f"s{number}", 1)
            await harness.publish(fresh.row())
            await trio.sleep(1)
            await harness.publish(fresh.row("gone"))  # the server does not close its connections
        await trio.sleep(5)
        assert list(harness.edge.links.by_server) == ["s0"]
        assert not harness.edge.links.removed
        assert all(harness.servers[f"s{number}"].link.ended for number in range(1, 20))


async def test_no_set_up_goes_to_a_server_that_welcomes_under_another_name(autojump_clock: MockClock) -> None:
    with capture_logs() as logs:
        async with running_edge(2) as harness:
            await harness.publish(harness.servers["s1"].row("draining"))
            stale = EndpointRow("s7", 7, "in-service", "s1:1", "", 1, 10**15)
            await harness.publish(stale)
            caller = await harness.caller()
            for at in range(4):
                await caller.send(dial(f"d{at}", first=7))
            await trio.sleep(5)
            assert not any(peer.all(Setup) for peer in harness.servers["s1"].links)
    logged = next(line for line in logs if line["event"] == "link-misdirected")
    assert (logged["server"], logged["answers_as"], logged["address"]) == ("s7", "s1", "s1:1")


@pytest.mark.parametrize(
    "failure", ["never-welcome", "closes-after-welcome", "resets-at-legs", "half-a-frame"]
)
async def test_reconnects_to_a_failing_server_are_limited_and_its_dialogs_are_answered(
    autojump_clock: MockClock, failure: str
) -> None:
    async with running_edge(2) as harness:
        connections = 0
        reset_at: dict[str, float] = {}

        async def serve_failing(stream: trio.abc.Stream) -> None:
            nonlocal connections
            connections += 1
            session = SetupSession()
            with suppress(trio.BrokenResourceError):
                while data := await stream.receive_some():
                    for message in session.receive(data):
                        if isinstance(message, Hello) and failure != "never-welcome":
                            await stream.send_all(session.send(Welcome(1, "s0", 1, 10**15)))
                        if isinstance(message, Setup) and failure == "half-a-frame":
                            await stream.send_all(session.send(Established(message.dialog))[:9])
                        closing_type = {"closes-after-welcome": Hello}.get(failure, Setup)
                        if isinstance(message, closing_type) and failure != "never-welcome":
                            reset_at[getattr(message, "dialog", "")] = trio.current_time()
                            await stream.aclose()
                            return

        harness.network.listeners["s0:1"] = lambda stream: harness.nursery.start_soon(serve_failing, stream)
        await harness.servers["s0"].link.close()
        caller, other = await harness.caller(), harness.servers["s1"].link
        assert isinstance(other.session, SetupSession)
        for at in range(40):
            await caller.send(dial(f"d{at}", no_answer=2 * SECOND))
            await trio.sleep(0.75)
            for request in [m for m in other.all(Setup) if (m.dialog, m.leg) in other.session.legs]:
                if other.session.legs[request.dialog, request.leg] is LegPhase.OPEN:
                    await other.send(Established(request.dialog, request.leg))
        await trio.sleep(3)
        assert (
            len(finals := caller.all(Established | Rejected | Failed))
            == 40
            == len({m.dialog for m in finals})
        )
        assert caller.all(Established)
        assert connections <= 60  # in 33 s; the wait doubles up to 2 s, drawn in full
        if failure in (
            "resets-at-legs",
            "half-a-frame",
        ):  # the attempt may have run: the retry waits for the release delay
            retry_delays = [
                at - reset_at[m.dialog]
                for at, m in other.received
                if isinstance(m, Setup) and m.dialog in reset_at
            ]
            assert retry_delays
            assert min(retry_delays) >= 0.3 - 1e-6


async def test_an_attempt_cancelled_on_a_failed_link_ends_once(autojump_clock: MockClock) -> None:
    async with running_edge(2) as harness:
        caller = await harness.caller()
        await caller.send(dial(no_answer=2 * SECOND))
        await harness.servers["s0"].link.next(Setup)
        # The link has failed, but that event is not yet handled when the driver cancels the attempt.
        harness.edge.links.by_server["s0"]._on_down("reset")
        harness.edge.context.run_isolated("d1", harness.edge._execute, DialogAction("d1", CancelAttempt(0)))
        await trio.sleep(3)
        assert len(caller.all(Established | Rejected | Failed)) == 1
        assert not harness.edge.dialogs.entries


def test_a_failure_after_a_quiet_half_hour_does_not_exclude_a_server_for_good() -> None:
    harness = DriverHarness(2)
    for server in ("s0", "s1"):
        harness.driver.update_load(server, LoadReport(free_lines=390, lines=400))
    first = harness.dialog()
    harness.result(first, "s0", Outcome.ESTABLISHED)
    harness.result(first, "s0", Outcome.ENDED, dialog_closed=True)
    harness.now += 1_800 * SECOND
    harness.driver.tick(harness.now)
    idle_report = LoadReport(free_lines=400, lines=400)
    harness.driver.update_load("s0", idle_report)
    harness.result(harness.dialog(called_number=5), "s0", Outcome.LINE_BUSY, load_report=idle_report)
    harness.result(harness.dialog(called_number=6), "s0", Outcome.RESET)
    harness.now += 600 * SECOND
    harness.driver.tick(harness.now)
    harness.take_commands()
    harness.dialog()
    assert "s0" in harness.describe_commands()


# Tables


async def test_tables_are_bounded_by_what_is_open(autojump_clock: MockClock) -> None:
    async with running_edge(1) as harness:
        caller, server = await harness.caller(), harness.servers["s0"]
        for at in range(3_000):
            kind = "plain" if at % 2 else f"unknown-{at}"
            await caller.send(dial(f"d{at}", no_answer=3_600 * SECOND, kind=kind))
            if at % 2:
                await server.link.next(Setup)
                await server.link.send(Established(f"d{at}"), Ended(f"d{at}", reason=f"because-{at}"))
                await trio.sleep(0.01)
        await trio.sleep(1)
        edge = harness.edge
        assert len(caller.all(Established | Rejected)) == 3_000
        assert len(edge.context.timers) <= 1_100  # timers of ended attempts, due in an hour, are pruned
        assert len(edge.reloader.guard.baseline) <= 3
        assert len(edge.counters.answers) <= 6
        assert not edge.dialogs.entries
        assert not edge.links.by_server["s0"].attempts


@pytest.mark.parametrize("failure", ["no-thread", "hangs"])
async def test_accounts_that_cannot_be_written_lose_only_their_rows(
    autojump_clock: MockClock, failure: str
) -> None:
    ini = REGIONS_INI.replace("127.0.0.1:1", "edge:1", 1).replace("127.0.0.1:2", "list:1")
    with capture_logs() as logs:
        async with running_edge(1, ini.replace("[fleet]", "accounts = books\n[fleet]", 1)) as harness:

            async def write_file(path: str, data: bytes) -> None:
                if failure == "hangs":
                    await trio.sleep_forever()
                raise RuntimeError("can't start new thread")

            harness.runtime.write_file = write_file  # type: ignore[method-assign]
            await trio.sleep(25)
            harness.edge.stop()
            began = trio.current_time()
            with trio.fail_after(10):
                while not any(line["event"] == "edge-stopped" for line in logs):
                    await trio.sleep(0.1)
            assert trio.current_time() - began <= 3
    assert failure == "hangs" or [line["event"] for line in logs].count("accounts-write-failed") >= 2


async def test_simultaneous_callers_do_not_exceed_the_event_queue_limit(autojump_clock: MockClock) -> None:
    async with running_edge(1) as harness:
        longest = 0
        original_put_request = EventQueue.put_request

        def put_request(queue: EventQueue, source: Hashable, event: Any) -> None:
            nonlocal longest
            original_put_request(queue, source, event)
            longest = max(longest, len(queue))

        callers = [await harness.caller(f"c{at}") for at in range(20)]
        with pytest.MonkeyPatch.context() as patched:
            patched.setattr(EventQueue, "put_request", put_request)
            for at, caller in enumerate(callers):
                messages = [dial(f"d{at}-{n}", kind="unknown") for n in range(700)]
                harness.nursery.start_soon(caller.send, *messages)
            await trio.sleep(30)
        assert sum(len(caller.all(Rejected)) for caller in callers) == 20 * 700
        most = 4_096 + 20 * GUARANTEED_REQUESTS  # the limit, plus what each caller may always add
        assert 4_096 <= longest <= most


def test_a_failure_at_low_load_does_not_exclude_a_server_later() -> None:
    harness = DriverHarness(2, edge_proxies=200)
    for server in ("s0", "s1"):
        harness.driver.update_load(server, LoadReport(free_lines=399, lines=400))
    first = harness.dialog()
    harness.result(first, "s0", Outcome.ESTABLISHED)
    harness.result(first, "s0", Outcome.ENDED, dialog_closed=True)
    harness.result(harness.dialog(), "s0", Outcome.RESET)
    harness.now += 600 * SECOND
    harness.driver.tick(harness.now)
    for server in ("s0", "s1"):
        harness.driver.update_load(server, LoadReport(free_lines=100, lines=400))
    harness.take_commands()
    harness.dialog()
    assert harness.describe_commands() == "s0"


def test_a_server_restarted_with_a_smaller_incarnation_is_cold() -> None:
    tracker = IncarnationTracker(slow_start_duration=15 * SECOND)
    tracker.endpoint(EndpointRow("s0", 0, "in-service", "s0:1", "", 900, 3_600 * SECOND), 10_000 * SECOND)
    fresh = tracker.endpoint(EndpointRow("s0", 0, "in-service", "s0:1", "", 800, 0), 20_000 * SECOND)
    assert fresh.started_at == 20_000 * SECOND
    late = tracker.endpoint(
        EndpointRow("s0", 0, "in-service", "s0:1", "", 900, 13_600 * SECOND), 20_001 * SECOND
    )
    assert late.started_at == 20_000 * SECOND, "a late update with the old incarnation does not make it warm"
    assert tracker.started_at("s0", 950, 0, 30_000 * SECOND) == 30_000 * SECOND, (
        "a later start is recognised as before"
    )


async def test_a_silent_list_service_is_detected(autojump_clock: MockClock) -> None:
    async with running_edge(1) as harness:
        assert harness.list is not None
        harness.list.reads = False
        await trio.sleep(600)
        assert not harness.edge.source.is_up
        harness.list.reads = True


async def test_an_idle_list_service_is_polled_and_keeps_its_connection(autojump_clock: MockClock) -> None:
    async with running_edge(1) as harness:
        assert harness.list is not None
        first = harness.list
        await trio.sleep(600)
        assert harness.edge.source.is_up
        assert harness.list is first
        watched_at = [at for at, message in first.received if isinstance(message, Watch)]
        assert 10 <= len(watched_at) <= 21, "one Watch for each half minute without an update"
