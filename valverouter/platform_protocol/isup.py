"""Callers' binary messages, modelled on ISUP: a length, a type, a call id of eight bytes, then parameters.

This module checks the form of messages only. Which values are valid depends on the configuration and is
checked in platform_edge/translation.py.
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass, field

from valverouter.signalling.framing import ProtocolError

# Message types.
IAM, ACM, ANM, REL, RLC = 1, 6, 9, 12, 16
SERVER_STATE, TEST, TESTED = 43, 52, 53
KNOWN_TYPES = frozenset((IAM, ACM, ANM, REL, RLC, SERVER_STATE, TEST, TESTED))

# Parameter codes.
TRAFFIC_TYPE, TIME_LEFT, RETRY, CALLED, ROUTING_FIELDS, RETRY_AFTER, CAUSE, DESCRIPTION = (
    129,
    131,
    135,
    137,
    139,
    141,
    157,
    159,
)

# The length prefix of a message.
HEADER_SIZE = 2
# The type and the call id.
FIXED_SIZE = 9
# Includes the length prefix.
MAX_MESSAGE_SIZE = 16 * 1024
# The code and the length of a parameter.
PARAMETER_HEADER_SIZE = 3


@dataclass(frozen=True, slots=True)
class Message:
    """One message. `id`: 16 hex digits; `parameters` has the first value of each repeated code."""

    type: int
    id: str
    parameters: dict[int, bytes] = field(default_factory=dict)

    @property
    def cause(self) -> int:
        """The cause of a release; -1 if it has none."""
        value = self.parameters.get(CAUSE, b"")
        return value[0] if len(value) == 1 else -1


class MessageReader:
    """Splits a byte stream into messages; buffers at most one message and the rest of one read."""

    def __init__(self) -> None:
        self._buffer = bytearray()

    @property
    def has_partial_message(self) -> bool:
        """Whether an incomplete message is buffered."""
        return bool(self._buffer)

    def feed(self, data: bytes | bytearray) -> Iterator[Message]:
        """Yields the complete messages; raises ProtocolError if one is malformed.

        The length is checked first, so that the body of a message with an invalid one is not awaited.
        """
        self._buffer += data
        at, end = 0, len(self._buffer)
        try:
            while end - at >= HEADER_SIZE:
                size = int.from_bytes(self._buffer[at : at + HEADER_SIZE], "big")
                if not FIXED_SIZE <= size <= MAX_MESSAGE_SIZE - HEADER_SIZE:
                    raise ProtocolError("malformed", f"invalid message length {size}")
                if end - at - HEADER_SIZE < size:
                    return
                at += HEADER_SIZE + size
                yield decode(bytes(self._buffer[at - size : at]))
        finally:
            del self._buffer[:at]


def decode(body: bytes) -> Message:
    """Decodes a message without its length."""
    kind = body[0]
    if kind not in KNOWN_TYPES:
        raise ProtocolError("unknown-type", f"unknown message type {kind}")
    parameters: dict[int, bytes] = {}
    at, end = FIXED_SIZE, len(body)
    while at < end:
        if at + PARAMETER_HEADER_SIZE > end:
            raise ProtocolError("malformed", "truncated parameter header")
        code, size = body[at], int.from_bytes(body[at + 1 : at + 3], "big")
        at += PARAMETER_HEADER_SIZE
        if at + size > end:
            raise ProtocolError(
                "malformed", f"parameter {code} has length {size}, only {end - at} bytes remain"
            )
        parameters.setdefault(code, body[at : at + size])
        at += size
    return Message(kind, body[1:FIXED_SIZE].hex(), parameters)


def encode(kind: int, id_: str, parameters: dict[int, bytes] | None = None) -> bytes:
    """Encodes a message; raises ValueError if it would exceed MAX_MESSAGE_SIZE."""
    parts = [bytes((kind,)), bytes.fromhex(id_)]
    for code, value in (parameters or {}).items():
        parts += [bytes((code,)), len(value).to_bytes(2, "big"), value]
    body = b"".join(parts)
    if len(body) > MAX_MESSAGE_SIZE - HEADER_SIZE:
        raise ValueError(f"message body of {len(body)} bytes exceeds the limit")
    return len(body).to_bytes(HEADER_SIZE, "big") + body


def encode_release(id_: str, cause: int, retry_after_ms: int = 0) -> bytes:
    """Encodes a release; `retry_after_ms` is the advised delay before a retry, 0 for none."""
    parameters = {CAUSE: bytes((cause,))}
    if retry_after_ms > 0:
        parameters[RETRY_AFTER] = b"%d" % retry_after_ms
    return encode(REL, id_, parameters)


def parse_routing_fields(text: bytes) -> dict[str, str]:
    """Parses text such as `dest:2;width:1` into names and values; raises ProtocolError if it is malformed."""
    values: dict[str, str] = {}
    try:
        decoded = text.decode("ascii")
    except UnicodeDecodeError:
        raise ProtocolError("malformed", "routing fields are not ASCII") from None
    for pair in decoded.split(";") if decoded else ():
        name, colon, value = pair.partition(":")
        if not (name and colon and value):
            raise ProtocolError("malformed", f"routing fields: {pair[:40]!r} is not NAME:VALUE")
        values[name] = value
    return values
