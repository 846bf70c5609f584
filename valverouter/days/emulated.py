"""A day on the emulator: the edge proxies as their files have them, in simulated time."""

from __future__ import annotations

from collections.abc import Callable

from valverouter.driver import Driver
from valverouter.edge.attempting import AttemptBook, own_terms
from valverouter.emulator.edges import EdgePlan
from valverouter.emulator.fleet import Emulated, Fleet
from valverouter.interface import CrossRegionRule, Deployment
from valverouter.regions.cross_region_limiter import CrossRegionLimiter
from valverouter.terms.day import Day

Decisions = Callable[[Deployment, int, int, CrossRegionRule | None], Driver]


def plans(day: Day, decisions: Decisions = Driver) -> list[EdgePlan]:
    """Each edge proxy's plan, from the same file that it would be started with."""
    return [_plan(day, place, decisions) for place in range(day.fleet.edge_proxies)]


def _plan(day: Day, place: int, decisions: Decisions) -> EdgePlan:
    terms = day.edge_terms(place, "edge:1", "list:1")
    crossing, deployment = terms.crossing, terms.deployment
    types = deployment.traffic_types
    return EdgePlan(
        place=place,
        region=day.region_of_edge(place),
        deployment=terms.deployment,
        seed=terms.seed,
        answer_margin=terms.answer_margin,
        crossing=lambda now: CrossRegionLimiter(crossing, now) if crossing is not None else None,
        attempts=AttemptBook(terms) if terms.attempts else None,
        decisions=decisions,
        ledger=day.ledger,
        usual=lambda kind: own_terms(deployment, types[kind].latency_objective) if kind in types else None,
    )


def run_emulated(day: Day, decisions: Decisions = Driver, sample_every: int = 0) -> Emulated:
    """The whole day; the same day gives the same rows every time. `sample_every`: ns between samples of what
    the edge proxies know; 0: none."""
    for name, trouble in day.troubles.items():
        if trouble.kind == "balancer_late":
            raise ValueError(f"trouble {name}: {trouble.kind} is emulated for the view alone: fleet emulate")
    return Fleet(day, plans(day, decisions), sample_every).run()
