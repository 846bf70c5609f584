"""What reaches the instance: each is handled in one turn, in the order of arrival."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from valverouter.interface import ListScope, Outcome
from valverouter.recovery.decide import Need
from valverouter.signalling import setup
from valverouter.signalling.greeting import Welcome
from valverouter.signalling.serverlist import Row

if TYPE_CHECKING:
    from valverouter.edge.attempting import AttemptBook
    from valverouter.edge.links import Link
    from valverouter.edge.listener import Caller
    from valverouter.terms.edge import EdgeTerms


@dataclass(frozen=True, slots=True)
class FromCaller:
    """A caller asks: Setup, Cancel or Release. `came_at`: when its last byte was read, 0: with its turn."""

    caller: Caller
    message: setup.OfLeg
    came_at: int = 0


@dataclass(frozen=True, slots=True)
class CallerLost:
    """A caller's connection is gone: nobody is left to hear the answers to its dialogs."""

    caller: Caller


@dataclass(frozen=True, slots=True)
class FromServer:
    """A server answers, or reports."""

    link: Link
    message: setup.OfLeg | setup.Reported


@dataclass(frozen=True, slots=True)
class LinkUp:
    """A server's welcome: the link carries legs once the instance has heard who is there."""

    link: Link
    welcome: Welcome


@dataclass(frozen=True, slots=True)
class LinkDown:
    """A link, or the attempt to make one, came to an end, with the legs that had left on it and those not."""

    link: Link
    why: str
    sent: frozenset[tuple[str, int]]
    unsent: frozenset[tuple[str, int]]


@dataclass(frozen=True, slots=True)
class ListHeard:
    """Word of the server list."""

    scope: ListScope
    rows: list[Row]


@dataclass(frozen=True, slots=True)
class LegOver:
    """A leg ended at this side: not sent, cancelled, or its time is up."""

    dialog_id: str
    leg: int
    server: str
    outcome: Outcome


@dataclass(frozen=True, slots=True)
class Mend:
    """An alarm on a dialog of a former self, or of a caller that is away: its `need` has had its time."""

    dialog_id: str
    need: Need


@dataclass(frozen=True, slots=True)
class Reload:
    """Other terms, whole and checked; what can't change while running is told and left as it is.

    `book`: made of them outside the turn, which it would hold up for as long as their check takes.
    """

    terms: EdgeTerms
    book: AttemptBook | None = None
    file: str = ""


@dataclass(frozen=True, slots=True)
class Stop:
    """Take no more dialogs, finish those that are here, end."""


Event = FromCaller | CallerLost | FromServer | LinkUp | LinkDown | ListHeard | LegOver | Mend | Reload | Stop
