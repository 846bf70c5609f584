"""Rule 1: a caller receives exactly one final answer, in time.

After it the caller receives only the end of an established dialog.
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Sequence

from valverouter.audit.records import FINAL_ANSWERS, callers_in, faults_of, is_during
from valverouter.audit.verdict import Rule, Verdict
from valverouter.signalling.traffic_record import AuditConfigRow, ConnectionLostRow, MessageRow, Row

# An entry in the history of a dialog: the caller's connection was lost.
CONNECTION_LOST = "lost"
# Final answers that may be repeated once after the caller has resumed the dialog.
REPEATABLE_ANSWERS = ("stands", "declined", "aborted")


def check_answers(rows: Sequence[Row], config: AuditConfigRow, verdict: Verdict) -> None:
    """Checks rule 1 over rows sorted by time."""
    check = _AnswerCheck(rows, config, verdict)
    for row in rows:
        if isinstance(row, ConnectionLostRow):
            check.on_connection_lost(row)
        elif isinstance(row, MessageRow) and row.peer in check.callers and row.dialog:
            check.on_message(row)
    check.finish(rows[-1].at if rows else 0)


def _from_earlier_connection(kind: str) -> str:
    """Returns the history entry for an answer on an earlier connection, which may be repeated."""
    return f"{kind} before"


class _AnswerCheck:
    """Tracks the state of all dialogs while a record is read.

    No answer is due while the caller has no connection. Once it resumes the dialog on another connection, the
    original deadline applies again, and an answer already received may be repeated, unchanged. A dialog that
    was accepted or established must be known when the caller resumes it; an established one that has become
    unknown is only counted, as forgotten. A missing answer is no violation if the edge proxy was stalled at
    the deadline; a late answer is one even then.
    """

    def __init__(self, rows: Sequence[Row], config: AuditConfigRow, verdict: Verdict) -> None:
        self.callers = callers_in(rows)
        self._slack = config.slack
        self._verdict = verdict
        self._edge_stalls = faults_of(rows, "balancer_stall")
        # Set-ups without a final answer, by dialog: on open connections, and on lost ones.
        self._pending: dict[str, MessageRow] = {}
        self._disconnected: dict[str, MessageRow] = {}
        self._dialogs_by_caller: dict[str, set[str]] = defaultdict(set)
        # By dialog: the kinds of the messages that its caller received, and CONNECTION_LOST.
        self._histories: dict[str, list[str]] = {}
        # Dialogs whose callers received a provisional answer.
        self._accepted: set[str] = set()

    def on_connection_lost(self, row: ConnectionLostRow) -> None:
        """Processes the loss of a caller's connection, for all its dialogs."""
        if row.peer not in self.callers:
            return
        for dialog in sorted(self._dialogs_by_caller.pop(row.peer, set())):
            # Every record ends with the loss of all callers' connections: without this check, answers that
            # were overdue by then and never sent would not be found.
            if (setup := self._pending.pop(dialog, None)) is not None:
                self._check_overdue(setup, row.at)
                self._disconnected[dialog] = setup
            self._histories.setdefault(dialog, []).append(CONNECTION_LOST)

    def on_message(self, row: MessageRow) -> None:
        """Processes a message between a caller and its edge proxy."""
        if row.sent:
            self._on_request(row)
        else:
            self._on_response(row)

    def finish(self, end: int) -> None:
        """Checks at the end of the record that no answer is overdue."""
        for setup in self._pending.values():
            self._check_overdue(setup, end)

    def _on_request(self, row: MessageRow) -> None:
        if row.kind == "setup":
            self._verdict.add_check(Rule.ONE_ANSWER)
            self._pending[row.dialog] = row
            self._dialogs_by_caller[row.peer].add(row.dialog)
            self._histories[row.dialog] = []
        elif row.kind == "resume":
            self._on_resume(row)

    def _on_resume(self, row: MessageRow) -> None:
        self._verdict.resumptions += 1
        history = self._histories.setdefault(row.dialog, [])
        if history and history[-1] == CONNECTION_LOST:
            history.pop()
        if (setup := self._disconnected.pop(row.dialog, None)) is not None:
            self._pending[row.dialog] = setup
        elif len(history) == 1 and history[0] in REPEATABLE_ANSWERS:
            history[0] = _from_earlier_connection(history[0])
        self._dialogs_by_caller[row.peer].add(row.dialog)

    def _on_response(self, row: MessageRow) -> None:
        history = self._histories.get(row.dialog, [])
        if row.kind == "provisional" and not history:
            self._accepted.add(row.dialog)
        elif history == [_from_earlier_connection(row.kind)]:
            self._histories[row.dialog] = [row.kind]
        elif row.kind == "unknown" and history == [_from_earlier_connection("stands")]:
            self._histories[row.dialog] = ["stands", "ended"]
            self._verdict.forgotten_dialogs += 1
        elif row.kind in FINAL_ANSWERS:
            self._on_final_answer(row)
        else:
            self._on_other_response(row, history)

    def _on_final_answer(self, row: MessageRow) -> None:
        if row.kind == "unknown" and row.dialog in self._accepted:
            self._add_violation(row.at, row.dialog, "unknown after a provisional answer")
        history = self._histories.setdefault(row.dialog, [])
        setup = self._pending.pop(row.dialog, None)
        self._dialogs_by_caller[row.peer].discard(row.dialog)
        if history:
            self._add_violation(row.at, row.dialog, f"{row.kind} after {history[-1]}")
        elif setup is not None and row.at > setup.at + setup.duration + self._slack:
            overdue = row.at - setup.at - setup.duration
            self._add_violation(row.at, row.dialog, f"{row.kind} {overdue} ns after the deadline")
        history.append(row.kind)

    def _on_other_response(self, row: MessageRow, history: list[str]) -> None:
        """Checks that provisional answers precede the final one, and that only established dialogs end."""
        is_end = row.kind == "ended"
        if (history or is_end) and (not is_end or history != ["stands"]):
            self._add_violation(
                row.at, row.dialog, f"{row.kind} after {history[-1] if history else 'no answer'}"
            )
        if history:
            history.append(row.kind)

    def _check_overdue(self, setup: MessageRow, now: int) -> None:
        until = setup.at + setup.duration
        if until + self._slack < now and not is_during(self._edge_stalls, setup.edge, until):
            self._add_violation(until, setup.dialog, "no final answer by the deadline")

    def _add_violation(self, at: int, dialog: str, text: str) -> None:
        self._verdict.add_violation(Rule.ONE_ANSWER, at, dialog, text)
