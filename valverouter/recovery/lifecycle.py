"""The state machine of a dialog's record: which write must be on disk before which message leaves.

    message                               on disk before it leaves
    Provisional to the caller             the dialog's record: from then on its caller has to get an answer
    Setup to a server                     the attempt, its server and that server's incarnation
    the next Setup after a failed one     the same, and no sooner than the release delay
    Cancel to a server                    the cancel, so that its release delay is waited for
    the final answer to the caller        the answer itself: after a restart it can only be repeated

A record leaves the store once its caller has the answer and no dialog is established, or once its time is
over. A transition that the table does not allow raises InvalidTransitionError: a fault of this program, found
before anything is sent.
"""

from __future__ import annotations

from enum import Enum
from typing import Final

import msgspec
from msgspec import Struct

# The values of DialogRecord.final_answer, as they are stored.
ANSWER_ESTABLISHED: Final = "stands"
ANSWER_REJECTED: Final = "declined"
ANSWER_FAILED: Final = "aborted"

# The upper bound of an elapsed time that is not known, ns.
UNBOUNDED: Final = 1 << 62


class Phase(Enum):
    """Where a dialog is. The values are stored.

    WAITING: no attempt is in flight. CANCELLED: the attempt was cancelled and its release delay runs.
    CONCLUDED: it was rejected or has failed, and the final answer is on record.
    """

    WAITING = "waiting"
    IN_FLIGHT = "out"
    CANCELLED = "let-go"
    ESTABLISHED = "stands"
    CONCLUDED = "answered"


class Timestamp(Struct, frozen=True, array_like=True):
    """A time on this machine: wall clock (ns since 1970), and the monotonic clock (ns) of one boot."""

    wall: int
    monotonic: int
    boot_id: str


class DialogRecord(Struct, frozen=True, array_like=True):
    """A dialog as the store holds it. Stored by position: the order of the fields stays.

    `time_left`: what was left of the caller's time at `accepted_at`, ns. `epoch`: that of the instance that
    wrote the record. `attempt`: the number of the last attempt sent, -1 for none; `server` and
    `server_incarnation` say which process of which server has it. `retry_after`: of a rejection, ns.
    """

    dialog_id: str
    caller: str
    traffic_type: str
    preferred_server_number: int
    called_number: int
    accepted_at: Timestamp
    time_left: int
    epoch: int
    phase: Phase = Phase.WAITING
    attempt: int = -1
    server: str = ""
    server_incarnation: int = 0
    changed_at: Timestamp | None = None
    final_answer: str = ""
    retry_after: int = 0
    was_interrupted: bool = False


class InvalidTransitionError(RuntimeError):
    """A transition that the record's phase does not allow."""


def start_attempt(
    record: DialogRecord, attempt: int, server: str, server_incarnation: int, now: Timestamp
) -> DialogRecord:
    """An attempt is about to leave. Each has a number of its own, and only one is in flight at a time."""
    _require_phase(record, Phase.WAITING)
    if attempt <= record.attempt:
        raise InvalidTransitionError(f"{record.dialog_id}: leg {attempt} after leg {record.attempt}")
    return msgspec.structs.replace(
        record,
        phase=Phase.IN_FLIGHT,
        attempt=attempt,
        server=server,
        server_incarnation=server_incarnation,
        changed_at=now,
    )


def cancel_attempt(record: DialogRecord, now: Timestamp) -> DialogRecord:
    """The attempt is about to be cancelled, possibly again: its release delay starts now."""
    _require_phase(record, Phase.IN_FLIGHT, Phase.CANCELLED)
    return msgspec.structs.replace(record, phase=Phase.CANCELLED, changed_at=now)


def end_attempt(record: DialogRecord, now: Timestamp) -> DialogRecord:
    """The server closed the attempt, or its release delay has passed: another may start."""
    _require_phase(record, Phase.IN_FLIGHT, Phase.CANCELLED)
    return msgspec.structs.replace(record, phase=Phase.WAITING, changed_at=now)


def establish(record: DialogRecord, now: Timestamp) -> DialogRecord:
    """The attempt is established, which is also the final answer."""
    _require_phase(record, Phase.IN_FLIGHT)
    return msgspec.structs.replace(
        record, phase=Phase.ESTABLISHED, final_answer=ANSWER_ESTABLISHED, changed_at=now
    )


def conclude(record: DialogRecord, final_answer: str, retry_after: int, now: Timestamp) -> DialogRecord:
    """The dialog is rejected or has failed. An attempt in flight must have been cancelled before."""
    _require_phase(record, Phase.WAITING, Phase.CANCELLED)
    if final_answer not in (ANSWER_REJECTED, ANSWER_FAILED):
        raise InvalidTransitionError(f"{record.dialog_id}: {final_answer!r} is no answer")
    return msgspec.structs.replace(
        record, phase=Phase.CONCLUDED, final_answer=final_answer, retry_after=retry_after, changed_at=now
    )


def take_over(
    record: DialogRecord, epoch: int, now: Timestamp | None = None, time_left: int = 0
) -> DialogRecord:
    """A later instance takes the dialog over; its epoch fences off an earlier one that still runs.

    With `now`, the caller's time is `time_left` ns from there on.
    """
    if epoch <= record.epoch:
        raise InvalidTransitionError(f"{record.dialog_id}: epoch {epoch} after {record.epoch}")
    if now is None:
        return msgspec.structs.replace(record, epoch=epoch)
    return msgspec.structs.replace(record, epoch=epoch, accepted_at=now, time_left=time_left)


def _require_phase(record: DialogRecord, *allowed: Phase) -> None:
    if record.phase not in allowed:
        raise InvalidTransitionError(f"{record.dialog_id}: not from {record.phase.value}")


def elapsed_bounds(earlier: Timestamp, now: Timestamp) -> tuple[int, int]:
    """The least and the most time that may have gone by between two timestamps, ns.

    Within one boot the monotonic clock is exact. Across a boot only wall time is left, and it may have been
    set: forward, so the least is nothing; back, so where it runs backwards the most is unknown (UNBOUNDED).
    """
    if earlier.boot_id == now.boot_id and now.monotonic >= earlier.monotonic:
        elapsed = now.monotonic - earlier.monotonic
        return elapsed, elapsed
    wall_elapsed = now.wall - earlier.wall
    return 0, wall_elapsed if wall_elapsed >= 0 else UNBOUNDED
