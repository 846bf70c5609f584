"""Callers that have disconnected: no attempt begins for them, in whatever order their messages are read.

On loopback sockets, where no turn of the instance begins before the test lets it: each bad order comes every
time.
"""

from __future__ import annotations

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import pytest
import trio

from tests.platform_harness import Client, Loopback, Rig, relayed, release
from valverouter.platform_edge.callers import MAX_PENDING_SETUPS
from valverouter.platform_edge.link import CONNECTIONS

A, B, LAST = "a" * 16, "b" * 16, "f" * 16
GOES = ["closes", "cancels"]
# More messages than one turn takes.
CROWD = [f"{at:016x}" for at in range(1, 41)]


@asynccontextmanager
async def held(*names: str) -> AsyncIterator[tuple[Rig, Loopback]]:
    """A rig on loopback, and its edge proxy's place."""
    async with relayed(*names, network=Loopback()) as rig:
        assert isinstance(rig.place, Loopback)
        yield rig, rig.place


async def goes(client: Client, id_: str, how: str) -> None:
    await (client.stream.aclose() if how == "closes" else client.release(id_))


async def last_of_all(rig: Rig) -> None:
    """One more caller's dialog has its answer: all that came before it has had its turn by then."""
    client = await rig.client()
    await client.ask(LAST)
    await rig.until(lambda: [id_ for _, id_, _ in client.said] == [LAST])
    await trio.sleep(0.02)


def set_ups(rig: Rig) -> list[str]:
    return [id_ for server in rig.servers.values() for id_ in server.of("setup")]


async def asks(client: Client, ids: list[str], rig: Rig) -> None:
    """Sends set-ups; returns once all lie in the inbox."""
    before = len(rig.edge.context.events)
    for id_ in ids:
        await client.ask(id_)
    await rig.until(lambda: len(rig.edge.context.events) == before + len(ids))


async def refused_once(rig: Rig, place: Loopback, client: Client) -> None:
    """The first server is full for A, which then waits to be tried again; no turn begins from here on."""
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


async def unread(rig: Rig, client: Client) -> None:
    """Closes a connection whose reader waits for room, behind its own set-ups: the kernel has the close."""
    caller = next(one for one in rig.edge.connected._useful if one.pending_setups)
    await client.ask(B)
    await client.stream.aclose()
    await rig.until(lambda: getattr(caller._stream, "peer_has_closed"))  # noqa: B009 - the seam names no such stream
    assert not caller.is_closed
    assert B not in caller.pending_setups


@pytest.mark.parametrize("how", GOES)
async def test_who_left_before_his_set_up_had_its_turn_is_not_sent_on(how: str) -> None:
    async with held() as (rig, place):
        client, crowd = await rig.client(), await rig.client()
        place.hold()
        await asks(client, [A], rig)
        await asks(crowd, CROWD, rig)
        await goes(client, A, how)
        await rig.until(lambda: len(rig.edge.context.events) == len(CROWD) + 2)
        place.go()
        await last_of_all(rig)
        assert A not in set_ups(rig)
        assert A not in rig.edge.dialogs.entries
        assert not client.said


async def test_a_close_that_nobody_has_read_is_seen_before_the_first_attempt() -> None:
    async with held() as (rig, place):
        client = await rig.client()
        place.hold()
        rig.edge.context.events._capacity = 1
        await asks(client, CROWD[:MAX_PENDING_SETUPS], rig)
        await unread(rig, client)
        place.go()
        await last_of_all(rig)
        assert set_ups(rig) == [LAST]
        assert set(rig.edge.dialogs.entries) == {LAST}


async def test_a_close_that_nobody_has_read_is_seen_before_a_further_attempt() -> None:
    async with held() as (rig, place):
        client = await rig.client()
        await refused_once(rig, place, client)
        rig.edge.context.events._capacity = 1
        await asks(client, CROWD[:MAX_PENDING_SETUPS], rig)
        await unread(rig, client)
        await trio.sleep(0.25)  # past the longest first retry wait
        place.go()
        await last_of_all(rig)
        assert set_ups(rig) == [A, LAST]
        assert set(rig.edge.dialogs.entries) == {LAST}


@pytest.mark.parametrize("how", GOES)
async def test_who_leaves_in_a_retry_pause_gets_no_further_attempt(how: str) -> None:
    # His word comes behind other callers' words, more than one turn takes, when the pause ends.
    async with held() as (rig, place):
        client, crowd = await rig.client(), await rig.client()
        await refused_once(rig, place, client)
        for id_ in CROWD:
            await crowd.release(id_)
        await rig.until(lambda: len(rig.edge.context.events) == len(CROWD))
        await goes(client, A, how)
        await rig.until(lambda: len(rig.edge.context.events) == len(CROWD) + 1)
        await trio.sleep(0.25)  # past the longest first retry wait
        place.go()
        await last_of_all(rig)
        assert set_ups(rig).count(A) == 1
        assert A not in rig.edge.dialogs.entries


@pytest.mark.parametrize("how", GOES)
async def test_a_full_event_queue_keeps_no_one_s_leaving_unread(how: str) -> None:
    async with held() as (rig, place):
        client, crowd = await rig.client(), await rig.client()
        place.hold()
        rig.edge.context.events._capacity = 4
        await asks(crowd, CROWD[:5], rig)
        await client.ask(A)
        await goes(client, A, how)
        # The set-up and the word on it are both here, though the inbox is full.
        await rig.until(lambda: len(rig.edge.context.events) == 7)
        place.go()
        await last_of_all(rig)
        assert A not in set_ups(rig)


@pytest.mark.parametrize("how", GOES)
async def test_who_leaves_during_a_dial_leaves_nothing_for_it(how: str) -> None:
    async with held("s0") as (rig, place):
        server, client = rig.servers["s0"], await rig.client()
        place.dials["s0:1"] = trio.Event()
        await server.reset()
        link = rig.edge.links.by_server["s0"]
        await rig.until(lambda: getattr(link, "_connecting") == CONNECTIONS)  # noqa: B009
        await client.ask(A)
        await rig.until(lambda: A in rig.edge.dialogs.entries and rig.edge.dialogs.entries[A].attempt == 0)
        await goes(client, A, how)
        await rig.until(lambda: not rig.edge.dialogs.entries)
        place.dials.pop("s0:1").set()
        await last_of_all(rig)
        assert set_ups(rig) == [LAST]


async def test_an_established_dialog_is_released_though_its_caller_s_word_overtakes_the_answer() -> None:
    async with held("s0") as (rig, place):
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
