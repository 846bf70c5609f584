"""Messages between simulated processes: delayed, lost, repeated, and cut off by faults of paths."""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from valverouter.emulator.event_queue import EventQueue
from valverouter.servermodel.paths import NetworkPaths, PathFault

SECOND = 10**9


@dataclass(frozen=True, slots=True)
class NetworkProfile:
    """How messages fare beside faults. `slow_fraction` of them take a second longer, some come twice."""

    mean_delay_s: float = 0.003
    slow_fraction: float = 0.02
    duplicated_fraction: float = 0.01


DEFAULT_PROFILE = NetworkProfile()


class LossyNetwork:
    """The network between all processes of a simulation, by their names."""

    def __init__(
        self, events: EventQueue, draws: random.Random, loss: float, profile: NetworkProfile = DEFAULT_PROFILE
    ) -> None:
        """`loss`: the fraction of messages that are lost beside faults."""
        self._events = events
        self._draws = draws
        self._loss = loss
        self._profile = profile
        self._faults: list[PathFault] = []
        self._paths = NetworkPaths([], draws.random, self.draw_delay, loss)

    @property
    def has_faults(self) -> bool:
        """Whether there was a fault since the network was healed."""
        return bool(self._faults)

    def send(self, sender: str, receiver: str, action: Callable[..., None], *arguments: Any) -> None:
        """Runs the action whenever a copy of the message arrives, if one does."""
        copies = 2 if self._draws.random() < self._profile.duplicated_fraction else 1
        for _ in range(copies):
            for delay in self._paths.delivery_delays(sender, receiver, self._events.now):
                self._events.call_after(delay, action, *arguments)

    def add_fault(self, fault: PathFault) -> None:
        """Adds a fault to those that are not over."""
        now = self._events.now
        self._faults = [earlier for earlier in self._faults if earlier.until > now] + [fault]
        self._paths = NetworkPaths(self._faults, self._draws.random, self.draw_delay, self._loss)

    def heal(self) -> None:
        """Ends all faults; nothing is lost from here on."""
        self._faults.clear()
        self._paths = NetworkPaths([], self._draws.random, self.draw_delay, 0.0)

    def draw_delay(self, sender: str = "", receiver: str = "") -> int:
        """How long one message takes, in ns, whoever sends it to whom."""
        is_slow = self._draws.random() < self._profile.slow_fraction
        delay = int(self._draws.expovariate(1 / self._profile.mean_delay_s) * SECOND)
        return delay + (SECOND if is_slow else 0)
