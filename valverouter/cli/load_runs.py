"""The modes of `valverouter load`: runs at given rates, a search for the highest rate, and a comparison."""

from __future__ import annotations

import tempfile
from pathlib import Path

from rich.console import Console

from valverouter.config.scenario import load_scenario
from valverouter.experiments.compare import paired_difference
from valverouter.load_test.drive import drive
from valverouter.load_test.measure import LoadSample
from valverouter.load_test.rate_search import highest_rate
from valverouter.load_test.target import target

# The fakes exit by themselves this long after the planned end of the runs.
FAKES_MARGIN_S = 60
# The duration of a run beyond the time in which it dials.
RUN_MARGIN_S = 15
# The rate at which a search starts, in dialogs per second.
MIN_RATE = 20.0
# A search takes at most this many runs; its fakes stay up for as long.
MAX_SEARCH_RUNS = 25


def format_sample(sample: LoadSample) -> str:
    """Formats a run's counts and latencies as one line."""
    p50, p99, p999 = (sample.latency_percentile(percent) for percent in (50, 99, 99.9))
    return (
        f"{sample.rate:.0f}/s: {sample.offered} offered, {sample.established} stood, "
        f"{sample.rejected} declined, {sample.failed} aborted, {sample.unanswered} unanswered; "
        f"p50 {p50:.2f} ms, p99 {p99:.2f} ms, p99.9 {p999:.2f} ms; "
        f"dialled at most {sample.max_dial_delay / 1e6:.1f} ms late"
    )


async def run_at_rates(
    console: Console, file: Path, rates: tuple[float, ...], seconds: float, histogram: Path | None
) -> None:
    """Runs once at each rate; writes the last run's latencies to the file `histogram`."""
    scenario = load_scenario(file)
    with tempfile.TemporaryDirectory() as folder:
        async with target(
            file, scenario, Path(folder), len(rates) * (seconds + RUN_MARGIN_S) + FAKES_MARGIN_S
        ) as address:
            for number, rate in enumerate(rates):
                sample = await drive(address, scenario, rate, seconds, f"load{number}")
                console.print(format_sample(sample), highlight=False, soft_wrap=True)
    if histogram is not None:
        with histogram.open("wb") as out:
            sample.latencies.output_percentile_distribution(out, 1_000.0)


async def find_highest_rate(
    console: Console, file: Path, seconds: float, share: float, max_rate: float
) -> None:
    """Searches for the highest rate at which the fraction `share` of the dialogs meets the latency objective.

    The objective is the shortest one of the scenario's traffic types.
    """
    scenario = load_scenario(file)
    objective = min(kind.objective for kind in scenario.traffic.values())
    runs = 0

    async def is_sustained(rate: float) -> bool:
        nonlocal runs
        runs += 1
        sample = await drive(address, scenario, rate, seconds, f"find{runs}")
        sustained = sample.meets(objective, share)
        console.print(
            f"{'holds' if sustained else 'does not'}: {format_sample(sample)}",
            highlight=False,
            soft_wrap=True,
        )
        return sustained

    with tempfile.TemporaryDirectory() as folder:
        async with target(
            file, scenario, Path(folder), MAX_SEARCH_RUNS * (seconds + RUN_MARGIN_S)
        ) as address:
            found = await highest_rate(is_sustained, MIN_RATE, max_rate)
    console.print(
        f"highest rate at which {share:.1%} are established within {objective / 1e6:.0f} ms: {found:.0f}/s",
        highlight=False,
    )


async def compare(
    console: Console, files: tuple[Path, Path], rates: tuple[float, ...], seconds: float, rounds: int
) -> None:
    """Compares two scenarios in alternating runs.

    Each round swaps the order, so that drift of the machine affects both alike.
    """
    scenarios = [load_scenario(file) for file in files]
    duration = rounds * len(rates) * 2 * (seconds + RUN_MARGIN_S) + FAKES_MARGIN_S
    with tempfile.TemporaryDirectory() as first_folder, tempfile.TemporaryDirectory() as second_folder:
        async with (
            target(files[0], scenarios[0], Path(first_folder), duration) as first,
            target(files[1], scenarios[1], Path(second_folder), duration) as second,
        ):
            for rate in rates:
                p99: tuple[dict[int, float], dict[int, float]] = {}, {}
                for round_number in range(rounds):
                    for side in (round_number % 2, 1 - round_number % 2):
                        address = (first, second)[side]
                        sample = await drive(
                            address, scenarios[side], rate, seconds, f"r{rate:.0f}-{round_number}"
                        )
                        p99[side][round_number] = sample.latency_percentile(99)
                        console.print(
                            f"{files[side].stem}: {format_sample(sample)}", highlight=False, soft_wrap=True
                        )
                if rounds > 1:
                    difference = paired_difference(*p99)
                    significance = "" if difference.is_significant else ", not significant"
                    console.print(
                        f"p99 at {rate:.0f}/s, {files[1].stem} less {files[0].stem}: "
                        f"{difference.mean:+.2f} ± {difference.half_width:.2f} ms{significance}",
                        highlight=False,
                    )
