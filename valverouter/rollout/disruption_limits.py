"""Limits on simultaneously unavailable instances, and the capacity that must remain available.

The equivalent in Kubernetes is a pod disruption budget. An instance is unavailable while it is draining,
stopped, starting or warming up, and after it was lost without a permit: a crash uses up the same limits as a
drain. Nothing here depends on time, because only evidence makes an instance available again.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable, Iterator, Mapping
from dataclasses import dataclass
from enum import Enum

from msgspec import Struct, field

# Factor by which the maximum size of a wave grows from wave to wave.
WAVE_GROWTH = 3


class InstanceKind(Enum):
    """The kind of an instance. Each kind has its own limits and is counted separately."""

    EDGE = "edge proxy"
    SERVER = "server"

    @property
    def plural(self) -> str:
        """The plural name of the kind, for messages."""
        return "edge proxies" if self is InstanceKind.EDGE else "servers"


class Instance(Struct, frozen=True, rename={"kind": "sort"}):
    """An edge proxy or a core server of the fleet.

    `capacity` is the number of dialogs of an edge proxy or of lines of a server. `processor` is a server's
    processor power, in the same unit for all servers.
    """

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
    """The limits of one kind of instance.

    `max_unavailable` applies to the whole fleet, `max_unavailable_per_region` to each region without an entry
    in `region_overrides`. The minimum fractions, 0 to 1, of a region's total capacity and processor power
    must stay available.
    """

    max_unavailable: int
    max_unavailable_per_region: int
    region_overrides: Mapping[str, int] = field(default_factory=dict)
    min_capacity_fraction: float = 0.0
    min_processor_fraction: float = 0.0

    def max_unavailable_in(self, region: str) -> int:
        """The maximum number of simultaneously unavailable instances in `region`."""
        return self.region_overrides.get(region, self.max_unavailable_per_region)


@dataclass(frozen=True, slots=True)
class ExceededLimit:
    """A limit that one more unavailable instance would exceed, with its present use.

    `instances` are the unavailable instances that are counted. For a minimum, `allowed` is the minimum and
    `used` what would remain available.
    """

    limit: str
    allowed: float
    used: float
    instances: tuple[str, ...]

    def __str__(self) -> str:
        """The limit and its use, as shown to operators in a rejection."""
        names = ", ".join(self.instances) or "nobody"
        return f"{self.limit}: {self.used:g} of {self.allowed:g}, used by {names}"


class UnsatisfiableLimitsError(ValueError):
    """An instance could never become unavailable within the limits, even if all others were available."""

    def __init__(self, instance: str, exceeded: ExceededLimit) -> None:
        """`instance` is the name of that instance, `exceeded` the limit that it would exceed."""
        super().__init__(f"{instance}: {exceeded}")
        self.instance = instance
        self.exceeded = exceeded


def find_exceeded_limit(
    limits: DisruptionLimits, fleet: Iterable[Instance], unavailable: Iterable[str], candidate: Instance
) -> ExceededLimit | None:
    """The limit that would be exceeded if `candidate` became unavailable as well; None: there is none.

    `unavailable` are the names of unavailable instances of any kind. If the candidate is one of them, no
    limit is exceeded, since the use does not change.
    """
    peers = [instance for instance in fleet if instance.kind is candidate.kind]
    unavailable_peers = {instance.name for instance in peers} & set(unavailable)
    if candidate.name in unavailable_peers:
        return None
    if len(unavailable_peers) + 1 > limits.max_unavailable:
        limit = f"{candidate.kind.plural} out at once"
        return ExceededLimit(
            limit, limits.max_unavailable, len(unavailable_peers), tuple(sorted(unavailable_peers))
        )
    region = [instance for instance in peers if instance.region == candidate.region]
    return _exceeded_count_in_region(limits, region, unavailable_peers, candidate) or _exceeded_minimum(
        limits, region, unavailable_peers, candidate
    )


def _exceeded_count_in_region(
    limits: DisruptionLimits, region: list[Instance], unavailable: set[str], candidate: Instance
) -> ExceededLimit | None:
    unavailable_in_region = _names_in(region, unavailable)
    allowed = limits.max_unavailable_in(candidate.region)
    if len(unavailable_in_region) + 1 <= allowed:
        return None
    limit = f"{candidate.kind.plural} out at once in {candidate.region}"
    return ExceededLimit(limit, allowed, len(unavailable_in_region), unavailable_in_region)


def _exceeded_minimum(
    limits: DisruptionLimits, region: list[Instance], unavailable: set[str], candidate: Instance
) -> ExceededLimit | None:
    """The minimum of capacity or processor power that the region would fall below; None: there is none.

    Each minimum is a fraction of the region's total including unavailable instances: otherwise a loss of
    instances would lower the minimum.
    """
    remaining = [
        instance
        for instance in region
        if instance.name not in unavailable and instance.name != candidate.name
    ]
    for resource, fraction, total, available in (
        ("capacity", limits.min_capacity_fraction, _capacity(region), _capacity(remaining)),
        ("processor", limits.min_processor_fraction, _processor(region), _processor(remaining)),
    ):
        if total and available < fraction * total:
            limit = f"least {resource} of {candidate.region}"
            return ExceededLimit(limit, fraction * total, available, _names_in(region, unavailable))
    return None


def _names_in(region: list[Instance], unavailable: set[str]) -> tuple[str, ...]:
    return tuple(sorted(instance.name for instance in region if instance.name in unavailable))


def _capacity(instances: Iterable[Instance]) -> float:
    return sum(instance.capacity for instance in instances)


def _processor(instances: Iterable[Instance]) -> float:
    return sum(instance.processor for instance in instances)


def find_unsatisfiable_limits(
    limits: DisruptionLimits, kind: InstanceKind, fleet: Iterable[Instance]
) -> list[str]:
    """Problems with limits that contradict each other or that no operation in this fleet could satisfy."""
    instances = [instance for instance in fleet if instance.kind is kind]
    return [*_contradictions(limits, kind, len(instances)), *_region_problems(limits, kind, instances)]


def _contradictions(limits: DisruptionLimits, kind: InstanceKind, count: int) -> Iterator[str]:
    in_fleet, in_region = limits.max_unavailable, limits.max_unavailable_per_region
    if in_fleet < 1 or in_region < 1:
        yield f"no {kind.value} could ever go out: the most is below 1"
    if in_region > in_fleet:
        yield f"more {kind.plural} may be out in a region ({in_region}) than in all ({in_fleet})"
    if count > 1 and in_fleet >= count:
        yield f"all {count} {kind.plural} may be out at once"


def _region_problems(
    limits: DisruptionLimits, kind: InstanceKind, instances: list[Instance]
) -> Iterator[str]:
    regions = Counter(instance.region for instance in instances)
    for region in sorted(limits.region_overrides.keys() - regions.keys()):
        yield f"there is no {kind.value} in {region}"
    for region in sorted(regions):
        capacities = [instance.capacity for instance in instances if instance.region == region]
        total = sum(capacities)
        if total and total - min(capacities) < limits.min_capacity_fraction * total:
            yield f"no {kind.value} of {region} could go out: it would leave less than the least capacity"


def plan_waves(
    limits: DisruptionLimits, fleet: list[Instance], unavailable: Iterable[str], names: list[str]
) -> list[list[str]]:
    """Splits `names` into waves, in order, each of which may be unavailable as a whole.

    The first wave has one instance. The maximum size grows by `WAVE_GROWTH` from wave to wave, and the limits
    may allow less. Each wave is in one region; `_next_region` chooses it. Raises UnsatisfiableLimitsError if
    an instance could never become unavailable.
    """
    by_name = {instance.name: instance for instance in fleet}
    remaining: dict[str, list[str]] = {}
    for name in sorted(names):
        remaining.setdefault(by_name[name].region, []).append(name)
    totals = {region: len(in_region) for region, in_region in remaining.items()}
    waves: list[list[str]] = []
    max_size = 1
    while any(remaining.values()):
        region = _next_region(remaining, totals)
        candidates = [by_name[name] for name in remaining[region][:max_size]]
        wave = _largest_wave(limits, fleet, unavailable, candidates)
        waves.append(wave)
        remaining[region] = [name for name in remaining[region] if name not in wave]
        max_size *= WAVE_GROWTH
    return waves


def _next_region(remaining: Mapping[str, list[str]], totals: Mapping[str, int]) -> str:
    """The region with the largest remaining fraction; of equal ones, the region with the fewest instances.

    A harmful release is then detected where the fewest instances are affected, and released instances can be
    compared with unreleased ones of their region.
    """
    return max(
        (region for region in remaining if remaining[region]),
        key=lambda region: (len(remaining[region]) / totals[region], -totals[region], region),
    )


def _largest_wave(
    limits: DisruptionLimits, fleet: list[Instance], unavailable: Iterable[str], candidates: list[Instance]
) -> list[str]:
    """The longest prefix of `candidates` that the limits allow, at least one instance."""
    wave: list[str] = []
    for candidate in candidates:
        exceeded = find_exceeded_limit(limits, fleet, {*unavailable, *wave}, candidate)
        if exceeded is not None:
            if not wave:
                raise UnsatisfiableLimitsError(candidate.name, exceeded)
            break
        wave.append(candidate.name)
    return wave
