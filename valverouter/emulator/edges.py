"""Emulated edge proxies: a Driver each, unchanged, with the books that valverouter.edge keeps round it."""

from __future__ import annotations

import zlib
from collections import deque
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from typing import Any, Protocol

from valverouter.driver import Driver
from valverouter.emulator.servers import EmulatedServer, Wire
from valverouter.emulator.simulated import Simulated
from valverouter.interface import (
    AttemptPolicy,
    AttemptResult,
    CancelAttempt,
    CrossRegionRule,
    Deployment,
    Dialog,
    DialogAction,
    Endpoint,
    EndpointUpdateKind,
    Fail,
    LoadReport,
    Outcome,
    Reject,
    StartAttempt,
    Timer,
)
from valverouter.policy.retry import retry_delay
from valverouter.policy.tuning import HEARTBEAT_INTERVAL
from valverouter.recovery.pacing import QueryPacer
from valverouter.recovery.plan import RecoveryAction, remaining_attempt_policy
from valverouter.servermodel.events import LegKey

# What connecting and greeting take beside the way there and back.
CONNECT = 2_000_000
HELLO_WITHIN = 2_000_000_000
# For so long what stands waits for its server's word after a restart.
ASKED_WITHIN = 5_000_000_000
SECOND = 1_000_000_000


class AttemptsOf(Protocol):
    """Which attempt terms a dialog gets."""

    def of(
        self, traffic_type: str, number: int, peer: str = "", first_choice: int = -1
    ) -> AttemptPolicy | None: ...


@dataclass(frozen=True, slots=True)
class EdgePlan:
    """One edge proxy as its file has it. `decisions` builds the Driver; a variant's is handed in here."""

    place: int
    region: str
    deployment: Deployment
    seed: int
    answer_margin: int
    crossing: Callable[[int], CrossRegionRule | None] = lambda now: None
    attempts: AttemptsOf | None = None
    decisions: Callable[[Deployment, int, int, CrossRegionRule | None], Driver] = Driver
    ledger: bool = False
    # The decisions' own terms of a traffic type, for what a former self's legs leave of them.
    usual: Callable[[str], AttemptPolicy | None] = lambda kind: None


@dataclass(frozen=True, slots=True)
class Asked:
    """A dialog as its caller asks for it."""

    dialog: str
    traffic_type: str
    no_answer: int
    first_choice: int
    called_number: int
    was_cut: bool = False


class Caller(Protocol):
    """The callers of an edge proxy: hear its answers, `kind` being declined, aborted, stands or ended."""

    def heard(self, kind: str, dialog: str, span: int = 0, word: str = "") -> None: ...

    def cut_off(self) -> None: ...

    def away(self) -> None: ...


@dataclass(slots=True)
class _Open:
    asked: Asked
    deadline: int
    legs: int = 0
    leg: int | None = None
    link: _Link | None = None
    stands: bool = False
    # Of a former self: legs that one had sent, the server of what stands and the key under which it has it.
    # `need`: what it waits for before its course goes on; `back`: its caller came back.
    used: int = 0
    at: str = ""
    held: LegKey | None = None
    need: RecoveryAction | None = None
    back: bool = True
    word: str = ""


class _Link:
    """To one server: its wire while it is up; `legs` out or standing on it, True where let go."""

    def __init__(self, server: EmulatedServer) -> None:
        self.server = server
        self.wire: Wire | None = None
        self.wanted = True
        self.connecting = False
        self.early: list[Callable[[], None]] = []
        self.legs: dict[tuple[str, int], bool] = {}
        self.tries = 0
        self.up_at = 0


class EmulatedEdge:
    """One instance. Dialogs leave with their end, links with the list's word."""

    def __init__(
        self,
        plan: EdgePlan,
        sim: Simulated,
        find: Callable[[str], EmulatedServer],
        delay: Callable[[EmulatedServer], int],
        reports: list[tuple[int, str, LoadReport]],
    ) -> None:
        self.plan = plan
        self.name = f"e{plan.place}"
        self.caller: Caller | None = None
        self.runs = False
        self._sim = sim
        self._find = find
        self._delay = delay
        self._reports = reports
        self._reported = 0
        self._serial = 0
        self._draws = 0
        self._stalled_until = 0
        self._late: deque[tuple[Callable[..., None], tuple[Any, ...]]] = deque()
        self._late_list: deque[tuple[Callable[..., None], tuple[Any, ...]]] = deque()
        self._life = 0
        # What a former self left on record; taken over by the next start.
        self._left: list[_Open] = []
        # Asked to end: it takes no more dialogs, and gives those here their answers.
        self.leaves = False
        self._pace = QueryPacer()

    def start(self, rows: Sequence[tuple[Endpoint, int, int | None]]) -> None:
        """A fresh process that hears the whole list at once; links come up as they connect."""
        now = self._sim.now()
        plan = self.plan
        self.runs, self.leaves = True, False
        self._life += 1
        self._dialogs: dict[str, _Open] = {}
        self._links: dict[str, _Link] = {}
        self._started: dict[str, tuple[int, int]] = {}
        self._beat: int | None = None
        self._beat_ref = 0
        self._reported = len(self._reports)
        self.driver = plan.decisions(plan.deployment, plan.seed, now, plan.crossing(now))
        self._pace = QueryPacer()
        self._carry_out()
        left, self._left = self._left, []
        for one in left:
            self._take_over(one, now)
        self.listed(EndpointUpdateKind.COMPLETE, rows)

    # What a former self left, as valverouter.edge.keeping does

    def _take_over(self, one: _Open, now: int) -> None:
        self._dialogs[one.asked.dialog] = one
        one.used, one.legs, one.leg, one.link = one.used + one.legs, 0, None, None
        one.back = False
        one.need = RecoveryAction.QUERY_SERVER if one.stands else RecoveryAction.AWAIT_RELEASE
        # Its server gave up what did not stand with the connection: the release time, counted from here.
        wait = ASKED_WITHIN if one.stands else self.plan.deployment.release_delay
        self._sim.after(wait, self.turn, self._waited, self._life, one)

    def _waited(self, life: int, one: _Open) -> None:
        if life != self._life or self._dialogs.get(one.asked.dialog) is not one:
            return
        if one.need is RecoveryAction.QUERY_SERVER:
            self._ended(one, "cut")
        elif one.need is RecoveryAction.AWAIT_RELEASE:
            one.need = RecoveryAction.CONTINUE_ROUTING
            if one.back:
                self._goes_on(one)

    def _goes_on(self, one: _Open) -> None:
        one.need = None
        plan, asked, now = self.plan, one.asked, self._sim.now()
        attempts = self._attempts_of(asked)
        if one.used and (usual := attempts or plan.usual(asked.traffic_type)) is not None:
            attempts = remaining_attempt_policy(usual, one.used, plan.deployment.max_attempts)
            if attempts is None:
                self._answer(one, "declined", plan.deployment.max_retry_after)
                return
        if one.deadline - plan.answer_margin <= now:
            self._answer(one, "aborted", 0, "no-time")
            return
        self._hand_in(asked, one.deadline - plan.answer_margin, attempts)

    def _ask_at(self, link: _Link) -> None:
        """A link is up: what stands at its server is asked for, by the pace."""
        for dialog, one in self._dialogs.items():
            if one.need is RecoveryAction.QUERY_SERVER and one.link is None and link.server.name == one.at:
                one.link = link
                kind = self.plan.deployment.traffic_types.get(one.asked.traffic_type)
                left = one.deadline - self._sim.now()
                self._pace.enqueue(dialog, one.at, left, kind.priority_weight if kind else 0.0)
        self._ask_next()

    def _ask_next(self) -> None:
        for dialog, server in self._pace.take_due(self._sim.now()):
            one, link = self._dialogs.get(dialog), self._links.get(server)
            if (
                one is None
                or link is None
                or link.wire is None
                or one.held is None
                or one.need is not RecoveryAction.QUERY_SERVER
            ):
                self._pace.on_reply(server)
                continue
            delay = self._delay(link.server)
            self._sim.after(delay, self._asked, self._life, dialog, link, link.wire, one.held)

    def _asked(self, life: int, dialog: str, link: _Link, wire: Wire, held: LegKey) -> None:
        if life == self._life and wire.up:
            word = link.server.resume(held, wire)
            self._sim.after(self._delay(link.server), self._told, life, dialog, link, word)

    def _told(self, life: int, dialog: str, link: _Link, word: str) -> None:
        if life == self._life:
            self.turn(self._fate, dialog, link, word)

    def _fate(self, dialog: str, link: _Link, word: str) -> None:
        self._pace.on_reply(link.server.name)
        one = self._dialogs.get(dialog)
        if one is not None and one.held is not None and one.need is RecoveryAction.QUERY_SERVER:
            one.need = None
            if word == "stands":
                one.leg = one.held[2]
                link.legs[dialog, one.leg] = False
            else:
                self._ended(one, word)
        self._ask_next()

    def resumed(self, dialog: str) -> None:
        """Its caller came back: what stands is told again."""
        one = self._dialogs.get(dialog)
        if one is None:
            if self.caller is not None:
                self.caller.heard("unknown", dialog)
            return
        one.back = True
        if one.stands and self.caller is not None:
            self.caller.heard("stands", dialog, 0, one.at)
            if one.need is RecoveryAction.RESEND_ANSWER_AND_END:
                self._ended(one, one.word)
        elif one.need is RecoveryAction.CONTINUE_ROUTING:
            self._goes_on(one)

    @property
    def owes(self) -> bool:
        """Whether a dialog still waits for its answer."""
        return any(not one.stands for one in self._dialogs.values())

    def kill(self) -> None:
        """The process ends: its callers and servers see their connections break."""
        self.runs = False
        self._late.clear()
        self._late_list.clear()
        links, self._links = self._links, {}
        by_link: dict[_Link, list[LegKey]] = {}
        if self.plan.ledger:
            self._left = list(self._dialogs.values())
            for one in self._left:
                if one.stands and one.link is not None and one.link.wire is not None and one.leg is not None:
                    one.at = one.link.server.name
                    one.held = one.held or (one.link.wire.peer, one.asked.dialog, one.leg)
                    by_link.setdefault(one.link, []).append(one.held)
        for link in links.values():
            if link.wire is not None:
                link.wire.cut(by_link.get(link, ()))
        if self.caller is not None:
            if self.plan.ledger:
                self.caller.away()
            else:
                self.caller.cut_off()

    def stall(self, span: int) -> None:
        """Held for a span: what comes meanwhile is handled after it, the list's word first."""
        self._catch_up(self._sim.now())
        self._stalled_until = self._sim.now() + span
        self._sim.after(span, self._wakes, self._life)

    def _wakes(self, life: int) -> None:
        if life != self._life or not self.runs or self._sim.now() < self._stalled_until:
            return
        now = self._sim.now()
        self._stalled_until = 0
        if self._beat is not None:
            # The beats that were missed are not made up for: their lack is how the decisions see the stall.
            self._beat = max(self._beat, now)
        self._catch_up(now)
        for held in (self._late_list, self._late):
            while held:
                act, args = held.popleft()
                act(*args)
                self._carry_out()

    def turn(self, act: Callable[..., None], *args: Any, lists: bool = False) -> None:
        """One event, whole: time caught up, the act, and what follows from it."""
        if not self.runs:
            return
        if self._stalled_until:
            (self._late_list if lists else self._late).append((act, args))
            return
        self._catch_up(self._sim.now())
        act(*args)
        self._carry_out()

    def known(self) -> dict[str, tuple[int, float, float]]:
        """Of each server its wait, our window and the share of tokens left, as the decisions have them."""
        policy = self.driver.policy
        return {
            name: (
                server.queue_delay(policy.now),
                server.window,
                server.budget.tokens / server.budget.config.max_tokens,
            )
            for name, server in policy.table.servers.items()
        }

    def catch_up(self) -> None:
        """Lets beats and reports up to now act, where no event has for a while."""
        if self.runs and not self._stalled_until:
            self._catch_up(self._sim.now())

    def _catch_up(self, now: int) -> None:
        # Beats and reports touch nothing but the decisions' view, so they wait for the next event of this
        # edge proxy, and then act in their order at their own moments.
        driver, reports = self.driver, self._reports
        while True:
            report_at = reports[self._reported][0] if self._reported < len(reports) else now + 1
            beat = self._beat if self._beat is not None else now + 1
            if min(report_at, beat) > now:
                break
            if report_at < beat:
                at, server, report = reports[self._reported]
                self._reported += 1
                link = self._links.get(server)
                if link is not None and link.wire is not None:
                    driver.tick(max(at, driver.policy.now))
                    driver.update_load(server, report)
            else:
                self._beat = None
                driver.tick(beat)
                driver.on_timer(self._beat_ref)
                self._take_beat(beat)
        driver.tick(now)

    def _take_beat(self, at: int) -> None:
        for command in self.driver.take_commands():
            if isinstance(command, Timer):
                self._beat, self._beat_ref = at + command.duration, command.timer_id

    # Commands

    def _carry_out(self) -> None:
        while commands := self.driver.take_commands():
            for command in commands:
                if isinstance(command, Timer):
                    if command.duration == HEARTBEAT_INTERVAL and self._beat is None:
                        self._beat, self._beat_ref = self._sim.now() + command.duration, command.timer_id
                    else:
                        self._sim.after(command.duration, self._alarm, self._life, command.timer_id)
                elif isinstance(command, DialogAction):
                    self._do(command)

    def _alarm(self, life: int, ref: int) -> None:
        if life == self._life:
            self.turn(self.driver.on_timer, ref)

    def _do(self, order: DialogAction) -> None:
        one = self._dialogs.get(order.dialog_id)
        if one is None:
            return
        wish = order.action
        if isinstance(wish, StartAttempt):
            self._send(one, wish)
        elif isinstance(wish, CancelAttempt):
            if one.leg == wish.attempt and not one.stands:
                self._let_go(one, Outcome.CANCELLED)
        elif isinstance(wish, Reject):
            self._answer(one, "declined", wish.retry_after)
        elif isinstance(wish, Fail):
            self._answer(one, "aborted", 0, "failed")

    # Dialogs

    def take(self, asked: Asked) -> None:
        now, plan = self._sim.now(), self.plan
        if self.leaves:
            if self.caller is not None:
                self.caller.heard("declined", asked.dialog, plan.deployment.max_retry_after)
            return
        self._dialogs[asked.dialog] = one = _Open(asked, now + asked.no_answer)
        left = asked.no_answer - plan.answer_margin
        if left <= 0:
            self._answer(one, "aborted", 0, "no-time")
            return
        attempts = self._attempts_of(asked)
        if attempts is not None and attempts.no_answer_timeout:
            left = min(left, attempts.no_answer_timeout)
        self._hand_in(asked, now + left, attempts)

    def _attempts_of(self, asked: Asked) -> AttemptPolicy | None:
        plan = self.plan
        if plan.attempts is None:
            return None
        return plan.attempts.of(asked.traffic_type, asked.called_number, f"c{plan.place}", asked.first_choice)

    def _hand_in(self, asked: Asked, no_answer_at: int, attempts: AttemptPolicy | None) -> None:
        self.driver.start_dialog(
            Dialog(
                asked.dialog,
                asked.traffic_type,
                no_answer_at,
                asked.first_choice,
                asked.called_number,
                asked.was_cut,
                attempt_policy=attempts,
            )
        )

    def cancelled(self, dialog: str) -> None:
        """The caller gives up."""
        one = self._dialogs.get(dialog)
        if one is None or one.stands:
            return
        self.driver.on_caller_gone(dialog)
        if one.leg is not None and one.link is not None and (dialog, one.leg) in one.link.legs:
            self._let_go(one, Outcome.CANCELLED)
        self._answer(one, "aborted", 0, "cancelled")

    def _answer(self, one: _Open, kind: str, span: int = 0, word: str = "") -> None:
        late = self._sim.now() >= one.deadline
        if self.caller is not None and not late:
            self.caller.heard(kind, one.asked.dialog, span, word)
        if kind == "stands" and not late:
            one.stands = True
            return
        if kind == "stands" and one.link is not None and one.link.wire is not None and one.leg is not None:
            wire = one.link.wire
            wire.asks("release", one.asked.dialog, one.leg, wire.server.model.release)
        self._dialogs.pop(one.asked.dialog, None)

    # Legs

    def _send(self, one: _Open, wish: StartAttempt) -> None:
        dialog, leg = one.asked.dialog, one.legs
        one.leg, one.legs = leg, one.legs + 1
        one.link = link = self._links.get(wish.server)
        if link is None or not link.wanted or not (link.wire is not None or link.connecting):
            self._sim.after(0, self._over, self._life, dialog, leg, wish.server, Outcome.UNREACHABLE)
            return
        link.legs[dialog, leg] = False
        if link.wire is not None:
            self._ask(link, one, leg)
        else:
            link.early.append(lambda: self._ask(link, one, leg))
        self._sim.at(wish.deadline, self._over, self._life, dialog, leg, wish.server, Outcome.TIMED_OUT)

    def _ask(self, link: _Link, one: _Open, leg: int) -> None:
        asked = one.asked
        if link.wire is not None and (asked.dialog, leg) in link.legs:
            act = link.server.set_up(asked.traffic_type, asked.called_number)
            link.wire.asks("setup", asked.dialog, leg, act, asked.traffic_type)

    def _let_go(self, one: _Open, outcome: Outcome) -> None:
        link, leg, dialog = one.link, one.leg, one.asked.dialog
        assert link is not None
        assert leg is not None
        if link.wire is None:
            link.legs.pop((dialog, leg), None)
            outcome = Outcome.UNREACHABLE
        else:
            link.legs[dialog, leg] = True
            link.wire.asks("cancel", dialog, leg, link.server.model.cancel)
        self._sim.after(0, self._over, self._life, dialog, leg, link.server.name, outcome)

    def _over(self, life: int, dialog: str, leg: int, server: str, outcome: Outcome) -> None:
        if life != self._life:
            return
        one = self._dialogs.get(dialog)
        if outcome is Outcome.TIMED_OUT and (one is None or one.leg != leg or one.stands):
            return  # nearly all time-outs: the leg ended long before
        self.turn(self._leg_over, dialog, leg, server, outcome)

    def _leg_over(self, dialog: str, leg: int, server: str, outcome: Outcome) -> None:
        one, link = self._dialogs.get(dialog), self._links.get(server)
        if one is None or one.leg != leg or one.stands:
            if outcome is not Outcome.TIMED_OUT:
                self.driver.on_attempt_result(AttemptResult(dialog, leg, server, outcome))
            return
        if outcome is Outcome.TIMED_OUT and link is not None and link.legs.get((dialog, leg)) is False:
            self._let_go(one, outcome)
            if self._sim.now() < one.deadline - self.plan.answer_margin:
                return
        self._end_leg(one, outcome)

    def _end_leg(
        self, one: _Open, outcome: Outcome, asked_wait: int = 0, report: LoadReport | None = None
    ) -> None:
        dialog, leg, link = one.asked.dialog, one.leg, one.link
        assert leg is not None
        server = link.server.name if link is not None else ""
        if outcome is not Outcome.ESTABLISHED:
            one.leg = None
            if link is not None and not link.legs.get((dialog, leg)):
                link.legs.pop((dialog, leg), None)
        self.driver.on_attempt_result(
            AttemptResult(dialog, leg, server, outcome, retry_after=asked_wait, load_report=report)
        )
        if outcome is Outcome.ESTABLISHED:
            self._answer(one, "stands", 0, server)

    def answered(
        self,
        wire: Wire,
        dialog: str,
        leg: int,
        outcome: Outcome,
        asked_wait: int,
        report: LoadReport,
        word: str,
    ) -> None:
        self.turn(self._answered, wire, dialog, leg, outcome, asked_wait, report, word)

    def _answered(
        self,
        wire: Wire,
        dialog: str,
        leg: int,
        outcome: Outcome,
        asked_wait: int,
        report: LoadReport,
        word: str,
    ) -> None:
        link, key, server = self._links.get(wire.server.name), (dialog, leg), wire.server.name
        if link is None or link.wire is not wire or key not in link.legs:
            return
        one = self._dialogs.get(dialog)
        if link.legs[key] or one is None or one.link is not link or one.leg != leg:
            if outcome is not Outcome.ESTABLISHED and not link.legs.pop(key):
                self.driver.on_attempt_result(AttemptResult(dialog, leg, server, outcome))
            self.driver.update_load(server, report)
        elif outcome is Outcome.ENDED:
            del link.legs[key]
            self.driver.on_attempt_result(
                AttemptResult(dialog, leg, server, outcome, dialog_closed=True, load_report=report)
            )
            self._ended(one, word)
        else:
            self._end_leg(one, outcome, asked_wait, report)

    def _ended(self, one: _Open, word: str) -> None:
        if not one.back:
            one.need, one.word, one.leg = RecoveryAction.RESEND_ANSWER_AND_END, word, None
            return
        if self.caller is not None:
            self.caller.heard("ended", one.asked.dialog, 0, word)
        self._dialogs.pop(one.asked.dialog, None)

    # Links and the list

    def wire_down(self, wire: Wire) -> None:
        self.turn(self._went_down, wire)

    def _went_down(self, wire: Wire) -> None:
        link = self._links.get(wire.server.name)
        if link is None or link.wire is not wire:
            return
        link.wire, legs, link.legs = None, link.legs, {}
        link.tries = link.tries + 1 if self._sim.now() - link.up_at < SECOND else 1
        for dialog, leg in sorted(legs):
            one = self._dialogs.get(dialog)
            ours = one is not None and one.link is link and one.leg == leg
            if one is not None and ours and not one.stands:
                self._end_leg(one, Outcome.RESET)
                continue
            self.driver.on_attempt_result(AttemptResult(dialog, leg, wire.server.name, Outcome.RESET))
            if one is not None and ours:
                self._ended(one, "cut")
        if link.wanted:
            self._try_again(link)
        else:
            self._links.pop(wire.server.name, None)

    def _try_again(self, link: _Link) -> None:
        self._draws += 1
        draw = zlib.crc32(b"link/%d/%d" % (self.plan.seed, self._draws)) / 2**32
        self._sim.after(retry_delay(link.tries, draw, 0), self._connect, self._life, link)

    def _connect(self, life: int, link: _Link) -> None:
        if life != self._life or not self.runs or not link.wanted or link.wire is not None:
            return
        server = link.server
        link.connecting = True
        if server.model.is_running and self.name not in server.refuses:
            self._sim.after(2 * self._delay(server) + CONNECT, self._up, life, link, server.incarnation)
        else:
            self._sim.after(HELLO_WITHIN if server.silent else CONNECT, self._failed, life, link)

    def _failed(self, life: int, link: _Link) -> None:
        if life != self._life:
            return
        link.connecting, link.early = False, []
        legs, link.legs = link.legs, {}
        for dialog, leg in sorted(legs):
            self._over(life, dialog, leg, link.server.name, Outcome.UNREACHABLE)
        link.tries += 1
        if link.wanted:
            self._try_again(link)

    def _up(self, life: int, link: _Link, incarnation: int) -> None:
        server = link.server
        if life != self._life or not self.runs or link.wire is not None:
            return
        if not server.model.is_running or self.name in server.refuses or server.incarnation != incarnation:
            self._failed(life, link)
            return
        self._serial += 1
        wire = Wire(self, server, self._serial, lambda: self._delay(server))
        server.wires[wire.peer] = wire
        link.connecting, link.wire, link.up_at = False, wire, self._sim.now()
        self.turn(self._greeted, link)

    def _greeted(self, link: _Link) -> None:
        """The server says who it is; a start that the list has not told yet counts from here."""
        server, early, link.early = link.server, link.early, []
        before = self._started.get(server.name)
        age = self._sim.now() - server.model.started_at
        started_at = self._started_at(server.name, server.incarnation, age)
        if before is not None and before[1] != started_at:
            entry = Endpoint(server.name, server.number, True, started_at, server.region)
            self.driver.update_endpoints(EndpointUpdateKind.INCREMENTAL, [entry])
            for dialog, leg in sorted(link.legs):
                self._sim.after(0, self._over, self._life, dialog, leg, server.name, Outcome.UNREACHABLE)
            link.legs = {}
            return
        for ask in early:
            ask()
        self._ask_at(link)

    def _started_at(self, server: str, incarnation: int, age: int | None) -> int:
        known = self._started.get(server)
        if known is None or incarnation > known[0]:
            old = age is None or age > 10**17
            known = incarnation, 0 if old or age is None else max(1, self._sim.now() - age)
            self._started[server] = known
        return known[1]

    def listed(self, scope: EndpointUpdateKind, rows: Sequence[tuple[Endpoint, int, int | None]]) -> None:
        """Word of the list: entries with their incarnation and age."""
        self.turn(self._listed, scope, rows, lists=True)

    def _listed(self, scope: EndpointUpdateKind, rows: Sequence[tuple[Endpoint, int, int | None]]) -> None:
        entries = [
            Endpoint(
                entry.id,
                entry.number,
                entry.in_service,
                self._started_at(entry.id, incarnation, age),
                entry.region,
            )
            for entry, incarnation, age in rows
        ]
        self.driver.update_endpoints(scope, entries)
        for entry in entries:
            link = self._links.get(entry.id)
            if entry.in_service and link is None:
                link = self._links[entry.id] = _Link(self._find(entry.id))
                self._connect(self._life, link)
            elif link is not None:
                link.wanted = entry.in_service
                if not link.wanted and link.wire is None:
                    del self._links[entry.id]
