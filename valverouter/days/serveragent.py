"""The process that stands for one of a day's setup servers, for its keeper to start and stop.

The server itself is a stand-in in the day's own process. This one says there, over a connection, that its
server is to run, for as long as it lives; and it answers its keeper's questions as an instance does: serving,
and ready once the server is warm.

    python -m valverouter.days.serveragent NAME CONTROL ASKED KEYFILE
"""

from __future__ import annotations

import os
import secrets
import signal
import sys
from pathlib import Path

import trio

from valverouter.edge.sockets import UdpSocket, split_address
from valverouter.fleet.authentication import Authenticator, DatagramReader
from valverouter.fleet.instance_status import VERSION_VARIABLE
from valverouter.fleet.queries import CountersQuery, CountersReply
from valverouter.rollout.reports import InstanceCounters
from valverouter.terms.between import key_of


async def serve(name: str, control: str, asked: str, key: Path) -> None:
    """Until SIGTERM, or until the day's process is gone."""
    host, port = split_address(control)
    stream = await trio.open_tcp_stream(host, port)
    await stream.send_all(name.encode() + b"\n")
    life, state = secrets.randbits(63), bytearray(b"cold")
    seal = Authenticator((key_of(key.read_bytes().strip()),))
    opener, socket = DatagramReader(seal), UdpSocket(asked)

    async def answers() -> None:
        while True:
            await socket.wait_readable()
            while (came := socket.receive()) is not None:
                message = opener.read(came[0])
                if isinstance(message, CountersQuery):
                    label = os.environ.get(VERSION_VARIABLE, "")
                    ready = state == b"warm"
                    counts = InstanceCounters(
                        life, serving=True, ready=ready, version_label=label, pid=os.getpid()
                    )
                    socket.send(seal.sign(CountersReply(name, life, 0, message.nonce, counts)), came[1])

    async def hears() -> None:
        while data := await stream.receive_some(64):
            state[:] = data.split()[-1]
        nursery.cancel_scope.cancel()

    async def until_asked() -> None:
        with trio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
            async for _ in signals:
                nursery.cancel_scope.cancel()

    async with trio.open_nursery() as nursery:
        nursery.start_soon(answers)
        nursery.start_soon(hears)
        nursery.start_soon(until_asked)
    socket.close()
    await trio.aclose_forcefully(stream)


if __name__ == "__main__":
    trio.run(serve, sys.argv[1], sys.argv[2], sys.argv[3], Path(sys.argv[4]))
