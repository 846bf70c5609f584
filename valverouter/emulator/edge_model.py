"""The data of emulated edge proxies: plans, requests, open dialogs, server links, messages to callers."""

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
    """The attempt policies of the edge proxy's file."""

    def policy_for(
        self, traffic_type: str, number: int, peer: str = "", first_choice: int = -1
    ) -> AttemptPolicy | None:
        """The policy of a dialog; None: the routing policy's own."""


BuildDriver = Callable[[Deployment, int, int, CrossRegionRule | None], Driver]


@dataclass(frozen=True, slots=True)
class EdgePlan:
    """One edge proxy as its file has it.

    `build_driver` makes the Driver of each process: a variant's is passed here. `cross_region` makes its rule
    for a start at a time, ns. `has_dialog_store`: dialogs survive a restart. `default_attempt_policy`: the
    routing policy's own of a traffic type, from which the attempts of a previous process are taken off.
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
    """A dialog as its caller requests it; `no_answer_timeout` in ns."""

    dialog_id: str
    traffic_type: str
    no_answer_timeout: int
    preferred_server_number: int
    called_number: int
    was_interrupted: bool = False


class CallerMessage(StrEnum):
    """What a caller receives; the values are the kinds of the recorded rows."""

    REJECTED = "declined"
    FAILED = "aborted"
    ESTABLISHED = "stands"
    ENDED = "ended"
    UNKNOWN = "unknown"


class FailureReason(StrEnum):
    """Why a dialog failed; the values are the words of the recorded rows."""

    NO_TIME = "no-time"
    FAILED = "failed"
    CANCELLED = "cancelled"


class Callers(Protocol):
    """The callers of an edge proxy."""

    def on_message(
        self, message: CallerMessage, dialog_id: str, retry_after: int = 0, details: str = ""
    ) -> None:
        """An answer or an end; `details`: the server, the reason of a failure or of an end."""

    def on_connection_lost(self) -> None:
        """The edge proxy's process is gone, and its dialogs with it."""

    def on_restart_expected(self) -> None:
        """The edge proxy's process is gone; the next one has its dialogs."""


class ListedEndpoint(NamedTuple):
    """An entry of the endpoint list with its server's incarnation and age, ns; None: it has always run."""

    endpoint: Endpoint
    incarnation: int
    age: int | None


class ServerView(NamedTuple):
    """What an edge proxy knows of a server: queue delay (ns), concurrency window, share of retry tokens."""

    queue_delay: int
    window: float
    token_fraction: float


@dataclass(slots=True)
class OpenDialog:
    """A dialog until its end.

    `attempts` counts those of this process, `attempt` is the one in flight or established. The rest is of a
    dialog that a previous process left: how many attempts it made; `server` and `leg`, where the dialog is
    established; what it needs before its flow goes on; whether its caller is back. `end_reason`: of an end
    that waits for the caller.
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

    `attempts` holds those in flight or established, True where cancelled; `on_connected` is called once the
    connection is up. `connection_failures` counts those in a row.
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
        """All attempts in order; the link has none afterwards."""
        attempts = sorted(self.attempts)
        self.attempts = {}
        return attempts
