"""The events of an edge proxy: each is handled in one turn of its event loop, in the order of arrival.

Those of a connection are defined beside the connection's own code, which so imports nothing of this module.
"""

from __future__ import annotations

from dataclasses import dataclass

from valverouter.config.edge import EdgeConfig
from valverouter.edge.attempt_policies import AttemptPolicies
from valverouter.edge.caller import CallerDisconnected, CallerMessage
from valverouter.edge.discovery import EndpointUpdate
from valverouter.edge.link import LinkDown, LinkUp, ServerMessage
from valverouter.interface import Outcome
from valverouter.recovery.plan import RecoveryAction

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
    """An attempt ended at this side: not sent, cancelled, or its time is up."""

    dialog_id: str
    attempt: int
    server: str
    outcome: Outcome


@dataclass(frozen=True, slots=True)
class RecoveryTimer:
    """A dialog of a previous incarnation, or of a caller that is away: the time of its `action` is over."""

    dialog_id: str
    action: RecoveryAction


@dataclass(frozen=True, slots=True)
class ReloadRequested:
    """Another configuration, complete and checked; what can't change while running is logged.

    `policies`: made of it outside the event loop, which their check would hold up.
    """

    config: EdgeConfig
    policies: AttemptPolicies | None = None
    file: str = ""


@dataclass(frozen=True, slots=True)
class StopRequested:
    """Accept no more dialogs, answer those that are open, end."""


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
