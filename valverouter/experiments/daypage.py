"""One emulated day as a page: service, waits, windows, tokens and legs by second, servers as a heat map."""

from __future__ import annotations

from collections import Counter
from collections.abc import Mapping, Sequence

from jinja2 import Environment

from valverouter.emulator.fleet import Emulated
from valverouter.experiments.figures import by_second
from valverouter.signalling.tap import AuditConfigRow, FaultRow, MessageRow

SECOND = 1_000_000_000
WIDE, HIGH, CELL = 900, 120, 14
ENDS = ("stands", "full", "no-agent", "line-busy", "fault", "cancelled")
COLOURS = ("#2c7fb8", "#d95f0e", "#756bb1", "#999", "#de2d26", "#636363")

PAGE = """<!doctype html><html lang="en"><meta charset="utf-8"><title>{{ name }}</title>
<style>body{font:14px sans-serif;max-width:{{ wide + 140 }}px;margin:2em auto}svg{background:#fafafa}</style>
<h1>{{ name }}</h1><p>Emulated: figures are a model's. {{ seconds }} seconds from the first dialog on.
{% for trouble in troubles %}{{ trouble }}; {% endfor %}</p>
{% for chart in charts %}<h2>{{ chart.title }}</h2>
<svg width="{{ wide + 120 }}" height="{{ high + 20 }}" role="img">{% for line in chart.lines %}
<polyline fill="none" stroke="{{ line.colour }}" stroke-width="1.5" points="{{ line.points }}"/>
<text x="{{ wide + 5 }}" y="{{ 14 + 15 * loop.index0 }}" fill="{{ line.colour }}"
 font-size="12">{{ line.name }}</text>
{% endfor %}<text x="0" y="{{ high + 15 }}" font-size="11">0 to {{ chart.most }}</text></svg>{% endfor %}
<h2>Legs that did not stand, by server and second</h2>
<svg width="{{ wide + 120 }}" height="{{ cell * heat|length + 20 }}" role="img">{% for row in heat %}
<text x="{{ wide + 5 }}" y="{{ cell * loop.index0 + 11 }}" font-size="11">{{ row.name }}</text>
{% for spot in row.spots %}<rect x="{{ spot.x }}" y="{{ row.y }}" width="{{ spot.w }}" height="{{ cell - 1 }}"
 fill="rgb(255,{{ spot.shade }},{{ spot.shade }})"><title>{{ spot.said }}</title></rect>
{% endfor %}{% endfor %}
</svg></html>
"""


def day_page(name: str, emulated: Emulated) -> str:
    """The page, readable without any tool or network."""
    rows = emulated.rows
    terms = next(row for row in rows if isinstance(row, AuditConfigRow))
    start = next((row.at for row in rows if isinstance(row, MessageRow)), 0)
    served = {at: got / offered for at, (offered, got) in by_second(rows, terms).items() if offered}
    sent, failed, outcomes = (
        Counter[tuple[str, int]](),
        Counter[tuple[str, int]](),
        Counter[tuple[str, int]](),
    )
    for row in rows:
        if isinstance(row, MessageRow) and row.peer in emulated.servers:
            at = (row.at - start) // SECOND
            if not row.sent and row.kind == "setup":
                sent[row.peer, at] += 1
            elif row.sent and row.kind in ENDS:
                outcomes[row.kind, at] += 1
                failed[row.peer, at] += row.kind != "stands"
    seconds = max([*served, *(at for _, at in sent)], default=0) + 1
    known: dict[str, dict[str, dict[int, float]]] = {"wait": {}, "window": {}, "tokens": {}}
    for one in emulated.samples:
        at = (one.at - start) // SECOND
        for what, value in (("wait", one.wait / 1e6), ("window", one.window), ("tokens", one.tokens)):
            known[what].setdefault(one.server, {})[at] = value
    legs = {kind: {at: float(outcomes[kind, at]) for at in range(seconds)} for kind in ENDS}
    charts = [
        _chart("Service of dialogs first dialled in each second", {"service": served}, seconds, 1.0),
        _chart("Legs by outcome", legs, seconds),
        _chart("Waits that the edge proxies know, ms", known["wait"], seconds),
        _chart("Windows for unanswered legs", known["window"], seconds),
        _chart("Retry tokens left", known["tokens"], seconds, 1.0),
    ]
    heat = []
    for index, server in enumerate(sorted({server for server, _ in sent})):
        spots = []
        for at in range(seconds):
            if sent[server, at]:
                share = min(1.0, failed[server, at] / sent[server, at])
                said = f"{server}, second {at}: {failed[server, at]} of {sent[server, at]}"
                spots.append(
                    {
                        "x": round(at * WIDE / seconds, 1),
                        "w": round(WIDE / seconds, 1),
                        "shade": int(235 * (1 - share)),
                        "said": said,
                    }
                )
        heat.append({"name": server, "y": CELL * index, "spots": spots})
    faults = [row for row in rows if isinstance(row, FaultRow)]
    troubles = [
        f"{row.kind} of {row.target} from {(row.at - start) / 1e9:.0f} to {(row.until - start) / 1e9:.0f} s"
        for row in faults
    ]
    return (
        Environment(autoescape=True)
        .from_string(PAGE)
        .render(
            name=name,
            seconds=seconds,
            troubles=troubles,
            charts=charts,
            heat=heat,
            wide=WIDE,
            high=HIGH,
            cell=CELL,
        )
    )


def _chart(
    title: str, lines: Mapping[str, Mapping[int, float]], seconds: int, most: float = 0.0
) -> dict[str, object]:
    top = most or max((value for line in lines.values() for value in line.values()), default=0.0) or 1.0
    drawn = [
        {"name": name, "colour": COLOURS[at % len(COLOURS)], "points": _points(line, seconds, top)}
        for at, (name, line) in enumerate(lines.items())
        if line
    ]
    return {"title": title, "most": f"{top:.3g}", "lines": drawn}


def _points(line: Mapping[int, float], seconds: int, top: float) -> str:
    spots: Sequence[tuple[float, float]] = [
        (at * WIDE / max(1, seconds - 1), HIGH - value / top * (HIGH - 4))
        for at, value in sorted(line.items())
    ]
    return " ".join(f"{x:.1f},{y:.1f}" for x, y in spots)
