"""Prints accounts, verdicts, plans and comparisons as tables."""

from __future__ import annotations

from typing import TYPE_CHECKING

from rich.bar import Bar
from rich.console import Console
from rich.table import Table

from valverouter.attempts.worst_case import AttemptTimeline, StepKind
from valverouter.audit.account import TrafficAccount, weighted_service_level
from valverouter.audit.verdict import Verdict
from valverouter.audit.views import ViewReport
from valverouter.config.ini import format_duration
from valverouter.regions.usage import USAGE_COLUMNS, UsageCounters, UsageKey

if TYPE_CHECKING:
    from valverouter.experiments.report import Cell
    from valverouter.regions.planner import Plan

RULES = {
    1: "one final answer, in time, nothing after",
    2: "never two attempts in flight",
    3: "nothing new to a draining or removed server",
    4: "no server overloaded in slow start",
    5: "release time after time-out, reset, cancel",
}


def print_accounts(
    console: Console, accounts: dict[str, TrafficAccount], priority_weights: dict[str, float]
) -> None:
    """Prints each traffic type's account, and the service level over all types, weighted by priority."""
    # Without borders and with one space between them, the ten columns fit in 80 characters.
    table = Table(title="Dialogs by traffic type", box=None, pad_edge=False, padding=(0, 1, 0, 0))
    headings = (
        "type",
        "offered",
        "tries",
        "in\nobjective",
        "late",
        "declined",
        "aborted",
        "cut",
        "legs",
        "service",
    )
    for heading in headings:
        table.add_column(heading, justify="left" if heading == "type" else "right", overflow="fold")
    for kind, account in accounts.items():
        answers = account.answers
        counts = (account.offered, account.dial_attempts, account.within_objective, account.late)
        rest = (answers["declined"], answers["aborted"], answers["cut"], account.attempts)
        table.add_row(kind, *map(str, counts + rest), f"{account.service_level:.3f}")
    console.print(table)
    console.print(f"service weighted by importance: {weighted_service_level(accounts, priority_weights):.3f}")


def print_verdict(console: Console, verdict: Verdict, max_violations: int = 20) -> None:
    """Prints the audit's verdict on each of the five rules, and the first `max_violations` violations."""
    table = Table(title="The five rules, from what passed over the sockets")
    for heading in ("rule", "", "checked", "verdict"):
        table.add_column(heading, justify="right" if heading == "checked" else "left")
    broken = verdict.violated_rules()
    for rule, text in RULES.items():
        count = sum(violation.rule == rule for violation in verdict.violations)
        outcome = (
            f"BROKEN {count} times"
            if rule in broken
            else "kept"
            if verdict.check_counts[rule]
            else "not tried"
        )
        table.add_row(str(rule), text, str(verdict.check_counts[rule]), outcome)
    console.print(table)
    console.print(f"most of a cold server's budget used in any window: {verdict.slow_start_budget_used:.2f}")
    for violation in verdict.violations[:max_violations]:
        console.print(f"  rule {violation.rule} at {violation.at}: {violation.subject}: {violation.text}")
    if len(verdict.violations) > max_violations:
        console.print(f"  and {len(verdict.violations) - max_violations} more")


def print_cross_region_usage(
    console: Console, totals: dict[UsageKey, UsageCounters], minutes: dict[int, int]
) -> None:
    """Prints cross-region usage by traffic type and pair of regions, and a chart of attempts per minute."""
    table = Table(title="What crossed")
    for heading in ("type", "home", "away", *USAGE_COLUMNS):
        table.add_column(
            heading.replace("_ns", " s"), justify="left" if heading in ("type", "home", "away") else "right"
        )
    for key, counters in totals.items():
        shown = [
            f"{count / 1e9:.1f}" if column == "circuit_ns" else str(count)
            for column, count in counters.to_row().items()
        ]
        table.add_row(*key, *shown)
    console.print(table)
    chart = Table(title="Crossing legs a minute", box=None)
    for at, legs in sorted(minutes.items()):
        chart.add_row(str(at - min(minutes)), str(legs), Bar(max(minutes.values()) or 1, 0, legs, width=50))
    console.print(chart)


def print_plan(console: Console, plan: Plan) -> None:
    """Prints a plan's cross-region traffic, the unserved load, and the constraints that are binding."""
    table = Table(title="The least crossing that carries the load")
    for heading in ("type", "home", "away", "legs a second"):
        table.add_column(heading, justify="right" if heading.startswith("legs") else "left")
    for (kind, home, away), rate in sorted(plan.cross_region.items()):
        table.add_row(kind, home, away, f"{rate:.2f}")
    console.print(table)
    console.print(f"can be had: {plan.served_fraction:.1%} of {plan.offered:.1f} dialogs a second")
    for (kind, region), rate in sorted(plan.unserved.items()):
        console.print(f"  short: {kind} of {region}, {rate:.2f} a second")
    for name in plan.binding_constraints:
        console.print(f"  binds: {name}")


def print_attempt_timelines(console: Console, timelines: dict[str, AttemptTimeline], no_answer: int) -> None:
    """Prints timelines as bars on one scale up to the no-answer timeout (ns): attempts dark, waits light."""
    width = 40
    for kind, timeline in timelines.items():
        bar = ""
        for step in timeline.steps:
            end = round((step.start + step.duration) * width / no_answer)
            bar += ("█" if step.kind is StepKind.ATTEMPT else "░") * max(0, end - len(bar))
        at = format_duration(timeline.answered_at)
        console.print(
            f"{kind:20} {bar:{width}} {at}, {timeline.attempts} legs", highlight=False, soft_wrap=True
        )
    console.print(f"{'':20} 0{format_duration(no_answer):>{width - 1}}   █ a leg, ░ a wait", highlight=False)


def print_cells(
    console: Console, cells: dict[tuple[str, ...], Cell], baseline: dict[str, str], metric: str
) -> None:
    """Prints a row for each combination of levels: mean, interval, paired difference from the baseline."""
    from valverouter.experiments.report import difference_from_baseline

    table = Table(title=f"{metric}: mean and 95% interval; difference from the baseline by pairs of a seed")
    for heading in (
        *next(iter(cells.values())).levels,
        "runs",
        metric,
        "difference",
        "least that would show",
    ):
        table.add_column(heading)
    for cell in cells.values():
        mean, half_width = cell.interval(metric)
        row = [*cell.levels.values(), str(len(cell.by_seed)), f"{mean:.3f} ± {half_width:.3f}"]
        difference = difference_from_baseline(cells, cell, baseline, metric)
        if difference is None:
            row += ["", ""]
        else:
            significance = "" if difference.is_significant else " (not significant)"
            row += [
                f"{difference.mean:+.3f} ± {difference.half_width:.3f}{significance}",
                f"{difference.min_detectable:.3f}",
            ]
        table.add_row(*row)
    console.print(table)


def print_membership(console: Console, views: ViewReport) -> None:
    """Prints whether and how soon the edge proxies' membership views converged, and their errors."""
    allowed = views.max_duration / 1e9
    if views.converged_after is None:
        console.print(
            f"views: not converged {allowed:.1f} s after the last fault; {views.reason}", highlight=False
        )
    else:
        after = views.converged_after / 1e9
        console.print(
            f"views: converged {after:.1f} s after the last fault ({allowed:.1f} s allowed)", highlight=False
        )
    for observer, member in views.regressions:
        console.print(
            f"views: {observer} took a former incarnation of {member} for the current one again",
            highlight=False,
        )
    for observer, member in views.false_failures:
        console.print(f"views: {observer} took {member} for failed, though it was running", highlight=False)
