"""The sections of a scenario's file: the simulated fleet and load, and the faults.

Durations are integer nanoseconds.
"""

from __future__ import annotations

from typing import Annotated

from msgspec import Meta, Struct

from valverouter.config.gossip import GossipPeriod, RetentionPeriod
from valverouter.config.ini import (
    Duration,
    Fraction,
    NonNegativeInteger,
    PositiveDuration,
    PositiveInteger,
    PositiveNumber,
    RatePerSecond,
    TextList,
)

MS, SECOND = 10**6, 10**9

FAULT_KINDS = (
    "burst",
    "crash",
    "deploy",
    "slow",
    "ageing",
    "hang",
    "origin_slow",
    "reconnect",
    "hot_key",
    "give_up",
    "answer_lost",
    "balancer_crash",
    "balancer_stall",
    "peer_down",
    "vanish",
)
# Edge proxies that join or leave. The emulator simulates these only in runs of the fleet's gossip.
MEMBERSHIP_FAULT_KINDS = ("balancer_late", "balancer_leave")
# The kinds of faults in the model of network paths.
PATH_FAULT_KINDS = ("loss", "late", "twice", "swapped", "cut", "split")


class RunConfig(Struct, frozen=True):
    """[day]: duration and random seed; `settle`: how long a loopback run waits for its connections first."""

    length: PositiveDuration
    seed: NonNegativeInteger = 1
    settle: Duration = SECOND
    slack: Duration = 25 * MS


class RegionConfig(Struct, frozen=True):
    """[region NAME]: the number of its edge proxies and of its servers."""

    edges: NonNegativeInteger = 0
    servers: NonNegativeInteger = 0


class DelayConfig(Struct, frozen=True):
    """[delays]: one-way delays within a region and between two; `jitter`: the fraction by which they vary."""

    same: Duration = 0
    cross: Duration = 0
    jitter: Fraction = 0.0


class ServerConfig(Struct, frozen=True):
    """[servers]: the properties of each server; the durations of work are those of a warmed-up server."""

    lines: PositiveInteger = 1_000
    setup_work: PositiveDuration = 10 * MS
    answer_work: Duration = 3 * MS
    release_work: Duration = 3 * MS
    refuse_work: Duration = MS
    repeat_work: Duration = 3 * MS
    ring: Duration = 0
    most_wait: PositiveDuration = 2 * SECOND
    tells_wait: bool = False
    tells_lines: bool = True
    report_every: Duration = 500 * MS
    resend_first: Duration = 0
    set_ups_first: bool = True
    drops_cancelled: bool = False
    spread: Fraction = 0.0


class CallerConfig(Struct, frozen=True):
    """[callers]: the total rate of dialogs per second or recorded calls, and how callers react to rejections.

    `record`: a file of calls in the scenario's folder (see recorded_calls.py), replayed from its time
    `record_from` on. `spread`: edge proxies and preferred servers are drawn instead of taken from the record,
    for a fleet of a different size. `times`: how often each recorded call is made, on average. `local`:
    callers prefer a server in the region of their edge proxy, if it has one. `on`, `off`: mean durations of
    the phases of an on-off load with the same mean rate. `drift`: the rate at the end as a multiple of the
    rate at the start.
    """

    rate: RatePerSecond = 0.0
    record: str = ""
    record_from: Duration = 0
    spread: bool = False
    times: PositiveNumber = 1.0
    redials: NonNegativeInteger = 0
    redial_wait: PositiveDuration = 800 * MS
    patience: Annotated[float, Meta(gt=0, le=1)] = 1.0
    heeds: Fraction = 1.0
    local: bool = False
    on: PositiveDuration = SECOND
    off: Duration = 0
    drift: PositiveNumber = 1.0


class MixConfig(Struct, frozen=True):
    """[mix TYPE]: the traffic type's relative share of the dialogs, and the no-answer time of its callers."""

    share: PositiveNumber
    no_answer: PositiveDuration


class EndpointListConfig(Struct, frozen=True):
    """[list]: the delays after which the endpoint list service learns of changes of servers."""

    notice: Duration = 2 * SECOND
    silent_notice: Duration = 6 * SECOND
    add: Duration = SECOND


class FaultConfig(Struct, frozen=True):
    """[trouble NAME]: a fault: its kind, start, duration, the fraction of targets affected, and its size.

    `size`, by kind: burst: multiple of the rate; slow, ageing: factor of the slowdown; origin_slow:
    1/sqrt(size) of the lines remain; reconnect, hot_key, answer_lost: a fraction; give_up: multiple of the
    callers' patience; deploy: the number of simultaneous restarts. `extra`: the duration of a drain in a
    deploy, the lines of the called number in a hot_key. `on`: names of targets; if empty, they are drawn.
    """

    kind: str
    start: Duration
    length: Duration = 0
    part: Fraction = 0.25
    size: PositiveNumber = 1.0
    extra: Duration = 0
    lines: NonNegativeInteger = 6
    on: TextList = ()


class ScenarioGossipConfig(Struct, frozen=True):
    """[between]: settings of the gossip between edge proxies.

    `seeds`: the number of edge proxies, counted from the first, that are the seeds of all. `settles`: the
    number of periods after the last fault within which all membership views must converge.
    """

    period: GossipPeriod = SECOND
    remembers: RetentionPeriod = 300 * SECOND
    seeds: PositiveInteger = 3
    settles: PositiveInteger = 30


class PathFaultConfig(Struct, frozen=True):
    """[path NAME]: a fault of the network paths between edge proxies, of a kind in servermodel/paths.py.

    `senders`, `receivers`, `groups`: names of edge proxies or regions; + joins several into one group.
    Senders and receivers default to all edge proxies.
    """

    kind: str
    start: Duration
    length: PositiveDuration
    senders: TextList = ()
    receivers: TextList = ()
    both: bool = False
    share: Fraction = 0.0
    span: Duration = 0
    jitter: Fraction = 0.0
    groups: TextList = ()
