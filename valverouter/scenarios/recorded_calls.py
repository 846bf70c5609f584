"""Extracts the calls from a run's rows, as a record that another scenario can replay."""

from __future__ import annotations

from collections.abc import Iterable, Iterator

from valverouter.config.recorded_calls import RecordedCall
from valverouter.signalling.traffic_record import CallersStartedRow, MessageRow, Row


def recorded_calls(rows: Iterable[Row]) -> Iterator[RecordedCall]:
    """Yields the first attempt of each call, with times since the run's callers started.

    Redials are omitted: in the scenario that replays them, callers redial by the responses they get there.
    """
    started_at: int | None = None
    for row in rows:
        if isinstance(row, CallersStartedRow):
            started_at = row.at
        elif isinstance(row, MessageRow) and row.sent and row.kind == "setup" and row.peer.startswith("c"):
            if "." in row.dialog or not row.edge[1:].isdigit():
                continue
            # Earlier versions did not record the start of the callers: the first call's time is used instead.
            started_at = row.at if started_at is None else started_at
            yield RecordedCall(row.at - started_at, row.detail, int(row.edge[1:]), row.duration)
