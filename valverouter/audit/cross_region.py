"""Finds cross-region set-ups: those that a server received from an edge proxy of another region."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass

from valverouter.audit.records import in_order, is_received_setup
from valverouter.signalling.traffic_record import PlacementRow, Row


@dataclass(frozen=True, slots=True)
class CrossRegionSetup:
    """A set-up received at time `at`, ns, in `server_region` from an edge proxy in `home_region`."""

    at: int
    traffic_type: str
    home_region: str
    server_region: str


def cross_region_setups(rows: Iterable[Row]) -> list[CrossRegionSetup]:
    """Returns all cross-region set-ups, by time."""
    found: list[CrossRegionSetup] = []
    regions: dict[str, str] = {}
    for row in in_order(rows):
        if isinstance(row, PlacementRow):
            regions[row.name] = row.region
        elif is_received_setup(row) and row.peer in regions:
            home_region, server_region = regions.get(row.edge, ""), regions[row.peer]
            if home_region != server_region:
                found.append(CrossRegionSetup(row.at, row.detail, home_region, server_region))
    return found


def max_in_window(times: list[int], window: int) -> int:
    """Returns the maximum number of `times` (sorted) within any window of `window` ns."""
    highest = first = 0
    for index, time in enumerate(times):
        while times[first] <= time - window:
            first += 1
        highest = max(highest, index - first + 1)
    return highest


def count_by_route(setups: Iterable[CrossRegionSetup]) -> Counter[tuple[str, str, str]]:
    """Counts set-ups by traffic type, home region and server region."""
    return Counter((setup.traffic_type, setup.home_region, setup.server_region) for setup in setups)
