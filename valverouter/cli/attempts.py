"""`valverouter terms ...`: timers and attempt limits by traffic type and route."""

from __future__ import annotations

import sys
from collections.abc import Callable, Iterator, Mapping
from pathlib import Path

import click

from valverouter.attempts.worst_case import longest_timeline, timelines
from valverouter.audit.attempts import attempt_statistics
from valverouter.cli import tables
from valverouter.cli.command_support import FILE, RULE_VIOLATED, console
from valverouter.config.edge import load_edge_config
from valverouter.config.ini import InvalidConfigError, format_duration, parse_duration
from valverouter.edge.attempt_policies import AttemptPolicies
from valverouter.signalling import traffic_record

# The callers' no-answer timeout in `terms check`, which has no option for it, in nanoseconds.
DEFAULT_NO_ANSWER_TIMEOUT = 9 * 10**9


@click.group()
def terms() -> None:
    """Timers and attempt limits by traffic type and route."""


def dialog_options(command: Callable[..., None]) -> Callable[..., None]:
    """Adds the options that describe a dialog besides its traffic type."""
    for option in (
        click.option("--first-choice", default=-1, help="The number of its preferred server; -1: none."),
        click.option("--peer", default="", help="The caller's name, which determines the trunk group."),
        click.option("--number", default=0, help="The called number."),
    ):
        command = option(command)
    return command


@terms.command("check")
@click.argument("files", type=FILE, nargs=-1, required=True)
def terms_check(files: tuple[Path, ...]) -> None:
    """Check FILES and print every problem with file, line, key and reason. Exits with 2 if there is any."""
    problems = []
    for file in files:
        try:
            policies = AttemptPolicies(config := load_edge_config(file))
        except InvalidConfigError as error:
            problems += error.problems
            continue
        sections = len(config.attempts.sections)
        console.print(f"{file}: sound, {sections} sections of attempts", highlight=False, soft_wrap=True)
        for traffic_type in config.deployment.traffic_types:
            worst_case = timelines(policies.worst_case_policy(traffic_type, 0, DEFAULT_NO_ANSWER_TIMEOUT))
            max_attempts = max(timeline.attempts for timeline in worst_case)
            console.print(f"  {traffic_type}: {max_attempts} legs at most", highlight=False)
    if problems:
        raise InvalidConfigError(problems)


@terms.command("explain")
@click.argument("file", type=FILE)
@click.option("--class", "traffic_type", required=True, help="The dialog's traffic type.")
@dialog_options
def terms_explain(file: Path, traffic_type: str, number: int, peer: str, first_choice: int) -> None:
    """Show each effective setting of a dialog at FILE's edge proxy, and the line that sets it."""
    config = load_edge_config(file)
    if traffic_type not in config.deployment.traffic_types:
        raise ValueError(f"{file}: there is no [traffic {traffic_type}]")
    settings = AttemptPolicies(config).explain(traffic_type, number, peer, first_choice)
    for key, setting in settings.items():
        _print_line(f"{key:14} {_format_value(key, setting.value):10} {setting.source}")


def _print_line(line: str) -> None:
    """Prints a line unchanged, without highlighting, markup or wrapping."""
    console.print(line, highlight=False, markup=False, soft_wrap=True)


def _format_value(key: str, value: float) -> str:
    if key in ("legs", "legs_in_all", "tokens", "fraction"):
        return f"{value:g}" if value else "the fleet's"
    return format_duration(int(value)) if value else "none"


@terms.command("courses")
@click.argument("file", type=FILE)
@click.option("--no-answer", default="9s", show_default=True, help="The callers' no-answer timeout.")
@click.option("--chart", is_flag=True, help="Show each type's timeline as a bar on one time scale.")
@dialog_options
def terms_courses(file: Path, no_answer: str, chart: bool, number: int, peer: str, first_choice: int) -> None:
    """Show the longest timeline of attempts that FILE allows each traffic type, step by step."""
    config = load_edge_config(file)
    policies = AttemptPolicies(config)
    no_answer_timeout = parse_duration(no_answer) - config.answer_margin
    if no_answer_timeout <= 0:
        raise ValueError(f"no-answer timeout {no_answer} must exceed the answer margin")
    longest = {
        traffic_type: longest_timeline(
            policies.worst_case_policy(traffic_type, number, no_answer_timeout, peer, first_choice)
        )
        for traffic_type in config.deployment.traffic_types
    }
    if chart:
        tables.print_attempt_timelines(console, longest, no_answer_timeout)
        return
    for traffic_type, timeline in longest.items():
        answered_at = format_duration(timeline.answered_at)
        console.print(f"{traffic_type}: answered at {answered_at}, {timeline.attempts} legs", highlight=False)
        for step in timeline.steps:
            start, duration = format_duration(step.start), format_duration(step.duration)
            console.print(f"  {start:>12}  {duration:>12}  {step.description}", highlight=False)


@terms.command("diff")
@click.argument("old", type=FILE)
@click.argument("new", type=FILE)
@dialog_options
def terms_diff(old: Path, new: Path, number: int, peer: str, first_choice: int) -> None:
    """Show the settings that differ between two files; exits with 1 if there are any.

    They are listed by traffic type and by each route that a section of either file names.
    """
    configs = load_edge_config(old), load_edge_config(new)
    old_types, new_types = (config.deployment.traffic_types for config in configs)
    policies = AttemptPolicies(configs[0]), AttemptPolicies(configs[1])
    routes = {str(number): (number, peer, first_choice)}
    for side in policies:
        routes |= side.sample_routes()
    has_changed = False
    for traffic_type in {**old_types, **new_types}:
        if traffic_type not in old_types or traffic_type not in new_types:
            has_changed = True
            console.print(
                f"{traffic_type}: {'gone' if traffic_type in old_types else 'new'}", highlight=False
            )
            continue
        for line in _differences(policies, traffic_type, routes):
            has_changed = True
            _print_line(line)
    sys.exit(RULE_VIOLATED if has_changed else 0)


def _differences(
    policies: tuple[AttemptPolicies, AttemptPolicies],
    traffic_type: str,
    routes: Mapping[str, tuple[int, str, int]],
) -> Iterator[str]:
    """Yields a line for each setting of a traffic type that differs on one of the named routes."""
    for name, route in routes.items():
        old, new = (side.explain(traffic_type, *route) for side in policies)
        for key, setting in new.items():
            if setting.value != old[key].value:
                before, after = _format_value(key, old[key].value), _format_value(key, setting.value)
                yield f"{traffic_type}, {name}: {key} {before} to {after}, {setting.source}"


@terms.command("seen")
@click.argument("records", type=FILE)
def terms_seen(records: Path) -> None:
    """Show attempts, timeouts and retry gaps by traffic type in stored RECORDS, as the servers saw them."""
    for traffic_type, seen in attempt_statistics(traffic_record.read_rows(records)).items():
        cancelled = gap = "none"
        if seen.cancelled_after is not None:
            cancelled = " to ".join(map(format_duration, seen.cancelled_after))
        if seen.min_retry_gap is not None:
            gap = format_duration(seen.min_retry_gap)
        console.print(
            f"{traffic_type}: {seen.dialogs} dialogs, {seen.attempts} legs, "
            f"at most {seen.max_attempts} each; cancelled after {cancelled}; shortest retry gap {gap}",
            highlight=False,
            soft_wrap=True,
        )
