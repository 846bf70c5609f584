"""Frames on a byte stream: a length of four bytes, big-endian, then so many bytes of MessagePack.

Fed bytes, gives whole frames; as in h11 it does no I/O, so the edge, the fakes and the tests share it.
"""

from __future__ import annotations

from collections.abc import Iterator

import msgspec

HEAD = 4
MOST = 64 * 1024


class ProtocolError(Exception):
    """A peer broke the protocol: `code` for programs, the text for people. Costs that connection alone."""

    def __init__(self, code: str, text: str) -> None:
        super().__init__(text)
        self.code = code


class FrameReader:
    """Collects bytes into frames. Holds at most one frame and what one read brought beyond it."""

    def __init__(self, most: int = MOST) -> None:
        self.most = most
        self._held = bytearray()

    def feed(self, data: bytes | bytearray) -> Iterator[bytes]:
        """The frames now complete; ProtocolError("too-large") as soon as a head announces too many bytes.

        The cap is held against the head, before a byte of the body is kept: a peer can't make us hold more.
        """
        self._held += data
        at, end = 0, len(self._held)
        try:
            while end - at >= HEAD:
                size = int.from_bytes(self._held[at : at + HEAD], "big")
                if size > self.most:
                    raise ProtocolError(
                        "too-large", f"a frame of {size} bytes, at most {self.most} are taken"
                    )
                if end - at - HEAD < size:
                    return
                at += HEAD + size
                yield bytes(self._held[at - size : at])
        finally:
            del self._held[:at]

    def end(self) -> None:
        """The stream has ended; ProtocolError("half-sent") when it did so inside a frame."""
        if self._held:
            raise ProtocolError("half-sent", f"the stream ended {len(self._held)} bytes into a frame")


_encoder = msgspec.msgpack.Encoder()


def frame(message: msgspec.Struct) -> bytes:
    """One message as the bytes that go out; ValueError when it would pass the cap."""
    out = bytearray(HEAD)
    _encoder.encode_into(message, out, HEAD)
    size = len(out) - HEAD
    if size > MOST:
        raise ValueError(f"a message of {size} bytes, at most {MOST} may be sent")
    out[:HEAD] = size.to_bytes(HEAD, "big")
    return bytes(out)
