"""A simulated network that delays, loses and duplicates messages, and applies faults to its paths."""

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
    """Delays and duplicates of messages apart from faults.

    `mean_delay_s`: the mean of the exponentially distributed delay, s. `slow_fraction`: the fraction of
    messages that take one more second. `duplicated_fraction`: the fraction of messages that are sent twice.
    """

    mean_delay_s: float = 0.003
    slow_fraction: float = 0.02
    duplicated_fraction: float = 0.01


DEFAULT_PROFILE = NetworkProfile()


class LossyNetwork:
    """The network between all processes of a simulation, which are addressed by name."""

    def __init__(
        self, events: EventQueue, draws: random.Random, loss: float, profile: NetworkProfile = DEFAULT_PROFILE
    ) -> None:
        """`loss`: the fraction of messages that are lost apart from faults."""
        self._events = events
        self._draws = draws
        self._loss = loss
        self._profile = profile
        self._faults: list[PathFault] = []
        self._paths = NetworkPaths([], draws.random, self.draw_delay, loss)

    @property
    def has_faults(self) -> bool:
        """Whether a fault has been added since the network was last healed; it may have ended already."""
        return bool(self._faults)

    def send(self, sender: str, receiver: str, action: Callable[..., None], *arguments: Any) -> None:
        """Runs the action once for each copy of the message that arrives; lost copies run nothing."""
        copies = 2 if self._draws.random() < self._profile.duplicated_fraction else 1
        for _ in range(copies):
            for delay in self._paths.delivery_delays(sender, receiver, self._events.now):
                self._events.call_after(delay, action, *arguments)

    def add_fault(self, fault: PathFault) -> None:
        """Adds a fault and removes those that have ended."""
        now = self._events.now
        self._faults = [earlier for earlier in self._faults if earlier.until > now] + [fault]
        self._paths = NetworkPaths(self._faults, self._draws.random, self.draw_delay, self._loss)

    def heal(self) -> None:
        """Ends all faults and all message loss."""
        self._faults.clear()
        self._paths = NetworkPaths([], self._draws.random, self.draw_delay, 0.0)

    def draw_delay(self, sender: str = "", receiver: str = "") -> int:
        """Draws the delay of one message, ns; it is the same distribution on every path."""
        is_slow = self._draws.random() < self._profile.slow_fraction
        delay = int(self._draws.expovariate(1 / self._profile.mean_delay_s) * SECOND)
        return delay + (SECOND if is_slow else 0)
