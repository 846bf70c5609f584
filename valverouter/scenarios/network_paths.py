"""Builds the network paths between a scenario's edge proxies, with its delays and faults."""

from __future__ import annotations

from collections.abc import Callable, Mapping

from valverouter.config.scenario import ScenarioConfig
from valverouter.servermodel.paths import NetworkPaths, PathFault


def path_faults(
    scenario: ScenarioConfig, origin: int = 0, regions: Mapping[str, str] | None = None
) -> list[PathFault]:
    """Returns the scenario's path faults with times relative to `origin`, ns.

    `regions`: the region of each member, if they are not the scenario's own edge proxies.
    """
    regions = scenario.edge_regions if regions is None else regions
    return [
        PathFault(
            kind=fault.kind,
            start=origin + fault.start,
            until=origin + fault.start + fault.length,
            senders=scenario.edges_of(fault.senders, regions),
            receivers=scenario.edges_of(fault.receivers, regions),
            bidirectional=fault.both,
            probability=fault.share,
            delay=fault.span,
            jitter=fault.jitter,
            groups=tuple(scenario.edges_of((group,), regions) for group in fault.groups),
        )
        for fault in scenario.paths.values()
    ]


def network_paths(
    scenario: ScenarioConfig,
    draw: Callable[[], float],
    origin: int = 0,
    regions: Mapping[str, str] | None = None,
) -> NetworkPaths:
    """Returns the paths of all pairs, with the scenario's faults and its intra- and inter-region delays."""
    regions = scenario.edge_regions if regions is None else regions

    def delay(sender: str, receiver: str) -> int:
        in_same_region = regions.get(sender) == regions.get(receiver)
        base = scenario.delays.same if in_same_region else scenario.delays.cross
        return int(base * (1 + scenario.delays.jitter * (2 * draw() - 1)))

    return NetworkPaths(path_faults(scenario, origin, regions), draw, delay)
