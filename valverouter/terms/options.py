"""What the operators tell one edge proxy of its deployment, on the simulator's wire and on their platform.

Their names and microseconds come in, our words and nanoseconds go out.
"""

from __future__ import annotations

import msgspec
from msgspec import Struct

from valverouter.interface import Deployment, TrafficType

US = 1_000


class MalformedInputError(ValueError):
    """A line, message, field or setting that can't be used; its text says which."""


class Category(Struct):
    name: str
    objectiveUs: int
    deadlineUs: int
    importance: float = 1.0
    semantics: str = "read_like"


class Extra(Struct):
    classCells: list[list[int]] = []
    callLengthUs: list[int] = []
    circuitsByClass: list[int] = []
    here: int = -1
    releaseGuardUs: int = 0


class Limits(Struct):
    sendCap: int
    maxRetryAfterUs: int = 0
    retryAfter: bool = False
    mayCancel: bool = False
    connectTimeoutUs: int = 500_000
    openCap: int = 20_000


class LoadFields(Struct):
    fields: list[str] = []


class Rules(Struct):
    startCapacity: float = 1.0
    tipMultiple: float = 1.0
    fallUs: int = 0
    warmWithinUs: int = 0


class Options(Struct):
    categories: list[Category]
    nInstances: int
    discovery: str
    limits: Limits
    me: int = 0
    extra: Extra = msgspec.field(default_factory=Extra)
    report: LoadFields = msgspec.field(default_factory=LoadFields)
    rules: Rules = msgspec.field(default_factory=Rules)


def deployment(options: Options) -> Deployment:
    """The settings in our words, or MalformedInputError where they can't hold."""
    limits, extra, rules = options.limits, options.extra, options.rules
    if not options.categories:
        raise MalformedInputError("powerOn: options.categories is empty")
    for name, value, least in (
        ("nInstances", options.nInstances, 1),
        ("limits.sendCap", limits.sendCap, 1),
        ("limits.maxRetryAfterUs", limits.maxRetryAfterUs, 0),
        ("extra.releaseGuardUs", extra.releaseGuardUs, 0),
        ("rules.warmWithinUs", rules.warmWithinUs, 0),
        ("rules.fallUs", rules.fallUs, 0),
        ("me", options.me, 0),
        *((f"categories[{c.name}].objectiveUs", c.objectiveUs, 1) for c in options.categories),
    ):
        if value < least:
            raise MalformedInputError(f"powerOn: options.{name} is {value}, must be {least} or more")
    if not 0 < rules.startCapacity <= 1:
        raise MalformedInputError("powerOn: options.rules.startCapacity must lie above 0 and not above 1")
    if rules.tipMultiple <= 0:
        raise MalformedInputError("powerOn: options.rules.tipMultiple must lie above 0")
    if options.discovery not in ("pushed", "on_request"):
        raise MalformedInputError(f"powerOn: options.discovery is {options.discovery!r}")
    cells, lengths = extra.classCells, extra.callLengthUs
    for name, values in (("classCells", cells), ("callLengthUs", lengths)):
        if values and len(values) != len(options.categories):
            raise MalformedInputError(f"powerOn: options.extra.{name} does not match options.categories")
    return Deployment(
        traffic_types={
            c.name: TrafficType(
                latency_objective=c.objectiveUs * US,
                priority_weight=c.importance,
                mean_duration=lengths[at] * US if lengths else 0,
                idempotent=c.semantics == "read_like",
                server_numbers=frozenset(cells[at]) if cells else None,
            )
            for at, c in enumerate(options.categories)
        },
        edge_proxies=options.nInstances,
        fleet_index=options.me,
        own_server_number=extra.here,
        endpoint_list_is_pushed=options.discovery == "pushed",
        max_attempts=limits.sendCap,
        can_cancel=limits.mayCancel,
        max_retry_after=limits.maxRetryAfterUs * US if limits.retryAfter else 0,
        release_delay=extra.releaseGuardUs * US,
        slow_start_fraction=rules.startCapacity,
        overload_multiple=rules.tipMultiple,
        overload_window=rules.fallUs * US,
        slow_start_duration=rules.warmWithinUs * US,
    )
