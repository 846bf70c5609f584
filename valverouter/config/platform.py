"""Configuration of an edge proxy on the operators' platform: converts its JSON file to an EdgeConfig.

Features that the platform does not support (a cached endpoint list, usage accounting, a ledger) are disabled.
"""

from __future__ import annotations

import msgspec
from msgspec import Struct

from valverouter.config.edge import EdgeConfig, LinkConfig, LogConfig
from valverouter.config.ini import is_host_and_port
from valverouter.config.options import US, MalformedInputError, Options, deployment

MS, SECOND = 10**6, 10**9

# Subtracted from a dialog's no-answer time, so that a last-moment answer still arrives in time.
ANSWER_MARGIN = 50 * MS
# Duration of a long poll of the event bus. A stopped bus is detected by the missing answer, so a shorter poll
# detects it sooner.
BUS_POLL_TIMEOUT = 2 * SECOND
# How much longer than the poll its answer may take before another connection is polled.
BUS_ANSWER_MARGIN = 500 * MS
# How long the answer of a poll that is overdue is still awaited, beside the next polls.
BUS_LATE_ANSWER_TIMEOUT = 10 * SECOND
# Delay before a lost connection to the bus is reopened.
BUS_RETRY_DELAY = 100 * MS
# Timeout of a probe of a silent server. Servers answer probes at once, so only network delay counts.
PROBE_TIMEOUT = 2 * SECOND
# How long a caller's connection may be open without a valid request, or with an incomplete one.
REQUEST_TIMEOUT = 2 * SECOND
# A server that has been unreachable for this long has released its dialogs.
UNREACHABLE_TIMEOUT = 4 * SECOND
# How long requests are served after SIGTERM; later ones are rejected at once. New connections arrive for at
# most 0.4 s after SIGTERM and requests on them for another 0.2 s; those are served. The no-answer time of a
# request that comes later than 0.7 s may end after SIGKILL, so it must be answered earlier.
ACCEPT_PERIOD = 650 * MS
# SIGKILL may come KILL_DELAY after the longest no-answer time, or after MAX_KILL_BASE if that is shorter.
# Both count from SIGTERM.
KILL_DELAY, MAX_KILL_BASE = 700 * MS, 3 * SECOND
# How long before SIGKILL the last dialogs are answered and the process exits.
EXIT_MARGIN = 250 * MS
# How long before that exit callers' connections without an open dialog are closed, so that the callers' next
# set-ups go to other edge proxies. From then on the process exits as soon as no dialog is open.
CLOSING_PERIOD = 500 * MS
# How long after a caller's deadline a final answer still counts as given.
LATE_ANSWER_LIMIT = 500 * MS


class ResourceLimits(Struct):
    """The resources that the platform grants to the process; `limits` in the file."""

    cores: float = 1.0
    memory_mb: int = 192
    sockets: int = 1024


class PlatformFile(Struct):
    """The contents of the file; fields that are not declared here are ignored."""

    name: str
    listen: str
    seed: str
    bus: str
    settings: Options
    known: msgspec.Raw = msgspec.Raw(b'{"offset":0,"batch":[]}')
    limits: ResourceLimits = msgspec.field(default_factory=ResourceLimits)


class PlatformConfig(Struct, frozen=True):
    """The configuration of an edge proxy on the platform.

    `known`: the event bus's events up to the start, as JSON. `widths`: the number of lines that a dialog
    occupies, by traffic type; set-ups of a type without an entry may request any number.
    """

    config: EdgeConfig
    known: bytes
    limits: ResourceLimits
    widths: dict[str, int]


def platform_config(data: bytes) -> PlatformConfig:
    """Parses the file; raises MalformedInputError, which names a missing or invalid field."""
    try:
        file = msgspec.json.decode(data, type=PlatformFile)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
        raise MalformedInputError(str(error)) from None
    try:
        seed = int(file.seed, 16)
    except ValueError:
        raise MalformedInputError(f"seed: {file.seed!r} is not a hexadecimal number") from None
    for name, address in (("listen", file.listen), ("bus", file.bus)):
        if not is_host_and_port(address):
            raise MalformedInputError(f"{name}: {address!r} is not HOST:PORT")
    options = file.settings
    # Called before the options are used below, since it validates them.
    routing = deployment(options)
    links = LinkConfig(
        connect_within=max(1, options.limits.connectTimeoutUs) * US,
        silence=PROBE_TIMEOUT,
        hello_within=REQUEST_TIMEOUT,
        open_dialogs=max(1, options.limits.openCap),
        callers=max(1, file.limits.sockets // 2),
        stop_within=min(max(c.deadlineUs for c in options.categories) * US, MAX_KILL_BASE)
        + (KILL_DELAY - ACCEPT_PERIOD - EXIT_MARGIN),
    )
    config = EdgeConfig(
        name=file.name,
        listen=file.listen,
        list_service=file.bus,
        place=options.me,
        region="",
        seed=seed,
        list_cache="",
        answer_margin=ANSWER_MARGIN,
        deployment=routing,
        links=links,
        log=LogConfig(),
    )
    widths = dict(zip([c.name for c in options.categories], options.extra.circuitsByClass, strict=False))
    return PlatformConfig(config, bytes(file.known), file.limits, widths)
