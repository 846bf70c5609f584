"""What reaches the instance: each is handled in one turn, in the order of arrival.

What a connection tells stands beside the connection's own code, which so needs nothing of this file.
"""

from __future__ import annotations

from dataclasses import dataclass

from valverouter.edge.attempting import AttemptBook
from valverouter.edge.links import FromServer, LinkDown, LinkUp
from valverouter.edge.listener import CallerLost, FromCaller
from valverouter.edge.listing import ListHeard
from valverouter.interface import Outcome
from valverouter.recovery.plan import RecoveryAction
from valverouter.terms.edge import EdgeTerms

__all__ = [
    "CallerLost",
    "Event",
    "FromCaller",
    "FromServer",
    "LegOver",
    "LinkDown",
    "LinkUp",
    "ListHeard",
    "Mend",
    "Reload",
    "Stop",
]


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
    need: RecoveryAction


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
