"""What `valverouter load` runs and prints."""

from __future__ import annotations

import tempfile
from pathlib import Path

from rich.console import Console

from valverouter.experiments.compare import paired_difference
from valverouter.load.drive import drive
from valverouter.load.measure import LoadSample
from valverouter.load.rate_search import highest_rate
from valverouter.load.target import target
from valverouter.terms.day import load_scenario

# How long fakes outlive what they were asked for; they end by themselves.
SPARE_S = 60


def said(sample: LoadSample) -> str:
    p50, p99, p999 = (sample.latency_percentile(percent) for percent in (50, 99, 99.9))
    return (
        f"{sample.rate:.0f}/s: {sample.offered} offered, {sample.established} stood, "
        f"{sample.rejected} declined, {sample.failed} aborted, {sample.unanswered} unanswered; "
        f"p50 {p50:.2f} ms, p99 {p99:.2f} ms, p99.9 {p999:.2f} ms; "
        f"dialled at most {sample.max_dial_delay / 1e6:.1f} ms late"
    )


async def at_rates(
    console: Console, file: Path, rates: tuple[float, ...], seconds: float, histogram: Path | None
) -> None:
    day = load_scenario(file)
    with tempfile.TemporaryDirectory() as folder:
        async with target(file, day, Path(folder), len(rates) * (seconds + 15) + SPARE_S) as address:
            for at, rate in enumerate(rates):
                sample = await drive(address, day, rate, seconds, f"load{at}")
                console.print(said(sample), highlight=False, soft_wrap=True)
    if histogram is not None:
        with histogram.open("wb") as out:
            sample.latencies.output_percentile_distribution(out, 1_000.0)


async def find(console: Console, file: Path, seconds: float, share: float, most: float) -> None:
    day = load_scenario(file)
    objective = min(kind.objective for kind in day.traffic.values())
    runs = 0

    async def holds(rate: float) -> bool:
        nonlocal runs
        runs += 1
        sample = await drive(address, day, rate, seconds, f"find{runs}")
        held = sample.meets(objective, share)
        console.print(f"{'holds' if held else 'does not'}: {said(sample)}", highlight=False, soft_wrap=True)
        return held

    with tempfile.TemporaryDirectory() as folder:
        async with target(file, day, Path(folder), 25 * (seconds + 15)) as address:
            found = await highest_rate(holds, 20.0, most)
    console.print(
        f"highest rate at which {share:.1%} stand within {objective / 1e6:.0f} ms: {found:.0f}/s",
        highlight=False,
    )


async def against(
    console: Console, files: tuple[Path, Path], rates: tuple[float, ...], seconds: float, rounds: int
) -> None:
    """Runs of the two alternate, the first of a round changing sides, so that drift strikes both alike."""
    days = [load_scenario(file) for file in files]
    span = rounds * len(rates) * 2 * (seconds + 15) + SPARE_S
    with tempfile.TemporaryDirectory() as one, tempfile.TemporaryDirectory() as two:
        async with (
            target(files[0], days[0], Path(one), span) as first,
            target(files[1], days[1], Path(two), span) as second,
        ):
            for rate in rates:
                p99: tuple[dict[int, float], dict[int, float]] = {}, {}
                for at in range(rounds):
                    for side in (at % 2, 1 - at % 2):
                        address = (first, second)[side]
                        sample = await drive(address, days[side], rate, seconds, f"r{rate:.0f}-{at}")
                        p99[side][at] = sample.latency_percentile(99)
                        console.print(f"{files[side].stem}: {said(sample)}", highlight=False, soft_wrap=True)
                if rounds > 1:
                    found = paired_difference(*p99)
                    sure = "" if found.is_significant else ", not shown"
                    console.print(
                        f"p99 at {rate:.0f}/s, {files[1].stem} less {files[0].stem}: "
                        f"{found.mean:+.2f} ± {found.half_width:.2f} ms{sure}",
                        highlight=False,
                    )
