"""Questions about an instance's view: what it answers, and how a tool asks several and compares.

A tool holds the fleet's key and is no member: it has no name, and nothing that it says goes into a view.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field

import msgspec
from msgspec import Struct

from valverouter.membership.membership import Membership
from valverouter.membership.messages import FleetMessage
from valverouter.membership.records import LIVE_STATES, MemberState
from valverouter.rollout.keeping import Counts

# Rows in one answer: each a name, a region, an address and numbers, all bounded by the terms.
ROWS_ROOM = 1_000


class Query(FleetMessage, frozen=True, array_like=True, tag="?"):
    """Show me page `page` of your view. Its `name` is empty."""

    nonce: int = 0
    page: int = 0


class Count(FleetMessage, frozen=True, array_like=True, tag="c"):
    """What have you done since your start? Asked by an instance's keeper."""

    nonce: int = 0


class Counted(FleetMessage, frozen=True, array_like=True, tag="C"):
    nonce: int = 0
    counts: Counts = Counts()


class Row(Struct, frozen=True, array_like=True):
    """A member as an instance sees it. `since_ms`: how long it has been so."""

    name: str
    region: str
    place: int
    address: str
    number: int
    life: int
    state: MemberState
    since_ms: int
    version: str
    terms: str
    phase: int
    twin: bool

    @property
    def size(self) -> int:
        return 64 + sum(len(t.encode()) for t in (self.name, self.region, self.address, self.version))


class Shown(FleetMessage, frozen=True, array_like=True, tag="!"):
    """One page of a view. `counts`: what was found and dropped since the start, by word."""

    nonce: int = 0
    page: int = 0
    pages: int = 1
    trust: str = ""
    counts: dict[str, int] = msgspec.field(default_factory=dict)
    rows: tuple[Row, ...] = ()


def rows_of(core: Membership, now: int) -> list[Row]:
    """The whole view, with the seeds that nobody is known at."""
    rows = [
        Row(
            name=one.name,
            region=one.region,
            place=one.place,
            address=one.address,
            number=one.generation,
            life=one.incarnation,
            state=one.state,
            since_ms=(now - core.view.state_since[name]) // 1_000_000,
            version=one.version,
            terms=one.config_digest,
            phase=int(one.phase),
            twin=one.name_conflict,
        )
        for name, one in sorted(core.view.records.items())
    ]
    known = {row.address for row in rows}
    rows += [
        Row("", "", 0, seed, 0, 0, MemberState.UNKNOWN, 0, "", "", 0, False)
        for seed in core.seeds
        if seed not in known
    ]
    return rows


def pages_of(rows: list[Row]) -> list[tuple[Row, ...]]:
    pages: list[list[Row]] = [[]]
    room = ROWS_ROOM // 2  # the counts go with the first page
    for row in rows:
        if row.size > room and pages[-1]:
            pages.append([])
            room = ROWS_ROOM
        pages[-1].append(row)
        room -= row.size
    return [tuple(page) for page in pages]


@dataclass(slots=True)
class Heard:
    """One instance's answer, page by page; whole once all have come."""

    address: str
    name: str = ""
    life: int = 0
    digest: int = 0
    trust: str = ""
    counts: dict[str, int] = field(default_factory=dict)
    pages: dict[int, tuple[Row, ...]] = field(default_factory=dict)
    wanted: int = 1

    def take(self, shown: Shown) -> None:
        if (shown.incarnation, shown.digest) != (self.life, self.digest):
            # It changed its mind between two pages: pages of two views make none.
            self.pages.clear()
        self.name, self.life, self.digest, self.trust = (
            shown.name,
            shown.incarnation,
            shown.digest,
            shown.trust,
        )
        self.wanted = shown.pages
        self.counts = shown.counts or self.counts
        self.pages[shown.page] = shown.rows

    @property
    def missing(self) -> int | None:
        return next((page for page in range(self.wanted) if page not in self.pages), None)

    @property
    def rows(self) -> list[Row]:
        return [row for page in sorted(self.pages) for row in self.pages[page]]


def differences(answers: Iterable[Heard]) -> dict[str, dict[str, list[str]]]:
    """By member: what it is believed to be, and by whom, where those asked do not all say the same."""
    answers = [one for one in answers if one.missing is None]
    beliefs: dict[str, dict[str, list[str]]] = {}
    names = {row.name for one in answers for row in one.rows if row.name}
    for one in answers:
        by_name = {row.name: row for row in one.rows if row.name}
        for name in names:
            row = by_name.get(name)
            word = "not known" if row is None else _word(row)
            beliefs.setdefault(name, {}).setdefault(word, []).append(one.name)
    return {name: words for name, words in sorted(beliefs.items()) if len(words) > 1}


def _word(row: Row) -> str:
    return f"{row.state.name.lower()} at {row.address}, life {row.life:016x}"


def is_settled(answers: list[Heard]) -> bool:
    """One digest over all that were asked, each of whom trusts it, and everybody there was asked."""
    whole = [one for one in answers if one.missing is None]
    if not whole or len(whole) < len(answers) or len({one.digest for one in whole}) > 1:
        return False
    if any(one.trust != "settled" for one in whole):
        return False
    return all(row.state in LIVE_STATES for row in whole[0].rows if row.name in {one.name for one in whole})
