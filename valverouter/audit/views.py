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

from valverouter.signalling.tap import Fault, Found, Ran, Row, Settles, Viewed


@dataclass(frozen=True, slots=True)
class Views:
    """`settled_after`: ns from the last fault's end, None: never; `allowed`: as stated. `gone_back`: observer
    and member. `false_deaths`: what was found wrongly, by whom and of whom."""

    settled_after: int | None
    allowed: int
    last_fault: int
    gone_back: tuple[tuple[str, str], ...]
    false_deaths: tuple[tuple[str, str], ...]
    conflicts: tuple[str, ...]
    why: str = ""

    @property
    def kept(self) -> bool:
        settled = self.settled_after is not None and self.settled_after <= self.allowed
        return settled and not self.gone_back


def judge_views(rows: Sequence[Row]) -> Views | None:
    """None where no view was kept on that day."""
    settles = next((row for row in rows if isinstance(row, Settles)), None)
    if settles is None:
        return None
    faults = [row for row in rows if isinstance(row, Fault)]
    last = max((fault.until for fault in faults if _touches(fault)), default=settles.at)
    # A process that a fault has started again settles from its own start on, if that is later.
    begins = [row.at for row in rows if isinstance(row, Ran) and row.begins]
    last = max([last, *(at for at in begins if at > last)], default=last)
    settled_at, why = _settled_at(rows, last)
    after = None if settled_at is None else max(0, settled_at - last)
    return Views(
        settled_after=after,
        allowed=settles.within + 2 * settles.every,
        last_fault=last,
        gone_back=tuple(_gone_back(rows)),
        false_deaths=tuple(_false_deaths(rows, faults, settles.within)),
        conflicts=tuple(sorted({r.edge for r in rows if isinstance(r, Found) and r.what == "conflict"})),
        why=why,
    )


def _touches(fault: Fault) -> bool:
    return fault.kind.startswith(("path-", "balancer_"))


def _settled_at(rows: Sequence[Row], last: int) -> tuple[int | None, str]:
    """The earliest moment from `last` on after which every view that was asked is the one right one."""
    running: dict[str, str] = {}
    latest: dict[str, Viewed] = {}
    good_since: int | None = None
    why = "no view was asked"
    for row in rows:
        if isinstance(row, Ran):
            if row.begins:
                running[row.edge] = row.life
            elif running.get(row.edge) == row.life:
                del running[row.edge]
            latest.pop(row.edge, None)
        elif isinstance(row, Viewed):
            latest[row.edge] = row
        else:
            continue
        flaw = _flaw(running, latest)
        if flaw:
            good_since, why = None, f"at {row.at}: {flaw}"
        elif good_since is None:
            good_since = row.at
    return (None if good_since is None else max(good_since, last)), why


def _flaw(running: dict[str, str], latest: dict[str, Viewed]) -> str:
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
    began = {row.life: row.at for row in rows if isinstance(row, Ran) and row.begins}
    seen: dict[tuple[str, str], dict[str, str]] = defaultdict(dict)
    wrong = []
    for row in rows:
        if not isinstance(row, Viewed):
            continue
        known = seen[row.edge, row.life]
        for name, life in row.members.items():
            before = known.get(name)
            if before is not None and began.get(life, 0) < began.get(before, 0):
                wrong.append((row.edge, name))
            known[name] = life
    return wrong


def _false_deaths(rows: Sequence[Row], faults: list[Fault], after: int) -> list[tuple[str, str]]:
    """Of those that ran and were not struck, nor their paths, at that time or shortly before."""
    lives = {row.life for row in rows if isinstance(row, Ran) and row.begins}
    ends = {row.life: row.at for row in rows if isinstance(row, Ran) and not row.begins}
    wrong = []
    for row in rows:
        if not isinstance(row, Found) or row.what != "gone" or row.member_life not in lives:
            continue
        if row.at >= ends.get(row.member_life, row.at + 1):
            continue
        struck = any(
            _touches(fault) and fault.target in (row.member, row.edge, "paths")
            for fault in faults
            if fault.at <= row.at <= fault.until + after
        )
        if not struck:
            wrong.append((row.edge, row.member))
    return wrong
