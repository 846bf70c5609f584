"""`valverouter fleet drain|undrain|restart|release|halt|back|retire|status|history`: operations on the fleet.

Clients of the control plane: whatever becomes of this process, an operation goes on, and is found by its id.
"""

from __future__ import annotations

import re
import secrets
import sys
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any

import click
import msgspec

from valverouter.cli.command_support import FILE, INVALID_INPUT, console
from valverouter.cli.operation_requests import execute, fleet_status, follow, plan, submit, wall_clock_ms
from valverouter.cli.operation_selection import Selection, select_instances
from valverouter.cli.operations_output import print_history, print_status, print_waves
from valverouter.rollout.disruption_permits import HaltDisruptions
from valverouter.rollout.operations import Cancel, Command, OperationKind, Retire, Submit, SubmitResult
from valverouter.rollout.status import ALL_OPERATIONS, OperationStatus

# The exit code of an operation that is rejected.
REJECTED = INVALID_INPUT
STATUS_INTERVAL_S = 1.0
# Who submits, as the status shows it.
CLIENT_NAME = "tool"
OPERATION_ID = re.compile(r"[A-Za-z0-9._-]{1,64}")

Option = Callable[[Callable[..., None]], Callable[..., None]]


def _valid_id(context: click.Context, option: click.Parameter, id_: str) -> str:
    if id_ and not OPERATION_ID.fullmatch(id_):
        raise click.BadParameter("letters, digits, dots, dashes and underlines, 64 at most")
    return id_


def _combine_options(*options: Option) -> Option:
    def decorate(command: Callable[..., None]) -> Callable[..., None]:
        for option in reversed(options):
            command = option(command)
        return command

    return decorate


_selection = _combine_options(
    click.argument("file", type=FILE),
    click.argument("names", nargs=-1),
    click.option("--region", "regions", multiple=True, help="All of this region; several."),
    click.option("--version", "versions", multiple=True, help="All that run this version; several."),
    click.option("--state", "states", multiple=True, help="All that are in, out, away or drained; several."),
    click.option("--servers", is_flag=True, help="Of the servers, not of the edge proxies."),
    click.option("--all", "everybody", is_flag=True, help="All of them."),
)
_submission = _combine_options(
    click.option(
        "--id",
        "id_",
        default="",
        callback=_valid_id,
        help="The operation's own id; submitted again, it is the same operation.",
    ),
    click.option("--dry-run", is_flag=True, help="Show the waves; nothing is submitted."),
    click.option("--no-wait", is_flag=True, help="Do not follow the operation to its end."),
    click.option("--json", "as_json", is_flag=True, help="The operation as JSON, once it is known."),
)


def _run(
    kind: OperationKind,
    version: str,
    *,
    file: Path,
    id_: str,
    dry_run: bool,
    no_wait: bool,
    as_json: bool,
    **selection: Any,
) -> None:
    """Selects, plans, submits and follows an operation; `selection` are the fields of a `Selection`."""
    status = fleet_status(file)
    instances = select_instances(status.instances, kind, version, Selection(**selection))
    operation = Submit(
        id_ or f"{kind.value}-{secrets.token_hex(4)}",
        kind,
        tuple(instances),
        version,
        wall_clock_ms(),
        CLIENT_NAME,
    )
    if dry_run:
        print_waves(status, operation, _exit_if_rejected(plan(file, operation)))
        return
    _submit(file, operation)
    if not no_wait:
        follow(file, operation.id, as_json)


def _submit(file: Path, operation: Submit) -> None:
    """Submits an operation; its id is printed before, by which it is found whatever becomes of this
    process.
    """
    console.print(f"order {operation.id}", highlight=False)
    _exit_if_rejected(submit(file, operation))


def _exit_if_rejected(result: SubmitResult) -> SubmitResult:
    """Ends the process where the operation is rejected."""
    if result.rejection:
        console.print(f"refused: {result.rejection}", highlight=False, soft_wrap=True)
        sys.exit(REJECTED)
    return result


@click.command("drain")
@_selection
@_submission
def drain(**options: Any) -> None:
    """Take instances out, and leave them out until undrain.

    FILE is the settings of any raft server or supervisor. Exits with 0 done, 1 in part or halted, 2
    rejected, 3 unknown.
    """
    _run(OperationKind.DRAIN, "", **options)


@click.command("undrain")
@_selection
@_submission
def undrain(**options: Any) -> None:
    """Bring drained instances in again."""
    _run(OperationKind.UNDRAIN, "", **options)


@click.command("restart")
@_selection
@_submission
def restart(**options: Any) -> None:
    """Restart instances, wave by wave."""
    _run(OperationKind.RESTART, "", **options)


@click.command("release")
@_selection
@click.option("--to", "version", required=True, help="The version, a label of the supervisors' settings.")
@_submission
def release(version: str, **options: Any) -> None:
    """Bring instances to a version, wave by wave, while the evidence lets it."""
    _run(OperationKind.RELEASE, version, **options)


@click.command("halt")
@click.argument("file", type=FILE)
@click.argument("order", default="")
@click.option("--why", default="by hand", show_default=True)
@click.option("--stay", is_flag=True, help="What was released stays at its new version.")
@click.option("--hold", is_flag=True, help="Take no further operations either, until --over.")
@click.option("--over", is_flag=True, help="Take operations again.")
def halt(file: Path, order: str, why: str, stay: bool, hold: bool, over: bool) -> None:
    """Halt ORDER, or all: nothing further goes out, and what is out comes in.

    What a release brought to its new version goes back, unless it is to stay.
    """
    commands: list[Command] = []
    if over:
        commands.append(HaltDisruptions("", lifted=True))
    else:
        if hold:
            commands.append(HaltDisruptions(why))
        commands.append(Cancel(order, why, not stay, wall_clock_ms()))
    for command in commands:
        execute(file, command, order)


@click.command("back")
@click.argument("file", type=FILE)
@click.argument("order")
@click.option("--no-wait", is_flag=True)
@click.option("--json", "as_json", is_flag=True)
def back(file: Path, order: str, no_wait: bool, as_json: bool) -> None:
    """Bring back what the release ORDER brought to its version, whether it goes or has ended."""
    release_status = _find_release(file, order)
    if release_status.phase != "ended":
        execute(file, Cancel(order, "back, by hand", True, wall_clock_ms()), order)
        operation_id = order
    else:
        operation = _reverse(release_status)
        _submit(file, operation)
        operation_id = operation.id
    if not no_wait:
        follow(file, operation_id, as_json)


def _find_release(file: Path, id_: str) -> OperationStatus:
    for operation in fleet_status(file, id_).operations:
        if operation.id == id_ and operation.kind == OperationKind.RELEASE.value:
            return operation
    raise ValueError(f"there is no release {id_!r}")


def _reverse(release_status: OperationStatus) -> Submit:
    """The operation that brings an ended release's instances back to their one previous version."""
    done = [participant for participant in release_status.participants if participant.status == "done"]
    versions = {participant.previous_version for participant in done}
    if len(versions) != 1:
        raise ValueError(
            f"{release_status.id} brought instances from {len(versions)} versions: release them by name"
        )
    names = tuple(participant.name for participant in done)
    id_ = f"{release_status.id}-back"
    return Submit(id_, OperationKind.RELEASE, names, versions.pop(), wall_clock_ms(), CLIENT_NAME)


@click.command("retire")
@click.argument("file", type=FILE)
@click.argument("name")
def retire(file: Path, name: str) -> None:
    """Strike NAME, which is no part of the fleet any more, and whatever waits for it goes on."""
    execute(file, Retire(name), name)


@click.command("status")
@click.argument("file", type=FILE)
@click.option("--json", "as_json", is_flag=True)
@click.option("--watch", is_flag=True, help="Again each second, until interrupted.")
def status(file: Path, as_json: bool, watch: bool) -> None:
    """Who is out and by what, and the operations that are queued or active."""
    while True:
        present = fleet_status(file)
        if watch and console.is_terminal:
            console.clear()
        if as_json:
            click.echo(msgspec.json.encode(present).decode())
        else:
            print_status(present)
        if not watch:
            return
        time.sleep(STATUS_INTERVAL_S)


@click.command("history")
@click.argument("file", type=FILE)
@click.argument("order", default="")
@click.option("--json", "as_json", is_flag=True)
def history(file: Path, order: str, as_json: bool) -> None:
    """The operations on record, or one of them with what became of each instance."""
    about = order or (ALL_OPERATIONS if as_json else "")
    operations = [
        operation for operation in fleet_status(file, about).operations if order in ("", operation.id)
    ]
    if order and not operations:
        raise ValueError(f"there is no order {order!r}")
    if as_json:
        click.echo(msgspec.json.encode(operations).decode())
    else:
        print_history(operations, with_participants=bool(order))


COMMANDS = (drain, undrain, restart, release, halt, back, retire, status, history)
