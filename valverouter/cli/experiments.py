"""`valverouter experiment ...`: factors, levels and seeds on the emulator."""

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
    """Factors, levels and seeds on the emulator, kept and compared."""


STORE = click.option("--store", type=FILE, default=Path("runs.db"), show_default=True, help="The kept runs.")


@experiment.command("run")
@click.argument("file", type=FILE)
@STORE
@click.option("--jobs", default=4, show_default=True, help="Processes at once.")
def experiment_run(file: Path, store: Path, jobs: int) -> None:
    """Play the runs of FILE that are not kept yet; cut off, it goes on where it was."""
    # Here and below: importing scipy takes half a second, which no other command should spend.
    from valverouter.experiments.plan import load_plan
    from valverouter.experiments.runner import run_all

    plan = load_plan(file)
    bars = Progress(TextColumn("{task.description}"), BarColumn(), TimeElapsedColumn(), console=console)
    with bars:
        task = bars.add_task(plan.name)
        played = run_all(
            plan.runs(), store, jobs, lambda done, every: bars.update(task, completed=done, total=every)
        )
    console.print(f"{played} runs played, the others were kept", highlight=False)


@experiment.command("report")
@click.argument("file", type=FILE)
@STORE
@click.option("--figure", default="service", show_default=True, help="Which figure is compared.")
@click.option("--html", type=FILE, help="A page with charts in this file too.")
def experiment_report(file: Path, store: Path, figure: str, html: Path | None) -> None:
    """Means with their intervals, and paired differences from the baseline, of the kept runs of FILE."""
    from valverouter.experiments.plan import load_plan
    from valverouter.experiments.report import collect_cells, report_page
    from valverouter.experiments.runner import RunStore

    plan = load_plan(file)
    with closing(RunStore(store)) as kept:
        cells = collect_cells(plan, kept)
    if not cells:
        raise ValueError(f"{store}: no run of {file} is kept there; experiment run comes first")
    tables.print_cells(console, cells, plan.baseline, figure)
    if html is not None:
        html.write_text(report_page(plan, cells, figure))


@experiment.command("day")
@click.argument("file", type=FILE)
@click.option("--html", type=FILE, required=True, help="The page goes here.")
def experiment_day(file: Path, html: Path) -> None:
    """Emulate the day in FILE, print accounts and verdict, and draw it second by second on a page.

    Exits with 1 when a rule was broken.
    """
    from valverouter.experiments.scenario_page import render_scenario_page
    from valverouter.scenarios.emulated import run_emulated

    scenario = load_scenario(file)
    result = run_emulated(scenario, sample_interval=10**9)
    html.write_text(render_scenario_page(scenario.name, result), "utf-8")
    show_verdict(result.rows)


@experiment.command("search")
@click.argument("file", type=FILE)
@click.option("--out", type=FILE, required=True, help="The day that was found goes here.")
@click.option("--jobs", default=4, show_default=True, help="Processes at once.")
def experiment_search(file: Path, out: Path, jobs: int) -> None:
    """Seek the day on which the module loses most, or comes nearest to a broken rule, and cut it down."""
    from valverouter.experiments.search import CandidateScorer, format_scenario_file, minimize
    from valverouter.experiments.search import search as find_worst_day
    from valverouter.experiments.search_config import load_search

    config, base, text = load_search(file)
    base_rate = base.callers.rate
    scorer = CandidateScorer(config, text, base_rate)
    worst, score, evaluation_count = find_worst_day(config, base, scorer, jobs)
    console.print(f"{evaluation_count} days judged; the worst scores {score:+.3f}", highlight=False)
    simplest, simplest_score = minimize(worst, scorer, 0.8 * score, config.budget // 4)
    summary = (
        f"Found by a search for {config.seeks}: {simplest_score:+.3f}, seed {config.seed}; "
        f"cut down from {score:+.3f}."
    )
    out.write_text(format_scenario_file(simplest, text, base_rate, summary), "utf-8")
    kinds = ", ".join(fault.kind for fault in simplest.faults)
    console.print(f"cut down to {kinds}: {simplest_score:+.3f}; {out}", highlight=False, soft_wrap=True)
