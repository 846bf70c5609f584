"""Plays scenarios and reads their records: `day`, `audit`, `calls`, `check`, `standin`, `load`."""

from __future__ import annotations

import tempfile
from pathlib import Path

import click
import structlog
import trio
from rich.progress import BarColumn, Progress, TextColumn, TimeElapsedColumn

from valverouter.cli.command_support import FILE, console, show_verdict
from valverouter.config.edge import LogConfig, edge_config
from valverouter.config.ini import IniFile
from valverouter.config.recorded_calls import write_calls
from valverouter.config.scenario import ScenarioConfig, load_scenario, scenario_config
from valverouter.edge import logs
from valverouter.edge.attempt_policies import AttemptPolicies
from valverouter.edge.sockets import SocketRuntime
from valverouter.regions.cross_region_limiter import CrossRegionLimiter
from valverouter.scenarios.loopback import run_loopback
from valverouter.scenarios.recorded_calls import recorded_calls
from valverouter.scenarios.scenario_fakes import ScenarioFakes
from valverouter.scenarios.scenario_runner import run_calls_and_faults
from valverouter.scenarios.virtual import run_virtual
from valverouter.signalling import traffic_record

log = structlog.get_logger()


@click.command("day")
@click.argument("file", type=FILE)
@click.option("--virtual", is_flag=True, help="In virtual time, in memory: seconds, and exact.")
@click.option("--records", type=FILE, help="Keep the rows of what passed in this file.")
@click.option("--logs", "folder", type=FILE, help="Keep the edge proxies' files and logs in this folder.")
def play(file: Path, virtual: bool, records: Path | None, folder: Path | None) -> None:
    """Play the scripted day in FILE, print what callers got and the audit's verdict.

    Exits with 1 when a rule was broken.
    """
    scenario = load_scenario(file)
    logs.configure_logging(LogConfig(level="error"))
    if virtual:
        with console.status(f"{scenario.name} in virtual time"):
            rows = run_virtual(scenario)
    else:
        rows = _run_on_loopback(scenario, folder)
    if records is not None:
        traffic_record.write_rows(records, rows)
    show_verdict(rows)


def _run_on_loopback(scenario: ScenarioConfig, folder: Path | None) -> list[traffic_record.Row]:
    bars = Progress(TextColumn("{task.description}"), BarColumn(), TimeElapsedColumn(), console=console)
    with tempfile.TemporaryDirectory() as temporary, bars:
        task = bars.add_task(f"{scenario.name} on loopback", total=1.0)
        run_folder = folder or Path(temporary)
        run_folder.mkdir(parents=True, exist_ok=True)
        return run_loopback(scenario, run_folder, lambda fraction: bars.update(task, completed=fraction))


@click.command("audit")
@click.argument("records", type=FILE)
def check_records(records: Path) -> None:
    """Check the five rules over kept RECORDS; exits with 1 when one was broken."""
    rows = traffic_record.read_rows(records)
    if not any(isinstance(row, traffic_record.AuditConfigRow) for row in rows):
        raise ValueError(f"{records}: holds no terms row, so there is nothing to check it against")
    show_verdict(rows)


@click.command("calls")
@click.argument("records", type=FILE)
@click.option("--out", type=FILE, required=True, help="The calls go here, as CSV.")
def kept_calls(records: Path, out: Path) -> None:
    """The first tries in kept RECORDS as a file that a day's `record` plays again."""
    count = write_calls(out, recorded_calls(traffic_record.read_rows(records)))
    console.print(f"{count} calls; {out}", highlight=False, soft_wrap=True)


@click.command()
@click.argument("file", type=FILE)
def check(file: Path) -> None:
    """Check an edge proxy's FILE, or a day's; prints every flaw with its line and reason."""
    ini = IniFile.load(file)
    if "edge" in ini.sections:
        config = edge_config(ini)
        AttemptPolicies(config)
        if config.crossing is not None:
            CrossRegionLimiter(config.crossing, 0)
        console.print(
            f"{file}: an edge proxy's terms, {len(config.deployment.traffic_types)} traffic types: sound"
        )
    else:
        scenario = scenario_config(ini, file.stem)
        console.print(f"{file}: a day with {len(scenario.faults)} troubles: sound")


@click.command()
@click.argument("file", type=FILE)
@click.option(
    "--list", "list_at", default="127.0.0.1:0", show_default=True, help="Where the list service listens."
)
@click.option("--seconds", default=60.0, show_default=True, help="It ends by itself after so long.")
def standin(file: Path, list_at: str, seconds: float) -> None:
    """Run the stand-in setup servers and list service of a day's FILE, with its troubles but no callers."""
    scenario = load_scenario(file)
    trio.run(_run_fakes, scenario, list_at, seconds)


async def _run_fakes(scenario: ScenarioConfig, list_at: str, seconds: float) -> None:
    addresses = {"list": list_at}
    fakes = ScenarioFakes(
        scenario, SocketRuntime(), scenario.run.slack, lambda name: addresses.get(name, "127.0.0.1:0")
    )
    with trio.move_on_after(seconds):
        async with trio.open_nursery() as nursery:
            await fakes.start(nursery)
            console.print(f"list service at {fakes.endpoint_list.address}")
            for server in fakes.servers.values():
                console.print(f"{server.name} at {server.address}")
            await run_calls_and_faults(fakes)


@click.command()
@click.argument("file", type=FILE)
@click.option("--rate", "rates", type=float, multiple=True, help="Dialogs a second; several: one run each.")
@click.option("--seconds", default=5.0, show_default=True, help="How long each run dials.")
@click.option("--find", is_flag=True, help="Find the highest rate that holds the objective.")
@click.option("--share", default=0.99, show_default=True, help="Of those offered that must stand in it.")
@click.option("--most", default=20_000.0, show_default=True, help="The highest rate that is tried.")
@click.option("--against", type=FILE, help="Another day's file: runs of the two alternate.")
@click.option("--rounds", default=3, show_default=True, help="Runs of each, where two are compared.")
@click.option("--histogram", type=FILE, help="Keep the last run's delays here, as HdrHistogram text.")
def load(
    file: Path,
    rates: tuple[float, ...],
    seconds: float,
    find: bool,
    share: float,
    most: float,
    against: Path | None,
    rounds: int,
    histogram: Path | None,
) -> None:
    """Drive a real edge proxy of the day in FILE open-loop on loopback; delays from when each was due."""
    from valverouter.cli import load_runs

    if against is not None:
        trio.run(load_runs.compare, console, (file, against), rates or (100.0,), seconds, rounds)
    elif find:
        trio.run(load_runs.find_highest_rate, console, file, seconds, share, most)
    else:
        trio.run(load_runs.run_at_rates, console, file, rates or (100.0,), seconds, histogram)
