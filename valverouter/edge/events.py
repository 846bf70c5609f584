"""What reaches the instance: each is handled in one turn, in the order of arrival.

What a connection tells stands beside the connection's own code, which so needs nothing of this file.
"""

from __future__ import annotations

from dataclasses import dataclass

from valverouter.edge.attempt_policies import AttemptPolicies
from valverouter.edge.caller import CallerDisconnected, CallerMessage
from valverouter.edge.discovery import EndpointUpdate
from valverouter.edge.link import LinkDown, LinkUp, ServerMessage
from valverouter.interface import Outcome
from valverouter.recovery.plan import RecoveryAction
from valverouter.terms.edge import EdgeTerms

__all__ = [
    "AttemptEnded",
    "CallerDisconnected",
    "CallerMessage",
    "EndpointUpdate",
    "Event",
    "LinkDown",
    "LinkUp",
    "RecoveryTimer",
    "ReloadRequested",
    "ServerMessage",
    "StopRequested",
]


@dataclass(frozen=True, slots=True)
class AttemptEnded:
    """A leg ended at this side: not sent, cancelled, or its time is up."""

    dialog_id: str
    attempt: int
    server: str
    outcome: Outcome


@dataclass(frozen=True, slots=True)
class RecoveryTimer:
    """An alarm on a dialog of a former self, or of a caller that is away: its `need` has had its time."""

    dialog_id: str
    action: RecoveryAction


@dataclass(frozen=True, slots=True)
class ReloadRequested:
    """Other terms, whole and checked; what can't change while running is told and left as it is.

    `book`: made of them outside the turn, which it would hold up for as long as their check takes.
    """

    config: EdgeTerms
    policies: AttemptPolicies | None = None
    file: str = ""


@dataclass(frozen=True, slots=True)
class StopRequested:
    """Take no more dialogs, finish those that are here, end."""


Event = (
    CallerMessage
    | CallerDisconnected
    | ServerMessage
    | LinkUp
    | LinkDown
    | EndpointUpdate
    | AttemptEnded
    | RecoveryTimer
    | ReloadRequested
    | StopRequested
)
