"""What of a server's learned state is worth keeping over a restart, and for how long.

Kept: retry tokens, since a server that was throttled a second ago is no better for our restart; the queue
delay and the ejection last known, while they would still hold. Not kept: concurrency windows and attempts in
flight, which belong to answers that nobody will receive. Slow start always begins anew: a slot that the
earlier process may have used is never used again, however old the record (rule 4).
"""

from __future__ import annotations

from typing import Final

from msgspec import Struct

SECOND: Final = 1_000_000_000
# Half of the missing tokens are granted again after this time: an hour-old deficit must not throttle.
TOKEN_DEFICIT_HALF_LIFE: Final = 10 * SECOND
# A queue delay fades to nothing over this time.
QUEUE_DELAY_LIFETIME: Final = 2 * SECOND
# About 18 minutes, after which any deficit is gone; it bounds the exponent where the time is unknown.
_MAX_DECAY_TIME: Final = 1 << 40


class LearnedServerState(Struct, frozen=True, array_like=True):
    """What was learned of one server process, as last written. Stored by position: the order stays.

    `tokens` and `max_tokens` in thousandths of a retry token; `queue_delay` and `ejection_left` in ns.
    """

    server: str
    server_incarnation: int
    tokens: int
    max_tokens: int
    queue_delay: int
    ejection_left: int


def decay(
    state: LearnedServerState, server_incarnation: int, min_elapsed: int, max_elapsed: int
) -> LearnedServerState | None:
    """What is left of it when between `min_elapsed` and `max_elapsed` ns have gone by.

    None: nothing is left, or it is of another process of that server. In doubt the figure that is kinder to
    the server's callers is taken: missing tokens fade by the most time that may have passed, so that an old
    record can't throttle; the queue delay by the least, so that a fresh one still warns.
    """
    if server_incarnation != state.server_incarnation:
        return None
    tokens = _refilled_tokens(state, max_elapsed)
    queue_delay = int(state.queue_delay * max(0.0, 1 - min_elapsed / QUEUE_DELAY_LIFETIME))
    ejection_left = max(0, state.ejection_left - max_elapsed)
    if tokens == state.max_tokens and not queue_delay and not ejection_left:
        return None
    return LearnedServerState(
        state.server, server_incarnation, tokens, state.max_tokens, queue_delay, ejection_left
    )


def _refilled_tokens(state: LearnedServerState, elapsed: int) -> int:
    missing = state.max_tokens - state.tokens
    half_lives = min(elapsed, _MAX_DECAY_TIME) / TOKEN_DEFICIT_HALF_LIFE
    return state.max_tokens - int(missing * 0.5**half_lives)
