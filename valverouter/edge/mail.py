"""What waits to be done and what waits to be sent: the instance's inbox, and an outbox for each stream."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Hashable, Mapping
from typing import Any, Protocol, runtime_checkable

import trio

Left = Callable[[], None]


class Inbox:
    """Events in their order of arrival; word of the server list goes ahead of all else, and after it word
    that a caller has left.

    A server told draining must get nothing new from that moment, so the list's word does not wait behind what
    came before it. Nor does a caller's cancel, or the loss of its connection: an attempt begun for a caller
    that has gone is one too many, however full this is. Readers wait while `most` events are here: a slow
    instance holds its peers, not its memory.
    """

    def __init__(self, most: int = 4_096) -> None:
        self._first: deque[Any] = deque()
        self._left: deque[Any] = deque()
        self._rest: deque[Any] = deque()
        self._most = most
        self._waits: trio.Event | None = None
        self._room = trio.Event()
        self._wake = trio.CancelScope()

    def __len__(self) -> int:
        return len(self._first) + len(self._left) + len(self._rest)

    def put(self, event: Any) -> None:
        self._puts(self._rest, event)

    def put_first(self, event: Any) -> None:
        """Word of the server list."""
        self._puts(self._first, event)

    def put_left(self, event: Any) -> None:
        """Word that a caller waits no longer."""
        self._puts(self._left, event)

    def _puts(self, queue: deque[Any], event: Any) -> None:
        queue.append(event)
        if self._waits is not None:
            self._waits.set()

    def take(self) -> Any | None:
        if self._first:
            return self._first.popleft()
        if self._left:
            return self._left.popleft()
        if not self._rest:
            return None
        event = self._rest.popleft()
        if len(self._rest) < self._most:
            self._room.set()
        return event

    async def room(self) -> None:
        while len(self._rest) >= self._most:
            # One event for all who wait: with one for each, only the last was ever woken, and the others'
            # connections were never read again.
            if self._room.is_set():
                self._room = trio.Event()
            await self._room.wait()

    async def arrived(self, until: float) -> None:
        """Until something is here, or trio's clock says `until` or a moment asked for before."""
        if len(self):
            return
        # One scope for many waits: most moments asked for are the one asked for last, and a scope for each
        # wait costs as much as the turn it waits for.
        if until < self._wake.deadline:
            self._wake.deadline = until
        self._waits = trio.Event()
        await self._waits.wait()
        self._waits = None

    async def ring(self) -> None:
        """Runs beside the instance: ends its wait when the moment asked for has come."""
        while True:
            with self._wake:
                await trio.sleep_forever()
            self._wake = trio.CancelScope()
            if self._waits is not None:
                self._waits.set()


class Overfull(Exception):  # noqa: N818 - the field's word
    """More waits for a peer than it may: it reads too slowly, its connection is given up."""


@runtime_checkable
class TakesNow(Protocol):
    """A stream that can be asked to take what it has room for, without a wait."""

    def send_now(self, data: bytes) -> int:
        """How many bytes it took; 0 where it must be waited for, or has failed: `send_all` tells which."""


class Departures:
    """The outboxes that a turn of the instance put frames into; they leave at its end, in one write each.

    A writer woken for every frame costs a busy instance a fifth of its rate.
    """

    def __init__(self) -> None:
        self._in_turn = False
        self._outboxes: list[Outbox] = []

    def begin(self) -> None:
        self._in_turn = True

    def end(self) -> None:
        self._in_turn = False
        outboxes, self._outboxes = self._outboxes, []
        for outbox in outboxes:
            outbox.depart()

    def collects(self, outbox: Outbox) -> bool:
        if self._in_turn:
            self._outboxes.append(outbox)
        return self._in_turn


class Outbox:
    """Frames for one stream. One with a key may still be withdrawn until it is handed to the stream.

    What the stream has been handed and not yet taken is `in_hand`; only giving up the connection stops that.
    """

    def __init__(self, most_bytes: int, departures: Departures | None = None) -> None:
        self._most = most_bytes
        self._departures = departures
        self._collected = False
        self._stream: TakesNow | None = None
        self._rest = b""
        self._waiting: dict[Hashable, tuple[bytes, Left | None]] = {}
        self._bytes = 0
        self._serial = 0
        self._waits: trio.Event | None = None
        self.in_hand: Mapping[Hashable, tuple[bytes, Left | None]] = {}

    def put(self, frame: bytes, key: Hashable | None = None, left: Left | None = None) -> None:
        """`left` is called once the stream has taken the frame. Raises Overfull, then nothing is kept of
        it."""
        if self._bytes + len(frame) > self._most:
            raise Overfull(f"{self._bytes} bytes wait already")
        self._serial += 1
        self._waiting[key if key is not None else self._serial] = frame, left
        self._bytes += len(frame)
        if self._waits is None or self._collected:
            return  # its writer looks again before it waits
        if self._stream is not None and self._departures is not None:
            self._collected = self._departures.collects(self)
        if not self._collected:
            self._waits.set()

    def depart(self) -> None:
        """At a turn's end: what the stream takes at once leaves, the rest wakes the writer."""
        self._collected = False
        if self._waits is None or self._stream is None or not self._waiting:
            return
        data = b"".join([frame for frame, _ in self._waiting.values()])
        taken = self._stream.send_now(data)
        if taken < len(data):
            self._waits.set()
        if taken:  # of what it took nothing of, all may still be withdrawn
            batch, self._rest = self._hand_over(), data[taken:]
            if not self._rest:
                self._taken(batch)

    def _hand_over(self) -> dict[Hashable, tuple[bytes, Left | None]]:
        self.in_hand = batch = self._waiting
        self._waiting, self._bytes = {}, 0
        return batch

    def _taken(self, batch: Mapping[Hashable, tuple[bytes, Left | None]]) -> None:
        self.in_hand = {}
        for _, left in batch.values():
            if left is not None:
                left()

    def withdraw(self, key: Hashable) -> bool:
        """Whether the frame was still here; it will not leave any more."""
        found = self._waiting.pop(key, None)
        if found is not None:
            self._bytes -= len(found[0])
        return found is not None

    @property
    def is_empty(self) -> bool:
        """Whether the stream has taken all that was put here."""
        return not (self._waiting or self.in_hand or self._rest)

    def holds(self, key: Hashable) -> bool:
        return key in self._waiting

    async def run(self, stream: trio.abc.SendStream) -> None:
        """Writes what comes until cancelled; raises the stream's own errors."""
        self._stream = stream if isinstance(stream, TakesNow) else None
        while True:
            if self._rest:
                rest, self._rest = self._rest, b""
                await stream.send_all(rest)
                self._taken(self.in_hand)
            if not self._waiting:
                self._waits = trio.Event()
                await self._waits.wait()
                self._waits = None
                continue
            batch = self._hand_over()
            await stream.send_all(b"".join([frame for frame, _ in batch.values()]))
            self._taken(batch)
