"""`valverouter ledger ...`: inspects and repairs an edge proxy's dialog store."""

from __future__ import annotations

import sys
from collections import Counter
from pathlib import Path

import click
import msgspec

from valverouter.cli.command_support import FILE, RULE_VIOLATED, console
from valverouter.ledger.dialog_store import DamagedEntry, DialogStore
from valverouter.ledger.export import export_row
from valverouter.ledger.storage import DATA_FILE
from valverouter.recovery.lifecycle import DialogRecord


@click.group()
def ledger() -> None:
    """Inspect and repair the dialog store, which has the dialogs that an edge proxy must still answer."""


def _open_existing(folder: Path) -> DialogStore:
    # DialogStore creates a missing store, so a mistyped path would show as an empty store.
    if not (folder / DATA_FILE).exists():
        raise ValueError(f"{folder}: there is no store")
    return DialogStore(folder)


def _describe(entry: DamagedEntry) -> str:
    return f"{entry.table} {entry.key!r}: {entry.reason}"


@ledger.command("inspect")
@click.argument("folder", type=FILE)
def ledger_inspect(folder: Path) -> None:
    """Show the size of the store in FOLDER and its dialogs by phase."""
    with _open_existing(folder) as store:
        records = [entry for entry in store.records() if isinstance(entry, DialogRecord)]
        sizes = f"{store.live_bytes()} bytes live, {store.bytes_in_use()} used"
    console.print(f"{len(records)} dialogs, {sizes}", highlight=False)
    phases = Counter(record.phase.value for record in records)
    for phase, count in sorted(phases.items()):
        console.print(f"  {phase}: {count}", highlight=False)


@ledger.command("verify")
@click.argument("folder", type=FILE)
def ledger_verify(folder: Path) -> None:
    """Read every entry of the store in FOLDER; exits with 1 if one is damaged."""
    with _open_existing(folder) as store:
        damaged = store.damaged_entries()
    for entry in damaged:
        console.print(_describe(entry), highlight=False, markup=False)
    console.print(f"{len(damaged)} damaged", highlight=False)
    sys.exit(RULE_VIOLATED if damaged else 0)


@ledger.command("repair")
@click.argument("folder", type=FILE)
def ledger_repair(folder: Path) -> None:
    """Remove the damaged entries from the store in FOLDER and list them."""
    with _open_existing(folder) as store:
        lost = store.repair()
    for entry in lost:
        console.print(f"lost: {_describe(entry)}", highlight=False, markup=False)
    console.print(f"{len(lost)} lost", highlight=False)


@ledger.command("export")
@click.argument("folder", type=FILE)
def ledger_export(folder: Path) -> None:
    """Print every readable record of the store in FOLDER as a line of JSON."""
    with _open_existing(folder) as store:
        for entry in store.records():
            if isinstance(entry, DialogRecord):
                click.echo(msgspec.json.encode(export_row(entry)))
