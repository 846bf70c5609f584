"""Words between seats, keepers and tools: sealed, cut into datagrams, on one socket."""

from __future__ import annotations

from collections import Counter

import msgspec
import structlog
import trio

from valverouter.edge.surroundings import Datagrams
from valverouter.fleet.authentication import Authenticator, DatagramReader, FragmentEnvelope
from valverouter.fleet.fragmentation import Fragmenter, TooManyFragmentsError
from valverouter.fleet.messages import ControlMessage, decoder, encoder

# Drops are told no oftener than so.
DROPS_TOLD_S = 60.0

log = structlog.get_logger()


class Transport:
    """One process's socket. Strangers, rubbish and replays are dropped and counted, and never answered."""

    def __init__(self, socket: Datagrams, keys: tuple[bytes, ...], name: str, life: int) -> None:
        self.socket = socket
        self.life = life
        self.counts: Counter[str] = Counter()
        self._authenticator = Authenticator(keys)
        self._reader = DatagramReader(self._authenticator, FragmentEnvelope)
        self._fragmenter = Fragmenter(name, life)
        self._told_at = float("-inf")

    @property
    def address(self) -> str:
        return self.socket.address

    def send(self, address: str, word: ControlMessage) -> None:
        """Gone or lost: whoever needs an answer says it again."""
        try:
            pieces = self._fragmenter.split(address, encoder.encode(word))
        except TooManyFragmentsError as error:
            self.counts["too-long"] += 1
            log.error("word-too-long", word=type(word).__name__, why=str(error))
            return
        for piece in pieces:
            self.counts["sent"] += 1
            self.socket.send(self._authenticator.sign(piece), address)

    def receive(self) -> tuple[ControlMessage, str] | None:
        """A word that is here, and where it came from."""
        while (came := self.socket.take()) is not None:
            data, source = came
            piece = self._reader.read(data)
            if piece is None:
                self._drops()
                continue
            whole = self._fragmenter.add(piece)
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
            log.warning("datagrams-dropped", **self._reader.dropped)
