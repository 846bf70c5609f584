"""Attempts of dialogs at servers: started as the decisions ask, ended by an answer, a time-out or a loss."""

from __future__ import annotations

import msgspec

from valverouter.edge.context import ProxyContext
from valverouter.edge.dialogs import DialogEntry, DialogTable
from valverouter.edge.events import AttemptEnded, LinkDown, ServerMessage
from valverouter.edge.link import ServerLink
from valverouter.edge.server_links import ServerLinks
from valverouter.interface import AttemptResult, LoadReport, Outcome, StartAttempt
from valverouter.signalling import setup

OUTCOMES: dict[type, Outcome] = {
    setup.Established: Outcome.ESTABLISHED,
    setup.Ended: Outcome.ENDED,
    setup.LineBusy: Outcome.LINE_BUSY,
    setup.Full: Outcome.FULL,
    setup.NoAgent: Outcome.NO_AGENT,
    setup.Fault: Outcome.FAULT,
    setup.Cancelled: Outcome.CANCELLED,
    # Of a previous incarnation's attempt that nobody waits for any more.
    setup.Unknown: Outcome.RESET,
}


class ForbiddenAttemptError(RuntimeError):
    """The decisions asked for an attempt that the rules forbid; the dialog is ended."""


class AttemptHandler:
    """Carries out attempts and tells the decisions, and the caller, how they fared."""

    def __init__(self, context: ProxyContext, dialogs: DialogTable, links: ServerLinks) -> None:
        """Works on the dialogs in `dialogs` through the links in `links`."""
        self._context = context
        self._driver = context.driver
        self._timers = context.timers
        self._events = context.events
        self._counters = context.counters
        self._log = context.log
        self._dialogs = dialogs
        self._entries = dialogs.entries
        self._links = links.by_server

    # Hooks of proxies that keep their dialogs over a restart

    def _on_attempt_sent(self, entry: DialogEntry, server: str) -> None:
        """Its attempt is on the way to a server, and leaves with this turn's end at the earliest."""

    def _on_outcome(self, entry: DialogEntry, outcome: Outcome) -> None:
        """An attempt of an open dialog is established or has ended, and nobody has been told yet."""

    def decision_number(self, dialog_id: str, attempt: int) -> int:
        """An attempt's number as the decisions count it."""
        return attempt

    # Commands of the decisions

    def start(self, dialog_id: str, action: StartAttempt) -> None:
        """Sends an attempt to a server; ForbiddenAttemptError where the rules forbid one now."""
        entry = self._startable_entry(dialog_id)
        attempt = entry.attempt = entry.attempts_started
        entry.attempts_started += 1
        if not entry.caller.is_reachable:
            # The one place where an attempt begins, so the one that asks. The event of its end is on the way.
            entry.attempt = None
            self.abort_dialog(dialog_id, "caller-gone")
            self.report_result(dialog_id, attempt, action.server, Outcome.NOT_SENT)
            return
        key = dialog_id, attempt
        entry.link = link = self._links.get(action.server)
        if link is None or not link.in_service or not link.is_writable or link.has_attempt(key):
            # Proven not to have run; handed in as an event of its own, so that no dialog flow resumes inside
            # another.
            self._events.put(AttemptEnded(dialog_id, attempt, action.server, Outcome.UNREACHABLE))
            return
        time_left = max(1, entry.deadline - self._context.now)
        link.start_attempt(key, msgspec.structs.replace(entry.setup, leg=attempt, time_left=time_left))
        self._on_attempt_sent(entry, action.server)
        timeout = AttemptEnded(dialog_id, attempt, action.server, Outcome.TIMED_OUT)
        self._timers.schedule(action.deadline, timeout)
        self._log.debug("attempt-started", dialog=dialog_id, leg=attempt, server=action.server)

    def _startable_entry(self, dialog_id: str) -> DialogEntry:
        entry = self._entries.get(dialog_id)
        if entry is None:
            raise ForbiddenAttemptError(f"a leg for {dialog_id!r}, which is not open here")
        if entry.attempt is not None:
            raise ForbiddenAttemptError(f"a second leg for {dialog_id!r} while leg {entry.attempt} is out")
        return entry

    def on_cancel_requested(self, entry: DialogEntry, attempt: int) -> None:
        """The decisions stop waiting for an attempt of theirs, by their number of it."""
        if entry.attempt is None or entry.is_established or entry.link is None:
            return
        if self.decision_number(entry.setup.dialog, entry.attempt) == attempt:
            self.cancel(entry, Outcome.CANCELLED)

    def cancel(self, entry: DialogEntry, outcome: Outcome) -> None:
        """Cancels the attempt in flight; the decisions hear `outcome` once the cancel has left.

        Its release delay counts from the moment when the cancel left, not from when it was asked for:
        behind a peer that reads slowly the two lie apart. Should the link go first, LinkDown ends the
        attempt.
        """
        link, attempt, dialog_id = entry.link, entry.attempt, entry.setup.dialog
        assert link is not None
        assert attempt is not None
        key = (dialog_id, attempt)
        if key not in link.attempts:
            return  # the link went down, or never took it: the event of its end waits in the queue
        if link.has_closed(key):
            # So does its closing message. Cancelling what the session has closed raised, and with it went the
            # dialog's answer.
            return
        if link.withdraw(key):
            self._events.put(AttemptEnded(dialog_id, attempt, link.server, Outcome.UNREACHABLE))
            return
        link.attempts[key] = True
        ended = AttemptEnded(dialog_id, attempt, link.server, outcome)
        link.send(setup.Cancel(dialog_id, attempt), on_sent=lambda: self._events.put(ended))

    def abort_dialog(self, dialog_id: str, reason: str) -> None:
        """Ends a dialog from outside the decisions.

        They forget it, its attempt is cancelled, its caller is told.
        """
        entry = self._entries[dialog_id]
        if entry.is_established:
            self._dialogs.release(entry)
            self._dialogs.end(entry, "released")
            return
        self._driver.on_caller_gone(dialog_id)
        link, attempt = entry.link, entry.attempt
        if attempt is not None and link is not None and (dialog_id, attempt) in link.attempts:
            self.cancel(entry, Outcome.CANCELLED)
        self._dialogs.answer(entry, setup.Failed(dialog_id, entry.setup.leg, reason))

    # Ends at this side

    def is_in_flight(self, timeout: AttemptEnded) -> bool:
        """Whether an attempt whose time is up is still in flight.

        Nearly all ended long before, and their time-outs need no handling.
        """
        entry = self._entries.get(timeout.dialog_id)
        return entry is not None and entry.attempt == timeout.attempt and not entry.is_established

    def on_attempt_ended(self, event: AttemptEnded) -> None:
        """An attempt was not sent, was cancelled, or its time is up."""
        entry = self._entries.get(event.dialog_id)
        if entry is None or entry.attempt != event.attempt or entry.is_established:
            self._on_stale_attempt_ended(event)
            return
        if event.outcome is Outcome.TIMED_OUT and self._is_uncancelled(entry):
            self.cancel(entry, event.outcome)
            latest = entry.deadline - self._context.config.answer_margin
            if self._context.now < latest:
                # Behind a peer that stopped reading the cancel may never leave; the answer is owed.
                self._timers.schedule(latest, event)
                return
        self._end(entry, event.outcome)

    def _is_uncancelled(self, entry: DialogEntry) -> bool:
        link, attempt = entry.link, entry.attempt
        return (
            link is not None
            and attempt is not None
            and link.attempts.get((entry.setup.dialog, attempt)) is False
        )

    def _on_stale_attempt_ended(self, event: AttemptEnded) -> None:
        """The dialog went first; the decisions still count this attempt as in flight."""
        if event.outcome is Outcome.TIMED_OUT:
            return
        if (link := self._links.get(event.server)) is not None:
            link.attempts.pop((event.dialog_id, event.attempt), None)
        # Taken back before it left because its caller gave up, it says nothing of the server: reported as
        # unreachable, one caller that takes back what it asks for at once shut the server out.
        unsent = event.outcome is Outcome.UNREACHABLE
        outcome = Outcome.NOT_SENT if unsent else event.outcome
        self.report_result(event.dialog_id, event.attempt, event.server, outcome)

    def report_result(self, dialog_id: str, attempt: int, server: str, outcome: Outcome) -> None:
        """Tells the decisions of an attempt that no dialog here waits for."""
        result = AttemptResult(dialog_id, self.decision_number(dialog_id, attempt), server, outcome)
        self._context.run_decision("", self._driver.on_attempt_result, result)

    def _end(
        self,
        entry: DialogEntry,
        outcome: Outcome,
        retry_after: int = 0,
        load_report: LoadReport | None = None,
        answer: setup.Established | None = None,
    ) -> None:
        """Tells the decisions how an attempt fared, and the caller when it is established."""
        request, attempt, link = entry.setup, entry.attempt, entry.link
        assert attempt is not None
        self._on_outcome(entry, outcome)
        server = link.server if link is not None else ""
        if outcome is not Outcome.ESTABLISHED:
            entry.attempt = None
            if link is not None and not link.attempts.get((request.dialog, attempt)):
                link.attempts.pop((request.dialog, attempt), None)
        kind = outcome.name.lower()
        self._counters.attempts[kind] += 1
        self._log.debug("attempt-ended", dialog=request.dialog, leg=attempt, server=server, outcome=kind)
        number = self.decision_number(request.dialog, attempt)
        result = AttemptResult(
            request.dialog, number, server, outcome, retry_after=retry_after, load_report=load_report
        )
        is_handled = self._context.run_decision(request.dialog, self._driver.on_attempt_result, result)
        if is_handled and answer is not None:
            answer = msgspec.structs.replace(answer, leg=request.leg, server=server, report=None)
            self._dialogs.answer(entry, answer)

    # Messages of servers

    def on_server_message(self, event: ServerMessage) -> None:
        """A server answers an attempt, or reports its load."""
        link, message = event.link, event.message
        if isinstance(message, setup.LoadReported):
            load_report = load_report_of(message.report) or LoadReport()
            self._context.run_decision("", self._driver.update_load, link.server, load_report)
        else:
            self._on_answer(link, message)

    def _on_answer(self, link: ServerLink, message: setup.LegMessage) -> None:
        """A server's message about an attempt; one that is over here only informs the decisions."""
        key = (message.dialog, message.leg)
        if key not in link.attempts:
            return
        load_report = load_report_of(getattr(message, "report", None))
        entry = self._entries.get(message.dialog)
        if link.attempts[key] or entry is None or entry.link is not link or entry.attempt != message.leg:
            self._on_stale_answer(link, message, load_report)
        elif isinstance(message, setup.Ended):
            del link.attempts[key]
            result = AttemptResult(
                *key, link.server, Outcome.ENDED, dialog_closed=True, load_report=load_report
            )
            self._context.run_decision("", self._driver.on_attempt_result, result)
            self._dialogs.end(entry, message.reason)
        elif isinstance(message, setup.Established):
            self._end(entry, Outcome.ESTABLISHED, 0, load_report, message)
        else:
            retry_after = message.retry_after if isinstance(message, setup.Full) else 0
            self._end(entry, OUTCOMES[type(message)], retry_after, load_report)

    def _on_stale_answer(
        self, link: ServerLink, message: setup.LegMessage, load_report: LoadReport | None
    ) -> None:
        """We have cancelled this attempt: the server frees what may be established, by that cancel.

        Its entry goes with the closing message in either case: kept, every cancelled attempt would stay for
        the life of the link.
        """
        closes = not isinstance(message, setup.Established)
        if closes and not link.attempts.pop((message.dialog, message.leg)):
            self.report_result(message.dialog, message.leg, link.server, OUTCOMES[type(message)])
        if load_report is not None:
            self._context.run_decision("", self._driver.update_load, link.server, load_report)

    # Links that are lost

    def on_link_down(self, event: LinkDown) -> None:
        """A connection is gone, or could not be made: its attempts are reset, unsent ones unreachable."""
        link = event.link
        attempts = len(event.sent | event.unsent)
        self._log.info("link-down", server=link.server, why=event.reason, legs=attempts)
        for keys, outcome in ((event.unsent, Outcome.UNREACHABLE), (event.sent, Outcome.RESET)):
            for key in sorted(keys):
                self._on_attempt_lost(link, key, outcome)

    def _on_attempt_lost(self, link: ServerLink, key: tuple[str, int], outcome: Outcome) -> None:
        dialog_id, attempt = key
        entry = self._entries.get(dialog_id)
        is_current = entry is not None and entry.link is link and entry.attempt == attempt
        if entry is not None and is_current and not entry.is_established:
            self._end(entry, outcome)
            return
        self.report_result(dialog_id, attempt, link.server, outcome)
        if entry is not None and is_current:
            self._dialogs.end(entry, "cut")


def load_report_of(load: setup.Load | None) -> LoadReport | None:
    """A server's load as the decisions take it; None: the server reported none."""
    if load is None:
        return None
    return LoadReport(free_lines=load.free_lines, lines=load.lines, queue_delay=load.queue_delay)
