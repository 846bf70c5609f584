"""Queries of a supervisor to its instance's membership socket, for the instance's counters."""

from __future__ import annotations

from collections.abc import Iterator

import trio

from valverouter.edge.runtime import DatagramSocket
from valverouter.fleet.authentication import Authenticator, DatagramReader
from valverouter.fleet.queries import CountersQuery, CountersReply
from valverouter.fleet.transport import received_messages
from valverouter.rollout.reports import InstanceCounters

QUERY_INTERVAL_S = 0.25
# After this time without a reply, an instance counts as not serving.
REPLY_TIMEOUT_S = 2.0


class InstanceProbe:
    """Queries one instance over a separate socket; replies to any but the latest query are ignored."""

    def __init__(
        self, socket: DatagramSocket, address: str, keys: tuple[bytes, ...], incarnation: int
    ) -> None:
        """`address` is the instance's membership address, `incarnation` identifies the supervisor process."""
        self._socket = socket
        self._address = address
        self._authenticator = Authenticator(keys)
        self._reader = DatagramReader(self._authenticator)
        self._incarnation = incarnation
        self._nonce = 0
        self._queried_at = float("-inf")
        self._replied_at = float("-inf")

    def close(self) -> None:
        """Closes the socket."""
        self._socket.close()

    async def find_running(self) -> InstanceCounters | None:
        """Returns the counters of an instance that replies with its process id; None after a timeout."""
        self._send_query()
        with trio.move_on_after(QUERY_INTERVAL_S):
            while True:
                await self._socket.wait_readable()
                for message in received_messages(self._socket, self._reader):
                    if isinstance(message, CountersReply) and message.counters.pid:
                        return message.counters
        return None

    def receive(self) -> Iterator[InstanceCounters]:
        """Yields the counters from replies that have arrived."""
        for message in received_messages(self._socket, self._reader):
            if isinstance(message, CountersReply) and message.nonce == self._nonce:
                self._replied_at = trio.current_time()
                yield message.counters

    @property
    def is_timed_out(self) -> bool:
        """Returns whether the last reply is older than REPLY_TIMEOUT_S."""
        return trio.current_time() - self._replied_at > REPLY_TIMEOUT_S

    def query_if_due(self) -> None:
        """Sends a query if QUERY_INTERVAL_S has passed since the last one."""
        now = trio.current_time()
        if now - self._queried_at >= QUERY_INTERVAL_S:
            self._queried_at = now
            self._nonce += 1
            self._send_query()

    def _send_query(self) -> None:
        query = CountersQuery("", self._incarnation, 0, self._nonce)
        self._socket.send(self._authenticator.sign(query), self._address)
