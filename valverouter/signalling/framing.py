"""Frames on a byte stream: a big-endian length of four bytes, then that many bytes of MessagePack.

The module does no I/O, like h11, so that edge proxies, fake peers and tests can share it.
"""

from __future__ import annotations

from collections.abc import Iterator

import msgspec

HEADER_SIZE = 4
MAX_FRAME_SIZE = 64 * 1024


class ProtocolError(Exception):
    """A peer violated the protocol, which ends its connection; `code` is machine-readable."""

    def __init__(self, code: str, text: str) -> None:
        super().__init__(text)
        self.code = code


class FrameReader:
    """Splits a byte stream into frames; buffers at most one frame and the rest of one read."""

    def __init__(self, max_size: int = MAX_FRAME_SIZE) -> None:
        self.max_size = max_size
        self._buffer = bytearray()

    def feed(self, data: bytes | bytearray) -> Iterator[bytes]:
        """Yields the bodies of the complete frames; raises ProtocolError("too-large") above the size limit.

        The length is checked before the body is awaited, which limits how much a peer can make us buffer.
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
        """Handles the end of the stream; raises ProtocolError("half-sent") if a frame is incomplete."""
        if self._buffer:
            raise ProtocolError("half-sent", f"the stream ended {len(self._buffer)} bytes into a frame")


_encoder = msgspec.msgpack.Encoder()


def encode_frame(message: msgspec.Struct) -> bytes:
    """Encodes one message as a frame; raises ValueError if it exceeds MAX_FRAME_SIZE."""
    out = bytearray(HEADER_SIZE)
    _encoder.encode_into(message, out, HEADER_SIZE)
    size = len(out) - HEADER_SIZE
    if size > MAX_FRAME_SIZE:
        raise ValueError(f"message of {size} bytes exceeds the limit of {MAX_FRAME_SIZE}")
    out[:HEADER_SIZE] = size.to_bytes(HEADER_SIZE, "big")
    return bytes(out)
