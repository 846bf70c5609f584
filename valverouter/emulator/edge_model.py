"""Data types of emulated edge proxies: plans, requests, open dialogs, server links, messages to callers."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from enum import StrEnum
from typing import NamedTuple, Protocol

from msgspec import Struct

from valverouter.driver import Driver
from valverouter.emulator.servers import Connection, EmulatedServer
from valverouter.interface import AttemptPolicy, CrossRegionRule, Deployment, Endpoint
from valverouter.recovery.plan import RecoveryAction
from valverouter.servermodel.events import LegKey


class AttemptPolicies(Protocol):
    """The attempt policies that an edge proxy is configured with."""

    def policy_for(
        self, traffic_type: str, called_number: int, caller: str = "", preferred_server_number: int = -1
    ) -> AttemptPolicy | None:
        """Returns the attempt policy of a dialog; None: the routing policy's default."""


BuildDriver = Callable[[Deployment, int, int, CrossRegionRule | None], Driver]


@dataclass(frozen=True, slots=True)
class EdgePlan:
    """The configuration of one edge proxy.

    `build_driver` creates the Driver of each process; an experiment passes its variant here. `cross_region`
    creates the cross-region rule of a process that starts at a time, ns. `has_dialog_store`: dialogs survive
    a restart. `default_attempt_policy` returns the routing policy's default for a traffic type; the attempts
    that a previous process made are subtracted from it.
    """

    fleet_index: int
    region: str
    deployment: Deployment
    seed: int
    answer_margin: int
    cross_region: Callable[[int], CrossRegionRule | None] = lambda now: None
    attempt_policies: AttemptPolicies | None = None
    build_driver: BuildDriver = Driver
    has_dialog_store: bool = False
    default_attempt_policy: Callable[[str], AttemptPolicy | None] = lambda traffic_type: None


class DialogRequest(Struct, frozen=True):
    """A caller's request to set up a dialog; `no_answer_timeout` in ns."""

    dialog_id: str
    traffic_type: str
    no_answer_timeout: int
    preferred_server_number: int
    called_number: int
    was_interrupted: bool = False


class CallerMessage(StrEnum):
    """The kinds of messages to callers; the values are the kinds of the recorded rows."""

    REJECTED = "declined"
    FAILED = "aborted"
    ESTABLISHED = "stands"
    ENDED = "ended"
    UNKNOWN = "unknown"


class FailureReason(StrEnum):
    """Why a dialog failed; the values are the details of the recorded rows."""

    NO_TIME = "no-time"
    FAILED = "failed"
    CANCELLED = "cancelled"


class Callers(Protocol):
    """The callers of an edge proxy."""

    def on_message(
        self, message: CallerMessage, dialog_id: str, retry_after: int = 0, details: str = ""
    ) -> None:
        """Handles an answer or an end; `details`: the server, or the reason of the failure or of the end."""

    def on_connection_lost(self) -> None:
        """Handles the end of the edge proxy's process, which loses its dialogs."""

    def on_restart_expected(self) -> None:
        """Handles the end of the edge proxy's process when the next one recovers its dialogs."""


class ListedEndpoint(NamedTuple):
    """An entry of the endpoint list with its server's incarnation and age (ns; None: it has always run)."""

    endpoint: Endpoint
    incarnation: int
    age: int | None


class ServerView(NamedTuple):
    """An edge proxy's estimates for a server: queue delay (ns), window, fraction of retry tokens left."""

    queue_delay: int
    window: float
    token_fraction: float


@dataclass(slots=True)
class OpenDialog:
    """A dialog that has not ended.

    `attempts` counts the attempts of this process; `attempt` is the one in flight or established.

    The remaining fields describe a dialog that was recovered from a previous process. `previous_attempts`:
    the number of attempts made earlier. `server`, `leg`: where the dialog is established. `recovery_action`:
    the pending step of its recovery. `is_caller_connected`: whether its caller has reconnected. `end_reason`:
    the reason of an end that the caller has not received yet.
    """

    request: DialogRequest
    deadline: int
    attempts: int = 0
    attempt: int | None = None
    link: ServerLink | None = None
    is_established: bool = False
    previous_attempts: int = 0
    server: str = ""
    leg: LegKey | None = None
    recovery_action: RecoveryAction | None = None
    is_caller_connected: bool = True
    end_reason: str = ""


AttemptKey = tuple[str, int]


@dataclass(slots=True, eq=False)
class ServerLink:
    """An edge proxy's link to one server.

    `attempts`: the attempts in flight or established; the value is True for a cancelled attempt.
    `on_connected`: callbacks for when the connection is established. `connection_failures` counts consecutive
    failures.
    """

    server: EmulatedServer
    connection: Connection | None = None
    is_listed: bool = True
    is_connecting: bool = False
    on_connected: list[Callable[[], None]] = field(default_factory=list)
    attempts: dict[AttemptKey, bool] = field(default_factory=dict)
    connection_failures: int = 0
    connected_at: int = 0

    def take_attempts(self) -> list[AttemptKey]:
        """Removes all attempts from the link and returns them, sorted."""
        attempts = sorted(self.attempts)
        self.attempts = {}
        return attempts
