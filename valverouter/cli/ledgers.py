"""`valverouter ledger ...`: the store of dialogs that an edge proxy owes answers to."""

from __future__ import annotations

import sys
from collections import Counter
from pathlib import Path

import click
import msgspec
import structlog

from valverouter.cli.common import BROKEN, FILE, console
from valverouter.ledger.store import Damaged, Ledger
from valverouter.recovery.course import Record

log = structlog.get_logger()


@click.group()
def ledger() -> None:
    """The store of dialogs that an edge proxy owes answers to."""


def _kept(folder: Path) -> Ledger:
    # Opening makes a store where there is none: a slip in the path would read as an empty one.
    if not (folder / "data.mdb").exists():
        raise ValueError(f"{folder}: there is no store")
    return Ledger(folder)


@ledger.command("inspect")
@click.argument("folder", type=FILE)
def ledger_inspect(folder: Path) -> None:
    """What the store in FOLDER holds, by phase."""
    with _kept(folder) as store:
        records = [one for one in store.records() if isinstance(one, Record)]
        phases = Counter(one.phase.value for one in records)
        console.print(
            f"{len(records)} dialogs, {store.live()} bytes live, {store.used()} used", highlight=False
        )
    for phase, count in sorted(phases.items()):
        console.print(f"  {phase}: {count}", highlight=False)


@ledger.command("verify")
@click.argument("folder", type=FILE)
def ledger_verify(folder: Path) -> None:
    """Read every entry in FOLDER; exits with 1 when one is damaged."""
    with _kept(folder) as store:
        damaged = [one for one in (*store.records(), *store.learnt()) if isinstance(one, Damaged)]
    for one in damaged:
        console.print(f"{one.table} {one.key!r}: {one.why}", highlight=False, markup=False)
    console.print(f"{len(damaged)} damaged", highlight=False)
    sys.exit(BROKEN if damaged else 0)


@ledger.command("repair")
@click.argument("folder", type=FILE)
def ledger_repair(folder: Path) -> None:
    """Take damaged entries out of the store in FOLDER, and say what is lost by it."""
    with _kept(folder) as store:
        lost = store.repair()
    for one in lost:
        console.print(f"lost: {one.table} {one.key!r}: {one.why}", highlight=False, markup=False)
    console.print(f"{len(lost)} lost", highlight=False)


@ledger.command("export")
@click.argument("folder", type=FILE)
def ledger_export(folder: Path) -> None:
    """Every readable record in FOLDER as a JSON line on standard output."""
    with _kept(folder) as store:
        for one in store.records():
            if isinstance(one, Record):
                click.echo(msgspec.json.encode(msgspec.structs.asdict(one)))
