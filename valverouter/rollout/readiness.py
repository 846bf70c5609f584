"""Whether an instance is in: by what it does, never by how long it has been back.

In is: its program runs as wanted, by the turn that is wanted; it serves, with the list and a server; and it
takes its share of the dialogs that those beside it take. Where nobody beside it takes any, no share is asked.
A process that is another than the one last seen begins anew.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass

from valverouter.rollout.operations import DesiredState
from valverouter.rollout.supervisor import SupervisorReport

# Of the mean that those of its region took since it came back. Callers are not spread evenly.
MIN_TRAFFIC_FRACTION = 0.1
# What was heard for so long ago says nothing of now, ns.
MAX_REPORT_AGE = 3 * 10**9


@dataclass(slots=True)
class Observation:
    """A report, when it came here, and what its instance had taken when this process was first seen up.

    `since`: a moment here after which it was made for certain, since it answers a word sent then; a report
    that was long under way must not pass for news. `base`: of the others of its region, by name.
    """

    report: SupervisorReport
    received_at: int
    made_after: int
    incarnation: int = 0
    initial_accepted: int = 0
    peer_baseline: dict[str, tuple[int, int]] | None = None


class ReadinessTracker:
    """The last report of each instance, by name."""

    def __init__(self, began: int) -> None:
        self.started_at = began
        self.observations: dict[str, Observation] = {}

    def record_report(self, now: int, report: SupervisorReport, made_after: int) -> None:
        name, counts = report.info.name, report.counters
        before = self.observations.get(name)
        seen = self.observations[name] = Observation(report, now, made_after)
        if not counts.incarnation:
            return
        seen.incarnation = counts.incarnation
        if (
            before is not None
            and before.incarnation == counts.incarnation
            and before.peer_baseline is not None
        ):
            seen.initial_accepted, seen.peer_baseline = before.initial_accepted, before.peer_baseline
        else:
            seen.initial_accepted = counts.accepted
            seen.peer_baseline = {
                other: (one.incarnation, one.report.counters.accepted)
                for other, one in self.observations.items()
                if other != name and _beside(one.report, report)
            }

    def has_fresh_report(self, name: str, now: int) -> bool:
        seen = self.observations.get(name)
        return seen is not None and now - seen.made_after <= MAX_REPORT_AGE

    def time_since_report(self, name: str, now: int) -> int:
        """Since its last report, or since this watch began."""
        seen = self.observations.get(name)
        return now - max(self.started_at, seen.received_at if seen else 0)

    def is_ready(self, name: str, desired: DesiredState, now: int, is_out: Callable[[str], bool]) -> bool:
        """Whether what it told lately shows it in. `is_out`: of others; they are no measure of a share."""
        seen = self.observations.get(name)
        if seen is None or now - seen.made_after > MAX_REPORT_AGE:
            return False
        report, counts = seen.report, seen.report.counters
        serves = report.is_running and counts.serving and counts.ready and not report.is_leaving
        # A turn that failed and serves all the same is no turn done: what is wanted did not come up.
        done = report.step_id == desired.step_id and (report.outcome == "done" or desired.step_id == (0, 0))
        if not serves or not done or report.version != desired.version or not desired.up:
            return False
        return report.info.capacity == 0 or self._takes_share(seen, is_out)

    def _takes_share(self, seen: Observation, is_out: Callable[[str], bool]) -> bool:
        others = [
            one.report.counters.accepted - taken
            for name, (life, taken) in (seen.peer_baseline or {}).items()
            if (one := self.observations.get(name)) is not None
            and one.incarnation == life
            and not is_out(name)
        ]
        if not others:
            return True
        return seen.report.counters.accepted - seen.initial_accepted >= MIN_TRAFFIC_FRACTION * sum(
            others
        ) / len(others)

    def forget(self, names: Iterable[str]) -> None:
        for name in names:
            self.observations.pop(name, None)


def _beside(one: SupervisorReport, other: SupervisorReport) -> bool:
    return one.info.kind is other.info.kind and one.info.region == other.info.region
