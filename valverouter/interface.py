"""The interface between the routing policy and the code that runs it: events in, actions out.

Times are whole nanoseconds of the clock of the code that runs it. Ids are opaque and returned unchanged.
"""

from __future__ import annotations

from collections.abc import Generator
from dataclasses import dataclass
from enum import Enum, auto
from typing import Protocol


class Outcome(Enum):
    """The outcome of an attempt, as answered by its server or as detected by the signalling stack."""

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
    """The kind of an endpoint update: some entries, all, all from a cache, or a failure to get the list."""

    INCREMENTAL = auto()
    COMPLETE = auto()
    CACHED = auto()
    FAILED = auto()


@dataclass(frozen=True, slots=True)
class TrafficType:
    """A traffic type; `latency_objective` and `mean_duration` of its dialogs are in nanoseconds.

    `idempotent`: an attempt may be retried although its server may have begun the set-up. `server_numbers`:
    the servers that may take the type (None: all).
    """

    latency_objective: int
    priority_weight: float
    mean_duration: int
    idempotent: bool
    server_numbers: frozenset[int] | None


@dataclass(frozen=True, slots=True)
class Deployment:
    """The configuration of one edge proxy, given at its start; durations in nanoseconds.

    `fleet_index` is the index of this edge proxy among `edge_proxies`. `own_server_number`: the number of the
    server that is this edge proxy itself (-1: none). When a server starts, its capacity is
    `slow_start_fraction` of its warm capacity and grows linearly over `slow_start_duration`; set-ups of
    `overload_multiple` times that capacity within `overload_window` overload it.
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
    """The limits on the attempts of one dialog; durations in whole nanoseconds.

    0 means: for `no_answer_timeout`, the caller's own; for `attempt_timeout`, none but the deadline; for
    `retry_after`, the routing policy's own; for `max_total_attempts`, the fleet's. `max_attempts` includes
    the first attempt; `max_total_attempts` also includes those at a server without a free agent, after which
    another server is tried at once. `max_server_retry_after` is used only to compute the worst case.
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
    """A server's retry budget in thousandths of a token: its maximum, and what an established dialog adds.

    The source (gRFC A6) limits both: to 10 tokens or fewer, and to a ratio below one half. The threshold is
    not configurable.
    """

    max_tokens: int
    token_ratio: int


@dataclass(frozen=True, slots=True)
class Dialog:
    """A dialog to route; it must get exactly one final answer by its deadline.

    `was_interrupted`: the dialog was established before and lost its server. `in_transit`: only the preferred
    server may be selected.
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
    """The load that a server reported; None for a value that it omitted. `queue_delay` is in nanoseconds."""

    free_lines: float | None = None
    lines: float | None = None
    queue_delay: int | None = None


@dataclass(frozen=True, slots=True)
class AttemptResult:
    """The result of an attempt; an established attempt has a second result when its dialog ends."""

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
    """One entry of the endpoint list; `started_at` is 0 for a server that is past its slow start."""

    id: str
    number: int
    in_service: bool
    started_at: int = 0
    region: str = ""


@dataclass(frozen=True, slots=True)
class StartAttempt:
    """Forwards the dialog to a server; the flow is resumed with the AttemptResult, by the deadline."""

    server: str
    deadline: int


@dataclass(frozen=True, slots=True)
class Delay:
    """Waits; the flow is resumed with None once the duration has passed."""

    duration: int


@dataclass(frozen=True, slots=True)
class Reject:
    """Final answer: rejected, with the duration after which the caller may retry (0: not given)."""

    retry_after: int = 0


@dataclass(frozen=True, slots=True)
class Fail:
    """Final answer: failed."""


@dataclass(frozen=True, slots=True)
class CancelAttempt:
    """Cancels an attempt of the dialog; its result still follows."""

    attempt: int


@dataclass(frozen=True, slots=True)
class Subscribe:
    """Requests the endpoint list and its updates; the flow is resumed with the kind of the response."""


Action = StartAttempt | Delay | Reject | Fail | Subscribe
ActionResult = AttemptResult | EndpointUpdateKind | None
DialogFlow = Generator[Action, ActionResult, None]


@dataclass(frozen=True, slots=True)
class Timer:
    """Requests a call of the driver's `on_timer` with the id after the duration."""

    duration: int
    timer_id: int


@dataclass(frozen=True, slots=True)
class DialogAction:
    """An action and the dialog that it applies to, for the signalling stack."""

    dialog_id: str
    action: StartAttempt | CancelAttempt | Reject | Fail


Command = DialogAction | Timer | Subscribe


# Traffic across regions


@dataclass(frozen=True, slots=True)
class CrossRegionBudget:
    """A limit on the fleet's cross-region attempts: `attempts` in any `window` (ns), and `burst` at once.

    `edge_proxies` share the budget without communication; `fleet_index` is the index of this one.
    """

    attempts: int
    window: int
    burst: int
    edge_proxies: int
    fleet_index: int


@dataclass(frozen=True, slots=True)
class CrossRegionPolicy:
    """The conditions on which attempts of one traffic type may cross regions.

    `budget` None: no limit. `pairs`: budgets by home and remote region. `urgent`: the type crosses as soon as
    the home region lacks capacity; beyond its budget it is charged to the reserve, then as an overdraft.
    """

    budget: CrossRegionBudget | None = None
    pairs: dict[tuple[str, str], CrossRegionBudget] | None = None
    urgent: bool = False


@dataclass(frozen=True, slots=True)
class CrossRegionConfig:
    """The policies, by traffic type, for attempts from `home_region` to other regions.

    A type that is not in `policies` never crosses. `clock_skew` (ns): how far the fleet's clocks may differ.
    `reserved_fraction` of a server's lines is reserved for callers of its own region.
    """

    home_region: str
    policies: dict[str, CrossRegionPolicy]
    reserve: CrossRegionBudget | None = None
    clock_skew: int = 0
    reserved_fraction: float = 0.0


class CrossRegionRule(Protocol):
    """The rule that the server selection consults before a cross-region attempt and informs after it."""

    def is_remote(self, region: str) -> bool:
        """Whether the region differs from the home region."""

    def allows(
        self, now: int, traffic_type: str, region: str, delay_fraction: float, free_fraction: float | None
    ) -> bool:
        """Whether an attempt of the type may go to the region now; nothing is charged.

        `delay_fraction`: the server's queue delay as a fraction of the longest accepted; `free_fraction`: the
        fraction of its lines that are free, None if unknown.
        """

    def on_selection(self, now: int, home_available: bool) -> None:
        """Records a dialog's server selection: whether a server in the home region was available to it."""

    def on_attempt_started(self, now: int, traffic_type: str, region: str, key: tuple[str, int]) -> None:
        """Records an attempt to the region, home or remote; a cross-region attempt is charged here."""

    def on_rejected(self, now: int, traffic_type: str) -> None:
        """Records a dialog that is rejected although a remote server would have admitted it."""

    def on_attempt_result(self, now: int, result: AttemptResult) -> None:
        """Handles the result of any attempt; refunds an attempt that was never sent."""
