"""The days of a search: decoded from vectors of the unit cube, written as day files, and simplified."""

from __future__ import annotations

from collections.abc import Iterator, Sequence
from dataclasses import dataclass, replace

from valverouter.config.ini import format_duration
from valverouter.config.scenario import ScenarioConfig
from valverouter.experiments.plan import with_settings
from valverouter.experiments.search_config import Search

SECOND = 1_000_000_000
MILLISECOND = 1_000_000
# A vector holds the rate, and after it so many genes for each fault.
PARAMETERS_PER_FAULT = 6
# A fault other than the first is left out where its first gene is less.
PRESENCE_THRESHOLD = 0.25
MIN_FAULT_DURATION = SECOND // 2
MIN_FRACTION, FRACTION_RANGE = 0.05, 0.45
# Of these kinds the size is a fraction of something, and stays under one.
FRACTION_KINDS = ("reconnect", "hot_key", "answer_lost", "give_up")
MAX_FRACTION_SIZE = 0.95
SIZE_PER_FRACTION = 6
# Simplifications: sizes above the least are reduced, and days are cut to so much after the last fault, ns.
MIN_REDUCED_SIZE = 1.5
MARGIN_AFTER_FAULTS = 2 * SECOND


@dataclass(frozen=True, slots=True)
class FaultCandidate:
    """One fault of a candidate; times in ns."""

    kind: str
    start: int
    length: int
    size: float
    part: float

    @property
    def configured_size(self) -> float:
        """The size as the day file has it."""
        if self.kind in FRACTION_KINDS:
            return min(MAX_FRACTION_SIZE, self.size / SIZE_PER_FRACTION)
        return self.size

    def settings(self, section: str) -> list[tuple[str, str, str]]:
        """Its section of the day file: section, key and value of each line."""
        return [
            (section, "kind", self.kind),
            (section, "start", format_duration(self.start)),
            (section, "length", format_duration(self.length)),
            (section, "size", f"{self.configured_size:.3f}"),
            (section, "part", f"{self.part:.3f}"),
            (section, "extra", "1s"),
        ]


@dataclass(frozen=True, slots=True)
class ScenarioCandidate:
    """A day of the search: the factor of the base day's rate, its length in ns, and its faults."""

    rate: float
    length: int
    faults: tuple[FaultCandidate, ...]

    def text(self, base: str, base_rate: float) -> str:
        """The day file, from the base day's text and rate."""
        settings = [
            ("day", "length", format_duration(self.length)),
            ("callers", "rate", f"{base_rate * self.rate:.3f}"),
        ]
        for index, fault in enumerate(self.faults):
            settings += fault.settings(f"trouble found{index}")
        return with_settings(base, settings)


def vector_size(config: Search) -> int:
    """How many genes a vector of this search has."""
    return 1 + PARAMETERS_PER_FAULT * config.troubles


def decode_vector(config: Search, base: ScenarioConfig, vector: Sequence[float]) -> ScenarioCandidate:
    """The day that a vector from the unit cube stands for; every such vector is a day that can run."""
    length = base.run.length
    rate = config.rate_least + vector[0] * (config.rate_most - config.rate_least)
    faults = []
    for index in range(config.troubles):
        first = 1 + PARAMETERS_PER_FAULT * index
        presence, *fault_parameters = vector[first : first + PARAMETERS_PER_FAULT]
        if presence >= PRESENCE_THRESHOLD or index == 0:
            faults.append(_decode_fault(config, length, fault_parameters))
    return ScenarioCandidate(rate, length, tuple(faults))


def _decode_fault(config: Search, scenario_length: int, parameters: Sequence[float]) -> FaultCandidate:
    kind, start, length, size, part = parameters
    duration = max(MIN_FAULT_DURATION, int(length * config.longest))
    return FaultCandidate(
        config.kinds[min(len(config.kinds) - 1, int(kind * len(config.kinds)))],
        _whole_milliseconds(int(start * max(0, scenario_length - duration))),
        _whole_milliseconds(duration),
        1 + size * (config.size_most - 1),
        MIN_FRACTION + FRACTION_RANGE * part,
    )


def _whole_milliseconds(time: int) -> int:
    return time // MILLISECOND * MILLISECOND


def simplifications(candidate: ScenarioCandidate) -> Iterator[ScenarioCandidate]:
    """Simpler days next to this one: without a fault, shorter, at the base rate, with a milder fault."""
    faults = candidate.faults
    for index in range(len(faults)):
        if len(faults) > 1:
            yield replace(candidate, faults=faults[:index] + faults[index + 1 :])
    faults_end = max((fault.start + fault.length for fault in faults), default=0)
    for length in (faults_end + MARGIN_AFTER_FAULTS, _whole_milliseconds(candidate.length * 3 // 4)):
        if faults_end <= length < candidate.length:
            yield replace(candidate, length=length)
    if candidate.rate != 1.0:
        yield replace(candidate, rate=1.0)
    for index, fault in enumerate(faults):
        for milder in _milder_faults(fault):
            yield replace(candidate, faults=(*faults[:index], milder, *faults[index + 1 :]))


def _milder_faults(fault: FaultCandidate) -> Iterator[FaultCandidate]:
    if fault.length > SECOND:
        yield replace(fault, length=_whole_milliseconds(fault.length // 2))
    if fault.size > MIN_REDUCED_SIZE:
        yield replace(fault, size=round(1 + (fault.size - 1) / 2, 2))
    if fault.start > SECOND:
        yield replace(fault, start=SECOND)
