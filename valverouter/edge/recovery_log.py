"""The records of dialogs that are owed an answer, committed before the messages of a turn leave.

Each record moves as the edge proxy moves its dialog. Which transitions there are is defined by
`valverouter.recovery.lifecycle`, what a restart makes of them by `valverouter.recovery.plan`. A store that
fails costs the records, never the calls: all of it is cleared, since a record that was not moved on could let
a second attempt out after a kill; dialogs accepted from then on are recorded again once the store takes them.
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
# Answers whose time has passed leave the store together, no oftener than in so long.
SWEEP_INTERVAL = SECOND
# The server closed these itself, or they never ran; after all others the release delay runs.
CLOSED_OUTCOMES = frozenset(
    (Outcome.FULL, Outcome.NO_AGENT, Outcome.UNREACHABLE, Outcome.FAULT, Outcome.LINE_BUSY, Outcome.NOT_SENT)
)


class RecordStore(Protocol):
    """The store that records go to."""

    def begin_epoch(self, minimum: int = 0) -> int:
        """Counts a start; its number, larger than any before and at least `minimum`."""
        ...

    def records(self) -> Iterable[Any]:
        """Records, and a placeholder with `key` and `reason` for each that can't be read."""

    def put(self, record: DialogRecord) -> None:
        """Adds or replaces a record with the next commit."""

    def delete(self, dialog: str) -> None:
        """Removes a record with the next commit."""

    def commit(self) -> int:
        """Writes what changed since the last commit; how many records."""
        ...

    def clear(self) -> None:
        """Removes all records, pending changes too."""


class RecoveryLog:
    """The records of dialogs that are open, established, or answered within their time."""

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
        """Records held."""
        return len(self._records)

    def record(self, dialog: str) -> DialogRecord | None:
        """The record of a dialog; None: there is none."""
        return self._records.get(dialog)

    # At the start

    def take_over(self, release_delay: int) -> list[tuple[DialogRecord, RecoveryPlan]]:
        """What the previous incarnation left, with what each needs; damaged records are removed."""
        now = self._moment()
        taken_over: list[tuple[DialogRecord, RecoveryPlan]] = []
        for found in self._store.records():
            if not isinstance(found, DialogRecord):
                log.error("record-damaged", dialog=found.key, why=found.reason)
                self._store.delete(found.key)
                continue
            plan = plan_on_restart(found, now, release_delay)
            if plan.action in (RecoveryAction.FORGET, RecoveryAction.CANCEL_ATTEMPT):
                # Past its time; an attempt in flight then was cut with the previous incarnation's connection.
                self._store.delete(found.dialog_id)
                continue
            # Its time goes on from here by this boot's clock, with the least that may be left of it.
            record = lifecycle.take_over(found, self.epoch, now, plan.time_left)
            self._put(record)
            taken_over.append((record, plan))
        return taken_over

    # Transitions

    def on_accepted(self, request: setup.Setup, caller: str, time_left: int, now: int) -> None:
        """A dialog is owed an answer; it is not recorded while the store fails."""
        if now < self._suspended_until:
            return
        self._put(
            DialogRecord(
                request.dialog,
                caller,
                request.traffic_type,
                request.preferred_server_number,
                request.called_number,
                self._moment(),
                time_left,
                self.epoch,
                was_interrupted=request.was_interrupted,
            )
        )

    def on_attempt_sent(self, dialog: str, attempt: int, server: str, incarnation: int) -> None:
        """An attempt is about to leave to a server's present incarnation."""
        if (record := self._records.get(dialog)) is not None:
            now = self._moment()
            if record.phase is Phase.CANCELLED:
                record = lifecycle.end_attempt(record, now)  # the release delay has passed
            self._put(lifecycle.start_attempt(record, attempt, server, incarnation, now))

    def on_attempt_cancelled(self, dialog: str) -> None:
        """The attempt in flight is cancelled: the release delay runs from here."""
        record = self._records.get(dialog)
        if record is not None and record.phase in (Phase.IN_FLIGHT, Phase.CANCELLED):
            self._put(lifecycle.cancel_attempt(record, self._moment()))

    def on_attempt_ended(self, dialog: str, outcome: Outcome) -> None:
        """An attempt has ended; unless its server closed it, the release delay runs."""
        record = self._records.get(dialog)
        if record is None or record.phase not in (Phase.IN_FLIGHT, Phase.CANCELLED):
            return
        if outcome in CLOSED_OUTCOMES:
            self._put(lifecycle.end_attempt(record, self._moment()))
        elif record.phase is Phase.IN_FLIGHT:
            self._put(lifecycle.cancel_attempt(record, self._moment()))

    def on_established(self, dialog: str) -> None:
        """The attempt in flight is established."""
        if (record := self._records.get(dialog)) is not None and record.phase is Phase.IN_FLIGHT:
            self._put(lifecycle.establish(record, self._moment()))

    def on_answered(self, dialog: str, answer: str, retry_after: int, deadline: int) -> None:
        """The dialog is rejected or has failed: on record until the caller's deadline."""
        if (record := self._records.get(dialog)) is None:
            return
        now = self._moment()
        if record.phase is Phase.IN_FLIGHT:
            record = lifecycle.cancel_attempt(record, now)
        self._put(lifecycle.conclude(record, answer, retry_after, now))
        self._answered.append((deadline, dialog))

    def keep_answer_until(self, dialog: str, deadline: int) -> None:
        """Keeps an answer of the previous incarnation until its caller's deadline."""
        self._answered.append((deadline, dialog))

    def on_dialog_closed(self, dialog: str) -> None:
        """The proxy holds the dialog no more: an answer stays until its deadline, all else leaves."""
        if (record := self._records.get(dialog)) is not None and record.phase is not Phase.CONCLUDED:
            self.remove(dialog)

    def remove(self, dialog: str) -> None:
        """Removes a record: nothing is owed any more."""
        if self._records.pop(dialog, None) is not None:
            self._store.delete(dialog)

    def _put(self, record: DialogRecord) -> None:
        self._records[record.dialog_id] = record
        self._store.put(record)

    # The turn's end

    def commit(self, now: int) -> None:
        """Commits what a turn changed, before its messages leave; all of it is on record then, or nothing."""
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
        lost = len(self._records)
        self._records.clear()
        self._answered.clear()
        log.error("ledger-failed", why=str(error), without_record=lost)
        try:
            self._store.clear()
        except Exception as clear_error:
            # A start that reads it would go on from what is no longer so.
            log.critical("ledger-stale", why=str(clear_error), do="remove the store before the next start")
