"""Common queries on a traffic record: sorted rows, names of callers and servers, active faults."""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from typing import TypeGuard

from valverouter.signalling.traffic_record import FaultRow, MessageRow, Row

# Kinds of messages to a caller that are the final answer to a set-up.
FINAL_ANSWERS = ("stands", "declined", "aborted", "unknown")


def in_order(rows: Iterable[Row]) -> list[Row]:
    """Returns the rows sorted by time; rows with the same time are in the order of writing."""
    return sorted(rows, key=lambda row: (row.at, row.seq))


def is_sent_setup(row: Row) -> TypeGuard[MessageRow]:
    """Returns whether the row is a set-up that a caller sent."""
    return isinstance(row, MessageRow) and row.sent and row.kind == "setup"


def is_received_setup(row: Row) -> TypeGuard[MessageRow]:
    """Returns whether the row is a set-up that a server received."""
    return isinstance(row, MessageRow) and not row.sent and row.kind == "setup"


def callers_in(rows: Iterable[Row]) -> set[str]:
    """Returns the names of all callers, which are the peers that sent a set-up."""
    return {row.peer for row in rows if is_sent_setup(row)}


def servers_in(rows: Iterable[Row]) -> set[str]:
    """Returns the names of all servers, which are the peers that received a set-up."""
    return {row.peer for row in rows if is_received_setup(row)}


def faults_of(rows: Iterable[Row], kind: str) -> list[FaultRow]:
    """Returns the faults of one kind."""
    return [row for row in rows if isinstance(row, FaultRow) and row.kind == kind]


def is_during(faults: Sequence[FaultRow], target: str, at: int, slack: int = 0) -> bool:
    """Returns whether a fault of the target is active at time `at`, or ended at most `slack` ns before."""
    return any(fault.target == target and fault.at <= at <= fault.until + slack for fault in faults)
