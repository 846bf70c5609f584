"""Dialogs that callers report after this process's start: those already interrupted are ended at once."""

from __future__ import annotations

import pytest
import trio
from trio.testing import MockClock

from tests.platform_harness import (
    WALL_MS,
    Client,
    PlatformHarness,
    answer_line,
    host_row,
    release_line,
    running_platform_edge,
)
from valverouter.platform_edge.established_dialogs import EstablishedDialogs
from valverouter.platform_edge.unknown_releases import UNKNOWN_RELEASE_LIFETIME_S, UnknownReleases
from valverouter.platform_protocol import isup

A, B = "a" * 16, "b" * 16
ESTABLISHED_AT_S0 = "dest:0;width:1;at:s0"
ANSWERED, CUT = (isup.ANM, B, -1), (isup.REL, A, 41)
# The platform's limit for telling a caller of an end that no release could be sent for, in seconds.
UNSENT_RELEASE_LIMIT_S = 8


def wall_ms() -> int:
    """Returns the harness's wall time in Unix milliseconds."""
    return WALL_MS + round(trio.current_time() * 1_000)


async def restart_s0(harness: PlatformHarness, downtime_s: float) -> int:
    """Kills s0 and starts it again; returns its new start time as on the event bus."""
    server = harness.servers["s0"]
    server.scope.cancel()
    await server.reset()
    await trio.sleep(downtime_s)
    born_ms = wall_ms()
    await harness.nursery.start(server.run)
    await trio.sleep(1)
    return born_ms


async def report_after_a_listed_restart(harness: PlatformHarness) -> Client:
    """Restarts s0, and once the bus has told of it reports A as established there; returns the caller."""
    born_ms = await restart_s0(harness, downtime_s=0)
    harness.bus.publish(host_row("s0", 0, born_ms=born_ms))
    await trio.sleep(1)
    client = await harness.client()
    await client.send_setup(A, ESTABLISHED_AT_S0)
    return client


async def test_a_reported_dialog_of_a_server_that_restarted_since_our_start_is_cut(
    autojump_clock: MockClock,
) -> None:
    # Guards against reports that counted as established at the time of the report: the restart had passed, no
    # later event ended them, and their callers were never told (review/2).
    async with running_platform_edge() as harness:
        client = await report_after_a_listed_restart(harness)
        await harness.wait_until(lambda: client.responses == [CUT], 1)
        assert not harness.edge.dialogs.entries


async def test_a_reported_dialog_is_cut_when_the_bus_shows_the_restart_after_the_report(
    autojump_clock: MockClock,
) -> None:
    async with running_platform_edge() as harness:
        born_ms = await restart_s0(harness, downtime_s=0)
        client = await harness.client()
        await client.send_setup(A, ESTABLISHED_AT_S0)
        await client.send_setup(B)
        await trio.sleep(1)
        assert client.responses == [ANSWERED]
        harness.bus.publish(host_row("s0", 0, born_ms=born_ms))
        await harness.wait_until(lambda: client.responses == [ANSWERED, CUT], 1)


async def test_a_reported_dialog_of_a_server_that_refused_connections_since_our_start_is_cut(
    autojump_clock: MockClock,
) -> None:
    async with running_platform_edge() as harness:
        await restart_s0(harness, downtime_s=3)
        client = await harness.client()
        await client.send_setup(A, ESTABLISHED_AT_S0)
        await harness.wait_until(lambda: client.responses == [CUT], 1)


async def test_a_reported_dialog_of_a_server_that_was_gone_and_is_listed_again_is_cut(
    autojump_clock: MockClock,
) -> None:
    async with running_platform_edge() as harness:
        harness.bus.publish(host_row("s0", 0, "Gone"))
        await trio.sleep(1)
        harness.bus.publish(host_row("s0", 0, born_ms=wall_ms()))
        await trio.sleep(1)
        client = await harness.client()
        await client.send_setup(A, ESTABLISHED_AT_S0)
        await harness.wait_until(lambda: client.responses == [CUT], 1)


@pytest.mark.parametrize("downtime_s", [0, 3])
async def test_a_dialog_reported_while_its_server_is_down_is_cut_within_the_limit(
    autojump_clock: MockClock, downtime_s: float
) -> None:
    async with running_platform_edge() as harness:
        harness.servers["s0"].scope.cancel()
        await trio.sleep(downtime_s)
        client = await harness.client()
        await client.send_setup(A, ESTABLISHED_AT_S0)
        await harness.wait_until(lambda: client.responses == [CUT], UNSENT_RELEASE_LIMIT_S)


async def test_a_reported_dialog_of_a_server_that_started_before_us_stays_established(
    autojump_clock: MockClock,
) -> None:
    async with running_platform_edge() as harness:
        harness.bus.publish(host_row("s0", 0, born_ms=WALL_MS - 1))
        await trio.sleep(1)
        client, server = await harness.client(), harness.servers["s0"]
        await client.send_setup(B)
        await client.send_setup(A, ESTABLISHED_AT_S0)
        await trio.sleep(10)
        assert client.responses == [ANSWERED]
        await server.send(server.streams[0], release_line(A, 16))
        await harness.wait_until(lambda: client.responses == [ANSWERED, (isup.REL, A, 16)], 1)


async def draining_server_at_start(harness: PlatformHarness) -> Client:
    """Lets s0 drain, as if it had been listed so at our start, with no link to it; A is reported there."""
    harness.bus.publish(host_row("s0", 0, "Gone"))
    await harness.wait_until(lambda: "s0" not in harness.edge.links.by_server, 1)
    harness.bus.publish(host_row("s0", 0, "Terminating"))
    await trio.sleep(0.5)
    client = await harness.client()
    await client.send_setup(A, ESTABLISHED_AT_S0)
    await trio.sleep(0.5)
    return client


async def test_a_dialog_reported_at_a_draining_server_stays_established_until_its_release(
    autojump_clock: MockClock,
) -> None:
    # Guards against callers that were told after a restart that calls at a draining server were cut, while
    # they stood there.
    async with running_platform_edge() as harness:
        client, server = await draining_server_at_start(harness), harness.servers["s0"]
        await client.send_setup(B)
        await trio.sleep(5)
        assert client.responses == [ANSWERED]
        assert server.received_ids("setup") == []
        await server.send(server.streams[0], release_line(A, 16))
        await harness.wait_until(lambda: client.responses == [ANSWERED, (isup.REL, A, 16)], 1)


async def test_a_caller_can_release_a_dialog_reported_at_a_draining_server(autojump_clock: MockClock) -> None:
    async with running_platform_edge() as harness:
        client, server = await draining_server_at_start(harness), harness.servers["s0"]
        await client.release(A)
        await harness.wait_until(lambda: server.received_ids("release") == [A], 1)
        await server.reset()
        await harness.wait_until(lambda: server.received_ids("release") == [A, A], 1)


@pytest.mark.parametrize("next_phase", ["Gone", "refuses"])
async def test_a_dialog_reported_at_a_draining_server_is_cut_when_that_is_gone(
    autojump_clock: MockClock, next_phase: str
) -> None:
    async with running_platform_edge() as harness:
        client, server = await draining_server_at_start(harness), harness.servers["s0"]
        if next_phase == "Gone":
            harness.bus.publish(host_row("s0", 0, "Gone"))
        else:
            server.scope.cancel()
            await server.reset()
        await harness.wait_until(lambda: client.responses == [CUT], UNSENT_RELEASE_LIMIT_S)
        await trio.sleep(5)
        assert "s0" not in harness.edge.links.by_server
        other = await harness.client()
        await other.send_setup(B, ESTABLISHED_AT_S0)
        await harness.wait_until(lambda: other.responses == [(isup.REL, B, 41)], UNSENT_RELEASE_LIMIT_S)


async def test_a_caller_that_only_reports_a_dialog_keeps_its_connection(autojump_clock: MockClock) -> None:
    # Guards against callers that were closed as silent 2 s after a report, and so did not get its release.
    async with running_platform_edge() as harness:
        client, server = await harness.client(), harness.servers["s0"]
        await client.send_setup(A, ESTABLISHED_AT_S0)
        await trio.sleep(60)
        assert client.closed_at is None
        await server.send(server.streams[0], release_line(A, 16))
        await harness.wait_until(lambda: client.responses == [(isup.REL, A, 16)], 1)


async def test_a_caller_that_only_releases_a_dialog_keeps_its_connection(autojump_clock: MockClock) -> None:
    async with running_platform_edge() as harness:
        reporting, releasing = await harness.client(), await harness.client()
        await reporting.send_setup(A, ESTABLISHED_AT_S0)
        await trio.sleep(0.1)
        await releasing.release(A)
        await harness.wait_until(lambda: harness.servers["s0"].received_ids("release") == [A], 1)
        await trio.sleep(60)
        assert releasing.closed_at is None


async def test_releases_of_unknown_dialogs_keep_no_connection(autojump_clock: MockClock) -> None:
    async with running_platform_edge() as harness:
        client = await harness.client()
        await client.release(A)
        await harness.wait_until(lambda: client.closed_at is not None, 3)


async def test_a_dialog_cut_at_its_report_is_released_at_its_server(autojump_clock: MockClock) -> None:
    # If the server still has the dialog after all, it must not keep it: its caller was told that it ended.
    async with running_platform_edge() as harness:
        await report_after_a_listed_restart(harness)
        await harness.wait_until(lambda: harness.servers["s0"].received_ids("release") == [A], 1)


async def test_the_release_of_a_reported_dialog_is_sent_again_if_its_connection_closed(
    autojump_clock: MockClock,
) -> None:
    # Guards against releases sent at once on the connection of the report and forgotten: if that closed
    # meanwhile, the dialog was left standing at its caller.
    async with running_platform_edge() as harness:
        server = harness.servers["s0"]
        await server.send(server.streams[0], release_line(A, 16))
        await trio.sleep(1)
        reporting = await harness.client()
        await reporting.send_setup(A, ESTABLISHED_AT_S0)
        await reporting.stream.aclose()
        await trio.sleep(0.5)
        caller = await harness.client()
        await caller.send_setup(B)
        await harness.wait_until(lambda: caller.responses == [(isup.REL, A, 16), ANSWERED], 1)


@pytest.mark.parametrize("cause", [16, 41])
async def test_a_report_of_a_dialog_that_has_ended_here_is_answered_with_its_release(
    autojump_clock: MockClock, cause: int
) -> None:
    # Guards against callers that never got a release, reported the dialog, and had their connection closed
    # for it, with all open set-ups on it.
    async with running_platform_edge() as harness:
        client, server = await harness.client(), harness.servers["s0"]
        await client.send_setup(A)
        await harness.wait_until(lambda: len(client.responses) == 1)
        await server.send(server.streams[0], release_line(A, cause))
        await trio.sleep(20)
        server.answers_setups = False
        caller = await harness.client()
        await caller.send_setup(B)
        await harness.wait_until(lambda: server.received_ids("setup") == [A, B])
        await caller.send_setup(A, ESTABLISHED_AT_S0)
        await harness.wait_until(lambda: caller.responses == [(isup.REL, A, cause)], 1)
        await server.send(server.setup_streams[B], answer_line(B))
        await harness.wait_until(lambda: caller.responses == [(isup.REL, A, cause), ANSWERED], 1)
        assert server.received_ids("setup") == [A, B]


async def test_as_many_releases_are_stored_until_the_report_as_dialogs_may_have_been_open(
    autojump_clock: MockClock,
) -> None:
    # Guards against a limit of 1,000: after a kill at 190 calls a second, the calls whose releases it dropped
    # were taken for established when their callers reported them (review/8).
    ids = [f"{number:016x}" for number in range(1, 1_601)]
    async with running_platform_edge() as harness:
        client, server = await harness.client(), harness.servers["s0"]
        await server.send(server.streams[0], *(release_line(id_, 16) for id_ in ids))
        await trio.sleep(1)
        for id_ in ids:
            await client.send_setup(id_, ESTABLISHED_AT_S0)
        await harness.wait_until(lambda: len(client.responses) == len(ids), 2)
        assert sorted(client.responses) == [(isup.REL, id_, 16) for id_ in ids]


async def test_dropped_unknown_releases_are_counted(autojump_clock: MockClock) -> None:
    releases = UnknownReleases(capacity=3)
    for number in range(5):
        releases.add(f"{number:016x}", False)
    assert (len(releases), releases.dropped_count) == (3, 2)
    await trio.sleep(UNKNOWN_RELEASE_LIFETIME_S)
    releases.add(A, True)
    assert (len(releases), releases.dropped_count, releases.pop(A)) == (1, 2, True)


async def test_a_report_of_a_dialog_that_its_caller_has_released_is_answered_with_its_release(
    autojump_clock: MockClock,
) -> None:
    # The release and the report may come on two connections, in either order.
    async with running_platform_edge() as harness:
        client, other = await harness.client(), await harness.client()
        await client.send_setup(A)
        await harness.wait_until(lambda: len(client.responses) == 1)
        await client.release(A)
        await trio.sleep(0.1)
        await other.send_setup(A, ESTABLISHED_AT_S0)
        await harness.wait_until(lambda: other.responses == [(isup.REL, A, 16)], 1)
        assert not harness.edge.dialogs.entries


def test_a_death_ends_all_dialogs_though_the_wall_clock_was_set_back() -> None:
    dialogs = EstablishedDialogs(proxy_started_at=100)
    dialogs.on_server_started(200)
    dialogs.add((A, 0), 300)
    assert dialogs.on_server_died(150) == {(A, 0)}
    assert dialogs.has_server_died_since_our_start


def test_a_start_that_is_listed_again_ends_no_dialog() -> None:
    dialogs = EstablishedDialogs(proxy_started_at=100)
    dialogs.add((A, 0), 150)
    assert dialogs.on_server_started(0) == frozenset()
    assert not dialogs.has_server_died_since_our_start
    assert dialogs.on_server_started(200) == {(A, 0)}
    dialogs.add((B, 0), 190)
    assert dialogs.on_server_started(200) == frozenset()
    assert B in dialogs
