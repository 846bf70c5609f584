"""`valverouter fleet drain|undrain|restart|release|halt|back|retire|status|history`: operations on the fleet.

The commands are clients of the control plane: an operation continues if the command's process ends, and is
identified by its id.
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

# The exit code if an operation is rejected.
REJECTED = INVALID_INPUT
STATUS_INTERVAL_S = 1.0
# The submitting client, as stored with an operation.
CLIENT_NAME = "tool"
OPERATION_ID = re.compile(r"[A-Za-z0-9._-]{1,64}")

Option = Callable[[Callable[..., None]], Callable[..., None]]


def _valid_id(context: click.Context, option: click.Parameter, id_: str) -> str:
    if id_ and not OPERATION_ID.fullmatch(id_):
        raise click.BadParameter("must be 1 to 64 letters, digits, dots, dashes or underscores")
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
    click.option("--region", "regions", multiple=True, help="All of this region; may be repeated."),
    click.option(
        "--version", "versions", multiple=True, help="All whose desired version is this; may be repeated."
    ),
    click.option(
        "--state",
        "states",
        multiple=True,
        help="All in this state: in, out, away or drained; may be repeated.",
    ),
    click.option("--servers", is_flag=True, help="Select servers instead of edge proxies."),
    click.option("--all", "everybody", is_flag=True, help="Select all instances."),
)
_submission = _combine_options(
    click.option(
        "--id",
        "id_",
        default="",
        callback=_valid_id,
        help="The operation's id; submitting the same id again does not start a second operation.",
    ),
    click.option("--dry-run", is_flag=True, help="Show the waves without submitting the operation."),
    click.option(
        "--no-wait", is_flag=True, help="Return at once instead of following the operation to its end."
    ),
    click.option("--json", "as_json", is_flag=True, help="Print the operation as JSON when it has ended."),
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
    """Selects instances, submits an operation and follows it, or prints its waves if `dry_run`.

    `selection` contains the fields of a `Selection`.
    """
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
    """Prints an operation's id and submits it; the id is known even if this process then ends early."""
    console.print(f"order {operation.id}", highlight=False)
    _exit_if_rejected(submit(file, operation))


def _exit_if_rejected(result: SubmitResult) -> SubmitResult:
    """Returns the result; exits if the operation was rejected."""
    if result.rejection:
        console.print(f"rejected: {result.rejection}", highlight=False, soft_wrap=True)
        sys.exit(REJECTED)
    return result


@click.command("drain")
@_selection
@_submission
def drain(**options: Any) -> None:
    """Take instances out of service until they are undrained.

    FILE is the settings of any raft server or supervisor. Exit codes: 0 done, 1 halted or done only in part,
    2 rejected, 3 outcome unknown.
    """
    _run(OperationKind.DRAIN, "", **options)


@click.command("undrain")
@_selection
@_submission
def undrain(**options: Any) -> None:
    """Return drained instances to service."""
    _run(OperationKind.UNDRAIN, "", **options)


@click.command("restart")
@_selection
@_submission
def restart(**options: Any) -> None:
    """Restart instances, wave by wave."""
    _run(OperationKind.RESTART, "", **options)


@click.command("release")
@_selection
@click.option(
    "--to", "version", required=True, help="The target version, as labelled in the supervisors' settings."
)
@_submission
def release(version: str, **options: Any) -> None:
    """Move instances to a version, wave by wave, unless the canary comparison halts it."""
    _run(OperationKind.RELEASE, version, **options)


@click.command("halt")
@click.argument("file", type=FILE)
@click.argument("order", default="")
@click.option("--why", default="by hand", show_default=True)
@click.option("--stay", is_flag=True, help="Keep released instances at the new version.")
@click.option("--hold", is_flag=True, help="Also grant no permits to any operation until `halt --over`.")
@click.option("--over", is_flag=True, help="Grant permits again.")
def halt(file: Path, order: str, why: str, stay: bool, hold: bool, over: bool) -> None:
    """Halt the operation ORDER, or all: no further instance is taken out, and those that are out return.

    Released instances return to their previous version, unless --stay is given.
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
    """Roll back the release ORDER, whether it is running or has ended."""
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
    raise ValueError(f"unknown release {id_!r}")


def _reverse(release_status: OperationStatus) -> Submit:
    """Returns the operation that moves an ended release's instances back to their previous version.

    Raises ValueError unless all of them had the same one.
    """
    done = [participant for participant in release_status.participants if participant.status == "done"]
    versions = {participant.previous_version for participant in done}
    if len(versions) != 1:
        raise ValueError(
            f"instances of {release_status.id} had {len(versions)} previous versions: release them by name"
        )
    names = tuple(participant.name for participant in done)
    id_ = f"{release_status.id}-back"
    return Submit(id_, OperationKind.RELEASE, names, versions.pop(), wall_clock_ms(), CLIENT_NAME)


@click.command("retire")
@click.argument("file", type=FILE)
@click.argument("name")
def retire(file: Path, name: str) -> None:
    """Remove the instance NAME, which has left the fleet for good; operations no longer wait for it."""
    execute(file, Retire(name), name)


@click.command("status")
@click.argument("file", type=FILE)
@click.option("--json", "as_json", is_flag=True)
@click.option("--watch", is_flag=True, help="Repeat every second until interrupted.")
def status(file: Path, as_json: bool, watch: bool) -> None:
    """Show the instances that are out and their operations, and the operations that are queued or active."""
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
    """Show all recorded operations, or the operation ORDER with the outcome for each instance."""
    about = order or (ALL_OPERATIONS if as_json else "")
    operations = [
        operation for operation in fleet_status(file, about).operations if order in ("", operation.id)
    ]
    if order and not operations:
        raise ValueError(f"unknown operation {order!r}")
    if as_json:
        click.echo(msgspec.json.encode(operations).decode())
    else:
        print_history(operations, with_participants=bool(order))


COMMANDS = (drain, undrain, restart, release, halt, back, retire, status, history)
