"""Whether an instance is in: by what it does, never by how long it has been back.

In is: its program runs as wanted, by the turn that is wanted; it serves, with the list and a server; and it
takes its share of the dialogs that those beside it take. Where nobody beside it takes any, no share is asked.
A process that is another than the one last seen begins anew.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass

from valverouter.rollout.supervisor import Report
from valverouter.rollout.operations import Want

# Of the mean that those of its region took since it came back. Callers are not spread evenly.
SHARE = 0.1
# What was heard for so long ago says nothing of now, ns.
FRESH = 3 * 10**9


@dataclass(slots=True)
class Seen:
    """A report, when it came here, and what its instance had taken when this process was first seen up.

    `since`: a moment here after which it was made for certain, since it answers a word sent then; a report
    that was long under way must not pass for news. `base`: of the others of its region, by name.
    """

    report: Report
    at: int
    since: int
    life: int = 0
    taken: int = 0
    base: dict[str, tuple[int, int]] | None = None


class Watch:
    """The last report of each instance, by name."""

    def __init__(self, began: int) -> None:
        self.began = began
        self.seen: dict[str, Seen] = {}

    def heard(self, now: int, report: Report, since: int) -> None:
        name, counts = report.facts.name, report.counts
        before = self.seen.get(name)
        seen = self.seen[name] = Seen(report, now, since)
        if not counts.life:
            return
        seen.life = counts.life
        if before is not None and before.life == counts.life and before.base is not None:
            seen.taken, seen.base = before.taken, before.base
        else:
            seen.taken = counts.taken
            seen.base = {
                other: (one.life, one.report.counts.taken)
                for other, one in self.seen.items()
                if other != name and _beside(one.report, report)
            }

    def is_fresh(self, name: str, now: int) -> bool:
        seen = self.seen.get(name)
        return seen is not None and now - seen.since <= FRESH

    def silent_for(self, name: str, now: int) -> int:
        """Since its last report, or since this watch began."""
        seen = self.seen.get(name)
        return now - max(self.began, seen.at if seen else 0)

    def is_in(self, name: str, want: Want, now: int, is_out: Callable[[str], bool]) -> bool:
        """Whether what it told lately shows it in. `is_out`: of others; they are no measure of a share."""
        seen = self.seen.get(name)
        if seen is None or now - seen.since > FRESH:
            return False
        report, counts = seen.report, seen.report.counts
        serves = report.runs and counts.serving and counts.ready and not report.leaving
        # A turn that failed and serves all the same is no turn done: what is wanted did not come up.
        done = report.turn == want.turn and (report.outcome == "done" or want.turn == (0, 0))
        if not serves or not done or report.version != want.version or not want.up:
            return False
        return report.facts.capacity == 0 or self._takes_share(seen, is_out)

    def _takes_share(self, seen: Seen, is_out: Callable[[str], bool]) -> bool:
        others = [
            one.report.counts.taken - taken
            for name, (life, taken) in (seen.base or {}).items()
            if (one := self.seen.get(name)) is not None and one.life == life and not is_out(name)
        ]
        if not others:
            return True
        return seen.report.counts.taken - seen.taken >= SHARE * sum(others) / len(others)

    def forget(self, names: Iterable[str]) -> None:
        for name in names:
            self.seen.pop(name, None)


def _beside(one: Report, other: Report) -> bool:
    return one.facts.sort is other.facts.sort and one.facts.region == other.facts.region
