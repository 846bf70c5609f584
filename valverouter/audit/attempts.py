"""Legs, time-outs and gaps by traffic type, as the servers saw them: what a file of attempt terms did."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

from valverouter.signalling.tap import ConnectionLostRow, MessageRow, Row


@dataclass(slots=True)
class AttemptStatistics:
    """Of one type: dialogs that reached a server, the most legs of one; spans in ns, None: none was seen.

    `cancelled_after`: the shortest and longest time after which a leg was told to be let go. `gap`: the
    shortest time from that, or from a lost connection, to the dialog's next leg.
    """

    dialogs: int = 0
    attempts: int = 0
    max_attempts: int = 0
    cancelled_after: tuple[int, int] | None = None
    min_retry_gap: int | None = None


def attempt_statistics(rows: Iterable[Row]) -> dict[str, AttemptStatistics]:
    """By traffic type; a dialog's entries leave with the record's end only, which is bounded itself."""
    whole = sorted(rows, key=lambda row: (row.at, row.seq))
    servers = {
        row.peer for row in whole if isinstance(row, MessageRow) and not row.sent and row.kind == "setup"
    }
    found: dict[str, AttemptStatistics] = {}
    kinds: dict[str, AttemptStatistics] = {}
    legs: dict[str, int] = {}
    out: dict[str, MessageRow] = {}
    let_go: dict[str, int] = {}
    for row in whole:
        if isinstance(row, ConnectionLostRow) and row.peer in servers:
            for dialog, leg in list(out.items()):
                if (leg.edge, leg.peer) == (row.edge, row.peer):
                    let_go[dialog] = row.at
                    del out[dialog]
        if not isinstance(row, MessageRow) or row.peer not in servers or not row.dialog:
            continue
        if not row.sent and row.kind == "setup":
            one = kinds[row.dialog] = found.setdefault(row.detail, AttemptStatistics())
            legs[row.dialog] = legs.get(row.dialog, 0) + 1
            one.dialogs += legs[row.dialog] == 1
            one.attempts += 1
            one.max_attempts = max(one.max_attempts, legs[row.dialog])
            if (since := let_go.pop(row.dialog, None)) is not None:
                gap = row.at - since
                one.min_retry_gap = gap if one.min_retry_gap is None else min(one.min_retry_gap, gap)
            out[row.dialog] = row
        elif not row.sent and row.kind == "cancel" and row.dialog in out:
            leg, one = out.pop(row.dialog), kinds[row.dialog]
            let_go[row.dialog] = row.at
            least, most = one.cancelled_after or (row.at - leg.at, row.at - leg.at)
            one.cancelled_after = min(least, row.at - leg.at), max(most, row.at - leg.at)
        elif row.sent and row.kind != "provisional":
            out.pop(row.dialog, None)
    return found
