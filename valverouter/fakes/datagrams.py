"""The paths between real edge proxies on loopback: a socket in front of each, and faults behind the sockets.

An edge proxy advertises its front. What another sends there is known by where it came from, goes by the
modelled path of that pair, and reaches the process from its sender's own front, so that answers come back by
the same way. Nothing in the program knows of it: it is an address behind another, as any relay gives.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

import trio

from valverouter.servermodel.paths import NetworkPaths


class DatagramSocket(Protocol):
    address: str

    def send(self, data: bytes, address: str) -> bool: ...

    def take(self) -> tuple[bytes, str] | None: ...

    async def readable(self) -> None: ...

    def close(self) -> None: ...


class FakeDatagramNetwork:
    """The fronts of a fleet. `paths` may be exchanged at any time; `open_front` gives one more address."""

    def __init__(
        self, bind: Callable[[str], DatagramSocket], now: Callable[[], int], paths: NetworkPaths
    ) -> None:
        self.paths = paths
        self._bind = bind
        self._now = now
        self._nursery: trio.Nursery | None = None
        self._fronts: dict[str, DatagramSocket] = {}
        # Where the processes really are, and who is there.
        self._real: dict[str, str] = {}
        self._at: dict[str, str] = {}

    async def run(self, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED) -> None:
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            task_status.started()
            await trio.sleep_forever()

    def open_front(self, name: str) -> str:
        """The address that `name` is to advertise from now on; a former one stays open and leads nowhere."""
        assert self._nursery is not None
        self._fronts[name] = front = self._bind("127.0.0.1:0")
        self._nursery.start_soon(self._serve, name, front)
        return front.address

    def set_process_address(self, name: str, address: str) -> None:
        """A process of `name` has its socket there."""
        self._at.pop(self._real.get(name, ""), None)
        self._real[name] = address
        self._at[address] = name

    async def _serve(self, name: str, front: DatagramSocket) -> None:
        assert self._nursery is not None
        try:
            while True:
                await front.readable()
                while (came := front.take()) is not None:
                    data, source = came
                    sender = self._at.get(source)
                    if sender is None or self._fronts.get(name) is not front:
                        continue
                    for span in self.paths.delivery_delays(sender, name, self._now()):
                        if span:
                            self._nursery.start_soon(self._later, span, sender, name, data)
                        else:
                            self._deliver(sender, name, data)
        finally:
            front.close()

    async def _later(self, span: int, sender: str, receiver: str, data: bytes) -> None:
        await trio.sleep(span / 1e9)
        self._deliver(sender, receiver, data)

    def _deliver(self, sender: str, receiver: str, data: bytes) -> None:
        if (there := self._real.get(receiver)) is not None:
            self._fronts[sender].send(data, there)
