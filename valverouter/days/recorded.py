"""The calls of a day's kept rows, as a record that another day plays again."""

from __future__ import annotations

from collections.abc import Iterable, Iterator

from valverouter.signalling.tap import CallersStartedRow, MessageRow, Row
from valverouter.terms.calls import RecordedCall


def recorded_calls(rows: Iterable[Row]) -> Iterator[RecordedCall]:
    """First tries as they were dialled, from when the day's callers began. Redials are not on record: callers
    of the day that plays it dial again by what they meet there."""
    began: int | None = None
    for row in rows:
        if isinstance(row, CallersStartedRow):
            began = row.at
        elif isinstance(row, MessageRow) and row.sent and row.kind == "setup" and row.peer.startswith("c"):
            if "." in row.dialog or not row.edge[1:].isdigit():
                continue
            # Rows that an earlier version kept do not say when their day began: its first call does.
            began = row.at if began is None else began
            yield RecordedCall(row.at - began, row.detail, int(row.edge[1:]), row.duration)
