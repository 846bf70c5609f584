"""Attempts at servers: started by the driver, ended by an answer, a time-out or a lost link."""

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
    # Answers a Resume for an attempt of our previous incarnation; handled here if no dialog waits for it.
    setup.Unknown: Outcome.RESET,
}


class ForbiddenAttemptError(RuntimeError):
    """The driver requested an attempt that the rules forbid; the dialog is ended."""


class AttemptHandler:
    """Carries out attempts and reports their outcomes to the driver and the caller."""

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

    # Hooks for proxies whose dialogs survive a restart

    def _on_attempt_sent(self, entry: DialogEntry, server: str) -> None:
        """Called when an attempt was queued for a server; it is sent at the end of this turn or later."""

    def _on_outcome(self, entry: DialogEntry, outcome: Outcome) -> None:
        """Called with the outcome of an open dialog's attempt, before the driver and the caller get it."""

    def driver_attempt_number(self, dialog_id: str, attempt: int) -> int:
        """Returns the number by which the driver knows an attempt."""
        return attempt

    # Commands of the driver

    def start(self, dialog_id: str, action: StartAttempt) -> None:
        """Sends an attempt to a server; raises ForbiddenAttemptError if the dialog may not start one."""
        entry = self._startable_entry(dialog_id)
        attempt = entry.attempt = entry.attempts_started
        entry.attempts_started += 1
        if not entry.caller.is_reachable:
            # Every attempt starts here, so this check covers them all. The event that reports the caller's
            # disconnection has not been handled yet.
            entry.attempt = None
            self.abort_dialog(dialog_id, "caller-gone")
            self.report_result(dialog_id, attempt, action.server, Outcome.NOT_SENT)
            return
        key = dialog_id, attempt
        entry.link = link = self._links.get(action.server)
        if link is None or not link.in_service or not link.is_writable or link.has_attempt(key):
            # The attempt never ran. Its end is queued as an event, so that no dialog flow is resumed from
            # within another one.
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
            raise ForbiddenAttemptError(f"attempt for dialog {dialog_id!r}, which is not open here")
        if entry.attempt is not None:
            raise ForbiddenAttemptError(
                f"second attempt for dialog {dialog_id!r} while attempt {entry.attempt} is in flight"
            )
        return entry

    def on_cancel_requested(self, entry: DialogEntry, attempt: int) -> None:
        """Cancels the attempt in flight if `attempt` is its number in the driver."""
        if entry.attempt is None or entry.is_established or entry.link is None:
            return
        if self.driver_attempt_number(entry.setup.dialog, entry.attempt) == attempt:
            self.cancel(entry, Outcome.CANCELLED)

    def cancel(self, entry: DialogEntry, outcome: Outcome) -> None:
        """Cancels the attempt in flight; the driver gets `outcome` once the cancel has been sent.

        The release delay counts from when the cancel was sent, not from when it was requested: with a peer
        that reads slowly, these can be far apart. If the link goes down first, LinkDown ends the attempt.
        """
        link, attempt, dialog_id = entry.link, entry.attempt, entry.setup.dialog
        assert link is not None
        assert attempt is not None
        key = (dialog_id, attempt)
        if key not in link.attempts:
            return  # the link went down or never accepted it: the event of its end is queued
        if link.has_closed(key):
            # Its closing message is queued. Cancelling a leg that the session has closed raised an exception,
            # and the dialog lost its answer.
            return
        if link.withdraw(key):
            self._events.put(AttemptEnded(dialog_id, attempt, link.server, Outcome.UNREACHABLE))
            return
        link.attempts[key] = True
        ended = AttemptEnded(dialog_id, attempt, link.server, outcome)
        link.send(setup.Cancel(dialog_id, attempt), on_sent=lambda: self._events.put(ended))

    def abort_dialog(self, dialog_id: str, reason: str) -> None:
        """Ends a dialog without a command of the driver.

        The driver drops it, its attempt is cancelled or released, and the caller gets `reason`.
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

    # Attempts ended at this side

    def is_in_flight(self, timeout: AttemptEnded) -> bool:
        """Whether the attempt of a time-out event is still in flight.

        Nearly all attempts end long before their time-out, which then needs no handling.
        """
        entry = self._entries.get(timeout.dialog_id)
        return entry is not None and entry.attempt == timeout.attempt and not entry.is_established

    def on_attempt_ended(self, event: AttemptEnded) -> None:
        """Handles an attempt that was not sent, was cancelled or timed out."""
        entry = self._entries.get(event.dialog_id)
        if entry is None or entry.attempt != event.attempt or entry.is_established:
            self._on_stale_attempt_ended(event)
            return
        if event.outcome is Outcome.TIMED_OUT and self._is_uncancelled(entry):
            self.cancel(entry, event.outcome)
            latest = entry.deadline - self._context.config.answer_margin
            if self._context.now < latest:
                # If the peer has stopped reading, the cancel may never be sent, but the caller must still be
                # answered in time.
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
        """Reports the end of an attempt whose dialog has ended: the driver still counts it as in flight."""
        if event.outcome is Outcome.TIMED_OUT:
            return
        if (link := self._links.get(event.server)) is not None:
            link.attempts.pop((event.dialog_id, event.attempt), None)
        # The caller cancelled and the attempt was withdrawn unsent, which says nothing about the server.
        # When this was reported as UNREACHABLE, one caller that cancelled its set-ups at once got the server
        # ejected.
        unsent = event.outcome is Outcome.UNREACHABLE
        outcome = Outcome.NOT_SENT if unsent else event.outcome
        self.report_result(event.dialog_id, event.attempt, event.server, outcome)

    def report_result(self, dialog_id: str, attempt: int, server: str, outcome: Outcome) -> None:
        """Reports the outcome of an attempt that no open dialog waits for to the driver."""
        result = AttemptResult(dialog_id, self.driver_attempt_number(dialog_id, attempt), server, outcome)
        self._context.run_isolated("", self._driver.on_attempt_result, result)

    def _end(
        self,
        entry: DialogEntry,
        outcome: Outcome,
        retry_after: int = 0,
        load_report: LoadReport | None = None,
        answer: setup.Established | None = None,
    ) -> None:
        """Reports an attempt's outcome to the driver and sends the caller an Established."""
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
        number = self.driver_attempt_number(request.dialog, attempt)
        result = AttemptResult(
            request.dialog, number, server, outcome, retry_after=retry_after, load_report=load_report
        )
        is_handled = self._context.run_isolated(request.dialog, self._driver.on_attempt_result, result)
        if is_handled and answer is not None:
            answer = msgspec.structs.replace(answer, leg=request.leg, server=server, report=None)
            self._dialogs.answer(entry, answer)

    # Messages from servers

    def on_server_message(self, event: ServerMessage) -> None:
        """Handles a server's answer to an attempt, or its load report."""
        link, message = event.link, event.message
        if isinstance(message, setup.LoadReported):
            load_report = load_report_of(message.report) or LoadReport()
            self._context.run_isolated("", self._driver.update_load, link.server, load_report)
        else:
            self._on_answer(link, message)

    def _on_answer(self, link: ServerLink, message: setup.LegMessage) -> None:
        """Handles a message about an attempt; if it is no longer current, only the driver gets it."""
        key = (message.dialog, message.leg)
        if key not in link.attempts:
            return
        load_report = load_report_of(getattr(message, "report", None))
        entry = self._entries.get(message.dialog)
        if link.attempts[key] or entry is None or entry.link is not link or entry.attempt != message.leg:
            self._on_stale_answer(link, message, load_report)
        elif isinstance(message, setup.Ended):
            del link.attempts[key]
            self._on_ended(entry, link, message, load_report)
        elif isinstance(message, setup.Established):
            self._end(entry, Outcome.ESTABLISHED, 0, load_report, message)
        else:
            retry_after = message.retry_after if isinstance(message, setup.Full) else 0
            self._end(entry, OUTCOMES[type(message)], retry_after, load_report)

    def _on_ended(
        self, entry: DialogEntry, link: ServerLink, message: setup.Ended, load_report: LoadReport | None
    ) -> None:
        """Ends an established dialog; one whose answer has not arrived fails.

        Its server established and ended it, and only the answer is late or lost. Another attempt would run
        the dialog a second time. The outcome says nothing of the server's latency.
        """
        outcome = Outcome.ENDED if entry.is_established else Outcome.CANCELLED
        result = AttemptResult(
            message.dialog, message.leg, link.server, outcome, dialog_closed=True, load_report=load_report
        )
        self._context.run_isolated("", self._driver.on_attempt_result, result)
        if entry.is_established:
            self._dialogs.end(entry, message.reason)
        else:
            failed = setup.Failed(message.dialog, entry.setup.leg, "ended-unanswered")
            self._dialogs.answer(entry, failed)

    def _on_stale_answer(
        self, link: ServerLink, message: setup.LegMessage, load_report: LoadReport | None
    ) -> None:
        """Handles a message about an attempt that was cancelled here.

        The server releases an established leg when it receives the cancel. The closing message removes the
        attempt from the link, or cancelled attempts would accumulate until the link goes down.
        """
        closes = not isinstance(message, setup.Established)
        if closes and not link.attempts.pop((message.dialog, message.leg)):
            self.report_result(message.dialog, message.leg, link.server, OUTCOMES[type(message)])
        if load_report is not None:
            self._context.run_isolated("", self._driver.update_load, link.server, load_report)

    # Lost links

    def on_link_down(self, event: LinkDown) -> None:
        """Ends the attempts of a lost connection: RESET if they were sent, else UNREACHABLE."""
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
    """Converts a load report to the driver's type; None if there is none."""
    if load is None:
        return None
    return LoadReport(free_lines=load.free_lines, lines=load.lines, queue_delay=load.queue_delay)
