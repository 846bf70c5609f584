"""`valverouter regions ...`: what crossed from region to region."""

from __future__ import annotations

from pathlib import Path

import click
import msgspec
import structlog

from valverouter.cli import tables
from valverouter.cli.command_support import FILE, console
from valverouter.config.scenario import load_scenario
from valverouter.regions.usage import attempts_by_minute, merge_totals, missing_records
from valverouter.scenarios.planning import plan_scenario
from valverouter.signalling import traffic_record

log = structlog.get_logger()


@click.group()
def regions() -> None:
    """What crossed from region to region, and what had better."""


@regions.command("report")
@click.argument("files", type=FILE, nargs=-1, required=True)
@click.option("--edges", default=0, help="How many there are, to tell what is missing.")
@click.option("--json", "as_json", is_flag=True, help="Rows as JSON in place of tables.")
def regions_report(files: tuple[Path, ...], edges: int, as_json: bool) -> None:
    """Merge the accounts that edge proxies left in FILES, by traffic type and pair of regions."""
    records = [[msgspec.json.decode(line) for line in file.read_bytes().splitlines()] for file in files]
    totals, missing = merge_totals(records), missing_records(records, edges)
    if as_json:
        lines = [{"line": key, **counters.to_row()} for key, counters in totals.items()]
        click.echo(msgspec.json.encode({"lines": lines, "missing": missing}).decode())
        return
    tables.print_cross_region_usage(console, totals, attempts_by_minute(records))
    for message in missing:
        console.print(f"missing: {message}")


@regions.command("plan")
@click.argument("file", type=FILE)
@click.argument("records", type=FILE)
def regions_plan(file: Path, records: Path) -> None:
    """The least crossing that carries what RECORDS of the day in FILE show, within its capacities and
    budgets.

    It advises; nothing is steered by it.
    """
    tables.print_plan(console, plan_scenario(load_scenario(file), traffic_record.read_rows(records)))
