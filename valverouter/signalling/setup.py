"""The set-up protocol between callers, edge proxies and setup servers; docs/setup-protocol.md specifies it.

On each hop one side is the client (a caller of an edge proxy, an edge proxy of a server) and the other the
server. A leg is opened by Setup or Resume and closed by exactly one closing message of the server. Durations
are integers in nanoseconds. Tags, and field names given by `rename`, are those on the wire; `answer_name` is
the name of a caller's final answer in counters and records.
"""

from __future__ import annotations

from enum import Enum, auto
from typing import Annotated, Any, ClassVar

from msgspec import Meta, Struct

from valverouter.signalling.framing import MAX_FRAME_SIZE, ProtocolError
from valverouter.signalling.greeting import Count, Hello, Name, Session, Text, message_name

MAX_DURATION = 3_600 * 1_000_000_000
MAX_OPEN_LEGS = 20_000

LegNumber = Annotated[int, Meta(ge=0, le=63)]
Duration = Annotated[int, Meta(ge=0, le=MAX_DURATION)]
LegKey = tuple[str, int]


class Load(
    Struct,
    frozen=True,
    omit_defaults=True,
    rename={"utilization": "util", "queue_length": "queue", "queue_delay": "wait"},
):
    """A server's load report; a value of None is not reported.

    `utilization`: of the processor, from 0 to 1; `queue_length`: queued set-ups; `queue_delay`: nanoseconds.
    """

    utilization: float | None = None
    queue_length: Count | None = None
    free_lines: Count | None = None
    lines: Count | None = None
    queue_delay: Duration | None = None


class LegMessage(Struct, frozen=True, omit_defaults=True):
    """A message on a leg: `dialog` is the id chosen by the caller, `leg` the number of the attempt."""

    dialog: Name
    leg: LegNumber = 0


class Setup(
    LegMessage,
    tag_field="t",
    tag="setup",
    frozen=True,
    kw_only=True,
    rename={
        "time_left": "no_answer",
        "preferred_server_number": "first_choice",
        "was_interrupted": "was_cut",
    },
):
    """Opens a leg. `time_left`: nanoseconds from sending until the caller's no-answer time has passed.

    `preferred_server_number`: the preferred server, -1 for any. `was_interrupted`: the dialog replaces an
    established one that was lost.
    """

    traffic_type: Name
    time_left: Annotated[int, Meta(gt=0, le=MAX_DURATION)]
    preferred_server_number: int = -1
    called_number: Count = 0
    was_interrupted: bool = False


class Cancel(LegMessage, tag_field="t", tag="cancel", frozen=True):
    """Cancels a leg. It may cross any answer; a leg that is established by then is released."""


class Release(LegMessage, tag_field="t", tag="release", frozen=True):
    """Releases an established dialog; answered with Ended."""


class Resume(LegMessage, tag_field="t", tag="resume", frozen=True):
    """Version 2. Requests the state of a leg that was open or established on a lost connection.

    Answered with the current state (Provisional, Established), a repetition of the final answer, or Unknown.
    """


class Persisted(LegMessage, tag_field="t", tag="kept", frozen=True):
    """Version 2, to a server: the client has stored that this leg is established.

    The server then keeps the leg for some time after the connection is lost, so that it can be resumed.
    """


class Provisional(LegMessage, tag_field="t", tag="provisional", frozen=True):
    """The set-up was accepted and is in progress; an edge proxy that sent it must send a final answer."""


class Established(LegMessage, tag_field="t", tag="stands", frozen=True):
    """The dialog is established; `server` is its server's name, given to callers only."""

    answer_name: ClassVar[str] = "stands"

    server: str = ""
    report: Load | None = None


class Ended(LegMessage, tag_field="t", tag="ended", frozen=True):
    """Closes an established leg; `reason` is over, released or cut."""

    reason: Name = "over"
    report: Load | None = None


class LineBusy(LegMessage, tag_field="t", tag="line-busy", frozen=True):
    """Closes a leg: every line of the called number is busy; final for the dialog."""

    report: Load | None = None


class Full(LegMessage, tag_field="t", tag="full", frozen=True, rename={"retry_after": "asked_wait"}):
    """Closes a leg: the server is overloaded; `retry_after`: the minimum delay before this dialog's retry."""

    retry_after: Duration = 0
    report: Load | None = None


class NoAgent(LegMessage, tag_field="t", tag="no-agent", frozen=True):
    """Closes a leg: no line is free at this server."""

    report: Load | None = None


class Fault(LegMessage, tag_field="t", tag="fault", frozen=True):
    """Closes a leg: the server failed during this attempt."""

    text: Text = ""
    report: Load | None = None


class Cancelled(LegMessage, tag_field="t", tag="cancelled", frozen=True):
    """Closes a leg that was cancelled before it was answered."""

    report: Load | None = None


class Rejected(LegMessage, tag_field="t", tag="declined", frozen=True, rename={"retry_after": "come_back"}):
    """Closes a caller's leg: rejected; `retry_after` is the advised delay before a retry, 0 for none."""

    answer_name: ClassVar[str] = "declined"

    retry_after: Duration = 0


class Failed(LegMessage, tag_field="t", tag="aborted", frozen=True):
    """Closes a caller's leg: the dialog failed; `reason` is one of those in the specification."""

    answer_name: ClassVar[str] = "aborted"

    reason: Name = "failed"


class Unknown(LegMessage, tag_field="t", tag="unknown", frozen=True):
    """Version 2. Closes a leg that was to be resumed: the server does not know it."""


class LoadReported(Struct, tag_field="t", tag="reported", frozen=True):
    """A server's unsolicited load report."""

    report: Load


class LegPhase(Enum):
    """The phase of a leg as seen by one side; CLOSING: the client has sent Cancel or Release."""

    OPEN = auto()
    RESUMED = auto()
    ESTABLISHED = auto()
    CLOSING = auto()


CLIENT_MESSAGES = frozenset((Setup, Cancel, Release, Resume, Persisted))
SERVER_CLOSING_MESSAGES = frozenset((Ended, LineBusy, Full, NoAgent, Fault, Cancelled, Unknown))
EDGE_CLOSING_MESSAGES = frozenset((Ended, Rejected, Failed, Unknown))
# Messages that version 1 does not have.
SINCE_VERSION_2 = frozenset((Resume, Persisted, Unknown))
MESSAGE_TYPES = (
    *(Setup, Cancel, Release, Provisional, Established, Ended, LineBusy, Full, NoAgent, Fault, Cancelled),
    *(Rejected, Failed, LoadReported, Resume, Persisted, Unknown),
)


class SetupSession(Session):
    """One connection of the set-up protocol; `legs` has the phase of each open leg by (dialog, leg).

    A leg is removed by its closing message. A Cancel or Release that crosses the closing message finds no leg
    at the server and is ignored there, as the client is being answered. An answer for a leg that is not open,
    however, is a protocol violation by the server.
    """

    def __init__(
        self, hello: Hello | None = None, max_open_legs: int = MAX_OPEN_LEGS, max_size: int = MAX_FRAME_SIZE
    ) -> None:
        super().__init__(MESSAGE_TYPES, hello, max_size)
        self.max_open_legs = max_open_legs
        self.legs: dict[LegKey, LegPhase] = {}
        self._client_is_caller = hello is not None and hello.role == "caller"

    def _on_greeting(self, message: Any) -> None:
        super()._on_greeting(message)
        if isinstance(message, Hello):
            if message.role not in ("caller", "edge"):
                raise ProtocolError("malformed", f"hello: role is {message.role!r}, caller or edge are known")
            self._client_is_caller = message.role == "caller"

    def _check_received(self, message: Any) -> None:
        self._track(message, from_client=not self.is_client, is_sent=False)

    def _check_sent(self, message: Any) -> None:
        self._track(message, from_client=self.is_client, is_sent=True)

    def drop(self, key: LegKey) -> None:
        """Removes a leg whose Setup was withdrawn before it was sent."""
        self.legs.pop(key, None)

    def _track(self, message: Any, from_client: bool, is_sent: bool) -> None:
        """Checks a message against the state of its leg and updates the leg's phase."""
        kind = type(message)
        if (kind in CLIENT_MESSAGES) != from_client:
            raise _out_of_state(f"{message_name(kind)} comes from the other side only")
        if kind in SINCE_VERSION_2 and self.version < 2:
            raise _out_of_state(f"{message_name(kind)} is not in version {self.version}")
        if kind is LoadReported:
            if self._client_is_caller:
                raise _out_of_state("reports are for edge proxies")
            return
        key = (message.dialog, message.leg)
        phase = self.legs.get(key)
        if kind is Setup or kind is Resume:
            self._open(kind, key, phase)
        elif from_client:
            self._on_request(kind, key, phase, is_sent)
        elif phase is None:
            raise _out_of_state(f"{message_name(kind)} for {key}, which is not open")
        elif kind is Provisional or kind is Established:
            self._on_progress(kind, key, phase)
        else:
            self._close(kind, key, phase)

    def _open(self, kind: type[Struct], key: LegKey, phase: LegPhase | None) -> None:
        """Handles Setup and Resume, which open a leg."""
        if phase is not None:
            raise _out_of_state(f"leg {key} is open already")
        if len(self.legs) >= self.max_open_legs:
            raise ProtocolError("too-many", f"{self.max_open_legs} legs are open on this connection")
        self.legs[key] = LegPhase.OPEN if kind is Setup else LegPhase.RESUMED

    def _on_request(self, kind: type[Struct], key: LegKey, phase: LegPhase | None, is_sent: bool) -> None:
        """Handles Cancel, Release and Persisted: a client's messages on a leg that it has opened."""
        if phase is None:
            # A received message may have crossed the closing message.
            if is_sent:
                raise _out_of_state(f"{message_name(kind)} for {key}, which is not open")
        elif kind is not Cancel and phase is not LegPhase.ESTABLISHED:
            # CLOSING does not imply established: after a Cancel, the leg may still be open at the server. A
            # Release would be out of state there and end the connection, with every other dialog on it.
            raise _out_of_state(f"{message_name(kind)} for {key}, which does not stand")
        elif self.is_client and kind is not Persisted:
            # The server keeps the phase, which determines whether Ended or Cancelled closes the leg.
            self.legs[key] = LegPhase.CLOSING

    def _on_progress(self, kind: type[Struct], key: LegKey, phase: LegPhase) -> None:
        """Handles Provisional and Established."""
        if kind is Provisional:
            if phase is LegPhase.ESTABLISHED:
                raise _out_of_state(f"Provisional for {key}, which stands")
            if phase is LegPhase.RESUMED:
                self.legs[key] = LegPhase.OPEN
            return
        if phase is LegPhase.ESTABLISHED:
            raise _out_of_state(f"{key} stands already")
        if phase is not LegPhase.CLOSING:
            self.legs[key] = LegPhase.ESTABLISHED

    def _close(self, kind: type[Struct], key: LegKey, phase: LegPhase) -> None:
        """Handles a closing message: removes the leg."""
        allowed = EDGE_CLOSING_MESSAGES if self._client_is_caller else SERVER_CLOSING_MESSAGES
        if kind not in allowed:
            raise _out_of_state(f"{message_name(kind)} is not used on this hop")
        if kind is Unknown and phase not in (LegPhase.RESUMED, LegPhase.CLOSING):
            raise _out_of_state(f"Unknown for {key}, which was not to be resumed")
        if kind is Ended and phase in (LegPhase.OPEN, LegPhase.RESUMED):
            raise _out_of_state(f"Ended for {key}, which does not stand")
        if kind is not Ended and phase is LegPhase.ESTABLISHED:
            raise _out_of_state(f"{message_name(kind)} for {key}, which stands")
        del self.legs[key]


def _out_of_state(text: str) -> ProtocolError:
    return ProtocolError("out-of-state", text)
