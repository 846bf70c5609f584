"""Operators' client of the control plane: sends requests to all raft servers until the leader answers."""

from __future__ import annotations

import random
from typing import TypeVar

import msgspec
import trio

from valverouter.config.rollout import FleetClientConfig
from valverouter.edge.runtime import DatagramSocket
from valverouter.fleet.messages import ClientRequest, ClientResponse, RequestKind
from valverouter.fleet.transport import Transport
from valverouter.rollout.operations import Command

# Time to wait for the leader's response before the request is sent again.
TRY_TIMEOUT_S = 0.4

Answer = TypeVar("Answer")


class OperationsClient:
    """Sends requests to the control plane.

    A request is identified by its nonce, so that a retry does not execute a command twice. The client may be
    killed at any time; another client can follow an operation by its id.
    """

    def __init__(self, config: FleetClientConfig, socket: DatagramSocket, rng: random.Random) -> None:
        """`rng` generates the client's incarnation and its first nonce."""
        self._config = config
        self._transport = Transport(socket, config.keys, "", rng.getrandbits(63))
        self._nonce = rng.getrandbits(62)

    async def request(
        self,
        kind: RequestKind,
        command: Command | None,
        answer_type: type[Answer],
        timeout_s: float,
        operation: str = "",
    ) -> Answer | None:
        """Returns the leader's answer, decoded as `answer_type`; None after a timeout.

        After a timeout it is unknown whether the command was executed; repeating the request with the same
        operation id shows it.
        """
        self._nonce += 1
        request = ClientRequest(self._nonce, kind, command, operation)
        with trio.move_on_after(timeout_s):
            while True:
                self._send(request)
                with trio.move_on_after(TRY_TIMEOUT_S):
                    body = await self._leader_response(request.nonce)
                    return msgspec.msgpack.decode(body, type=answer_type)
        return None

    def _send(self, request: ClientRequest) -> None:
        for address in self._config.council.values():
            self._transport.send(address, request)

    async def _leader_response(self, nonce: int) -> msgspec.Raw:
        """Waits, without a timeout, for the leader's response, and returns its body."""
        while True:
            await self._transport.socket.wait_readable()
            while (received := self._transport.receive()) is not None:
                message = received[0]
                if isinstance(message, ClientResponse) and message.is_leader and message.nonce == nonce:
                    return message.body
