"""The list service's protocol: a snapshot, then numbered changes; docs/setup-protocol.md specifies it.

`Replica` is the hearing side's state, `Register` the service's. Both do no I/O. A change's number is one
above the last; a gap, a former epoch or a number gone by makes the replica ask for a new snapshot, once.
"""

from __future__ import annotations

from collections import deque
from typing import Any, Literal

from msgspec import Struct

from valverouter.signalling.framing import MOST, ProtocolError
from valverouter.signalling.greeting import Count, Hello, Name, Session

HISTORY = 64

PhaseWord = Literal["in-service", "draining", "gone"]


class Row(Struct, frozen=True, omit_defaults=True):
    """One server: `incarnation` grows with each of its starts, `age` is ns since that start, None: long
    ago."""

    server: Name
    number: int
    phase: PhaseWord
    address: str = ""
    region: str = ""
    incarnation: int = 0
    age: Count | None = None


class Watch(Struct, tag_field="t", tag="watch", frozen=True, omit_defaults=True):
    """Asks for what follows change `have` of `epoch`, or for a snapshot where that can't be had."""

    epoch: str = ""
    have: Count = 0


class Snapshot(Struct, tag_field="t", tag="snapshot", frozen=True):
    """The whole list as of change `number`."""

    epoch: Name
    number: Count
    rows: list[Row]


class Change(Struct, tag_field="t", tag="change", frozen=True):
    """What changed; rows that are gone leave the list."""

    epoch: Name
    number: Count
    rows: list[Row]


class Leave(Struct, tag_field="t", tag="leave", frozen=True):
    """Asks that `server` be told as draining, under the permit `number`. Asked again with the same number, it
    is answered again; one with a lower number than was seen, or that is over, is refused."""

    server: Name
    number: Count


class Returns(Struct, tag_field="t", tag="returns", frozen=True):
    """The permit `number` is over: `server` is in again, and no copy of that permit holds any more."""

    server: Name
    number: Count


class Left(Struct, tag_field="t", tag="left", frozen=True, omit_defaults=True):
    """To a Leave or a Returns."""

    server: Name
    number: Count
    given: bool
    why: str = ""


ASKED = (Watch, Leave, Returns)


class Permits:
    """The service's memory of permits: by server the highest number seen, and the highest that is over."""

    def __init__(self) -> None:
        self._highest: dict[str, int] = {}
        self._over: dict[str, int] = {}

    def why_not(self, leave: Leave) -> str:
        """Empty where it holds; then lower numbers are void from now on."""
        highest, over = self._highest.get(leave.server, 0), self._over.get(leave.server, 0)
        if not leave.number:
            return "no permit's number was given"
        if leave.number <= over:
            return f"permit {leave.number} is over"
        if leave.number < highest:
            return f"permit {leave.number} is older than {highest}, which was seen"
        self._highest[leave.server] = leave.number
        return ""

    def over(self, returns: Returns) -> None:
        self._over[returns.server] = max(self._over.get(returns.server, 0), returns.number)


class ListSession(Session):
    """One connection to the list service. The hearing side asks by Watch; answers come before or after."""

    def __init__(self, hello: Hello | None = None, most: int = MOST) -> None:
        super().__init__((*ASKED, Snapshot, Change, Left), hello, most)

    def _check_in(self, message: Any) -> None:
        if isinstance(message, ASKED) == self.asking:
            raise ProtocolError("out-of-state", f"{type(message).__name__} comes from the other side only")

    def _check_out(self, message: Any) -> None:
        assert isinstance(message, ASKED) == self.asking


class Replica:
    """What the hearing side holds. `rows` is emptied by snapshots and by rows that are gone."""

    def __init__(self) -> None:
        self.epoch = ""
        self.number = 0
        self.rows: dict[str, Row] = {}
        self.gaps = 0
        self._asked = True

    def watch(self) -> Watch:
        """What to send on a new connection."""
        self._asked = True
        return Watch(self.epoch, self.number)

    def question(self) -> Watch:
        """What a service that is there must answer, though nothing has changed: the last change again, or a
        snapshot where there was none."""
        return Watch(self.epoch, self.number - 1) if self.number else Watch()

    def heard(self, message: Snapshot | Change) -> tuple[list[Row] | None, Watch | None]:
        """The rows to act on (None: nothing new), and what to send back, if anything.

        Rows of a change behind a gap are acted on only as far as they take servers out of service: late or
        out of order, a word that a server drains or is gone is heeded from the moment it is told.
        """
        if isinstance(message, Snapshot):
            self._asked = False
            self.epoch, self.number = message.epoch, message.number
            self.rows = {row.server: row for row in message.rows if row.phase != "gone"}
            return message.rows, None
        if message.epoch == self.epoch and message.number <= self.number:
            return None, None
        if message.epoch == self.epoch and message.number == self.number + 1:
            self._asked = False
            self.number = message.number
            self._keep(message.rows)
            return message.rows, None
        leaving = [row for row in message.rows if row.phase != "in-service"]
        self._keep(leaving)
        if self._asked:
            return leaving or None, None
        self.gaps += 1
        self._asked = True
        return leaving or None, Watch()

    def _keep(self, rows: list[Row]) -> None:
        for row in rows:
            if row.phase == "gone":
                self.rows.pop(row.server, None)
            else:
                self.rows[row.server] = row


class Register:
    """What the service holds: the rows, their number, and the last HISTORY changes for those who come
    back."""

    def __init__(self, epoch: str) -> None:
        self.epoch = epoch
        self.number = 0
        self.rows: dict[str, Row] = {}
        self._changes: deque[Change] = deque(maxlen=HISTORY)

    def change(self, rows: list[Row]) -> Change:
        self.number += 1
        for row in rows:
            if row.phase == "gone":
                self.rows.pop(row.server, None)
            else:
                self.rows[row.server] = row
        self._changes.append(Change(self.epoch, self.number, rows))
        return self._changes[-1]

    def answer(self, watch: Watch) -> list[Snapshot | Change]:
        missed = [change for change in self._changes if change.number > watch.have]
        known = watch.epoch == self.epoch and watch.have <= self.number
        if known and watch.have + len(missed) == self.number:
            return list(missed)
        return [Snapshot(self.epoch, self.number, list(self.rows.values()))]
