"""What an edge proxy writes down of the dialogs that it has taken, and how a server's words are read."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field

from valverouter.edge.links import Link
from valverouter.edge.listener import Caller
from valverouter.interface import AttemptResult, LoadReport, Outcome
from valverouter.signalling import setup

# How a dialog that stood may end; a server's other words are not counted apart.
ENDS = ("over", "released", "cut")

OUTCOMES: dict[type, Outcome] = {
    setup.Stands: Outcome.ESTABLISHED,
    setup.Ended: Outcome.ENDED,
    setup.LineBusy: Outcome.LINE_BUSY,
    setup.Full: Outcome.FULL,
    setup.NoAgent: Outcome.NO_AGENT,
    setup.Fault: Outcome.FAULT,
    setup.Cancelled: Outcome.CANCELLED,
    # Of a former self's leg that nobody waits for any more.
    setup.Unknown: Outcome.RESET,
}


class LegForbiddenError(RuntimeError):
    """The decisions wished for a leg that the rules forbid; the dialog is ended, the leg never sent."""


@dataclass(slots=True)
class Taken:
    """A dialog that this instance has taken. `deadline` is its caller's; the decisions are told a little
    less.

    `leg` is the number of the one that is out or stands, on `link`; None: in a pause.
    """

    setup: setup.Setup
    caller: Caller
    deadline: int
    leg: int | None = None
    link: Link | None = None
    legs: int = 0
    stands: bool = False
    released: bool = False
    generation: int = 1


@dataclass(slots=True)
class Tally:
    """What happened here since the start; `answers` and `legs` by word, in fixed memory."""

    answers: Counter[str] = field(default_factory=Counter)
    legs: Counter[str] = field(default_factory=Counter)
    # Stood, after the objective of their type.
    late: int = 0
    failures: int = 0
    withheld: int = 0
    stalls: int = 0


def report_of(load: setup.Load | None) -> LoadReport | None:
    if load is None:
        return None
    return LoadReport(free_lines=load.free_lines, lines=load.lines, queue_delay=load.wait)


def ended_of(message: setup.Ended, server: str, report: LoadReport | None) -> AttemptResult:
    return AttemptResult(
        message.dialog, message.leg, server, Outcome.ENDED, dialog_closed=True, load_report=report
    )
