"""The platform's codecs: messages survive a round trip, and malformed input raises ProtocolError only."""

from __future__ import annotations

from contextlib import suppress

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from tests.helpers import DEPLOYMENT_FIELDS, TYPES
from valverouter.interface import Deployment
from valverouter.platform_edge import translation
from valverouter.platform_protocol import isup, lines
from valverouter.platform_protocol.bus import Batch, BusSession, decode_batch
from valverouter.signalling import setup
from valverouter.signalling.framing import ProtocolError

IDS = st.binary(min_size=8, max_size=8).map(bytes.hex)
PARAMETERS = st.dictionaries(st.integers(0, 255), st.binary(max_size=300), max_size=6)
DEPLOYMENT = Deployment(traffic_types=TYPES, **DEPLOYMENT_FIELDS)
ID = "9b1f03aa5c7e2d41"


@given(
    st.lists(st.tuples(st.sampled_from(sorted(isup.KNOWN_TYPES)), IDS, PARAMETERS), max_size=5),
    st.integers(1, 9),
)
def test_messages_survive_any_splitting_of_the_stream(
    sent: list[tuple[int, str, dict[int, bytes]]], chunk_size: int
) -> None:
    data = b"".join(isup.encode(*message) for message in sent)
    reader = isup.MessageReader()
    received = [
        one for at in range(0, len(data), chunk_size) for one in reader.feed(data[at : at + chunk_size])
    ]
    assert [(one.type, one.id, one.parameters) for one in received] == sent
    assert not reader.has_partial_message


@given(st.binary(max_size=400))
def test_any_bytes_are_messages_or_a_protocol_error(data: bytes) -> None:
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
def test_invalid_lengths_and_types_are_refused_immediately(data: bytes) -> None:
    with pytest.raises(ProtocolError):
        list(isup.MessageReader().feed(data))


@given(IDS, st.text(max_size=200), st.integers(1, 10**6))
def test_a_setup_to_a_server_is_one_line_with_its_description_unchanged(
    id_: str, text: str, time_left_ms: int
) -> None:
    data = lines.encode_setup(id_, "booking", "0" * 16, time_left_ms, text)
    (line,) = lines.LineReader().feed(data)
    assert data.count(b"\n") == 1
    assert (line.type, line.id, line.sdp) == ("setup", id_, text)
    assert line.fields == {"class": "booking", "key": "0" * 16, "left": str(time_left_ms)}


@given(st.binary(max_size=300))
def test_any_bytes_are_lines_or_a_protocol_error(data: bytes) -> None:
    try:
        for line in lines.LineReader().feed(data):
            assert isinstance(line.type, str)
            translation.parse_load(line)
            translation.parse_rejection(line, 0)
    except ProtocolError:
        pass


def test_an_overlong_incomplete_line_is_refused() -> None:
    reader = lines.LineReader()

    def feed_all() -> None:
        for _ in range(5):
            list(reader.feed(b'{"type":"answer","id":"' + b"0" * 4_000))

    with pytest.raises(ProtocolError):
        feed_all()


@pytest.mark.parametrize(
    ("text", "expected"),
    [
        ("x0:12;x1:40;queue:3", (12, 40, 3)),
        ("idle:0;circuits:7", (0, 7, None)),
        ("x0:-1;x1:nan;queue:x", (None,) * 3),
        ("", (None,) * 3),
        ("x0:1e400;queue:2.5", (None, None, 2)),
    ],
)
def test_load_reports_are_read_with_either_set_of_names(text: str, expected: tuple[int | None, ...]) -> None:
    load = translation.parse_load(lines.Line("state", fields={"load": text}))
    assert load is not None
    assert (load.free_lines, load.lines, load.queue_length) == expected


@pytest.mark.parametrize("depth", [2, 2_500, 8_000])
def test_nested_input_is_ignored_or_a_protocol_error(depth: int) -> None:
    # Guards against a RecursionError, which left a dead connection in the link's list.
    nested = b"[" * depth + b"]" * depth
    for decode in (lambda data: list(lines.LineReader().feed(data + b"\n")), decode_batch):
        with suppress(ProtocolError):
            assert decode(b'{"type":"state","offset":1,"new":' + nested + b"}")


@given(st.floats(), st.sampled_from(["x0", "x1", "latency_ms", "queue", "util"]))
def test_any_number_in_a_load_report_is_read_or_omitted(value: float, name: str) -> None:
    # Guards against an OverflowError at `latency_ms:1e305`.
    load = translation.parse_load(lines.Line("state", fields={"load": f"{name}:{value!r}"}))
    assert load is not None
    assert load.queue_delay is None or 0 <= load.queue_delay <= lines.MAX_LOAD_VALUE * translation.NS_PER_MS


@pytest.mark.parametrize(
    ("cause", "note", "expected_type"),
    [
        (34, "no_path", setup.NoAgent),
        (34, "queue_long", setup.Full),
        (34, "", setup.Full),
        (17, "line_taken", setup.LineBusy),
        (47, "line_taken", setup.LineBusy),
        (17, "", setup.Fault),
        (47, "", setup.Fault),
        (41, "", None),
        (16, "", setup.Ended),
        (127, "", None),
        (None, "", None),
    ],
)
def test_a_servers_release_is_converted(cause: int | None, note: str, expected_type: type | None) -> None:
    converted = translation.parse_rejection(lines.Line("release", ID, {"note": note}, cause), 2)
    assert (
        converted is None
        if expected_type is None
        else (type(converted) is expected_type and converted is not None and converted.leg == 2)
    )


VALID_PARAMETERS = {
    129: b"only-1",
    131: b"1500",
    137: b"7f3a9c21e0b4d655",
    139: b"dest:1;width:1;via:-1",
    159: b"v=0\r\n",
}


def parse_setup_with(
    id_: str = ID, **changes: bytes
) -> translation.PlatformSetup | translation.EstablishedDialog:
    parameters = VALID_PARAMETERS | {int(code[1:]): value for code, value in changes.items()}
    return translation.parse_setup(isup.Message(isup.IAM, id_, parameters), DEPLOYMENT, {"only-1": 1})


def test_a_set_up_is_converted() -> None:
    converted = parse_setup_with(p139=b"dest:1;width:1;via:-1;again:1")
    assert isinstance(converted, translation.PlatformSetup)
    assert (
        converted.dialog,
        converted.preferred_server_number,
        converted.was_interrupted,
        converted.time_left,
    ) == (ID, 1, True, 1500 * 10**6)
    assert converted.called_number == int("7f3a9c21e0b4d655", 16)
    assert b"7f3a9c21e0b4d655" in translation.encode_for_server(converted)
    report = parse_setup_with(p139=b"dest:1;width:1;at:s-00c41f7a")
    assert isinstance(report, translation.EstablishedDialog)
    assert report.server == "s-00c41f7a"


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
def test_an_invalid_set_up_is_refused(change: dict[str, bytes]) -> None:
    # Servers close the connection on a set-up without an id, and answer 'error' to invalid routing fields.
    with pytest.raises(ProtocolError):
        parse_setup_with(**change)  # type: ignore[arg-type]


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
def test_answers_are_encoded_for_callers(message: setup.LegMessage, kind: int, cause: int) -> None:
    (received,) = isup.MessageReader().feed(translation.encode_for_caller(message))
    assert (received.type, received.id, received.cause) == (kind, ID, cause)
    if isinstance(message, setup.Rejected):
        assert received.parameters[isup.RETRY_AFTER] == b"150"
    if isinstance(message, translation.EstablishedWithDescription):
        assert received.parameters[isup.DESCRIPTION] == b"v=0\r\n"


@pytest.mark.parametrize("reason", ["cancelled", "caller-gone"])
def test_a_caller_that_cancelled_or_left_is_sent_nothing(reason: str) -> None:
    assert translation.encode_for_caller(setup.Failed(ID, 0, reason)) == b""


BODY = (
    b'{"offset":41,"batch":[{"offset":41,"topology":{"seq":7,"whole":false,"hosts":[{"host":"s-1","dial":"h:1",'
    b'"site":"east","class":"std","block":2,"health":"Terminating","share":4,"born_ms":0}]}}]}'
)
RESPONSE = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(BODY), BODY)


@given(st.integers(1, len(RESPONSE)))
def test_only_complete_responses_are_returned(split_at: int) -> None:
    session = BusSession("bus:1")
    assert b"/bus/read?from=40&hold=2000 HTTP/1.1" in session.poll_request(40, 2000)
    first = session.receive(RESPONSE[:split_at])
    if split_at < len(RESPONSE):
        assert first is None
        with pytest.raises(ProtocolError):
            session.receive(b"")
    else:
        assert first == msgspec.json.decode(BODY, type=Batch)
        assert session.is_reusable
        session.poll_request(41, 2000)


HEAD = b"HTTP/1.1 200 OK\r\nContent-Length: 300\r\n\r\n"


@given(st.binary(min_size=1, max_size=300))
def test_any_bytes_from_the_bus_are_a_batch_or_a_protocol_error(data: bytes) -> None:
    session = BusSession("bus:1")
    session.poll_request(0, 2000)
    with suppress(ProtocolError):
        batch = session.receive(b"HTTP/1.1 200 OK\r\nContent-Length: 300\r\n\r\n" + data)
        assert batch is None or len(data) == 300


def test_a_host_is_converted_to_an_endpoint_row() -> None:
    hosts = msgspec.json.decode(BODY, type=Batch).batch[0].topology
    assert hosts is not None
    assert translation.endpoint_row(hosts.hosts[0], 10**18).phase == "draining"
    started = msgspec.structs.replace(hosts.hosts[0], born_ms=10**12 - 3_000, health="Ready")
    assert translation.endpoint_row(started, 10**18).age == 3 * 10**9
