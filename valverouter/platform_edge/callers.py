"""Callers' connections on the platform: receive set-ups and releases, send answers and releases."""

from __future__ import annotations

from collections.abc import Callable, Mapping
from dataclasses import dataclass
from typing import Any

import trio

from valverouter.config.edge import LinkConfig
from valverouter.edge.caller import CallerConnection
from valverouter.edge.clock import Clock
from valverouter.edge.connections import receive_by
from valverouter.edge.event_queue import EventQueue
from valverouter.edge.send_queue import SendBatch, SendQueueFullError
from valverouter.interface import Deployment
from valverouter.platform_edge import translation
from valverouter.platform_edge.answered_ids import AnsweredIds
from valverouter.platform_edge.connected_callers import CallerEvidence, ConnectedCallers
from valverouter.platform_edge.rejection_log import RateLimitedLog
from valverouter.platform_edge.release_notifier import ReleaseNotifier
from valverouter.platform_edge.request_deadline import RequestDeadline
from valverouter.platform_protocol import isup
from valverouter.signalling import setup
from valverouter.signalling.framing import ProtocolError
from valverouter.signalling.greeting import Welcome

# The size of one read in bytes.
CALLER_READ_SIZE = 16 * 1024


@dataclass(frozen=True, slots=True)
class SharedCallerState:
    """What all callers' connections of a proxy share.

    `widths`: the lines that a dialog occupies, by traffic type; set-ups must state the same number.
    `is_accepting`: whether the proxy accepts dialogs, as it answers to a test.
    """

    config: LinkConfig
    events: EventQueue
    batch: SendBatch
    clock: Clock
    deployment: Deployment
    widths: Mapping[str, int]
    is_accepting: Callable[[], bool]
    connected: ConnectedCallers[PlatformCaller]
    answered_ids: AnsweredIds
    rejection_log: RateLimitedLog
    release_notifier: ReleaseNotifier


class PlatformCaller(CallerConnection):
    """One caller's connection on the platform.

    `dialogs` holds those set up on it that are open or established, although established ones belong to no
    connection. Until the first valid request, and while a message is incomplete, the connection is closed by
    its RequestDeadline.
    """

    def __init__(self, stream: trio.abc.Stream, shared: SharedCallerState) -> None:
        """`shared`: the state shared by all callers' connections of the proxy."""
        super().__init__(stream, shared.config, shared.events, Welcome(0, "", 0), shared.batch)
        self.evidence = CallerEvidence.NONE
        self._shared = shared
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
            self._shared.release_notifier.on_caller_identified(self)

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
            self._shared.rejection_log.warn("too-slow", str(error))
            self._scope.cancel()

    def expire(self, dialog_id: str, leg: int) -> None:
        """Does nothing: the platform's protocol has no session state for dialogs."""

    def refuse(self, error: ProtocolError) -> None:
        """Closes the connection without a message.

        The caller would take a message with the id of an open set-up for the answer to that set-up.
        """
        self._shared.rejection_log.warn(error.code, str(error))
        self._scope.cancel()

    def _on_read_timeout(self) -> None:
        self._shared.rejection_log.warn("silent", "no valid request in time")

    async def _on_protocol_error(self, stream: trio.abc.Stream, error: ProtocolError) -> None:
        self._shared.rejection_log.warn(error.code, str(error))

    async def _read(self, stream: trio.abc.Stream) -> None:
        deadline = RequestDeadline(self._config.hello_within / 1e9, trio.current_time())
        while data := await self._receive(stream, deadline):
            # A set-up's time limit counts from the arrival of its last byte, not from its handling.
            received_at = self._shared.clock.now()
            message_count = await self._handle_input(data, received_at)
            if self._scope.cancel_called:
                return
            self._shared.connected.on_received(self)
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
            cause = bytes((int(self._shared.is_accepting()),))
            self.write(isup.encode(isup.TESTED, message.id, {isup.CAUSE: cause}))
        elif message.type == isup.REL:
            if message.id in self.pending_setups:
                self._shared.answered_ids.add(message.id)
            self.enqueue(setup.Cancel(message.id), received_at)
        elif message.type == isup.IAM:
            self._on_setup(message, received_at)
        elif message.type == isup.RLC:
            if self._shared.release_notifier.on_acknowledged(self, message.id):
                self.add_evidence(CallerEvidence.ESTABLISHED)
        elif message.type != isup.ACM:
            raise ProtocolError("out-of-state", f"message type {message.type} is not sent by callers")

    def _on_setup(self, message: isup.Message, received_at: int) -> None:
        try:
            request = translation.parse_setup(message, self._shared.deployment, self._shared.widths)
        except ProtocolError as error:
            self._on_invalid_setup(message.id, error)
            return
        if isinstance(request, translation.PlatformSetup) and message.id in self._shared.answered_ids:
            self._refuse_repeated_setup(message.id)
            return
        self.add_evidence(CallerEvidence.REQUESTED)
        if isinstance(request, translation.PlatformSetup):
            self.enqueue(request, received_at)
        else:
            self._events.put_request(self, EstablishedReported(self, request))

    def _on_invalid_setup(self, dialog_id: str, error: ProtocolError) -> None:
        if dialog_id in self._shared.answered_ids:
            self._refuse_repeated_setup(dialog_id)
            return
        self._shared.rejection_log.warn(error.code, str(error))
        self.write(isup.encode_release(dialog_id, translation.CAUSE_INVALID_REQUEST))

    def _refuse_repeated_setup(self, dialog_id: str) -> None:
        """Closes the connection instead of answering: a faulty caller may send hundreds of repetitions."""
        self.refuse(ProtocolError("out-of-state", f"dialog {dialog_id} was already answered"))


@dataclass(frozen=True, slots=True)
class EstablishedReported:
    """A caller's report of an established dialog that this process may not know."""

    caller: PlatformCaller
    dialog: translation.EstablishedDialog
