"""Persists the learned state of servers over a restart of the edge proxy, and decays it with its age.

Stored: the retry tokens, since restarting the proxy doesn't make an overloaded server healthy; the last known
queue delay and ejection, until they expire. Not stored: the concurrency window and the attempts in flight,
since their answers are lost with the connections of the previous process. Slow start always restarts from the
beginning: a slot that the previous process may have used is never used again, however old the record is
(rule 4).
"""

from __future__ import annotations

from typing import Final

from msgspec import Struct

SECOND: Final = 1_000_000_000
# Half of the missing tokens are restored after this time, so that an hour-old deficit doesn't throttle; ns.
TOKEN_DEFICIT_HALF_LIFE: Final = 10 * SECOND
# A stored queue delay decreases linearly to zero over this time, ns.
QUEUE_DELAY_LIFETIME: Final = 2 * SECOND
# About 18 minutes, ns: no deficit is left after it. Bounds the exponent when the elapsed time is unknown.
_MAX_DECAY_TIME: Final = 1 << 40


class LearnedServerState(Struct, frozen=True, array_like=True):
    """The learned state of one server process when last stored.

    Fields are stored by position, so their order must not change. `tokens` and `max_tokens` are in
    thousandths of a retry token; `queue_delay` and the remaining time of an ejection, `ejection_left`, in ns.
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
    """Returns the state after between `min_elapsed` and `max_elapsed` ns have elapsed.

    Returns None if nothing of it is left, or if the server has restarted since (another incarnation). When
    the elapsed time is uncertain, the bound that is better for callers applies: the token deficit and the
    ejection decay by the maximum, so that an old record can't throttle; the queue delay by the minimum, so
    that a recent one still counts.
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
