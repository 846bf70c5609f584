"""Datagrams: a version, which key, a keyed digest, then a counter and a message as MessagePack.

    1 byte    version
    4 bytes   the key's mark
    16 bytes  BLAKE2b keyed, over version, mark and what follows
    rest      [counter, message]

Nothing is read of one whose digest is wrong. The counter grows with each datagram of a life; one that came
before, or lies further back than the window, is a replay. Nothing is ever answered here, so strangers get no
word out of an instance, however many they send.
"""

from __future__ import annotations

import hmac
from collections import Counter
from hashlib import blake2b
from typing import Any

import msgspec
from msgspec import Struct

from valverouter.fleet.asking import Count, Counted, Query, Shown
from valverouter.fleet.parcels import Piece
from valverouter.membership.messages import (
    Ack,
    Gossip,
    Message,
    Nack,
    Ping,
    PingReq,
    SyncDigests,
    SyncRecords,
    updates_of,
)
from valverouter.membership.records import MemberState

VERSION = 1
MOST = 1_400
HEAD = 1 + 4 + 16
# Counters of a life that are told apart behind the highest; lives that are kept.
WINDOW = 1_024
LIVES = 8_192
NAME_MOST = 128
# Words of versions that are not understood are told once each, and so many at most.
VERSIONS_TOLD = 16

Carried = Ping | Ack | PingReq | Nack | Gossip | SyncDigests | SyncRecords | Query | Shown | Count | Counted


class Envelope(Struct, frozen=True, array_like=True):
    counter: int
    message: Carried


class Posted(Struct, frozen=True, array_like=True):
    """As an Envelope, between seats, keepers and tools."""

    counter: int
    message: Piece


class TooLongError(ValueError):
    """A message that no datagram holds."""


class Seal:
    """The keys and the counter of one life. `keys[0]` seals; any of them opens."""

    def __init__(self, keys: tuple[bytes, ...]) -> None:
        self._keys = {mark_of(key): key for key in reversed(keys)}
        self._mark, self._key = mark_of(keys[0]), keys[0]
        self._encoder = msgspec.msgpack.Encoder()
        self._counter = 0

    def seal(self, message: Carried | Piece) -> bytes:
        """The datagram; TooLongError when it would be one of over MOST bytes."""
        self._counter += 1
        body = self._encoder.encode((self._counter, message))
        if len(body) + HEAD > MOST:
            raise TooLongError(f"{len(body) + HEAD} bytes of {type(message).__name__}")
        head = bytes((VERSION,)) + self._mark
        return head + _digest(self._key, head, body) + body

    def opens(self, data: bytes) -> bool:
        """Whether somebody who has one of the keys made it."""
        key = self._keys.get(data[1:5])
        return key is not None and hmac.compare_digest(data[5:HEAD], _digest(key, data[:5], data[HEAD:]))


def mark_of(key: bytes) -> bytes:
    return blake2b(key, digest_size=4, person=b"valverouter-mark").digest()


def _digest(key: bytes, head: bytes, body: bytes) -> bytes:
    digest = blake2b(head, key=key, digest_size=16)
    digest.update(body)
    return digest.digest()


class Window:
    """Which counters of each life came already. The lives heard of longest ago leave first."""

    def __init__(self) -> None:
        self._lives: dict[int, tuple[int, int]] = {}

    def is_new(self, life: int, counter: int) -> bool:
        known = self._lives.pop(life, None)
        if known is None:
            self._lives[life] = counter, 1
            if len(self._lives) > LIVES:
                del self._lives[next(iter(self._lives))]
            return True
        top, seen = known
        if counter > top:
            ahead = counter - top
            seen = (seen << ahead | 1) & ((1 << WINDOW) - 1) if ahead < WINDOW else 1
            self._lives[life] = counter, seen
            return True
        behind = top - counter
        new = behind < WINDOW and not seen >> behind & 1
        self._lives[life] = top, seen | 1 << behind if new else seen
        return new


class Opener:
    """Takes datagrams in; those that are dropped are counted by why, in fixed words."""

    def __init__(self, seal: Seal, kind: type[Envelope] | type[Posted] = Envelope) -> None:
        self.dropped: Counter[str] = Counter()
        # Versions that came under our key and are not ours, until the task has told of them.
        self.strange: list[int] = []
        self._told: set[int] = set()
        self._seal = seal
        self._window = Window()
        self._decoder: msgspec.msgpack.Decoder[Any] = msgspec.msgpack.Decoder(kind)

    def open(self, data: bytes) -> Any:
        """The message, or None where it is not one for us."""
        if len(data) > MOST:
            self.dropped["oversize"] += 1
            return None
        if len(data) <= HEAD or not self._seal.opens(data):
            self.dropped["stranger"] += 1
            return None
        if data[0] != VERSION:
            if data[0] not in self._told and len(self._told) < VERSIONS_TOLD:
                self._told.add(data[0])
                self.strange.append(data[0])
            self.dropped["version"] += 1
            return None
        try:
            envelope = self._decoder.decode(data[HEAD:])
        except msgspec.MsgspecError:
            self.dropped["rubbish"] += 1
            return None
        message = envelope.message
        if not _is_sound(message):
            self.dropped["rubbish"] += 1
            return None
        if not self._window.is_new(message.incarnation, envelope.counter):
            self.dropped["replay"] += 1
            return None
        return message


def _is_sound(message: Carried | Piece) -> bool:
    if len(message.name) > NAME_MOST:
        return False
    return all(
        0 < len(record.name) <= NAME_MOST and record.address and record.state != MemberState.UNKNOWN
        for record in updates_of(message)
    )


def size_of(message: Message) -> int:
    """Bytes of a message as a datagram, for reckoning."""
    return HEAD + len(msgspec.msgpack.encode(Envelope(1 << 20, message)))
