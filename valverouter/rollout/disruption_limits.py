"""How many may be out at once, and how much must stay.

Out is whoever is draining, stopped, starting, back but cold, or away without leave: a crash uses up the room
that a drain would have had. Nothing here knows of time: who is out comes in by evidence alone.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from enum import Enum

from msgspec import Struct, field


class InstanceKind(Enum):
    """What can be out; the limits of one sort know nothing of the other's."""

    EDGE = "edge proxy"
    SERVER = "server"

    @property
    def plural(self) -> str:
        return "edge proxies" if self is InstanceKind.EDGE else "servers"


class Instance(Struct, frozen=True, rename={"kind": "sort"}):
    """An edge proxy or a core server. `capacity`: dialogs of an edge proxy, lines of a server; `processor`: a
    server's, in any unit that all of them share."""

    name: str
    kind: InstanceKind
    region: str
    capacity: int = 0
    processor: float = 0.0


class DisruptionLimits(
    Struct,
    frozen=True,
    rename={
        "max_unavailable": "most",
        "max_unavailable_per_region": "in_region",
        "region_overrides": "regions",
        "min_capacity_fraction": "least_capacity",
        "min_processor_fraction": "least_processor",
    },
):
    """For one sort. `most`: out at once in all; `in_region`: in any one region, with others by name in
    `regions`. `least_capacity`, `least_processor`: shares of a region's that must stay, 0 to 1."""

    max_unavailable: int
    max_unavailable_per_region: int
    region_overrides: Mapping[str, int] = field(default_factory=dict)
    min_capacity_fraction: float = 0.0
    min_processor_fraction: float = 0.0

    def max_unavailable_in(self, region: str) -> int:
        return self.region_overrides.get(region, self.max_unavailable_per_region)


@dataclass(frozen=True, slots=True)
class BudgetExceeded:
    """Which limit, how far it is used, and by whom."""

    limit: str
    allowed: float
    used: float
    instances: tuple[str, ...]

    def __str__(self) -> str:
        names = ", ".join(self.instances) or "nobody"
        return f"{self.limit}: {self.used:g} of {self.allowed:g}, used by {names}"


def check_budget(
    limits: DisruptionLimits, units: Iterable[Instance], out: Iterable[str], asked: Instance
) -> BudgetExceeded | None:
    """Why `asked` may not go out as well; None: it may. One that is out already uses no more room."""
    same = [unit for unit in units if unit.kind is asked.kind]
    gone = {unit.name for unit in same} & set(out)
    if asked.name in gone:
        return None
    if len(gone) + 1 > limits.max_unavailable:
        return BudgetExceeded(
            f"{asked.kind.plural} out at once", limits.max_unavailable, len(gone), tuple(sorted(gone))
        )
    here = [unit for unit in same if unit.region == asked.region]
    away = sorted(unit.name for unit in here if unit.name in gone)
    if len(away) + 1 > limits.max_unavailable_in(asked.region):
        what = f"{asked.kind.plural} out at once in {asked.region}"
        return BudgetExceeded(what, limits.max_unavailable_in(asked.region), len(away), tuple(away))
    stay = [unit for unit in here if unit.name not in gone and unit.name != asked.name]
    for what, least, whole, stays in (
        ("capacity", limits.min_capacity_fraction, _capacity(here), _capacity(stay)),
        ("processor", limits.min_processor_fraction, _processor(here), _processor(stay)),
    ):
        # Reckoned against the region's whole, so that what is away counts as missing and not as never there.
        if whole and stays < least * whole:
            return BudgetExceeded(f"least {what} of {asked.region}", least * whole, stays, tuple(away))
    return None


def _capacity(units: list[Instance]) -> float:
    return sum(unit.capacity for unit in units)


def _processor(units: list[Instance]) -> float:
    return sum(unit.processor for unit in units)


def find_unsatisfiable_limits(
    limits: DisruptionLimits, sort: InstanceKind, units: Iterable[Instance]
) -> list[str]:
    """Flaws by which no order could ever be met: those that contradict each other or the fleet."""
    flaws = []
    same = [unit for unit in units if unit.kind is sort]
    if limits.max_unavailable < 1 or limits.max_unavailable_per_region < 1:
        flaws.append(f"no {sort.value} could ever go out: the most is below 1")
    if limits.max_unavailable_per_region > limits.max_unavailable:
        flaws.append(
            f"more {sort.plural} may be out in a region ({limits.max_unavailable_per_region}) than in all ({limits.max_unavailable})"
        )
    if len(same) > 1 and limits.max_unavailable >= len(same):
        flaws.append(f"all {len(same)} {sort.plural} may be out at once")
    regions = Counter(unit.region for unit in same)
    for region in sorted(limits.region_overrides.keys() - regions.keys()):
        flaws.append(f"there is no {sort.value} in {region}")
    for region in sorted(regions):
        here = [unit for unit in same if unit.region == region]
        whole = sum(unit.capacity for unit in here)
        least = min((unit.capacity for unit in here), default=0)
        if whole and whole - least < limits.min_capacity_fraction * whole:
            flaws.append(
                f"no {sort.value} of {region} could go out: it would leave less than the least capacity"
            )
    return flaws


def plan_waves(
    limits: DisruptionLimits, units: list[Instance], out: Iterable[str], wanted: list[str]
) -> list[list[str]]:
    """`wanted` in the order in which they may go out together: one, then few, then as many as the limits let,
    each wave within a region, the regions in turn. ValueError with the refusal where one never could."""
    by_name = {unit.name: unit for unit in units}
    waiting: dict[str, list[str]] = {}
    for name in sorted(wanted):
        waiting.setdefault(by_name[name].region, []).append(name)
    whole = {region: len(names) for region, names in waiting.items()}
    made: list[list[str]] = []
    size = 1
    while any(waiting.values()):
        # The region with the most still to come, the smallest first: what a release harms is seen where least
        # depends on it, and beside those released there is somebody of their region to compare them with.
        region = max(
            (one for one in waiting if waiting[one]),
            key=lambda one: (len(waiting[one]) / whole[one], -whole[one], one),
        )
        wave: list[str] = []
        for name in waiting[region]:
            if len(wave) == size:
                break
            why = check_budget(limits, units, {*out, *wave}, by_name[name])
            if why is not None:
                if not wave:
                    raise ValueError(f"{name}: {why}")
                break
            wave.append(name)
        made.append(wave)
        waiting[region] = [name for name in waiting[region] if name not in wave]
        size *= 3
    return made
