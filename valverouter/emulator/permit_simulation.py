"""Simulates instances that become unavailable under permits of a Raft group, with random faults.

Permit holders request permits, become unavailable, crash in that state, and restart later. The limits are
checked against the holders that are really unavailable in the simulation, not only against the state that the
group has replicated.
"""

from __future__ import annotations

import random
from collections import Counter
from dataclasses import dataclass

from valverouter.emulator.event_queue import EventQueue
from valverouter.emulator.raft_group import InvariantViolationError, RaftGroup, SimulatedMember
from valverouter.rollout.disruption_limits import DisruptionLimits, Instance, InstanceKind
from valverouter.rollout.disruption_permits import (
    EnrollInstances,
    Fence,
    InstanceLost,
    InstanceReturned,
    Permit,
    PermitCommand,
    PermitDecision,
    RequestPermit,
)
from valverouter.rollout.raft import COMPACTION_THRESHOLD, SECOND

REGIONS = ("north", "south", "west")
# The fraction of decisions that are delivered a second time, and the delay of that copy.
LATE_COPY_FRACTION = 0.1
LATE_COPY_DELAY = 3 * SECOND
# Interval at which a restarted holder repeats its return report until the group has applied it.
REPEAT_INTERVAL = 2 * SECOND


@dataclass(slots=True)
class PermitHolder:
    """An instance that requests permits to become unavailable at random times.

    `is_unavailable`: its real state, which may differ from the replicated one. `request_id`: the id of the
    pending request; empty: there is none.
    """

    instance: Instance
    is_unavailable: bool = False
    permit: Permit | None = None
    request_id: str = ""
    request_count: int = 0
    is_dead: bool = False
    is_loss_reported: bool = False

    @property
    def name(self) -> str:
        """The instance's name."""
        return self.instance.name


class PermitSimulation:
    """One simulation run, determined by its seed.

    `injected_fault` disables a rule, to test that the checks detect the violation: "disk" (a member that lost
    its disk still votes under its former disk id), "fence" (a holder acts on any permit).
    """

    def __init__(
        self,
        seed: int,
        group_size: int = 3,
        holder_count: int = 12,
        limits: DisruptionLimits | None = None,
        loss: float = 0.02,
        injected_fault: str = "",
        compaction_threshold: int = COMPACTION_THRESHOLD,
    ) -> None:
        """Bootstraps the group and schedules the first action of each holder at a random time."""
        self.events = EventQueue()
        self.draws = random.Random(f"council/{seed}")
        self.injected_fault = injected_fault
        self.limits = limits or DisruptionLimits(max_unavailable=3, max_unavailable_per_region=2)
        self.group = RaftGroup(
            self.events, self.draws, group_size, loss, self._on_applied, injected_fault, compaction_threshold
        )
        instances = [
            Instance(f"e{index}", InstanceKind.EDGE, REGIONS[index % len(REGIONS)], 100)
            for index in range(holder_count)
        ]
        self.holders = {instance.name: PermitHolder(instance) for instance in instances}
        self.fence = Fence()
        for holder in self.holders.values():
            self.events.call_at(int(self.draws.random() * 4 * SECOND), self._on_holder_due, holder)

    @property
    def counts(self) -> Counter[str]:
        """Event counts by kind: faults, and permits that were used, rejected or stale."""
        return self.group.counts

    def run(self, seconds: float, faults_per_second: float = 1.0) -> None:
        """Runs the simulation with faults at random times, except in the last fifth of the run."""
        end = int(seconds * SECOND)
        faults_end = int(0.8 * end)
        self.events.call_at(2 * SECOND, self._enroll)
        time = 3 * SECOND + int(self.draws.expovariate(faults_per_second) * SECOND)
        while time < faults_end:
            self.events.call_at(time, self._cause_fault)
            time += int(self.draws.expovariate(faults_per_second) * SECOND)
        self.events.call_at(faults_end, self.group.end_faults)
        self.events.call_every(SECOND, self.group.repair_membership)
        self.events.run_until(end)

    def _draw_duration(self, least_s: float, most_s: float) -> int:
        return int(self.draws.uniform(least_s, most_s) * SECOND)

    def _enroll(self) -> None:
        """Proposes the enrolment once a second until it is applied, as a proposal may be lost."""
        if any(member.register.instances for member in self.group.running_members):
            return
        instances = tuple(holder.instance for holder in self.holders.values())
        self.group.propose(EnrollInstances(instances, ((InstanceKind.EDGE, self.limits),)))
        self.events.call_after(SECOND, self._enroll)

    def _cause_fault(self) -> None:
        names = sorted(self.group.members)
        name = self.draws.choice(names)
        kind = self.draws.random()
        if kind < 0.25:
            self.group.crash(name)
            self.events.call_after(self._draw_duration(0.1, 6), self.group.start, name)
        elif kind < 0.45:
            self.group.pause(name, self._draw_duration(0.5, 10))
        elif kind < 0.65:
            side = frozenset(self.draws.sample(names, self.draws.randint(1, len(names) - 1)))
            self.group.partition(side, self._draw_duration(0.5, 6))
        elif kind < 0.9:
            self._kill_holder(self.draws.choice(sorted(self.holders)))
        elif self.group.is_complete:
            # One disk at a time: if two of three disks are lost, committed entries may be lost with them.
            self.group.lose_disk(name)
            self.events.call_after(self._draw_duration(0.1, 3), self.group.start, name)

    # Decisions

    def _on_applied(
        self, member: SimulatedMember, command: PermitCommand, decision: PermitDecision | None
    ) -> None:
        if decision is not None:
            self.events.call_after(self.group.network.draw_delay(), self._on_decision, decision)
            if self.draws.random() < LATE_COPY_FRACTION:
                self.events.call_after(LATE_COPY_DELAY, self._on_late_copy, decision.permit)
        if not isinstance(command, InstanceLost):
            self._check_permits(member)

    def _on_decision(self, decision: PermitDecision) -> None:
        holder = self.holders[decision.id.partition("/")[0]]
        if holder.request_id != decision.id or holder.is_dead:
            return
        holder.request_id = ""
        if decision.permit is None:
            self.counts["refused"] += 1
        elif self._accepts(decision.permit):
            self.counts["out"] += 1
            self._become_unavailable(holder, decision.permit)

    def _on_late_copy(self, permit: Permit | None) -> None:
        """Delivers a late copy of a decision; its holder may already have used the permit and returned."""
        if permit is None:
            return
        holder = self.holders[permit.name]
        if not holder.is_dead and not holder.is_unavailable and self._accepts(permit):
            holder.request_id = ""
            self._become_unavailable(holder, permit)

    def _accepts(self, permit: Permit) -> bool:
        if self.injected_fault == "fence" or self.fence.accepts(permit):
            return True
        self.counts["void"] += 1
        return False

    def _become_unavailable(self, holder: PermitHolder, permit: Permit) -> None:
        holder.permit, holder.is_unavailable = permit, True
        self._check_limits()

    # Holders

    def _on_holder_due(self, holder: PermitHolder) -> None:
        self.events.call_after(self._draw_duration(0.2, 3), self._on_holder_due, holder)
        if holder.is_dead:
            return
        if holder.is_unavailable:
            if holder.permit is not None and self.draws.random() < 0.5:
                self._become_available(holder)
        elif holder.permit is not None:
            # It is available again, and repeats its report until the group has applied it.
            self._report_return(holder)
        else:
            self._request_permit(holder)

    def _request_permit(self, holder: PermitHolder) -> None:
        if not holder.request_id:
            holder.request_count += 1
            holder.request_id = f"{holder.name}/{holder.request_count}"
        self.group.propose(RequestPermit(holder.request_id, holder.name, "roll"))

    def _become_available(self, holder: PermitHolder) -> None:
        assert holder.permit is not None
        holder.is_unavailable = False
        self.fence.end(holder.permit)
        self._report_return(holder)

    def _report_return(self, holder: PermitHolder) -> None:
        assert holder.permit is not None
        self.group.propose(InstanceReturned(holder.name, holder.permit.number))
        if self._is_return_applied(holder.permit):
            holder.permit = None

    def _is_return_applied(self, permit: Permit) -> bool:
        """Whether any running member has applied the end of the permit; a holder can't know more."""
        return any(
            member.applied_index >= permit.number and member.register.unavailable.get(permit.name) != permit
            for member in self.group.running_members
        )

    def _kill_holder(self, name: str) -> None:
        """Kills a holder, which is unavailable without a permit until its supervisor restarts it."""
        holder = self.holders[name]
        if holder.is_dead:
            return
        holder.is_dead = True
        self.counts["died"] += 1
        self.events.call_after(SECOND, self._report_loss, holder)
        self.events.call_after(self._draw_duration(2, 8), self._restart_holder, holder)

    def _report_loss(self, holder: PermitHolder) -> None:
        if holder.is_dead and not holder.is_unavailable:
            holder.is_loss_reported = True
            self.group.propose(InstanceLost(holder.name))

    def _restart_holder(self, holder: PermitHolder) -> None:
        """Restarts a dead holder; it learns its permit, if it had one, from its supervisor."""
        holder.is_dead = False
        holder.request_id = ""
        if holder.is_loss_reported:
            holder.is_loss_reported = False
            self.group.propose(InstanceReturned(holder.name, 0))
            self.events.call_after(REPEAT_INTERVAL, self._repeat_return, holder)

    def _repeat_return(self, holder: PermitHolder) -> None:
        """Repeats the report of a return without a permit while a running member lists the holder as lost."""
        registers = [member.register for member in self.group.running_members]
        is_lost = any(register.unavailable.get(holder.name, holder) is None for register in registers)
        if is_lost and not holder.is_dead:
            self.group.propose(InstanceReturned(holder.name, 0))
            self.events.call_after(REPEAT_INTERVAL, self._repeat_return, holder)

    # Checks

    def _check_permits(self, member: SimulatedMember) -> None:
        """Raises InvariantViolationError if a member's register has more permits than the limits allow."""
        unavailable = member.register.unavailable
        with_permit = sum(permit is not None for permit in unavailable.values())
        if with_permit > self.limits.max_unavailable:
            raise InvariantViolationError(
                f"{sorted(unavailable)} are unavailable under permits, limit {self.limits.max_unavailable}"
            )

    def _check_limits(self) -> None:
        """Raises InvariantViolationError if more holders are really unavailable than the limits allow."""
        regions = [holder.instance.region for holder in self.holders.values() if holder.is_unavailable]
        if len(regions) > self.limits.max_unavailable:
            raise InvariantViolationError(
                f"{len(regions)} instances are unavailable at {self.events.now / SECOND:.1f} s, "
                f"limit {self.limits.max_unavailable}"
            )
        for region, count in Counter(regions).items():
            allowed = self.limits.max_unavailable_in(region)
            if count > allowed:
                raise InvariantViolationError(f"{count} of {region} are unavailable, limit {allowed}")
