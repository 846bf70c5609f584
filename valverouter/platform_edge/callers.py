"""Callers' connections on the platform: receive set-ups and releases, send answers and releases."""

from __future__ import annotations

from collections.abc import Callable, Iterator, Mapping, Set
from dataclasses import dataclass
from enum import IntEnum
from itertools import chain
from typing import Any

import structlog
import trio

from valverouter.config.edge import LinkConfig
from valverouter.edge.caller import CallerConnection
from valverouter.edge.clock import Clock
from valverouter.edge.connections import receive_by
from valverouter.edge.event_queue import EventQueue
from valverouter.edge.send_queue import SendBatch, SendQueueFullError
from valverouter.interface import Deployment
from valverouter.platform_edge import translation
from valverouter.platform_edge.release_notifier import ReleaseNotifier
from valverouter.platform_edge.request_deadline import RequestDeadline
from valverouter.platform_protocol import isup
from valverouter.signalling import setup
from valverouter.signalling.framing import ProtocolError
from valverouter.signalling.greeting import Welcome

log = structlog.get_logger()

# The size of one read in bytes.
CALLER_READ_SIZE = 16 * 1024
# Events of one kind are logged at most once per interval of this length, in seconds.
LOG_INTERVAL_S = 10.0
# The end of a dialog that no failure has cut.
ENDED_NORMALLY = "over"


class RateLimitedLog:
    """Logs one event of each kind per interval, with the number suppressed since the previous one."""

    def __init__(self) -> None:
        self._suppressed: dict[str, tuple[float, int]] = {}

    def warn(self, kind: str, reason: str) -> None:
        """Logs that a caller was refused, unless this kind was logged within LOG_INTERVAL_S seconds."""
        now = trio.current_time()
        logged_at, suppressed = self._suppressed.get(kind, (-LOG_INTERVAL_S, 0))
        if now - logged_at < LOG_INTERVAL_S:
            self._suppressed[kind] = logged_at, suppressed + 1
            return
        log.warning("caller-refused", kind=kind, why=reason, untold=suppressed)
        self._suppressed[kind] = now, 0


class AnsweredIds:
    """The last `capacity` ids of dialogs that were given their final answer, cancelled or released.

    Every set-up has a new id, so a caller that repeats one of these is faulty. Without this check, each
    repetition would start another dialog in the driver. A report of one of them is not faulty: its caller may
    not have received the release.
    """

    def __init__(self, capacity: int = 2_048) -> None:
        self._capacity = capacity
        self._end_reasons: dict[str, str] = {}

    def add(self, id_: str, end_reason: str = ENDED_NORMALLY) -> None:
        """Adds an id with the reason for the dialog's end; the oldest is removed above the capacity."""
        self._end_reasons[id_] = end_reason
        if len(self._end_reasons) > self._capacity:
            del self._end_reasons[next(iter(self._end_reasons))]

    def __contains__(self, id_: str) -> bool:
        """Whether the dialog of this id was recently answered, cancelled or released."""
        return id_ in self._end_reasons

    def end_reason(self, id_: str) -> str | None:
        """Returns the reason for the end of a dialog; None if it is not one of these."""
        return self._end_reasons.get(id_)


class CallerEvidence(IntEnum):
    """What shows that a connection is one of callers, in ascending order.

    A client that has sent no valid request, or only tests this process, has no dialogs. It discards releases.
    """

    NONE = 0
    TESTED = 1
    # A valid set-up, or a valid report of an established dialog.
    REQUESTED = 2
    # A set-up of which the dialog was established, or the release of an established one, or the
    # acknowledgement of a release.
    ESTABLISHED = 3


class ConnectedCallers:
    """Callers' open connections, the least useful first.

    Connections without a valid request come first, then the others, both in the order of their last message.
    The order is maintained as messages arrive: sorting many connections for each new one cost more than the
    new connection itself.
    """

    def __init__(self) -> None:
        self._unproven: dict[PlatformCaller, None] = {}
        self._useful: dict[PlatformCaller, None] = {}

    def on_received(self, caller: PlatformCaller) -> None:
        """Adds a connection, or moves it to the end of its group after a message."""
        self.remove(caller)
        (self._useful if caller.is_useful else self._unproven)[caller] = None

    def remove(self, caller: PlatformCaller) -> None:
        """Removes a closed connection."""
        self._unproven.pop(caller, None)
        self._useful.pop(caller, None)

    @property
    def open_count(self) -> int:
        """The number of connections that are not closed."""
        return sum(not caller.is_closed for caller in self._in_order())

    def eviction_candidate(self) -> PlatformCaller | None:
        """The least useful connection that can be closed without loss; None if there is none."""
        return next((caller for caller in self._in_order() if caller.is_idle), None)

    def all_quiet(self) -> bool:
        """Whether on every connection all input is handled and all output is sent."""
        return all(caller.is_quiet for caller in self._in_order())

    def close_quiet(self, owed: Set[CallerConnection]) -> None:
        """Closes the connections with no unhandled input or unsent output, except those in `owed`."""
        for caller in list(self._in_order()):
            if caller not in owed and not caller.is_closed and caller.is_quiet:
                caller.close()

    def find_release_recipient(self) -> PlatformCaller | None:
        """The open connection with the most evidence of being a caller's; the most recent one of several.

        None if no open connection is known to be a caller's.
        """
        latest_first = chain(reversed(self._useful), reversed(self._unproven))
        candidates = (caller for caller in latest_first if caller.is_identified and caller.is_reachable)
        return max(candidates, key=lambda caller: caller.evidence, default=None)

    def _in_order(self) -> Iterator[PlatformCaller]:
        return chain(self._unproven, self._useful)


class PlatformCaller(CallerConnection):
    """One caller's connection on the platform.

    `dialogs` holds those set up on it that are open or established, although established ones belong to no
    connection. Until the first valid request, and while a message is incomplete, the connection is closed by
    its RequestDeadline.
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
        release_notifier: ReleaseNotifier,
    ) -> None:
        super().__init__(stream, config, events, Welcome(0, "", 0), batch)
        self.evidence = CallerEvidence.NONE
        self._clock = clock
        self._deployment = deployment
        self._widths = widths
        self._is_accepting = is_accepting
        self._connected = connected
        self._answered_ids = answered_ids
        self._rejection_log = rejection_log
        self._release_notifier = release_notifier
        self._reader = isup.MessageReader()
        self._has_undecoded_input = False
        self._was_reset = False

    @property
    def is_useful(self) -> bool:
        """Whether it has sent a valid request."""
        return self.evidence > CallerEvidence.NONE

    @property
    def is_identified(self) -> bool:
        """Whether it is known to be a caller's, so that releases may be sent on it."""
        return self.evidence >= CallerEvidence.REQUESTED

    @property
    def has_lost_output(self) -> bool:
        """Whether not all that was queued was sent, or the connection was reset, which discards what was."""
        return self._was_reset or not self._send_queue.is_empty

    @property
    def is_idle(self) -> bool:
        """Whether closing the connection loses nothing.

        Pending and unread set-ups count, although no table has them yet: without this check, some were lost
        when connections were closed to make space.
        """
        if self.is_closed or self.dialogs or self._reader.has_partial_message:
            return False
        return not self.pending_setups and not getattr(self._stream, "has_unread_data", False)

    @property
    def is_quiet(self) -> bool:
        """Whether all its input was read and handled, and all output to it was sent."""
        if self.is_closed:
            return True
        unread = getattr(self._stream, "has_unread_data", False)
        unhandled = self.pending_setups or self._has_undecoded_input or unread
        return not unhandled and self._send_queue.is_empty

    def add_evidence(self, evidence: CallerEvidence) -> None:
        """Notes evidence of being a caller's; with the first, sends the releases that wait for a caller."""
        was_identified = self.is_identified
        self.evidence = max(self.evidence, evidence)
        if self.is_identified and not was_identified:
            self._release_notifier.on_caller_identified(self)

    def close(self) -> None:
        """Closes the socket at once.

        In a busy event loop the connection's task runs later, and what arrived until then would be lost.
        """
        close_now = getattr(self._stream, "close_now", None)
        if close_now is not None:
            close_now()
        self._scope.cancel()

    def send(self, message: Any) -> None:
        """Queues an answer or a release, if the platform's protocol has a message for it."""
        if isinstance(message, setup.Established):
            self.add_evidence(CallerEvidence.ESTABLISHED)
        if data := translation.encode_for_caller(message):
            self.write(data)

    def write(self, data: bytes) -> None:
        """Queues bytes; closes the connection if the caller reads too slowly and the queue is full."""
        if self._scope.cancel_called:
            return
        try:
            self._send_queue.put(data)
        except SendQueueFullError as error:
            self._rejection_log.warn("too-slow", str(error))
            self._scope.cancel()

    def expire(self, dialog_id: str, leg: int) -> None:
        """Does nothing: the platform's protocol has no session state for dialogs."""

    def refuse(self, error: ProtocolError) -> None:
        """Closes the connection without a message.

        The caller would take a message with the id of an open set-up for the answer to that set-up.
        """
        self._rejection_log.warn(error.code, str(error))
        self._scope.cancel()

    def _on_read_timeout(self) -> None:
        self._rejection_log.warn("silent", "no valid request in time")

    async def _on_protocol_error(self, stream: trio.abc.Stream, error: ProtocolError) -> None:
        self._rejection_log.warn(error.code, str(error))

    async def _read(self, stream: trio.abc.Stream) -> None:
        deadline = RequestDeadline(self._config.hello_within / 1e9, trio.current_time())
        while data := await self._receive(stream, deadline):
            # A set-up's time limit counts from the arrival of its last byte, not from its handling.
            received_at = self._clock.now()
            message_count = await self._handle_input(data, received_at)
            if self._scope.cancel_called:
                return
            self._connected.on_received(self)
            is_partial = self._reader.has_partial_message
            deadline.on_input(trio.current_time(), len(data), self.is_useful, message_count, is_partial)

    async def _receive(self, stream: trio.abc.Stream, deadline: RequestDeadline) -> bytes:
        """Returns what was received; raises trio.TooSlowError if a message was due before."""
        try:
            return await receive_by(stream, CALLER_READ_SIZE, deadline.at)
        except trio.BrokenResourceError:
            self._was_reset = True
            raise
        except trio.TooSlowError:
            # Only when a release is handled is it known whether its dialog is established.
            if not self.is_useful or self._reader.has_partial_message:
                raise
            return await receive_by(stream, CALLER_READ_SIZE, float("inf"))

    async def _handle_input(self, data: bytes, received_at: int) -> int:
        """Handles the messages that `data` completes; returns their number."""
        message_count = 0
        for message in self._reader.feed(data):
            if self._scope.cancel_called:
                break
            self._on_message(message, received_at)
            message_count += 1
            if not self._events.may_request(self):
                # Waits before the next message is decoded: one read may hold a thousand.
                self._has_undecoded_input = True
                await self._events.wait_for_request_space(self)
                self._has_undecoded_input = False
        return message_count

    def _on_message(self, message: isup.Message, received_at: int) -> None:
        if message.type == isup.TEST:
            self.add_evidence(CallerEvidence.TESTED)
            cause = bytes((int(self._is_accepting()),))
            self.write(isup.encode(isup.TESTED, message.id, {isup.CAUSE: cause}))
        elif message.type == isup.REL:
            if message.id in self.pending_setups:
                self._answered_ids.add(message.id)
            self.enqueue(setup.Cancel(message.id), received_at)
        elif message.type == isup.IAM:
            self._on_setup(message, received_at)
        elif message.type == isup.RLC:
            if self._release_notifier.on_acknowledged(self, message.id):
                self.add_evidence(CallerEvidence.ESTABLISHED)
        elif message.type != isup.ACM:
            raise ProtocolError("out-of-state", f"message type {message.type} is not sent by callers")

    def _on_setup(self, message: isup.Message, received_at: int) -> None:
        try:
            request = translation.parse_setup(message, self._deployment, self._widths)
        except ProtocolError as error:
            self._on_invalid_setup(message.id, error)
            return
        if isinstance(request, translation.PlatformSetup) and message.id in self._answered_ids:
            self._refuse_repeated_setup(message.id)
            return
        self.add_evidence(CallerEvidence.REQUESTED)
        if isinstance(request, translation.PlatformSetup):
            self.enqueue(request, received_at)
        else:
            self._events.put_request(self, EstablishedReported(self, request))

    def _on_invalid_setup(self, dialog_id: str, error: ProtocolError) -> None:
        if dialog_id in self._answered_ids:
            self._refuse_repeated_setup(dialog_id)
            return
        self._rejection_log.warn(error.code, str(error))
        self.write(isup.encode_release(dialog_id, translation.CAUSE_INVALID_REQUEST))

    def _refuse_repeated_setup(self, dialog_id: str) -> None:
        """Closes the connection instead of answering: a faulty caller may send hundreds of repetitions."""
        self.refuse(ProtocolError("out-of-state", f"dialog {dialog_id} was already answered"))


@dataclass(frozen=True, slots=True)
class EstablishedReported:
    """A caller's report of an established dialog that this process may not know."""

    caller: PlatformCaller
    dialog: translation.EstablishedDialog
