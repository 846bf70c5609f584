"""Readers of the grammar's texts that load the parser only once there is a text to read."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any


def reader(start: str) -> Callable[[str], Any]:
    """Reads texts of one kind; ValueError says what would be accepted."""

    def read(text: str) -> Any:
        # An edge proxy that has its terms from elsewhere can't spare the memory of a parser.
        from valverouter.terms.meaning import meaning

        return meaning(start, text)

    return read
