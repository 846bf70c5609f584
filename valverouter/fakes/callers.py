"""Stand-in callers: dialogs at an open-loop pace, patience, redials, and no books but what passed."""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import dataclass, field, replace
from typing import Any

import trio

from valverouter.fakes.connection import FakePeerConnection, Network, Scheduler
from valverouter.signalling import setup
from valverouter.signalling.greeting import NEWEST, OLDEST, Hello, Welcome
from valverouter.signalling.tap import Tap


@dataclass(frozen=True, slots=True)
class CallerBehavior:
    """How callers behave. `patience`: the share of the no-answer time after which a try is given up."""

    redials: int = 0
    redial_wait: int = 800_000_000
    patience: float = 1.0
    retry_after_compliance: float = 1.0


@dataclass(slots=True)
class DialAttempt:
    """One dialog that is under way or stands; it leaves the table with its end."""

    setup: setup.Setup
    first_dialog: str
    attempt_number: int
    is_established: bool = False
    # Its caller has given up: told again where the first word may have been lost with a connection.
    has_hung_up: bool = False


@dataclass(slots=True)
class FakeCallers:
    """The callers of one edge proxy, on one connection that is made again when it breaks."""

    name: str
    address: Callable[[], str]
    network: Network
    tap: Tap
    scheduler: Scheduler
    random: random.Random
    behavior: CallerBehavior = field(default_factory=CallerBehavior)
    attempts: dict[str, DialAttempt] = field(default_factory=dict)
    connection: FakePeerConnection | None = None
    on_connection: Callable[[FakePeerConnection], None] = lambda wire: None
    is_ready: bool = False
    # Whether the edge proxy keeps what it takes over a break: then it is asked what became of it.
    can_resume: bool = False
    unreachable_count: int = 0
    _serial: int = 0

    async def run(self) -> None:
        while True:
            try:
                stream = await self.network.connect(self.address())
            except OSError:
                await trio.sleep(0.05)
                continue
            session = setup.SetupSession(Hello((OLDEST, NEWEST), "caller", self.name))
            self.connection = FakePeerConnection(
                stream, session, self.tap, self.scheduler, self.name, self._heard
            )
            self.on_connection(self.connection)
            await self.connection.run()
            self.connection, self.is_ready = None, False
            if not self.can_resume:
                self._lose()
            await trio.sleep(0.05)

    def _lose(self) -> None:
        for dialog_id in list(self.attempts):
            self._over(dialog_id, come_again=True)

    def _greeted(self, wire: FakePeerConnection, welcome: Welcome) -> None:
        self.is_ready, self.can_resume = True, welcome.epoch > 0
        if not self.can_resume:
            self._lose()
        for dialog_id, made in self.attempts.items():
            wire.send(setup.Resume(dialog_id), delayed=False)
            if made.has_hung_up:
                wire.send(setup.Cancel(dialog_id), delayed=False)

    def dial(self, asked: setup.Setup, first: str = "", tries: int = 1) -> str:
        """One try, now. The id is new; `first` names the first try that it belongs to."""
        self._serial += 1
        dialog_id = f"{first}.{tries}" if first else f"{self.name}-{self._serial}"
        asked = setup.Setup(
            dialog=dialog_id,
            traffic_type=asked.traffic_type,
            no_answer=asked.no_answer,
            first_choice=asked.first_choice,
            called_number=asked.called_number,
            was_cut=asked.was_cut,
        )
        made = self.attempts[dialog_id] = DialAttempt(asked, first or dialog_id, tries)
        if self.connection is None or not self.is_ready:
            self.unreachable_count += 1
            self._over(dialog_id, come_again=True)
            return dialog_id
        self.connection.send(asked, delayed=False)
        patience = int(asked.no_answer * self.behavior.patience)
        if patience < asked.no_answer:
            self.scheduler.call_at(self.scheduler.now() + patience, lambda: self._gives_up(dialog_id))
        self.scheduler.call_at(
            self.scheduler.now() + asked.no_answer, lambda: self._times_out(dialog_id, made)
        )
        return dialog_id

    def hang_up(self, dialog_id: str) -> None:
        """The caller leaves: cancels what is under way, releases what stands."""
        made = self.attempts.get(dialog_id)
        if made is None:
            return
        made.has_hung_up = made.has_hung_up or not made.is_established
        if self.connection is None or not self.is_ready:
            return
        self.connection.send(
            setup.Release(dialog_id) if made.is_established else setup.Cancel(dialog_id), delayed=False
        )

    def _gives_up(self, dialog_id: str) -> None:
        made = self.attempts.get(dialog_id)
        if made is not None and not made.is_established:
            self.hang_up(dialog_id)

    def _times_out(self, dialog_id: str, made: DialAttempt) -> None:
        # The leg stays open in the session, so that an answer that comes too late is on record.
        if self.attempts.get(dialog_id) is made and not made.is_established:
            self._over(dialog_id, come_again=True)

    def _heard(self, wire: FakePeerConnection, message: Any) -> None:
        if isinstance(message, Welcome):
            self._greeted(wire, message)
        made = self.attempts.get(getattr(message, "dialog", ""))
        if made is None:
            return
        if isinstance(message, setup.Stands):
            made.is_established = True
        elif isinstance(message, setup.Declined):
            heeds = self.random.random() < self.behavior.retry_after_compliance
            self._over(message.dialog, come_again=True, least=message.come_back if heeds else 0)
        elif isinstance(message, setup.Aborted):
            self._over(message.dialog, come_again=True)
        elif isinstance(message, setup.Ended):
            self._over(message.dialog, come_again=message.reason == "cut")
        elif isinstance(message, setup.Unknown):
            self._over(message.dialog, come_again=True)

    def _over(self, dialog_id: str, come_again: bool, least: int = 0) -> None:
        made = self.attempts.pop(dialog_id)
        if not come_again or made.attempt_number > self.behavior.redials:
            return
        wait = least or int(self.behavior.redial_wait * (0.5 + self.random.random()))
        asked = setup.Setup(
            dialog="-",
            traffic_type=made.setup.traffic_type,
            no_answer=made.setup.no_answer,
            first_choice=made.setup.first_choice,
            called_number=made.setup.called_number,
            was_cut=made.is_established,
        )
        self.scheduler.call_at(self.scheduler.now() + wait, lambda: self._dials_again(asked, made))

    def _dials_again(self, asked: setup.Setup, made: DialAttempt) -> None:
        self.dial(asked, made.first_dialog, made.attempt_number + 1)


def with_scaled_patience(habits: CallerBehavior, size: float) -> CallerBehavior:
    """The same callers, giving up after `size` of their usual patience."""
    return replace(habits, patience=habits.patience * size)
