"""A supervisor's queries for its instance's counters, to the instance's membership socket."""

from __future__ import annotations

from collections.abc import Iterator

import trio

from valverouter.edge.runtime import DatagramSocket
from valverouter.fleet.authentication import Authenticator, DatagramReader
from valverouter.fleet.queries import CountersQuery, CountersReply
from valverouter.fleet.transport import received_messages
from valverouter.rollout.reports import InstanceCounters

QUERY_INTERVAL_S = 0.25
# An instance that has not replied for so long counts as serving nobody.
REPLY_TIMEOUT_S = 2.0


class InstanceProbe:
    """Queries one instance over a socket of its own; a reply counts only for the latest query."""

    def __init__(
        self, socket: DatagramSocket, address: str, keys: tuple[bytes, ...], incarnation: int
    ) -> None:
        """`address` is the instance's, `incarnation` the supervisor's."""
        self._socket = socket
        self._address = address
        self._authenticator = Authenticator(keys)
        self._reader = DatagramReader(self._authenticator)
        self._incarnation = incarnation
        self._nonce = 0
        self._queried_at = float("-inf")
        self._replied_at = float("-inf")

    def close(self) -> None:
        """Close the socket."""
        self._socket.close()

    async def find_running(self) -> InstanceCounters | None:
        """Return what a running instance tells that names its process; None where none does in time."""
        self._send_query()
        with trio.move_on_after(QUERY_INTERVAL_S):
            while True:
                await self._socket.wait_readable()
                for message in received_messages(self._socket, self._reader):
                    if isinstance(message, CountersReply) and message.counters.pid:
                        return message.counters
        return None

    def receive(self) -> Iterator[InstanceCounters]:
        """Yield the counters from replies that have arrived."""
        for message in received_messages(self._socket, self._reader):
            if isinstance(message, CountersReply) and message.nonce == self._nonce:
                self._replied_at = trio.current_time()
                yield message.counters

    @property
    def is_timed_out(self) -> bool:
        """Whether the last reply is older than REPLY_TIMEOUT_S."""
        return trio.current_time() - self._replied_at > REPLY_TIMEOUT_S

    def query_if_due(self) -> None:
        """Send the next query, once per QUERY_INTERVAL_S at most."""
        now = trio.current_time()
        if now - self._queried_at >= QUERY_INTERVAL_S:
            self._queried_at = now
            self._nonce += 1
            self._send_query()

    def _send_query(self) -> None:
        query = CountersQuery("", self._incarnation, 0, self._nonce)
        self._socket.send(self._authenticator.sign(query), self._address)
