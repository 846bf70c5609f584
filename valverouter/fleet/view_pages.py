"""The server side of view queries: a membership view as rows, split into pages that fit a datagram."""

from __future__ import annotations

from valverouter.fleet.queries import MemberRow, ViewPage, ViewQuery
from valverouter.membership.membership import Membership
from valverouter.membership.records import MemberRecord, MemberState

# Maximum encoded size of the rows of one page. Texts in rows are bounded by the configuration's limits.
PAGE_BYTES = 1_000
NS_PER_MS = 1_000_000


def view_page(membership: Membership, now: int, query: ViewQuery, counts: dict[str, int]) -> ViewPage | None:
    """Returns the requested page; None if the view has no such page. `now` in ns."""
    pages = paginate(member_rows(membership, now))
    if not 0 <= query.page < len(pages):
        return None
    return ViewPage(
        membership.own_record.name,
        membership.own_record.incarnation,
        membership.view.digest,
        query.nonce,
        query.page,
        len(pages),
        membership.view_health.value,
        counts if query.page == 0 else {},
        pages[query.page],
    )


def member_rows(membership: Membership, now: int) -> list[MemberRow]:
    """Returns all members of the view by name, then the seed addresses of unknown members. `now` in ns."""
    view = membership.view
    rows = [_member_row(view.records[name], now - view.state_since[name]) for name in sorted(view.records)]
    known_addresses = {row.address for row in rows}
    rows += [_unknown_seed_row(seed) for seed in membership.seeds if seed not in known_addresses]
    return rows


def _member_row(record: MemberRecord, age: int) -> MemberRow:
    return MemberRow(
        name=record.name,
        region=record.region,
        place=record.place,
        address=record.address,
        generation=record.generation,
        incarnation=record.incarnation,
        state=record.state,
        since_ms=age // NS_PER_MS,
        version=record.version,
        config_digest=record.config_digest,
        phase=int(record.phase),
        name_conflict=record.name_conflict,
    )


def _unknown_seed_row(address: str) -> MemberRow:
    return MemberRow(
        name="",
        region="",
        place=0,
        address=address,
        generation=0,
        incarnation=0,
        state=MemberState.UNKNOWN,
        since_ms=0,
        version="",
        config_digest="",
        phase=0,
        name_conflict=False,
    )


def paginate(rows: list[MemberRow]) -> list[tuple[MemberRow, ...]]:
    """Splits the rows into pages of at most PAGE_BYTES; returns at least one page, which may be empty."""
    pages: list[list[MemberRow]] = [[]]
    free_bytes = PAGE_BYTES // 2  # the first page also has the counts
    for row in rows:
        if row.size > free_bytes and pages[-1]:
            pages.append([])
            free_bytes = PAGE_BYTES
        pages[-1].append(row)
        free_bytes -= row.size
    return [tuple(page) for page in pages]
