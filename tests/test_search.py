"""Tests of the search for bad scenarios: candidates are valid, a known worst one is found and simplified."""

from __future__ import annotations

from pathlib import Path

import pytest
from hypothesis import given
from hypothesis import strategies as st

from valverouter.audit.rules import audit
from valverouter.config.ini import IniFile, InvalidConfigError
from valverouter.config.scenario import scenario_config
from valverouter.config.scenario_sections import FAULT_KINDS
from valverouter.experiments.candidates import (
    FaultCandidate,
    ScenarioCandidate,
    decode_vector,
    simplifications,
)
from valverouter.experiments.search import CandidateScorer, format_scenario_file, minimize, search
from valverouter.experiments.search_config import Search, load_search
from valverouter.scenarios.emulated import run_emulated

SECOND = 10**9
FILE = Path(__file__).parent.parent / "deploy" / "experiments" / "worst-day.ini"
ALL_KINDS_SEARCH = Search(day="-", kinds=tuple(FAULT_KINDS), troubles=3)
_, BASE, BASE_TEXT = load_search(FILE)


@given(st.lists(st.floats(0, 1), min_size=19, max_size=19))
def test_every_vector_decodes_to_a_valid_scenario(vector: list[float]) -> None:
    candidate = decode_vector(ALL_KINDS_SEARCH, BASE, vector)
    played = scenario_config(IniFile(candidate.text(BASE_TEXT, 100.0), "made"), "made")
    assert len(played.faults) == len(candidate.faults) >= 1
    for trouble in played.faults.values():
        assert trouble.start + trouble.length <= played.run.length


def score_slow_server(candidate: ScenarioCandidate) -> float:
    """A score with a known maximum: a slow server at a high call rate; a hang adds a little."""
    kinds = {fault.kind: fault for fault in candidate.faults}
    slow = kinds.get("slow")
    if slow is None:
        return 0.0
    return candidate.rate * min(slow.size, 4) * min(slow.length, 3 * SECOND) / SECOND + 0.1 * (
        "hang" in kinds
    )


def test_a_known_worst_scenario_is_found_and_minimized() -> None:
    config = Search(day="-", budget=600, troubles=2, kinds=("crash", "slow", "hang", "burst"))
    found, score, evaluation_count = search(config, BASE, score_slow_server)
    assert score > 0.9 * 1.5 * 4 * 3
    assert evaluation_count <= 700
    assert search(config, BASE, score_slow_server)[0] == found, "the same seed finds the same scenario"
    simplest, simplest_score = minimize(found, score_slow_server, 0.5 * score, 300)
    assert [fault.kind for fault in simplest.faults] == ["slow"]
    assert simplest_score >= 0.5 * score
    assert simplest.length < found.length
    assert simplest.faults[0].start <= SECOND
    assert all(score_slow_server(simpler) < 0.5 * score for simpler in simplifications(simplest)), (
        "no simpler candidate reaches the score"
    )


def test_minimizing_stays_within_its_budget() -> None:
    calls = []

    def score_function(candidate: ScenarioCandidate) -> float:
        calls.append(candidate)
        return 1.0

    many = ScenarioCandidate(
        1.4, 14 * SECOND, tuple(FaultCandidate("slow", 6 * SECOND, 5 * SECOND, 6.0, 0.3) for _ in range(3))
    )
    minimize(many, score_function, 0.5, 4)
    assert len(calls) == 4


def test_the_found_scenario_is_a_file_that_runs(tmp_path: Path) -> None:
    small = BASE_TEXT.replace("edge_proxies = 16", "edge_proxies = 4").replace("edges = 16", "edges = 4")
    candidate = ScenarioCandidate(0.3, 4 * SECOND, (FaultCandidate("slow", SECOND, 2 * SECOND, 4.0, 0.3),))
    path = tmp_path / "found.ini"
    path.write_text(format_scenario_file(candidate, small, 100.0, "Found: +0.100"))
    played = scenario_config(IniFile.load(path), "found")
    assert path.read_text().startswith("# Found")
    assert audit(run_emulated(played).rows).passed
    scorer = CandidateScorer(Search(day="-", against=("any-server",)), small, 100.0)
    assert -1 <= scorer(candidate) <= 1
    rule_scorer = CandidateScorer(Search(day="-", seeks="rules"), small, 100.0)
    assert 0 <= rule_scorer(candidate) < 1, "no rule is violated"


@pytest.mark.parametrize(
    ("old", "new", "message"),
    [
        ("seeks = loss", "seeks = gain", "seeks"),
        ("kinds = crash", "kinds = cash", "unknown kind 'cash'; known kinds: "),
        ("against = two-drawn", "against = best", "unknown variant 'best'; known variants: module"),
        ("day = calm-day.ini", "day = none.ini", "No such file"),
        ("troubles = 3", "troubles = 9", "<= 6"),
    ],
)
def test_an_invalid_search_is_rejected(tmp_path: Path, old: str, new: str, message: str) -> None:
    (tmp_path / "calm-day.ini").write_text((FILE.parent / "calm-day.ini").read_text())
    (tmp_path / "search.ini").write_text(FILE.read_text().replace(old, new))
    with pytest.raises(InvalidConfigError, match=message):
        load_search(tmp_path / "search.ini")
