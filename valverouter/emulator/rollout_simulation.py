"""Simulates operations on a fleet, under faults drawn from a seeded random generator.

Control plane nodes and supervisors are the real classes, with simulated disks that survive their crashes. The
network, the supervised programs and the clients that submit operations are simulated. Checked are:

- operations never make more instances unavailable at once than the limits allow, in total and by region;
- a supervisor that kept its disk never repeats a completed step;
- an instance that an operation reports as done, drained or rolled back has completed its step;
- after the faults have ended, no participant of a rolled-back release still has the released version.
"""

from __future__ import annotations

import random
from collections import Counter
from dataclasses import dataclass

from valverouter.emulator.event_queue import EventQueue
from valverouter.emulator.lossy_network import LossyNetwork
from valverouter.emulator.raft_group import InvariantViolationError
from valverouter.emulator.release_baselines import BASELINES
from valverouter.emulator.supervised_fleet import VERSIONS, SimulatedInstance, SupervisedFleet
from valverouter.rollout.control_plane_node import ControlPlaneNode, DesiredStateReply
from valverouter.rollout.disruption_limits import DisruptionLimits, InstanceKind
from valverouter.rollout.disruption_permits import InstanceReturned
from valverouter.rollout.operations import Cancel, Operation, OperationKind, StepStatus, Submit, SubmitResult
from valverouter.rollout.orchestrator_config import OrchestratorConfig
from valverouter.rollout.raft_log import Configuration, LogEntry, PersistentState, SaveEntries
from valverouter.rollout.raft_messages import RaftMessage
from valverouter.rollout.reports import SupervisorReport
from valverouter.rollout.sequential_test import SequentialTestConfig
from valverouter.servermodel.paths import PathFault

SECOND = 10**9
TICK_INTERVAL = SECOND // 10
NODE_COUNT = 3
# The value of `evaluated_by` for the orchestrator's own canary analysis; others are keys of `BASELINES`.
DEFAULT_ANALYSIS = "program"
# Interval at which a client repeats its request.
CLIENT_RETRY_INTERVAL = 2 * SECOND
# Delay after which a client reads the result of an accepted request.
CLIENT_ANSWER_DELAY = SECOND
CRASH_AFTER_SAVE_PROBABILITY = 0.0002
# Of the injected fault "lapse": the probability, at each tick, that a permit expires.
PERMIT_EXPIRY_PROBABILITY = 0.02
# Random runs have faults and new operations only within this fraction of their duration.
FAULTS_END_FRACTION = 0.6
FIRST_EVENT_AT = 5 * SECOND
UNDRAIN_AFTER_FAULTS = 8 * SECOND

COMPLETED = (StepStatus.DONE, StepStatus.DRAINED, StepStatus.ROLLED_BACK)
NOT_ROLLED_BACK = (StepStatus.DONE, StepStatus.IN_PROGRESS, StepStatus.FAILED)


@dataclass(slots=True)
class SimulatedNode:
    """A control plane node's machine.

    `persistent`: its disk, which survives crashes. `node`: None while it is down. `incarnation` counts the
    starts of the node, so that timers of an earlier one are ignored.
    """

    name: str
    persistent: PersistentState
    node: ControlPlaneNode | None = None
    paused_until: int = 0
    incarnation: int = 0


class RolloutSimulation:
    """One simulation run, determined by its seed.

    `injected_fault` disables a rule, to test that the checks detect the violation: "again" (a supervisor
    loses its steps at a restart and acts without a permit), "lapse" (permits expire). `evaluated_by`: the
    canary analysis of releases, `DEFAULT_ANALYSIS` or a baseline.
    """

    def __init__(
        self,
        seed: int,
        instances: int = 12,
        limits: DisruptionLimits | None = None,
        loss: float = 0.02,
        injected_fault: str = "",
        evaluated_by: str = DEFAULT_ANALYSIS,
    ) -> None:
        """`instances`: the number of edge proxies. `loss`: the fraction of messages lost without faults."""
        self.events = EventQueue()
        self.limits = limits or DisruptionLimits(
            max_unavailable=max(2, instances // 6), max_unavailable_per_region=max(1, instances // 8)
        )
        self.config = _orchestrator_config(self.limits)
        # Faults and operations, counted by kind.
        self.counts: Counter[str] = Counter()
        self.answers: dict[str, SubmitResult] = {}
        self._draws = random.Random(f"rollout/{seed}")
        self._injected_fault = injected_fault
        self._evaluated_by = evaluated_by
        members = tuple((f"c{index}", self._draws.getrandbits(64)) for index in range(NODE_COUNT))
        self.nodes = {name: SimulatedNode(name, PersistentState(disk_id)) for name, disk_id in members}
        for machine in self.nodes.values():
            machine.persistent.apply(SaveEntries(1, (LogEntry(1, Configuration(members)),)))
        forgets_steps = injected_fault == "again"
        self.fleet = SupervisedFleet(
            self.events, self._draws, self.limits, instances, self.counts, forgets_steps
        )
        self.fleet.send_report = self._send_report
        self._network = LossyNetwork(self.events, self._draws, loss)
        for name in self.nodes:
            self.start_node(name)
        for name in self.fleet.instances:
            self.fleet.start(name)

    @property
    def leader(self) -> ControlPlaneNode | None:
        """The running leader of the highest term, or None."""
        leaders = [
            machine.node
            for machine in self.nodes.values()
            if machine.node is not None and machine.node.is_leader
        ]
        return max(leaders, key=lambda node: node.raft.persistent.current_term, default=None)

    # Nodes

    def start_node(self, name: str) -> None:
        """Starts a node from its disk; does nothing if it runs."""
        machine = self.nodes[name]
        if machine.node is not None:
            return
        machine.incarnation += 1
        machine.node = ControlPlaneNode(
            name, machine.persistent, self.config, self._draws.random, self.events.now
        )
        if self._evaluated_by != DEFAULT_ANALYSIS:
            machine.node.orchestrator_class = BASELINES[self._evaluated_by]
        self.events.call_after(TICK_INTERVAL, self._tick_node, machine, machine.incarnation)

    def crash_node(self, name: str) -> None:
        """Kills a node; its disk is kept."""
        self.nodes[name].node = None
        self.counts["seat crashed"] += 1

    def _is_paused(self, machine: SimulatedNode) -> bool:
        return self.events.now < machine.paused_until

    def _tick_node(self, machine: SimulatedNode, incarnation: int) -> None:
        if machine.node is None or machine.incarnation != incarnation:
            return
        self.events.call_after(TICK_INTERVAL, self._tick_node, machine, incarnation)
        if self._is_paused(machine):
            return
        if self._injected_fault == "lapse" and machine.node.orchestrator is not None:
            self._expire_permits(machine.node)
        machine.node.tick(self.events.now)
        self._persist_and_send(machine)

    def _expire_permits(self, node: ControlPlaneNode) -> None:
        for name, permit in list(node.operation_log.permits.unavailable.items()):
            if permit is not None and self._draws.random() < PERMIT_EXPIRY_PROBABILITY:
                node.propose(self.events.now, InstanceReturned(name, permit.number))

    def _on_message(self, machine: SimulatedNode, message: RaftMessage) -> None:
        if self._is_paused(machine):
            self.events.call_at(machine.paused_until, self._on_message, machine, message)
        elif machine.node is not None:
            machine.node.on_message(self.events.now, message)
            self._persist_and_send(machine)

    def _persist_and_send(self, machine: SimulatedNode) -> None:
        """Persists pending saves, then sends messages; a crash may occur in between."""
        assert machine.node is not None
        machine.node.pending_saves.clear()
        outgoing = list(machine.node.outgoing)
        machine.node.outgoing.clear()
        if self._network.has_faults and self._draws.random() < CRASH_AFTER_SAVE_PROBABILITY:
            self.crash_node(machine.name)
            self.events.call_after(int(self._draws.uniform(0.1, 5) * SECOND), self.start_node, machine.name)
            return
        for receiver, message in outgoing:
            if receiver in self.nodes:
                self._network.send(machine.name, receiver, self._on_message, self.nodes[receiver], message)

    # Reports

    def _send_report(self, instance: SimulatedInstance, report: SupervisorReport) -> None:
        for name, machine in self.nodes.items():
            self._network.send(
                instance.name,
                name,
                self._on_report,
                machine,
                instance,
                instance.incarnation,
                report,
                instance.made_after(name),
            )

    def _on_report(
        self,
        machine: SimulatedNode,
        instance: SimulatedInstance,
        incarnation: int,
        report: SupervisorReport,
        made_after: int,
    ) -> None:
        if machine.node is None or self._is_paused(machine):
            return

        def answer(reply: DesiredStateReply) -> None:
            self._network.send(
                machine.name, instance.name, self.fleet.on_reply, instance, incarnation, machine.name, reply
            )

        machine.node.on_report(self.events.now, report, made_after, answer)
        self._persist_and_send(machine)

    # Clients

    def submit(self, submit: Submit, attempts: int = 10) -> None:
        """Sends a request to all nodes, and again until one has answered or all attempts are used up.

        Few attempts simulate a client that is killed.
        """
        if submit.id in self.answers or not attempts:
            return
        for machine in self.nodes.values():
            self._network.send("tool", machine.name, self._on_submit, machine, submit)
        self.events.call_after(CLIENT_RETRY_INTERVAL, self.submit, submit, attempts - 1)

    def _on_submit(self, machine: SimulatedNode, submit: Submit) -> None:
        if machine.node is None or self._is_paused(machine):
            return
        if machine.node.propose(self.events.now, submit):
            self.events.call_after(CLIENT_ANSWER_DELAY, self._record_answer, machine, submit)
        self._persist_and_send(machine)

    def _record_answer(self, machine: SimulatedNode, submit: Submit) -> None:
        if machine.node is not None and submit.id in machine.node.answers:
            answer = machine.node.answers[submit.id]
            assert isinstance(answer, SubmitResult)
            self.answers.setdefault(submit.id, answer)

    def cancel(self, operation: str, reason: str, attempts: int = 5) -> None:
        """Proposes to cancel an operation to all running nodes, repeatedly; only the leader accepts it."""
        for machine in self.nodes.values():
            if machine.node is not None and not self._is_paused(machine):
                machine.node.propose(self.events.now, Cancel(operation, reason))
                self._persist_and_send(machine)
        if attempts > 1:
            self.events.call_after(CLIENT_RETRY_INTERVAL, self.cancel, operation, reason, attempts - 1)

    # Random runs

    def run_until(self, end: int) -> None:
        """Runs until the simulated time `end`, ns."""
        self.events.run_until(end)

    def run_randomly(self, seconds: float, fault_rate: float = 0.5, operation_rate: float = 0.1) -> None:
        """Runs random operations and faults (rates per second), then without new ones until `seconds`."""
        faults_end = int(seconds * SECOND * FAULTS_END_FRACTION)
        for rate, action in ((fault_rate, self._cause_fault), (operation_rate, self._submit_randomly)):
            time = FIRST_EVENT_AT + int(self._draws.expovariate(rate) * SECOND)
            while time < faults_end:
                self.events.call_at(time, action)
                time += int(self._draws.expovariate(rate) * SECOND)
        self.events.call_at(faults_end, self._end_faults)
        self.run_until(int(seconds * SECOND))

    def _submit_randomly(self) -> None:
        draws = self._draws
        kind = draws.choices(list(OperationKind), (2, 2, 2, 4))[0]
        names = self._draw_names(kind)
        if not names:
            return
        self.counts[f"order {kind.value}"] += 1
        version = draws.choice(VERSIONS) if kind is OperationKind.RELEASE else ""
        submit = Submit(f"o{self.counts.total()}", kind, tuple(names), version)
        self.submit(submit, draws.randint(1, 6))
        if draws.random() < 0.2:
            self.events.call_after(int(draws.uniform(1, 20) * SECOND), self.cancel, submit.id, "by hand")
        if draws.random() < 0.1:
            self.events.call_after(int(draws.uniform(10, 40) * SECOND), self.submit, submit)

    def _draw_names(self, kind: OperationKind) -> list[str]:
        all_names = sorted(self.fleet.instances)
        names = self._draws.sample(all_names, self._draws.randint(1, len(all_names)))
        if kind is OperationKind.DRAIN:
            return names[: self.limits.max_unavailable_per_region]
        if kind is OperationKind.UNDRAIN:
            return self.fleet.down_by_supervisor
        if kind is OperationKind.RELEASE and self._draws.random() < 0.7:
            return all_names
        return names

    def _cause_fault(self) -> None:
        draws = self._draws
        kind = draws.random()
        name, node = draws.choice(sorted(self.fleet.instances)), draws.choice(sorted(self.nodes))
        duration = int(draws.uniform(0.2, 6) * SECOND)
        if kind < 0.15:
            self.crash_node(node)
            self.events.call_after(duration, self.start_node, node)
        elif kind < 0.25:
            self.nodes[node].paused_until = self.events.now + self._draw_pause()
            self.counts["seat stopped"] += 1
        elif kind < 0.45:
            self.fleet.kill_program(name)
        elif kind < 0.55:
            self.fleet.crash(name)
            self.events.call_after(duration, self.fleet.start, name)
        elif kind < 0.6:
            self.fleet.lose_disk(name)
            self.events.call_after(duration, self.fleet.start, name)
        elif kind < 0.7:
            self.fleet.pause(name, self._draw_pause())
        else:
            self._partition_network(duration)

    def _draw_pause(self) -> int:
        return int(self._draws.uniform(0.5, 10) * SECOND)

    def _partition_network(self, duration: int) -> None:
        names = [*self.fleet.instances, *self.nodes]
        size = self._draws.randint(1, len(self.fleet.instances))
        side = frozenset(self._draws.sample(names, size))
        rest = frozenset(names) - side
        now, end = self.events.now, self.events.now + duration
        if self._draws.random() < 0.5:
            self._network.add_fault(PathFault("split", now, end, groups=(side, rest)))
        else:
            self._network.add_fault(PathFault("cut", now, end, senders=side, receivers=rest))
        self.counts["cut"] += 1

    def _end_faults(self) -> None:
        self._network.heal()
        for name, machine in self.nodes.items():
            machine.paused_until = min(machine.paused_until, self.events.now)
            self.start_node(name)
        self.fleet.end_faults()
        # Returns drained instances to service; releases that wait for evidence can continue then.
        self.events.call_after(UNDRAIN_AFTER_FAULTS, self._undrain)

    def _undrain(self) -> None:
        names = tuple(self.fleet.down_by_supervisor)
        if names:
            self.submit(Submit(f"undrain/{self.events.now}", OperationKind.UNDRAIN, names))

    # Checks

    def check_results(self) -> dict[str, int]:
        """Returns the number of operations by kind and result.

        Raises InvariantViolationError if there is no leader or an operation's reported result is wrong.
        """
        leader = self.leader
        if leader is None:
            raise InvariantViolationError("there is no leader at the end")
        operations = list(leader.operation_log.operations.values())
        results: Counter[str] = Counter()
        for operation in operations:
            results[f"{operation.kind.value}: {operation.result or operation.phase.value}"] += 1
            self._check_reported_steps(operation)
            self._check_rollback(operation, operations)
        return dict(results)

    def _check_reported_steps(self, operation: Operation) -> None:
        for name, participant in operation.participants.items():
            instance = self.fleet.instances[name]
            if participant.status not in COMPLETED or instance.has_lost_disk:
                continue
            number = participant.permit_number
            if not any(step_id.permit_number == number for step_id in instance.steps_done):
                status = participant.status.value
                raise InvariantViolationError(
                    f"{name} is {status} by {operation.id}, but did not complete its step"
                )

    def _check_rollback(self, operation: Operation, operations: list[Operation]) -> None:
        is_rolled_back = operation.kind is OperationKind.RELEASE and operation.result == "halted"
        submitted_at = operation.submitted_at_ms
        is_followed = any(other.submitted_at_ms > submitted_at for other in operations)
        if not is_rolled_back or not operation.roll_back or is_followed:
            return
        for name, participant in operation.participants.items():
            if participant.status in NOT_ROLLED_BACK:
                status = participant.status.value
                raise InvariantViolationError(f"{name} was not rolled back by {operation.id}: {status}")


def _orchestrator_config(limits: DisruptionLimits) -> OrchestratorConfig:
    return OrchestratorConfig(
        {InstanceKind.EDGE: limits},
        sequential_test=SequentialTestConfig(0.001, 0.05, 3.0, 150),
        max_unsettled=10 * SECOND,
    )
