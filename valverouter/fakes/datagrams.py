"""Faulty network paths between real edge proxies on loopback: a relay socket in front of each.

An edge proxy advertises the address of its relay socket. A datagram that arrives there is attributed to a
sender by its source address, passes the modelled path of that pair, and is sent to the process from its
sender's relay socket, so that responses come back the same way. The program itself knows nothing of it: to an
edge proxy the others are just behind other addresses.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

import trio

from valverouter.servermodel.paths import NetworkPaths


class DatagramSocket(Protocol):
    """A datagram socket as the edge proxies have it."""

    address: str

    def send(self, data: bytes, address: str) -> bool:
        """Sends a datagram without waiting; returns whether it was taken."""
        ...

    def receive(self) -> tuple[bytes, str] | None:
        """The next datagram that has arrived, with its source; None if there is none."""
        ...

    async def wait_readable(self) -> None:
        """Waits until a datagram has arrived."""
        ...

    def close(self) -> None:
        """Closes the socket."""
        ...


class FakeDatagramNetwork:
    """The relay sockets of a fleet. `paths` may be replaced at any time; `now` gives the time in ns."""

    def __init__(
        self, bind: Callable[[str], DatagramSocket], now: Callable[[], int], paths: NetworkPaths
    ) -> None:
        self.paths = paths
        self._bind = bind
        self._now = now
        self._nursery: trio.Nursery | None = None
        self._relays: dict[str, DatagramSocket] = {}
        # Address by instance, and instance by address.
        self._process_addresses: dict[str, str] = {}
        self._instances: dict[str, str] = {}

    async def run(self, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED) -> None:
        """Relays datagrams until cancelled; reports when relay sockets can be opened."""
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            task_status.started()
            await trio.sleep_forever()

    def open_relay(self, name: str) -> str:
        """The address that an instance is to advertise from now on; an earlier one stays open, and dead."""
        assert self._nursery is not None
        self._relays[name] = relay = self._bind("127.0.0.1:0")
        self._nursery.start_soon(self._serve, name, relay)
        return relay.address

    def set_process_address(self, name: str, address: str) -> None:
        """A process of the instance has its socket at that address."""
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
