"""`valverouter regions ...`: cross-region traffic, and the least that a load requires."""

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
    """Report cross-region traffic, and compute the least that a load requires."""


@regions.command("report")
@click.argument("files", type=FILE, nargs=-1, required=True)
@click.option("--edges", default=0, help="The number of edge proxies; records missing from any are listed.")
@click.option("--json", "as_json", is_flag=True, help="Print JSON instead of tables.")
def regions_report(files: tuple[Path, ...], edges: int, as_json: bool) -> None:
    """Sum the edge proxies' cross-region usage records in FILES by traffic type and pair of regions."""
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
    """Compute the least cross-region traffic that carries the load in RECORDS of the scenario in FILE.

    The capacities and budgets in FILE are respected. The plan is for information only; it controls nothing.
    """
    tables.print_plan(console, plan_scenario(load_scenario(file), traffic_record.read_rows(records)))
