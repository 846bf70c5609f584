"""The messages between members, as plain data; `fleet/` encodes them into datagrams and decodes them.

Every message begins with its sender (`name`, `incarnation`) and the digest of the sender's view. Most
piggyback `updates`: records of any members, the sender's own included where the receiver needs it.

These are wire data: the order of the fields and the tags are fixed.
"""

from __future__ import annotations

from msgspec import Struct

from valverouter.membership.records import MemberRecord


class FleetMessage(Struct, frozen=True, array_like=True, tag="Said"):
    """The header of every message: the sender's name and incarnation, and the digest of its view."""

    name: str
    incarnation: int
    digest: int


class Ping(FleetMessage, frozen=True, array_like=True, tag="p"):
    """A direct probe.

    `target_incarnation`: the process that is meant; another one answers with its own record.
    """

    nonce: int = 0
    target_incarnation: int = 0
    updates: tuple[MemberRecord, ...] = ()


class Ack(FleetMessage, frozen=True, array_like=True, tag="a"):
    """The answer to a ping: who runs at the pinged address. A helper passes it on under its own header."""

    nonce: int = 0
    member: str = ""
    member_incarnation: int = 0
    updates: tuple[MemberRecord, ...] = ()


class PingReq(FleetMessage, frozen=True, array_like=True, tag="k"):
    """Asks a helper to ping the target. It answers with the ack it gets, or with a nack that only it runs."""

    nonce: int = 0
    target: str = ""
    target_incarnation: int = 0
    target_address: str = ""
    updates: tuple[MemberRecord, ...] = ()


class Nack(FleetMessage, frozen=True, array_like=True, tag="n"):
    """A helper's answer that the target has not answered it yet."""

    nonce: int = 0


class Gossip(FleetMessage, frozen=True, array_like=True, tag="g"):
    """Updates alone."""

    updates: tuple[MemberRecord, ...] = ()


class SyncDigests(FleetMessage, frozen=True, array_like=True, tag="s"):
    """Begins an anti-entropy exchange: the digest of each bucket of the sender's view."""

    bucket_digests: tuple[int, ...] = ()
    updates: tuple[MemberRecord, ...] = ()


class SyncRecords(FleetMessage, frozen=True, array_like=True, tag="v"):
    """Records of the buckets that differ.

    `wanted_buckets`: indexes of the buckets whose records the sender asks for.
    """

    wanted_buckets: tuple[int, ...] = ()
    updates: tuple[MemberRecord, ...] = ()


UpdateCarrier = Ping | Ack | PingReq | Gossip | SyncDigests | SyncRecords
Message = UpdateCarrier | Nack


def updates_of(message: Struct) -> tuple[MemberRecord, ...]:
    """The records that a message carries; none for messages of other kinds."""
    return message.updates if isinstance(message, UpdateCarrier) else ()
