"""An edge proxy whose process stands still for seconds, as a paused machine does: SIGSTOP, then SIGCONT."""

from __future__ import annotations

import signal
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from pathlib import Path

import pytest
import trio

from tests.platform_harness import configuration, set_up
from tests.process_harness import Drill, drill
from tests.test_platform_edge_races import Far, free_port, passed
from valverouter.config import platform
from valverouter.edge.sockets import SocketRuntime
from valverouter.platform_protocol import isup
from valverouter.signalling.greeting import Hello, Welcome
from valverouter.signalling.setup import SetupSession

B = "b" * 16
# Longer than a new connection may say nothing of use.
STOP_S = platform.REQUEST_TIMEOUT / 1e9 + 0.3


@asynccontextmanager
async def platform_process(folder: Path, answers: bool = True) -> AsyncIterator[Drill]:
    """The platform's edge proxy with two core servers, all connections up."""
    async with drill(folder, servers=0) as one:
        far = Far(one.nursery)
        bus_at = await one.nursery.start(far.network.serve, "127.0.0.1:0", far.bus.serve)
        servers = [await far.server(name) for name in ("s0", "s1")]
        for server in servers:
            server.answers = answers
        rows = [far.row(name, number) for number, name in enumerate(("s0", "s1"))]
        known = [{"offset": 1, "topology": {"seq": 1, "whole": True, "hosts": rows}}]
        far.bus.events += known
        await one.relay(configuration(known, free_port(), bus_at))
        with trio.fail_after(20):
            while not all(len(server.streams) == 2 for server in servers):
                await trio.sleep(0.01)
        yield one


@asynccontextmanager
async def stopped(one: Drill, for_s: float) -> AsyncIterator[None]:
    """What is sent inside lies unread until the process has been stopped for so long."""
    one.process.send_signal(signal.SIGSTOP)
    began = trio.current_time()
    try:
        yield
        await trio.sleep_until(began + for_s)
    finally:
        one.process.send_signal(signal.SIGCONT)


async def test_a_new_connection_whose_first_set_up_lay_unread_keeps_it(tmp_path: Path) -> None:
    """The set-up was read, and its connection closed behind it without an answer.

    The limit for new connections that say nothing of use had passed during the stop, and cancelled the task
    that was just handling what had come in time (`caller-refused kind=silent`).
    """
    async with platform_process(tmp_path) as one:
        stream = await SocketRuntime().connect(one.address)
        await trio.sleep(0.1)
        async with stopped(one, STOP_S):
            await stream.send_all(set_up(B))
        with trio.fail_after(10):
            (answer,) = isup.MessageReader().feed(await stream.receive_some())
        assert (answer.type, answer.id) == (isup.ANM, B)


async def test_a_hello_that_lay_unread_is_welcomed(tmp_path: Path) -> None:
    async with drill(tmp_path) as one:
        await one.start(one.ini())
        stream = await SocketRuntime().connect(one.address)
        await trio.sleep(0.1)
        session = SetupSession(Hello((1, 1), "caller", "c0"))
        async with stopped(one, STOP_S):
            await stream.send_all(session.hello_frame())
        with trio.fail_after(10):
            (welcome,) = session.receive(await stream.receive_some())
        assert isinstance(welcome, Welcome)


async def test_a_connection_that_says_nothing_is_closed_all_the_same(tmp_path: Path) -> None:
    async with platform_process(tmp_path) as one:
        silent = await SocketRuntime().connect(one.address)
        await trio.sleep(0.1)
        async with stopped(one, STOP_S):
            pass
        with trio.fail_after(10):
            assert await silent.receive_some() == b""
        await (await passed(one.address)).aclose()


async def test_a_set_up_that_lay_unread_has_its_answer_within_its_caller_s_time(tmp_path: Path) -> None:
    """Its time began anew with the wake: the answer came 1.4 s after its caller had given up.

    The platform's callers tell when their bytes were read, which went before what is known of a stop.
    """
    left_s = 2.0
    async with platform_process(tmp_path, answers=False) as one:
        stream = await passed(one.address)
        await trio.sleep(0.3)
        async with stopped(one, 1.5):
            await stream.send_all(set_up(B, left=round(left_s * 1e3)))
            sent_at = trio.current_time()
        with trio.fail_after(10):
            (answer,) = isup.MessageReader().feed(await stream.receive_some())
        assert (answer.type, answer.id) == (isup.REL, B)
        # The platform's slack on every time limit.
        assert trio.current_time() - sent_at <= left_s + 0.05


@pytest.mark.parametrize("number", [signal.SIGTERM, signal.SIGINT])
async def test_signals_to_stop_in_series_end_the_process_by_itself(tmp_path: Path, number: int) -> None:
    """One that came while the process was ending killed it: -15 or -2, its store not closed.

    trio gives the former handlers back as its receiver closes, and the interpreter's own end comes behind.
    Found by the soak, seeds 21 and 24, two of 60 courses.
    """
    for at in range(3):
        (folder := tmp_path / str(at)).mkdir()
        async with drill(folder) as one:
            await one.start(one.ini())
            while one.process.poll() is None:
                one.process.send_signal(number)
                await trio.sleep(0.0005)
            assert one.process.returncode == 0
