"""A tool's side of the questions: asks instances over one socket, and tries again what did not come."""

from __future__ import annotations

import random
from collections.abc import Iterable
from typing import TypeVar

import msgspec
import trio

from valverouter.edge.surroundings import Datagrams
from valverouter.fleet.authentication import Authenticator, DatagramReader
from valverouter.fleet.messages import ClientRequest, ClientResponse
from valverouter.fleet.queries import ViewAnswer, ViewPage, ViewQuery
from valverouter.fleet.transport import Transport
from valverouter.rollout.orders import Command
from valverouter.terms.rollout import ToolTerms

MAX_TRIES = 3
TRY_S = 0.4

Answer = TypeVar("Answer")


class FleetClient:
    """Holds the fleet's key and is no member of it."""

    def __init__(self, keys: tuple[bytes, ...], socket: Datagrams, chance: random.Random) -> None:
        self._seal = Authenticator(keys)
        self._opener = DatagramReader(self._seal)
        self._socket = socket
        self._life = chance.getrandbits(64)
        self._nonces = chance.getrandbits(32)

    async def query_views(self, addresses: Iterable[str]) -> list[ViewAnswer]:
        """The views at these addresses, each once; those that did not answer whole have a page missing."""
        by_nonce: dict[int, ViewAnswer] = {}
        for address in dict.fromkeys(addresses):
            self._nonces += 1
            by_nonce[self._nonces] = ViewAnswer(address)
        for _ in range(MAX_TRIES):
            if not self._send(by_nonce):
                break
            with trio.move_on_after(TRY_S):
                while any(one.missing_page is not None for one in by_nonce.values()):
                    await self._socket.readable()
                    self._take(by_nonce)
        return list(by_nonce.values())

    def _send(self, by_nonce: dict[int, ViewAnswer]) -> bool:
        open_ = False
        for nonce, one in by_nonce.items():
            if one.missing_page is not None:
                open_ = True
                self._put(one, nonce, one.missing_page)
        return open_

    def _put(self, one: ViewAnswer, nonce: int, page: int) -> None:
        self._socket.send(self._seal.sign(ViewQuery("", self._life, 0, nonce, page)), one.address)

    def _take(self, by_nonce: dict[int, ViewAnswer]) -> None:
        while (came := self._socket.take()) is not None:
            message = self._opener.read(came[0])
            one = by_nonce.get(message.nonce) if isinstance(message, ViewPage) else None
            if one is None or not isinstance(message, ViewPage):
                continue
            one.add_page(message)
            if one.missing_page is not None:
                self._put(one, message.nonce, one.missing_page)


class OperationsClient:
    """A tool that speaks to the council: it asks all seats until the one who leads has answered.

    What it asks has an id of its own, so that asking again does nothing twice; the tool may be killed at any
    moment, and another takes the order up by its id.
    """

    def __init__(self, terms: ToolTerms, socket: Datagrams, chance: random.Random) -> None:
        self._terms = terms
        self._post = Transport(socket, terms.keys, "", chance.getrandbits(63))
        self._nonce = chance.getrandbits(62)

    async def request(
        self, what: str, command: Command | None, kind: type[Answer], within: float, about: str = ""
    ) -> Answer | None:
        """The leader's answer; None where none came within so many seconds: what became of a command is
        unknown then, and asking again tells."""
        self._nonce += 1
        asks = ClientRequest(self._nonce, what, command, about)
        with trio.move_on_after(within):
            while True:
                for address in self._terms.council.values():
                    self._post.send(address, asks)
                with trio.move_on_after(TRY_S):
                    while True:
                        await self._post.socket.readable()
                        while (came := self._post.receive()) is not None:
                            word = came[0]
                            if (
                                isinstance(word, ClientResponse)
                                and word.is_leader
                                and word.nonce == self._nonce
                            ):
                                return msgspec.msgpack.decode(word.body, type=kind)
        return None
