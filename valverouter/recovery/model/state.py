"""The state of the model: one dialog with its edge proxy, store, server, caller and connections."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import NamedTuple, TypeAlias

from msgspec import Struct

from valverouter.recovery.lifecycle import DialogRecord, Timestamp
from valverouter.recovery.plan import PeerStatus

# Ticks of the model's clock.
DEADLINE = 4
RELEASE_DELAY = 1
MAX_ATTEMPTS = 2
# The value of State.release_until when no release delay is running.
NO_RELEASE_DELAY = -1
# The initial value of State.cancelled_at, further back than a release delay.
NEVER_CANCELLED = -9


class Safeguard(Enum):
    """A write or check that a model can omit, to show that a rule is violated without it."""

    ACCEPTED_RECORD = "accepted record"
    ATTEMPT_RECORD = "attempt record"
    CANCEL_RECORD = "cancel record"
    ESTABLISHED_RECORD = "established record"
    ANSWER_RECORD = "answer record"
    EPOCH_FENCE = "epoch fence"
    RELEASE_DELAY = "release delay"


class AttemptState(Enum):
    """The state of an attempt at the server. UNSEEN: the server has not received it."""

    UNSEEN = "unseen"
    IN_FLIGHT = "in flight"
    ESTABLISHED = "established"
    CLOSED = "closed"


class MessageKind(Enum):
    """Messages between proxy and server: the first three are sent by the proxy, the others by the server."""

    SETUP = "SETUP"
    CANCEL = "CANCEL"
    QUERY = "QUERY"
    ESTABLISHED = "ESTABLISHED"
    FAILED = "FAILED"
    STATUS = "STATUS"


class Message(Struct, frozen=True):
    """A message on a connection. `epoch`: the epoch of the proxy on it; `status`: the reply to a QUERY."""

    kind: MessageKind
    attempt: int
    epoch: int
    status: PeerStatus | None = None

    def __str__(self) -> str:
        """Returns the message's kind, status and attempt, for the description of a step."""
        status = f" {self.status.name}" if self.status is not None else ""
        return f"{self.kind.value}{status} {self.attempt}"


class WriteRecord(Struct, frozen=True):
    """Writes the record to the store; `safeguard` identifies the write."""

    record: DialogRecord
    safeguard: Safeguard


class SendSetup(Struct, frozen=True):
    """Sends a set-up; `record` is the proxy's record from then on."""

    record: DialogRecord


class SendCancel(Struct, frozen=True):
    """Sends a cancel; `record` is the proxy's record from then on, None: unchanged."""

    attempt: int
    record: DialogRecord | None = None


class SendQuery(Struct, frozen=True):
    """Queries the server for the status of an attempt."""

    attempt: int


class StartReleaseDelay(Struct, frozen=True):
    """Starts the release delay of the cancelled attempt."""


class SendProvisional(Struct, frozen=True):
    """Sends the provisional answer to the caller."""


class SendAnswer(Struct, frozen=True):
    """Sends a final answer to the caller; `record` is the proxy's record from then on, None: unchanged."""

    answer: str
    record: DialogRecord | None = None


class ForgetDialog(Struct, frozen=True):
    """Removes the record from memory and from the store."""


Operation: TypeAlias = (
    WriteRecord
    | SendSetup
    | SendCancel
    | SendQuery
    | StartReleaseDelay
    | SendProvisional
    | SendAnswer
    | ForgetDialog
)


@dataclass(frozen=True, slots=True)
class State:
    """The state of the proxy, store, server, caller and connections of one dialog.

    `known` and `stored`: the record in the proxy's memory and in its store. `operations`: the proxy's pending
    writes and sends, in order. `query_pending`: the proxy is waiting for a STATUS. `release_until`: the tick
    at which the release delay ends, or NO_RELEASE_DELAY. `to_server`, `stale_to_server` and `to_proxy`:
    messages in transit, the stale ones from killed proxies. `attempts`: the states of the attempts at the
    server. `cancelled_at`: the tick of the last cancel. `accepted`: the caller got the provisional answer.
    `answer`: the final answer that the caller got, "" for none.
    """

    now: int = 0
    is_running: bool = True
    epoch: int = 1
    crashes: int = 0
    known: DialogRecord | None = None
    stored: DialogRecord | None = None
    operations: tuple[Operation, ...] = ()
    query_pending: bool = False
    release_until: int = NO_RELEASE_DELAY
    to_server: tuple[Message, ...] = ()
    stale_to_server: tuple[Message, ...] = ()
    to_proxy: tuple[Message, ...] = ()
    attempts: tuple[AttemptState, ...] = (AttemptState.UNSEEN,) * MAX_ATTEMPTS
    server_epoch: int = 0
    cancelled_at: int = NEVER_CANCELLED
    accepted: bool = False
    answer: str = ""


class Step(NamedTuple):
    """One transition of the model: its description and the resulting state."""

    description: str
    state: State


class RuleViolationError(Exception):
    """A step violates a rule; the text names the rule and the violation."""


def timestamp(tick: int) -> Timestamp:
    """Converts a tick to a timestamp of a record. All proxies run within one boot of the machine."""
    return Timestamp(tick, tick, "boot")


# No decision depends on a record's `changed_at`. A constant merges states that differ only in it.
CHANGED_AT = timestamp(0)
