"""Translation between the platform's messages and ours. No I/O, nothing decided."""

from __future__ import annotations

from collections.abc import Mapping

import msgspec

from valverouter.interface import Deployment
from valverouter.relaywire import isup, lines
from valverouter.relaywire.bus import Host
from valverouter.signalling import setup
from valverouter.signalling.framing import ProtocolError
from valverouter.signalling.serverlist import PhaseWord, Row

MS = 10**6

# Causes, after ITU-T Q.850. What is refused may harmlessly come again, what failed may not.
ENDED, BUSY, NO_CIRCUIT, CUT, CONGESTED = 16, 17, 34, 41, 42
FAULT, UNUSABLE = 47, 100
PHASES: dict[str, PhaseWord] = {"Ready": "in-service", "Gone": "gone"}
MAX_DESCRIPTION = 12 * 1024
NO_DIALOG = "0" * 16


class RelaySetup(setup.Setup, frozen=True, kw_only=True):
    """A set-up with what goes on unchanged: the number called as it was written, and the description."""

    key: str
    description: str


class Answered(setup.Stands, frozen=True, kw_only=True):
    """A server's answer with its description, which goes to the caller byte for byte."""

    description: str


class EstablishedDialog(msgspec.Struct, frozen=True, rename={"setup": "asked"}):
    """A dialog that is established at a server, as its caller reports to an edge proxy that may not know."""

    setup: RelaySetup
    server: str


def parse_setup(
    message: isup.Message, deployment: Deployment, widths: Mapping[str, int]
) -> RelaySetup | EstablishedDialog:
    """A caller's set-up, checked; ProtocolError says what is not sound.

    A server closes its whole connection on what it can't read, whatever else is open there, so nothing that
    is not sound may go on.
    """
    if message.id == NO_DIALOG:
        # Servers close the connection on it: on a day of bad callers 45 did, each a reset for the attempts
        # there and a server taken for ailing.
        raise ProtocolError("malformed", "a set-up without an id")
    parameters = message.parameters
    figures = isup.figures(parameters.get(isup.FIGURES, b""))
    traffic_type = _text(parameters, isup.CLASS)
    time_left, key = _text(parameters, isup.LEFT), _text(parameters, isup.CALLED)
    description = _description(parameters)
    if traffic_type not in deployment.traffic_types:
        raise ProtocolError("unknown-class", f"class {traffic_type[:40]!r}")
    _check_values(time_left, key, description)
    preferred = _preferred_server(figures, traffic_type, deployment)
    width = _figure(figures, "width", 1)
    if width != widths.get(traffic_type, width) or width < 1:
        raise ProtocolError("malformed", f"{traffic_type} with width {width}")
    _figure(figures, "via", -1)
    request = RelaySetup(
        dialog=message.id,
        traffic_type=traffic_type,
        no_answer=int(time_left) * MS,
        first_choice=preferred,
        called_number=int(key, 16),
        was_cut=_figure(figures, "again", 0) == 1,
        key=key,
        description=description,
    )
    return EstablishedDialog(request, figures["at"]) if "at" in figures else request


def _description(parameters: dict[int, bytes]) -> str:
    try:
        return parameters.get(isup.DESCRIPTION, b"").decode()
    except UnicodeDecodeError:
        raise ProtocolError("malformed", "a description that is no text") from None


def _check_values(time_left: str, key: str, description: str) -> None:
    is_number = time_left.isascii() and time_left.isdigit() and len(time_left) < 8
    if not (is_number and 0 < int(time_left) * MS <= setup.HOUR):
        raise ProtocolError("malformed", f"time {time_left[:40]!r}")
    if len(key) != 16 or not set(key) <= set("0123456789abcdef"):
        raise ProtocolError("malformed", f"number {key[:40]!r}")
    if not 0 < len(description) <= MAX_DESCRIPTION:
        raise ProtocolError("malformed", f"a description of {len(description)} characters")


def _preferred_server(figures: dict[str, str], traffic_type: str, deployment: Deployment) -> int:
    """The number of the server to be tried first; -1: any.

    Servers answer 'error' to what a class can't have: each costs a token of the retry budget that is meant
    for good callers' dialogs.
    """
    preferred = _figure(figures, "dest", -1)
    numbers = deployment.traffic_types[traffic_type].server_numbers
    if preferred >= 0 and numbers is not None and preferred not in numbers:
        raise ProtocolError("malformed", f"{traffic_type} with first choice {preferred}")
    return preferred


def _text(parameters: dict[int, bytes], code: int) -> str:
    try:
        return parameters.get(code, b"").decode("ascii")
    except UnicodeDecodeError:
        raise ProtocolError("malformed", f"parameter {code} is no ASCII") from None


def _figure(figures: dict[str, str], name: str, absent: int) -> int:
    text = figures.get(name)
    if text is None:
        return absent
    digits = text.removeprefix("-")
    if not (digits.isdigit() and len(digits) < 10) or int(text) < -1:
        raise ProtocolError("malformed", f"figure {name}:{text[:40]}")
    return int(text)


def to_caller(message: setup.OfLeg) -> bytes:
    """An answer or an end as bytes for the caller's connection; empty: there is no such message there."""
    id_ = message.dialog
    match message:
        case Answered(description=description):
            return isup.write(isup.ANM, id_, {isup.DESCRIPTION: description.encode()})
        case setup.Declined(come_back=come_back):
            return isup.release(id_, CONGESTED, -(-come_back // MS))
        case setup.Aborted(reason="cancelled" | "caller-gone"):
            return b""
        case setup.Aborted():
            return isup.release(id_, CUT)
        case setup.Ended(reason="cut"):
            return isup.release(id_, CUT)
        case setup.Ended():
            return isup.release(id_, ENDED)
    return b""


def to_server(message: RelaySetup) -> bytes:
    """A set-up as bytes for a server's connection."""
    left = max(1, message.no_answer // MS)
    return lines.setup(message.dialog, message.traffic_type, message.key, left, message.description)


def parse_rejection(line: lines.Line, leg: int) -> setup.OfLeg | None:
    """A server's release before its answer; None where the set-up was lost on its way: a reset."""
    note = line.fields.get("note")
    if line.cause == NO_CIRCUIT:
        report = parse_load(line)
        return (
            setup.NoAgent(line.id, leg, report) if note == "no_path" else setup.Full(line.id, leg, 0, report)
        )
    if line.cause in (BUSY, FAULT):
        report = parse_load(line)
        if note == "line_taken":
            return setup.LineBusy(line.id, leg, report)
        return setup.Fault(line.id, leg, "", report)
    return None


# What a report's figures are called, by the settings and on the sockets.
_FREE, _LINES, _WAIT, _UTIL, _QUEUE = (
    ("x0", "idle"),
    ("x1", "circuits"),
    ("latency_ms", "recent_ms"),
    ("util", "utilization"),
    ("queue", "backlog"),
)


def parse_load(line: lines.Line) -> setup.Load | None:
    """The load report that came with a message; None: none came. A figure of -1 is not known."""
    text = line.fields.get("load")
    if not isinstance(text, str):
        return None
    figures = lines.load(text)

    def figure(names: tuple[str, str]) -> float | None:
        return next((figures[name] for name in names if name in figures), None)

    free, total, wait, queue = figure(_FREE), figure(_LINES), figure(_WAIT), figure(_QUEUE)
    return setup.Load(
        util=figure(_UTIL),
        queue=None if queue is None else int(queue),
        free_lines=None if free is None else int(free),
        lines=None if total is None else int(total),
        wait=None if wait is None else round(wait * MS),
    )


def endpoint_row(host: Host, now: int) -> Row:
    """A server of the list; `now` is the system's Unix clock, by which starts are told."""
    return Row(
        server=host.host,
        number=host.block,
        phase=PHASES.get(host.health, "draining"),
        address=host.dial,
        region=host.site,
        incarnation=host.born_ms,
        age=max(0, now - host.born_ms * MS) if host.born_ms else None,
    )
