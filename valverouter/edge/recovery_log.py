"""The recovery log: records of accepted dialogs, committed at the end of a turn before its messages are sent.

A dialog's record changes phase with the dialog. `valverouter.recovery.lifecycle` defines the transitions, and
`valverouter.recovery.plan` what a restarted process does with each record. If the store fails, the records
are lost but calls continue: the whole store is cleared, since an outdated record could cause a second attempt
beside one in flight after a kill. Dialogs accepted later are recorded again once the store works.
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
# After a failure of the store no dialog is recorded for this time, ns.
STORE_RETRY_INTERVAL = 10 * SECOND
# The least time between two sweeps, which remove the expired answers together; ns.
SWEEP_INTERVAL = SECOND
# Outcomes of attempts that the server closed or that were never sent. After any other outcome the release
# delay must pass before the next attempt.
CLOSED_OUTCOMES = frozenset(
    (Outcome.FULL, Outcome.NO_AGENT, Outcome.UNREACHABLE, Outcome.FAULT, Outcome.LINE_BUSY, Outcome.NOT_SENT)
)


class RecordStore(Protocol):
    """A store for dialog records; changes take effect together with `commit`."""

    def begin_epoch(self, minimum: int = 0) -> int:
        """Begins the epoch of a new process and returns it: above all earlier ones and at least `minimum`."""
        ...

    def records(self) -> Iterable[Any]:
        """Returns the records, and a placeholder with `key` and `reason` for each that can't be read."""

    def put(self, record: DialogRecord) -> None:
        """Adds or replaces a record with the next commit."""

    def delete(self, dialog_id: str) -> None:
        """Removes a record with the next commit."""

    def commit(self) -> int:
        """Writes the changes since the last commit; returns the number of records written."""
        ...

    def clear(self) -> None:
        """Removes all records and discards pending changes."""


class RecoveryLog:
    """The records of open and established dialogs, and of rejected or failed ones until their deadline.

    `clock` returns the present timestamp; `now` arguments are in ns of the proxy's clock.
    """

    def __init__(self, store: RecordStore, clock: Callable[[], Timestamp]) -> None:
        self._store = store
        self._clock = clock
        # The timestamp of the current turn, shared by all its transitions; None until the first of them.
        self._turn_timestamp: Timestamp | None = None
        self._records: dict[str, DialogRecord] = {}
        # Deadlines and ids of answered dialogs, whose records are kept until then for callers that resume.
        self._answered: deque[tuple[int, str]] = deque()
        self._swept_at = 0
        self._suspended_until = 0
        # At least the wall time in seconds, so that the epoch also increases when the store has been lost.
        self.epoch = store.begin_epoch(clock().wall // SECOND)

    def _current_timestamp(self) -> Timestamp:
        if self._turn_timestamp is None:
            self._turn_timestamp = self._clock()
        return self._turn_timestamp

    def __len__(self) -> int:
        """The number of records."""
        return len(self._records)

    def record(self, dialog_id: str) -> DialogRecord | None:
        """Returns the record of a dialog, or None."""
        return self._records.get(dialog_id)

    # Start

    def take_over(self, release_delay: int) -> list[tuple[DialogRecord, RecoveryPlan]]:
        """Takes over the previous incarnation's records and returns each with its recovery plan.

        Removes damaged and expired records. `release_delay` is in ns.
        """
        now = self._current_timestamp()
        taken_over: list[tuple[DialogRecord, RecoveryPlan]] = []
        for stored in self._store.records():
            if not isinstance(stored, DialogRecord):
                log.error("record-damaged", dialog=stored.key, why=stored.reason)
                self._store.delete(stored.key)
                continue
            plan = plan_on_restart(stored, now, release_delay)
            if plan.action in (RecoveryAction.FORGET, RecoveryAction.CANCEL_ATTEMPT):
                # Expired. An attempt that was in flight ended with the previous incarnation's connection.
                self._store.delete(stored.dialog_id)
                continue
            # From here on the caller's time is measured by this boot's clock, starting with the least that
            # may be left of it.
            record = lifecycle.take_over(stored, self.epoch, now, plan.time_left)
            self._put(record)
            taken_over.append((record, plan))
        return taken_over

    # Transitions

    def on_accepted(self, request: setup.Setup, caller: str, time_left: int, now: int) -> None:
        """Records an accepted dialog, whose caller is owed an answer; does nothing while the store fails."""
        if now < self._suspended_until:
            return
        self._put(
            DialogRecord(
                request.dialog,
                caller,
                request.traffic_type,
                request.preferred_server_number,
                request.called_number,
                self._current_timestamp(),
                time_left,
                self.epoch,
                was_interrupted=request.was_interrupted,
            )
        )

    def on_attempt_sent(self, dialog_id: str, attempt: int, server: str, incarnation: int) -> None:
        """Records an attempt that this turn sends to the current incarnation of a server."""
        if (record := self._records.get(dialog_id)) is not None:
            now = self._current_timestamp()
            if record.phase is Phase.CANCELLED:
                record = lifecycle.end_attempt(record, now)  # the release delay has passed
            self._put(lifecycle.start_attempt(record, attempt, server, incarnation, now))

    def on_attempt_cancelled(self, dialog_id: str) -> None:
        """Records that the attempt in flight is cancelled; its release delay starts now."""
        record = self._records.get(dialog_id)
        if record is not None and record.phase in (Phase.IN_FLIGHT, Phase.CANCELLED):
            self._put(lifecycle.cancel_attempt(record, self._current_timestamp()))

    def on_attempt_ended(self, dialog_id: str, outcome: Outcome) -> None:
        """Records that an attempt has ended; unless its server closed it, its release delay starts now."""
        record = self._records.get(dialog_id)
        if record is None or record.phase not in (Phase.IN_FLIGHT, Phase.CANCELLED):
            return
        if outcome in CLOSED_OUTCOMES:
            self._put(lifecycle.end_attempt(record, self._current_timestamp()))
        elif record.phase is Phase.IN_FLIGHT:
            self._put(lifecycle.cancel_attempt(record, self._current_timestamp()))

    def on_established(self, dialog_id: str) -> None:
        """Records that the attempt in flight is established."""
        if (record := self._records.get(dialog_id)) is not None and record.phase is Phase.IN_FLIGHT:
            self._put(lifecycle.establish(record, self._current_timestamp()))

    def on_answered(self, dialog_id: str, answer: str, retry_after: int, deadline: int) -> None:
        """Records the answer of a rejected or failed dialog, to be kept until the caller's deadline."""
        if (record := self._records.get(dialog_id)) is None:
            return
        now = self._current_timestamp()
        if record.phase is Phase.IN_FLIGHT:
            record = lifecycle.cancel_attempt(record, now)
        self._put(lifecycle.conclude(record, answer, retry_after, now))
        self._answered.append((deadline, dialog_id))

    def keep_answer_until(self, dialog_id: str, deadline: int) -> None:
        """Keeps an answer that the previous incarnation recorded until its caller's deadline."""
        self._answered.append((deadline, dialog_id))

    def on_dialog_closed(self, dialog_id: str) -> None:
        """Removes the record of a dialog that the proxy has removed, unless it holds an answer."""
        if (record := self._records.get(dialog_id)) is not None and record.phase is not Phase.CONCLUDED:
            self.remove(dialog_id)

    def remove(self, dialog_id: str) -> None:
        """Removes a record, if there is one."""
        if self._records.pop(dialog_id, None) is not None:
            self._store.delete(dialog_id)

    def _put(self, record: DialogRecord) -> None:
        self._records[record.dialog_id] = record
        self._store.put(record)

    # End of a turn

    def commit(self, now: int) -> None:
        """Commits the changes of a turn as a whole, before its messages are sent.

        If the store fails, all records are removed.
        """
        self._turn_timestamp = None
        if now >= self._swept_at + SWEEP_INTERVAL:
            self._swept_at = now
            self._sweep(now)
        try:
            self._store.commit()
        except Exception as error:  # whatever the store raises, calls continue without it
            self._on_store_failed(now, error)

    def _sweep(self, now: int) -> None:
        # The deadlines are nearly sorted. One that is out of order is removed later, after those before it.
        while self._answered and self._answered[0][0] <= now:
            dialog_id = self._answered.popleft()[1]
            record = self._records.get(dialog_id)
            if record is not None and record.phase is Phase.CONCLUDED:
                self.remove(dialog_id)

    def _on_store_failed(self, now: int, error: Exception) -> None:
        self._suspended_until = now + STORE_RETRY_INTERVAL
        lost = len(self._records)
        self._records.clear()
        self._answered.clear()
        log.error("ledger-failed", why=str(error), without_record=lost)
        try:
            self._store.clear()
        except Exception as clear_error:
            # A process that started with this store would continue from outdated records.
            log.critical("ledger-stale", why=str(clear_error), do="remove the store before the next start")
