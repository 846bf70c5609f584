"""A server supervisor's client of the list service, for starting and ending the server's drain."""

from __future__ import annotations

from contextlib import suppress

import trio

from valverouter.edge.runtime import READ_SIZE, Runtime
from valverouter.signalling.framing import ProtocolError
from valverouter.signalling.greeting import NEWEST_VERSION, OLDEST_VERSION, Hello, Welcome
from valverouter.signalling.serverlist import DrainEnded, DrainReply, DrainRequest, ListSession

ANSWER_TIMEOUT_S = 2.0
RETRY_INTERVAL_S = 0.5
# The supervisor's role in the protocol's Hello message.
ROLE = "keeper"


class ListClient:
    """Sends requests to the list service, each over a new connection."""

    def __init__(self, runtime: Runtime, address: str, name: str) -> None:
        """`address` is the address of the list service, `name` the name of the server."""
        self._runtime = runtime
        self._address = address
        self._name = name

    async def request_until_answered(self, request: DrainRequest | DrainEnded) -> DrainReply:
        """Retries until the list service has answered: no server may drain while it is unavailable."""
        while (answer := await self._request(request)) is None:
            await trio.sleep(RETRY_INTERVAL_S)
        return answer

    async def _request(self, request: DrainRequest | DrainEnded) -> DrainReply | None:
        """Returns the answer; None if the connection failed or no answer came within ANSWER_TIMEOUT_S."""
        session = ListSession(Hello((OLDEST_VERSION, NEWEST_VERSION), ROLE, self._name))
        failures = (OSError, ProtocolError, trio.BrokenResourceError)
        with trio.move_on_after(ANSWER_TIMEOUT_S), suppress(*failures):
            stream = await self._runtime.connect(self._address)
            async with stream:
                return await _exchange(stream, session, request)
        return None


async def _exchange(
    stream: trio.abc.Stream, session: ListSession, request: DrainRequest | DrainEnded
) -> DrainReply | None:
    await stream.send_all(session.hello_frame())
    while data := await stream.receive_some(READ_SIZE):
        for message in session.receive(data):
            if isinstance(message, Welcome):
                await stream.send_all(session.send(request))
            elif isinstance(message, DrainReply):
                return message
    return None
