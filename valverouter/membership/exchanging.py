"""Whole views, compared and sent: where two differ, what of it goes into a message, and how often.

Everything here is rare or bounded by a period: the steady traffic of an instance must not grow with its
fleet.
"""

from __future__ import annotations

from collections.abc import Iterator

from valverouter.membership.records import Record
from valverouter.membership.view import BUCKETS, View


def differing(mine: list[int], theirs: tuple[int, ...]) -> list[int]:
    """Buckets with different sums; both have a sum for each."""
    return [at for at in range(BUCKETS) if mine[at] != theirs[at]]


def wanted(buckets: tuple[int, ...]) -> set[int]:
    """Those of the buckets asked for that there are."""
    return {at for at in buckets if 0 <= at < BUCKETS}


def pages(view: View, mine: Record, buckets: set[int], room: int) -> Iterator[tuple[Record, ...]]:
    """Records of the buckets, ours first whatever its bucket, in pages of `room` bytes at most."""
    page, left = [mine], room - mine.size
    for record in view.of_buckets(buckets):
        if record.name == mine.name:
            continue
        if record.size > left:
            yield tuple(page)
            page, left = [], room
        page.append(record)
        left -= record.size
    yield tuple(page)


class Seldom:
    """Once a span for each address, however often it asks: corrections and questions that others cause."""

    def __init__(self, span: int) -> None:
        self._span = span
        self._at: dict[str, int] = {}

    def may(self, address: str, now: int) -> bool:
        at = self._at.get(address)
        if at is not None and now - at < self._span:
            return False
        self._at[address] = now
        return True

    def clear(self) -> None:
        """So that the table holds what asked since the last exchange, and no more."""
        self._at.clear()
