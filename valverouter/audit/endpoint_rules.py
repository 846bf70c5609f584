"""Rules 3 and 4: no new dialogs at draining servers, and no overload of servers in slow start."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Sequence

from valverouter.audit.records import faults_of, is_during, is_received_setup
from valverouter.audit.verdict import Rule, Verdict
from valverouter.signalling.traffic_record import (
    AuditConfigRow,
    EndpointUpdateRow,
    FaultRow,
    MessageRow,
    Row,
    ServerStartedRow,
)

IN_SERVICE = "in-service"


def check_draining(rows: Sequence[Row], config: AuditConfigRow, verdict: Verdict) -> None:
    """Checks rule 3: an edge proxy sends no set-up to a server after an update that it drains or is gone.

    A restarted edge proxy has not received earlier updates. Set-ups that a server receives while its process
    is stopped may have been sent before the update, and are no violations.
    """
    # The time of the update that a server is out of service, by edge proxy and server.
    out_of_service: dict[tuple[str, str], int] = {}
    server_stalls = faults_of(rows, "held")
    for row in rows:
        if isinstance(row, EndpointUpdateRow):
            if row.phase == IN_SERVICE:
                out_of_service.pop((row.edge, row.server), None)
            else:
                out_of_service.setdefault((row.edge, row.server), row.at)
                verdict.add_check(Rule.DRAINING)
        elif isinstance(row, FaultRow) and row.kind == "balancer_crash":
            out_of_service = {key: at for key, at in out_of_service.items() if key[0] != row.target}
        elif is_received_setup(row) and (row.edge, row.peer) in out_of_service:
            verdict.add_check(Rule.DRAINING)
            elapsed = row.at - out_of_service[row.edge, row.peer]
            if elapsed > config.slack and not is_during(server_stalls, row.peer, row.at, config.slack):
                text = f"set-up of dialog {row.dialog} received {elapsed} ns after the update to {row.edge}"
                verdict.add_violation(Rule.DRAINING, row.at, row.peer, text)


def check_slow_start(rows: Sequence[Row], verdict: Verdict) -> None:
    """Checks rule 4: set-up work at a server in slow start stays below `overload_multiple` of its capacity.

    The set-ups of all edge proxies within any `overload_window` count together. The capacity is computed for
    the beginning of the window, when it is lowest.
    """
    starts: dict[str, ServerStartedRow] = {}
    # The times of set-ups within the current window, by server.
    recent: dict[str, list[int]] = defaultdict(list)
    for row in rows:
        if isinstance(row, ServerStartedRow):
            starts[row.server] = row
            recent[row.server] = []
        elif is_received_setup(row) and row.peer in starts:
            start = starts[row.peer]
            if row.at - start.at < start.slow_start_duration:
                _check_slow_start_setup(row, start, recent[row.peer], verdict)


def _check_slow_start_setup(
    row: MessageRow, start: ServerStartedRow, recent: list[int], verdict: Verdict
) -> None:
    verdict.add_check(Rule.SLOW_START)
    recent.append(row.at)
    while recent[0] <= row.at - start.overload_window:
        recent.pop(0)
    age = max(0, row.at - start.overload_window - start.at)
    initial = start.slow_start_fraction
    speed = initial + (1 - initial) * age / start.slow_start_duration
    used = len(recent) * start.setup_work / (start.overload_multiple * speed * start.overload_window)
    verdict.slow_start_budget_used = max(verdict.slow_start_budget_used, used)
    if used >= 1:
        text = f"{len(recent)} set-ups in a window, {used:.2f} of the overload limit"
        verdict.add_violation(Rule.SLOW_START, row.at, row.peer, text)
