"""Control plane messages over datagrams: fragmentation, reassembly, authentication."""

from __future__ import annotations

import os
import random
from typing import Any

import msgspec
import pytest
import trio
from hypothesis import given, settings
from hypothesis import strategies as st

from valverouter.edge.sockets import SocketRuntime
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
from valverouter.fleet.messages import (
    ClientRequest,
    ControlMessage,
    NodeAnnouncement,
    RaftEnvelope,
    RequestKind,
    decoder,
    encoder,
)
from valverouter.fleet.queries import CountersQuery
from valverouter.fleet.transport import Transport
from valverouter.rollout import operation_transitions
from valverouter.rollout.disruption_limits import DisruptionLimits, Instance, InstanceKind
from valverouter.rollout.disruption_permits import EnrollInstances
from valverouter.rollout.operation_log import OperationLog
from valverouter.rollout.operations import Cancel, Command, InstanceReported, OperationKind, Submit
from valverouter.rollout.raft_log import Configuration, Snapshot
from valverouter.rollout.raft_messages import InstallSnapshot
from valverouter.rollout.serialization import from_wire, to_wire

KEY = (b"k" * 32,)


@given(st.binary(max_size=5 * FRAGMENT_BYTES), st.randoms())
@settings(max_examples=50, deadline=None)
def test_fragments_in_any_order_make_the_message(body: bytes, rng: Any) -> None:
    reassembler = Reassembler()
    fragments = Fragmenter("a", 1).split("x:1", body)
    rng.shuffle(fragments)
    messages = [message for fragment in fragments if (message := reassembler.add(fragment)) is not None]
    assert messages == [body]


def test_a_long_message_is_sent_in_bursts_and_retransmissions_fill_gaps() -> None:
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


def operation_log(instances: int, operations: int) -> OperationLog:
    """The state of a control plane with `instances` instances and `operations` ended operations on all."""
    log = OperationLog()
    names = tuple(f"edge-{number}" for number in range(instances))
    enrolled = tuple(Instance(name, InstanceKind.EDGE, "north", 100) for name in names)
    commands: list[Command] = [
        EnrollInstances(enrolled, ((InstanceKind.EDGE, DisruptionLimits(4, 2)),)),
        *(InstanceReported(name, "v1", ("v1", "v2")) for name in names),
        Submit("op-0", OperationKind.RESTART, names),
        Cancel("op-0", "enough"),
    ]
    for index, command in enumerate(commands, 1):
        operation_transitions.apply(log, index, command)
    # Planned only once, since planning for 900 instances takes a quarter of a second.
    ended = log.operations["op-0"]
    log.operations = {f"op-{number}": ended.copy() for number in range(operations)}
    return log


@pytest.mark.parametrize(("instances", "operations"), [(220, 0), (220, 64), (900, 64)])
def test_a_raft_snapshot_of_the_largest_fleet_arrives_over_a_lossy_path(
    instances: int, operations: int
) -> None:
    """With 900 instances and the 64 ended operations that are kept, a snapshot has 3.5 MB (2,959 fragments).

    Guards against a snapshot above the maximum message size: an empty member never received it, and the
    leader logged `message-too-long` at each heartbeat. Retransmissions, one per heartbeat, fill the gaps, and
    are not mixed up with fragments of a snapshot from another leader.
    """
    configuration = Configuration((("c0", 1), ("c1", 2)))
    snapshot = Snapshot(5_000, 3, configuration, operation_log(instances, operations))
    sent, outdated = (
        encoder.encode(RaftEnvelope("c1", to_wire(InstallSnapshot(term, leader, snapshot, 7))))
        for term, leader in ((4, "c0"), (3, "c2"))
    )
    fragmenter, other_leader, reassembler = Fragmenter("c0", 1), Fragmenter("c2", 2), Reassembler()
    rng = random.Random(1)
    for _ in range(1_000):
        fragments = [*other_leader.split("x:1", outdated)[:2], *fragmenter.split("x:1", sent)]
        received = [reassembler.add(fragment) for fragment in fragments if rng.random() < 0.8]
        if sent in received:
            break
    else:
        raise AssertionError("the snapshot never arrived")
    message = decoder.decode(sent)
    assert isinstance(message, RaftEnvelope)
    installed = from_wire(message.message)
    assert isinstance(installed, InstallSnapshot)
    assert installed.snapshot == snapshot


def test_partial_messages_are_bounded_and_invalid_fragments_are_ignored() -> None:
    reassembler = Reassembler()
    for message_id in range(10 * MAX_PARTIAL_MESSAGES):
        assert reassembler.add(Fragment("a", 1, message_id, 0, 2, b"x")) is None
    assert len(reassembler._partial) <= MAX_PARTIAL_MESSAGES
    for index, count in ((0, 0), (2, 2), (-1, 1), (0, 10**9)):
        assert reassembler.add(Fragment("a", 1, 1, index, count, b"x")) is None
    with pytest.raises(TooManyFragmentsError):
        Fragmenter("b", 2).split("x:1", bytes(10**7))


async def test_control_messages_under_another_key_are_dropped_without_a_reply() -> None:
    sockets = SocketRuntime()
    first, second, stranger = (sockets.bind_datagrams("127.0.0.1:0") for _ in range(3))
    receiver, sender = Transport(first, KEY, "c0", 1), Transport(second, KEY, "c1", 2)
    sender.send(first.address, NodeAnnouncement("c1", 7))
    Transport(stranger, (b"x" * 32,), "c1", 3).send(first.address, NodeAnnouncement("c1", 8))
    stranger.send(b"rubbish", first.address)
    # A membership message is authenticated by the same key but is not a control plane message.
    stranger.send(Authenticator(KEY).sign(CountersQuery("", 9, 0, 1)), first.address)
    received: list[tuple[ControlMessage, str]] = []
    with trio.move_on_after(0.3):
        while True:
            await first.wait_readable()
            while (message := receiver.receive()) is not None:
                received.append(message)
    assert [message for message, _ in received] == [NodeAnnouncement("c1", 7)]
    assert second.receive() is None, "no datagram is answered"
    assert stranger.receive() is None, "no datagram is answered"
    for socket in (first, second, stranger):
        socket.close()


def test_the_longest_fragment_fits_a_datagram_and_a_replay_is_dropped() -> None:
    fragment = Fragment("n" * 60, 2**64 - 1, 2**64 - 1, 2_047, 2_048, bytes(FRAGMENT_BYTES))
    data = Authenticator(KEY).sign(fragment)
    assert len(data) <= MAX_DATAGRAM_BYTES
    reader = DatagramReader(Authenticator(KEY), FragmentEnvelope)
    assert reader.read(data) is not None
    assert reader.read(data) is None
    assert reader.dropped["replay"] == 1


def test_a_client_request_is_decoded_as_it_was_encoded() -> None:
    request = ClientRequest(3, RequestKind.SHOW)
    assert msgspec.msgpack.decode(msgspec.msgpack.encode(request), type=ControlMessage) == request
