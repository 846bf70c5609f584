"""The set-up protocol between callers, edge proxies and setup servers; docs/setup-protocol.md specifies it.

On each hop one side asks (a caller of an edge proxy, an edge proxy of a server) and the other serves. A leg
is opened by Setup and closed by exactly one closing message of the serving side. Spans are whole nanoseconds.
"""

from __future__ import annotations

from enum import Enum, auto
from typing import Annotated, Any

from msgspec import Meta, Struct

from valverouter.signalling.framing import MOST, ProtocolError
from valverouter.signalling.greeting import Count, Hello, Name, Session, Text

HOUR = 3_600 * 1_000_000_000
OPEN_MOST = 20_000

LegNumber = Annotated[int, Meta(ge=0, le=63)]
Span = Annotated[int, Meta(ge=0, le=HOUR)]


class Load(Struct, frozen=True, omit_defaults=True):
    """A server's own report: `util` of its processor from 0 to 1, `queue` of waiting set-ups; None: not
    told."""

    util: float | None = None
    queue: Count | None = None
    free_lines: Count | None = None
    lines: Count | None = None
    wait: Span | None = None


class OfLeg(Struct, frozen=True, omit_defaults=True):
    """What every message on a leg names: the dialog's id as its caller gave it, and the leg's number."""

    dialog: Name
    leg: LegNumber = 0


class Setup(OfLeg, tag_field="t", tag="setup", frozen=True, kw_only=True):
    """Opens a leg. `no_answer`: what is left, at sending, of the time after which nobody waits any more."""

    traffic_type: Name
    no_answer: Annotated[int, Meta(gt=0, le=HOUR)]
    first_choice: int = -1
    called_number: Count = 0
    was_cut: bool = False


class Cancel(OfLeg, tag_field="t", tag="cancel", frozen=True):
    """The asking side waits no longer. It may cross any answer; a leg that stands by then is released."""


class Release(OfLeg, tag_field="t", tag="release", frozen=True):
    """The asking side ends a dialog that stands; answered with Ended."""


class Resume(OfLeg, tag_field="t", tag="resume", frozen=True):
    """Version 2. The asking side had this leg open here, or standing, on a connection that is gone: what of
    it? Answered with the state it is in (Provisional, Stands), with its final answer again, or Unknown."""


class Kept(OfLeg, tag_field="t", tag="kept", frozen=True):
    """Version 2, to a server. That this leg stands is on record at the asking side: it outlives the
    connection for a while, to be resumed."""


class Provisional(OfLeg, tag_field="t", tag="provisional", frozen=True):
    """Taken and under way. From an edge proxy to its caller: from here on a final answer is owed."""


class Stands(OfLeg, tag_field="t", tag="stands", frozen=True):
    """The dialog stands; `server` names who set it up, on the hop to the caller."""

    server: str = ""
    report: Load | None = None


class Ended(OfLeg, tag_field="t", tag="ended", frozen=True):
    """Closes a leg that stood: `reason` is over, released or cut."""

    reason: Name = "over"
    report: Load | None = None


class LineBusy(OfLeg, tag_field="t", tag="line-busy", frozen=True):
    """Closes: every line of the called number is taken; final for the dialog."""

    report: Load | None = None


class Full(OfLeg, tag_field="t", tag="full", frozen=True):
    """Closes: the processor is full; `asked_wait` is the least wait before this dialog comes again."""

    asked_wait: Span = 0
    report: Load | None = None


class NoAgent(OfLeg, tag_field="t", tag="no-agent", frozen=True):
    """Closes: no line is free at this server."""

    report: Load | None = None


class Fault(OfLeg, tag_field="t", tag="fault", frozen=True):
    """Closes: the server failed at this leg."""

    text: Text = ""
    report: Load | None = None


class Cancelled(OfLeg, tag_field="t", tag="cancelled", frozen=True):
    """Closes a leg that was cancelled before any other answer left."""

    report: Load | None = None


class Declined(OfLeg, tag_field="t", tag="declined", frozen=True):
    """Closes, to a caller: turned away, to come back after the span (0: no advice)."""

    come_back: Span = 0


class Aborted(OfLeg, tag_field="t", tag="aborted", frozen=True):
    """Closes, to a caller: given up; `reason` is a word from the specification's table."""

    reason: Name = "failed"


class Unknown(OfLeg, tag_field="t", tag="unknown", frozen=True):
    """Version 2. Closes a leg that was to be resumed: nothing of it is here, and nothing will come of it."""


class Reported(Struct, tag_field="t", tag="reported", frozen=True):
    """A server's report, unasked."""

    report: Load


class Phase(Enum):
    """Where a leg is, as the messages that passed here show it."""

    OPEN = auto()
    RESUMED = auto()
    STANDS = auto()
    LEAVING = auto()


ASKS = frozenset((Setup, Cancel, Release, Resume, Kept))
SERVER_CLOSES = frozenset((Ended, LineBusy, Full, NoAgent, Fault, Cancelled, Unknown))
EDGE_CLOSES = frozenset((Ended, Declined, Aborted, Unknown))
# Since which version, where not since the first.
SINCE_SECOND = frozenset((Resume, Kept, Unknown))
KINDS = (
    *(Setup, Cancel, Release, Provisional, Stands, Ended, LineBusy, Full, NoAgent, Fault, Cancelled),
    *(Declined, Aborted, Reported, Resume, Kept, Unknown),
)


class SetupSession(Session):
    """One connection of the set-up protocol and the legs open on it.

    A leg leaves the table with its closing message, so the table holds what is open and no more. A Cancel or
    Release that crosses the closing message finds no leg at the serving side and is dropped there: the asking
    side has its answer already. An answer for a leg that is not open, however, is a fault of the serving
    side.
    """

    def __init__(self, hello: Hello | None = None, open_most: int = OPEN_MOST, most: int = MOST) -> None:
        super().__init__(KINDS, hello, most)
        self.open_most = open_most
        self.legs: dict[tuple[str, int], Phase] = {}
        self._by_caller = hello is not None and hello.role == "caller"

    def _greeted(self, message: Any) -> None:
        super()._greeted(message)
        if isinstance(message, Hello):
            if message.role not in ("caller", "edge"):
                raise ProtocolError("malformed", f"hello: role is {message.role!r}, caller or edge are known")
            self._by_caller = message.role == "caller"

    def _check_in(self, message: Any) -> None:
        self._pass(message, from_asking=not self.asking, ours=False)

    def _check_out(self, message: Any) -> None:
        self._pass(message, from_asking=self.asking, ours=True)

    def drop(self, key: tuple[str, int]) -> None:
        """Forgets a leg whose Setup was withdrawn before its bytes left."""
        self.legs.pop(key, None)

    def _pass(self, message: Any, from_asking: bool, ours: bool) -> None:
        kind = type(message)
        if (kind in ASKS) != from_asking:
            raise ProtocolError("out-of-state", f"{kind.__name__} comes from the other side only")
        if kind in SINCE_SECOND and self.version < 2:
            raise ProtocolError("out-of-state", f"{kind.__name__} is not in version {self.version}")
        if kind is Reported:
            if self._by_caller:
                raise ProtocolError("out-of-state", "reports are for edge proxies")
            return
        key = (message.dialog, message.leg)
        phase = self.legs.get(key)
        if kind is Setup or kind is Resume:
            if phase is not None:
                raise ProtocolError("out-of-state", f"leg {key} is open already")
            if len(self.legs) >= self.open_most:
                raise ProtocolError("too-many", f"{self.open_most} legs are open on this connection")
            self.legs[key] = Phase.OPEN if kind is Setup else Phase.RESUMED
        elif from_asking:
            if phase is None:
                if ours:
                    raise ProtocolError("out-of-state", f"{kind.__name__} for {key}, which is not open")
            elif kind in (Release, Kept) and phase in (Phase.OPEN, Phase.RESUMED):
                raise ProtocolError("out-of-state", f"{kind.__name__} for {key}, which does not stand")
            elif self.asking and kind is not Kept:
                # The serving side keeps the phase: whether the leg stood decides between Ended and Cancelled.
                self.legs[key] = Phase.LEAVING
        elif phase is None:
            raise ProtocolError("out-of-state", f"{kind.__name__} for {key}, which is not open")
        elif kind is Provisional:
            if phase is Phase.STANDS:
                raise ProtocolError("out-of-state", f"Provisional for {key}, which stands")
            if phase is Phase.RESUMED:
                self.legs[key] = Phase.OPEN
        elif kind is Stands:
            if phase is Phase.STANDS:
                raise ProtocolError("out-of-state", f"{key} stands already")
            if phase is not Phase.LEAVING:
                self.legs[key] = Phase.STANDS
        else:
            closes = EDGE_CLOSES if self._by_caller else SERVER_CLOSES
            if kind not in closes:
                raise ProtocolError("out-of-state", f"{kind.__name__} is not used on this hop")
            if kind is Unknown and phase not in (Phase.RESUMED, Phase.LEAVING):
                raise ProtocolError("out-of-state", f"Unknown for {key}, which was not to be resumed")
            if kind is Ended and phase in (Phase.OPEN, Phase.RESUMED):
                raise ProtocolError("out-of-state", f"Ended for {key}, which does not stand")
            if kind is not Ended and phase is Phase.STANDS:
                raise ProtocolError("out-of-state", f"{kind.__name__} for {key}, which stands")
            del self.legs[key]
