"""A record of calls that a day plays again: CSV, checked whole before anything is dialled.

    at,type,edge,no_answer,first_choice,number
    0.0125,booking,0,9,2,10423
    0.0310,urgent-referral,1,,,

`at` and `no_answer` are seconds as decimals, `at` from the record's beginning; `edge` is the number of the
edge proxy that was dialled. Columns may stand in any order; all but `at` and `type` may be left out or empty,
and are then drawn or taken from the day, as for dialogs that no record names.
"""

from __future__ import annotations

import csv
from collections.abc import Iterable, Iterator
from decimal import Decimal, InvalidOperation
from itertools import islice
from pathlib import Path

from msgspec import Struct

from valverouter.terms.ini import SPAN_MOST, Flaw, IniFile

COLUMNS = ("at", "type", "edge", "no_answer", "first_choice", "number")
NEEDED = ("at", "type")
# A record is held whole while its day is played.
FILE_MOST = 64 * 1024 * 1024
# A file of another kind has a flaw in each line; so many tell as much.
FLAWS_TOLD = 20
NUMBER_MOST = 10**18


class Call(Struct, frozen=True):
    """One first try; spans in ns, `at` since the record began. None: not on record."""

    at: int
    traffic_type: str
    edge: int | None = None
    no_answer: int | None = None
    first_choice: int | None = None
    number: int | None = None


class _WrongError(ValueError):
    """A value that can't be used: its column, and why."""

    def __init__(self, column: str, reason: str) -> None:
        super().__init__(reason)
        self.column = column


def read_calls(ini: IniFile, section: str, key: str) -> list[Call]:
    """The record that a key names, beside its file, in the order of time; what is wrong becomes flaws of
    `ini`."""
    path = ini.folder / ini.sections[section][key]
    try:
        size = path.stat().st_size
        if size > FILE_MOST:
            ini.flaw(section, key, f"{path}: {size} bytes, {FILE_MOST} are allowed")
            return []
        with path.open(encoding="utf-8-sig", newline="") as file:
            found, flaws = _read(file, str(path))
    except (OSError, UnicodeDecodeError, csv.Error) as error:
        ini.flaw(section, key, f"{path}: {getattr(error, 'strerror', None) or error}")
        return []
    ini.flaws += flaws
    if not found and not flaws:
        ini.flaw(section, key, f"{path}: holds no call")
    return sorted(found, key=lambda call: call.at)


def _read(lines: Iterable[str], name: str) -> tuple[list[Call], list[Flaw]]:
    rows = csv.reader(lines, strict=True)
    head = [word.strip() for word in next(rows, [])]
    wrong = [
        *(f"{word!r} is no column; known are {', '.join(COLUMNS)}" for word in head if word not in COLUMNS),
        *(f"{word!r} stands twice" for word in COLUMNS if head.count(word) > 1),
        *(f"the column {word!r} is missing" for word in NEEDED if word not in head),
    ]
    if wrong:
        return [], [Flaw(name, 1, "", "", reason) for reason in wrong]
    found: list[Call] = []
    flaws = list(islice(_calls(rows, head, name, found), FLAWS_TOLD))
    return found, flaws


def _calls(rows: Iterable[list[str]], head: list[str], name: str, found: list[Call]) -> Iterator[Flaw]:
    """Collects calls, and yields a flaw for each line that is none."""
    for at, row in enumerate(rows, 2):
        if not row:
            continue
        if len(row) != len(head):
            yield Flaw(name, at, "", "", f"{len(row)} values under {len(head)} columns")
            continue
        try:
            found.append(_call(dict(zip(head, (word.strip() for word in row), strict=True))))
        except _WrongError as error:
            yield Flaw(name, at, "", error.column, str(error))


def _call(told: dict[str, str]) -> Call:
    at = _seconds(told, "at")
    if at is None:
        raise _WrongError("at", "missing")
    if not told["type"]:
        raise _WrongError("type", "missing")
    no_answer = _seconds(told, "no_answer")
    if no_answer == 0:
        raise _WrongError("no_answer", "nobody waits for no time")
    return Call(
        at,
        told["type"],
        _whole(told, "edge"),
        no_answer,
        _whole(told, "first_choice"),
        _whole(told, "number"),
    )


def _seconds(told: dict[str, str], column: str) -> int | None:
    text = told.get(column, "")
    if not text:
        return None
    try:
        value = Decimal(text)
    except InvalidOperation:
        raise _WrongError(column, f"{text!r} is no number of seconds, as in 12.5") from None
    if not value.is_finite() or not 0 <= value <= Decimal(SPAN_MOST) / 10**9:
        raise _WrongError(column, f"{text!r} is out of range: seconds from 0 to {SPAN_MOST // 10**9}")
    return int(value * 10**9)


def _whole(told: dict[str, str], column: str) -> int | None:
    text = told.get(column, "")
    if not text:
        return None
    if not (text.isascii() and text.isdigit() and len(text) < 20 and int(text) <= NUMBER_MOST):
        raise _WrongError(column, f"{text!r} is no whole number from 0 to {NUMBER_MOST}")
    return int(text)


def write_calls(path: Path, calls: Iterable[Call]) -> int:
    """The calls as a file that `read_calls` reads back the same; how many."""
    count = 0
    with path.open("w", encoding="utf-8", newline="") as file:
        rows = csv.writer(file)
        rows.writerow(COLUMNS)
        for call in calls:
            count += 1
            spans = [None if ns is None else f"{Decimal(ns) / 10**9:f}" for ns in (call.at, call.no_answer)]
            rows.writerow([spans[0], call.traffic_type, call.edge, spans[1], call.first_choice, call.number])
    return count
