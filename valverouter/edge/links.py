"""Links to setup servers: one connection each, made again with full-jitter waits while the list names it."""

from __future__ import annotations

from collections.abc import Callable, Hashable, Iterator
from contextlib import contextmanager, suppress
from dataclasses import dataclass
from typing import Any

import structlog
import trio

from valverouter.edge.mail import Departures, Inbox, Outbox, Overfull
from valverouter.edge.surroundings import READ, Surroundings
from valverouter.signalling import setup
from valverouter.signalling.framing import ProtocolError
from valverouter.signalling.greeting import NEWEST, OLDEST, Hello, NotUnderstood, Session, Welcome
from valverouter.signalling.setup import Provisional, SetupSession
from valverouter.terms.edge import Links

log = structlog.get_logger()

Wait = Callable[[int], int]


@dataclass(frozen=True, slots=True)
class FromServer:
    """A server answers, or reports."""

    link: Link
    message: setup.OfLeg | setup.Reported


@dataclass(frozen=True, slots=True)
class LinkUp:
    """A server's welcome: the link carries legs once the instance has heard who is there."""

    link: Link
    welcome: Welcome


@dataclass(frozen=True, slots=True)
class LinkDown:
    """A link, or the attempt to make one, came to an end, with the legs that had left on it and those not."""

    link: Link
    why: str
    sent: frozenset[tuple[str, int]]
    unsent: frozenset[tuple[str, int]]


@contextmanager
def costs_this_alone(what: str, name: Callable[[], str]) -> Iterator[None]:
    """A fault nobody thought of, in one connection's task: without this net it would end the instance, and
    every dialog here would lose its answer."""
    try:
        yield
    except Exception:
        log.critical("connection-failed", what=what, peer=name(), exc_info=True)


async def say_farewell(stream: trio.abc.Stream, session: Session, error: ProtocolError) -> None:
    """The one clear error, if the peer still reads; it is given up either way, and costs no more than
    this.

    A peer that does not read has its writer waiting on the stream already, and trio lets only one wait: such
    a peer gets no word, which it would not read.
    """
    with (
        trio.move_on_after(0.1),
        suppress(trio.BrokenResourceError, trio.ClosedResourceError, trio.BusyResourceError),
    ):
        if farewell := session.farewell(error):
            await stream.send_all(farewell)


class Link:
    """One server's link. `ready` once the instance has heard its welcome; `legs` are those out on it.

    Legs asked for while it connects wait in the outbox; while it waits to connect again, there is none to
    take them. The instance empties `legs` with their answers, and all at once when the link goes down.
    """

    def __init__(
        self,
        server: str,
        address: str,
        name: str,
        terms: Links,
        surroundings: Surroundings,
        inbox: Inbox,
        wait: Wait,
        departures: Departures | None = None,
        epoch: int = 0,
    ) -> None:
        self._epoch = epoch
        self.server = server
        self.address = address
        self.wanted = True
        self.ended = False
        self.legs: dict[tuple[str, int], bool] = {}
        self._name = name
        self._terms = terms
        self._surroundings = surroundings
        self._inbox = inbox
        self._wait = wait
        self._departures = departures
        # Set-ups asked for before the welcome: until then there is no version to write them in. Emptied by
        # it.
        self._early: dict[tuple[str, int], Any] = {}
        self._session: SetupSession | None = None
        self._outbox: Outbox | None = None
        self._connection = trio.CancelScope()
        self._why = ""
        self._heard = False
        # When something was first sent that nothing has been heard since; None: nothing is asked.
        self._asked_at: float | None = None

    @property
    def is_over(self) -> bool:
        """Whether the word that it went down was its last."""
        return self.ended or not self.wanted

    def has_closed(self, key: tuple[str, int]) -> bool:
        """Whether its closing word was read on this connection already, and waits to be handled: nothing more
        may be sent of that leg."""
        return self._session is not None and self._heard and key not in self._session.legs

    @property
    def resumes(self) -> bool:
        """Whether the server there can be asked for legs of a former connection."""
        return self._session is not None and self._session.version >= 2

    @property
    def is_up(self) -> bool:
        """Whether the instance has heard its welcome, and the connection stands."""
        return self._heard and self.takes

    @property
    def takes(self) -> bool:
        """Whether a frame put now may still leave on a connection that is up or being made."""
        return self._outbox is not None and not self._why

    def knows(self, key: tuple[str, int]) -> bool:
        """Whether a leg of this name is still open here: its caller used an id again before its end came."""
        return key in self.legs or (self._session is not None and key in self._session.legs)

    def set_up(self, key: tuple[str, int], message: Any) -> None:
        """A leg for this server; it may be withdrawn until the stream takes it."""
        self.legs[key] = False
        if self._heard:
            self.send(message, key)
        else:
            self._early[key] = message

    def send(self, message: Any, key: Hashable | None = None, left: Callable[[], None] | None = None) -> None:
        """Queues a message. A peer that lets too much wait loses its connection, told as LinkDown."""
        assert self._session is not None
        assert self._outbox is not None
        try:
            self._outbox.put(self._session.send(message), key, left)
        except Overfull as error:
            self.give_up(f"reads too slowly: {error}")
        if self._asked_at is None:
            self._asked_at = trio.current_time()

    def withdraw(self, key: tuple[str, int]) -> bool:
        """Takes back a set-up that has not left; whether it could be. It is out of `legs` then."""
        if self._early.pop(key, None) is None:
            if self._outbox is None or not self._outbox.withdraw(key):
                return False
            assert self._session is not None
            self._session.drop(key)
        del self.legs[key]
        return True

    def half_out(self, key: tuple[str, int]) -> bool:
        """Whether the stream has been handed this set-up and not yet taken it."""
        return self._outbox is not None and key in self._outbox.in_hand

    def let_go(self) -> None:
        """The instance has heard the welcome: what was collected may leave."""
        if self._outbox is None or self._session is None or not self._session.version:
            return  # that connection is gone already
        self._heard = True
        early, self._early = self._early, {}
        for key, message in early.items():
            self.send(message, key)

    def give_up(self, why: str) -> None:
        self._why = self._why or why
        self._connection.cancel()

    async def run(self) -> None:
        """Connects, serves, waits, connects again; ends when the list no longer wants it."""
        tries = 0
        while self.wanted:
            began = trio.current_time()
            why = "failed"
            with costs_this_alone("link", lambda: self.server):
                why = await self._once()
            tries = tries + 1 if trio.current_time() - began < 1 else 1
            self._went_down(why)
            if self.wanted:
                await trio.sleep(max(self._terms.reconnect_least, self._wait(tries)) / 1e9)
                if not self.wanted:
                    # Its server left the list during the wait: without a word the instance would keep this
                    # link, and take it for one that runs when the server comes back.
                    self._went_down("no longer listed")
        self.ended = True

    def _went_down(self, why: str) -> None:
        # The legs go with the event: those put on the next connection before it is heard are not meant.
        outbox, legs, self.legs = self._outbox, self.legs, {}
        unsent = frozenset(
            leg for leg in legs if leg in self._early or (outbox is not None and outbox.holds(leg))
        )
        self._outbox, self._session, self._why, self._heard = None, None, "", False
        self._asked_at = None
        self._early.clear()
        self._inbox.put(LinkDown(self, why, frozenset(legs) - unsent, unsent))

    async def _once(self) -> str:
        hello = Hello((OLDEST, NEWEST), "edge", self._name, self._epoch)
        self._why = ""  # what was given up between two connections is not this one
        self._session = session = SetupSession(hello)
        self._outbox = outbox = Outbox(self._terms.waiting_bytes, self._departures)
        self._connection = trio.CancelScope()
        why = "closed"
        with self._connection:
            try:
                with trio.fail_after(self._terms.connect_within / 1e9):
                    stream = await self._surroundings.connect(self.address)
            except (OSError, ValueError, OverflowError, trio.TooSlowError) as error:
                # ValueError, OverflowError: the list told an address that is none.
                return f"no connection: {error or type(error).__name__}"
            async with stream, trio.open_nursery() as nursery:
                try:
                    await stream.send_all(session.opening())
                    nursery.start_soon(self._write, outbox, stream)
                    nursery.start_soon(self._watch)
                    await self._read(stream, session)
                except ProtocolError as error:
                    why = f"{error.code}: {error}"
                    await say_farewell(stream, session, error)
                except (trio.BrokenResourceError, trio.ClosedResourceError):
                    why = "reset"
                except trio.TooSlowError:
                    why = "no welcome in time"
                nursery.cancel_scope.cancel()
        return self._why or why

    async def _write(self, outbox: Outbox, stream: trio.abc.Stream) -> None:
        try:
            await outbox.run(stream)
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            self.give_up("reset")

    async def _watch(self) -> None:
        """Gives up a link whose far side was asked and says nothing at all: half open, it would take legs for
        as long as the kernel goes on sending, a quarter of an hour or for good. Idle is not silent."""
        limit = self._terms.silence / 1e9
        while True:
            asked_at = self._asked_at
            if asked_at is not None and trio.current_time() >= asked_at + limit:
                self.give_up(f"silent for {limit:g} s")
            await trio.sleep_until((trio.current_time() if asked_at is None else asked_at) + limit)

    async def _read(self, stream: trio.abc.Stream, session: SetupSession) -> None:
        with trio.fail_after(self._terms.hello_within / 1e9) as patience:
            while data := await stream.receive_some(READ):
                self._asked_at = None
                await self._inbox.room()
                for message in session.receive(data):
                    if isinstance(message, Provisional):
                        continue  # checked by the session; it changes nothing here
                    if isinstance(message, Welcome):
                        patience.deadline = float("inf")
                        self._inbox.put(LinkUp(self, message))
                    elif isinstance(message, NotUnderstood):
                        log.info("not-understood", server=self.server, kind=message.kind)
                        self.send(message)
                    else:
                        self._inbox.put(FromServer(self, message))
            session.end()
