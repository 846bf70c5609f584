"""Disconnected callers: no attempt is started for them, in whatever order events are read.

The tests use loopback sockets and hold the edge proxy's event loop between turns, so that each bad order
occurs in every run.
"""

from __future__ import annotations

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import pytest
import trio

from tests.platform_harness import Client, Loopback, PlatformHarness, release_line, running_platform_edge
from valverouter.edge.event_queue import GUARANTEED_REQUESTS
from valverouter.platform_edge.link import CONNECTIONS_PER_SERVER

A, B, LAST = "a" * 16, "b" * 16, "f" * 16
LEAVING = ["closes", "cancels"]
# More messages than one turn handles.
OTHER_IDS = [f"{at:016x}" for at in range(1, 41)]


@asynccontextmanager
async def loopback_harness(*names: str) -> AsyncIterator[tuple[PlatformHarness, Loopback]]:
    """Starts a harness on loopback sockets; yields it and the Loopback that holds the event loop."""
    async with running_platform_edge(*names, network=Loopback()) as harness:
        assert isinstance(harness.runtime, Loopback)
        yield harness, harness.runtime


async def leave(client: Client, id_: str, how: str) -> None:
    await (client.stream.aclose() if how == "closes" else client.release(id_))


async def all_handled(harness: PlatformHarness) -> None:
    """Returns once one more caller is answered; all earlier events have been handled by then."""
    client = await harness.client()
    await client.send_setup(LAST)
    await harness.wait_until(lambda: [id_ for _, id_, _ in client.responses] == [LAST])
    await trio.sleep(0.02)


def sent_set_ups(harness: PlatformHarness) -> list[str]:
    return [id_ for server in harness.servers.values() for id_ in server.received_ids("setup")]


async def queue_set_ups(client: Client, ids: list[str], harness: PlatformHarness) -> None:
    """Sends set-ups; returns once all are in the event queue."""
    before = len(harness.edge.context.events)
    for id_ in ids:
        await client.send_setup(id_)
    await harness.wait_until(lambda: len(harness.edge.context.events) == before + len(ids))


async def reject_first_attempt(harness: PlatformHarness, runtime: Loopback, client: Client) -> None:
    """The first server rejects A, which then waits for its retry; the event loop is held from here on."""
    server = harness.servers["s0"]
    server.answers_setups = False
    await client.send_setup(A)
    await harness.wait_until(lambda: server.received_ids("setup") == [A])
    runtime.pause_turns()
    await server.send(server.setup_streams[A], release_line(A, 34))
    await harness.wait_until(lambda: len(harness.edge.context.events) == 1)
    runtime.resume_turns()
    await harness.wait_until(
        lambda: A in harness.edge.dialogs.entries and harness.edge.dialogs.entries[A].attempt is None
    )
    runtime.pause_turns()


async def close_unread(harness: PlatformHarness, client: Client) -> None:
    """Closes a connection whose reader waits for space in the queue, so the close stays in the kernel."""
    caller = next(one for one in harness.edge.connected._useful if one.pending_setups)
    await client.send_setup(B)
    await client.stream.aclose()
    await harness.wait_until(lambda: getattr(caller._stream, "peer_has_closed"))  # noqa: B009 - the seam names no such stream
    assert not caller.is_closed
    assert B not in caller.pending_setups


@pytest.mark.parametrize("how", LEAVING)
async def test_no_attempt_for_a_caller_that_left_before_its_set_up_was_handled(how: str) -> None:
    async with loopback_harness() as (harness, runtime):
        client, others = await harness.client(), await harness.client()
        runtime.pause_turns()
        await queue_set_ups(client, [A], harness)
        await queue_set_ups(others, OTHER_IDS, harness)
        await leave(client, A, how)
        await harness.wait_until(lambda: len(harness.edge.context.events) == len(OTHER_IDS) + 2)
        runtime.resume_turns()
        await all_handled(harness)
        assert A not in sent_set_ups(harness)
        assert A not in harness.edge.dialogs.entries
        assert not client.responses


async def test_an_unread_close_is_detected_before_the_first_attempt() -> None:
    async with loopback_harness() as (harness, runtime):
        client = await harness.client()
        runtime.pause_turns()
        harness.edge.context.events._capacity = 1
        await queue_set_ups(client, OTHER_IDS[:GUARANTEED_REQUESTS], harness)
        await close_unread(harness, client)
        runtime.resume_turns()
        await all_handled(harness)
        assert sent_set_ups(harness) == [LAST]
        assert set(harness.edge.dialogs.entries) == {LAST}


async def test_an_unread_close_is_detected_before_a_retry() -> None:
    async with loopback_harness() as (harness, runtime):
        client = await harness.client()
        await reject_first_attempt(harness, runtime, client)
        harness.edge.context.events._capacity = 1
        await queue_set_ups(client, OTHER_IDS[:GUARANTEED_REQUESTS], harness)
        await close_unread(harness, client)
        await trio.sleep(0.25)  # past the longest first retry wait
        runtime.resume_turns()
        await all_handled(harness)
        assert sent_set_ups(harness) == [A, LAST]
        assert set(harness.edge.dialogs.entries) == {LAST}


@pytest.mark.parametrize("how", LEAVING)
async def test_no_retry_for_a_caller_that_left_during_the_retry_delay(how: str) -> None:
    # When the retry delay ends, the caller's message is queued behind more messages than one turn handles.
    async with loopback_harness() as (harness, runtime):
        client, others = await harness.client(), await harness.client()
        await reject_first_attempt(harness, runtime, client)
        for id_ in OTHER_IDS:
            await others.release(id_)
        await harness.wait_until(lambda: len(harness.edge.context.events) == len(OTHER_IDS))
        await leave(client, A, how)
        await harness.wait_until(lambda: len(harness.edge.context.events) == len(OTHER_IDS) + 1)
        await trio.sleep(0.25)  # past the longest first retry wait
        runtime.resume_turns()
        await all_handled(harness)
        assert sent_set_ups(harness).count(A) == 1
        assert A not in harness.edge.dialogs.entries


@pytest.mark.parametrize("how", LEAVING)
async def test_a_full_event_queue_does_not_delay_a_cancel_or_close(how: str) -> None:
    async with loopback_harness() as (harness, runtime):
        client, others = await harness.client(), await harness.client()
        runtime.pause_turns()
        harness.edge.context.events._capacity = 4
        await queue_set_ups(others, OTHER_IDS[:5], harness)
        await client.send_setup(A)
        await leave(client, A, how)
        # The set-up and its cancel or close are both queued, though the event queue is full.
        await harness.wait_until(lambda: len(harness.edge.context.events) == 7)
        runtime.resume_turns()
        await all_handled(harness)
        assert A not in sent_set_ups(harness)


@pytest.mark.parametrize("how", LEAVING)
async def test_no_attempt_for_a_caller_that_left_while_the_link_connected(how: str) -> None:
    async with loopback_harness("s0") as (harness, runtime):
        server, client = harness.servers["s0"], await harness.client()
        runtime.connect_gates["s0:1"] = trio.Event()
        await server.reset()
        link = harness.edge.links.by_server["s0"]
        await harness.wait_until(lambda: getattr(link, "_connecting") == CONNECTIONS_PER_SERVER)  # noqa: B009
        await client.send_setup(A)
        await harness.wait_until(
            lambda: A in harness.edge.dialogs.entries and harness.edge.dialogs.entries[A].attempt == 0
        )
        await leave(client, A, how)
        await harness.wait_until(lambda: not harness.edge.dialogs.entries)
        runtime.connect_gates.pop("s0:1").set()
        await all_handled(harness)
        assert sent_set_ups(harness) == [LAST]


async def test_an_established_dialog_is_released_though_the_callers_release_overtakes_the_answer() -> None:
    async with loopback_harness("s0") as (harness, runtime):
        server, client = harness.servers["s0"], await harness.client()
        server.answers_setups = False
        await client.send_setup(A)
        await harness.wait_until(lambda: server.received_ids("setup") == [A])
        runtime.pause_turns()
        await server.send(server.setup_streams[A], {"type": "answer", "id": A, "fields": {}, "sdp": "v=0"})
        await harness.wait_until(lambda: len(harness.edge.context.events) == 1)
        await client.release(A)
        await harness.wait_until(lambda: len(harness.edge.context.events) == 2)
        runtime.resume_turns()
        await harness.wait_until(lambda: server.received_ids("release") == [A])
        assert not harness.edge.dialogs.entries
        assert not client.responses
        assert not harness.edge.links.by_server["s0"].attempts
