"""An explicit-state model of one dialog through edge proxy, store, server and caller, with restarts.

Every order of deliveries, answers, silences, time-outs, ticks of the clock and up to two crashes between any
two steps is walked, breadth first. The record's moves and what is done after a restart are the real functions
of `course` and `decide`, so a change there changes the model. Checked in every state:

    rule 1   the caller never gets two different answers, and what it is owed is known after a restart
    rule 2   never two legs out
    rule 5   no leg within the release time of one that was let go
    moves    an instance that runs, with time left and a dialog unanswered, always has something to wait for

`without` names one write or fence that is left out; the course of steps that then breaks a rule is the proof
that it is needed. Modelled are connections that outlive nothing: what an instance had in flight to a server
when it died may still arrive, in order, at any later time, or never; what was in flight to it is lost.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Iterator
from dataclasses import dataclass, replace

from valverouter.recovery.course import (
    Moment,
    OutOfOrderError,
    Phase,
    Record,
    answered,
    failed,
    leg_out,
    let_go,
    stands,
    taken_over,
)
from valverouter.recovery.decide import Decision, Need, Word, at_start, on_word

DEADLINE, RELEASE, LEGS = 4, 1, 2
LEAVABLE = ("took", "leg-out", "let-go", "stands", "answered", "epoch", "release")

Message = tuple[str, int, int]
Op = tuple[str, Record | None, str, int]


@dataclass(frozen=True, slots=True)
class State:
    """All of the world for one dialog. `ops` are what the instance has yet to do of its present step: writes
    and sends, in order, each with what the instance then knows. `asked`: it waits for a server's word;
    `quiet_until`: for a release time."""

    now: int = 0
    alive: bool = True
    epoch: int = 1
    crashes: int = 0
    known: Record | None = None
    disk: Record | None = None
    ops: tuple[Op, ...] = ()
    asked: bool = False
    quiet_until: int = -1
    to_server: tuple[Message, ...] = ()
    stray: tuple[Message, ...] = ()
    to_edge: tuple[Message, ...] = ()
    legs: tuple[str, ...] = ("none",) * LEGS
    server_epoch: int = 0
    let_go_at: int = -9
    owed: bool = False
    heard: tuple[str, ...] = ()


class Broken(Exception):  # noqa: N818 - a rule that a step breaks
    """What a step broke."""


@dataclass(frozen=True, slots=True)
class Model:
    """The walk, with so many crashes at most; `without` leaves one write or fence out."""

    without: str = ""
    crashes: int = 2

    def begin(self) -> State:
        record = Record("d", "c", "plain", 0, 0, _moment(0), DEADLINE, 1)
        state = replace(State(), known=record)
        took = self._write("took", record)
        return replace(state, ops=(*took, _to_caller("provisional"), *self._leg(record, 0)))

    # What the instance does

    def _write(self, name: str, record: Record) -> tuple[Op, ...]:
        return () if name == self.without else (("write", record, name, 0),)

    def _leg(self, record: Record, now: int) -> tuple[Op, ...]:
        """The next leg, or the answer where none is left."""
        leg = record.leg + 1
        if leg >= LEGS or now >= DEADLINE - 1:
            return self._answer(record, "declined", now)
        out = leg_out(record, leg, "s", 1, MOVED)
        return (*self._write("leg-out", out), ("setup", out, "", leg))

    def _answer(self, record: Record, kind: str, now: int) -> tuple[Op, ...]:
        done = answered(record, kind, 0, MOVED)
        return (*self._write("answered", done), ("caller", done, kind, 0))

    def _stands(self, record: Record, now: int) -> tuple[Op, ...]:
        up = record if record.phase is Phase.STANDS else stands(record, MOVED)
        return (*self._write("stands", up), ("caller", up, "stands", 0))

    def _lets_go(self, record: Record, now: int) -> tuple[Op, ...]:
        gone = let_go(record, MOVED)
        return (*self._write("let-go", gone), ("cancel", gone, "", record.leg), ("quiet", None, "", 0))

    def _follows(self, state: State, record: Record, decision: Decision) -> State:
        """What an instance does on a decision."""
        now = state.now
        match decision.need:
            case Need.FORGET:
                return replace(state, known=None, disk=None, asked=False)
            case Need.ANSWER:
                if record.phase is Phase.ANSWERED:
                    return replace(state, ops=(_to_caller(record.answer),))
                return replace(state, ops=self._stands(record, now), asked=False)
            case Need.END:
                ops = (("cancel", None, "", record.leg), _to_caller("stands"), ("forget", None, "", 0))
                return replace(state, ops=ops, asked=False)
            case Need.GO_ON:
                waiting = record if record.phase is Phase.WAITING else failed(record, MOVED)
                return replace(state, ops=self._leg(waiting, now), asked=False)
            case Need.ASK:
                if state.asked:
                    return state
                return replace(state, ops=(("query", None, "", record.leg),), asked=True)
            case Need.LET_GO | Need.WAIT:
                if record.phase is Phase.WAITING:
                    return replace(state, known=None, disk=None, asked=False)
                return replace(state, ops=self._lets_go(record, now), asked=False)

    def _heard(self, state: State, message: Message) -> State:
        kind, leg, epoch = message
        record = state.known
        if record is None or epoch != state.epoch or leg != record.leg:
            return state
        if kind.startswith("word "):
            if not state.asked:
                return state
            word = Word[kind[5:]]
            left = DEADLINE - state.now
            return self._follows(state, record, on_word(record, word, True, left, RELEASE))
        if record.phase is not Phase.OUT:
            return state
        if kind == "stands":
            return replace(state, ops=self._stands(record, state.now), asked=False)
        return replace(state, ops=self._leg(failed(record, MOVED), state.now), asked=False)

    # One step of the world

    def steps(self, state: State) -> Iterator[tuple[str, State]]:
        """Every step that may come next, with what it is."""
        if state.alive and state.ops:
            yield self._does(state)
        if state.alive and not state.ops:
            yield from self._acts(state)
        if state.alive and state.crashes < self.crashes:
            yield (
                "the edge proxy dies",
                replace(
                    state,
                    alive=False,
                    crashes=state.crashes + 1,
                    ops=(),
                    known=None,
                    asked=False,
                    quiet_until=-1,
                    stray=(*state.stray, *state.to_server),
                    to_server=(),
                    to_edge=(),
                ),
            )
        if not state.alive:
            yield self._restarts(state)
        if state.ops:
            return  # the server's steps and the clock's commute with writes and sends: taken after them
        yield from self._server(state)
        if state.now <= DEADLINE:
            yield "time passes", replace(state, now=state.now + 1)

    def _does(self, state: State) -> tuple[str, State]:
        (what, record, word, leg), rest = state.ops[0], state.ops[1:]
        state = replace(state, ops=rest, known=record if record is not None else state.known)
        if what == "write":
            return f"it writes: {word}", replace(state, disk=record)
        if what == "forget":
            return "it forgets the dialog", replace(state, known=None, disk=None)
        if what == "quiet":
            wait = 0 if self.without == "release" else RELEASE
            return "the release time runs", replace(state, quiet_until=state.now + wait)
        if what == "caller":
            if word == "provisional":
                return "the caller hears that it was taken", replace(state, owed=True)
            if state.now >= DEADLINE:
                return "the answer is past its time and withheld", state
            if state.heard and state.heard[-1] != word:
                raise Broken(f"rule 1: the caller hears {word} after {state.heard[-1]}")
            return f"the caller hears {word}", replace(state, heard=(word,))
        message = (what, leg, state.epoch)
        if what == "setup":
            if any(one == "out" for one in self._sent(state)):
                raise Broken(f"rule 2: leg {leg} goes out while another is")
            if state.now - state.let_go_at < RELEASE:
                raise Broken(f"rule 5: leg {leg} goes {state.now - state.let_go_at} after one was let go")
        if what == "cancel":
            state = replace(state, let_go_at=state.now)
        return f"it sends {what} {leg}", replace(state, to_server=(*state.to_server, message))

    def _sent(self, state: State) -> list[str]:
        """Legs as the world has them: at the server, or on the way there and not let go."""
        found = list(state.legs)
        for kind, leg, epoch in (*state.to_server, *state.stray):
            fenced = self.without != "epoch" and epoch < max(state.epoch, state.server_epoch)
            if kind == "setup" and found[leg] == "none" and not fenced:
                found[leg] = "out"
            if kind == "cancel":
                found[leg] = "closed" if found[leg] in ("out", "none") else found[leg]
        return found

    def _acts(self, state: State) -> Iterator[tuple[str, State]]:
        record = state.known
        for at, message in enumerate(state.to_edge[:1]):
            rest = state.to_edge[at + 1 :]
            yield f"it hears {message[0]} {message[1]}", self._heard(replace(state, to_edge=rest), message)
        if record is None:
            return
        if state.quiet_until >= 0 and state.now >= state.quiet_until and record.phase is Phase.LET_GO:
            over = failed(record, MOVED)
            ops = self._leg(over, state.now)
            yield "the release time has passed", replace(state, ops=ops, quiet_until=-1)
        if state.quiet_until >= 0 and state.now == DEADLINE - 1 and record.phase is Phase.LET_GO:
            ops = self._answer(record, "aborted", state.now)
            yield "its time is nearly over", replace(state, ops=ops, quiet_until=-1)
        if state.asked:
            left = DEADLINE - state.now
            yield (
                "the server is silent",
                self._follows(state, record, on_word(record, Word.SILENT, True, left, RELEASE)),
            )
        elif record.phase is Phase.OUT and state.now < DEADLINE:
            yield "the leg's time is up", replace(state, ops=self._lets_go(record, state.now))

    def _restarts(self, state: State) -> tuple[str, State]:
        fresh = replace(state, alive=True, epoch=state.epoch + 1, known=state.disk)
        if state.disk is None:
            if state.owed and not state.heard and state.now < DEADLINE:
                raise Broken("rule 1: the caller was told that it was taken, and nothing knows of it")
            return "it starts again and finds nothing", fresh
        record = taken_over(state.disk, fresh.epoch)
        fresh = replace(fresh, known=record)
        followed = self._follows(fresh, record, at_start(record, _moment(state.now), RELEASE))
        return "it starts again and reads its record", followed

    # The server

    def _server(self, state: State) -> Iterator[tuple[str, State]]:
        if state.to_server:
            message, rest = state.to_server[0], state.to_server[1:]
            yield self._arrives(replace(state, to_server=rest), message, "")
        # One connection keeps its order: the first of each former self's comes next, or none of its rest.
        for epoch in sorted({message[2] for message in state.stray}):
            at = next(at for at, message in enumerate(state.stray) if message[2] == epoch)
            message, rest = state.stray[at], state.stray[:at] + state.stray[at + 1 :]
            yield self._arrives(replace(state, stray=rest), message, " of a former self")
            lost = tuple(one for one in state.stray if one[2] != epoch)
            yield f"the rest from self {epoch} is lost", replace(state, stray=lost)
        for leg, status in enumerate(state.legs):
            if status == "out":
                yield f"the server answers leg {leg}", self._tells(state, leg, "stands", "stands")
                yield f"the server fails leg {leg}", self._tells(state, leg, "closed", "failed")
            elif status == "stands":
                yield f"what stands on leg {leg} ends", replace(state, legs=_set(state.legs, leg, "closed"))

    def _tells(self, state: State, leg: int, status: str, word: str) -> State:
        told = (*state.to_edge, (word, leg, state.epoch)) if state.alive else state.to_edge
        return replace(state, legs=_set(state.legs, leg, status), to_edge=told)

    def _arrives(self, state: State, message: Message, whose: str) -> tuple[str, State]:
        kind, leg, epoch = message
        said = f"{kind} {leg}{whose} reaches the server"
        if epoch < state.server_epoch and self.without != "epoch":
            return f"{said} and is fenced off", state
        state = replace(state, server_epoch=max(epoch, state.server_epoch))
        status = state.legs[leg]
        if kind == "setup" and status == "none":
            if any(one == "out" for one in state.legs):
                raise Broken(f"rule 2: leg {leg} reaches the server while another is out there")
            return said, replace(state, legs=_set(state.legs, leg, "out"))
        if kind == "cancel" and status in ("out", "stands"):
            return said, replace(state, legs=_set(state.legs, leg, "closed"))
        if kind == "query" and state.alive:
            words = {"none": "UNKNOWN", "out": "UNDER_WAY", "stands": "STANDS", "closed": "CLOSED"}
            word = (f"word {words[status]}", leg, state.epoch)
            return said, replace(state, to_edge=(*state.to_edge, word))
        return said, state

    def stuck(self, state: State) -> bool:
        """Whether an instance that runs has a dialog with time left, and nothing to do or to wait for."""
        record = state.known
        if not state.alive or record is None or state.ops or state.heard or state.now >= DEADLINE:
            return False
        waits = state.asked or state.quiet_until >= 0 or bool(state.to_edge) or record.phase is Phase.OUT
        return not waits


# No decision reads when a record last moved: one moment for all keeps states together that are alike.
MOVED = Moment(0, 0, "boot")


def _moment(now: int) -> Moment:
    return Moment(now, now, "boot")


def _to_caller(word: str) -> Op:
    return ("caller", None, word, 0)


def _set(legs: tuple[str, ...], leg: int, status: str) -> tuple[str, ...]:
    return (*legs[:leg], status, *legs[leg + 1 :])


def check(model: Model, most: int = 2_000_000) -> tuple[list[str], int]:
    """Walks every state; the shortest course of steps to a broken rule, empty where none is, and the states
    seen. OverflowError past `most`."""
    first = model.begin()
    before: dict[State, tuple[State, str] | None] = {first: None}
    waiting = deque([first])
    while waiting:
        state = waiting.popleft()
        if model.stuck(state):
            return [*_course(before, state), "moves: nothing is left to wait for"], len(before)
        steps = model.steps(state)
        while True:
            try:
                said, after = next(steps)
            except StopIteration:
                break
            except (Broken, OutOfOrderError) as broken:
                return [*_course(before, state), str(broken)], len(before)
            if after not in before:
                before[after] = state, said
                waiting.append(after)
        if len(before) > most:
            raise OverflowError(f"more than {most} states")
    return [], len(before)


def _course(before: dict[State, tuple[State, str] | None], state: State) -> list[str]:
    said: list[str] = []
    while (link := before[state]) is not None:
        state, word = link
        said.append(word)
    return said[::-1]
