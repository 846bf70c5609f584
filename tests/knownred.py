"""KNOWN-RED.txt: tests that fail for a real fault which is known and not mended yet, three at most.

One line each, `TEST | CAUSE | ISSUE`, the test by its pytest id. A listed test must fail; the run prints each
line. `conftest.py` holds the test set to it.
"""

from __future__ import annotations

from pathlib import Path
from typing import NamedTuple

FILE = Path(__file__).parent.parent / "KNOWN-RED.txt"
MOST = 3


class Red(NamedTuple):
    """One line."""

    test: str
    cause: str
    issue: str

    def __str__(self) -> str:
        return " | ".join(self)


def reds(text: str) -> list[Red]:
    """The lines; ValueError where there are too many, or one has another form or comes twice."""
    lines = [line.strip() for line in text.splitlines() if line.strip()]
    if len(lines) > MOST:
        raise ValueError(f"KNOWN-RED.txt: {len(lines)} lines, {MOST} at most")
    found = []
    for line in lines:
        parts = [part.strip() for part in line.split(" | ")]
        if len(parts) != 3 or not all(parts) or "::" not in parts[0]:
            raise ValueError(f"KNOWN-RED.txt: {line!r} is no TEST | CAUSE | ISSUE")
        found.append(Red(*parts))
    if len({red.test for red in found}) < len(found):
        raise ValueError("KNOWN-RED.txt: a test is listed twice")
    return found
