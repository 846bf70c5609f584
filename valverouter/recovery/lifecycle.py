"""The state machine of a dialog's record, which must be written before each message that depends on it.

    message                               write that must be on disk before the message is sent
    Provisional to the caller             the dialog's record: from then on the caller is owed an answer
    Setup to a server                     the attempt, its server and that server's incarnation
    the next Setup after a failed one     the same, and not before the release delay has passed
    Cancel to a server                    the cancel, so that a restarted process waits for the release delay
    the final answer to the caller        the answer: after a restart it can only be repeated, not changed

A record is removed once its caller has the answer and no dialog is established, or once its deadline has
passed; that of an established dialog is kept until the dialog ends. A transition that the record's phase
doesn't allow raises InvalidTransitionError: it is a bug in this program, detected before a message is sent.
"""

from __future__ import annotations

from enum import Enum
from typing import Final

import msgspec
from msgspec import Struct

# The stored values of DialogRecord.final_answer.
ANSWER_ESTABLISHED: Final = "stands"
ANSWER_REJECTED: Final = "declined"
ANSWER_FAILED: Final = "aborted"

# The upper bound of an unknown elapsed time, ns.
UNBOUNDED: Final = 1 << 62


class Phase(Enum):
    """The phase of a dialog. The values are stored.

    WAITING: no attempt is in flight. CANCELLED: the attempt was cancelled and its release delay is running.
    CONCLUDED: the dialog was rejected or has failed, and the record has its final answer.
    """

    WAITING = "waiting"
    IN_FLIGHT = "out"
    CANCELLED = "let-go"
    ESTABLISHED = "stands"
    CONCLUDED = "answered"


class Timestamp(Struct, frozen=True, array_like=True):
    """A time on this machine: the wall clock (ns since 1970) and the monotonic clock (ns) of one boot."""

    wall: int
    monotonic: int
    boot_id: str


class DialogRecord(Struct, frozen=True, array_like=True):
    """A dialog as stored. Fields are stored by position, so their order must not change.

    `time_left`: the time from `accepted_at` to the caller's deadline, ns. `epoch`: the epoch of the edge
    proxy process that wrote the record. `attempt`: the number of the last attempt sent, -1 for none; `server`
    and `server_incarnation` identify the server process that it was sent to. `changed_at`: the time of the
    last transition. `retry_after`: sent with a rejection, ns. `was_interrupted`: the caller's set-up replaces
    an established dialog that was lost.
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
    """Returns the record to store before an attempt is sent; no other attempt may be in flight.

    Attempt numbers increase and are never reused.
    """
    _require_phase(record, Phase.WAITING)
    if attempt <= record.attempt:
        raise InvalidTransitionError(
            f"{record.dialog_id}: attempt number {attempt} is not above the last one, {record.attempt}"
        )
    return msgspec.structs.replace(
        record,
        phase=Phase.IN_FLIGHT,
        attempt=attempt,
        server=server,
        server_incarnation=server_incarnation,
        changed_at=now,
    )


def cancel_attempt(record: DialogRecord, now: Timestamp) -> DialogRecord:
    """Returns the record to store before the attempt is cancelled, or cancelled again.

    The release delay starts at `now`.
    """
    _require_phase(record, Phase.IN_FLIGHT, Phase.CANCELLED)
    return msgspec.structs.replace(record, phase=Phase.CANCELLED, changed_at=now)


def end_attempt(record: DialogRecord, now: Timestamp) -> DialogRecord:
    """Returns the record after the server closed the attempt or the release delay passed.

    The next attempt may then start.
    """
    _require_phase(record, Phase.IN_FLIGHT, Phase.CANCELLED)
    return msgspec.structs.replace(record, phase=Phase.WAITING, changed_at=now)


def establish(record: DialogRecord, now: Timestamp) -> DialogRecord:
    """Returns the record of an established attempt, which is also the final answer to the caller."""
    _require_phase(record, Phase.IN_FLIGHT)
    return msgspec.structs.replace(
        record, phase=Phase.ESTABLISHED, final_answer=ANSWER_ESTABLISHED, changed_at=now
    )


def conclude(record: DialogRecord, final_answer: str, retry_after: int, now: Timestamp) -> DialogRecord:
    """Returns the record of a rejected or failed dialog. An attempt in flight must be cancelled first."""
    _require_phase(record, Phase.WAITING, Phase.CANCELLED)
    if final_answer not in (ANSWER_REJECTED, ANSWER_FAILED):
        raise InvalidTransitionError(
            f"{record.dialog_id}: a dialog can't be concluded with the answer {final_answer!r}"
        )
    return msgspec.structs.replace(
        record, phase=Phase.CONCLUDED, final_answer=final_answer, retry_after=retry_after, changed_at=now
    )


def take_over(
    record: DialogRecord, epoch: int, now: Timestamp | None = None, time_left: int = 0
) -> DialogRecord:
    """Returns the record as taken over by a later process with the given epoch.

    The higher epoch fences off the previous process if it is still running. If `now` is given, the caller's
    deadline becomes `time_left` ns after `now`.
    """
    if epoch <= record.epoch:
        raise InvalidTransitionError(
            f"{record.dialog_id}: epoch {epoch} is not above the record's epoch {record.epoch}"
        )
    if now is None:
        return msgspec.structs.replace(record, epoch=epoch)
    return msgspec.structs.replace(record, epoch=epoch, accepted_at=now, time_left=time_left)


def _require_phase(record: DialogRecord, *allowed: Phase) -> None:
    if record.phase not in allowed:
        raise InvalidTransitionError(f"{record.dialog_id}: not allowed in phase {record.phase.value}")


def elapsed_bounds(earlier: Timestamp, now: Timestamp) -> tuple[int, int]:
    """Returns the minimum and the maximum time that may have elapsed between two timestamps, ns.

    Within one boot the monotonic clock is exact. Across a reboot only the wall clock can be compared, and it
    may have been set in between. If it was set forward, less time has elapsed than it shows, so the minimum
    is zero. If it shows that time ran backwards, it was set back and the maximum is UNBOUNDED.
    """
    if earlier.boot_id == now.boot_id and now.monotonic >= earlier.monotonic:
        elapsed = now.monotonic - earlier.monotonic
        return elapsed, elapsed
    wall_elapsed = now.wall - earlier.wall
    return 0, wall_elapsed if wall_elapsed >= 0 else UNBOUNDED
