"""One node of the control plane, without I/O: Raft node, operation log, and the leader's orchestrator.

The caller writes `pending_saves` to disk before it sends `outgoing`. Supervisors and clients are answered
only after a majority has confirmed that this node was still the leader after their request arrived: a leader
that was partitioned or suspended must not answer with outdated state.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass

from valverouter.rollout import operation_transitions
from valverouter.rollout.disruption_permits import PermitDecision
from valverouter.rollout.operation_log import OperationLog
from valverouter.rollout.operations import Command, DesiredState, Submit, SubmitResult
from valverouter.rollout.orchestrator import Orchestrator
from valverouter.rollout.orchestrator_config import OrchestratorConfig
from valverouter.rollout.raft import ELECTION_TIMEOUT, RaftNode, Role
from valverouter.rollout.raft_log import Configuration, PersistentState, Save
from valverouter.rollout.raft_messages import RaftMessage
from valverouter.rollout.reports import SupervisorReport

# Time between two batches of the orchestrator's commands, ns.
ORCHESTRATION_INTERVAL = ELECTION_TIMEOUT // 10
# Number of reads that may wait for confirmation; further ones are rejected, and the client retries.
MAX_PENDING_READS = 4_096
# Number of answers to commands that are kept for clients; the oldest are dropped.
MAX_KEPT_ANSWERS = 4_096


@dataclass(frozen=True, slots=True)
class DesiredStateReply:
    """The answer to a supervisor's report.

    `is_open`: whether the permit of the desired step is still valid; a supervisor starts no step under one
    that has ended. `stamp`: this node's clock at the time of the answer, ns; the supervisor's next report
    returns it.
    """

    instance: str
    desired: DesiredState
    is_open: bool
    stamp: int


@dataclass(frozen=True, slots=True)
class PendingRead:
    """A read to answer once Raft round `confirmed_round` or a later one is confirmed."""

    confirmed_round: int
    answer: Callable[[], None]


class ControlPlaneNode:
    """One node of the control plane. All times are ns of the caller's monotonic clock."""

    def __init__(
        self,
        name: str,
        persistent: PersistentState,
        config: OrchestratorConfig,
        draw: Callable[[], float],
        now: int,
    ) -> None:
        """`persistent` is the content of the node's store; `draw` returns random numbers in [0, 1)."""
        self.name = name
        self.config = config
        self.operation_log = OperationLog()
        self.applied_index = persistent.snapshot.last_included_index if persistent.snapshot else 0
        self.orchestrator: Orchestrator | None = None
        # Simulations replace it by other classes for comparison.
        self.orchestrator_class: type[Orchestrator] = Orchestrator
        # Answers to recently committed commands, by command id.
        self.answers: dict[str, PermitDecision | SubmitResult] = {}
        self._draw = draw
        self._now = now
        self._orchestrated_at = now
        self._pending_reads: deque[PendingRead] = deque()
        self.raft = RaftNode(
            name, persistent, draw, now, lambda: self.operation_log.copy(), self._restore_state
        )

    def _restore_state(self, state: OperationLog) -> None:
        self.operation_log = state.copy()

    @property
    def pending_saves(self) -> list[Save]:
        """Changes to write to disk before `outgoing` is sent; the caller clears the list."""
        return self.raft.pending_saves

    @property
    def outgoing(self) -> list[tuple[str, RaftMessage]]:
        """Messages to other nodes, with the receiver's name; the caller clears the list."""
        return self.raft.outgoing

    @property
    def is_leader(self) -> bool:
        """Whether this node considers itself the leader."""
        return self.raft.role is Role.LEADER

    @property
    def leader_id(self) -> str:
        """The name of the leader known to this node; empty: none."""
        return self.raft.leader_id

    # Input

    def on_message(self, now: int, message: RaftMessage) -> None:
        """Processes a message from another node."""
        self._now = now
        self.raft.receive(now, message)
        self._process_committed()

    def tick(self, now: int) -> None:
        """Processes timers; must be called frequently."""
        self._now = now
        self.raft.tick(now)
        self._process_committed()
        if self.is_leader and now - self._orchestrated_at >= ORCHESTRATION_INTERVAL:
            self._orchestrated_at = now
            self._orchestrate(now)

    def on_report(
        self, now: int, report: SupervisorReport, made_after: int, answer: Callable[[DesiredStateReply], None]
    ) -> bool:
        """Processes a supervisor's report, made after `made_after`; returns whether it will be answered.

        It is answered only by the leader.
        """
        self._now = now
        if not self.is_leader or self.orchestrator is None:
            return False
        self.orchestrator.record_report(now, report, made_after)

        def reply() -> None:
            name = report.info.name
            desired = self.operation_log.desired.get(name)
            if desired is not None:
                permit = self.operation_log.permits.unavailable.get(name)
                is_open = permit is not None and permit.number == desired.permit_number
                answer(DesiredStateReply(name, desired, is_open, self._now))

        return self._answer_when_confirmed(reply)

    def propose(self, now: int, command: Command) -> bool:
        """Proposes a client's command; returns whether this node is the leader and has appended it.

        The client retries with the same command id until it learns the outcome.
        """
        self._now = now
        if isinstance(command, Submit):
            self.answers.pop(command.id, None)
        is_proposed = self.is_leader and self.raft.propose(now, command)
        self._process_committed()
        return is_proposed

    def read(self, now: int, answer: Callable[[OperationLog], None]) -> bool:
        """Answers with an operation log that includes all commits up to now; returns whether it will answer.

        It answers only as the leader, after confirmation.
        """
        self._now = now
        return self.is_leader and self._answer_when_confirmed(lambda: answer(self.operation_log))

    # Processing

    def _orchestrate(self, now: int) -> None:
        """Proposes the next batch once the log that the orchestrator reads includes the previous batch."""
        raft = self.raft
        is_up_to_date = raft.confirmed_round and raft.last_log_index == raft.commit_index
        if self.orchestrator is None or not is_up_to_date:
            return
        for command in self.orchestrator.next_commands(now, self.operation_log):
            raft.propose(now, command)
        self._process_committed()

    def _answer_when_confirmed(self, answer: Callable[[], None]) -> bool:
        if len(self._pending_reads) >= MAX_PENDING_READS:
            return False
        self._pending_reads.append(PendingRead(self.raft.round_number + 1, answer))
        self._process_committed()
        return True

    def _process_committed(self) -> None:
        """Applies committed commands, handles changes of leadership, and answers confirmed reads."""
        committed, self.raft.committed = self.raft.committed, []
        for index, command in committed:
            self.applied_index = index
            if command is not None and not isinstance(command, Configuration):
                self._apply(index, command)
        if committed:
            self.raft.compact_log()
        if not self.is_leader:
            self.orchestrator = None
            self._pending_reads.clear()
            return
        if self.orchestrator is None:
            self.orchestrator = self.orchestrator_class(self.config, self._draw, self._now)
        self._answer_confirmed_reads()

    def _answer_confirmed_reads(self) -> None:
        confirmed_round = self.raft.confirmed_round
        while self._pending_reads and self._pending_reads[0].confirmed_round <= confirmed_round:
            self._pending_reads.popleft().answer()

    def _apply(self, index: int, command: Command) -> None:
        answer = operation_transitions.apply(self.operation_log, index, command)
        if answer is not None:
            self.answers[answer.id] = answer
            if len(self.answers) > MAX_KEPT_ANSWERS:
                del self.answers[next(iter(self.answers))]
