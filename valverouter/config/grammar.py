"""The grammar of values: durations, rates, fractions, prefixes, server numbers and names of peers.

300ms  1.5 s  0            span: a duration, a number and its unit; 0 needs none
40/s  2400/min             rate: a number per unit of time
0.1  10%  1/10             share: a fraction
2912, 30-34                prefixes of called numbers; a range has ends of equal length
0, 3-7                     numbers of servers
gw-*, c1                   names of peers; * at the end matches any rest
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

# What is wrong with a text that does not parse, by the grammar's start symbol.
SYNTAX_REASONS = {
    "span": f"is no span: a number and one of {', '.join(NANOSECONDS_PER_UNIT)}, as in 300ms",
    "rate": "is no rate: a number and / and a unit, as in 40/s",
    "share": "is no share: as in 0.1, 10% or 1/10",
    "prefixes": "is no list of prefixes: digits with commas, ranges as in 30-34",
    "numbers": "is no list of server numbers: digits with commas, ranges as in 3-7",
    "peers": "is no list of peers: names with commas, * at the end for any rest",
}


def matches_peer(pattern: str, name: str) -> bool:
    """Whether a peer's name matches a pattern, which may end in * for any rest."""
    return name.startswith(pattern[:-1]) if pattern.endswith("*") else name == pattern
