"""From a raft server's configuration file to the configuration of the orchestrator."""

from __future__ import annotations

from valverouter.rollout.conducting import Rules
from valverouter.rollout.evidence import Rule
from valverouter.rollout.limits import Limits, Sort
from valverouter.terms.rollout import EvidenceTerms, LimitTerms, SeatTerms

# The part of a [limits ...] section's name that stands for edge proxies; the other one is for servers.
EDGE_PROXIES = "edge proxies"


def orchestrator_config(terms: SeatTerms) -> Rules:
    """Translate the file's settings, whose durations are in ns as the orchestrator's are."""
    return Rules(
        {
            Sort.EDGE if section == EDGE_PROXIES else Sort.SERVER: _limits(limits)
            for section, limits in terms.limits.items()
        },
        silent=terms.silent,
        not_reached=terms.not_reached,
        unsettled=terms.unsettled,
        watch_least=terms.evidence.watch,
        ends=terms.evidence.ends,
        evidence=_sequential_test(terms.evidence),
    )


def _limits(limits: LimitTerms) -> Limits:
    return Limits(
        limits.most, limits.in_region, limits.by_region, limits.least_capacity, limits.least_processor
    )


def _sequential_test(evidence: EvidenceTerms) -> Rule:
    return Rule(evidence.false_halt, evidence.missed, evidence.odds, evidence.least)
