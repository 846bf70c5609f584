"""Parsers of single values that load the grammar's parser only when there is a text to parse."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any


def lazy_reader(start: str) -> Callable[[str], Any]:
    """A parser for texts of one kind, by the grammar's start symbol; it raises ValueError."""

    def read(text: str) -> Any:
        # An edge proxy that is configured without a file can't spare the memory of a parser.
        from valverouter.config.value_parser import parse

        return parse(start, text)

    return read
