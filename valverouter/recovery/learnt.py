"""What of a former self's learning is worth keeping over a restart, and for how long.

Kept: retry tokens, since a server that was throttled a second ago is no better for our restart; the wait and
the shunning last told, while they would still hold; the most lines carried. Not kept: windows and legs out,
which belong to answers that nobody will hear. Cold turns are always begun anew at the present moment: a turn
that the former self may have used is never used again, however old the record (rule 4).
"""

from __future__ import annotations

from msgspec import Struct

SECOND = 1_000_000_000
# A token that was missing is worth half as much after so long: one from an hour ago must not throttle.
TOKENS_HALVE = 10 * SECOND
# Past this nothing of a server's wait is worth telling.
WAIT_LASTS = 2 * SECOND


class Learnt(Struct, frozen=True, array_like=True):
    """Of one server's process, as last written. `tokens` and `full` in thousandths; spans in ns."""

    server: str
    server_start: int
    tokens: int
    full: int
    wait: int
    shunned_for: int


def after(learnt: Learnt, server_start: int, least: int, most: int) -> Learnt | None:
    """What is left of it when at least and at most so many ns have gone by; None: another process, or
    nothing.

    In doubt the kinder figure for the server's callers stands: missing tokens fade by the most that may have
    passed, so that what is old can't throttle, and the wait by the least, so that what is fresh still warns.
    """
    if server_start != learnt.server_start:
        return None
    missing = learnt.full - learnt.tokens
    tokens = learnt.full - int(missing * 0.5 ** (min(most, 1 << 40) / TOKENS_HALVE))
    wait = int(learnt.wait * max(0.0, 1 - least / WAIT_LASTS))
    shunned = max(0, learnt.shunned_for - most)
    if tokens == learnt.full and not wait and not shunned:
        return None
    return Learnt(learnt.server, server_start, tokens, learnt.full, wait, shunned)
