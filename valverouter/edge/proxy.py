"""One edge proxy: hosts a Driver, hands it what happens, carries out what it wishes.

All that touches the Driver is in `_turns`, one event at a time: first the server list's word, then the rest
in the order of arrival, then the alarms that are due. Decisions are valverouter.policy's alone; what is
here keeps the books of who is owed which answer, and holds the rules where bytes meet time.
"""

from __future__ import annotations

import traceback
import zlib
from collections.abc import Callable
from contextlib import suppress
from functools import partial
from typing import Any

import msgspec
import trio

from valverouter.edge.attempting import AttemptBook
from valverouter.edge.books import ENDS, OUTCOMES, LegForbiddenError, Taken, Tally, ended_of, report_of
from valverouter.edge.changing import TermsInForce
from valverouter.edge.clock import Alarms
from valverouter.edge.events import (
    CallerLost,
    Event,
    FromCaller,
    FromServer,
    LegOver,
    LinkDown,
    LinkUp,
    ListHeard,
    Reload,
    Stop,
)
from valverouter.edge.links import Link
from valverouter.edge.listener import Caller
from valverouter.edge.listing import Incarnations, ListLink, ListSource
from valverouter.edge.mail import Departures, Inbox
from valverouter.edge.surroundings import READ, Surroundings
from valverouter.interface import (
    AttemptPolicy,
    AttemptResult,
    Command,
    Dialog,
    DialogAction,
    Endpoint,
    EndpointUpdateKind,
    Fail,
    LoadReport,
    Outcome,
    Reject,
    StartAttempt,
    Subscribe,
    Timer,
)
from valverouter.policy.retry import retry_delay
from valverouter.policy.tuning import HEARTBEAT_INTERVAL
from valverouter.signalling import setup
from valverouter.signalling.framing import ProtocolError
from valverouter.signalling.greeting import Welcome
from valverouter.signalling.setup import SetupSession
from valverouter.terms.edge import EdgeTerms
from valverouter.terms.ini import show_span

# A turn that comes so much later than the next beat was due shows that this process did not run.
STALL_SHOWS = HEARTBEAT_INTERVAL + 50_000_000
# For so long the readers then collect what came meanwhile: the list's word is heard before any leg goes.
SETTLE_S = 0.005
# Events handled in one go before alarms are looked at and the streams get their turn.
BATCH = 16
# Descriptors that callers leave to the rest: the list, files, what the interpreter holds, and two for each
# link, since one that is made again may overlap its former self.
KEPT_DESCRIPTORS = 32
# For so long a refused caller may take to read why; refusals are told no oftener than once in as long a time.
REFUSAL_S = 0.1
REFUSALS_TOLD = 1_000_000_000
# For so long the end waits for callers that go on asking, or do not read what they are told.
LAST_WORDS = 50_000_000
# For so long the end waits for a disk that hangs.
LAST_FILE_S = 2.0
# From so many alarms on those of legs long ended are taken out: a caller may ask for an hour of no-answer
# time and have its answer at once. Twice what stays then, at least so many, sets the next time.
ALARMS_LOOKED_AT = 1_024
# How often what crossed is written to its file.
ACCOUNTS_S = 10.0

__all__ = ["OUTCOMES", "EdgeProxy"]


class EdgeProxy(TermsInForce):
    """An instance. Its tables hold what is open: dialogs leave with their end, links with the list's word."""

    def __init__(self, terms: EdgeTerms, surroundings: Surroundings) -> None:
        super().__init__(terms, surroundings.wall())
        self.tally = Tally()
        self.address = ""
        self.ended = trio.Event()
        self._surroundings = surroundings
        # Told to peers: over 0 where what is taken here outlives a restart.
        self._epoch = 0
        self.incarnation = self._now
        self._inbox = Inbox()
        self._departures = Departures()
        self._alarms = Alarms()
        self._dialogs: dict[str, Taken] = {}
        self._links: dict[str, Link] = {}
        # Links to servers that are gone from the list; each is closed once nothing is open on it.
        self._leaving: set[Link] = set()
        self._alarms_most = ALARMS_LOOKED_AT
        self._incarnations = Incarnations(terms.deployment.slow_start_duration)
        self._list = self._make_list()
        self._draws = 0
        self._callers = 0
        self._refused = 0
        self._refusal_told_at = 0
        self._last_failure = ""
        self._failures_alike = 0
        self._looked_at = self._now
        self._stopping = False
        # After a stop of this process, until all that came meanwhile is read: when it last ran. 0: it runs.
        self._unread_since = 0
        # When the dialog that is being taken came.
        self._came_at = self._looked_at
        self._handlers: dict[type, Callable[[Any], None]] = {
            FromCaller: self._from_caller,
            CallerLost: self._caller_lost,
            FromServer: self._from_server,
            LinkUp: self._link_up,
            LinkDown: self._link_down,
            ListHeard: self._listed,
            LegOver: self._leg_over,
            Reload: self._reload,
            Stop: lambda event: None,
        }
        self._nursery: trio.Nursery | None = None
        self._tell_budgets()

    @property
    def stopping(self) -> bool:
        """Whether it takes no more dialogs."""
        return self._stopping

    @property
    def open_dialogs(self) -> int:
        """Dialogs whose final answer is still owed."""
        return sum(not taken.stands for taken in self._dialogs.values())

    @property
    def standing(self) -> int:
        return sum(taken.stands for taken in self._dialogs.values())

    @property
    def ready(self) -> bool:
        """Whether it has the list, and a server that it may send to."""
        return any(link.wanted and link.is_up for link in self._links.values())

    async def run(self, task_status: trio.TaskStatus[EdgeProxy] = trio.TASK_STATUS_IGNORED) -> None:
        """Serves until stopped or cancelled. `started` once it listens; OSError when it can't."""
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            rows = await self._list.cached()
            if rows:
                self._inbox.put_first(ListHeard(EndpointUpdateKind.CACHED, rows))
            self._begins()
            nursery.start_soon(self._list.run)
            nursery.start_soon(self._list.keep)
            nursery.start_soon(self._inbox.ring)
            nursery.start_soon(self._keep_accounts)
            serve = partial(self._surroundings.serve, refuse=self._refuse)
            self.address = await nursery.start(serve, self.terms.listen, self._serve)
            self._log.info("listening", address=self.address, place=self.terms.place)
            task_status.started(self)
            await self._turns()
            nursery.cancel_scope.cancel()
        with trio.move_on_after(LAST_FILE_S):
            await self._write_accounts()
        self.ended.set()
        self._log.info("stopped", answers=dict(self.tally.answers), failures=self.tally.failures)

    def stop(self) -> None:
        """Declines what comes from here on, and ends once every dialog here has its answer."""
        self._inbox.put(Stop())

    def reload(self, terms: EdgeTerms, book: AttemptBook | None = None, file: str = "") -> None:
        """Other terms while running: those of crossing and attempts change, the others wait for a new start.

        `book`: what `book_of` made of them, in a thread where the check may take long.
        """
        self._inbox.put(Reload(terms, book, file))

    # What an instance does that keeps a ledger

    def _begins(self) -> None:
        """Before the first caller and the first word of the list."""

    def _took(self, taken: Taken) -> None:
        """A dialog is owed an answer from here on."""

    def _leg_leaves(self, taken: Taken, server: str) -> None:
        """Its leg is on the way to a server, and leaves with this turn's end at the earliest."""

    def _before_departure(self, now: int) -> None:
        """The end of a turn; nothing that it put out has left."""

    def _number(self, dialog_id: str, leg: int) -> int:
        """A leg's number as the decisions count it."""
        return leg

    # What another protocol does its own way, beside what it does with callers and standing dialogs

    def _make_list(self) -> ListSource:
        return ListLink(self.terms, self._surroundings, self._inbox, self._clock, self._wait)

    def _make_link(self, server: str, address: str) -> Link:
        return Link(
            server,
            address,
            self.terms.name,
            self.terms.links,
            self._surroundings,
            self._inbox,
            self._wait,
            self._departures,
            self._epoch,
        )

    @property
    def _is_done(self) -> bool:
        """Whether an instance that is to stop may end."""
        return not self.open_dialogs

    @property
    def _is_quiet(self) -> bool:
        """Whether nothing waits here to be handled, read or written."""
        return not len(self._inbox)

    def _makes_room(self) -> bool:
        """Whether another caller's connection was given up for the one that comes."""
        return False

    async def _talk(self, stream: trio.abc.Stream) -> None:
        welcome = Welcome(0, self.terms.name, self.incarnation, epoch=self._epoch)
        await Caller(stream, self.terms.links, self._inbox, welcome, self._departures).run()

    async def _serve(self, stream: trio.abc.Stream) -> None:
        if self._callers >= self._callers_most and not self._makes_room():
            await self._refuse(stream)
            return
        self._callers += 1
        try:
            await self._talk(stream)
        finally:
            self._callers -= 1

    @property
    def _callers_most(self) -> int:
        """How many callers' connections there is room for."""
        # Links come before callers: without one no caller is served, and one lost must be made again.
        room = self._surroundings.descriptors() - KEPT_DESCRIPTORS - 2 * len(self._links)
        return min(self.terms.links.callers, room)

    async def _refuse(self, stream: trio.abc.Stream) -> None:
        """No room for another caller's connection: it hears so at once, and when to come back."""
        self._refused += 1
        if (now := self._clock.now()) - self._refusal_told_at >= REFUSALS_TOLD:
            self._refusal_told_at = now
            self._log.warning("callers-refused", callers=self._callers, refused=self._refused)
        back = show_span(self.terms.deployment.max_retry_after)
        error = ProtocolError("too-many", f"no room for another connection; come back after {back}")
        with trio.move_on_after(REFUSAL_S), suppress(trio.BrokenResourceError, trio.ClosedResourceError):
            await stream.send_all(SetupSession().farewell(error))
            # What it sent is read, or closing would be a reset that takes the word from it.
            while await stream.receive_some(READ):
                pass
        await trio.aclose_forcefully(stream)

    async def _keep_accounts(self) -> None:
        while True:
            await trio.sleep(ACCOUNTS_S)
            await self._write_accounts()

    async def _write_accounts(self) -> None:
        """What crossed, as rows in the file of the terms; a disk that refuses costs the rows, not the
        calls."""
        if self.crossing is None or not self.terms.accounts:
            return
        rows = self.crossing.usage.to_rows(self.terms.name, self.incarnation, self._clock.now())
        try:
            await self._surroundings.keep(
                self.terms.accounts, b"".join(msgspec.json.encode(row) + b"\n" for row in rows)
            )
        except Exception as error:  # no thread to be had is a RuntimeError
            self._log.warning("accounts-not-kept", path=self.terms.accounts, why=str(error))

    def _wait(self, tries: int) -> int:
        """Before connecting again: the decisions' own full-jitter wait, from a stream of draws of its own."""
        self._draws += 1
        draw = zlib.crc32(b"link/%d/%d" % (self.terms.seed, self._draws)) / 2**32
        return retry_delay(tries, draw, 0)

    # Turns

    async def _turns(self) -> None:
        stop_at: int | None = None
        quiet = 0
        self._now = self._clock.now()
        # The decisions may have wishes before anything happens: the list, where it must be asked for.
        self._carry_out()
        while True:
            next_at = self._alarms.next
            until = float("inf") if next_at is None else self._clock.trio_time(next_at)
            await self._inbox.arrived(until)
            await self._surroundings.turn()
            if (now := self._clock.now()) - self._looked_at > STALL_SHOWS:
                # What the list told while we did not run must be heard before anything is sent.
                self.tally.stalls += 1
                self._log.warning("stalled", ms=(now - self._looked_at) // 1_000_000)
                self._unread_since = self._looked_at
                await trio.sleep(SETTLE_S)
            # One moment for the batch: all that is here came before it, so no span is reckoned too short.
            self._now = now = self._clock.now()
            self._departures.begin()
            self._guarded("", self._driver.tick, now)
            for _ in range(BATCH):
                event = self._inbox.take()
                if event is None:
                    self._unread_since = 0
                    break
                if type(event) is Stop and not self._stopping:
                    self._stopping, stop_at = True, now + self.terms.links.stop_within
                    self._alarms.set(stop_at, event)  # wakes us; a second Stop changes nothing
                    self._log.info("stopping", open=self.open_dialogs)
                self._safely(event)
            while (alarm := self._alarms.due(now)) is not None:
                if type(alarm) is not LegOver or self._is_out(alarm):
                    self._safely(alarm)
            for link in [link for link in self._leaving if not link.legs]:
                self._leaving.discard(link)
                link.give_up("gone from the list")
            if len(self._alarms) > self._alarms_most:
                self._alarms.keep(lambda alarm: type(alarm) is not LegOver or self._is_out(alarm))
                self._alarms_most = max(ALARMS_LOOKED_AT, 2 * len(self._alarms))
            self._before_departure(now)
            self._departures.end()
            self._looked_at = now
            if self._stopping and (self._is_done or (stop_at or 0) <= self._looked_at):
                self._departures.begin()
                for dialog_id in list(self._dialogs):
                    self._drop(dialog_id, "stopping")
                self._before_departure(now)
                self._departures.end()
                # What was put out has left, and what has come is answered: twice, since what the kernel has
                # accepted meanwhile is seen only after its readers had their turn.
                quiet = quiet + 1 if self._is_quiet else 0
                if quiet > 1 or now >= (stop_at or 0) + LAST_WORDS:
                    return
                self._alarms.set(now + round(SETTLE_S * 1e9), Stop())

    def _is_out(self, alarm: LegOver) -> bool:
        """Whether a leg whose time is up is still out; nearly all ended long before, and need no turn."""
        taken = self._dialogs.get(alarm.dialog_id)
        return taken is not None and taken.leg == alarm.leg and not taken.stands

    def _safely(self, event: Event | Timer) -> None:
        """Last resort: a fault in what this file does with an event must not end the others' dialogs."""
        try:
            self._turn(event)
        except Exception:
            self.tally.failures += 1
            self._log.critical("turn-failed", event_kind=type(event).__name__, exc_info=True)

    def _turn(self, event: Any) -> None:
        """One event, whole: handed in, and what follows from it carried out."""
        if type(event) is Timer:
            self._guarded("", self._driver.on_timer, event.timer_id)
        else:
            self._handlers[type(event)](event)
        self._carry_out()

    def _from_caller(self, event: FromCaller) -> None:
        if isinstance(event.message, setup.Setup):
            unread = self._unread_since and self._came_during_a_stop(event.message.no_answer)
            self._came_at = event.came_at or unread or self._now
            self._take(event.caller, event.message)
        else:
            self._leaves(event.caller, event.message)

    def _came_during_a_stop(self, no_answer: int) -> int:
        """When a set-up came that lay unread while this process was stopped; 0 where that can't be said.

        Nothing tells how long it lay there, so it counts as having come at the stop's beginning: reckoned
        from the wake, its answer came after its caller's time. Of a stop longer than that time nothing can be
        said at all; such a caller gets its answer as soon as can be.
        """
        since = self._unread_since
        return since if since + no_answer - self.terms.answer_margin > self._now else 0

    def _caller_lost(self, event: CallerLost) -> None:
        for dialog_id in list(event.caller.dialogs):
            self._drop(dialog_id, "caller-gone")

    def _leaves_unheard(self, caller: Caller, asked: setup.Setup) -> bool:
        """Whether who sent a set-up has gone before its turn, connection and all; nothing is owed then."""
        if caller.is_there and not caller.is_lost:
            return False
        self.tally.answers["gone-before-its-turn"] += 1
        self._log.debug("gone-before-its-turn", dialog=asked.dialog)
        return True

    def _from_server(self, event: FromServer) -> None:
        if isinstance(event.message, setup.Reported):
            told = report_of(event.message.report) or LoadReport()
            self._guarded("", self._driver.update_load, event.link.server, told)
        else:
            self._answered(event.link, event.message)

    def _guarded(self, dialog_id: str, act: Callable[..., None], *args: Any) -> bool:
        """Runs the decisions; an exception of theirs ends the dialog it is about, with an answer, no more.

        It is logged with its dialog, and `again` counts those of the same kind in a row apart: one odd dialog
        looks different from decisions that fail at each.
        """
        try:
            act(*args)
        except Exception as error:  # whatever the decisions raise, the other dialogs must go on
            frame = traceback.extract_tb(error.__traceback__)[-1]
            kind = f"{type(error).__name__} at {frame.name}:{frame.lineno}"
            self.tally.failures += 1
            self._failures_alike = self._failures_alike + 1 if kind == self._last_failure else 0
            self._last_failure = kind
            self._log.error(
                "decision-failed", dialog=dialog_id, kind=kind, why=str(error), again=self._failures_alike
            )
            if dialog_id in self._dialogs:
                self._drop(dialog_id, "internal")
            return False
        return True

    # Dialogs

    def _take(self, caller: Caller, asked: setup.Setup) -> None:
        came_at = self._came_at
        wanted = caller.has_turn(asked.dialog)
        if self._leaves_unheard(caller, asked):
            return
        if asked.dialog in self._dialogs:
            caller.refuse(ProtocolError("out-of-state", f"dialog {asked.dialog!r} is open here already"))
            return
        if self._stopping or len(self._dialogs) >= self.terms.links.open_dialogs:
            # Not a choice among dialogs: this instance takes none.
            caller.send(setup.Declined(asked.dialog, asked.leg, self.terms.deployment.max_retry_after))
            self.tally.answers["declined-here"] += 1
            return
        left = asked.no_answer - self.terms.answer_margin
        caller.send(setup.Provisional(asked.dialog, asked.leg))
        taken = self._dialogs[asked.dialog] = Taken(
            asked, caller, came_at + asked.no_answer, generation=self.generation
        )
        caller.dialogs.add(asked.dialog)
        self._took(taken)
        if not wanted:
            self._answer(taken, setup.Aborted(asked.dialog, asked.leg, "cancelled"))
            return
        if came_at + left <= self._now:
            self._answer(taken, setup.Aborted(asked.dialog, asked.leg, "no-time"))
            return
        attempts = self._attempts_of(asked, caller.name)
        if attempts is not None and attempts.no_answer_timeout:
            left = min(left, attempts.no_answer_timeout)
        self._decides(asked, came_at + left, attempts)

    def _attempts_of(self, asked: setup.Setup, caller: str) -> AttemptPolicy | None:
        if self._attempts is None:
            return None
        return self._attempts.of(asked.traffic_type, asked.called_number, caller, asked.first_choice)

    def _decides(self, asked: setup.Setup, no_answer_at: int, attempts: AttemptPolicy | None) -> None:
        """Hands a dialog to the decisions."""
        dialog = Dialog(
            id=asked.dialog,
            traffic_type=asked.traffic_type,
            deadline=no_answer_at,
            preferred_server_number=asked.first_choice,
            called_number=asked.called_number,
            was_interrupted=asked.was_cut,
            attempt_policy=attempts,
        )
        self._guarded(asked.dialog, self._driver.start_dialog, dialog)

    def _leaves(self, caller: Caller, message: setup.OfLeg) -> None:
        """The caller cancels, or releases what stands. Its session drops those that crossed our answer."""
        taken = self._dialogs.get(message.dialog)
        if taken is None or taken.caller is not caller:
            return
        if not taken.stands:
            self._drop(message.dialog, "cancelled")
        else:
            # Ended follows from the server; should the link go first, it is cut.
            self._release(taken)

    def _drop(self, dialog_id: str, reason: str) -> None:
        """Ends a dialog from outside the decisions: they forget it, its leg is let go, its caller is told."""
        taken = self._dialogs[dialog_id]
        if taken.stands:
            self._release(taken)
            self._over(taken, "released")
            return
        self._driver.on_caller_gone(dialog_id)
        if taken.leg is not None and taken.link is not None and (dialog_id, taken.leg) in taken.link.legs:
            self._let_go(taken, Outcome.CANCELLED)
        self._answer(taken, setup.Aborted(dialog_id, taken.setup.leg, reason))

    def _release(self, taken: Taken) -> None:
        # Once: a caller may release, and then its connection may go before the server's Ended comes.
        link, dialog_id = taken.link, taken.setup.dialog
        if link is None or taken.leg is None or taken.released:
            return
        taken.released = True
        if (key := (dialog_id, taken.leg)) in link.legs and not link.has_closed(key):
            link.send(setup.Release(dialog_id, taken.leg))

    def _answer(self, taken: Taken, message: setup.Declined | setup.Aborted | setup.Stands) -> None:
        """The one final answer. Past the caller's time none is sent: it has given up, and may have come
        again."""
        word = type(message).__name__.lower()
        if late := self._now >= taken.deadline:
            self.tally.withheld += 1
            self._log.warning("answer-withheld", dialog=message.dialog, answer=word)
            word = f"{word}-withheld"
            taken.caller.expire(message.dialog, message.leg)
        else:
            taken.caller.send(message)
        self.tally.answers[word] += 1
        self.tally.late += isinstance(message, setup.Stands) and self._is_late(taken.setup, taken.deadline)
        self._log.debug(
            "answered", dialog=message.dialog, answer=word, legs=taken.legs, generation=taken.generation
        )
        self._judge(taken, isinstance(message, setup.Declined))
        if isinstance(message, setup.Stands) and not late:
            taken.stands = True
            return
        if isinstance(message, setup.Stands):
            self._release(taken)
        self._forget(taken)

    def _is_late(self, asked: setup.Setup, deadline: int) -> bool:
        kind = self.terms.deployment.traffic_types.get(asked.traffic_type)
        return kind is not None and self._now - (deadline - asked.no_answer) > kind.latency_objective

    def _over(self, taken: Taken, reason: str) -> None:
        """A dialog that stood has ended."""
        taken.caller.send(setup.Ended(taken.setup.dialog, taken.setup.leg, reason))
        self.tally.answers[f"ended-{reason if reason in ENDS else 'otherwise'}"] += 1
        self._forget(taken)

    def _forget(self, taken: Taken) -> None:
        del self._dialogs[taken.setup.dialog]
        taken.caller.dialogs.discard(taken.setup.dialog)

    # Legs

    def _send_leg(self, dialog_id: str, wish: StartAttempt) -> None:
        taken = self._dialogs.get(dialog_id)
        if taken is None:
            raise LegForbiddenError(f"a leg for {dialog_id!r}, which is not open here")
        if taken.leg is not None:
            raise LegForbiddenError(f"a second leg for {dialog_id!r} while leg {taken.leg} is out")
        now = self._now
        leg, taken.leg = taken.legs, taken.legs
        taken.legs += 1
        if not taken.caller.is_there:
            # The one place where an attempt begins, so the one that asks. Its reader's word is on the way.
            taken.leg = None
            self._drop(dialog_id, "caller-gone")
            self._teach(dialog_id, leg, wish.server, Outcome.NOT_SENT)
            return
        taken.link = link = self._links.get(wish.server)
        if link is None or not link.wanted or not link.takes or link.knows((dialog_id, leg)):
            # Proven not to have run; handed in as a turn of its own, so that no course resumes inside
            # another.
            self._inbox.put(LegOver(dialog_id, leg, wish.server, Outcome.UNREACHABLE))
            return
        asked = taken.setup
        key = (dialog_id, leg)
        message = msgspec.structs.replace(asked, leg=leg, no_answer=max(1, taken.deadline - now))
        link.set_up(key, message)
        self._leg_leaves(taken, wish.server)
        self._alarms.set(wish.deadline, LegOver(dialog_id, leg, wish.server, Outcome.TIMED_OUT))
        self._log.debug("leg", dialog=dialog_id, leg=leg, server=wish.server)

    def _let_go(self, taken: Taken, outcome: Outcome) -> None:
        """Cancels the leg that is out; the decisions hear `outcome` once the word has left.

        Its release time counts from the moment when the server was told, not from when we wished it: behind a
        peer that reads slowly the two lie apart. Should the link go first, LinkDown ends the leg.
        """
        link, leg, dialog_id = taken.link, taken.leg, taken.setup.dialog
        assert link is not None
        assert leg is not None
        key = (dialog_id, leg)
        if key not in link.legs:
            return  # the link went down, or never took it: its end is in the inbox, and was not heard yet
        if link.has_closed(key):
            # So is its closing word. Cancelling what the session has closed raised, and with it went the
            # dialog's answer.
            return
        if link.withdraw(key):
            self._inbox.put(LegOver(dialog_id, leg, link.server, Outcome.UNREACHABLE))
            return
        link.legs[key] = True
        over = LegOver(dialog_id, leg, link.server, outcome)
        link.send(setup.Cancel(dialog_id, leg), left=lambda: self._inbox.put(over))

    def _leg_over(self, over: LegOver) -> None:
        taken = self._dialogs.get(over.dialog_id)
        key = (over.dialog_id, over.leg)
        if taken is None or taken.leg != over.leg or taken.stands:
            if over.outcome is not Outcome.TIMED_OUT:
                # The dialog went first; the decisions still count this leg as out.
                if (link := self._links.get(over.server)) is not None:
                    link.legs.pop(key, None)
                # Taken back before it left because its caller gave up, it says nothing of the server: taught
                # as unreachable, one caller that takes back what it asks for at once shut the server out.
                unsent = over.outcome is Outcome.UNREACHABLE
                self._teach(
                    over.dialog_id, over.leg, over.server, Outcome.NOT_SENT if unsent else over.outcome
                )
            return
        if over.outcome is Outcome.TIMED_OUT and taken.link is not None and taken.link.legs.get(key) is False:
            self._let_go(taken, over.outcome)
            if self._now < (latest := taken.deadline - self.terms.answer_margin):
                # Behind a peer that stopped reading the cancel may never leave; the answer is owed.
                self._alarms.set(latest, over)
                return
        self._end_leg(taken, over.outcome)

    def _teach(self, dialog_id: str, leg: int, server: str, outcome: Outcome) -> None:
        result = AttemptResult(dialog_id, self._number(dialog_id, leg), server, outcome)
        self._guarded("", self._driver.on_attempt_result, result)

    def _end_leg(
        self,
        taken: Taken,
        outcome: Outcome,
        asked_wait: int = 0,
        report: LoadReport | None = None,
        said: setup.Stands | None = None,
    ) -> None:
        """Tells the decisions how the leg of an open dialog fared, and the caller when it stands."""
        asked, leg = taken.setup, taken.leg
        assert leg is not None
        server = taken.link.server if taken.link is not None else ""
        if outcome is not Outcome.ESTABLISHED:
            taken.leg = None
            if taken.link is not None and not taken.link.legs.get((asked.dialog, leg)):
                taken.link.legs.pop((asked.dialog, leg), None)
        word = outcome.name.lower()
        self.tally.legs[word] += 1
        self._log.debug("leg-over", dialog=asked.dialog, leg=leg, server=server, outcome=word)
        number = self._number(asked.dialog, leg)
        result = AttemptResult(
            asked.dialog, number, server, outcome, retry_after=asked_wait, load_report=report
        )
        heard = self._guarded(asked.dialog, self._driver.on_attempt_result, result)
        if heard and said is not None:
            self._answer(taken, msgspec.structs.replace(said, leg=asked.leg, server=server, report=None))

    def _answered(self, link: Link, message: setup.OfLeg) -> None:
        """A server's word on a leg; one of a leg that is over here only teaches."""
        key = (message.dialog, message.leg)
        if key not in link.legs:
            return
        report = report_of(getattr(message, "report", None))
        taken = self._dialogs.get(message.dialog)
        closes = not isinstance(message, setup.Stands)
        if link.legs[key] or taken is None or taken.link is not link or taken.leg != message.leg:
            # We have let go of it: the server frees what may stand there, by the word that is on its way.
            # Its entry goes with the closing word in either case: kept, every cancelled leg would stay for
            # the life of the link.
            if closes and not link.legs.pop(key):
                self._teach(message.dialog, message.leg, link.server, OUTCOMES[type(message)])
            if report is not None:
                self._guarded("", self._driver.update_load, link.server, report)
        elif isinstance(message, setup.Ended):
            del link.legs[key]
            self._guarded("", self._driver.on_attempt_result, ended_of(message, link.server, report))
            self._over(taken, message.reason)
        else:
            asked_wait = message.asked_wait if isinstance(message, setup.Full) else 0
            said = message if isinstance(message, setup.Stands) else None
            outcome = Outcome.ESTABLISHED if said else OUTCOMES[type(message)]
            self._end_leg(taken, outcome, asked_wait, report, said)

    # Links and the list

    def _link_up(self, event: LinkUp) -> None:
        """A server says who it is; a start that the list has not told yet counts from here.

        Legs that wait for this link were decided for the process before: they go back to be decided again, so
        that a fresh process is not met by what its former self was sent.
        """
        now, link, welcome = self._now, event.link, event.welcome
        if welcome.name != link.server:
            # An address that another server took over: what we would send it for this one might break its
            # drain, or push it over while it is cold.
            self._log.error(
                "link-misdirected", server=link.server, address=link.address, answers_as=welcome.name
            )
            link.give_up(f"{welcome.name!r} answers there")
            return
        row = self._list.replica.rows.get(link.server)
        before = self._incarnations.started_at(link.server, 0, None, now)
        started_at = self._incarnations.started_at(link.server, welcome.incarnation, welcome.age, now)
        self._log.info("link-up", server=link.server, address=link.address, incarnation=welcome.incarnation)
        if started_at != before and row is not None:
            entry = Endpoint(link.server, row.number, row.phase == "in-service", started_at, row.region)
            self._log.info("server-restarted", server=link.server, age_ms=welcome.age // 1_000_000)
            self._guarded("", self._driver.update_endpoints, EndpointUpdateKind.INCREMENTAL, [entry])
            self._withdraw_all(link)
        link.let_go()

    def _withdraw_all(self, link: Link) -> None:
        for dialog_id, leg in list(link.legs):
            if link.withdraw((dialog_id, leg)):
                self._inbox.put(LegOver(dialog_id, leg, link.server, Outcome.UNREACHABLE))
            elif link.half_out((dialog_id, leg)):
                link.give_up("a set-up is half out while the list says that it must not go")

    def _link_down(self, event: LinkDown) -> None:
        link = event.link
        self._log.info("link-down", server=link.server, why=event.why, legs=len(event.sent | event.unsent))
        for legs, outcome in ((event.unsent, Outcome.UNREACHABLE), (event.sent, Outcome.RESET)):
            for dialog_id, leg in sorted(legs):
                taken = self._dialogs.get(dialog_id)
                ours = taken is not None and taken.link is link and taken.leg == leg
                if taken is not None and ours and not taken.stands:
                    self._end_leg(taken, outcome)
                    continue
                self._teach(dialog_id, leg, link.server, outcome)
                if taken is not None and ours:
                    self._over(taken, "cut")
        if link.is_over:
            self._leaving.discard(link)
            if self._links.get(link.server) is link:
                del self._links[link.server]

    def _listed(self, heard: ListHeard) -> None:
        now = self._now
        whole = heard.scope in (EndpointUpdateKind.COMPLETE, EndpointUpdateKind.CACHED)
        if whole:
            self._incarnations.keep({row.server for row in heard.rows})
        cached = heard.scope is EndpointUpdateKind.CACHED
        entries = [self._incarnations.entry(row, now, cached) for row in heard.rows]
        self._guarded("", self._driver.update_endpoints, heard.scope, entries)
        listed = {row.server for row in heard.rows}
        for row in heard.rows:
            self._log.info("listed", server=row.server, phase=row.phase, scope=heard.scope.name.lower())
            if row.phase == "in-service":
                self._want(row.server, row.address)
            else:
                self._unwant(row.server, row.phase == "gone")
            if row.phase == "gone":
                self._incarnations.forget(row.server)
        if whole:
            for server in [server for server in self._links if server not in listed]:
                self._unwant(server, True)

    def _want(self, server: str, address: str) -> None:
        link = self._links.get(server)
        if link is not None and link.address == address and not link.ended:
            link.wanted = True
            self._leaving.discard(link)
            return
        if link is not None:
            link.wanted = False
            link.give_up("the list tells another address")
        self._links[server] = link = self._make_link(server, address)
        assert self._nursery is not None
        self._nursery.start_soon(link.run)

    def _unwant(self, server: str, gone: bool) -> None:
        """Draining or gone: from here on nothing new, also of what waits to be written."""
        link = self._links.get(server)
        if link is not None and gone:
            self._leaving.add(link)
        if link is not None and link.wanted:
            link.wanted = False
            self._withdraw_all(link)

    # Commands

    def _carry_out(self) -> None:
        while self._driver.commands:
            for command in self._driver.take_commands():
                dialog_id = command.dialog_id if isinstance(command, DialogAction) else ""
                self._guarded(dialog_id, self._do, command)

    def _do(self, command: Command) -> None:
        if isinstance(command, Timer):
            self._alarms.set(self._now + command.duration, command)
            return
        if isinstance(command, Subscribe):
            self._list.ask()
            return
        dialog_id, wish = command.dialog_id, command.action
        if isinstance(wish, StartAttempt):
            self._send_leg(dialog_id, wish)
            return
        taken = self._dialogs[dialog_id]
        if isinstance(wish, Reject):
            self._answer(taken, setup.Declined(dialog_id, taken.setup.leg, wish.retry_after))
        elif isinstance(wish, Fail):
            self._answer(taken, setup.Aborted(dialog_id, taken.setup.leg, "failed"))
        elif taken.leg is not None and not taken.stands and taken.link is not None:
            if self._number(dialog_id, taken.leg) != wish.attempt:
                return
            self._let_go(taken, Outcome.CANCELLED)
