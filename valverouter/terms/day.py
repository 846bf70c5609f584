"""A scripted day: fleet, load and troubles in one INI file, for loopback, virtual time and the emulator
alike."""

from __future__ import annotations

import zlib
from collections.abc import Mapping
from pathlib import Path
from typing import Annotated

import msgspec
from msgspec import Meta, Struct

from valverouter.terms.between import Period, Remembers
from valverouter.terms.calls import Call, read_calls
from valverouter.terms.edge import EdgeTerms, Fleet, LedgerTerms, Links, Traffic, edge_terms, traffic_types
from valverouter.terms.ini import IniFile, LongSpan, PerSecond, Positive, Rate, Share, Span, Whole, Words

MS, SECOND = 10**6, 10**9

KINDS = (
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
# Of edge proxies that leave and come; the emulator plays them for the view alone.
COMING_KINDS = ("balancer_late", "balancer_leave")


# As the paths' model has them.
PATH_KINDS = ("loss", "late", "twice", "swapped", "cut", "split")


class DayTerms(Struct, frozen=True):
    """[day]: `settle` is what a loopback run waits before the first dialog, so that all links are up."""

    length: LongSpan
    seed: Whole = 1
    settle: Span = SECOND
    slack: Span = 25 * MS


class Region(Struct, frozen=True):
    """[region NAME]: how many edge proxies and servers stand there."""

    edges: Whole = 0
    servers: Whole = 0


class Delays(Struct, frozen=True):
    """[delays]: one way, within a region and between two; `jitter` is the share by which each word varies."""

    same: Span = 0
    cross: Span = 0
    jitter: Share = 0.0


class Servers(Struct, frozen=True):
    """[servers]: what each is made of; spans of work are those of a warm processor."""

    lines: Positive = 1_000
    setup_work: LongSpan = 10 * MS
    answer_work: Span = 3 * MS
    release_work: Span = 3 * MS
    refuse_work: Span = MS
    repeat_work: Span = 3 * MS
    ring: Span = 0
    most_wait: LongSpan = 2 * SECOND
    tells_wait: bool = False
    tells_lines: bool = True
    report_every: Span = 500 * MS
    resend_first: Span = 0
    set_ups_first: bool = True
    drops_cancelled: bool = False
    spread: Share = 0.0


class Callers(Struct, frozen=True):
    """[callers]: dialogs a second in all, or a record of calls that is played again; and what callers do when
    they are turned away.

    `record`: a file of calls beside the day's (valverouter/terms/calls.py), from its moment `record_from` on;
    `spread`: edge proxies and first choices are drawn and those on record left aside, for a fleet of another
    shape; `times`: how often each is dialled, on average. `local`: their first choice is a server of their
    own edge proxy's region, where it has one. `on`, `off`: mean spans of an on-off load with the same mean
    rate; `drift`: times the rate at the day's end.
    """

    rate: PerSecond = 0.0
    record: str = ""
    record_from: Span = 0
    spread: bool = False
    times: Rate = 1.0
    redials: Whole = 0
    redial_wait: LongSpan = 800 * MS
    patience: Annotated[float, Meta(gt=0, le=1)] = 1.0
    heeds: Share = 1.0
    local: bool = False
    on: LongSpan = SECOND
    off: Span = 0
    drift: Rate = 1.0


class Mix(Struct, frozen=True):
    """[mix TYPE]: this type's part of the dialogs, and when its callers give up for good."""

    share: Rate
    no_answer: LongSpan


class ListTerms(Struct, frozen=True):
    """[list]: how late the service hears of what became of a server."""

    notice: Span = 2 * SECOND
    silent_notice: Span = 6 * SECOND
    add: Span = SECOND


class Trouble(Struct, frozen=True):
    """[trouble NAME]: its kind, when, how long, which part of what it strikes, and how hard.

    `size`: burst: times the rate; slow, ageing: times slower; origin_slow: 1/sqrt(size) of the lines are
    kept; reconnect, hot_key, answer_lost: a share; give_up: times the patience; deploy: how many at once.
    `extra`: a drain's span in a deploy, the lines of the number in a hot_key. `on`: names, where the part is
    not drawn.
    """

    kind: str
    start: Span
    length: Span = 0
    part: Share = 0.25
    size: Rate = 1.0
    extra: Span = 0
    lines: Whole = 6
    on: Words = ()


class DayBetween(Struct, frozen=True):
    """[between]: the edge proxies keep a view of their fleet. `seeds`: how many of the first are everybody's
    seeds. `settles`: within so many periods after the last fault all views must be one."""

    period: Period = SECOND
    remembers: Remembers = 300 * SECOND
    seeds: Positive = 3
    settles: Positive = 30


class PathTerms(Struct, frozen=True):
    """[path NAME]: a fault on the paths between edge proxies, of a kind in servermodel/paths.py.

    `senders`, `receivers`, `groups`: names of edge proxies or of regions; for a group of several, joined
    by +. Left out, senders and receivers are everybody.
    """

    kind: str
    start: Span
    length: LongSpan
    senders: Words = ()
    receivers: Words = ()
    both: bool = False
    share: Share = 0.0
    span: Span = 0
    jitter: Share = 0.0
    groups: Words = ()


class Day(Struct, frozen=True):
    """A whole day, checked."""

    name: str
    terms: DayTerms
    fleet: Fleet
    links: Links
    traffic: dict[str, Traffic]
    mix: dict[str, Mix]
    regions: dict[str, Region]
    delays: Delays
    servers: Servers
    callers: Callers
    list_terms: ListTerms
    troubles: dict[str, Trouble]
    shared: str
    # The calls of a record by edge proxy, in order, from the day's beginning on; None: callers call by rate.
    recorded: dict[int, list[Call]] | None = None
    # Whether the edge proxies keep what they owe over a restart: [ledger], without a folder of its own.
    ledger: bool = False
    # The edge proxies' view of their fleet, and what befalls the paths between them.
    between: DayBetween | None = None
    paths: dict[str, PathTerms] = msgspec.field(default_factory=dict)

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
        """The file that edge proxy number `place` of this day is started with."""
        own = {
            "name": f"e{place}",
            "listen": listen,
            "list_service": list_service,
            "place": str(place),
            "region": self.region_of_edge(place),
            "region_place": str(self.place_in_region(place)),
            "accounts": accounts,
            "seed": str(self.terms.seed * 1_000 + place),
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

    def edge_terms(
        self, place: int, listen: str, list_service: str, cache: str = "", accounts: str = ""
    ) -> EdgeTerms:
        ini = self.edge_ini(place, listen, list_service, cache, accounts)
        return edge_terms(IniFile(ini, f"edge e{place}"))

    @property
    def edge_regions(self) -> dict[str, str]:
        """Each edge proxy's region, by its name."""
        return {f"e{place}": self.region_of_edge(place) for place in range(self.fleet.edge_proxies)}

    def edges_of(self, words: Words, regions: Mapping[str, str] | None = None) -> frozenset[str]:
        """Edge proxies by their names and regions; with + several in one word. `regions`: of another fleet
        than the day's own, by name."""
        regions = self.edge_regions if regions is None else regions
        names: set[str] = set()
        for word in (part.strip() for one in words for part in one.split("+")):
            names |= {name for name, region in regions.items() if region == word} or {word}
        return frozenset(names)

    @property
    def late_edges(self) -> frozenset[str]:
        """Those that a trouble starts, and not the day's beginning."""
        late = [one for one in self.troubles.values() if one.kind == "balancer_late"]
        return frozenset().union(*(self.edges_of(one.on) for one in late))

    def place_in_region(self, place: int) -> int:
        return sum(self.region_of_edge(at) == self.region_of_edge(place) for at in range(place))

    def region_of_edge(self, place: int) -> str:
        return self._region(place, "edges")

    def region_of_server(self, number: int) -> str:
        return self._region(number, "servers")

    def _region(self, at: int, what: str) -> str:
        for name, region in self.regions.items():
            at -= getattr(region, what)
            if at < 0:
                return name
        return ""

    @property
    def objectives(self) -> dict[str, int]:
        return {name: kind.objective for name, kind in self.traffic.items()}

    @property
    def importance(self) -> dict[str, float]:
        return {name: kind.importance for name, kind in self.traffic.items()}

    @property
    def server_count(self) -> int:
        return _servers(self.regions)


def day(ini: IniFile, name: str) -> Day:
    """The day; raises FlawedTermsError with every flaw of the file."""
    ini.only(
        ("day", "fleet", "links", "delays", "servers", "callers", "list", "ledger", "crossing", "between"),
        ("traffic", "mix", "region", "trouble", "crossing", "attempts", "path"),
    )
    terms = ini.read("day", DayTerms)
    fleet = ini.read("fleet", Fleet)
    links = ini.read("links", Links, required=False)
    delays = ini.read("delays", Delays, required=False)
    servers = ini.read("servers", Servers, required=False)
    callers = ini.read("callers", Callers)
    list_terms = ini.read("list", ListTerms, required=False)
    if ini.read("ledger", LedgerTerms, required=False) and "folder" in ini.sections.get("ledger", {}):
        ini.flaw("ledger", "folder", "each edge proxy of a day has a folder of its own")
    traffic = traffic_types(ini)
    mix = {one: ini.read(f"mix {one}", Mix) for one in ini.named("mix")}
    regions = {one: ini.read(f"region {one}", Region) for one in ini.named("region")}
    troubles = {one: ini.read(f"trouble {one}", Trouble) for one in ini.named("trouble")}
    for one in mix:
        if one not in ini.named("traffic"):
            ini.flaw(f"mix {one}", "", f"there is no [traffic {one}]")
    if not mix:
        ini.flaw("", "", "no [mix TYPE] section: nobody would call")
    if fleet and sum(region.edges for region in regions.values() if region) != fleet.edge_proxies:
        ini.flaw("fleet", "edge_proxies", "must be the sum of `edges` over the regions")
    if not _servers(regions):
        ini.flaw("", "", "no [region NAME] has servers")
    for one, trouble in troubles.items():
        if trouble and trouble.kind not in (*KINDS, *COMING_KINDS):
            known = ", ".join((*KINDS, *COMING_KINDS))
            ini.flaw(f"trouble {one}", "kind", f"{trouble.kind!r} is not known; known are {known}")
        if trouble and trouble.kind == "balancer_late" and not trouble.on:
            ini.flaw(f"trouble {one}", "on", "missing: who is not there from the beginning")
    between = ini.read("between", DayBetween) if "between" in ini.sections else None
    paths = {one: ini.read(f"path {one}", PathTerms) for one in ini.named("path")}
    if fleet:
        _check_paths(ini, paths, between, regions, fleet.edge_proxies)
    recorded = None
    if callers and fleet and terms:
        recorded = _recorded(ini, callers, fleet.edge_proxies, terms.seed, mix, _servers(regions))
    ini.done()
    assert terms
    assert fleet
    assert links
    assert delays
    assert servers
    assert callers
    assert list_terms
    return Day(
        name=name,
        terms=terms,
        fleet=fleet,
        links=links,
        traffic=traffic,
        mix={one: part for one, part in mix.items() if part},
        regions={one: region for one, region in regions.items() if region},
        delays=delays,
        servers=servers,
        callers=callers,
        list_terms=list_terms,
        troubles={one: trouble for one, trouble in troubles.items() if trouble},
        shared=_shared(ini),
        recorded=recorded,
        ledger="ledger" in ini.sections,
        between=between,
        paths={one: path for one, path in paths.items() if path},
    )


def _check_paths(
    ini: IniFile,
    paths: Mapping[str, PathTerms | None],
    between: DayBetween | None,
    regions: Mapping[str, Region | None],
    edges: int,
) -> None:
    known = {f"e{place}" for place in range(edges)} | set(regions)
    for one, path in paths.items():
        if path is None:
            continue
        section = f"path {one}"
        if between is None:
            ini.flaw(section, "", "there is no [between], so nothing goes by any path")
        if path.kind not in PATH_KINDS:
            words = ", ".join(PATH_KINDS)
            ini.flaw(section, "kind", f"{path.kind!r} is not known; known are {words}")
        if path.kind == "split" and len(path.groups) < 2:
            ini.flaw(section, "groups", "a split needs two groups or more")
        for key in ("senders", "receivers", "groups"):
            for word in (part.strip() for text in getattr(path, key) for part in text.split("+")):
                if word not in known:
                    ini.flaw(section, key, f"{word!r} is neither an edge proxy nor a region of this day")


def _servers(regions: Mapping[str, Region | None]) -> int:
    return sum(region.servers for region in regions.values() if region)


def _recorded(
    ini: IniFile, callers: Callers, edges: int, seed: int, mix: dict[str, Mix | None], servers: int
) -> dict[int, list[Call]] | None:
    """The record's calls by edge proxy; None where callers call by rate."""
    given = ini.sections["callers"]
    if not callers.record:
        if not callers.rate:
            ini.flaw("callers", "rate", "missing: dialogs a second, or a `record` of calls")
        for key in ("record_from", "spread", "times"):
            if key in given:
                ini.flaw("callers", key, "says something of a `record`, and none is given")
        return None
    for key in ("rate", "on", "off", "drift"):
        if key in given:
            ini.flaw("callers", key, "moments come from the `record`; give one or the other")
    calls = read_calls(ini, "callers", "record")
    for kind in sorted({call.traffic_type for call in calls} - mix.keys()):
        ini.flaw("callers", "record", f"has calls of {kind!r}, and there is no [mix {kind}]")
    dealt: dict[int, list[Call]] = {place: [] for place in range(edges)}
    for at, call in enumerate(calls):
        if call.at < callers.record_from:
            continue
        # Dealt by a digest of seed and place in the record: the same for every kind of run of the day.
        edge, first = zlib.crc32(b"%d/%d" % (seed, at)) % edges, None
        if not callers.spread:
            edge, first = edge if call.edge is None else call.edge, call.first_choice
        if edge >= edges or (first is not None and first >= servers):
            what = f"edge proxy {edge} of {edges}" if edge >= edges else f"first choice {first} of {servers}"
            ini.flaw("callers", "record", f"names {what}, counted from 0; `spread = yes` draws them anew")
            break
        moved = msgspec.structs.replace(call, at=call.at - callers.record_from, edge=edge, first_choice=first)
        dealt[edge].append(moved)
    return dealt


def load_day(path: Path) -> Day:
    return day(IniFile.load(path), path.stem)


def _shared(ini: IniFile) -> str:
    """The sections that each edge proxy's own file takes over word for word."""
    out = []
    for section, keys in ini.sections.items():
        if section in ("fleet", "links", "ledger", "crossing") or section.startswith(
            ("traffic ", "crossing ", "attempts ")
        ):
            out += [f"[{section}]", *(f"{key} = {text}" for key, text in keys.items()), ""]
    if any(section.startswith("crossing") for section in ini.sections):
        for name in ini.named("region"):
            edges = ini.sections[f"region {name}"].get("edges", "0")
            out += [f"[region {name}]", f"edges = {edges}", ""]
    return "\n".join(out)
