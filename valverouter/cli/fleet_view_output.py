"""The output of `valverouter fleet view`: tables, JSON, or metrics in the Prometheus text format.

Operators' programs read the JSON keys and the metric names, so these do not change.
"""

from __future__ import annotations

from collections.abc import Callable

import click
import msgspec
from rich.table import Table

from valverouter.cli.command_support import console
from valverouter.fleet.queries import MemberRow
from valverouter.fleet.view_comparison import ViewAnswer, find_differences
from valverouter.membership.convergence import ViewHealth
from valverouter.membership.records import MemberState, Phase

MS_PER_S = 1_000
# Units of a duration and their lengths in seconds, largest first.
AGE_UNITS = (("d", 86_400), ("h", 3_600), ("min", 60))


def by_incarnation(answers: list[ViewAnswer]) -> dict[int, ViewAnswer]:
    """Returns the complete answers, one per process; a process may have been queried at two addresses."""
    return {answer.incarnation: answer for answer in answers if answer.missing_page is None}


def print_json(answers: list[ViewAnswer], converged: bool) -> None:
    """Prints all answers as one line of JSON."""
    complete = by_incarnation(answers)
    page = {
        "settled": converged,
        "silent": [answer.address for answer in answers if answer.missing_page is not None],
        "answers": [_json_answer(answer) for answer in complete.values()],
        "differences": find_differences(complete.values()),
    }
    click.echo(msgspec.json.encode(page).decode())


def _json_answer(answer: ViewAnswer) -> dict[str, object]:
    return {
        "name": answer.name,
        "address": answer.address,
        "life": f"{answer.incarnation:016x}",
        "digest": f"{answer.digest:016x}",
        "trust": answer.view_health,
        "counts": answer.counts,
        "members": [_json_row(row) for row in answer.rows],
    }


def _json_row(row: MemberRow) -> dict[str, object]:
    return {
        "name": row.name,
        "region": row.region,
        "place": row.place,
        "address": row.address,
        "number": row.generation,
        "life": f"{row.incarnation:016x}",
        "state": row.state.name.lower(),
        "since_ms": row.since_ms,
        "version": row.version,
        "terms": row.config_digest,
        "phase": _phase(row),
        "twin": row.name_conflict,
    }


def _phase(row: MemberRow) -> str:
    """Returns the phase's name, or its number if it is unknown here because a later version sent it."""
    return Phase(row.phase).name.lower() if row.phase in list(Phase) else str(row.phase)


def print_metrics(answers: list[ViewAnswer]) -> None:
    """Prints each instance's members by state, its event counts, and whether its view is settled."""
    for answer in by_incarnation(answers).values():
        states = {state: 0 for state in MemberState}
        for row in answer.rows:
            states[row.state] += 1
        for state, count in states.items():
            labels = f'instance="{answer.name}",state="{state.name.lower()}"'
            click.echo(f"valverouter_fleet_members{{{labels}}} {count}")
        for kind, count in sorted(answer.counts.items()):
            click.echo(f'valverouter_fleet_total{{instance="{answer.name}",what="{kind}"}} {count}')
        settled = int(answer.view_health == ViewHealth.SETTLED.value)
        click.echo(f'valverouter_fleet_settled{{instance="{answer.name}"}} {settled}')


def print_tables(answers: list[ViewAnswer], converged: bool) -> None:
    """Prints the views by digest, the members in the most common view, and the differences between views."""
    complete = list(by_incarnation(answers).values())
    for answer in answers:
        if answer.missing_page is not None:
            console.print(f"no answer from {answer.address}", highlight=False)
    if not complete:
        console.print("no instance answered", highlight=False)
        return
    views = _by_digest(complete)
    _print_digests(views)
    _print_members(max(views.values(), key=len)[0])
    for name, beliefs in find_differences(complete).items():
        for belief, holders in beliefs.items():
            console.print(f"differs: {name} is {belief} to {', '.join(holders)}", highlight=False)
    verdict = f"settled: {len(complete)} asked, one view" if converged else "not settled"
    console.print(verdict, highlight=False)


def _by_digest(answers: list[ViewAnswer]) -> dict[int, list[ViewAnswer]]:
    views: dict[int, list[ViewAnswer]] = {}
    for answer in answers:
        views.setdefault(answer.digest, []).append(answer)
    return views


def _print_digests(views: dict[int, list[ViewAnswer]]) -> None:
    """Prints the views by digest, the most common first."""
    for digest, holders in sorted(views.items(), key=lambda item: -len(item[1])):
        healths = sorted({answer.view_health for answer in holders})
        names = ", ".join(sorted(answer.name for answer in holders))
        console.print(f"view {digest:016x}: {', '.join(healths)}; of {names}", highlight=False)


def _print_members(answer: ViewAnswer) -> None:
    """Prints the members of a view, in a table that fits in 80 characters."""
    table = Table(box=None, pad_edge=False, title=f"as {answer.name} sees it", title_justify="left")
    columns: list[tuple[str, Callable[[MemberRow], str]]] = [
        ("member", lambda row: row.name or "?"),
        ("region", lambda row: row.region),
        ("address", lambda row: row.address),
        ("state", _state),
        ("since", _since),
        ("version", lambda row: row.version),
        ("terms", lambda row: row.config_digest),
    ]
    for heading, _ in columns:
        table.add_column(heading, overflow="fold")
    for row in answer.rows:
        table.add_row(*(cell(row) for _, cell in columns))
    console.print(table, highlight=False)


def _state(row: MemberRow) -> str:
    if row.name_conflict:
        return "conflict"
    if row.state == MemberState.ALIVE and row.phase == Phase.DRAINING:
        return "draining"
    return row.state.name.lower()


def _since(row: MemberRow) -> str:
    """Returns how long the member has been in its state, in the largest unit that gives at least 2."""
    if row.state == MemberState.UNKNOWN:
        return ""
    seconds = row.since_ms // MS_PER_S
    for unit, size in AGE_UNITS:
        if seconds >= 2 * size:
            return f"{seconds // size}{unit}"
    return f"{seconds}s"
