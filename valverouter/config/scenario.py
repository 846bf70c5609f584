"""Configuration of a scenario: fleet, load and faults in one INI file.

The same file is run on loopback, in virtual time and by the emulator. Its sections are defined in
`scenario_sections.py`.
"""

from __future__ import annotations

import zlib
from collections.abc import Mapping
from pathlib import Path

import msgspec
from msgspec import Struct

from valverouter.config.edge import (
    EdgeConfig,
    FleetConfig,
    LedgerConfig,
    LinkConfig,
    TrafficConfig,
    edge_config,
    traffic_types,
)
from valverouter.config.ini import IniFile, TextList, present, valid_sections
from valverouter.config.recorded_calls import RecordedCall, read_calls
from valverouter.config.scenario_sections import (
    FAULT_KINDS,
    MEMBERSHIP_FAULT_KINDS,
    PATH_FAULT_KINDS,
    CallerConfig,
    DelayConfig,
    EndpointListConfig,
    FaultConfig,
    MixConfig,
    PathFaultConfig,
    RegionConfig,
    RunConfig,
    ScenarioGossipConfig,
    ServerConfig,
)

# Sections that are copied unchanged into each edge proxy's own file, by full name and by prefix.
SHARED_SECTIONS = ("fleet", "links", "ledger", "crossing")
SHARED_PREFIXES = ("traffic ", "crossing ", "attempts ")


class ScenarioConfig(Struct, frozen=True):
    """A complete, validated scenario.

    `shared`: the text of the sections that are copied into each edge proxy's own file. `recorded`: recorded
    calls by edge proxy, in order of time since the scenario's start; None: calls are generated at a rate.
    `ledger`: edge proxies store open dialogs across a restart. `between`: settings of the edge proxies'
    gossip; None: they do not gossip. `paths`: faults of the network paths between edge proxies.
    """

    name: str
    run: RunConfig
    fleet: FleetConfig
    links: LinkConfig
    traffic: dict[str, TrafficConfig]
    mix: dict[str, MixConfig]
    regions: dict[str, RegionConfig]
    delays: DelayConfig
    servers: ServerConfig
    callers: CallerConfig
    endpoint_list: EndpointListConfig
    faults: dict[str, FaultConfig]
    shared: str
    recorded: dict[int, list[RecordedCall]] | None = None
    ledger: bool = False
    between: ScenarioGossipConfig | None = None
    paths: dict[str, PathFaultConfig] = msgspec.field(default_factory=dict)

    def edge_ini(
        self,
        place: int,
        listen: str,
        list_service: str,
        cache: str,
        accounts: str = "",
        ledger: str = "",
        between: Mapping[str, str] | None = None,
    ) -> str:
        """Returns the text of the INI file with which edge proxy number `place` is started."""
        own = {
            "name": f"e{place}",
            "listen": listen,
            "list_service": list_service,
            "place": str(place),
            "region": self.region_of_edge(place),
            "region_place": str(self.index_in_region(place)),
            "accounts": accounts,
            "seed": str(self.run.seed * 1_000 + place),
            "list_cache": cache,
        }
        rows = [f"{key} = {value}" for key, value in own.items() if value]
        shared = self.shared.replace("[ledger]", f"[ledger]\nfolder = {ledger}") if ledger else self.shared
        if self.between is not None and between is not None:
            own = {
                "period": f"{self.between.period}ns",
                "remembers": f"{self.between.remembers}ns",
                **between,
            }
            rows += ["", "[between]", *(f"{key} = {value}" for key, value in own.items())]
        return "\n".join(["[edge]", *rows, "", shared])

    def edge_config(
        self, place: int, listen: str, list_service: str, cache: str = "", accounts: str = ""
    ) -> EdgeConfig:
        """Returns the configuration of edge proxy number `place`; raises InvalidConfigError."""
        ini = self.edge_ini(place, listen, list_service, cache, accounts)
        return edge_config(IniFile(ini, f"edge e{place}"))

    @property
    def edge_regions(self) -> dict[str, str]:
        """The regions of the edge proxies, by the proxies' names."""
        return {f"e{place}": self.region_of_edge(place) for place in range(self.fleet.edge_proxies)}

    def edges_of(self, words: TextList, regions: Mapping[str, str] | None = None) -> frozenset[str]:
        """Returns the edge proxies that `words` list by name or region; a word may join several with +.

        `regions`: the region of each edge proxy by name, for a fleet that differs from this scenario's.
        """
        regions = self.edge_regions if regions is None else regions
        names: set[str] = set()
        for part in (part.strip() for word in words for part in word.split("+")):
            names |= {name for name, region in regions.items() if region == part} or {part}
        return frozenset(names)

    @property
    def late_edges(self) -> frozenset[str]:
        """The edge proxies that start after the scenario has begun."""
        late_starts = [fault for fault in self.faults.values() if fault.kind == "balancer_late"]
        return frozenset().union(*(self.edges_of(fault.on) for fault in late_starts))

    def index_in_region(self, place: int) -> int:
        """Returns the index of edge proxy number `place` among those of its region."""
        region = self.region_of_edge(place)
        return sum(self.region_of_edge(other) == region for other in range(place))

    def region_of_edge(self, place: int) -> str:
        """Returns the region of edge proxy number `place`, or "" if there is no such proxy."""
        return _region_at(place, {name: region.edges for name, region in self.regions.items()})

    def region_of_server(self, number: int) -> str:
        """Returns the region of server `number`, or "" if there is no such server."""
        return _region_at(number, {name: region.servers for name, region in self.regions.items()})

    @property
    def objectives(self) -> dict[str, int]:
        """Latency objectives by traffic type."""
        return {name: traffic.objective for name, traffic in self.traffic.items()}

    @property
    def importance(self) -> dict[str, float]:
        """Priority weights by traffic type."""
        return {name: traffic.importance for name, traffic in self.traffic.items()}

    @property
    def server_count(self) -> int:
        """The number of servers in all regions."""
        return _server_count(self.regions)


def _region_at(index: int, counts: Mapping[str, int]) -> str:
    """Returns the region of instance `index`; instances are numbered region by region, `counts` in each."""
    for name, count in counts.items():
        index -= count
        if index < 0:
            return name
    return ""


def scenario_config(ini: IniFile, name: str) -> ScenarioConfig:
    """Returns the scenario in a file; raises InvalidConfigError with all of its problems."""
    ini.check_sections(
        ("day", "fleet", "links", "delays", "servers", "callers", "list", "ledger", "crossing", "between"),
        ("traffic", "mix", "region", "trouble", "crossing", "attempts", "path"),
    )
    run = ini.read_section("day", RunConfig)
    fleet = ini.read_section("fleet", FleetConfig)
    links = ini.read_section("links", LinkConfig, required=False)
    delays = ini.read_section("delays", DelayConfig, required=False)
    servers = ini.read_section("servers", ServerConfig, required=False)
    callers = ini.read_section("callers", CallerConfig)
    endpoint_list = ini.read_section("list", EndpointListConfig, required=False)
    _check_ledger(ini)
    traffic = traffic_types(ini)
    mix, regions, faults = _read_named_sections(ini, fleet)
    gossip, paths = _read_paths(ini, fleet, set(regions))
    recorded = None
    if callers and fleet and run:
        recorded = _recorded_calls(ini, callers, run.seed, (fleet.edge_proxies, _server_count(regions)))
    ini.raise_problems()
    return ScenarioConfig(
        name=name,
        run=present(run),
        fleet=present(fleet),
        links=present(links),
        traffic=traffic,
        mix=valid_sections(mix),
        regions=valid_sections(regions),
        delays=present(delays),
        servers=present(servers),
        callers=present(callers),
        endpoint_list=present(endpoint_list),
        faults=valid_sections(faults),
        shared=_shared_text(ini),
        recorded=recorded,
        ledger="ledger" in ini.sections,
        between=gossip,
        paths=valid_sections(paths),
    )


def load_scenario(path: Path) -> ScenarioConfig:
    """Loads the scenario in the file at `path` and names it after the file; raises InvalidConfigError."""
    return scenario_config(IniFile.load(path), path.stem)


def _check_ledger(ini: IniFile) -> None:
    section = ini.read_section("ledger", LedgerConfig, required=False)
    if section and "folder" in ini.sections.get("ledger", {}):
        ini.add_problem(
            "ledger", "folder", "must not be set: each edge proxy of a scenario gets its own folder"
        )


def _read_named_sections(
    ini: IniFile, fleet: FleetConfig | None
) -> tuple[dict[str, MixConfig | None], dict[str, RegionConfig | None], dict[str, FaultConfig | None]]:
    """Reads the sections [mix TYPE], [region NAME] and [trouble NAME] by name."""
    mix = ini.read_sections("mix", MixConfig)
    regions = ini.read_sections("region", RegionConfig)
    faults = ini.read_sections("trouble", FaultConfig)
    for traffic_type in mix:
        if traffic_type not in ini.names_of("traffic"):
            ini.add_problem(f"mix {traffic_type}", "", f"there is no [traffic {traffic_type}]")
    if not mix:
        ini.add_problem("", "", "no [mix TYPE] section, so no calls would be made")
    if fleet and sum(region.edges for region in regions.values() if region) != fleet.edge_proxies:
        ini.add_problem("fleet", "edge_proxies", "must be the sum of `edges` over the regions")
    if not _server_count(regions):
        ini.add_problem("", "", "no [region NAME] has servers")
    _check_faults(ini, valid_sections(faults))
    return mix, regions, faults


def _check_faults(ini: IniFile, faults: Mapping[str, FaultConfig]) -> None:
    kinds = (*FAULT_KINDS, *MEMBERSHIP_FAULT_KINDS)
    for name, fault in faults.items():
        if fault.kind not in kinds:
            reason = f"unknown kind {fault.kind!r}; known kinds: {', '.join(kinds)}"
            ini.add_problem(f"trouble {name}", "kind", reason)
        if fault.kind == "balancer_late" and not fault.on:
            ini.add_problem(f"trouble {name}", "on", "missing: the edge proxies that start late")


def _read_paths(
    ini: IniFile, fleet: FleetConfig | None, regions: set[str]
) -> tuple[ScenarioGossipConfig | None, dict[str, PathFaultConfig | None]]:
    """Reads the sections [between] and [path NAME]."""
    gossip = ini.read_section("between", ScenarioGossipConfig) if "between" in ini.sections else None
    paths = ini.read_sections("path", PathFaultConfig)
    if fleet:
        known = regions | {f"e{place}" for place in range(fleet.edge_proxies)}
        for name, path in valid_sections(paths).items():
            if gossip is None:
                reason = "there is no [between], so no datagrams are sent on any path"
                ini.add_problem(f"path {name}", "", reason)
            _check_path(ini, f"path {name}", path, known)
    return gossip, paths


def _check_path(ini: IniFile, section: str, path: PathFaultConfig, known: set[str]) -> None:
    if path.kind not in PATH_FAULT_KINDS:
        reason = f"unknown kind {path.kind!r}; known kinds: {', '.join(PATH_FAULT_KINDS)}"
        ini.add_problem(section, "kind", reason)
    if path.kind == "split" and len(path.groups) < 2:
        ini.add_problem(section, "groups", "a split needs two groups or more")
    for key in ("senders", "receivers", "groups"):
        for name in (part.strip() for text in getattr(path, key) for part in text.split("+")):
            if name not in known:
                reason = f"{name!r} is neither an edge proxy nor a region of this scenario"
                ini.add_problem(section, key, reason)


def _server_count(regions: Mapping[str, RegionConfig | None]) -> int:
    return sum(region.servers for region in regions.values() if region)


def _recorded_calls(
    ini: IniFile, callers: CallerConfig, seed: int, fleet_size: tuple[int, int]
) -> dict[int, list[RecordedCall]] | None:
    """Reads the recorded calls by edge proxy; None if calls are generated at a rate.

    `fleet_size`: the numbers of edge proxies and of servers.
    """
    if not callers.record:
        _check_rate(ini, callers)
        return None
    for key in ("rate", "on", "off", "drift"):
        if key in ini.sections["callers"]:
            ini.add_problem("callers", key, "call times come from the `record`; set only one of the two")
    calls = read_calls(ini, "callers", "record")
    for traffic_type in sorted({call.traffic_type for call in calls} - set(ini.names_of("mix"))):
        reason = f"has calls of {traffic_type!r}, but there is no [mix {traffic_type}]"
        ini.add_problem("callers", "record", reason)
    edges, servers = fleet_size
    calls_by_edge: dict[int, list[RecordedCall]] = {place: [] for place in range(edges)}
    for index, call in enumerate(calls):
        if call.at < callers.record_from:
            continue
        # Drawn by a checksum of the seed and the index in the record, so that loopback, virtual time and the
        # emulator all draw the same edge proxy.
        drawn_edge = zlib.crc32(b"%d/%d" % (seed, index)) % edges
        edge = drawn_edge if callers.spread or call.edge is None else call.edge
        preferred = None if callers.spread else call.first_choice
        if edge >= edges or (preferred is not None and preferred >= servers):
            name = (
                f"edge proxy {edge} of {edges}" if edge >= edges else f"first choice {preferred} of {servers}"
            )
            reason = f"names {name}, counted from 0; `spread = yes` draws them instead"
            ini.add_problem("callers", "record", reason)
            break
        at = call.at - callers.record_from
        calls_by_edge[edge].append(msgspec.structs.replace(call, at=at, edge=edge, first_choice=preferred))
    return calls_by_edge


def _check_rate(ini: IniFile, callers: CallerConfig) -> None:
    if not callers.rate:
        ini.add_problem("callers", "rate", "missing: set dialogs per second, or a `record` of calls")
    for key in ("record_from", "spread", "times"):
        if key in ini.sections["callers"]:
            ini.add_problem("callers", key, "applies only to a `record`, and none is set")


def _shared_text(ini: IniFile) -> str:
    """Returns the text of the sections that are copied into each edge proxy's own file."""
    lines: list[str] = []
    for section, keys in ini.sections.items():
        if section in SHARED_SECTIONS or section.startswith(SHARED_PREFIXES):
            lines += [f"[{section}]", *(f"{key} = {text}" for key, text in keys.items()), ""]
    if any(section.startswith("crossing") for section in ini.sections):
        for name in ini.names_of("region"):
            edges = ini.sections[f"region {name}"].get("edges", "0")
            lines += [f"[region {name}]", f"edges = {edges}", ""]
    return "\n".join(lines)
