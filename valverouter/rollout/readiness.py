"""Whether an instance is back in service: by what it does, never by how long it has been back.

It is where its program runs as desired, by the step that is desired; it serves, with the server list and a
server; and it takes its share of the dialogs that its peers (same kind and region) take. Where no peer
takes any, no share is asked for. A process other than the one observed before begins anew.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass
from typing import NamedTuple

from valverouter.rollout.operations import NO_STEP, DesiredState
from valverouter.rollout.reports import InstanceCounters, StepOutcome, SupervisorReport

# Of the mean that its peers accepted since it came back. Callers are not spread evenly.
MIN_TRAFFIC_FRACTION = 0.1
# An older report says nothing about the present, ns.
MAX_REPORT_AGE = 3 * 10**9


class PeerBaseline(NamedTuple):
    """A peer's process, and the dialogs that it had accepted when an instance came back."""

    incarnation: int
    accepted: int


@dataclass(slots=True)
class Observation:
    """An instance's latest report, and what it and its peers had accepted when its process was first seen.

    `received_at`: ns. `made_after`: a moment of this clock after which the report was certainly made, since
    it answers a message that left then: a report that was long under way must not count as news.
    """

    report: SupervisorReport
    received_at: int
    made_after: int
    incarnation: int = 0
    initial_accepted: int = 0
    peer_baselines: dict[str, PeerBaseline] | None = None

    def is_fresh(self, now: int) -> bool:
        """Whether the report says something about the present."""
        return now - self.made_after <= MAX_REPORT_AGE


class ReadinessTracker:
    """The latest report of each instance, by name."""

    def __init__(self, now: int) -> None:
        """`now`: ns; nothing was heard before."""
        self.started_at = now
        self.observations: dict[str, Observation] = {}

    def record_report(self, now: int, report: SupervisorReport, made_after: int) -> None:
        """Takes a report; see `Observation` for `made_after`."""
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
        """Whether the latest report of an instance says something about the present."""
        observation = self.observations.get(name)
        return observation is not None and observation.is_fresh(now)

    def time_since_report(self, name: str, now: int) -> int:
        """Since the latest report of an instance, or since this tracker was made if that is later; ns."""
        observation = self.observations.get(name)
        return now - max(self.started_at, observation.received_at if observation else 0)

    def is_ready(
        self, name: str, desired: DesiredState, now: int, is_unavailable: Callable[[str], bool]
    ) -> bool:
        """Whether an instance's latest report shows it in service as desired.

        Peers of which `is_unavailable` holds are no measure of a share.
        """
        observation = self.observations.get(name)
        if observation is None or not observation.is_fresh(now):
            return False
        report = observation.report
        if not desired.up or not _is_serving(report) or not _matches_desired_state(report, desired):
            return False
        return report.info.capacity == 0 or self._takes_traffic_share(observation, is_unavailable)

    def forget(self, names: Iterable[str]) -> None:
        """Drops what is known of instances."""
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
    """A step that failed is not done, even if the instance serves: the desired program did not come up."""
    is_done = report.outcome == StepOutcome.DONE or desired.step_id == NO_STEP
    return is_done and report.step_id == desired.step_id and report.version == desired.version


def _accepted_since(counters: InstanceCounters, baseline: int) -> int:
    return counters.accepted - baseline


def _are_peers(report: SupervisorReport, other: SupervisorReport) -> bool:
    return report.info.kind is other.info.kind and report.info.region == other.info.region
