"""The client side of view queries: assembles answers from their pages, and compares answers."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field

from valverouter.fleet.queries import MemberRow, ViewPage
from valverouter.membership.convergence import ViewHealth
from valverouter.membership.records import LIVE_STATES

# Reported state of a member that is missing from a view.
NOT_KNOWN = "not known"


@dataclass(slots=True)
class ViewAnswer:
    """One instance's view, assembled from pages; complete once `missing_page` is None."""

    address: str
    name: str = ""
    incarnation: int = 0
    digest: int = 0
    view_health: str = ""
    counts: dict[str, int] = field(default_factory=dict)
    pages: dict[int, tuple[MemberRow, ...]] = field(default_factory=dict)
    page_count: int = 1

    def add_page(self, page: ViewPage) -> None:
        """Adds a page; discards the earlier ones if the view has changed since they were sent."""
        if (page.incarnation, page.digest) != (self.incarnation, self.digest):
            self.pages.clear()
        self.name = page.name
        self.incarnation = page.incarnation
        self.digest = page.digest
        self.view_health = page.view_health
        self.page_count = page.page_count
        self.counts = page.counts or self.counts
        self.pages[page.page] = page.rows

    @property
    def missing_page(self) -> int | None:
        """Returns the first page that has not arrived yet; None if the answer is complete."""
        return next((page for page in range(self.page_count) if page not in self.pages), None)

    @property
    def rows(self) -> list[MemberRow]:
        """Returns the rows of the pages that have arrived, in order."""
        return [row for page in sorted(self.pages) for row in self.pages[page]]


def find_differences(answers: Iterable[ViewAnswer]) -> dict[str, dict[str, list[str]]]:
    """Returns the members on which complete answers differ, by name.

    For each, the reported states with the names of the instances that report them.
    """
    complete = [answer for answer in answers if answer.missing_page is None]
    members = {row.name for answer in complete for row in answer.rows if row.name}
    states_by_member: dict[str, dict[str, list[str]]] = {}
    for answer in complete:
        rows = {row.name: row for row in answer.rows if row.name}
        for member in members:
            state = _reported_state(rows.get(member))
            states_by_member.setdefault(member, {}).setdefault(state, []).append(answer.name)
    return {member: states for member, states in sorted(states_by_member.items()) if len(states) > 1}


def _reported_state(row: MemberRow | None) -> str:
    if row is None:
        return NOT_KNOWN
    return f"{row.state.name.lower()} at {row.address}, life {row.incarnation:016x}"


def is_converged(answers: list[ViewAnswer]) -> bool:
    """Returns whether all answers are complete, settled on one digest, and from live members."""
    complete = [answer for answer in answers if answer.missing_page is None]
    if not complete or len(complete) < len(answers):
        return False
    if len({answer.digest for answer in complete}) > 1:
        return False
    if any(answer.view_health != ViewHealth.SETTLED.value for answer in complete):
        return False
    names = {answer.name for answer in complete}
    return all(row.state in LIVE_STATES for row in complete[0].rows if row.name in names)
