"""What the grammar's texts mean, by lark."""

from __future__ import annotations

from collections import Counter
from decimal import Decimal
from typing import Any

from lark import Lark, Transformer
from lark.exceptions import UnexpectedInput, VisitError

from valverouter.terms.grammar import GRAMMAR, SHOWN, UNITS

# A range of prefixes stands for each of them; more are a slip of the pen, or better said by shorter ones.
RANGE_MOST = 1_000


class _Meaning(Transformer[Any, Any]):
    def span(self, parts: list[Any]) -> int:
        number = Decimal(parts[0])
        if len(parts) == 1:
            if number:
                raise ValueError(f"{str(parts[0])!r} {SHOWN['span']}")
            return 0
        exact = number * _unit(parts[1])
        if exact != int(exact):
            raise ValueError(f"{''.join(parts)!r} is not a whole number of nanoseconds")
        return int(exact)

    def rate(self, parts: list[Any]) -> float:
        return float(Decimal(parts[0]) * UNITS["s"] / (_unit(parts[1]) if len(parts) > 1 else UNITS["s"]))

    def share(self, parts: list[Any]) -> float:
        if len(parts) == 1:
            return float(parts[0])
        if parts[1] == "%":
            return float(Decimal(parts[0]) / 100)
        if not Decimal(parts[1]):
            raise ValueError(f"{'/'.join(parts)!r} divides by nought")
        return float(Decimal(parts[0]) / Decimal(parts[1]))

    def prefix(self, parts: list[Any]) -> list[str]:
        first, last = str(parts[0]), str(parts[-1])
        if len(first) != len(last):
            raise ValueError(f"the range {first}-{last} has ends of unlike lengths")
        return [str(at).zfill(len(first)) for at in _range(first, last)]

    def prefixes(self, parts: list[list[str]]) -> tuple[str, ...]:
        return _once([prefix for part in parts for prefix in part])

    def number(self, parts: list[Any]) -> list[int]:
        return list(_range(parts[0], parts[-1]))

    def numbers(self, parts: list[list[int]]) -> tuple[int, ...]:
        return _once([number for part in parts for number in part])

    def peers(self, parts: list[Any]) -> tuple[str, ...]:
        return _once([str(part) for part in parts])


def _unit(name: str) -> int:
    if name not in UNITS:
        raise ValueError(f"unknown unit {str(name)!r}: {', '.join(UNITS)} are known")
    return UNITS[name]


def _range(first: str, last: str) -> range:
    found = range(int(first), int(last) + 1)
    if not found:
        raise ValueError(f"the range {first}-{last} runs backwards")
    if len(found) > RANGE_MOST:
        raise ValueError(f"the range {first}-{last} has {len(found)} entries, at most {RANGE_MOST} are taken")
    return found


def _once(items: list[Any]) -> tuple[Any, ...]:
    for item, times in Counter(items).items():
        if times > 1:
            raise ValueError(f"{item!r} is given twice")
    return tuple(items)


_parser = Lark(GRAMMAR, start=list(SHOWN), parser="lalr", lexer="contextual")


def meaning(start: str, text: str) -> Any:
    try:
        return _Meaning().transform(_parser.parse(text, start=start))
    except UnexpectedInput:
        raise ValueError(f"{text!r} {SHOWN[start]}") from None
    except VisitError as error:
        raise ValueError(str(error.orig_exc)) from None
