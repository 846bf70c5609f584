"""Callers' open connections: which to close for a new one, and which to send releases on."""

from __future__ import annotations

from collections.abc import Hashable, Iterator, Set
from enum import IntEnum
from itertools import chain
from typing import Generic, Protocol, TypeVar


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


class RankedCaller(Hashable, Protocol):
    """What the order of the connections depends on."""

    evidence: CallerEvidence

    @property
    def is_closed(self) -> bool:
        """Whether the connection has ended."""

    @property
    def is_reachable(self) -> bool:
        """Whether the connection is open and the peer has not closed it either."""

    @property
    def is_useful(self) -> bool:
        """Whether it has sent a valid request."""

    @property
    def is_identified(self) -> bool:
        """Whether it is known to be a caller's, so that releases may be sent on it."""

    @property
    def is_idle(self) -> bool:
        """Whether closing it loses nothing."""

    @property
    def is_quiet(self) -> bool:
        """Whether all its input is handled and all output to it is sent."""

    def close(self) -> None:
        """Closes the connection at once."""


Caller = TypeVar("Caller", bound=RankedCaller)


class ConnectedCallers(Generic[Caller]):
    """Callers' open connections, the least useful first.

    Connections without a valid request come first, then the others, both in the order of their last message.
    The order is maintained as messages arrive: sorting many connections for each new one cost more than the
    new connection itself.
    """

    def __init__(self) -> None:
        self._unproven: dict[Caller, None] = {}
        self._useful: dict[Caller, None] = {}

    def on_received(self, caller: Caller) -> None:
        """Adds a connection, or moves it to the end of its group after a message."""
        self.remove(caller)
        (self._useful if caller.is_useful else self._unproven)[caller] = None

    def remove(self, caller: Caller) -> None:
        """Removes a closed connection."""
        self._unproven.pop(caller, None)
        self._useful.pop(caller, None)

    @property
    def open_count(self) -> int:
        """The number of connections that are not closed."""
        return sum(not caller.is_closed for caller in self._in_order())

    def eviction_candidate(self) -> Caller | None:
        """The least useful connection that can be closed without loss; None if there is none."""
        return next((caller for caller in self._in_order() if caller.is_idle), None)

    def all_quiet(self) -> bool:
        """Whether on every connection all input is handled and all output is sent."""
        return all(caller.is_quiet for caller in self._in_order())

    def close_quiet(self, owed: Set[Hashable]) -> None:
        """Closes the connections with no unhandled input or unsent output, except those in `owed`."""
        for caller in list(self._in_order()):
            if caller not in owed and not caller.is_closed and caller.is_quiet:
                caller.close()

    def find_release_recipient(self) -> Caller | None:
        """The open connection with the most evidence of being a caller's; the most recent one of several.

        None if no open connection is known to be a caller's.
        """
        latest_first = chain(reversed(self._useful), reversed(self._unproven))
        candidates = (caller for caller in latest_first if caller.is_identified and caller.is_reachable)
        return max(candidates, key=lambda caller: caller.evidence, default=None)

    def _in_order(self) -> Iterator[Caller]:
        return chain(self._unproven, self._useful)
