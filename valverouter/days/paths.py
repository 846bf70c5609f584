"""What befalls the paths between a day's edge proxies, in the words of the paths' model."""

from __future__ import annotations

from collections.abc import Callable, Mapping

from valverouter.servermodel.paths import NetworkPaths, PathFault
from valverouter.terms.day import ScenarioConfig


def path_faults(
    day: ScenarioConfig, origin: int = 0, regions: Mapping[str, str] | None = None
) -> list[PathFault]:
    """The day's faults, with moments counted from `origin`; `regions`: of another fleet, by name."""
    regions = day.edge_regions if regions is None else regions
    return [
        PathFault(
            kind=one.kind,
            start=origin + one.start,
            until=origin + one.start + one.length,
            senders=day.edges_of(one.senders, regions),
            receivers=day.edges_of(one.receivers, regions),
            bidirectional=one.both,
            probability=one.share,
            delay=one.span,
            jitter=one.jitter,
            groups=tuple(day.edges_of((group,), regions) for group in one.groups),
        )
        for one in day.paths.values()
    ]


def network_paths(
    day: ScenarioConfig, draw: Callable[[], float], origin: int = 0, regions: Mapping[str, str] | None = None
) -> NetworkPaths:
    """Every pair's path, with the day's own delays within and between regions."""
    places = day.edge_regions if regions is None else regions

    def delay(sender: str, receiver: str) -> int:
        near = places.get(sender) == places.get(receiver)
        base = day.delays.same if near else day.delays.cross
        return int(base * (1 + day.delays.jitter * (2 * draw() - 1)))

    return NetworkPaths(path_faults(day, origin, places), draw, delay)
