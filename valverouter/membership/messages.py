"""What members say to each other, as plain data; fleet/ puts it into datagrams and takes it out again.

Every message begins with who sends it (`name`, `life`) and the digest of its view. `news` are records passed
on, the sender's own among them where it is asked for.
"""

from __future__ import annotations

from msgspec import Struct

from valverouter.membership.records import Record


class Said(Struct, frozen=True, array_like=True, tag="Said"):
    name: str
    life: int
    digest: int


class Ping(Said, frozen=True, array_like=True, tag="p"):
    """Are you there? `to_life`: who is meant; another life at that address says that it is another."""

    nonce: int = 0
    to_life: int = 0
    news: tuple[Record, ...] = ()


class Ack(Said, frozen=True, array_like=True, tag="a"):
    """An answer: `of`, `of_life` are who is there; not the sender's where a helper passes it on."""

    nonce: int = 0
    of: str = ""
    of_life: int = 0
    news: tuple[Record, ...] = ()


class Ask(Said, frozen=True, array_like=True, tag="k"):
    """Ping `address` for me. Answered by the ack, or by a nack that says: I at least am here."""

    nonce: int = 0
    of: str = ""
    of_life: int = 0
    address: str = ""
    news: tuple[Record, ...] = ()


class Nack(Said, frozen=True, array_like=True, tag="n"):
    nonce: int = 0


class Gossip(Said, frozen=True, array_like=True, tag="g"):
    news: tuple[Record, ...] = ()


class Sync(Said, frozen=True, array_like=True, tag="s"):
    """Begins an exchange of whole views: a digest for each bucket of names."""

    buckets: tuple[int, ...] = ()
    news: tuple[Record, ...] = ()


class Pages(Said, frozen=True, array_like=True, tag="v"):
    """Records of the buckets that differ; `wants`: send me yours of these."""

    wants: tuple[int, ...] = ()
    news: tuple[Record, ...] = ()


Message = Ping | Ack | Ask | Nack | Gossip | Sync | Pages
