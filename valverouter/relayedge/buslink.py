"""The event bus at the edge: what was known at the start, then long polls, begun again at once."""

from __future__ import annotations

import structlog
import trio

from valverouter.edge.events import ListHeard
from valverouter.edge.links import costs_this_alone
from valverouter.edge.mail import Inbox
from valverouter.edge.surroundings import READ, Surroundings
from valverouter.interface import EndpointUpdateKind
from valverouter.relayedge import words
from valverouter.relaywire.bus import Batch, BusSession, batch
from valverouter.signalling.framing import ProtocolError
from valverouter.signalling.serverlist import Replica, Row
from valverouter.terms import platform

log = structlog.get_logger()


class BusLink:
    """Where the platform tells of servers. `number` is the last event's; none is taken twice or in part."""

    def __init__(self, address: str, known: bytes, surroundings: Surroundings, inbox: Inbox) -> None:
        self.replica = Replica()
        self.number = 0
        self.is_up = False
        self.tries = 0
        self._address = address
        self._known = known
        self._surroundings = surroundings
        self._inbox = inbox
        self._attempt = trio.CancelScope()

    def ask(self) -> None:
        """Nothing to do: it is asked all the time."""

    async def cached(self) -> list[Row]:
        self.learn(self._known)
        self._known = b""
        return []

    def learn(self, known: bytes) -> None:
        """Events of a configuration, whole."""
        self._heard(batch(known))

    def move(self, address: str) -> None:
        """The event bus is elsewhere now; its numbers go on."""
        if address != self._address:
            self._address = address
            self._attempt.cancel()

    async def keep(self) -> None:
        """No disk outlives this process."""

    async def run(self) -> None:
        before = ""
        while True:
            why, address = "moved", self._address
            with costs_this_alone("bus", lambda: self._address), trio.CancelScope() as self._attempt:
                why = await self._once(address)
            self.is_up = False
            self.tries += 1
            if why != before:
                log.warning("bus-down", bus=address, why=why, number=self.number)
            before = why
            if why != "moved":
                await trio.sleep(platform.BUS_AGAIN / 1e9)

    async def _once(self, address: str) -> str:
        """Polls on one connection until it is of no further use; why."""
        hold = platform.BUS_HOLD
        try:
            with trio.fail_after(platform.BUS_LATE / 1e9):
                stream = await self._surroundings.connect(address)
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
                            heard = session.receive(await stream.receive_some(READ))
                    self._heard(heard)
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

    def _heard(self, heard: Batch) -> None:
        for event in heard.batch:
            if event.offset <= self.number:
                continue
            self.number = event.offset
            if event.topology is None:
                continue
            now = self._surroundings.wall()
            rows = [words.row(host, now) for host in event.topology.hosts]
            scope = EndpointUpdateKind.COMPLETE if event.topology.whole else EndpointUpdateKind.INCREMENTAL
            self._inbox.put_first(ListHeard(scope, rows))
        self.number = max(self.number, heard.offset)
