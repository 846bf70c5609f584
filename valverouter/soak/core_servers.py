"""Simulated core servers and event bus of the operators' platform, on loopback sockets, for a soak run."""

from __future__ import annotations

import random
from collections.abc import Callable
from contextlib import suppress
from typing import Any

import h11
import msgspec
import trio

from valverouter.edge.sockets import SocketRuntime
from valverouter.platform_protocol.lines import Line, LineReader
from valverouter.signalling.framing import ProtocolError
from valverouter.signalling.traffic_record import EndpointUpdateRow, MessageRow, TrafficRecorder
from valverouter.soak.plan import ServerBehavior

ANY_PORT = "127.0.0.1:0"
DESCRIPTION = "9d41c07a5be2f318\r\nm=audio 31000 RTP/AVP 0\r\n"
CAUSE_NORMAL_CLEARING, CAUSE_NO_CIRCUIT = 16, 34
PROMPT_DELAY_S = (0.002, 0.03)
# Range of a late server's answer time, as a fraction of the set-up's time left; some answers miss it.
LATE_FRACTIONS = (0.3, 1.1)
MEAN_CALL_S = 0.5
IDLE_CLOSE_S = 0.3
RESET_PROBABILITY = 0.05
REFUSAL_PROBABILITY = 0.05
FULL_LOAD = "x0:90;x1:100"
# The message kinds under which the audit knows a core server's answer, refusal and release.
ANSWER_KIND, REFUSAL_KIND, END_KIND = "stands", "no-agent", "ended"


class CoreServer:
    """One core server; records the messages on its sockets in `recorder` under `name`."""

    def __init__(
        self, name: str, behavior: ServerBehavior, edge: str, rng: random.Random, recorder: TrafficRecorder
    ) -> None:
        self.name = name
        self.behavior = behavior
        self.address = ""
        self.is_hanging = False
        self._edge = edge
        self._rng = rng
        self._recorder = recorder
        self._attempt_counts: dict[str, int] = {}

    async def run(self, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED) -> None:
        """Listens on a free port until cancelled."""
        async with trio.open_nursery() as nursery:
            self.address = await nursery.start(SocketRuntime().serve, ANY_PORT, self._serve)
            task_status.started()

    async def _serve(self, stream: trio.abc.Stream) -> None:
        connection = _ServerConnection(self, stream)
        async with stream, trio.open_nursery() as nursery:
            with suppress(trio.BrokenResourceError, trio.ClosedResourceError, ProtocolError):
                await connection.read(nursery)
            connection.end_all_attempts()
            nursery.cancel_scope.cancel()

    def begin_attempt(self, dialog: str) -> int:
        """Returns the number of the next attempt of a dialog at this server, starting at 0."""
        number = self._attempt_counts.get(dialog, 0)
        self._attempt_counts[dialog] = number + 1
        return number

    def record(self, kind: str, dialog: str, attempt: int, sent: bool) -> None:
        """Records a message of an attempt."""
        self._recorder.record(
            MessageRow, edge=self._edge, peer=self.name, sent=sent, kind=kind, dialog=dialog, leg=attempt
        )

    def draw_answer_delay_s(self, time_left_ms: int) -> float:
        """Draws the delay before a set-up is answered; infinite if it never is."""
        if self.behavior is ServerBehavior.NEVER or self.is_hanging:
            return float("inf")
        if self.behavior is ServerBehavior.LATE:
            return time_left_ms / 1e3 * self._rng.uniform(*LATE_FRACTIONS)
        return self._rng.uniform(*PROMPT_DELAY_S)

    def draw_event(self, probability: float) -> bool:
        """Draws whether an event of the given probability occurs."""
        return self._rng.random() < probability

    def draw_call_length_s(self) -> float:
        """Draws how long an established call lasts unless its caller releases it."""
        return self._rng.expovariate(1 / MEAN_CALL_S)


class _ServerConnection:
    """One connection of an edge proxy.

    `_attempts`: by dialog, the attempt's number and whether it is established.
    """

    def __init__(self, server: CoreServer, stream: trio.abc.Stream) -> None:
        self._server = server
        self._stream = stream
        self._attempts: dict[str, tuple[int, bool]] = {}

    async def read(self, nursery: trio.Nursery) -> None:
        """Handles received messages until the connection is closed."""
        reader = LineReader()
        await self._send("state", "0" * 16, {"load": FULL_LOAD})
        closes_idle = self._server.behavior is ServerBehavior.CLOSES_IDLE
        while True:
            with trio.move_on_after(IDLE_CLOSE_S if closes_idle else float("inf")) as timeout:
                data = await self._stream.receive_some(65_536)
            if timeout.cancelled_caught:
                if not self._attempts:
                    return
                continue
            if not data:
                return
            for line in reader.feed(data):
                await self._handle(line, nursery)

    async def _handle(self, line: Line, nursery: trio.Nursery) -> None:
        if line.type == "ping" and not self._server.is_hanging:
            await self._send("pong", line.id, {}, cause=1)
        elif line.type == "setup":
            attempt = self._server.begin_attempt(line.id)
            self._attempts[line.id] = attempt, False
            self._server.record("setup", line.id, attempt, sent=False)
            nursery.start_soon(self._run_attempt, line.id, int(line.fields["left"]))
        elif line.type == "release":
            self._release(line.id)

    def _release(self, dialog: str) -> None:
        """Records that the edge proxy cancelled an attempt or released an established call."""
        if (found := self._attempts.pop(dialog, None)) is not None:
            attempt, is_established = found
            self._server.record("release" if is_established else "cancel", dialog, attempt, sent=False)

    def end_all_attempts(self) -> None:
        """Ends every attempt of a closed connection and records its cancel or release.

        An answer may have been lost with the connection. The platform's specification ends the attempt when
        its connection ends, so the dialog may be sent to another server after the release delay; the edge
        proxy releases the attempt over another connection.
        """
        for dialog, (attempt, is_established) in self._attempts.items():
            self._server.record("release" if is_established else "cancel", dialog, attempt, sent=False)
        self._attempts.clear()

    async def _run_attempt(self, dialog: str, time_left_ms: int) -> None:
        server = self._server
        if server.behavior is ServerBehavior.RESETS and server.draw_event(RESET_PROBABILITY):
            await trio.aclose_forcefully(self._stream)
            return
        await trio.sleep(server.draw_answer_delay_s(time_left_ms))
        if dialog not in self._attempts or server.is_hanging:
            return
        attempt, _ = self._attempts[dialog]
        if server.draw_event(REFUSAL_PROBABILITY):
            del self._attempts[dialog]
            server.record(REFUSAL_KIND, dialog, attempt, sent=True)
            await self._send("release", dialog, {"note": "no_path"}, cause=CAUSE_NO_CIRCUIT)
            return
        self._attempts[dialog] = attempt, True
        server.record(ANSWER_KIND, dialog, attempt, sent=True)
        await self._send("answer", dialog, {"load": FULL_LOAD}, sdp=DESCRIPTION + dialog)
        await trio.sleep(server.draw_call_length_s())
        if self._attempts.pop(dialog, None) is not None and not server.is_hanging:
            server.record(END_KIND, dialog, attempt, sent=True)
            await self._send("release", dialog, {}, cause=CAUSE_NORMAL_CLEARING)

    async def _send(self, kind: str, id_: str, fields: dict[str, str], **more: Any) -> None:
        line = {"type": kind, "id": id_, "fields": fields, **more}
        try:
            await self._stream.send_all(msgspec.json.encode(line) + b"\n")
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            return


class EventBus:
    """The event bus, which may listen at several addresses; calls `on_poll` with the address of each poll."""

    def __init__(self, recorder: TrafficRecorder, edge: str, on_poll: Callable[[str], None]) -> None:
        self.events: list[dict[str, Any]] = []
        self._recorder = recorder
        self._edge = edge
        self._on_poll = on_poll
        self._changed = trio.Event()

    def publish(self, hosts: list[dict[str, Any]], whole: bool = False) -> None:
        """Publishes an event with the current state of core servers."""
        number = len(self.events) + 1
        self.events.append({"offset": number, "topology": {"seq": number, "whole": whole, "hosts": hosts}})
        self._changed.set()
        self._changed = trio.Event()

    def record_draining(self, server: str) -> None:
        """Records that the edge proxy has received the announcement that a server is draining."""
        self._recorder.record(EndpointUpdateRow, edge=self._edge, server=server, phase="draining")

    async def listen(self, task_status: trio.TaskStatus[str] = trio.TASK_STATUS_IGNORED) -> None:
        """Serves polls at one more address until cancelled."""
        address = ""

        async def serve(stream: trio.abc.Stream) -> None:
            async with stream:
                await self._serve(stream, address)

        async with trio.open_nursery() as nursery:
            address = await nursery.start(SocketRuntime().serve, ANY_PORT, serve)
            task_status.started(address)

    async def _serve(self, stream: trio.abc.Stream, address: str) -> None:
        connection = h11.Connection(h11.SERVER)
        try:
            while data := await stream.receive_some(65_536):
                connection.receive_data(bytes(data))
                request = connection.next_event()
                if not isinstance(request, h11.Request):
                    return
                connection.next_event()
                self._on_poll(address)
                body = await self._answer(request.target.decode())
                head = h11.Response(status_code=200, headers=[("Content-Length", str(len(body)))])
                parts = [connection.send(event) for event in (head, h11.Data(data=body), h11.EndOfMessage())]
                await stream.send_all(b"".join(part or b"" for part in parts))
                connection.start_next_cycle()
        except (trio.BrokenResourceError, trio.ClosedResourceError, h11.RemoteProtocolError):
            return

    async def _answer(self, target: str) -> bytes:
        query = dict(pair.split("=") for pair in target.partition("?")[2].split("&"))
        after = int(query["from"])
        if len(self.events) <= after:
            with trio.move_on_after(int(query["hold"]) / 1e3):
                await self._changed.wait()
        return msgspec.json.encode({"offset": len(self.events), "batch": self.events[after:]})
