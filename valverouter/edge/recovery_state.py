"""What an edge proxy with a store knows of dialogs that outlive a restart or a connection."""

from __future__ import annotations

from dataclasses import dataclass, field

from valverouter.edge.recovery_log import RecoveryLog
from valverouter.recovery.pacing import QueryPacer
from valverouter.recovery.plan import RecoveryAction


@dataclass(slots=True)
class RecoveryState:
    """The records of dialogs, and what those of a previous incarnation wait for.

    `pending`: what a dialog waits for before its flow goes on; leaves with the dialog. `unreported_ends`: how
    an established one ended while its caller was away; leaves with the dialog. `attempt_offsets`: how many
    attempts of a dialog the previous incarnation had numbered; emptied by timers past the dialog's time.
    """

    log: RecoveryLog
    pending: dict[str, RecoveryAction] = field(default_factory=dict)
    unreported_ends: dict[str, str] = field(default_factory=dict)
    attempt_offsets: dict[str, int] = field(default_factory=dict)
    pacing: QueryPacer = field(default_factory=QueryPacer)
