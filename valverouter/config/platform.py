"""Configuration of an edge proxy on the operators' platform: JSON in, an EdgeConfig out.

Features that the platform has no place for (a cached endpoint list, usage accounting, a ledger) stay off.
"""

from __future__ import annotations

import msgspec
from msgspec import Struct

from valverouter.config.edge import EdgeConfig, LinkConfig, LogConfig
from valverouter.config.ini import is_host_and_port
from valverouter.config.options import US, MalformedInputError, Options, deployment

MS, SECOND = 10**6, 10**9

# Subtracted from a dialog's no-answer time, so that an answer given at the last moment still arrives in time.
ANSWER_MARGIN = 50 * MS
# Of a long poll of the event bus. A bus that stopped is noticed by its silence, sooner with a short poll.
BUS_POLL_TIMEOUT = 2 * SECOND
# How much longer than the poll an answer may take, and the delay before a lost connection is retried.
BUS_ANSWER_MARGIN = 500 * MS
BUS_RETRY_DELAY = 100 * MS
# Of a probe of a silent server. A server answers a probe at once, so this bounds the network alone.
PROBE_TIMEOUT = 2 * SECOND
# How long a caller's connection may stay without a valid request, or leave one incomplete.
REQUEST_TIMEOUT = 2 * SECOND
# A server that has been unreachable for so long has released its dialogs.
UNREACHABLE_TIMEOUT = 4 * SECOND
# After SIGTERM new connections come for at most 0.4 s, and requests on them for 0.2 s more: those are served.
# A request later than 0.7 s must be answered before SIGKILL, which may come 0.7 s after the longest no-answer
# time, or after 3 s if that is shorter; so from here on each one is rejected at once.
ACCEPT_PERIOD = 650 * MS
KILL_DELAY, MAX_KILL_BASE = 700 * MS, 3 * SECOND
# The last dialogs are answered, and the process exits, so long before SIGKILL.
EXIT_MARGIN = 250 * MS
# So long before that, callers' connections without an open dialog are closed, and the process exits once no
# dialog is open: the callers' next set-ups go to other edge proxies.
CLOSING_PERIOD = 500 * MS


class ResourceLimits(Struct):
    """The resources that the platform grants, `limits` in the file."""

    cores: float = 1.0
    memory_mb: int = 192
    sockets: int = 1024


class PlatformFile(Struct):
    """The file; fields that are not named here are ignored."""

    name: str
    listen: str
    seed: str
    bus: str
    settings: Options
    known: msgspec.Raw = msgspec.Raw(b'{"offset":0,"batch":[]}')
    limits: ResourceLimits = msgspec.field(default_factory=ResourceLimits)


class PlatformConfig(Struct, frozen=True):
    """The configuration of an edge proxy on the platform.

    `known`: the events of the event bus up to the start. `widths`: circuits that a dialog of a traffic type
    occupies; a type without an entry may state any number.
    """

    config: EdgeConfig
    known: bytes
    limits: ResourceLimits
    widths: dict[str, int]


def platform_config(data: bytes) -> PlatformConfig:
    """Parses the file; raises MalformedInputError that names a field that is missing or can't be used."""
    try:
        file = msgspec.json.decode(data, type=PlatformFile)
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        raise MalformedInputError(str(error)) from None
    try:
        seed = int(file.seed, 16)
    except ValueError:
        raise MalformedInputError(f"seed: {file.seed!r} is no hexadecimal number") from None
    for name, address in (("listen", file.listen), ("bus", file.bus)):
        if not is_host_and_port(address):
            raise MalformedInputError(f"{name}: {address!r} is no HOST:PORT")
    options = file.settings
    # First, since it checks the options.
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
