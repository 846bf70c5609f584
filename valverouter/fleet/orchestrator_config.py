"""Conversion of a raft server's configuration to the orchestrator's configuration."""

from __future__ import annotations

from valverouter.config.rollout import DisruptionLimitConfig, EvidenceConfig, RaftServerConfig
from valverouter.rollout.disruption_limits import DisruptionLimits, InstanceKind
from valverouter.rollout.orchestrator_config import OrchestratorConfig
from valverouter.rollout.sequential_test import SequentialTestConfig

# Name of the [limits ...] section for edge proxies; the other one is for servers.
EDGE_PROXIES = "edge proxies"


def orchestrator_config(config: RaftServerConfig) -> OrchestratorConfig:
    """Returns the orchestrator's configuration; durations are ns in both configurations."""
    return OrchestratorConfig(
        {
            InstanceKind.EDGE if section == EDGE_PROXIES else InstanceKind.SERVER: _limits(limits)
            for section, limits in config.limits.items()
        },
        lost_after=config.silent,
        unreachable_after=config.not_reached,
        max_unsettled=config.unsettled,
        min_evaluation=config.evidence.watch,
        max_unexpected_exits=config.evidence.ends,
        sequential_test=_sequential_test(config.evidence),
    )


def _limits(limits: DisruptionLimitConfig) -> DisruptionLimits:
    return DisruptionLimits(
        limits.most, limits.in_region, limits.by_region, limits.least_capacity, limits.least_processor
    )


def _sequential_test(evidence: EvidenceConfig) -> SequentialTestConfig:
    return SequentialTestConfig(evidence.false_halt, evidence.missed, evidence.odds, evidence.least)
