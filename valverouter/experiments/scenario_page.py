"""An HTML page about an emulated run: service, queue delays, windows, tokens and attempts by second."""

from __future__ import annotations

from collections import Counter
from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field

from jinja2 import Environment

from valverouter.emulator.simulate import ScenarioResult
from valverouter.experiments.run_metrics import service_by_second
from valverouter.signalling.traffic_record import AuditConfigRow, FaultRow, MessageRow, Row

SECOND = 1_000_000_000
CHART_WIDTH, CHART_HEIGHT, CELL_SIZE = 900, 120, 14
OUTCOME_KINDS = ("stands", "full", "no-agent", "line-busy", "fault", "cancelled")
COLOURS = ("#2c7fb8", "#d95f0e", "#756bb1", "#999", "#de2d26", "#636363")

PAGE = """<!doctype html><html lang="en"><meta charset="utf-8"><title>{{ name }}</title>
<style>body{font:14px sans-serif;max-width:{{ wide + 140 }}px;margin:2em auto}svg{background:#fafafa}</style>
<h1>{{ name }}</h1><p>Emulated: all figures come from a model. {{ seconds }} seconds from the first dialog.
{% for trouble in troubles %}{{ trouble }}; {% endfor %}</p>
{% for chart in charts %}<h2>{{ chart.title }}</h2>
<svg width="{{ wide + 120 }}" height="{{ high + 20 }}" role="img">{% for line in chart.lines %}
<polyline fill="none" stroke="{{ line.colour }}" stroke-width="1.5" points="{{ line.points }}"/>
<text x="{{ wide + 5 }}" y="{{ 14 + 15 * loop.index0 }}" fill="{{ line.colour }}"
 font-size="12">{{ line.name }}</text>
{% endfor %}<text x="0" y="{{ high + 15 }}" font-size="11">0 to {{ chart.most }}</text></svg>{% endfor %}
<h2>Failed attempts by server and second</h2>
<svg width="{{ wide + 120 }}" height="{{ cell * heat|length + 20 }}" role="img">{% for row in heat %}
<text x="{{ wide + 5 }}" y="{{ cell * loop.index0 + 11 }}" font-size="11">{{ row.name }}</text>
{% for spot in row.spots %}<rect x="{{ spot.x }}" y="{{ row.y }}" width="{{ spot.w }}" height="{{ cell - 1 }}"
 fill="rgb(255,{{ spot.shade }},{{ spot.shade }})"><title>{{ spot.said }}</title></rect>
{% endfor %}{% endfor %}
</svg></html>
"""


ByServerAndSecond = Counter[tuple[str, int]]
BySecond = dict[int, float]


@dataclass(slots=True)
class _Attempts:
    """Counts of attempts and of failed attempts by server and second, and of outcomes by kind and second."""

    sent: ByServerAndSecond = field(default_factory=Counter)
    failed: ByServerAndSecond = field(default_factory=Counter)
    outcomes: Counter[tuple[str, int]] = field(default_factory=Counter)


def render_scenario_page(name: str, result: ScenarioResult) -> str:
    """Renders the self-contained HTML page, which loads nothing over the network."""
    rows = result.rows
    audit_config = next(row for row in rows if isinstance(row, AuditConfigRow))
    starts_at = next((row.at for row in rows if isinstance(row, MessageRow)), 0)
    service = {
        second: served / offered
        for second, (offered, served) in service_by_second(rows, audit_config).items()
        if offered
    }
    attempts = _count_attempts(result, starts_at)
    seconds = max([*service, *(second for _, second in attempts.sent)], default=0) + 1
    page = Environment(autoescape=True).from_string(PAGE)
    return page.render(
        name=name,
        seconds=seconds,
        troubles=_fault_lines(rows, starts_at),
        charts=_charts(result, service, attempts, seconds, starts_at),
        heat=_heat_map(attempts, seconds),
        wide=CHART_WIDTH,
        high=CHART_HEIGHT,
        cell=CELL_SIZE,
    )


def _count_attempts(result: ScenarioResult, starts_at: int) -> _Attempts:
    attempts = _Attempts()
    for row in result.rows:
        if not isinstance(row, MessageRow) or row.peer not in result.servers:
            continue
        second = (row.at - starts_at) // SECOND
        if not row.sent and row.kind == "setup":
            attempts.sent[row.peer, second] += 1
        elif row.sent and row.kind in OUTCOME_KINDS:
            attempts.outcomes[row.kind, second] += 1
            attempts.failed[row.peer, second] += row.kind != "stands"
    return attempts


def _fault_lines(rows: Sequence[Row], starts_at: int) -> list[str]:
    return [
        f"{row.kind} of {row.target} from {(row.at - starts_at) / 1e9:.0f} "
        f"to {(row.until - starts_at) / 1e9:.0f} s"
        for row in rows
        if isinstance(row, FaultRow)
    ]


def _charts(
    result: ScenarioResult, service: BySecond, attempts: _Attempts, seconds: int, starts_at: int
) -> list[dict[str, object]]:
    delays, windows, tokens = _by_server(result, starts_at)
    outcomes = {
        kind: {second: float(attempts.outcomes[kind, second]) for second in range(seconds)}
        for kind in OUTCOME_KINDS
    }
    return [
        _chart("Service of dialogs first dialled in each second", {"service": service}, seconds, 1.0),
        _chart("Attempts by outcome", outcomes, seconds),
        _chart("Queue delays known to the edge proxies, ms", delays, seconds),
        _chart("Windows (attempts in flight)", windows, seconds),
        _chart("Fraction of retry tokens left", tokens, seconds, 1.0),
    ]


def _by_server(result: ScenarioResult, starts_at: int) -> tuple[dict[str, BySecond], ...]:
    """Returns queue delays (ms), windows and token fractions, each by server and second."""
    delays: dict[str, BySecond] = {}
    windows: dict[str, BySecond] = {}
    tokens: dict[str, BySecond] = {}
    for sample in result.samples:
        second = (sample.at - starts_at) // SECOND
        delays.setdefault(sample.server, {})[second] = sample.queue_delay / 1e6
        windows.setdefault(sample.server, {})[second] = sample.window
        tokens.setdefault(sample.server, {})[second] = sample.token_fraction
    return delays, windows, tokens


def _heat_map(attempts: _Attempts, seconds: int) -> list[dict[str, object]]:
    servers = sorted({server for server, _ in attempts.sent})
    return [
        {
            "name": server,
            "y": CELL_SIZE * index,
            "spots": [
                _heat_map_cell(attempts, server, second, seconds)
                for second in range(seconds)
                if attempts.sent[server, second]
            ],
        }
        for index, server in enumerate(servers)
    ]


def _heat_map_cell(attempts: _Attempts, server: str, second: int, seconds: int) -> dict[str, object]:
    sent, failed = attempts.sent[server, second], attempts.failed[server, second]
    return {
        "x": round(second * CHART_WIDTH / seconds, 1),
        "w": round(CHART_WIDTH / seconds, 1),
        "shade": int(235 * (1 - min(1.0, failed / sent))),
        "said": f"{server}, second {second}: {failed} of {sent}",
    }


def _chart(
    title: str, lines: Mapping[str, Mapping[int, float]], seconds: int, maximum: float = 0.0
) -> dict[str, object]:
    top = maximum or max((value for line in lines.values() for value in line.values()), default=0.0) or 1.0
    drawn = [
        {"name": name, "colour": COLOURS[index % len(COLOURS)], "points": _points(line, seconds, top)}
        for index, (name, line) in enumerate(lines.items())
        if line
    ]
    return {"title": title, "most": f"{top:.3g}", "lines": drawn}


def _points(line: Mapping[int, float], seconds: int, top: float) -> str:
    points = [
        (second * CHART_WIDTH / max(1, seconds - 1), CHART_HEIGHT - value / top * (CHART_HEIGHT - 4))
        for second, value in sorted(line.items())
    ]
    return " ".join(f"{x:.1f},{y:.1f}" for x, y in points)
