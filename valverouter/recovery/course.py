"""A dialog's record and how it moves: what is written before which message leaves, in one place.

    what leaves                          what is on disk before it
    Provisional to the caller            the dialog: from here on an answer is owed
    Setup to a server                    that this leg is out, at which server and start of it
    the next Setup after a failed leg    the same, and no sooner than the release time
    Cancel to a server                   that the leg is let go, so that its release time is waited for
    the final answer to the caller       the answer itself: a second one can only be the same

A record leaves the store when its caller has the answer and nothing stands, or when its time has passed.
Moves that the table does not allow raise OutOfOrderError: an error of ours, met before anything leaves.
"""

from __future__ import annotations

from enum import Enum

import msgspec
from msgspec import Struct


class Phase(Enum):
    """Where a dialog is. WAITING: no leg is out. LET_GO: told to go, its release time runs."""

    WAITING = "waiting"
    OUT = "out"
    LET_GO = "let-go"
    STANDS = "stands"
    ANSWERED = "answered"


class Moment(Struct, frozen=True, array_like=True):
    """A moment as this machine tells it: wall time, and the monotonic clock of one boot; ns."""

    wall: int
    monotonic: int
    boot: str


class Record(Struct, frozen=True, array_like=True):
    """A dialog as the store holds it. `no_answer`: what was left of its time at `taken`, ns.

    `leg` numbers the last one sent, -1: none. `server_start` tells that server's process from a later one.
    `epoch` is that of the instance that wrote it.
    """

    dialog: str
    caller: str
    traffic_type: str
    first_choice: int
    called_number: int
    taken: Moment
    no_answer: int
    epoch: int
    phase: Phase = Phase.WAITING
    leg: int = -1
    server: str = ""
    server_start: int = 0
    moved: Moment | None = None
    answer: str = ""
    span: int = 0
    was_cut: bool = False


class OutOfOrderError(RuntimeError):
    """A move that the record's phase does not allow."""


def leg_out(record: Record, leg: int, server: str, server_start: int, now: Moment) -> Record:
    """A leg leaves. Never while one is out or let go, and each under a new number."""
    _from(record, Phase.WAITING)
    if leg <= record.leg:
        raise OutOfOrderError(f"{record.dialog}: leg {leg} after leg {record.leg}")
    return msgspec.structs.replace(
        record, phase=Phase.OUT, leg=leg, server=server, server_start=server_start, moved=now
    )


def let_go(record: Record, now: Moment) -> Record:
    """The leg is told to go: its release time runs from here."""
    _from(record, Phase.OUT, Phase.LET_GO)
    return msgspec.structs.replace(record, phase=Phase.LET_GO, moved=now)


def failed(record: Record, now: Moment) -> Record:
    """The server closed the leg, or its release time has passed: the dialog waits for what comes next."""
    _from(record, Phase.OUT, Phase.LET_GO)
    return msgspec.structs.replace(record, phase=Phase.WAITING, moved=now)


def stands(record: Record, now: Moment) -> Record:
    """The leg stands, and with it the answer."""
    _from(record, Phase.OUT)
    return msgspec.structs.replace(record, phase=Phase.STANDS, answer="stands", moved=now)


def answered(record: Record, answer: str, span: int, now: Moment) -> Record:
    """Turned away or given up. A leg that is out must have been let go first."""
    _from(record, Phase.WAITING, Phase.LET_GO)
    if answer not in ("declined", "aborted"):
        raise OutOfOrderError(f"{record.dialog}: {answer!r} is no answer")
    return msgspec.structs.replace(record, phase=Phase.ANSWERED, answer=answer, span=span, moved=now)


def taken_over(record: Record, epoch: int, now: Moment | None = None, left: int = 0) -> Record:
    """A later instance goes on with it; a former self that still runs is fenced off by the epoch. With `now`:
    the time that is left is reckoned from there on."""
    if epoch <= record.epoch:
        raise OutOfOrderError(f"{record.dialog}: epoch {epoch} after {record.epoch}")
    if now is None:
        return msgspec.structs.replace(record, epoch=epoch)
    return msgspec.structs.replace(record, epoch=epoch, taken=now, no_answer=left)


def _from(record: Record, *phases: Phase) -> None:
    if record.phase not in phases:
        raise OutOfOrderError(f"{record.dialog}: not from {record.phase.value}")


def passed(then: Moment, now: Moment) -> tuple[int, int]:
    """At least and at most so many ns went by between two moments.

    Within one boot the monotonic clock is exact. Over a boot only wall time is left, and it may have been
    set: set back, at least nothing and at most no one knows; else it may have been set forward, so at least
    nothing.
    """
    if then.boot == now.boot and now.monotonic >= then.monotonic:
        span = now.monotonic - then.monotonic
        return span, span
    ahead = now.wall - then.wall
    return 0, ahead if ahead >= 0 else 1 << 62
