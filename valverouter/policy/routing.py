"""All decisions of one edge proxy: which server, when again, when no more, when to decline.

valverouter.driver calls it: `dialog` gives each dialog's course, a generator that yields wishes and is
resumed with results; `server_list`, `report` and `learn` bring news. The types of both directions are in
valverouter/interface.py. `now` is the caller's clock, set before each call. Why each rule is here, and
where it departs from its source, is in docs/design.md.
"""

from __future__ import annotations

import zlib
from collections.abc import Mapping, Sequence
from enum import Enum, auto

from valverouter.interface import (
    Abort,
    AttemptTerms,
    BudgetTerms,
    Course,
    CrossingRule,
    Decline,
    Deployment,
    Dialog,
    Leg,
    LegResult,
    ListScope,
    Outcome,
    Pause,
    Report,
    ServerEntry,
    Subscribe,
    TrafficType,
)

MS = 1_000_000
SECOND = 1_000 * MS

# The retry budget, in thousandths of a token so that tenths add up exactly.
TOKEN = 1_000
FULL_COUNT = 10 * TOKEN
STAND_ADDS = TOKEN // 10
OWN_BUDGET = BudgetTerms(FULL_COUNT, STAND_ADDS)

# The wait before retry n, and the legs of a dialog.
RETRY_BASE = 200 * MS
RETRY_CAP = 2 * SECOND
LEGS = 3

# Own set-up delays: the weight of a new one, and how long news of a wait takes to fade to nothing. A turn is
# the time in which our even share of a server comes to one leg. Among many edge proxies it is long, and what
# was learnt must hold for some turns: forgotten sooner, all of them together keep a jammed server jammed.
NEW_DELAY_WEIGHT = 0.4
NEWS_FADES = 2 * SECOND
NEWS_FADES_TURNS = 4

# A server that last failed is left alone for so long, doubling with each failure in a row.
SHUN_BASE = 500 * MS
SHUN_BASE_TURNS = 2
SHUN_CAP = 4 * SECOND
SHUN_CAP_TURNS = 8

# What a server's wait may be, in shares of the setup objective, for a dialog to be sent there.
LEAST_WAIT_SHARE = 0.25
WAIT_SHARE_SPAN = 0.2
IMPORTANT_WAIT_SHARE = 0.6

# Unanswered legs that a server may hold of ours: the count at first, at most and at least, what a prompt
# answer adds, what remains after a late one or a failure, and which share of the least objective counts as
# prompt, or so many times the least delay seen up to a larger share. Under one it still lets a single leg
# through; it only takes longer to widen again.
WINDOW_FIRST = 4.0
WINDOW_MOST = 8.0
WINDOW_LEAST = 0.2
WINDOW_GROWS = 0.5
WINDOW_KEEPS = 0.6
PROMPT_SHARE = 0.3
PROMPT_MOST_SHARE = 0.5
PROMPT_LEASTS = 2

# How long news that a server has no free agent holds without being told again, and a 'no free agent' reply to
# a leg of ours; for how long what the fleet takes there must be free to end it sooner. Shares of a dialog's
# length, in which lines come free: a fixed second left a server idle whose dialogs last one.
NO_AGENT_HOLDS = 0.1
NO_AGENT_HOLDS_TURNS = 4
AGENTS_LAST = 0.02

# How long a number whose lines were all busy is taken to stay so.
BUSY_NUMBER = 5 * SECOND

# How much of what tips a cold server all edge proxies together may offer it; how much of the most that a
# server was seen to carry is kept each second; and the fleet's trickle before any news.
COLD_MARGIN = 0.9
CARRIED_KEEPS = 0.98
COLD_TRICKLE = 2 * SECOND

# How far beyond that most a server's busy lines may go by chance, in standard deviations, before they show a
# queue; and for which share of a dialog's length what servers passed by usually take must find room.
ROOM_SIGMAS = 2
ROOM_SHARE = 0.1

# A leg sent so much before one that stands is taken for lost; above what the network reorders.
OVERTAKEN_BY = 100 * MS

# How often we look at our own clock; beats missed are a stall of ours, not a silence of the servers.
HEARTBEAT = 100 * MS

COME_BACK = SECOND // 8


class Verdict(Enum):
    """What follows a failed leg (the paper's Decision, for a Retry)."""

    AGAIN = auto()
    EXHAUSTED = auto()
    THROTTLED = auto()
    EXPIRED = auto()


class RetryBudget:
    """The paper's Budget for one far server: starts full, first legs are never limited by it."""

    def __init__(self, terms: BudgetTerms = OWN_BUDGET) -> None:
        self.terms = terms
        self.tokens = terms.full

    def change(self, terms: BudgetTerms) -> None:
        # What was learnt is the share that is left: a new full count neither forgives nor punishes.
        if terms != self.terms:
            self.tokens = self.tokens * terms.full // self.terms.full
            self.terms = terms

    def failed(self) -> None:
        self.tokens = max(0, self.tokens - TOKEN)

    def stood(self) -> None:
        self.tokens = min(self.terms.full, self.tokens + self.terms.adds)

    @property
    def allows_retry(self) -> bool:
        return self.tokens * 2 > self.terms.full


def decide(budget: RetryBudget, legs: int, legs_allowed: int, again_at: int, no_answer_at: int) -> Verdict:
    """The paper's Done for a retryable result: first the token, then its order of reasons."""
    budget.failed()
    if legs >= legs_allowed:
        return Verdict.EXHAUSTED
    if not budget.allows_retry:
        return Verdict.THROTTLED
    if again_at >= no_answer_at:
        return Verdict.EXPIRED
    return Verdict.AGAIN


def doubled(base: int, times: int, cap: int) -> int:
    return min(cap, base << min(times, 16))


def retry_wait(retry: int, draw: float, least: int, base: int = RETRY_BASE, cap: int = RETRY_CAP) -> int:
    """The paper's Exponential, full jitter; a wait that the server asked for is its least."""
    return max(least, int(draw * doubled(base, retry - 1, cap)))


class Far:
    """What this edge proxy knows of one far server since that server's latest start."""

    def __init__(self, entry: ServerEntry, now: int, budget: BudgetTerms) -> None:
        self.entry = entry
        self.budget = RetryBudget(budget)
        self.no_agent_until = 0
        self.told_wait: int | None = None
        self.lines = 0.0
        self.busy = 0.0
        self.answered_sent_at = 0
        self.delay = 0
        self.least = 0
        self.heard_at = now
        self.fades: float = NEWS_FADES
        # Unanswered legs by (dialog, leg) with their time of sending; emptied by their results.
        self.out: dict[tuple[str, int], int] = {}
        self.window = WINDOW_FIRST
        self.cut_at = now
        self.failures = 0
        self.failed_at = now
        self.shunned_until = 0
        # Our turns at a cold server since its start, and the last one used.
        self.turns = 0.0
        self.turned_at = entry.started_at
        self.turn_taken = 0

    def wait(self, now: int) -> int:
        # An unanswered leg's age is a lower bound of the wait: it shows a silent, hung or cut-off server, or
        # a queue that grows, before any answer or time-out can. A leg overtaken by the answer to a later one
        # is lost, not queued: it says nothing of the wait.
        fading = max(0.0, 1 - (now - self.heard_at) / self.fades)
        known = self.told_wait if self.told_wait is not None else self.delay
        queued_since = self.answered_sent_at - OVERTAKEN_BY
        oldest = next((sent_at for sent_at in self.out.values() if sent_at > queued_since), now)
        return max(int(known * fading), now - oldest)

    def heard(self, delay: int, now: int, turn: float) -> None:
        self.fades = max(NEWS_FADES, NEWS_FADES_TURNS * turn)
        self.delay = int(self.delay + NEW_DELAY_WEIGHT * (delay - self.delay)) if self.delay else delay
        self.heard_at = now

    def adapt(self, prompt: bool, sent_at: int, now: int) -> None:
        # Once for each round trip: legs sent before the last cut tell of the same trouble again.
        if prompt:
            self.window = min(WINDOW_MOST, self.window + WINDOW_GROWS * min(self.window, 1 / self.window))
        elif sent_at >= self.cut_at:
            self.window = max(WINDOW_LEAST, self.window * WINDOW_KEEPS)
            self.cut_at = now

    def sound(self, now: int, turn: float) -> bool:
        # A server whose last news was a failure gets one leg at a time, after a growing pause: it is
        # neither shut out for good nor flooded when it returns. A pause that a quiet hour made long is
        # over once turns have come faster again: reckoned once, it kept a server away all morning.
        if not self.failures:
            return True
        over = min(self.shunned_until, self.failed_at + self.pause(turn))
        return now >= over and not self.out

    def pause(self, turn: float) -> int:
        """After the present failures in a row, with so long a turn."""
        base, cap = max(SHUN_BASE, SHUN_BASE_TURNS * turn), max(SHUN_CAP, SHUN_CAP_TURNS * turn)
        return doubled(int(base), self.failures - 1, int(cap))


class Control:
    """The decisions of one edge proxy. Tables hold what is out, listed or recent, never dialogs past."""

    def __init__(
        self, deployment: Deployment, seed: int, now: int, crossing: CrossingRule | None = None
    ) -> None:
        self.terms = deployment
        self.now = now
        self.crossing = crossing
        # Whether the dialog at hand was kept from a server that would have taken it.
        self._held_back = False
        self._seed = seed
        self._draws = 0
        # Emptied by the server list: an entry goes when the list drops it.
        self._fars: dict[str, Far] = {}
        # Budget terms by server number, where they are not our own; replaced whole.
        self._budgets: Mapping[int, BudgetTerms] = {}
        self._budget_elsewhere = OWN_BUDGET
        # Called numbers whose lines were all busy, until when; emptied as they pass.
        self._busy_numbers: dict[int, int] = {}
        # The most lines that the server of a number was seen to hold busy while warm, and when; outlives a
        # restart or a successor under that number. Emptied by the server list.
        self._carried: dict[int, tuple[float, int]] = {}
        # Lines are shared by all edge proxies unless each has a group of its own.
        self._senders = deployment.edge_proxies if deployment.own_number < 0 else 1
        self._length = sum(t.length for t in deployment.traffic_types.values()) / len(
            deployment.traffic_types
        )
        least = min(t.importance for t in deployment.traffic_types.values())
        self._no_agent_holds = NO_AGENT_HOLDS * (self._length or 10 * SECOND)
        shortest = min(t.objective for t in deployment.traffic_types.values())
        self._prompt = int(PROMPT_SHARE * shortest)
        self._prompt_most = int(PROMPT_MOST_SHARE * shortest)
        self._important = {n for n, t in deployment.traffic_types.items() if t.importance > least}

    # News

    def tick(self, now: int) -> None:
        """Sets the clock, and takes a stall of our own out of every age: it says nothing of the servers."""
        stalled = now - self.now - HEARTBEAT
        if stalled > HEARTBEAT:
            for far in self._fars.values():
                far.out = {leg: sent_at + stalled for leg, sent_at in far.out.items()}
                far.heard_at += stalled
                far.answered_sent_at += stalled
        self.now = now

    def server_list(self, scope: ListScope, entries: Sequence[ServerEntry]) -> None:
        if scope is ListScope.FAILED:
            return
        if scope is not ListScope.CHANGES:
            listed = {entry.id for entry in entries}
            self._fars = {id_: far for id_, far in self._fars.items() if id_ in listed}
        for entry in entries:
            known = self._fars.get(entry.id)
            if known is None or (entry.in_service and entry.started_at != known.entry.started_at):
                # A fresh start owes nothing to the process before it, its legs included.
                self._fars[entry.id] = far = Far(entry, self.now, self._budget_of(entry))
                far.turns = self.terms.place / self.terms.edge_proxies
            else:
                known.entry = entry
        for id_ in [id_ for id_, far in self._fars.items() if not far.entry.in_service and not far.out]:
            del self._fars[id_]
        if scope is not ListScope.CHANGES:
            numbers = {far.entry.number for far in self._fars.values()}
            self._carried = {n: carried for n, carried in self._carried.items() if n in numbers}

    def budgets(self, by_number: Mapping[int, BudgetTerms], elsewhere: BudgetTerms) -> None:
        self._budgets, self._budget_elsewhere = by_number, elsewhere
        for far in self._fars.values():
            far.budget.change(self._budget_of(far.entry))

    def _budget_of(self, entry: ServerEntry) -> BudgetTerms:
        return self._budgets.get(entry.number, self._budget_elsewhere)

    def report(self, server: str, report: Report) -> None:
        far = self._fars.get(server)
        if far is None:
            return
        if report.free_lines is not None:
            turn = self._turn(far)
            if report.free_lines < 1:
                far.no_agent_until = max(far.no_agent_until, self.now + int(self._no_agent_holds))
            elif not turn or report.free_lines >= self._senders * AGENTS_LAST * self._length / turn:
                # One line free, told to hundreds of edge proxies, brings that server hundreds of vain legs.
                far.no_agent_until = 0
        if report.lines and report.free_lines is not None:
            far.lines = report.lines
            far.busy = report.lines - report.free_lines
            if self._kept(far) < 1:
                # Nothing is known, or no more than at the start.
                self._carries(far)
        if report.wait is not None:
            far.told_wait = report.wait

    def _carries(self, far: Far) -> None:
        if self._cold_share(far) >= 1:
            self._carried[far.entry.number] = max(self._kept(far), far.busy), self.now

    def _kept(self, far: Far) -> float:
        most, at = self._carried.get(far.entry.number, (0.0, self.now))
        kept: float = CARRIED_KEEPS ** ((self.now - at) / SECOND)
        return most * kept

    def learn(self, result: LegResult) -> list[tuple[str, int]]:
        """Every result teaches about its server, also of dialogs long ended; names legs to cancel."""
        if self.crossing is not None:
            self.crossing.heard(self.now, result)
        far = self._fars.get(result.server)
        if far is None:
            return []
        if result.report is not None:
            self.report(result.server, result.report)
        sent_at = far.out.pop((result.dialog_id, result.leg), None)
        if sent_at is None or result.outcome in (Outcome.NOT_SENT, Outcome.CANCELLED):
            return []
        if result.outcome is Outcome.NO_AGENT:
            # Said of the lines, not of the processor: it is neither slow nor ailing.
            far.no_agent_until = self.now + int(
                max(self._no_agent_holds, NO_AGENT_HOLDS_TURNS * self._turn(far))
            )
            return []
        answered = (Outcome.STANDS, Outcome.ENDED, Outcome.LINE_BUSY, Outcome.FAULT)
        if result.outcome in answered:
            far.failures = 0
            delay = self.now - sent_at
            far.heard(delay, self.now, self._turn(far))
            if result.outcome is Outcome.STANDS:
                far.least = min(far.least or delay, delay)
            # A far region's answers are never prompt against a short objective, however idle its server: what
            # no wait there could shorten is no sign of one. A fault may be told without a wait, so only
            # stands show that least; a server that began in a jam shows a jam's, hence the bound.
            bound = max(self._prompt, min(PROMPT_LEASTS * far.least, self._prompt_most))
            far.adapt(delay <= bound, sent_at, self.now)
            if delay <= self._prompt:
                self._carries(far)
            if result.outcome is not Outcome.STANDS:
                return []
            far.answered_sent_at = max(far.answered_sent_at, sent_at)
            return self._overtaken(far, sent_at)
        if result.outcome is Outcome.TIMED_OUT and sent_at <= far.answered_sent_at:
            return []
        # A wait that a full server asks for binds the dialog it told, as the source has it; for others our
        # own delays decide, since such a wait has been seen to contradict them.
        far.failures += 1
        far.adapt(False, sent_at, self.now)
        turn = self._turn(far)
        far.heard(max(self.now - sent_at, far.delay), self.now, turn)
        far.failed_at = self.now
        far.shunned_until = self.now + far.pause(turn)
        return []

    def _overtaken(self, far: Far, sent_at: int) -> list[tuple[str, int]]:
        # A server takes set-ups in turn, so a leg sent well before one that stands now is lost, however
        # prompt the server: its dialog had better try again than wait out its time. A queue overtakes none.
        if not self.terms.may_cancel:
            return []
        lost = [leg for leg, at in far.out.items() if at < sent_at - OVERTAKEN_BY]
        for leg in lost:
            del far.out[leg]
        return lost

    # A dialog

    def dialog(self, dialog: Dialog) -> Course:
        """One dialog from its arrival to its answer."""
        kind = self.terms.traffic_types.get(dialog.traffic_type)
        if kind is None or self._lines_busy(dialog.called_number):
            yield Decline(self._come_back(dialog.attempts))
            return
        legs = 0
        terms = dialog.attempts or self._attempts(kind)
        tried: set[str] = set()
        while True:
            far = self._choose(dialog, kind, tried)
            if far is None:
                if self.crossing is not None and self._held_back:
                    self.crossing.refused(self.now, dialog.traffic_type)
                yield Decline(self._come_back(terms))
                return
            if self.crossing is not None:
                self.crossing.sent(self.now, dialog.traffic_type, far.entry.region, (dialog.id, legs))
            server = far.entry.id
            tried.add(server)
            far.out[dialog.id, legs] = self.now
            legs += 1
            # A leg's own time-out, where the terms give one, leaves the rest of the time to another server.
            until = dialog.no_answer_at
            if terms.leg_time_out:
                until = min(until, self.now + terms.leg_time_out)
            result = yield Leg(server, until)
            assert isinstance(result, LegResult)
            outcome = result.outcome
            if outcome is Outcome.STANDS:
                far.budget.stood()
                return
            if outcome is Outcome.LINE_BUSY:
                self._busy_numbers[dialog.called_number] = self.now + BUSY_NUMBER
                yield Abort()
                return
            in_all = min(terms.legs_in_all or self.terms.legs_allowed, self.terms.legs_allowed)
            if outcome is Outcome.NO_AGENT and legs < in_all and self.now < dialog.no_answer_at:
                # The news was older than the lines: the server rule goes on at once, nothing has failed.
                continue
            proven_unrun = outcome in (Outcome.FULL, Outcome.NO_AGENT, Outcome.UNREACHABLE)
            if outcome is Outcome.NOT_SENT or self.now >= dialog.no_answer_at:
                # The caller's time is over, or nothing was sent: neither says anything of the server.
                yield Abort()
                return
            least = result.asked_wait if proven_unrun else terms.release_wait
            wait = retry_wait(legs, self._draw(), least, terms.retry_base, terms.retry_cap)
            legs_allowed = min(terms.legs, self.terms.legs_allowed)
            verdict = decide(far.budget, legs, legs_allowed, self.now + wait, dialog.no_answer_at)
            if not kind.repeatable and not proven_unrun:
                yield Abort()
                return
            if verdict is not Verdict.AGAIN:
                yield Decline(self._come_back(terms))
                return
            yield Pause(wait)

    def _attempts(self, kind: TrafficType) -> AttemptTerms:
        release = self.terms.release_wait
        return AttemptTerms(LEGS, kind.objective, 0, release, RETRY_BASE, RETRY_CAP)

    def _choose(self, dialog: Dialog, kind: TrafficType, tried: set[str]) -> Far | None:
        allowed = [
            far
            for far in self._fars.values()
            if far.entry.in_service
            and far.entry.number != self.terms.own_number
            and (kind.server_numbers is None or far.entry.number in kind.server_numbers)
            and (not dialog.in_transit or far.entry.number == dialog.first_choice)
        ]
        self._held_back = False
        limit = self._wait_limit(dialog, kind)
        first = next((far for far in allowed if far.entry.number == dialog.first_choice), None)
        if (
            first is not None
            and first.entry.id not in tried
            and self._takes(first, limit)
            and self._may_cross(first, dialog, limit)
        ):
            return self._sent_to(first)
        takers = [far for far in allowed if self._takes(far, limit)]
        others = self._nearest([far for far in takers if far is not first], dialog, limit)
        fresh = [far for far in others if far.entry.id not in tried] or others
        if first in takers and not fresh and first is not None and self._may_cross(first, dialog, limit):
            # Tried by this dialog before, but the only one left.
            fresh = [first]
        if not fresh or not self._finds_room(takers, others, kind, dialog):
            return None
        one = self._drawn(fresh)
        two = self._drawn([far for far in fresh if far is not one] or fresh)
        best = one if one.wait(self.now) <= two.wait(self.now) else two
        return self._sent_to(best)

    def _nearest(self, takers: list[Far], dialog: Dialog, limit: int) -> list[Far]:
        others = [far for far in takers if self._room(far) > 0]
        if self.crossing is None:
            return others
        # Home before away: a crossing costs time and the other region's lines, so it comes after the first
        # choice and all of home. Room is not judged by our own prompt answers there, having hardly any: the
        # budget and what the server tells hold us back instead.
        home = [far for far in others if not self.crossing.is_away(far.entry.region)]
        self.crossing.looked(self.now, bool(home))
        if home:
            return home
        away = [far for far in takers if self.crossing.is_away(far.entry.region)]
        return [far for far in away if self._may_cross(far, dialog, limit)]

    def _may_cross(self, far: Far, dialog: Dialog, limit: int) -> bool:
        if self.crossing is None:
            return True
        if not self.crossing.is_away(far.entry.region):
            self.crossing.looked(self.now, True)
            return True
        free = 1 - far.busy / far.lines if far.lines else None
        wait_share = far.wait(self.now) / max(1, limit)
        may = self.crossing.may_cross(self.now, dialog.traffic_type, far.entry.region, wait_share, free)
        self._held_back |= not may
        return may

    def _finds_room(self, takers: list[Far], others: list[Far], kind: TrafficType, dialog: Dialog) -> bool:
        # What many servers can't take falls on the few that still can, from every edge proxy at once and with
        # each redial again, and jams those too. Of what is passed by only the part that finds room goes on.
        if dialog.traffic_type in self._important or dialog.was_cut:
            return True
        if self.crossing is not None and others and self.crossing.is_away(others[0].entry.region):
            return True
        taking = {far.entry.number for far in takers}
        passed_by = sum(
            busy
            for number, (busy, _) in self._carried.items()
            if number not in taking and (kind.server_numbers is None or number in kind.server_numbers)
        )
        return self._draw() * passed_by * ROOM_SHARE < sum(self._room(far) for far in others)

    def _room(self, far: Far) -> float:
        # News of busy lines reaches every edge proxy, a jam only those who had a leg there. What waits at the
        # processor holds lines too, so lines beyond the most it held while prompt, and beyond chance, are a
        # queue: no second choices then. Prompt answers raise the mark, so that a server may take on more.
        most = self._usual(far)
        return most + ROOM_SIGMAS * most**0.5 - far.busy if most else 1.0

    def _drawn(self, fars: list[Far]) -> Far:
        # Drawn by room: drawn evenly, what large servers can't take would jam the small ones.
        weights = [max(1e-9, self._room(far)) for far in fars]
        left = self._draw() * sum(weights)
        for far, weight in zip(fars, weights, strict=True):
            left -= weight
            if left < 0:
                return far
        return fars[-1]

    def _takes(self, far: Far, limit: int) -> bool:
        return (
            self.now >= far.no_agent_until
            and len(far.out) < far.window
            and far.sound(self.now, self._turn(far))
            and far.wait(self.now) <= limit
            and self._cold_turn(far)
        )

    def _wait_limit(self, dialog: Dialog, kind: TrafficType) -> int:
        objective = dialog.attempts.objective if dialog.attempts else kind.objective
        if dialog.traffic_type in self._important or dialog.was_cut:
            return int(objective * IMPORTANT_WAIT_SHARE)
        # Drawn per dialog so that a rising wait turns away a rising share, not all at one moment.
        return int(objective * (LEAST_WAIT_SHARE + WAIT_SHARE_SPAN * self._draw()))

    # Cold servers

    def _cold_share(self, far: Far) -> float:
        started, warm_after = far.entry.started_at, self.terms.warm_after
        if not started or self.now - started >= warm_after:
            return 1.0
        return self.terms.cold_share + (1 - self.terms.cold_share) * max(0, self.now - started) / warm_after

    def _cold_turn(self, far: Far) -> bool:
        """Whether a cold server has room for one leg from this edge proxy."""
        share = self._cold_share(far)
        if share >= 1:
            return True
        # Among many edge proxies the share of one is far under a leg in any window, and shares saved up
        # would all be spent in the same second. So each has its turns, spread by its place among all, and a
        # turn not used soon lapses: however sudden the demand, the turns open in one window keep within
        # what tips the server.
        window, turn = self.terms.tip_span, self._turn(far)
        lapses = min(window, turn) if turn else window
        tips = self.terms.tip_multiple * share * COLD_MARGIN / turn if turn else 0.0
        trickle = 1 / (COLD_TRICKLE * self.terms.edge_proxies)
        rate = max(tips * window / (window + lapses), trickle)
        far.turns += rate * (self.now - far.turned_at)
        far.turned_at = self.now
        return int(far.turns) > far.turn_taken and far.turns % 1 <= rate * lapses

    def _turn(self, far: Far) -> float:
        """The time in which our even share of what a server usually takes is one leg; 0 if not known."""
        # Busy lines over the length of a dialog are the rate at which they are set up, for the whole fleet
        # and from its very start; servers differ many times over in what they can do for each line.
        # Of a server that a quiet hour left with no line busy little is known, not that our turn never comes:
        # the mark fades towards nought, and one failure then shut that server out for good.
        busy = self._usual(far)
        return self._length * self._senders / max(1.0, busy) if busy else 0.0

    def _usual(self, far: Far) -> float:
        """The most lines that a server was seen to hold while prompt; 0 if nothing is known of any."""
        known = self._carried.get(far.entry.number)
        if known is not None:
            return known[0]
        ratios = [
            self._carried[f.entry.number][0] / f.lines
            for f in self._fars.values()
            if f.lines and f.entry.number in self._carried
        ]
        return far.lines * min(ratios, default=0.0)

    def _sent_to(self, far: Far) -> Far:
        far.turn_taken = int(far.turns)
        return far

    # Small things

    def upkeep(self) -> Course:
        """Gets the list where it must be asked for, then beats so that a stall of our own shows."""
        tries = 0
        while not self.terms.list_is_pushed and (yield Subscribe()) is ListScope.FAILED:
            tries += 1
            yield Pause(retry_wait(tries, self._draw(), RETRY_BASE))
        while True:
            yield Pause(HEARTBEAT)

    def _lines_busy(self, number: int) -> bool:
        for passed in [n for n, until in self._busy_numbers.items() if until <= self.now]:
            del self._busy_numbers[passed]
        return number in self._busy_numbers

    def _come_back(self, terms: AttemptTerms | None) -> int:
        usual = (terms.come_back if terms else 0) or COME_BACK
        return min(self.terms.come_back_limit, int(usual * (0.5 + self._draw())))

    def _draw(self) -> float:
        """A number from 0 up to 1, from the instance's seed and a counter alone."""
        self._draws += 1
        return zlib.crc32(b"%d/%d" % (self._seed, self._draws)) / 2**32
