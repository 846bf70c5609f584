"""Recorded calls that a scenario replays: a CSV file, validated completely before any call is made.

    at,type,edge,no_answer,first_choice,number
    0.0125,booking,0,9,2,10423
    0.0310,urgent-referral,1,,,

`at` and `no_answer` are decimal seconds, `at` since the start of the record; `edge` is the number of the edge
proxy that was called. Columns may be in any order. All but `at` and `type` may be absent or empty; their
values are then drawn or taken from the scenario, as for dialogs that are not recorded.
"""

from __future__ import annotations

import csv
from collections.abc import Iterable, Iterator
from decimal import Decimal, InvalidOperation
from itertools import islice
from pathlib import Path

from msgspec import Struct

from valverouter.config.ini import MAX_DURATION, ConfigProblem, IniFile

COLUMNS = ("at", "type", "edge", "no_answer", "first_choice", "number")
REQUIRED_COLUMNS = ("at", "type")
# Bytes. A record is kept in memory while it is replayed.
MAX_FILE_SIZE = 64 * 1024 * 1024
# A file of a different format has a problem in each line; this many are as informative as all of them.
MAX_REPORTED_PROBLEMS = 20
MAX_NUMBER = 10**18


class RecordedCall(Struct, frozen=True):
    """A recorded call without its redials. None: not recorded. Times in nanoseconds, `at` since the start."""

    at: int
    traffic_type: str
    edge: int | None = None
    no_answer: int | None = None
    first_choice: int | None = None
    number: int | None = None


class _InvalidValueError(ValueError):
    """Raised for an invalid value; `column` is its column."""

    def __init__(self, column: str, reason: str) -> None:
        super().__init__(reason)
        self.column = column


def read_calls(ini: IniFile, section: str, key: str) -> list[RecordedCall]:
    """Reads the file that a key names and returns its calls sorted by time; adds its problems to `ini`."""
    path = ini.folder / ini.sections[section][key]
    try:
        size = path.stat().st_size
        if size > MAX_FILE_SIZE:
            ini.add_problem(section, key, f"{path}: {size} bytes; at most {MAX_FILE_SIZE} are allowed")
            return []
        with path.open(encoding="utf-8-sig", newline="") as file:
            calls, problems = _parse_rows(file, str(path))
    except (OSError, UnicodeDecodeError, csv.Error) as error:
        ini.add_problem(section, key, f"{path}: {getattr(error, 'strerror', None) or error}")
        return []
    ini.problems += problems
    if not calls and not problems:
        ini.add_problem(section, key, f"{path}: contains no calls")
    return sorted(calls, key=lambda call: call.at)


def _parse_rows(lines: Iterable[str], name: str) -> tuple[list[RecordedCall], list[ConfigProblem]]:
    rows = csv.reader(lines, strict=True)
    header = [word.strip() for word in next(rows, [])]
    reasons = [
        *(
            f"unknown column {word!r}; known columns: {', '.join(COLUMNS)}"
            for word in header
            if word not in COLUMNS
        ),
        *(f"the column {word!r} appears twice" for word in COLUMNS if header.count(word) > 1),
        *(f"the column {word!r} is missing" for word in REQUIRED_COLUMNS if word not in header),
    ]
    if reasons:
        return [], [ConfigProblem(name, 1, "", "", reason) for reason in reasons]
    calls: list[RecordedCall] = []
    problems = list(islice(_collect_calls(rows, header, name, calls), MAX_REPORTED_PROBLEMS))
    return calls, problems


def _collect_calls(
    rows: Iterable[list[str]], header: list[str], name: str, calls: list[RecordedCall]
) -> Iterator[ConfigProblem]:
    """Appends the calls to `calls` and yields a problem for each invalid line."""
    for line, row in enumerate(rows, 2):
        if not row:
            continue
        if len(row) != len(header):
            yield ConfigProblem(name, line, "", "", f"{len(row)} values under {len(header)} columns")
            continue
        try:
            calls.append(_parse_call(dict(zip(header, (word.strip() for word in row), strict=True))))
        except _InvalidValueError as error:
            yield ConfigProblem(name, line, "", error.column, str(error))


def _parse_call(row: dict[str, str]) -> RecordedCall:
    at = _parse_seconds(row, "at")
    if at is None:
        raise _InvalidValueError("at", "missing")
    if not row["type"]:
        raise _InvalidValueError("type", "missing")
    no_answer = _parse_seconds(row, "no_answer")
    if no_answer == 0:
        raise _InvalidValueError("no_answer", "must be above 0")
    return RecordedCall(
        at,
        row["type"],
        _parse_integer(row, "edge"),
        no_answer,
        _parse_integer(row, "first_choice"),
        _parse_integer(row, "number"),
    )


def _parse_seconds(row: dict[str, str], column: str) -> int | None:
    text = row.get(column, "")
    if not text:
        return None
    try:
        value = Decimal(text)
    except InvalidOperation:
        raise _InvalidValueError(column, f"{text!r} is not a number of seconds, as in 12.5") from None
    if not value.is_finite() or not 0 <= value <= Decimal(MAX_DURATION) / 10**9:
        raise _InvalidValueError(
            column, f"{text!r} is out of range: seconds from 0 to {MAX_DURATION // 10**9}"
        )
    return int(value * 10**9)


def _parse_integer(row: dict[str, str], column: str) -> int | None:
    text = row.get(column, "")
    if not text:
        return None
    if not (text.isascii() and text.isdigit() and len(text) < 20 and int(text) <= MAX_NUMBER):
        raise _InvalidValueError(column, f"{text!r} is not a whole number from 0 to {MAX_NUMBER}")
    return int(text)


def write_calls(path: Path, calls: Iterable[RecordedCall]) -> int:
    """Writes the calls to a file from which `read_calls` returns equal ones; returns their number."""
    count = 0
    with path.open("w", encoding="utf-8", newline="") as file:
        rows = csv.writer(file)
        rows.writerow(COLUMNS)
        for call in calls:
            count += 1
            seconds = [None if ns is None else f"{Decimal(ns) / 10**9:f}" for ns in (call.at, call.no_answer)]
            rows.writerow(
                [seconds[0], call.traffic_type, call.edge, seconds[1], call.first_choice, call.number]
            )
    return count
