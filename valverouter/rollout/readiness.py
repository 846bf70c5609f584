"""Readiness: whether an instance is back in service, by its reported activity and not by a waiting time.

An instance is ready if all of these hold: its program runs in the desired state, and the desired step is
done; it is serving, and has the endpoint list and a server; and it accepts its share of dialogs compared with
its peers (same kind and region). If no peer accepts any dialogs, no share is required. After a restart of the
process, its share is measured from zero.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass
from typing import NamedTuple

from valverouter.rollout.operations import NO_STEP, DesiredState
from valverouter.rollout.reports import InstanceCounters, StepOutcome, SupervisorReport

# Minimum number of dialogs that an instance must have accepted since its process was first seen, as a
# fraction of the mean of its peers. Callers are not distributed evenly over instances.
MIN_TRAFFIC_FRACTION = 0.1
# Maximum age of a report that describes the present state, ns.
MAX_REPORT_AGE = 3 * 10**9


class PeerBaseline(NamedTuple):
    """A peer's process, and the dialogs it had accepted when an instance's process was first seen.

    A peer with another incarnation has restarted since, and its counter can't be compared.
    """

    incarnation: int
    accepted: int


@dataclass(slots=True)
class Observation:
    """An instance's latest report, and the dialog counts at the first report of its process.

    `initial_accepted`: its own count; `peer_baselines`: those of its peers, by name. `received_at`: ns.
    `made_after`: the time, on the same clock, at which the message was sent that this report answers. The
    report was made after it, so a delay on the way does not make the report look newer.
    """

    report: SupervisorReport
    received_at: int
    made_after: int
    incarnation: int = 0
    initial_accepted: int = 0
    peer_baselines: dict[str, PeerBaseline] | None = None

    def is_fresh(self, now: int) -> bool:
        """Whether the report is recent enough to describe the present state."""
        return now - self.made_after <= MAX_REPORT_AGE


class ReadinessTracker:
    """Tracks the latest report of each instance, by name."""

    def __init__(self, now: int) -> None:
        """`now` in ns; starts without any reports."""
        self.started_at = now
        self.observations: dict[str, Observation] = {}

    def record_report(self, now: int, report: SupervisorReport, made_after: int) -> None:
        """Records a report; see `Observation` for `made_after`."""
        name, counters = report.info.name, report.counters
        previous = self.observations.get(name)
        observation = self.observations[name] = Observation(report, now, made_after)
        if not counters.incarnation:
            return
        observation.incarnation = counters.incarnation
        is_same_process = previous is not None and previous.incarnation == counters.incarnation
        if previous is not None and is_same_process and previous.peer_baselines is not None:
            observation.initial_accepted = previous.initial_accepted
            observation.peer_baselines = previous.peer_baselines
        else:
            observation.initial_accepted = counters.accepted
            observation.peer_baselines = self._peer_baselines(report)

    def has_fresh_report(self, name: str, now: int) -> bool:
        """Whether an instance has a report that is recent enough to describe its present state."""
        observation = self.observations.get(name)
        return observation is not None and observation.is_fresh(now)

    def time_since_report(self, name: str, now: int) -> int:
        """The time since an instance's latest report, or since the tracker was created if later; ns."""
        observation = self.observations.get(name)
        return now - max(self.started_at, observation.received_at if observation else 0)

    def is_ready(
        self, name: str, desired: DesiredState, now: int, is_unavailable: Callable[[str], bool]
    ) -> bool:
        """Whether an instance's latest report shows that it is in service and in its desired state.

        Peers for which `is_unavailable` returns true are excluded from the comparison.
        """
        observation = self.observations.get(name)
        if observation is None or not observation.is_fresh(now):
            return False
        report = observation.report
        if not desired.up or not _is_serving(report) or not _matches_desired_state(report, desired):
            return False
        return report.info.capacity == 0 or self._takes_traffic_share(observation, is_unavailable)

    def forget(self, names: Iterable[str]) -> None:
        """Removes the reports of instances."""
        for name in names:
            self.observations.pop(name, None)

    def _peer_baselines(self, report: SupervisorReport) -> dict[str, PeerBaseline]:
        return {
            name: PeerBaseline(observation.incarnation, observation.report.counters.accepted)
            for name, observation in self.observations.items()
            if name != report.info.name and _are_peers(observation.report, report)
        }

    def _takes_traffic_share(self, observation: Observation, is_unavailable: Callable[[str], bool]) -> bool:
        peer_counts = []
        for name, baseline in (observation.peer_baselines or {}).items():
            peer = self.observations.get(name)
            if peer is not None and peer.incarnation == baseline.incarnation and not is_unavailable(name):
                peer_counts.append(_accepted_since(peer.report.counters, baseline.accepted))
        if not peer_counts:
            return True
        own = _accepted_since(observation.report.counters, observation.initial_accepted)
        return own >= MIN_TRAFFIC_FRACTION * sum(peer_counts) / len(peer_counts)


def _is_serving(report: SupervisorReport) -> bool:
    counters = report.counters
    return report.is_running and counters.serving and counters.ready and not report.is_leaving


def _matches_desired_state(report: SupervisorReport, desired: DesiredState) -> bool:
    """Whether the desired step is done and the desired version runs.

    An instance whose step failed does not match, even if it is serving: the desired program did not start.
    """
    is_done = report.outcome == StepOutcome.DONE or desired.step_id == NO_STEP
    return is_done and report.step_id == desired.step_id and report.version == desired.version


def _accepted_since(counters: InstanceCounters, baseline: int) -> int:
    return counters.accepted - baseline


def _are_peers(report: SupervisorReport, other: SupervisorReport) -> bool:
    return report.info.kind is other.info.kind and report.info.region == other.info.region
