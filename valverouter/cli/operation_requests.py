"""Requests from the command line to the control plane, each over its own socket."""

from __future__ import annotations

import random
import secrets
import sys
import time
from pathlib import Path
from typing import NoReturn, TypeVar

import click
import msgspec
import trio

from valverouter.cli.command_support import FAILED, RULE_VIOLATED, console
from valverouter.cli.operations_output import describe_progress, print_halt_reason, print_participants
from valverouter.config.rollout import load_fleet_client
from valverouter.edge.sockets import SocketRuntime
from valverouter.fleet.messages import RequestKind
from valverouter.fleet.operations_client import OperationsClient
from valverouter.rollout.operations import Command, Submit, SubmitResult
from valverouter.rollout.status import FleetStatus, OperationStatus

# Exit codes: an operation was halted or was done only in part; no raft leader answered, or the operation is
# unknown to it.
PARTLY_DONE, OUTCOME_UNKNOWN = RULE_VIOLATED, FAILED
TIMEOUT_S = 10.0
FOLLOW_INTERVAL_S = 1.0

Answer = TypeVar("Answer")


def wall_clock_ms() -> int:
    """Returns the time to be shown with an operation, in ms since 1970."""
    return time.time_ns() // 1_000_000


def plan(file: Path, operation: Submit) -> SubmitResult:
    """Returns the waves of an operation if it were submitted now, or why it would be rejected."""
    return _submit(file, RequestKind.PLAN, operation)


def submit(file: Path, operation: Submit) -> SubmitResult:
    """Submits an operation; returns its waves, or why it was rejected."""
    return _submit(file, RequestKind.EXECUTE, operation)


def _submit(file: Path, kind: RequestKind, operation: Submit) -> SubmitResult:
    result = _request(file, kind, operation, SubmitResult)
    if result is None:
        _exit_outcome_unknown(operation.id)
    return result


def execute(file: Path, command: Command, subject: str) -> None:
    """Executes a command; `subject`, an operation or instance, is named in the error if no leader answers."""
    if _request(file, RequestKind.EXECUTE, command, dict) is None:
        _exit_outcome_unknown(subject)


def fleet_status(file: Path, about: str = "") -> FleetStatus:
    """Returns the fleet's status; `about`: see `rollout.status.fleet_status`. Exits if no leader answers."""
    status = _request(file, RequestKind.SHOW, None, FleetStatus, about)
    if status is None:
        console.print("no raft leader answered", highlight=False)
        sys.exit(OUTCOME_UNKNOWN)
    return status


def follow(file: Path, id_: str, as_json: bool) -> None:
    """Prints an operation's progress until it ends; exits if it was not done completely.

    Interrupting this command does not affect the operation.
    """
    operation = _wait_for_end(file, id_, is_quiet=as_json)
    if as_json:
        click.echo(msgspec.json.encode(operation).decode())
    else:
        print_halt_reason(operation)
    if operation.result != "done":
        if not as_json:
            print_participants(operation)
        sys.exit(PARTLY_DONE)


def _wait_for_end(file: Path, id_: str, is_quiet: bool) -> OperationStatus:
    printed = ""
    while True:
        status = fleet_status(file, id_)
        operation = next((operation for operation in status.operations if operation.id == id_), None)
        if operation is None:
            _exit_outcome_unknown(id_)
        line = describe_progress(status, operation)
        if line != printed and not is_quiet:
            printed = line
            console.print(line, highlight=False, soft_wrap=True)
        if operation.phase == "ended":
            return operation
        time.sleep(FOLLOW_INTERVAL_S)


def _request(
    file: Path, kind: RequestKind, command: Command | None, answer_type: type[Answer], about: str = ""
) -> Answer | None:
    """Sends a request; returns the leader's answer, or None if no leader answered within TIMEOUT_S."""
    config = load_fleet_client(file)

    async def send() -> Answer | None:
        host = next(iter(config.council.values())).rpartition(":")[0]
        socket = SocketRuntime().bind_datagrams("[::]:0" if ":" in host else "0.0.0.0:0")
        try:
            client = OperationsClient(config, socket, random.Random(secrets.randbits(64)))
            return await client.request(kind, command, answer_type, TIMEOUT_S, about)
        finally:
            socket.close()

    return trio.run(send)


def _exit_outcome_unknown(subject: str) -> NoReturn:
    console.print(
        f"no answer, so what became of {subject or 'it'} is unknown; query it by its id", highlight=False
    )
    sys.exit(OUTCOME_UNKNOWN)
