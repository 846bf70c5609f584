"""The event bus at the edge: what was known at the start, then long polls, begun again at once."""

from __future__ import annotations

import structlog
import trio

from valverouter.edge.connections import isolate_failure
from valverouter.edge.events import EndpointUpdate
from valverouter.edge.queues import EventQueue
from valverouter.edge.runtime import READ_SIZE, Runtime
from valverouter.interface import EndpointUpdateKind
from valverouter.relayedge import translation
from valverouter.relaywire.bus import Batch, BusSession, batch
from valverouter.signalling.framing import ProtocolError
from valverouter.signalling.serverlist import Replica, Row
from valverouter.terms import platform

log = structlog.get_logger()


class BusClient:
    """Where the platform tells of servers. `number` is the last event's; none is taken twice or in part."""

    def __init__(self, address: str, known: bytes, runtime: Runtime, events: EventQueue) -> None:
        self.replica = Replica()
        self.number = 0
        self.is_up = False
        self.tries = 0
        self._address = address
        self._known = known
        self._runtime = runtime
        self._events = events
        self._attempt = trio.CancelScope()

    def request_list(self) -> None:
        """Nothing to do: it is asked all the time."""

    async def load_cached(self) -> list[Row]:
        self.apply_events(self._known)
        self._known = b""
        return []

    def apply_events(self, known: bytes) -> None:
        """Events of a configuration, whole."""
        self._on_batch(batch(known))

    def set_address(self, address: str) -> None:
        """The event bus is elsewhere now; its numbers go on."""
        if address != self._address:
            self._address = address
            self._attempt.cancel()

    async def persist(self) -> None:
        """No disk outlives this process."""

    async def run(self) -> None:
        before = ""
        while True:
            why, address = "moved", self._address
            with isolate_failure("bus", lambda: self._address), trio.CancelScope() as self._attempt:
                why = await self._poll(address)
            self.is_up = False
            self.tries += 1
            if why != before:
                log.warning("bus-down", bus=address, why=why, number=self.number)
            before = why
            if why != "moved":
                await trio.sleep(platform.BUS_AGAIN / 1e9)

    async def _poll(self, address: str) -> str:
        """Polls on one connection until it is of no further use; why."""
        hold = platform.BUS_HOLD
        try:
            with trio.fail_after(platform.BUS_LATE / 1e9):
                stream = await self._runtime.connect(address)
        except (OSError, ValueError, OverflowError, trio.TooSlowError) as error:
            return f"no connection: {error or type(error).__name__}"
        session = BusSession(address)
        async with stream:
            try:
                while True:
                    asked_at, after = trio.current_time(), self.number
                    with trio.fail_after((hold + platform.BUS_LATE) / 1e9):
                        await stream.send_all(session.ask(after, hold // 10**6))
                        heard = None
                        while heard is None:
                            heard = session.receive(await stream.receive_some(READ_SIZE))
                    self._on_batch(heard)
                    self.is_up, self.tries = True, 0
                    if heard.offset < after:
                        # Its numbers go on, says the platform. Taken up from there, events told once would
                        # come again, and a server that is draining be in service for as long as that takes.
                        log.warning("bus-behind", bus=self._address, number=after, told=heard.offset)
                    if not session.may_ask_again:
                        return "closed"
                    if self.number == after and trio.current_time() - asked_at < hold / 2e9:
                        # Nothing, and at once: asked on without a pause it would be asked all the time.
                        await trio.sleep(platform.BUS_AGAIN / 1e9)
            except ProtocolError as error:
                return f"{error.code}: {error}"
            except (trio.BrokenResourceError, trio.ClosedResourceError):
                return "reset"
            except trio.TooSlowError:
                return "silent"

    def _on_batch(self, heard: Batch) -> None:
        for event in heard.batch:
            if event.offset <= self.number:
                continue
            self.number = event.offset
            if event.topology is None:
                continue
            now = self._runtime.wall_time()
            rows = [translation.endpoint_row(host, now) for host in event.topology.hosts]
            scope = EndpointUpdateKind.COMPLETE if event.topology.whole else EndpointUpdateKind.INCREMENTAL
            self._events.put_urgent(EndpointUpdate(scope, rows))
        self.number = max(self.number, heard.offset)
