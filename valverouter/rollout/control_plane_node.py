"""One seat of the council as one machine without I/O: its councillor, the agreed book, and the conductor
while it leads.

Whoever carries it writes `saves` before it sends `out`. Answers to keepers and tools leave only once a
majority has confirmed that this seat led after they asked: a leader that was cut off or stopped must not
tell anybody what held before.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass

from valverouter.rollout.disruption_permits import PermitDecision
from valverouter.rollout.operations import Command, DesiredState, OperationLog, Submit, SubmitResult
from valverouter.rollout.orchestrator import Orchestrator, OrchestratorConfig
from valverouter.rollout.raft import ELECTION_TIMEOUT, RaftNode, Role
from valverouter.rollout.raft_log import Configuration, PersistentState, Save
from valverouter.rollout.raft_messages import RaftMessage
from valverouter.rollout.supervisor import SupervisorReport

# Between two steps of the conductor.
ORCHESTRATION_INTERVAL = ELECTION_TIMEOUT // 10
# Askers that wait for a confirmation; more are dropped, and ask again.
MAX_PENDING_READS = 4_096


@dataclass(frozen=True, slots=True)
class DesiredStateReply:
    """To a keeper, in answer to its report: what is wanted of its instance. `is_open`: the permit of that
    turn is still held; of one that is over nothing is begun any more."""

    instance: str
    desired: DesiredState
    is_open: bool
    # Given back by the keeper's next report: our clock when this left.
    stamp: int


@dataclass(frozen=True, slots=True)
class PendingRead:
    """A question that waits for its confirmation, from round `after` on. `answer` gives what to say."""

    confirmed_round: int
    answer: Callable[[], None]


class ControlPlaneNode:
    """One seat. `decided` tells whoever watches what was agreed on."""

    def __init__(
        self,
        name: str,
        durable: PersistentState,
        rules: OrchestratorConfig,
        draw: Callable[[], float],
        now: int,
    ) -> None:
        self.name = name
        self.operation_log = OperationLog()
        self.applied_index = durable.snapshot.last_included_index if durable.snapshot else 0
        self.config = rules
        self.orchestrator: Orchestrator | None = None
        # What conducts; experiments put a baseline in its place.
        self.orchestrator_class: type[Orchestrator] = Orchestrator
        # What was agreed on of late, for tools that asked for it: by the command's id.
        self.answers: dict[str, PermitDecision | SubmitResult] = {}
        self._draw = draw
        self._now = now
        self._stepped_at = now
        self._pending_reads: deque[PendingRead] = deque()
        self.raft = RaftNode(name, durable, draw, now, lambda: self.operation_log.copy(), self._install)

    def _install(self, state: OperationLog) -> None:
        self.operation_log = state.copy()

    # Carried

    @property
    def saves(self) -> list[Save]:
        return self.raft.pending_saves

    @property
    def out(self) -> list[tuple[str, RaftMessage]]:
        return self.raft.outgoing

    @property
    def is_leader(self) -> bool:
        return self.raft.role is Role.LEADER

    @property
    def leader(self) -> str:
        """Who leads, as far as this seat knows; empty: nobody."""
        return self.raft.leader_id

    # Fed

    def on_message(self, now: int, message: RaftMessage) -> None:
        self._now = now
        self.raft.receive(now, message)
        self._after()

    def tick(self, now: int) -> None:
        self._now = now
        self.raft.tick(now)
        self._after()
        if self.is_leader and now - self._stepped_at >= ORCHESTRATION_INTERVAL:
            self._stepped_at = now
            self._step(now)

    def _step(self, now: int) -> None:
        """One batch at a time: what the conductor sees must hold all that it proposed before."""
        one = self.raft
        if self.orchestrator is None or not one.confirmed_round or one.last_log_index != one.commit_index:
            return
        for command in self.orchestrator.next_commands(now, self.operation_log):
            one.propose(now, command)
        self._after()

    def on_report(
        self, now: int, report: SupervisorReport, made_after: int, answer: Callable[[DesiredStateReply], None]
    ) -> bool:
        """A keeper's. Whether this seat leads and will answer."""
        self._now = now
        if not self.is_leader or self.orchestrator is None:
            return False
        self.orchestrator.record_report(now, report, made_after)

        def say() -> None:
            name = report.info.name
            want, held = (
                self.operation_log.desired.get(name),
                self.operation_log.permits.unavailable.get(name),
            )
            if want is not None:
                is_open = held is not None and held.number == want.permit_number
                answer(DesiredStateReply(name, want, is_open, self._now))

        return self._ask(say)

    def propose(self, now: int, command: Command) -> bool:
        """A tool's. Whether this seat leads; agreed on or not, the tool asks again by the command's id."""
        self._now = now
        if isinstance(command, Submit):
            self.answers.pop(command.id, None)
        done = self.is_leader and self.raft.propose(now, command)
        self._after()
        return done

    def read(self, now: int, answer: Callable[[OperationLog], None]) -> bool:
        """Whether this seat leads and will answer with the book as it holds after now."""
        self._now = now
        return self.is_leader and self._ask(lambda: answer(self.operation_log))

    def _ask(self, answer: Callable[[], None]) -> bool:
        if len(self._pending_reads) >= MAX_PENDING_READS:
            return False
        self._pending_reads.append(PendingRead(self.raft.round_number + 1, answer))
        self._after()
        return True

    def _after(self) -> None:
        one = self.raft
        decided, one.committed = one.committed, []
        for index, what in decided:
            self.applied_index = index
            if what is not None and not isinstance(what, Configuration):
                self._apply(index, what)
        if decided:
            one.compact_log()
        if not self.is_leader:
            self.orchestrator = None
            self._pending_reads.clear()
            return
        if self.orchestrator is None:
            self.orchestrator = self.orchestrator_class(self.config, self._draw, self._now)
        confirmed = one.confirmed_round
        while self._pending_reads and self._pending_reads[0].confirmed_round <= confirmed:
            self._pending_reads.popleft().answer()

    def _apply(self, index: int, what: Command) -> None:
        answer = self.operation_log.apply(index, what)
        if answer is not None:
            self.answers[answer.id] = answer
            if len(self.answers) > MAX_PENDING_READS:
                del self.answers[next(iter(self.answers))]
