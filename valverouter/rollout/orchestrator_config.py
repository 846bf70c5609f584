"""The limits and times by which the orchestrator runs operations."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field

from valverouter.rollout.disruption_limits import DisruptionLimits, InstanceKind
from valverouter.rollout.sequential_test import SequentialTestConfig

SECOND = 10**9
MEBIBYTE = 2**20


@dataclass(frozen=True, slots=True)
class OrchestratorConfig:
    """All times in ns.

    - `lost_after`: an instance without a report for so long is lost.
    - `unreachable_after`: a pending instance without a report for so long is left out of its operation.
    - `permit_retry_interval`: between a rejected request for a permit and the next.
    - `max_unsettled`: the fleet's view may be unsettled for so long before the operation is cancelled.
    - `sample_interval`: between two samples of a canary's counters.
    - `min_evaluation`: the shortest evaluation after a wave.
    - `max_unexpected_exits`: unexpected exits of released programs that halt a release, where the others have
      clearly fewer.
    - `max_memory_ratio`, `min_memory_excess` (bytes): a release is halted where the median of the released
      instances is above the others' by both. The released ones are the younger, and so should hold less.
    """

    limits: Mapping[InstanceKind, DisruptionLimits]
    lost_after: int = 4 * SECOND
    unreachable_after: int = 15 * SECOND
    permit_retry_interval: int = SECOND
    max_unsettled: int = 30 * SECOND
    sample_interval: int = SECOND
    min_evaluation: int = 5 * SECOND
    max_unexpected_exits: int = 2
    max_memory_ratio: float = 1.5
    min_memory_excess: int = 64 * MEBIBYTE
    sequential_test: SequentialTestConfig = field(default_factory=SequentialTestConfig)
