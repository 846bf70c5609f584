"""Plans the recovery of a dialog from its record and from the server's status of its attempt.

When the elapsed time is uncertain, the plan breaks no rule for any time within the bounds: a dialog that may
be past its deadline is not answered, and a release delay that may not have passed is waited for in full.
"""

from __future__ import annotations

from dataclasses import dataclass, replace
from enum import Enum, auto

from valverouter.interface import AttemptPolicy
from valverouter.recovery.lifecycle import DialogRecord, Phase, Timestamp, elapsed_bounds


class RecoveryAction(Enum):
    """The recovery action for a dialog.

    FORGET: remove the record. RESEND_ANSWER: send the recorded answer, again if it was already sent.
    RESEND_ANSWER_AND_END: the same, then report that the established dialog has ended; cancel the attempt if
    its server may not know that. CONTINUE_ROUTING: continue with the routing policy in the remaining time.
    AWAIT_RELEASE: wait for the release delay, then continue. QUERY_SERVER: query the server for the status of
    the attempt. CANCEL_ATTEMPT: cancel the attempt, then wait for the release delay.
    """

    FORGET = auto()
    RESEND_ANSWER = auto()
    RESEND_ANSWER_AND_END = auto()
    CONTINUE_ROUTING = auto()
    AWAIT_RELEASE = auto()
    QUERY_SERVER = auto()
    CANCEL_ATTEMPT = auto()


class PeerStatus(Enum):
    """A server's status of an attempt.

    UNKNOWN: the present server process has no such attempt. NO_RESPONSE: the query timed out.
    """

    ESTABLISHED = auto()
    IN_PROGRESS = auto()
    CLOSED = auto()
    UNKNOWN = auto()
    NO_RESPONSE = auto()


# Statuses with which the attempt may still be in progress or established at its server.
_MAY_BE_RUNNING = (PeerStatus.ESTABLISHED, PeerStatus.IN_PROGRESS, PeerStatus.NO_RESPONSE)


@dataclass(frozen=True, slots=True)
class RecoveryPlan:
    """A recovery action, the minimum time to the caller's deadline and the delay before a new attempt, ns."""

    action: RecoveryAction
    time_left: int = 0
    delay: int = 0


def plan_on_restart(record: DialogRecord, now: Timestamp, release_delay: int) -> RecoveryPlan:
    """Returns the plan for a record that a restarted process found in its store; `release_delay` is in ns."""
    _, max_elapsed = elapsed_bounds(record.accepted_at, now)
    time_left = record.time_left - max_elapsed
    if record.phase is Phase.ESTABLISHED:
        # Also past the caller's deadline: an established dialog lasts until one side ends it.
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
            # However old the record is, the cancel may never have been sent. So it is sent again, and the
            # release delay starts now. With a shorter delay the model finds a second attempt in flight.
            return RecoveryPlan(RecoveryAction.AWAIT_RELEASE, time_left, release_delay)
        case Phase.WAITING:
            return RecoveryPlan(RecoveryAction.CONTINUE_ROUTING, time_left)


def plan_on_status(
    record: DialogRecord, status: PeerStatus, same_incarnation: bool, time_left: int, release_delay: int
) -> RecoveryPlan:
    """Returns the plan for a dialog after its server's status of the attempt.

    `same_incarnation`: the status comes from the server process that the attempt was sent to. Times in ns.
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
            # The present server process never received it, and the attempts of the previous one ended with
            # that process, as after a connection reset.
            return RecoveryPlan(RecoveryAction.AWAIT_RELEASE, time_left, release_delay)
        case PeerStatus.UNKNOWN | PeerStatus.NO_RESPONSE:
            # The set-up may still be in transit on a broken connection, even if the server process that it
            # was sent to doesn't know it.
            return RecoveryPlan(RecoveryAction.CANCEL_ATTEMPT, time_left, release_delay)


def _plan_established(status: PeerStatus, time_left: int) -> RecoveryPlan:
    # It is not known whether the caller received the answer, and removing the record here left callers
    # without any answer. A repeated answer has no effect on a caller that already has it. If the attempt is
    # no longer established, the end of the dialog is reported after the answer.
    is_established = status is PeerStatus.ESTABLISHED
    action = RecoveryAction.RESEND_ANSWER if is_established else RecoveryAction.RESEND_ANSWER_AND_END
    return RecoveryPlan(action, time_left)


def remaining_attempt_policy(policy: AttemptPolicy, used: int, allowed: int) -> AttemptPolicy | None:
    """Returns the attempt policy for a dialog that continues after `used` attempts of an earlier process.

    Returns None if no attempt is left. `allowed`: the fleet's limit of attempts per dialog. The record
    doesn't say which attempts were retries and which followed a server without a free agent, so each counts
    as both: otherwise a restart could allow more attempts than the fleet's limit.
    """
    attempts_left = policy.max_attempts - used
    total_left = min(policy.max_total_attempts or allowed, allowed) - used
    if attempts_left <= 0 or total_left <= 0:
        return None
    return replace(policy, max_attempts=attempts_left, max_total_attempts=total_left) if used else policy
