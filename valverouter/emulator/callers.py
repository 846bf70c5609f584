"""Emulated callers of one edge proxy: arrivals, patience, redials; rows of what passed, as the stand-ins."""

from __future__ import annotations

from dataclasses import dataclass

from valverouter.emulator.edges import Asked, EmulatedEdge
from valverouter.emulator.simulated import Chance, Simulated
from valverouter.signalling.tap import ConnectionLostRow, MessageRow, Tap
from valverouter.terms.day import Callers

# A connection that broke is made again after so long.
RECONNECT = 50_000_000


@dataclass(slots=True)
class _Try:
    asked: Asked
    first: str
    tries: int
    stands: bool = False


class EmulatedCallers:
    """`tries` holds what is under way or stands; each leaves with its end."""

    def __init__(self, edge: EmulatedEdge, habits: Callers, sim: Simulated, tap: Tap, chance: Chance) -> None:
        self.name = f"c{edge.plan.place}"
        self.tries: dict[str, _Try] = {}
        self.patience = habits.patience
        self.unreached = 0
        self._edge = edge
        self._habits = habits
        self._sim = sim
        self._tap = tap
        self._chance = chance
        self._serial = 0
        self._ready_at = 0
        edge.caller = self

    @property
    def waiting(self) -> bool:
        """Whether any dialog still waits for its answer."""
        return any(not made.stands for made in self.tries.values())

    def _row(self, sent: bool, kind: str, dialog: str, span: int = 0, word: str = "") -> None:
        rows = self._tap.rows
        rows.append(
            MessageRow(
                len(rows), self._sim.now(), self._edge.name, self.name, sent, kind, dialog, 0, span, word
            )
        )

    def dial(self, asked: Asked, first: str = "", tries: int = 1) -> None:
        """One try, now; `first` names the first try that it belongs to."""
        self._serial += 1
        dialog = f"{first}.{tries}" if first else f"{self.name}-{self._serial}"
        asked = Asked(
            dialog,
            asked.traffic_type,
            asked.no_answer,
            asked.first_choice,
            asked.called_number,
            asked.was_cut,
        )
        made = self.tries[dialog] = _Try(asked, first or dialog, tries)
        if not self._edge.runs or self._sim.now() < self._ready_at:
            self.unreached += 1
            self._over(dialog, True)
            return
        self._row(True, "setup", dialog, asked.no_answer, asked.traffic_type)
        patience = int(asked.no_answer * self.patience)
        if patience < asked.no_answer:
            self._sim.after(patience, self._gives_up, dialog, made)
        self._sim.after(asked.no_answer, self._times_out, dialog, made)
        self._edge.turn(self._edge.take, asked)

    def _gives_up(self, dialog: str, made: _Try) -> None:
        if self.tries.get(dialog) is made and not made.stands:
            if not self._edge.runs:
                self._over(dialog, True)
                return
            self._row(True, "cancel", dialog)
            self._edge.turn(self._edge.cancelled, dialog)

    def _times_out(self, dialog: str, made: _Try) -> None:
        if self.tries.get(dialog) is made and not made.stands:
            self._over(dialog, True)

    def heard(self, kind: str, dialog: str, span: int = 0, word: str = "") -> None:
        self._row(False, kind, dialog, span, word)
        made = self.tries.get(dialog)
        if made is None:
            return
        if kind == "stands":
            made.stands = True
        elif kind == "declined":
            heeds = self._chance.random() < self._habits.heeds
            self._over(dialog, True, span if heeds else 0)
        else:
            self._over(dialog, kind == "aborted" or word == "cut")

    def cut_off(self) -> None:
        """The edge proxy is gone: everything here is lost, and may be tried again."""
        self._tap.record(ConnectionLostRow, edge=self._edge.name, peer=self.name)
        self._ready_at = self._sim.now() + RECONNECT
        for dialog in list(self.tries):
            self._over(dialog, True)

    def away(self) -> None:
        """The edge proxy is gone and keeps what it owes: we come back for it."""
        self._tap.record(ConnectionLostRow, edge=self._edge.name, peer=self.name)
        self._ready_at = self._sim.now() + RECONNECT
        self._sim.after(RECONNECT, self._back)

    def _back(self) -> None:
        if not self._edge.runs:
            self._sim.after(RECONNECT, self._back)
            return
        for dialog in list(self.tries):
            self._row(True, "resume", dialog)
            self._edge.turn(self._edge.resumed, dialog)

    def _over(self, dialog: str, again: bool, least: int = 0) -> None:
        made = self.tries.pop(dialog)
        if not again or made.tries > self._habits.redials:
            return
        wait = least or int(self._habits.redial_wait * (0.5 + self._chance.random()))
        asked = made.asked
        next_ = Asked(
            "-", asked.traffic_type, asked.no_answer, asked.first_choice, asked.called_number, made.stands
        )
        self._sim.after(wait, self.dial, next_, made.first, made.tries + 1)
