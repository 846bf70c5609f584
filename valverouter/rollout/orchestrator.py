"""What the council's leader does next: who asks for leave, who is told away or in, whether a release goes on.

Pure: fed with reports and the agreed book, it gives commands to be agreed on. What it holds itself is soft: a
leader that comes after it hears the same reports and begins its evidence anew, which costs time and never
lets anything through. Nothing here gives leave: the book does, by its own rules, when a command is agreed on.
"""

from __future__ import annotations

import statistics
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field

from valverouter.rollout.disruption_limits import DisruptionLimits, Instance, InstanceKind
from valverouter.rollout.disruption_permits import (
    EnrollInstances,
    InstanceLost,
    InstanceReturned,
    RequestPermit,
)
from valverouter.rollout.operations import (
    Advance,
    Cancel,
    Command,
    DesiredState,
    InstanceReported,
    Operation,
    OperationKind,
    OperationLog,
    OperationPhase,
    StepReported,
    StepStatus,
    split_by_version,
)
from valverouter.rollout.readiness import ReadinessTracker
from valverouter.rollout.sequential_test import CanaryEvidence, OutcomeCount, Verdict
from valverouter.rollout.sequential_test import SequentialTestConfig as EvidenceRule
from valverouter.rollout.supervisor import InstanceCounters, SupervisorReport

SECOND = 10**9
MEASURES = {"declined": "rejected", "lost": "lost", "late": "late"}


@dataclass(frozen=True, slots=True)
class OrchestratorConfig:
    """Spans in ns. `silent`: without a report for so long an instance is away. `not_reached`: an order goes
    on without one that was silent so long before it went out. `ask_again`: after a refusal. `unsettled`: so
    long may a view be unsettled, in a wave, until the order is halted. `span`: of evidence. `ends`: ends of
    released programs that nobody asked for, at which a release is halted, if the others have fewer.
    `memory`: so many times what the others hold in the median, and at least `memory_least` bytes more, halts
    a release; those released are the younger ones, which hold less, not more."""

    limits: Mapping[InstanceKind, DisruptionLimits]
    away_after: int = 4 * SECOND
    unreachable_after: int = 15 * SECOND
    permit_retry_interval: int = SECOND
    max_unsettled: int = 30 * SECOND
    sample_interval: int = SECOND
    min_evaluation: int = 5 * SECOND
    max_unexpected_exits: int = 2
    max_memory_ratio: float = 1.5
    min_memory_excess: int = 64 * 1024 * 1024
    sequential_test: EvidenceRule = field(default_factory=EvidenceRule)


@dataclass(slots=True)
class CanaryWindow:
    """The evidence of a stage: from one watch to the end of the next, while waves go too."""

    operation: str
    stage: int
    started_at: int
    evidence: CanaryEvidence
    last_counters: dict[str, InstanceCounters]
    initial_exits: dict[str, int]
    sampled_at: int


class Orchestrator:
    """One leader's time in office."""

    def __init__(self, rules: OrchestratorConfig, draw: Callable[[], float], now: int) -> None:
        self.config = rules
        self.readiness = ReadinessTracker(now)
        self._draw = draw
        self._permit_requested_at: dict[str, int] = {}
        self._unsettled_since: int | None = None
        self._canary: CanaryWindow | None = None

    def record_report(self, now: int, report: SupervisorReport, made_after: int) -> None:
        """`since`: a moment after which it was made for certain."""
        self.readiness.record_report(now, report, made_after)

    def next_commands(self, now: int, log: OperationLog) -> list[Command]:
        """Commands to be agreed on; the next step is taken when they are."""
        commands = self._enrols(log)
        if commands:
            return commands
        commands = [*self._presence(now, log)]
        for undrain in log.active_undrains:
            for name in undrain.participants:
                commands += self._outcome(log, undrain, name)
        order = log.active_operation
        if order is not None:
            stop = self._must_stop(now, log, order)
            commands += [stop] if stop else self._conduct(now, log, order)
        return commands

    @property
    def evidence_progress(self) -> tuple[int, int]:
        """Of the evidence under way: pairs looked at, and wanted at least."""
        if self._canary is None:
            return 0, 0
        seen = min(one.pairs for one in self._canary.evidence.tests.values())
        return seen, self.config.sequential_test.min_pairs

    # Who there is

    def _enrols(self, book: OperationLog) -> list[Command]:
        commands: list[Command] = []
        limits = tuple((sort, one) for sort, one in self.config.limits.items())
        if any(book.permits.limits.get(sort) != one for sort, one in limits):
            commands.append(EnrollInstances((), limits))
        for name, seen in self.readiness.observations.items():
            facts, held = seen.report.info, book.permits.instances.get(name)
            unit = Instance(name, facts.kind, facts.region, facts.capacity, facts.processor)
            if unit != held:
                commands.append(EnrollInstances((unit,)))
            if name not in book.desired or book.available_versions.get(name) != facts.available_versions:
                told = seen.report
                commands.append(
                    InstanceReported(
                        name,
                        told.version,
                        facts.available_versions,
                        told.permit_number,
                        told.step_index,
                        told.up,
                    )
                )
        return commands

    def _presence(self, now: int, book: OperationLog) -> list[Command]:
        """Out without leave by what is not heard or is told down; in by evidence alone."""
        commands: list[Command] = []
        out = book.permits.unavailable
        for name in book.permits.instances:
            seen, want = self.readiness.observations.get(name), book.desired.get(name)
            if name in out:
                held = out[name]
                if want is not None and self.readiness.is_ready(name, want, now, out.__contains__):
                    commands.append(InstanceReturned(name, held.number if held else 0))
                continue
            away = self.readiness.time_since_report(name, now) > self.config.away_after
            if seen is not None and self.readiness.has_fresh_report(name, now):
                away = away or not seen.report.is_running or seen.report.is_leaving
            if away:
                commands.append(InstanceLost(name))
        return commands

    # Whether an order may go on

    def _must_stop(self, now: int, book: OperationLog, order: Operation) -> Cancel | None:
        if order.phase is OperationPhase.ROLLING_BACK:
            return None
        why = self._view(now, book)
        failed = next(
            (name for name, one in order.participants.items() if one.status is StepStatus.FAILED), None
        )
        if not why and failed is not None:
            why = f"{failed}: {order.participants[failed].reason or 'did not come up'}"
        if not why and order.kind is OperationKind.RELEASE:
            why = self._ends(book, order) or self._memory(book, order)
        return Cancel(order.id, why) if why else None

    def _view(self, now: int, book: OperationLog) -> str:
        """A fleet that does not know itself takes nothing out. An instance that is out itself is no witness;
        those that keep no view say nothing."""
        said = [
            seen.report.counters.view_health
            for name, seen in self.readiness.observations.items()
            if name not in book.permits.unavailable
            and self.readiness.has_fresh_report(name, now)
            and seen.report.counters.view_health
        ]
        if not said or all(trust == "settled" for trust in said):
            self._unsettled_since = None
            return ""
        if 2 * said.count("cut off") > len(said):
            return "more than half of the fleet is cut off"
        if self._unsettled_since is None:
            self._unsettled_since = now
        if now - self._unsettled_since > self.config.max_unsettled:
            return f"the fleet's view has not settled for {self.config.max_unsettled // SECOND} s"
        return ""

    def _ends(self, book: OperationLog, order: Operation) -> str:
        """Programs of the release that end by themselves, against those of the others at the same time."""
        ours = [
            name
            for name, one in order.participants.items()
            if one.status in (StepStatus.OUT, StepStatus.DONE)
        ]
        counted = self._counted(book, order, ours)
        if counted >= min(self.config.max_unexpected_exits, max(1, len(ours))):
            others = split_by_version(book, order)[1]
            theirs = self._counted(book, order, others, since=True)
            if counted * max(1, len(others)) > 2 * theirs * len(ours):
                return f"{counted} programs of {len(ours)} released ended by themselves"
        return ""

    def _memory(self, book: OperationLog, order: Operation) -> str:
        ours, theirs = (self._held(names) for names in split_by_version(book, order))
        if not ours or not theirs:
            return ""
        one, other = statistics.median(ours), statistics.median(theirs)
        if one > self.config.max_memory_ratio * other and one - other > self.config.min_memory_excess:
            return f"released ones hold {one / 2**20:.0f} MiB in the median, the others {other / 2**20:.0f}"
        return ""

    def _held(self, names: list[str]) -> list[int]:
        seen = (self.readiness.observations.get(name) for name in names)
        return [
            one.report.counters.memory_bytes
            for one in seen
            if one is not None and one.report.counters.memory_bytes
        ]

    def _counted(self, book: OperationLog, order: Operation, names: list[str], since: bool = False) -> int:
        total = 0
        for name in names:
            seen = self.readiness.observations.get(name)
            if seen is None:
                continue
            member = order.participants.get(name)
            if since:
                before = (
                    self._canary.initial_exits.get(name, seen.report.unexpected_exits)
                    if self._canary
                    else seen.report.unexpected_exits
                )
                total += max(0, seen.report.unexpected_exits - before)
            elif member is not None and seen.report.step_id == (member.permit_number, 0):
                total += seen.report.unexpected_exits
        return total

    # An order's course

    def _conduct(self, now: int, book: OperationLog, order: Operation) -> list[Command]:
        match order.phase:
            case OperationPhase.RUNNING:
                stop: list[Command] = [
                    one for one in self._evaluate_canary(now, book, order) if isinstance(one, Cancel)
                ]
                return stop or self._wave(now, book, order)
            case OperationPhase.EVALUATING:
                return self._evaluate_canary(now, book, order)
            case OperationPhase.ROLLING_BACK:
                return self._returns(now, book, order)
            case _:
                return []

    def _wave(self, now: int, book: OperationLog, order: Operation) -> list[Command]:
        commands: list[Command] = []
        settled = self._unsettled_since is None
        for name in order.current_wave:
            member = order.participants[name]
            if member.status is StepStatus.PENDING:
                if self.readiness.time_since_report(name, now) > self.config.unreachable_after:
                    silent = self.readiness.time_since_report(name, now) // SECOND
                    commands.append(
                        StepReported(order.id, name, 0, StepStatus.UNREACHABLE, f"silent for {silent} s")
                    )
                elif settled and self.readiness.has_fresh_report(name, now):
                    commands += self._ask(now, order, name)
            else:
                commands += self._outcome(book, order, name)
        return commands

    def _ask(self, now: int, order: Operation, name: str) -> list[Command]:
        member = order.participants[name]
        if (
            member.permit_requests
            and now - self._permit_requested_at.get(name, 0) < self.config.permit_retry_interval
        ):
            return []
        self._permit_requested_at[name] = now
        back = "/back" if order.phase is OperationPhase.ROLLING_BACK else ""
        return [RequestPermit(f"{order.id}/{name}{back}/{member.permit_requests}", name, order.id)]

    def _outcome(self, book: OperationLog, order: Operation, name: str) -> list[Command]:
        """What its keeper tells of the turn, by its number: it is asked and never guessed."""
        member, seen, want = (
            order.participants[name],
            self.readiness.observations.get(name),
            book.desired.get(name, DesiredState("")),
        )
        if member.status is not StepStatus.OUT or seen is None or seen.report.step_id != want.step_id:
            return []
        report = seen.report
        if report.outcome == "failed":
            return [StepReported(order.id, name, member.permit_number, StepStatus.FAILED, report.reason)]
        if report.outcome == "done" and not want.up:
            return [StepReported(order.id, name, member.permit_number, StepStatus.DRAINED)]
        return []

    def _returns(self, now: int, book: OperationLog, order: Operation) -> list[Command]:
        """What is out comes in by itself; what was released asks for leave to go back, in waves that the
        limits make: whoever is refused asks again."""
        commands: list[Command] = []
        waiting = [
            name for name, one in order.participants.items() if one.status is StepStatus.ROLLBACK_PENDING
        ]
        out = [
            name
            for name, one in order.participants.items()
            if one.status in (StepStatus.OUT, StepStatus.FAILED)
        ]
        for name in out:
            commands += self._outcome(book, order, name)
        # Those whose program does not run go first: they have nothing to lose.
        waiting.sort(key=lambda name: (name not in book.permits.unavailable, name))
        size = max(1, len(order.participants) // 4)
        for name in waiting[: max(0, size - len(out))]:
            if self.readiness.has_fresh_report(name, now):
                commands += self._ask(now, order, name)
        return commands

    # Evidence

    def _evaluate_canary(self, now: int, book: OperationLog, order: Operation) -> list[Command]:
        if order.kind is not OperationKind.RELEASE or not any(
            one.status is StepStatus.DONE for one in order.participants.values()
        ):
            return []
        ones, others = split_by_version(book, order)
        # The keeper's own count of unasked ends is compared from the beginning of the wave's watch.
        looked = self._canary
        if looked is None or (looked.operation, looked.stage) != (order.id, order.evaluation_stage):
            looked = self._canary = CanaryWindow(
                order.id,
                order.evaluation_stage,
                now,
                CanaryEvidence(tuple(MEASURES), self.config.sequential_test, self._draw),
                {},
                {name: seen.report.unexpected_exits for name, seen in self.readiness.observations.items()},
                now - self.config.sample_interval,
            )
        if now - looked.sampled_at < self.config.sample_interval:
            return []
        looked.sampled_at = now
        ours, theirs = self._spans(looked, now, ones), self._spans(looked, now, others)
        regions = {book.permits.instances[name].region for name in ours}
        apart = regions.isdisjoint(book.permits.instances[name].region for name in theirs)
        for measure in MEASURES:
            looked.evidence.add_interval(
                self._tallies(book, ours, measure, apart),
                self._tallies(book, theirs, measure, apart),
                measure,
            )
        if looked.evidence.verdict is Verdict.HALT:
            return [Cancel(order.id, looked.evidence.halt_reason)]
        if order.phase is OperationPhase.RUNNING:
            # Seen when its last wave is back, not before: evidence of few must not let all of them go.
            looked.started_at = now
            return []
        settled = self._unsettled_since is None
        if (
            looked.evidence.verdict is Verdict.PASS
            and settled
            and now - looked.started_at >= self.config.min_evaluation
        ):
            return [Advance(order.id, order.wave_index)]
        return []

    def _spans(
        self, looked: CanaryWindow, now: int, names: list[str]
    ) -> dict[str, tuple[InstanceCounters, InstanceCounters]]:
        """Of each that was heard, its counts before and now; a new process has nothing before."""
        spans = {}
        for name in names:
            seen = self.readiness.observations.get(name)
            if (
                seen is None
                or not self.readiness.has_fresh_report(name, now)
                or not seen.report.counters.incarnation
            ):
                continue
            counts = seen.report.counters
            before = looked.last_counters.get(name)
            looked.last_counters[name] = counts
            if before is not None and before.incarnation == counts.incarnation:
                spans[name] = before, counts
        return spans

    def _tallies(
        self,
        book: OperationLog,
        spans: dict[str, tuple[InstanceCounters, InstanceCounters]],
        measure: str,
        apart: bool,
    ) -> dict[str, OutcomeCount]:
        """By region. `apart`: nobody of a released one's region is left to compare with, and those of the
        others must do."""
        told: dict[str, OutcomeCount] = {}
        for name, (before, after) in spans.items():
            region = "" if apart else book.permits.instances[name].region
            counter = MEASURES[measure]
            bad = getattr(after, counter) - getattr(before, counter)
            # Answers of this span may be to dialogs of the one before.
            whole = max(bad, after.accepted - before.accepted)
            held = told.get(region, OutcomeCount(0, 0))
            told[region] = OutcomeCount(held.failures + bad, held.total + whole)
        return told
