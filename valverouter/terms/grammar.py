"""The grammar of what stands right of a key: spans, rates, shares, prefixes and the names of peers.

300ms  1.5 s  0            span: a number and its unit, nought without one
40/s  2400/min             rate: so many in a span's unit
0.1  10%  1/10             share
2912, 30-34                prefixes of called numbers, ranges of one length
0, 3-7                     numbers of servers
gw-*, c1                   names of peers; * at the end stands for any rest
"""

from __future__ import annotations

UNITS = {"ns": 1, "us": 1_000, "ms": 10**6, "s": 10**9, "min": 60 * 10**9, "h": 3_600 * 10**9}
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


def matches_peer(pattern: str, name: str) -> bool:
    return name.startswith(pattern[:-1]) if pattern.endswith("*") else name == pattern
