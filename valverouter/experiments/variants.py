"""Baselines and ablations of the routing policy, for experiments only: the program never imports this module.

A baseline replaces the server selection or the retries; an ablation removes one mechanism of the policy. Both
change the policy from outside for the duration of a run; the policy itself contains no switches for them.
"""

from __future__ import annotations

from collections.abc import Callable, Iterator, Mapping, Sequence
from contextlib import ExitStack, contextmanager
from dataclasses import dataclass, field, replace
from typing import Any
from unittest.mock import patch

from valverouter.driver import Driver
from valverouter.interface import (
    CrossRegionRule,
    Deployment,
    Dialog,
    Endpoint,
    EndpointUpdateKind,
    TrafficType,
)
from valverouter.policy import routing, tuning
from valverouter.policy.capacity import CapacityTracker, SlowStart
from valverouter.policy.retry import RetryBudget, retry_delay
from valverouter.policy.routing import RoutingPolicy
from valverouter.policy.selection import ServerSelector
from valverouter.policy.server_state import ServerState
from valverouter.policy.server_table import ServerTable


class _Baseline(ServerSelector):
    """Base class of selectors by one criterion, among all servers in service for the traffic type."""

    def _open_servers(self, traffic_type: TrafficType) -> list[ServerState]:
        return [
            server
            for server in self.table.servers.values()
            if server.endpoint.in_service
            and (traffic_type.server_numbers is None or server.endpoint.number in traffic_type.server_numbers)
        ]


class AnyServer(_Baseline):
    """Selects a server at random, regardless of its state."""

    def select(
        self, now: int, dialog: Dialog, traffic_type: TrafficType, tried: set[str]
    ) -> ServerState | None:
        """Returns a random open server."""
        servers = self._open_servers(traffic_type)
        return servers[int(self._random.draw() * len(servers))] if servers else None


class PreferredOnly(_Baseline):
    """Selects the preferred server at every attempt."""

    def select(
        self, now: int, dialog: Dialog, traffic_type: TrafficType, tried: set[str]
    ) -> ServerState | None:
        """Returns the preferred server if it is open."""
        number = dialog.preferred_server_number
        return next(
            (server for server in self._open_servers(traffic_type) if server.endpoint.number == number), None
        )


class ShortestQueue(_Baseline):
    """Selects the shortest known queue delay; ties go to the preferred server, otherwise at random."""

    def select(
        self, now: int, dialog: Dialog, traffic_type: TrafficType, tried: set[str]
    ) -> ServerState | None:
        """Returns the open server with the shortest queue delay."""

        def order(server: ServerState) -> tuple[int, bool, float]:
            is_other = server.endpoint.number != dialog.preferred_server_number
            return server.queue_delay(now), is_other, self._random.draw()

        return min(self._open_servers(traffic_type), key=order, default=None)


class TwoChoices(_Baseline):
    """Selects the preferred server first, then the one with the shorter queue delay of two random servers."""

    def select(
        self, now: int, dialog: Dialog, traffic_type: TrafficType, tried: set[str]
    ) -> ServerState | None:
        """Returns the preferred server if untried, else the better of two drawn at random."""
        servers, number = self._open_servers(traffic_type), dialog.preferred_server_number
        preferred = next((server for server in servers if server.endpoint.number == number), None)
        if preferred is not None and preferred.endpoint.id not in tried:
            return preferred
        if not servers:
            return None
        drawn = [servers[int(self._random.draw() * len(servers))] for _ in range(2)]
        return min(drawn, key=lambda server: server.queue_delay(now))


class _WithoutSpillover(ServerSelector):
    def _admits_spillover(self, *args: Any) -> bool:
        return True


class _UnlimitedBudget(RetryBudget):
    @property
    def allows_retry(self) -> bool:
        return True


class _AlwaysSpare(CapacityTracker):
    def spare(self, server: ServerState) -> float:
        return 1.0


class _AlwaysOpen(SlowStart):
    def has_slot(self, server: ServerState, now: int) -> bool:
        return True


class _TableWithoutBudget(ServerTable):
    """A server table whose servers have unlimited retry budgets."""

    def update_endpoints(self, now: int, kind: EndpointUpdateKind, endpoints: Sequence[Endpoint]) -> None:
        super().update_endpoints(now, kind, endpoints)
        for server in self.servers.values():
            if not isinstance(server.budget, _UnlimitedBudget):
                server.budget = _UnlimitedBudget()


class _TableWithoutSlowStart(ServerTable):
    """A server table without slow start; rule 4 may be violated."""

    def __init__(self, deployment: Deployment) -> None:
        super().__init__(deployment)
        self.slow_start = _AlwaysOpen(deployment, self.capacity)


class _TableWithoutCapacity(ServerTable):
    """A server table whose servers always have spare capacity."""

    def __init__(self, deployment: Deployment) -> None:
        super().__init__(deployment)
        self.capacity = _AlwaysSpare(deployment, self.servers)
        self.slow_start = SlowStart(deployment, self.capacity)


@dataclass(frozen=True, slots=True)
class Variant:
    """A variant of the routing policy: the parts that replace its own, and the tuned values that differ."""

    name: str
    selector: type[ServerSelector] = ServerSelector
    table: type[ServerTable] = ServerTable
    values: Mapping[str, int | float] = field(default_factory=dict)
    retry_delay: Callable[..., int] = retry_delay

    @contextmanager
    def applied(self) -> Iterator[None]:
        """Applies the tuned values and the retry delay; restores the policy's own on exit."""
        with ExitStack() as stack:
            stack.enter_context(patch.object(routing, "retry_delay", self.retry_delay))
            for name, value in self.values.items():
                stack.enter_context(patch.object(tuning, name, value))
            yield

    def build(
        self, deployment: Deployment, seed: int, now: int, cross_region: CrossRegionRule | None = None
    ) -> Driver:
        """Returns a driver whose policy has this variant's parts."""
        driver = Driver(deployment, seed, now, cross_region)
        policy = RoutingPolicy(deployment, seed, now, cross_region)
        policy.table = self.table(deployment)
        policy.selector = self.selector(deployment, policy.table, policy.random, cross_region)
        driver.policy = policy
        return driver


def _fixed_delay(retry: int, draw: float, minimum: int, base: int = 0, cap: int = 0) -> int:
    return max(minimum, tuning.BACKOFF_BASE)


UNLIMITED = 1e9
VARIANTS = {
    variant.name: variant
    for variant in (
        Variant("module"),
        Variant("any-server", AnyServer),
        Variant("first-only", PreferredOnly),
        Variant("least-wait", ShortestQueue),
        Variant("two-drawn", TwoChoices),
        Variant("without-budget", table=_TableWithoutBudget),
        Variant("fixed-waits", retry_delay=_fixed_delay),
        Variant("without-cold-turns", table=_TableWithoutSlowStart),
        Variant("without-room", _WithoutSpillover, _TableWithoutCapacity),
        Variant(
            "without-window",
            values={"WINDOW_INITIAL": UNLIMITED, "WINDOW_MIN": UNLIMITED, "WINDOW_MAX": UNLIMITED},
        ),
        Variant("without-turns-in-news", values={"LATENCY_SAMPLE_INTERVALS": 0, "NO_AGENT_INTERVALS": 0}),
        Variant("without-shunning", values={"EJECTION_BASE": 0, "EJECTION_BASE_INTERVALS": 0}),
        Variant("without-overtaken", values={"OVERTAKEN_MARGIN": 1 << 62}),
        Variant("late-come-back", values={"RETRY_AFTER": tuning.SECOND}),
        Variant("never-told-back", values={"RETRY_AFTER": 0}),
    )
}
BASELINES = ("any-server", "first-only", "least-wait", "two-drawn")

# Former names of tuned values. Experiment files may still use them.
FORMER_NAMES = {
    "FULL_COUNT": "MAX_TOKENS",
    "STAND_ADDS": "TOKEN_RATIO",
    "RETRY_BASE": "BACKOFF_BASE",
    "RETRY_CAP": "BACKOFF_CAP",
    "LEGS": "MAX_ATTEMPTS",
    "NEW_DELAY_WEIGHT": "LATENCY_SAMPLE_WEIGHT",
    "NEWS_FADES": "LATENCY_SAMPLE_LIFETIME",
    "NEWS_FADES_TURNS": "LATENCY_SAMPLE_INTERVALS",
    "SHUN_BASE": "EJECTION_BASE",
    "SHUN_BASE_TURNS": "EJECTION_BASE_INTERVALS",
    "SHUN_CAP": "EJECTION_CAP",
    "SHUN_CAP_TURNS": "EJECTION_CAP_INTERVALS",
    "LEAST_WAIT_SHARE": "MIN_DELAY_FRACTION",
    "WAIT_SHARE_SPAN": "DELAY_FRACTION_RANGE",
    "IMPORTANT_WAIT_SHARE": "PRIORITY_DELAY_FRACTION",
    "WINDOW_FIRST": "WINDOW_INITIAL",
    "WINDOW_MOST": "WINDOW_MAX",
    "WINDOW_LEAST": "WINDOW_MIN",
    "WINDOW_GROWS": "WINDOW_INCREASE",
    "WINDOW_KEEPS": "WINDOW_DECREASE_FACTOR",
    "PROMPT_SHARE": "PROMPT_FRACTION",
    "PROMPT_MOST_SHARE": "PROMPT_MAX_FRACTION",
    "PROMPT_LEASTS": "PROMPT_MIN_LATENCY_MULTIPLE",
    "NO_AGENT_HOLDS": "NO_AGENT_DURATION",
    "NO_AGENT_HOLDS_TURNS": "NO_AGENT_INTERVALS",
    "AGENTS_LAST": "NO_AGENT_RECOVERY_FRACTION",
    "BUSY_NUMBER": "BUSY_NUMBER_DURATION",
    "COLD_MARGIN": "SLOW_START_MARGIN",
    "CARRIED_KEEPS": "CAPACITY_DECAY_PER_SECOND",
    "COLD_TRICKLE": "MIN_PROBE_INTERVAL",
    "ROOM_SIGMAS": "SPARE_CAPACITY_SIGMAS",
    "ROOM_SHARE": "SPILLOVER_FRACTION",
    "OVERTAKEN_BY": "OVERTAKEN_MARGIN",
    "HEARTBEAT": "HEARTBEAT_INTERVAL",
    "COME_BACK": "RETRY_AFTER",
}


def parse_variant(level: str) -> Variant:
    """Parses a variant's name and tuned values that follow it, as in `module LATENCY_SAMPLE_INTERVALS=2`.

    Raises ValueError for an unknown variant or constant, and for a value not of the constant's type.
    """
    name, *changes = level.split()
    if name not in VARIANTS:
        raise ValueError(f"unknown variant {name!r}; known variants: {', '.join(VARIANTS)}")
    values = dict(VARIANTS[name].values)
    for change in changes:
        key, _, text = change.partition("=")
        constant = FORMER_NAMES.get(key, key)
        default = getattr(tuning, constant, None)
        if not key.isupper() or not isinstance(default, int | float):
            raise ValueError(f"{key!r} is not a numeric constant of the policy")
        try:
            values[constant] = type(default)(text)
        except ValueError:
            kind = type(default).__name__
            raise ValueError(f"{change!r}: {key} must be of type {kind}; its default is {default}") from None
    return replace(VARIANTS[name], name=level, values=values)
