"""Conversion between the platform's messages and those of valverouter.signalling, without I/O."""

from __future__ import annotations

from collections.abc import Mapping
from typing import ClassVar

import msgspec

from valverouter.interface import Deployment
from valverouter.platform_protocol import isup, lines
from valverouter.platform_protocol.bus import Host
from valverouter.signalling import setup
from valverouter.signalling.framing import ProtocolError
from valverouter.signalling.serverlist import EndpointRow, ServerPhase

NS_PER_MS = 10**6

# Release causes as in ITU-T Q.850. A rejected attempt may safely be retried, a failed one may not.
CAUSE_ENDED, CAUSE_BUSY, CAUSE_NO_CIRCUIT, CAUSE_INTERRUPTED, CAUSE_CONGESTION = 16, 17, 34, 41, 42
CAUSE_FAULT, CAUSE_INVALID_REQUEST = 47, 100
PHASES: dict[str, ServerPhase] = {"Ready": "in-service", "Gone": "gone"}
MAX_DESCRIPTION_LENGTH = 12 * 1024
NO_DIALOG_ID = "0" * 16


class PlatformSetup(setup.Setup, frozen=True, kw_only=True):
    """A set-up with the fields forwarded unchanged: the called number and the session description."""

    key: str
    description: str


class EstablishedWithDescription(setup.Established, frozen=True, kw_only=True):
    """A server's answer with its session description, which is forwarded to the caller unchanged."""

    answer_name: ClassVar[str] = "answered"

    description: str


class EstablishedDialog(msgspec.Struct, frozen=True, rename={"setup": "asked"}):
    """A dialog established at a server, as reported by its caller to an edge proxy that may not know it."""

    setup: PlatformSetup
    server: str


def parse_setup(
    message: isup.Message, deployment: Deployment, widths: Mapping[str, int]
) -> PlatformSetup | EstablishedDialog:
    """Parses and validates a caller's set-up or report; raises ProtocolError if it is invalid.

    Invalid set-ups must not be forwarded: a server closes the connection, with all attempts on it.
    """
    if message.id == NO_DIALOG_ID:
        # Servers close the connection on such a set-up. In a run with faulty callers this happened 45 times,
        # each a reset of all attempts on the connection, which counted as failures of the server.
        raise ProtocolError("malformed", "a set-up without an id")
    parameters = message.parameters
    routing_fields = isup.parse_routing_fields(parameters.get(isup.ROUTING_FIELDS, b""))
    traffic_type = _ascii_parameter(parameters, isup.TRAFFIC_TYPE)
    time_left, key = _ascii_parameter(parameters, isup.TIME_LEFT), _ascii_parameter(parameters, isup.CALLED)
    description = _description(parameters)
    if traffic_type not in deployment.traffic_types:
        raise ProtocolError("unknown-class", f"unknown class {traffic_type[:40]!r}")
    _check_values(time_left, key, description)
    preferred = _preferred_server(routing_fields, traffic_type, deployment)
    width = _parse_integer(routing_fields, "width", 1)
    if width != widths.get(traffic_type, width) or width < 1:
        raise ProtocolError("malformed", f"class {traffic_type} with invalid width {width}")
    _parse_integer(routing_fields, "via", -1)
    request = PlatformSetup(
        dialog=message.id,
        traffic_type=traffic_type,
        time_left=int(time_left) * NS_PER_MS,
        preferred_server_number=preferred,
        called_number=int(key, 16),
        was_interrupted=_parse_integer(routing_fields, "again", 0) == 1,
        key=key,
        description=description,
    )
    return EstablishedDialog(request, routing_fields["at"]) if "at" in routing_fields else request


def _description(parameters: dict[int, bytes]) -> str:
    try:
        return parameters.get(isup.DESCRIPTION, b"").decode()
    except UnicodeDecodeError:
        raise ProtocolError("malformed", "the session description is not UTF-8") from None


def _check_values(time_left: str, key: str, description: str) -> None:
    is_number = time_left.isascii() and time_left.isdigit() and len(time_left) < 8
    if not (is_number and 0 < int(time_left) * NS_PER_MS <= setup.MAX_DURATION):
        raise ProtocolError("malformed", f"invalid time left {time_left[:40]!r}")
    if len(key) != 16 or not set(key) <= set("0123456789abcdef"):
        raise ProtocolError("malformed", f"invalid called number {key[:40]!r}")
    if not 0 < len(description) <= MAX_DESCRIPTION_LENGTH:
        raise ProtocolError("malformed", f"session description of {len(description)} characters")


def _preferred_server(routing_fields: dict[str, str], traffic_type: str, deployment: Deployment) -> int:
    """Returns the number of the preferred server, -1 for any.

    A server that does not serve the traffic type answers 'error', and the retries would use up tokens. So
    such a preference is an error here.
    """
    preferred = _parse_integer(routing_fields, "dest", -1)
    numbers = deployment.traffic_types[traffic_type].server_numbers
    if preferred >= 0 and numbers is not None and preferred not in numbers:
        raise ProtocolError("malformed", f"class {traffic_type} is not served by server {preferred}")
    return preferred


def _ascii_parameter(parameters: dict[int, bytes], code: int) -> str:
    try:
        return parameters.get(code, b"").decode("ascii")
    except UnicodeDecodeError:
        raise ProtocolError("malformed", f"parameter {code} is not ASCII") from None


def _parse_integer(routing_fields: dict[str, str], name: str, default: int) -> int:
    text = routing_fields.get(name)
    if text is None:
        return default
    digits = text.removeprefix("-")
    if not (digits.isdigit() and len(digits) < 10) or int(text) < -1:
        raise ProtocolError("malformed", f"invalid routing field {name}:{text[:40]}")
    return int(text)


def encode_for_caller(message: setup.LegMessage) -> bytes:
    """Encodes an answer or a release for a caller; empty if the platform's protocol has no such message."""
    id_ = message.dialog
    match message:
        case EstablishedWithDescription(description=description):
            return isup.encode(isup.ANM, id_, {isup.DESCRIPTION: description.encode()})
        case setup.Rejected(retry_after=retry_after):
            return isup.encode_release(id_, CAUSE_CONGESTION, -(-retry_after // NS_PER_MS))
        case setup.Failed(reason="cancelled" | "caller-gone"):
            return b""
        case setup.Failed():
            return isup.encode_release(id_, CAUSE_INTERRUPTED)
        case setup.Ended(reason="cut"):
            return isup.encode_release(id_, CAUSE_INTERRUPTED)
        case setup.Ended():
            return isup.encode_release(id_, CAUSE_ENDED)
    return b""


def encode_for_server(message: PlatformSetup) -> bytes:
    """Encodes a set-up for a server."""
    time_left_ms = max(1, message.time_left // NS_PER_MS)
    return lines.encode_setup(
        message.dialog, message.traffic_type, message.key, time_left_ms, message.description
    )


def parse_rejection(line: lines.Line, leg: int) -> setup.LegMessage | None:
    """Converts a server's release of an unanswered set-up; None if the attempt counts as a reset.

    A server that releases a set-up as ended has answered it: the answer is late or lost.
    """
    if line.cause == CAUSE_ENDED:
        return setup.Ended(line.id, leg, "over", parse_load(line))
    note = line.fields.get("note")
    if line.cause == CAUSE_NO_CIRCUIT:
        report = parse_load(line)
        return (
            setup.NoAgent(line.id, leg, report) if note == "no_path" else setup.Full(line.id, leg, 0, report)
        )
    if line.cause in (CAUSE_BUSY, CAUSE_FAULT):
        report = parse_load(line)
        if note == "line_taken":
            return setup.LineBusy(line.id, leg, report)
        return setup.Fault(line.id, leg, "", report)
    return None


# The two alternative names of each value in a load report.
_FREE_LINES_KEYS, _LINES_KEYS, _QUEUE_DELAY_KEYS, _UTILIZATION_KEYS, _QUEUE_LENGTH_KEYS = (
    ("x0", "idle"),
    ("x1", "circuits"),
    ("latency_ms", "recent_ms"),
    ("util", "utilization"),
    ("queue", "backlog"),
)


def parse_load(line: lines.Line) -> setup.Load | None:
    """Returns the load report of a message, None if it has none; negative values count as not reported."""
    text = line.fields.get("load")
    if not isinstance(text, str):
        return None
    values = lines.parse_load(text)

    def value(names: tuple[str, str]) -> float | None:
        return next((values[name] for name in names if name in values), None)

    free, total, wait, queue = (
        value(_FREE_LINES_KEYS),
        value(_LINES_KEYS),
        value(_QUEUE_DELAY_KEYS),
        value(_QUEUE_LENGTH_KEYS),
    )
    return setup.Load(
        utilization=value(_UTILIZATION_KEYS),
        queue_length=None if queue is None else int(queue),
        free_lines=None if free is None else int(free),
        lines=None if total is None else int(total),
        queue_delay=None if wait is None else round(wait * NS_PER_MS),
    )


def endpoint_row(host: Host, now: int) -> EndpointRow:
    """Converts a server of the event bus; `now`: Unix time in nanoseconds."""
    return EndpointRow(
        server=host.host,
        number=host.block,
        phase=PHASES.get(host.health, "draining"),
        address=host.dial,
        region=host.site,
        incarnation=host.born_ms,
        age=max(0, now - host.born_ms * NS_PER_MS) if host.born_ms else None,
    )
