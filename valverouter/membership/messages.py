"""The messages between members, as plain data; `fleet/` encodes them into datagrams and decodes them.

Every message begins with its sender (`name`, `life`) and the digest of the sender's view. Most piggyback
`news`: records of any members, the sender's own included where the receiver needs it.

These are wire data: the order of the fields and the tags are fixed.
"""

from __future__ import annotations

from msgspec import Struct

from valverouter.membership.records import Record


class Said(Struct, frozen=True, array_like=True, tag="Said"):
    """The header of every message: the sender's name and incarnation, and the digest of its view."""

    name: str
    life: int
    digest: int


class Ping(Said, frozen=True, array_like=True, tag="p"):
    """A direct probe. `to_life`: the process that is meant; another one answers with its own record."""

    nonce: int = 0
    to_life: int = 0
    news: tuple[Record, ...] = ()


class Ack(Said, frozen=True, array_like=True, tag="a"):
    """The answer to a ping: who runs at the pinged address. A helper passes it on under its own header."""

    nonce: int = 0
    of: str = ""
    of_life: int = 0
    news: tuple[Record, ...] = ()


class Ask(Said, frozen=True, array_like=True, tag="k"):
    """Asks a helper to ping `address`. It answers with the ack it gets, or with a nack that only it runs."""

    nonce: int = 0
    of: str = ""
    of_life: int = 0
    address: str = ""
    news: tuple[Record, ...] = ()


class Nack(Said, frozen=True, array_like=True, tag="n"):
    """A helper's answer that the target has not answered it yet."""

    nonce: int = 0


class Gossip(Said, frozen=True, array_like=True, tag="g"):
    """Updates alone."""

    news: tuple[Record, ...] = ()


class Sync(Said, frozen=True, array_like=True, tag="s"):
    """Begins an anti-entropy exchange: the digest of each bucket of the sender's view."""

    buckets: tuple[int, ...] = ()
    news: tuple[Record, ...] = ()


class Pages(Said, frozen=True, array_like=True, tag="v"):
    """Records of buckets that differ. `wants`: indexes of the buckets whose records the sender asks for."""

    wants: tuple[int, ...] = ()
    news: tuple[Record, ...] = ()


UpdateCarrier = Ping | Ack | Ask | Gossip | Sync | Pages
Message = UpdateCarrier | Nack


def updates_of(message: Struct) -> tuple[Record, ...]:
    """The records that a message carries; none for messages of other kinds."""
    return message.news if isinstance(message, UpdateCarrier) else ()
