"""Searches for the scenario in which the policy loses most or violates a rule, and simplifies it.

A candidate is the base scenario with up to `troubles` faults, whose parameters are drawn from ranges. The
search is scipy's differential evolution with a limited number of evaluations. Its result is a scenario file,
which runs on the emulator and on loopback.
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

# In a search for violations, a candidate without any scores half the fraction of the slow-start budget that
# was used, up to this.
MAX_SCORE_WITHOUT_VIOLATION = 0.99
MIN_POPULATION = 5
MAX_POPULATION_PER_PARAMETER = 4
MIN_GENERATIONS = 4

ScoreFunction = Callable[[ScenarioCandidate], float]


@dataclass(frozen=True, slots=True)
class CandidateScorer:
    """Scores candidates by running them; the worse the program's policy does, the higher the score."""

    config: Search
    base: str
    rate: float

    def __call__(self, candidate: ScenarioCandidate) -> float:
        """Returns the number of violated rules, or the service lost against the best baseline."""
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
    """The negated score, which scipy minimizes; at module level, so that worker processes can unpickle it."""

    def __init__(self, score_function: ScoreFunction, config: Search, base: ScenarioConfig) -> None:
        self.score_function, self.config, self.base = score_function, config, base

    def __call__(self, vector: np.ndarray[tuple[int], np.dtype[np.float64]]) -> float:
        return -self.score_function(decode_vector(self.config, self.base, vector.tolist()))


def search(
    config: Search, base: ScenarioConfig, score_function: ScoreFunction, jobs: int = 1
) -> tuple[ScenarioCandidate, float, int]:
    """Returns the worst scenario found within the budget, its score, and the number of evaluations."""
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
    """Simplifies a candidate step by step while its score is at least `min_score`; returns it and its score.

    Each step takes the first simplification with such a score. At most `budget` candidates are evaluated.
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
    """Returns the scenario file's text, with the summary as a comment in its first line."""
    return f"# {summary}\n{candidate.text(base, rate)}"
