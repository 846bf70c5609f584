"""Questions about an instance's view: what it answers, and how a tool asks several and compares.

A tool holds the fleet's key and is no member: it has no name, and nothing that it says goes into a view.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field

import msgspec
from msgspec import Struct

from valverouter.membership.core import Membership
from valverouter.membership.messages import Said
from valverouter.membership.records import LIVING, State
from valverouter.rollout.keeping import Counts

# Rows in one answer: each a name, a region, an address and numbers, all bounded by the terms.
PAGE_BYTES = 1_000


class ViewQuery(Said, frozen=True, array_like=True, tag="?"):
    """Show me page `page` of your view. Its `name` is empty."""

    nonce: int = 0
    page: int = 0


class CountersQuery(Said, frozen=True, array_like=True, tag="c"):
    """What have you done since your start? Asked by an instance's keeper."""

    nonce: int = 0


class CountersReply(Said, frozen=True, array_like=True, tag="C"):
    nonce: int = 0
    counters: Counts = Counts()


class MemberRow(Struct, frozen=True, array_like=True):
    """A member as an instance sees it. `since_ms`: how long it has been so."""

    name: str
    region: str
    place: int
    address: str
    generation: int
    incarnation: int
    state: State
    since_ms: int
    version: str
    config_digest: str
    phase: int
    name_conflict: bool

    @property
    def size(self) -> int:
        return 64 + sum(len(t.encode()) for t in (self.name, self.region, self.address, self.version))


class ViewPage(Said, frozen=True, array_like=True, tag="!"):
    """One page of a view. `counts`: what was found and dropped since the start, by word."""

    nonce: int = 0
    page: int = 0
    page_count: int = 1
    view_health: str = ""
    counts: dict[str, int] = msgspec.field(default_factory=dict)
    rows: tuple[MemberRow, ...] = ()


def member_rows(core: Membership, now: int) -> list[MemberRow]:
    """The whole view, with the seeds that nobody is known at."""
    rows = [
        MemberRow(
            name=one.name,
            region=one.region,
            place=one.place,
            address=one.address,
            generation=one.number,
            incarnation=one.life,
            state=one.state,
            since_ms=(now - core.view.since[name]) // 1_000_000,
            version=one.version,
            config_digest=one.terms,
            phase=int(one.phase),
            name_conflict=one.twin,
        )
        for name, one in sorted(core.view.records.items())
    ]
    known = {row.address for row in rows}
    rows += [
        MemberRow("", "", 0, seed, 0, 0, State.UNKNOWN, 0, "", "", 0, False)
        for seed in core.seeds
        if seed not in known
    ]
    return rows


def paginate(rows: list[MemberRow]) -> list[tuple[MemberRow, ...]]:
    pages: list[list[MemberRow]] = [[]]
    room = PAGE_BYTES // 2  # the counts go with the first page
    for row in rows:
        if row.size > room and pages[-1]:
            pages.append([])
            room = PAGE_BYTES
        pages[-1].append(row)
        room -= row.size
    return [tuple(page) for page in pages]


@dataclass(slots=True)
class ViewAnswer:
    """One instance's answer, page by page; whole once all have come."""

    address: str
    name: str = ""
    incarnation: int = 0
    digest: int = 0
    view_health: str = ""
    counts: dict[str, int] = field(default_factory=dict)
    pages: dict[int, tuple[MemberRow, ...]] = field(default_factory=dict)
    page_count: int = 1

    def add_page(self, shown: ViewPage) -> None:
        if (shown.life, shown.digest) != (self.incarnation, self.digest):
            # It changed its mind between two pages: pages of two views make none.
            self.pages.clear()
        self.name, self.incarnation, self.digest, self.view_health = (
            shown.name,
            shown.life,
            shown.digest,
            shown.view_health,
        )
        self.page_count = shown.page_count
        self.counts = shown.counts or self.counts
        self.pages[shown.page] = shown.rows

    @property
    def missing_page(self) -> int | None:
        return next((page for page in range(self.page_count) if page not in self.pages), None)

    @property
    def rows(self) -> list[MemberRow]:
        return [row for page in sorted(self.pages) for row in self.pages[page]]


def find_differences(answers: Iterable[ViewAnswer]) -> dict[str, dict[str, list[str]]]:
    """By member: what it is believed to be, and by whom, where those asked do not all say the same."""
    answers = [one for one in answers if one.missing_page is None]
    beliefs: dict[str, dict[str, list[str]]] = {}
    names = {row.name for one in answers for row in one.rows if row.name}
    for one in answers:
        by_name = {row.name: row for row in one.rows if row.name}
        for name in names:
            row = by_name.get(name)
            word = "not known" if row is None else _word(row)
            beliefs.setdefault(name, {}).setdefault(word, []).append(one.name)
    return {name: words for name, words in sorted(beliefs.items()) if len(words) > 1}


def _word(row: MemberRow) -> str:
    return f"{row.state.name.lower()} at {row.address}, life {row.incarnation:016x}"


def is_converged(answers: list[ViewAnswer]) -> bool:
    """One digest over all that were asked, each of whom trusts it, and everybody there was asked."""
    whole = [one for one in answers if one.missing_page is None]
    if not whole or len(whole) < len(answers) or len({one.digest for one in whole}) > 1:
        return False
    if any(one.view_health != "settled" for one in whole):
        return False
    return all(row.state in LIVING for row in whole[0].rows if row.name in {one.name for one in whole})
