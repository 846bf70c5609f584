"""Fragmentation of messages that are longer than a datagram, and their reassembly by the receiver.

A message is identified by a digest of its content, so that a retransmission of the same bytes fills the gaps
of earlier ones: a long message arrives even over a path that loses many fragments. There are no
acknowledgements; a sender that must know whether a message has arrived waits for a reply and retransmits.
The memory for partial messages is bounded.
"""

from __future__ import annotations

from hashlib import blake2b

from msgspec import Struct

from valverouter.fleet.bounded_dict import BoundedDict

# Message bytes per fragment. With its headers a fragment must fit authentication.MAX_DATAGRAM_BYTES.
FRAGMENT_BYTES = 1_200
# Fragments per message: enough for a raft snapshot of 900 instances with all ended operations that are kept.
MAX_FRAGMENTS = 4_096
# Fragments per transmission; the next transmission of a longer message continues with those that follow.
BURST_FRAGMENTS = 48
# Limit for incomplete incoming messages, and for long outgoing ones whose position is kept; the oldest are
# evicted.
MAX_PARTIAL_MESSAGES = 64


class Fragment(Struct, frozen=True, array_like=True, tag="Piece"):
    """Fragment `index` of `count` of the message `message_id`; `incarnation` is the sender's."""

    name: str
    incarnation: int
    message_id: int
    index: int
    count: int
    body: bytes


class TooManyFragmentsError(ValueError):
    """Raised when a message is longer than MAX_FRAGMENTS fragments."""


class Fragmenter:
    """Splits the outgoing messages of one process; keeps the position up to which long ones were sent."""

    def __init__(self, name: str, incarnation: int) -> None:
        """`name` and `incarnation` identify the sender in each fragment."""
        self._name = name
        self._incarnation = incarnation
        self._next_index: BoundedDict[tuple[str, int], int] = BoundedDict(MAX_PARTIAL_MESSAGES)

    def split(self, address: str, body: bytes) -> list[Fragment]:
        """Returns the fragments to send to `address` now; raises TooManyFragmentsError for a long message."""
        count = max(1, -(-len(body) // FRAGMENT_BYTES))
        if count > MAX_FRAGMENTS:
            raise TooManyFragmentsError(f"{len(body)} bytes need more than {MAX_FRAGMENTS} fragments")
        message_id = int.from_bytes(blake2b(body, digest_size=8).digest(), "big")
        first = self._first_index(address, message_id, count)
        burst = min(count, BURST_FRAGMENTS)
        return [self._fragment(message_id, (first + offset) % count, count, body) for offset in range(burst)]

    def _first_index(self, address: str, message_id: int, count: int) -> int:
        """Returns the index after the last burst of the same message to the same address."""
        if count <= BURST_FRAGMENTS:
            return 0
        first = self._next_index.pop((address, message_id), 0)
        self._next_index[address, message_id] = (first + BURST_FRAGMENTS) % count
        return first

    def _fragment(self, message_id: int, index: int, count: int, body: bytes) -> Fragment:
        start = index * FRAGMENT_BYTES
        part = body[start : start + FRAGMENT_BYTES]
        return Fragment(self._name, self._incarnation, message_id, index, count, part)


class Reassembler:
    """Reassembles incoming messages from fragments, which may be reordered and duplicated."""

    def __init__(self) -> None:
        """Creates a reassembler without partial messages."""
        self._partial: BoundedDict[tuple[int, int], dict[int, bytes]] = BoundedDict(MAX_PARTIAL_MESSAGES)

    def add(self, fragment: Fragment) -> bytes | None:
        """Returns the message if this fragment completes it, otherwise None."""
        if not 0 <= fragment.index < fragment.count <= MAX_FRAGMENTS:
            return None
        if fragment.count == 1:
            return fragment.body
        key = fragment.incarnation, fragment.message_id
        parts = self._partial.pop(key, {})
        parts[fragment.index] = fragment.body
        if len(parts) < fragment.count:
            self._partial[key] = parts
            return None
        if sorted(parts) != list(range(fragment.count)):
            return None
        return b"".join(parts[index] for index in range(fragment.count))
