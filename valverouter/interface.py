"""What passes between the decisions and whoever runs them: events in, wishes out.

Times are whole nanoseconds of the caller's clock. Ids are opaque and handed back as they came.
"""

from __future__ import annotations

from collections.abc import Generator
from dataclasses import dataclass
from enum import Enum, auto
from typing import Protocol


class Outcome(Enum):
    """How a leg fared, as told by its server or by the signalling stack."""

    STANDS = auto()
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


class ListScope(Enum):
    """What a word from the server list covers."""

    CHANGES = auto()
    WHOLE = auto()
    CACHED = auto()
    FAILED = auto()


@dataclass(frozen=True, slots=True)
class TrafficType:
    """One traffic type: what its dialogs are worth, how soon, and which servers may take them."""

    objective: int
    importance: float
    length: int
    repeatable: bool
    server_numbers: frozenset[int] | None


@dataclass(frozen=True, slots=True)
class Deployment:
    """The terms under which one edge proxy works, as handed over at its start."""

    traffic_types: dict[str, TrafficType]
    edge_proxies: int
    place: int
    own_number: int
    list_is_pushed: bool
    legs_allowed: int
    may_cancel: bool
    come_back_limit: int
    release_wait: int
    cold_share: float
    tip_multiple: float
    tip_span: int
    warm_after: int


@dataclass(frozen=True, slots=True)
class AttemptTerms:
    """One dialog's terms for its legs and waits; spans in whole nanoseconds.

    `no_answer`, `leg_time_out`, `come_back` and `legs_in_all` 0: the caller's own, to the no-answer time, the
    decisions' own, the fleet's. `legs` are attempts, the first among them; `legs_in_all` counts also those
    that went on at once from a server without a free agent. `asked_wait_most` only bounds what is reckoned.
    """

    legs: int
    objective: int
    no_answer: int
    release_wait: int
    retry_base: int
    retry_cap: int
    leg_time_out: int = 0
    asked_wait_most: int = 0
    come_back: int = 0
    legs_in_all: int = 0


@dataclass(frozen=True, slots=True)
class BudgetTerms:
    """A far server's retry budget in thousandths of a token: its full count, and what a stand adds.

    The source bounds both: 10 tokens or fewer, a fraction under a half. The threshold is no term.
    """

    full: int
    adds: int


@dataclass(frozen=True, slots=True)
class Dialog:
    """A dialog handed to this edge proxy, which now owes it one final answer."""

    id: str
    traffic_type: str
    no_answer_at: int
    first_choice: int
    called_number: int = 0
    was_cut: bool = False
    in_transit: bool = False
    attempts: AttemptTerms | None = None


@dataclass(frozen=True, slots=True)
class Report:
    """A server's state as last told; None where the deployment or the moment gives no figure."""

    free_lines: float | None = None
    lines: float | None = None
    wait: int | None = None


@dataclass(frozen=True, slots=True)
class LegResult:
    """News of one leg; a leg that stands brings a second one when it ends."""

    dialog_id: str
    leg: int
    server: str
    outcome: Outcome
    delay: int = 0
    asked_wait: int = 0
    dialog_closed: bool = False
    report: Report | None = None


@dataclass(frozen=True, slots=True)
class ServerEntry:
    """One line of the server list; started_at 0 stands for long ago."""

    id: str
    number: int
    in_service: bool
    started_at: int = 0
    region: str = ""


@dataclass(frozen=True, slots=True)
class Leg:
    """Send the dialog to a server; resumed with the LegResult."""

    server: str
    until: int


@dataclass(frozen=True, slots=True)
class Pause:
    """Wait; resumed with None once the span has passed."""

    span: int


@dataclass(frozen=True, slots=True)
class Decline:
    """Final answer: turned away, to come back after the span (0: no advice)."""

    come_back: int = 0


@dataclass(frozen=True, slots=True)
class Abort:
    """Final answer: given up."""


@dataclass(frozen=True, slots=True)
class CancelLeg:
    """Stop waiting for a leg of the dialog; its result still comes."""

    leg: int


@dataclass(frozen=True, slots=True)
class Subscribe:
    """Ask for the server list and its changes; resumed with the ListScope of the answer."""


Wish = Leg | Pause | Decline | Abort | Subscribe
Answer = LegResult | ListScope | None
Course = Generator[Wish, Answer, None]


@dataclass(frozen=True, slots=True)
class Alarm:
    """Wake the driver after the span, naming the ref."""

    span: int
    ref: int


@dataclass(frozen=True, slots=True)
class Order:
    """A wish made out to the dialog it is for, ready for the stack."""

    dialog_id: str
    wish: Leg | CancelLeg | Decline | Abort


Command = Order | Alarm | Subscribe


# Traffic across regions


@dataclass(frozen=True, slots=True)
class CrossingBudget:
    """At most `legs` crossing legs of the whole fleet in any `window`, and `burst` at one moment.

    `edges` share it, this one as number `place` of them; they tell each other nothing.
    """

    legs: int
    window: int
    burst: int
    edges: int
    place: int


@dataclass(frozen=True, slots=True)
class CrossingClass:
    """How one traffic type may cross. `budget` None: no limit; `pairs` have budgets of their own.

    `urgent`: crosses at the first lack at home, may use the reserve, and past it goes on, as an overdraft.
    """

    budget: CrossingBudget | None = None
    pairs: dict[tuple[str, str], CrossingBudget] | None = None
    urgent: bool = False


@dataclass(frozen=True, slots=True)
class CrossingTerms:
    """What may cross from this edge proxy's `home`, and how loosely the fleet's clocks agree.

    A type that is not in `classes` never crosses. `keep_free`: the share of a server's lines that comers from
    other regions leave to its own callers.
    """

    home: str
    classes: dict[str, CrossingClass]
    reserve: CrossingBudget | None = None
    clock_skew: int = 0
    keep_free: float = 0.0


class CrossingRule(Protocol):
    """What the server rule asks before it sends a leg to another region, and tells after."""

    def is_away(self, region: str) -> bool:
        """Whether a server of that region is across a border."""

    def may_cross(
        self, now: int, traffic_type: str, region: str, wait_share: float, free_share: float | None
    ) -> bool:
        """Whether a leg of the type may go there now. Asking pays nothing.

        `wait_share`: the server's wait, against what this dialog may find; `free_share`: of its lines, if
        told.
        """

    def looked(self, now: int, home_takes: bool) -> None:
        """A dialog looked for a server: whether one at home could take it."""

    def sent(self, now: int, traffic_type: str, region: str, key: tuple[str, int]) -> None:
        """A leg goes to that region, crossing or not; what it costs is paid here."""

    def refused(self, now: int, traffic_type: str) -> None:
        """A dialog is declined though a server in another region would have taken it."""

    def heard(self, now: int, result: LegResult) -> None:
        """News of any leg; gives back what a leg that never left did not use."""
