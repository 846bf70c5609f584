"""Tests of experiments: plans, stored runs, paired differences, and variants of the routing policy."""

from __future__ import annotations

import math
import random
from contextlib import closing
from pathlib import Path

import pytest

from tests.test_scenarios import valverouter
from valverouter.config.ini import InvalidConfigError
from valverouter.experiments.compare import confidence_interval, paired_difference
from valverouter.experiments.plan import load_plan, with_settings
from valverouter.experiments.report import collect_cells, report_page
from valverouter.experiments.run_metrics import compute_metrics, service_by_second, worst_window_service
from valverouter.experiments.runner import RunStore, run_all, run_here
from valverouter.experiments.variants import BASELINES, VARIANTS, parse_variant
from valverouter.policy import routing, tuning
from valverouter.signalling.traffic_record import AuditConfigRow, MessageRow, Row

SECOND = 10**9
DEPLOY = Path(__file__).parent.parent / "deploy"

PLAN = """
[experiment]
day = day.ini
seeds = 1-3
baseline = decisions = module
[factor edges]
set = fleet.edge_proxies, region north.edges
levels = 1, 2
[factor decisions]
set = decisions
levels = module, any-server
"""


@pytest.fixture
def small(tmp_path: Path) -> Path:
    day = (DEPLOY / "experiments" / "size-day.ini").read_text()
    day = day.replace("length = 24s", "length = 3s").replace("rate = 310", "rate = 95")
    day = day[: day.index("[trouble ")].replace("servers = 12", "servers = 3")
    (tmp_path / "day.ini").write_text(
        day + "[trouble slow]\nkind = slow\nstart = 1s\nlength = 1s\nsize = 3\n"
    )
    (tmp_path / "try.ini").write_text(PLAN)
    return tmp_path / "try.ini"


def test_a_plan_has_a_run_for_every_combination_and_seed(small: Path) -> None:
    runs = list(load_plan(small).runs())
    assert len(runs) == 12
    assert len({run.key for run in runs}) == 12
    assert [run.levels for run in runs[::3]] == [
        {"edges": edges, "decisions": decisions} for edges in "12" for decisions in ("module", "any-server")
    ]
    day = runs[-1].load_scenario()
    assert (day.fleet.edge_proxies, day.run.seed) == (2, 3)


@pytest.mark.parametrize(
    ("old", "new", "message"),
    [
        ("day = day.ini", "day = none.ini", "No such file"),
        (
            "levels = module, any-server",
            "levels = module, best",
            "unknown variant 'best'; known variants: module",
        ),
        ("baseline = decisions = module", "baseline = decisions = best", "FACTOR = LEVEL"),
        ("baseline = decisions = module", "baseline = size = 1", "FACTOR = LEVEL"),
        ("set = fleet.edge_proxies, region north.edges", "set = edges", "SECTION.KEY"),
        ("levels = 1, 2", "levels = 0, 2", "edge_proxies"),
        ("set = fleet.edge_proxies, region north.edges", "set = fleet.edge_proxies", "sum of `edges`"),
        ("seeds = 1-3", "seeds =", "seeds"),
        ("[factor edges]", "[factors edges]", "unknown section"),
    ],
)
def test_an_invalid_plan_is_rejected_before_any_run(small: Path, old: str, new: str, message: str) -> None:
    small.write_text(PLAN.replace(old, new))
    with pytest.raises(InvalidConfigError, match=message.replace("[", r"\[")):
        load_plan(small)


def test_stored_runs_are_not_run_again(small: Path, tmp_path: Path) -> None:
    experiment, progress = load_plan(small), list[tuple[int, int]]()
    first = [run for run in experiment.runs() if run.seed == 1]
    assert run_all(first, tmp_path / "runs.db", 2) == 4
    assert run_all(experiment.runs(), tmp_path / "runs.db", 2, lambda *counts: progress.append(counts)) == 8
    assert progress[0] == (4, 12), "an interrupted experiment is resumed"
    assert progress[-1] == (12, 12), "an interrupted experiment is resumed"
    assert run_all(experiment.runs(), tmp_path / "runs.db", 2) == 0
    with closing(RunStore(tmp_path / "runs.db")) as store:
        cells = collect_cells(experiment, store)
        rerun = run_here(first[0])
        kept = store.load(first[0])
    assert kept is not None
    assert {key: value for key, value in kept.items() if key != "cpu"} == {
        key: value for key, value in rerun.items() if key != "cpu"
    }, "the same run gives the same figures in any process"
    assert len(cells) == 4
    assert all(len(cell.by_seed) == 3 for cell in cells.values())
    html = report_page(experiment, cells, "service")
    assert "<svg" in html
    assert "any-server" in html
    assert "src=" not in html
    shown = valverouter("experiment", "report", str(small), "--store", str(tmp_path / "runs.db"))
    assert shown.returncode == 0
    assert "any-server" in shown.stdout


def test_differences_are_paired_by_seed_and_include_the_minimum_detectable_difference() -> None:
    chance = random.Random(5)
    base = {seed: chance.gauss(0.8, 0.1) for seed in range(12)}  # seeds differ far more than variants
    improved = {seed: value + chance.gauss(0.02, 0.01) for seed, value in base.items()}
    found = paired_difference(base, improved)
    assert found.is_significant
    assert found.mean == pytest.approx(0.02, abs=0.01)
    assert found.pair_count == 12
    assert found.half_width < found.min_detectable < 0.02 < confidence_interval(list(base.values()))[1]
    assert not paired_difference(
        base, {seed: value + chance.gauss(0, 0.05) for seed, value in base.items()}
    ).is_significant
    with pytest.raises(ValueError, match="1 pairs"):
        paired_difference({1: 0.5}, {1: 0.6, 2: 0.7})
    assert confidence_interval([0.5]) == (0.5, math.inf)


def test_intervals_cover_the_mean_as_often_as_they_claim() -> None:
    chance, covered = random.Random(9), 0
    for _ in range(400):
        mean, half = confidence_interval([chance.gauss(0, 1) for _ in range(6)])
        covered += abs(mean) <= half
    assert 0.92 <= covered / 400 <= 0.98


def test_variants_are_applied_for_a_run_and_restored_afterwards(small: Path) -> None:
    before = {name: getattr(tuning, name) for name in dir(tuning) if name.isupper()}
    delay_function = vars(routing)["retry_delay"]
    with VARIANTS["fixed-waits"].applied():
        assert vars(routing)["retry_delay"](3, 0.0, 0) == tuning.BACKOFF_BASE
    with VARIANTS["without-window"].applied():
        assert tuning.WINDOW_INITIAL > 1e6
    assert {name: getattr(tuning, name) for name in dir(tuning) if name.isupper()} == before
    assert vars(routing)["retry_delay"] is delay_function


@pytest.mark.parametrize("name", VARIANTS)
def test_every_variant_runs_a_scenario_and_baselines_differ_from_the_policy(small: Path, name: str) -> None:
    run = load_plan(small).make_run({"edges": "2", "decisions": "module"}, 1)
    found = run_here(type(run)({"decisions": name}, run.seed, run.text))
    assert 0 < found["service"] <= 1
    assert found["legs"] > 0.3
    if name in BASELINES:
        assert found != run_here(run) | {"cpu": found["cpu"]}


def message_row(at: int, sent: bool, kind: str, dialog: str, word: str = "") -> MessageRow:
    return MessageRow(at, at * SECOND // 10, "e0", "c0", sent, kind, dialog, 0, 0, word)


def test_the_worst_window_is_by_the_time_of_the_first_dial() -> None:
    rows: list[Row] = [AuditConfigRow(0, 0, 0, 0, {"plain": SECOND}, {"plain": 1.0})]
    for at in range(0, 300):
        rows.append(message_row(at, True, "setup", f"d{at}", "plain"))
        if not 100 <= at < 150:
            rows.append(message_row(at + 1, False, "stands", f"d{at}"))
    rows.append(message_row(320, True, "setup", "d120.2", "plain"))
    rows.append(message_row(321, False, "stands", "d120.2"))
    audit_config = rows[0]
    assert isinstance(audit_config, AuditConfigRow)
    assert worst_window_service(rows, audit_config) == pytest.approx(0.5)
    assert service_by_second(rows, audit_config)[10] == (10, 0)
    assert service_by_second(rows, audit_config)[3] == (10, 10)
    assert compute_metrics(rows)["tries"] == pytest.approx(301 / 300)


def test_with_settings_keeps_all_other_settings() -> None:
    text = with_settings("[day]\nlength = 3s\n[fleet]\nedge_proxies = 1\n", [("fleet", "edge_proxies", "4")])
    assert "edge_proxies = 4" in text
    assert "length = 3s" in text
    assert "[list]\nnotice = 1s" in with_settings(text, [("list", "notice", "1s")])


def test_a_level_may_set_constants_of_the_policy() -> None:
    parsed = parse_variant("without-room NEWS_FADES_TURNS=2 WINDOW_LEAST=0.5")
    assert (parsed.selector, parsed.table) == (
        VARIANTS["without-room"].selector,
        VARIANTS["without-room"].table,
    )
    with parsed.applied():
        assert (tuning.LATENCY_SAMPLE_INTERVALS, tuning.WINDOW_MIN) == (2, 0.5)
    assert tuning.LATENCY_SAMPLE_INTERVALS == 4


@pytest.mark.parametrize(
    ("level", "message"),
    [
        ("best", "unknown variant 'best'; known variants: module"),
        ("module NEWS=2", "'NEWS' is not a numeric constant"),
        ("module LEGS=many", "LEGS must be of type int"),
        ("module Far=1", "'Far' is not a numeric constant"),
    ],
)
def test_a_level_with_an_unknown_variant_or_constant_is_rejected(level: str, message: str) -> None:
    with pytest.raises(ValueError, match=message):
        parse_variant(level)
