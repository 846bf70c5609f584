"""The types between the routing policy and whoever runs it: events in, actions out.

Times are whole nanoseconds of the caller's clock. Ids are opaque and handed back as they came.
"""

from __future__ import annotations

from collections.abc import Generator
from dataclasses import dataclass
from enum import Enum, auto
from typing import Protocol


class Outcome(Enum):
    """How an attempt went, as answered by its server or as the signalling stack found."""

    ESTABLISHED = auto()
    ENDED = auto()
    LINE_BUSY = auto()
    FAULT = auto()
    FULL = auto()
    NO_AGENT = auto()
    TIMED_OUT = auto()
    UNREACHABLE = auto()
    RESET = auto()
    CANCELLED = auto()
    NOT_SENT = auto()


class EndpointUpdateKind(Enum):
    """What an update of the endpoint list covers.

    Some entries, all, all from a cache, or that it could not be had.
    """

    INCREMENTAL = auto()
    COMPLETE = auto()
    CACHED = auto()
    FAILED = auto()


@dataclass(frozen=True, slots=True)
class TrafficType:
    """One traffic type.

    Its latency objective, its priority, and the numbers of servers that may take it (None: all).
    """

    latency_objective: int
    priority_weight: float
    mean_duration: int
    idempotent: bool
    server_numbers: frozenset[int] | None


@dataclass(frozen=True, slots=True)
class Deployment:
    """The configuration of one edge proxy, as handed over at its start.

    `fleet_index` is this one's place among `edge_proxies`. `own_server_number`: the server that is itself
    (-1: none). `slow_start_fraction` of its warm capacity is what a server bears at its start, growing evenly
    over `slow_start_duration`; it is overloaded by `overload_multiple` of that within `overload_window`.
    """

    traffic_types: dict[str, TrafficType]
    edge_proxies: int
    fleet_index: int
    own_server_number: int
    endpoint_list_is_pushed: bool
    max_attempts: int
    can_cancel: bool
    max_retry_after: int
    release_delay: int
    slow_start_fraction: float
    overload_multiple: float
    overload_window: int
    slow_start_duration: int


@dataclass(frozen=True, slots=True)
class AttemptPolicy:
    """How the attempts of one dialog are made; spans in whole nanoseconds.

    0 stands for: the caller's own `no_answer_timeout`; no `attempt_timeout` but the deadline; the policy's
    own `retry_after`; the fleet's `max_total_attempts`. `max_attempts` counts the first one too;
    `max_total_attempts` also those that went on at once from a server without a free agent.
    `max_server_retry_after` only bounds what is computed of the longest course.
    """

    max_attempts: int
    latency_objective: int
    no_answer_timeout: int
    release_delay: int
    backoff_base: int
    backoff_cap: int
    attempt_timeout: int = 0
    max_server_retry_after: int = 0
    retry_after: int = 0
    max_total_attempts: int = 0


@dataclass(frozen=True, slots=True)
class RetryBudgetConfig:
    """A server's retry budget in thousandths of a token: its full count, and what an established dialog adds.

    The source (gRFC A6) bounds both: 10 tokens or fewer, a ratio under a half. The threshold is not
    configurable.
    """

    max_tokens: int
    token_ratio: int


@dataclass(frozen=True, slots=True)
class Dialog:
    """A dialog handed to this edge proxy, which must give it exactly one final answer by its deadline.

    `was_interrupted`: it was established before and lost its server. `in_transit`: only the preferred server
    will do.
    """

    id: str
    traffic_type: str
    deadline: int
    preferred_server_number: int
    called_number: int = 0
    was_interrupted: bool = False
    in_transit: bool = False
    attempt_policy: AttemptPolicy | None = None


@dataclass(frozen=True, slots=True)
class LoadReport:
    """The load that a server reported; None where it gives no figure. `queue_delay` in nanoseconds."""

    free_lines: float | None = None
    lines: float | None = None
    queue_delay: int | None = None


@dataclass(frozen=True, slots=True)
class AttemptResult:
    """The result of an attempt; an established one brings a second result when the dialog ends."""

    dialog_id: str
    attempt: int
    server: str
    outcome: Outcome
    delay: int = 0
    retry_after: int = 0
    dialog_closed: bool = False
    load_report: LoadReport | None = None


# An attempt as (dialog id, number of the attempt from 0).
AttemptKey = tuple[str, int]


@dataclass(frozen=True, slots=True)
class Endpoint:
    """One entry of the endpoint list; `started_at` 0 stands for long ago."""

    id: str
    number: int
    in_service: bool
    started_at: int = 0
    region: str = ""


@dataclass(frozen=True, slots=True)
class StartAttempt:
    """Forward the dialog to a server; resumed with the AttemptResult, by the deadline at the latest."""

    server: str
    deadline: int


@dataclass(frozen=True, slots=True)
class Delay:
    """Wait; resumed with None once the duration has passed."""

    duration: int


@dataclass(frozen=True, slots=True)
class Reject:
    """Final answer: rejected, with the duration after which to retry (0: no advice)."""

    retry_after: int = 0


@dataclass(frozen=True, slots=True)
class Fail:
    """Final answer: failed."""


@dataclass(frozen=True, slots=True)
class CancelAttempt:
    """Cancel an attempt of the dialog; its result still comes."""

    attempt: int


@dataclass(frozen=True, slots=True)
class Subscribe:
    """Ask for the endpoint list and its watch events; resumed with the EndpointUpdateKind of the answer."""


Action = StartAttempt | Delay | Reject | Fail | Subscribe
ActionResult = AttemptResult | EndpointUpdateKind | None
DialogFlow = Generator[Action, ActionResult, None]


@dataclass(frozen=True, slots=True)
class Timer:
    """Call the driver's `on_timer` with the id after the duration."""

    duration: int
    timer_id: int


@dataclass(frozen=True, slots=True)
class DialogAction:
    """An action with the dialog that it is for, ready for the signalling stack."""

    dialog_id: str
    action: StartAttempt | CancelAttempt | Reject | Fail


Command = DialogAction | Timer | Subscribe


# Traffic across regions


@dataclass(frozen=True, slots=True)
class CrossRegionBudget:
    """At most `attempts` cross-region attempts of the whole fleet in any `window`, and `burst` at one moment.

    `edge_proxies` share it, this one with `fleet_index`; they exchange nothing.
    """

    attempts: int
    window: int
    burst: int
    edge_proxies: int
    fleet_index: int


@dataclass(frozen=True, slots=True)
class CrossRegionPolicy:
    """How one traffic type may cross regions.

    `budget` None: no limit; `pairs` of regions have budgets of their own.
    `urgent`: crosses as soon as the home region lacks capacity, may use the reserve, and beyond it overdraws.
    """

    budget: CrossRegionBudget | None = None
    pairs: dict[tuple[str, str], CrossRegionBudget] | None = None
    urgent: bool = False


@dataclass(frozen=True, slots=True)
class CrossRegionConfig:
    """What may cross from this edge proxy's `home_region`, and how far the fleet's clocks may differ.

    A type that is not in `policies` never crosses. `reserved_fraction` of a server's lines is left to callers
    of its own region.
    """

    home_region: str
    policies: dict[str, CrossRegionPolicy]
    reserve: CrossRegionBudget | None = None
    clock_skew: int = 0
    reserved_fraction: float = 0.0


class CrossRegionRule(Protocol):
    """What the server selection asks before an attempt goes to another region, and reports after."""

    def is_remote(self, region: str) -> bool:
        """Whether the region is another one than the home region."""

    def allows(
        self, now: int, traffic_type: str, region: str, delay_fraction: float, free_fraction: float | None
    ) -> bool:
        """Whether an attempt of the type may go there now; asking costs nothing.

        `delay_fraction`: the server's queue delay, of the longest accepted; `free_fraction`: of its lines, if
        known.
        """

    def on_selection(self, now: int, home_available: bool) -> None:
        """A server was selected for a dialog: whether one of the home region admits it."""

    def on_attempt_started(self, now: int, traffic_type: str, region: str, key: tuple[str, int]) -> None:
        """An attempt goes to that region, crossing or not; what it costs is paid here."""

    def on_rejected(self, now: int, traffic_type: str) -> None:
        """A dialog is rejected though a server in another region would have admitted it."""

    def on_attempt_result(self, now: int, result: AttemptResult) -> None:
        """The result of any attempt; gives back what an attempt that was never sent did not use."""
