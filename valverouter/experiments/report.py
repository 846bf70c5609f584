"""The stored runs of an experiment by levels, and a self-contained HTML page about them."""

from __future__ import annotations

from dataclasses import dataclass, field

from jinja2 import Environment

from valverouter.experiments.compare import Difference, confidence_interval, paired_difference
from valverouter.experiments.plan import Plan, source_version
from valverouter.experiments.runner import RunStore

PAGE = """<!doctype html><html lang="en"><meta charset="utf-8"><title>{{ name }}</title>
<style>body{font:15px sans-serif;max-width:70em;margin:2em auto}td,th{padding:.2em .7em;text-align:right}
th:first-child,td:first-child{text-align:left}tr:nth-child(even){background:#f3f3f3}.no{color:#888}</style>
<h1>{{ name }}</h1>
<p>{{ runs }} emulated runs (all figures come from a model), version {{ version }}, seeds {{ seeds }}.
Means with 95% intervals; differences from the baseline are paired by seed, and grey if not significant.</p>
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
CHARTED_METRICS = ("service", "worst-10s", "declined", "legs", "wasted")
BAR_AREA_WIDTH = 300


Levels = tuple[str, ...]


@dataclass(slots=True)
class Cell:
    """A combination of levels, and the metrics of its runs by seed."""

    levels: dict[str, str]
    by_seed: dict[int, dict[str, float]] = field(default_factory=dict)

    def values(self, metric: str) -> dict[int, float]:
        """Returns a metric's value by seed."""
        return {seed: metrics[metric] for seed, metrics in self.by_seed.items()}

    def interval(self, metric: str) -> tuple[float, float]:
        """Returns the mean of a metric and the half-width of its 95% interval."""
        return confidence_interval(list(self.values(metric).values()))


def collect_cells(plan: Plan, store: RunStore) -> dict[Levels, Cell]:
    """Loads the stored runs by levels, in the plan's order; combinations without stored runs are omitted."""
    cells: dict[Levels, Cell] = {}
    for run in plan.runs():
        if (metrics := store.load(run)) is not None:
            cell = cells.setdefault(tuple(run.levels.values()), Cell(run.levels))
            cell.by_seed[run.seed] = metrics
    return cells


def difference_from_baseline(
    cells: dict[Levels, Cell], cell: Cell, baseline: dict[str, str], metric: str
) -> Difference | None:
    """Returns the paired difference from the cell with the baseline's levels and otherwise the same levels.

    Returns None if there is no such cell, if it is this one, or if either has fewer than two runs.
    """
    if not baseline:
        return None
    base = cells.get(tuple((cell.levels | baseline).values()))
    if base is None or base is cell or min(len(base.by_seed), len(cell.by_seed)) < 2:
        return None
    return paired_difference(base.values(metric), cell.values(metric))


def report_page(plan: Plan, cells: dict[Levels, Cell], metric: str) -> str:
    """Renders the HTML page with bar charts, the one of the given metric first."""
    heads = list(next(iter(next(iter(cells.values())).by_seed.values())))
    charts = [_chart(cells, name) for name in dict.fromkeys((metric, *CHARTED_METRICS))]
    table = [
        {
            "name": ", ".join(levels),
            "cells": [_table_cell(cells, cell, plan.baseline, head) for head in heads],
        }
        for levels, cell in cells.items()
    ]
    page = Environment(autoescape=True).from_string(PAGE)
    return page.render(
        name=plan.name,
        runs=sum(len(cell.by_seed) for cell in cells.values()),
        version=source_version(),
        seeds=", ".join(map(str, plan.seeds)),
        charts=charts,
        heads=heads,
        table=table,
    )


def _chart(cells: dict[Levels, Cell], metric: str) -> dict[str, object]:
    intervals = {levels: cell.interval(metric) for levels, cell in cells.items()}
    scale = max(mean for mean, _ in intervals.values()) or 1.0
    bars = [_bar(levels, mean, min(half, mean), scale) for levels, (mean, half) in intervals.items()]
    return {"figure": metric, "bars": bars}


def _bar(levels: Levels, mean: float, half_width: float, scale: float) -> dict[str, object]:
    return {
        "name": ", ".join(levels),
        "width": BAR_AREA_WIDTH * mean / scale,
        "low": BAR_AREA_WIDTH * (mean - half_width) / scale,
        "high": BAR_AREA_WIDTH * (mean + half_width) / scale,
        "said": f"{mean:.3f} ± {half_width:.3f}",
    }


def _table_cell(
    cells: dict[Levels, Cell], cell: Cell, baseline: dict[str, str], metric: str
) -> dict[str, object]:
    mean, _ = cell.interval(metric)
    difference = difference_from_baseline(cells, cell, baseline, metric)
    if difference is None:
        return {"said": f"{mean:.3f}", "shown": True}
    return {"said": f"{mean:.3f} ({difference.mean:+.3f})", "shown": difference.is_significant}
