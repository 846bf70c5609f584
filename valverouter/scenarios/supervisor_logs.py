"""Reads the actions of supervisors in a scenario from their logs."""

from __future__ import annotations

from collections.abc import Iterator
from datetime import datetime
from pathlib import Path

import msgspec

from valverouter.signalling.traffic_record import ProgramVersionRow, Row, StepRow

NS_PER_S = 1e9


class _LogEvent(msgspec.Struct, rename={"runs_after": "up"}):
    """An event of a supervisor's log; other fields are ignored."""

    event: str = ""
    timestamp: str = ""
    version: str = ""
    number: int = 0
    step: int = 0
    runs_after: bool = True
    outcome: str = ""


def append_log_rows(rows: list[Row], file: Path, instance: str, now: int) -> None:
    """Appends the rows of one supervisor's log. `now`: the current time on the rows' clock, ns.

    Log timestamps are wall-clock times; the offset of the two clocks is computed from their current times.
    """
    clock_offset = now - round(datetime.now().timestamp() * NS_PER_S)
    runs_after_by_step: dict[tuple[int, int], bool] = {}
    for event in _read_events(file):
        time = clock_offset + round(datetime.fromisoformat(event.timestamp).timestamp() * NS_PER_S)
        sequence, step = len(rows), (event.number, event.step)
        if event.event == "step-started":
            runs_after_by_step[step] = event.runs_after
            rows.append(StepRow(sequence, time, instance, *step, event.runs_after))
        elif event.event == "step-ended":
            rows.append(
                StepRow(sequence, time, instance, *step, runs_after_by_step.get(step, True), event.outcome)
            )
        elif event.event in ("process-started", "process-adopted"):
            rows.append(ProgramVersionRow(sequence, time, instance, event.version))
        elif event.event == "process-exited":
            rows.append(ProgramVersionRow(sequence, time, instance, ""))


def _read_events(file: Path) -> Iterator[_LogEvent]:
    decoder = msgspec.json.Decoder(_LogEvent)
    for line in file.read_bytes().splitlines():
        try:
            event = decoder.decode(line)
        except msgspec.DecodeError:
            continue  # output of the supervised program, or a line that was truncated by a kill
        if event.timestamp:
            yield event
