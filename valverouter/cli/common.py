"""What the command groups share: exit codes, the console, how a file is named, and a day's verdict."""

from __future__ import annotations

import sys
from pathlib import Path

import click
from rich.console import Console

from valverouter.audit.account import account_by_type
from valverouter.audit.rules import audit
from valverouter.audit.views import check_views
from valverouter.cli import tables
from valverouter.signalling import tap

BROKEN, UNUSABLE, FAILED = 1, 2, 3

FILE = click.Path(path_type=Path)
console = Console()


def show_verdict(rows: list[tap.Row]) -> None:
    terms = next(row for row in rows if isinstance(row, tap.AuditConfigRow))
    verdict = audit(rows)
    tables.print_accounts(console, account_by_type(rows), terms.priority_weights)
    tables.print_verdict(console, verdict)
    views = check_views(rows)
    if views is not None:
        tables.print_views(console, views)
    if not verdict.passed or (views is not None and not views.passed):
        sys.exit(BROKEN)


def leaf(error: BaseException) -> BaseException:
    while isinstance(error, BaseExceptionGroup):
        error = error.exceptions[0]
    return error
