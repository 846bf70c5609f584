"""Parses texts of the grammar with lark and converts them to values."""

from __future__ import annotations

from collections import Counter
from decimal import Decimal
from typing import Any

from lark import Lark, Transformer
from lark.exceptions import UnexpectedInput, VisitError

from valverouter.config.grammar import GRAMMAR, NANOSECONDS_PER_UNIT, SYNTAX_REASONS

# A range is expanded to all of its members. A larger one is a mistake, or better written as a shorter prefix.
MAX_RANGE_SIZE = 1_000


class _Values(Transformer[Any, Any]):
    def span(self, parts: list[Any]) -> int:
        number = Decimal(parts[0])
        if len(parts) == 1:
            if number:
                raise ValueError(f"{str(parts[0])!r} {SYNTAX_REASONS['span']}")
            return 0
        exact = number * _nanoseconds_per(parts[1])
        if exact != int(exact):
            raise ValueError(f"{''.join(parts)!r} is not a whole number of nanoseconds")
        return int(exact)

    def rate(self, parts: list[Any]) -> float:
        return float(
            Decimal(parts[0])
            * NANOSECONDS_PER_UNIT["s"]
            / (_nanoseconds_per(parts[1]) if len(parts) > 1 else NANOSECONDS_PER_UNIT["s"])
        )

    def share(self, parts: list[Any]) -> float:
        if len(parts) == 1:
            return float(parts[0])
        if parts[1] == "%":
            return float(Decimal(parts[0]) / 100)
        if not Decimal(parts[1]):
            raise ValueError(f"{'/'.join(parts)!r} divides by zero")
        return float(Decimal(parts[0]) / Decimal(parts[1]))

    def prefix(self, parts: list[Any]) -> list[str]:
        first, last = str(parts[0]), str(parts[-1])
        if len(first) != len(last):
            raise ValueError(f"the range {first}-{last} has ends of different lengths")
        return [str(number).zfill(len(first)) for number in _range(first, last)]

    def prefixes(self, parts: list[list[str]]) -> tuple[str, ...]:
        return _without_duplicates([prefix for part in parts for prefix in part])

    def number(self, parts: list[Any]) -> list[int]:
        return list(_range(parts[0], parts[-1]))

    def numbers(self, parts: list[list[int]]) -> tuple[int, ...]:
        return _without_duplicates([number for part in parts for number in part])

    def peers(self, parts: list[Any]) -> tuple[str, ...]:
        return _without_duplicates([str(part) for part in parts])


def _nanoseconds_per(name: str) -> int:
    if name not in NANOSECONDS_PER_UNIT:
        raise ValueError(f"unknown unit {str(name)!r}; known units: {', '.join(NANOSECONDS_PER_UNIT)}")
    return NANOSECONDS_PER_UNIT[name]


def _range(first: str, last: str) -> range:
    numbers = range(int(first), int(last) + 1)
    if not numbers:
        raise ValueError(f"the range {first}-{last} ends before it starts")
    if len(numbers) > MAX_RANGE_SIZE:
        raise ValueError(
            f"the range {first}-{last} has {len(numbers)} entries; at most {MAX_RANGE_SIZE} are allowed"
        )
    return numbers


def _without_duplicates(items: list[Any]) -> tuple[Any, ...]:
    for item, times in Counter(items).items():
        if times > 1:
            raise ValueError(f"{item!r} is given twice")
    return tuple(items)


_parser = Lark(GRAMMAR, start=list(SYNTAX_REASONS), parser="lalr", lexer="contextual")


def parse(start: str, text: str) -> Any:
    """Parses a text by the start symbol `start`; raises ValueError, whose text states the accepted format."""
    try:
        return _Values().transform(_parser.parse(text, start=start))
    except UnexpectedInput:
        raise ValueError(f"{text!r} {SYNTAX_REASONS[start]}") from None
    except VisitError as error:
        raise ValueError(str(error.orig_exc)) from None
