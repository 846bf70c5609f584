"""Legs of a fake server that outlive their connection, for an edge proxy to resume on another one."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from functools import partial

from valverouter.fakes.connection import FakePeerConnection
from valverouter.fakes.environment import Scheduler
from valverouter.servermodel.events import LegKey, ServerEvent

# How long a leg without a connection, and the end of such a leg, is retained, ns.
RETENTION = 10_000_000_000


@dataclass(slots=True)
class _RetainedLeg:
    """`model_key`: the leg's key in the server model; `connection`: the one that it is on now."""

    model_key: LegKey
    connection: FakePeerConnection | None


class RetainedLegs:
    """By edge proxy, dialog and leg number. An entry is removed with the leg's end.

    `abandon` is called with the model's key of a leg that nobody resumed in time.
    """

    def __init__(self, scheduler: Scheduler, abandon: Callable[[LegKey], None]) -> None:
        self._scheduler = scheduler
        self._abandon = abandon
        self._legs: dict[LegKey, _RetainedLeg] = {}
        # Ends that found no connection, until somebody asks for them or RETENTION is over.
        self._undelivered_ends: dict[LegKey, ServerEvent] = {}

    def model_keys(self) -> set[LegKey]:
        """The model's keys of all retained legs."""
        return {leg.model_key for leg in self._legs.values()}

    def model_key(self, key: LegKey) -> LegKey | None:
        """The model's key of a leg; None if it isn't retained."""
        leg = self._legs.get(key)
        return None if leg is None else leg.model_key

    def retain(self, key: LegKey, model_key: LegKey, connection: FakePeerConnection) -> None:
        """The leg outlives its connection from now on."""
        self._legs[key] = _RetainedLeg(model_key, connection)

    def on_connection_lost(self, connection: FakePeerConnection) -> None:
        """Legs of that connection have none until they are resumed; in the end they are abandoned."""
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
        """A retained leg has ended; returns its connection, None: the end waits to be asked for."""
        connection = self._legs.pop(key).connection
        if connection is None:
            self._undelivered_ends[key] = event
            self._scheduler.call_at(self._scheduler.now() + RETENTION, partial(self._discard_end, key))
        return connection

    def _discard_end(self, key: LegKey) -> None:
        self._undelivered_ends.pop(key, None)

    def pop_undelivered_end(self, key: LegKey) -> ServerEvent | None:
        """The end of a leg that waits to be asked for, which is then forgotten."""
        return self._undelivered_ends.pop(key, None)

    def clear(self) -> None:
        """The process is gone with all legs."""
        self._legs.clear()
        self._undelivered_ends.clear()
