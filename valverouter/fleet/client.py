"""Client for membership views: queries several instances over one socket and retries missing pages."""

from __future__ import annotations

import random
from collections.abc import Iterable

import trio

from valverouter.edge.runtime import DatagramSocket
from valverouter.fleet.authentication import Authenticator, DatagramReader
from valverouter.fleet.queries import ViewPage, ViewQuery
from valverouter.fleet.transport import received_messages
from valverouter.fleet.view_comparison import ViewAnswer

# Maximum number of rounds in which missing pages are queried.
MAX_TRIES = 3
# Time to wait for replies before the queries are sent again.
TRY_TIMEOUT_S = 0.4


class FleetClient:
    """Queries instances for their membership views; has the fleet's key without being a member."""

    def __init__(self, keys: tuple[bytes, ...], socket: DatagramSocket, rng: random.Random) -> None:
        """`rng` generates the client's incarnation and its first nonce."""
        self._authenticator = Authenticator(keys)
        self._reader = DatagramReader(self._authenticator)
        self._socket = socket
        self._incarnation = rng.getrandbits(64)
        self._last_nonce = rng.getrandbits(32)

    async def query_views(self, addresses: Iterable[str]) -> list[ViewAnswer]:
        """Returns one answer per distinct address; `missing_page` tells which answers are incomplete."""
        answers: dict[int, ViewAnswer] = {}
        for address in dict.fromkeys(addresses):
            self._last_nonce += 1
            answers[self._last_nonce] = ViewAnswer(address)
        for _ in range(MAX_TRIES):
            if not _incomplete(answers):
                break
            self._send_queries(answers)
            with trio.move_on_after(TRY_TIMEOUT_S):
                while _incomplete(answers):
                    await self._socket.wait_readable()
                    self._receive_pages(answers)
        return list(answers.values())

    def _send_queries(self, answers: dict[int, ViewAnswer]) -> None:
        for nonce, answer in answers.items():
            self._query_missing_page(nonce, answer)

    def _query_missing_page(self, nonce: int, answer: ViewAnswer) -> None:
        if answer.missing_page is None:
            return
        query = ViewQuery("", self._incarnation, 0, nonce, answer.missing_page)
        self._socket.send(self._authenticator.sign(query), answer.address)

    def _receive_pages(self, answers: dict[int, ViewAnswer]) -> None:
        for message in received_messages(self._socket, self._reader):
            if not isinstance(message, ViewPage):
                continue
            answer = answers.get(message.nonce)
            if answer is not None:
                answer.add_page(message)
                self._query_missing_page(message.nonce, answer)


def _incomplete(answers: dict[int, ViewAnswer]) -> bool:
    return any(answer.missing_page is not None for answer in answers.values())
