"""A supervisor's connection to the control plane: sends reports, and receives desired states."""

from __future__ import annotations

from collections.abc import Callable, Iterator

import trio

from valverouter.fleet.messages import DesiredStateMessage, ReportMessage
from valverouter.fleet.transport import Transport
from valverouter.rollout.reports import SupervisorReport

REPORT_INTERVAL_S = 0.5


class ControlPlaneLink:
    """Sends the reports on one instance to all raft servers, and receives its desired state from them."""

    def __init__(self, transport: Transport, instance: str, servers: dict[str, str]) -> None:
        """`servers` are the raft servers' addresses by name."""
        self.has_received = False
        self._transport = transport
        self._instance = instance
        self._servers = servers
        # The incarnation and the stamp of each raft server's last message, by server name.
        self._stamps: dict[str, tuple[int, int]] = {}
        self._reported_at = float("-inf")

    async def wait_readable(self) -> None:
        """Waits until a message may have arrived."""
        await self._transport.socket.wait_readable()

    def receive(self) -> Iterator[DesiredStateMessage]:
        """Yields the messages for the instance; drops one that is older than the same server's last one."""
        while (received := self._transport.receive()) is not None:
            message = received[0]
            if isinstance(message, DesiredStateMessage) and self._accept(message):
                yield message

    def _accept(self, message: DesiredStateMessage) -> bool:
        if message.name != self._instance or message.node not in self._servers:
            return False
        incarnation, stamp = self._stamps.get(message.node, (0, 0))
        if message.incarnation == incarnation and message.stamp < stamp:
            return False
        self._stamps[message.node] = message.incarnation, message.stamp
        self.has_received = True
        return True

    def report_if_due(self, make_report: Callable[[], SupervisorReport]) -> None:
        """Sends a report if REPORT_INTERVAL_S has passed since the last one."""
        if trio.current_time() - self._reported_at >= REPORT_INTERVAL_S:
            self.report(make_report())

    def report(self, report: SupervisorReport) -> None:
        """Sends the report to every raft server, since any of them may be the leader."""
        self._reported_at = trio.current_time()
        for name, address in self._servers.items():
            incarnation, stamp = self._stamps.get(name, (0, 0))
            self._transport.send(address, ReportMessage(report, incarnation, stamp))
