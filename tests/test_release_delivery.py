"""Releases of established dialogs: on which connections callers get them, and when these are sent again."""

from __future__ import annotations

import copy
import socket
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import pytest
import trio
from hypothesis import given
from hypothesis import strategies as st
from trio.testing import MockClock

from tests.platform_harness import (
    SETTINGS,
    Client,
    Loopback,
    PlatformHarness,
    encode_setup,
    host_row,
    release_line,
    running_platform_edge,
)
from valverouter.platform_edge.unheard_releases import (
    ACKNOWLEDGEMENT_TIMEOUT,
    CROSSING_PERIOD,
    RELEASE_LIFETIME,
    UnheardRelease,
    UnheardReleases,
)
from valverouter.platform_protocol import isup
from valverouter.signalling import setup

A, B, C = "a" * 16, "b" * 16, "c" * 16
RELEASED = (isup.REL, A, 16)
# Clients that send no valid request of a caller: nothing, part of a set-up, an invalid set-up, only a test.
NO_REQUEST = {
    "silent": b"",
    "incomplete": encode_setup(C)[:40],
    "invalid": encode_setup(C, traffic_type="unknown"),
    "test": isup.encode(isup.TEST, C, {isup.CAUSE: b"\0"}),
}


async def caller_with_dialog(harness: PlatformHarness, id_: str) -> Client:
    """Connects a caller with an established dialog."""
    client = await harness.client()
    await client.send_setup(id_)
    await harness.wait_until(lambda: client.responses == [(isup.ANM, id_, -1)], 1)
    return client


async def established_without_caller(harness: PlatformHarness) -> None:
    """Establishes A at s0; its caller then closes its connection."""
    client = await caller_with_dialog(harness, A)
    await client.stream.aclose()
    await trio.sleep(0.1)


async def end_at_server(harness: PlatformHarness, id_: str = A) -> None:
    """Ends a dialog at its server; returns once the edge proxy has handled the release."""
    server = harness.servers["s0"]
    await server.send(server.streams[0], release_line(id_, 16))
    await harness.wait_until(lambda: id_ not in harness.edge.dialogs.entries, 1)


async def acknowledge(client: Client, id_: str) -> None:
    await client.stream.send_all(isup.encode(isup.RLC, id_))
    await trio.sleep(0.01)


async def established_on_unread_connection(harness: PlatformHarness) -> trio.abc.Stream:
    """Establishes A on a connection that is not read any more after the answer; returns the connection."""
    stream = await harness.network.connect("edge:1")
    await stream.send_all(encode_setup(A))
    answer = isup.decode(bytes(await stream.receive_some())[isup.HEADER_SIZE :])
    assert (answer.type, answer.id) == (isup.ANM, A)
    return stream


async def acknowledging_caller(harness: PlatformHarness) -> Client:
    """Connects a caller that has acknowledged the release of a dialog."""
    client = await caller_with_dialog(harness, C)
    await end_at_server(harness, C)
    await acknowledge(client, C)
    return client


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
        caller = await caller_with_dialog(harness, B)
        await established_without_caller(harness)
        for server in harness.servers.values():
            server.answers_setups = False
        other = await harness.client()
        await other.send_setup(C, time_left_ms=300)
        await harness.wait_until(lambda: bool(other.responses))
        await end_at_server(harness)
        await harness.wait_until(lambda: RELEASED in caller.responses, 1)
        assert RELEASED not in other.responses


async def test_a_release_that_crosses_its_connections_close_is_sent_to_the_next_caller(
    autojump_clock: MockClock,
) -> None:
    # Guards against releases that counted as received once they were queued: their callers closed the
    # connection at the same time and were never told (review/9).
    async with running_platform_edge() as harness:
        stream = await established_on_unread_connection(harness)
        await end_at_server(harness)
        await stream.aclose()
        await trio.sleep(0.5)
        caller = await harness.client()
        await caller.send_setup(B)
        await harness.wait_until(lambda: caller.responses == [RELEASED, (isup.ANM, B, -1)], 1)


async def test_a_release_that_crosses_its_connections_close_is_sent_to_a_connected_caller(
    autojump_clock: MockClock,
) -> None:
    async with running_platform_edge() as harness:
        caller = await harness.client()
        await caller.send_setup(B)
        stream = await established_on_unread_connection(harness)
        await end_at_server(harness)
        await stream.aclose()
        await harness.wait_until(lambda: caller.responses == [(isup.ANM, B, -1), RELEASED], 1)


async def test_a_release_that_a_reset_may_have_discarded_is_sent_again() -> None:
    # The kernel resets a connection that its owner closes with unread bytes, however old these are.
    async with running_platform_edge(network=Loopback()) as harness:
        assert isinstance(harness.network, Loopback)
        host, port = harness.network.ports["edge:1"].split(":")
        with socket.create_connection((host, int(port))) as raw:
            raw.sendall(encode_setup(A))
            await harness.wait_until(lambda: harness.edge.established_dialogs == 1)
            await trio.to_thread.run_sync(raw.recv, 4_096)
            await end_at_server(harness)
            await trio.sleep(2 * CROSSING_PERIOD / 1e9)
        caller = await harness.client()
        await caller.send_setup(B)
        await harness.wait_until(lambda: RELEASED in caller.responses, 2)


async def test_an_unacknowledged_release_is_sent_again_once_callers_are_known_to_acknowledge(
    autojump_clock: MockClock,
) -> None:
    async with running_platform_edge() as harness:
        caller = await acknowledging_caller(harness)
        stream = await established_on_unread_connection(harness)
        await end_at_server(harness)
        await trio.sleep(2)
        assert RELEASED not in caller.responses
        await stream.aclose()
        await harness.wait_until(lambda: RELEASED in caller.responses, 1)


async def test_an_acknowledged_release_is_not_sent_again(autojump_clock: MockClock) -> None:
    async with running_platform_edge() as harness:
        client = await caller_with_dialog(harness, A)
        await end_at_server(harness)
        await acknowledge(client, A)
        await client.stream.aclose()
        caller = await harness.client()
        await caller.send_setup(B)
        await trio.sleep(10)
        assert caller.responses == [(isup.ANM, B, -1)]
        assert harness.edge.release_notifier.unheard_count == 0


async def test_without_acknowledgements_a_release_on_a_connection_that_stays_open_is_not_sent_again(
    autojump_clock: MockClock,
) -> None:
    async with running_platform_edge() as harness:
        stream = await established_on_unread_connection(harness)
        await end_at_server(harness)
        await trio.sleep(1)
        await stream.aclose()
        caller = await harness.client()
        await caller.send_setup(B)
        await trio.sleep(10)
        assert caller.responses == [(isup.ANM, B, -1)]


async def test_a_release_that_another_caller_does_not_acknowledge_is_sent_on_the_next_connection(
    autojump_clock: MockClock,
) -> None:
    # A faulty client with valid set-ups may be taken for a caller. It does not know the dialog.
    async with running_platform_edge() as harness:
        other = await acknowledging_caller(harness)
        await established_without_caller(harness)
        await end_at_server(harness)
        await harness.wait_until(lambda: RELEASED in other.responses, 1)
        caller = await harness.client()
        await caller.send_setup(B)
        await harness.wait_until(lambda: RELEASED in caller.responses, 1)
        await acknowledge(caller, A)
        last = await harness.client()
        await last.send_setup("d" * 16)
        await trio.sleep(10)
        assert RELEASED not in last.responses


async def test_a_release_on_a_connection_whose_host_vanished_is_sent_on_the_callers_next_one(
    autojump_clock: MockClock,
) -> None:
    async with running_platform_edge() as harness:
        await acknowledging_caller(harness)
        await established_on_unread_connection(harness)
        await end_at_server(harness)
        await trio.sleep(1)
        caller = await harness.client()
        await caller.send_setup(B)
        await harness.wait_until(lambda: RELEASED in caller.responses, 1)


async def test_the_ends_of_reports_over_the_limit_are_not_repeated_on_other_callers_connections(
    autojump_clock: MockClock,
) -> None:
    # No server has confirmed them: a faulty client could fill all callers' connections with them.
    settings = copy.deepcopy(SETTINGS)
    settings["limits"]["openCap"] = 6
    async with running_platform_edge(settings=settings) as harness:
        await acknowledging_caller(harness)
        faulty = await harness.client()
        for number in range(1, 8):
            await faulty.send_setup(f"{number:016x}", "dest:0;width:1;at:s0")
        await harness.wait_until(lambda: len(faulty.responses) == 4, 1)
        await trio.sleep(2)
        caller = await harness.client()
        await caller.send_setup(B)
        await trio.sleep(3)
        assert caller.responses == [(isup.ANM, B, -1)]


async def test_a_caller_that_releases_a_dialog_itself_is_not_sent_its_release_again(
    autojump_clock: MockClock,
) -> None:
    async with running_platform_edge() as harness:
        stream = await established_on_unread_connection(harness)
        await end_at_server(harness)
        await stream.send_all(isup.encode_release(A, 16))
        await trio.sleep(0.01)
        await stream.aclose()
        caller = await harness.client()
        await caller.send_setup(B)
        await trio.sleep(10)
        assert caller.responses == [(isup.ANM, B, -1)]


async def test_a_release_that_a_draining_server_may_not_have_read_is_sent_again(
    autojump_clock: MockClock,
) -> None:
    # Guards against links that ended with a release to be sent: the server kept the dialog and its line.
    async with running_platform_edge() as harness:
        client, server = await caller_with_dialog(harness, A), harness.servers["s0"]
        harness.bus.publish(host_row("s0", 0, "Terminating"))
        await trio.sleep(0.5)
        await client.release(A)
        await harness.wait_until(lambda: server.received_ids("release") == [A], 1)
        await server.reset()
        await harness.wait_until(lambda: server.received_ids("release") == [A, A], 1)
        assert server.received_ids("setup") == [A]


async def test_the_link_to_a_draining_server_that_refuses_connections_ends_despite_a_waiting_release(
    autojump_clock: MockClock,
) -> None:
    async with running_platform_edge() as harness:
        client, server = await caller_with_dialog(harness, A), harness.servers["s0"]
        harness.bus.publish(host_row("s0", 0, "Terminating"))
        await trio.sleep(0.5)
        await client.release(A)
        server.scope.cancel()
        await server.reset()
        await harness.wait_until(lambda: "s0" not in harness.edge.links.by_server, 10)


def unheard(id_: str, own: str, ended_at: int, is_confirmed: bool = True) -> UnheardRelease[str]:
    return UnheardRelease(setup.Ended(id_, 0, "over"), own, ended_at, is_confirmed)


def due_ids(releases: UnheardReleases[str], connection: str, now: int) -> list[str]:
    return [ended.dialog for ended in releases.due_on(connection, now, 100)]


def test_a_release_that_was_still_queued_when_its_connection_closed_is_sent_again() -> None:
    releases: UnheardReleases[str] = UnheardReleases(10)
    for id_, has_lost_output in ((A, True), (B, False)):
        releases.add(unheard(id_, id_, 0))
        releases.on_sent(id_, id_, 0)
        releases.on_closed(id_, CROSSING_PERIOD + 1, has_lost_output)
    assert due_ids(releases, "next", CROSSING_PERIOD + 1) == [A]


def test_reports_that_no_server_confirmed_are_repeated_only_after_their_connection_closed() -> None:
    # A faulty client can report any number of dialogs: their releases must not fill callers' connections.
    releases: UnheardReleases[str] = UnheardReleases(10)
    releases.add(unheard(C, "caller", 0))
    releases.on_sent(C, "caller", 0)
    assert releases.on_acknowledged(C, "caller")
    for id_, is_confirmed in ((A, True), (B, False)):
        releases.add(unheard(id_, "faulty", 0, is_confirmed))
        releases.on_sent(id_, "faulty", 0)
    assert due_ids(releases, "next", 10**9) == [A]
    assert releases.on_closed("faulty", 10**9, False) == [A, B]
    assert due_ids(releases, "next", 10**9) == [A, B]


EVENTS = st.lists(
    st.tuples(
        st.sampled_from(["end", "identify", "close", "acknowledge", "release", "wait"]),
        st.integers(0, 4),
        st.integers(0, 2),
    ),
    max_size=60,
)


@given(EVENTS)
def test_each_release_is_sent_until_it_is_heard_or_its_time_has_passed(
    events: list[tuple[str, int, int]],
) -> None:
    # In the model every caller acknowledges, but a close may lose any release.
    releases: UnheardReleases[str] = UnheardReleases(100)
    releases.add(unheard(C, "c", 0))
    releases.on_sent(C, "c", 0)
    releases.on_acknowledged(C, "c")
    now, owed, sent = 0, dict[str, int](), set[tuple[str, str]]()
    for number, (event, dialog, connection) in enumerate(events):
        id_, name = f"dialog {dialog}", f"connection {connection}"
        if event == "wait":
            now += 10**9
        elif event == "end":
            releases.add(unheard(id_, name, now))
            releases.on_sent(id_, name, now)
            owed[id_], sent = now, {pair for pair in sent if pair[0] != id_} | {(id_, name)}
        elif event == "acknowledge":
            assert releases.on_acknowledged(id_, name) == ((id_, name) in sent)
            if (id_, name) in sent:
                del owed[id_]
                sent = {pair for pair in sent if pair[0] != id_}
        elif event == "release":
            releases.on_released_by_caller(id_)
            owed.pop(id_, None)
            sent = {pair for pair in sent if pair[0] != id_}
        elif event == "close":
            sent = {pair for pair in sent if pair[1] != name}
            assert set(releases.on_closed(name, now, False)) <= set(owed)
        else:
            for ended in releases.due_on(f"new {number}", now, 100):
                releases.on_sent(ended.dialog, f"new {number}", now)
                sent.add((ended.dialog, f"new {number}"))
        releases.expire(now)
        expired = {id_ for id_, at in owed.items() if at + RELEASE_LIFETIME < now}
        owed = {id_: at for id_, at in owed.items() if id_ not in expired}
        sent = {pair for pair in sent if pair[0] not in expired}
        assert len(releases) == len(owed)
        later = now + ACKNOWLEDGEMENT_TIMEOUT
        assert set(due_ids(releases, "another", later)) == set(owed)
