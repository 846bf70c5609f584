"""The grammar of values: durations, rates, fractions, prefixes, server numbers and peer names.

300ms  1.5 s  0            span: a duration, which is a number with a unit; 0 needs no unit
40/s  2400/min             rate: a number per unit of time
0.1  10%  1/10             share: a fraction
2912, 30-34                prefixes: prefixes of called numbers; both ends of a range have the same length
0, 3-7                     numbers: server numbers
gw-*, c1                   peers: peer names; a trailing * matches any suffix
"""

from __future__ import annotations

NANOSECONDS_PER_UNIT = {"ns": 1, "us": 1_000, "ms": 10**6, "s": 10**9, "min": 60 * 10**9, "h": 3_600 * 10**9}
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

# The error message for a text that does not parse, by the grammar's start symbol.
SYNTAX_REASONS = {
    "span": f"is not a duration: a number and one of {', '.join(NANOSECONDS_PER_UNIT)}, as in 300ms",
    "rate": "is not a rate: a number, / and a unit, as in 40/s",
    "share": "is not a fraction, as in 0.1, 10% or 1/10",
    "prefixes": "is not a list of prefixes: digits separated by commas, ranges as in 30-34",
    "numbers": "is not a list of server numbers: digits separated by commas, ranges as in 3-7",
    "peers": "is not a list of peers: names separated by commas, a trailing * for any suffix",
}


def matches_peer(pattern: str, name: str) -> bool:
    """Returns whether a peer's name matches a pattern, which may end in * for any suffix."""
    return name.startswith(pattern[:-1]) if pattern.endswith("*") else name == pattern
