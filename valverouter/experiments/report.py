"""The kept runs of an experiment, gathered by levels, and a page of them that needs no tool to be read."""

from __future__ import annotations

from dataclasses import dataclass, field

from jinja2 import Environment

from valverouter.experiments.compare import interval, paired
from valverouter.experiments.plan import Plan, version
from valverouter.experiments.runner import Store

PAGE = """<!doctype html><html lang="en"><meta charset="utf-8"><title>{{ name }}</title>
<style>body{font:15px sans-serif;max-width:70em;margin:2em auto}td,th{padding:.2em .7em;text-align:right}
th:first-child,td:first-child{text-align:left}tr:nth-child(even){background:#f3f3f3}.no{color:#888}</style>
<h1>{{ name }}</h1>
<p>{{ runs }} runs of an emulator (figures are a model's), version {{ version }}, seeds {{ seeds }}.
Means with 95% intervals; differences from the baseline by pairs of the same seed, grey where not shown.</p>
{% for chart in charts %}<h2>{{ chart.figure }}</h2>
<svg viewBox="0 0 700 {{ 26 * chart.bars|length + 10 }}" width="700" role="img">
{% for bar in chart.bars %}<text x="0" y="{{ 26 * loop.index0 + 18 }}" font-size="13">{{ bar.name }}</text>
<rect x="260" y="{{ 26 * loop.index0 + 5 }}" width="{{ bar.width }}" height="16" fill="#4a7ab5"/>
<line x1="{{ 260 + bar.low }}" x2="{{ 260 + bar.high }}" y1="{{ 26 * loop.index0 + 13 }}"
 y2="{{ 26 * loop.index0 + 13 }}" stroke="#111"/>
<text x="{{ 270 + bar.high }}" y="{{ 26 * loop.index0 + 18 }}" font-size="13">{{ bar.said }}</text>
{% endfor %}</svg>{% endfor %}
<h2>All figures</h2><table><tr><th>levels</th>{% for head in heads %}<th>{{ head }}</th>{% endfor %}</tr>
{% for row in table %}<tr><td>{{ row.name }}</td>{% for cell in row.cells %}
<td{% if not cell.shown %} class="no"{% endif %}>{{ cell.said }}</td>{% endfor %}</tr>
{% endfor %}</table></html>
"""
CHARTED = ("service", "worst-10s", "declined", "legs", "wasted")
WIDE = 300


@dataclass(slots=True)
class Cell:
    """One combination of levels, and the figures of its runs by seed."""

    levels: dict[str, str]
    by_seed: dict[int, dict[str, float]] = field(default_factory=dict)


def gathered(plan: Plan, store: Store) -> dict[tuple[str, ...], Cell]:
    """The kept runs by levels, in the plan's order; combinations without any are left out."""
    cells: dict[tuple[str, ...], Cell] = {}
    for run in plan.runs():
        if (found := store.figures(run)) is not None:
            cell = cells.setdefault(tuple(run.levels.values()), Cell(run.levels))
            cell.by_seed[run.seed] = found
    return cells


def baseline_of(cells: dict[tuple[str, ...], Cell], cell: Cell, baseline: dict[str, str]) -> Cell | None:
    """The cell that differs from this one in the baseline's factors alone."""
    if not baseline:
        return None
    return cells.get(tuple((cell.levels | baseline).values()))


def page(plan: Plan, cells: dict[tuple[str, ...], Cell], figure: str) -> str:
    """HTML with bars drawn in it, the figure asked for first."""
    heads = list(next(iter(next(iter(cells.values())).by_seed.values())))
    charts = []
    for name in dict.fromkeys((figure, *CHARTED)):
        means = {
            key: interval([found[name] for found in cell.by_seed.values()]) for key, cell in cells.items()
        }
        most = max(mean for mean, _ in means.values()) or 1.0
        bars = []
        for key, (mean, half) in means.items():
            half = min(half, mean)
            bars.append(
                {
                    "name": ", ".join(key),
                    "width": WIDE * mean / most,
                    "low": WIDE * (mean - half) / most,
                    "high": WIDE * (mean + half) / most,
                    "said": f"{mean:.3f} ± {half:.3f}",
                }
            )
        charts.append({"figure": name, "bars": bars})
    table = [
        {"name": ", ".join(key), "cells": [_said(cells, cell, plan.baseline, head) for head in heads]}
        for key, cell in cells.items()
    ]
    runs = sum(len(cell.by_seed) for cell in cells.values())
    seeds = ", ".join(map(str, plan.seeds))
    return (
        Environment(autoescape=True)
        .from_string(PAGE)
        .render(
            name=plan.name, runs=runs, version=version(), seeds=seeds, charts=charts, heads=heads, table=table
        )
    )


def _said(
    cells: dict[tuple[str, ...], Cell], cell: Cell, baseline: dict[str, str], head: str
) -> dict[str, object]:
    mean, _ = interval([found[head] for found in cell.by_seed.values()])
    base = baseline_of(cells, cell, baseline)
    if base is None or base is cell or min(len(base.by_seed), len(cell.by_seed)) < 2:
        return {"said": f"{mean:.3f}", "shown": True}
    found = paired(
        {seed: one[head] for seed, one in base.by_seed.items()},
        {seed: one[head] for seed, one in cell.by_seed.items()},
    )
    return {"said": f"{mean:.3f} ({found.mean:+.3f})", "shown": found.shown}
