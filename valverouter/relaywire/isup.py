"""Callers' binary messages, after ISUP: a length, a type, the call's eight bytes, then parameters.

Fed bytes, gives whole messages; gives bytes for messages. What it hands on is well formed, not yet sensible:
whether a class or a figure means anything is for whoever knows the settings.
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass, field

from valverouter.signalling.framing import ProtocolError

IAM, ACM, ANM, REL, RLC = 1, 6, 9, 12, 16
STATE, TEST, TESTED = 43, 52, 53
KNOWN = frozenset((IAM, ACM, ANM, REL, RLC, STATE, TEST, TESTED))

CLASS, LEFT, RETRY, CALLED, FIGURES, COME_BACK, CAUSE, DESCRIPTION = 129, 131, 135, 137, 139, 141, 157, 159

HEAD = 2
FIXED = 9
MOST = 16 * 1024


@dataclass(frozen=True, slots=True)
class Message:
    """One message. `id` is 16 hex digits; of a parameter that comes twice the first counts."""

    type: int
    id: str
    parameters: dict[int, bytes] = field(default_factory=dict)

    @property
    def cause(self) -> int:
        """-1 where there is none."""
        value = self.parameters.get(CAUSE, b"")
        return value[0] if len(value) == 1 else -1


class MessageReader:
    """Collects bytes into messages. Holds at most one message and what one read brought beyond it."""

    def __init__(self) -> None:
        self._held = bytearray()

    @property
    def is_half(self) -> bool:
        """Whether the last bytes are a message that has not come whole."""
        return bool(self._held)

    def feed(self, data: bytes | bytearray) -> Iterator[Message]:
        """The messages now complete. A length that can't be is told before a byte of the body is kept."""
        self._held += data
        at, end = 0, len(self._held)
        try:
            while end - at >= HEAD:
                size = int.from_bytes(self._held[at : at + HEAD], "big")
                if not FIXED <= size <= MOST - HEAD:
                    raise ProtocolError("malformed", f"a message of {size} bytes")
                if end - at - HEAD < size:
                    return
                at += HEAD + size
                yield read(bytes(self._held[at - size : at]))
        finally:
            del self._held[:at]


def read(body: bytes) -> Message:
    """A message from what its length counts."""
    kind = body[0]
    if kind not in KNOWN:
        raise ProtocolError("unknown-type", f"a message of type {kind}")
    parameters: dict[int, bytes] = {}
    at, end = FIXED, len(body)
    while at < end:
        if at + 3 > end:
            raise ProtocolError("malformed", "a parameter ends in its head")
        code, size = body[at], int.from_bytes(body[at + 1 : at + 3], "big")
        at += 3
        if at + size > end:
            raise ProtocolError("malformed", f"parameter {code} says {size} bytes, {end - at} are left")
        parameters.setdefault(code, body[at : at + size])
        at += size
    return Message(kind, body[1:FIXED].hex(), parameters)


def write(kind: int, id_: str, parameters: dict[int, bytes] | None = None) -> bytes:
    """The bytes of a message; ValueError where it would pass the platform's bound."""
    parts = [bytes((kind,)), bytes.fromhex(id_)]
    for code, value in (parameters or {}).items():
        parts += [bytes((code,)), len(value).to_bytes(2, "big"), value]
    body = b"".join(parts)
    if len(body) > MOST - HEAD:
        raise ValueError(f"a message of {len(body)} bytes")
    return len(body).to_bytes(HEAD, "big") + body


def release(id_: str, cause: int, come_back_ms: int = 0) -> bytes:
    parameters = {CAUSE: bytes((cause,))}
    if come_back_ms > 0:
        parameters[COME_BACK] = b"%d" % come_back_ms
    return write(REL, id_, parameters)


def figures(text: bytes) -> dict[str, str]:
    """`dest:2;width:1` as names and words; ProtocolError where it has another form."""
    found: dict[str, str] = {}
    try:
        words = text.decode("ascii")
    except UnicodeDecodeError:
        raise ProtocolError("malformed", "figures that are no ASCII") from None
    for pair in words.split(";") if words else ():
        name, colon, value = pair.partition(":")
        if not (name and colon and value):
            raise ProtocolError("malformed", f"figures: {pair[:40]!r} is no NAME:VALUE")
        found[name] = value
    return found
