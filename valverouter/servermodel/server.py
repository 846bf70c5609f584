"""A setup server as a model: one processor with a queue, lines, a cold start, and what can go wrong with it.

Nothing here reads a clock, sleeps or draws by itself: whoever runs it says `now` (whole nanoseconds), asks
when something is `due`, and takes the happenings out by `advance`. Stand-ins run it on sockets, the emulator
in simulated time. Spans of work are nanoseconds of a warm, sound processor.
"""

from __future__ import annotations

import heapq
import math
from collections import deque
from collections.abc import Callable, Container
from dataclasses import dataclass, field
from enum import Enum, auto
from typing import Any

SECOND = 1_000_000_000

Key = tuple[str, str, int]


class Happens(Enum):
    """What a leg's peer is to be told; ENDED and CUT close a leg that stood."""

    PROVISIONAL = auto()
    STANDS = auto()
    ENDED = auto()
    CUT = auto()
    LINE_BUSY = auto()
    FULL = auto()
    NO_AGENT = auto()
    FAULT = auto()
    CANCELLED = auto()


@dataclass(frozen=True, slots=True)
class Happening:
    """One answer: to whose leg (peer, dialog, leg), what, when, and the wait that a full processor asks
    for."""

    key: Key
    what: Happens
    at: int
    asked_wait: int = 0


@dataclass(frozen=True, slots=True)
class Make:
    """What a server is made of. `most_wait`: set-ups are refused once the processor's wait passes it.

    `resend_first`: a set-up that waits is repeated after this span and then at doubling gaps, each repeat
    costing `repeat_work`; 0: never. `spread`: the share of a set-up's work that is drawn, exponentially, the
    rest being fixed; the mean is the same. `cold_share` to 1 within `warm_after`: what a fresh processor
    can do.
    """

    lines: int = 1_000
    setup_work: int = 10_000_000
    answer_work: int = 3_000_000
    release_work: int = 3_000_000
    refuse_work: int = 1_000_000
    repeat_work: int = 3_000_000
    ring: int = 0
    most_wait: int = 2 * SECOND
    tells_wait: bool = False
    resend_first: int = 0
    set_ups_first: bool = True
    drops_cancelled: bool = False
    cold_share: float = 1.0
    warm_after: int = 0
    tip_multiple: float = 1e9
    tip_span: int = SECOND
    spread: float = 0.0

    def cold_terms(self) -> dict[str, Any]:
        """What its start is judged by: the work of a set-up, what it can do cold, what pushes it over."""
        names = ("setup_work", "cold_share", "warm_after", "tip_multiple", "tip_span")
        return {name: getattr(self, name) for name in names}


class CalledNumbers:
    """The lines behind each called number, which all servers share. Emptied as its dialogs end."""

    def __init__(self, lines: dict[int, int] | None = None) -> None:
        self.lines = lines or {}
        self._busy: dict[int, int] = {}

    def take(self, number: int) -> bool:
        busy = self._busy.get(number, 0)
        if busy >= self.lines.get(number, busy + 1):
            return False
        self._busy[number] = busy + 1
        return True

    def free(self, number: int) -> None:
        self._busy[number] -= 1
        if not self._busy[number]:
            del self._busy[number]


class _Work(Enum):
    SETUP = auto()
    ANSWER = auto()
    RELEASE = auto()
    REFUSE = auto()
    REPEAT = auto()


class _Stage(Enum):
    QUEUED = auto()
    RINGING = auto()
    STANDING = auto()
    ENDING = auto()


@dataclass(slots=True)
class _Held:
    """A leg at this server. `until_end` is how long its dialog lasts once it stands."""

    number: int
    until_end: int
    stage: _Stage = _Stage.QUEUED
    holds_line: bool = False
    told: bool = False
    repeats: int = 0
    serial: int = 0


@dataclass(slots=True)
class _Job:
    work: _Work
    key: Key | None
    cost: int
    serial: int = 0


@dataclass(slots=True)
class Counts:
    """What a server did since it was built, for reports and records."""

    set_ups: int = 0
    stood: int = 0
    refused: int = 0
    cut: int = 0
    repeats: int = 0
    work: int = 0
    wasted: int = 0


@dataclass(slots=True)
class _Trouble:
    slow: float = 1.0
    ageing_since: int = 0
    ageing_to: float = 1.0
    ageing_span: int = 1
    hangs: bool = False
    answers_lost: float = 0.0
    lines_kept: float = 1.0


@dataclass(slots=True)
class SetupServer:
    """One server. `legs` holds what is at it and no more: each closing answer, cut or cancel takes one
    out."""

    make: Make
    draw: Callable[[], float]
    numbers: CalledNumbers = field(default_factory=CalledNumbers)
    runs: bool = True
    started_at: int = -(1 << 62)
    fell: bool = False
    legs: dict[Key, _Held] = field(default_factory=dict)
    counts: Counts = field(default_factory=Counts)
    margin_used: float = 0.0
    _trouble: _Trouble = field(default_factory=_Trouble)
    _queue: deque[_Job] = field(default_factory=deque)
    _queued_work: int = 0
    _current: _Job | None = None
    _done_at: int = 0
    _left: int = 0
    _timers: list[tuple[int, int, str, Key, int]] = field(default_factory=list)
    _happened: list[Happening] = field(default_factory=list)
    _recent: deque[tuple[int, int]] = field(default_factory=deque)
    _recent_work: int = 0
    _serial: int = 0
    _lines_held: int = 0
    _busy_from: int = 0
    _busy_for: int = 0
    _util: float = 0.0

    # The processor

    def share(self, now: int) -> float:
        """What the processor can do at this moment, of what it can do warm and sound."""
        trouble = self._trouble
        slow = trouble.slow
        if trouble.ageing_to > 1:
            aged = min(1.0, (now - trouble.ageing_since) / trouble.ageing_span)
            slow *= 1 + (trouble.ageing_to - 1) * aged
        return self._cold_share(now) / slow

    def _cold_share(self, now: int) -> float:
        make = self.make
        age = now - self.started_at
        if age >= make.warm_after:
            return 1.0
        return make.cold_share + (1 - make.cold_share) * max(0, age) / make.warm_after

    def wait(self, now: int) -> int:
        """How long a set-up that came now would wait for the processor."""
        rest = self._left if self._trouble.hangs else max(0, self._done_at - now) if self._current else 0
        return rest + int(self._queued_work / self.share(now))

    def due(self) -> int | None:
        """When `advance` next has something to do; None: only when something comes in."""
        times = [self._timers[0][0]] if self._timers else []
        if self._current is not None and not self._trouble.hangs:
            times.append(self._done_at)
        return min(times, default=None)

    def advance(self, now: int) -> list[Happening]:
        """Lets time pass up to `now`; gives what happened, in order. Empties what it gives."""
        while (due := self.due()) is not None and due <= now:
            if self._timers and self._timers[0][0] == due:
                _, _, what, key, serial = heapq.heappop(self._timers)
                self._timer(due, what, key, serial)
            else:
                job, self._current = self._current, None
                assert job is not None
                self._finish(due, job)
                self._next(due)
        happened, self._happened = self._happened, []
        return happened

    def _enqueue(self, now: int, job: _Job, first: bool = False) -> None:
        behind = self.make.set_ups_first and job.work in (_Work.SETUP, _Work.REPEAT)
        if first:
            self._queue.appendleft(job)
        elif behind:
            # Answers and releases wait behind new set-ups: a set-up goes ahead of those at the end of the
            # line.
            moved: list[_Job] = []
            while self._queue and self._queue[-1].work in (_Work.ANSWER, _Work.RELEASE):
                moved.append(self._queue.pop())
            self._queue.append(job)
            self._queue.extend(reversed(moved))
        else:
            self._queue.append(job)
        self._queued_work += job.cost
        self._next(now)

    def _next(self, now: int) -> None:
        if self._current is not None:
            return
        while self._queue:
            job = self._queue.popleft()
            self._queued_work -= job.cost
            if self._dropped(job):
                continue
            self._current = job
            cost = int(job.cost / self.share(now))
            self._done_at = now + cost
            self._left = cost
            self.counts.work += cost
            self._busy_for += cost
            return

    def _dropped(self, job: _Job) -> bool:
        if not self.make.drops_cancelled or job.work not in (_Work.SETUP, _Work.REPEAT) or job.key is None:
            return False
        held = self.legs.get(job.key)
        return held is None or held.serial != job.serial

    def _finish(self, now: int, job: _Job) -> None:
        held = self.legs.get(job.key) if job.key is not None else None
        if held is None or held.serial != job.serial or job.key is None:
            self.counts.wasted += job.cost
            return
        if job.work is _Work.SETUP and held.stage is _Stage.QUEUED:
            self._set_up(now, job.key, held)
        elif job.work is _Work.ANSWER and held.stage is _Stage.RINGING:
            if self.draw() < self._trouble.answers_lost:
                return
            held.stage, held.told = _Stage.STANDING, True
            self.counts.stood += 1
            self._tell(now, job.key, Happens.STANDS)
            self._at(now + held.until_end, "over", job.key, held.serial)
        elif job.work is _Work.RELEASE and held.stage is _Stage.ENDING:
            self._close(now, job.key, Happens.ENDED)
        elif job.work is _Work.REPEAT:
            self.counts.wasted += job.cost

    def _set_up(self, now: int, key: Key, held: _Held) -> None:
        if self._lines_held >= int(self.make.lines * self._trouble.lines_kept):
            self._close(now, key, Happens.NO_AGENT)
        elif not self.numbers.take(held.number):
            self._close(now, key, Happens.LINE_BUSY)
        else:
            held.holds_line = True
            self._lines_held += 1
            held.stage = _Stage.RINGING
            self._tell(now, key, Happens.PROVISIONAL)
            if self.make.ring:
                self._at(now + self.make.ring, "rung", key, held.serial)
            else:
                self._timer(now, "rung", key, held.serial)

    # Legs

    def setup(self, now: int, key: Key, number: int, length: int) -> None:
        """A set-up comes in; nothing is heard of it where the processor does not run."""
        if not self.runs:
            return
        self.counts.set_ups += 1
        self._tips(now)
        if not self.runs:
            return
        wait = self.wait(now)
        if wait > self.make.most_wait:
            self.counts.refused += 1
            asked = wait if self.make.tells_wait else 0
            self._happened.append(Happening(key, Happens.FULL, now, asked))
            self._enqueue(now, _Job(_Work.REFUSE, None, self.make.refuse_work), first=True)
            return
        # Told apart by a serial: a cancelled leg's work may still be in line when the same key comes again.
        self._serial += 1
        serial = self._serial
        self.legs[key] = _Held(number, length, serial=serial)
        if self.make.resend_first:
            self._at(now + self.make.resend_first, "again", key, serial)
        self._enqueue(now, _Job(_Work.SETUP, key, self._setup_cost(), serial))

    def _setup_cost(self) -> int:
        make = self.make
        if not make.spread:
            return make.setup_work
        drawn = -math.log(1 - self.draw())
        return max(1, int(make.setup_work * (1 - make.spread + make.spread * drawn)))

    def cancel(self, now: int, key: Key) -> None:
        """The peer waits no longer; a leg that stands by now is released instead."""
        held = self.legs.get(key)
        if held is None:
            return
        if held.stage is _Stage.STANDING:
            self.release(now, key)
        elif held.stage is not _Stage.ENDING:
            rang = held.stage is _Stage.RINGING
            self._close(now, key, Happens.CANCELLED)
            if rang:
                self._enqueue(now, _Job(_Work.RELEASE, None, self.make.release_work))

    def release(self, now: int, key: Key) -> None:
        held = self.legs.get(key)
        if held is not None and held.stage is _Stage.STANDING:
            held.stage = _Stage.ENDING
            self._enqueue(now, _Job(_Work.RELEASE, key, self.make.release_work, held.serial))

    def peer_lost(self, now: int, peer: str, keeps: Container[Key] = ()) -> None:
        """A connection is gone: its legs are let go but for those to keep, and nobody is told."""
        for key in [key for key in self.legs if key[0] == peer and key not in keeps]:
            self.forsake(now, key)

    def asked(self, now: int) -> None:
        """A former connection's leg is asked for: to read that, look it up and answer costs what it costs to
        turn one away."""
        self._enqueue(now, _Job(_Work.REFUSE, None, self.make.refuse_work))

    def forsake(self, now: int, key: Key) -> None:
        """Nobody is there for this leg any more: it is let go, and nobody is told."""
        if key in self.legs:
            self._let_go(key)
            self._enqueue(now, _Job(_Work.RELEASE, None, self.make.release_work))

    def _timer(self, now: int, what: str, key: Key, serial: int) -> None:
        held = self.legs.get(key)
        if held is None or held.serial != serial:
            return
        if what == "rung" and held.stage is _Stage.RINGING:
            self._enqueue(now, _Job(_Work.ANSWER, key, self.make.answer_work, serial))
        elif what == "over" and held.stage is _Stage.STANDING:
            self.release(now, key)
        elif what == "again" and held.stage is _Stage.QUEUED:
            held.repeats += 1
            self.counts.repeats += 1
            self._enqueue(now, _Job(_Work.REPEAT, key, self.make.repeat_work, serial))
            self._at(now + (self.make.resend_first << held.repeats), "again", key, serial)

    def _at(self, at: int, what: str, key: Key, serial: int) -> None:
        self._serial += 1
        heapq.heappush(self._timers, (at, self._serial, what, key, serial))

    def _tell(self, now: int, key: Key, what: Happens) -> None:
        self._happened.append(Happening(key, what, now))

    def _close(self, now: int, key: Key, what: Happens) -> None:
        self._let_go(key)
        self._tell(now, key, what)

    def _let_go(self, key: Key) -> None:
        held = self.legs.pop(key)
        if held.holds_line:
            self._lines_held -= 1
            self.numbers.free(held.number)

    # Cold start

    def _tips(self, now: int) -> None:
        """A cold processor that is sent more than a multiple of what it can do, over a span, falls over."""
        make = self.make
        while self._recent and self._recent[0][0] <= now - make.tip_span:
            self._recent_work -= self._recent.popleft()[1]
        self._recent.append((now, make.setup_work))
        self._recent_work += make.setup_work
        if now - self.started_at >= make.warm_after:
            return
        budget = make.tip_multiple * self._cold_share(now) * make.tip_span
        self.margin_used = max(self.margin_used, self._recent_work / budget)
        if self._recent_work > budget:
            self.fell = True
            self.crash(now)

    # Troubles

    def slow(self, now: int, factor: float) -> None:
        self._trouble.slow = factor

    def age(self, now: int, factor: float, span: int) -> None:
        """From now on slower and slower, up to the factor after the span; factor 1 makes it young again."""
        self._trouble.ageing_since, self._trouble.ageing_to, self._trouble.ageing_span = (
            now,
            factor,
            max(1, span),
        )

    def hang(self, now: int, hangs: bool) -> None:
        """Takes set-ups and answers none; what was in the processor goes on when it ends."""
        trouble = self._trouble
        if hangs and not trouble.hangs:
            self._left = max(0, self._done_at - now)
        elif trouble.hangs and not hangs:
            self._done_at = now + self._left
        trouble.hangs = hangs

    def lose_answers(self, share: float) -> None:
        self._trouble.answers_lost = share

    def keep_lines(self, now: int, share: float) -> None:
        """Only a share of the lines is left; dialogs on the lost ones are cut, drawn evenly."""
        kept = int(self.make.lines * share)
        self._trouble.lines_kept = share
        holding = [key for key, held in self.legs.items() if held.holds_line]
        while self._lines_held > kept and holding:
            self._cut(now, holding.pop(int(self.draw() * len(holding))))

    def cut_standing(self, now: int, share: float) -> None:
        """That share of the standing dialogs is cut."""
        for key in [key for key, held in self.legs.items() if held.stage is _Stage.STANDING]:
            if self.draw() < share:
                self._cut(now, key)

    def _cut(self, now: int, key: Key) -> None:
        self.counts.cut += 1
        told = self.legs[key].told
        self._close(now, key, Happens.CUT if told else Happens.FAULT)

    def crash(self, now: int) -> None:
        """The process dies with all that it holds; whoever runs the model drops its connections."""
        self.runs = False
        self.counts.cut += sum(held.told for held in self.legs.values())
        for key in list(self.legs):
            self._let_go(key)
        self._queue.clear()
        self._timers.clear()
        self._happened.clear()
        self._queued_work, self._current = 0, None

    def start(self, now: int) -> None:
        """A new process, cold; it owes nothing to the one before it. One that fell over stays down."""
        if self.fell:
            return
        self.crash(now)
        self.runs = True
        self.started_at = now
        self._recent.clear()
        self._recent_work = 0
        self._trouble = _Trouble(lines_kept=self._trouble.lines_kept)

    # What it tells

    @property
    def lines(self) -> int:
        return int(self.make.lines * self._trouble.lines_kept)

    @property
    def free_lines(self) -> int:
        return max(0, self.lines - self._lines_held)

    @property
    def queue(self) -> int:
        """Set-ups that wait at the processor."""
        return sum(job.work is _Work.SETUP for job in self._queue)

    def util(self, now: int) -> float:
        """How busy the processor was since the last look that lies 100 ms back or more."""
        span = now - self._busy_from
        if span >= SECOND // 10:
            ahead = max(0, self._done_at - now) if self._current else 0
            self._util = min(1.0, max(0.0, (self._busy_for - ahead) / span))
            self._busy_from, self._busy_for = now, ahead
        return self._util
