"""The releases that callers may not have received yet, and which of them must be sent again; without I/O.

A release that was sent is not received if its connection closes at the same time. Callers may acknowledge a
release, but need not. Until the first acknowledgement, a release counts as received unless its connection
closes so shortly after it that the two may have crossed. Once callers are known to acknowledge releases, one
that is not acknowledged counts as not received. All times are in nanoseconds.
"""

from __future__ import annotations

from collections.abc import Hashable, Iterator
from dataclasses import dataclass, field
from itertools import chain, islice
from typing import Generic, TypeVar

from valverouter.signalling import setup

# How long after the end of a dialog its release is still sent: the platform's limit.
RELEASE_LIFETIME = 8_000_000_000
# A release and the close of its connection may cross within this time: the platform's limit for messages that
# cross a close, 50 ms, and its general allowance of 50 ms.
CROSSING_PERIOD = 100_000_000
# How long an acknowledgement may take while the connection stays open.
ACKNOWLEDGEMENT_TIMEOUT = 500_000_000

Connection = TypeVar("Connection", bound=Hashable)


@dataclass(slots=True)
class UnheardRelease(Generic[Connection]):
    """A release that its caller may not have received.

    `own_connection`: where the dialog was set up or reported. `is_confirmed`: whether the dialog is known to
    have been established; a faulty client can report any number of others. `sent_at`: when the release was
    last sent on each connection that is still open.
    """

    message: setup.Ended
    own_connection: Connection
    ended_at: int
    is_confirmed: bool = True
    sent_at: dict[Connection, int] = field(default_factory=dict)


class UnheardReleases(Generic[Connection]):
    """The releases of recently ended dialogs by id, in the order of their ends; limited in age and number."""

    def __init__(self, capacity: int) -> None:
        """`capacity`: how many are held at most, at least 1."""
        self._capacity = capacity
        self._callers_acknowledge = False
        self._releases: dict[str, UnheardRelease[Connection]] = {}
        # The ids of those that are on no open connection, and of the confirmed ones that are on one.
        self._unsent: dict[str, None] = {}
        self._repeatable: dict[str, None] = {}
        # The ids of those sent on each open connection.
        self._sent_on: dict[Connection, dict[str, None]] = {}

    def __len__(self) -> int:
        """The number of releases held."""
        return len(self._releases)

    def add(self, release: UnheardRelease[Connection]) -> int:
        """Adds the release of a dialog that has ended; returns how many unsent ones were dropped for it."""
        dialog_id = release.message.dialog
        if dialog_id in self._releases:
            self._discard(dialog_id)
        dropped = self.expire(release.ended_at)
        while len(self._releases) >= self._capacity:
            dropped += self._discard(next(iter(self._releases)))
        self._releases[dialog_id] = release
        self._unsent[dialog_id] = None
        return dropped

    def message_of(self, dialog_id: str) -> setup.Ended:
        """The release of a dialog; raises KeyError if it is not held."""
        return self._releases[dialog_id].message

    def expire(self, now: int) -> int:
        """Removes the releases whose time has passed; returns how many of them were on no connection."""
        dropped = 0
        while self._releases:
            oldest = next(iter(self._releases))
            if self._releases[oldest].ended_at + RELEASE_LIFETIME >= now:
                break
            dropped += self._discard(oldest)
        return dropped

    def on_sent(self, dialog_id: str, connection: Connection, now: int) -> None:
        """Records that a release was sent on an open connection."""
        release = self._releases[dialog_id]
        release.sent_at[connection] = now
        self._sent_on.setdefault(connection, {})[dialog_id] = None
        self._unsent.pop(dialog_id, None)
        if release.is_confirmed:
            self._repeatable[dialog_id] = None

    def on_acknowledged(self, dialog_id: str, connection: Connection) -> bool:
        """Removes a release that was acknowledged; returns False if it was not sent on this connection."""
        if dialog_id not in self._sent_on.get(connection, ()):
            return False
        self._callers_acknowledge = True
        self._discard(dialog_id)
        return True

    def on_released_by_caller(self, dialog_id: str) -> None:
        """Removes the release of a dialog that a caller has released too, so that it knows of the end."""
        if dialog_id in self._releases:
            self._discard(dialog_id)

    def on_closed(self, connection: Connection, now: int, has_lost_output: bool) -> list[str]:
        """Removes a closed connection; returns the ids of the releases that are to be sent again.

        `has_lost_output`: whether not all that was queued on it was sent, or it was reset.
        """
        unsent = []
        for dialog_id in self._sent_on.pop(connection, ()):
            release = self._releases[dialog_id]
            sent_at = release.sent_at.pop(connection)
            if release.sent_at:
                continue
            if self._callers_acknowledge or has_lost_output or now <= sent_at + CROSSING_PERIOD:
                self._repeatable.pop(dialog_id, None)
                self._unsent[dialog_id] = None
                unsent.append(dialog_id)
            else:
                self._discard(dialog_id)
        return unsent

    def due_on(self, connection: Connection, now: int, limit: int) -> list[setup.Ended]:
        """Returns at most `limit` releases to send on a connection that is newly known as a caller's.

        `connection` has not been sent any of them.
        """
        return list(islice(self._iterate_due(connection, now), limit))

    def _iterate_due(self, connection: Connection, now: int) -> Iterator[setup.Ended]:
        repeated = self._repeatable if self._callers_acknowledge else ()
        for dialog_id in chain(self._unsent, repeated):
            release = self._releases[dialog_id]
            own_sent_at = release.sent_at.get(release.own_connection)
            is_awaited = own_sent_at is not None and now < own_sent_at + ACKNOWLEDGEMENT_TIMEOUT
            if not is_awaited and connection not in release.sent_at:
                yield release.message

    def _discard(self, dialog_id: str) -> bool:
        """Removes a release; returns whether it was on no connection."""
        release = self._releases.pop(dialog_id)
        self._repeatable.pop(dialog_id, None)
        for connection in release.sent_at:
            sent = self._sent_on[connection]
            del sent[dialog_id]
            if not sent:
                del self._sent_on[connection]
        was_unsent = dialog_id in self._unsent
        self._unsent.pop(dialog_id, None)
        return was_unsent
