"""The sequential test of released against unreleased instances."""

from __future__ import annotations

import random

from valverouter.rollout.sequential_test import CanaryEvidence, OutcomeCount, SequentialTestConfig, Verdict


def evidence_of(
    config: SequentialTestConfig,
    canary_rate: float,
    baseline_rate: float,
    seed: int,
    intervals: int = 400,
    low_traffic: bool = False,
) -> CanaryEvidence:
    draws = random.Random(seed)
    evidence = CanaryEvidence(("declined", "late"), config, draws.random)
    for _ in range(intervals):
        size = 1 if low_traffic else 20
        for measure in evidence.measures:
            rate = canary_rate if measure == "declined" else baseline_rate
            canary = OutcomeCount(sum(draws.random() < rate for _ in range(size)), size)
            baseline = OutcomeCount(sum(draws.random() < baseline_rate for _ in range(3 * size)), 3 * size)
            evidence.add_interval({"north": canary}, {"north": baseline, "south": baseline}, measure)
        if evidence.verdict is not Verdict.UNDECIDED:
            break
    return evidence


def test_harm_halts_and_no_harm_passes_with_the_stated_probabilities() -> None:
    config = SequentialTestConfig(false_halt_probability=0.01, missed_harm_probability=0.05, odds_ratio=2.0)
    harmless = [evidence_of(config, 0.05, 0.05, seed).verdict for seed in range(200)]
    assert harmless.count(Verdict.HALT) <= 6
    assert harmless.count(Verdict.PASS) > 150
    harmful = [evidence_of(config, 0.15, 0.05, seed) for seed in range(60)]
    assert sum(evidence.verdict is Verdict.HALT for evidence in harmful) >= 55
    halted = next(evidence for evidence in harmful if evidence.verdict is Verdict.HALT)
    assert halted.halt_reason.startswith("declined: ")


def test_too_few_outcomes_decide_nothing() -> None:
    assert (
        evidence_of(SequentialTestConfig(), 0.05, 0.05, 1, intervals=100, low_traffic=True).verdict
        is Verdict.UNDECIDED
    )
    unmatched = CanaryEvidence(("declined",), SequentialTestConfig(), random.random)
    unmatched.add_interval({"north": OutcomeCount(0, 50)}, {"south": OutcomeCount(0, 50)}, "declined")
    assert unmatched.verdict is Verdict.UNDECIDED, "no region in common"
    assert not unmatched.tests["declined"].pairs, "no region in common"


def test_a_slow_server_affects_both_sides_and_halts_nothing() -> None:
    verdicts = [
        evidence_of(SequentialTestConfig(false_halt_probability=0.01), 0.4, 0.4, seed).verdict
        for seed in range(40)
    ]
    assert verdicts.count(Verdict.HALT) <= 2


def test_a_halt_is_final() -> None:
    evidence = evidence_of(SequentialTestConfig(), 0.5, 0.05, 3)
    assert evidence.verdict is Verdict.HALT
    for _ in range(200):
        evidence.add_interval({"n": OutcomeCount(0, 20)}, {"n": OutcomeCount(10, 20)}, "declined")
    assert evidence.verdict is Verdict.HALT
