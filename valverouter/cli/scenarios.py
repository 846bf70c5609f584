"""Commands that run scenarios and read their records: `day`, `audit`, `calls`, `check`, `standin`, `load`."""

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
@click.option(
    "--virtual", is_flag=True, help="Run in memory in virtual time: takes seconds and is deterministic."
)
@click.option("--records", type=FILE, help="Write the recorded traffic to this file.")
@click.option("--logs", "folder", type=FILE, help="Keep the edge proxies' files and logs in this folder.")
def play(file: Path, virtual: bool, records: Path | None, folder: Path | None) -> None:
    """Run the scenario in FILE, and print the service that callers received and the audit's verdict.

    Exits with 1 if a rule was violated.
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
    """Check the five rules on stored RECORDS; exits with 1 if one was violated."""
    rows = traffic_record.read_rows(records)
    if not any(isinstance(row, traffic_record.AuditConfigRow) for row in rows):
        raise ValueError(f"{records}: has no audit configuration, so its traffic can't be checked")
    show_verdict(rows)


@click.command("calls")
@click.argument("records", type=FILE)
@click.option("--out", type=FILE, required=True, help="Write the calls to this file, as CSV.")
def export_calls(records: Path, out: Path) -> None:
    """Export the first dial attempts in stored RECORDS to a file that a scenario's `record` setting reads."""
    count = write_calls(out, recorded_calls(traffic_record.read_rows(records)))
    console.print(f"{count} calls; {out}", highlight=False, soft_wrap=True)


@click.command()
@click.argument("file", type=FILE)
def check(file: Path) -> None:
    """Check an edge proxy's or a scenario's FILE; prints every problem with its line and reason."""
    ini = IniFile.load(file)
    if "edge" in ini.sections:
        config = edge_config(ini)
        AttemptPolicies(config)
        if config.crossing is not None:
            CrossRegionLimiter(config.crossing, 0)
        console.print(
            f"{file}: an edge proxy's settings, {len(config.deployment.traffic_types)} traffic types: sound"
        )
    else:
        scenario = scenario_config(ini, file.stem)
        console.print(f"{file}: a scenario with {len(scenario.faults)} faults: sound")


@click.command()
@click.argument("file", type=FILE)
@click.option(
    "--list", "list_at", default="127.0.0.1:0", show_default=True, help="The list service's listen address."
)
@click.option("--seconds", default=60.0, show_default=True, help="Exit after this time.")
def standin(file: Path, list_at: str, seconds: float) -> None:
    """Run the fake set-up servers and list service of the scenario in FILE, with faults, without callers."""
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
@click.option(
    "--rate",
    "rates",
    type=float,
    multiple=True,
    help="Dialogs per second; may be repeated, for one run each.",
)
@click.option("--seconds", default=5.0, show_default=True, help="The duration of dialling in each run.")
@click.option("--find", is_flag=True, help="Find the highest rate that meets the objective.")
@click.option(
    "--share",
    default=0.99,
    show_default=True,
    help="With --find: the fraction of dialogs that must be established within the objective.",
)
@click.option("--most", default=20_000.0, show_default=True, help="With --find: the highest rate to try.")
@click.option("--against", type=FILE, help="Another scenario's file to compare with, in alternating runs.")
@click.option(
    "--rounds", default=3, show_default=True, help="With --against: the number of runs of each scenario."
)
@click.option(
    "--histogram", type=FILE, help="Write the last run's latencies to this file, as HdrHistogram text."
)
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
    """Load an edge proxy of the scenario in FILE over loopback, open-loop.

    Latencies are measured from the time at which each dialog was due to be dialled.
    """
    from valverouter.cli import load_runs

    if against is not None:
        trio.run(load_runs.compare, console, (file, against), rates or (100.0,), seconds, rounds)
    elif find:
        trio.run(load_runs.find_highest_rate, console, file, seconds, share, most)
    else:
        trio.run(load_runs.run_at_rates, console, file, rates or (100.0,), seconds, histogram)
