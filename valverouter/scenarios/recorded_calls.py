"""Takes the calls out of a run's rows, as a record that another scenario replays."""

from __future__ import annotations

from collections.abc import Iterable, Iterator

from valverouter.config.recorded_calls import RecordedCall
from valverouter.signalling.traffic_record import CallersStartedRow, MessageRow, Row


def recorded_calls(rows: Iterable[Row]) -> Iterator[RecordedCall]:
    """First tries as they were dialled, with times since the run's callers started.

    Redials are left out: callers of the scenario that replays the record redial by what they meet there.
    """
    started_at: int | None = None
    for row in rows:
        if isinstance(row, CallersStartedRow):
            started_at = row.at
        elif isinstance(row, MessageRow) and row.sent and row.kind == "setup" and row.peer.startswith("c"):
            if "." in row.dialog or not row.edge[1:].isdigit():
                continue
            # Rows of earlier versions do not hold when their callers started: the first call stands in.
            started_at = row.at if started_at is None else started_at
            yield RecordedCall(row.at - started_at, row.detail, int(row.edge[1:]), row.duration)
