"""Frames on a byte stream: a big-endian length of four bytes, then that many bytes of MessagePack.

Without I/O, as h11, so that edge proxies, fake peers and tests share it.
"""

from __future__ import annotations

from collections.abc import Iterator

import msgspec

HEADER_SIZE = 4
MAX_FRAME_SIZE = 64 * 1024


class ProtocolError(Exception):
    """A peer violated the protocol, ending its connection; `code` is for programs, the text for humans."""

    def __init__(self, code: str, text: str) -> None:
        super().__init__(text)
        self.code = code


class FrameReader:
    """Splits a byte stream into frames; buffers at most one frame and the rest of one read."""

    def __init__(self, max_size: int = MAX_FRAME_SIZE) -> None:
        self.max_size = max_size
        self._buffer = bytearray()

    def feed(self, data: bytes | bytearray) -> Iterator[bytes]:
        """Yields the frames that are complete; ProtocolError("too-large") where a header exceeds the limit.

        The header is checked before any byte of the body is buffered: a peer can't make us buffer more.
        """
        self._buffer += data
        at, end = 0, len(self._buffer)
        try:
            while end - at >= HEADER_SIZE:
                size = int.from_bytes(self._buffer[at : at + HEADER_SIZE], "big")
                if size > self.max_size:
                    raise ProtocolError(
                        "too-large", f"a frame of {size} bytes, at most {self.max_size} are taken"
                    )
                if end - at - HEADER_SIZE < size:
                    return
                at += HEADER_SIZE + size
                yield bytes(self._buffer[at - size : at])
        finally:
            del self._buffer[:at]

    def end(self) -> None:
        """Handles the end of the stream; raises ProtocolError("half-sent") inside a frame."""
        if self._buffer:
            raise ProtocolError("half-sent", f"the stream ended {len(self._buffer)} bytes into a frame")


_encoder = msgspec.msgpack.Encoder()


def encode_frame(message: msgspec.Struct) -> bytes:
    """Encodes one message as a frame; ValueError where it would exceed the limit."""
    out = bytearray(HEADER_SIZE)
    _encoder.encode_into(message, out, HEADER_SIZE)
    size = len(out) - HEADER_SIZE
    if size > MAX_FRAME_SIZE:
        raise ValueError(f"a message of {size} bytes, at most {MAX_FRAME_SIZE} may be sent")
    out[:HEADER_SIZE] = size.to_bytes(HEADER_SIZE, "big")
    return bytes(out)
