"""What every protocol of ours opens with: a versioned hello, its welcome, and the one clear error.

The versions that a side speaks are a range; the highest that both speak is used. Fields that are not known
are ignored, messages that are not known are answered with NotUnderstood, so that a newer peer can be met
halfway.
"""

from __future__ import annotations

from collections.abc import Iterable
from functools import cache
from typing import Annotated, Any

import msgspec
from msgspec import Meta, Struct

from valverouter.signalling.framing import FrameReader, ProtocolError, frame

OLDEST, NEWEST = 1, 2

Name = Annotated[str, Meta(min_length=1, max_length=128)]
Text = Annotated[str, Meta(max_length=512)]
Count = Annotated[int, Meta(ge=0)]


class Hello(Struct, tag_field="t", tag="hello", frozen=True, omit_defaults=True):
    """First from the side that connects. `speaks`: oldest and newest version. `role`: caller, edge.

    `epoch` (version 2): grows with each start of an edge proxy that keeps a ledger, 0: it keeps none.
    """

    speaks: tuple[int, int]
    role: Name
    name: Name
    epoch: Count = 0


class Welcome(Struct, tag_field="t", tag="welcome", frozen=True, omit_defaults=True):
    """The answer to a Hello. `incarnation` grows with each start of the process; `age` in ns since that
    start. `epoch` (version 2): over 0 where what was taken here may be resumed after a break."""

    version: int
    name: Name
    incarnation: int = 0
    age: Count = 0
    epoch: Count = 0


class Error(Struct, tag_field="t", tag="error", frozen=True):
    """The last message on a connection that its sender gives up; `code` as ProtocolError has it."""

    code: Name
    text: Text


class NotUnderstood(Struct, tag_field="t", tag="not-understood", frozen=True):
    """The answer to a message of a kind that is not known; the connection goes on."""

    kind: Text


class _Kind(Struct, tag_field=None):
    t: str


Greeting = Hello | Welcome | Error | NotUnderstood


@cache
def _decoder(kinds: tuple[type[Struct], ...]) -> msgspec.msgpack.Decoder[Any]:
    """Made once for each protocol: made for each connection, it was most of what a new one cost."""
    union: Any = kinds[0]
    for kind in kinds[1:]:
        union = union | kind
    return msgspec.msgpack.Decoder(union)


_kinds = msgspec.msgpack.Decoder(_Kind)


class Session:
    """One side of one connection: bytes in, messages out, and which of them may come now.

    `kinds` are the message types of the protocol besides the greeting's. A subclass says in `_check_in` and
    `_check_out` what its state allows; both raise ProtocolError("out-of-state").
    """

    def __init__(self, kinds: Iterable[type[Struct]], hello: Hello | None, most: int) -> None:
        kinds = tuple(kinds)
        every: tuple[type[Struct], ...] = (Hello, Welcome, Error, NotUnderstood, *kinds)
        self._own = frozenset(kinds)
        self._known = {kind.__struct_config__.tag for kind in every}
        self._decoder = _decoder(every)
        self._kind = _kinds
        self._frames = FrameReader(most)
        self.asking = hello is not None
        self._hello = hello
        self.version = 0
        self.peer = ""
        self.over = False

    def opening(self) -> bytes:
        """The first bytes of the side that connects."""
        assert self._hello is not None
        return frame(self._hello)

    def receive(self, data: bytes | bytearray) -> Iterable[Any]:
        """The messages that these bytes complete; empty bytes are the stream's end.

        Raises ProtocolError: malformed, too-large, half-sent, version, out-of-state, or what the peer's Error
        said as "peer:CODE". After it only `farewell` may be called. Kinds that are not known come as
        NotUnderstood with the text to send back.
        """
        if not data:
            self.end()
            return
        for body in self._frames.feed(data):
            yield self._take(body)

    def end(self) -> None:
        """The stream has ended; ProtocolError("half-sent") when it did so inside a frame."""
        self._frames.end()

    def _take(self, body: bytes) -> Any:
        try:
            message = self._decoder.decode(body)
        except (msgspec.DecodeError, UnicodeDecodeError) as error:
            kind = self._kind_of(body)
            if kind is None or kind in self._known:
                raise ProtocolError("malformed", f"{kind or 'no message'}: {error}") from None
            if not self.version:
                raise ProtocolError("out-of-state", f"{kind[:64]!r} before the hello") from None
            return NotUnderstood(kind[:64])
        if type(message) in self._own and self.version:
            self._check_in(message)
            return message
        if isinstance(message, Error):
            raise ProtocolError(f"peer:{message.code}", message.text)
        if isinstance(message, Hello | Welcome):
            self._greeted(message)
        elif not self.version:
            raise ProtocolError("out-of-state", f"{type(message).__name__} before the hello")
        return message

    def _kind_of(self, body: bytes) -> str | None:
        try:
            return self._kind.decode(body).t
        except (msgspec.DecodeError, UnicodeDecodeError):
            return None

    def _greeted(self, message: Hello | Welcome) -> None:
        if self.version or isinstance(message, Hello) == self.asking:
            raise ProtocolError("out-of-state", f"{type(message).__name__} is not expected here")
        if isinstance(message, Hello):
            oldest, newest = message.speaks
            common = min(newest, NEWEST)
            if common < max(oldest, OLDEST):
                raise ProtocolError(
                    "version", f"you speak {oldest} to {newest}, this side {OLDEST} to {NEWEST}"
                )
            self.version = common
        else:
            if not OLDEST <= message.version <= NEWEST:
                raise ProtocolError("version", f"version {message.version} was not offered")
            self.version = message.version
        self.peer = message.name

    def send(self, message: Any) -> bytes:
        """A message as bytes; ProtocolError("out-of-state") where the state forbids it: an error of ours."""
        if type(message) in self._own:
            if not self.version:
                raise ProtocolError("out-of-state", f"{type(message).__name__} before the hello")
            self._check_out(message)
        return frame(message)

    def farewell(self, error: ProtocolError) -> bytes:
        """The one Error that ends this connection, or nothing when the peer gave up first or has gone."""
        first, self.over = not self.over, True
        if not first or error.code.startswith("peer:") or error.code == "half-sent":
            return b""
        return frame(Error(error.code, str(error)[:512]))

    def _check_in(self, message: Any) -> None:
        raise NotImplementedError

    def _check_out(self, message: Any) -> None:
        raise NotImplementedError
