"""Converts dialog records to the output of `valverouter ledger export`."""

from __future__ import annotations

from typing import Any

from valverouter.recovery.lifecycle import DialogRecord


def export_row(record: DialogRecord) -> dict[str, Any]:
    """Returns the record's fields by their keys in the export, whose names and order must not change.

    Timestamps become arrays of wall time, monotonic time (both in ns) and boot id; durations are in ns.
    """
    return {
        "dialog": record.dialog_id,
        "caller": record.caller,
        "traffic_type": record.traffic_type,
        "first_choice": record.preferred_server_number,
        "called_number": record.called_number,
        "taken": record.accepted_at,
        "no_answer": record.time_left,
        "epoch": record.epoch,
        "phase": record.phase,
        "leg": record.attempt,
        "server": record.server,
        "server_start": record.server_incarnation,
        "moved": record.changed_at,
        "answer": record.final_answer,
        "span": record.retry_after,
        "was_cut": record.was_interrupted,
    }
