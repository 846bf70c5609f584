"""`valverouter experiment ...`: experiments with factors, levels and seeds on the emulator."""

from __future__ import annotations

from contextlib import closing
from pathlib import Path

import click
import structlog
from rich.progress import BarColumn, Progress, TextColumn, TimeElapsedColumn

from valverouter.cli import tables
from valverouter.cli.command_support import FILE, console, show_verdict
from valverouter.config.scenario import load_scenario

log = structlog.get_logger()


@click.group()
def experiment() -> None:
    """Run experiments with factors, levels and seeds on the emulator, and compare the stored runs."""


STORE = click.option(
    "--store", type=FILE, default=Path("runs.db"), show_default=True, help="The file of stored runs."
)


@experiment.command("run")
@click.argument("file", type=FILE)
@STORE
@click.option("--jobs", default=4, show_default=True, help="The number of worker processes.")
def experiment_run(file: Path, store: Path, jobs: int) -> None:
    """Run the runs of FILE that are not stored yet; an interrupted experiment can be resumed."""
    # Imported in the functions, here and below: importing scipy takes half a second, which would delay every
    # other command.
    from valverouter.experiments.plan import load_plan
    from valverouter.experiments.runner import run_all

    plan = load_plan(file)
    bars = Progress(TextColumn("{task.description}"), BarColumn(), TimeElapsedColumn(), console=console)
    with bars:
        task = bars.add_task(plan.name)
        executed_count = run_all(
            plan.runs(),
            store,
            jobs,
            lambda done, total_runs: bars.update(task, completed=done, total=total_runs),
        )
    console.print(f"{executed_count} runs executed, the others were already stored", highlight=False)


@experiment.command("report")
@click.argument("file", type=FILE)
@STORE
@click.option("--figure", default="service", show_default=True, help="The metric to compare.")
@click.option("--html", type=FILE, help="Also write a page with charts to this file.")
def experiment_report(file: Path, store: Path, figure: str, html: Path | None) -> None:
    """Show means, confidence intervals and paired differences from the baseline for FILE's stored runs."""
    from valverouter.experiments.plan import load_plan
    from valverouter.experiments.report import collect_cells, report_page
    from valverouter.experiments.runner import RunStore

    plan = load_plan(file)
    with closing(RunStore(store)) as run_store:
        cells = collect_cells(plan, run_store)
    if not cells:
        raise ValueError(f"{store}: contains no run of {file}; run `experiment run` first")
    tables.print_cells(console, cells, plan.baseline, figure)
    if html is not None:
        html.write_text(report_page(plan, cells, figure))


@experiment.command("day")
@click.argument("file", type=FILE)
@click.option("--html", type=FILE, required=True, help="Write the page to this file.")
def experiment_day(file: Path, html: Path) -> None:
    """Emulate the scenario in FILE, print accounts and verdict, and write a page with charts by second.

    Exits with 1 if a rule was violated.
    """
    from valverouter.experiments.scenario_page import render_scenario_page
    from valverouter.scenarios.emulated import run_emulated

    scenario = load_scenario(file)
    result = run_emulated(scenario, sample_interval=10**9)
    html.write_text(render_scenario_page(scenario.name, result), "utf-8")
    show_verdict(result.rows)


@experiment.command("search")
@click.argument("file", type=FILE)
@click.option("--out", type=FILE, required=True, help="Write the scenario that was found to this file.")
@click.option("--jobs", default=4, show_default=True, help="The number of worker processes.")
def experiment_search(file: Path, out: Path, jobs: int) -> None:
    """Search for the scenario in which the policy does worst or comes nearest to a violation; simplify it."""
    from valverouter.experiments.search import CandidateScorer, format_scenario_file, minimize
    from valverouter.experiments.search import search as find_worst_scenario
    from valverouter.experiments.search_config import load_search

    config, base, text = load_search(file)
    base_rate = base.callers.rate
    scorer = CandidateScorer(config, text, base_rate)
    worst, score, evaluation_count = find_worst_scenario(config, base, scorer, jobs)
    console.print(f"{evaluation_count} scenarios evaluated; the worst scores {score:+.3f}", highlight=False)
    simplest, simplest_score = minimize(worst, scorer, 0.8 * score, config.budget // 4)
    summary = (
        f"Found by a search for {config.seeks}: {simplest_score:+.3f}, seed {config.seed}; "
        f"cut down from {score:+.3f}."
    )
    out.write_text(format_scenario_file(simplest, text, base_rate, summary), "utf-8")
    kinds = ", ".join(fault.kind for fault in simplest.faults)
    console.print(f"simplified to {kinds}: {simplest_score:+.3f}; {out}", highlight=False, soft_wrap=True)
