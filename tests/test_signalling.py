"""Codecs and session state: messages decoded from bytes, and the error code for each malformed input."""

from __future__ import annotations

import random
from collections import deque
from contextlib import suppress
from typing import Any

import msgspec
import pytest
from hypothesis import example, given, settings
from hypothesis import strategies as st

from valverouter.signalling import setup
from valverouter.signalling.framing import HEADER_SIZE, FrameReader, ProtocolError, encode_frame
from valverouter.signalling.greeting import Error, Hello, NotUnderstood, Welcome
from valverouter.signalling.serverlist import (
    HISTORY_LENGTH,
    Change,
    EndpointRegistry,
    EndpointRow,
    ListSession,
    Replica,
    Snapshot,
    Watch,
)
from valverouter.signalling.setup import LegPhase, SetupSession

HELLO = Hello((1, 1), "edge", "e0")
SETUP = setup.Setup(dialog="d", leg=2, traffic_type="plain", time_left=5)


def pair(role: str = "edge", version: int = 1) -> tuple[SetupSession, SetupSession]:
    """Returns a client's and a server's session after the handshake."""
    client, server = SetupSession(Hello((1, version), role, "e0")), SetupSession()
    assert list(server.receive(client.hello_frame()))
    assert list(client.receive(server.send(Welcome(version, "s0"))))
    return client, server


def transfer(sender: SetupSession, receiver: SetupSession, message: Any) -> Any:
    (got,) = receiver.receive(sender.send(message))
    return got


names = st.text(min_size=1, max_size=20)
loads = st.none() | st.builds(
    setup.Load,
    utilization=st.none() | st.floats(0, 1),
    queue_length=st.none() | st.integers(0, 9),
    free_lines=st.integers(0, 99),
)
legs = {"dialog": names, "leg": st.integers(0, 63)}
messages = st.one_of(
    st.builds(
        setup.Setup,
        **legs,
        traffic_type=names,
        time_left=st.integers(1, setup.MAX_DURATION),
        called_number=st.integers(0, 2**63),
    ),
    st.builds(setup.Established, **legs, server=names, report=loads),
    st.builds(setup.Full, **legs, retry_after=st.integers(0, setup.MAX_DURATION), report=loads),
    st.builds(setup.Ended, **legs, reason=names, report=loads),
    st.builds(setup.Rejected, **legs, retry_after=st.integers(0, setup.MAX_DURATION)),
    st.builds(setup.LoadReported, report=st.builds(setup.Load, queue_length=st.integers(0, 2**40))),
)


@given(st.lists(messages, max_size=6), st.randoms(use_true_random=False))
def test_frames_survive_any_splitting_of_the_stream(sent: list[Any], rng: random.Random) -> None:
    data = b"".join(encode_frame(message) for message in sent)
    reader, got = FrameReader(), []
    while data:
        size = rng.randint(1, len(data))
        got += list(reader.feed(data[:size]))
        data = data[size:]
    reader.end()
    decoder = msgspec.msgpack.Decoder(
        setup.Setup | setup.Established | setup.Full | setup.Ended | setup.Rejected | setup.LoadReported
    )
    assert [decoder.decode(body) for body in got] == sent


@settings(max_examples=300)
@given(st.lists(st.one_of(st.binary(max_size=60), messages.map(encode_frame)), max_size=8))
def test_fuzzed_bytes_give_messages_or_one_error(parts: list[bytes]) -> None:
    session = SetupSession()
    list(session.receive(encode_frame(HELLO)))
    error = error_of(session, parts)
    if error is not None:
        error_message = session.error_frame(error)
        assert not session.error_frame(error), "at most one Error is sent"
        assert error_message or error.code.startswith("peer:")


def error_of(session: SetupSession, parts: list[bytes]) -> ProtocolError | None:
    """Returns the error that ends the session; None if every part was accepted."""
    try:
        for part in parts:
            if part:
                for message in session.receive(part):
                    assert isinstance(message, msgspec.Struct)
    except ProtocolError as error:
        return error
    return None


def test_an_oversized_frame_is_refused_by_its_header() -> None:
    reader = FrameReader(max_size=10)
    assert list(reader.feed(b"\0\0\0\x0a" + bytes(10))) == [bytes(10)]
    with pytest.raises(ProtocolError, match="11 bytes"):
        list(reader.feed(b"\0\0\0\x0b"))


def test_a_stream_that_ends_inside_a_frame_is_half_sent() -> None:
    session = SetupSession()
    list(session.receive(encode_frame(HELLO)[:-1]))
    with pytest.raises(ProtocolError) as caught:
        list(session.receive(b""))
    assert caught.value.code == "half-sent"
    assert not session.error_frame(caught.value)


@pytest.mark.parametrize(
    ("offered", "version"),
    [((1, 1), 1), ((1, 9), 2), ((0, 1), 1), ((2, 9), 2), ((3, 9), None), ((0, 0), None), ((5, 1), None)],
)
def test_version_negotiation(offered: tuple[int, int], version: int | None) -> None:
    session = SetupSession()
    if version is None:
        with pytest.raises(ProtocolError) as caught:
            list(session.receive(encode_frame(Hello(offered, "edge", "e0"))))
        assert caught.value.code == "version"
        (error,) = (
            msgspec.msgpack.decode(body, type=Error)
            for body in FrameReader().feed(session.error_frame(caught.value))
        )
        assert error.code == "version"
        assert "1 to 2" in error.text
    else:
        list(session.receive(encode_frame(Hello(offered, "edge", "e0"))))
        assert session.version == version


def test_unknown_message_types_are_reported_and_unknown_fields_ignored() -> None:
    session = SetupSession()
    newer = {"t": "hello", "speaks": [1, 4], "role": "edge", "name": "e0", "mood": "fine"}
    body = msgspec.msgpack.encode(newer)
    assert list(session.receive(len(body).to_bytes(4, "big") + body)) == [Hello((1, 4), "edge", "e0")]
    body = msgspec.msgpack.encode({"t": "weather", "rain": 3})
    assert list(session.receive(len(body).to_bytes(4, "big") + body)) == [NotUnderstood("weather")]


# Each case: the client's role, the messages sent before, and a message that is out of state. The sender is
# "c", the client, or "s", the server.
D = ("d", 0)
OPEN = ("c", setup.Setup(*D, traffic_type="plain", time_left=5))
ESTABLISHED = ("s", setup.Established(*D))
ENDED = ("s", setup.Ended(*D))
CANCEL = ("c", setup.Cancel(*D))
OUT_OF_STATE = [
    ("edge", [], ("s", setup.Established(*D))),
    ("edge", [], ("s", setup.Full(*D))),
    ("edge", [], ("c", setup.Established(*D))),
    ("edge", [], ("s", setup.Cancel(*D))),
    ("edge", [OPEN], OPEN),
    ("edge", [OPEN], ENDED),
    ("edge", [OPEN], ("s", setup.Rejected(*D))),
    ("edge", [OPEN, ESTABLISHED], ESTABLISHED),
    ("edge", [OPEN, ESTABLISHED], ("s", setup.Provisional(*D))),
    ("edge", [OPEN, ESTABLISHED], ("s", setup.Full(*D))),
    ("edge", [OPEN, ESTABLISHED, ENDED], ENDED),
    ("edge", [OPEN, ("s", setup.Full(*D))], ESTABLISHED),
    ("caller", [OPEN], ("s", setup.Full(*D))),
    ("caller", [OPEN], ("s", setup.LoadReported(setup.Load()))),
    ("edge", [OPEN], ("c", setup.Release(*D))),
    ("edge", [OPEN, CANCEL], ("c", setup.Release(*D))),
    ("caller", [OPEN, CANCEL, CANCEL], ("c", setup.Release(*D))),
]


@pytest.mark.parametrize(("role", "before", "forbidden"), OUT_OF_STATE)
def test_an_out_of_state_message_is_refused_at_both_sides(
    role: str, before: list[Any], forbidden: tuple[str, Any]
) -> None:
    sides = dict(zip("cs", pair(role), strict=True))
    other = {"c": "s", "s": "c"}
    for sender, message in before:
        transfer(sides[sender], sides[other[sender]], message)
    sender, message = forbidden
    with pytest.raises(ProtocolError) as send_error:
        sides[sender].send(message)
    with pytest.raises(ProtocolError) as receive_error:
        list(sides[other[sender]].receive(encode_frame(message)))
    assert send_error.value.code == receive_error.value.code == "out-of-state"


@pytest.mark.parametrize(
    "answer", [setup.Established(*D), setup.Full(*D), setup.LineBusy(*D), setup.Provisional(*D)]
)
def test_a_cancel_may_cross_any_answer(answer: Any) -> None:
    client, server = pair()
    transfer(client, server, OPEN[1])
    cancel = client.send(setup.Cancel(*D))
    crossing = server.send(answer)
    assert list(client.receive(crossing)) == [answer]
    assert list(server.receive(cancel)) == [setup.Cancel(*D)]
    if isinstance(answer, setup.Established | setup.Provisional):
        closing = setup.Ended(*D) if isinstance(answer, setup.Established) else setup.Cancelled(*D)
        transfer(server, client, closing)
    assert not client.legs
    assert not server.legs


def test_open_legs_per_connection_are_limited() -> None:
    client = SetupSession(HELLO)
    server = SetupSession(max_open_legs=2)
    list(server.receive(client.hello_frame()))
    list(client.receive(server.send(Welcome(1, "s0"))))
    for number in range(2):
        transfer(client, server, setup.Setup(f"d{number}", traffic_type="plain", time_left=5))
    with pytest.raises(ProtocolError) as caught:
        transfer(client, server, setup.Setup("d2", traffic_type="plain", time_left=5))
    assert caught.value.code == "too-many"


@given(
    st.lists(
        st.sampled_from(["setup", "cancel", "release", "provisional", "stands", "ended", "full", "cancelled"])
    )
)
@example(["setup", "cancel", "release"])
def test_both_sides_agree_on_every_leg_after_any_messages(steps: list[str]) -> None:
    """Guards against a Release after a Cancel that ends the connection, with every other dialog on it.

    The caller's session allowed the Release, since it had a single phase for cancelled and released legs. The
    edge proxy's session still had the leg open, answered `out-of-state: Release for ('d', 0), which does not
    stand` and closed the connection. 200,000 random sequences with crossing messages showed one more such
    case, Persisted after Cancel in version 2, and no third.
    """
    client, server = pair()
    kinds: dict[Any, Any] = {kind.__struct_config__.tag: kind for kind in setup.MESSAGE_TYPES}
    for step in steps:
        kind = kinds[step]
        message = OPEN[1] if step == "setup" else kind(*D)
        sender, receiver = (client, server) if kind in setup.CLIENT_MESSAGES else (server, client)
        try:
            data = sender.send(message)
        except ProtocolError:
            continue
        list(receiver.receive(data))
        assert set(client.legs) == set(server.legs)
        assert all(phase in (server.legs[key], LegPhase.CLOSING) for key, phase in client.legs.items())


@pytest.mark.parametrize("opening", [OPEN[1], setup.Resume(*D)])
def test_release_and_persisted_after_a_cancel_are_refused_at_both_sides(opening: Any) -> None:
    for message in (setup.Release(*D), setup.Persisted(*D)):
        client, server = pair(version=2)
        transfer(client, server, opening)
        transfer(client, server, setup.Cancel(*D))
        with pytest.raises(ProtocolError, match="does not stand"):
            client.send(message)
        with pytest.raises(ProtocolError, match="does not stand"):
            list(server.receive(encode_frame(message)))


class CrossingPair:
    """A client and a server whose messages are delivered on request, so that they can cross."""

    def __init__(self, role: str, version: int) -> None:
        self.client, self.server = pair(role, version)
        self.to_server: deque[bytes] = deque()
        self.to_client: deque[bytes] = deque()

    def send(self, kind: Any) -> None:
        """Sends a message if its sender's session allows it."""
        message = OPEN[1] if kind is setup.Setup else kind(*D)
        is_request = kind in setup.CLIENT_MESSAGES
        sender, path = (self.client, self.to_server) if is_request else (self.server, self.to_client)
        with suppress(ProtocolError):
            path.append(sender.send(message))

    def deliver(self, path: deque[bytes]) -> None:
        if path:
            list((self.server if path is self.to_server else self.client).receive(path.popleft()))

    def deliver_all(self) -> None:
        while self.to_server or self.to_client:
            self.deliver(self.to_server)
            self.deliver(self.to_client)


CROSSING_KINDS = [kind for kind in setup.MESSAGE_TYPES if kind is not setup.LoadReported]


@settings(max_examples=1_000)
@given(
    st.sampled_from(["edge", "caller"]),
    st.sampled_from([1, 2]),
    st.lists(st.sampled_from([*CROSSING_KINDS, "to_server", "to_client"]), max_size=20),
)
@example("edge", 1, [setup.Setup, setup.Cancel, setup.Release, "to_server", "to_server", "to_server"])
@example("edge", 2, [setup.Setup, setup.Cancel, "to_server", "to_server", setup.Persisted])
def test_a_message_allowed_by_its_sender_is_accepted_even_if_messages_cross(
    role: str, version: int, course: list[Any]
) -> None:
    both = CrossingPair(role, version)
    for step in course:
        if isinstance(step, str):
            both.deliver(getattr(both, step))
        else:
            both.send(step)
    both.deliver_all()
    client_legs, server_legs = both.client.legs, both.server.legs
    assert set(client_legs) == set(server_legs)
    assert all(phase in (server_legs[key], LegPhase.CLOSING) for key, phase in client_legs.items())


# The endpoint list


def rows(*names: str, phase: Any = "in-service") -> list[EndpointRow]:
    return [EndpointRow(name, int(name[1:]), phase) for name in names]


def test_consecutive_changes_are_applied_and_duplicates_are_not() -> None:
    replica, registry = Replica(), EndpointRegistry("e")
    first = registry.change(rows("s1", "s2"))
    (snapshot,) = registry.answer(replica.watch())
    assert replica.on_message(snapshot) == (rows("s1", "s2"), None)
    assert replica.on_message(first) == (None, None)
    change = registry.change(rows("s2", phase="gone"))
    assert replica.on_message(change) == (rows("s2", phase="gone"), None)
    assert replica.on_message(change) == (None, None)
    assert set(replica.rows) == {"s1"}


def test_a_gap_requests_one_snapshot_and_applies_only_drains_and_removals() -> None:
    replica, registry = Replica(), EndpointRegistry("e")
    replica.on_message(Snapshot("e", 0, []))
    registry.change(rows("s1"))
    for at in range(3):
        applied, request = replica.on_message(
            registry.change([*rows(f"s{at + 5}"), *rows("s2", phase="draining")])
        )
        assert applied == rows("s2", phase="draining")
        assert (request == Watch()) == (at == 0)
    (snapshot,) = registry.answer(Watch())
    replica.on_message(snapshot)
    assert replica.rows == registry.rows
    assert replica.gap_count == 1


def test_a_reconnecting_client_gets_the_missed_changes_or_a_snapshot() -> None:
    registry = EndpointRegistry("e")
    for number in range(HISTORY_LENGTH + 10):
        registry.change(rows(f"s{number % 7}"))
    assert len(registry.answer(Watch("e", registry.number - 5))) == 5
    for stale in (Watch("e", 3), Watch("former", registry.number), Watch("e", registry.number + 1), Watch()):
        (answer,) = registry.answer(stale)
        assert isinstance(answer, Snapshot)
        assert answer.number == registry.number


@given(
    st.lists(st.tuples(st.integers(0, 4), st.sampled_from(["in-service", "draining", "gone"])), max_size=40),
    st.randoms(use_true_random=False),
)
def test_a_replica_converges_to_the_registry_despite_lost_changes(
    course: list[tuple[int, Any]], rng: random.Random
) -> None:
    registry, replica = EndpointRegistry("e"), Replica()
    pending: list[Any] = list(registry.answer(replica.watch()))
    for server, phase in course:
        change = registry.change(rows(f"s{server}", phase=phase))
        if rng.random() < 0.7:
            pending.insert(rng.randint(max(0, len(pending) - 2), len(pending)), change)
        while pending and rng.random() < 0.6:
            _, request = replica.on_message(pending.pop(0))
            pending += registry.answer(request) if request else []
    pending += registry.answer(replica.watch())
    for message in pending:
        _, request = replica.on_message(message)
        if request:
            replica.on_message(registry.answer(request)[0])
    if replica.number != registry.number:
        replica.on_message(registry.answer(Watch())[0])
    assert replica.rows == registry.rows


def test_the_service_refuses_messages_that_only_it_may_send() -> None:
    session = ListSession()
    list(session.receive(encode_frame(HELLO)))
    with pytest.raises(ProtocolError):
        list(session.receive(encode_frame(Change("e", 1, []))))


def test_deeply_nested_input_is_a_protocol_error() -> None:
    # Guards against a RecursionError, which no reader of a connection expects.
    names = b"".join(msgspec.msgpack.encode(text) for text in ("t", "setup", "new"))
    body = b"\x82" + names + b"\x91" * 3_000 + b"\x90"
    with pytest.raises(ProtocolError):
        list(SetupSession().receive(len(body).to_bytes(HEADER_SIZE, "big") + body))
