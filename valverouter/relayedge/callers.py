"""Callers on the platform: their set-ups in, answers and releases out, and no patience with nonsense."""

from __future__ import annotations

from collections.abc import Callable, Mapping
from itertools import chain
from typing import Any

import structlog
import trio

from valverouter.edge.caller import CallerConnection
from valverouter.edge.clock import Clock
from valverouter.edge.queues import EventQueue, SendBatch, SendQueueFullError
from valverouter.interface import Deployment
from valverouter.relayedge import translation
from valverouter.relaywire import isup
from valverouter.signalling import setup
from valverouter.signalling.framing import ProtocolError
from valverouter.signalling.greeting import Welcome
from valverouter.terms.edge import Links

log = structlog.get_logger()

# So many set-ups of one connection may wait for their turn before it waits for room among all others; what is
# read of it at a time, which is how far that can be passed.
MAX_PENDING_SETUPS = 8
CALLER_READ_SIZE = 16 * 1024
# Many alike are told by one line in as long a time.
LOG_INTERVAL_S = 10.0


class RateLimitedLog:
    """Tells of the first of many alike, and how many went untold since. One entry for each kind."""

    def __init__(self) -> None:
        self._suppressed: dict[str, tuple[float, int]] = {}

    def warn(self, kind: str, reason: str) -> None:
        now = trio.current_time()
        at, untold = self._suppressed.get(kind, (-LOG_INTERVAL_S, 0))
        if now - at < LOG_INTERVAL_S:
            self._suppressed[kind] = at, untold + 1
            return
        log.warning("caller-refused", kind=kind, why=reason, untold=untold)
        self._suppressed[kind] = now, 0


class AnsweredIds:
    """Ids that had their final answer or were given up: every set-up has a new one, so who comes with one of
    these again is no good caller, and each would be a dialog more for the decisions. Holds the last so many.
    """

    def __init__(self, capacity: int = 2_048) -> None:
        self._capacity = capacity
        self._ids: dict[str, None] = {}

    def add(self, id_: str) -> None:
        self._ids[id_] = None
        if len(self._ids) > self._capacity:
            del self._ids[next(iter(self._ids))]

    def __contains__(self, id_: str) -> bool:
        return id_ in self._ids


class ConnectedCallers:
    """Callers' connections, least useful first: those that asked for nothing sound, then the rest, each in
    the order in which they were last heard.

    Kept in order as they speak: sorted for each newcomer, a full house cost more than the newcomer.
    Each leaves when it closes.
    """

    def __init__(self) -> None:
        self._unproven: dict[RelayCaller, None] = {}
        self._useful: dict[RelayCaller, None] = {}

    def on_received(self, caller: RelayCaller) -> None:
        self.remove(caller)
        (self._useful if caller.is_useful else self._unproven)[caller] = None

    def remove(self, caller: RelayCaller) -> None:
        self._unproven.pop(caller, None)
        self._useful.pop(caller, None)

    @property
    def open_count(self) -> int:
        """How many still are there."""
        return sum(not one.is_closed for one in chain(self._unproven, self._useful))

    def least_useful_idle(self) -> RelayCaller | None:
        """Whom closing loses nothing, the least useful first."""
        return next((one for one in chain(self._unproven, self._useful) if one.is_idle), None)

    def all_quiet(self) -> bool:
        """Whether each has had what it is owed, and nothing of any lies unread."""
        return all(one.is_quiet for one in chain(self._unproven, self._useful))

    def most_recent(self) -> RelayCaller | None:
        """Who was heard last, of those that still are there."""
        heard = chain(reversed(self._useful), reversed(self._unproven))
        return next((one for one in heard if not one.is_closed), None)


class RelayCaller(CallerConnection):
    """One caller's connection on the platform. `dialogs` are the open ones; what stands belongs to nobody.

    `useful` once it has asked for something sound: until then, and while a message is half sent, it is closed
    when `hello_within` has passed.
    """

    def __init__(
        self,
        stream: trio.abc.Stream,
        config: Links,
        events: EventQueue,
        batch: SendBatch,
        clock: Clock,
        deployment: Deployment,
        widths: Mapping[str, int],
        is_accepting: Callable[[], bool],
        connected: ConnectedCallers,
        answered_ids: AnsweredIds,
        rejection_log: RateLimitedLog,
    ) -> None:
        super().__init__(stream, config, events, Welcome(0, "", 0), batch)
        self.is_useful = False
        self._clock = clock
        self._deployment = deployment
        self._widths = widths
        self._is_accepting = is_accepting
        self._connected = connected
        self._answered_ids = answered_ids
        self._rejection_log = rejection_log
        self._reader = isup.MessageReader()

    @property
    def is_idle(self) -> bool:
        """Whether closing it loses nothing. A set-up that waits for its turn, or to be read, is in no book
        yet: under a crowd some were lost with connections that were closed to make room."""
        if self.is_closed or self.dialogs or self._reader.is_half:
            return False
        return not self.pending_setups and not getattr(self._stream, "has_unread_data", False)

    @property
    def is_quiet(self) -> bool:
        """Whether all that it sent was read and had its turn, and all that it was sent has left."""
        if self.is_closed:
            return True
        unread = getattr(self._stream, "has_unread_data", False)
        return not (self.pending_setups or unread) and self._send_queue.is_empty

    def close(self) -> None:
        # At once: a busy loop comes to its task some time later, and what arrives meanwhile would be lost.
        close_now = getattr(self._stream, "close_now", None)
        if close_now is not None:
            close_now()
        self._scope.cancel()

    def send(self, message: Any) -> None:
        if data := translation.to_caller(message):
            self.write(data)

    def write(self, data: bytes) -> None:
        if self._scope.cancel_called:
            return
        try:
            self._send_queue.put(data)
        except SendQueueFullError as error:
            self._rejection_log.warn("too-slow", str(error))
            self._scope.cancel()

    def expire(self, dialog_id: str, leg: int) -> None:
        pass

    def refuse(self, error: ProtocolError) -> None:
        # A word under the id of an open set-up would pass for that one's answer: the connection goes instead.
        self._rejection_log.warn(error.code, str(error))
        self._scope.cancel()

    def _on_silent(self) -> None:
        self._rejection_log.warn("silent", "nothing of use in time")

    async def _on_protocol_error(self, stream: trio.abc.Stream, error: ProtocolError) -> None:
        self._rejection_log.warn(error.code, str(error))

    async def _read(self, stream: trio.abc.Stream) -> None:
        limit = self._config.hello_within / 1e9
        half = False
        with trio.fail_after(limit) as patience:
            while data := await stream.receive_some(CALLER_READ_SIZE):
                # A dialog's time runs from its last byte, not from when its turn comes.
                came_at = self._clock.now()
                for message in self._reader.feed(data):
                    if self._scope.cancel_called:
                        return
                    self._on_message(message, came_at)
                self._connected.on_received(self)
                was_half, half = half, self._reader.is_half
                if half and not was_half and self.is_useful:
                    patience.deadline = trio.current_time() + limit
                elif self.is_useful and not half:
                    patience.deadline = float("inf")
                if len(self.pending_setups) >= MAX_PENDING_SETUPS:
                    # Who has asked for little is read on, however full the instance is: what it says next may
                    # be that it gives up, and its end would go unseen.
                    await self._events.wait_for_space()

    def _on_message(self, message: isup.Message, came_at: int) -> None:
        if message.type == isup.TEST:
            self.is_useful = True
            cause = bytes((int(self._is_accepting()),))
            self.write(isup.write(isup.TESTED, message.id, {isup.CAUSE: cause}))
        elif message.type == isup.REL:
            if message.id in self.pending_setups:
                self._answered_ids.add(message.id)
            self.enqueue(setup.Cancel(message.id), came_at)
        elif message.type == isup.IAM:
            try:
                if message.id in self._answered_ids:
                    # It may have come hundreds of times at once: the connection goes, not one word for each.
                    self.refuse(ProtocolError("out-of-state", f"{message.id} has had its answer"))
                    return
                asked = translation.parse_setup(message, self._deployment, self._widths)
            except ProtocolError as error:
                self._rejection_log.warn(error.code, str(error))
                self.write(isup.release(message.id, translation.UNUSABLE))
                return
            if isinstance(asked, translation.RelaySetup):
                self.is_useful = True
                self.enqueue(asked, came_at)
            else:
                self._events.put(EstablishedReported(self, asked))
        elif message.type not in (isup.RLC, isup.ACM):
            raise ProtocolError("out-of-state", f"type {message.type} from a caller")


class EstablishedReported:
    """A caller tells of a dialog that stands already."""

    __slots__ = ("caller", "dialog")

    def __init__(self, caller: RelayCaller, stood: translation.EstablishedDialog) -> None:
        self.caller = caller
        self.dialog = stood
