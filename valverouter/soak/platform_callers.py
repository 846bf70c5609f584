"""Simulated callers of the platform's edge proxy, for a soak run."""

from __future__ import annotations

import random
import time
from collections.abc import Callable

import trio

from valverouter.edge.sockets import SocketRuntime
from valverouter.platform_protocol import isup
from valverouter.signalling.framing import ProtocolError
from valverouter.soak.core_servers import DESCRIPTION
from valverouter.soak.record import SetupRecord

CAUSE_NORMAL_CLEARING = 16
CALLED_NUMBER = b"7f3a9c21e0b4d655"
CANCEL_PROBABILITY = 0.05
CALL_RELEASE_PROBABILITY = 0.5
RECONNECT_DELAY_S = 0.02
MS = 10**6


class PlatformCallers:
    """All callers of one run.

    `setups`: every set-up sent so far. `process`: number of the edge proxy process that they connect to.
    `may_connect` returns whether a caller may open another connection after its last one ended.
    """

    def __init__(
        self,
        address: str,
        rng: random.Random,
        deadlines_ms: list[int],
        server_count: int,
        may_connect: Callable[[], bool],
    ) -> None:
        self.setups: list[SetupRecord] = []
        self.process = 0
        self._address = address
        self._rng = rng
        self._deadlines_ms = deadlines_ms
        self._server_count = server_count
        self._may_connect = may_connect
        self._count = 0
        self._open: dict[str, SetupRecord] = {}

    async def run_caller(self, setups_per_s: float) -> None:
        """Runs one caller: sends set-ups as a Poisson process; reconnects when the connection ends."""
        while self._may_connect():
            try:
                stream = await SocketRuntime().connect(self._address)
            except OSError:
                await trio.sleep(RECONNECT_DELAY_S)
                continue
            await self._run_connection(stream, setups_per_s)
            await trio.sleep(RECONNECT_DELAY_S)

    async def _run_connection(self, stream: trio.abc.Stream, setups_per_s: float) -> None:
        own_setups: list[SetupRecord] = []
        async with stream, trio.open_nursery() as nursery:
            nursery.start_soon(self._send_setups, stream, setups_per_s, own_setups)
            await self._read(stream)
            ended_at = time.monotonic_ns()
            nursery.cancel_scope.cancel()
        for setup in own_setups:
            if not setup.answers:
                setup.connection_ended_at = ended_at
            self._open.pop(setup.id, None)

    async def _send_setups(
        self, stream: trio.abc.Stream, setups_per_s: float, own_setups: list[SetupRecord]
    ) -> None:
        async with trio.open_nursery() as nursery:
            while True:
                await trio.sleep(self._rng.expovariate(setups_per_s))
                setup, data = self._next_setup()
                try:
                    await stream.send_all(data)
                except (trio.BrokenResourceError, trio.ClosedResourceError):
                    return
                setup.sent_at = time.monotonic_ns()
                self.setups.append(setup)
                own_setups.append(setup)
                if self._rng.random() < CANCEL_PROBABILITY:
                    after_s = self._rng.random() * setup.time_left / 1e9
                    nursery.start_soon(self._cancel_after, stream, setup, after_s)

    def _next_setup(self) -> tuple[SetupRecord, bytes]:
        """Returns the next set-up and its encoded message.

        It is registered before it is sent, because its answer may arrive immediately.
        """
        self._count += 1
        id_ = f"{self._count:016x}"
        traffic_type = self._rng.randrange(len(self._deadlines_ms))
        time_left_ms = self._deadlines_ms[traffic_type]
        server = self._rng.randrange(self._server_count)
        parameters = {
            isup.TRAFFIC_TYPE: b"class%d" % traffic_type,
            isup.TIME_LEFT: b"%d" % time_left_ms,
            isup.CALLED: CALLED_NUMBER,
            isup.ROUTING_FIELDS: b"dest:%d;width:1;via:-1" % server,
            isup.DESCRIPTION: DESCRIPTION.encode(),
        }
        setup = SetupRecord(id_, self.process, time.monotonic_ns(), time_left_ms * MS)
        self._open[id_] = setup
        return setup, isup.encode(isup.IAM, id_, parameters)

    async def _cancel_after(self, stream: trio.abc.Stream, setup: SetupRecord, after_s: float) -> None:
        await trio.sleep(after_s)
        if not setup.answers:
            setup.cancelled_at = time.monotonic_ns()
            await self._send(stream, isup.encode_release(setup.id, CAUSE_NORMAL_CLEARING))

    async def _read(self, stream: trio.abc.Stream) -> None:
        reader = isup.MessageReader()
        try:
            while data := await stream.receive_some(65_536):
                now = time.monotonic_ns()
                for message in reader.feed(data):
                    await self._handle(stream, message, now)
        except (trio.BrokenResourceError, trio.ClosedResourceError, ProtocolError):
            return

    async def _handle(self, stream: trio.abc.Stream, message: isup.Message, now: int) -> None:
        setup = self._open.get(message.id)
        if setup is None or message.type not in (isup.ANM, isup.REL):
            return
        is_end = message.type == isup.REL and bool(setup.answers) and setup.answers[0][1] == -1
        if is_end:
            return  # the established call was released
        setup.answers.append((now, message.cause))
        if message.type == isup.ANM and self._rng.random() < CALL_RELEASE_PROBABILITY:
            await self._send(stream, isup.encode_release(message.id, CAUSE_NORMAL_CLEARING))

    async def _send(self, stream: trio.abc.Stream, data: bytes) -> None:
        try:
            await stream.send_all(data)
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            return
