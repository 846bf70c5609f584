"""Simulates supervised edge proxies: real `Supervisor` objects with simulated programs.

A supervisor's disk and its program survive its crashes. Two properties are checked against what the programs
really did, as it happens: the disruption limits, and that no completed step is repeated.
"""

from __future__ import annotations

import random
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field

import msgspec

from valverouter.emulator.event_queue import EventQueue
from valverouter.emulator.raft_group import InvariantViolationError
from valverouter.rollout.control_plane_node import DesiredStateReply
from valverouter.rollout.disruption_limits import DisruptionLimits, InstanceKind
from valverouter.rollout.operations import StepId
from valverouter.rollout.reports import InstanceCounters, InstanceInfo, StepOutcome, SupervisorReport
from valverouter.rollout.supervisor import STATE_LOST, Supervisor, SupervisorAction
from valverouter.rollout.supervisor_state import SupervisorState

SECOND = 10**9
TICK_INTERVAL = SECOND // 10
REPORT_INTERVAL = SECOND // 2
REGIONS = ("north", "south", "west")
VERSIONS = ("v1", "v2", "crashes", "dies-late", "declines")
# Time from the start of a program to its exit, by version: "crashes" and "dies-late".
CRASH_DELAY = SECOND // 5
LATE_EXIT_DELAY = 12 * SECOND
NEVER = 10**6 * SECOND
# Dialogs per second of one program; fractions rejected by harmless versions and by "declines".
DIALOGS_PER_SECOND = 10.0
REJECTED_FRACTION = 0.01
HARMFUL_REJECTED_FRACTION = 0.11
# A stamp earlier than any message, for nodes from which none has arrived, ns.
LONG_AGO = -(10**18)

ReportSender = Callable[["SimulatedInstance", SupervisorReport], None]


@dataclass(slots=True)
class SimulatedInstance:
    """A supervisor and its program. `disk`: the last saved state of the supervisor, encoded."""

    info: InstanceInfo
    disk: bytes
    # `supervisor` is None while it is down; `incarnation` counts its starts.
    supervisor: Supervisor | None = None
    incarnation: int = 0
    paused_until: int = 0
    has_lost_disk: bool = False
    # The number of the program's process (0: none), the time from which it serves, and the time at which it
    # exits (0: no exit is planned).
    process: int = 0
    version: str = ""
    serves_at: int = 0
    ends_at: int = 0
    accepted: int = 0
    rejected: int = 0
    counted_until: int = 0
    # The latest stamp from each control plane node, returned in the next report to it.
    stamps: dict[str, int] = field(default_factory=dict)
    # The step that makes the instance unavailable now (None: it is available), and all completed steps.
    active_step: StepId | None = None
    steps_done: list[StepId] = field(default_factory=list)

    @property
    def name(self) -> str:
        """The instance's name."""
        return self.info.name

    def made_after(self, node: str) -> int:
        """Returns the stamp of the latest message from a node, or LONG_AGO."""
        return self.stamps.get(node, LONG_AGO)

    def is_current(self, incarnation: int) -> bool:
        """Returns whether the supervisor of that incarnation is still running."""
        return self.supervisor is not None and self.incarnation == incarnation

    def counters(self) -> InstanceCounters:
        """Returns the counters that the program reports to its supervisor."""
        is_serving = not self.ends_at
        return InstanceCounters(self.process, is_serving, True, self.accepted, self.rejected, 0, 0, "settled")


class SupervisedFleet:
    """All instances, by name. `served` and `rejected` count the dialogs of all programs.

    `forgets_steps` injects a fault: supervisors lose their steps at a restart and act without a permit.
    """

    def __init__(
        self,
        events: EventQueue,
        draws: random.Random,
        limits: DisruptionLimits,
        size: int,
        counts: Counter[str],
        forgets_steps: bool,
    ) -> None:
        """`counts`: incremented by kind for each fault and each step that makes an instance unavailable."""
        self.events = events
        self.instances = _new_instances(size)
        self.served = 0
        self.rejected = 0
        # Sends a supervisor's report to the control plane nodes; set by the simulation that has the nodes.
        self.send_report: ReportSender = lambda instance, report: None
        self._draws = draws
        self._limits = limits
        self._counts = counts
        self._forgets_steps = forgets_steps
        self._process_count = 0

    @property
    def down_by_supervisor(self) -> list[str]:
        """The names of instances whose supervisors run and keep the program stopped."""
        return [
            name
            for name, instance in self.instances.items()
            if instance.supervisor is not None and not instance.supervisor.state.up
        ]

    # Faults

    def start(self, name: str) -> None:
        """Starts a supervisor from its disk; does nothing if it runs."""
        instance = self.instances[name]
        if instance.supervisor is not None:
            return
        instance.incarnation += 1
        instance.stamps.clear()
        state = msgspec.msgpack.decode(instance.disk, type=SupervisorState)
        instance.supervisor = Supervisor(instance.info, state)
        # The program may still run from before the supervisor's crash.
        instance.supervisor.resume(bool(instance.process))
        if self._forgets_steps:
            state.steps.clear()
        first_report = int(self._draws.random() * REPORT_INTERVAL)
        self.events.call_after(0, self._tick, instance, instance.incarnation)
        self.events.call_after(first_report, self._report, instance, instance.incarnation)

    def crash(self, name: str) -> None:
        """Kills a supervisor; its program keeps running."""
        self.instances[name].supervisor = None
        self._counts["keeper crashed"] += 1

    def lose_disk(self, name: str) -> None:
        """Kills a supervisor and erases its disk; its program keeps running."""
        instance = self.instances[name]
        self.crash(name)
        # The next supervisor learns the running version from the program.
        instance.disk = msgspec.msgpack.encode(SupervisorState("v1", running_version=instance.version))
        instance.has_lost_disk = True
        self._counts["keeper disk lost"] += 1

    def pause(self, name: str, duration: int) -> None:
        """Suspends a supervisor for `duration` ns; its program keeps running."""
        self.instances[name].paused_until = self.events.now + duration
        self._counts["keeper stopped"] += 1

    def kill_program(self, name: str) -> None:
        """Kills an instance's program, if it runs."""
        instance = self.instances[name]
        if instance.process:
            self._on_program_ended(instance)
            self._counts["killed"] += 1

    def end_faults(self) -> None:
        """Resumes paused supervisors and starts those that are down."""
        for name, instance in self.instances.items():
            instance.paused_until = min(instance.paused_until, self.events.now)
            self.start(name)

    # Supervisors

    def on_reply(
        self, instance: SimulatedInstance, incarnation: int, node: str, reply: DesiredStateReply
    ) -> None:
        """Delivers a node's reply; it is dropped if that incarnation of the supervisor has ended."""
        if instance.supervisor is None or not instance.is_current(incarnation):
            return
        if self._is_paused(instance):
            self.events.call_at(instance.paused_until, self.on_reply, instance, incarnation, node, reply)
            return
        instance.stamps[node] = max(instance.stamps.get(node, 0), reply.stamp)
        is_open = reply.is_open or self._forgets_steps
        instance.supervisor.on_desired_state(self.events.now, reply.desired, is_open)
        self._run_actions(instance, instance.supervisor)

    def _is_paused(self, instance: SimulatedInstance) -> bool:
        return self.events.now < instance.paused_until

    def _tick(self, instance: SimulatedInstance, incarnation: int) -> None:
        if not instance.is_current(incarnation):
            return
        self.events.call_after(TICK_INTERVAL, self._tick, instance, incarnation)
        self._run_program(instance)
        if not self._is_paused(instance):
            assert instance.supervisor is not None
            self._run_actions(instance, instance.supervisor)

    def _report(self, instance: SimulatedInstance, incarnation: int) -> None:
        if instance.supervisor is None or not instance.is_current(incarnation):
            return
        self.events.call_after(REPORT_INTERVAL, self._report, instance, incarnation)
        if not self._is_paused(instance):
            self.send_report(instance, instance.supervisor.report())

    def _run_actions(self, instance: SimulatedInstance, supervisor: Supervisor) -> None:
        """Passes the program's counters to the supervisor and executes all actions that it requests."""
        now = self.events.now
        if instance.process and now >= instance.serves_at:
            supervisor.on_counters(instance.counters())
        while (action := supervisor.next_action(now)) is not None:
            if action is SupervisorAction.SAVE:
                instance.disk = msgspec.msgpack.encode(supervisor.state)
                supervisor.on_saved()
                self._check_saved(instance, supervisor.state)
            elif action is SupervisorAction.STOP:
                supervisor.on_stop_requested()
                instance.ends_at = now + int(self._draws.uniform(0.1, 1.5) * SECOND)
            else:
                self._start_program(instance, supervisor)

    # Programs

    def _start_program(self, instance: SimulatedInstance, supervisor: Supervisor) -> None:
        now = self.events.now
        self._process_count += 1
        instance.process, instance.version = self._process_count, supervisor.state.version
        instance.accepted = instance.rejected = 0
        instance.serves_at = now + int(self._draws.uniform(0.2, 1.0) * SECOND)
        instance.counted_until = instance.serves_at
        instance.ends_at = 0
        if instance.version == "crashes":
            instance.serves_at, instance.ends_at = now + NEVER, now + CRASH_DELAY
        elif instance.version == "dies-late":
            instance.ends_at = now + LATE_EXIT_DELAY
        supervisor.on_started(now, instance.version)

    def _run_program(self, instance: SimulatedInstance) -> None:
        """Advances the program to the present time: its exit, or its accepted and rejected dialogs."""
        now = self.events.now
        if instance.ends_at and now >= instance.ends_at:
            self._on_program_ended(instance)
            return
        if not instance.process or now < instance.serves_at:
            return
        duration = now - max(instance.counted_until, instance.serves_at)
        instance.counted_until = now
        dialogs = int(DIALOGS_PER_SECOND * duration / SECOND + self._draws.random())
        is_harmful = instance.version == "declines"
        fraction = HARMFUL_REJECTED_FRACTION if is_harmful else REJECTED_FRACTION
        rejected = sum(self._draws.random() < fraction for _ in range(dialogs))
        instance.accepted += dialogs
        instance.rejected += rejected
        self.served += dialogs
        self.rejected += rejected

    def _on_program_ended(self, instance: SimulatedInstance) -> None:
        instance.process = instance.ends_at = 0
        if instance.supervisor is None:
            return
        if self._is_paused(instance):
            self.events.call_at(instance.paused_until, self._on_deferred_exit, instance, instance.incarnation)
        else:
            instance.supervisor.on_exited(self.events.now)

    def _on_deferred_exit(self, instance: SimulatedInstance, incarnation: int) -> None:
        if instance.supervisor is None or not instance.is_current(incarnation):
            return
        if not instance.process and instance.supervisor.is_running:
            instance.supervisor.on_exited(self.events.now)

    # Checks

    def _check_saved(self, instance: SimulatedInstance, state: SupervisorState) -> None:
        """Updates the active step from the saved state; checks its start for repetition and the limits."""
        step = state.latest_step
        if step is None or step.reason == STATE_LOST:
            return
        if not step.outcome and instance.active_step != step.step_id:
            if step.step_id in instance.steps_done and not instance.has_lost_disk:
                at = f"at {self.events.now / SECOND:.1f} s"
                raise InvariantViolationError(
                    f"{instance.name} repeats the completed step {step.step_id} {at}"
                )
            instance.active_step = step.step_id
            self._counts["out"] += 1
            self._check_limits()
        elif step.outcome == StepOutcome.DONE:
            if step.step_id not in instance.steps_done:
                instance.steps_done.append(step.step_id)
            if state.up:
                instance.active_step = None

    def _check_limits(self) -> None:
        unavailable = Counter(
            instance.info.region for instance in self.instances.values() if instance.active_step is not None
        )
        at = f"under operations at {self.events.now / SECOND:.1f} s"
        if unavailable.total() > self._limits.max_unavailable:
            limit = self._limits.max_unavailable
            raise InvariantViolationError(f"{unavailable.total()} are unavailable {at}, limit {limit}")
        for region, count in unavailable.items():
            limit = self._limits.max_unavailable_in(region)
            if count > limit:
                raise InvariantViolationError(f"{count} of {region} are unavailable {at}, limit {limit}")


def _new_instances(size: int) -> dict[str, SimulatedInstance]:
    instances = {}
    for index in range(size):
        region = REGIONS[index % len(REGIONS)]
        info = InstanceInfo(f"e{index}", InstanceKind.EDGE, region, 100, 0.0, VERSIONS)
        instances[info.name] = SimulatedInstance(info, msgspec.msgpack.encode(SupervisorState("v1")))
    return instances
