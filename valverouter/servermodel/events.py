"""The output of a server model: events of call legs, and counters."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum, auto

# A call leg at a server: peer, dialog and leg number.
LegKey = tuple[str, str, int]


class ServerEventKind(Enum):
    """Kinds of messages to the peer of a leg; ENDED and INTERRUPTED close an established leg."""

    PROVISIONAL = auto()
    ESTABLISHED = auto()
    ENDED = auto()
    INTERRUPTED = auto()
    LINE_BUSY = auto()
    FULL = auto()
    NO_AGENT = auto()
    FAULT = auto()
    CANCELLED = auto()


@dataclass(frozen=True, slots=True)
class ServerEvent:
    """An event of a leg at time `at`, ns. `retry_after`: the delay that a full server requests, ns."""

    key: LegKey
    kind: ServerEventKind
    at: int
    retry_after: int = 0


@dataclass(slots=True)
class ServerCounters:
    """Counters of a server since its creation; `work` and `wasted_work` are processor time, ns."""

    setups: int = 0
    established: int = 0
    rejected: int = 0
    interrupted: int = 0
    retransmissions: int = 0
    work: int = 0
    wasted_work: int = 0
