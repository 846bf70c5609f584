"""State shared by all parts of the protocol: own record, view, clock, timers, outbox and events."""

from __future__ import annotations

from collections.abc import Callable

from valverouter.membership.config import MembershipConfig
from valverouter.membership.events import EventKind, MembershipEvent
from valverouter.membership.messages import Message
from valverouter.membership.records import MemberRecord
from valverouter.membership.timers import TimerQueue
from valverouter.membership.view import MembershipView


class LocalNode:
    """The shared state of one member.

    `now` is the time of the call being handled, ns. `draw` returns random numbers in [0, 1). The owner drains
    `outbox` (addresses with messages) and `events`; both are in order, oldest first.
    """

    def __init__(
        self, own_record: MemberRecord, config: MembershipConfig, draw: Callable[[], float], now: int
    ) -> None:
        self.own_record = own_record
        self.config = config
        self.draw = draw
        self.now = now
        self.timers = TimerQueue()
        self.view = MembershipView(config.forgotten_address_limit)
        self.view.set_record(own_record, now)
        self.outbox: list[tuple[str, Message]] = []
        self.events: list[MembershipEvent] = []

    def header(self) -> tuple[str, int, int]:
        """Returns the first three fields of every message: own name, own incarnation, digest of the view."""
        return self.own_record.name, self.own_record.incarnation, self.view.digest

    def send(self, address: str, message: Message) -> None:
        """Adds a message to the outbox."""
        self.outbox.append((address, message))

    def emit(self, kind: EventKind, record: MemberRecord, source: str = "") -> None:
        """Adds an event with the current time."""
        self.events.append(MembershipEvent(self.now, kind, record, source))

    def live_peers(self) -> list[str]:
        """Returns the names of all live members except this one, as a new list."""
        return self.view.live_names(self.own_record.name)

    def random_peers(self, count: int, excluding: str = "") -> list[str]:
        """Returns up to `count` distinct live members at random, except this one and `excluding`."""
        names = self.live_peers()
        if excluding in names:
            names.remove(excluding)
        for index in range(min(count, len(names))):
            other = index + int(self.draw() * (len(names) - index))
            names[index], names[other] = names[other], names[index]
        return names[:count]
