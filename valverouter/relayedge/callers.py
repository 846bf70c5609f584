"""Callers on the platform: their set-ups in, answers and releases out, and no patience with nonsense."""

from __future__ import annotations

from collections.abc import Callable, Mapping
from itertools import chain
from typing import Any

import structlog
import trio

from valverouter.edge.clock import Clock
from valverouter.edge.listener import Caller
from valverouter.edge.mail import Departures, Inbox, Overfull
from valverouter.interface import Deployment
from valverouter.relayedge import words
from valverouter.relaywire import isup
from valverouter.signalling import setup
from valverouter.signalling.framing import ProtocolError
from valverouter.signalling.greeting import Welcome
from valverouter.terms.edge import Links

log = structlog.get_logger()

# So many set-ups of one connection may wait for their turn before it waits for room among all others; what is
# read of it at a time, which is how far that can be passed.
HELD = 8
READ_CALLER = 16 * 1024
# Many alike are told by one line in as long a time.
TOLD_S = 10.0


class Seldom:
    """Tells of the first of many alike, and how many went untold since. One entry for each kind."""

    def __init__(self) -> None:
        self._untold: dict[str, tuple[float, int]] = {}

    def tell(self, kind: str, why: str) -> None:
        now = trio.current_time()
        at, untold = self._untold.get(kind, (-TOLD_S, 0))
        if now - at < TOLD_S:
            self._untold[kind] = at, untold + 1
            return
        log.warning("caller-refused", kind=kind, why=why, untold=untold)
        self._untold[kind] = now, 0


class AnsweredIds:
    """Ids that had their final answer or were given up: every set-up has a new one, so who comes with one of
    these again is no good caller, and each would be a dialog more for the decisions. Holds the last so many.
    """

    def __init__(self, most: int = 2_048) -> None:
        self._most = most
        self._ids: dict[str, None] = {}

    def add(self, id_: str) -> None:
        self._ids[id_] = None
        if len(self._ids) > self._most:
            del self._ids[next(iter(self._ids))]

    def __contains__(self, id_: str) -> bool:
        return id_ in self._ids


class Connected:
    """Callers' connections, least useful first: those that asked for nothing sound, then the rest, each in
    the order in which they were last heard.

    Kept in order as they speak: sorted for each newcomer, a full house cost more than the newcomer.
    Each leaves when it closes.
    """

    def __init__(self) -> None:
        self._fresh: dict[RelayCaller, None] = {}
        self._useful: dict[RelayCaller, None] = {}

    def heard(self, caller: RelayCaller) -> None:
        self.drop(caller)
        (self._useful if caller.useful else self._fresh)[caller] = None

    def drop(self, caller: RelayCaller) -> None:
        self._fresh.pop(caller, None)
        self._useful.pop(caller, None)

    @property
    def many(self) -> int:
        """How many still are there."""
        return sum(not one.is_lost for one in chain(self._fresh, self._useful))

    def idle(self) -> RelayCaller | None:
        """Whom closing loses nothing, the least useful first."""
        return next((one for one in chain(self._fresh, self._useful) if one.is_idle), None)

    def all_quiet(self) -> bool:
        """Whether each has had what it is owed, and nothing of any lies unread."""
        return all(one.is_quiet for one in chain(self._fresh, self._useful))

    def latest(self) -> RelayCaller | None:
        """Who was heard last, of those that still are there."""
        heard = chain(reversed(self._useful), reversed(self._fresh))
        return next((one for one in heard if not one.is_lost), None)


class RelayCaller(Caller):
    """One caller's connection on the platform. `dialogs` are the open ones; what stands belongs to nobody.

    `useful` once it has asked for something sound: until then, and while a message is half sent, it is closed
    when `hello_within` has passed.
    """

    def __init__(
        self,
        stream: trio.abc.Stream,
        terms: Links,
        inbox: Inbox,
        departures: Departures,
        clock: Clock,
        deployment: Deployment,
        widths: Mapping[str, int],
        passes: Callable[[], bool],
        connected: Connected,
        answered: AnsweredIds,
        seldom: Seldom,
    ) -> None:
        super().__init__(stream, terms, inbox, Welcome(0, "", 0), departures)
        self.useful = False
        self._clock = clock
        self._deployment = deployment
        self._widths = widths
        self._passes = passes
        self._connected = connected
        self._answered = answered
        self._seldom = seldom
        self._reader = isup.MessageReader()

    @property
    def is_idle(self) -> bool:
        """Whether closing it loses nothing. A set-up that waits for its turn, or to be read, is in no book
        yet: under a crowd some were lost with connections that were closed to make room."""
        if self.is_lost or self.dialogs or self._reader.is_half:
            return False
        return not self.waiting and not getattr(self._stream, "has_unread", False)

    @property
    def is_quiet(self) -> bool:
        """Whether all that it sent was read and had its turn, and all that it was sent has left."""
        if self.is_lost:
            return True
        unread = getattr(self._stream, "has_unread", False)
        return not (self.waiting or unread) and self._outbox.is_empty

    def close(self) -> None:
        # At once: a busy loop comes to its task some time later, and what arrives meanwhile would be lost.
        close_now = getattr(self._stream, "close_now", None)
        if close_now is not None:
            close_now()
        self._scope.cancel()

    def send(self, message: Any) -> None:
        if data := words.to_caller(message):
            self.write(data)

    def write(self, data: bytes) -> None:
        if self._scope.cancel_called:
            return
        try:
            self._outbox.put(data)
        except Overfull as error:
            self._seldom.tell("too-slow", str(error))
            self._scope.cancel()

    def expire(self, dialog_id: str, leg: int) -> None:
        pass

    def refuse(self, error: ProtocolError) -> None:
        # A word under the id of an open set-up would pass for that one's answer: the connection goes instead.
        self._seldom.tell(error.code, str(error))
        self._scope.cancel()

    def _silent(self) -> None:
        self._seldom.tell("silent", "nothing of use in time")

    async def _part(self, stream: trio.abc.Stream, error: ProtocolError) -> None:
        self._seldom.tell(error.code, str(error))

    async def _read(self, stream: trio.abc.Stream) -> None:
        limit = self._terms.hello_within / 1e9
        half = False
        with trio.fail_after(limit) as patience:
            while data := await stream.receive_some(READ_CALLER):
                # A dialog's time runs from its last byte, not from when its turn comes.
                came_at = self._clock.now()
                for message in self._reader.feed(data):
                    if self._scope.cancel_called:
                        return
                    self._heard(message, came_at)
                self._connected.heard(self)
                was_half, half = half, self._reader.is_half
                if half and not was_half and self.useful:
                    patience.deadline = trio.current_time() + limit
                elif self.useful and not half:
                    patience.deadline = float("inf")
                if len(self.waiting) >= HELD:
                    # Who has asked for little is read on, however full the instance is: what it says next may
                    # be that it gives up, and its end would go unseen.
                    await self._inbox.room()

    def _heard(self, message: isup.Message, came_at: int) -> None:
        if message.type == isup.TEST:
            self.useful = True
            cause = bytes((int(self._passes()),))
            self.write(isup.write(isup.TESTED, message.id, {isup.CAUSE: cause}))
        elif message.type == isup.REL:
            if message.id in self.waiting:
                self._answered.add(message.id)
            self.asks(setup.Cancel(message.id), came_at)
        elif message.type == isup.IAM:
            try:
                if message.id in self._answered:
                    # It may have come hundreds of times at once: the connection goes, not one word for each.
                    self.refuse(ProtocolError("out-of-state", f"{message.id} has had its answer"))
                    return
                asked = words.asked(message, self._deployment, self._widths)
            except ProtocolError as error:
                self._seldom.tell(error.code, str(error))
                self.write(isup.release(message.id, words.UNUSABLE))
                return
            if isinstance(asked, words.Asked):
                self.useful = True
                self.asks(asked, came_at)
            else:
                self._inbox.put(ToldStanding(self, asked))
        elif message.type not in (isup.RLC, isup.ACM):
            raise ProtocolError("out-of-state", f"type {message.type} from a caller")


class ToldStanding:
    """A caller tells of a dialog that stands already."""

    __slots__ = ("caller", "stood")

    def __init__(self, caller: RelayCaller, stood: words.Stood) -> None:
        self.caller = caller
        self.stood = stood
