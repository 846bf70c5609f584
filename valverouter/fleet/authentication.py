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

from valverouter.fleet.fragmentation import Fragment
from valverouter.fleet.queries import CountersQuery, CountersReply, ViewPage, ViewQuery
from valverouter.membership.messages import Ack, Ask, Gossip, Message, Nack, Pages, Ping, Sync
from valverouter.membership.records import State

PROTOCOL_VERSION = 1
MAX_DATAGRAM_BYTES = 1_400
HEADER_BYTES = 1 + 4 + 16
# Counters of a life that are told apart behind the highest; lives that are kept.
WINDOW_SIZE = 1_024
MAX_INCARNATIONS = 8_192
MAX_NAME_LENGTH = 128
# Words of versions that are not understood are told once each, and so many at most.
MAX_REPORTED_VERSIONS = 16

MembershipDatagram = (
    Ping | Ack | Ask | Nack | Gossip | Sync | Pages | ViewQuery | ViewPage | CountersQuery | CountersReply
)


class Envelope(Struct, frozen=True, array_like=True):
    counter: int
    message: MembershipDatagram


class FragmentEnvelope(Struct, frozen=True, array_like=True):
    """As an Envelope, between seats, keepers and tools."""

    counter: int
    message: Fragment


class MessageTooLongError(ValueError):
    """A message that no datagram holds."""


class Authenticator:
    """The keys and the counter of one life. `keys[0]` seals; any of them opens."""

    def __init__(self, keys: tuple[bytes, ...]) -> None:
        self._keys = {key_id(key): key for key in reversed(keys)}
        self._key_id, self._key = key_id(keys[0]), keys[0]
        self._encoder = msgspec.msgpack.Encoder()
        self._counter = 0

    def sign(self, message: MembershipDatagram | Fragment) -> bytes:
        """The datagram; TooLongError when it would be one of over MOST bytes."""
        self._counter += 1
        body = self._encoder.encode((self._counter, message))
        if len(body) + HEADER_BYTES > MAX_DATAGRAM_BYTES:
            raise MessageTooLongError(f"{len(body) + HEADER_BYTES} bytes of {type(message).__name__}")
        head = bytes((PROTOCOL_VERSION,)) + self._key_id
        return head + _digest(self._key, head, body) + body

    def verify(self, data: bytes) -> bool:
        """Whether somebody who has one of the keys made it."""
        key = self._keys.get(data[1:5])
        return key is not None and hmac.compare_digest(
            data[5:HEADER_BYTES], _digest(key, data[:5], data[HEADER_BYTES:])
        )


def key_id(key: bytes) -> bytes:
    return blake2b(key, digest_size=4, person=b"valverouter-mark").digest()


def _digest(key: bytes, head: bytes, body: bytes) -> bytes:
    digest = blake2b(head, key=key, digest_size=16)
    digest.update(body)
    return digest.digest()


class ReplayWindow:
    """Which counters of each life came already. The lives heard of longest ago leave first."""

    def __init__(self) -> None:
        self._lives: dict[int, tuple[int, int]] = {}

    def accept(self, life: int, counter: int) -> bool:
        known = self._lives.pop(life, None)
        if known is None:
            self._lives[life] = counter, 1
            if len(self._lives) > MAX_INCARNATIONS:
                del self._lives[next(iter(self._lives))]
            return True
        top, seen = known
        if counter > top:
            ahead = counter - top
            seen = (seen << ahead | 1) & ((1 << WINDOW_SIZE) - 1) if ahead < WINDOW_SIZE else 1
            self._lives[life] = counter, seen
            return True
        behind = top - counter
        new = behind < WINDOW_SIZE and not seen >> behind & 1
        self._lives[life] = top, seen | 1 << behind if new else seen
        return new


class DatagramReader:
    """Takes datagrams in; those that are dropped are counted by why, in fixed words."""

    def __init__(self, seal: Authenticator, kind: type[Envelope] | type[FragmentEnvelope] = Envelope) -> None:
        self.dropped: Counter[str] = Counter()
        # Versions that came under our key and are not ours, until the task has told of them.
        self.unknown_versions: list[int] = []
        self._reported_versions: set[int] = set()
        self._authenticator = seal
        self._window = ReplayWindow()
        self._decoder: msgspec.msgpack.Decoder[Any] = msgspec.msgpack.Decoder(kind)

    def read(self, data: bytes) -> Any:
        """The message, or None where it is not one for us."""
        if len(data) > MAX_DATAGRAM_BYTES:
            self.dropped["oversize"] += 1
            return None
        if len(data) <= HEADER_BYTES or not self._authenticator.verify(data):
            self.dropped["stranger"] += 1
            return None
        if data[0] != PROTOCOL_VERSION:
            if (
                data[0] not in self._reported_versions
                and len(self._reported_versions) < MAX_REPORTED_VERSIONS
            ):
                self._reported_versions.add(data[0])
                self.unknown_versions.append(data[0])
            self.dropped["version"] += 1
            return None
        try:
            envelope = self._decoder.decode(data[HEADER_BYTES:])
        except msgspec.MsgspecError:
            self.dropped["rubbish"] += 1
            return None
        message = envelope.message
        if not _is_well_formed(message):
            self.dropped["rubbish"] += 1
            return None
        if not self._window.accept(message.life, envelope.counter):
            self.dropped["replay"] += 1
            return None
        return message


def _is_well_formed(message: MembershipDatagram | Fragment) -> bool:
    if len(message.name) > MAX_NAME_LENGTH:
        return False
    return all(
        0 < len(record.name) <= MAX_NAME_LENGTH and record.address and record.state != State.UNKNOWN
        for record in getattr(message, "news", ())
    )


def datagram_size(message: Message) -> int:
    """Bytes of a message as a datagram, for reckoning."""
    return HEADER_BYTES + len(msgspec.msgpack.encode(Envelope(1 << 20, message)))
