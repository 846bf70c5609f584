"""Statistics of attempts, cancellations and retry gaps at servers, by traffic type.

They show the effect of attempt policies.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

from valverouter.audit.records import in_order, is_received_setup, servers_in
from valverouter.signalling.traffic_record import ConnectionLostRow, MessageRow, Row


@dataclass(slots=True)
class AttemptStatistics:
    """Statistics of one traffic type; times in ns, None if there was no such event.

    `dialogs`: the number that reached a server. `max_attempts`: the maximum of one dialog. `cancelled_after`:
    the shortest and the longest time from an attempt to its cancellation. `min_retry_gap`: the shortest time
    from a cancellation or a lost connection to the next attempt of the dialog.
    """

    dialogs: int = 0
    attempts: int = 0
    max_attempts: int = 0
    cancelled_after: tuple[int, int] | None = None
    min_retry_gap: int | None = None

    def add_attempt(self, number: int) -> None:
        """Counts an attempt; `number` is its position among the attempts of the dialog, from 1."""
        self.dialogs += number == 1
        self.attempts += 1
        self.max_attempts = max(self.max_attempts, number)

    def add_retry_gap(self, gap: int) -> None:
        """Records the time between an abandoned attempt and the next one, ns."""
        self.min_retry_gap = gap if self.min_retry_gap is None else min(self.min_retry_gap, gap)

    def add_cancellation(self, after: int) -> None:
        """Records the time from an attempt to its cancellation, ns."""
        shortest, longest = self.cancelled_after or (after, after)
        self.cancelled_after = min(shortest, after), max(longest, after)


def attempt_statistics(rows: Iterable[Row]) -> dict[str, AttemptStatistics]:
    """Returns the statistics by traffic type, in the order in which the types first reached a server."""
    ordered = in_order(rows)
    servers = servers_in(ordered)
    reader = _AttemptReader()
    for row in ordered:
        if isinstance(row, ConnectionLostRow) and row.peer in servers:
            reader.on_connection_lost(row)
        elif isinstance(row, MessageRow) and row.peer in servers and row.dialog:
            reader.on_message(row)
    return reader.by_type


class _AttemptReader:
    """Tracks dialogs while a record is read; entries are not removed before its end."""

    def __init__(self) -> None:
        self.by_type: dict[str, AttemptStatistics] = {}
        # By dialog.
        self._statistics: dict[str, AttemptStatistics] = {}
        self._attempt_counts: dict[str, int] = {}
        self._in_flight: dict[str, MessageRow] = {}
        self._abandoned_at: dict[str, int] = {}

    def on_connection_lost(self, row: ConnectionLostRow) -> None:
        """Marks the attempts of a lost connection as abandoned."""
        for dialog, attempt in list(self._in_flight.items()):
            if (attempt.edge, attempt.peer) == (row.edge, row.peer):
                self._abandoned_at[dialog] = row.at
                del self._in_flight[dialog]

    def on_message(self, row: MessageRow) -> None:
        """Processes a message between an edge proxy and a server."""
        if is_received_setup(row):
            self._on_attempt(row)
        elif not row.sent and row.kind == "cancel" and row.dialog in self._in_flight:
            attempt = self._in_flight.pop(row.dialog)
            self._abandoned_at[row.dialog] = row.at
            self._statistics[row.dialog].add_cancellation(row.at - attempt.at)
        elif row.sent and row.kind != "provisional":
            self._in_flight.pop(row.dialog, None)

    def _on_attempt(self, row: MessageRow) -> None:
        statistics = self.by_type.setdefault(row.detail, AttemptStatistics())
        number = self._attempt_counts.get(row.dialog, 0) + 1
        self._statistics[row.dialog] = statistics
        self._attempt_counts[row.dialog] = number
        statistics.add_attempt(number)
        if (since := self._abandoned_at.pop(row.dialog, None)) is not None:
            statistics.add_retry_gap(row.at - since)
        self._in_flight[row.dialog] = row
