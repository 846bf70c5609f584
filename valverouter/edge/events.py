"""The events of an edge proxy, handled by its event loop in order of priority and arrival.

The events of a connection are defined in the connection's module, which avoids an import cycle.
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
    """An attempt ended at this side: it was not sent, was cancelled or timed out. Also used as a timer."""

    dialog_id: str
    attempt: int
    server: str
    outcome: Outcome


@dataclass(frozen=True, slots=True)
class RecoveryTimer:
    """The timer of a recovery `action` for a dialog of a previous incarnation or a detached caller is due."""

    dialog_id: str
    action: RecoveryAction


@dataclass(frozen=True, slots=True)
class ReloadRequested:
    """A complete and validated new configuration; settings that can't change while running are logged.

    `policies` was built from it outside the event loop, which their validation would block.
    """

    config: EdgeConfig
    policies: AttemptPolicies | None = None
    file: str = ""


@dataclass(frozen=True, slots=True)
class StopRequested:
    """A graceful shutdown is requested: accept no more dialogs, answer the open ones, end."""


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
