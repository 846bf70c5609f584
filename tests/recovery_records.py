"""Dialog records and timestamps for the tests of recovery and of the dialog store."""

from __future__ import annotations

from typing import Any

from valverouter.recovery.lifecycle import DialogRecord, Phase, Timestamp

MS, SECOND = 10**6, 10**9


def timestamp(ms: int, boot_id: str = "b1", wall_ms: int | None = None) -> Timestamp:
    """A timestamp `ms` after the boot; by default the wall clock agrees with the monotonic one."""
    return Timestamp((10**6 + ms if wall_ms is None else wall_ms) * MS, ms * MS, boot_id)


def record(dialog_id: str = "d", phase: Phase = Phase.WAITING, **fields: Any) -> DialogRecord:
    """A dialog accepted at 0 ms with 9 s of its caller's time left; attempt 0 unless the phase is WAITING."""
    fields = {"attempt": -1 if phase is Phase.WAITING else 0, "changed_at": timestamp(0)} | fields
    return DialogRecord(dialog_id, "c0", "plain", 0, 7, timestamp(0), 9 * SECOND, 1, phase, **fields)
