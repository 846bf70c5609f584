"""Whether a day's orders were carried out as they should be, judged from rows of keepers' own logs.

limits    never more taken out by orders at once than allowed, in all and in a region: out is from the begin
          of a turn until a turn is done that leaves the instance running
once      no turn was begun twice
told      whoever an order tells as done, drained or returned has ended a turn of that permit
back      whoever a halted release had brought to its version runs the former one at the end, unless a later
          order wanted otherwise
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Sequence
from dataclasses import dataclass

from valverouter.signalling.tap import (
    DisruptionLimitsRow,
    OperationRow,
    PlacementRow,
    ProgramVersionRow,
    Row,
    StepRow,
)

COMPLETED_STEPS = ("done", "drained", "returned")


@dataclass(frozen=True, slots=True)
class OperationsReport:
    """`broken`: each breach in one line. `turns`: how many were begun; `most_out`: at once."""

    violations: tuple[str, ...]
    steps_started: int
    max_unavailable: int
    outcomes: dict[str, int]

    @property
    def passed(self) -> bool:
        return not self.violations


def check_operations(rows: Sequence[Row]) -> OperationsReport | None:
    """None where nothing could be ordered on that day."""
    limits = next((row for row in rows if isinstance(row, DisruptionLimitsRow)), None)
    if limits is None:
        return None
    regions = {row.name: row.region for row in rows if isinstance(row, PlacementRow)}
    broken: list[str] = []
    out: dict[str, int] = {}
    begun: Counter[tuple[str, int, int]] = Counter()
    ended: set[tuple[str, int]] = set()
    runs: dict[str, str] = {}
    most_out = 0
    for row in sorted(
        (r for r in rows if isinstance(r, StepRow | ProgramVersionRow)), key=lambda r: (r.at, r.seq)
    ):
        if isinstance(row, ProgramVersionRow):
            if row.version:
                runs[row.edge] = row.version
            continue
        if row.outcome:
            if row.outcome == "done":
                ended.add((row.edge, row.number))
                if row.runs_after:
                    out.pop(row.edge, None)
            continue
        begun[row.edge, row.number, row.step] += 1
        out[row.edge] = row.at
        most_out = max(most_out, len(out))
        if len(out) > limits.max_unavailable:
            broken.append(f"limits: {sorted(out)} are out at once, {limits.max_unavailable} may be")
        here = [name for name in out if regions.get(name) == regions.get(row.edge)]
        if len(here) > limits.max_unavailable_per_region:
            broken.append(f"limits: {sorted(here)} of {regions.get(row.edge)} are out at once")
    broken += [
        f"once: {name} began turn {number}/{step} {times} times"
        for (name, number, step), times in begun.items()
        if times > 1
    ]
    orders = [row for row in rows if isinstance(row, OperationRow)]
    for at, order in enumerate(orders):
        later = {name for one in orders[at + 1 :] for name in one.members}
        for name, (step, number, former) in order.members.items():
            if step in COMPLETED_STEPS and (name, number) not in ended:
                broken.append(f"told: {order.operation} tells {name} as {step}, and it did nothing")
            halted = order.kind == "release" and order.result == "halted"
            if halted and number and name not in later and runs.get(name) != former:
                broken.append(
                    f"back: {name} runs {runs.get(name)} after {order.operation}, {former} before it"
                )
    ends = Counter(f"{order.kind}: {order.result or order.phase}" for order in orders)
    return OperationsReport(tuple(broken), sum(begun.values()), most_out, dict(ends))
