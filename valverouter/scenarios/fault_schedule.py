"""Draws a schedule of random faults from a seed: faults of network paths between edge proxies and of edge
proxies themselves.
"""

from __future__ import annotations

import random

from valverouter.servermodel.paths import PATH_FAULT_KINDS

# Fractions of the schedule's length: faults start between the first two, and have ended by the third.
FIRST_START_FRACTION, LAST_START_FRACTION, LAST_END_FRACTION = 0.08, 0.7, 0.9
# Range of a fault's duration.
DURATION_FRACTIONS = (0.08, 0.4)
# Range of the number of path faults.
PATH_FAULT_COUNTS = (4, 7)
# One in three edge proxies has a fault, and only one: two faults at one process would be a third kind.
EDGES_PER_FAULT = 3
EDGE_FAULT_KINDS = ("balancer_crash", "balancer_stall", "balancer_leave", "balancer_late")
# The probability that a path fault affects all senders.
ALL_SENDERS_PROBABILITY = 0.4
# Range of the fraction of datagrams that a path fault affects.
FAULT_PROBABILITIES = (0.05, 0.4)
# Delays that a path fault adds, ms.
DELAYS_MS = (20, 100, 300)


def draw_fault_schedule(seed: int, edges: int, regions: tuple[str, ...], length_s: float) -> str:
    """Returns sections [path ...] and [trouble ...] for a scenario file, the same for the same seed.

    There are four to seven path faults, and a third of the edge proxies crash, stall, leave or start late.
    """
    rng = random.Random(f"course/{seed}")
    sections = [
        _path_section(rng, f"p{number}", edges, regions, length_s)
        for number in range(rng.randint(*PATH_FAULT_COUNTS))
    ]
    targets = rng.sample(range(edges), edges // EDGES_PER_FAULT)
    sections += [_edge_section(rng, f"t{number}", target, length_s) for number, target in enumerate(targets)]
    return "\n".join(sections)


def _draw_times(rng: random.Random, length_s: float) -> tuple[float, float]:
    """Returns a fault's start and duration, s."""
    start = rng.uniform(FIRST_START_FRACTION, LAST_START_FRACTION) * length_s
    return start, min(rng.uniform(*DURATION_FRACTIONS) * length_s, LAST_END_FRACTION * length_s - start)


def _path_section(
    rng: random.Random, name: str, edges: int, regions: tuple[str, ...], length_s: float
) -> str:
    start, duration = _draw_times(rng, length_s)
    kind = rng.choice(PATH_FAULT_KINDS)
    lines = [
        f"[path {name}]",
        f"kind = {kind}",
        f"start = {start * 1000:.0f}ms",
        f"length = {duration * 1000:.0f}ms",
    ]
    if kind == "split":
        lines.append(_draw_groups(rng, edges, regions))
    else:
        lines += _draw_path_fault(rng, kind, edges)
    return "\n".join([*lines, ""])


def _draw_groups(rng: random.Random, edges: int, regions: tuple[str, ...]) -> str:
    """Returns the setting of a partition: one region or some edge proxies, and all others."""
    group = rng.choice(regions) if rng.random() < 0.5 else _draw_edges(rng, edges)
    if group in regions:
        others = [region for region in regions if region != group]
    else:
        others = [f"e{index}" for index in range(edges) if f"e{index}" not in group.split("+")]
    return f"groups = {group}, {'+'.join(others)}"


def _draw_path_fault(rng: random.Random, kind: str, edges: int) -> list[str]:
    lines = []
    hits_all_senders = rng.random() < ALL_SENDERS_PROBABILITY and kind != "cut"
    if not hits_all_senders:
        lines.append(f"senders = {_draw_edges(rng, edges)}")
        if rng.random() < 0.5:
            lines.append(f"receivers = {_draw_edges(rng, edges)}")
    lines.append(f"both = {rng.choice(('yes', 'no'))}")
    lines.append(f"share = {rng.uniform(*FAULT_PROBABILITIES):.2f}")
    lines.append(f"span = {rng.choice(DELAYS_MS)}ms")
    lines.append("jitter = 0.5")
    return lines


def _draw_edges(rng: random.Random, edges: int) -> str:
    """Returns the names of up to a third of the edge proxies, in the format of a setting."""
    count = rng.randint(1, max(1, edges // EDGES_PER_FAULT))
    return "+".join(f"e{index}" for index in sorted(rng.sample(range(edges), count)))


def _edge_section(rng: random.Random, name: str, edge: int, length_s: float) -> str:
    start, duration = _draw_times(rng, length_s)
    kind = rng.choice(EDGE_FAULT_KINDS)
    lines = [f"[trouble {name}]", f"kind = {kind}", f"start = {start * 1000:.0f}ms", f"on = e{edge}"]
    if kind != "balancer_late":
        lines.append(f"length = {duration * 1000:.0f}ms")
    return "\n".join([*lines, ""])
