"""Instances and a permit register for tests of the rollout package."""

from __future__ import annotations

from valverouter.rollout.disruption_limits import DisruptionLimits, Instance, InstanceKind
from valverouter.rollout.disruption_permits import EnrollInstances, PermitRegister


def edge_proxies(count: int = 6, regions: tuple[str, ...] = ("north", "south")) -> list[Instance]:
    """Edge proxies with a capacity of 100 dialogs, assigned to the regions in turn."""
    return [
        Instance(f"e{index}", InstanceKind.EDGE, regions[index % len(regions)], 100) for index in range(count)
    ]


def permit_register(limits: DisruptionLimits | None = None, count: int = 6) -> PermitRegister:
    """A register with edge proxies, enrolled by command 1."""
    register = PermitRegister()
    enrolled = ((InstanceKind.EDGE, limits or DisruptionLimits(2, 1)),)
    register.apply(1, EnrollInstances(tuple(edge_proxies(count)), enrolled))
    return register
