"""Parsers of single values that import lark only when there is a text to parse."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any


def lazy_reader(start: str) -> Callable[[str], Any]:
    """Returns a parser for texts of the grammar's start symbol `start`; the parser raises ValueError."""

    def read(text: str) -> Any:
        # Imported here because an edge proxy that runs without such a file has no memory to spare for lark.
        from valverouter.config.value_parser import parse

        return parse(start, text)

    return read
