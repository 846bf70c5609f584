"""Links to core servers: each has several connections; established dialogs belong to the link itself."""

from __future__ import annotations

from collections.abc import Callable, Hashable
from typing import Any

import structlog
import trio

from valverouter.config import platform
from valverouter.config.edge import LinkConfig
from valverouter.edge.connections import isolate_failure
from valverouter.edge.event_queue import EventQueue
from valverouter.edge.events import LinkDown, ServerMessage
from valverouter.edge.link import ReconnectDelay, ServerLink
from valverouter.edge.runtime import READ_SIZE, Runtime
from valverouter.edge.send_queue import SendBatch, SendQueue, SendQueueFullError
from valverouter.platform_edge import translation
from valverouter.platform_edge.established_dialogs import EstablishedDialogs
from valverouter.platform_edge.server_connection import ServerConnection
from valverouter.platform_edge.unknown_releases import UnknownReleases
from valverouter.platform_protocol import lines
from valverouter.signalling import setup
from valverouter.signalling.framing import ProtocolError

log = structlog.get_logger()

# More than one, so that a broken connection resets only the attempts on it.
CONNECTIONS_PER_SERVER = 2


class PlatformLink(ServerLink):
    """One server's link on the platform.

    A set-up belongs to the connection that it was sent on; if that connection is lost, the attempt is reset.
    An established dialog ends only if the server releases it or has interrupted it. A server is taken to have
    interrupted its dialogs if it refuses connections, was unreachable for UNREACHABLE_TIMEOUT, has restarted
    or is listed as gone.
    """

    def __init__(
        self,
        server: str,
        address: str,
        config: LinkConfig,
        runtime: Runtime,
        events: EventQueue,
        reconnect_delay: ReconnectDelay,
        batch: SendBatch,
        unknown_releases: UnknownReleases,
        proxy_started_at: int,
    ) -> None:
        """`proxy_started_at`: when this edge proxy started, Unix time in nanoseconds."""
        super().__init__(server, address, "", config, runtime, events, reconnect_delay, batch)
        self._unknown_releases = unknown_releases
        self._connections: list[ServerConnection] = []
        self._connecting = 0
        # Updated together with `attempts`.
        self._established = EstablishedDialogs(proxy_started_at)
        # Releases to send on the next connection, with their causes, by dialog id.
        self._pending_releases: dict[str, int] = {}
        self._refused_connect_count = 0
        self._last_received_at = trio.current_time()
        self._scope = trio.CancelScope()

    @property
    def is_final(self) -> bool:
        """Whether the link does not reconnect after a LinkDown."""
        return self.has_ended

    @property
    def can_return_to_service(self) -> bool:
        """Whether the link is not closing: the connections of one that is are not made again."""
        return not self.has_ended and not self._close_reason

    @property
    def is_writable(self) -> bool:
        """Whether a connection is up or being made and the link is not closing."""
        return (
            not self.has_ended
            and not self._close_reason
            and (bool(self._connections) or self._connecting > 0)
        )

    def has_attempt(self, key: tuple[str, int]) -> bool:
        """Whether this attempt is open, or messages about the dialog's previous attempt may still arrive."""
        return key in self.attempts or (
            bool(self._connections)
            and not any(connection.can_start(key[0]) for connection in self._connections)
        )

    @property
    def has_died_since_our_start(self) -> bool:
        """Whether the server's process has died since this proxy started, with what callers report later."""
        return self._established.has_server_died_since_our_start

    def add_reported(self, key: tuple[str, int]) -> None:
        """Adds a dialog that its caller reports as established at this server."""
        self.attempts[key] = False
        self._established.add_reported(key)

    def release_reported(self, dialog_id: str) -> None:
        """Releases a dialog that its caller reported and was told to have ended, in case it still stands.

        Without a connection nothing is stored for the next one: a faulty caller may report any number.
        """
        if self._connections:
            self._release(dialog_id)

    def on_server_started(self, started_at: int) -> None:
        """Ends as interrupted the dialogs established before the start that the endpoint list reports.

        `started_at`: the Unix time of the start in nanoseconds. Later dialogs belong to the new process,
        which may accept set-ups before the list shows it.
        """
        self._end_interrupted(self._established.on_server_started(started_at), "server restarted")

    def _end_interrupted(self, interrupted: frozenset[tuple[str, int]], reason: str) -> None:
        if not interrupted:
            return
        for key in interrupted:
            self.attempts.pop(key, None)
        log.info("server-lost", server=self.server, standing=len(interrupted), why=reason)
        self._events.put(LinkDown(self, reason, interrupted, frozenset()))

    def start_attempt(self, key: tuple[str, int], message: Any) -> None:
        """Queues a set-up on the connection with the fewest open ones; without a connection, for the next."""
        self.attempts[key] = False
        if self._connections:
            available = [connection for connection in self._connections if connection.can_start(key[0])]
            self._write_setup(
                min(available, key=lambda connection: len(connection.open_setups)), key, message
            )
        else:
            self._early_attempts[key] = message

    def _write_setup(self, connection: ServerConnection, key: tuple[str, int], message: Any) -> None:
        connection.open_setups[key[0]] = key
        self._put(connection, translation.encode_for_server(message), key)

    def _put(
        self,
        connection: ServerConnection,
        data: bytes,
        key: Hashable | None = None,
        on_sent: Callable[[], None] | None = None,
    ) -> None:
        try:
            connection.send_queue.put(data, key, on_sent)
        except SendQueueFullError as error:
            connection.close(f"reads too slowly: {error}")

    def send(
        self, message: Any, key: Hashable | None = None, on_sent: Callable[[], None] | None = None
    ) -> None:
        """Cancels an open attempt or releases an established dialog; the server sends no closing message."""
        key = message.dialog, message.leg
        self.attempts.pop(key, None)
        self._established.remove(message.dialog)
        connection = next(
            (
                connection
                for connection in self._connections
                if connection.open_setups.get(message.dialog) == key
            ),
            None,
        )
        if connection is not None:
            del connection.open_setups[message.dialog]
            connection.on_attempt_closed(message.dialog)
            connection.on_release_sent(message.dialog)
            self._put(
                connection, lines.encode_release(message.dialog, translation.CAUSE_ENDED), on_sent=on_sent
            )
            return
        self._release(message.dialog)
        if on_sent is not None:
            on_sent()

    def _release(self, dialog_id: str) -> None:
        if self._connections:
            self._connections[0].on_release_sent(dialog_id)
            self._put(self._connections[0], lines.encode_release(dialog_id, translation.CAUSE_ENDED))
        else:
            self._postpone_release(dialog_id)

    def _postpone_release(self, dialog_id: str) -> None:
        """Stores a release for the next connection; above the limit of dialogs, the oldest is dropped."""
        self._pending_releases[dialog_id] = translation.CAUSE_ENDED
        if len(self._pending_releases) > self._config.open_dialogs:
            del self._pending_releases[next(iter(self._pending_releases))]

    def _has_dialog(self, dialog_id: str) -> bool:
        """Whether an attempt of this dialog is in flight or established at this server."""
        return dialog_id in self._established or any(key[0] == dialog_id for key in self.attempts)

    def withdraw(self, key: tuple[str, int]) -> bool:
        """Withdraws an unsent set-up and removes its attempt; returns False if it may have been sent."""
        if self._early_attempts.pop(key, None) is None:
            connection = next(
                (connection for connection in self._connections if connection.open_setups.get(key[0]) == key),
                None,
            )
            if connection is None or not connection.send_queue.withdraw(key):
                return False
            del connection.open_setups[key[0]]
        del self.attempts[key]
        return True

    def is_partly_sent(self, key: tuple[str, int]) -> bool:
        """Whether this set-up was passed to a stream, which has not yet accepted all of it."""
        return any(key in connection.send_queue.in_flight for connection in self._connections)

    def send_early_attempts(self) -> None:
        """Does nothing: the platform's protocol has no welcome to wait for."""

    def close(self, reason: str) -> None:
        """Closes all connections to a server that is gone; `run` then ends its dialogs as interrupted."""
        self._close_reason = self._close_reason or reason
        self._scope.cancel()

    async def run(self) -> None:
        """Keeps the connections up until the server is out of service and nothing is left to send to it."""
        with self._scope:
            async with trio.open_nursery() as nursery:
                for _ in range(CONNECTIONS_PER_SERVER):
                    nursery.start_soon(self._keep_connected)
        attempts, self.attempts = self.attempts, {}
        unsent = frozenset(self._early_attempts)
        self._early_attempts.clear()
        self._established.remove_all()
        self._pending_releases.clear()
        self._connections.clear()
        self.has_ended = True
        self._events.put(
            LinkDown(self, self._close_reason or "no attempts left", frozenset(attempts) - unsent, unsent)
        )

    @property
    def _is_connection_needed(self) -> bool:
        """Whether the server is in service, or has attempts, or has to be sent releases and may still run."""
        return self.in_service or bool(self.attempts) or (bool(self._pending_releases) and not self._is_dead)

    @property
    def _is_dead(self) -> bool:
        """Whether the server's process refuses every connection."""
        return not self._connections and self._refused_connect_count >= 2 * CONNECTIONS_PER_SERVER

    async def _keep_connected(self) -> None:
        """Runs one connection; reconnects while it is needed."""
        tries = 0
        while self._is_connection_needed:
            started_at = trio.current_time()
            with isolate_failure("link", lambda: self.server):
                await self._run_connection()
            tries = tries + 1 if trio.current_time() - started_at < 1 else 0
            # The first reconnect is immediate: one broken connection does not mean that the server failed.
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
        self._refused_connect_count = 0
        connection = ServerConnection(SendQueue(self._config.waiting_bytes, self._batch))
        try:
            reason = await self._serve_connection(connection, stream)
        except Exception:
            # Whatever ended it, a connection that is over must not stay in use.
            self._on_connection_lost(connection, "failed")
            raise
        self._on_connection_lost(connection, connection.close_reason or reason)
        return reason

    async def _serve_connection(self, connection: ServerConnection, stream: trio.abc.Stream) -> str:
        """Runs a connection until it ends; returns the reason."""
        reason = "closed"
        with connection.scope:
            async with stream, trio.open_nursery() as nursery:
                try:
                    nursery.start_soon(self._write_connection, connection, stream)
                    nursery.start_soon(self._probe, connection)
                    self._on_connected(connection)
                    await self._read_connection(connection, stream)
                except ProtocolError as error:
                    reason = f"{error.code}: {error}"
                except (trio.BrokenResourceError, trio.ClosedResourceError):
                    reason = "reset"
                nursery.cancel_scope.cancel()
        return reason

    def _on_connected(self, connection: ServerConnection) -> None:
        self._connections.append(connection)
        # Releases are sent first: a queued set-up may be the next attempt of the same dialog.
        releases, self._pending_releases = self._pending_releases, {}
        for dialog_id, cause in releases.items():
            connection.on_release_sent(dialog_id)
            self._put(connection, lines.encode_release(dialog_id, cause))
        early, self._early_attempts = self._early_attempts, {}
        for key, message in early.items():
            self._write_setup(connection, key, message)

    def _on_connection_lost(self, connection: ServerConnection, reason: str) -> None:
        """Resets the set-ups open on a lost connection; established dialogs continue."""
        if connection in self._connections:
            self._connections.remove(connection)
        unsent = frozenset(
            key for key in connection.open_setups.values() if connection.send_queue.is_queued(key)
        )
        sent = frozenset(connection.open_setups.values()) - unsent
        for key in connection.open_setups.values():
            self.attempts.pop(key, None)
        # The lost input may have included the answer to a set-up. That dialog would then be established at
        # the server and never released, so it is released on another connection.
        # A release sent on this connection shortly before may not have been read, and is sent again: when
        # both connections were closed at once, releases for the first went to the second and were lost too.
        unread = [dialog_id for dialog_id in connection.sent_releases if not self._has_dialog(dialog_id)]
        for dialog_id in sorted({dialog_id for dialog_id, _ in sent}.union(unread)):
            self._release(dialog_id)
        if not self._close_reason:
            log.info("connection-lost", server=self.server, why=reason, legs=len(connection.open_setups))
        if connection.open_setups:
            self._events.put(LinkDown(self, reason, sent, unsent))
        self._end_if_unreachable(reason)

    def _on_connect_failed(self, error: BaseException) -> None:
        """Ends the attempts that were queued for a connection as unsent, if none is up or being made.

        A server that refuses every connection twice, or is unreachable for UNREACHABLE_TIMEOUT, is taken to
        have interrupted its established dialogs.
        """
        if self._connections:
            return
        if isinstance(error, ConnectionRefusedError) or _all_attempts_refused(error):
            self._refused_connect_count += 1
        unsent = frozenset(self._early_attempts) if not self._connecting else frozenset()
        reason = f"no connection: {error or type(error).__name__}"
        if unsent:
            self._early_attempts.clear()
            for key in unsent:
                self.attempts.pop(key, None)
            self._events.put(LinkDown(self, reason, frozenset(), unsent))
        self._end_if_unreachable(reason)

    def _end_if_unreachable(self, reason: str) -> None:
        """Ends the established dialogs as interrupted if the server is unreachable on every connection."""
        if self._connections:
            return
        if self._is_dead:
            # Its process has died, and with it the dialogs that callers have not reported yet.
            interrupted = self._established.on_server_died(self._runtime.wall_time())
        elif trio.current_time() - self._last_received_at > platform.UNREACHABLE_TIMEOUT / 1e9:
            interrupted = self._established.remove_all()
        else:
            return
        # If the server was only unreachable, its dialogs are released once it is connected again.
        for dialog_id, _ in interrupted:
            self._postpone_release(dialog_id)
        self._end_interrupted(interrupted, f"{reason}, {self._refused_connect_count} connects refused")

    async def _write_connection(self, connection: ServerConnection, stream: trio.abc.Stream) -> None:
        try:
            await connection.send_queue.run(stream)
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            connection.close("reset")

    async def _probe(self, connection: ServerConnection) -> None:
        """Sends probes, and closes the connection if none is answered.

        The server's host may be disconnected while the connection stays open.
        """
        limit = self._config.silence / 1e9
        while True:
            probed_at = trio.current_time()
            self._put(connection, lines.encode_ping(translation.NO_DIALOG_ID))
            await trio.sleep(limit)
            if connection.received_at < probed_at:
                # After a stall of this process, input that arrived meanwhile is read first.
                await trio.sleep(limit / 10)
                if connection.received_at < probed_at:
                    connection.close("silent")

    async def _read_connection(self, connection: ServerConnection, stream: trio.abc.Stream) -> None:
        reader = lines.LineReader()
        while data := await stream.receive_some(READ_SIZE):
            connection.received_at = self._last_received_at = trio.current_time()
            await self._events.wait_for_space()
            for message in reader.feed(data):
                self._on_message(connection, message)

    def _on_message(self, connection: ServerConnection, message: lines.Line) -> None:
        """Updates the tables as each message is read, so that losing the connection later can't undo it."""
        id_ = message.id
        if message.type == "answer":
            key = connection.open_setups.get(id_)
            # Without a key it is a duplicate, or does not belong to an open attempt.
            if key is not None and message.sdp is not None:
                del connection.open_setups[id_]
                self._established.add(key, self._runtime.wall_time())
                load = translation.parse_load(message)
                answer = translation.EstablishedWithDescription(*key, report=load, description=message.sdp)
                self._events.put(ServerMessage(self, answer))
        elif message.type == "release":
            self._on_release(connection, message)
        elif message.type == "released":
            connection.sent_releases.pop(id_, None)
        elif message.type == "state" and (report := translation.parse_load(message)) is not None:
            self._events.put(ServerMessage(self, setup.LoadReported(report)))

    def _on_release(self, connection: ServerConnection, message: lines.Line) -> None:
        id_ = message.id
        if (key := connection.open_setups.pop(id_, None)) is not None:
            connection.on_attempt_closed(id_)
            answer = translation.parse_rejection(message, key[1])
            if answer is not None:
                self._events.put(ServerMessage(self, answer))
            else:
                self.attempts.pop(key, None)
                self._events.put(LinkDown(self, f"cause {message.cause}", frozenset((key,)), frozenset()))
        elif (key := self._established.remove(id_)) is not None:
            reason = "over" if message.cause == translation.CAUSE_ENDED else "cut"
            self._events.put(ServerMessage(self, setup.Ended(*key, reason, translation.parse_load(message))))
        else:
            self._unknown_releases.add(id_, message.cause != translation.CAUSE_ENDED)


def _all_attempts_refused(error: BaseException) -> bool:
    """Whether the connection was refused at every address; trio wraps one error per address that it tried."""
    causes = error.__cause__
    if isinstance(causes, BaseExceptionGroup):
        return all(isinstance(cause, ConnectionRefusedError) for cause in causes.exceptions)
    return isinstance(causes, ConnectionRefusedError)
