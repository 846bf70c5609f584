"""Parses KNOWN-RED.txt, the list of known faults that are not fixed yet.

Each line is an entry `TEST | COMMAND | SEEN | ISSUE`: the pytest id of the test, or `-` if only a program in
benchmarks/ shows the fault; the command that reproduces it, with its seed if it draws random numbers; the
observed failure; the number of the issue. A listed test must fail, a listed command must still be runnable,
and each test run prints all entries. An intermittent failure is listed with a command and seed that make it
fail. The number of entries is not limited: the operators withdrew a limit, since it made people leave faults
unlisted.
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
# Options that set the seed of a program.
SEED_OPTIONS = ("--seed", "--seeds")


class KnownFailure(NamedTuple):
    """One entry of KNOWN-RED.txt."""

    test: str
    command: str
    seen: str
    issue: str

    def __str__(self) -> str:
        return " | ".join(self)

    @property
    def arguments(self) -> list[str]:
        """The words of the command."""
        return shlex.split(self.command)

    @property
    def program(self) -> Path | None:
        """The program in benchmarks/ that the command runs; None if it runs the test with pytest."""
        if self.arguments[:3] == PYTEST:
            return None
        return ROOT / self.arguments[1]


def parse_entries(text: str) -> list[KnownFailure]:
    """Returns the entries; raises ValueError if one is malformed or a test is listed twice."""
    entries = [_parse_entry(line.strip()) for line in text.splitlines() if line.strip()]
    tests = [entry.test for entry in entries if entry.test != NO_TEST]
    if len(set(tests)) < len(tests):
        raise ValueError("KNOWN-RED.txt: a test is listed twice")
    return entries


def _parse_entry(line: str) -> KnownFailure:
    parts = [part.strip() for part in line.split(" | ")]
    if len(parts) != len(KnownFailure._fields) or not all(parts):
        raise ValueError(f"KNOWN-RED.txt: {line!r} is not of the form {FORMAT}")
    entry = KnownFailure(*parts)
    if problem := _describe_problem(entry):
        raise ValueError(f"KNOWN-RED.txt: {line!r}: {problem}")
    return entry


def _describe_problem(entry: KnownFailure) -> str:
    """Returns the problem of an entry of four parts; empty if it is valid."""
    if entry.test != NO_TEST and "::" not in entry.test:
        return "the test is not a pytest id"
    if not re.fullmatch(r"[1-9]\d*", entry.issue):
        return "the issue is not a number"
    words = entry.arguments
    if words[:3] == PYTEST:
        return "" if entry.test in words else "the command does not run the test"
    if words[:1] != ["python"] or len(words) < 2 or not re.fullmatch(r"benchmarks/\w+\.py", words[1]):
        return "the command runs neither the test nor a program in benchmarks/"
    if entry.test == NO_TEST and not any(option in words for option in SEED_OPTIONS):
        return "the command has no seed option"
    return ""
