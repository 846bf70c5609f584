"""`valverouter fleet ...`: the fleet as its instances see it."""

from __future__ import annotations

import random
import secrets
import sys
import time
from collections.abc import Callable
from pathlib import Path

import click
import msgspec
import trio
from rich.table import Table

from valverouter.cli.common import BROKEN, FILE, UNUSABLE, console
from valverouter.cli.ordering import COMMANDS
from valverouter.cli.seating import council, keeper
from valverouter.days.emulated_views import run_views
from valverouter.edge.surroundings import Sockets
from valverouter.fleet.client import FleetClient
from valverouter.fleet.queries import MemberRow
from valverouter.fleet.view_comparison import ViewAnswer, find_differences, is_converged
from valverouter.membership.records import LIVE_STATES, MemberState, Phase
from valverouter.terms.between import Between
from valverouter.terms.day import load_day
from valverouter.terms.edge import load_edge_terms

# Exit codes of `fleet view`.
UNSETTLED, NOBODY = BROKEN, UNUSABLE
# Instances that one call asks at most, however large the fleet.
ASKED_MOST = 64
WATCH_S = 1.0


@click.group()
def fleet() -> None:
    """The fleet as its instances see it."""


for command in (council, keeper, *COMMANDS):
    fleet.add_command(command)


@fleet.command("view")
@click.argument("file", type=FILE)
@click.option("--at", "at", multiple=True, metavar="IP:PORT", help="PingReq there, and nobody else; several.")
@click.option("--json", "as_json", is_flag=True, help="All answers as JSON.")
@click.option("--metrics", is_flag=True, help="Counts and states in Prometheus' text form.")
@click.option("--watch", is_flag=True, help="Again each second, until interrupted.")
@click.option("--most", default=ASKED_MOST, show_default=True, help="How many instances are asked.")
def view(file: Path, at: tuple[str, ...], as_json: bool, metrics: bool, watch: bool, most: int) -> None:
    """PingReq instances for their view of the fleet and show where they differ.

    FILE is the terms of any instance: its key and its seeds are used. Asked are those, and whom they name.
    Exits with 0 where all that were asked are settled on one view, 1 where not, 2 where nobody answered.
    """
    between = load_edge_terms(file).between
    if between is None:
        raise ValueError(f"{file}: has no [between], so its instance keeps no view")
    show = _metrics if metrics else _json if as_json else _tables
    while True:
        answers = trio.run(_asked, between, at, most)
        code = _code(answers)
        if watch and console.is_terminal:
            console.clear()
        show(answers)
        if not watch:
            sys.exit(code)
        time.sleep(WATCH_S)


@fleet.command("emulate")
@click.argument("file", type=FILE)
@click.option("--members", default=0, help="How many; 0: the day's own edge proxies.")
def emulate(file: Path, members: int) -> None:
    """Play the faults between edge proxies of the day in FILE on the emulator, the view alone.

    Exits with 1 where the views did not become one in the time that the file allows.
    """
    seen = run_views(load_day(file), members)
    words = ", ".join(f"{what} {count}" for what, count in sorted(seen.found.items()))
    console.print(f"{seen.members} members; {words}", highlight=False)
    console.print(f"{seen.messages:.1f} messages a second each", highlight=False)
    allowed = seen.allowed / 1e9
    if seen.settled_after is None:
        console.print(f"not one view {allowed:.1f} s after the last fault", highlight=False)
        sys.exit(BROKEN)
    after = seen.settled_after / 1e9
    console.print(f"one view {after:.1f} s after the last fault ({allowed:.1f} s)", highlight=False)


async def _asked(between: Between, at: tuple[str, ...], most: int) -> list[ViewAnswer]:
    """Those named; else this file's instance, its seeds, and then whom the answers name."""
    first = list(at) or [
        address
        for address in (between.advertise or between.listen, *between.seeds)
        if not address.endswith(":0")
    ]
    host = first[0].rpartition(":")[0] if first else "127.0.0.1"
    socket = Sockets().datagrams("[::]:0" if ":" in host else "0.0.0.0:0")
    try:
        asker = FleetClient(between.keys, socket, random.Random(secrets.randbits(64)))
        answers = await asker.query_views(first[:most])
        if at:
            return answers
        known = {one.address for one in answers}
        more = [row.address for one in answers for row in one.rows if row.state in LIVE_STATES]
        named = [address for address in dict.fromkeys(more) if address not in known]
        return answers + await asker.query_views(named[: max(0, most - len(answers))])
    finally:
        socket.close()


def _whole(answers: list[ViewAnswer]) -> dict[int, ViewAnswer]:
    """By life: the same instance may have been asked by two addresses."""
    return {one.incarnation: one for one in answers if one.missing_page is None}


def _code(answers: list[ViewAnswer]) -> int:
    whole = _whole(answers)
    if not whole:
        return NOBODY
    # A seed that is no member's address any more answers nothing, and says nothing of those who live.
    silent = {one.address for one in answers if one.missing_page is not None}
    living = {row.address for one in whole.values() for row in one.rows if row.state in LIVE_STATES}
    return 0 if is_converged(list(whole.values())) and not silent & living else UNSETTLED


def _json(answers: list[ViewAnswer]) -> None:
    whole = _whole(answers)
    page = {
        "settled": _code(answers) == 0,
        "silent": [one.address for one in answers if one.missing_page is not None],
        "answers": [
            {
                "name": one.name,
                "address": one.address,
                "life": f"{one.incarnation:016x}",
                "digest": f"{one.digest:016x}",
                "trust": one.view_health,
                "counts": one.counts,
                "members": [_row(row) for row in one.rows],
            }
            for one in whole.values()
        ],
        "differences": find_differences(whole.values()),
    }
    click.echo(msgspec.json.encode(page).decode())


def _row(row: MemberRow) -> dict[str, object]:
    """The row under the keys of the JSON output, in their order, which are not to change."""
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
    return Phase(row.phase).name.lower() if row.phase in list(Phase) else str(row.phase)


def _metrics(answers: list[ViewAnswer]) -> None:
    """The words of the log, counted by each instance since its start."""
    for one in _whole(answers).values():
        states = {state: 0 for state in MemberState}
        for row in one.rows:
            states[row.state] += 1
        for state, count in states.items():
            labels = f'instance="{one.name}",state="{state.name.lower()}"'
            click.echo(f"valverouter_fleet_members{{{labels}}} {count}")
        for word, count in sorted(one.counts.items()):
            click.echo(f'valverouter_fleet_total{{instance="{one.name}",what="{word}"}} {count}')
        settled = int(one.view_health == "settled")
        click.echo(f'valverouter_fleet_settled{{instance="{one.name}"}} {settled}')


def _tables(answers: list[ViewAnswer]) -> None:
    whole = list(_whole(answers).values())
    for one in answers:
        if one.missing_page is not None:
            console.print(f"no answer from {one.address}", highlight=False)
    if not whole:
        console.print("nobody was reached", highlight=False)
        return
    views: dict[int, list[ViewAnswer]] = {}
    for one in whole:
        views.setdefault(one.digest, []).append(one)
    for digest, same in sorted(views.items(), key=lambda item: -len(item[1])):
        trusts = sorted({one.view_health for one in same})
        names = ", ".join(sorted(one.name for one in same))
        console.print(f"view {digest:016x}: {', '.join(trusts)}; of {names}", highlight=False)
    _table(max(views.values(), key=len)[0])
    differing = find_differences(whole)
    for name, words in differing.items():
        for word, by in words.items():
            console.print(f"differs: {name} is {word} to {', '.join(by)}", highlight=False)
    if _code(answers) == 0:
        console.print(f"settled: {len(whole)} asked, one view", highlight=False)
    else:
        console.print("not settled", highlight=False)


def _table(one: ViewAnswer) -> None:
    """Six narrow columns: the whole of it stands in 80."""
    table = Table(box=None, pad_edge=False, title=f"as {one.name} sees it", title_justify="left")
    columns: list[tuple[str, Callable[[MemberRow], str]]] = [
        ("member", lambda row: row.name or "?"),
        ("region", lambda row: row.region),
        ("address", lambda row: row.address),
        ("state", _state),
        ("since", lambda row: _since(row.since_ms) if row.state != MemberState.UNKNOWN else ""),
        ("version", lambda row: row.version),
        ("terms", lambda row: row.config_digest),
    ]
    for head, _ in columns:
        table.add_column(head, overflow="fold")
    for row in one.rows:
        table.add_row(*(cell(row) for _, cell in columns))
    console.print(table, highlight=False)


def _state(row: MemberRow) -> str:
    if row.name_conflict:
        return "conflict"
    if row.state == MemberState.ALIVE and row.phase == Phase.DRAINING:
        return "draining"
    return row.state.name.lower()


def _since(ms: int) -> str:
    seconds = ms // 1000
    for unit, size in (("d", 86_400), ("h", 3_600), ("min", 60)):
        if seconds >= 2 * size:
            return f"{seconds // size}{unit}"
    return f"{seconds}s"
