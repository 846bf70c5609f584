"""The edge proxy on the platform: established dialogs, lost connections, invalid input, the event bus."""

from __future__ import annotations

import json
import os
import signal
import socket
import subprocess
import sys
from contextlib import suppress
from itertools import pairwise
from pathlib import Path
from typing import Any

import pytest
import trio
from trio.testing import MockClock

from tests.platform_harness import (
    DESCRIPTION,
    WALL_MS,
    answer_line,
    bus_event,
    configuration,
    host_row,
    release_line,
    running_platform_edge,
)
from valverouter.config.options import MalformedInputError
from valverouter.config.platform import platform_config
from valverouter.platform_edge.link import CONNECTIONS_PER_SERVER, PlatformLink
from valverouter.platform_protocol import isup
from valverouter.scenarios.memory_network import MemoryNetwork

A, B = "a" * 16, "b" * 16
ANSWERED, RELEASED, CUT = (isup.ANM, A, -1), (isup.REL, A, 16), (isup.REL, A, 41)


async def test_a_dialog_is_established_and_released(autojump_clock: MockClock) -> None:
    async with running_platform_edge() as harness:
        client, server = await harness.client(), harness.servers["s0"]
        await client.send_setup(A)
        await harness.wait_until(lambda: client.responses == [ANSWERED])
        setup_line = server.received[0]
        assert (setup_line.sdp, setup_line.fields["class"], setup_line.fields["key"]) == (
            DESCRIPTION,
            "voice",
            "7f3a9c21e0b4d655",
        )
        assert 4_900 <= int(setup_line.fields["left"]) <= 5_000
        assert client.received[0][1].parameters[isup.DESCRIPTION] == (DESCRIPTION + A).encode()
        await server.send(server.streams[0], release_line(A, 16), release_line(A, 16))
        await harness.wait_until(lambda: client.responses == [ANSWERED, RELEASED])
        await trio.sleep(10)
        assert client.responses == [ANSWERED, RELEASED]
        assert not harness.edge.dialogs.entries
        assert client.closed_at is None


@pytest.mark.parametrize("others", [True, False])
async def test_an_established_dialog_outlives_its_callers_connection(
    autojump_clock: MockClock, others: bool
) -> None:
    # The release is sent on the connection of another caller, or of the next one: it has to send a set-up, as
    # a client without any dialog would discard the release.
    async with running_platform_edge() as harness:
        client, server = await harness.client(), harness.servers["s0"]
        await client.send_setup(A)
        await harness.wait_until(lambda: client.responses == [ANSWERED])
        other = None
        if others:
            other = await harness.client()
            await other.send_setup(B, "dest:1")
        await client.stream.aclose()
        await trio.sleep(0.5)
        await server.send(server.streams[0], release_line(A, 16))
        if other is None:
            await trio.sleep(1)
            other = await harness.client()
            await other.send_setup(B, "dest:1")
        ended, answered_b = other, (isup.ANM, B, -1)
        expected = [answered_b, RELEASED] if others else [RELEASED, answered_b]
        await harness.wait_until(lambda: ended.responses == expected, 1)
        assert not server.received_ids("release")


async def test_an_established_dialog_can_be_released_from_any_connection(autojump_clock: MockClock) -> None:
    async with running_platform_edge() as harness:
        client, server = await harness.client(), harness.servers["s0"]
        await client.send_setup(A)
        await harness.wait_until(lambda: client.responses == [ANSWERED])
        other = await harness.client()
        await other.release(A)
        await harness.wait_until(lambda: server.received_ids("release") == [A], 1)
        assert client.responses == [ANSWERED]
        assert not harness.edge.dialogs.entries


async def test_an_established_dialog_outlives_a_reset_and_is_released_on_the_next_connection(
    autojump_clock: MockClock,
) -> None:
    async with running_platform_edge() as harness:
        client, server = await harness.client(), harness.servers["s0"]
        await client.send_setup(A)
        await harness.wait_until(lambda: client.responses == [ANSWERED])
        await server.reset()
        await harness.wait_until(lambda: len(server.streams) == 2)
        await trio.sleep(6)
        assert client.responses == [ANSWERED]
        await server.send(server.streams[1], release_line(A, 16))
        await harness.wait_until(lambda: client.responses == [ANSWERED, RELEASED], 1)


async def test_a_server_that_refuses_connections_has_cut_its_dialogs(autojump_clock: MockClock) -> None:
    async with running_platform_edge() as harness:
        client, server = await harness.client(), harness.servers["s0"]
        await client.send_setup(A)
        await harness.wait_until(lambda: client.responses == [ANSWERED])
        server.scope.cancel()
        await harness.wait_until(lambda: client.responses == [ANSWERED, CUT], 8)


async def test_dialogs_of_a_silent_server_are_cut_within_the_limit(autojump_clock: MockClock) -> None:
    async with running_platform_edge() as harness:
        client, server = await harness.client(), harness.servers["s0"]
        await client.send_setup(A)
        await harness.wait_until(lambda: client.responses == [ANSWERED])
        assert isinstance(harness.network, MemoryNetwork)
        harness.network.listeners["s0:1"] = lambda stream: None
        server.send = lambda *_: trio.lowlevel.checkpoint()  # type: ignore[method-assign]
        gone_at = trio.current_time()
        await harness.wait_until(lambda: client.responses == [ANSWERED, CUT], 20)
        assert trio.current_time() - gone_at <= 8


async def test_a_server_restart_cuts_only_earlier_dialogs(autojump_clock: MockClock) -> None:
    # The new process accepts calls before the endpoint list shows the restart. The edge proxy once cut 24 of
    # these calls itself.
    async with running_platform_edge("s0") as harness:
        client = await harness.client()
        await client.send_setup(A)
        await harness.wait_until(lambda: len(client.responses) == 1)
        await trio.sleep(2)
        born = WALL_MS + round(trio.current_time() * 1_000)
        await trio.sleep(2)
        await client.send_setup(B)
        await harness.wait_until(lambda: len(client.responses) == 2)
        harness.bus.publish(host_row("s0", 0, born_ms=born))
        await harness.wait_until(lambda: len(client.responses) == 3, 2)
        await trio.sleep(3)
        assert client.responses == [ANSWERED, (isup.ANM, B, -1), CUT]


@pytest.mark.parametrize("health", ["Terminating", "Gone"])
async def test_a_draining_server_gets_no_attempt_and_keeps_an_established_dialog(
    autojump_clock: MockClock, health: str
) -> None:
    async with running_platform_edge() as harness:
        client, (s0, s1) = await harness.client(), harness.servers.values()
        await client.send_setup(A)
        await harness.wait_until(lambda: client.responses == [ANSWERED])
        harness.bus.publish(host_row("s0", 0, health))
        await trio.sleep(0.5)
        await client.send_setup(B)
        await harness.wait_until(lambda: (isup.ANM, B, -1) in client.responses)
        assert s0.received_ids("setup") == [A]
        assert s1.received_ids("setup") == [B]
        assert (CUT in client.responses) is (health == "Gone")
        assert bool(s0.streams) is (health != "Gone")


async def test_a_server_that_is_gone_and_back_in_one_batch_of_events_is_used(
    autojump_clock: MockClock,
) -> None:
    # Guards against a link that was put in service again while it was closing: it ended, and its server got
    # no set-up until the next event about it.
    async with running_platform_edge("s0") as harness:
        client, server = await harness.client(), harness.servers["s0"]
        await client.send_setup(A)
        await harness.wait_until(lambda: client.responses == [ANSWERED])
        batch = [bus_event(2, [host_row("s0", 0, "Gone")]), bus_event(3, [host_row("s0", 0)])]
        harness.edge.source.apply_events(json.dumps({"offset": 3, "batch": batch}).encode())
        await harness.wait_until(lambda: client.responses == [ANSWERED, CUT], 1)
        await trio.sleep(20)
        await client.send_setup(B)
        await harness.wait_until(lambda: (isup.ANM, B, -1) in client.responses, 1)
        assert server.received_ids("setup") == [A, B]


async def test_a_cancelled_set_up_gets_no_answer(autojump_clock: MockClock) -> None:
    async with running_platform_edge() as harness:
        client, server = await harness.client(), harness.servers["s0"]
        server.answers_setups = False
        await client.send_setup(A)
        await harness.wait_until(lambda: server.received_ids("setup") == [A])
        await client.release(A)
        await harness.wait_until(lambda: server.received_ids("release") == [A], 1)
        await server.send(server.setup_streams[A], answer_line(A))
        await trio.sleep(10)
        assert not client.responses
        assert not harness.edge.dialogs.entries
        assert not any(link.attempts for link in harness.edge.links.by_server.values())


async def test_an_unanswered_dialog_fails_within_its_time_limit(autojump_clock: MockClock) -> None:
    async with running_platform_edge("s0") as harness:
        client, server = await harness.client(), harness.servers["s0"]
        server.answers_setups = False
        started_at = trio.current_time()
        await client.send_setup(A, time_left_ms=1_000)
        await harness.wait_until(lambda: bool(client.responses))
        assert client.responses == [CUT]
        assert 0.9 < client.received[0][0] - started_at <= 1.0
        assert server.received_ids("release") == [A]


async def test_a_set_up_that_its_server_ends_before_its_answer_fails_and_is_not_attempted_again(
    autojump_clock: MockClock,
) -> None:
    # Guards against a second run of a dialog whose answer comes late: its release counted as a reset, and its
    # caller was told of the second run only (review/1).
    async with running_platform_edge() as harness:
        client, (s0, s1) = await harness.client(), harness.servers.values()
        s0.answers_setups = False
        await client.send_setup(A)
        await harness.wait_until(lambda: s0.received_ids("setup") == [A])
        await trio.sleep(1.2)
        await s0.send(s0.setup_streams[A], release_line(A, 16))
        await harness.wait_until(lambda: client.responses == [CUT], 1)
        await s0.send(s0.setup_streams[A], answer_line(A))
        await trio.sleep(10)
        assert client.responses == [CUT]
        assert (s0.received_ids("setup"), s1.received_ids("setup")) == ([A], [])
        assert not harness.edge.dialogs.entries
        assert not any(link.attempts for link in harness.edge.links.by_server.values())
        policy = harness.edge.context.driver.policy
        assert not policy.table.servers["s0"].in_flight
        assert not policy.table.servers["s0"].consecutive_failures


@pytest.mark.parametrize(("stall_s", "is_answered"), [(1.3, True), (1.7, False)])
@pytest.mark.parametrize("has_server_answered", [True, False])
async def test_a_dialog_whose_time_ends_during_a_stall_is_failed_if_that_is_soon_enough(
    autojump_clock: MockClock, has_server_answered: bool, stall_s: float, is_answered: bool
) -> None:
    # Guards against dialogs that got no final answer: the page counts one up to half a second late as
    # answered, and none as lost (review/3).
    async with running_platform_edge("s0") as harness:
        client, server = await harness.client(), harness.servers["s0"]
        server.answers_setups = False
        await client.send_setup(A, time_left_ms=1_000)
        await harness.wait_until(lambda: server.received_ids("setup") == [A])
        harness.nursery.start_soon(harness.edge.context.runtime.stall, round(stall_s * 1e9))  # type: ignore[attr-defined]
        await trio.sleep(0.05)
        if has_server_answered:
            await server.send(server.setup_streams[A], answer_line(A))
        await trio.sleep(stall_s + 2)
        assert client.responses == ([CUT] if is_answered else [])
        assert server.received_ids("release") == [A]
        assert not harness.edge.dialogs.entries


@pytest.mark.parametrize(
    "malformed", [b"\xff\xfe\x00\n", b'{"type":"answer","id":"' + b"9" * 20_000, b"[1]\n", b""]
)
async def test_a_malformed_answer_counts_as_an_attempt_that_ran(
    autojump_clock: MockClock, malformed: bytes
) -> None:
    async with running_platform_edge() as harness:
        client, (s0, s1) = await harness.client(), harness.servers.values()
        s0.answers_setups = False
        await client.send_setup(A)
        await harness.wait_until(lambda: s0.received_ids("setup") == [A])
        broken_at = trio.current_time()
        stream = s0.setup_streams[A]
        await (stream.send_all(malformed) if malformed else stream.aclose())
        await harness.wait_until(lambda: ANSWERED in client.responses)
        # The next attempt waits for the release delay. The first server gets a release, since its answer may
        # have established the dialog there.
        assert trio.current_time() - broken_at >= 0.3
        assert s1.received_ids("setup") == [A]
        assert s0.received_ids("release") == [A]


async def test_an_exception_in_handling_a_servers_message_closes_its_connection_like_a_protocol_error(
    autojump_clock: MockClock, monkeypatch: pytest.MonkeyPatch
) -> None:
    # Guards against connections that ended by an exception and stayed in use: set-ups and releases sent on
    # them were lost.
    async with running_platform_edge() as harness:
        client, server = await harness.client(), harness.servers["s0"]
        server.answers_setups = False
        await client.send_setup(A)
        await harness.wait_until(lambda: server.received_ids("setup") == [A])
        link = harness.edge.links.by_server["s0"]
        with monkeypatch.context() as patch:
            patch.setattr(link, "_on_message", lambda connection, message: 1 / 0)
            await server.send(server.setup_streams[A], {"type": "news", "id": B})
            await trio.sleep(0.01)
        await harness.wait_until(lambda: client.responses == [ANSWERED], 2)
        assert isinstance(link, PlatformLink)
        assert len(link._connections) == CONNECTIONS_PER_SERVER == len(server.streams)


async def test_duplicate_and_unrelated_lines_are_ignored(autojump_clock: MockClock) -> None:
    async with running_platform_edge() as harness:
        client, server = await harness.client(), harness.servers["s0"]
        server.answers_setups = False
        await client.send_setup(A)
        await harness.wait_until(lambda: server.received_ids("setup") == [A])
        connection_count = len(server.streams)
        await server.send(
            server.setup_streams[A], answer_line(B), answer_line(A), answer_line(A), {"type": "news", "id": A}
        )
        await trio.sleep(3)
        assert client.responses == [ANSWERED]
        assert len(server.streams) == connection_count


async def test_reusing_an_open_id_does_not_affect_the_first_dialog(autojump_clock: MockClock) -> None:
    async with running_platform_edge() as harness:
        client, server = await harness.client(), harness.servers["s0"]
        server.answers_setups = False
        await client.send_setup(A)
        await harness.wait_until(lambda: server.received_ids("setup") == [A])
        bad = await harness.client()
        await bad.release(A)
        await bad.send_setup(A)
        await harness.wait_until(lambda: bad.closed_at is not None, 3)
        await server.send(server.setup_streams[A], answer_line(A))
        await harness.wait_until(lambda: client.responses == [ANSWERED], 1)
        assert server.received_ids("setup") == [A]
        assert not bad.responses


async def test_an_answered_id_starts_no_new_dialog(autojump_clock: MockClock) -> None:
    # A caller repeated a set-up four hundred times, once after each rejection, and each started a dialog.
    async with running_platform_edge() as harness:
        server = harness.servers["s0"]
        server.answers_setups = False
        for _ in range(3):
            bad = await harness.client()
            with suppress(trio.BrokenResourceError):
                for _ in range(50):
                    await bad.send_setup(A, time_left_ms=200)
            await harness.wait_until(lambda: bad.closed_at is not None, 3)  # noqa: B023
        assert server.received_ids("setup") == [A]


async def test_set_ups_cancelled_at_once_do_not_eject_a_server(autojump_clock: MockClock) -> None:
    async with running_platform_edge("s0") as harness:
        bad, server = await harness.client(), harness.servers["s0"]
        parameters = {129: b"voice", 131: b"900", 137: b"0" * 16, 139: b"dest:0", 159: b"v=0"}
        for at in range(1, 30):
            id_ = f"{at:016x}"
            await bad.stream.send_all(isup.encode(isup.IAM, id_, parameters) + isup.encode_release(id_, 16))
        await trio.sleep(0.05)
        client = await harness.client()
        await client.send_setup(A)
        await harness.wait_until(lambda: client.responses == [ANSWERED], 1)
        assert set(server.received_ids("setup")) == {A}
        assert not harness.edge.context.driver.policy.table.servers["s0"].consecutive_failures


@pytest.mark.parametrize(
    "sent",
    [
        b"",
        b"\x00",
        isup.encode(isup.IAM, A)[:7],
        isup.encode_release(A, 16),
        isup.encode(isup.IAM, A, {129: b"nothing"}),
        b"\xff\xff" + b"x" * 900,
        b"GET / HTTP/1.1\r\n\r\n",
    ],
)
async def test_without_a_valid_request_a_connection_is_rejected_or_closed_within_three_seconds(
    autojump_clock: MockClock, sent: bytes
) -> None:
    async with running_platform_edge() as harness:
        client, good = await harness.client(), await harness.client()
        await good.send_setup(A)
        if sent:
            await client.stream.send_all(sent)
        await harness.wait_until(lambda: client.closed_at is not None or bool(client.responses), 3)
        await trio.sleep(60)
        assert good.closed_at is None
        assert client.closed_at is not None


async def test_a_connection_with_an_unread_set_up_is_not_evicted(autojump_clock: MockClock) -> None:
    async with running_platform_edge() as harness:
        idle, asking = await harness.client(), await harness.client()
        for client, id_ in ((idle, A), (asking, B)):
            await client.send_setup(id_)
            await harness.wait_until(lambda: bool(client.responses))  # noqa: B023
            await client.release(id_)
        await idle.send_setup("c" * 16, time_left_ms=300)
        await idle.release("c" * 16)
        await trio.sleep(0.1)
        harness.nursery.start_soon(harness.edge.context.runtime.stall, 10**8)  # type: ignore[attr-defined]
        await asking.send_setup("d" * 16)
        await trio.sleep(0.05)
        for _ in range(3):  # the event loop has not handled the set-up yet
            await harness.edge.listener.refuse(await harness.network.connect("s1:1"))
        await harness.wait_until(lambda: (isup.ANM, "d" * 16, -1) in asking.responses, 2)
        assert idle.closed_at is not None
        assert asking.closed_at is None


async def test_a_test_request_is_answered(autojump_clock: MockClock) -> None:
    async with running_platform_edge() as harness:
        client = await harness.client()
        await client.stream.send_all(isup.encode(isup.TEST, A, {isup.CAUSE: b"\0"}))
        await harness.wait_until(lambda: client.responses == [(isup.TESTED, A, 1)], 1)


async def test_a_dialog_established_before_the_start_can_be_reported_and_released(
    autojump_clock: MockClock,
) -> None:
    async with running_platform_edge() as harness:
        client, server = await harness.client(), harness.servers["s0"]
        await client.send_setup(A, "dest:0;width:1;at:s0")
        await client.send_setup(A, "dest:0;width:1;at:s0")
        await trio.sleep(0.5)
        assert not client.responses
        assert not server.received_ids("setup")
        await server.send(server.streams[0], release_line(A, 16))
        await harness.wait_until(lambda: client.responses == [RELEASED], 1)


@pytest.mark.parametrize(
    ("server", "is_released_early", "expected"), [("s0", True, RELEASED), ("s9", False, CUT)]
)
async def test_a_dialog_that_ended_before_its_report_is_released_at_once(
    autojump_clock: MockClock, server: str, is_released_early: bool, expected: Any
) -> None:
    async with running_platform_edge() as harness:
        client, s0 = await harness.client(), harness.servers["s0"]
        if is_released_early:
            await s0.send(s0.streams[0], release_line(A, 16))
            await trio.sleep(1)
        await client.send_setup(A, f"dest:0;width:1;at:{server}")
        await harness.wait_until(lambda: client.responses == [expected], 1)


async def test_a_silent_bus_is_polled_again_and_offsets_continue_at_a_new_address(
    autojump_clock: MockClock,
) -> None:
    async with running_platform_edge() as harness:
        harness.bus.publish(host_row("s1", 1, "Terminating"))
        await trio.sleep(0.5)
        harness.bus.silent = True
        await trio.sleep(10)
        polls = harness.bus.polls
        assert max(b[0] - a[0] for a, b in pairwise(polls)) <= 3
        assert polls[-1][1] == 2
        harness.bus.silent = False
        await harness.nursery.start(harness.network.serve, "bus:2", harness.bus.serve)
        before = len(polls)
        harness.config["bus"] = "bus:2"
        harness.edge.reconfigure(harness.platform())
        harness.bus.publish(host_row("s1", 1, "Gone"))
        await harness.wait_until(lambda: "s1" not in harness.edge.links.by_server, 2)
        assert [number for _, number in polls[before:]][:1] == [2]


@pytest.mark.parametrize("delay_s", [0.6, 1.5, 3.0])
async def test_events_of_a_slow_bus_are_applied_though_each_response_is_late(
    autojump_clock: MockClock, delay_s: float
) -> None:
    # Guards against polls that were given up with their response on its way, again and again: set-ups went to
    # a draining server meanwhile.
    async with running_platform_edge() as harness:
        harness.bus.response_delay_s = delay_s
        link = harness.edge.links.by_server["s0"]
        for number in range(12):
            await trio.sleep(2.9)
            is_draining = number % 2 == 0
            harness.bus.publish(host_row("s0", 0, "Terminating" if is_draining else "Ready"))
            await harness.wait_until(lambda: link.in_service is not is_draining, delay_s + 1)  # noqa: B023


@pytest.mark.parametrize(
    ("change", "named"),
    [
        ({"seed": "x"}, "seed"),
        ({"listen": "here"}, "listen"),
        ({"bus": 4}, "bus"),
        ({"settings": None}, "settings"),
        ({"settings": {"categories": []}}, "nInstances"),
        ({"name": None}, "name"),
    ],
)
def test_an_unusable_configuration_is_rejected_with_the_name_of_the_field(
    change: dict[str, Any], named: str
) -> None:
    config = {key: value for key, value in (configuration([]) | change).items() if value is not None}
    with pytest.raises(MalformedInputError, match=named):
        platform_config(json.dumps(config).encode())


def test_a_deeply_nested_configuration_is_rejected() -> None:
    nested = json.dumps(configuration([])).encode()[:-1] + b',"new":' + b"[" * 5_000 + b"]" * 5_000 + b"}"
    with pytest.raises(MalformedInputError):
        platform_config(nested)


@pytest.mark.parametrize("module", ["valverouter.platform_edge", "valverouter.relayedge"])
def test_the_process_on_loopback(tmp_path: Path, module: str) -> None:
    with socket.socket() as free:
        free.bind(("127.0.0.1", 0))
        listen = f"127.0.0.1:{free.getsockname()[1]}"
    path = tmp_path / "config.json"
    environment = os.environ | {"RELAY_CONFIG": str(path)}
    command = [sys.executable, "-m", module]
    missing = subprocess.run(
        command, env=environment, capture_output=True, text=True, timeout=30, check=False
    )
    assert missing.returncode == 2
    assert len(missing.stderr.splitlines()) == 1
    path.write_text(json.dumps(configuration([], listen, "127.0.0.1:1")))
    with subprocess.Popen(command, env=environment, stderr=subprocess.PIPE, text=True) as process:
        assert process.stderr is not None
        try:
            while "listening" not in process.stderr.readline():
                assert process.poll() is None
            path.write_text("{")
            process.send_signal(signal.SIGHUP)
            path.write_text(json.dumps(configuration([], listen, "127.0.0.1:2")))
            while "configuration-reloaded" not in process.stderr.readline():
                assert process.poll() is None
            host_, port = listen.split(":")
            with socket.create_connection((host_, int(port)), timeout=10) as caller:
                caller.sendall(isup.encode(isup.TEST, A, {isup.CAUSE: b"\0"}))
                assert caller.recv(100) == isup.encode(isup.TESTED, A, {isup.CAUSE: b"\1"})
                process.send_signal(signal.SIGTERM)
                # Requests are accepted for some time after SIGTERM: this one is rejected, not lost.
                caller.sendall(
                    isup.encode(
                        isup.IAM, B, {129: b"voice", 131: b"900", 137: b"0" * 16, 139: b"dest:0", 159: b"v=0"}
                    )
                )
                (release,) = isup.MessageReader().feed(caller.recv(100))
                assert (release.type, release.id, release.cause) == (isup.REL, B, 42)
                assert int(release.parameters[isup.RETRY_AFTER]) > 0
            assert process.wait(20) == 0
        finally:
            if process.poll() is None:
                process.kill()
