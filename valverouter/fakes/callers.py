"""Fake callers of an edge proxy: they dial at given times, wait, give up and redial."""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import dataclass, replace
from typing import Any

import msgspec
import trio

from valverouter.fakes.connection import FakePeerConnection
from valverouter.fakes.environment import Environment
from valverouter.signalling import setup
from valverouter.signalling.greeting import NEWEST_VERSION, OLDEST_VERSION, Hello, Welcome

RECONNECT_AFTER_S = 0.05
# The dialog of a set-up that is yet to be dialled.
NO_DIALOG = "-"


@dataclass(frozen=True, slots=True)
class CallerBehavior:
    """How callers behave.

    They redial at most `redials` times, after `redial_wait` ns times a random factor from 0.5 to 1.5.
    `abandon_fraction`: the fraction of the no-answer time after which they cancel. `retry_after_compliance`:
    the probability with which they wait for as long as the edge proxy asks them to.
    """

    redials: int = 0
    redial_wait: int = 800_000_000
    abandon_fraction: float = 1.0
    retry_after_compliance: float = 1.0


def with_scaled_abandon_fraction(behavior: CallerBehavior, factor: float) -> CallerBehavior:
    """The same behavior with `factor` times the abandon fraction."""
    return replace(behavior, abandon_fraction=behavior.abandon_fraction * factor)


@dataclass(slots=True)
class DialAttempt:
    """A dialog that is being set up or is established; `attempt_number` counts from 1 within a call.

    `has_hung_up`: its caller gave up. That is sent again on a new connection, as it may have been lost.
    """

    setup: setup.Setup
    first_dialog: str
    attempt_number: int
    is_established: bool = False
    has_hung_up: bool = False


class FakeCallers:
    """The callers of one edge proxy, on one connection that is reopened when it breaks.

    `address` gives the edge proxy's current address. `attempts` by dialog; an entry is removed with the
    dialog's end. `can_resume`: the edge proxy keeps dialogs over a lost connection, so that they are asked
    for on the next one. `unreachable_count`: dial attempts without a connection.
    """

    def __init__(
        self,
        name: str,
        address: Callable[[], str],
        environment: Environment,
        rng: random.Random,
        behavior: CallerBehavior,
    ) -> None:
        self.name = name
        self.behavior = behavior
        self.attempts: dict[str, DialAttempt] = {}
        self.connection: FakePeerConnection | None = None
        self.on_connection: Callable[[FakePeerConnection], None] = lambda connection: None
        self.is_ready = False
        self.can_resume = False
        self.unreachable_count = 0
        self._address = address
        self._environment = environment
        self._scheduler = environment.scheduler
        self._rng = rng
        self._dialled_count = 0

    async def run(self) -> None:
        """Keeps a connection to the edge proxy, until cancelled."""
        while True:
            try:
                stream = await self._environment.network.connect(self._address())
            except OSError:
                await trio.sleep(RECONNECT_AFTER_S)
                continue
            await self._run_connection(stream)
            await trio.sleep(RECONNECT_AFTER_S)

    async def _run_connection(self, stream: trio.abc.Stream) -> None:
        session = setup.SetupSession(Hello((OLDEST_VERSION, NEWEST_VERSION), "caller", self.name))
        self.connection = FakePeerConnection(stream, session, self._environment, self.name, self._on_message)
        self.on_connection(self.connection)
        await self.connection.run()
        self.connection, self.is_ready = None, False
        if not self.can_resume:
            self._end_all()

    def _end_all(self) -> None:
        for dialog in list(self.attempts):
            self._end(dialog, may_redial=True)

    def dial(self, request: setup.Setup, first_dialog: str = "", attempt_number: int = 1) -> str:
        """Dials now and returns the new dialog.

        For a redial `first_dialog` is that of the call's first attempt.
        """
        self._dialled_count += 1
        dialog = f"{first_dialog}.{attempt_number}" if first_dialog else f"{self.name}-{self._dialled_count}"
        request = msgspec.structs.replace(request, dialog=dialog)
        attempt = DialAttempt(request, first_dialog or dialog, attempt_number)
        self.attempts[dialog] = attempt
        if self.connection is None or not self.is_ready:
            self.unreachable_count += 1
            self._end(dialog, may_redial=True)
            return dialog
        self.connection.send(request, delayed=False)
        self._set_timers(dialog, attempt)
        return dialog

    def _set_timers(self, dialog: str, attempt: DialAttempt) -> None:
        now, no_answer = self._scheduler.now(), attempt.setup.time_left
        abandon_delay = int(no_answer * self.behavior.abandon_fraction)
        if abandon_delay < no_answer:
            self._scheduler.call_at(now + abandon_delay, lambda: self._on_abandon_due(dialog))
        self._scheduler.call_at(now + no_answer, lambda: self._on_no_answer(dialog, attempt))

    def hang_up(self, dialog: str) -> None:
        """The caller leaves: cancels what is being set up, releases what is established."""
        attempt = self.attempts.get(dialog)
        if attempt is None:
            return
        attempt.has_hung_up = attempt.has_hung_up or not attempt.is_established
        if self.connection is None or not self.is_ready:
            return
        message = setup.Release(dialog) if attempt.is_established else setup.Cancel(dialog)
        self.connection.send(message, delayed=False)

    def _on_abandon_due(self, dialog: str) -> None:
        attempt = self.attempts.get(dialog)
        if attempt is not None and not attempt.is_established:
            self.hang_up(dialog)

    def _on_no_answer(self, dialog: str, attempt: DialAttempt) -> None:
        # The leg stays open in the session, so that an answer that comes too late is recorded.
        if self.attempts.get(dialog) is attempt and not attempt.is_established:
            self._end(dialog, may_redial=True)

    def _on_message(self, connection: FakePeerConnection, message: Any) -> None:
        if isinstance(message, Welcome):
            self._on_welcome(connection, message)
        attempt = self.attempts.get(getattr(message, "dialog", ""))
        if attempt is None:
            return
        match message:
            case setup.Established():
                attempt.is_established = True
            case setup.Rejected():
                complies = self._rng.random() < self.behavior.retry_after_compliance
                self._end(message.dialog, may_redial=True, retry_after=message.retry_after if complies else 0)
            case setup.Failed() | setup.Unknown():
                self._end(message.dialog, may_redial=True)
            case setup.Ended():
                self._end(message.dialog, may_redial=message.reason == "cut")

    def _on_welcome(self, connection: FakePeerConnection, welcome: Welcome) -> None:
        self.is_ready, self.can_resume = True, welcome.epoch > 0
        if not self.can_resume:
            self._end_all()
        for dialog, attempt in self.attempts.items():
            connection.send(setup.Resume(dialog), delayed=False)
            if attempt.has_hung_up:
                connection.send(setup.Cancel(dialog), delayed=False)

    def _end(self, dialog: str, may_redial: bool, retry_after: int = 0) -> None:
        """A dialog is over; its caller redials after `retry_after` ns, or 0: after its own wait."""
        attempt = self.attempts.pop(dialog)
        if not may_redial or attempt.attempt_number > self.behavior.redials:
            return
        wait = retry_after or int(self.behavior.redial_wait * (0.5 + self._rng.random()))
        request = msgspec.structs.replace(
            attempt.setup, dialog=NO_DIALOG, was_interrupted=attempt.is_established
        )
        self._scheduler.call_at(
            self._scheduler.now() + wait,
            lambda: self._redial(request, attempt.first_dialog, attempt.attempt_number + 1),
        )

    def _redial(self, request: setup.Setup, first_dialog: str, attempt_number: int) -> None:
        self.dial(request, first_dialog, attempt_number)
