"""What waits to be handled and what waits to be sent: the event queue, and a send queue for each stream."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Hashable, Mapping
from typing import Any, Protocol, runtime_checkable

import trio

SentCallback = Callable[[], None]


class EventQueue:
    """Events in their order of arrival; updates of the endpoint list go first, then callers' cancellations.

    A server that is draining must get nothing new from that moment, so the list's update does not wait behind
    what came before it. Nor does a caller's cancel, or the loss of its connection: an attempt begun for a
    caller that has gone is one too many, however full the queue is. Readers wait while `capacity` events are
    here: a slow instance holds its peers, not its memory.
    """

    def __init__(self, capacity: int = 4_096) -> None:
        self._urgent: deque[Any] = deque()
        self._cancellations: deque[Any] = deque()
        self._regular: deque[Any] = deque()
        self._capacity = capacity
        self._waiter: trio.Event | None = None
        self._has_space = trio.Event()
        self._wakeup_scope = trio.CancelScope()

    def __len__(self) -> int:
        """Events that wait, of every priority."""
        return len(self._urgent) + len(self._cancellations) + len(self._regular)

    def put(self, event: Any) -> None:
        """Adds an event behind all others."""
        self._append(self._regular, event)

    def put_urgent(self, event: Any) -> None:
        """Adds an update of the endpoint list, ahead of all but earlier updates."""
        self._append(self._urgent, event)

    def put_cancellation(self, event: Any) -> None:
        """Adds an event that tells that a caller waits no longer, ahead of regular events."""
        self._append(self._cancellations, event)

    def _append(self, queue: deque[Any], event: Any) -> None:
        queue.append(event)
        if self._waiter is not None:
            self._waiter.set()

    def take(self) -> Any | None:
        """The next event; None: nothing waits."""
        if self._urgent:
            return self._urgent.popleft()
        if self._cancellations:
            return self._cancellations.popleft()
        if not self._regular:
            return None
        event = self._regular.popleft()
        if len(self._regular) < self._capacity:
            self._has_space.set()
        return event

    async def wait_for_space(self) -> None:
        """Returns once fewer than `capacity` regular events wait."""
        while len(self._regular) >= self._capacity:
            # One event for all who wait: with one for each, only the last was ever woken, and the others'
            # connections were never read again.
            if self._has_space.is_set():
                self._has_space = trio.Event()
            await self._has_space.wait()

    async def wait_for_event(self, deadline: float) -> None:
        """Returns once an event is here, or trio's clock says `deadline` or one asked for before."""
        if len(self):
            return
        # One scope for many waits: most deadlines are the same as the last, and a scope for each wait costs
        # as much as the turn it waits for.
        if deadline < self._wakeup_scope.deadline:
            self._wakeup_scope.deadline = deadline
        self._waiter = trio.Event()
        await self._waiter.wait()
        self._waiter = None

    async def run_wakeups(self) -> None:
        """Runs beside the event loop, and ends its wait when the deadline has passed."""
        while True:
            with self._wakeup_scope:
                await trio.sleep_forever()
            self._wakeup_scope = trio.CancelScope()
            if self._waiter is not None:
                self._waiter.set()


class SendQueueFullError(Exception):
    """More waits for a peer than it may: it reads too slowly, its connection is closed."""


@runtime_checkable
class NonBlockingStream(Protocol):
    """A stream that can be asked to take what it has space for, without a wait."""

    def send_now(self, data: bytes) -> int:
        """How many bytes it took; 0 where it must be waited for, or has failed: `send_all` tells which."""


class SendBatch:
    """The send queues that a turn of the event loop put frames into, flushed at its end, in one write each.

    A writer woken for every frame costs a busy instance a fifth of its rate.
    """

    def __init__(self) -> None:
        self._is_open = False
        self._queues: list[SendQueue] = []

    def begin(self) -> None:
        """A turn begins: frames are held back until its end."""
        self._is_open = True

    def end(self) -> None:
        """The turn is over: its frames leave."""
        self._is_open = False
        queues, self._queues = self._queues, []
        for queue in queues:
            queue.flush()

    def collect(self, queue: SendQueue) -> bool:
        """Whether a turn is under way; its end then flushes `queue`."""
        if self._is_open:
            self._queues.append(queue)
        return self._is_open


class SendQueue:
    """Frames for one stream. One with a key may still be withdrawn until it is handed to the stream.

    What the stream has been handed and not yet taken is `in_flight`; only closing the connection stops that.
    """

    def __init__(self, max_bytes: int, batch: SendBatch | None = None) -> None:
        self._max_bytes = max_bytes
        self._batch = batch
        self._is_in_batch = False
        self._stream: NonBlockingStream | None = None
        self._unsent = b""
        self._queued: dict[Hashable, tuple[bytes, SentCallback | None]] = {}
        self._queued_bytes = 0
        self._last_key = 0
        self._writer_wakeup: trio.Event | None = None
        self.in_flight: Mapping[Hashable, tuple[bytes, SentCallback | None]] = {}

    def put(self, frame: bytes, key: Hashable | None = None, on_sent: SentCallback | None = None) -> None:
        """Queues a frame; `on_sent` is called once the stream has taken it.

        SendQueueFullError, and nothing is kept of the frame, where too many bytes wait already.
        """
        if self._queued_bytes + len(frame) > self._max_bytes:
            raise SendQueueFullError(f"{self._queued_bytes} bytes wait already")
        self._last_key += 1
        self._queued[key if key is not None else self._last_key] = frame, on_sent
        self._queued_bytes += len(frame)
        if self._writer_wakeup is None or self._is_in_batch:
            return  # its writer looks again before it waits
        if self._stream is not None and self._batch is not None:
            self._is_in_batch = self._batch.collect(self)
        if not self._is_in_batch:
            self._writer_wakeup.set()

    def flush(self) -> None:
        """At a turn's end: what the stream takes at once leaves, the rest wakes the writer."""
        self._is_in_batch = False
        if self._writer_wakeup is None or self._stream is None or not self._queued:
            return
        data = b"".join([frame for frame, _ in self._queued.values()])
        taken = self._stream.send_now(data)
        if taken < len(data):
            self._writer_wakeup.set()
        if taken:  # of what it took nothing of, all may still be withdrawn
            batch, self._unsent = self._take_batch(), data[taken:]
            if not self._unsent:
                self._on_batch_sent(batch)

    def _take_batch(self) -> dict[Hashable, tuple[bytes, SentCallback | None]]:
        self.in_flight = batch = self._queued
        self._queued, self._queued_bytes = {}, 0
        return batch

    def _on_batch_sent(self, batch: Mapping[Hashable, tuple[bytes, SentCallback | None]]) -> None:
        self.in_flight = {}
        for _, on_sent in batch.values():
            if on_sent is not None:
                on_sent()

    def withdraw(self, key: Hashable) -> bool:
        """Whether the frame was still here; it will not leave any more."""
        found = self._queued.pop(key, None)
        if found is not None:
            self._queued_bytes -= len(found[0])
        return found is not None

    @property
    def is_empty(self) -> bool:
        """Whether the stream has taken all that was put here."""
        return not (self._queued or self.in_flight or self._unsent)

    def is_queued(self, key: Hashable) -> bool:
        """Whether the frame of that key may still be withdrawn."""
        return key in self._queued

    async def run(self, stream: trio.abc.SendStream) -> None:
        """Writes what comes until cancelled; raises the stream's own errors."""
        self._stream = stream if isinstance(stream, NonBlockingStream) else None
        while True:
            if self._unsent:
                unsent, self._unsent = self._unsent, b""
                await stream.send_all(unsent)
                self._on_batch_sent(self.in_flight)
            if not self._queued:
                self._writer_wakeup = trio.Event()
                await self._writer_wakeup.wait()
                self._writer_wakeup = None
                continue
            batch = self._take_batch()
            await stream.send_all(b"".join([frame for frame, _ in batch.values()]))
            self._on_batch_sent(batch)
