"""Callers' binary messages, after ISUP: a length, a type, the eight bytes of the call id, then parameters.

Decoded messages are well formed; whether their values are valid depends on the configuration and is checked
in platform_edge/translation.py.
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass, field

from valverouter.signalling.framing import ProtocolError

# Message types.
IAM, ACM, ANM, REL, RLC = 1, 6, 9, 12, 16
SERVER_STATE, TEST, TESTED = 43, 52, 53
KNOWN_TYPES = frozenset(
    (  # Message types.
        IAM,
        ACM,
        ANM,
        REL,
        RLC,
        SERVER_STATE,
        TEST,
        TESTED,
    )
)

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

# The length; the type and the call id.
HEADER_SIZE = 2
FIXED_SIZE = 9
MAX_MESSAGE_SIZE = 16 * 1024
PARAMETER_HEADER_SIZE = 3


@dataclass(frozen=True, slots=True)
class Message:
    """One message. `id`: 16 hex digits; of a repeated parameter the first counts."""

    type: int
    id: str
    parameters: dict[int, bytes] = field(default_factory=dict)

    @property
    def cause(self) -> int:
        """The cause of a release, -1 where there is none."""
        value = self.parameters.get(CAUSE, b"")
        return value[0] if len(value) == 1 else -1


class MessageReader:
    """Splits a byte stream into messages; buffers at most one message and the rest of one read."""

    def __init__(self) -> None:
        self._buffer = bytearray()

    @property
    def has_partial_message(self) -> bool:
        """Whether the last bytes are an incomplete message."""
        return bool(self._buffer)

    def feed(self, data: bytes | bytearray) -> Iterator[Message]:
        """Yields the messages that are complete; ProtocolError where one is malformed.

        An invalid length is an error before any byte of the body is buffered.
        """
        self._buffer += data
        at, end = 0, len(self._buffer)
        try:
            while end - at >= HEADER_SIZE:
                size = int.from_bytes(self._buffer[at : at + HEADER_SIZE], "big")
                if not FIXED_SIZE <= size <= MAX_MESSAGE_SIZE - HEADER_SIZE:
                    raise ProtocolError("malformed", f"a message of {size} bytes")
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
        raise ProtocolError("unknown-type", f"a message of type {kind}")
    parameters: dict[int, bytes] = {}
    at, end = FIXED_SIZE, len(body)
    while at < end:
        if at + PARAMETER_HEADER_SIZE > end:
            raise ProtocolError("malformed", "a parameter ends in its head")
        code, size = body[at], int.from_bytes(body[at + 1 : at + 3], "big")
        at += PARAMETER_HEADER_SIZE
        if at + size > end:
            raise ProtocolError("malformed", f"parameter {code} says {size} bytes, {end - at} are left")
        parameters.setdefault(code, body[at : at + size])
        at += size
    return Message(kind, body[1:FIXED_SIZE].hex(), parameters)


def encode(kind: int, id_: str, parameters: dict[int, bytes] | None = None) -> bytes:
    """Encodes a message; ValueError where it would exceed the platform's limit."""
    parts = [bytes((kind,)), bytes.fromhex(id_)]
    for code, value in (parameters or {}).items():
        parts += [bytes((code,)), len(value).to_bytes(2, "big"), value]
    body = b"".join(parts)
    if len(body) > MAX_MESSAGE_SIZE - HEADER_SIZE:
        raise ValueError(f"a message of {len(body)} bytes")
    return len(body).to_bytes(HEADER_SIZE, "big") + body


def encode_release(id_: str, cause: int, retry_after_ms: int = 0) -> bytes:
    """Encodes a release; `retry_after_ms`: the advised delay of a retry, 0: none."""
    parameters = {CAUSE: bytes((cause,))}
    if retry_after_ms > 0:
        parameters[RETRY_AFTER] = b"%d" % retry_after_ms
    return encode(REL, id_, parameters)


def parse_routing_fields(text: bytes) -> dict[str, str]:
    """Parses `dest:2;width:1` into names and values; ProtocolError where the text has another form."""
    values: dict[str, str] = {}
    try:
        decoded = text.decode("ascii")
    except UnicodeDecodeError:
        raise ProtocolError("malformed", "figures that are no ASCII") from None
    for pair in decoded.split(";") if decoded else ():
        name, colon, value = pair.partition(":")
        if not (name and colon and value):
            raise ProtocolError("malformed", f"figures: {pair[:40]!r} is no NAME:VALUE")
        values[name] = value
    return values
