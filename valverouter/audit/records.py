"""Common readings of a traffic record: its order, who is a caller or a server, which faults were active."""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from typing import TypeGuard

from valverouter.signalling.traffic_record import FaultRow, MessageRow, Row

# Message kinds that answer a set-up for good, as a caller receives them.
FINAL_ANSWERS = ("stands", "declined", "aborted", "unknown")


def in_order(rows: Iterable[Row]) -> list[Row]:
    """The rows by time, those of one time as they were written."""
    return sorted(rows, key=lambda row: (row.at, row.seq))


def is_sent_setup(row: Row) -> TypeGuard[MessageRow]:
    """Whether a caller sends a set-up here."""
    return isinstance(row, MessageRow) and row.sent and row.kind == "setup"


def is_received_setup(row: Row) -> TypeGuard[MessageRow]:
    """Whether a server receives a set-up here."""
    return isinstance(row, MessageRow) and not row.sent and row.kind == "setup"


def callers_in(rows: Iterable[Row]) -> set[str]:
    """The names of all peers that sent a set-up."""
    return {row.peer for row in rows if is_sent_setup(row)}


def servers_in(rows: Iterable[Row]) -> set[str]:
    """The names of all peers that received a set-up."""
    return {row.peer for row in rows if is_received_setup(row)}


def faults_of(rows: Iterable[Row], kind: str) -> list[FaultRow]:
    """The faults of one kind."""
    return [row for row in rows if isinstance(row, FaultRow) and row.kind == kind]


def is_during(faults: Sequence[FaultRow], target: str, at: int, slack: int = 0) -> bool:
    """Whether one of the faults affects the target at that time, or ended at most `slack` ns before."""
    return any(fault.target == target and fault.at <= at <= fault.until + slack for fault in faults)
