"""What passes between the decisions and whoever runs them: events in, wishes out.

Times are whole nanoseconds of the caller's clock. Ids are opaque and handed back as they came.
"""

from __future__ import annotations

from collections.abc import Generator
from dataclasses import dataclass
from enum import Enum, auto


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
class Dialog:
    """A dialog handed to this edge proxy, which now owes it one final answer."""

    id: str
    traffic_type: str
    no_answer_at: int
    first_choice: int
    called_number: int = 0
    was_cut: bool = False
    in_transit: bool = False


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
