"""Messages of any length in datagrams: cut up, put together again, sent anew by whoever waits for an answer.

A parcel is named by a digest of what is in it, so that the same words sent again fill the gaps that the first
sending left: a long record reaches a seat over a path that loses many of its pieces. Nothing is confirmed
here; who wants to know whether a parcel came asks again. What is held of parcels half there is bounded.
"""

from __future__ import annotations

from hashlib import blake2b

from msgspec import Struct

# Of a piece's body, so that a datagram of it stays under fleet/authentication.py's MOST.
FRAGMENT_BYTES = 1_200
MAX_FRAGMENTS = 2_048
# Pieces of one parcel that leave at once; a longer one goes on, where it is sent again, with those after.
BURST_FRAGMENTS = 48
# Parcels that are held half there, and those whose next pieces are remembered; the oldest leave.
MAX_PARTIAL_MESSAGES = 64


class Fragment(Struct, frozen=True, array_like=True, tag="Piece"):
    """Piece `at` of `of` of the parcel `id`, from one life."""

    name: str
    life: int
    message_id: int
    index: int
    count: int
    body: bytes


class TooManyFragmentsError(ValueError):
    """A message that no parcel holds."""


class Fragmenter:
    """One process's, to and from anybody."""

    def __init__(self, name: str, life: int) -> None:
        self._name, self._life = name, life
        self._next: dict[tuple[str, int], int] = {}
        self._held: dict[tuple[int, int], dict[int, bytes]] = {}

    def split(self, address: str, body: bytes) -> list[Fragment]:
        """What leaves now; TooManyPiecesError for what is too long for any parcel."""
        of = max(1, -(-len(body) // FRAGMENT_BYTES))
        if of > MAX_FRAGMENTS:
            raise TooManyFragmentsError(f"{len(body)} bytes")
        id_ = int.from_bytes(blake2b(body, digest_size=8).digest(), "big")
        first = 0
        if of > BURST_FRAGMENTS:
            first = self._next.pop((address, id_), 0)
            self._next[address, id_] = (first + BURST_FRAGMENTS) % of
            if len(self._next) > MAX_PARTIAL_MESSAGES:
                del self._next[next(iter(self._next))]
        places = [(first + at) % of for at in range(min(of, BURST_FRAGMENTS))]
        return [
            Fragment(
                self._name, self._life, id_, at, of, body[at * FRAGMENT_BYTES : (at + 1) * FRAGMENT_BYTES]
            )
            for at in places
        ]

    def add(self, piece: Fragment) -> bytes | None:
        """The whole, once all of it is here."""
        if not 0 <= piece.index < piece.count <= MAX_FRAGMENTS:
            return None
        if piece.count == 1:
            return piece.body
        key = piece.life, piece.message_id
        held = self._held.pop(key, {})
        held[piece.index] = piece.body
        if len(held) < piece.count:
            self._held[key] = held
            if len(self._held) > MAX_PARTIAL_MESSAGES:
                del self._held[next(iter(self._held))]
            return None
        if sorted(held) != list(range(piece.count)):
            return None
        return b"".join(held[at] for at in range(piece.count))
