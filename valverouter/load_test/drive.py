"""Loads one edge proxy open-loop: dials at a constant rate, independently of the answers."""

from __future__ import annotations

from typing import Any

import trio

from valverouter.config.scenario import ScenarioConfig
from valverouter.load_test.measure import LoadSample
from valverouter.scenarios.loopback import START_TIMEOUT_S
from valverouter.signalling import setup
from valverouter.signalling.greeting import NEWEST_VERSION, OLDEST_VERSION, Hello, Welcome

SECOND = 1_000_000_000
READ_SIZE = 256 * 1024
MAX_OPEN_DIALOGS = 10**6
FIRST_CALLED_NUMBER = 100
# Set-ups that are due within one interval are sent in one write.
DIAL_INTERVAL_S = 0.001
ANSWER_POLL_INTERVAL_S = 0.01
# How long to wait for the last answers beyond the longest no-answer timeout.
ANSWER_GRACE_S = 0.1
# The fractional parts of its multiples are spread evenly over the unit interval.
GOLDEN_RATIO_FRACTION = 0.618033988749895


class LoadFailedError(RuntimeError):
    """The target could not be started, or closed the connection during a run."""


def traffic_of(scenario: ScenarioConfig, serial: int) -> tuple[str, int]:
    """Returns the traffic type and no-answer timeout (ns) of dialog number `serial`.

    The types are interleaved evenly, in proportion to their shares.
    """
    total = sum(mix.share for mix in scenario.mix.values())
    remaining = (serial * GOLDEN_RATIO_FRACTION) % 1 * total
    for traffic_type, mix in scenario.mix.items():
        remaining -= mix.share
        if remaining < 0:
            return traffic_type, mix.no_answer
    traffic_type = next(reversed(scenario.mix))
    return traffic_type, scenario.mix[traffic_type].no_answer


async def drive(
    address: str, scenario: ScenarioConfig, rate: float, seconds: float, name: str = "load"
) -> LoadSample:
    """Dials at a constant rate (dialogs per second); returns when all dialogs are answered or timed out.

    Established dialogs are released at once. Raises LoadFailedError if the connection fails.
    """
    host, _, port = address.rpartition(":")
    stream = await trio.open_tcp_stream(host, int(port))
    return await _LoadRun(stream, address, scenario, rate, name).run(int(rate * seconds))


class _LoadRun:
    """One run on one connection; `_due` contains the due time (ns) of each unanswered dialog."""

    def __init__(
        self, stream: trio.SocketStream, address: str, scenario: ScenarioConfig, rate: float, name: str
    ) -> None:
        self._stream = stream
        self._address = address
        self._scenario = scenario
        self._name = name
        self._sample = LoadSample(rate)
        hello = Hello((OLDEST_VERSION, NEWEST_VERSION), "caller", name)
        self._session = setup.SetupSession(hello, max_open_legs=MAX_OPEN_DIALOGS)
        self._due: dict[str, int] = {}
        self._outgoing: list[bytes] = []
        self._send_lock = trio.Lock()
        self._welcomed = trio.Event()
        self._finished = trio.Event()

    async def run(self, dialogs: int) -> LoadSample:
        """Dials the given number of dialogs and returns the sample."""
        async with self._stream, trio.open_nursery() as nursery:
            await self._stream.send_all(self._session.hello_frame())
            nursery.start_soon(self._receive)
            nursery.start_soon(self._dial, dialogs)
            with trio.move_on_after(START_TIMEOUT_S):
                await self._welcomed.wait()
            if not self._welcomed.is_set():
                raise LoadFailedError(f"{self._address} sent no Welcome in time")
            await self._finished.wait()
            nursery.cancel_scope.cancel()
        return self._sample

    # Sending

    async def _dial(self, dialogs: int) -> None:
        await self._welcomed.wait()
        sample, starts_at, interval = self._sample, _now(), SECOND / self._sample.rate
        while sample.offered < dialogs:
            while sample.offered < dialogs and starts_at + sample.offered * interval <= _now():
                self._queue_setup(starts_at + int(sample.offered * interval))
            await self._flush()
            await trio.sleep(DIAL_INTERVAL_S)
        await self._wait_for_answers()
        sample.unanswered = len(self._due)
        self._finished.set()

    def _queue_setup(self, due: int) -> None:
        sample, serial = self._sample, self._sample.offered
        dialog = f"{self._name}-{serial}"
        traffic_type, no_answer = traffic_of(self._scenario, serial)
        self._due[dialog] = due
        sample.record_dial_delay(_now() - due)
        message = setup.Setup(
            dialog=dialog,
            traffic_type=traffic_type,
            time_left=no_answer,
            preferred_server_number=serial % self._scenario.server_count,
            called_number=FIRST_CALLED_NUMBER + serial,
        )
        sample.offered += 1
        self._outgoing.append(self._session.send(message))

    async def _wait_for_answers(self) -> None:
        longest = max(mix.no_answer for mix in self._scenario.mix.values()) / SECOND
        with trio.move_on_after(longest + ANSWER_GRACE_S):
            while self._due:
                await trio.sleep(ANSWER_POLL_INTERVAL_S)

    async def _flush(self) -> None:
        if not self._outgoing:
            return
        data = b"".join(self._outgoing)
        self._outgoing.clear()
        async with self._send_lock:
            try:
                await self._stream.send_all(data)
            except trio.BrokenResourceError as error:
                raise self._broken() from error

    # Receiving

    async def _receive(self) -> None:
        while data := await self._read():
            now = _now()
            for message in self._session.receive(data):
                self._on_message(message, now)
            await self._flush()
        if not self._finished.is_set():
            raise LoadFailedError(f"{self._address} closed the connection during the run")

    async def _read(self) -> bytes:
        try:
            return bytes(await self._stream.receive_some(READ_SIZE))
        except trio.BrokenResourceError as error:
            raise self._broken() from error

    def _on_message(self, message: Any, now: int) -> None:
        if isinstance(message, Welcome):
            self._welcomed.set()
        elif isinstance(message, setup.Established):
            due = self._due.pop(message.dialog, None)
            if due is not None:
                self._sample.record_established(due, now)
            self._outgoing.append(self._session.send(setup.Release(message.dialog)))
        elif isinstance(message, setup.Rejected):
            self._sample.rejected += self._due.pop(message.dialog, None) is not None
        elif isinstance(message, setup.Failed):
            self._sample.failed += self._due.pop(message.dialog, None) is not None

    def _broken(self) -> LoadFailedError:
        return LoadFailedError(f"the connection to {self._address} broke during the run")


def _now() -> int:
    return round(trio.current_time() * SECOND)
