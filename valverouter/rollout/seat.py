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

from valverouter.rollout.conducting import Conductor, Rules
from valverouter.rollout.disruption_permits import Answer
from valverouter.rollout.keeping import Report
from valverouter.rollout.orders import Book, Command, Place, Placed, Want
from valverouter.rollout.raft import ELECTION_TIMEOUT, RaftNode, Role
from valverouter.rollout.raft_log import Members, PersistentState, Save
from valverouter.rollout.raft_messages import RaftMessage

# Between two steps of the conductor.
STEP = ELECTION_TIMEOUT // 10
# Askers that wait for a confirmation; more are dropped, and ask again.
WAITING_MOST = 4_096


@dataclass(frozen=True, slots=True)
class Word:
    """To a keeper, in answer to its report: what is wanted of its instance. `is_open`: the permit of that
    turn is still held; of one that is over nothing is begun any more."""

    name: str
    want: Want
    is_open: bool
    # Given back by the keeper's next report: our clock when this left.
    stamp: int


@dataclass(frozen=True, slots=True)
class Asked:
    """A question that waits for its confirmation, from round `after` on. `answer` gives what to say."""

    after: int
    answer: Callable[[], None]


class Seat:
    """One seat. `decided` tells whoever watches what was agreed on."""

    def __init__(
        self, name: str, durable: PersistentState, rules: Rules, draw: Callable[[], float], now: int
    ) -> None:
        self.name = name
        self.book = Book()
        self.applied = durable.snapshot.last_included_index if durable.snapshot else 0
        self.rules = rules
        self.conductor: Conductor | None = None
        # What conducts; experiments put a baseline in its place.
        self.make: type[Conductor] = Conductor
        # What was agreed on of late, for tools that asked for it: by the command's id.
        self.answers: dict[str, Answer | Placed] = {}
        self._draw = draw
        self._now = now
        self._stepped_at = now
        self._asked: deque[Asked] = deque()
        self.councillor = RaftNode(name, durable, draw, now, lambda: self.book.copy(), self._install)

    def _install(self, state: Book) -> None:
        self.book = state.copy()

    # Carried

    @property
    def saves(self) -> list[Save]:
        return self.councillor.pending_saves

    @property
    def out(self) -> list[tuple[str, RaftMessage]]:
        return self.councillor.outgoing

    @property
    def leads(self) -> bool:
        return self.councillor.role is Role.LEADER

    @property
    def leader(self) -> str:
        """Who leads, as far as this seat knows; empty: nobody."""
        return self.councillor.leader_id

    # Fed

    def heard(self, now: int, message: RaftMessage) -> None:
        self._now = now
        self.councillor.receive(now, message)
        self._after()

    def tick(self, now: int) -> None:
        self._now = now
        self.councillor.tick(now)
        self._after()
        if self.leads and now - self._stepped_at >= STEP:
            self._stepped_at = now
            self._step(now)

    def _step(self, now: int) -> None:
        """One batch at a time: what the conductor sees must hold all that it proposed before."""
        one = self.councillor
        if self.conductor is None or not one.confirmed_round or one.last_log_index != one.commit_index:
            return
        for command in self.conductor.step(now, self.book):
            one.propose(now, command)
        self._after()

    def report(self, now: int, report: Report, since: int, answer: Callable[[Word], None]) -> bool:
        """A keeper's. Whether this seat leads and will answer."""
        self._now = now
        if not self.leads or self.conductor is None:
            return False
        self.conductor.heard(now, report, since)

        def say() -> None:
            name = report.facts.name
            want, held = self.book.wants.get(name), self.book.register.out.get(name)
            if want is not None:
                is_open = held is not None and held.number == want.number
                answer(Word(name, want, is_open, self._now))

        return self._ask(say)

    def propose(self, now: int, command: Command) -> bool:
        """A tool's. Whether this seat leads; agreed on or not, the tool asks again by the command's id."""
        self._now = now
        if isinstance(command, Place):
            self.answers.pop(command.id, None)
        done = self.leads and self.councillor.propose(now, command)
        self._after()
        return done

    def read(self, now: int, answer: Callable[[Book], None]) -> bool:
        """Whether this seat leads and will answer with the book as it holds after now."""
        self._now = now
        return self.leads and self._ask(lambda: answer(self.book))

    def _ask(self, answer: Callable[[], None]) -> bool:
        if len(self._asked) >= WAITING_MOST:
            return False
        self._asked.append(Asked(self.councillor.round_number + 1, answer))
        self._after()
        return True

    def _after(self) -> None:
        one = self.councillor
        decided, one.committed = one.committed, []
        for index, what in decided:
            self.applied = index
            if what is not None and not isinstance(what, Members):
                self._apply(index, what)
        if decided:
            one.compact_log()
        if not self.leads:
            self.conductor = None
            self._asked.clear()
            return
        if self.conductor is None:
            self.conductor = self.make(self.rules, self._draw, self._now)
        confirmed = one.confirmed_round
        while self._asked and self._asked[0].after <= confirmed:
            self._asked.popleft().answer()

    def _apply(self, index: int, what: Command) -> None:
        answer = self.book.apply(index, what)
        if answer is not None:
            self.answers[answer.id] = answer
            if len(self.answers) > WAITING_MOST:
                del self.answers[next(iter(self.answers))]
