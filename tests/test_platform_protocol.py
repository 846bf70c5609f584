"""The platform's codecs: messages survive a round trip, and malformed input raises ProtocolError only."""

from __future__ import annotations

from contextlib import suppress

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from tests.helpers import TERMS, TYPES
from valverouter.interface import Deployment
from valverouter.platform_edge import translation
from valverouter.platform_protocol import isup, lines
from valverouter.platform_protocol.bus import Batch, BusSession
from valverouter.signalling import setup
from valverouter.signalling.framing import ProtocolError

IDS = st.binary(min_size=8, max_size=8).map(bytes.hex)
PARAMETERS = st.dictionaries(st.integers(0, 255), st.binary(max_size=300), max_size=6)
DEPLOYMENT = Deployment(traffic_types=TYPES, **TERMS)
ID = "9b1f03aa5c7e2d41"


@given(
    st.lists(st.tuples(st.sampled_from(sorted(isup.KNOWN_TYPES)), IDS, PARAMETERS), max_size=5),
    st.integers(1, 9),
)
def test_messages_come_back_however_they_are_cut(
    sent: list[tuple[int, str, dict[int, bytes]]], cut: int
) -> None:
    data = b"".join(isup.encode(*message) for message in sent)
    reader = isup.MessageReader()
    heard = [one for at in range(0, len(data), cut) for one in reader.feed(data[at : at + cut])]
    assert [(one.type, one.id, one.parameters) for one in heard] == sent
    assert not reader.has_partial_message


@given(st.binary(max_size=400))
def test_any_bytes_are_messages_or_one_error(data: bytes) -> None:
    reader = isup.MessageReader()
    try:
        for message in reader.feed(data):
            assert message.type in isup.KNOWN_TYPES
            assert len(message.id) == 16
    except ProtocolError:
        return
    assert len(reader._buffer) <= isup.MAX_MESSAGE_SIZE


@pytest.mark.parametrize(
    "data",
    [
        bytes((0, 0)),
        bytes((0, 8)),
        bytes((255, 255)),
        bytes((64, 0)),
        isup.encode(isup.IAM, ID)[:2] + b"\x7b" + bytes(8),
        b"\x00\x0c\x01" + bytes(8) + b"\x81\x00\x09",
        b"\x00\x0a\x01" + bytes(8) + b"\x81",
    ],
)
def test_lengths_and_types_that_cannot_be_are_told_at_once(data: bytes) -> None:
    with pytest.raises(ProtocolError):
        list(isup.MessageReader().feed(data))


@given(IDS, st.text(max_size=200), st.integers(1, 10**6))
def test_a_setup_to_a_server_is_one_line_with_its_description_unchanged(
    id_: str, text: str, left: int
) -> None:
    data = lines.encode_setup(id_, "booking", "0" * 16, left, text)
    (line,) = lines.LineReader().feed(data)
    assert data.count(b"\n") == 1
    assert (line.type, line.id, line.sdp) == ("setup", id_, text)
    assert line.fields == {"class": "booking", "key": "0" * 16, "left": str(left)}


@given(st.binary(max_size=300))
def test_any_bytes_are_lines_or_one_error(data: bytes) -> None:
    try:
        for line in lines.LineReader().feed(data):
            assert isinstance(line.type, str)
            translation.parse_load(line)
            translation.parse_rejection(line, 0)
    except ProtocolError:
        pass


def test_a_line_that_does_not_end_is_given_up() -> None:
    reader = lines.LineReader()

    def feed_all() -> None:
        for _ in range(5):
            list(reader.feed(b'{"type":"answer","id":"' + b"0" * 4_000))

    with pytest.raises(ProtocolError):
        feed_all()


@pytest.mark.parametrize(
    ("text", "told"),
    [
        ("x0:12;x1:40;queue:3", (12, 40, 3)),
        ("idle:0;circuits:7", (0, 7, None)),
        ("x0:-1;x1:nan;queue:x", (None,) * 3),
        ("", (None,) * 3),
        ("x0:1e400;queue:2.5", (None, None, 2)),
    ],
)
def test_reports_are_read_by_either_name(text: str, told: tuple[int | None, ...]) -> None:
    load = translation.parse_load(lines.Line("state", fields={"load": text}))
    assert load is not None
    assert (load.free_lines, load.lines, load.queue_length) == told


@pytest.mark.parametrize(
    ("cause", "note", "said"),
    [
        (34, "no_path", setup.NoAgent),
        (34, "queue_long", setup.Full),
        (34, "", setup.Full),
        (17, "line_taken", setup.LineBusy),
        (47, "line_taken", setup.LineBusy),
        (17, "", setup.Fault),
        (47, "", setup.Fault),
        (41, "", None),
        (16, "", None),
        (127, "", None),
        (None, "", None),
    ],
)
def test_a_server_s_refusal_in_our_words(cause: int | None, note: str, said: type | None) -> None:
    made = translation.parse_rejection(lines.Line("release", ID, {"note": note}, cause), 2)
    assert made is None if said is None else (type(made) is said and made is not None and made.leg == 2)


SOUND = {
    129: b"only-1",
    131: b"1500",
    137: b"7f3a9c21e0b4d655",
    139: b"dest:1;width:1;via:-1",
    159: b"v=0\r\n",
}


def asked(id_: str = ID, **changes: bytes) -> translation.PlatformSetup | translation.EstablishedDialog:
    told = SOUND | {int(code[1:]): value for code, value in changes.items()}
    return translation.parse_setup(isup.Message(isup.IAM, id_, told), DEPLOYMENT, {"only-1": 1})


def test_a_setup_in_our_words() -> None:
    made = asked(p139=b"dest:1;width:1;via:-1;again:1")
    assert isinstance(made, translation.PlatformSetup)
    assert (made.dialog, made.preferred_server_number, made.was_interrupted, made.time_left) == (
        ID,
        1,
        True,
        1500 * 10**6,
    )
    assert made.called_number == int("7f3a9c21e0b4d655", 16)
    assert b"7f3a9c21e0b4d655" in translation.encode_for_server(made)
    stood = asked(p139=b"dest:1;width:1;at:s-00c41f7a")
    assert isinstance(stood, translation.EstablishedDialog)
    assert stood.server == "s-00c41f7a"


@pytest.mark.parametrize(
    "change",
    [
        {"p129": b"sorted"},
        {"p129": b"\xff"},
        {"p131": b""},
        {"p131": b"soon"},
        {"p131": b"-4"},
        {"p131": b"0"},
        {"p131": b"9" * 30},
        {"p137": b""},
        {"p137": b"7F3A9C21E0B4D655"},
        {"p137": b"7f"},
        {"p139": b"dest:x"},
        {"p139": b"dest:99"},
        {"p139": b"dest:1;width:400"},
        {"p139": b"width:0"},
        {"p139": b"dest:-7"},
        {"p139": b"dest:" + b"9" * 40},
        {"p139": b"dest"},
        {"p139": b"\xff"},
        {"p159": b""},
        {"p159": b"\xff\xfe"},
        {"p159": b"x" * 13_000},
        {"id_": "0" * 16},
    ],
)
def test_what_a_server_could_not_use_goes_no_further(change: dict[str, bytes]) -> None:
    # Servers close the connection on a set-up without an id, and answer 'error' to invalid routing fields.
    with pytest.raises(ProtocolError):
        asked(**change)  # type: ignore[arg-type]


@pytest.mark.parametrize(
    ("message", "kind", "cause"),
    [
        (setup.Rejected(ID, 0, 150 * 10**6), isup.REL, 42),
        (setup.Failed(ID), isup.REL, 41),
        (setup.Ended(ID), isup.REL, 16),
        (setup.Ended(ID, 0, "cut"), isup.REL, 41),
        (translation.EstablishedWithDescription(ID, description="v=0\r\n"), isup.ANM, -1),
    ],
)
def test_answers_on_the_wire(message: setup.LegMessage, kind: int, cause: int) -> None:
    (heard,) = isup.MessageReader().feed(translation.encode_for_caller(message))
    assert (heard.type, heard.id, heard.cause) == (kind, ID, cause)
    if isinstance(message, setup.Rejected):
        assert heard.parameters[isup.RETRY_AFTER] == b"150"
    if isinstance(message, translation.EstablishedWithDescription):
        assert heard.parameters[isup.DESCRIPTION] == b"v=0\r\n"


@pytest.mark.parametrize("reason", ["cancelled", "caller-gone"])
def test_a_caller_that_gave_up_is_owed_nothing(reason: str) -> None:
    assert translation.encode_for_caller(setup.Failed(ID, 0, reason)) == b""


BODY = (
    b'{"offset":41,"batch":[{"offset":41,"topology":{"seq":7,"whole":false,"hosts":[{"host":"s-1","dial":"h:1",'
    b'"site":"east","class":"std","block":2,"health":"Terminating","share":4,"born_ms":0}]}}]}'
)
ANSWER = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(BODY), BODY)


@given(st.integers(1, len(ANSWER)))
def test_an_event_is_handed_on_whole_or_not_at_all(cut: int) -> None:
    session = BusSession("bus:1")
    assert b"/bus/read?from=40&hold=2000 HTTP/1.1" in session.poll_request(40, 2000)
    early = session.receive(ANSWER[:cut])
    if cut < len(ANSWER):
        assert early is None
        with pytest.raises(ProtocolError):
            session.receive(b"")
    else:
        assert early == msgspec.json.decode(BODY, type=Batch)
        assert session.is_reusable
        session.poll_request(41, 2000)


HEAD = b"HTTP/1.1 200 OK\r\nContent-Length: 300\r\n\r\n"


@given(st.binary(min_size=1, max_size=300))
def test_any_bytes_from_the_bus_are_no_batch_or_one_error(data: bytes) -> None:
    session = BusSession("bus:1")
    session.poll_request(0, 2000)
    with suppress(ProtocolError):
        whole = session.receive(b"HTTP/1.1 200 OK\r\nContent-Length: 300\r\n\r\n" + data)
        assert whole is None or len(data) == 300


def test_a_host_as_a_row() -> None:
    hosts = msgspec.json.decode(BODY, type=Batch).batch[0].topology
    assert hosts is not None
    assert translation.endpoint_row(hosts.hosts[0], 10**18).phase == "draining"
    started = msgspec.structs.replace(hosts.hosts[0], born_ms=10**12 - 3_000, health="Ready")
    assert translation.endpoint_row(started, 10**18).age == 3 * 10**9
