"""Legs that crossed from one region to another, counted at the servers' end."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass

from valverouter.signalling.tap import MessageRow, PlacementRow, Row


@dataclass(frozen=True, slots=True)
class CrossRegionSetup:
    """A set-up that came from another region."""

    at: int
    traffic_type: str
    home: str
    away: str


def cross_region_setups(rows: Iterable[Row]) -> list[CrossRegionSetup]:
    """Every set-up that a server heard from an edge proxy of another region, in order."""
    found: list[CrossRegionSetup] = []
    regions: dict[str, str] = {}
    for row in sorted(rows, key=lambda row: (row.at, row.seq)):
        if isinstance(row, PlacementRow):
            regions[row.name] = row.region
        elif isinstance(row, MessageRow) and not row.sent and row.kind == "setup" and row.peer in regions:
            home, away = regions.get(row.edge, ""), regions[row.peer]
            if home != away:
                found.append(CrossRegionSetup(row.at, row.detail, home, away))
    return found


def max_in_window(times: list[int], window: int) -> int:
    """The most of these moments that any window of that length holds."""
    most = first = 0
    for at, time in enumerate(times):
        while times[first] <= time - window:
            first += 1
        most = max(most, at - first + 1)
    return most


def count_by_route(found: Iterable[CrossRegionSetup]) -> Counter[tuple[str, str, str]]:
    """How many crossed, by traffic type, home and away."""
    return Counter((one.traffic_type, one.home, one.away) for one in found)
