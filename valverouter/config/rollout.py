"""Configuration of a raft server, of an instance's supervisor, and of a client of the control plane.

In the files a raft server is a [seat] of the council, the raft group, and a supervisor is a [keeper].
Durations are integer nanoseconds.
"""

from __future__ import annotations

import shlex
import shutil
from collections.abc import Mapping
from pathlib import Path
from typing import Annotated

from msgspec import Meta, Struct

from valverouter.config.edge import LogConfig
from valverouter.config.gossip import check_address, load_key
from valverouter.config.ini import (
    Duration,
    Fraction,
    IniFile,
    NonEmptyText,
    NonNegativeInteger,
    PositiveDuration,
    PositiveInteger,
    TextList,
    is_host_and_port,
    present,
    valid_sections,
)

SECOND = 10**9
INSTANCE_KINDS = ("edge proxies", "servers")
GROUP_SIZES = (1, 3, 5)
ErrorProbability = Annotated[float, Meta(gt=0, lt=0.5)]


Keys = tuple[bytes, ...]
# Addresses of the raft group's members by name.
Members = dict[str, str]


class _RaftServerSection(Struct, frozen=True):
    name: NonEmptyText
    listen: NonEmptyText
    key: NonEmptyText
    store: NonEmptyText
    council: TextList
    advertise: str = ""
    also: str = ""
    silent: PositiveDuration = 4 * SECOND
    not_reached: PositiveDuration = 15 * SECOND
    unsettled: PositiveDuration = 30 * SECOND


class DisruptionLimitConfig(Struct, frozen=True):
    """[limits KIND]: limits on simultaneously unavailable instances of a kind, in total and per region.

    `regions` overrides `in_region` for single regions. `least_capacity`, `least_processor`: the fractions of
    a region's capacity and processor power that must stay available.
    """

    most: PositiveInteger
    in_region: PositiveInteger
    regions: TextList = ()
    least_capacity: Fraction = 0.0
    least_processor: Fraction = 0.0

    @property
    def by_region(self) -> dict[str, int]:
        """The maximum number of simultaneously unavailable instances in each region listed in `regions`."""
        return {name: int(count) for name, _, count in (entry.partition(" ") for entry in self.regions)}


class EvidenceConfig(Struct, frozen=True):
    """[evidence]: error probabilities and durations of the test that halts a release; see docs/rollout.md."""

    false_halt: ErrorProbability = 0.001
    missed: ErrorProbability = 0.05
    odds: Annotated[float, Meta(gt=1, le=100)] = 2.0
    least: PositiveInteger = 500
    watch: PositiveDuration = 5 * SECOND
    ends: PositiveInteger = 2


class RaftServerConfig(Struct, frozen=True):
    """The configuration of a raft server; `council` has the members of its group."""

    name: str
    listen: str
    advertise: str
    keys: Keys
    store: Path
    council: Members
    limits: dict[str, DisruptionLimitConfig]
    evidence: EvidenceConfig
    log: LogConfig
    silent: int
    not_reached: int
    unsettled: int


class _SupervisorSection(Struct, frozen=True):
    name: NonEmptyText
    listen: NonEmptyText
    key: NonEmptyText
    store: NonEmptyText
    council: TextList
    version: NonEmptyText
    asks: str = ""
    list_service: str = ""
    drain_within: Duration = 10 * SECOND
    sort: Annotated[str, Meta(pattern="^(edge proxy|server)$")] = "edge proxy"
    region: str = ""
    capacity: NonNegativeInteger = 0
    processor: Annotated[float, Meta(ge=0)] = 0.0
    advertise: str = ""
    also: str = ""
    stop_within: PositiveDuration = 15 * SECOND
    hears_within: Duration = 3 * SECOND
    output: str = ""


class _VersionSection(Struct, frozen=True):
    command: NonEmptyText


class SupervisorConfig(Struct, frozen=True):
    """The configuration of one instance's supervisor.

    `asks`: the address of an edge proxy's [between], at which its counts are queried. `list_service`: the
    address to which the drain of a server is requested; the server's dialogs then have `drain_within` to end.
    `version`: the version that runs unless an operation requires another. `commands`: the command that starts
    each version.
    """

    name: str
    listen: str
    advertise: str
    keys: Keys
    store: Path
    council: Members
    asks: str
    list_service: str
    drain_within: int
    is_server: bool
    region: str
    capacity: int
    processor: float
    version: str
    commands: dict[str, tuple[str, ...]]
    stop_within: int
    hears_within: int
    output: str
    log: LogConfig


class FleetClientConfig(Struct, frozen=True):
    """The keys and addresses with which a client reaches the raft group."""

    keys: Keys
    council: Members


def raft_server_config(ini: IniFile) -> RaftServerConfig:
    """Returns the configuration of a raft server; raises InvalidConfigError with all problems of the file."""
    ini.check_sections(("seat", "evidence", "log"), ("limits",))
    server = ini.read_section("seat", _RaftServerSection)
    evidence = ini.read_section("evidence", EvidenceConfig, required=False)
    log = ini.read_section("log", LogConfig, required=False)
    limits = _read_limits(ini)
    if server and not limits:
        ini.add_problem("", "", "no [limits ...] section, so no instance could ever be taken out of service")
    keys, members = _raft_group(ini, server) if server else ((), {})
    ini.raise_problems()
    server = present(server)
    return RaftServerConfig(
        name=server.name,
        listen=server.listen,
        advertise=server.advertise,
        keys=keys,
        store=ini.folder / server.store,
        council=members,
        limits=limits,
        evidence=present(evidence),
        log=present(log),
        silent=server.silent,
        not_reached=server.not_reached,
        unsettled=server.unsettled,
    )


def _read_limits(ini: IniFile) -> dict[str, DisruptionLimitConfig]:
    """Reads the [limits KIND] sections by kind of instance."""
    limits = {}
    for kind in ini.names_of("limits"):
        if kind not in INSTANCE_KINDS:
            known = " and ".join(f"[limits {name}]" for name in INSTANCE_KINDS)
            ini.add_problem(f"limits {kind}", "", f"unknown kind of instance; known sections: {known}")
        section = ini.read_section(f"limits {kind}", DisruptionLimitConfig)
        if section is not None:
            _check_limits(ini, kind, section)
            limits[kind] = section
    return limits


def _raft_group(ini: IniFile, server: _RaftServerSection) -> tuple[Keys, Members]:
    """Returns the keys and members of a raft server's group; adds problems to `ini`."""
    keys, members = _control_plane(ini, "seat", server)
    if members and server.name not in members:
        ini.add_problem("seat", "council", f"{server.name} itself is not in it")
    if members and len(members) not in GROUP_SIZES:
        reason = f"{len(members)} seats; must be 3 or 5, or 1 for a trial"
        ini.add_problem("seat", "council", reason)
    return keys, members


def _check_limits(ini: IniFile, kind: str, limits: DisruptionLimitConfig) -> None:
    section = f"limits {kind}"
    if limits.in_region > limits.most:
        reason = f"{limits.in_region} per region are more than {limits.most} in total"
        ini.add_problem(section, "in_region", reason)
    for entry in limits.regions:
        name, _, count = entry.partition(" ")
        if not name or not count.strip().isascii() or not count.strip().isdigit() or int(count) < 1:
            ini.add_problem(section, "regions", f"{entry!r} is not a region and a number, as in north 2")
        elif int(count) > limits.most:
            ini.add_problem(section, "regions", f"{count} in {name} are more than {limits.most} in total")
    if limits.least_capacity >= 1 or limits.least_processor >= 1:
        ini.add_problem(
            section,
            "",
            "least_capacity and least_processor must be below 1, or no instance could be unavailable",
        )


def supervisor_config(ini: IniFile) -> SupervisorConfig:
    """Returns the configuration of a supervisor; raises InvalidConfigError with all problems of the file."""
    ini.check_sections(("keeper", "log"), ("version",))
    supervisor = ini.read_section("keeper", _SupervisorSection)
    log = ini.read_section("log", LogConfig, required=False)
    commands = _read_commands(ini)
    keys, members = _supervisor_group(ini, supervisor, commands) if supervisor else ((), {})
    ini.raise_problems()
    supervisor = present(supervisor)
    return SupervisorConfig(
        name=supervisor.name,
        listen=supervisor.listen,
        advertise=supervisor.advertise,
        keys=keys,
        store=ini.folder / supervisor.store,
        council=members,
        asks=supervisor.asks,
        list_service=supervisor.list_service,
        drain_within=supervisor.drain_within,
        is_server=supervisor.sort == "server",
        region=supervisor.region,
        capacity=supervisor.capacity,
        processor=supervisor.processor,
        version=supervisor.version,
        commands=commands,
        stop_within=supervisor.stop_within,
        hears_within=supervisor.hears_within,
        output=supervisor.output,
        log=present(log),
    )


def _read_commands(ini: IniFile) -> dict[str, tuple[str, ...]]:
    """Reads the commands of the [version NAME] sections by version."""
    versions = valid_sections(ini.read_sections("version", _VersionSection))
    return {
        name: _parse_command(ini, f"version {name}", version.command) for name, version in versions.items()
    }


def _supervisor_group(
    ini: IniFile, supervisor: _SupervisorSection, commands: Mapping[str, tuple[str, ...]]
) -> tuple[Keys, Members]:
    """Returns the keys and members of the raft group; checks the settings of the instance too."""
    keys, members = _control_plane(ini, "keeper", supervisor)
    if supervisor.asks:
        check_address(ini, "keeper", "asks", supervisor.asks, is_reachable=True)
    elif supervisor.sort == "edge proxy":
        reason = "missing: the edge proxy's [between] address, at which it is queried"
        ini.add_problem("keeper", "asks", reason)
    if supervisor.sort == "server" and not is_host_and_port(supervisor.list_service):
        ini.add_problem("keeper", "list_service", f"{supervisor.list_service!r} is not HOST:PORT")
    if supervisor.version not in commands:
        ini.add_problem("keeper", "version", f"there is no [version {supervisor.version}]")
    return keys, members


def _parse_command(ini: IniFile, section: str, text: str) -> tuple[str, ...]:
    try:
        words = tuple(shlex.split(text))
    except ValueError as error:
        ini.add_problem(section, "command", f"{text!r}: {error}")
        return ()
    if not words or shutil.which(words[0], path=None) is None:
        ini.add_problem(section, "command", f"there is no program {words[0] if words else ''!r} to start")
    return words


def _control_plane(
    ini: IniFile, name: str, section: _RaftServerSection | _SupervisorSection
) -> tuple[Keys, Members]:
    """Returns the keys and the raft group's members in the section `name`; checks its own addresses too."""
    check_address(ini, name, "listen", section.listen, is_reachable=False)
    if section.advertise:
        check_address(ini, name, "advertise", section.advertise, is_reachable=True)
    files = (("key", section.key), ("also", section.also))
    keys = [load_key(ini, name, key, path) for key, path in files if path]
    return tuple(key for key in keys if key), _members(ini, name, section.council)


def _members(ini: IniFile, section: str, entries: TextList) -> Members:
    """Parses entries such as "c0 10.0.0.1:7000" into addresses by the names of members."""
    members: Members = {}
    for entry in entries:
        name, _, address = entry.partition(" ")
        address = address.strip()
        if not name or not address:
            reason = f"{entry!r} is not a seat and its address, as in c0 10.0.0.1:7000"
            ini.add_problem(section, "council", reason)
            continue
        if name in members:
            ini.add_problem(section, "council", f"{name} is listed twice")
        check_address(ini, section, "council", address, is_reachable=True)
        members[name] = address
    if not entries:
        ini.add_problem(section, "council", "is empty")
    return members


def fleet_client_config(ini: IniFile) -> FleetClientConfig:
    """Returns a client's configuration from any raft server's or supervisor's file.

    Raises InvalidConfigError.
    """
    if "seat" in ini.sections:
        server = raft_server_config(ini)
        return FleetClientConfig(server.keys, server.council)
    if "keeper" in ini.sections:
        supervisor = supervisor_config(ini)
        return FleetClientConfig(supervisor.keys, supervisor.council)
    ini.add_problem("", "", "neither a [seat] nor a [keeper], so the council can't be reached with it")
    ini.raise_problems()
    raise AssertionError


def load_raft_server(path: Path) -> RaftServerConfig:
    """Loads a raft server's file; raises InvalidConfigError."""
    return raft_server_config(IniFile.load(path))


def load_supervisor(path: Path) -> SupervisorConfig:
    """Loads a supervisor's file; raises InvalidConfigError."""
    return supervisor_config(IniFile.load(path))


def load_fleet_client(path: Path) -> FleetClientConfig:
    """Loads a client's configuration from a raft server's or supervisor's file; raises InvalidConfigError."""
    return fleet_client_config(IniFile.load(path))
