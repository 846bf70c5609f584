"""`valverouter fleet drain|undrain|restart|release|halt|back|retire|status|history`: orders to the fleet, by
its council."""

from __future__ import annotations

import random
import re
import secrets
import sys
import time
from collections import Counter
from collections.abc import Callable, Sequence
from datetime import UTC, datetime
from pathlib import Path
from typing import Any, NoReturn, TypeVar

import click
import msgspec
import trio
from rich.table import Table

from valverouter.cli.common import BROKEN, FAILED, FILE, UNUSABLE, console
from valverouter.edge.sockets import SocketRuntime
from valverouter.fleet.messages import RequestKind
from valverouter.fleet.operations_client import OperationsClient
from valverouter.rollout.disruption_permits import HaltDisruptions
from valverouter.rollout.operations import Cancel, Command, OperationKind, Retire, Submit, SubmitResult
from valverouter.rollout.status import FleetStatus, InstanceStatus, OperationStatus
from valverouter.terms.rollout import load_tool

# Exit codes of an order: done; in part or halted; refused; nobody of the council reached, or not known.
IN_PART, REFUSED, UNKNOWN = BROKEN, UNUSABLE, FAILED
WITHIN_S = 10.0
LOOK_S = 1.0

Answer = TypeVar("Answer")
Option = Callable[[Callable[..., None]], Callable[..., None]]


def _sound_id(context: click.Context, option: click.Parameter, id_: str) -> str:
    if id_ and not re.fullmatch(r"[A-Za-z0-9._-]{1,64}", id_):
        raise click.BadParameter("letters, digits, dots, dashes and underlines, 64 at most")
    return id_


def _all(*options: Option) -> Option:
    def put(command: Callable[..., None]) -> Callable[..., None]:
        for option in reversed(options):
            command = option(command)
        return command

    return put


whom = _all(
    click.argument("file", type=FILE),
    click.argument("names", nargs=-1),
    click.option("--region", multiple=True, help="All of this region; several."),
    click.option("--version", "present", multiple=True, help="All that run this version; several."),
    click.option("--state", multiple=True, help="All that are in, out, away or drained; several."),
    click.option("--servers", is_flag=True, help="Of the servers, not of the edge proxies."),
    click.option("--all", "everybody", is_flag=True, help="All of them."),
)
how = _all(
    click.option(
        "--id",
        "id_",
        default="",
        callback=_sound_id,
        help="The order's own id; told again, it is the same order.",
    ),
    click.option("--dry-run", is_flag=True, help="Show the waves; nothing is ordered."),
    click.option("--no-wait", is_flag=True, help="Do not follow the order to its end."),
    click.option("--json", "as_json", is_flag=True, help="The order as JSON, once it is known."),
)


def _order(kind: OperationKind, version: str, told: dict[str, Any]) -> None:
    """Picks, plans, places and follows."""
    shown = _show(told["file"])
    picked = _picked(shown.instances, kind, version, told)
    place = Submit(
        told["id_"] or f"{kind.value}-{secrets.token_hex(4)}",
        kind,
        tuple(picked),
        version,
        time.time_ns() // 1_000_000,
        "tool",
    )
    placed = _place(told["file"], place, told["dry_run"])
    if told["dry_run"]:
        _waves(shown, place, placed)
        return
    if told["no_wait"]:
        return
    _follow(told["file"], place.id, told["as_json"])


def _place(file: Path, place: Submit, dry_run: bool = False) -> SubmitResult:
    """Placed, or planned alone; ends with REFUSED or UNKNOWN where it was not. Its id is told before it is
    sent, so that it can be taken up whatever becomes of this tool."""
    if not dry_run:
        console.print(f"order {place.id}", highlight=False)
    placed = _ask(file, RequestKind.PLAN if dry_run else RequestKind.EXECUTE, place, SubmitResult)
    if placed is None:
        _unknown(place.id)
    if placed.rejection:
        console.print(f"refused: {placed.rejection}", highlight=False, soft_wrap=True)
        sys.exit(REFUSED)
    return placed


def _picked(
    units: Sequence[InstanceStatus], kind: OperationKind, version: str, told: dict[str, Any]
) -> list[str]:
    """Those meant; ValueError for a selector that means nobody it could."""
    sort = "server" if told["servers"] else "edge proxy"
    same = {unit.name: unit for unit in units if unit.kind == sort}
    for key, known in (
        ("region", {unit.region for unit in same.values()}),
        ("state", {"in", "out", "away", "drained"}),
        ("present", {unit.desired_version for unit in same.values()}),
    ):
        for word in told[key]:
            if word not in known:
                shown = ", ".join(sorted(known)) or "none"
                what = "version" if key == "present" else key
                raise ValueError(f"nobody is of {what} {word!r}; known: {shown}")
    for name in told["names"]:
        if name not in same:
            raise ValueError(f"there is no {sort} {name!r}")
    selects = told["region"] or told["state"] or told["present"] or told["everybody"]
    picked = [
        name
        for name, unit in same.items()
        if name in told["names"]
        or (
            selects
            and (not told["region"] or unit.region in told["region"])
            and (not told["state"] or unit.state in told["state"])
            and (not told["present"] or unit.desired_version in told["present"])
        )
    ]
    if kind is OperationKind.RELEASE:
        # Those that were released before are at it already.
        picked = [name for name in picked if same[name].desired_version != version or name in told["names"]]
    if not told["names"]:
        brings_in = kind is OperationKind.UNDRAIN
        picked = [name for name in picked if (same[name].state == "drained") is brings_in]
    if not picked:
        raise ValueError("that means nobody: give names, --region, --version, --state or --all")
    return picked


@click.command("drain")
@whom
@how
def drain(**told: Any) -> None:
    """Take instances out, and leave them out until undrain.

    FILE is the terms of any seat or keeper. Exits with 0 done, 1 in part or halted, 2 refused, 3 unknown.
    """
    _order(OperationKind.DRAIN, "", told)


@click.command("undrain")
@whom
@how
def undrain(**told: Any) -> None:
    """Bring drained instances in again."""
    _order(OperationKind.UNDRAIN, "", told)


@click.command("restart")
@whom
@how
def restart(**told: Any) -> None:
    """Restart instances, wave by wave."""
    _order(OperationKind.RESTART, "", told)


@click.command("release")
@whom
@click.option("--to", "version", required=True, help="The version, a label of the keepers' terms.")
@how
def release(version: str, **told: Any) -> None:
    """Bring instances to a version, wave by wave, while the evidence lets it."""
    _order(OperationKind.RELEASE, version, told)


@click.command("halt")
@click.argument("file", type=FILE)
@click.argument("order", default="")
@click.option("--why", default="by hand", show_default=True)
@click.option("--stay", is_flag=True, help="What was released stays at its new version.")
@click.option("--hold", is_flag=True, help="Take no further orders either, until --over.")
@click.option("--over", is_flag=True, help="Take orders again.")
def halt(file: Path, order: str, why: str, stay: bool, hold: bool, over: bool) -> None:
    """Halt ORDER, or all: nothing further goes out, and what is out comes in.

    What a release brought to its new version goes back, unless it is to stay.
    """
    commands: list[Command] = (
        [HaltDisruptions("", lifted=True)] if over else [Cancel(order, why, not stay, _wall())]
    )
    if hold and not over:
        commands.insert(0, HaltDisruptions(why))
    for command in commands:
        if _ask(file, RequestKind.EXECUTE, command, dict) is None:
            _unknown(order)


@click.command("back")
@click.argument("file", type=FILE)
@click.argument("order")
@click.option("--no-wait", is_flag=True)
@click.option("--json", "as_json", is_flag=True)
def back(file: Path, order: str, no_wait: bool, as_json: bool) -> None:
    """Bring back what the release ORDER brought to its version, whether it goes or has ended."""
    known = next((one for one in _show(file, order).operations if one.id == order), None)
    if known is None or known.kind != OperationKind.RELEASE.value:
        raise ValueError(f"there is no release {order!r}")
    if known.phase != "ended":
        if _ask(file, RequestKind.EXECUTE, Cancel(order, "back, by hand", True, _wall()), dict) is None:
            _unknown(order)
        if not no_wait:
            _follow(file, order, as_json)
        return
    former = {member.previous_version for member in known.participants if member.status == "done"}
    if len(former) != 1:
        raise ValueError(f"{order} brought instances from {len(former)} versions: release them by name")
    names = tuple(member.name for member in known.participants if member.status == "done")
    place = Submit(f"{order}-back", OperationKind.RELEASE, names, former.pop(), _wall(), "tool")
    _place(file, place)
    if not no_wait:
        _follow(file, place.id, as_json)


@click.command("retire")
@click.argument("file", type=FILE)
@click.argument("name")
def retire(file: Path, name: str) -> None:
    """Strike NAME, which is no part of the fleet any more, and whatever waits for it goes on."""
    if _ask(file, RequestKind.EXECUTE, Retire(name), dict) is None:
        _unknown(name)


@click.command("status")
@click.argument("file", type=FILE)
@click.option("--json", "as_json", is_flag=True)
@click.option("--watch", is_flag=True, help="Again each second, until interrupted.")
def status(file: Path, as_json: bool, watch: bool) -> None:
    """Who is out and by what, and the orders that wait or go."""
    while True:
        shown = _show(file)
        if watch and console.is_terminal:
            console.clear()
        if as_json:
            click.echo(msgspec.json.encode(shown).decode())
        else:
            _status(shown)
        if not watch:
            return
        time.sleep(LOOK_S)


@click.command("history")
@click.argument("file", type=FILE)
@click.argument("order", default="")
@click.option("--json", "as_json", is_flag=True)
def history(file: Path, order: str, as_json: bool) -> None:
    """The orders that the record holds, or one of them with what became of each instance."""
    about = order or ("*" if as_json else "")
    orders = [one for one in _show(file, about).operations if order in ("", one.id)]
    if order and not orders:
        raise ValueError(f"there is no order {order!r}")
    if as_json:
        click.echo(msgspec.json.encode(orders).decode())
        return
    table = _table("order", "kind", "placed", "end", "instances")
    for one in orders:
        table.add_row(one.id, one.kind, _date(one.submitted_at_ms), one.result or one.phase, _counts(one))
    console.print(table, highlight=False)
    for one in orders if order else ():
        if one.halt_reason:
            console.print(f"halted: {one.halt_reason}", highlight=False, soft_wrap=True)
        _members(one)


# The council


def _wall() -> int:
    return time.time_ns() // 1_000_000


def _ask(
    file: Path, request: RequestKind, command: Command | None, kind: type[Answer], about: str = ""
) -> Answer | None:
    """The leader's answer, decoded as `kind`; None where no leader answered in time."""
    terms = load_tool(file)

    async def asked() -> Answer | None:
        host = next(iter(terms.council.values())).rpartition(":")[0]
        socket = SocketRuntime().bind_datagrams("[::]:0" if ":" in host else "0.0.0.0:0")
        try:
            client = OperationsClient(terms, socket, random.Random(secrets.randbits(64)))
            return await client.request(request, command, kind, WITHIN_S, about)
        finally:
            socket.close()

    return trio.run(asked)


def _show(file: Path, about: str = "") -> FleetStatus:
    shown = _ask(file, RequestKind.SHOW, None, FleetStatus, about)
    if shown is None:
        console.print("nobody of the council who leads was reached", highlight=False)
        sys.exit(UNKNOWN)
    return shown


def _unknown(what: str) -> NoReturn:
    console.print(f"unknown what became of {what or 'it'}: no answer; ask by its id", highlight=False)
    sys.exit(UNKNOWN)


def _follow(file: Path, order: str, as_json: bool) -> None:
    """Until it ends; what changes is told line by line, and interrupting it ends the telling alone."""
    said = ""
    while True:
        shown = _show(file, order)
        one = next((one for one in shown.operations if one.id == order), None)
        if one is None:
            _unknown(order)
        line = f"{one.phase}, wave {one.wave_index + 1} of {len(one.waves)}: {_counts(one)}"
        if shown.min_pairs and one.phase == "watching":
            line += f"; evidence: {shown.compared_pairs} pairs, {shown.min_pairs} at least"
        if line != said and not as_json:
            said = line
            console.print(line, highlight=False, soft_wrap=True)
        if one.phase == "ended":
            break
        time.sleep(LOOK_S)
    if as_json:
        click.echo(msgspec.json.encode(one).decode())
    elif one.halt_reason:
        console.print(f"halted: {one.halt_reason}", highlight=False, soft_wrap=True)
    if one.result != "done":
        if not as_json:
            _members(one)
        sys.exit(IN_PART)


# Shown


def _table(*heads: str) -> Table:
    table = Table(box=None, pad_edge=False)
    for head in heads:
        table.add_column(head, overflow="fold")
    return table


def _date(ms: int) -> str:
    return f"{datetime.fromtimestamp(ms / 1_000, UTC):%m-%d %H:%M:%S}" if ms else ""


def _counts(order: OperationStatus) -> str:
    return ", ".join(f"{count} {step}" for step, count in order.status_counts.items())


def _members(order: OperationStatus) -> None:
    table = _table("instance", "step", "permit", "why")
    for member in order.participants:
        table.add_row(member.name, member.status, str(member.permit_number or ""), member.reason)
    console.print(table, highlight=False)


def _waves(shown: FleetStatus, place: Submit, placed: SubmitResult) -> None:
    """What would go out when, and how many of its region stay."""
    regions = {unit.name: unit.region for unit in shown.instances}
    whole = Counter(unit.region for unit in shown.instances if unit.kind == _sort_of(shown, place))
    table = _table("wave", "region", "out", "stay there")
    for at, wave in enumerate(placed.waves, 1):
        region = regions[wave[0]]
        table.add_row(str(at), region, ", ".join(wave), f"{whole[region] - len(wave)} of {whole[region]}")
    console.print(table, highlight=False)


def _sort_of(shown: FleetStatus, place: Submit) -> str:
    return next(unit.kind for unit in shown.instances if unit.name == place.instances[0])


def _status(shown: FleetStatus) -> None:
    seats = ", ".join(shown.members)
    console.print(f"{shown.node} leads in term {shown.term}; council: {seats}", highlight=False)
    if shown.halt_reason:
        console.print(f"halted: {shown.halt_reason}", highlight=False, soft_wrap=True)
    states = Counter((unit.kind, unit.state) for unit in shown.instances)
    for (sort, state), count in sorted(states.items()):
        console.print(f"{count} {sort} {state}", highlight=False)
    odd = [
        unit
        for unit in shown.instances
        if unit.state != "in" or unit.running_version not in ("", unit.desired_version)
    ]
    if odd:
        table = _table("instance", "region", "state", "runs", "wanted", "by")
        for unit in odd:
            by = f"{unit.operation} ({unit.permit_number})" if unit.permit_number else ""
            table.add_row(unit.name, unit.region, unit.state, unit.running_version, unit.desired_version, by)
        console.print(table, highlight=False)
    for order in shown.operations:
        if order.phase != "ended":
            line = f"{order.id}: {order.kind} {order.version}".rstrip()
            wave = f"wave {order.wave_index + 1} of {len(order.waves)}"
            console.print(f"{line}, {order.phase}, {wave}: {_counts(order)}", highlight=False, soft_wrap=True)
            if order.halt_reason:
                console.print(f"  halted: {order.halt_reason}", highlight=False, soft_wrap=True)
            for member in order.participants:
                if member.reason and member.status in ("waiting", "failed", "to return"):
                    console.print(f"  {member.name}: {member.reason}", highlight=False, soft_wrap=True)


COMMANDS = (drain, undrain, restart, release, halt, back, retire, status, history)
