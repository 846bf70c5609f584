"""Callers of the platform's edge proxy for a course of the soak: they go on until their connection ends."""

from __future__ import annotations

import random
import time
from collections.abc import Callable

import trio

from valverouter.edge.sockets import SocketRuntime
from valverouter.platform_protocol import isup
from valverouter.signalling.framing import ProtocolError
from valverouter.soak.core_servers import DESCRIPTION
from valverouter.soak.record import RequestRecord

CAUSE_GIVEN_UP = 16
CALLED_NUMBER = b"7f3a9c21e0b4d655"
GIVING_UP_PROBABILITY = 0.05
CALL_RELEASE_PROBABILITY = 0.5
RECONNECT_DELAY_S = 0.02
MS = 10**6


class PlatformCallers:
    """All callers of one course. `requests` grows with each set-up sent; `process` numbers the one they ask.

    `may_connect` says whether a connection that ended is opened again.
    """

    def __init__(
        self,
        address: str,
        rng: random.Random,
        deadlines_ms: list[int],
        server_count: int,
        may_connect: Callable[[], bool],
    ) -> None:
        self.requests: list[RequestRecord] = []
        self.process = 0
        self._address = address
        self._rng = rng
        self._deadlines_ms = deadlines_ms
        self._server_count = server_count
        self._may_connect = may_connect
        self._count = 0
        self._open: dict[str, RequestRecord] = {}

    async def run_caller(self, setups_per_s: float) -> None:
        """One caller: asks at random moments on its connection, and opens another when that has ended."""
        while self._may_connect():
            try:
                stream = await SocketRuntime().connect(self._address)
            except OSError:
                await trio.sleep(RECONNECT_DELAY_S)
                continue
            await self._run_connection(stream, setups_per_s)
            await trio.sleep(RECONNECT_DELAY_S)

    async def _run_connection(self, stream: trio.abc.Stream, setups_per_s: float) -> None:
        mine: list[RequestRecord] = []
        async with stream, trio.open_nursery() as nursery:
            nursery.start_soon(self._send_setups, stream, setups_per_s, mine)
            await self._read(stream)
            ended_at = time.monotonic_ns()
            nursery.cancel_scope.cancel()
        for request in mine:
            if not request.answers:
                request.connection_ended_at = ended_at
            self._open.pop(request.id, None)

    async def _send_setups(
        self, stream: trio.abc.Stream, setups_per_s: float, mine: list[RequestRecord]
    ) -> None:
        async with trio.open_nursery() as nursery:
            while True:
                await trio.sleep(self._rng.expovariate(setups_per_s))
                request, data = self._next_setup()
                try:
                    await stream.send_all(data)
                except (trio.BrokenResourceError, trio.ClosedResourceError):
                    return
                request.sent_at = time.monotonic_ns()
                self.requests.append(request)
                mine.append(request)
                if self._rng.random() < GIVING_UP_PROBABILITY:
                    after_s = self._rng.random() * request.time_left / 1e9
                    nursery.start_soon(self._give_up, stream, request, after_s)

    def _next_setup(self) -> tuple[RequestRecord, bytes]:
        """The next set-up and its bytes. It is entered before it leaves: its answer may come at once."""
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
        request = RequestRecord(id_, self.process, time.monotonic_ns(), time_left_ms * MS)
        self._open[id_] = request
        return request, isup.encode(isup.IAM, id_, parameters)

    async def _give_up(self, stream: trio.abc.Stream, request: RequestRecord, after_s: float) -> None:
        await trio.sleep(after_s)
        if not request.answers:
            request.given_up_at = time.monotonic_ns()
            await self._send(stream, isup.encode_release(request.id, CAUSE_GIVEN_UP))

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
        request = self._open.get(message.id)
        if request is None or message.type not in (isup.ANM, isup.REL):
            return
        is_end = message.type == isup.REL and bool(request.answers) and request.answers[0][1] == -1
        if is_end:
            return  # the call that stood is over
        request.answers.append((now, message.cause))
        if message.type == isup.ANM and self._rng.random() < CALL_RELEASE_PROBABILITY:
            await self._send(stream, isup.encode_release(message.id, CAUSE_GIVEN_UP))

    async def _send(self, stream: trio.abc.Stream, data: bytes) -> None:
        try:
            await stream.send_all(data)
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            return
