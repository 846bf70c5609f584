"""The simulator's wire: its names and microseconds on one side, our words and nanoseconds on the other."""

from __future__ import annotations

from collections.abc import Iterator
from typing import Any

import msgspec
from msgspec import UNSET, Struct, UnsetType

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
from valverouter.terms.options import MalformedInputError, Options, deployment

__all__ = ["MalformedInputError", "Options", "deployment"]

US = 1_000
MS = 1_000_000
IN_TRANSIT, WAS_CUT = 8, 16
NOTE_NO_AGENT, NOTE_LINE_BUSY = 1, 4
SCOPES = {
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
    phase: str
    server: str
    number: int
    readyAtUs: int = 0


class Page(Struct):
    page: int
    rows: list[Row]


class PowerOn(Struct):
    proxyId: str
    seed: int
    options: Options


class ProxyOnly(Struct):
    proxyId: str


class Sync(Struct):
    proxyId: str
    scope: str
    page: int = 0


class Knock(Struct):
    proxyId: str
    msgId: str
    dropDeadUs: int
    priority: str
    nameKey: int = 0
    dest: int = -1
    flags: int = 0


class Accepted(Struct):
    proxyId: str
    msgId: str
    n: int
    server: str
    durationUs: int


class AttemptEnd(Struct):
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
    proxyId: str
    msgId: str


class Fired(Struct):
    proxyId: str
    ref: int


class HealthResult(Struct):
    proxyId: str
    server: str
    result: int
    durationUs: int = 0
    feedback: list[float] = []


class Envelope(Struct):
    """One message: exactly one of these is set."""

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
    tsUs: int
    input: list[Envelope]


Message = (
    Page | PowerOn | ProxyOnly | Sync | Knock | Accepted | AttemptEnd | ClientGone | Fired | HealthResult
)
_batches = msgspec.json.Decoder(Batch)


def read_batch(line: bytes) -> tuple[int, Iterator[tuple[str, Message]]]:
    """The batch's clock and its messages by name; MalformedInputError names the message and the field."""
    try:
        batch = _batches.decode(line)
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        raise MalformedInputError(str(error)) from None
    return batch.tsUs * US, _messages(batch.input)


def _messages(envelopes: list[Envelope]) -> Iterator[tuple[str, Message]]:
    for at, envelope in enumerate(envelopes):
        held = [
            (name, value)
            for name in Envelope.__struct_fields__
            if (value := getattr(envelope, name)) is not UNSET
        ]
        if len(held) != 1:
            raise MalformedInputError(
                f"input[{at}]: a message holds exactly one known name, this one {len(held)}"
            )
        yield held[0]


def scope(message: Sync) -> EndpointUpdateKind:
    try:
        return SCOPES[message.scope]
    except KeyError:
        raise MalformedInputError(f"sync: scope is {message.scope!r}") from None


def entries(rows: list[Row]) -> list[Endpoint]:
    return [Endpoint(r.server, r.number, r.phase == "in_service", r.readyAtUs * US) for r in rows]


def dialog(message: Knock) -> Dialog:
    return Dialog(
        id=message.msgId,
        traffic_type=message.priority,
        deadline=message.dropDeadUs * US,
        preferred_server_number=message.dest,
        called_number=message.nameKey,
        was_interrupted=bool(message.flags & WAS_CUT),
        in_transit=bool(message.flags & IN_TRANSIT),
    )


def standing(message: Accepted) -> AttemptResult:
    return AttemptResult(
        message.msgId, message.n, message.server, Outcome.ESTABLISHED, message.durationUs * US
    )


def leg_end(message: AttemptEnd, fields: list[str]) -> AttemptResult:
    if not 0 <= message.result < len(OUTCOMES):
        raise MalformedInputError(f"attemptEnd: result is {message.result}")
    outcome = OUTCOMES[message.result]
    if outcome is Outcome.FAULT and message.why % 16 == NOTE_LINE_BUSY:
        outcome = Outcome.LINE_BUSY
    if outcome is Outcome.FULL and message.why % 16 == NOTE_NO_AGENT:
        outcome = Outcome.NO_AGENT
    return AttemptResult(
        dialog_id=message.msgId,
        attempt=message.n,
        server=message.server,
        outcome=outcome,
        delay=message.durationUs * US,
        retry_after=message.why // 16 * MS if outcome is Outcome.FULL and message.why % 16 == 3 else 0,
        dialog_closed=message.closed,
        load_report=report(message.feedback, fields),
    )


def report(row: list[float], fields: list[str]) -> LoadReport:
    told = {name: value for name, value in zip(fields, row, strict=False) if value >= 0}
    wait = told.get("recent_ms")
    return LoadReport(
        free_lines=told.get("idle"),
        lines=told.get("circuits"),
        queue_delay=None if wait is None else round(wait * MS),
    )


def step(proxy: str, command: Command) -> dict[str, Any]:
    """One command as an action of the wire; microseconds are rounded so that no wait gets shorter."""
    match command:
        case DialogAction(dialog_id=id_, action=StartAttempt(server=server, deadline=until)):
            body = {"proxyId": proxy, "msgId": id_, "server": server, "untilUs": until // US}
            return {"forward": body}
        case DialogAction(dialog_id=id_, action=Reject(retry_after=come_back)):
            return {"notNow": {"proxyId": proxy, "msgId": id_, "coolDownUs": come_back // US}}
        case DialogAction(dialog_id=id_, action=CancelAttempt(attempt=leg)):
            return {"dropAttempt": {"proxyId": proxy, "msgId": id_, "n": leg}}
        case DialogAction(dialog_id=id_, action=Fail()):
            return {"surrender": {"proxyId": proxy, "msgId": id_}}
        case Timer(duration=span, timer_id=ref):
            return {"setAlarm": {"proxyId": proxy, "spanUs": -(-span // US), "ref": ref}}
        case Subscribe():
            return {"watch": {"proxyId": proxy, "enable": True}}
    raise AssertionError(command)


def fatal(proxy: str, text: str) -> dict[str, Any]:
    return {"fatal": {"proxyId": proxy, "message": text}}


def write_reply(steps: list[dict[str, Any]]) -> bytes:
    return msgspec.json.encode({"steps": steps}) + b"\n"
