"""The event queue of an edge proxy: what its event loop handles next, and who may add to it."""

from __future__ import annotations

from collections import deque
from collections.abc import Hashable
from typing import Any

import trio

from valverouter.edge.fair_queue import FairQueue

# A source of requests may always have this many queued, so that other sources can't shut it out.
GUARANTEED_REQUESTS = 8
# The number of queued requests above which a source waits, even if the queue has space.
MAX_REQUESTS_PER_SOURCE = 256


class EventQueue:
    """The events of an edge proxy: endpoint list updates, callers' cancellations, requests, all others.

    Updates overtake other events because a draining server must not be sent new attempts from the update on.
    Cancels and lost callers' connections overtake set-ups and answers, so that no attempt is started for a
    caller that is gone, however full the queue is. Of the others, requests of callers and events of servers
    and of this proxy are taken alternately: neither side can shut out the other.

    Events of servers and of this proxy are in order of arrival; their readers wait while `capacity` of them
    are queued. Requests are taken from their sources, the callers' connections, in turn. A reader waits
    before it queues a request that exceeds the limits of `may_request`, so that one peer can grow neither
    this process's memory nor the others' delay.
    """

    def __init__(self, capacity: int = 4_096) -> None:
        self._endpoint_updates: deque[Any] = deque()
        self._cancellations: deque[Any] = deque()
        self._regular: deque[Any] = deque()
        self._requests: FairQueue[Hashable, Any] = FairQueue()
        self._is_request_next = False
        # The sources whose readers wait, each woken when its own requests were handled.
        self._waiting_sources: dict[Hashable, trio.Event] = {}
        self._capacity = capacity
        self._waiter: trio.Event | None = None
        self._has_space = trio.Event()
        self._wakeup_scope = trio.CancelScope()

    def __len__(self) -> int:
        """The number of queued events of all kinds."""
        return (
            len(self._endpoint_updates) + len(self._cancellations) + len(self._regular) + len(self._requests)
        )

    def put(self, event: Any) -> None:
        """Adds an event of a server or of this proxy."""
        self._append(self._regular, event)

    def put_request(self, source: Hashable, event: Any) -> None:
        """Adds a request of a caller's connection; its reader awaits `wait_for_request_space` before."""
        self._requests.put(source, event)
        self._wake_event_loop()

    def put_endpoint_update(self, event: Any) -> None:
        """Adds an endpoint list update, ahead of all events but earlier updates."""
        self._append(self._endpoint_updates, event)

    def put_cancellation(self, event: Any) -> None:
        """Adds a caller's cancel or the loss of its connection, ahead of requests and regular events."""
        self._append(self._cancellations, event)

    def _append(self, queue: deque[Any], event: Any) -> None:
        queue.append(event)
        self._wake_event_loop()

    def _wake_event_loop(self) -> None:
        if self._waiter is not None:
            self._waiter.set()

    def pop_next(self) -> Any | None:
        """Removes and returns the next event; None if the queue is empty."""
        if self._endpoint_updates:
            return self._endpoint_updates.popleft()
        if self._cancellations:
            return self._cancellations.popleft()
        if self._requests and (self._is_request_next or not self._regular):
            self._is_request_next = False
            return self._pop_request()
        if not self._regular:
            return None
        self._is_request_next = True
        event = self._regular.popleft()
        if len(self._regular) < self._capacity:
            self._has_space.set()
        return event

    def _pop_request(self) -> Any:
        source, event = self._requests.pop()
        if self._waiting_sources and self._requests.count(source) < GUARANTEED_REQUESTS:
            waiting = self._waiting_sources.get(source)
            if waiting is not None:
                waiting.set()
        return event

    @property
    def has_waiting_readers(self) -> bool:
        """Whether a reader has input that it has not queued for want of space, or has not gone on since."""
        return bool(self._waiting_sources)

    def may_request(self, source: Hashable) -> bool:
        """Whether a source may queue another request: few of its own are queued, or there is space."""
        queued = self._requests.count(source)
        return queued < GUARANTEED_REQUESTS or (
            queued < MAX_REQUESTS_PER_SOURCE and len(self._requests) < self._capacity
        )

    async def wait_for_request_space(self, source: Hashable) -> None:
        """Returns once a source may queue another request; one task per source may wait.

        A source that has to wait is woken only when most of its requests were handled: woken for each, many
        waiting readers would take more time than the requests.
        """
        while not self.may_request(source):
            self._waiting_sources[source] = woken = trio.Event()
            try:
                await woken.wait()
            finally:
                self._waiting_sources.pop(source, None)

    async def wait_for_space(self) -> None:
        """Returns once fewer than `capacity` events of servers and of this proxy are queued."""
        while len(self._regular) >= self._capacity:
            # All waiting readers share one trio.Event. When each created its own, only the last one was
            # woken, and the other readers' connections were never read again.
            if self._has_space.is_set():
                self._has_space = trio.Event()
            await self._has_space.wait()

    async def wait_for_event(self, deadline: float) -> None:
        """Returns once an event is queued or `deadline`, in seconds of trio's clock, has passed.

        It may also return at the earlier deadline of a previous call.
        """
        if len(self):
            return
        # One cancel scope serves many waits: most deadlines equal the previous one, and creating a scope for
        # each wait costs as much as a turn of the event loop.
        if deadline < self._wakeup_scope.deadline:
            self._wakeup_scope.deadline = deadline
        self._waiter = trio.Event()
        await self._waiter.wait()
        self._waiter = None

    async def run_wakeup_timer(self) -> None:
        """Wakes `wait_for_event` at its deadline; runs as a task beside the event loop."""
        while True:
            with self._wakeup_scope:
                await trio.sleep_forever()
            self._wakeup_scope = trio.CancelScope()
            if self._waiter is not None:
                self._waiter.set()
