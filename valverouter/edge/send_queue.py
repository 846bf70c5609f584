"""The send queue of each stream, and the batch that flushes the queues used in a turn."""

from __future__ import annotations

from collections.abc import Callable, Hashable, Mapping
from typing import Protocol, runtime_checkable

import trio

SentCallback = Callable[[], None]


class SendQueueFullError(Exception):
    """The send queue's byte limit is exceeded because the peer reads too slowly; its connection is closed."""


@runtime_checkable
class NonBlockingStream(Protocol):
    """A stream that can send as much as its buffer has space for, without blocking."""

    def send_now(self, data: bytes) -> int:
        """Returns the number of bytes sent.

        0 means that the stream is not writable or has failed; `send_all` then blocks or raises the error.
        """


class SendBatch:
    """Collects the send queues used during a turn of the event loop and flushes each once at its end.

    Waking a writer for every frame costs a busy instance a fifth of its throughput.
    """

    def __init__(self) -> None:
        self._is_open = False
        self._queues: list[SendQueue] = []

    def begin(self) -> None:
        """Starts a turn: frames are collected until its end."""
        self._is_open = True

    def end(self) -> None:
        """Ends the turn and flushes its send queues."""
        self._is_open = False
        queues, self._queues = self._queues, []
        for queue in queues:
            queue.flush()

    def collect(self, queue: SendQueue) -> bool:
        """Registers `queue` to be flushed at the end of the turn; returns False if no turn is in progress."""
        if self._is_open:
            self._queues.append(queue)
        return self._is_open


class SendQueue:
    """Frames for one stream. A frame with a key can be withdrawn until it is passed to the stream.

    `in_flight` holds the frames passed to the stream and not yet accepted by it; only closing the connection
    keeps those from being sent.
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
        """Queues a frame; `on_sent` is called once the stream has accepted it.

        Raises SendQueueFullError, without queueing the frame, if that would exceed the limit of queued bytes.
        """
        if self._queued_bytes + len(frame) > self._max_bytes:
            raise SendQueueFullError(f"{self._queued_bytes} bytes are already queued")
        self._last_key += 1
        self._queued[key if key is not None else self._last_key] = frame, on_sent
        self._queued_bytes += len(frame)
        if self._writer_wakeup is None or self._is_in_batch:
            return  # the writer checks the queue again before it waits
        if self._stream is not None and self._batch is not None:
            self._is_in_batch = self._batch.collect(self)
        if not self._is_in_batch:
            self._writer_wakeup.set()

    def flush(self) -> None:
        """Sends what the stream accepts without blocking, and wakes the writer to send the rest."""
        self._is_in_batch = False
        if self._writer_wakeup is None or self._stream is None or not self._queued:
            return
        if self._unsent:
            return  # the writer was woken to send the rest of an earlier turn, and has not run yet
        data = b"".join([frame for frame, _ in self._queued.values()])
        taken = self._stream.send_now(data)
        if taken < len(data):
            self._writer_wakeup.set()
        if taken:  # if the stream accepted no byte, all frames can still be withdrawn
            batch, self._unsent = self._start_batch(), data[taken:]
            if not self._unsent:
                self._on_batch_sent(batch)

    def _start_batch(self) -> dict[Hashable, tuple[bytes, SentCallback | None]]:
        self.in_flight = batch = self._queued
        self._queued, self._queued_bytes = {}, 0
        return batch

    def _on_batch_sent(self, batch: Mapping[Hashable, tuple[bytes, SentCallback | None]]) -> None:
        self.in_flight = {}
        for _, on_sent in batch.values():
            if on_sent is not None:
                on_sent()

    def withdraw(self, key: Hashable) -> bool:
        """Removes a queued frame; returns False if it was already passed to the stream."""
        found = self._queued.pop(key, None)
        if found is not None:
            self._queued_bytes -= len(found[0])
        return found is not None

    @property
    def is_empty(self) -> bool:
        """Whether the stream has accepted all frames."""
        return not (self._queued or self.in_flight or self._unsent)

    def is_queued(self, key: Hashable) -> bool:
        """Whether the frame with this key can still be withdrawn."""
        return key in self._queued

    async def run(self, stream: trio.abc.SendStream) -> None:
        """Writes queued frames until cancelled; raises the stream's errors."""
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
            batch = self._start_batch()
            await stream.send_all(b"".join([frame for frame, _ in batch.values()]))
            self._on_batch_sent(batch)
