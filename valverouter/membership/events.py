"""What a member reports to its owner, for logs, counters and traces."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum

from valverouter.membership.records import MemberRecord


class EventKind(StrEnum):
    """The kinds of events. Their values are written to logs, counters and traces."""

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
    # Another running process has this member's name.
    CONFLICT = "conflict"
    CONFLICT_OVER = "conflict-over"
    # This process did not run for a while.
    STALLED = "stalled"
    # The view's health changed.
    SETTLED = "settled"
    UNSETTLED = "unsettled"
    CUT_OFF = "cut-off"


@dataclass(frozen=True, slots=True)
class MembershipEvent:
    """Something that this member found out.

    `time`: ns on this member's clock. `record`: the member that it is about. `source`: the name of the member
    that reported it, or the other process's address in a name conflict; may be empty.
    """

    time: int
    kind: EventKind
    record: MemberRecord
    source: str = ""
