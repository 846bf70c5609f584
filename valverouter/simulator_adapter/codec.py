"""The simulator's wire format and its conversion to the types of valverouter.interface.

Field names are those on the wire. Times are in microseconds on the wire and in nanoseconds in our types.
"""

from __future__ import annotations

from collections.abc import Iterator
from typing import Any

import msgspec
from msgspec import UNSET, Struct, UnsetType

from valverouter.config.options import MalformedInputError, Options, deployment
from valverouter.interface import (
    AttemptResult,
    CancelAttempt,
    Command,
    Dialog,
    DialogAction,
    Endpoint,
    EndpointUpdateKind,
    Fail,
    LoadReport,
    Outcome,
    Reject,
    StartAttempt,
    Subscribe,
    Timer,
)

__all__ = ["MalformedInputError", "Options", "deployment"]

NS_PER_US = 1_000
NS_PER_MS = 1_000_000
FLAG_IN_TRANSIT, FLAG_INTERRUPTED = 8, 16
NOTE_NO_AGENT, NOTE_RETRY_AFTER, NOTE_LINE_BUSY = 1, 3, 4
UPDATE_KINDS = {
    "D": EndpointUpdateKind.INCREMENTAL,
    "F": EndpointUpdateKind.COMPLETE,
    "C": EndpointUpdateKind.CACHED,
    "X": EndpointUpdateKind.FAILED,
}
OUTCOMES = (
    Outcome.FAULT,
    Outcome.ENDED,
    Outcome.FULL,
    Outcome.TIMED_OUT,
    Outcome.UNREACHABLE,
    Outcome.RESET,
    Outcome.CANCELLED,
    Outcome.NOT_SENT,
)


class Row(Struct):
    """One server of the endpoint list."""

    phase: str
    server: str
    number: int
    readyAtUs: int = 0


class Page(Struct):
    """A numbered page of the endpoint list, referred to by `Sync`."""

    page: int
    rows: list[Row]


class PowerOn(Struct):
    """Starts an edge proxy."""

    proxyId: str
    seed: int
    options: Options


class ProxyOnly(Struct):
    """A message to one edge proxy with no other field."""

    proxyId: str


class Sync(Struct):
    """An update of the endpoint list; `scope` is a key of UPDATE_KINDS."""

    proxyId: str
    scope: str
    page: int = 0


class Knock(Struct):
    """A caller's dialog request; `flags`: FLAG_IN_TRANSIT and FLAG_INTERRUPTED."""

    proxyId: str
    msgId: str
    dropDeadUs: int
    priority: str
    nameKey: int = 0
    dest: int = -1
    flags: int = 0


class Accepted(Struct):
    """Attempt `n` of a dialog is established."""

    proxyId: str
    msgId: str
    n: int
    server: str
    durationUs: int


class AttemptEnd(Struct):
    """Attempt `n` of a dialog has ended; `result` is an index into OUTCOMES.

    `why`: a NOTE_ constant in the low four bits, a retry delay in milliseconds in the bits above.
    """

    proxyId: str
    msgId: str
    n: int
    server: str
    result: int
    durationUs: int = 0
    why: int = 0
    closed: bool = False
    feedback: list[float] = []


class ClientGone(Struct):
    """The caller of a dialog has disconnected."""

    proxyId: str
    msgId: str


class Fired(Struct):
    """A timer has expired."""

    proxyId: str
    ref: int


class HealthResult(Struct):
    """A server's load report."""

    proxyId: str
    server: str
    result: int
    durationUs: int = 0
    feedback: list[float] = []


class Envelope(Struct):
    """One message: exactly one field is set."""

    snapshotRows: Page | UnsetType = UNSET
    powerOn: PowerOn | UnsetType = UNSET
    destroy: ProxyOnly | UnsetType = UNSET
    sync: Sync | UnsetType = UNSET
    knock: Knock | UnsetType = UNSET
    accepted: Accepted | UnsetType = UNSET
    attemptEnd: AttemptEnd | UnsetType = UNSET
    clientGone: ClientGone | UnsetType = UNSET
    fired: Fired | UnsetType = UNSET
    healthResult: HealthResult | UnsetType = UNSET
    noteFrom: ProxyOnly | UnsetType = UNSET


class Batch(Struct):
    """Simultaneous messages."""

    tsUs: int
    input: list[Envelope]


Message = (
    Page | PowerOn | ProxyOnly | Sync | Knock | Accepted | AttemptEnd | ClientGone | Fired | HealthResult
)
_batches = msgspec.json.Decoder(Batch)


def read_batch(line: bytes) -> tuple[int, Iterator[tuple[str, Message]]]:
    """Returns a batch's time in ns and its named messages; raises MalformedInputError if it is invalid."""
    try:
        batch = _batches.decode(line)
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        raise MalformedInputError(str(error)) from None
    return batch.tsUs * NS_PER_US, _messages(batch.input)


def _messages(envelopes: list[Envelope]) -> Iterator[tuple[str, Message]]:
    for index, envelope in enumerate(envelopes):
        present = [
            (name, value)
            for name in Envelope.__struct_fields__
            if (value := getattr(envelope, name)) is not UNSET
        ]
        if len(present) != 1:
            raise MalformedInputError(
                f"input[{index}]: expected exactly one known message name, found {len(present)}"
            )
        yield present[0]


def update_kind(message: Sync) -> EndpointUpdateKind:
    """Returns the kind of an update; raises MalformedInputError if it is unknown."""
    try:
        return UPDATE_KINDS[message.scope]
    except KeyError:
        raise MalformedInputError(f"sync: unknown scope {message.scope!r}") from None


def endpoints(rows: list[Row]) -> list[Endpoint]:
    """Converts the rows of a page."""
    return [Endpoint(r.server, r.number, r.phase == "in_service", r.readyAtUs * NS_PER_US) for r in rows]


def dialog(message: Knock) -> Dialog:
    """Converts a dialog request."""
    return Dialog(
        id=message.msgId,
        traffic_type=message.priority,
        deadline=message.dropDeadUs * NS_PER_US,
        preferred_server_number=message.dest,
        called_number=message.nameKey,
        was_interrupted=bool(message.flags & FLAG_INTERRUPTED),
        in_transit=bool(message.flags & FLAG_IN_TRANSIT),
    )


def attempt_established(message: Accepted) -> AttemptResult:
    """Converts the result of an attempt that is established."""
    return AttemptResult(
        message.msgId, message.n, message.server, Outcome.ESTABLISHED, message.durationUs * NS_PER_US
    )


def attempt_result(message: AttemptEnd, fields: list[str]) -> AttemptResult:
    """Converts the result of an attempt that has ended; `fields` names the values in its load report."""
    if not 0 <= message.result < len(OUTCOMES):
        raise MalformedInputError(f"attemptEnd: unknown result {message.result}")
    outcome = OUTCOMES[message.result]
    retry_after_ms, note = divmod(message.why, 16)
    if outcome is Outcome.FAULT and note == NOTE_LINE_BUSY:
        outcome = Outcome.LINE_BUSY
    if outcome is Outcome.FULL and note == NOTE_NO_AGENT:
        outcome = Outcome.NO_AGENT
    advises_retry = outcome is Outcome.FULL and note == NOTE_RETRY_AFTER
    return AttemptResult(
        dialog_id=message.msgId,
        attempt=message.n,
        server=message.server,
        outcome=outcome,
        delay=message.durationUs * NS_PER_US,
        retry_after=retry_after_ms * NS_PER_MS if advises_retry else 0,
        dialog_closed=message.closed,
        load_report=load_report(message.feedback, fields),
    )


def load_report(row: list[float], fields: list[str]) -> LoadReport:
    """Converts a load report with the values named by `fields`; negative values are not reported."""
    values = {name: value for name, value in zip(fields, row, strict=False) if value >= 0}
    wait = values.get("recent_ms")
    return LoadReport(
        free_lines=values.get("idle"),
        lines=values.get("circuits"),
        queue_delay=None if wait is None else round(wait * NS_PER_MS),
    )


def encode_command(proxy: str, command: Command) -> dict[str, Any]:
    """Encodes a command as a step of the reply; a timer's duration is rounded up to microseconds."""
    match command:
        case DialogAction(dialog_id=id_, action=StartAttempt(server=server, deadline=deadline)):
            body = {"proxyId": proxy, "msgId": id_, "server": server, "untilUs": deadline // NS_PER_US}
            return {"forward": body}
        case DialogAction(dialog_id=id_, action=Reject(retry_after=retry_after)):
            return {"notNow": {"proxyId": proxy, "msgId": id_, "coolDownUs": retry_after // NS_PER_US}}
        case DialogAction(dialog_id=id_, action=CancelAttempt(attempt=attempt)):
            return {"dropAttempt": {"proxyId": proxy, "msgId": id_, "n": attempt}}
        case DialogAction(dialog_id=id_, action=Fail()):
            return {"surrender": {"proxyId": proxy, "msgId": id_}}
        case Timer(duration=duration, timer_id=timer_id):
            return {"setAlarm": {"proxyId": proxy, "spanUs": -(-duration // NS_PER_US), "ref": timer_id}}
        case Subscribe():
            return {"watch": {"proxyId": proxy, "enable": True}}
    raise AssertionError(command)


def encode_fatal(proxy: str, text: str) -> dict[str, Any]:
    """Encodes the failure of an edge proxy as a step of the reply."""
    return {"fatal": {"proxyId": proxy, "message": text}}


def write_reply(steps: list[dict[str, Any]]) -> bytes:
    """Encodes the reply to a batch as a line."""
    return msgspec.json.encode({"steps": steps}) + b"\n"
