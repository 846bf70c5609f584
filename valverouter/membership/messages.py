"""The messages between members, as plain data; `fleet/` encodes them into datagrams and decodes them.

Every message begins with its sender (`name`, `incarnation`) and the digest of the sender's view. Most
messages piggyback `updates`: records of any members, including the sender's own if the receiver needs it.

This is the wire format: the order of the fields and the tags must not change.
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

    `target_incarnation`: the incarnation to be probed; another incarnation answers with its own record.
    """

    nonce: int = 0
    target_incarnation: int = 0
    updates: tuple[MemberRecord, ...] = ()


class Ack(FleetMessage, frozen=True, array_like=True, tag="a"):
    """The answer to a ping: the member at the pinged address. A helper forwards it under its own header."""

    nonce: int = 0
    member: str = ""
    member_incarnation: int = 0
    updates: tuple[MemberRecord, ...] = ()


class PingReq(FleetMessage, frozen=True, array_like=True, tag="k"):
    """Requests that a helper ping the target.

    The helper forwards the target's ack. Until it has one, it answers with a nack, which shows only that the
    helper runs.
    """

    nonce: int = 0
    target: str = ""
    target_incarnation: int = 0
    target_address: str = ""
    updates: tuple[MemberRecord, ...] = ()


class Nack(FleetMessage, frozen=True, array_like=True, tag="n"):
    """A helper's answer that it has not received an ack from the target yet."""

    nonce: int = 0


class Gossip(FleetMessage, frozen=True, array_like=True, tag="g"):
    """Updates without any other content."""

    updates: tuple[MemberRecord, ...] = ()


class SyncDigests(FleetMessage, frozen=True, array_like=True, tag="s"):
    """Begins an anti-entropy exchange: the digest of each bucket of the sender's view."""

    bucket_digests: tuple[int, ...] = ()
    updates: tuple[MemberRecord, ...] = ()


class SyncRecords(FleetMessage, frozen=True, array_like=True, tag="v"):
    """Records of the buckets that differ.

    `wanted_buckets`: indexes of the buckets whose records the sender requests in return.
    """

    wanted_buckets: tuple[int, ...] = ()
    updates: tuple[MemberRecord, ...] = ()


UpdateCarrier = Ping | Ack | PingReq | Gossip | SyncDigests | SyncRecords
Message = UpdateCarrier | Nack


def updates_of(message: Struct) -> tuple[MemberRecord, ...]:
    """Returns the records that a message carries; empty for message types without updates."""
    return message.updates if isinstance(message, UpdateCarrier) else ()
