"""KNOWN-RED.txt: faults that are known and not mended yet.

One entry a line, `TEST | COMMAND | SEEN | ISSUE`: the test by its pytest id, or `-` where only a program of
the project shows the fault; the command that shows it, with its seed where it draws; what was seen; the
issue's number. A listed test must fail, a listed command must be one that can still be run, and the test set
prints each entry. What fails only at times is listed by a command and seed that make it fail. There is no
bound on the number of entries: the operators took it back, since it made people leave faults unnamed.
"""

from __future__ import annotations

import re
import shlex
from pathlib import Path
from typing import NamedTuple

ROOT = Path(__file__).parent.parent
FILE = ROOT / "KNOWN-RED.txt"
FORMAT = "TEST | COMMAND | SEEN | ISSUE"
NO_TEST = "-"
PYTEST = ["python", "-m", "pytest"]
# Options that name what a program draws from.
SEED_OPTIONS = ("--seed", "--seeds")


class KnownFailure(NamedTuple):
    """One entry."""

    test: str
    command: str
    seen: str
    issue: str

    def __str__(self) -> str:
        return " | ".join(self)

    @property
    def arguments(self) -> list[str]:
        """The command's words."""
        return shlex.split(self.command)

    @property
    def program(self) -> Path | None:
        """The program of the project that the command runs; None: it runs the test."""
        if self.arguments[:3] == PYTEST:
            return None
        return ROOT / self.arguments[1]


def parse_entries(text: str) -> list[KnownFailure]:
    """The entries; ValueError where one has another form or comes twice."""
    entries = [_parse_entry(line.strip()) for line in text.splitlines() if line.strip()]
    tests = [entry.test for entry in entries if entry.test != NO_TEST]
    if len(set(tests)) < len(tests):
        raise ValueError("KNOWN-RED.txt: a test is listed twice")
    return entries


def _parse_entry(line: str) -> KnownFailure:
    parts = [part.strip() for part in line.split(" | ")]
    if len(parts) != len(KnownFailure._fields) or not all(parts):
        raise ValueError(f"KNOWN-RED.txt: {line!r} is no {FORMAT}")
    entry = KnownFailure(*parts)
    if problem := _describe_problem(entry):
        raise ValueError(f"KNOWN-RED.txt: {line!r}: {problem}")
    return entry


def _describe_problem(entry: KnownFailure) -> str:
    """What is wrong with an entry of four parts; empty: nothing."""
    if entry.test != NO_TEST and "::" not in entry.test:
        return "the test is no pytest id"
    if not re.fullmatch(r"[1-9]\d*", entry.issue):
        return "the issue is no number"
    words = entry.arguments
    if words[:3] == PYTEST:
        return "" if entry.test in words else "the command does not run the test"
    if words[:1] != ["python"] or len(words) < 2 or not re.fullmatch(r"benchmarks/\w+\.py", words[1]):
        return "the command runs neither the test nor a program of the project"
    if entry.test == NO_TEST and not any(option in words for option in SEED_OPTIONS):
        return "the command names no seed"
    return ""
