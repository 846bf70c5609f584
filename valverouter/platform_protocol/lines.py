"""Servers' messages on the platform: one JSON object per line."""

from __future__ import annotations

from collections.abc import Iterator

import msgspec

from valverouter.signalling.framing import ProtocolError

MAX_LINE_SIZE = 16 * 1024
# Larger values of a load report are invalid: as a time in nanoseconds they would not be finite.
MAX_LOAD_VALUE = 10**12


class Line(msgspec.Struct, omit_defaults=True):
    """A received message; most types have no `cause` and no `sdp` (the session description)."""

    type: str
    id: str = ""
    fields: dict[str, str | int | float] = {}
    cause: int | None = None
    sdp: str | None = None


class _OutgoingLine(msgspec.Struct):
    """A message to send; `fields` is written even if it is empty."""

    type: str
    id: str
    fields: dict[str, str | int | float]
    cause: int | msgspec.UnsetType = msgspec.UNSET
    sdp: str | msgspec.UnsetType = msgspec.UNSET


_decoder = msgspec.json.Decoder(Line)
_encoder = msgspec.json.Encoder()


class LineReader:
    """Splits a byte stream into messages; buffers one incomplete line of less than MAX_LINE_SIZE bytes."""

    def __init__(self) -> None:
        self._buffer = b""

    def feed(self, data: bytes | bytearray) -> Iterator[Line]:
        """Yields the complete messages; raises ProtocolError if a line is malformed or too long."""
        *lines, self._buffer = (self._buffer + data).split(b"\n")
        for line in lines:
            if len(line) >= MAX_LINE_SIZE:
                raise ProtocolError("too-large", f"line of {len(line)} bytes exceeds the size limit")
            try:
                yield _decoder.decode(line)
            except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
                raise ProtocolError("malformed", str(error)) from None
        if len(self._buffer) >= MAX_LINE_SIZE:
            raise ProtocolError("too-large", "incomplete line exceeds the size limit")


def encode_setup(id_: str, traffic_type: str, key: str, time_left_ms: int, description: str) -> bytes:
    """Encodes a set-up; `key`: the called number as received, `description`: the session description."""
    fields: dict[str, str | int | float] = {"class": traffic_type, "key": key, "left": str(time_left_ms)}
    return _encoder.encode(_OutgoingLine("setup", id_, fields, sdp=description)) + b"\n"


def encode_release(id_: str, cause: int) -> bytes:
    """Encodes a release of an attempt or an established dialog."""
    return _encoder.encode(_OutgoingLine("release", id_, {}, cause)) + b"\n"


def encode_ping(id_: str) -> bytes:
    """Encodes a probe, which the server answers with a pong."""
    return _encoder.encode(_OutgoingLine("ping", id_, {}, 0)) + b"\n"


def parse_load(text: str) -> dict[str, float]:
    """Parses text such as `x0:12;queue:3`; omits values that are not numbers from 0 to MAX_LOAD_VALUE."""
    values: dict[str, float] = {}
    for pair in text.split(";"):
        name, _, value = pair.partition(":")
        try:
            number = float(value)
        except ValueError:
            continue
        if 0 <= number <= MAX_LOAD_VALUE:
            values[name] = number
    return values
