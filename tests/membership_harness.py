"""A fleet in simulated time for the membership tests."""

from __future__ import annotations

import random
from collections import Counter

from valverouter.emulator.membership_simulation import SECOND, MembershipSimulation, SimulatedNode
from valverouter.membership.config import MembershipConfig
from valverouter.membership.events import EventKind, MembershipEvent
from valverouter.membership.records import MemberRecord, next_own_record
from valverouter.servermodel.paths import NetworkPaths, PathFault

SEEDS = ("e0:1", "e1:1", "e2:1")


class SimulatedFleet:
    """A fleet in simulated time; `event_counts` counts events by observer, kind and member."""

    def __init__(
        self,
        member_count: int,
        faults: list[PathFault] | None = None,
        loss: float = 0.0,
        config: MembershipConfig | None = None,
    ) -> None:
        rng = random.Random("paths")
        self.event_counts: Counter[tuple[str, EventKind, str]] = Counter()

        def on_event(node: SimulatedNode, event: MembershipEvent) -> None:
            self.event_counts[node.name, event.kind, event.record.name] += 1

        def delay(sender: str, receiver: str) -> int:
            return 500_000 + int(rng.random() * 1_500_000)

        paths = NetworkPaths(faults or [], rng.random, delay, loss)
        self.simulation = MembershipSimulation(config or MembershipConfig(), paths, 1, on_event)
        self.simulation.start_converged(member_count, SEEDS)

    def event_count(self, kind: EventKind, member: str = "") -> int:
        """Returns the number of events of a kind, about one member or about all members."""
        event_counts = self.event_counts.items()
        return sum(
            count
            for (_, event_kind, name), count in event_counts
            if event_kind is kind and member in ("", name)
        )

    def wait_for_convergence(self, timeout_s: float, stable_s: float = 8.0) -> float:
        """Runs until all views agree and returns the simulated seconds that this took.

        Fails if the views don't agree within `timeout_s`, or don't agree `stable_s` seconds later.
        """
        started_at = self.simulation.now
        converged_at = self.simulation.run_until_converged(started_at + int(timeout_s * SECOND))
        assert converged_at is not None, "the views did not converge in time"
        self.simulation.run_until(self.simulation.now + int(stable_s * SECOND))
        assert self.simulation.is_converged(), "the views converged but did not stay so"
        return (converged_at - started_at) / SECOND


def partition(start_s: float, duration_s: float, *groups: set[str]) -> PathFault:
    """Returns a partition into groups from `start_s`, for `duration_s` seconds."""
    start = int(start_s * SECOND)
    until = start + int(duration_s * SECOND)
    return PathFault("split", start, until, groups=tuple(frozenset(group) for group in groups))


def member_names(count: int) -> set[str]:
    """Returns the names of the first `count` members."""
    return {f"e{number}" for number in range(count)}


def with_later_sequence(record: MemberRecord, steps: int) -> MemberRecord:
    """Returns the record with its sequence increased by `steps`."""
    for _ in range(steps):
        record = next_own_record(record)
    return record
