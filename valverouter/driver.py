"""Runs the dialogs of one edge proxy: generators, alarms, and which leg belongs to whom.

It decides nothing: the course of each dialog comes from valverouter.control, the commands go to
whoever owns the wire. The simulator's adapter and the later proxy use it alike.
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from dataclasses import dataclass

from valverouter.control import Control
from valverouter.interface import (
    Abort,
    Alarm,
    Answer,
    BudgetTerms,
    CancelLeg,
    Command,
    Course,
    CrossingRule,
    Decline,
    Deployment,
    Dialog,
    Leg,
    LegResult,
    ListScope,
    Order,
    Outcome,
    Pause,
    Report,
    ServerEntry,
    Subscribe,
)

UPKEEP = ""


class BrokenCourseError(RuntimeError):
    """A dialog's course ended or wished in a way that would leave its caller without an answer."""


@dataclass(slots=True)
class _Running:
    """One open course. `legs` counts those sent; `out` is the one unanswered; `ref` its alarm."""

    course: Course
    legs: int = 0
    out: int | None = None
    ref: int | None = None


class Driver:
    """The dialogs of one edge proxy. Each table is emptied as its dialogs and alarms end."""

    def __init__(
        self, deployment: Deployment, seed: int, now: int, crossing: CrossingRule | None = None
    ) -> None:
        self.commands: list[Command] = []
        self.control = Control(deployment, seed, now, crossing)
        self._running: dict[str, _Running] = {}
        self._alarms: dict[int, str] = {}
        self._refs = 0
        self._start(UPKEEP, self.control.upkeep())

    @property
    def open_dialogs(self) -> int:
        return len(self._running) - 1

    def tick(self, now: int) -> None:
        self.control.tick(now)

    def drain(self) -> list[Command]:
        commands, self.commands = self.commands, []
        return commands

    def dialog(self, dialog: Dialog) -> None:
        self._start(dialog.id, self.control.dialog(dialog))

    def server_list(self, scope: ListScope, entries: Sequence[ServerEntry]) -> None:
        self.control.server_list(scope, entries)
        upkeep = self._running[UPKEEP]
        if upkeep.ref is None and scope is not ListScope.CACHED:
            self._resume(UPKEEP, upkeep, scope)

    def budgets(self, by_number: Mapping[int, BudgetTerms], elsewhere: BudgetTerms) -> None:
        self.control.budgets(by_number, elsewhere)

    def report(self, server: str, report: Report) -> None:
        self.control.report(server, report)

    def leg_result(self, result: LegResult) -> None:
        for dialog_id, leg in self.control.learn(result):
            if (other := self._running.get(dialog_id)) is not None and other.out == leg:
                self.commands.append(Order(dialog_id, CancelLeg(leg)))
        running = self._running.get(result.dialog_id)
        if running is None:
            return
        if result.dialog_closed:
            self._close(result.dialog_id, running)
        elif running.out == result.leg and result.outcome is not Outcome.ENDED:
            running.out = None
            self._resume(result.dialog_id, running, result)

    def caller_gone(self, dialog_id: str) -> None:
        running = self._running.get(dialog_id)
        if running is not None:
            self._close(dialog_id, running)

    def alarm(self, ref: int) -> None:
        key = self._alarms.pop(ref, None)
        running = self._running.get(key) if key is not None else None
        if key is not None and running is not None and running.ref == ref:
            running.ref = None
            self._resume(key, running, None)

    def _start(self, key: str, course: Course) -> None:
        running = self._running[key] = _Running(course)
        self._resume(key, running, None)

    def _close(self, key: str, running: _Running) -> None:
        del self._running[key]
        if running.ref is not None:
            del self._alarms[running.ref]
        running.course.close()

    def _resume(self, key: str, running: _Running, answer: Answer) -> None:
        try:
            wish = running.course.send(answer)
        except StopIteration:
            stands = isinstance(answer, LegResult) and answer.outcome is Outcome.STANDS
            if not stands:
                raise BrokenCourseError(f"dialog {key} was left without an answer") from None
            del self._running[key]
            return
        match wish:
            case Leg():
                running.out = running.legs
                running.legs += 1
                self.commands.append(Order(key, wish))
            case Pause(span=span):
                self._refs += 1
                running.ref = self._refs
                self._alarms[self._refs] = key
                self.commands.append(Alarm(span, self._refs))
            case Subscribe():
                self.commands.append(wish)
            case Decline() | Abort():
                self.commands.append(Order(key, wish))
                self._close(key, running)
