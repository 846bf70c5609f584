"""The files of a council's seat and of an instance's keeper, checked and typed; and what a tool needs of
either."""

from __future__ import annotations

import shlex
import shutil
from pathlib import Path
from typing import Annotated

from msgspec import Meta, Struct

from valverouter.terms.between import key_at, told_address
from valverouter.terms.edge import Log
from valverouter.terms.ini import IniFile, LongSpan, Named, Positive, Share, Span, Whole, Words, is_address

SECOND = 10**9
SORTS = ("edge proxies", "servers")
SEATS = (1, 3, 5)
Chance = Annotated[float, Meta(gt=0, lt=0.5)]


class _Seat(Struct, frozen=True):
    name: Named
    listen: Named
    key: Named
    store: Named
    council: Words
    advertise: str = ""
    also: str = ""
    silent: LongSpan = 4 * SECOND
    not_reached: LongSpan = 15 * SECOND
    unsettled: LongSpan = 30 * SECOND


class LimitTerms(Struct, frozen=True):
    """[limits SORT]: how many may be out at once, in all and in a region; shares of a region that must
    stay."""

    most: Positive
    in_region: Positive
    regions: Words = ()
    least_capacity: Share = 0.0
    least_processor: Share = 0.0

    @property
    def by_region(self) -> dict[str, int]:
        return {name: int(count) for name, _, count in (word.partition(" ") for word in self.regions)}


class EvidenceTerms(Struct, frozen=True):
    """[evidence]: of a release; see docs/rollout.md."""

    false_halt: Chance = 0.001
    missed: Chance = 0.05
    odds: Annotated[float, Meta(gt=1, le=100)] = 2.0
    least: Positive = 500
    watch: LongSpan = 5 * SECOND
    ends: Positive = 2


class SeatTerms(Struct, frozen=True):
    """A seat of the council. `council`: every seat's address by its name. Spans in ns."""

    name: str
    listen: str
    advertise: str
    keys: tuple[bytes, ...]
    store: Path
    council: dict[str, str]
    limits: dict[str, LimitTerms]
    evidence: EvidenceTerms
    log: Log
    silent: int
    not_reached: int
    unsettled: int


class _Keeper(Struct, frozen=True):
    name: Named
    listen: Named
    key: Named
    store: Named
    council: Words
    version: Named
    asks: str = ""
    list_service: str = ""
    drain_within: Span = 10 * SECOND
    sort: Annotated[str, Meta(pattern="^(edge proxy|server)$")] = "edge proxy"
    region: str = ""
    capacity: Whole = 0
    processor: Annotated[float, Meta(ge=0)] = 0.0
    advertise: str = ""
    also: str = ""
    stop_within: LongSpan = 15 * SECOND
    hears_within: Span = 3 * SECOND
    output: str = ""


class _Version(Struct, frozen=True):
    command: Named


class KeeperTerms(Struct, frozen=True):
    """A keeper of one instance. `asks`: where its instance is asked for its counts, its [between] address.
    `list_service` is asked for a server's drain, and `drain_within` is how long it then has to empty.
    `version`: what it starts where nothing was ordered yet. `commands`: by version. Spans in ns."""

    name: str
    listen: str
    advertise: str
    keys: tuple[bytes, ...]
    store: Path
    council: dict[str, str]
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
    log: Log


class ToolTerms(Struct, frozen=True):
    """What a tool needs to reach the council."""

    keys: tuple[bytes, ...]
    council: dict[str, str]


def seat_terms(ini: IniFile) -> SeatTerms:
    """A seat's; FlawedTermsError with every flaw."""
    ini.only(("seat", "evidence", "log"), ("limits",))
    seat = ini.read("seat", _Seat)
    evidence = ini.read("evidence", EvidenceTerms, required=False)
    log = ini.read("log", Log, required=False)
    limits = {}
    for sort in ini.named("limits"):
        if sort not in SORTS:
            ini.flaw(f"limits {sort}", "", f"known are [limits {SORTS[0]}] and [limits {SORTS[1]}]")
        told = ini.read(f"limits {sort}", LimitTerms)
        if told is not None:
            _check_limits(ini, sort, told)
            limits[sort] = told
    if seat and not limits:
        ini.flaw("", "", "no [limits ...] section: nothing could ever go out")
    keys: tuple[bytes, ...] = ()
    council: dict[str, str] = {}
    if seat:
        keys, council = _reach(ini, "seat", seat)
        if council and seat.name not in council:
            ini.flaw("seat", "council", f"{seat.name} itself is not in it")
        if council and len(council) not in SEATS:
            ini.flaw("seat", "council", f"{len(council)} seats; wanted are 3 or 5, or 1 to try it")
    ini.done()
    assert seat
    assert evidence
    assert log
    return SeatTerms(
        name=seat.name,
        listen=seat.listen,
        advertise=seat.advertise,
        keys=keys,
        store=ini.folder / seat.store,
        council=council,
        limits=limits,
        evidence=evidence,
        log=log,
        silent=seat.silent,
        not_reached=seat.not_reached,
        unsettled=seat.unsettled,
    )


def _check_limits(ini: IniFile, sort: str, told: LimitTerms) -> None:
    section = f"limits {sort}"
    if told.in_region > told.most:
        ini.flaw(section, "in_region", f"{told.in_region} in a region are more than the {told.most} in all")
    for word in told.regions:
        name, _, count = word.partition(" ")
        if not name or not count.strip().isascii() or not count.strip().isdigit() or int(count) < 1:
            ini.flaw(section, "regions", f"{word!r} is not a region and how many, as in north 2")
        elif int(count) > told.most:
            ini.flaw(section, "regions", f"{count} of {name} are more than the {told.most} in all")
    if told.least_capacity >= 1 or told.least_processor >= 1:
        ini.flaw(section, "", "a least of 1 or more could never be met with anybody out")


def keeper_terms(ini: IniFile) -> KeeperTerms:
    """A keeper's; FlawedTermsError with every flaw."""
    ini.only(("keeper", "log"), ("version",))
    keeper = ini.read("keeper", _Keeper)
    log = ini.read("log", Log, required=False)
    commands = {}
    for name in ini.named("version"):
        told = ini.read(f"version {name}", _Version)
        if told is not None:
            commands[name] = _command(ini, f"version {name}", told.command)
    keys: tuple[bytes, ...] = ()
    council: dict[str, str] = {}
    if keeper:
        keys, council = _reach(ini, "keeper", keeper)
        if keeper.asks:
            told_address(ini, "keeper", "asks", keeper.asks, told_port=True)
        elif keeper.sort == "edge proxy":
            ini.flaw("keeper", "asks", "missing: where the edge proxy is asked, its [between] address")
        if keeper.sort == "server" and not is_address(keeper.list_service):
            ini.flaw("keeper", "list_service", f"{keeper.list_service!r} is no HOST:PORT")
        if keeper.version not in commands:
            ini.flaw("keeper", "version", f"there is no [version {keeper.version}]")
    ini.done()
    assert keeper
    assert log
    return KeeperTerms(
        name=keeper.name,
        listen=keeper.listen,
        advertise=keeper.advertise,
        keys=keys,
        store=ini.folder / keeper.store,
        council=council,
        asks=keeper.asks,
        list_service=keeper.list_service,
        drain_within=keeper.drain_within,
        is_server=keeper.sort == "server",
        region=keeper.region,
        capacity=keeper.capacity,
        processor=keeper.processor,
        version=keeper.version,
        commands=commands,
        stop_within=keeper.stop_within,
        hears_within=keeper.hears_within,
        output=keeper.output,
        log=log,
    )


def _command(ini: IniFile, section: str, text: str) -> tuple[str, ...]:
    try:
        words = tuple(shlex.split(text))
    except ValueError as error:
        ini.flaw(section, "command", f"{text!r}: {error}")
        return ()
    if not words or shutil.which(words[0], path=None) is None:
        ini.flaw(section, "command", f"there is no program {words[0] if words else ''!r} to start")
    return words


def _reach(ini: IniFile, section: str, told: _Seat | _Keeper) -> tuple[tuple[bytes, ...], dict[str, str]]:
    """The keys and the council of a seat's or a keeper's section; its own addresses are checked too."""
    told_address(ini, section, "listen", told.listen, told_port=False)
    if told.advertise:
        told_address(ini, section, "advertise", told.advertise, told_port=True)
    files = (("key", told.key), ("also", told.also))
    keys = [key_at(ini, section, name, path) for name, path in files if path]
    return tuple(key for key in keys if key), _council(ini, section, told.council)


def _council(ini: IniFile, section: str, words: Words) -> dict[str, str]:
    council: dict[str, str] = {}
    for word in words:
        name, _, address = word.partition(" ")
        address = address.strip()
        if not name or not address:
            ini.flaw(section, "council", f"{word!r} is not a seat and its address, as in c0 10.0.0.1:7000")
            continue
        if name in council:
            ini.flaw(section, "council", f"{name} is named twice")
        told_address(ini, section, "council", address, told_port=True)
        council[name] = address
    if not words:
        ini.flaw(section, "council", "names nobody")
    return council


def tool_terms(ini: IniFile) -> ToolTerms:
    """From any seat's or keeper's file."""
    if "seat" in ini.sections:
        seat = seat_terms(ini)
        return ToolTerms(seat.keys, seat.council)
    if "keeper" in ini.sections:
        keeper = keeper_terms(ini)
        return ToolTerms(keeper.keys, keeper.council)
    ini.flaw("", "", "neither a [seat] nor a [keeper]: the council can't be reached by it")
    ini.done()
    raise AssertionError


def load_seat(path: Path) -> SeatTerms:
    return seat_terms(IniFile.load(path))


def load_keeper(path: Path) -> KeeperTerms:
    return keeper_terms(IniFile.load(path))


def load_tool(path: Path) -> ToolTerms:
    return tool_terms(IniFile.load(path))
