"""What the council's leader does next: who asks for leave, who is told away or in, whether a release goes on.

Pure: fed with reports and the agreed book, it gives commands to be agreed on. What it holds itself is soft: a
leader that comes after it hears the same reports and begins its evidence anew, which costs time and never
lets anything through. Nothing here gives leave: the book does, by its own rules, when a command is agreed on.
"""

from __future__ import annotations

import statistics
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field

from valverouter.rollout.disruption_limits import DisruptionLimits, InstanceKind, Instance
from valverouter.rollout.disruption_permits import (
    RequestPermit,
    InstanceLost,
    InstanceReturned,
    EnrollInstances,
)
from valverouter.rollout.operations import (
    Book,
    Command,
    Kind,
    Next,
    Order,
    Phase,
    Runs,
    Step,
    Stop,
    Want,
    Went,
    split_by_version,
)
from valverouter.rollout.readiness import ReadinessTracker
from valverouter.rollout.sequential_test import CanaryEvidence, OutcomeCount, Verdict
from valverouter.rollout.sequential_test import SequentialTestConfig as EvidenceRule
from valverouter.rollout.supervisor import Counts, Report

SECOND = 10**9
MEASURES = ("declined", "lost", "late")


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

    operation_id: str
    stage: int
    started_at: int
    evidence: CanaryEvidence
    last_counters: dict[str, Counts]
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

    def record_report(self, now: int, report: Report, made_after: int) -> None:
        """`since`: a moment after which it was made for certain."""
        self.readiness.record_report(now, report, made_after)

    def next_commands(self, now: int, log: Book) -> list[Command]:
        """Commands to be agreed on; the next step is taken when they are."""
        commands = self._enrols(log)
        if commands:
            return commands
        commands = [*self._presence(now, log)]
        for undrain in log.undrains:
            for name in undrain.members:
                commands += self._outcome(log, undrain, name)
        order = log.going
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

    def _enrols(self, book: Book) -> list[Command]:
        commands: list[Command] = []
        limits = tuple((sort, one) for sort, one in self.config.limits.items())
        if any(book.register.limits.get(sort) != one for sort, one in limits):
            commands.append(EnrollInstances((), limits))
        for name, seen in self.readiness.observations.items():
            facts, held = seen.report.facts, book.register.instances.get(name)
            unit = Instance(name, facts.sort, facts.region, facts.capacity, facts.processor)
            if unit != held:
                commands.append(EnrollInstances((unit,)))
            if name not in book.wants or book.versions.get(name) != facts.versions:
                told = seen.report
                commands.append(Runs(name, told.version, facts.versions, told.number, told.step, told.up))
        return commands

    def _presence(self, now: int, book: Book) -> list[Command]:
        """Out without leave by what is not heard or is told down; in by evidence alone."""
        commands: list[Command] = []
        out = book.register.unavailable
        for name in book.register.instances:
            seen, want = self.readiness.observations.get(name), book.wants.get(name)
            if name in out:
                held = out[name]
                if want is not None and self.readiness.is_ready(name, want, now, out.__contains__):
                    commands.append(InstanceReturned(name, held.number if held else 0))
                continue
            away = self.readiness.time_since_report(name, now) > self.config.away_after
            if seen is not None and self.readiness.has_fresh_report(name, now):
                away = away or not seen.report.runs or seen.report.leaving
            if away:
                commands.append(InstanceLost(name))
        return commands

    # Whether an order may go on

    def _must_stop(self, now: int, book: Book, order: Order) -> Stop | None:
        if order.phase is Phase.RETURNING:
            return None
        why = self._view(now, book)
        failed = next((name for name, one in order.members.items() if one.step is Step.FAILED), None)
        if not why and failed is not None:
            why = f"{failed}: {order.members[failed].why or 'did not come up'}"
        if not why and order.kind is Kind.RELEASE:
            why = self._ends(book, order) or self._memory(book, order)
        return Stop(order.id, why) if why else None

    def _view(self, now: int, book: Book) -> str:
        """A fleet that does not know itself takes nothing out. An instance that is out itself is no witness;
        those that keep no view say nothing."""
        said = [
            seen.report.counts.trust
            for name, seen in self.readiness.observations.items()
            if name not in book.register.unavailable
            and self.readiness.has_fresh_report(name, now)
            and seen.report.counts.trust
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

    def _ends(self, book: Book, order: Order) -> str:
        """Programs of the release that end by themselves, against those of the others at the same time."""
        ours = [name for name, one in order.members.items() if one.step in (Step.OUT, Step.DONE)]
        counted = self._counted(book, order, ours)
        if counted >= min(self.config.max_unexpected_exits, max(1, len(ours))):
            others = split_by_version(book, order)[1]
            theirs = self._counted(book, order, others, since=True)
            if counted * max(1, len(others)) > 2 * theirs * len(ours):
                return f"{counted} programs of {len(ours)} released ended by themselves"
        return ""

    def _memory(self, book: Book, order: Order) -> str:
        ours, theirs = (self._held(names) for names in split_by_version(book, order))
        if not ours or not theirs:
            return ""
        one, other = statistics.median(ours), statistics.median(theirs)
        if one > self.config.max_memory_ratio * other and one - other > self.config.min_memory_excess:
            return f"released ones hold {one / 2**20:.0f} MiB in the median, the others {other / 2**20:.0f}"
        return ""

    def _held(self, names: list[str]) -> list[int]:
        seen = (self.readiness.observations.get(name) for name in names)
        return [one.report.counts.memory for one in seen if one is not None and one.report.counts.memory]

    def _counted(self, book: Book, order: Order, names: list[str], since: bool = False) -> int:
        total = 0
        for name in names:
            seen = self.readiness.observations.get(name)
            if seen is None:
                continue
            member = order.members.get(name)
            if since:
                before = (
                    self._canary.initial_exits.get(name, seen.report.ends)
                    if self._canary
                    else seen.report.ends
                )
                total += max(0, seen.report.ends - before)
            elif member is not None and seen.report.turn == (member.number, 0):
                total += seen.report.ends
        return total

    # An order's course

    def _conduct(self, now: int, book: Book, order: Order) -> list[Command]:
        match order.phase:
            case Phase.GOING:
                stop: list[Command] = [
                    one for one in self._evaluate_canary(now, book, order) if isinstance(one, Stop)
                ]
                return stop or self._wave(now, book, order)
            case Phase.WATCHING:
                return self._evaluate_canary(now, book, order)
            case Phase.RETURNING:
                return self._returns(now, book, order)
            case _:
                return []

    def _wave(self, now: int, book: Book, order: Order) -> list[Command]:
        commands: list[Command] = []
        settled = self._unsettled_since is None
        for name in order.present:
            member = order.members[name]
            if member.step is Step.WAITING:
                if self.readiness.time_since_report(name, now) > self.config.unreachable_after:
                    silent = self.readiness.time_since_report(name, now) // SECOND
                    commands.append(Went(order.id, name, 0, Step.NOT_REACHED, f"silent for {silent} s"))
                elif settled and self.readiness.has_fresh_report(name, now):
                    commands += self._ask(now, order, name)
            else:
                commands += self._outcome(book, order, name)
        return commands

    def _ask(self, now: int, order: Order, name: str) -> list[Command]:
        member = order.members[name]
        if member.tries and now - self._permit_requested_at.get(name, 0) < self.config.permit_retry_interval:
            return []
        self._permit_requested_at[name] = now
        back = "/back" if order.phase is Phase.RETURNING else ""
        return [RequestPermit(f"{order.id}/{name}{back}/{member.tries}", name, order.id)]

    def _outcome(self, book: Book, order: Order, name: str) -> list[Command]:
        """What its keeper tells of the turn, by its number: it is asked and never guessed."""
        member, seen, want = (
            order.members[name],
            self.readiness.observations.get(name),
            book.wants.get(name, Want("")),
        )
        if member.step is not Step.OUT or seen is None or seen.report.turn != want.turn:
            return []
        report = seen.report
        if report.outcome == "failed":
            return [Went(order.id, name, member.number, Step.FAILED, report.why)]
        if report.outcome == "done" and not want.up:
            return [Went(order.id, name, member.number, Step.DRAINED)]
        return []

    def _returns(self, now: int, book: Book, order: Order) -> list[Command]:
        """What is out comes in by itself; what was released asks for leave to go back, in waves that the
        limits make: whoever is refused asks again."""
        commands: list[Command] = []
        waiting = [name for name, one in order.members.items() if one.step is Step.TO_RETURN]
        out = [name for name, one in order.members.items() if one.step in (Step.OUT, Step.FAILED)]
        for name in out:
            commands += self._outcome(book, order, name)
        # Those whose program does not run go first: they have nothing to lose.
        waiting.sort(key=lambda name: (name not in book.register.unavailable, name))
        size = max(1, len(order.members) // 4)
        for name in waiting[: max(0, size - len(out))]:
            if self.readiness.has_fresh_report(name, now):
                commands += self._ask(now, order, name)
        return commands

    # Evidence

    def _evaluate_canary(self, now: int, book: Book, order: Order) -> list[Command]:
        if order.kind is not Kind.RELEASE or not any(one.step is Step.DONE for one in order.members.values()):
            return []
        ones, others = split_by_version(book, order)
        # The keeper's own count of unasked ends is compared from the beginning of the wave's watch.
        looked = self._canary
        if looked is None or (looked.operation_id, looked.stage) != (order.id, order.stage):
            looked = self._canary = CanaryWindow(
                order.id,
                order.stage,
                now,
                CanaryEvidence(MEASURES, self.config.sequential_test, self._draw),
                {},
                {name: seen.report.ends for name, seen in self.readiness.observations.items()},
                now - self.config.sample_interval,
            )
        if now - looked.sampled_at < self.config.sample_interval:
            return []
        looked.sampled_at = now
        ours, theirs = self._spans(looked, now, ones), self._spans(looked, now, others)
        regions = {book.register.instances[name].region for name in ours}
        apart = regions.isdisjoint(book.register.instances[name].region for name in theirs)
        for measure in MEASURES:
            looked.evidence.add_interval(
                self._tallies(book, ours, measure, apart),
                self._tallies(book, theirs, measure, apart),
                measure,
            )
        if looked.evidence.verdict is Verdict.HALT:
            return [Stop(order.id, looked.evidence.halt_reason)]
        if order.phase is Phase.GOING:
            # Seen when its last wave is back, not before: evidence of few must not let all of them go.
            looked.started_at = now
            return []
        settled = self._unsettled_since is None
        if (
            looked.evidence.verdict is Verdict.PASS
            and settled
            and now - looked.started_at >= self.config.min_evaluation
        ):
            return [Next(order.id, order.wave)]
        return []

    def _spans(self, looked: CanaryWindow, now: int, names: list[str]) -> dict[str, tuple[Counts, Counts]]:
        """Of each that was heard, its counts before and now; a new process has nothing before."""
        spans = {}
        for name in names:
            seen = self.readiness.observations.get(name)
            if seen is None or not self.readiness.has_fresh_report(name, now) or not seen.report.counts.life:
                continue
            counts = seen.report.counts
            before = looked.last_counters.get(name)
            looked.last_counters[name] = counts
            if before is not None and before.life == counts.life:
                spans[name] = before, counts
        return spans

    def _tallies(
        self, book: Book, spans: dict[str, tuple[Counts, Counts]], measure: str, apart: bool
    ) -> dict[str, OutcomeCount]:
        """By region. `apart`: nobody of a released one's region is left to compare with, and those of the
        others must do."""
        told: dict[str, OutcomeCount] = {}
        for name, (before, after) in spans.items():
            region = "" if apart else book.register.instances[name].region
            bad = getattr(after, measure) - getattr(before, measure)
            # Answers of this span may be to dialogs of the one before.
            whole = max(bad, after.taken - before.taken)
            held = told.get(region, OutcomeCount(0, 0))
            told[region] = OutcomeCount(held.failures + bad, held.total + whole)
        return told
