"""Messages between simulated processes: delayed, lost, repeated, and cut off by faults of paths."""

from __future__ import annotations

import random
from collections.abc import Callable
from typing import Any

from valverouter.emulator.event_queue import EventQueue
from valverouter.servermodel.paths import NetworkPaths, PathFault

SECOND = 10**9
MEAN_DELAY_S = 0.003
# This part of the messages takes a second longer.
SLOW_FRACTION = 0.02
DUPLICATED_FRACTION = 0.01


class LossyNetwork:
    """The network between all processes of a simulation, by their names."""

    def __init__(self, events: EventQueue, draws: random.Random, loss: float) -> None:
        """`loss`: the fraction of messages that are lost beside faults."""
        self._events = events
        self._draws = draws
        self._loss = loss
        self._faults: list[PathFault] = []
        self._paths = NetworkPaths([], draws.random, self._delay, loss)

    @property
    def has_faults(self) -> bool:
        """Whether there was a fault since the network was healed."""
        return bool(self._faults)

    def send(self, sender: str, receiver: str, action: Callable[..., None], *arguments: Any) -> None:
        """Runs the action whenever a copy of the message arrives, if one does."""
        copies = 2 if self._draws.random() < DUPLICATED_FRACTION else 1
        for _ in range(copies):
            for delay in self._paths.delivery_delays(sender, receiver, self._events.now):
                self._events.after(delay, action, *arguments)

    def add_fault(self, fault: PathFault) -> None:
        """Adds a fault to those that are not over."""
        now = self._events.now
        self._faults = [earlier for earlier in self._faults if earlier.until > now] + [fault]
        self._paths = NetworkPaths(self._faults, self._draws.random, self._delay, self._loss)

    def heal(self) -> None:
        """Ends all faults; nothing is lost from here on."""
        self._faults.clear()
        self._paths = NetworkPaths([], self._draws.random, self._delay, 0.0)

    def _delay(self, sender: str, receiver: str) -> int:
        is_slow = self._draws.random() < SLOW_FRACTION
        return int(self._draws.expovariate(1 / MEAN_DELAY_S) * SECOND) + (SECOND if is_slow else 0)
