"""Searches for the day on which the program loses most, or violates a rule, and minimizes what was found.

A day is the base day with up to `troubles` faults drawn from ranges; the search is scipy's differential
evolution with a budget of evaluations. What it finds is a day file, for the emulator and for loopback.
"""

from __future__ import annotations

import multiprocessing
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

import numpy as np
from scipy.optimize import differential_evolution

from valverouter.config.scenario import ScenarioConfig
from valverouter.experiments.candidates import ScenarioCandidate, decode_vector, simplifications, vector_size
from valverouter.experiments.plan import DECISIONS, Run
from valverouter.experiments.runner import run_here
from valverouter.experiments.search_config import RULES, Search

# Without a violation, the slow-start budget used counts in proportion, up to this.
MAX_SCORE_WITHOUT_VIOLATION = 0.99
MIN_POPULATION = 5
MAX_POPULATION_PER_PARAMETER = 4
MIN_GENERATIONS = 4

ScoreFunction = Callable[[ScenarioCandidate], float]


@dataclass(frozen=True, slots=True)
class CandidateScorer:
    """Runs a day under the program and what it is measured against; the worse for the program, the higher."""

    config: Search
    base: str
    rate: float

    def __call__(self, candidate: ScenarioCandidate) -> float:
        """The candidate's score."""
        text = candidate.text(self.base, self.rate)
        policy = run_here(Run({}, self.config.seed, text))
        if self.config.seeks == RULES:
            return policy["rules-broken"] + min(MAX_SCORE_WITHOUT_VIOLATION, policy["cold-margin"] / 2)
        best = max(
            run_here(Run({DECISIONS: name}, self.config.seed, text))["service"]
            for name in self.config.against
        )
        return best - policy["service"]


class _Objective:
    """A vector's score for scipy, which minimizes; at module level, so that processes can unpickle it."""

    def __init__(self, score_function: ScoreFunction, config: Search, base: ScenarioConfig) -> None:
        self.score_function, self.config, self.base = score_function, config, base

    def __call__(self, vector: np.ndarray[tuple[int], np.dtype[np.float64]]) -> float:
        return -self.score_function(decode_vector(self.config, self.base, vector.tolist()))


def search(
    config: Search, base: ScenarioConfig, score_function: ScoreFunction, jobs: int = 1
) -> tuple[ScenarioCandidate, float, int]:
    """The worst day found within the budget, its score, and how many days were judged."""
    size = vector_size(config)
    population = max(
        MIN_POPULATION, min(MAX_POPULATION_PER_PARAMETER * size, config.budget // MIN_GENERATIONS)
    )
    options: dict[str, Any] = {
        "bounds": [(0.0, 1.0)] * size,
        "maxiter": max(1, config.budget // population - 1),
        "init": np.random.Generator(np.random.PCG64(config.seed)).random((population, size)),
        "seed": config.seed,
        "polish": False,
        "tol": 0,
        "updating": "deferred",
    }
    objective = _Objective(score_function, config, base)
    if jobs > 1:
        with multiprocessing.get_context("spawn").Pool(jobs) as pool:
            found = differential_evolution(objective, workers=pool.map, **options)
    else:
        found = differential_evolution(objective, **options)
    return decode_vector(config, base, found.x.tolist()), -float(found.fun), int(found.nfev)


def minimize(
    candidate: ScenarioCandidate, score_function: ScoreFunction, min_score: float, budget: int
) -> tuple[ScenarioCandidate, float]:
    """The simplest day reached by steps whose score stays at `min_score` or above, and its score.

    Each step takes the first simplification that does; `budget` days are judged at most.
    """
    score, evaluation_count = min_score, 0
    is_simplified = True
    while is_simplified:
        is_simplified = False
        for simpler in simplifications(candidate):
            if evaluation_count >= budget:
                return candidate, score
            evaluation_count += 1
            simpler_score = score_function(simpler)
            if simpler_score >= min_score:
                candidate, score, is_simplified = simpler, simpler_score, True
                break
    return candidate, score


def format_scenario_file(candidate: ScenarioCandidate, base: str, rate: float, summary: str) -> str:
    """The day file, with what was found in its first line."""
    return f"# {summary}\n{candidate.text(base, rate)}"
