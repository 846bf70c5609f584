"""The modelled world: one dialog with its edge proxy, store, server, caller and connections."""

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
# No release delay is running.
NO_RELEASE_DELAY = -1
# Earlier than any release delay reaches back.
NEVER_CANCELLED = -9


class Safeguard(Enum):
    """A write or a safeguard that a model leaves out, to show that a rule breaks without it."""

    ACCEPTED_RECORD = "accepted record"
    ATTEMPT_RECORD = "attempt record"
    CANCEL_RECORD = "cancel record"
    ESTABLISHED_RECORD = "established record"
    ANSWER_RECORD = "answer record"
    EPOCH_FENCE = "epoch fence"
    RELEASE_DELAY = "release delay"


class AttemptState(Enum):
    """What a server holds of an attempt. UNSEEN: nothing yet."""

    UNSEEN = "unseen"
    IN_FLIGHT = "in flight"
    ESTABLISHED = "established"
    CLOSED = "closed"


class MessageKind(Enum):
    """Messages between proxy and server: the first three go to the server, the others come from it."""

    SETUP = "SETUP"
    CANCEL = "CANCEL"
    QUERY = "QUERY"
    ESTABLISHED = "ESTABLISHED"
    FAILED = "FAILED"
    STATUS = "STATUS"


class Message(Struct, frozen=True):
    """A message on a connection; `epoch` is that of the proxy at its end, `status` answers a QUERY."""

    kind: MessageKind
    attempt: int
    epoch: int
    status: PeerStatus | None = None

    def __str__(self) -> str:
        """Its name, status and attempt, for the description of a step."""
        status = f" {self.status.name}" if self.status is not None else ""
        return f"{self.kind.value}{status} {self.attempt}"


class WriteRecord(Struct, frozen=True):
    """The record goes to the store; `safeguard` names which of the writes it is."""

    record: DialogRecord
    safeguard: Safeguard


class SendSetup(Struct, frozen=True):
    """An attempt starts; `record` is what the proxy knows from then on."""

    record: DialogRecord


class SendCancel(Struct, frozen=True):
    """An attempt is cancelled; `record` is what the proxy knows from then on, None: as before."""

    attempt: int
    record: DialogRecord | None = None


class SendQuery(Struct, frozen=True):
    """The server is asked for the state of an attempt."""

    attempt: int


class StartReleaseDelay(Struct, frozen=True):
    """The release delay of the cancelled attempt starts."""


class SendProvisional(Struct, frozen=True):
    """The caller is told that its dialog was accepted."""


class SendAnswer(Struct, frozen=True):
    """The caller gets a final answer; `record` is what the proxy knows from then on, None: as before."""

    answer: str
    record: DialogRecord | None = None


class ForgetDialog(Struct, frozen=True):
    """The record leaves memory and store."""


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
    """The whole world of one dialog.

    `known` and `stored`: the record in the proxy's memory and in its store. `operations`: writes and sends
    that the proxy still has to carry out, in order. `query_pending`: it waits for a STATUS; `release_until`:
    for a release delay, NO_RELEASE_DELAY where it does not. `stale_to_server` was sent by killed proxies.
    `attempts` is the server's view. `accepted`, `answer`: what the caller was told, "" for no answer yet.
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
    """One step of the world: what happens, and the state after it."""

    description: str
    state: State


class RuleViolationError(Exception):
    """A step breaks a rule; the text says which and how."""


def timestamp(tick: int) -> Timestamp:
    """A tick as records hold times. All proxies run within one boot of the machine."""
    return Timestamp(tick, tick, "boot")


# No decision reads when a record last changed: one time for all of them merges states that are alike.
CHANGED_AT = timestamp(0)
