"""The scenarios of a search: decoded from vectors of the unit cube, written as files, and simplified."""

from __future__ import annotations

from collections.abc import Iterator, Sequence
from dataclasses import dataclass, replace

from valverouter.config.ini import format_duration
from valverouter.config.scenario import ScenarioConfig
from valverouter.experiments.plan import with_settings
from valverouter.experiments.search_config import Search

SECOND = 1_000_000_000
MILLISECOND = 1_000_000
# A vector contains the rate, followed by this number of parameters for each fault: presence, kind, start,
# length, size and part.
PARAMETERS_PER_FAULT = 6
# Faults other than the first are omitted if their presence parameter is less than this.
PRESENCE_THRESHOLD = 0.25
MIN_FAULT_DURATION = SECOND // 2
# The fraction of the instances that a fault affects: its least value, and the range above it.
MIN_FRACTION, FRACTION_RANGE = 0.05, 0.45
# The size of a fault of these kinds is a fraction, which must be less than 1: the candidate's size divided by
# SIZE_PER_FRACTION, at most MAX_FRACTION_SIZE.
FRACTION_KINDS = ("reconnect", "hot_key", "answer_lost", "give_up")
MAX_FRACTION_SIZE = 0.95
SIZE_PER_FRACTION = 6
# Simplification reduces only sizes above this.
MIN_REDUCED_SIZE = 1.5
# A shortened scenario ends this long after its last fault, in nanoseconds.
MARGIN_AFTER_FAULTS = 2 * SECOND


@dataclass(frozen=True, slots=True)
class FaultCandidate:
    """One fault of a candidate; times in ns.

    `size` is on the scale of the search's range for every kind; see `configured_size`.
    """

    kind: str
    start: int
    length: int
    size: float
    part: float

    @property
    def configured_size(self) -> float:
        """The size as written to the scenario file."""
        if self.kind in FRACTION_KINDS:
            return min(MAX_FRACTION_SIZE, self.size / SIZE_PER_FRACTION)
        return self.size

    def settings(self, section: str) -> list[tuple[str, str, str]]:
        """Returns the lines of the fault's section in a scenario file, as section, key and value."""
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
    """A scenario of the search: the multiple of the base scenario's rate, the length (ns), the faults."""

    rate: float
    length: int
    faults: tuple[FaultCandidate, ...]

    def text(self, base: str, base_rate: float) -> str:
        """Returns the scenario file's text, made from the base scenario's text and rate."""
        settings = [
            ("day", "length", format_duration(self.length)),
            ("callers", "rate", f"{base_rate * self.rate:.3f}"),
        ]
        for index, fault in enumerate(self.faults):
            settings += fault.settings(f"trouble found{index}")
        return with_settings(base, settings)


def vector_size(config: Search) -> int:
    """Returns the number of parameters in a vector of this search."""
    return 1 + PARAMETERS_PER_FAULT * config.troubles


def decode_vector(config: Search, base: ScenarioConfig, vector: Sequence[float]) -> ScenarioCandidate:
    """Decodes a vector from the unit cube; every such vector gives a valid scenario."""
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
    """Yields scenarios one step simpler: a fault less, shorter, at the base rate, or with a milder fault."""
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
