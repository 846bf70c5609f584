"""What a restarted instance does with each record, and with a server's status of an attempt.

Where times are in doubt the plan is the one that breaks no rule whichever is true: a dialog that may be past
its time is not answered, and a release delay that may not have passed is waited for whole.
"""

from __future__ import annotations

from dataclasses import dataclass, replace
from enum import Enum, auto

from valverouter.interface import AttemptPolicy
from valverouter.recovery.lifecycle import DialogRecord, Phase, Timestamp, elapsed_bounds


class RecoveryAction(Enum):
    """What a record needs.

    FORGET: nothing more. RESEND_ANSWER: the answer on record goes out, again if need be.
    RESEND_ANSWER_AND_END: the same, then the word that the established dialog has ended; its server is sent a
    cancel where it may not know. CONTINUE_ROUTING: the routing policy goes on with the time that is left.
    AWAIT_RELEASE: the release delay first. QUERY_SERVER: its server is asked for the attempt.
    CANCEL_ATTEMPT: the attempt is cancelled, then the release delay runs.
    """

    FORGET = auto()
    RESEND_ANSWER = auto()
    RESEND_ANSWER_AND_END = auto()
    CONTINUE_ROUTING = auto()
    AWAIT_RELEASE = auto()
    QUERY_SERVER = auto()
    CANCEL_ATTEMPT = auto()


class PeerStatus(Enum):
    """What a server says of an attempt that it is asked for.

    UNKNOWN: this process of it knows no such attempt. NO_RESPONSE: it said nothing within the time given.
    """

    ESTABLISHED = auto()
    IN_PROGRESS = auto()
    CLOSED = auto()
    UNKNOWN = auto()
    NO_RESPONSE = auto()


# The attempt may still run at its server.
_MAY_BE_RUNNING = (PeerStatus.ESTABLISHED, PeerStatus.IN_PROGRESS, PeerStatus.NO_RESPONSE)


@dataclass(frozen=True, slots=True)
class RecoveryPlan:
    """The action, the least that is left of the caller's time, and the delay before any new attempt; ns."""

    action: RecoveryAction
    time_left: int = 0
    delay: int = 0


def plan_on_restart(record: DialogRecord, now: Timestamp, release_delay: int) -> RecoveryPlan:
    """What a record needs when a new instance finds it; `release_delay` in ns."""
    _, max_elapsed = elapsed_bounds(record.accepted_at, now)
    time_left = record.time_left - max_elapsed
    if record.phase is Phase.ESTABLISHED:
        # Past its caller's time too: an established dialog goes on until one side ends it.
        return RecoveryPlan(RecoveryAction.QUERY_SERVER, max(0, time_left))
    if time_left <= 0:
        is_in_flight = record.phase is Phase.IN_FLIGHT
        return RecoveryPlan(RecoveryAction.CANCEL_ATTEMPT if is_in_flight else RecoveryAction.FORGET)
    match record.phase:
        case Phase.CONCLUDED:
            return RecoveryPlan(RecoveryAction.RESEND_ANSWER, time_left)
        case Phase.IN_FLIGHT:
            return RecoveryPlan(RecoveryAction.QUERY_SERVER, time_left)
        case Phase.CANCELLED:
            # However long ago it was written: the cancel may never have left, so it goes again, and the
            # release delay runs from now. The model finds the second attempt that a shorter wait lets out.
            return RecoveryPlan(RecoveryAction.AWAIT_RELEASE, time_left, release_delay)
        case Phase.WAITING:
            return RecoveryPlan(RecoveryAction.CONTINUE_ROUTING, time_left)


def plan_on_status(
    record: DialogRecord, status: PeerStatus, same_incarnation: bool, time_left: int, release_delay: int
) -> RecoveryPlan:
    """What follows from a server's status of an attempt.

    `same_incarnation`: the status is of the server process that the attempt was sent to. Times in ns.
    """
    if record.phase is Phase.ESTABLISHED:
        return _plan_established(status, time_left)
    if time_left <= 0:
        may_be_running = status in _MAY_BE_RUNNING
        return RecoveryPlan(RecoveryAction.CANCEL_ATTEMPT if may_be_running else RecoveryAction.FORGET)
    match status:
        case PeerStatus.ESTABLISHED:
            return RecoveryPlan(RecoveryAction.RESEND_ANSWER, time_left)
        case PeerStatus.IN_PROGRESS:
            return RecoveryPlan(RecoveryAction.QUERY_SERVER, time_left)
        case PeerStatus.CLOSED:
            return RecoveryPlan(RecoveryAction.CONTINUE_ROUTING, time_left)
        case PeerStatus.UNKNOWN if not same_incarnation:
            # This process never had it; what the former one held ended with it, as after a reset.
            return RecoveryPlan(RecoveryAction.AWAIT_RELEASE, time_left, release_delay)
        case PeerStatus.UNKNOWN | PeerStatus.NO_RESPONSE:
            # An attempt that the same process does not know may still be on its way, on a broken connection.
            return RecoveryPlan(RecoveryAction.CANCEL_ATTEMPT, time_left, release_delay)


def _plan_established(status: PeerStatus, time_left: int) -> RecoveryPlan:
    # Whether the caller was told so is not known, and forgetting the dialog here left callers without any
    # answer. Repeating it changes nothing for a caller that has it; the end follows where it is over.
    is_established = status is PeerStatus.ESTABLISHED
    action = RecoveryAction.RESEND_ANSWER if is_established else RecoveryAction.RESEND_ANSWER_AND_END
    return RecoveryPlan(action, time_left)


def remaining_attempt_policy(policy: AttemptPolicy, used: int, allowed: int) -> AttemptPolicy | None:
    """The policy of a dialog that continues after `used` attempts of an earlier process; None: none is left.

    `allowed`: the fleet's limit of attempts a dialog. Which of the used ones were retries and which went on
    from a server without a free agent is not on record: each counts as both, so that no restart lets out more
    attempts than the fleet allows.
    """
    attempts_left = policy.max_attempts - used
    total_left = min(policy.max_total_attempts or allowed, allowed) - used
    if attempts_left <= 0 or total_left <= 0:
        return None
    return replace(policy, max_attempts=attempts_left, max_total_attempts=total_left) if used else policy
