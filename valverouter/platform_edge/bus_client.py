"""The event bus client: applies the events of the configuration, then those of consecutive long polls."""

from __future__ import annotations

from contextlib import suppress

import structlog
import trio

from valverouter.config import platform
from valverouter.edge.connections import isolate_failure
from valverouter.edge.event_queue import EventQueue
from valverouter.edge.events import EndpointUpdate
from valverouter.edge.runtime import READ_SIZE, Runtime
from valverouter.interface import EndpointUpdateKind
from valverouter.platform_edge import translation
from valverouter.platform_protocol.bus import Batch, BusSession, decode_batch
from valverouter.signalling.framing import ProtocolError
from valverouter.signalling.serverlist import EndpointRow, Replica

log = structlog.get_logger()

NS_PER_MS = 10**6
# The reason for which a connection ends when the address of the bus has changed.
ADDRESS_CHANGED = "moved"


class BusClient:
    """The endpoint source on the platform; applies each event once. `offset` is that of the last one."""

    def __init__(self, address: str, known: bytes, runtime: Runtime, events: EventQueue) -> None:
        self.replica = Replica()
        self.offset = 0
        self.is_up = False
        self.tries = 0
        self._address = address
        self._known = known
        self._runtime = runtime
        self._events = events
        self._poll_scope = trio.CancelScope()

    def request_list(self) -> None:
        """Does nothing: the bus is polled continuously."""

    async def load_cached(self) -> list[EndpointRow]:
        """Applies the events of the configuration; returns no rows, as there is no cache."""
        self.apply_events(self._known)
        self._known = b""
        return []

    def apply_events(self, known: bytes) -> None:
        """Applies those events of a configuration that are new."""
        self._on_batch(decode_batch(known))

    def set_address(self, address: str) -> None:
        """Changes the address of the event bus; offsets continue across addresses."""
        if address != self._address:
            self._address = address
            self._poll_scope.cancel()

    async def persist(self) -> None:
        """Does nothing: on the platform no disk outlives this process."""

    async def run(self) -> None:
        """Polls continuously until cancelled; reconnects after each lost connection."""
        async with trio.open_nursery() as self._nursery:
            await self._poll_continuously()

    async def _poll_continuously(self) -> None:
        previous_reason = ""
        while True:
            reason, address = ADDRESS_CHANGED, self._address
            with isolate_failure("bus", lambda: self._address), trio.CancelScope() as self._poll_scope:
                reason = await self._poll(address)
            self.is_up = False
            self.tries += 1
            if reason != previous_reason:
                log.warning("bus-down", bus=address, why=reason, number=self.offset)
            previous_reason = reason
            if reason != ADDRESS_CHANGED:
                await trio.sleep(platform.BUS_RETRY_DELAY / 1e9)

    async def _poll(self, address: str) -> str:
        """Polls on one connection until it ends; returns the reason."""
        try:
            with trio.fail_after(platform.BUS_ANSWER_MARGIN / 1e9):
                stream = await self._runtime.connect(address)
        except (OSError, ValueError, OverflowError, trio.TooSlowError) as error:
            return f"no connection: {error or type(error).__name__}"
        session, is_response_late = BusSession(address), False
        try:
            return await self._poll_on(stream, session)
        except ProtocolError as error:
            return f"{error.code}: {error}"
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            return "reset"
        except trio.TooSlowError:
            # A slow bus answers later than this. Its answers would all be lost if each poll were given up.
            is_response_late = True
            self._nursery.start_soon(self._await_late_response, stream, session)
            return "silent"
        finally:
            if not is_response_late:
                await trio.aclose_forcefully(stream)

    async def _poll_on(self, stream: trio.abc.Stream, session: BusSession) -> str:
        """Polls on a connection until it can't be used for another poll; returns the reason."""
        while True:
            polled_at, offset_before = trio.current_time(), self.offset
            batch = await self._poll_once(stream, session)
            self._on_batch(batch)
            self.is_up, self.tries = True, 0
            if batch.offset < offset_before:
                # The platform guarantees that offsets never decrease, so polling continues from the last
                # offset here. From the lower one, earlier events would be applied again, and a draining
                # server would be in service until the later ones had arrived.
                log.warning("bus-behind", bus=self._address, number=offset_before, told=batch.offset)
            if not session.is_reusable:
                return "closed"
            is_early = trio.current_time() - polled_at < platform.BUS_POLL_TIMEOUT / 2e9
            if self.offset == offset_before and is_early:
                # The bus responded early without new events: without a delay, polls would spin.
                await trio.sleep(platform.BUS_RETRY_DELAY / 1e9)

    async def _await_late_response(self, stream: trio.abc.Stream, session: BusSession) -> None:
        """Applies the response of an overdue poll if it still arrives, but for events applied meanwhile."""
        failures = ProtocolError, trio.BrokenResourceError, trio.ClosedResourceError
        with (
            isolate_failure("bus", lambda: self._address),
            trio.move_on_after(platform.BUS_LATE_ANSWER_TIMEOUT / 1e9),
            suppress(*failures),
        ):
            async with stream:
                self._on_batch(await _receive_batch(stream, session))

    async def _poll_once(self, stream: trio.abc.Stream, session: BusSession) -> Batch:
        """Polls for the events after the last offset; raises TooSlowError if no response arrives in time."""
        with trio.fail_after((platform.BUS_POLL_TIMEOUT + platform.BUS_ANSWER_MARGIN) / 1e9):
            await stream.send_all(session.poll_request(self.offset, platform.BUS_POLL_TIMEOUT // NS_PER_MS))
            return await _receive_batch(stream, session)

    def _on_batch(self, batch: Batch) -> None:
        """Applies the new events of a batch."""
        for event in batch.batch:
            if event.offset <= self.offset:
                continue
            self.offset = event.offset
            if event.topology is None:
                continue
            now = self._runtime.wall_time()
            rows = [translation.endpoint_row(host, now) for host in event.topology.hosts]
            kind = EndpointUpdateKind.COMPLETE if event.topology.whole else EndpointUpdateKind.INCREMENTAL
            self._events.put_endpoint_update(EndpointUpdate(kind, rows))
        self.offset = max(self.offset, batch.offset)


async def _receive_batch(stream: trio.abc.Stream, session: BusSession) -> Batch:
    """Returns the response to a poll once it is complete."""
    while (batch := session.receive(await stream.receive_some(READ_SIZE))) is None:
        pass
    return batch
