"""Cross-region usage by traffic type and pair of regions: the totals of a run, and its last hour by minute.

Memory is bounded by the number of traffic types and regions times RETAINED_MINUTES.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import Any, NamedTuple

MINUTE_NS = 60 * 1_000_000_000
RETAINED_MINUTES = 60

# The `minute` of rows with the totals of a run.
TOTALS_ROW = -1
# The `minute` of the row that records the instance itself.
INSTANCE_ROW = -2

Row = dict[str, Any]


class UsageKey(NamedTuple):
    """The key of usage counters: a traffic type and a pair of regions, in the direction of the attempts."""

    traffic_type: str
    home_region: str
    remote_region: str


@dataclass(slots=True)
class UsageCounters:
    """Counts of one usage key.

    `attempts` counts charged attempts, of which `reserve` were charged to the reserve and `overdraft`
    exceeded every budget. `not_sent` attempts were refunded because they were never sent; `reset` ones lost
    their connection. `established` attempts occupied lines for `circuit_ns` nanoseconds in total. `rejected`
    counts dialogs that were rejected although a remote server would have admitted them.
    """

    attempts: int = 0
    reserve: int = 0
    overdraft: int = 0
    not_sent: int = 0
    reset: int = 0
    established: int = 0
    circuit_ns: int = 0
    rejected: int = 0

    def add(self, other: UsageCounters) -> None:
        """Adds the counts of `other` to these; they may be negative."""
        for name in _COLUMN_OF_FIELD:
            setattr(self, name, getattr(self, name) + getattr(other, name))

    def to_row(self) -> dict[str, int]:
        """The counts by their column names, as they are stored and printed."""
        return {column: getattr(self, name) for name, column in _COLUMN_OF_FIELD.items()}

    @classmethod
    def from_row(cls, row: Row) -> UsageCounters:
        """The counts in a stored row; raises KeyError if one is missing."""
        return cls(**{name: row[column] for name, column in _COLUMN_OF_FIELD.items()})


# The column names are part of the stored rows and of the report's JSON; renaming a field doesn't change them.
_COLUMN_OF_FIELD = {
    "attempts": "legs",
    "reserve": "reserve",
    "overdraft": "overdraft",
    "not_sent": "unsent",
    "reset": "reset",
    "established": "stands",
    "circuit_ns": "circuit_ns",
    "rejected": "refused",
}
USAGE_COLUMNS = tuple(_COLUMN_OF_FIELD.values())


@dataclass(slots=True)
class CrossRegionUsage:
    """The usage of one edge proxy: the `totals` of its run, and `minutes` by the number of the minute."""

    totals: dict[UsageKey, UsageCounters] = field(default_factory=dict)
    minutes: dict[int, dict[UsageKey, UsageCounters]] = field(default_factory=dict)

    def record(self, now: int, key: UsageKey, counts: UsageCounters) -> None:
        """Adds `counts` to the totals and to the minute of `now`; removes minutes past their retention."""
        minute = now // MINUTE_NS
        if minute not in self.minutes:
            oldest = minute - RETAINED_MINUTES
            self.minutes = {number: usage for number, usage in self.minutes.items() if number > oldest}
            self.minutes[minute] = {}
        for usage in (self.totals, self.minutes[minute]):
            usage.setdefault(key, UsageCounters()).add(counts)

    def to_rows(self, edge: str, started_at: int, now: int) -> list[Row]:
        """The usage as rows for storage: the instance row, then the totals, then the minutes in order.

        The instance row is written even without any usage, to tell an instance that sent nothing to another
        region from one whose record is missing.
        """
        instance = {"edge": edge, "started_at": started_at, "until": now}
        periods = [(TOTALS_ROW, self.totals), *sorted(self.minutes.items())]
        return [instance | {"minute": INSTANCE_ROW}] + [
            instance | {"minute": minute} | _key_columns(key) | counters.to_row()
            for minute, usage in periods
            for key, counters in sorted(usage.items())
        ]


def _key_columns(key: UsageKey) -> Row:
    return {"traffic_type": key.traffic_type, "home": key.home_region, "away": key.remote_region}


def merge_totals(records: Iterable[list[Row]]) -> dict[UsageKey, UsageCounters]:
    """The sums of the totals in the records of many instances, sorted by key."""
    merged: dict[UsageKey, UsageCounters] = {}
    for rows in records:
        for row in rows:
            if row["minute"] == TOTALS_ROW:
                key = UsageKey(row["traffic_type"], row["home"], row["away"])
                merged.setdefault(key, UsageCounters()).add(UsageCounters.from_row(row))
    return dict(sorted(merged.items()))


def attempts_by_minute(records: Iterable[list[Row]]) -> dict[int, int]:
    """Cross-region attempts of all instances in each recorded minute, by each instance's own clock."""
    minutes: dict[int, int] = {}
    for rows in records:
        for row in rows:
            if row["minute"] >= 0:
                attempts = row[_COLUMN_OF_FIELD["attempts"]]
                minutes[row["minute"]] = minutes.get(row["minute"], 0) + attempts
    return minutes


def missing_records(records: Iterable[list[Row]], expected: int) -> list[str]:
    """Lines of text about missing records: how many of the `expected` edge proxies have none."""
    edges = {row["edge"] for rows in records for row in rows}
    if len(edges) < expected:
        return [f"{expected - len(edges)} of {expected} edge proxies left no record"]
    return []
