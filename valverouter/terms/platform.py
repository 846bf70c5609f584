"""The configuration of the operators' platform: JSON in, the edge's terms out, every flaw named.

What the product has and the platform has no room for (a cached list, accounts, a ledger) stays off.
"""

from __future__ import annotations

import msgspec
from msgspec import Struct

from valverouter.terms.edge import EdgeTerms, Links, Log
from valverouter.terms.ini import is_address
from valverouter.terms.options import US, MalformedInputError, Options, deployment

MS, SECOND = 10**6, 10**9

# Taken off a dialog's time, so that an answer given at the last moment still comes in time.
ANSWER_MARGIN = 50 * MS
# A long poll of the event bus. One that stopped is told by its silence, so a short one is noticed sooner.
BUS_HOLD = 2 * SECOND
# How long past the hold an answer may take, and a break may leave us without a connection.
BUS_LATE = 500 * MS
BUS_AGAIN = 100 * MS
# A server that was asked and says nothing; a test passes at once, so this bounds the network alone.
SILENCE = 2 * SECOND
# For so long a caller's connection may say nothing that is of use, or leave a message half sent.
USEFUL_WITHIN = 2 * SECOND
# A server that can't be reached for so long has cut what stood there.
CUT_AFTER = 4 * SECOND
# After SIGTERM connections go on coming for 0.4 s at most, requests on them for 0.2 s more: those are served.
# One that comes later than 0.7 s must have its answer before SIGKILL, which may come 0.7 s after the longest
# no-answer time, counted as 3 s where that is longer; so from here on each is declined at once.
GOES_ON = 650 * MS
KILLED_AFTER, KILLED_LONGEST = 700 * MS, 3 * SECOND
# So long before SIGKILL the last dialogs get their answer, and this process ends by itself.
ENDS_BEFORE = 100 * MS


class Restraints(Struct):
    """`limits` of the configuration."""

    cores: float = 1.0
    memory_mb: int = 192
    sockets: int = 1024


class Configuration(Struct):
    """The file as it stands; what is not named here is ignored."""

    name: str
    listen: str
    seed: str
    bus: str
    settings: Options
    known: msgspec.Raw = msgspec.Raw(b'{"offset":0,"batch":[]}')
    limits: Restraints = msgspec.field(default_factory=Restraints)


class Platform(Struct, frozen=True):
    """All that an edge proxy on the platform is told. `known`: the event bus's events of the start."""

    terms: EdgeTerms
    known: bytes
    limits: Restraints
    # Circuits that a dialog of a type takes; a type that is not here may say any.
    widths: dict[str, int]


def platform(data: bytes) -> Platform:
    """MalformedInputError names the field that is missing or can't be used."""
    try:
        told = msgspec.json.decode(data, type=Configuration)
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        raise MalformedInputError(str(error)) from None
    try:
        seed = int(told.seed, 16)
    except ValueError:
        raise MalformedInputError(f"seed: {told.seed!r} is no hexadecimal number") from None
    for name, address in (("listen", told.listen), ("bus", told.bus)):
        if not is_address(address):
            raise MalformedInputError(f"{name}: {address!r} is no HOST:PORT")
    options = told.settings
    deployed = deployment(options)
    links = Links(
        connect_within=max(1, options.limits.connectTimeoutUs) * US,
        silence=SILENCE,
        hello_within=USEFUL_WITHIN,
        open_dialogs=max(1, options.limits.openCap),
        callers=max(1, told.limits.sockets // 2),
        stop_within=min(max(c.deadlineUs for c in options.categories) * US, KILLED_LONGEST)
        + (KILLED_AFTER - GOES_ON - ENDS_BEFORE),
    )
    terms = EdgeTerms(
        name=told.name,
        listen=told.listen,
        list_service=told.bus,
        place=options.me,
        region="",
        seed=seed,
        list_cache="",
        answer_margin=ANSWER_MARGIN,
        deployment=deployed,
        links=links,
        log=Log(),
    )
    widths = dict(zip([c.name for c in options.categories], options.extra.circuitsByClass, strict=False))
    return Platform(terms, bytes(told.known), told.limits, widths)
