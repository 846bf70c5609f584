"""Rules 2 and 5: a dialog has one attempt at a time, and retries wait for the release delay."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Sequence

from valverouter.audit.records import faults_of, is_during, servers_in
from valverouter.audit.verdict import Rule, Verdict
from valverouter.signalling.traffic_record import AuditConfigRow, ConnectionLostRow, MessageRow, Row

# Messages with which a server or an edge proxy closes an attempt.
CLOSED_BY_SERVER = ("ended", "line-busy", "full", "no-agent", "fault", "cancelled", "unknown")
CLOSED_BY_EDGE = ("cancel", "release")


def check_attempts(rows: Sequence[Row], config: AuditConfigRow, verdict: Verdict) -> None:
    """Checks rules 2 and 5 over rows sorted by time."""
    check = _AttemptCheck(rows, config, verdict)
    for row in rows:
        if isinstance(row, ConnectionLostRow):
            check.on_connection_lost(row)
        elif isinstance(row, MessageRow) and row.peer in check.servers and row.dialog:
            check.on_message(row)


class _AttemptCheck:
    """Tracks the attempts in flight while a record is read.

    An attempt is in flight from the time at which a server receives its set-up until the server closes it, it
    is cancelled or released, or its connection is lost. After a cancellation, and after a loss unless the
    dialog was established, the release delay must pass before the next attempt of the dialog.
    """

    def __init__(self, rows: Sequence[Row], config: AuditConfigRow, verdict: Verdict) -> None:
        self.servers = servers_in(rows)
        self._config = config
        self._verdict = verdict
        # A server process that is stopped receives messages later than they were sent.
        self._server_stalls = faults_of(rows, "held")
        # By dialog: the attempt in flight; dialogs whose attempt in flight is established; the time at which
        # an attempt was abandoned, with the reason.
        self._in_flight: dict[str, MessageRow] = {}
        self._established: set[str] = set()
        self._abandoned: dict[str, tuple[int, str]] = {}
        # Dialogs by edge proxy and server.
        self._by_connection: dict[tuple[str, str], set[str]] = defaultdict(set)

    def on_connection_lost(self, row: ConnectionLostRow) -> None:
        """Processes the loss of a connection to a server, for all its attempts."""
        if row.peer not in self.servers:
            return
        for dialog in self._by_connection.pop((row.edge, row.peer), set()):
            attempt = self._in_flight.pop(dialog, None)
            if attempt is not None and dialog not in self._established:
                self._abandoned[dialog] = row.at, "its connection was lost"

    def on_message(self, row: MessageRow) -> None:
        """Processes a message between an edge proxy and a server."""
        attempt = self._in_flight.get(row.dialog)
        if not row.sent and row.kind == "setup":
            self._on_setup(row, attempt)
        elif attempt is None or (attempt.leg, attempt.peer) != (row.leg, row.peer):
            return
        elif row.sent and row.kind == "stands":
            self._established.add(row.dialog)
        elif row.kind in (CLOSED_BY_SERVER if row.sent else CLOSED_BY_EDGE):
            self._on_closed(row)

    def _on_setup(self, row: MessageRow, previous: MessageRow | None) -> None:
        self._verdict.add_check(Rule.ONE_ATTEMPT)
        if previous is not None:
            text = f"leg {row.leg} at {row.peer} while leg {previous.leg} is in flight at {previous.peer}"
            self._verdict.add_violation(Rule.ONE_ATTEMPT, row.at, row.dialog, text)
        if row.dialog in self._abandoned and not self._is_stalled(row):
            self._check_release_delay(row)
        self._in_flight[row.dialog] = row
        self._by_connection[row.edge, row.peer].add(row.dialog)
        self._established.discard(row.dialog)

    def _check_release_delay(self, row: MessageRow) -> None:
        self._verdict.add_check(Rule.RELEASE_DELAY)
        since, reason = self._abandoned.pop(row.dialog)
        if row.at - since < self._config.release_wait - self._config.slack:
            text = f"retried {row.at - since} ns after {reason}"
            self._verdict.add_violation(Rule.RELEASE_DELAY, row.at, row.dialog, text)

    def _on_closed(self, row: MessageRow) -> None:
        del self._in_flight[row.dialog]
        self._by_connection[row.edge, row.peer].discard(row.dialog)
        if row.kind == "cancel" and not self._is_stalled(row):
            self._abandoned[row.dialog] = row.at, "it was cancelled"
        self._established.discard(row.dialog)

    def _is_stalled(self, row: MessageRow) -> bool:
        return is_during(self._server_stalls, row.peer, row.at, self._config.slack)
