"""Fake callers of an edge proxy, which dial, wait for an answer, cancel and redial."""

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
# The dialog ID of a set-up that has not been dialled yet.
NO_DIALOG = "-"


@dataclass(frozen=True, slots=True)
class CallerBehavior:
    """The behavior of callers.

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

    `has_hung_up`: the caller has cancelled. A new connection repeats the cancel, as it may have been lost.
    """

    setup: setup.Setup
    first_dialog: str
    attempt_number: int
    is_established: bool = False
    has_hung_up: bool = False


class FakeCallers:
    """The callers of one edge proxy, on one connection that is reopened when it breaks.

    `address` returns the edge proxy's current address. `attempts`: the open dialogs, by dialog ID.
    `can_resume`: the edge proxy retains dialogs when the connection is lost, and the callers resume them on
    the next one. `unreachable_count`: the number of dial attempts without a connection.
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
        """Maintains a connection to the edge proxy, until cancelled."""
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
        """Dials immediately and returns the new dialog ID.

        `first_dialog`: for a redial, the dialog ID of the call's first attempt.
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
        """Cancels a dialog that is being set up, or releases one that is established."""
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
        # The session keeps the leg open, so that a late answer is recorded.
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
        """Removes a dialog that has ended; its caller may redial.

        It redials after `retry_after` ns; 0: after its own redial wait.
        """
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
