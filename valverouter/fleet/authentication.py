"""Authenticated datagrams: version, key id and keyed digest, then a counter and a message as MessagePack.

    1 byte    protocol version
    4 bytes   key id
    16 bytes  keyed BLAKE2b digest of version, key id and body
    rest      body: [counter, message]

The body is decoded only after the digest has been verified. The counter increases with each datagram of an
incarnation (one run of a process); a counter that was already received, or is older than the replay window,
is rejected. This layer never sends replies, so an unauthenticated sender can't provoke any traffic.
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
from valverouter.fleet.replay_window import ReplayWindow
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

PROTOCOL_VERSION = 1
MAX_DATAGRAM_BYTES = 1_400
VERSION_BYTES = 1
KEY_ID_BYTES = 4
DIGEST_BYTES = 16
# Version and key id, which the digest covers as well.
PREFIX_BYTES = VERSION_BYTES + KEY_ID_BYTES
HEADER_BYTES = PREFIX_BYTES + DIGEST_BYTES
MAX_NAME_LENGTH = 128
# Maximum number of distinct unknown protocol versions that are reported, once each.
MAX_REPORTED_VERSIONS = 16
# A counter typical of a long-running process, for estimating the size of datagrams.
TYPICAL_COUNTER = 1 << 20

MembershipMessage = Ping | Ack | PingReq | Nack | Gossip | SyncDigests | SyncRecords
QueryMessage = ViewQuery | ViewPage | CountersQuery | CountersReply
MembershipDatagram = MembershipMessage | QueryMessage


class Envelope(Struct, frozen=True, array_like=True):
    """The body of a datagram on a membership socket."""

    counter: int
    message: MembershipDatagram


class FragmentEnvelope(Struct, frozen=True, array_like=True):
    """The body of a datagram between raft servers, supervisors and operators' clients."""

    counter: int
    message: Fragment


class MessageTooLongError(ValueError):
    """Raised when a message does not fit into one datagram."""


class Authenticator:
    """Signs and verifies datagrams with the fleet's keys; holds the datagram counter of one incarnation.

    `keys[0]` signs; any of the keys verifies, so that a key can be rotated while the fleet runs.
    """

    def __init__(self, keys: tuple[bytes, ...]) -> None:
        """Starts the datagram counter at 1."""
        self._keys = {key_id(key): key for key in reversed(keys)}
        self._signing_key = keys[0]
        self._key_id = key_id(keys[0])
        self._encoder = msgspec.msgpack.Encoder()
        self._counter = 0

    def sign(self, message: MembershipDatagram | Fragment) -> bytes:
        """Returns the signed datagram; raises MessageTooLongError above MAX_DATAGRAM_BYTES."""
        self._counter += 1
        body = self._encoder.encode((self._counter, message))
        size = len(body) + HEADER_BYTES
        if size > MAX_DATAGRAM_BYTES:
            raise MessageTooLongError(f"datagram with {type(message).__name__} would have {size} bytes")
        prefix = bytes((PROTOCOL_VERSION,)) + self._key_id
        return prefix + _digest(self._signing_key, prefix, body) + body

    def verify(self, datagram: bytes) -> bool:
        """Returns whether the datagram was signed with one of the keys."""
        prefix = datagram[:PREFIX_BYTES]
        key = self._keys.get(prefix[VERSION_BYTES:])
        if key is None:
            return False
        digest = datagram[PREFIX_BYTES:HEADER_BYTES]
        return hmac.compare_digest(digest, _digest(key, prefix, datagram[HEADER_BYTES:]))


def key_id(key: bytes) -> bytes:
    """Returns the id that identifies a key in datagrams without disclosing it."""
    return blake2b(key, digest_size=KEY_ID_BYTES, person=b"valverouter-mark").digest()


def _digest(key: bytes, prefix: bytes, body: bytes) -> bytes:
    digest = blake2b(prefix, key=key, digest_size=DIGEST_BYTES)
    digest.update(body)
    return digest.digest()


class DatagramReader:
    """Verifies and decodes incoming datagrams, and counts dropped ones by reason."""

    def __init__(
        self, authenticator: Authenticator, envelope: type[Envelope] | type[FragmentEnvelope] = Envelope
    ) -> None:
        """`envelope` is the type as which datagram bodies are decoded."""
        self.dropped: Counter[str] = Counter()
        # Unknown versions in datagrams with a valid digest, not logged yet; the owner clears the list.
        self.unknown_versions: list[int] = []
        self._reported_versions: set[int] = set()
        self._authenticator = authenticator
        self._window = ReplayWindow()
        self._decoder: msgspec.msgpack.Decoder[Any] = msgspec.msgpack.Decoder(envelope)

    def read(self, datagram: bytes) -> Any:
        """Returns the message, or None after counting the reason in `dropped`."""
        if len(datagram) > MAX_DATAGRAM_BYTES:
            return self._drop("oversize")
        if len(datagram) <= HEADER_BYTES or not self._authenticator.verify(datagram):
            return self._drop("stranger")
        if datagram[0] != PROTOCOL_VERSION:
            self._record_unknown_version(datagram[0])
            return self._drop("version")
        try:
            envelope = self._decoder.decode(datagram[HEADER_BYTES:])
        except msgspec.MsgspecError:
            return self._drop("rubbish")
        message = envelope.message
        if not _is_well_formed(message):
            return self._drop("rubbish")
        if not self._window.accept(message.incarnation, envelope.counter):
            return self._drop("replay")
        return message

    def _drop(self, reason: str) -> None:
        self.dropped[reason] += 1

    def _record_unknown_version(self, version: int) -> None:
        if version not in self._reported_versions and len(self._reported_versions) < MAX_REPORTED_VERSIONS:
            self._reported_versions.add(version)
            self.unknown_versions.append(version)


def _is_well_formed(message: MembershipDatagram | Fragment) -> bool:
    """Returns whether names are within their length limit and records are valid in a message."""
    if len(message.name) > MAX_NAME_LENGTH:
        return False
    return all(
        0 < len(record.name) <= MAX_NAME_LENGTH and record.address and record.state != MemberState.UNKNOWN
        for record in updates_of(message)
    )


def datagram_size(message: Message) -> int:
    """Returns the estimated size in bytes of the datagram with a membership message."""
    return HEADER_BYTES + len(msgspec.msgpack.encode(Envelope(TYPICAL_COUNTER, message)))
