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
from valverouter.signalling.framing import FrameReader, ProtocolError, encode_frame
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
    asks, serves = SetupSession(Hello((1, version), role, "e0")), SetupSession()
    assert list(serves.receive(asks.hello_frame()))
    assert list(asks.receive(serves.send(Welcome(version, "s0"))))
    return asks, serves


def passes(sender: SetupSession, receiver: SetupSession, message: Any) -> Any:
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
def test_frames_survive_any_cutting(sent: list[Any], chance: random.Random) -> None:
    data = b"".join(encode_frame(message) for message in sent)
    reader, got = FrameReader(), []
    while data:
        size = chance.randint(1, len(data))
        got += list(reader.feed(data[:size]))
        data = data[size:]
    reader.end()
    decoder = msgspec.msgpack.Decoder(
        setup.Setup | setup.Established | setup.Full | setup.Ended | setup.Rejected | setup.LoadReported
    )
    assert [decoder.decode(body) for body in got] == sent


@settings(max_examples=300)
@given(st.lists(st.one_of(st.binary(max_size=60), messages.map(encode_frame)), max_size=8))
def test_fuzzed_bytes_give_messages_or_one_clear_error(parts: list[bytes]) -> None:
    session = SetupSession()
    list(session.receive(encode_frame(HELLO)))
    error = first_error(session, parts)
    if error is not None:
        farewell = session.error_frame(error)
        assert not session.error_frame(error), "at most one Error is sent"
        assert farewell or error.code.startswith("peer:")


def first_error(session: SetupSession, parts: list[bytes]) -> ProtocolError | None:
    """Returns the error that ends the session; None if every part was accepted."""
    try:
        for part in parts:
            if part:
                for message in session.receive(part):
                    assert isinstance(message, msgspec.Struct)
    except ProtocolError as error:
        return error
    return None


def test_a_frame_over_the_cap_is_refused_by_its_head() -> None:
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
    ("speaks", "version"),
    [((1, 1), 1), ((1, 9), 2), ((0, 1), 1), ((2, 9), 2), ((3, 9), None), ((0, 0), None), ((5, 1), None)],
)
def test_versions(speaks: tuple[int, int], version: int | None) -> None:
    session = SetupSession()
    if version is None:
        with pytest.raises(ProtocolError) as caught:
            list(session.receive(encode_frame(Hello(speaks, "edge", "e0"))))
        assert caught.value.code == "version"
        (error,) = (
            msgspec.msgpack.decode(body, type=Error)
            for body in FrameReader().feed(session.error_frame(caught.value))
        )
        assert error.code == "version"
        assert "1 to 2" in error.text
    else:
        list(session.receive(encode_frame(Hello(speaks, "edge", "e0"))))
        assert session.version == version


def test_unknown_kinds_are_named_and_unknown_fields_ignored() -> None:
    session = SetupSession()
    newer = {"t": "hello", "speaks": [1, 4], "role": "edge", "name": "e0", "mood": "fine"}
    body = msgspec.msgpack.encode(newer)
    assert list(session.receive(len(body).to_bytes(4, "big") + body)) == [Hello((1, 4), "edge", "e0")]
    body = msgspec.msgpack.encode({"t": "weather", "rain": 3})
    assert list(session.receive(len(body).to_bytes(4, "big") + body)) == [NotUnderstood("weather")]


# Each case: the client's role, the messages sent before, and a message that is out of state. The sender is
# "c", the client, or "s", the server.
D = ("d", 0)
OPEN = ("a", setup.Setup(*D, traffic_type="plain", time_left=5))
STANDS = ("s", setup.Established(*D))
ENDED = ("s", setup.Ended(*D))
CANCEL = ("a", setup.Cancel(*D))
OUT_OF_STATE = [
    ("edge", [], ("s", setup.Established(*D))),
    ("edge", [], ("s", setup.Full(*D))),
    ("edge", [], ("a", setup.Established(*D))),
    ("edge", [], ("s", setup.Cancel(*D))),
    ("edge", [OPEN], OPEN),
    ("edge", [OPEN], ENDED),
    ("edge", [OPEN], ("s", setup.Rejected(*D))),
    ("edge", [OPEN, STANDS], STANDS),
    ("edge", [OPEN, STANDS], ("s", setup.Provisional(*D))),
    ("edge", [OPEN, STANDS], ("s", setup.Full(*D))),
    ("edge", [OPEN, STANDS, ENDED], ENDED),
    ("edge", [OPEN, ("s", setup.Full(*D))], STANDS),
    ("caller", [OPEN], ("s", setup.Full(*D))),
    ("caller", [OPEN], ("s", setup.LoadReported(setup.Load()))),
    ("edge", [OPEN], ("a", setup.Release(*D))),
    ("edge", [OPEN, CANCEL], ("a", setup.Release(*D))),
    ("caller", [OPEN, CANCEL, CANCEL], ("a", setup.Release(*D))),
]


@pytest.mark.parametrize(("role", "before", "late"), OUT_OF_STATE)
def test_out_of_state_is_refused_at_both_ends(role: str, before: list[Any], late: tuple[str, Any]) -> None:
    sides = dict(zip("as", pair(role), strict=True))
    other = {"a": "s", "s": "a"}
    for who, message in before:
        passes(sides[who], sides[other[who]], message)
    who, message = late
    with pytest.raises(ProtocolError) as ours:
        sides[who].send(message)
    with pytest.raises(ProtocolError) as theirs:
        list(sides[other[who]].receive(encode_frame(message)))
    assert ours.value.code == theirs.value.code == "out-of-state"


@pytest.mark.parametrize(
    "answer", [setup.Established(*D), setup.Full(*D), setup.LineBusy(*D), setup.Provisional(*D)]
)
def test_a_cancel_may_cross_any_answer(answer: Any) -> None:
    asks, serves = pair()
    passes(asks, serves, OPEN[1])
    cancel = asks.send(setup.Cancel(*D))
    crossing = serves.send(answer)
    assert list(asks.receive(crossing)) == [answer]
    assert list(serves.receive(cancel)) == [setup.Cancel(*D)]
    if isinstance(answer, setup.Established | setup.Provisional):
        closing = setup.Ended(*D) if isinstance(answer, setup.Established) else setup.Cancelled(*D)
        passes(serves, asks, closing)
    assert not asks.legs
    assert not serves.legs


def test_legs_open_on_one_connection_are_bounded() -> None:
    asks = SetupSession(HELLO)
    serves = SetupSession(max_open_legs=2)
    list(serves.receive(asks.hello_frame()))
    list(asks.receive(serves.send(Welcome(1, "s0"))))
    for number in range(2):
        passes(asks, serves, setup.Setup(f"d{number}", traffic_type="plain", time_left=5))
    with pytest.raises(ProtocolError) as caught:
        passes(asks, serves, setup.Setup("d2", traffic_type="plain", time_left=5))
    assert caught.value.code == "too-many"


@given(
    st.lists(
        st.sampled_from(["setup", "cancel", "release", "provisional", "stands", "ended", "full", "cancelled"])
    )
)
@example(["setup", "cancel", "release"])
def test_both_ends_agree_on_every_leg_whatever_is_tried(steps: list[str]) -> None:
    """Guards against a Release after a Cancel that ends the connection, with every other dialog on it.

    The caller's session allowed the Release, since it had a single phase for cancelled and released legs. The
    edge proxy's session still had the leg open, answered `out-of-state: Release for ('d', 0), which does not
    stand` and closed the connection. 200,000 random sequences with crossing messages showed one more such
    case, Persisted after Cancel in version 2, and no third.
    """
    asks, serves = pair()
    kinds: dict[Any, Any] = {kind.__struct_config__.tag: kind for kind in setup.MESSAGE_TYPES}
    for step in steps:
        kind = kinds[step]
        message = OPEN[1] if step == "setup" else kind(*D)
        sender, receiver = (asks, serves) if kind in setup.CLIENT_MESSAGES else (serves, asks)
        try:
            data = sender.send(message)
        except ProtocolError:
            continue
        list(receiver.receive(data))
        assert set(asks.legs) == set(serves.legs)
        assert all(phase in (serves.legs[key], LegPhase.CLOSING) for key, phase in asks.legs.items())


@pytest.mark.parametrize("opening", [OPEN[1], setup.Resume(*D)])
def test_what_needs_an_established_leg_is_refused_behind_a_cancel_at_both_ends(opening: Any) -> None:
    for message in (setup.Release(*D), setup.Persisted(*D)):
        asks, serves = pair(version=2)
        passes(asks, serves, opening)
        passes(asks, serves, setup.Cancel(*D))
        with pytest.raises(ProtocolError, match="does not stand"):
            asks.send(message)
        with pytest.raises(ProtocolError, match="does not stand"):
            list(serves.receive(encode_frame(message)))


class CrossingPair:
    """A client and a server whose messages are delivered on request, so that they can cross."""

    def __init__(self, role: str, version: int) -> None:
        self.asks, self.serves = pair(role, version)
        self.to_serves: deque[bytes] = deque()
        self.to_asks: deque[bytes] = deque()

    def put(self, kind: Any) -> None:
        """Sends a message if its sender's session allows it."""
        message = OPEN[1] if kind is setup.Setup else kind(*D)
        is_request = kind in setup.CLIENT_MESSAGES
        sender, path = (self.asks, self.to_serves) if is_request else (self.serves, self.to_asks)
        with suppress(ProtocolError):
            path.append(sender.send(message))

    def deliver(self, path: deque[bytes]) -> None:
        if path:
            list((self.serves if path is self.to_serves else self.asks).receive(path.popleft()))

    def deliver_all(self) -> None:
        while self.to_serves or self.to_asks:
            self.deliver(self.to_serves)
            self.deliver(self.to_asks)


CROSSING_KINDS = [kind for kind in setup.MESSAGE_TYPES if kind is not setup.LoadReported]


@settings(max_examples=1_000)
@given(
    st.sampled_from(["edge", "caller"]),
    st.sampled_from([1, 2]),
    st.lists(st.sampled_from([*CROSSING_KINDS, "to_serves", "to_asks"]), max_size=20),
)
@example("edge", 1, [setup.Setup, setup.Cancel, setup.Release, "to_serves", "to_serves", "to_serves"])
@example("edge", 2, [setup.Setup, setup.Cancel, "to_serves", "to_serves", setup.Persisted])
def test_what_one_side_may_send_the_other_takes_also_where_messages_cross(
    role: str, version: int, course: list[Any]
) -> None:
    both = CrossingPair(role, version)
    for step in course:
        if isinstance(step, str):
            both.deliver(getattr(both, step))
        else:
            both.put(step)
    both.deliver_all()
    asking, serving = both.asks.legs, both.serves.legs
    assert set(asking) == set(serving)
    assert all(phase in (serving[key], LegPhase.CLOSING) for key, phase in asking.items())


# The endpoint list


def rows(*names: str, phase: Any = "in-service") -> list[EndpointRow]:
    return [EndpointRow(name, int(name[1:]), phase) for name in names]


def test_changes_in_order_are_acted_on_and_doubles_are_not() -> None:
    replica, register = Replica(), EndpointRegistry("e")
    first = register.change(rows("s1", "s2"))
    (snapshot,) = register.answer(replica.watch())
    assert replica.on_message(snapshot) == (rows("s1", "s2"), None)
    assert replica.on_message(first) == (None, None)
    change = register.change(rows("s2", phase="gone"))
    assert replica.on_message(change) == (rows("s2", phase="gone"), None)
    assert replica.on_message(change) == (None, None)
    assert set(replica.rows) == {"s1"}


def test_a_gap_asks_once_and_heeds_only_what_leaves() -> None:
    replica, register = Replica(), EndpointRegistry("e")
    replica.on_message(Snapshot("e", 0, []))
    register.change(rows("s1"))
    for at in range(3):
        told, answer = replica.on_message(
            register.change([*rows(f"s{at + 5}"), *rows("s2", phase="draining")])
        )
        assert told == rows("s2", phase="draining")
        assert (answer == Watch()) == (at == 0)
    (snapshot,) = register.answer(Watch())
    replica.on_message(snapshot)
    assert replica.rows == register.rows
    assert replica.gap_count == 1


def test_who_comes_back_gets_what_was_missed_or_all() -> None:
    register = EndpointRegistry("e")
    for number in range(HISTORY_LENGTH + 10):
        register.change(rows(f"s{number % 7}"))
    assert len(register.answer(Watch("e", register.number - 5))) == 5
    for stale in (Watch("e", 3), Watch("former", register.number), Watch("e", register.number + 1), Watch()):
        (answer,) = register.answer(stale)
        assert isinstance(answer, Snapshot)
        assert answer.number == register.number


@given(
    st.lists(st.tuples(st.integers(0, 4), st.sampled_from(["in-service", "draining", "gone"])), max_size=40),
    st.randoms(use_true_random=False),
)
def test_a_replica_comes_to_the_registers_rows_whatever_is_lost(
    course: list[tuple[int, Any]], chance: random.Random
) -> None:
    register, replica = EndpointRegistry("e"), Replica()
    due: list[Any] = list(register.answer(replica.watch()))
    for server, phase in course:
        change = register.change(rows(f"s{server}", phase=phase))
        if chance.random() < 0.7:
            due.insert(chance.randint(max(0, len(due) - 2), len(due)), change)
        while due and chance.random() < 0.6:
            _, answer = replica.on_message(due.pop(0))
            due += register.answer(answer) if answer else []
    due += register.answer(replica.watch())
    for word in due:
        _, answer = replica.on_message(word)
        if answer:
            replica.on_message(register.answer(answer)[0])
    if replica.number != register.number:
        replica.on_message(register.answer(Watch())[0])
    assert replica.rows == register.rows


def test_the_list_sides_keep_to_their_parts() -> None:
    session = ListSession()
    list(session.receive(encode_frame(HELLO)))
    with pytest.raises(ProtocolError):
        list(session.receive(encode_frame(Change("e", 1, []))))
