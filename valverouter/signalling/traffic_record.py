"""The rows of a traffic record, written at the callers' and servers' ends of streams and read by the audit.

A row states when bytes were written to or read from the socket at that end, not what either side intended.
In every row `at` is a time in nanoseconds, on one clock for the whole record, and `seq` is the row's position
in the record. A record is a file of JSON lines. Its tags and field names are fixed so that older files stay
readable; if a class or a field has another name here, `tag` and `rename` give the stored one.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from pathlib import Path
from typing import Any

import msgspec
from msgspec import Struct


class MessageRow(
    Struct,
    tag_field="row",
    tag="passed",
    frozen=True,
    omit_defaults=True,
    rename={"duration": "span", "detail": "word"},
):
    """A message between an edge proxy and a caller or server (`peer`).

    `sent`: whether the peer sent it; otherwise the peer received it. `duration`: the message's time limit or
    retry delay in nanoseconds. `detail`: its traffic type, reason or server.
    """

    seq: int
    at: int
    edge: str
    peer: str
    sent: bool
    kind: str
    dialog: str = ""
    leg: int = 0
    duration: int = 0
    detail: str = ""


class EndpointUpdateRow(Struct, tag_field="row", tag="told", frozen=True):
    """The endpoint-list service sent the phase of a server to an edge proxy."""

    seq: int
    at: int
    edge: str
    server: str
    phase: str


class ConnectionLostRow(Struct, tag_field="row", tag="lost", frozen=True):
    """The connection between `edge` and `peer` was closed or broke."""

    seq: int
    at: int
    edge: str
    peer: str


class ServerStartedRow(
    Struct,
    tag_field="row",
    tag="began",
    frozen=True,
    rename={
        "slow_start_fraction": "cold_share",
        "slow_start_duration": "warm_after",
        "overload_multiple": "tip_multiple",
        "overload_window": "tip_span",
    },
):
    """A server process started; its slow-start parameters as in servermodel/profile.py, durations in ns."""

    seq: int
    at: int
    server: str
    setup_work: int
    slow_start_fraction: float
    slow_start_duration: int
    overload_multiple: float
    overload_window: int


class FaultRow(Struct, tag_field="row", tag="fault", frozen=True):
    """A fault injected into `target` from `at` until `until`."""

    seq: int
    at: int
    until: int
    kind: str
    target: str


class PlacementRow(Struct, tag_field="row", tag="placed", frozen=True):
    """The region of an edge proxy or a server."""

    seq: int
    at: int
    name: str
    region: str


class CallersStartedRow(Struct, tag_field="row", tag="opened", frozen=True):
    """The callers start; the times in a replayed call record are relative to this row."""

    seq: int
    at: int


class AuditConfigRow(
    Struct,
    tag_field="row",
    tag="terms",
    frozen=True,
    rename={"latency_objectives": "objectives", "priority_weights": "importance"},
):
    """The limits that the audit checks; durations in nanoseconds.

    `release_wait`: the minimum time between the cancellation of an attempt and the next attempt. `slack`: the
    tolerance between clock readings of two processes, 0 in virtual time. The dicts are keyed by traffic type.
    """

    seq: int
    at: int
    release_wait: int
    slack: int
    latency_objectives: dict[str, int]
    priority_weights: dict[str, float]


class EdgeProcessRow(
    Struct, tag_field="row", tag="ran", frozen=True, rename={"incarnation": "life", "is_start": "begins"}
):
    """A process of an edge proxy started (`is_start`) or ended; only for members of the fleet."""

    seq: int
    at: int
    edge: str
    incarnation: str
    is_start: bool


class MembershipEventRow(
    Struct,
    tag_field="row",
    tag="found",
    frozen=True,
    rename={"incarnation": "life", "kind": "what", "member_incarnation": "member_life"},
):
    """A membership event about `member`, reported by one incarnation of an edge proxy."""

    seq: int
    at: int
    edge: str
    incarnation: str
    kind: str
    member: str
    member_incarnation: str


class MembershipViewRow(
    Struct, tag_field="row", tag="viewed", frozen=True, rename={"incarnation": "life", "view_health": "trust"}
):
    """An edge proxy's membership view when polled; `members` maps live members to their incarnations."""

    seq: int
    at: int
    edge: str
    incarnation: str
    digest: str
    view_health: str
    members: dict[str, str]


class ConvergenceDeadlineRow(
    Struct,
    tag_field="row",
    tag="settles",
    frozen=True,
    rename={"max_duration": "within", "poll_interval": "every"},
):
    """All views must be equal `max_duration` ns after the last fault; polls are `poll_interval` ns apart."""

    seq: int
    at: int
    max_duration: int
    poll_interval: int


class DisruptionLimitsRow(
    Struct,
    tag_field="row",
    tag="limited",
    frozen=True,
    rename={"max_unavailable": "most", "max_per_region": "in_region"},
):
    """How many edge proxies operations may make unavailable at once, in total and in one region."""

    seq: int
    at: int
    max_unavailable: int
    max_per_region: int


class StepRow(Struct, tag_field="row", tag="turned", frozen=True, rename={"runs_after": "up"}):
    """From a supervisor's log: a step started (`outcome` is empty) or ended.

    `number`: the number of the disruption permit. `runs_after`: whether the instance runs after the step.
    """

    seq: int
    at: int
    edge: str
    number: int
    step: int
    runs_after: bool
    outcome: str = ""


class ProgramVersionRow(Struct, tag_field="row", tag="runs", frozen=True):
    """From a supervisor's log: its program started with `version`, or ended (`version` is empty)."""

    seq: int
    at: int
    edge: str
    version: str


class OperationRow(Struct, tag_field="row", tag="ordered", frozen=True, rename={"operation": "order"}):
    """The state of an operation at the end of a run.

    `members` maps each instance to its step, the number of its permit and its previous version.
    """

    seq: int
    at: int
    operation: str
    kind: str
    version: str
    phase: str
    result: str
    members: dict[str, tuple[str, int, str]]


Row = (
    MessageRow
    | EndpointUpdateRow
    | ConnectionLostRow
    | ServerStartedRow
    | FaultRow
    | PlacementRow
    | CallersStartedRow
    | AuditConfigRow
    | EdgeProcessRow
    | MembershipEventRow
    | MembershipViewRow
    | ConvergenceDeadlineRow
    | DisruptionLimitsRow
    | StepRow
    | ProgramVersionRow
    | OperationRow
)


# Attributes of protocol messages that become a row's `duration` and `detail`.
DURATION_ATTRIBUTES = ("time_left", "retry_after")
DETAIL_ATTRIBUTES = ("traffic_type", "reason", "server")


class TrafficRecorder:
    """Collects the rows of a record in order; `now` returns the time in nanoseconds."""

    def __init__(self, now: Callable[[], int]) -> None:
        self.now = now
        self.rows: list[Row] = []

    def record(self, row_type: type[Any], **fields: Any) -> None:
        """Appends a row of this type with the current time."""
        self.rows.append(row_type(seq=len(self.rows), at=self.now(), **fields))

    def record_message(self, edge: str, peer: str, sent: bool, message: Any) -> None:
        """Appends a row for a protocol message; `sent`: whether `peer` sends it."""
        self.record(
            MessageRow,
            edge=edge,
            peer=peer,
            sent=sent,
            kind=type(message).__struct_config__.tag,
            dialog=getattr(message, "dialog", ""),
            leg=getattr(message, "leg", 0),
            duration=_first_attribute(message, DURATION_ATTRIBUTES, 0),
            detail=_first_attribute(message, DETAIL_ATTRIBUTES, ""),
        )


def _first_attribute(message: Any, names: Iterable[str], default: Any) -> Any:
    return next((getattr(message, name) for name in names if hasattr(message, name)), default)


def write_rows(path: Path, rows: Iterable[Row]) -> None:
    """Writes rows as JSON lines."""
    encoder = msgspec.json.Encoder()
    with path.open("wb") as file:
        for row in rows:
            file.write(encoder.encode(row) + b"\n")


def read_rows(path: Path) -> list[Row]:
    """Reads rows written by `write_rows`; raises ValueError with the line number of an invalid one."""
    decoder = msgspec.json.Decoder(Row)
    rows: list[Row] = []
    for number, line in enumerate(path.read_bytes().splitlines(), 1):
        try:
            rows.append(decoder.decode(line))
        except msgspec.DecodeError as error:
            raise ValueError(f"{path}:{number}: {error}") from None
    return rows
