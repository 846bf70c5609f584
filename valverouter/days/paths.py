"""What befalls the paths between a day's edge proxies, in the words of the paths' model."""

from __future__ import annotations

from collections.abc import Callable

from valverouter.servermodel.paths import PathFault, Paths
from valverouter.terms.day import Day


def path_faults(day: Day, origin: int = 0) -> list[PathFault]:
    """The day's faults, with moments counted from `origin`."""
    return [
        PathFault(
            kind=one.kind,
            start=origin + one.start,
            until=origin + one.start + one.length,
            senders=day.edges_of(one.senders),
            receivers=day.edges_of(one.receivers),
            both=one.both,
            share=one.share,
            span=one.span,
            jitter=one.jitter,
            groups=tuple(day.edges_of((group,)) for group in one.groups),
        )
        for one in day.paths.values()
    ]


def paths_of(day: Day, draw: Callable[[], float], origin: int = 0) -> Paths:
    """Every pair's path, with the day's own delays within and between regions."""
    regions = {f"e{place}": day.region_of_edge(place) for place in range(day.fleet.edge_proxies)}

    def delay(sender: str, receiver: str) -> int:
        near = regions.get(sender) == regions.get(receiver)
        base = day.delays.same if near else day.delays.cross
        return int(base * (1 + day.delays.jitter * (2 * draw() - 1)))

    return Paths(path_faults(day, origin), draw, delay)
