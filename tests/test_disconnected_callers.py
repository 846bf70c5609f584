"""Disconnected callers: no attempt is started for them, in whatever order events are read.

The tests use loopback sockets and hold the edge proxy's event loop between turns, so that each bad order
occurs in every run.
"""

from __future__ import annotations

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import pytest
import trio

from tests.platform_harness import Client, Loopback, Rig, relayed, release
from valverouter.platform_edge.callers import MAX_PENDING_SETUPS
from valverouter.platform_edge.link import CONNECTIONS_PER_SERVER

A, B, LAST = "a" * 16, "b" * 16, "f" * 16
LEAVING = ["closes", "cancels"]
# More messages than one turn handles.
OTHER_IDS = [f"{at:016x}" for at in range(1, 41)]


@asynccontextmanager
async def loopback_harness(*names: str) -> AsyncIterator[tuple[Rig, Loopback]]:
    """Starts a harness on loopback sockets; yields it and the Loopback that holds the event loop."""
    async with relayed(*names, network=Loopback()) as rig:
        assert isinstance(rig.place, Loopback)
        yield rig, rig.place


async def leave(client: Client, id_: str, how: str) -> None:
    await (client.stream.aclose() if how == "closes" else client.release(id_))


async def all_handled(rig: Rig) -> None:
    """Returns once one more caller is answered; all earlier events have been handled by then."""
    client = await rig.client()
    await client.ask(LAST)
    await rig.until(lambda: [id_ for _, id_, _ in client.said] == [LAST])
    await trio.sleep(0.02)


def sent_set_ups(rig: Rig) -> list[str]:
    return [id_ for server in rig.servers.values() for id_ in server.of("setup")]


async def queue_set_ups(client: Client, ids: list[str], rig: Rig) -> None:
    """Sends set-ups; returns once all are in the event queue."""
    before = len(rig.edge.context.events)
    for id_ in ids:
        await client.ask(id_)
    await rig.until(lambda: len(rig.edge.context.events) == before + len(ids))


async def reject_first_attempt(rig: Rig, place: Loopback, client: Client) -> None:
    """The first server rejects A, which then waits for its retry; the event loop is held from here on."""
    server = rig.servers["s0"]
    server.answers = False
    await client.ask(A)
    await rig.until(lambda: server.of("setup") == [A])
    place.hold()
    await server.say(server.at[A], release(A, 34))
    await rig.until(lambda: len(rig.edge.context.events) == 1)
    place.go()
    await rig.until(lambda: A in rig.edge.dialogs.entries and rig.edge.dialogs.entries[A].attempt is None)
    place.hold()


async def close_unread(rig: Rig, client: Client) -> None:
    """Closes a connection whose reader waits for space in the queue, so the close stays in the kernel."""
    caller = next(one for one in rig.edge.connected._useful if one.pending_setups)
    await client.ask(B)
    await client.stream.aclose()
    await rig.until(lambda: getattr(caller._stream, "peer_has_closed"))  # noqa: B009 - the seam names no such stream
    assert not caller.is_closed
    assert B not in caller.pending_setups


@pytest.mark.parametrize("how", LEAVING)
async def test_no_attempt_for_a_caller_that_left_before_its_set_up_was_handled(how: str) -> None:
    async with loopback_harness() as (rig, place):
        client, others = await rig.client(), await rig.client()
        place.hold()
        await queue_set_ups(client, [A], rig)
        await queue_set_ups(others, OTHER_IDS, rig)
        await leave(client, A, how)
        await rig.until(lambda: len(rig.edge.context.events) == len(OTHER_IDS) + 2)
        place.go()
        await all_handled(rig)
        assert A not in sent_set_ups(rig)
        assert A not in rig.edge.dialogs.entries
        assert not client.said


async def test_an_unread_close_is_detected_before_the_first_attempt() -> None:
    async with loopback_harness() as (rig, place):
        client = await rig.client()
        place.hold()
        rig.edge.context.events._capacity = 1
        await queue_set_ups(client, OTHER_IDS[:MAX_PENDING_SETUPS], rig)
        await close_unread(rig, client)
        place.go()
        await all_handled(rig)
        assert sent_set_ups(rig) == [LAST]
        assert set(rig.edge.dialogs.entries) == {LAST}


async def test_an_unread_close_is_detected_before_a_retry() -> None:
    async with loopback_harness() as (rig, place):
        client = await rig.client()
        await reject_first_attempt(rig, place, client)
        rig.edge.context.events._capacity = 1
        await queue_set_ups(client, OTHER_IDS[:MAX_PENDING_SETUPS], rig)
        await close_unread(rig, client)
        await trio.sleep(0.25)  # past the longest first retry wait
        place.go()
        await all_handled(rig)
        assert sent_set_ups(rig) == [A, LAST]
        assert set(rig.edge.dialogs.entries) == {LAST}


@pytest.mark.parametrize("how", LEAVING)
async def test_no_retry_for_a_caller_that_left_during_the_retry_delay(how: str) -> None:
    # When the retry delay ends, the caller's message is queued behind more messages than one turn handles.
    async with loopback_harness() as (rig, place):
        client, others = await rig.client(), await rig.client()
        await reject_first_attempt(rig, place, client)
        for id_ in OTHER_IDS:
            await others.release(id_)
        await rig.until(lambda: len(rig.edge.context.events) == len(OTHER_IDS))
        await leave(client, A, how)
        await rig.until(lambda: len(rig.edge.context.events) == len(OTHER_IDS) + 1)
        await trio.sleep(0.25)  # past the longest first retry wait
        place.go()
        await all_handled(rig)
        assert sent_set_ups(rig).count(A) == 1
        assert A not in rig.edge.dialogs.entries


@pytest.mark.parametrize("how", LEAVING)
async def test_a_full_event_queue_does_not_delay_a_cancel_or_close(how: str) -> None:
    async with loopback_harness() as (rig, place):
        client, others = await rig.client(), await rig.client()
        place.hold()
        rig.edge.context.events._capacity = 4
        await queue_set_ups(others, OTHER_IDS[:5], rig)
        await client.ask(A)
        await leave(client, A, how)
        # The set-up and its cancel or close are both queued, though the event queue is full.
        await rig.until(lambda: len(rig.edge.context.events) == 7)
        place.go()
        await all_handled(rig)
        assert A not in sent_set_ups(rig)


@pytest.mark.parametrize("how", LEAVING)
async def test_no_attempt_for_a_caller_that_left_while_the_link_connected(how: str) -> None:
    async with loopback_harness("s0") as (rig, place):
        server, client = rig.servers["s0"], await rig.client()
        place.dials["s0:1"] = trio.Event()
        await server.reset()
        link = rig.edge.links.by_server["s0"]
        await rig.until(lambda: getattr(link, "_connecting") == CONNECTIONS_PER_SERVER)  # noqa: B009
        await client.ask(A)
        await rig.until(lambda: A in rig.edge.dialogs.entries and rig.edge.dialogs.entries[A].attempt == 0)
        await leave(client, A, how)
        await rig.until(lambda: not rig.edge.dialogs.entries)
        place.dials.pop("s0:1").set()
        await all_handled(rig)
        assert sent_set_ups(rig) == [LAST]


async def test_an_established_dialog_is_released_though_the_callers_release_overtakes_the_answer() -> None:
    async with loopback_harness("s0") as (rig, place):
        server, client = rig.servers["s0"], await rig.client()
        server.answers = False
        await client.ask(A)
        await rig.until(lambda: server.of("setup") == [A])
        place.hold()
        await server.say(server.at[A], {"type": "answer", "id": A, "fields": {}, "sdp": "v=0"})
        await rig.until(lambda: len(rig.edge.context.events) == 1)
        await client.release(A)
        await rig.until(lambda: len(rig.edge.context.events) == 2)
        place.go()
        await rig.until(lambda: server.of("release") == [A])
        assert not rig.edge.dialogs.entries
        assert not client.said
        assert not rig.edge.links.by_server["s0"].attempts
