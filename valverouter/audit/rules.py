"""Checks a traffic record against the five rules.

The checks read only rows: the messages that callers, servers and the endpoint-list service sent and received.
The record's `slack` is the tolerance between the clocks of two processes; in virtual time it is 0 and the
checks are exact.
"""

from __future__ import annotations

from collections.abc import Iterable

from valverouter.audit.answer_rule import check_answers
from valverouter.audit.attempt_rules import check_attempts
from valverouter.audit.endpoint_rules import check_draining, check_slow_start
from valverouter.audit.records import in_order
from valverouter.audit.verdict import Verdict
from valverouter.signalling.traffic_record import AuditConfigRow, Row


def audit(rows: Iterable[Row]) -> Verdict:
    """Checks all five rules over a whole record; raises ValueError if it has no AuditConfigRow."""
    ordered = in_order(rows)
    config = next((row for row in ordered if isinstance(row, AuditConfigRow)), None)
    if config is None:
        raise ValueError("the record has no terms row, so there is nothing to check it against")
    verdict = Verdict()
    check_answers(ordered, config, verdict)
    check_attempts(ordered, config, verdict)
    check_draining(ordered, config, verdict)
    check_slow_start(ordered, verdict)
    return verdict
