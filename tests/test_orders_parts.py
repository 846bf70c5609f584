"""Parcels, the files of seats and keepers, the keeper's store, the list's permits, and the orders' check."""

from __future__ import annotations

import os
import random
import socket
import subprocess
import sys
from pathlib import Path
from typing import Any

import msgspec
import pytest
import trio
from click.testing import CliRunner
from hypothesis import given, settings
from hypothesis import strategies as st

from valverouter.audit.operations import check_operations
from valverouter.cli.__main__ import main
from valverouter.edge.surroundings import Sockets
from valverouter.fleet.authentication import (
    MAX_DATAGRAM_BYTES,
    Authenticator,
    DatagramReader,
    FragmentEnvelope,
)
from valverouter.fleet.fragmentation import (
    BURST_FRAGMENTS,
    FRAGMENT_BYTES,
    MAX_PARTIAL_MESSAGES,
    Fragment,
    Fragmenter,
    Reassembler,
    TooManyFragmentsError,
)
from valverouter.fleet.managed_process import ManagedProcess
from valverouter.fleet.messages import ClientRequest, ControlMessage, NodeAnnouncement, RequestKind
from valverouter.fleet.operations_client import OperationsClient
from valverouter.fleet.queries import CountersQuery
from valverouter.fleet.raft_server import RaftServer
from valverouter.fleet.transport import Transport
from valverouter.ledger.raft_store import RaftStore
from valverouter.ledger.storage import StoreLockedError
from valverouter.ledger.supervisor_store import SupervisorStore, open_supervisor_store
from valverouter.rollout.disruption_limits import Instance, InstanceKind
from valverouter.rollout.disruption_permits import EnrollInstances
from valverouter.rollout.operations import DesiredState, InstanceReported, OperationKind, Submit, SubmitResult
from valverouter.rollout.reports import InstanceCounters, InstanceInfo
from valverouter.rollout.status import FleetStatus
from valverouter.rollout.supervisor import Supervisor, SupervisorAction
from valverouter.rollout.supervisor_state import Step, SupervisorState
from valverouter.signalling import tap
from valverouter.signalling.serverlist import Leave, Permits, Returns
from valverouter.signalling.tap import DisruptionLimitsRow, OperationRow, Row, StepRow
from valverouter.terms.ini import FlawedTermsError
from valverouter.terms.rollout import ToolTerms, load_keeper, load_seat, load_tool

SECOND = 10**9
KEY = (b"k" * 32,)

# Fragmentation and transport


@given(st.binary(max_size=5 * FRAGMENT_BYTES), st.randoms())
@settings(max_examples=50, deadline=None)
def test_fragments_in_any_order_make_the_message(body: bytes, chance: Any) -> None:
    reassembler = Reassembler()
    fragments = Fragmenter("a", 1).split("x:1", body)
    chance.shuffle(fragments)
    messages = [message for fragment in fragments if (message := reassembler.add(fragment)) is not None]
    assert messages == [body]


def test_a_long_message_is_sent_in_bursts_and_fills_its_gaps() -> None:
    fragmenter, reassembler = Fragmenter("a", 1), Reassembler()
    body = os.urandom(3 * BURST_FRAGMENTS * FRAGMENT_BYTES)
    message, transmissions = None, 0
    while message is None:
        transmissions += 1
        fragments = fragmenter.split("x:1", body)
        assert len(fragments) == BURST_FRAGMENTS
        for index, fragment in enumerate(fragments):
            if (index + transmissions) % 7:  # one in seven is lost
                message = reassembler.add(fragment) or message
    assert message == body
    assert transmissions <= 9


def test_partial_messages_are_bounded_and_invalid_fragments_are_ignored() -> None:
    reassembler = Reassembler()
    for message_id in range(10 * MAX_PARTIAL_MESSAGES):
        assert reassembler.add(Fragment("a", 1, message_id, 0, 2, b"x")) is None
    assert len(reassembler._partial) <= MAX_PARTIAL_MESSAGES
    for index, count in ((0, 0), (2, 2), (-1, 1), (0, 10**9)):
        assert reassembler.add(Fragment("a", 1, 1, index, count, b"x")) is None
    with pytest.raises(TooManyFragmentsError):
        Fragmenter("b", 2).split("x:1", bytes(10**7))


async def test_only_holders_of_the_key_are_heard_on_the_control_plane() -> None:
    sockets = Sockets()
    first, second, stranger = (sockets.datagrams("127.0.0.1:0") for _ in range(3))
    ours, theirs = Transport(first, KEY, "c0", 1), Transport(second, KEY, "c1", 2)
    theirs.send(first.address, NodeAnnouncement("c1", 7))
    Transport(stranger, (b"x" * 32,), "c1", 3).send(first.address, NodeAnnouncement("c1", 8))
    stranger.send(b"rubbish", first.address)
    # Membership messages are under the same key, and are not messages of the control plane.
    stranger.send(Authenticator(KEY).sign(CountersQuery("", 9, 0, 1)), first.address)
    received: list[tuple[ControlMessage, str]] = []
    with trio.move_on_after(0.3):
        while True:
            await first.readable()
            while (message := ours.receive()) is not None:
                received.append(message)
    assert [message for message, _ in received] == [NodeAnnouncement("c1", 7)]
    assert second.take() is None, "and nobody is answered"
    assert stranger.take() is None, "and nobody is answered"
    for each in (first, second, stranger):
        each.close()


def test_the_longest_fragment_fits_a_datagram_and_a_replay_is_dropped() -> None:
    fragment = Fragment("n" * 60, 2**64 - 1, 2**64 - 1, 2_047, 2_048, bytes(FRAGMENT_BYTES))
    data = Authenticator(KEY).sign(fragment)
    assert len(data) <= MAX_DATAGRAM_BYTES
    reader = DatagramReader(Authenticator(KEY), FragmentEnvelope)
    assert reader.read(data) is not None
    assert reader.read(data) is None
    assert reader.dropped["replay"] == 1


# Files

SEAT = """[seat]
name = c0
listen = 127.0.0.1:7000
key = key
store = store
council = c0 127.0.0.1:7000, c1 127.0.0.1:7001, c2 127.0.0.1:7002

[limits edge proxies]
most = 4
in_region = 2
"""
KEEPER = """[keeper]
name = e0
listen = 127.0.0.1:7100
key = key
store = store
council = c0 127.0.0.1:7000
asks = 127.0.0.1:7200
version = v1

[version v1]
command = true --yes
"""


def free_port() -> int:
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as one:
        one.bind(("127.0.0.1", 0))
        return int(one.getsockname()[1])


def written(tmp_path: Path, text: str) -> Path:
    key = tmp_path / "key"
    key.write_bytes(b"s" * 40)
    key.chmod(0o600)
    file = tmp_path / "file.ini"
    file.write_text(text)
    return file


def test_sound_files_of_a_seat_a_keeper_and_a_tool(tmp_path: Path) -> None:
    seat = load_seat(written(tmp_path, SEAT))
    assert seat.limits["edge proxies"].most == 4
    assert list(seat.council) == ["c0", "c1", "c2"]
    assert load_tool(tmp_path / "file.ini").council == seat.council
    keeper = load_keeper(written(tmp_path, KEEPER))
    assert keeper.commands == {"v1": ("true", "--yes")}
    assert not keeper.is_server
    assert load_tool(tmp_path / "file.ini").keys == keeper.keys


@pytest.mark.parametrize(
    ("text", "old", "new", "said"),
    [
        (SEAT, "in_region = 2", "in_region = 5", "5 in a region are more than the 4 in all"),
        (SEAT, "most = 4", "most = 0", "most"),
        (SEAT, "most = 4", "most = 4\nregions = north 9", "9 of north are more than the 4 in all"),
        (SEAT, "most = 4", "most = 4\nregions = north", "is not a region and how many"),
        (SEAT, "most = 4", "most = 4\nleast_capacity = 1", "a least of 1 or more could never be met"),
        (SEAT, ", c2 127.0.0.1:7002", "", "2 seats; wanted are 3 or 5"),
        (SEAT, "c1 127.0.0.1:7001", "c1", "is not a seat and its address"),
        (SEAT, "c1 127.0.0.1:7001", "c0 127.0.0.1:7001", "c0 is named twice"),
        (SEAT, "name = c0", "name = c9", "c9 itself is not in it"),
        (SEAT, "limits edge proxies", "limits edges", "known are [limits edge proxies]"),
        (SEAT, "key = key", "key = nokey", "nokey: No such file"),
        (KEEPER, "command = true", "command = no-such-program", "there is no program 'no-such-program'"),
        (KEEPER, "command = true", "command = 'open", "No closing quotation"),
        (KEEPER, "version = v1", "version = v2", "there is no [version v2]"),
        (KEEPER, "asks = 127.0.0.1:7200\n", "", "where the edge proxy is asked"),
        (KEEPER, "asks = 127.0.0.1:7200", "sort = server", "is no HOST:PORT"),
        (KEEPER, "listen = 127.0.0.1:7100", "listen = somewhere", "is no IP:PORT"),
    ],
)
def test_a_flawed_file_is_refused_with_its_line(
    tmp_path: Path, text: str, old: str, new: str, said: str
) -> None:
    assert old in text
    file = written(tmp_path, text.replace(old, new))
    with pytest.raises(FlawedTermsError) as caught:
        (load_seat if text is SEAT else load_keeper)(file)
    (line,) = [line for line in str(caught.value).splitlines() if said in line]
    assert line.startswith(f"{file}:")


def test_a_tool_tells_a_file_that_reaches_nobody_and_a_council_that_is_away(tmp_path: Path) -> None:
    file = written(tmp_path, "[edge]\nname = e0\n")
    with pytest.raises(FlawedTermsError, match=r"neither a \[seat\] nor a \[keeper\]"):
        load_tool(file)
    with pytest.MonkeyPatch.context() as patch:
        patch.setattr("valverouter.cli.ordering.WITHIN_S", 0.2)
        done = CliRunner().invoke(main, ["fleet", "status", str(written(tmp_path, KEEPER))])
    assert done.exit_code == 3


@pytest.mark.parametrize("what", ["council", "keeper"])
def test_an_address_in_use_ends_the_start_with_3(tmp_path: Path, what: str) -> None:
    taken = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    taken.bind(("127.0.0.1", 0))
    text = SEAT if what == "council" else KEEPER
    listen = text[text.index("listen") :].splitlines()[0]
    file = written(tmp_path, text.replace(listen, f"listen = 127.0.0.1:{taken.getsockname()[1]}"))
    done = subprocess.run(
        [sys.executable, "-m", "valverouter.cli", "fleet", what, str(file)],
        capture_output=True,
        timeout=20,
        check=False,
    )
    taken.close()
    assert done.returncode == 3, done.stderr
    assert b"in use" in done.stderr, done.stderr


async def test_a_tool_is_shown_a_fleet_that_no_burst_of_pieces_holds(tmp_path: Path) -> None:
    """FleetStatus anew at each question, with other spans in it, the pieces of two answers never made one."""
    text = SEAT.replace(", c1 127.0.0.1:7001, c2 127.0.0.1:7002", "").replace("7000", str(free_port()))
    terms = load_seat(written(tmp_path, text))
    store = RaftStore(terms.store, 7)
    task = RaftServer(terms, Sockets(), store, bootstrap=True)
    async with trio.open_nursery() as nursery:
        await nursery.start(task.run)
        with trio.fail_after(5):
            while not task.node.raft.confirmed_round:
                await trio.sleep(0.05)
        names = [f"edge-{at}" for at in range(900)]
        units = tuple(Instance(name, InstanceKind.EDGE, "north", 100) for name in names)
        assert task.node.propose(round(trio.current_time() * 1e9), EnrollInstances(units))
        for name in names:
            task.node.propose(round(trio.current_time() * 1e9), InstanceReported(name, "v1", ("v1", "v2")))
        socket = Sockets().datagrams("127.0.0.1:0")
        asker = OperationsClient(ToolTerms(terms.keys, terms.council), socket, random.Random(1))
        shown = await asker.request(RequestKind.SHOW, None, FleetStatus, 15)
        assert shown is not None
        assert [unit.name for unit in shown.instances] == sorted(names)
        assert len(msgspec.msgpack.encode(shown)) > BURST_FRAGMENTS * FRAGMENT_BYTES
        refused = await asker.request(
            RequestKind.PLAN, Submit("a", OperationKind.RESTART, ("nobody",)), SubmitResult, 5
        )
        assert refused is not None
        assert refused.rejection == "nobody is not enrolled"
        nursery.cancel_scope.cancel()
    socket.close()
    store.close()


# The keeper's store and its program


def test_a_keeper_s_memory_is_kept_whole_and_a_damaged_one_is_set_aside(tmp_path: Path) -> None:
    path = tmp_path / "store"
    memory = SupervisorState(
        "v2", False, process="12 34", running_version="v2", steps=[Step(7, 0, "r", "done")]
    )
    store, found, aside = open_supervisor_store(path)
    assert (found, aside) == (None, "")
    store.save(memory)
    with pytest.raises(StoreLockedError):
        SupervisorStore(path)
    store.close()
    store, found, aside = open_supervisor_store(path)
    assert found == memory
    assert not aside
    store.close()
    data = (path / "data.mdb").read_bytes()
    (path / "data.mdb").write_bytes(data.replace(b"12 34", b"12 35"))
    store, found, aside = open_supervisor_store(path)
    assert found is None
    assert "damaged" in aside
    store.close()


async def test_a_program_is_known_again_by_its_number_and_its_birth() -> None:
    child = subprocess.Popen([sys.executable, "-c", "import time; time.sleep(60)"])
    first = ManagedProcess(child.pid)
    again = ManagedProcess.reattach(first.identity)
    assert again is not None
    assert again.pid == child.pid
    assert ManagedProcess.reattach(f"{child.pid} 1") is None, "another process with its number"
    assert ManagedProcess.reattach("") is None
    assert ManagedProcess.reattach("x y") is None
    child.kill()
    with trio.fail_after(5):
        await again.wait()
    assert ManagedProcess.reattach(first.identity) is None, "ended, though nobody has heard of it yet"
    child.wait()
    first.close()
    again.close()


# Servers


def test_the_list_refuses_a_leave_without_a_current_number() -> None:
    permits = Permits()
    assert permits.why_not(Leave("s0", 0)) == "no permit's number was given"
    assert permits.why_not(Leave("s0", 7)) == "" == permits.why_not(Leave("s0", 7))
    assert "older than 7" in permits.why_not(Leave("s0", 6))
    assert permits.why_not(Leave("s1", 6)) == "", "each server has its own"
    permits.over(Returns("s0", 7))
    assert permits.why_not(Leave("s0", 7)) == "permit 7 is over"
    permits.over(Returns("s0", 3))
    assert permits.why_not(Leave("s0", 8)) == ""


def server() -> Supervisor:
    one = Supervisor(
        InstanceInfo("s0", InstanceKind.SERVER, available_versions=("v1", "v2")), SupervisorState("v1")
    )
    assert one.next_action(0) is SupervisorAction.START
    one.on_started(0, "v1")
    one.on_saved()
    one.on_desired_state(0, DesiredState("v2", True, 7, 0, "r"), True)
    assert one.next_action(0) is SupervisorAction.SAVE
    one.on_saved()
    return one


def test_a_server_s_program_goes_once_the_list_has_let_it() -> None:
    one = server()
    assert one.next_action(0) is SupervisorAction.LEAVE_LIST, "asked once, and waited for"
    assert one.next_action(0) is None, "asked once, and waited for"
    one.on_counters(InstanceCounters(1, True, True))
    assert one.report().outcome == "", "it serves until it goes, and that is not the turn done"
    one.on_list_answer(True)
    assert one.next_action(0) is SupervisorAction.STOP
    one.on_stop_requested()
    one.on_exited(0)
    assert one.next_action(0) is SupervisorAction.START
    one.on_started(0, "v2")
    one.on_saved()
    one.on_counters(InstanceCounters(2, True, True))
    one.on_saved()
    assert one.report().outcome == "done"
    assert one.next_action(0) is SupervisorAction.REJOIN_LIST
    assert one.next_action(0) is None


def test_a_server_that_the_list_does_not_let_go_serves_on_and_its_turn_has_failed() -> None:
    one = server()
    assert one.next_action(0) is SupervisorAction.LEAVE_LIST
    one.on_list_answer(False, "permit 7 is over")
    assert one.next_action(0) is SupervisorAction.SAVE
    one.on_saved()
    one.on_counters(InstanceCounters(1, True, True))
    assert one.next_action(0) is None
    assert one.is_running
    assert (one.report().outcome, one.report().reason) == ("failed", "the list refuses: permit 7 is over")
    one.on_desired_state(0, DesiredState("v1", True, 7, 1, "r"), True)
    one.on_saved()
    one.on_counters(InstanceCounters(1, True, True))
    one.on_saved()
    assert one.report().outcome == "done", "brought back, it had never gone"


def test_a_machine_s_wish_waits_for_no_list() -> None:
    one = server()
    assert one.next_action(0) is SupervisorAction.LEAVE_LIST
    one.shut_down()
    assert one.next_action(0) is SupervisorAction.STOP


# The check of a day's orders


def rows(*told: Row) -> list[Row]:
    head: list[Row] = [
        DisruptionLimitsRow(0, 0, 1, 1),
        tap.PlacementRow(0, 0, "e0", "north"),
        tap.PlacementRow(0, 0, "e1", "south"),
    ]
    return [*head, *told]


def turned(at: int, edge: str, number: int, outcome: str = "", up: bool = True, step: int = 0) -> StepRow:
    return StepRow(at, at, edge, number, step, up, outcome)


def test_the_check_finds_each_breach_and_nothing_in_a_sound_record() -> None:
    sound = rows(
        tap.ProgramVersionRow(1, 1, "e0", "v1"),
        turned(2, "e0", 7),
        tap.ProgramVersionRow(3, 3, "e0", "v2"),
        turned(4, "e0", 7, "done"),
        turned(5, "e1", 9),
        turned(6, "e1", 9, "done"),
        OperationRow(9, 9, "r", "release", "v2", "ended", "done", {"e0": ("done", 7, "v1")}),
    )
    judged = check_operations(sound)
    assert judged is not None
    assert judged.passed
    assert judged.steps_started == 2
    assert judged.max_unavailable == 1
    assert check_operations([]) is None
    for bad, word in (
        (rows(turned(1, "e0", 7), turned(2, "e1", 9)), "limits"),
        (rows(turned(1, "e0", 7), turned(2, "e0", 7, "done"), turned(3, "e0", 7)), "once"),
        (rows(OperationRow(9, 9, "r", "restart", "", "ended", "done", {"e0": ("done", 7, "v1")})), "told"),
        (
            rows(
                tap.ProgramVersionRow(1, 1, "e0", "v2"),
                OperationRow(9, 9, "r", "release", "v2", "ended", "halted", {"e0": ("out", 7, "v1")}),
            ),
            "back",
        ),
    ):
        judged = check_operations(bad)
        assert judged is not None, (word, judged)
        assert any(one.startswith(word) for one in judged.violations), (word, judged)


def test_a_drained_one_stays_out_in_the_check() -> None:
    judged = check_operations(
        rows(turned(1, "e0", 7, up=False), turned(2, "e0", 7, "done", up=False), turned(3, "e1", 9))
    )
    assert judged is not None
    assert not judged.passed


def test_a_tool_s_words_are_read_as_they_were_written() -> None:
    asks = ClientRequest(3, RequestKind.SHOW)
    assert msgspec.msgpack.decode(msgspec.msgpack.encode(asks), type=ControlMessage) == asks
