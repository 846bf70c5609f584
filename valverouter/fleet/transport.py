"""Words between seats, keepers and tools: sealed, cut into datagrams, on one socket."""

from __future__ import annotations

from collections import Counter

import msgspec
import structlog
import trio

from valverouter.edge.surroundings import Datagrams
from valverouter.fleet.authentication import Opener, Posted, Seal
from valverouter.fleet.fragmentation import Parcels, TooManyPiecesError
from valverouter.fleet.messages import Word, decoder, encoder

# Drops are told no oftener than so.
DROPS_TOLD_S = 60.0

log = structlog.get_logger()


class Post:
    """One process's socket. Strangers, rubbish and replays are dropped and counted, and never answered."""

    def __init__(self, socket: Datagrams, keys: tuple[bytes, ...], name: str, life: int) -> None:
        self.socket = socket
        self.life = life
        self.counts: Counter[str] = Counter()
        self._seal = Seal(keys)
        self._opener = Opener(self._seal, Posted)
        self._parcels = Parcels(name, life)
        self._told_at = float("-inf")

    @property
    def address(self) -> str:
        return self.socket.address

    def send(self, address: str, word: Word) -> None:
        """Gone or lost: whoever needs an answer says it again."""
        try:
            pieces = self._parcels.pieces(address, encoder.encode(word))
        except TooManyPiecesError as error:
            self.counts["too-long"] += 1
            log.error("word-too-long", word=type(word).__name__, why=str(error))
            return
        for piece in pieces:
            self.counts["sent"] += 1
            self.socket.send(self._seal.seal(piece), address)

    def take(self) -> tuple[Word, str] | None:
        """A word that is here, and where it came from."""
        while (came := self.socket.take()) is not None:
            data, source = came
            piece = self._opener.open(data)
            if piece is None:
                self._drops()
                continue
            whole = self._parcels.take(piece)
            if whole is None:
                continue
            self.counts["heard"] += 1
            try:
                return decoder.decode(whole), source
            except msgspec.MsgspecError:
                # Under our key and not understood: of a program of another version.
                self.counts["not-understood"] += 1
        return None

    def _drops(self) -> None:
        now = trio.current_time()
        if now - self._told_at >= DROPS_TOLD_S:
            self._told_at = now
            log.warning("datagrams-dropped", **self._opener.dropped)
