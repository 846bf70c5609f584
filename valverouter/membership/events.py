"""Events that a member reports to its owner, for logs, counters and traces."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum

from valverouter.membership.records import MemberRecord


class EventKind(StrEnum):
    """The kind of an event. Its values are written to logs, counters and traces."""

    JOINED = "joined"
    CHANGED = "changed"
    SUSPECT = "suspect"
    REFUTED = "refuted"
    GONE = "gone"
    LEFT = "left"
    FORGOTTEN = "forgotten"
    RESTARTED = "restarted"
    # Another member reported this one as suspect or gone.
    ACCUSED = "accused"
    # Another running process uses this member's name.
    CONFLICT = "conflict"
    CONFLICT_OVER = "conflict-over"
    # This process was not scheduled for a while.
    STALLED = "stalled"
    # The view's health changed.
    SETTLED = "settled"
    UNSETTLED = "unsettled"
    CUT_OFF = "cut-off"


@dataclass(frozen=True, slots=True)
class MembershipEvent:
    """A change that this member detected or learned of.

    `time`: ns on this member's clock. `record`: the record of the member concerned. `source`: the name of the
    member that reported the change, or in a name conflict the other process's address; may be empty.
    """

    time: int
    kind: EventKind
    record: MemberRecord
    source: str = ""
