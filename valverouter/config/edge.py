"""Configuration of one edge proxy: the validated contents of the INI file of `valverouter edge`.

Durations are integer nanoseconds.
"""

from __future__ import annotations

from hashlib import blake2b
from pathlib import Path
from typing import Annotated

import trio
from msgspec import Meta, Struct

from valverouter.config.attempts import AttemptConfig, attempt_config
from valverouter.config.cross_region import cross_region_config
from valverouter.config.gossip import GossipConfig, gossip_config
from valverouter.config.ini import (
    Duration,
    IniFile,
    IntegerList,
    InvalidConfigError,
    NonEmptyText,
    NonNegativeInteger,
    PositiveDuration,
    PositiveInteger,
    PositiveNumber,
    is_host_and_port,
    present,
    valid_sections,
)
from valverouter.interface import CrossRegionConfig, Deployment, TrafficType

MS, SECOND = 10**6, 10**9
# Interval between two reads of a file that may still be being written.
REREAD_INTERVAL = 100 * MS

# Bytes of the digest that instances exchange to compare their configurations.
DIGEST_SIZE = 4

ATTEMPT_SECTIONS = ("attempts", "trunk-group", "server-set")

AttemptCount = Annotated[int, Meta(ge=1, le=6)]
# The following limits are those of the set-up protocol: the length of a name, durations up to an hour, frames
# of 64 KiB. An instance configured beyond them would send messages that its peers reject.
PeerName = Annotated[str, Meta(min_length=1, max_length=128)]
HOUR = 3_600 * SECOND
ProtocolDuration = Annotated[int, Meta(ge=0, le=HOUR, extra={"as": "span"})]
AnswerMargin = Annotated[int, Meta(gt=0, lt=HOUR, extra={"as": "span"})]
QueueSize = Annotated[int, Meta(ge=64 * 1024 + 4, le=10**9)]


class TrafficConfig(Struct, frozen=True):
    """[traffic NAME]: a type's priority, latency objective, mean duration, and the servers it may use."""

    objective: PositiveDuration
    importance: PositiveNumber = 1.0
    length: Duration = 0
    repeatable: bool = True
    servers: IntegerList = ()


class FleetConfig(Struct, frozen=True):
    """[fleet]: the settings that a fleet's edge proxies share, including the routing policy's parameters."""

    edge_proxies: PositiveInteger
    list_is_pushed: bool = True
    legs_allowed: AttemptCount = 6
    may_cancel: bool = True
    come_back_limit: ProtocolDuration = 2 * SECOND
    release_wait: Duration = 300 * MS
    cold_share: Annotated[float, Meta(gt=0, le=1)] = 1.0
    tip_multiple: PositiveNumber = 1.0
    tip_span: Duration = SECOND
    warm_after: Duration = 0


class LinkConfig(Struct, frozen=True):
    """[links]: timeouts of connections, and limits on queued bytes, open dialogs and callers."""

    connect_within: PositiveDuration = 500 * MS
    reconnect_least: Duration = 0
    hello_within: PositiveDuration = 2 * SECOND
    silence: PositiveDuration = 30 * SECOND
    waiting_bytes: QueueSize = 256 * 1024
    open_dialogs: PositiveInteger = 20_000
    callers: PositiveInteger = 10_000
    stop_within: Duration = 10 * SECOND


class LedgerConfig(Struct, frozen=True):
    """[ledger]: the folder in which open dialogs are stored across a restart; empty: they are not stored.

    `sync` none: nothing is lost if the process is killed, but the most recent events are lost if the machine
    crashes. `sync` each: nothing is lost in either case, at the cost of a disk write for each batch of
    events. `most`: maximum size in bytes. `resume_within`: how long callers have to resume their established
    dialogs.
    """

    folder: str = ""
    sync: Annotated[str, Meta(pattern="^(none|each)$")] = "none"
    most: Annotated[int, Meta(ge=1024 * 1024, le=2**40)] = 64 * 1024 * 1024
    resume_within: PositiveDuration = 5 * SECOND


class LogConfig(Struct, frozen=True):
    """[log]: the format of the log, and the minimum level that is logged."""

    form: Annotated[str, Meta(pattern="^(json|console)$")] = "json"
    level: Annotated[str, Meta(pattern="^(debug|info|warning|error)$")] = "info"


class _EdgeSection(Struct, frozen=True):
    name: PeerName
    listen: NonEmptyText
    list_service: NonEmptyText
    place: NonNegativeInteger = 0
    region: str = ""
    region_place: NonNegativeInteger = 0
    seed: NonNegativeInteger = 0
    list_cache: str = ""
    accounts: str = ""
    returns: bool = False
    answer_margin: AnswerMargin = 50 * MS


class EdgeConfig(Struct, frozen=True):
    """The whole configuration of one edge proxy.

    `answer_margin` is subtracted from every dialog's no-answer time, so that a last-moment answer still
    arrives in time. `ends`: the file has an end marker, which distinguishes a short file from one that was
    read before it was completely written. `returns`: a change that worsens the service is rolled back.
    `digest`: a digest of the part that the whole fleet shares, so that instances can compare it.
    """

    name: str
    listen: str
    list_service: str
    place: int
    region: str
    seed: int
    list_cache: str
    answer_margin: int
    deployment: Deployment
    links: LinkConfig
    log: LogConfig
    crossing: CrossRegionConfig | None = None
    accounts: str = ""
    attempts: AttemptConfig = AttemptConfig()
    ends: bool = False
    returns: bool = False
    ledger: LedgerConfig = LedgerConfig()
    between: GossipConfig | None = None
    digest: str = ""


def edge_config(ini: IniFile) -> EdgeConfig:
    """Returns the configuration in an edge proxy's file; raises InvalidConfigError with all problems."""
    ini.check_sections(
        ("edge", "fleet", "links", "log", "ledger", "between", "crossing"),
        ("traffic", "region", "crossing", *ATTEMPT_SECTIONS),
    )
    edge = ini.read_section("edge", _EdgeSection)
    fleet = ini.read_section("fleet", FleetConfig)
    links = ini.read_section("links", LinkConfig, required=False)
    log = ini.read_section("log", LogConfig, required=False)
    ledger = ini.read_section("ledger", LedgerConfig, required=False)
    traffic = traffic_types(ini)
    attempts = attempt_config(ini, set(ini.names_of("traffic")))
    crossing, gossip = _instance_config(ini, edge, fleet) if edge and fleet else (None, None)
    ini.raise_problems()
    edge, fleet = present(edge), present(fleet)
    return EdgeConfig(
        name=edge.name,
        listen=edge.listen,
        list_service=edge.list_service,
        place=edge.place,
        region=edge.region,
        seed=edge.seed,
        list_cache=edge.list_cache,
        answer_margin=edge.answer_margin,
        deployment=deployment(fleet, traffic, edge.place),
        links=present(links),
        log=present(log),
        crossing=crossing,
        accounts=edge.accounts,
        attempts=attempts,
        returns=edge.returns,
        ends=ini.has_end_marker,
        ledger=present(ledger),
        between=gossip,
        digest=_digest(ini),
    )


def _instance_config(
    ini: IniFile, edge: _EdgeSection, fleet: FleetConfig
) -> tuple[CrossRegionConfig | None, GossipConfig | None]:
    """Reads the sections that depend on this instance's fleet index; checks the index and addresses."""
    types = set(ini.names_of("traffic"))
    crossing = cross_region_config(ini, edge.region, edge.place, fleet.edge_proxies, edge.region_place, types)
    if edge.place >= fleet.edge_proxies:
        reason = f"{edge.place} must be less than edge_proxies, {fleet.edge_proxies}"
        ini.add_problem("edge", "place", reason)
    gossip = gossip_config(ini, edge.region)
    for key in ("listen", "list_service"):
        if not is_host_and_port(address := getattr(edge, key)):
            ini.add_problem("edge", key, f"{address!r} is not HOST:PORT")
    return crossing, gossip


def _digest(ini: IniFile) -> str:
    return blake2b(shared_text(ini).encode(), digest_size=DIGEST_SIZE).hexdigest()


def shared_text(ini: IniFile) -> str:
    """Returns the part of a file that the whole fleet shares: all sections but the instance's own."""
    return "\n".join(
        f"[{section}] {key} = {text}"
        for section, keys in ini.sections.items()
        if section not in ("edge", "log", "ledger", "between")
        for key, text in keys.items()
    )


def traffic_types(ini: IniFile) -> dict[str, TrafficConfig]:
    """Returns the [traffic NAME] sections by name; adds a problem if there are none."""
    sections = ini.read_sections("traffic", TrafficConfig)
    if not sections and not ini.problems:
        ini.add_problem("", "", "no [traffic NAME] section, so no dialog could be accepted")
    return valid_sections(sections)


def deployment(fleet: FleetConfig, traffic: dict[str, TrafficConfig], place: int) -> Deployment:
    """Returns the routing policy's parameters for the edge proxy with index `place` in the fleet."""
    return Deployment(
        traffic_types={
            name: TrafficType(
                latency_objective=section.objective,
                priority_weight=section.importance,
                mean_duration=section.length,
                idempotent=section.repeatable,
                server_numbers=frozenset(section.servers) if section.servers else None,
            )
            for name, section in traffic.items()
        },
        edge_proxies=fleet.edge_proxies,
        fleet_index=place,
        own_server_number=-1,
        endpoint_list_is_pushed=fleet.list_is_pushed,
        max_attempts=fleet.legs_allowed,
        can_cancel=fleet.may_cancel,
        max_retry_after=fleet.come_back_limit,
        release_delay=fleet.release_wait,
        slow_start_fraction=fleet.cold_share,
        overload_multiple=fleet.tip_multiple,
        overload_window=fleet.tip_span,
        slow_start_duration=fleet.warm_after,
    )


def load_edge_config(path: Path) -> EdgeConfig:
    """Loads the configuration in the file at `path`; raises InvalidConfigError."""
    return edge_config(IniFile.load(path))


async def load_when_stable(path: Path, interval: int = REREAD_INTERVAL, tries: int = 20) -> EdgeConfig:
    """Loads a file that may still be being written: reads it until two successive reads are equal.

    `interval` is the time between reads, in nanoseconds. Raises InvalidConfigError as `edge_config` does, or
    if after `tries` more reads no two successive ones were equal.
    """
    latest = IniFile.load(path)
    for _ in range(tries):
        await trio.sleep(interval / SECOND)
        previous, latest = latest, IniFile.load(path)
        if previous.text == latest.text:
            return await trio.to_thread.run_sync(edge_config, latest)
    latest.add_problem("", "", f"still being written after {tries} readings", 0)
    raise InvalidConfigError(latest.problems)
