"""Simulates faulty network paths between real processes on loopback, by a relay socket in front of each.

A process advertises the address of its relay socket. The sender of a datagram that arrives there is
identified by its source address. The datagram passes the modelled path of that pair and is sent to the
process from the sender's relay socket, so that responses take the same way. The processes need no change:
each sees the others at the addresses of their relay sockets.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

import trio

from valverouter.servermodel.paths import NetworkPaths


class DatagramSocket(Protocol):
    """The interface of a datagram socket, as edge proxies use it."""

    address: str

    def send(self, data: bytes, address: str) -> bool:
        """Sends a datagram without blocking; returns whether the socket accepted it."""
        ...

    def receive(self) -> tuple[bytes, str] | None:
        """Returns the next received datagram and its source address; None if there is none."""
        ...

    async def wait_readable(self) -> None:
        """Waits until a datagram has arrived."""
        ...

    def close(self) -> None:
        """Closes the socket."""
        ...


class FakeDatagramNetwork:
    """The relay sockets of a fleet. `paths` may be replaced at any time; `now` returns the time in ns."""

    def __init__(
        self, bind: Callable[[str], DatagramSocket], now: Callable[[], int], paths: NetworkPaths
    ) -> None:
        self.paths = paths
        self._bind = bind
        self._now = now
        self._nursery: trio.Nursery | None = None
        self._relays: dict[str, DatagramSocket] = {}
        # The processes' addresses by instance name, and the reverse.
        self._process_addresses: dict[str, str] = {}
        self._instances: dict[str, str] = {}

    async def run(self, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED) -> None:
        """Relays datagrams until cancelled; reports as started when relay sockets can be opened."""
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            task_status.started()
            await trio.sleep_forever()

    def open_relay(self, name: str) -> str:
        """Opens a relay socket for an instance; returns the address to advertise.

        An earlier relay socket of the instance remains open, but its datagrams are dropped.
        """
        assert self._nursery is not None
        self._relays[name] = relay = self._bind("127.0.0.1:0")
        self._nursery.start_soon(self._serve, name, relay)
        return relay.address

    def set_process_address(self, name: str, address: str) -> None:
        """Sets the address of the socket of an instance's current process."""
        self._instances.pop(self._process_addresses.get(name, ""), None)
        self._process_addresses[name] = address
        self._instances[address] = name

    async def _serve(self, name: str, relay: DatagramSocket) -> None:
        try:
            while True:
                await relay.wait_readable()
                while (received := relay.receive()) is not None:
                    data, source = received
                    sender = self._instances.get(source)
                    if sender is not None and self._relays.get(name) is relay:
                        self._forward(sender, name, data)
        finally:
            relay.close()

    def _forward(self, sender: str, receiver: str, data: bytes) -> None:
        assert self._nursery is not None
        for delay in self.paths.delivery_delays(sender, receiver, self._now()):
            if delay:
                self._nursery.start_soon(self._deliver_later, delay, sender, receiver, data)
            else:
                self._deliver(sender, receiver, data)

    async def _deliver_later(self, delay: int, sender: str, receiver: str, data: bytes) -> None:
        await trio.sleep(delay / 1e9)
        self._deliver(sender, receiver, data)

    def _deliver(self, sender: str, receiver: str, data: bytes) -> None:
        if (address := self._process_addresses.get(receiver)) is not None:
            self._relays[sender].send(data, address)
