"""What this instance owes, on record: moves each dialog's record as the edge proxy moves the dialog, and sees
that a turn's records are committed before a turn's words leave.

Which transitions there are is `valverouter.recovery.lifecycle`'s, what a restart makes of them `plan`'s. A
store that fails costs the records, never the calls: all of it is cleared, since a record that was not moved
on could let a second leg out after a kill; what is taken from then on is recorded again once the store takes
it.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Iterable
from typing import Any, Protocol

import structlog

from valverouter.interface import Outcome
from valverouter.recovery import lifecycle
from valverouter.recovery.lifecycle import DialogRecord, Phase, Timestamp
from valverouter.recovery.plan import RecoveryAction, RecoveryPlan, plan_on_restart
from valverouter.signalling import setup

log = structlog.get_logger()

SECOND = 1_000_000_000
# A store that failed is tried again after so long.
STORE_RETRY_INTERVAL = 10 * SECOND
# Answers whose time has passed leave the store together, no oftener than this.
SWEEP_INTERVAL = SECOND
# The server closed these itself, or they never ran; of all others the release time runs.
CLOSED_OUTCOMES = frozenset(
    (Outcome.FULL, Outcome.NO_AGENT, Outcome.UNREACHABLE, Outcome.FAULT, Outcome.LINE_BUSY, Outcome.NOT_SENT)
)


class RecordStore(Protocol):
    """The store that records go to."""

    def begin_epoch(self, minimum: int = 0) -> int: ...

    def records(self) -> Iterable[Any]:
        """Records, and whatever stands for those that can't be read."""

    def put(self, record: DialogRecord) -> None: ...

    def delete(self, dialog: str) -> None: ...

    def commit(self) -> int: ...

    def clear(self) -> None:
        """Takes out all that it holds, pending changes too."""


class RecoveryLog:
    """The records of what is open, stands, or was answered within its time; each leaves with that."""

    def __init__(self, store: RecordStore, moment: Callable[[], Timestamp]) -> None:
        self._store = store
        self._clock = moment
        # One moment for all that a turn does.
        self._turn_moment: Timestamp | None = None
        self._records: dict[str, DialogRecord] = {}
        # Answered dialogs by when their caller's time is over, kept until then in case it asks again.
        self._answered: deque[tuple[int, str]] = deque()
        self._swept_at = 0
        self._suspended_until = 0
        # Wall seconds, so that an epoch after a store that was lost is later than those before it.
        self.epoch = store.begin_epoch(moment().wall // SECOND)

    def _moment(self) -> Timestamp:
        if self._turn_moment is None:
            self._turn_moment = self._clock()
        return self._turn_moment

    def __len__(self) -> int:
        return len(self._records)

    def record(self, dialog: str) -> DialogRecord | None:
        return self._records.get(dialog)

    # At the start

    def take_over(self, release_wait: int) -> list[tuple[DialogRecord, RecoveryPlan]]:
        """What a former self left, taken over, with what each needs; what can't be read is told and void."""
        now = self._moment()
        kept: list[tuple[DialogRecord, RecoveryPlan]] = []
        for one in self._store.records():
            if not isinstance(one, DialogRecord):
                log.error("record-damaged", dialog=one.key, why=one.reason)
                self._store.delete(one.key)
                continue
            decision = plan_on_restart(one, now, release_wait)
            if decision.action in (RecoveryAction.FORGET, RecoveryAction.CANCEL_ATTEMPT):
                # Past its time; a leg that was out then was given up with the former self's connection.
                self._store.delete(one.dialog_id)
                continue
            # Its time goes on from here by this boot's clock, with the least that may be left of it.
            record = lifecycle.take_over(one, self.epoch, now, decision.time_left)
            self._put(record)
            kept.append((record, decision))
        return kept

    # Moves

    def on_accepted(self, asked: setup.Setup, caller: str, left: int, now: int) -> None:
        if now < self._suspended_until:
            return
        self._put(
            DialogRecord(
                asked.dialog,
                caller,
                asked.traffic_type,
                asked.first_choice,
                asked.called_number,
                self._moment(),
                left,
                self.epoch,
                was_interrupted=asked.was_cut,
            )
        )

    def on_attempt_sent(self, dialog: str, leg: int, server: str, start: int) -> None:
        if (record := self._records.get(dialog)) is not None:
            now = self._moment()
            if record.phase is Phase.CANCELLED:
                record = lifecycle.end_attempt(record, now)  # the decisions have waited for the release time
            self._put(lifecycle.start_attempt(record, leg, server, start, now))

    def on_attempt_cancelled(self, dialog: str) -> None:
        record = self._records.get(dialog)
        if record is not None and record.phase in (Phase.IN_FLIGHT, Phase.CANCELLED):
            self._put(lifecycle.cancel_attempt(record, self._moment()))

    def on_attempt_ended(self, dialog: str, outcome: Outcome) -> None:
        record = self._records.get(dialog)
        if record is None or record.phase not in (Phase.IN_FLIGHT, Phase.CANCELLED):
            return
        if outcome in CLOSED_OUTCOMES:
            self._put(lifecycle.end_attempt(record, self._moment()))
        elif record.phase is Phase.IN_FLIGHT:
            self._put(lifecycle.cancel_attempt(record, self._moment()))

    def on_established(self, dialog: str) -> None:
        if (record := self._records.get(dialog)) is not None and record.phase is Phase.IN_FLIGHT:
            self._put(lifecycle.establish(record, self._moment()))

    def on_answered(self, dialog: str, answer: str, span: int, deadline: int) -> None:
        """Declined or aborted: on record until the caller's time is over."""
        if (record := self._records.get(dialog)) is None:
            return
        now = self._moment()
        if record.phase is Phase.IN_FLIGHT:
            record = lifecycle.cancel_attempt(record, now)
        self._put(lifecycle.conclude(record, answer, span, now))
        self._answered.append((deadline, dialog))

    def keep_answer_until(self, dialog: str, deadline: int) -> None:
        """A former self's answer: kept until its caller's time is over."""
        self._answered.append((deadline, dialog))

    def on_dialog_closed(self, dialog: str) -> None:
        """The instance holds it no more: an answer stays until its time is over, all else leaves."""
        if (record := self._records.get(dialog)) is not None and record.phase is not Phase.CONCLUDED:
            self.remove(dialog)

    def remove(self, dialog: str) -> None:
        """Nothing is owed: what stood is over, or its time has passed without an answer."""
        if self._records.pop(dialog, None) is not None:
            self._store.delete(dialog)

    def _put(self, record: DialogRecord) -> None:
        self._records[record.dialog_id] = record
        self._store.put(record)

    # The turn's end

    def commit(self, now: int) -> None:
        """Before a turn's words leave. After it they are on record, or nothing is."""
        self._turn_moment = None
        if now >= self._swept_at + SWEEP_INTERVAL:
            self._swept_at = now
            self._sweep(now)
        try:
            self._store.commit()
        except Exception as error:  # whatever a store raises, calls go on without it
            self._on_store_failed(now, error)

    def _sweep(self, now: int) -> None:
        # Deadlines are nearly in order: one that is not waits behind the others, for as long as they do.
        while self._answered and self._answered[0][0] <= now:
            dialog = self._answered.popleft()[1]
            record = self._records.get(dialog)
            if record is not None and record.phase is Phase.CONCLUDED:
                self.remove(dialog)

    def _on_store_failed(self, now: int, error: Exception) -> None:
        self._suspended_until = now + STORE_RETRY_INTERVAL
        held = len(self._records)
        self._records.clear()
        self._answered.clear()
        log.error("ledger-failed", why=str(error), without_record=held)
        try:
            self._store.clear()
        except Exception as worse:
            # A start that reads it would go on from what is no longer so.
            log.critical("ledger-stale", why=str(worse), do="remove the store before the next start")
