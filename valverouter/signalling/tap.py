"""What passed over a stream, as rows: written by whoever holds the far end, read by the audit.

A row says when bytes left or reached the socket at that end, never what anybody meant by them. `at` is whole
nanoseconds of one clock for all rows of a record; `seq` orders rows of the same moment.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from pathlib import Path
from typing import Any

import msgspec
from msgspec import Struct


class Passed(Struct, tag_field="row", tag="passed", frozen=True, omit_defaults=True):
    """A message between `edge` and `peer` (caller, server): `sent` by the peer, else heard by it."""

    seq: int
    at: int
    edge: str
    peer: str
    sent: bool
    kind: str
    dialog: str = ""
    leg: int = 0
    span: int = 0
    word: str = ""


class Told(Struct, tag_field="row", tag="told", frozen=True):
    """The list service told an edge of a server's phase."""

    seq: int
    at: int
    edge: str
    server: str
    phase: str


class Lost(Struct, tag_field="row", tag="lost", frozen=True):
    """The connection between `edge` and `peer` ended."""

    seq: int
    at: int
    edge: str
    peer: str


class Began(Struct, tag_field="row", tag="began", frozen=True):
    """A server's process started; what it can do then, and what pushes it over while it is cold."""

    seq: int
    at: int
    server: str
    setup_work: int
    cold_share: float
    warm_after: int
    tip_multiple: float
    tip_span: int


class Fault(Struct, tag_field="row", tag="fault", frozen=True):
    """A trouble that was caused on purpose to `target` from `at` until `until`."""

    seq: int
    at: int
    until: int
    kind: str
    target: str


class Placed(Struct, tag_field="row", tag="placed", frozen=True):
    """In which region an edge proxy or a server stands."""

    seq: int
    at: int
    name: str
    region: str


class Opened(Struct, tag_field="row", tag="opened", frozen=True):
    """The day's callers begin: what a record's moments are counted from."""

    seq: int
    at: int


class Terms(Struct, tag_field="row", tag="terms", frozen=True):
    """What the audit holds the fleet to, and the clock's looseness: 0 in virtual time."""

    seq: int
    at: int
    release_wait: int
    slack: int
    objectives: dict[str, int]
    importance: dict[str, float]


class Ran(Struct, tag_field="row", tag="ran", frozen=True):
    """An edge proxy's process that keeps a view: its `life`, and whether it began or ended here."""

    seq: int
    at: int
    edge: str
    life: str
    begins: bool


class Found(Struct, tag_field="row", tag="found", frozen=True):
    """What an edge proxy (its `life`) says that it found of `member`, another life or its own."""

    seq: int
    at: int
    edge: str
    life: str
    what: str
    member: str
    member_life: str


class Viewed(Struct, tag_field="row", tag="viewed", frozen=True):
    """An edge proxy's view when it was asked: who lives, by name with its life, and how far it trusts it."""

    seq: int
    at: int
    edge: str
    life: str
    digest: str
    trust: str
    members: dict[str, str]


class Settles(Struct, tag_field="row", tag="settles", frozen=True):
    """Within so many ns after the last fault all views are to be one; asked every `every` ns."""

    seq: int
    at: int
    within: int
    every: int


class Limited(Struct, tag_field="row", tag="limited", frozen=True):
    """How many edge proxies may be out by orders at once, in all and in a region."""

    seq: int
    at: int
    most: int
    in_region: int


class Turned(Struct, tag_field="row", tag="turned", frozen=True):
    """From a keeper's own log: a turn was begun (`outcome` empty) or is over. `up`: whether its instance is
    to run after it."""

    seq: int
    at: int
    edge: str
    number: int
    step: int
    up: bool
    outcome: str = ""


class Runs(Struct, tag_field="row", tag="runs", frozen=True):
    """From a keeper's own log: its program was started by a version, or has ended (empty)."""

    seq: int
    at: int
    edge: str
    version: str


class Ordered(Struct, tag_field="row", tag="ordered", frozen=True):
    """What the fleet tells of an order in the end: by instance its step, the permit's number and the version
    that it had before."""

    seq: int
    at: int
    order: str
    kind: str
    version: str
    phase: str
    result: str
    members: dict[str, tuple[str, int, str]]


Row = (
    Passed
    | Told
    | Lost
    | Began
    | Fault
    | Placed
    | Opened
    | Terms
    | Ran
    | Found
    | Viewed
    | Settles
    | Limited
    | Turned
    | Runs
    | Ordered
)


class Tap:
    """Collects rows in their order."""

    def __init__(self, now: Callable[[], int]) -> None:
        self.now = now
        self.rows: list[Row] = []

    def row(self, sort: type[Any], **fields: Any) -> None:
        self.rows.append(sort(seq=len(self.rows), at=self.now(), **fields))

    def message(self, edge: str, peer: str, sent: bool, message: Any) -> None:
        self.row(
            Passed,
            edge=edge,
            peer=peer,
            sent=sent,
            kind=type(message).__struct_config__.tag,
            dialog=getattr(message, "dialog", ""),
            leg=getattr(message, "leg", 0),
            span=next(
                (
                    getattr(message, key)
                    for key in ("no_answer", "come_back", "asked_wait")
                    if hasattr(message, key)
                ),
                0,
            ),
            word=next(
                (
                    getattr(message, key)
                    for key in ("traffic_type", "reason", "server")
                    if hasattr(message, key)
                ),
                "",
            ),
        )


def write(path: Path, rows: Iterable[Row]) -> None:
    """Rows as JSON lines."""
    encoder = msgspec.json.Encoder()
    with path.open("wb") as file:
        for row in rows:
            file.write(encoder.encode(row) + b"\n")


def read(path: Path) -> list[Row]:
    """Rows as written; ValueError names the line that is not one."""
    decoder = msgspec.json.Decoder(Row)
    rows: list[Row] = []
    for at, line in enumerate(path.read_bytes().splitlines(), 1):
        try:
            rows.append(decoder.decode(line))
        except msgspec.DecodeError as error:
            raise ValueError(f"{path}:{at}: {error}") from None
    return rows
