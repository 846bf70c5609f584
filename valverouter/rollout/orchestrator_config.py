"""The configuration of the orchestrator: limits, timeouts and thresholds."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field

from valverouter.rollout.disruption_limits import DisruptionLimits, InstanceKind
from valverouter.rollout.sequential_test import SequentialTestConfig

SECOND = 10**9
MEBIBYTE = 2**20


@dataclass(frozen=True, slots=True)
class OrchestratorConfig:
    """All times are in ns.

    - `lost_after`: time without a report after which an instance counts as lost.
    - `unreachable_after`: time without a report after which a pending instance is excluded from its
      operation.
    - `permit_retry_interval`: minimum time between a rejected permit request and the next one.
    - `max_unsettled`: time for which the membership view may be unsettled before the operation is cancelled.
    - `sample_interval`: time between two samples of the counters that canary analysis compares.
    - `min_evaluation`: minimum duration of the evaluation after a wave.
    - `max_unexpected_exits`: number of unexpected exits of released programs that halts a release, unless
      unreleased instances exit at a similar rate.
    - `max_memory_ratio`, `min_memory_excess` (bytes): a release is halted if the median memory use of
      released instances exceeds that of unreleased instances by both. Released instances were started later,
      and should therefore use less.
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
