"""A process that represents one of a scenario's servers, so that a supervisor can start and stop it.

The server itself is a fake in the scenario's process. The agent connects to that process, and the fake server
runs for as long as the connection is open. The agent answers its supervisor's queries as an instance does:
serving, and ready once the server has warmed up.

python -m valverouter.scenarios.server_agent NAME CONTROL_ADDRESS QUERY_ADDRESS KEY_FILE
"""

from __future__ import annotations

import os
import secrets
import signal
import sys
from pathlib import Path

import trio

from valverouter.config.gossip import derive_key
from valverouter.edge.sockets import UdpSocket, split_address
from valverouter.fleet.authentication import Authenticator, DatagramReader
from valverouter.fleet.instance_status import VERSION_VARIABLE
from valverouter.fleet.queries import CountersQuery, CountersReply
from valverouter.rollout.reports import InstanceCounters

MAX_MESSAGE_BYTES = 64
WARM = b"warm"


class ServerAgent:
    """The agent of one server."""

    def __init__(self, name: str, query_address: str, key: bytes) -> None:
        """`query_address`: the socket for the supervisor's queries, which are signed with `key`."""
        self._name = name
        self._incarnation = secrets.randbits(63)
        self._is_warm = False
        self._authenticator = Authenticator((key,))
        self._reader = DatagramReader(self._authenticator)
        self._socket = UdpSocket(query_address)

    async def run(self, control_address: str) -> None:
        """Runs until SIGTERM or SIGINT, or until the scenario's process closes the connection."""
        host, port = split_address(control_address)
        stream = await trio.open_tcp_stream(host, port)
        await stream.send_all(self._name.encode() + b"\n")
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._answer_queries)
            nursery.start_soon(self._follow_warm_up, stream, nursery.cancel_scope)
            nursery.start_soon(_wait_for_signal, nursery.cancel_scope)
        self._socket.close()
        await trio.aclose_forcefully(stream)

    async def _answer_queries(self) -> None:
        while True:
            await self._socket.wait_readable()
            while (received := self._socket.receive()) is not None:
                data, sender = received
                query = self._reader.read(data)
                if isinstance(query, CountersQuery):
                    reply = CountersReply(self._name, self._incarnation, 0, query.nonce, self._counters())
                    self._socket.send(self._authenticator.sign(reply), sender)

    def _counters(self) -> InstanceCounters:
        return InstanceCounters(
            self._incarnation,
            serving=True,
            ready=self._is_warm,
            version_label=os.environ.get(VERSION_VARIABLE, ""),
            pid=os.getpid(),
        )

    async def _follow_warm_up(self, stream: trio.SocketStream, scope: trio.CancelScope) -> None:
        """Receives the server's warm-up state; cancels the agent at the end of the stream."""
        while data := await stream.receive_some(MAX_MESSAGE_BYTES):
            self._is_warm = data.split()[-1] == WARM
        scope.cancel()


async def _wait_for_signal(scope: trio.CancelScope) -> None:
    with trio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
        async for _ in signals:
            scope.cancel()


def main() -> None:
    """Runs the agent with the arguments of the command line."""
    name, control_address, query_address, key_file = sys.argv[1:5]
    agent = ServerAgent(name, query_address, derive_key(Path(key_file).read_bytes().strip()))
    trio.run(agent.run, control_address)


if __name__ == "__main__":
    main()
