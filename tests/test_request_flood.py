"""Peers that send valid messages without end: they exceed no limit of a queue or table and delay nobody."""

from __future__ import annotations

import copy
import functools
import socket
import time
from collections.abc import Callable
from contextlib import suppress

import pytest
import trio
from trio.testing import MockClock

from tests.edge_harness import dial, running_edge
from tests.platform_harness import SETTINGS, Loopback, encode_setup, release_line, running_platform_edge
from valverouter.edge.caller import CallerConnection
from valverouter.edge.event_queue import GUARANTEED_REQUESTS, MAX_REQUESTS_PER_SOURCE, EventQueue
from valverouter.edge.fair_queue import FairQueue
from valverouter.edge.proxy import MAX_BATCH, EdgeProxy
from valverouter.edge.runtime import Runtime
from valverouter.edge.sockets import split_address
from valverouter.platform_edge.link import PlatformLink
from valverouter.platform_edge.reported_dialogs import ReportedDialogs
from valverouter.platform_edge.request_deadline import RequestDeadline
from valverouter.platform_protocol import isup
from valverouter.scenarios.memory_network import MemoryNetwork, MemoryRuntime
from valverouter.signalling.setup import Cancel, Failed, Provisional, Setup

A, B = "a" * 16, "b" * 16
# The limit of the event queue, see EventQueue.
QUEUE_CAPACITY = 4_096
FLOOD = 20_000
# In how many turns a caller is served while others flood: its request waits for one of each connection.
MAX_TURNS = 50
# Ends a test that waits for what never happens.
MAX_CHECKPOINTS = 20_000
# The platform's limit for answering or closing a faulty caller, in seconds.
FAULTY_CALLER_LIMIT_S = 3


def releases(count: int, first_id: int = 0x1000) -> bytes:
    return b"".join(isup.encode_release(f"{first_id + at:016x}", 16) for at in range(count))


class TurnMonitor:
    """Counts the turns of a proxy's event loop, and the most events that one of them found queued."""

    def __init__(self, proxy: EdgeProxy, runtime: Runtime) -> None:
        self.turns = 0
        self.most_queued = 0
        self._events = proxy.context.events
        checkpoint = runtime.checkpoint

        async def count_turn() -> None:
            await checkpoint()
            self.turns += 1
            self.most_queued = max(self.most_queued, len(self._events))

        runtime.checkpoint = count_turn  # type: ignore[method-assign]

    async def wait_for_queued(self, count: int) -> None:
        """Returns once so many events are queued."""
        await self.turns_until(lambda: len(self._events) >= count)

    async def turns_until(self, condition: Callable[[], bool]) -> int:
        """Returns the number of turns until the condition is met; virtual time stands still in a flood."""
        turns_before = self.turns
        for _ in range(MAX_CHECKPOINTS):
            if condition():
                return self.turns - turns_before
            await trio.lowlevel.checkpoint()
        raise AssertionError("the condition was not met")


async def test_releases_of_unknown_dialogs_delay_no_other_caller(autojump_clock: MockClock) -> None:
    # Guards against faulty callers whose releases filled the event queue without limit: set-ups of others
    # waited behind them until their time was up, and the memory passed its limit (review/7).
    async with running_platform_edge() as harness:
        monitor = TurnMonitor(harness.edge, harness.runtime)
        caller, flooders = await harness.client(), [await harness.client() for _ in range(3)]
        for flooder in flooders:
            harness.nursery.start_soon(flooder.stream.send_all, releases(FLOOD))
        await monitor.wait_for_queued(100)
        await caller.send_setup(A)
        # A few turns for the read, the attempt and the answer; all the releases together take 3,750.
        assert await monitor.turns_until(lambda: bool(caller.responses)) <= MAX_TURNS
        assert caller.responses == [(isup.ANM, A, -1)]
        await trio.sleep(1)
        assert monitor.most_queued <= QUEUE_CAPACITY
        assert not len(harness.edge.context.events)


async def test_reports_of_many_dialogs_delay_no_other_caller(autojump_clock: MockClock) -> None:
    async with running_platform_edge() as harness:
        monitor = TurnMonitor(harness.edge, harness.runtime)
        caller, flooder = await harness.client(), await harness.client()
        reports = [encode_setup(f"{at + 1:016x}", "dest:0;width:1;at:s0") for at in range(2_000)]
        harness.nursery.start_soon(flooder.stream.send_all, b"".join(reports))
        await monitor.wait_for_queued(100)
        await caller.send_setup(A)
        assert await monitor.turns_until(lambda: bool(caller.responses)) <= MAX_TURNS


@pytest.mark.parametrize("count", [2, 5_000])
async def test_repeated_cancels_of_one_dialog_are_queued_once(autojump_clock: MockClock, count: int) -> None:
    async with running_platform_edge() as harness:
        monitor, client = TurnMonitor(harness.edge, harness.runtime), await harness.client()
        for server in harness.servers.values():
            server.answers_setups = False
        await client.send_setup(A)
        await trio.sleep(0.1)
        await client.stream.send_all(isup.encode_release(A, 16) * count)
        await trio.sleep(1)
        # The cancel, then releases of a dialog that is no longer open.
        assert monitor.most_queued <= 300
        assert not harness.edge.dialogs.entries


async def test_repeated_cancels_in_our_own_protocol_are_queued_once(autojump_clock: MockClock) -> None:
    async with running_edge(1) as harness:
        monitor, caller = TurnMonitor(harness.edge, harness.runtime), await harness.caller()
        await caller.send(dial("d1"))
        await harness.servers["s0"].link.next(Setup)
        await caller.send(*[Cancel("d1")] * 2_000)
        assert (await caller.next(Failed)).reason == "cancelled"
        await trio.sleep(1)
        assert monitor.most_queued <= 300


async def test_many_set_ups_in_our_own_protocol_delay_no_other_caller(autojump_clock: MockClock) -> None:
    async with running_edge(1) as harness:
        monitor = TurnMonitor(harness.edge, harness.runtime)
        flooders = [await harness.caller(f"c{at}") for at in range(20)]
        caller = await harness.caller("c")
        for at, flooder in enumerate(flooders):
            messages = [dial(f"d{at}-{n}") for n in range(1_000)]
            harness.nursery.start_soon(functools.partial(flooder.send, *messages))
        await monitor.wait_for_queued(QUEUE_CAPACITY // 2)
        await caller.send(dial("d"))
        assert await monitor.turns_until(lambda: bool(caller.all(Provisional))) <= MAX_TURNS
        assert monitor.most_queued <= QUEUE_CAPACITY + len(flooders) * GUARANTEED_REQUESTS


async def test_reports_of_unknown_dialogs_leave_room_for_set_ups_and_other_reports(
    autojump_clock: MockClock,
) -> None:
    settings = copy.deepcopy(SETTINGS)
    settings["limits"]["openCap"] = 40
    async with running_platform_edge(settings=settings) as harness:
        caller, faulty, server = await harness.client(), await harness.client(), harness.servers["s0"]
        await caller.send_setup(A, "dest:0;width:1;at:s0")
        await trio.sleep(0.1)
        for at in range(100):
            await faulty.send_setup(f"{at + 1:016x}", "dest:0;width:1;at:s0")
        await trio.sleep(0.1)
        await caller.send_setup(B)
        await harness.wait_until(lambda: caller.responses == [(isup.ANM, B, -1)], 1)
        # Each report over the limit is answered, and released at the server in case it stands there.
        dropped = [f"{at + 1:016x}" for at in range(81)]
        assert faulty.responses == [(isup.REL, id_, 41) for id_ in dropped]
        assert server.received_ids("release") == dropped
        await server.send(server.streams[0], release_line(A, 16))
        await harness.wait_until(lambda: caller.responses == [(isup.ANM, B, -1), (isup.REL, A, 16)], 1)


def flood_until_closed(address: str, limit_s: float) -> float:
    """Sends releases at full speed; returns the seconds until the connection was closed or time was up."""
    started_at = time.monotonic()
    block = releases(4_096)
    with socket.create_connection(split_address(address)) as connection, suppress(OSError):
        connection.settimeout(limit_s)
        while time.monotonic() - started_at < limit_s:
            connection.sendall(block)
    return time.monotonic() - started_at


@pytest.mark.parametrize("is_dead", [True, False])
async def test_reports_at_an_unreachable_server_store_no_more_releases_than_dialogs(
    autojump_clock: MockClock, is_dead: bool
) -> None:
    settings = copy.deepcopy(SETTINGS)
    settings["limits"]["openCap"] = 40
    async with running_platform_edge(settings=settings) as harness:
        assert isinstance(harness.network, MemoryNetwork)
        server = harness.servers["s0"]
        if is_dead:
            server.scope.cancel()
        else:
            harness.network.listeners["s0:1"] = lambda stream: None
            server.send = lambda *_: trio.lowlevel.checkpoint()  # type: ignore[method-assign]
        link = harness.edge.links.by_server["s0"]
        assert isinstance(link, PlatformLink)
        clients = []
        for second in range(30):
            faulty = await harness.client()
            clients.append(faulty)
            reports = [f"{100 * second + at + 1:016x}" for at in range(20)]
            for id_ in reports:
                await faulty.send_setup(id_, "dest:0;width:1;at:s0")
            await trio.sleep(1)
            assert len(link._pending_releases) <= 40
        assert sum(len(client.responses) for client in clients) > 400


async def test_a_caller_that_floods_without_a_valid_request_is_closed_in_time() -> None:
    # Guards against a deadline that applied to waits only: with bytes always unread there was no wait.
    async with running_platform_edge(network=Loopback()) as harness:
        assert isinstance(harness.network, Loopback)
        address = harness.network.ports["edge:1"]
        limit_s = FAULTY_CALLER_LIMIT_S + 1
        closed_after_s = await trio.to_thread.run_sync(flood_until_closed, address, limit_s)
        assert closed_after_s <= FAULTY_CALLER_LIMIT_S


def test_a_busy_caller_whose_reads_always_end_within_a_message_keeps_its_connection() -> None:
    deadline = RequestDeadline(limit_s=2, now=0)
    for second in range(1, 20):
        deadline.on_input(second, 16_384, True, 30, True)
        assert deadline.at == second + 2
    deadline.on_input(20, 100, True, 0, True)
    assert deadline.at == 21, "no message was completed, so the incomplete one is still the same"
    deadline.on_input(20.5, 100, True, 1, False)
    assert deadline.at == float("inf")


def test_what_arrived_during_a_stop_may_complete_the_first_request() -> None:
    deadline = RequestDeadline(limit_s=2, now=0)
    deadline.on_input(5, isup.MAX_MESSAGE_SIZE, False, 0, True)
    with pytest.raises(trio.TooSlowError):
        deadline.on_input(5, 1, False, 0, True)


def test_sources_are_served_in_turn_and_each_in_order() -> None:
    queue: FairQueue[str, int] = FairQueue()
    for at in range(3):
        queue.put("a", at)
    queue.put("b", 10)
    assert (len(queue), queue.count("a"), queue.count("c")) == (4, 3, 0)
    assert [queue.pop() for _ in range(4)] == [("a", 0), ("b", 10), ("a", 1), ("a", 2)]
    assert not len(queue)


def test_requests_and_other_events_are_taken_alternately() -> None:
    queue = EventQueue()
    for at in range(3):
        queue.put_request("caller", f"request {at}")
        queue.put(f"event {at}")
    queue.put_cancellation("cancel")
    assert [queue.pop_next() for _ in range(8)] == [
        *("cancel", "event 0", "request 0", "event 1", "request 1", "event 2", "request 2"),
        None,
    ]


def test_the_reporter_of_the_most_dialogs_loses_its_oldest() -> None:
    reported = ReportedDialogs(capacity=3)
    for reporter, id_ in (("a", "a1"), ("b", "b1"), ("b", "b2")):
        assert reported.add(reporter, id_) is None
    assert reported.add("c", "c1") == "b1"
    assert reported.add("c", "c2") == "c1"
    reported.discard("b2")
    reported.discard("unknown")
    assert len(reported) == 2
    assert reported.add("c", "c3") is None


@pytest.mark.parametrize("others", range(0, MAX_BATCH, 3))
async def test_set_ups_that_wait_for_space_after_a_stall_have_no_time_anew(
    autojump_clock: MockClock, monkeypatch: pytest.MonkeyPatch, others: int
) -> None:
    # In some of the cases, the turn that wakes the waiting reader leaves the event queue empty.
    async with running_platform_edge() as harness:
        assert isinstance(harness.runtime, MemoryRuntime)
        requests, received_at = harness.edge.requests, []
        accept = requests.accept

        def record(caller: CallerConnection, request: Setup, at: int) -> None:
            received_at.append(at)
            accept(caller, request, at)

        monkeypatch.setattr(requests, "accept", record)
        client, other, count = await harness.client(), await harness.client(), 3 * MAX_REQUESTS_PER_SOURCE
        await trio.sleep(1)
        harness.nursery.start_soon(harness.runtime.stall, 600 * 10**6)
        await trio.sleep(0.01)
        stalled_at = harness.edge.context.clock.now()
        set_ups = [encode_setup(f"{at + 1:016x}", time_left_ms=1_000) for at in range(count)]
        harness.nursery.start_soon(client.stream.send_all, b"".join(set_ups))
        for at in range(others):
            await other.send_setup(f"{0x1000 + at:016x}", time_left_ms=1_000)
        await trio.sleep(5)
        assert len(received_at) == count + others
        assert max(received_at) <= stalled_at
