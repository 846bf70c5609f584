"""Shared by the commands: exit codes, the console, the type of file arguments, printing of verdicts."""

from __future__ import annotations

import sys
from pathlib import Path

import click
from rich.console import Console

from valverouter.audit.account import account_by_type
from valverouter.audit.rules import audit
from valverouter.audit.views import check_views
from valverouter.cli import tables
from valverouter.signalling import traffic_record

# Exit codes; 0 is success.
RULE_VIOLATED, INVALID_INPUT, FAILED = 1, 2, 3
INTERRUPTED = 130

FILE = click.Path(path_type=Path)
console = Console()


def show_verdict(rows: list[traffic_record.Row]) -> None:
    """Prints a run's accounts and the audit's verdict; exits with 1 if a rule was violated."""
    config = next(row for row in rows if isinstance(row, traffic_record.AuditConfigRow))
    verdict = audit(rows)
    tables.print_accounts(console, account_by_type(rows), config.priority_weights)
    tables.print_verdict(console, verdict)
    views = check_views(rows)
    if views is not None:
        tables.print_membership(console, views)
    if not verdict.passed or (views is not None and not views.passed):
        sys.exit(RULE_VIOLATED)


def first_cause(error: BaseException) -> BaseException:
    """Returns the first error that is not a group from nested exception groups."""
    while isinstance(error, BaseExceptionGroup):
        error = error.exceptions[0]
    return error
