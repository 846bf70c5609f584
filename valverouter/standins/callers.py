"""Stand-in callers: dialogs at an open-loop pace, patience, redials, and no books but what passed."""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import dataclass, field, replace
from typing import Any

import trio

from valverouter.signalling import setup
from valverouter.signalling.greeting import NEWEST, OLDEST, Hello, Welcome
from valverouter.signalling.tap import Tap
from valverouter.standins.wires import Agenda, Place, Wire


@dataclass(frozen=True, slots=True)
class Habits:
    """How callers behave. `patience`: the share of the no-answer time after which a try is given up."""

    redials: int = 0
    redial_wait: int = 800_000_000
    patience: float = 1.0
    heeds: float = 1.0


@dataclass(slots=True)
class Try:
    """One dialog that is under way or stands; it leaves the table with its end."""

    setup: setup.Setup
    first: str
    tries: int
    stands: bool = False
    # Its caller has given up: told again where the first word may have been lost with a connection.
    left: bool = False


@dataclass(slots=True)
class CallerStandIn:
    """The callers of one edge proxy, on one connection that is made again when it breaks."""

    name: str
    address: Callable[[], str]
    place: Place
    tap: Tap
    agenda: Agenda
    chance: random.Random
    habits: Habits = field(default_factory=Habits)
    tries: dict[str, Try] = field(default_factory=dict)
    wire: Wire | None = None
    on_wire: Callable[[Wire], None] = lambda wire: None
    ready: bool = False
    # Whether the edge proxy keeps what it takes over a break: then it is asked what became of it.
    resumes: bool = False
    unreached: int = 0
    _serial: int = 0

    async def run(self) -> None:
        while True:
            try:
                stream = await self.place.connect(self.address())
            except OSError:
                await trio.sleep(0.05)
                continue
            session = setup.SetupSession(Hello((OLDEST, NEWEST), "caller", self.name))
            self.wire = Wire(stream, session, self.tap, self.agenda, self.name, self._heard)
            self.on_wire(self.wire)
            await self.wire.run()
            self.wire, self.ready = None, False
            if not self.resumes:
                self._lose()
            await trio.sleep(0.05)

    def _lose(self) -> None:
        for dialog_id in list(self.tries):
            self._over(dialog_id, come_again=True)

    def _greeted(self, wire: Wire, welcome: Welcome) -> None:
        self.ready, self.resumes = True, welcome.epoch > 0
        if not self.resumes:
            self._lose()
        for dialog_id, made in self.tries.items():
            wire.send(setup.Resume(dialog_id), delayed=False)
            if made.left:
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
        made = self.tries[dialog_id] = Try(asked, first or dialog_id, tries)
        if self.wire is None or not self.ready:
            self.unreached += 1
            self._over(dialog_id, come_again=True)
            return dialog_id
        self.wire.send(asked, delayed=False)
        patience = int(asked.no_answer * self.habits.patience)
        if patience < asked.no_answer:
            self.agenda.at(self.agenda.now() + patience, lambda: self._gives_up(dialog_id))
        self.agenda.at(self.agenda.now() + asked.no_answer, lambda: self._times_out(dialog_id, made))
        return dialog_id

    def hang_up(self, dialog_id: str) -> None:
        """The caller leaves: cancels what is under way, releases what stands."""
        made = self.tries.get(dialog_id)
        if made is None:
            return
        made.left = made.left or not made.stands
        if self.wire is None or not self.ready:
            return
        self.wire.send(setup.Release(dialog_id) if made.stands else setup.Cancel(dialog_id), delayed=False)

    def _gives_up(self, dialog_id: str) -> None:
        made = self.tries.get(dialog_id)
        if made is not None and not made.stands:
            self.hang_up(dialog_id)

    def _times_out(self, dialog_id: str, made: Try) -> None:
        # The leg stays open in the session, so that an answer that comes too late is on record.
        if self.tries.get(dialog_id) is made and not made.stands:
            self._over(dialog_id, come_again=True)

    def _heard(self, wire: Wire, message: Any) -> None:
        if isinstance(message, Welcome):
            self._greeted(wire, message)
        made = self.tries.get(getattr(message, "dialog", ""))
        if made is None:
            return
        if isinstance(message, setup.Stands):
            made.stands = True
        elif isinstance(message, setup.Declined):
            heeds = self.chance.random() < self.habits.heeds
            self._over(message.dialog, come_again=True, least=message.come_back if heeds else 0)
        elif isinstance(message, setup.Aborted):
            self._over(message.dialog, come_again=True)
        elif isinstance(message, setup.Ended):
            self._over(message.dialog, come_again=message.reason == "cut")
        elif isinstance(message, setup.Unknown):
            self._over(message.dialog, come_again=True)

    def _over(self, dialog_id: str, come_again: bool, least: int = 0) -> None:
        made = self.tries.pop(dialog_id)
        if not come_again or made.tries > self.habits.redials:
            return
        wait = least or int(self.habits.redial_wait * (0.5 + self.chance.random()))
        asked = setup.Setup(
            dialog="-",
            traffic_type=made.setup.traffic_type,
            no_answer=made.setup.no_answer,
            first_choice=made.setup.first_choice,
            called_number=made.setup.called_number,
            was_cut=made.stands,
        )
        self.agenda.at(self.agenda.now() + wait, lambda: self._dials_again(asked, made))

    def _dials_again(self, asked: setup.Setup, made: Try) -> None:
        self.dial(asked, made.first, made.tries + 1)


def patient(habits: Habits, size: float) -> Habits:
    """The same callers, giving up after `size` of their usual patience."""
    return replace(habits, patience=habits.patience * size)
