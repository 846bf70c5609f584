"""The operators' options for one edge proxy, as sent by the simulator and by the operators' platform.

The field names are those of the operators' format; a suffix `Us` means microseconds.
"""

from __future__ import annotations

import msgspec
from msgspec import Struct

from valverouter.interface import Deployment, TrafficType

# Nanoseconds in a microsecond.
US = 1_000

DISCOVERY_MODES = ("pushed", "on_request")
IDEMPOTENT = "read_like"


class MalformedInputError(ValueError):
    """Raised for an invalid line, message, field or setting, which the text names."""


class Category(Struct):
    """A traffic type."""

    name: str
    objectiveUs: int
    deadlineUs: int
    importance: float = 1.0
    semantics: str = "read_like"


class Extra(Struct):
    """Properties of the servers and calls; each list has one entry per category, or is empty."""

    classCells: list[list[int]] = []
    callLengthUs: list[int] = []
    circuitsByClass: list[int] = []
    here: int = -1
    releaseGuardUs: int = 0


class Limits(Struct):
    """Limits on the edge proxy, such as the number of attempts per dialog and of open dialogs."""

    sendCap: int
    maxRetryAfterUs: int = 0
    retryAfter: bool = False
    mayCancel: bool = False
    connectTimeoutUs: int = 500_000
    openCap: int = 20_000


class LoadFields(Struct):
    """The fields of the servers' load reports."""

    fields: list[str] = []


class Rules(Struct):
    """Parameters of slow start and of the detection of overloaded servers."""

    startCapacity: float = 1.0
    tipMultiple: float = 1.0
    fallUs: int = 0
    warmWithinUs: int = 0


class Options(Struct):
    """All options of one edge proxy."""

    categories: list[Category]
    nInstances: int
    discovery: str
    limits: Limits
    me: int = 0
    extra: Extra = msgspec.field(default_factory=Extra)
    report: LoadFields = msgspec.field(default_factory=LoadFields)
    rules: Rules = msgspec.field(default_factory=Rules)


def deployment(options: Options) -> Deployment:
    """Returns the routing policy's parameters; raises MalformedInputError for invalid options."""
    _check(options)
    limits, extra, rules = options.limits, options.extra, options.rules
    return Deployment(
        traffic_types=_traffic_types(options),
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


def _check(options: Options) -> None:
    limits, extra, rules = options.limits, options.extra, options.rules
    if not options.categories:
        raise MalformedInputError("powerOn: options.categories is empty")
    for name, value, minimum in (
        ("nInstances", options.nInstances, 1),
        ("limits.sendCap", limits.sendCap, 1),
        ("limits.maxRetryAfterUs", limits.maxRetryAfterUs, 0),
        ("extra.releaseGuardUs", extra.releaseGuardUs, 0),
        ("rules.warmWithinUs", rules.warmWithinUs, 0),
        ("rules.fallUs", rules.fallUs, 0),
        ("me", options.me, 0),
        *((f"categories[{c.name}].objectiveUs", c.objectiveUs, 1) for c in options.categories),
    ):
        if value < minimum:
            raise MalformedInputError(f"powerOn: options.{name} is {value}, must be {minimum} or more")
    if not 0 < rules.startCapacity <= 1:
        raise MalformedInputError("powerOn: options.rules.startCapacity must lie above 0 and not above 1")
    if rules.tipMultiple <= 0:
        raise MalformedInputError("powerOn: options.rules.tipMultiple must lie above 0")
    if options.discovery not in DISCOVERY_MODES:
        raise MalformedInputError(f"powerOn: options.discovery is {options.discovery!r}")
    for name, values in (("classCells", extra.classCells), ("callLengthUs", extra.callLengthUs)):
        if values and len(values) != len(options.categories):
            raise MalformedInputError(f"powerOn: options.extra.{name} does not match options.categories")


def _traffic_types(options: Options) -> dict[str, TrafficType]:
    cells, durations = options.extra.classCells, options.extra.callLengthUs
    return {
        category.name: TrafficType(
            latency_objective=category.objectiveUs * US,
            priority_weight=category.importance,
            mean_duration=durations[index] * US if durations else 0,
            idempotent=category.semantics == IDEMPOTENT,
            server_numbers=frozenset(cells[index]) if cells else None,
        )
        for index, category in enumerate(options.categories)
    }
