"""The grammar of what stands right of a key: spans, rates, shares, prefixes and the names of peers.

300ms  1.5 s  0            span: a number and its unit, nought without one
40/s  2400/min             rate: so many in a span's unit
0.1  10%  1/10             share
2912, 30-34                prefixes of called numbers, ranges of one length
0, 3-7                     numbers of servers
gw-*, c1                   names of peers; * at the end stands for any rest
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable
from decimal import Decimal
from typing import Any

from lark import Lark, Transformer
from lark.exceptions import UnexpectedInput, VisitError

UNITS = {"ns": 1, "us": 1_000, "ms": 10**6, "s": 10**9, "min": 60 * 10**9, "h": 3_600 * 10**9}
# A range of prefixes stands for each of them; more are a slip of the pen, or better said by shorter ones.
RANGE_MOST = 1_000

GRAMMAR = r"""
span: NUMBER UNIT?
rate: NUMBER ("/" UNIT)?
share: NUMBER PERCENT? | NUMBER "/" NUMBER
prefixes: prefix ("," prefix)*
prefix: DIGITS ("-" DIGITS)?
numbers: number ("," number)*
number: DIGITS ("-" DIGITS)?
peers: PEER ("," PEER)*

PERCENT: "%"
NUMBER: /\d+(\.\d+)?/
DIGITS: /\d+/
UNIT: /[a-zA-Z]+/
PEER: /[A-Za-z0-9_.:-]+\*?|\*/
%ignore /[ \t]+/
"""

SHOWN = {
    "span": f"is no span: a number and one of {', '.join(UNITS)}, as in 300ms",
    "rate": "is no rate: a number and / and a unit, as in 40/s",
    "share": "is no share: as in 0.1, 10% or 1/10",
    "prefixes": "is no list of prefixes: digits with commas, ranges as in 30-34",
    "numbers": "is no list of server numbers: digits with commas, ranges as in 3-7",
    "peers": "is no list of peers: names with commas, * at the end for any rest",
}


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


def reader(start: str) -> Callable[[str], Any]:
    """Reads texts of one kind; ValueError says what would be accepted."""

    def read(text: str) -> Any:
        try:
            return _Meaning().transform(_parser.parse(text, start=start))
        except UnexpectedInput:
            raise ValueError(f"{text!r} {SHOWN[start]}") from None
        except VisitError as error:
            raise ValueError(str(error.orig_exc)) from None

    return read


def matches_peer(pattern: str, name: str) -> bool:
    return name.startswith(pattern[:-1]) if pattern.endswith("*") else name == pattern
