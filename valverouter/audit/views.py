"""Whether the views of a day's edge proxies became one, judged from rows and from nothing of their own.

settled    within the stated span after the last fault, and from then on, all who run have one digest, and
           believe exactly those to be there who run
former     nobody who had a member's later process in view goes back to an earlier one
false      how often a process that ran, and that no fault had struck, was said to be gone
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Sequence
from dataclasses import dataclass

from valverouter.signalling.tap import (
    ConvergenceDeadlineRow,
    EdgeProcessRow,
    FaultRow,
    MembershipEventRow,
    MembershipViewRow,
    Row,
)


@dataclass(frozen=True, slots=True)
class ViewReport:
    """`settled_after`: ns from the last fault's end, None: never; `allowed`: as stated. `gone_back`: observer
    and member. `false_deaths`: what was found wrongly, by whom and of whom."""

    converged_after: int | None
    max_duration: int
    last_fault_at: int
    regressions: tuple[tuple[str, str], ...]
    false_failures: tuple[tuple[str, str], ...]
    conflicts: tuple[str, ...]
    reason: str = ""

    @property
    def passed(self) -> bool:
        settled = self.converged_after is not None and self.converged_after <= self.max_duration
        return settled and not self.regressions


def check_views(rows: Sequence[Row]) -> ViewReport | None:
    """None where no view was kept on that day."""
    settles = next((row for row in rows if isinstance(row, ConvergenceDeadlineRow)), None)
    if settles is None:
        return None
    faults = [row for row in rows if isinstance(row, FaultRow)]
    last = max((fault.until for fault in faults if _touches(fault)), default=settles.at)
    # A process that a fault has started again settles from its own start on, if that is later.
    begins = [row.at for row in rows if isinstance(row, EdgeProcessRow) and row.is_start]
    last = max([last, *(at for at in begins if at > last)], default=last)
    settled_at, why = _settled_at(rows, last)
    after = None if settled_at is None else max(0, settled_at - last)
    return ViewReport(
        converged_after=after,
        max_duration=settles.max_duration + 2 * settles.poll_interval,
        last_fault_at=last,
        regressions=tuple(_gone_back(rows)),
        false_failures=tuple(_false_deaths(rows, faults, settles.max_duration)),
        conflicts=tuple(
            sorted({r.edge for r in rows if isinstance(r, MembershipEventRow) and r.kind == "conflict"})
        ),
        reason=why,
    )


def _touches(fault: FaultRow) -> bool:
    return fault.kind.startswith(("path-", "balancer_"))


def _settled_at(rows: Sequence[Row], last: int) -> tuple[int | None, str]:
    """The earliest moment from `last` on after which every view that was asked is the one right one."""
    running: dict[str, str] = {}
    latest: dict[str, MembershipViewRow] = {}
    good_since: int | None = None
    why = "no view was asked"
    for row in rows:
        if isinstance(row, EdgeProcessRow):
            if row.is_start:
                running[row.edge] = row.incarnation
            elif running.get(row.edge) == row.incarnation:
                del running[row.edge]
            latest.pop(row.edge, None)
        elif isinstance(row, MembershipViewRow):
            latest[row.edge] = row
        else:
            continue
        flaw = _flaw(running, latest)
        if flaw:
            good_since, why = None, f"at {row.at}: {flaw}"
        elif good_since is None:
            good_since = row.at
    return (None if good_since is None else max(good_since, last)), why


def _flaw(running: dict[str, str], latest: dict[str, MembershipViewRow]) -> str:
    for edge in running:
        if edge not in latest:
            return f"{edge} was not heard of yet"
    if len({view.digest for view in latest.values()}) > 1:
        return "digests differ"
    for edge, view in latest.items():
        if view.members != running:
            wrong = sorted(set(view.members.items()) ^ set(running.items()))
            return f"{edge} is wrong about {wrong[0][0]}"
    return ""


def _gone_back(rows: Sequence[Row]) -> list[tuple[str, str]]:
    """Who, having seen a member's later process, took an earlier one for present again."""
    began = {row.incarnation: row.at for row in rows if isinstance(row, EdgeProcessRow) and row.is_start}
    seen: dict[tuple[str, str], dict[str, str]] = defaultdict(dict)
    wrong = []
    for row in rows:
        if not isinstance(row, MembershipViewRow):
            continue
        known = seen[row.edge, row.incarnation]
        for name, life in row.members.items():
            before = known.get(name)
            if before is not None and began.get(life, 0) < began.get(before, 0):
                wrong.append((row.edge, name))
            known[name] = life
    return wrong


def _false_deaths(rows: Sequence[Row], faults: list[FaultRow], after: int) -> list[tuple[str, str]]:
    """Of those that ran and were not struck, nor their paths, at that time or shortly before."""
    lives = {row.incarnation for row in rows if isinstance(row, EdgeProcessRow) and row.is_start}
    ends = {row.incarnation: row.at for row in rows if isinstance(row, EdgeProcessRow) and not row.is_start}
    wrong = []
    for row in rows:
        if (
            not isinstance(row, MembershipEventRow)
            or row.kind != "gone"
            or row.member_incarnation not in lives
        ):
            continue
        if row.at >= ends.get(row.member_incarnation, row.at + 1):
            continue
        struck = any(
            _touches(fault) and fault.target in (row.member, row.edge, "paths")
            for fault in faults
            if fault.at <= row.at <= fault.until + after
        )
        if not struck:
            wrong.append((row.edge, row.member))
    return wrong
