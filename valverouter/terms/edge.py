"""The terms of one edge proxy: the INI file of `valverouter edge`, checked and typed."""

from __future__ import annotations

from hashlib import blake2b
from pathlib import Path
from typing import Annotated

import trio
from msgspec import Meta, Struct

from valverouter.interface import CrossRegionConfig, Deployment, TrafficType
from valverouter.terms.attempts import AttemptSections, attempt_sections
from valverouter.terms.between import Between, between_terms
from valverouter.terms.crossing import crossing_terms
from valverouter.terms.ini import (
    FlawedTermsError,
    IniFile,
    LongSpan,
    Named,
    Numbers,
    Positive,
    Rate,
    Span,
    Whole,
    is_address,
)

MS, SECOND = 10**6, 10**9
# Between two readings of a file at reload.
SETTLES = 100 * MS

ATTEMPTS = ("attempts", "trunk-group", "server-set")

Legs = Annotated[int, Meta(ge=1, le=6)]
# What the set-up protocol carries: a name of so many characters, spans up to an hour, frames of 64 KiB. Terms
# past that would start an instance whose every message its peers refuse.
PeerName = Annotated[str, Meta(min_length=1, max_length=128)]
HOUR = 3_600 * SECOND
ToldSpan = Annotated[int, Meta(ge=0, le=HOUR, extra={"as": "span"})]
Margin = Annotated[int, Meta(gt=0, lt=HOUR, extra={"as": "span"})]
Waiting = Annotated[int, Meta(ge=64 * 1024 + 4, le=10**9)]


class Traffic(Struct, frozen=True):
    """[traffic NAME]: what dialogs of this type are worth, how soon, and which servers may take them."""

    objective: LongSpan
    importance: Rate = 1.0
    length: Span = 0
    repeatable: bool = True
    servers: Numbers = ()


class Fleet(Struct, frozen=True):
    """[fleet]: what every edge proxy of a fleet is told alike; the rules' figures."""

    edge_proxies: Positive
    list_is_pushed: bool = True
    legs_allowed: Legs = 6
    may_cancel: bool = True
    come_back_limit: ToldSpan = 2 * SECOND
    release_wait: Span = 300 * MS
    cold_share: Annotated[float, Meta(gt=0, le=1)] = 1.0
    tip_multiple: Rate = 1.0
    tip_span: Span = SECOND
    warm_after: Span = 0


class Links(Struct, frozen=True):
    """[links]: spans of connections and what may wait at the edge for a slow peer."""

    connect_within: LongSpan = 500 * MS
    reconnect_least: Span = 0
    hello_within: LongSpan = 2 * SECOND
    silence: LongSpan = 30 * SECOND
    waiting_bytes: Waiting = 256 * 1024
    open_dialogs: Positive = 20_000
    callers: Positive = 10_000
    stop_within: Span = 10 * SECOND


class LedgerTerms(Struct, frozen=True):
    """[ledger]: where what is owed is kept over a restart; without a folder it is not.

    `sync` none: a killed process loses nothing, a machine that goes down the last moments; each: nothing, for
    a wait at each turn. `most`: bytes. `resume_within`: how long callers have to come back for what stands.
    """

    folder: str = ""
    sync: Annotated[str, Meta(pattern="^(none|each)$")] = "none"
    most: Annotated[int, Meta(ge=1024 * 1024, le=2**40)] = 64 * 1024 * 1024
    resume_within: LongSpan = 5 * SECOND


class Log(Struct, frozen=True):
    """[log]: `form` json or console; `level` as logging has it."""

    form: Annotated[str, Meta(pattern="^(json|console)$")] = "json"
    level: Annotated[str, Meta(pattern="^(debug|info|warning|error)$")] = "info"


class _Edge(Struct, frozen=True):
    name: PeerName
    listen: Named
    list_service: Named
    place: Whole = 0
    region: str = ""
    region_place: Whole = 0
    seed: Whole = 0
    list_cache: str = ""
    accounts: str = ""
    returns: bool = False
    answer_margin: Margin = 50 * MS


class EdgeTerms(Struct, frozen=True):
    """All that one edge proxy is told at its start.

    `answer_margin` is taken off every dialog's no-answer time before the decisions see it, so that an answer
    given at the last moment still travels in time. Spans are whole nanoseconds. `ends`: the file says where
    it ends, so that one read half written is told from a short one.
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
    links: Links
    log: Log
    crossing: CrossRegionConfig | None = None
    accounts: str = ""
    attempts: AttemptSections = AttemptSections()
    ends: bool = False
    returns: bool = False
    ledger: LedgerTerms = LedgerTerms()
    between: Between | None = None
    # Of the file's text, for others to tell whether they run by the same.
    digest: str = ""


def edge_terms(ini: IniFile) -> EdgeTerms:
    """The edge's terms; raises FlawedTermsError with every flaw of the file."""
    ini.only(
        ("edge", "fleet", "links", "log", "ledger", "between", "crossing"),
        ("traffic", "region", "crossing", *ATTEMPTS),
    )
    edge = ini.read("edge", _Edge)
    fleet = ini.read("fleet", Fleet)
    links = ini.read("links", Links, required=False)
    log = ini.read("log", Log, required=False)
    ledger = ini.read("ledger", LedgerTerms, required=False)
    traffic = traffic_types(ini)
    attempts = attempt_sections(ini, set(ini.named("traffic")))
    crossing = between = None
    if edge and fleet:
        crossing = crossing_terms(
            ini, edge.region, edge.place, fleet.edge_proxies, edge.region_place, set(ini.named("traffic"))
        )
        if edge.place >= fleet.edge_proxies:
            ini.flaw("edge", "place", f"{edge.place} must be less than edge_proxies, {fleet.edge_proxies}")
        between = between_terms(ini, edge.region)
        for key in ("listen", "list_service"):
            if not is_address(getattr(edge, key)):
                ini.flaw("edge", key, f"{getattr(edge, key)!r} is no HOST:PORT")
    ini.done()
    assert edge
    assert fleet
    assert links
    assert log
    assert ledger
    return EdgeTerms(
        name=edge.name,
        listen=edge.listen,
        list_service=edge.list_service,
        place=edge.place,
        region=edge.region,
        seed=edge.seed,
        list_cache=edge.list_cache,
        answer_margin=edge.answer_margin,
        deployment=deployment(fleet, traffic, edge.place),
        links=links,
        log=log,
        crossing=crossing,
        accounts=edge.accounts,
        attempts=attempts,
        returns=edge.returns,
        ends=ini.ends,
        ledger=ledger,
        between=between,
        digest=blake2b(shared_text(ini).encode(), digest_size=4).hexdigest(),
    )


def shared_text(ini: IniFile) -> str:
    """What all files of a fleet have alike: every section but the instance's own."""
    return "\n".join(
        f"[{section}] {key} = {text}"
        for section, keys in ini.sections.items()
        if section not in ("edge", "log", "ledger", "between")
        for key, text in keys.items()
    )


def traffic_types(ini: IniFile) -> dict[str, Traffic]:
    """The [traffic NAME] sections; notes the flaw of having none."""
    found = {name: ini.read(f"traffic {name}", Traffic) for name in ini.named("traffic")}
    if not found and not ini.flaws:
        ini.flaw("", "", "no [traffic NAME] section: no dialog could be taken")
    return {name: kind for name, kind in found.items() if kind}


def deployment(fleet: Fleet, traffic: dict[str, Traffic], place: int) -> Deployment:
    """The terms in the words of the decisions."""
    return Deployment(
        traffic_types={
            name: TrafficType(
                latency_objective=kind.objective,
                priority_weight=kind.importance,
                mean_duration=kind.length,
                idempotent=kind.repeatable,
                server_numbers=frozenset(kind.servers) if kind.servers else None,
            )
            for name, kind in traffic.items()
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


def load_edge_terms(path: Path) -> EdgeTerms:
    return edge_terms(IniFile.load(path))


async def load_settled(path: Path, again: int = SETTLES, tries: int = 20) -> EdgeTerms:
    """The terms of a file that may be in the middle of being written: read until two readings agree.

    `again`: between readings, ns. Raises FlawedTermsError as `edge_terms` does, or where it never settles.
    """
    before, now = None, IniFile.load(path)
    for _ in range(tries):
        await trio.sleep(again / SECOND)
        before, now = now, IniFile.load(path)
        if before.text == now.text:
            return await trio.to_thread.run_sync(edge_terms, now)
    now.flaw("", "", f"still being written after {tries} readings", 0)
    raise FlawedTermsError(now.flaws)
