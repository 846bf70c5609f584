"""An explicit-state model of one name: its processes one after the other or two at once, and who hears of
them.

Every order of starts, ends, doubts, deliveries and forgetting is walked, breadth first. What decides is the
program's own: `supersedes`, `answer`, `above`, `said`, `told`. A word once said may reach anybody at any
later time, any number of times, or never: that is loss, delay, repetition and reordering in one. Clocks
are wrong both ways: a new process draws a number below or above all former ones.

    former   who holds a process never goes back to one that ended before it began, unless it has forgotten
             the name in between
    war      two processes under one name do not raise themselves over each other without end
    stays    from every state: once doubts and faults are over and words get through, everybody who heard of
             the name holds the one that runs, alive; of two that run at once, all hold the same

`without` names one part of the rules that is left out; that the walk then ends in `Broken` shows that the
part is needed and that the walk would see its absence.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Iterator
from dataclasses import dataclass, replace

import msgspec

from valverouter.membership.records import LIVING, Record, State, above, said, supersedes, told
from valverouter.membership.twins import Answer, answer

LEAVABLE = ("naming", "order", "refute", "raise", "ask", "seq", "tie")
LOW, HIGH = 1, 5
# Numbers and words of one process past these show a raise without end.
NUMBER_MOST = 12
# Rounds of telling everybody everything after which nothing may change any more.
ROUNDS_MOST = 24


class Broken(Exception):  # noqa: N818 - a property that a step breaks
    """What a step broke."""


@dataclass(frozen=True, slots=True)
class Process:
    """A process of the name. `twin`: the life that it has proven to run beside it."""

    mine: Record
    runs: bool = True
    twin: int = 0


@dataclass(frozen=True, slots=True)
class World:
    """`held`: by observer. `seen`: lives that each has held since it last knew nothing. `words`: all that was
    ever said."""

    processes: tuple[Process, ...] = ()
    held: tuple[Record | None, ...] = (None, None)
    seen: tuple[frozenset[int], ...] = (frozenset(), frozenset())
    words: frozenset[Record] = frozenset()
    doubts: int = 0
    # Pairs of lives that ran at the same time: neither is the other's former self.
    together: frozenset[tuple[int, int]] = frozenset()


@dataclass(frozen=True, slots=True)
class Model:
    """The walk: so many processes and doubts at most; `twins`: so many may run at once."""

    lives: int = 3
    doubts: int = 2
    twins: int = 1
    forgets: bool = True
    without: str = ""

    def walk(self, most: int = 2_000_000) -> int:
        """How many states there are; raises Broken at the first that breaks a property."""
        begin = World()
        seen = {begin}
        waiting = deque([begin])
        while waiting:
            state = waiting.popleft()
            self._stays(state)
            for after in self._steps(state):
                if after not in seen:
                    seen.add(after)
                    waiting.append(after)
                    if len(seen) > most:
                        raise MemoryError(f"over {most} states")
        return len(seen)

    # The rules, with a part left out where asked

    def _later(self, news: Record, held: Record) -> bool:
        if news.life != held.life and self.without == "order":
            return news.number > held.number
        if news.life == held.life and self.without == "seq":
            return news.state > held.state or (news.seq > held.seq and news.state == held.state)
        if self.without == "tie" and news.life != held.life:
            return held.life in news.over
        return supersedes(news, held)

    def _above(self, mine: Record, other: Record) -> Record:
        raised = above(mine, other)
        return msgspec.structs.replace(raised, over=mine.over) if self.without == "naming" else raised

    # Steps

    def _steps(self, state: World) -> Iterator[World]:
        yield from self._begins_and_ends(state)
        for word in state.words:
            for at in range(len(state.held)):
                yield from self._observes(state, at, word)
            for at in range(len(state.processes)):
                yield from self._hears(state, at, word)
        for at, held in enumerate(state.held):
            if held is None:
                continue
            if held.state in LIVING and state.doubts < self.doubts:
                worse = State.SUSPECT if held.state == State.ALIVE else State.GONE
                doubted = told(held, worse, f"o{at}")
                after = _hold(state, at, doubted)
                yield replace(after, doubts=state.doubts + 1, words=state.words | {doubted})
            if self.forgets and held.state not in LIVING:
                held_after = (*state.held[:at], None, *state.held[at + 1 :])
                seen = (*state.seen[:at], frozenset(), *state.seen[at + 1 :])
                yield replace(state, held=held_after, seen=seen)

    def _begins_and_ends(self, state: World) -> Iterator[World]:
        running = [one for one in state.processes if one.runs]
        life = len(state.processes) + 1
        if life <= self.lives and len(running) < self.twins:
            for number in (LOW, HIGH):
                mine = Record("n", "", 0, "n:1", number, life)
                together = state.together | {(one.mine.life, life) for one in running}
                yield replace(
                    state,
                    processes=(*state.processes, Process(mine)),
                    words=state.words | {mine},
                    together=together,
                )
        for at, one in enumerate(state.processes):
            if one.runs:
                yield _with(state, at, replace(one, runs=False))

    def _observes(self, state: World, at: int, word: Record) -> Iterator[World]:
        held = state.held[at]
        if held is None:
            if word.state in LIVING:
                yield self._holds(state, at, word)
        elif self._later(word, held):
            yield self._holds(state, at, word)

    def _holds(self, state: World, at: int, word: Record) -> World:
        for life in state.seen[at]:
            apart = (word.life, life) not in state.together
            if word.life < life and apart and word.state in LIVING:
                raise Broken(f"former: o{at} went from process {life} back to {word.life}")
        return _hold(state, at, word)

    def _hears(self, state: World, at: int, word: Record) -> Iterator[World]:
        one = state.processes[at]
        if not one.runs:
            return
        does = answer(one.mine, word, one.twin)
        if does is Answer.ASK and self.without == "ask":
            does = Answer.RAISE
        if does is Answer.REFUTE and self.without != "refute":
            mine = said(msgspec.structs.replace(one.mine, seq=max(one.mine.seq, word.seq)))
            yield self._says(state, at, one, mine)
        elif does is Answer.RAISE and self.without != "raise":
            yield self._says(state, at, replace(one, twin=0), self._above(one.mine, word))
        elif does is Answer.ASK:
            other = next((n for n, p in enumerate(state.processes) if p.mine.life == word.life), None)
            if other is not None and state.processes[other].runs:
                # Its answer to our nonce proves it; ours to its proves us.
                after = _with(state, at, replace(one, twin=word.life))
                them = after.processes[other]
                yield _with(after, other, replace(them, twin=one.mine.life))

    def _says(self, state: World, at: int, one: Process, mine: Record) -> World:
        if mine.number > NUMBER_MOST:
            raise Broken(f"war: process {mine.life} raised itself to {mine.number}")
        after = _with(state, at, replace(one, mine=mine))
        return replace(after, words=after.words | {mine})

    # Once all faults are over

    def _stays(self, state: World) -> None:
        running = [one for one in state.processes if one.runs]
        if not running:
            return
        begin = state
        for _ in range(ROUNDS_MOST):
            before = state
            # Who runs says so now and then, who does not is found silent, and each word reaches everybody.
            lives = {one.mine.life for one in state.processes if one.runs}
            state = replace(state, words=state.words | {one.mine for one in state.processes if one.runs})
            for at, held in enumerate(state.held):
                if held is not None and held.life not in lives and held.state in LIVING:
                    gone = told(held, State.GONE, f"o{at}")
                    state = replace(_hold(state, at, gone), words=state.words | {gone})
            for word in sorted(state.words, key=_order):
                for at in range(len(state.processes)):
                    state = next(self._hears(state, at, word), state)
                for at in range(len(state.held)):
                    state = next(self._observes(state, at, word), state)
            if state == before:
                break
        else:
            raise Broken(f"war: words without end from {begin}")
        lives = {held.life if held else 0 for held in state.held}
        alive = all(held is not None and held.state == State.ALIVE for held in state.held)
        if len(lives) > 1 or not lives <= {one.mine.life for one in running} or not alive:
            raise Broken(f"stays: {state.held} while {[one.mine.life for one in running]} runs")


def _order(word: Record) -> tuple[int, int, int, str]:
    return word.life, word.seq, int(word.state), word.by


def _hold(state: World, at: int, word: Record) -> World:
    held = (*state.held[:at], word, *state.held[at + 1 :])
    seen = (*state.seen[:at], state.seen[at] | {word.life}, *state.seen[at + 1 :])
    return replace(state, held=held, seen=seen)


def _with(state: World, at: int, one: Process) -> World:
    return replace(state, processes=(*state.processes[:at], one, *state.processes[at + 1 :]))
