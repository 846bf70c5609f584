"""The handshake shared by all protocols of this package: Hello, Welcome, Error and NotUnderstood.

Each side supports a range of versions; the highest common one is used. Unknown fields are ignored and
messages of an unknown type are answered with NotUnderstood, so that newer peers can connect.
"""

from __future__ import annotations

from collections.abc import Iterable
from functools import cache
from typing import Annotated, Any

import msgspec
from msgspec import Meta, Struct

from valverouter.signalling.framing import FrameReader, ProtocolError, encode_frame

OLDEST_VERSION, NEWEST_VERSION = 1, 2

Name = Annotated[str, Meta(min_length=1, max_length=128)]
Text = Annotated[str, Meta(max_length=512)]
Count = Annotated[int, Meta(ge=0)]


class Hello(
    Struct, tag_field="t", tag="hello", frozen=True, omit_defaults=True, rename={"versions": "speaks"}
):
    """The client's first message. `versions`: the oldest and the newest supported. `role`: caller or edge.

    `epoch` (version 2): increases with each start of an edge proxy that has a dialog store; 0 without one.
    """

    versions: tuple[int, int]
    role: Name
    name: Name
    epoch: Count = 0


class Welcome(Struct, tag_field="t", tag="welcome", frozen=True, omit_defaults=True):
    """The reply to a Hello.

    `incarnation` increases with each start of the process; `age`: nanoseconds since that start. `epoch`
    (version 2): positive if legs may be resumed after the connection is lost.
    """

    version: int
    name: Name
    incarnation: int = 0
    age: Count = 0
    epoch: Count = 0


class Error(Struct, tag_field="t", tag="error", frozen=True):
    """The last message on a connection that its sender closes; `code` is that of the ProtocolError."""

    code: Name
    text: Text


class NotUnderstood(Struct, tag_field="t", tag="not-understood", frozen=True):
    """The reply to a message of an unknown type; the connection stays open."""

    kind: Text


class _MessageTag(Struct, tag_field=None, rename={"tag": "t"}):
    tag: str


Greeting = Hello | Welcome | Error | NotUnderstood


@cache
def _decoder(message_types: tuple[type[Struct], ...]) -> msgspec.msgpack.Decoder[Any]:
    """The decoder of a protocol. Cached: building one per connection dominated the cost of a connection."""
    union: Any = message_types[0]
    for kind in message_types[1:]:
        union = union | kind
    return msgspec.msgpack.Decoder(union)


_tag_decoder = msgspec.msgpack.Decoder(_MessageTag)


def message_name(message_type: type[Struct]) -> str:
    """The name of a message type in error texts sent to the peer: its tag in camel case."""
    return "".join(word.capitalize() for word in str(message_type.__struct_config__.tag).split("-"))


class Session:
    """One side of one connection: decodes and encodes messages and checks their order.

    `message_types`: the message types of the protocol without those of the handshake; `hello` is None on the
    server side. Subclasses implement `_check_received` and `_check_sent`, which raise
    ProtocolError("out-of-state").
    """

    def __init__(self, message_types: Iterable[type[Struct]], hello: Hello | None, max_size: int) -> None:
        message_types = tuple(message_types)
        all_types: tuple[type[Struct], ...] = (Hello, Welcome, Error, NotUnderstood, *message_types)
        self._protocol_types = frozenset(message_types)
        self._known_tags = {kind.__struct_config__.tag for kind in all_types}
        self._decoder = _decoder(all_types)
        self._frames = FrameReader(max_size)
        self.is_client = hello is not None
        self._hello = hello
        self.version = 0
        self.peer = ""
        self.is_finished = False

    def hello_frame(self) -> bytes:
        """Encodes the Hello, the client's first message."""
        assert self._hello is not None
        return encode_frame(self._hello)

    def receive(self, data: bytes | bytearray) -> Iterable[Any]:
        """Yields the messages completed by these bytes; empty bytes mean the end of the stream.

        Raises ProtocolError: malformed, too-large, half-sent, version, out-of-state, or "peer:CODE" for the
        peer's Error. Only `error_frame` may be called afterwards. A message of an unknown type is yielded as
        the NotUnderstood to reply with.
        """
        if not data:
            self.end()
            return
        for body in self._frames.feed(data):
            yield self._decode(body)

    def end(self) -> None:
        """Handles the end of the stream; raises ProtocolError("half-sent") if a frame is incomplete."""
        self._frames.end()

    def _decode(self, body: bytes) -> Any:
        try:
            message = self._decoder.decode(body)
        except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
            kind = self._tag_of(body)
            if kind is None or kind in self._known_tags:
                raise ProtocolError("malformed", f"{kind or 'no message'}: {error}") from None
            if not self.version:
                raise ProtocolError("out-of-state", f"{kind[:64]!r} before the hello") from None
            return NotUnderstood(kind[:64])
        if type(message) in self._protocol_types and self.version:
            self._check_received(message)
            return message
        if isinstance(message, Error):
            raise ProtocolError(f"peer:{message.code}", message.text)
        if isinstance(message, Hello | Welcome):
            self._on_greeting(message)
        elif not self.version:
            raise ProtocolError("out-of-state", f"{message_name(type(message))} before the hello")
        return message

    def _tag_of(self, body: bytes) -> str | None:
        try:
            return _tag_decoder.decode(body).tag
        except (msgspec.DecodeError, UnicodeDecodeError, RecursionError):
            return None

    def _on_greeting(self, message: Hello | Welcome) -> None:
        if self.version or isinstance(message, Hello) == self.is_client:
            raise ProtocolError("out-of-state", f"{message_name(type(message))} is not expected here")
        if isinstance(message, Hello):
            oldest, newest = message.versions
            common = min(newest, NEWEST_VERSION)
            if common < max(oldest, OLDEST_VERSION):
                raise ProtocolError(
                    "version",
                    f"you speak {oldest} to {newest}, this side {OLDEST_VERSION} to {NEWEST_VERSION}",
                )
            self.version = common
        else:
            if not OLDEST_VERSION <= message.version <= NEWEST_VERSION:
                raise ProtocolError("version", f"version {message.version} was not offered")
            self.version = message.version
        self.peer = message.name

    def send(self, message: Any) -> bytes:
        """Encodes a message; raises ProtocolError("out-of-state") if the state does not allow it."""
        if type(message) in self._protocol_types:
            if not self.version:
                raise ProtocolError("out-of-state", f"{message_name(type(message))} before the hello")
            self._check_sent(message)
        return encode_frame(message)

    def error_frame(self, error: ProtocolError) -> bytes:
        """Encodes the Error that ends this connection; empty after the first, or if the peer ended it."""
        first, self.is_finished = not self.is_finished, True
        if not first or error.code.startswith("peer:") or error.code == "half-sent":
            return b""
        return encode_frame(Error(error.code, str(error)[:512]))

    def _check_received(self, message: Any) -> None:
        raise NotImplementedError

    def _check_sent(self, message: Any) -> None:
        raise NotImplementedError
