"""Legs of a fake server that survive the loss of their connection, so that an edge proxy can resume them."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from functools import partial

from valverouter.fakes.connection import FakePeerConnection
from valverouter.fakes.environment import Scheduler
from valverouter.servermodel.events import LegKey, ServerEvent

# The time for which a leg without a connection, or the end of such a leg, is retained, ns.
RETENTION = 10_000_000_000


@dataclass(slots=True)
class _RetainedLeg:
    """`model_key`: the leg's key in the server model; `connection`: its current one, None if it was lost."""

    model_key: LegKey
    connection: FakePeerConnection | None


class RetainedLegs:
    """The retained legs by edge proxy, dialog and leg number, until each ends.

    `abandon` is called with the model's key of a leg that was not resumed in time.
    """

    def __init__(self, scheduler: Scheduler, abandon: Callable[[LegKey], None]) -> None:
        self._scheduler = scheduler
        self._abandon = abandon
        self._legs: dict[LegKey, _RetainedLeg] = {}
        # Ends of legs without a connection, until the edge proxy resumes the leg or RETENTION has elapsed.
        self._undelivered_ends: dict[LegKey, ServerEvent] = {}

    def model_keys(self) -> set[LegKey]:
        """Returns the model's keys of all retained legs."""
        return {leg.model_key for leg in self._legs.values()}

    def model_key(self, key: LegKey) -> LegKey | None:
        """Returns the model's key of a leg; None if it is not retained."""
        leg = self._legs.get(key)
        return None if leg is None else leg.model_key

    def retain(self, key: LegKey, model_key: LegKey, connection: FakePeerConnection) -> None:
        """Retains a leg beyond the end of its connection from now on."""
        self._legs[key] = _RetainedLeg(model_key, connection)

    def on_connection_lost(self, connection: FakePeerConnection) -> None:
        """Detaches the legs of a lost connection; they are abandoned if not resumed within RETENTION."""
        for key, leg in self._legs.items():
            if leg.connection is connection:
                self._legs[key] = detached = _RetainedLeg(leg.model_key, None)
                abandon_at = self._scheduler.now() + RETENTION
                self._scheduler.call_at(abandon_at, partial(self._abandon_detached, key, detached))

    def _abandon_detached(self, key: LegKey, detached: _RetainedLeg) -> None:
        if self._legs.get(key) == detached:
            del self._legs[key]
            self._abandon(detached.model_key)

    def end(self, key: LegKey, event: ServerEvent) -> FakePeerConnection | None:
        """Removes a leg that has ended; returns its connection.

        Without a connection returns None, and keeps the end until the leg is resumed.
        """
        connection = self._legs.pop(key).connection
        if connection is None:
            self._undelivered_ends[key] = event
            self._scheduler.call_at(self._scheduler.now() + RETENTION, partial(self._discard_end, key))
        return connection

    def _discard_end(self, key: LegKey) -> None:
        self._undelivered_ends.pop(key, None)

    def pop_undelivered_end(self, key: LegKey) -> ServerEvent | None:
        """Returns and removes the undelivered end of a leg; None if there is none."""
        return self._undelivered_ends.pop(key, None)

    def clear(self) -> None:
        """Discards all legs and ends, as the end of the process does."""
        self._legs.clear()
        self._undelivered_ends.clear()
