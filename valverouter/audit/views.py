"""Checks from rows whether the membership views of a scenario's edge proxies converged.

converged     within the time allowed after the last fault, and until the end, the views of all running edge
              proxies have the same digest, and their live members are exactly the running edge proxies
regressions   a view returned from a later incarnation of a member to an earlier one
false         a running process that no fault had affected was declared failed
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Sequence
from dataclasses import dataclass

from valverouter.signalling.traffic_record import (
    ConvergenceDeadlineRow,
    EdgeProcessRow,
    FaultRow,
    MembershipEventRow,
    MembershipViewRow,
    Row,
)

# Kinds of faults that affect membership begin with one of these.
MEMBERSHIP_FAULT_PREFIXES = ("path-", "balancer_")
# The target of a fault on all paths between edge proxies.
ALL_PATHS = "paths"


@dataclass(frozen=True, slots=True)
class ViewReport:
    """The result of the check; times in ns.

    `converged_after`: the time from the last fault to convergence, or None if the views never converged;
    `reason` says why. `max_duration`: the time allowed. `regressions` and `false_failures`: pairs of observer
    and member. `conflicts`: edge proxies that reported a name conflict.
    """

    converged_after: int | None
    max_duration: int
    last_fault_at: int
    regressions: tuple[tuple[str, str], ...]
    false_failures: tuple[tuple[str, str], ...]
    conflicts: tuple[str, ...]
    reason: str = ""

    @property
    def passed(self) -> bool:
        """Whether the views converged in time and had no regressions."""
        converged = self.converged_after is not None and self.converged_after <= self.max_duration
        return converged and not self.regressions


def check_views(rows: Sequence[Row]) -> ViewReport | None:
    """Returns the report of a scenario run, or None if its record has no convergence deadline."""
    deadline = next((row for row in rows if isinstance(row, ConvergenceDeadlineRow)), None)
    if deadline is None:
        return None
    faults = [row for row in rows if isinstance(row, FaultRow)]
    last_fault = _last_fault_at(rows, faults, deadline.at)
    converged_at, reason = _converged_at(rows, last_fault)
    conflicts = {row.edge for row in rows if isinstance(row, MembershipEventRow) and row.kind == "conflict"}
    return ViewReport(
        converged_after=None if converged_at is None else max(0, converged_at - last_fault),
        max_duration=deadline.max_duration + 2 * deadline.poll_interval,
        last_fault_at=last_fault,
        regressions=tuple(_regressions(rows)),
        false_failures=tuple(_false_failures(rows, faults, deadline.max_duration)),
        conflicts=tuple(sorted(conflicts)),
        reason=reason,
    )


def _last_fault_at(rows: Sequence[Row], faults: Sequence[FaultRow], default: int) -> int:
    """Returns the end of the last fault, or the last start of a process if that is later.

    Convergence after a restart is measured from the start of the process.
    """
    last = max((fault.until for fault in faults if _affects_membership(fault)), default=default)
    starts = [row.at for row in rows if isinstance(row, EdgeProcessRow) and row.is_start]
    return max([last, *starts])


def _affects_membership(fault: FaultRow) -> bool:
    return fault.kind.startswith(MEMBERSHIP_FAULT_PREFIXES)


def _converged_at(rows: Sequence[Row], last_fault: int) -> tuple[int | None, str]:
    """Returns the time from which all polled views stay correct, and the last reason why they were not."""
    running: dict[str, str] = {}
    latest: dict[str, MembershipViewRow] = {}
    correct_since: int | None = None
    reason = "no view was polled"
    for row in rows:
        if isinstance(row, EdgeProcessRow):
            _update_running(running, row)
            latest.pop(row.edge, None)
        elif isinstance(row, MembershipViewRow):
            latest[row.edge] = row
        else:
            continue
        if problem := _problem(running, latest):
            correct_since, reason = None, f"at {row.at}: {problem}"
        elif correct_since is None:
            correct_since = row.at
    return (None if correct_since is None else max(correct_since, last_fault)), reason


def _update_running(running: dict[str, str], row: EdgeProcessRow) -> None:
    """Updates the incarnations of running edge proxies with the start or the end of a process."""
    if row.is_start:
        running[row.edge] = row.incarnation
    elif running.get(row.edge) == row.incarnation:
        del running[row.edge]


def _problem(running: dict[str, str], latest: dict[str, MembershipViewRow]) -> str:
    """Returns what is wrong with the latest views, or an empty string if all are correct."""
    for edge in running:
        if edge not in latest:
            return f"{edge} was not polled yet"
    if len({view.digest for view in latest.values()}) > 1:
        return "digests differ"
    for edge, view in latest.items():
        if view.members != running:
            wrong = sorted(set(view.members.items()) ^ set(running.items()))
            return f"{edge} has a wrong entry for {wrong[0][0]}"
    return ""


def _regressions(rows: Sequence[Row]) -> list[tuple[str, str]]:
    """Returns observer and member for each return of a view to an earlier incarnation of the member."""
    started_at = {row.incarnation: row.at for row in rows if isinstance(row, EdgeProcessRow) and row.is_start}
    last_seen: dict[tuple[str, str], dict[str, str]] = defaultdict(dict)
    found = []
    for row in rows:
        if not isinstance(row, MembershipViewRow):
            continue
        known = last_seen[row.edge, row.incarnation]
        for name, incarnation in row.members.items():
            previous = known.get(name)
            if previous is not None and started_at.get(incarnation, 0) < started_at.get(previous, 0):
                found.append((row.edge, name))
            known[name] = incarnation
    return found


def _false_failures(rows: Sequence[Row], faults: Sequence[FaultRow], grace: int) -> list[tuple[str, str]]:
    """Returns observer and member for each running process declared failed without a recent fault."""
    processes = [row for row in rows if isinstance(row, EdgeProcessRow)]
    started = {row.incarnation for row in processes if row.is_start}
    ended_at = {row.incarnation: row.at for row in processes if not row.is_start}
    found = []
    for row in rows:
        if not isinstance(row, MembershipEventRow) or row.kind != "gone":
            continue
        if row.member_incarnation not in started:
            continue
        was_running = row.at < ended_at.get(row.member_incarnation, row.at + 1)
        if was_running and not _had_fault(row, faults, grace):
            found.append((row.edge, row.member))
    return found


def _had_fault(event: MembershipEventRow, faults: Sequence[FaultRow], grace: int) -> bool:
    targets = (event.member, event.edge, ALL_PATHS)
    return any(
        _affects_membership(fault) and fault.target in targets and fault.at <= event.at <= fault.until + grace
        for fault in faults
    )
