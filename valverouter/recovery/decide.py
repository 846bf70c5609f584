"""What a restarted instance does with each record, and with what servers say of its legs.

Where times are in doubt the decision is the one that breaks no rule whichever is true: a dialog that may be
past its time is not answered, and a release time that may not have passed is waited for whole.
"""

from __future__ import annotations

from dataclasses import dataclass, replace
from enum import Enum, auto

from valverouter.interface import AttemptPolicy
from valverouter.recovery.course import Moment, Phase, Record, passed


class Need(Enum):
    """What a record needs. FORGET: nothing is owed any more. ANSWER: the answer on record goes out, again if
    need be. END: the same, then word that what stood has ended, its server being told to go where it may
    not know. GO_ON: handed to the decisions with what is left of its time. WAIT: the release time first.
    ASK: its server is asked for the leg. LET_GO: its leg is cancelled, and then the release time runs."""

    FORGET = auto()
    ANSWER = auto()
    END = auto()
    GO_ON = auto()
    WAIT = auto()
    ASK = auto()
    LET_GO = auto()


class Word(Enum):
    """What a server says of a leg that it is asked for. UNKNOWN: this process of it knows no such leg.
    SILENT: no word within the span that was given."""

    STANDS = auto()
    UNDER_WAY = auto()
    CLOSED = auto()
    UNKNOWN = auto()
    SILENT = auto()


@dataclass(frozen=True, slots=True)
class Decision:
    """The need, with what is left of the caller's time at the least, and the wait before anything new; ns."""

    need: Need
    left: int = 0
    wait: int = 0


def at_start(record: Record, now: Moment, release_wait: int) -> Decision:
    """What a record needs when a new instance finds it."""
    _, most = passed(record.taken, now)
    left = record.no_answer - most
    match record.phase:
        case Phase.STANDS:
            # Past its caller's time too: what stands goes on until one side ends it.
            return Decision(Need.ASK, max(0, left))
        case Phase.ANSWERED:
            return Decision(Need.ANSWER, left) if left > 0 else Decision(Need.FORGET)
        case Phase.OUT:
            return Decision(Need.ASK, left) if left > 0 else Decision(Need.LET_GO)
        case Phase.LET_GO:
            return _after_release(release_wait, left)
        case Phase.WAITING:
            return Decision(Need.GO_ON, left) if left > 0 else Decision(Need.FORGET)


def _after_release(release_wait: int, left: int) -> Decision:
    if left <= 0:
        return Decision(Need.FORGET)
    # However long ago it was written: the cancel may never have left, so it goes again, and the release time
    # runs from now. The model finds the second leg that a shorter wait lets out.
    return Decision(Need.WAIT, left, release_wait)


def on_word(record: Record, word: Word, same_start: bool, left: int, release_wait: int) -> Decision:
    """What follows from a server's word on a leg; `same_start`: of the process that it was sent to."""
    if record.phase is Phase.STANDS:
        # Whether its caller heard so is not known: forgetting it here left callers without any answer. The
        # answer goes again, which changes nothing for one who has it, and then the end.
        return Decision(Need.ANSWER if word is Word.STANDS else Need.END, left)
    if left <= 0:
        return Decision(Need.LET_GO if word in (Word.STANDS, Word.UNDER_WAY, Word.SILENT) else Need.FORGET)
    match word:
        case Word.STANDS:
            return Decision(Need.ANSWER, left)
        case Word.UNDER_WAY:
            return Decision(Need.ASK, left)
        case Word.CLOSED:
            return Decision(Need.GO_ON, left)
        case Word.UNKNOWN:
            # The same process does not know it: it may be on its way yet, on a line that broke. Another
            # process never had it; what the former one held ended with it, as after a reset.
            return Decision(Need.LET_GO if same_start else Need.WAIT, left, release_wait)
        case Word.SILENT:
            return Decision(Need.LET_GO, left, release_wait)


def attempts_left(terms: AttemptPolicy, used: int, allowed: int) -> AttemptPolicy | None:
    """The terms of a dialog that goes on after `used` legs of a former self; None: none is left to it.

    Which of those were attempts and which went on from a server without a free agent is not on record: each
    counts as both, so that no restart lets out more legs than the fleet allows a dialog.
    """
    legs = terms.max_attempts - used
    in_all = min(terms.max_total_attempts or allowed, allowed) - used
    if legs <= 0 or in_all <= 0:
        return None
    return replace(terms, max_attempts=legs, max_total_attempts=in_all) if used else terms
