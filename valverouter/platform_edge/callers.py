"""Callers' connections on the platform: set-ups received, answers and releases sent."""

from __future__ import annotations

from collections.abc import Callable, Iterator, Mapping, Set
from dataclasses import dataclass
from itertools import chain
from typing import Any

import structlog
import trio

from valverouter.config.edge import LinkConfig
from valverouter.edge.caller import CallerConnection
from valverouter.edge.clock import Clock
from valverouter.edge.connections import receive_by
from valverouter.edge.queues import EventQueue, SendBatch, SendQueueFullError
from valverouter.interface import Deployment
from valverouter.platform_edge import translation
from valverouter.platform_protocol import isup
from valverouter.signalling import setup
from valverouter.signalling.framing import ProtocolError
from valverouter.signalling.greeting import Welcome

log = structlog.get_logger()

# So many set-ups of one connection may be pending before its reader waits for space among all events; what is
# read of it at a time, in bytes, which is how far that can be passed.
MAX_PENDING_SETUPS = 8
CALLER_READ_SIZE = 16 * 1024
# Events of one kind are logged once in so many seconds.
LOG_INTERVAL_S = 10.0


class RateLimitedLog:
    """Logs the first of many events of a kind, and how many were suppressed since."""

    def __init__(self) -> None:
        self._suppressed: dict[str, tuple[float, int]] = {}

    def warn(self, kind: str, reason: str) -> None:
        """Logs the refusal of a caller, unless one of its kind was logged lately."""
        now = trio.current_time()
        logged_at, suppressed = self._suppressed.get(kind, (-LOG_INTERVAL_S, 0))
        if now - logged_at < LOG_INTERVAL_S:
            self._suppressed[kind] = logged_at, suppressed + 1
            return
        log.warning("caller-refused", kind=kind, why=reason, untold=suppressed)
        self._suppressed[kind] = now, 0


class AnsweredIds:
    """Ids of dialogs that had their final answer or were cancelled, the last so many.

    Every set-up has a new id, so who comes with one of these again is a faulty caller, and each would be a
    dialog more for the decisions.
    """

    def __init__(self, capacity: int = 2_048) -> None:
        self._capacity = capacity
        self._ids: dict[str, None] = {}

    def add(self, id_: str) -> None:
        """Adds an id; the oldest leaves where there are too many."""
        self._ids[id_] = None
        if len(self._ids) > self._capacity:
            del self._ids[next(iter(self._ids))]

    def __contains__(self, id_: str) -> bool:
        """Whether an id had its answer lately."""
        return id_ in self._ids


class ConnectedCallers:
    """Callers' connections, the least useful first; each leaves when it closes.

    Those that asked for nothing sound come first, then the rest, both in the order of their last message.
    Kept in order as messages come: sorted for each new connection, many of them cost more than the
    connection.
    """

    def __init__(self) -> None:
        self._unproven: dict[PlatformCaller, None] = {}
        self._useful: dict[PlatformCaller, None] = {}

    def on_received(self, caller: PlatformCaller) -> None:
        """A caller has sent something: it moves to the end of its group."""
        self.remove(caller)
        (self._useful if caller.is_useful else self._unproven)[caller] = None

    def remove(self, caller: PlatformCaller) -> None:
        """A connection is closed."""
        self._unproven.pop(caller, None)
        self._useful.pop(caller, None)

    @property
    def open_count(self) -> int:
        """How many are not closed."""
        return sum(not caller.is_closed for caller in self._in_order())

    def eviction_candidate(self) -> PlatformCaller | None:
        """The least useful one that can be closed without loss."""
        return next((caller for caller in self._in_order() if caller.is_idle), None)

    def all_quiet(self) -> bool:
        """Whether each has had what it is owed, and nothing of any lies unread."""
        return all(caller.is_quiet for caller in self._in_order())

    def close_quiet(self, owed: Set[CallerConnection]) -> None:
        """Closes those that have had what they are owed, and on which nothing lies unread, except `owed`."""
        for caller in list(self._in_order()):
            if caller not in owed and not caller.is_closed and caller.is_quiet:
                caller.close()

    def most_recent(self) -> PlatformCaller | None:
        """The one with the latest message, of those that are not closed."""
        latest_first = chain(reversed(self._useful), reversed(self._unproven))
        return next((caller for caller in latest_first if not caller.is_closed), None)

    def _in_order(self) -> Iterator[PlatformCaller]:
        return chain(self._unproven, self._useful)


class PlatformCaller(CallerConnection):
    """One caller's connection on the platform.

    `dialogs` are the open ones; established ones belong to no connection. `is_useful` once it has asked for
    something sound: until then, and while a message is half received, it is closed when `hello_within` has
    passed.
    """

    def __init__(
        self,
        stream: trio.abc.Stream,
        config: LinkConfig,
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
        """Whether closing it loses nothing.

        A set-up that is pending or unread is in no table yet: among many connections some were lost with
        those that were closed to make space.
        """
        if self.is_closed or self.dialogs or self._reader.has_partial_message:
            return False
        return not self.pending_setups and not getattr(self._stream, "has_unread_data", False)

    @property
    def is_quiet(self) -> bool:
        """Whether all that it sent was read and handled, and all that it was sent has left."""
        if self.is_closed:
            return True
        unread = getattr(self._stream, "has_unread_data", False)
        return not (self.pending_setups or unread) and self._send_queue.is_empty

    def close(self) -> None:
        """Closes the connection at once.

        A busy loop comes to its task some time later, and what arrives meanwhile would be lost.
        """
        close_now = getattr(self._stream, "close_now", None)
        if close_now is not None:
            close_now()
        self._scope.cancel()

    def send(self, message: Any) -> None:
        """Queues an answer or an end, where the platform has a message for it."""
        if data := translation.encode_for_caller(message):
            self.write(data)

    def write(self, data: bytes) -> None:
        """Queues bytes; a caller that reads too slowly to take them loses its connection."""
        if self._scope.cancel_called:
            return
        try:
            self._send_queue.put(data)
        except SendQueueFullError as error:
            self._rejection_log.warn("too-slow", str(error))
            self._scope.cancel()

    def expire(self, dialog_id: str, leg: int) -> None:
        """The platform's sessions keep no state of a dialog."""

    def refuse(self, error: ProtocolError) -> None:
        """Closes the connection: a message under an open set-up's id would pass for its answer."""
        self._rejection_log.warn(error.code, str(error))
        self._scope.cancel()

    def _on_read_timeout(self) -> None:
        self._rejection_log.warn("silent", "nothing of use in time")

    async def _on_protocol_error(self, stream: trio.abc.Stream, error: ProtocolError) -> None:
        self._rejection_log.warn(error.code, str(error))

    async def _read(self, stream: trio.abc.Stream) -> None:
        limit = self._config.hello_within / 1e9
        has_partial = False
        deadline = trio.current_time() + limit
        while data := await receive_by(stream, CALLER_READ_SIZE, deadline):
            # A dialog's time runs from its last byte, not from when it is handled.
            received_at = self._clock.now()
            for message in self._reader.feed(data):
                if self._scope.cancel_called:
                    return
                self._on_message(message, received_at)
            self._connected.on_received(self)
            had_partial, has_partial = has_partial, self._reader.has_partial_message
            if has_partial and not had_partial and self.is_useful:
                deadline = trio.current_time() + limit
            elif self.is_useful and not has_partial:
                deadline = float("inf")
            if len(self.pending_setups) >= MAX_PENDING_SETUPS:
                # One with few pending set-ups is read on, however full the queue is: its next message may be
                # a cancel, and its end would go unseen.
                await self._events.wait_for_space()

    def _on_message(self, message: isup.Message, received_at: int) -> None:
        if message.type == isup.TEST:
            self.is_useful = True
            cause = bytes((int(self._is_accepting()),))
            self.write(isup.encode(isup.TESTED, message.id, {isup.CAUSE: cause}))
        elif message.type == isup.REL:
            if message.id in self.pending_setups:
                self._answered_ids.add(message.id)
            self.enqueue(setup.Cancel(message.id), received_at)
        elif message.type == isup.IAM:
            self._on_setup(message, received_at)
        elif message.type not in (isup.RLC, isup.ACM):
            raise ProtocolError("out-of-state", f"type {message.type} from a caller")

    def _on_setup(self, message: isup.Message, received_at: int) -> None:
        if message.id in self._answered_ids:
            # It may have come hundreds of times at once: the connection is closed, not one answer sent for
            # each.
            self.refuse(ProtocolError("out-of-state", f"{message.id} has had its answer"))
            return
        try:
            request = translation.parse_setup(message, self._deployment, self._widths)
        except ProtocolError as error:
            self._rejection_log.warn(error.code, str(error))
            self.write(isup.encode_release(message.id, translation.CAUSE_INVALID_REQUEST))
            return
        if isinstance(request, translation.PlatformSetup):
            self.is_useful = True
            self.enqueue(request, received_at)
        else:
            self._events.put(EstablishedReported(self, request))


@dataclass(frozen=True, slots=True)
class EstablishedReported:
    """A caller reports a dialog that is established already."""

    caller: PlatformCaller
    dialog: translation.EstablishedDialog
