"""Races, failures and overload of the edge proxy, caused by scripted peers in virtual time."""

from __future__ import annotations

import socket
from typing import Any

import msgspec
import pytest
import trio
from structlog.testing import capture_logs
from trio.testing import MockClock

from tests.edge_harness import INI, MS, SECOND, EdgeHarness, dial, parse_config, running_edge
from valverouter.edge.proxy import EdgeProxy
from valverouter.edge.send_queue import SendBatch, SendQueue
from valverouter.edge.sockets import PlainSocketStream, SocketRuntime, split_address
from valverouter.interface import DialogAction, StartAttempt
from valverouter.policy.routing import RoutingPolicy
from valverouter.scenarios.memory_network import STREAM_BUFFER_SIZE
from valverouter.signalling import setup
from valverouter.signalling.framing import FrameReader, ProtocolError, encode_frame
from valverouter.signalling.greeting import Hello, NotUnderstood
from valverouter.signalling.setup import (
    Cancel,
    Cancelled,
    Ended,
    Established,
    Failed,
    Full,
    Provisional,
    Rejected,
    Release,
    Setup,
)

FINAL_ANSWERS = (Established, Rejected, Failed)


def final_answers(peer: Any) -> list[Any]:
    return [message for _, message in peer.received if isinstance(message, FINAL_ANSWERS)]


async def test_a_dialog_from_setup_to_release(autojump_clock: MockClock) -> None:
    async with running_edge() as rig:
        caller = await rig.caller()
        await caller.send(dial())
        request = await rig.servers["s0"].link.next(Setup)
        assert (request.dialog, request.leg, request.traffic_type) == ("d1", 0, "plain")
        assert 8 * SECOND < request.time_left <= 9 * SECOND
        await rig.servers["s0"].link.send(Provisional("d1"), Established("d1"))
        assert (await caller.next(Established)).server == "s0"
        await caller.send(Release("d1"))
        assert await rig.servers["s0"].link.next(Release)
        await rig.servers["s0"].link.send(Ended("d1", reason="released"))
        assert (await caller.next(Ended)).reason == "released"
        assert rig.edge.open_dialogs == rig.edge.established_dialogs == 0


async def test_a_release_after_a_cancel_does_not_end_other_dialogs_of_the_connection(
    autojump_clock: MockClock,
) -> None:
    """Guards against a Release after a Cancel that ends the connection and cuts its 20 established dialogs.

    The caller's session sent the Release although the set-up was only cancelled. The session now refuses to
    send it; a caller that sends it without a session still violates the protocol.
    """
    async with running_edge() as rig:
        caller, server = await rig.caller(), rig.servers["s0"].link
        for number in range(20):
            await caller.send(dial(f"d{number}"))
            await server.next(Setup)
            await server.send(Established(f"d{number}"))
            await caller.next(Established)
        await caller.send(dial("given-up"))
        await server.next(Setup)
        await caller.send(Cancel("given-up"))
        with pytest.raises(ProtocolError, match="does not stand"):
            await caller.send(Release("given-up"))
        assert (await caller.next(Failed)).reason == "cancelled"
        assert caller.ended is None
        assert rig.edge.established_dialogs == 20
        await caller.send(dial("d20"))
        await caller.stream.send_all(encode_frame(Cancel("d20")) + encode_frame(Release("d20")))
        await trio.sleep(1)
        assert caller.error is not None
        assert caller.error.code == "peer:out-of-state"
        assert caller.ended is not None
        assert rig.edge.established_dialogs == 0


@pytest.mark.parametrize("answers", [[], [Provisional("d1")], [Provisional("d1"), Established("d1")]])
async def test_a_server_connection_lost_during_an_attempt(
    autojump_clock: MockClock, answers: list[Any]
) -> None:
    async with running_edge() as rig:
        caller = await rig.caller()
        await caller.send(dial())
        link = rig.servers["s0"].link
        await link.next(Setup)
        if answers:
            await link.send(*answers)
        lost_at = trio.current_time()
        await link.close()
        if Established("d1") in answers:
            assert await caller.next(Established)
            assert (await caller.next(Ended)).reason == "cut"
            return
        retry = await rig.servers["s1"].link.next(Setup)
        assert retry.leg == 1
        assert rig.servers["s1"].link.at(Setup) >= lost_at + 0.3, "the release delay counts from the reset"
        await rig.servers["s1"].link.send(Established("d1", 1))
        await caller.next(Established)
        assert len(final_answers(caller)) == 1


@pytest.mark.parametrize(
    ("late_ns", "allowed"), [(-MS, [Established]), (0, [Established, Failed]), (50 * MS, [Failed])]
)
async def test_established_at_the_deadline(
    autojump_clock: MockClock, late_ns: int, allowed: list[type]
) -> None:
    # The driver's deadline is 50 ms, the answer margin, before the caller's. At that very instant either
    # answer may come first; the first is the only one, and after a Failed the leg is cancelled.
    async with running_edge() as rig:
        caller = await rig.caller()
        sent_at = trio.current_time()
        await caller.send(dial(no_answer=2 * SECOND))
        link = rig.servers["s0"].link
        await link.next(Setup)
        await trio.sleep_until(sent_at + 1.95 + late_ns / 1e9)
        await link.send(Established("d1"))
        await trio.sleep(1)
        (answer,) = final_answers(caller)
        assert type(answer) in allowed
        assert caller.at(type(answer)) < sent_at + 2
        assert bool(link.all(Cancel)) == isinstance(answer, Failed)


async def test_a_cancel_that_crosses_established(autojump_clock: MockClock) -> None:
    async with running_edge() as rig:
        caller = await rig.caller()
        await caller.send(dial())
        link = rig.servers["s0"].link
        await link.next(Setup)
        await caller.send(Cancel("d1"))
        await link.send(Established("d1"))
        await trio.sleep(0.01)
        assert await link.next(Cancel)
        await link.send(Ended("d1", reason="released"))
        await trio.sleep(0.1)
        kinds = [type(message) for message in final_answers(caller)]
        assert kinds in ([Failed], [Established])
        assert rig.edge.open_dialogs == 0
        assert link.ended is None


@pytest.mark.parametrize("when", ["before", "during", "established"])
async def test_a_caller_that_disconnects(autojump_clock: MockClock, when: str) -> None:
    async with running_edge() as rig:
        caller = await rig.caller()
        link = rig.servers["s0"].link
        if when == "before":
            await rig.runtime.connect("edge:1")  # a connection that never says hello
            await caller.send(dial())
            await caller.close()
            await trio.sleep(0.1)
            assert len(link.all(Setup)) == len(link.all(Cancel)) <= 1
        else:
            await caller.send(dial())
            await link.next(Setup)
            if when == "established":
                await link.send(Established("d1"))
                await caller.next(Established)
            if when == "established":
                await caller.send(Release("d1"))
                await trio.sleep(0.01)
            await caller.close()
            assert await link.next(Release if when == "established" else Cancel)
            await trio.sleep(0.1)
            assert len(link.all(Release)) == (when == "established"), "released once"
        await trio.sleep(1)
        assert rig.edge.open_dialogs == rig.edge.established_dialogs == 0
        assert not any(
            server_state.in_flight for server_state in rig.edge.context.driver.policy.table.servers.values()
        )


async def test_an_answer_to_an_ended_attempt_closes_only_that_connection(autojump_clock: MockClock) -> None:
    async with running_edge() as rig:
        caller = await rig.caller()
        await caller.send(dial())
        link = rig.servers["s0"].link
        await link.next(Setup)
        await link.send(Full("d1"))
        assert isinstance(link.session, setup.SetupSession)
        link.session.legs["d1", 0] = setup.LegPhase.OPEN  # a server that lost track of its legs
        await link.send(Established("d1"))
        retry = await rig.servers["s1"].link.next(Setup)
        await rig.servers["s1"].link.send(Established("d1", retry.leg))
        await caller.next(Established)
        assert len(final_answers(caller)) == 1
        assert rig.servers["s1"].link.ended is None
        await trio.sleep(5)
        assert link.ended is not None, "the link reconnected"
        assert len(rig.servers["s0"].links) == 2, "the link reconnected"


async def test_a_late_established_after_a_cancel_is_ignored(autojump_clock: MockClock) -> None:
    # The leg was overtaken and cancelled; its Established arrives during the dialog's release delay.
    async with running_edge() as rig:
        caller = await rig.caller()
        link, other = rig.servers["s0"].link, rig.servers["s1"].link
        await caller.send(dial("d1"))
        await trio.sleep(0.2)
        await caller.send(dial("d2"))
        await trio.sleep(0.05)
        await link.send(Established("d2"))
        assert (await link.next(Cancel)).dialog == "d1"
        await link.send(Established("d1"))
        await link.send(Ended("d1", reason="released"))
        retry = await other.next(Setup)
        assert (retry.dialog, retry.leg) == ("d1", 1)
        assert other.at(Setup) >= link.at(Cancel) + 0.3
        assert [message.dialog for message in final_answers(caller)] == ["d2"]
        await other.send(Established("d1", 1))
        await trio.sleep(0.01)
        assert [message.dialog for message in final_answers(caller)] == ["d2", "d1"]


async def test_a_restarted_server_is_in_slow_start_before_the_list_reports_it(
    autojump_clock: MockClock,
) -> None:
    async with running_edge(1) as rig:
        server = rig.servers["s0"]
        server_state = rig.edge.context.driver.policy.table.servers["s0"]
        assert (
            rig.edge.context.driver.policy.table.slow_start.fraction(
                server_state, rig.edge.context.driver.policy.now
            )
            == 1.0
        )
        server.incarnation, server.age = 2, 100 * MS
        await server.link.close()
        await trio.sleep(3)
        assert len(server.links) == 2
        server_state = rig.edge.context.driver.policy.table.servers["s0"]
        fraction = rig.edge.context.driver.policy.table.slow_start.fraction(
            server_state, rig.edge.context.driver.policy.now
        )
        assert 0.35 < fraction < 0.6
        # The list's late update about that restart starts no second slow start.
        await rig.publish(server.row())
        assert rig.edge.context.driver.policy.table.servers["s0"] is server_state


async def test_an_attempt_in_the_send_queue_is_not_sent_once_its_server_drains(
    autojump_clock: MockClock,
) -> None:
    async with running_edge() as rig:
        caller = await rig.caller()
        link = rig.edge.links.by_server["s0"]
        server = rig.servers["s0"]
        assert link._send_queue is not None
        send_queue = link._send_queue
        wakeup, send_queue._writer_wakeup = send_queue._writer_wakeup, trio.Event()  # the writer is not woken
        await caller.send(dial())
        await trio.sleep(0.01)
        assert send_queue.is_queued(("d1", 0))
        assert not server.link.all(Setup)
        await rig.publish(server.row("draining"))
        assert wakeup is not None
        wakeup.set()
        retry = await rig.servers["s1"].link.next(Setup)
        assert retry.leg == 1
        assert not server.link.all(Setup)
        await rig.servers["s1"].link.send(Established("d1", 1))
        await caller.next(Established)


async def test_a_partly_written_attempt_to_a_draining_server_closes_the_link(
    autojump_clock: MockClock,
) -> None:
    async with running_edge() as rig:
        caller = await rig.caller()
        server, link = rig.servers["s0"], rig.edge.links.by_server["s0"]
        server.stop_reading()
        assert link._send_queue is not None
        # More than the stream's buffer holds, so the writer blocks.
        link._send_queue.put(bytes(3 * STREAM_BUFFER_SIZE), key="filler")
        await caller.send(dial())
        await trio.sleep(0.01)
        assert link.is_partly_sent("filler")  # type: ignore[arg-type]
        assert link._send_queue.is_queued(("d1", 0))
        link.attempts["d0", 0] = False
        link._send_queue.in_flight = {**link._send_queue.in_flight, ("d0", 0): (b"", None)}
        former = server.link
        await rig.publish(server.row("draining"))
        assert (await rig.servers["s1"].link.next(Setup)).dialog == "d1"
        assert rig.edge.links.by_server.get("s0") is None
        assert not former.all(Setup)


async def test_an_answer_is_sent_in_time_though_a_link_write_blocks(autojump_clock: MockClock) -> None:
    async with running_edge(1) as rig:
        caller = await rig.caller()
        link = rig.edge.links.by_server["s0"]
        assert link._send_queue is not None
        rig.servers["s0"].stop_reading()
        await caller.send(dial("warm", no_answer=2 * SECOND))
        await trio.sleep(0.01)
        link._send_queue.put(bytes(3 * STREAM_BUFFER_SIZE))
        sent_at = trio.current_time()
        await caller.send(dial(no_answer=2 * SECOND))
        await trio.sleep(3)
        answers = {m.dialog: at for at, m in caller.received if isinstance(m, FINAL_ANSWERS)}
        assert set(answers) == {"warm", "d1"}
        assert answers["d1"] < sent_at + 2


async def test_all_servers_lost_at_once(autojump_clock: MockClock) -> None:
    async with running_edge(3) as rig:
        caller = await rig.caller()
        for number in range(3):
            await caller.send(dial(f"d{number}", first=number))
        await trio.sleep(0.01)
        for server in rig.servers.values():
            server.scope.cancel()
        lost_at = trio.current_time()
        await trio.sleep(10)
        assert sorted(message.dialog for message in final_answers(caller)) == ["d0", "d1", "d2"]
        assert all(isinstance(message, Rejected) and message.retry_after for message in final_answers(caller))
        await caller.send(dial("d9"))
        answer = await caller.next(Rejected)
        assert answer.dialog in ("d0", "d1", "d2", "d9")
        assert trio.current_time() > lost_at


async def test_a_set_up_received_during_a_stall_gets_at_most_its_callers_remaining_time(
    autojump_clock: MockClock,
) -> None:
    """Guards against an Established sent after the caller's deadline.

    It came about when the time was counted from the end of a stall. Found by runs with random stalls.
    """
    async with running_edge(1) as rig:
        caller = await rig.caller()
        rig.nursery.start_soon(rig.runtime.stall, 3 * SECOND)
        await trio.sleep(0.5)
        await caller.send(dial(no_answer=5 * SECOND))
        request = await rig.servers["s0"].link.next(setup.Setup)
        assert request.time_left <= 2 * SECOND, "it may have arrived when the stall began"
        await trio.sleep(5)
        await caller.send(dial("d2", no_answer=5 * SECOND))
        request = await rig.servers["s0"].link.next(setup.Setup)
        assert request.time_left > 4 * SECOND, "a set-up after the stall has its full time"


async def test_list_updates_are_handled_before_sending_after_a_stall(autojump_clock: MockClock) -> None:
    async with running_edge() as rig:
        caller = await rig.caller()
        rig.nursery.start_soon(rig.runtime.stall, 3 * SECOND)
        await trio.sleep(0.2)
        await caller.send(dial("short", no_answer=1 * SECOND), dial("long", no_answer=9 * SECOND))
        assert rig.list is not None
        await rig.list.send(rig.registry.change([rig.servers["s0"].row("draining")]))
        await trio.sleep(4)
        assert not rig.servers["s0"].link.all(Setup)
        assert rig.edge.counters.stalls == 1
        assert rig.servers["s1"].link.all(Setup)[-1].dialog == "long"


async def test_an_answer_after_the_callers_deadline_is_withheld(autojump_clock: MockClock) -> None:
    async with running_edge() as rig:
        caller = await rig.caller()
        await caller.send(dial(no_answer=1 * SECOND))
        await rig.servers["s0"].link.next(Setup)
        rig.nursery.start_soon(rig.runtime.stall, 3 * SECOND)
        await trio.sleep(0.5)
        await rig.servers["s0"].link.send(Established("d1"))
        await trio.sleep(4)
        assert final_answers(caller) == []
        assert rig.edge.counters.withheld == 1
        assert await rig.servers["s0"].link.next(Release)
        assert rig.edge.open_dialogs == rig.edge.established_dialogs == 0


async def test_an_exception_in_the_driver_ends_only_that_dialog(
    autojump_clock: MockClock, monkeypatch: pytest.MonkeyPatch
) -> None:
    original = RoutingPolicy.dialog_flow

    def faulty(self: RoutingPolicy, dialog: Any) -> Any:
        if dialog.id.startswith("odd"):
            raise ZeroDivisionError("odd")
        return original(self, dialog)

    monkeypatch.setattr(RoutingPolicy, "dialog_flow", faulty)
    with capture_logs() as logged:
        async with running_edge() as rig:
            caller = await rig.caller()
            await caller.send(dial("odd1"), dial("odd2"), dial("d1"), dial("odd3"))
            await rig.servers["s0"].link.next(Setup)
            await rig.servers["s0"].link.send(Established("d1"))
            await trio.sleep(0.01)
            assert {m.dialog: type(m) for m in final_answers(caller)} == {
                "odd1": Failed,
                "odd2": Failed,
                "odd3": Failed,
                "d1": Established,
            }
            assert rig.edge.counters.failures == 3
            assert rig.edge.context._repeated_failures == 2
    failed = [entry for entry in logged if entry["event"] == "decision-failed"]
    assert [(entry["dialog"], entry["again"]) for entry in failed] == [("odd1", 0), ("odd2", 1), ("odd3", 2)]


async def test_a_second_attempt_requested_while_one_is_in_flight_is_never_sent(
    autojump_clock: MockClock,
) -> None:
    async with running_edge() as rig:
        caller = await rig.caller()
        await caller.send(dial())
        await rig.servers["s0"].link.next(Setup)
        rig.edge.context.driver.commands.append(DialogAction("d1", StartAttempt("s1", 10**19)))
        await trio.sleep(0.2)
        assert not rig.servers["s1"].link.all(Setup)
        assert [type(message) for message in final_answers(caller)] == [Failed]


@pytest.mark.parametrize("kill_at", [0.2, 1.0])
async def test_a_restarted_edge_proxy_uses_its_cached_list(autojump_clock: MockClock, kill_at: float) -> None:
    async with running_edge() as rig:
        await rig.publish(rig.servers["s0"].row("draining"))
        await trio.sleep(kill_at)
        assert rig.list is not None
        rig.network.listeners.pop("list:1")
        await rig.restart()
        await trio.sleep(0.1)
        assert set(rig.edge.context.driver.policy.table.servers) == {"s1"}, (
            "a draining server is not used after a restart"
        )
        caller = await rig.caller()
        await caller.send(dial())
        assert await rig.servers["s1"].link.next(Setup)
        rig.network.listeners["list:1"] = lambda stream: None


async def test_list_gaps_are_closed_and_draining_servers_removed_at_once(autojump_clock: MockClock) -> None:
    async with running_edge(3) as rig:
        rig.registry.change([rig.servers["s1"].row("gone")])  # this update is lost
        change = rig.registry.change([rig.servers["s2"].row("draining")])
        assert rig.list is not None
        await rig.list.send(change)
        await trio.sleep(0.05)
        servers = rig.edge.context.driver.policy.table.servers
        assert set(servers) == {"s0"}, "a snapshot closes the gap; s2 is removed at once"
        assert rig.edge.source.replica.gap_count == 1


async def test_contradictory_list_updates_are_applied_in_order(autojump_clock: MockClock) -> None:
    async with running_edge() as rig:
        s0 = rig.servers["s0"]
        await rig.publish(s0.row("draining"))
        await rig.publish(s0.row("in-service"))
        caller = await rig.caller()
        await caller.send(dial())
        assert await s0.link.next(Setup)
        await rig.publish(s0.row("gone"))
        await caller.send(dial("d2"))
        assert (await rig.servers["s1"].link.next(Setup)).dialog == "d2"


HELLO = encode_frame(Hello((1, 1), "caller", "bad"))
SETUP = encode_frame(dial("bad"))
BAD = [
    (b"\x00\x00\x00\x05hello", "malformed"),
    (b"\xff\xff\xff\xff", "too-large"),
    (SETUP, "out-of-state"),
    (encode_frame(Hello((7, 9), "caller", "bad")), "version"),
    (HELLO + HELLO, "out-of-state"),
    (HELLO + encode_frame(Established("bad")), "out-of-state"),
    (HELLO + SETUP + SETUP, "out-of-state"),
    (HELLO + SETUP + encode_frame(Release("bad")), "out-of-state"),
    (HELLO + encode_frame(dial("d1")), "out-of-state"),
    (HELLO + SETUP.replace(b"no_answer", b"no_answar"), "malformed"),
]


@pytest.mark.parametrize(("data", "code"), BAD)
async def test_bad_input_gets_one_error_and_closes_only_that_connection(
    autojump_clock: MockClock, data: bytes, code: str
) -> None:
    async with running_edge() as rig:
        good = await rig.caller("good")
        await good.send(dial())
        link = rig.servers["s0"].link
        await link.next(Setup)
        stream = await rig.network.connect("edge:1")
        await stream.send_all(data)
        messages: list[Any] = []
        with trio.fail_after(1):
            reader = FrameReader()
            while chunk := await stream.receive_some():
                messages += [msgspec.msgpack.decode(body) for body in reader.feed(chunk)]
        assert [message["code"] for message in messages if message["t"] == "error"] == [code]
        await link.send(Established("d1"))
        assert await good.next(Established)
        await trio.sleep(0.1)
        assert rig.edge.open_dialogs == 0
        assert rig.edge.established_dialogs == 1


async def test_unknown_messages_are_answered_and_unknown_fields_ignored(autojump_clock: MockClock) -> None:
    async with running_edge() as rig:
        caller = await rig.caller()
        body = msgspec.msgpack.encode({"t": "weather", "sun": True})
        await caller.stream.send_all(len(body).to_bytes(4, "big") + body)
        assert (await caller.next(NotUnderstood)).kind == "weather"
        caller.session.send(dial())
        body = msgspec.msgpack.encode({**msgspec.to_builtins(dial()), "t": "setup", "colour": "red"})
        await caller.stream.send_all(len(body).to_bytes(4, "big") + body)
        assert (await rig.servers["s0"].link.next(Setup)).dialog == "d1"


async def test_stop_rejects_new_dialogs_and_answers_open_ones(autojump_clock: MockClock) -> None:
    async with running_edge() as rig:
        caller = await rig.caller()
        await caller.send(dial("d1"))
        link = rig.servers["s0"].link
        await link.next(Setup)
        rig.edge.stop()
        await trio.sleep(0.01)
        await caller.send(dial("d2"))
        rejected = await caller.next(Rejected)
        assert rejected.dialog == "d2"
        assert rejected.retry_after > 0
        await link.send(Established("d1"))
        assert await caller.next(Established)
        assert (await caller.next(Ended)).reason == "released"
        await trio.sleep(0.1)
        assert caller.ended is not None


async def test_the_list_is_requested_if_it_is_not_pushed(autojump_clock: MockClock) -> None:
    ini = INI.replace("list_is_pushed = yes", "list_is_pushed = no")
    async with trio.open_nursery() as nursery:
        rig = EdgeHarness(nursery, parse_config(ini))
        await nursery.start(rig.run_edge)
        await trio.sleep(3)
        tries = rig.edge.source.tries
        assert tries >= 2, "requested again after full-jitter delays"
        await rig.server("s0", 0)
        rig.registry.change([rig.servers["s0"].row()])
        await nursery.start(rig.network.serve, "list:1", rig.serve_list)
        await trio.sleep(5)
        assert set(rig.edge.context.driver.policy.table.servers) == {"s0"}
        nursery.cancel_scope.cancel()


async def test_a_cancelled_attempt_that_the_server_confirms_is_removed(autojump_clock: MockClock) -> None:
    async with running_edge() as rig:
        caller = await rig.caller()
        await caller.send(dial())
        link = rig.servers["s0"].link
        await link.next(Setup)
        await caller.send(Cancel("d1"))
        assert (await caller.next(Failed)).reason == "cancelled"
        await link.next(Cancel)
        await link.send(Cancelled("d1"))
        await trio.sleep(0.1)
        edge_link = rig.edge.links.by_server["s0"]
        assert not edge_link.attempts
        assert edge_link._session is not None
        assert not edge_link._session.legs


async def test_a_dialog_id_reused_while_its_last_attempt_is_cancelled(autojump_clock: MockClock) -> None:
    # Found by a load test whose callers reconnected and reused their dialog ids: the second leg 0 collided
    # with the first one on the same link.
    async with running_edge() as rig:
        first = await rig.caller("first")
        await first.send(dial())
        await rig.servers["s0"].link.next(Setup)
        await first.close()
        await trio.sleep(0.01)
        second = await rig.caller("second")
        await second.send(dial())
        request = await rig.servers["s1"].link.next(Setup)
        await rig.servers["s1"].link.send(Established("d1", request.leg))
        assert await second.next(Established)
        assert rig.edge.counters.failures == 0


async def test_a_set_up_received_byte_by_byte_is_handled_when_complete(autojump_clock: MockClock) -> None:
    async with running_edge() as rig:
        slow, good = await rig.caller("slow"), await rig.caller("good")
        for byte in slow.session.send(dial("d1")):
            await slow.stream.send_all(bytes([byte]))
            await trio.sleep(0.05)
        await good.send(dial("d2"))
        assert [(await rig.servers["s0"].link.next(Setup)).dialog for _ in range(2)] == ["d1", "d2"]


async def test_a_half_close_disconnects_the_caller() -> None:
    ini = (
        INI.replace("edge:1", "127.0.0.1:0")
        .replace("list:1", "127.0.0.1:1")
        .replace("list_cache = cache\n", "")
    )
    async with trio.open_nursery() as nursery:
        proxy: EdgeProxy = await nursery.start(EdgeProxy(parse_config(ini), SocketRuntime()).run)
        host, port = split_address(proxy.address)
        stream = await trio.open_tcp_stream(host, port)
        await stream.send_all(encode_frame(Hello((1, 1), "caller", "c")) + encode_frame(dial()))
        await stream.send_eof()
        with trio.fail_after(5):
            while await stream.receive_some():
                pass
        assert proxy.open_dialogs == 0
        nursery.cancel_scope.cancel()


class LimitedStream(trio.abc.SendStream):
    """Accepts `capacity` bytes without blocking, like a socket whose send buffer is nearly full."""

    def __init__(self, capacity: int) -> None:
        self.capacity = capacity
        self.received = bytearray()

    def send_now(self, data: bytes) -> int:
        self.received += data[: self.capacity]
        return min(self.capacity, len(data))

    async def send_all(self, data: bytes | bytearray | memoryview) -> None:
        await trio.sleep(0.01)
        self.received += data

    async def wait_send_all_might_not_block(self) -> None: ...

    async def aclose(self) -> None: ...


@pytest.mark.parametrize("capacity", [0, 3, 100])
async def test_frames_queued_in_a_turn_are_sent_at_its_end_in_order(
    capacity: int, autojump_clock: MockClock
) -> None:
    stream, batch, sent = LimitedStream(capacity), SendBatch(), list[int]()
    send_queue = SendQueue(1000, batch)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(send_queue.run, stream)
        await trio.sleep(0.1)
        batch.begin()
        send_queue.put(b"first", key="a")
        send_queue.put(b"taken back", key="b")
        send_queue.put(b"second", on_sent=lambda: sent.append(1))
        assert send_queue.withdraw("b")
        assert not sent
        assert not stream.received
        batch.end()
        assert bool(sent) == (capacity == 100)
        # If the stream accepted no byte, all frames can still be withdrawn.
        assert send_queue.is_queued("a") == (capacity == 0)
        send_queue.put(b"third")
        await trio.sleep(0.1)
        nursery.cancel_scope.cancel()
    assert stream.received == b"firstsecondthird"
    assert sent == [1]
    assert not send_queue.in_flight


async def test_a_plain_stream_transfers_bytes_and_closes_like_a_trio_stream() -> None:
    near_socket, far_socket = socket.socketpair()
    near, far = (
        PlainSocketStream(trio.SocketStream(trio.socket.from_stdlib_socket(sock)))
        for sock in (near_socket, far_socket)
    )
    bulk = bytes(range(256)) * 20_000
    assert near.send_now(b"now") == 3
    async with trio.open_nursery() as nursery:
        nursery.start_soon(near.send_all, bulk)  # more than the kernel's buffer holds, so it blocks
        received = bytearray()
        with trio.fail_after(5):
            while len(received) < len(bulk) + 3:
                received += await far.receive_some()
    assert received == b"now" + bulk
    await far.aclose()
    assert near.send_now(b"x") == 0
    with pytest.raises(trio.BrokenResourceError):
        await near.send_all(b"x")
    assert await near.receive_some() == b""
    await near.aclose()
    for operation in (near.receive_some, lambda: near.send_all(b"x")):
        with pytest.raises(trio.ClosedResourceError):
            await operation()
