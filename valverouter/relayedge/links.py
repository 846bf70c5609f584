"""Links to core servers: a few connections each, and what stands there, which belongs to none of them."""

from __future__ import annotations

from collections.abc import Callable, Hashable
from typing import Any

import structlog
import trio

from valverouter.edge.events import FromServer, LinkDown
from valverouter.edge.links import Link, Wait, costs_this_alone
from valverouter.edge.mail import Departures, Inbox, Outbox, Overfull
from valverouter.edge.surroundings import READ, Surroundings
from valverouter.relayedge import words
from valverouter.relaywire import lines
from valverouter.signalling import setup
from valverouter.signalling.framing import ProtocolError
from valverouter.terms import platform
from valverouter.terms.edge import Links

log = structlog.get_logger()

# Connections to each server: one that is spoilt takes the legs on it along, the others go on.
CONNECTIONS = 2
# For so long the end of a dialog that is not known here is kept, for a caller that still has to tell of it.
ENDS_KEPT_S = 15.0
ENDS_MOST = 1_000
# For so long after the word that closed a leg a second copy of it is reckoned with.
COPIES_COME_S = 0.25
# For so long a release may lie unread on a connection that is dead: longer than it takes to tell that.
UNREAD_S = 5.0


class UnknownEnds:
    """Releases that came for dialogs not known here: after our own restart a server tells of an end before
    the caller tells of the dialog. Emptied by time, and held to a count."""

    def __init__(self) -> None:
        self._ends: dict[str, tuple[float, bool]] = {}

    def add(self, id_: str, cut: bool) -> None:
        now = trio.current_time()
        self._ends[id_] = now, cut
        while self._ends:
            first = next(iter(self._ends))
            if self._ends[first][0] > now - ENDS_KEPT_S and len(self._ends) <= ENDS_MOST:
                return
            del self._ends[first]

    def take(self, id_: str) -> bool | None:
        """Whether it was cut; None where no end is known."""
        found = self._ends.pop(id_, None)
        return found[1] if found else None


def _note(lately: dict[str, float], id_: str, kept_s: float) -> None:
    now = trio.current_time()
    lately.pop(id_, None)
    lately[id_] = now
    while (first := next(iter(lately))) != id_ and lately[first] <= now - kept_s:
        del lately[first]


class _Line:
    """One connection. `open` are the set-ups on it that have no answer, by id.

    `closed`: dialogs whose leg here was refused or given up lately, with the moment; a second copy of that
    word may still come, and would pass for the answer to the same dialog's next leg. `released`: what was
    released here lately, which dies with this connection where nobody read it. Both are emptied by time.
    """

    def __init__(self, outbox: Outbox) -> None:
        self.outbox = outbox
        self.open: dict[str, tuple[str, int]] = {}
        self.closed: dict[str, float] = {}
        self.released: dict[str, float] = {}
        self.scope = trio.CancelScope()
        self.why = ""
        self.heard_at = trio.current_time()

    def give_up(self, why: str) -> None:
        self.why = self.why or why
        self.scope.cancel()

    def closes(self, id_: str) -> None:
        _note(self.closed, id_, COPIES_COME_S)

    def releases(self, id_: str) -> None:
        _note(self.released, id_, UNREAD_S)

    def may_take(self, id_: str) -> bool:
        """Whether no word on a former leg of that dialog can be mistaken here for one on its next."""
        return (
            id_ not in self.open
            and self.closed.get(id_, -COPIES_COME_S) <= trio.current_time() - COPIES_COME_S
        )


class RelayLink(Link):
    """One server's link on the platform.

    A set-up belongs to the connection that it left on and ends with it, a reset; what stands is ended by the
    server's release alone, or by a server that is gone: refusing connections, out of reach for long, listed
    as gone or with another start.
    """

    def __init__(
        self,
        server: str,
        address: str,
        terms: Links,
        surroundings: Surroundings,
        inbox: Inbox,
        wait: Wait,
        departures: Departures,
        ends: UnknownEnds,
    ) -> None:
        super().__init__(server, address, "", terms, surroundings, inbox, wait, departures)
        self._ends = ends
        self._lines: list[_Line] = []
        self._connecting = 0
        # What stands here, by id; leaves with its end. Follows `legs`.
        self._standing: dict[str, tuple[str, int]] = {}
        # Since when, by the system's clock; follows `_standing`.
        self._since: dict[str, int] = {}
        # Releases that found no connection; emptied by the next one, and with the link.
        self._owed: dict[str, int] = {}
        self._refusals = 0
        self._reached_at = trio.current_time()
        self._all = trio.CancelScope()

    @property
    def is_over(self) -> bool:
        return self.ended

    @property
    def takes(self) -> bool:
        return not self.ended and not self._why and (bool(self._lines) or self._connecting > 0)

    def knows(self, key: tuple[str, int]) -> bool:
        # Or its last leg here ended so lately that no connection can tell the words on both apart.
        return key in self.legs or (
            bool(self._lines) and not any(line.may_take(key[0]) for line in self._lines)
        )

    def stands(self, key: tuple[str, int]) -> None:
        """A dialog that its caller says stands here."""
        self.legs[key] = False
        self._stands(key)

    def _stands(self, key: tuple[str, int]) -> None:
        self._standing[key[0]] = key
        self._since[key[0]] = self._surroundings.wall()

    def _stood(self, dialog_id: str) -> tuple[str, int] | None:
        self._since.pop(dialog_id, None)
        return self._standing.pop(dialog_id, None)

    def restarted(self, born: int) -> None:
        """The list tells of another start: what stood before it is cut. What stands since is the new
        process's, which took set-ups before the list told of it."""
        cut = [self._standing[id_] for id_, since in self._since.items() if since < born]
        if cut:
            self._cut(frozenset(cut), "another start")

    def _cut(self, cut: frozenset[tuple[str, int]], why: str) -> None:
        for key in cut:
            self._stood(key[0])
            self.legs.pop(key, None)
        log.info("server-lost", server=self.server, standing=len(cut), why=why)
        self._inbox.put(LinkDown(self, why, cut, frozenset()))

    def set_up(self, key: tuple[str, int], message: Any) -> None:
        self.legs[key] = False
        if self._lines:
            able = [line for line in self._lines if line.may_take(key[0])]
            self._write_setup(min(able, key=lambda line: len(line.open)), key, message)
        else:
            self._early[key] = message

    def _write_setup(self, line: _Line, key: tuple[str, int], message: Any) -> None:
        line.open[key[0]] = key
        self._put(line, words.to_server(message), key)

    def _put(
        self, line: _Line, data: bytes, key: Hashable | None = None, left: Callable[[], None] | None = None
    ) -> None:
        try:
            line.outbox.put(data, key, left)
        except Overfull as error:
            line.give_up(f"reads too slowly: {error}")

    def send(self, message: Any, key: Hashable | None = None, left: Callable[[], None] | None = None) -> None:
        """A Cancel of an open leg or a Release of what stands; nothing follows from the server."""
        leg = message.dialog, message.leg
        self.legs.pop(leg, None)
        self._stood(message.dialog)
        line = next((line for line in self._lines if line.open.get(message.dialog) == leg), None)
        if line is not None:
            del line.open[message.dialog]
            line.closes(message.dialog)
            line.releases(message.dialog)
            self._put(line, lines.release(message.dialog, words.ENDED), left=left)
            return
        self._release(message.dialog)
        if left is not None:
            left()

    def _release(self, dialog_id: str) -> None:
        if self._lines:
            self._lines[0].releases(dialog_id)
            self._put(self._lines[0], lines.release(dialog_id, words.ENDED))
        else:
            self._owed[dialog_id] = words.ENDED

    def _has(self, dialog_id: str) -> bool:
        """Whether a leg of that dialog is out or stands here."""
        return dialog_id in self._standing or any(key[0] == dialog_id for key in self.legs)

    def withdraw(self, key: tuple[str, int]) -> bool:
        if self._early.pop(key, None) is None:
            line = next((line for line in self._lines if line.open.get(key[0]) == key), None)
            if line is None or not line.outbox.withdraw(key):
                return False
            del line.open[key[0]]
        del self.legs[key]
        return True

    def half_out(self, key: tuple[str, int]) -> bool:
        return any(key in line.outbox.in_hand for line in self._lines)

    def let_go(self) -> None:
        """Nothing waits for a welcome here."""

    def give_up(self, why: str) -> None:
        """The server is no more: its connections end, and what stood there is cut."""
        self._why = self._why or why
        self._all.cancel()

    async def run(self) -> None:
        with self._all:
            async with trio.open_nursery() as nursery:
                for _ in range(CONNECTIONS):
                    nursery.start_soon(self._hold)
        legs, self.legs = self.legs, {}
        unsent = frozenset(self._early)
        self._early.clear()
        self._standing.clear()
        self._since.clear()
        self._owed.clear()
        self._lines.clear()
        self.ended = True
        self._inbox.put(LinkDown(self, self._why or "nothing left here", frozenset(legs) - unsent, unsent))

    async def _hold(self) -> None:
        """One of the connections, made again while the server is listed or something stands there."""
        tries = 0
        while self.wanted or self.legs:
            began = trio.current_time()
            with costs_this_alone("link", lambda: self.server):
                await self._once()
            tries = tries + 1 if trio.current_time() - began < 1 else 0
            # The first time at once: a connection that broke says little of its server.
            await trio.sleep(self._wait(tries) / 1e9 if tries else 0)

    async def _once(self) -> str:
        self._connecting += 1
        try:
            with trio.fail_after(self._terms.connect_within / 1e9):
                stream = await self._surroundings.connect(self.address)
        except (OSError, ValueError, OverflowError, trio.TooSlowError) as error:
            self._connecting -= 1
            self._unreached(error)
            return "no connection"
        except BaseException:
            self._connecting -= 1
            raise
        self._connecting -= 1
        self._refusals = 0
        line = _Line(Outbox(self._terms.waiting_bytes, self._departures))
        why = "closed"
        with line.scope:
            async with stream, trio.open_nursery() as nursery:
                try:
                    nursery.start_soon(self._write_line, line, stream)
                    nursery.start_soon(self._test, line)
                    self._came_up(line)
                    await self._read_line(line, stream)
                except ProtocolError as error:
                    why = f"{error.code}: {error}"
                except (trio.BrokenResourceError, trio.ClosedResourceError):
                    why = "reset"
                nursery.cancel_scope.cancel()
        self._went(line, line.why or why)
        return why

    def _came_up(self, line: _Line) -> None:
        self._lines.append(line)
        # What is owed first: a set-up that waits may be the same dialog's next leg.
        owed, self._owed = self._owed, {}
        for dialog_id, cause in owed.items():
            line.releases(dialog_id)
            self._put(line, lines.release(dialog_id, cause))
        early, self._early = self._early, {}
        for key, message in early.items():
            self._write_setup(line, key, message)

    def _went(self, line: _Line, why: str) -> None:
        """A connection is gone: the set-ups open on it broke, what stands goes on."""
        if line in self._lines:
            self._lines.remove(line)
        unsent = frozenset(key for key in line.open.values() if line.outbox.holds(key))
        sent = frozenset(line.open.values()) - unsent
        for key in line.open.values():
            self.legs.pop(key, None)
        # Its answer may have been what was spoilt: then it stands there, and nobody would ever end it. What
        # was released on this connection shortly before may never have been read: with both connections
        # closed at once, the first one's releases went to the second, and with that one.
        again = [dialog_id for dialog_id in line.released if not self._has(dialog_id)]
        for dialog_id in sorted({dialog_id for dialog_id, _ in sent}.union(again)):
            self._release(dialog_id)
        if not self._why:
            log.info("line-down", server=self.server, why=why, legs=len(line.open))
        if line.open:
            self._inbox.put(LinkDown(self, why, sent, unsent))
        self._lost(why)

    def _unreached(self, error: BaseException) -> None:
        """No connection: nothing that waited for it ran. Refused twice with none left, or out of reach for
        long, the server has cut what stood there."""
        if self._lines:
            return
        if isinstance(error, ConnectionRefusedError) or _all_refused(error):
            self._refusals += 1
        unsent = frozenset(self._early) if not self._connecting else frozenset()
        why = f"no connection: {error or type(error).__name__}"
        if unsent:
            self._early.clear()
            for key in unsent:
                self.legs.pop(key, None)
            self._inbox.put(LinkDown(self, why, frozenset(), unsent))
        self._lost(why)

    def _lost(self, why: str) -> None:
        """With no connection left: whether what stood there is cut by now."""
        gone = self._refusals >= 2 * CONNECTIONS
        gone = gone or trio.current_time() - self._reached_at > platform.CUT_AFTER / 1e9
        if gone and self._standing and not self._lines:
            # Should it only have been out of reach, it hears that nobody is left at this side.
            self._owed |= dict.fromkeys(self._standing, words.ENDED)
            self._cut(frozenset(self._standing.values()), f"{why}, {self._refusals} refused")

    async def _write_line(self, line: _Line, stream: trio.abc.Stream) -> None:
        try:
            await line.outbox.run(stream)
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            line.give_up("reset")

    async def _test(self, line: _Line) -> None:
        """A cut-off machine leaves its connections open and silent; a test passes at once or never."""
        limit = self._terms.silence / 1e9
        while True:
            asked_at = trio.current_time()
            self._put(line, lines.ping(words.NO_DIALOG))
            await trio.sleep(limit)
            if line.heard_at < asked_at:
                # After a stall of our own what came meanwhile is read first.
                await trio.sleep(limit / 10)
                if line.heard_at < asked_at:
                    line.give_up("silent")

    async def _read_line(self, line: _Line, stream: trio.abc.Stream) -> None:
        reader = lines.LineReader()
        while data := await stream.receive_some(READ):
            line.heard_at = self._reached_at = trio.current_time()
            await self._inbox.room()
            for message in reader.feed(data):
                self._heard_line(line, message)

    def _heard_line(self, line: _Line, message: lines.Line) -> None:
        """Books are kept as it is read: should the rest of the connection be spoilt, this answer holds."""
        id_ = message.id
        if message.type == "answer":
            key = line.open.get(id_)
            # A second copy, or one of a leg that is none: more than belongs here.
            if key is not None and message.sdp is not None:
                del line.open[id_]
                self._stands(key)
                load = words.load(message)
                said = words.Answered(*key, report=load, description=message.sdp)
                self._inbox.put(FromServer(self, said))
        elif message.type == "release":
            self._released(line, message)
        elif message.type == "released":
            line.released.pop(id_, None)
        elif message.type == "state" and (report := words.load(message)) is not None:
            self._inbox.put(FromServer(self, setup.Reported(report)))

    def _released(self, line: _Line, message: lines.Line) -> None:
        id_ = message.id
        if (key := line.open.pop(id_, None)) is not None:
            line.closes(id_)
            said = words.refusal(message, key[1])
            if said is not None:
                self._inbox.put(FromServer(self, said))
            else:
                self.legs.pop(key, None)
                self._inbox.put(LinkDown(self, f"cause {message.cause}", frozenset((key,)), frozenset()))
        elif (key := self._stood(id_)) is not None:
            reason = "over" if message.cause == words.ENDED else "cut"
            self._inbox.put(FromServer(self, setup.Ended(*key, reason, words.load(message))))
        else:
            self._ends.add(id_, message.cause != words.ENDED)


def _all_refused(error: BaseException) -> bool:
    """Trio tells of the addresses that it tried; here there is one."""
    causes = error.__cause__
    if isinstance(causes, BaseExceptionGroup):
        return all(isinstance(one, ConnectionRefusedError) for one in causes.exceptions)
    return isinstance(causes, ConnectionRefusedError)
