"""The state that a resumable edge proxy keeps for recovering dialogs after a restart or a lost connection."""

from __future__ import annotations

from dataclasses import dataclass, field

from valverouter.edge.recovery_log import RecoveryLog
from valverouter.edge.sent_ends import SentEnds
from valverouter.recovery.pacing import QueryPacer
from valverouter.recovery.plan import RecoveryAction


@dataclass(slots=True)
class RecoveryState:
    """The recovery log, and the state of dialogs whose recovery is not complete; the dicts are by dialog id.

    `pending`: the action that a dialog waits for before its routing continues. `unreported_ends`: the reason
    for which an established dialog ended while its caller was disconnected. Entries of both are removed with
    the dialog. `attempt_offsets`: how many attempts of a dialog the previous incarnation numbered; a timer
    removes an entry some time after the dialog's deadline. `pacing`: the queries to servers that wait or are
    unanswered. `sent_ends`: the ends that were sent to callers which may not have received them.
    """

    log: RecoveryLog
    sent_ends: SentEnds
    pending: dict[str, RecoveryAction] = field(default_factory=dict)
    unreported_ends: dict[str, str] = field(default_factory=dict)
    attempt_offsets: dict[str, int] = field(default_factory=dict)
    pacing: QueryPacer = field(default_factory=QueryPacer)
