"""Releases of established dialogs: on which connections callers get them, and when these are sent again."""

from __future__ import annotations

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import pytest
import trio
from trio.testing import MockClock

from tests.platform_harness import Client, PlatformHarness, encode_setup, release_line, running_platform_edge
from valverouter.platform_protocol import isup

A, B, C = "a" * 16, "b" * 16, "c" * 16
RELEASED = (isup.REL, A, 16)
# Clients that send no valid request of a caller: nothing, part of a set-up, an invalid set-up, only a test.
NO_REQUEST = {
    "silent": b"",
    "incomplete": encode_setup(C)[:40],
    "invalid": encode_setup(C, traffic_type="unknown"),
    "test": isup.encode(isup.TEST, C, {isup.CAUSE: b"\0"}),
}


async def established_without_caller(harness: PlatformHarness) -> None:
    """Establishes A at s0; its caller then closes its connection."""
    client = await harness.client()
    await client.send_setup(A)
    await harness.wait_until(lambda: client.responses == [(isup.ANM, A, -1)])
    await client.stream.aclose()
    await trio.sleep(0.1)


async def end_at_server(harness: PlatformHarness) -> None:
    server = harness.servers["s0"]
    await server.send(server.streams[0], release_line(A, 16))
    await trio.sleep(0.1)


@asynccontextmanager
async def client_that_sends(harness: PlatformHarness, data: bytes) -> AsyncIterator[Client]:
    """Connects a client that sends these bytes and nothing else; it got no release of A at the end."""
    client = await harness.client()
    if data:
        await client.stream.send_all(data)
    await trio.sleep(0.1)
    yield client
    assert RELEASED not in client.responses


@pytest.mark.parametrize("data", NO_REQUEST.values(), ids=NO_REQUEST)
async def test_a_release_waits_for_a_caller_though_another_client_is_connected(
    autojump_clock: MockClock, data: bytes
) -> None:
    # Guards against releases that were sent to clients without any dialog: the call was left standing at its
    # caller (review/10).
    async with running_platform_edge() as harness:
        await established_without_caller(harness)
        async with client_that_sends(harness, data):
            await end_at_server(harness)
            caller = await harness.client()
            await caller.send_setup(B)
            await harness.wait_until(lambda: RELEASED in caller.responses, 1)
            assert caller.responses.count(RELEASED) == 1


@pytest.mark.parametrize("data", NO_REQUEST.values(), ids=NO_REQUEST)
async def test_a_waiting_release_is_not_sent_to_the_next_client_but_to_the_next_caller(
    autojump_clock: MockClock, data: bytes
) -> None:
    # Guards against waiting releases that were all sent on the next connection before it had sent anything.
    async with running_platform_edge() as harness:
        await established_without_caller(harness)
        await end_at_server(harness)
        async with client_that_sends(harness, data):
            caller = await harness.client()
            await caller.send_setup(B)
            await harness.wait_until(lambda: RELEASED in caller.responses, 1)


async def test_a_release_goes_to_a_caller_with_dialogs_before_one_whose_set_ups_are_refused(
    autojump_clock: MockClock,
) -> None:
    # A faulty client sends valid set-ups, too. It never has a dialog.
    async with running_platform_edge() as harness:
        caller = await harness.client()
        await caller.send_setup(B)
        await harness.wait_until(lambda: caller.responses == [(isup.ANM, B, -1)])
        await established_without_caller(harness)
        for server in harness.servers.values():
            server.answers_setups = False
        other = await harness.client()
        await other.send_setup(C, time_left_ms=300)
        await harness.wait_until(lambda: bool(other.responses))
        await end_at_server(harness)
        await harness.wait_until(lambda: RELEASED in caller.responses, 1)
        assert RELEASED not in other.responses
