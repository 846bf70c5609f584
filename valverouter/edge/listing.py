"""The server list at the edge: its link, the cached copy from an earlier start, and when each server
started."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Protocol

import msgspec
import structlog
import trio

from valverouter.edge.clock import Clock
from valverouter.edge.links import Wait, costs_this_alone, say_farewell
from valverouter.edge.mail import Inbox
from valverouter.edge.surroundings import READ, Surroundings
from valverouter.interface import Endpoint, EndpointUpdateKind
from valverouter.signalling.framing import ProtocolError
from valverouter.signalling.greeting import NEWEST, OLDEST, Hello, Welcome
from valverouter.signalling.serverlist import Change, ListSession, Replica, Row, Snapshot
from valverouter.terms.edge import EdgeTerms

log = structlog.get_logger()


@dataclass(frozen=True, slots=True)
class ListHeard:
    """Word of the server list."""

    scope: EndpointUpdateKind
    rows: list[Row]


FORMERS_MOST = 4


class Kept(msgspec.Struct):
    """The cached list: the rows as last heard, and the wall time of that."""

    wall: int
    rows: list[Row]


class Incarnations:
    """When each listed server started, on our clock. Emptied as servers leave the list.

    Ages travel, moments don't: clocks differ. The first word of an incarnation fixes its moment, since a
    second reckoning would differ by the travel time and pass for a fresh start. Word of an earlier
    incarnation than one we know says nothing of when the present one began, however late it comes.

    Incarnations are to grow, and do not at a machine whose clock was set back. So one that is smaller and,
    by its age, began after the one we know is the present one; what it took the place of is remembered, and
    late word of it says nothing any more. Should a smaller one be late word itself, a warm server passes for
    cold until its age says otherwise: it gets less, and is not pushed over.
    Only a cached word is put right by a live one, and only where that shows a server to be warm: then no cold
    budget is at stake that a second reckoning could open again.
    """

    def __init__(self, warm_after: int = 0) -> None:
        self._warm_after = warm_after
        self._known: dict[str, tuple[int, int]] = {}
        # Those that a smaller one took the place of, the last few by server; they leave with their server.
        self._formers: dict[str, tuple[int, ...]] = {}
        # Servers known by the cached list alone; each leaves with the live list's first word of it.
        self._cached: set[str] = set()

    def started_at(self, server: str, incarnation: int, age: int | None, now: int) -> int:
        """The moment; 0 is long ago, as the decisions have it."""
        known = self._known.get(server)
        if known is None or (
            incarnation != known[0] and self._is_present(server, known, incarnation, age, now)
        ):
            known = self._known[server] = incarnation, 0 if age is None else max(1, now - age)
        return known[1]

    def _is_present(
        self, server: str, known: tuple[int, int], incarnation: int, age: int | None, now: int
    ) -> bool:
        formers = self._formers.get(server, ())
        if incarnation == known[0] or incarnation in formers:
            return False
        if incarnation < known[0]:
            if age is None or now - age <= known[1]:
                return False
            self._formers[server] = (known[0], *formers)[:FORMERS_MOST]
        return True

    def incarnation(self, server: str) -> int | None:
        """The latest that was told of a listed server."""
        known = self._known.get(server)
        return known[0] if known else None

    def keep(self, servers: set[str]) -> None:
        self._known = {id_: known for id_, known in self._known.items() if id_ in servers}
        self._formers = {id_: former for id_, former in self._formers.items() if id_ in servers}
        self._cached &= servers

    def forget(self, server: str) -> None:
        self._known.pop(server, None)
        self._formers.pop(server, None)
        self._cached.discard(server)

    def entry(self, row: Row, now: int, cached: bool = False) -> Endpoint:
        if cached:
            self._cached.add(row.server)
        elif row.server in self._cached:
            self._cached.discard(row.server)
            warm = row.age is None or row.age >= self._warm_after
            if warm and row.incarnation == self._known[row.server][0]:
                del self._known[row.server]
        started_at = self.started_at(row.server, row.incarnation, row.age, now)
        return Endpoint(row.server, row.number, row.phase == "in-service", started_at, row.region)


class _SilentError(Exception):
    """The service was asked and said nothing."""


class ListSource(Protocol):
    """Where an edge proxy hears of its servers."""

    replica: Replica
    is_up: bool
    tries: int

    def ask(self) -> None:
        """The decisions ask for the list."""

    async def cached(self) -> list[Row]:
        """What is known before anything is heard."""

    async def run(self) -> None:
        """Puts the list's word ahead in the inbox, until cancelled."""

    async def keep(self) -> None:
        """Keeps what was heard for a later start, if anything does."""


class ListLink:
    """The link to the list service. Where the list must be asked for, it rests until the decisions ask."""

    def __init__(
        self, terms: EdgeTerms, surroundings: Surroundings, inbox: Inbox, clock: Clock, wait: Wait
    ) -> None:
        self._terms = terms
        self._surroundings = surroundings
        self._inbox = inbox
        self._clock = clock
        self._wait = wait
        self._asked = trio.Event()
        self.replica = Replica()
        self.is_up = False
        self.tries = 0
        self._news = trio.Event()
        # When each row was told, by our own clock; follows the replica's rows.
        self._told: dict[str, int] = {}
        if terms.deployment.endpoint_list_is_pushed:
            self._asked.set()

    def ask(self) -> None:
        self._asked.set()

    async def cached(self) -> list[Row]:
        """The list as an earlier start left it, with its servers' ages of then.

        Carried on by the wall clock, a clock set forward made a cold server look warm: rule 4. Too young is
        safe, a server taken for colder than it is only gets less, until the list tells its age.
        """
        path = self._terms.list_cache
        data = await self._surroundings.load(path) if path else None
        if data is None:
            return []
        try:
            kept = msgspec.json.decode(data, type=Kept)
        except (msgspec.DecodeError, UnicodeDecodeError) as error:
            log.warning("list-cache-unreadable", path=path, why=str(error))
            return []
        past = self._surroundings.wall() - kept.wall
        log.info("list-cached", servers=len(kept.rows), age_s=past // 10**9)
        return kept.rows

    async def run(self) -> None:
        while True:
            await self._asked.wait()
            why, began = "failed", trio.current_time()
            with costs_this_alone("list", lambda: self._terms.list_service):
                why = await self._once()
            was_up, self.is_up = self.is_up, False
            # One that closes after each word must not be asked ten times a second by every edge proxy.
            self.tries = 1 if was_up and trio.current_time() - began >= 1 else self.tries + 1
            log.warning("list-down", service=self._terms.list_service, why=why, tries=self.tries)
            if not self._terms.deployment.endpoint_list_is_pushed and not was_up:
                # The decisions say when to ask again; a link that had served is made again at once by us.
                self._asked = trio.Event()
                self._inbox.put_first(ListHeard(EndpointUpdateKind.FAILED, []))
                continue
            await trio.sleep(self._wait(self.tries) / 1e9)

    async def _once(self) -> str:
        session = ListSession(Hello((OLDEST, NEWEST), "edge", self._terms.name))
        links = self._terms.links
        try:
            with trio.fail_after(links.connect_within / 1e9):
                stream = await self._surroundings.connect(self._terms.list_service)
        except (OSError, ValueError, OverflowError, trio.TooSlowError) as error:
            return f"no connection: {error or type(error).__name__}"
        async with stream:
            try:
                with trio.fail_after(links.hello_within / 1e9) as patience:
                    await stream.send_all(session.opening())
                    while data := await self._receive(stream, session):
                        for message in session.receive(data):
                            if isinstance(message, Welcome):
                                await stream.send_all(session.send(self.replica.watch()))
                            elif isinstance(message, Snapshot | Change):
                                patience.deadline = float("inf")
                                self.is_up = True
                                if (answer := self._heard(message)) is not None:
                                    await stream.send_all(session.send(answer))
                        self._news.set()
                    session.end()
            except _SilentError as error:
                return str(error)
            except ProtocolError as error:
                await say_farewell(stream, session, error)
                return f"{error.code}: {error}"
            except (trio.BrokenResourceError, trio.ClosedResourceError):
                return "reset"
            except trio.TooSlowError:
                return "no list in time"
        return "closed"

    async def _receive(self, stream: trio.abc.Stream, session: ListSession) -> bytes | bytearray:
        """What comes next. A service that is calm says nothing for hours, and so does one that hangs: after
        `silence` it is asked for the last change once more, and after another it is given up."""
        silence = self._terms.links.silence / 1e9
        if not self.is_up or not self._terms.deployment.endpoint_list_is_pushed:
            return await stream.receive_some(READ)
        with trio.move_on_after(silence):
            return await stream.receive_some(READ)
        with trio.move_on_after(silence):
            await stream.send_all(session.send(self.replica.question()))
            return await stream.receive_some(READ)
        raise _SilentError(f"silent for {silence:g} s, and again when it was asked")

    def _heard(self, message: Snapshot | Change) -> object:
        rows, answer = self.replica.heard(message)
        if rows is not None:
            now = self._clock.now()
            self._told |= {row.server: now for row in rows}
            self._told = {id_: at for id_, at in self._told.items() if id_ in self.replica.rows}
            scope = (
                EndpointUpdateKind.COMPLETE
                if isinstance(message, Snapshot)
                else EndpointUpdateKind.INCREMENTAL
            )
            self._inbox.put_first(ListHeard(scope, rows))
        if answer is not None:
            log.warning("list-gap", have=self.replica.number, told=message.number)
        return answer

    async def keep(self) -> None:
        """Keeps what was heard last, in a task of its own: a hung disk must not hold up the list's word.

        A disk that refuses costs a later start its list, which is told once, and once more when it is well.
        """
        path, told = self._terms.list_cache, False
        while path:
            await self._news.wait()
            self._news = trio.Event()
            now = self._clock.now()
            rows = [_older(row, now - self._told[row.server]) for row in self.replica.rows.values()]
            kept = Kept(self._surroundings.wall(), rows)
            try:
                await self._surroundings.keep(path, msgspec.json.encode(kept))
            except Exception as error:  # no thread to be had is a RuntimeError
                if not told:
                    log.warning("list-cache-not-kept", path=path, why=str(error))
                told = True
            else:
                if told:
                    log.info("list-cache-kept", path=path)
                told = False


def _older(row: Row, span: int) -> Row:
    return row if row.age is None else msgspec.structs.replace(row, age=row.age + max(0, span))
