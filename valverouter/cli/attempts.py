"""`valverouter terms ...`: timers and attempts by class and route."""

from __future__ import annotations

import sys
from collections.abc import Callable
from pathlib import Path

import click

from valverouter.attempts.worst_case import longest_timeline, timelines
from valverouter.audit.attempts import attempt_statistics
from valverouter.cli import tables
from valverouter.cli.common import BROKEN, FILE, console
from valverouter.edge.attempt_policies import AttemptPolicies
from valverouter.signalling import tap
from valverouter.terms.edge import load_edge_config
from valverouter.terms.ini import InvalidConfigError, format_duration, parse_duration

# The callers' no-answer time where a command is told none.
SHOWN_NO_ANSWER = 9 * 10**9


@click.group()
def terms() -> None:
    """Timers and attempts by class and route."""


def of_dialog(command: Callable[..., None]) -> Callable[..., None]:
    """The options that say which dialog is meant, beside its class."""
    for option in (
        click.option("--first-choice", default=-1, help="The number of its first choice; -1: none."),
        click.option("--peer", default="", help="The caller's name, which decides on the trunk group."),
        click.option("--number", default=0, help="The number called."),
    ):
        command = option(command)
    return command


@terms.command("check")
@click.argument("files", type=FILE, nargs=-1, required=True)
def terms_check(files: tuple[Path, ...]) -> None:
    """Check each of FILES whole; prints every flaw with file, line, key and reason. Exits with 2 for any."""
    flaws = []
    for file in files:
        try:
            book = AttemptPolicies(loaded := load_edge_config(file))
        except InvalidConfigError as error:
            flaws += error.problems
            continue
        sections = len(loaded.attempts.sections)
        console.print(f"{file}: sound, {sections} sections of attempts", highlight=False, soft_wrap=True)
        for kind in loaded.deployment.traffic_types:
            most = max(
                course.attempts for course in timelines(book.worst_case_policy(kind, 0, SHOWN_NO_ANSWER))
            )
            console.print(f"  {kind}: {most} legs at most", highlight=False)
    if flaws:
        raise InvalidConfigError(flaws)


@terms.command("explain")
@click.argument("file", type=FILE)
@click.option("--class", "traffic_type", required=True, help="The dialog's traffic type.")
@of_dialog
def terms_explain(file: Path, traffic_type: str, number: int, peer: str, first_choice: int) -> None:
    """Each effective value for such a dialog at FILE's edge proxy, and the line that it comes from."""
    loaded = load_edge_config(file)
    if traffic_type not in loaded.deployment.traffic_types:
        raise ValueError(f"{file}: there is no [traffic {traffic_type}]")
    for key, one in AttemptPolicies(loaded).explain(traffic_type, number, peer, first_choice).items():
        console.print(
            f"{key:14} {_shown(key, one.value):10} {one.source}",
            highlight=False,
            markup=False,
            soft_wrap=True,
        )


def _shown(key: str, value: float) -> str:
    if key in ("legs", "legs_in_all", "tokens", "fraction"):
        return f"{value:g}" if value else "the fleet's"
    return format_duration(int(value)) if value else "none"


@terms.command("courses")
@click.argument("file", type=FILE)
@click.option("--no-answer", default="9s", show_default=True, help="The callers' no-answer time.")
@click.option("--chart", is_flag=True, help="Each type's course as a bar on one scale of time.")
@of_dialog
def terms_courses(file: Path, no_answer: str, chart: bool, number: int, peer: str, first_choice: int) -> None:
    """The longest course that FILE's terms allow each traffic type, step by step."""
    loaded = load_edge_config(file)
    book = AttemptPolicies(loaded)
    within = parse_duration(no_answer) - loaded.answer_margin
    if within <= 0:
        raise ValueError(f"no-answer time {no_answer} leaves nothing past the answer margin")
    found = {
        kind: longest_timeline(book.worst_case_policy(kind, number, within, peer, first_choice))
        for kind in loaded.deployment.traffic_types
    }
    if chart:
        tables.print_courses(console, found, within)
        return
    for kind, course in found.items():
        console.print(
            f"{kind}: answered at {format_duration(course.answered_at)}, {course.attempts} legs",
            highlight=False,
        )
        for step in course.steps:
            start, duration = format_duration(step.start), format_duration(step.duration)
            console.print(f"  {start:>12}  {duration:>12}  {step.description}", highlight=False)


@terms.command("diff")
@click.argument("old", type=FILE)
@click.argument("new", type=FILE)
@of_dialog
def terms_diff(old: Path, new: Path, number: int, peer: str, first_choice: int) -> None:
    """What changes for whom between two files; exits with 1 when anything does.

    By class, and for each of them by each route that a section of either file names.
    """
    before, after = load_edge_config(old), load_edge_config(new)
    books, changed = (AttemptPolicies(before), AttemptPolicies(after)), False
    for kind in {**before.deployment.traffic_types, **after.deployment.traffic_types}:
        gone = [terms for terms in (before, after) if kind not in terms.deployment.traffic_types]
        if gone:
            changed = True
            console.print(f"{kind}: {'new' if gone == [before] else 'gone'}", highlight=False)
            continue
        routes = {str(number): (number, peer, first_choice)} | {
            name: route for book in books for name, route in book.sample_routes().items()
        }
        for name, route in routes.items():
            one, two = (book.explain(kind, *route) for book in books)
            for key in one:
                if one[key].value != two[key].value:
                    changed = True
                    was, now = _shown(key, one[key].value), _shown(key, two[key].value)
                    console.print(
                        f"{kind}, {name}: {key} {was} to {now}, {two[key].source}",
                        highlight=False,
                        markup=False,
                        soft_wrap=True,
                    )
    sys.exit(BROKEN if changed else 0)


@terms.command("seen")
@click.argument("records", type=FILE)
def terms_seen(records: Path) -> None:
    """Legs, time-outs and gaps by class in kept RECORDS, as the servers saw them."""
    for kind, one in attempt_statistics(tap.read_rows(records)).items():
        over = (
            "none" if one.cancelled_after is None else " to ".join(map(format_duration, one.cancelled_after))
        )
        gap = "none" if one.min_retry_gap is None else format_duration(one.min_retry_gap)
        console.print(
            f"{kind}: {one.dialogs} dialogs, {one.attempts} legs, at most {one.max_attempts} each; "
            f"let go after {over}; shortest wait after that {gap}",
            highlight=False,
            soft_wrap=True,
        )
