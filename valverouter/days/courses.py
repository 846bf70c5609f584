"""Courses of faults drawn by a seed: paths between edge proxies, and the edge proxies themselves."""

from __future__ import annotations

import random

from valverouter.servermodel.paths import PATH_FAULT_KINDS

# Shares of the course's length: faults begin after the first and have ended by the second.
FIRST_FAULT_FRACTION, LAST_FAULT_FRACTION = 0.08, 0.9
# What befalls an edge proxy, each struck once at most: two faults at one process would be a third kind.
EDGE_FAULT_KINDS = ("balancer_crash", "balancer_stall", "balancer_leave", "balancer_late")


def draw_fault_course(seed: int, edges: int, regions: tuple[str, ...], length_s: float) -> str:
    """Sections [path ...] and [trouble ...] for a day's file, the same for the same seed.

    Four to seven faults of paths, and a third of the edge proxies crash, stop, leave or come late.
    """
    chance = random.Random(f"course/{seed}")
    sections = []
    for at in range(chance.randint(4, 7)):
        sections.append(_path(chance, f"p{at}", edges, regions, length_s))
    struck = chance.sample(range(edges), edges // 3)
    for at, place in enumerate(struck):
        sections.append(_trouble(chance, f"t{at}", place, length_s))
    return "\n".join(sections)


def _span(chance: random.Random, length_s: float) -> tuple[float, float]:
    start = chance.uniform(FIRST_FAULT_FRACTION, 0.7) * length_s
    return start, min(chance.uniform(0.08, 0.4) * length_s, LAST_FAULT_FRACTION * length_s - start)


def _path(chance: random.Random, name: str, edges: int, regions: tuple[str, ...], length_s: float) -> str:
    start, span = _span(chance, length_s)
    kind = chance.choice(PATH_FAULT_KINDS)
    rows = [
        f"[path {name}]",
        f"kind = {kind}",
        f"start = {start * 1000:.0f}ms",
        f"length = {span * 1000:.0f}ms",
    ]
    if kind == "split":
        cut = chance.choice(regions) if chance.random() < 0.5 else _some(chance, edges)
        rest = [f"e{place}" for place in range(edges) if f"e{place}" not in cut.split("+")]
        others = "+".join(one for one in regions if one != cut) if cut in regions else "+".join(rest)
        rows.append(f"groups = {cut}, {others}")
    else:
        everybody = chance.random() < 0.4 and kind != "cut"
        if not everybody:
            rows.append(f"senders = {_some(chance, edges)}")
            if chance.random() < 0.5:
                rows.append(f"receivers = {_some(chance, edges)}")
        rows.append(f"both = {chance.choice(('yes', 'no'))}")
        rows.append(f"share = {chance.uniform(0.05, 0.4):.2f}")
        rows.append(f"span = {chance.choice((20, 100, 300))}ms")
        rows.append("jitter = 0.5")
    return "\n".join([*rows, ""])


def _some(chance: random.Random, edges: int) -> str:
    most = max(1, edges // 3)
    return "+".join(f"e{place}" for place in sorted(chance.sample(range(edges), chance.randint(1, most))))


def _trouble(chance: random.Random, name: str, place: int, length_s: float) -> str:
    start, span = _span(chance, length_s)
    kind = chance.choice(EDGE_FAULT_KINDS)
    rows = [f"[trouble {name}]", f"kind = {kind}", f"start = {start * 1000:.0f}ms", f"on = e{place}"]
    if kind != "balancer_late":
        rows.append(f"length = {span * 1000:.0f}ms")
    return "\n".join([*rows, ""])
