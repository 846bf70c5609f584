"""Links to core servers: a few connections each, and what stands there, which belongs to none of them."""

from __future__ import annotations

from collections.abc import Callable, Hashable
from typing import Any

import structlog
import trio

from valverouter.edge.connections import isolate_failure
from valverouter.edge.events import LinkDown, ServerMessage
from valverouter.edge.link import ReconnectDelay, ServerLink
from valverouter.edge.queues import EventQueue, SendBatch, SendQueue, SendQueueFullError
from valverouter.edge.runtime import READ_SIZE, Runtime
from valverouter.relayedge import translation
from valverouter.relaywire import lines
from valverouter.signalling import setup
from valverouter.signalling.framing import ProtocolError
from valverouter.terms import platform
from valverouter.terms.edge import Links

log = structlog.get_logger()

# Connections to each server: one that is spoilt takes the legs on it along, the others go on.
CONNECTIONS = 2
# For so long the end of a dialog that is not known here is kept, for a caller that still has to tell of it.
UNKNOWN_END_LIFETIME_S = 15.0
MAX_UNKNOWN_ENDS = 1_000
# For so long after the word that closed a leg a second copy of it is reckoned with.
DUPLICATE_WINDOW_S = 0.25
# For so long a release may lie unread on a connection that is dead: longer than it takes to tell that.
UNREAD_RELEASE_WINDOW_S = 5.0


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
            if self._ends[first][0] > now - UNKNOWN_END_LIFETIME_S and len(self._ends) <= MAX_UNKNOWN_ENDS:
                return
            del self._ends[first]

    def take(self, id_: str) -> bool | None:
        """Whether it was cut; None where no end is known."""
        found = self._ends.pop(id_, None)
        return found[1] if found else None


def _remember(lately: dict[str, float], id_: str, kept_s: float) -> None:
    now = trio.current_time()
    lately.pop(id_, None)
    lately[id_] = now
    while (first := next(iter(lately))) != id_ and lately[first] <= now - kept_s:
        del lately[first]


class _Connection:
    """One connection. `open` are the set-ups on it that have no answer, by id.

    `closed`: dialogs whose leg here was refused or given up lately, with the moment; a second copy of that
    word may still come, and would pass for the answer to the same dialog's next leg. `released`: what was
    released here lately, which dies with this connection where nobody read it. Both are emptied by time.
    """

    def __init__(self, outbox: SendQueue) -> None:
        self.send_queue = outbox
        self.open: dict[str, tuple[str, int]] = {}
        self.closed: dict[str, float] = {}
        self.released: dict[str, float] = {}
        self.scope = trio.CancelScope()
        self.close_reason = ""
        self.received_at = trio.current_time()

    def close(self, why: str) -> None:
        self.close_reason = self.close_reason or why
        self.scope.cancel()

    def on_attempt_closed(self, id_: str) -> None:
        _remember(self.closed, id_, DUPLICATE_WINDOW_S)

    def on_release_sent(self, id_: str) -> None:
        _remember(self.released, id_, UNREAD_RELEASE_WINDOW_S)

    def can_start(self, id_: str) -> bool:
        """Whether no word on a former leg of that dialog can be mistaken here for one on its next."""
        return (
            id_ not in self.open
            and self.closed.get(id_, -DUPLICATE_WINDOW_S) <= trio.current_time() - DUPLICATE_WINDOW_S
        )


class RelayLink(ServerLink):
    """One server's link on the platform.

    A set-up belongs to the connection that it left on and ends with it, a reset; what stands is ended by the
    server's release alone, or by a server that is gone: refusing connections, out of reach for long, listed
    as gone or with another start.
    """

    def __init__(
        self,
        server: str,
        address: str,
        config: Links,
        runtime: Runtime,
        events: EventQueue,
        reconnect_delay: ReconnectDelay,
        batch: SendBatch,
        unknown_ends: UnknownEnds,
    ) -> None:
        super().__init__(server, address, "", config, runtime, events, reconnect_delay, batch)
        self._unknown_ends = unknown_ends
        self._connections: list[_Connection] = []
        self._connecting = 0
        # What stands here, by id; leaves with its end. Follows `legs`.
        self._established: dict[str, tuple[str, int]] = {}
        # Since when, by the system's clock; follows `_standing`.
        self._established_at: dict[str, int] = {}
        # Releases that found no connection; emptied by the next one, and with the link.
        self._pending_releases: dict[str, int] = {}
        self._refused_connects = 0
        self._reached_at = trio.current_time()
        self._scope = trio.CancelScope()

    @property
    def is_final(self) -> bool:
        return self.has_ended

    @property
    def is_writable(self) -> bool:
        return (
            not self.has_ended
            and not self._close_reason
            and (bool(self._connections) or self._connecting > 0)
        )

    def has_attempt(self, key: tuple[str, int]) -> bool:
        # Or its last leg here ended so lately that no connection can tell the words on both apart.
        return key in self.attempts or (
            bool(self._connections) and not any(line.can_start(key[0]) for line in self._connections)
        )

    def add_established(self, key: tuple[str, int]) -> None:
        """A dialog that its caller says stands here."""
        self.attempts[key] = False
        self._record_established(key)

    def _record_established(self, key: tuple[str, int]) -> None:
        self._established[key[0]] = key
        self._established_at[key[0]] = self._runtime.wall_time()

    def _remove_established(self, dialog_id: str) -> tuple[str, int] | None:
        self._established_at.pop(dialog_id, None)
        return self._established.pop(dialog_id, None)

    def on_server_restarted(self, born: int) -> None:
        """The list tells of another start: what stood before it is cut. What stands since is the new
        process's, which took set-ups before the list told of it."""
        cut = [self._established[id_] for id_, since in self._established_at.items() if since < born]
        if cut:
            self._cut_dialogs(frozenset(cut), "another start")

    def _cut_dialogs(self, cut: frozenset[tuple[str, int]], why: str) -> None:
        for key in cut:
            self._remove_established(key[0])
            self.attempts.pop(key, None)
        log.info("server-lost", server=self.server, standing=len(cut), why=why)
        self._events.put(LinkDown(self, why, cut, frozenset()))

    def start_attempt(self, key: tuple[str, int], message: Any) -> None:
        self.attempts[key] = False
        if self._connections:
            able = [line for line in self._connections if line.can_start(key[0])]
            self._write_setup(min(able, key=lambda line: len(line.open)), key, message)
        else:
            self._early_attempts[key] = message

    def _write_setup(self, line: _Connection, key: tuple[str, int], message: Any) -> None:
        line.open[key[0]] = key
        self._put(line, translation.to_server(message), key)

    def _put(
        self,
        line: _Connection,
        data: bytes,
        key: Hashable | None = None,
        on_sent: Callable[[], None] | None = None,
    ) -> None:
        try:
            line.send_queue.put(data, key, on_sent)
        except SendQueueFullError as error:
            line.close(f"reads too slowly: {error}")

    def send(
        self, message: Any, key: Hashable | None = None, on_sent: Callable[[], None] | None = None
    ) -> None:
        """A Cancel of an open leg or a Release of what stands; nothing follows from the server."""
        leg = message.dialog, message.leg
        self.attempts.pop(leg, None)
        self._remove_established(message.dialog)
        line = next((line for line in self._connections if line.open.get(message.dialog) == leg), None)
        if line is not None:
            del line.open[message.dialog]
            line.on_attempt_closed(message.dialog)
            line.on_release_sent(message.dialog)
            self._put(line, lines.release(message.dialog, translation.ENDED), on_sent=on_sent)
            return
        self._release(message.dialog)
        if on_sent is not None:
            on_sent()

    def _release(self, dialog_id: str) -> None:
        if self._connections:
            self._connections[0].on_release_sent(dialog_id)
            self._put(self._connections[0], lines.release(dialog_id, translation.ENDED))
        else:
            self._pending_releases[dialog_id] = translation.ENDED

    def _has_dialog(self, dialog_id: str) -> bool:
        """Whether a leg of that dialog is out or stands here."""
        return dialog_id in self._established or any(key[0] == dialog_id for key in self.attempts)

    def withdraw(self, key: tuple[str, int]) -> bool:
        if self._early_attempts.pop(key, None) is None:
            line = next((line for line in self._connections if line.open.get(key[0]) == key), None)
            if line is None or not line.send_queue.withdraw(key):
                return False
            del line.open[key[0]]
        del self.attempts[key]
        return True

    def is_partly_sent(self, key: tuple[str, int]) -> bool:
        return any(key in line.send_queue.in_flight for line in self._connections)

    def send_early_attempts(self) -> None:
        """Nothing waits for a welcome here."""

    def close(self, reason: str) -> None:
        """The server is no more: its connections end, and what stood there is cut."""
        self._close_reason = self._close_reason or reason
        self._scope.cancel()

    async def run(self) -> None:
        with self._scope:
            async with trio.open_nursery() as nursery:
                for _ in range(CONNECTIONS):
                    nursery.start_soon(self._keep_connected)
        legs, self.attempts = self.attempts, {}
        unsent = frozenset(self._early_attempts)
        self._early_attempts.clear()
        self._established.clear()
        self._established_at.clear()
        self._pending_releases.clear()
        self._connections.clear()
        self.has_ended = True
        self._events.put(
            LinkDown(self, self._close_reason or "nothing left here", frozenset(legs) - unsent, unsent)
        )

    async def _keep_connected(self) -> None:
        """One of the connections, made again while the server is listed or something stands there."""
        tries = 0
        while self.in_service or self.attempts:
            began = trio.current_time()
            with isolate_failure("link", lambda: self.server):
                await self._run_connection()
            tries = tries + 1 if trio.current_time() - began < 1 else 0
            # The first time at once: a connection that broke says little of its server.
            await trio.sleep(self._reconnect_delay(tries) / 1e9 if tries else 0)

    async def _run_connection(self) -> str:
        self._connecting += 1
        try:
            with trio.fail_after(self._config.connect_within / 1e9):
                stream = await self._runtime.connect(self.address)
        except (OSError, ValueError, OverflowError, trio.TooSlowError) as error:
            self._connecting -= 1
            self._on_connect_failed(error)
            return "no connection"
        except BaseException:
            self._connecting -= 1
            raise
        self._connecting -= 1
        self._refused_connects = 0
        line = _Connection(SendQueue(self._config.waiting_bytes, self._batch))
        why = "closed"
        with line.scope:
            async with stream, trio.open_nursery() as nursery:
                try:
                    nursery.start_soon(self._write_connection, line, stream)
                    nursery.start_soon(self._probe, line)
                    self._on_connected(line)
                    await self._read_connection(line, stream)
                except ProtocolError as error:
                    why = f"{error.code}: {error}"
                except (trio.BrokenResourceError, trio.ClosedResourceError):
                    why = "reset"
                nursery.cancel_scope.cancel()
        self._on_connection_lost(line, line.close_reason or why)
        return why

    def _on_connected(self, line: _Connection) -> None:
        self._connections.append(line)
        # What is owed first: a set-up that waits may be the same dialog's next leg.
        owed, self._pending_releases = self._pending_releases, {}
        for dialog_id, cause in owed.items():
            line.on_release_sent(dialog_id)
            self._put(line, lines.release(dialog_id, cause))
        early, self._early_attempts = self._early_attempts, {}
        for key, message in early.items():
            self._write_setup(line, key, message)

    def _on_connection_lost(self, line: _Connection, why: str) -> None:
        """A connection is gone: the set-ups open on it broke, what stands goes on."""
        if line in self._connections:
            self._connections.remove(line)
        unsent = frozenset(key for key in line.open.values() if line.send_queue.is_queued(key))
        sent = frozenset(line.open.values()) - unsent
        for key in line.open.values():
            self.attempts.pop(key, None)
        # Its answer may have been what was spoilt: then it stands there, and nobody would ever end it. What
        # was released on this connection shortly before may never have been read: with both connections
        # closed at once, the first one's releases went to the second, and with that one.
        again = [dialog_id for dialog_id in line.released if not self._has_dialog(dialog_id)]
        for dialog_id in sorted({dialog_id for dialog_id, _ in sent}.union(again)):
            self._release(dialog_id)
        if not self._close_reason:
            log.info("connection-lost", server=self.server, why=why, legs=len(line.open))
        if line.open:
            self._events.put(LinkDown(self, why, sent, unsent))
        self._cut_if_unreachable(why)

    def _on_connect_failed(self, error: BaseException) -> None:
        """No connection: nothing that waited for it ran. Refused twice with none left, or out of reach for
        long, the server has cut what stood there."""
        if self._connections:
            return
        if isinstance(error, ConnectionRefusedError) or _all_attempts_refused(error):
            self._refused_connects += 1
        unsent = frozenset(self._early_attempts) if not self._connecting else frozenset()
        why = f"no connection: {error or type(error).__name__}"
        if unsent:
            self._early_attempts.clear()
            for key in unsent:
                self.attempts.pop(key, None)
            self._events.put(LinkDown(self, why, frozenset(), unsent))
        self._cut_if_unreachable(why)

    def _cut_if_unreachable(self, why: str) -> None:
        """With no connection left: whether what stood there is cut by now."""
        gone = self._refused_connects >= 2 * CONNECTIONS
        gone = gone or trio.current_time() - self._reached_at > platform.CUT_AFTER / 1e9
        if gone and self._established and not self._connections:
            # Should it only have been out of reach, it hears that nobody is left at this side.
            self._pending_releases |= dict.fromkeys(self._established, translation.ENDED)
            self._cut_dialogs(
                frozenset(self._established.values()), f"{why}, {self._refused_connects} refused"
            )

    async def _write_connection(self, line: _Connection, stream: trio.abc.Stream) -> None:
        try:
            await line.send_queue.run(stream)
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            line.close("reset")

    async def _probe(self, line: _Connection) -> None:
        """A cut-off machine leaves its connections open and silent; a test passes at once or never."""
        limit = self._config.silence / 1e9
        while True:
            asked_at = trio.current_time()
            self._put(line, lines.ping(translation.NO_DIALOG))
            await trio.sleep(limit)
            if line.received_at < asked_at:
                # After a stall of our own what came meanwhile is read first.
                await trio.sleep(limit / 10)
                if line.received_at < asked_at:
                    line.close("silent")

    async def _read_connection(self, line: _Connection, stream: trio.abc.Stream) -> None:
        reader = lines.LineReader()
        while data := await stream.receive_some(READ_SIZE):
            line.received_at = self._reached_at = trio.current_time()
            await self._events.wait_for_space()
            for message in reader.feed(data):
                self._on_message(line, message)

    def _on_message(self, line: _Connection, message: lines.Line) -> None:
        """Books are kept as it is read: should the rest of the connection be spoilt, this answer holds."""
        id_ = message.id
        if message.type == "answer":
            key = line.open.get(id_)
            # A second copy, or one of a leg that is none: more than belongs here.
            if key is not None and message.sdp is not None:
                del line.open[id_]
                self._record_established(key)
                load = translation.parse_load(message)
                said = translation.Answered(*key, report=load, description=message.sdp)
                self._events.put(ServerMessage(self, said))
        elif message.type == "release":
            self._on_release(line, message)
        elif message.type == "released":
            line.released.pop(id_, None)
        elif message.type == "state" and (report := translation.parse_load(message)) is not None:
            self._events.put(ServerMessage(self, setup.Reported(report)))

    def _on_release(self, line: _Connection, message: lines.Line) -> None:
        id_ = message.id
        if (key := line.open.pop(id_, None)) is not None:
            line.on_attempt_closed(id_)
            said = translation.parse_rejection(message, key[1])
            if said is not None:
                self._events.put(ServerMessage(self, said))
            else:
                self.attempts.pop(key, None)
                self._events.put(LinkDown(self, f"cause {message.cause}", frozenset((key,)), frozenset()))
        elif (key := self._remove_established(id_)) is not None:
            reason = "over" if message.cause == translation.ENDED else "cut"
            self._events.put(ServerMessage(self, setup.Ended(*key, reason, translation.parse_load(message))))
        else:
            self._unknown_ends.add(id_, message.cause != translation.ENDED)


def _all_attempts_refused(error: BaseException) -> bool:
    """Trio tells of the addresses that it tried; here there is one."""
    causes = error.__cause__
    if isinstance(causes, BaseExceptionGroup):
        return all(isinstance(one, ConnectionRefusedError) for one in causes.exceptions)
    return isinstance(causes, ConnectionRefusedError)
