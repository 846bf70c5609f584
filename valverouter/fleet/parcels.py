"""Messages of any length in datagrams: cut up, put together again, sent anew by whoever waits for an answer.

A parcel is named by a digest of what is in it, so that the same words sent again fill the gaps that the first
sending left: a long record reaches a seat over a path that loses many of its pieces. Nothing is confirmed
here; who wants to know whether a parcel came asks again. What is held of parcels half there is bounded.
"""

from __future__ import annotations

from hashlib import blake2b

from msgspec import Struct

# Of a piece's body, so that a datagram of it stays under fleet/sealing.py's MOST.
PIECE = 1_200
PIECES_MOST = 2_048
# Pieces of one parcel that leave at once; a longer one goes on, where it is sent again, with those after.
BURST = 48
# Parcels that are held half there, and those whose next pieces are remembered; the oldest leave.
HELD_MOST = 64


class Piece(Struct, frozen=True, array_like=True, tag="Piece"):
    """Piece `at` of `of` of the parcel `id`, from one life."""

    name: str
    incarnation: int
    id: int
    at: int
    of: int
    body: bytes


class TooManyPiecesError(ValueError):
    """A message that no parcel holds."""


class Parcels:
    """One process's, to and from anybody."""

    def __init__(self, name: str, life: int) -> None:
        self._name, self._life = name, life
        self._next: dict[tuple[str, int], int] = {}
        self._held: dict[tuple[int, int], dict[int, bytes]] = {}

    def pieces(self, address: str, body: bytes) -> list[Piece]:
        """What leaves now; TooManyPiecesError for what is too long for any parcel."""
        of = max(1, -(-len(body) // PIECE))
        if of > PIECES_MOST:
            raise TooManyPiecesError(f"{len(body)} bytes")
        id_ = int.from_bytes(blake2b(body, digest_size=8).digest(), "big")
        first = 0
        if of > BURST:
            first = self._next.pop((address, id_), 0)
            self._next[address, id_] = (first + BURST) % of
            if len(self._next) > HELD_MOST:
                del self._next[next(iter(self._next))]
        places = [(first + at) % of for at in range(min(of, BURST))]
        return [
            Piece(self._name, self._life, id_, at, of, body[at * PIECE : (at + 1) * PIECE]) for at in places
        ]

    def take(self, piece: Piece) -> bytes | None:
        """The whole, once all of it is here."""
        if not 0 <= piece.at < piece.of <= PIECES_MOST:
            return None
        if piece.of == 1:
            return piece.body
        key = piece.incarnation, piece.id
        held = self._held.pop(key, {})
        held[piece.at] = piece.body
        if len(held) < piece.of:
            self._held[key] = held
            if len(self._held) > HELD_MOST:
                del self._held[next(iter(self._held))]
            return None
        if sorted(held) != list(range(piece.of)):
            return None
        return b"".join(held[at] for at in range(piece.of))
