"""The endpoint-list protocol: a snapshot, then numbered changes; docs/setup-protocol.md specifies it.

`Replica` is the client's state, `EndpointRegistry` the service's; neither does I/O. Changes are numbered
consecutively; after a gap or a change of epoch the replica requests one new snapshot.
"""

from __future__ import annotations

from collections import deque
from typing import Any, Literal

from msgspec import Struct

from valverouter.signalling.framing import MAX_FRAME_SIZE, ProtocolError
from valverouter.signalling.greeting import Count, Hello, Name, Session, message_name

HISTORY_LENGTH = 64

ServerPhase = Literal["in-service", "draining", "gone"]


class EndpointRow(Struct, frozen=True, omit_defaults=True):
    """One server. `incarnation` increases with each start; `age`: ns since the start, None for long ago."""

    server: Name
    number: int
    phase: ServerPhase
    address: str = ""
    region: str = ""
    incarnation: int = 0
    age: Count | None = None


class Watch(
    Struct, tag_field="t", tag="watch", frozen=True, omit_defaults=True, rename={"last_number": "have"}
):
    """Requests the changes after `last_number` of `epoch`, or a snapshot if they are not available."""

    epoch: str = ""
    last_number: Count = 0


class Snapshot(Struct, tag_field="t", tag="snapshot", frozen=True):
    """The complete list as of change `number`."""

    epoch: Name
    number: Count
    rows: list[EndpointRow]


class Change(Struct, tag_field="t", tag="change", frozen=True):
    """The rows that changed; those in phase "gone" are removed from the list."""

    epoch: Name
    number: Count
    rows: list[EndpointRow]


class DrainRequest(Struct, tag_field="t", tag="leave", frozen=True):
    """Requests that `server` be listed as draining, under the disruption permit `number`.

    Repeating a request has no further effect. A permit that has ended, or that is older than another one seen
    for the server, is refused.
    """

    server: Name
    number: Count


class DrainEnded(Struct, tag_field="t", tag="returns", frozen=True):
    """The disruption permit `number` has ended: `server` is in service again and the permit is void."""

    server: Name
    number: Count


class DrainReply(
    Struct,
    tag_field="t",
    tag="left",
    frozen=True,
    omit_defaults=True,
    rename={"granted": "given", "refusal": "why"},
):
    """The reply to a DrainRequest or DrainEnded; `refusal` is the reason if it was not granted."""

    server: Name
    number: Count
    granted: bool
    refusal: str = ""


REQUESTS = (Watch, DrainRequest, DrainEnded)


class DrainPermits:
    """The disruption permits seen by the service: per server, the highest number and the highest ended."""

    def __init__(self) -> None:
        self._highest: dict[str, int] = {}
        self._ended: dict[str, int] = {}

    def check(self, request: DrainRequest) -> str:
        """Returns the reason for refusal; empty if the permit is valid, which voids older permits."""
        highest, highest_ended = self._highest.get(request.server, 0), self._ended.get(request.server, 0)
        if not request.number:
            return "no permit's number was given"
        if request.number <= highest_ended:
            return f"permit {request.number} is over"
        if request.number < highest:
            return f"permit {request.number} is older than {highest}, which was seen"
        self._highest[request.server] = request.number
        return ""

    def end(self, ended: DrainEnded) -> None:
        """Records that a permit has ended."""
        self._ended[ended.server] = max(self._ended.get(ended.server, 0), ended.number)


class ListSession(Session):
    """One connection to the endpoint-list service; the client sends requests."""

    def __init__(self, hello: Hello | None = None, max_size: int = MAX_FRAME_SIZE) -> None:
        super().__init__((*REQUESTS, Snapshot, Change, DrainReply), hello, max_size)

    def _check_received(self, message: Any) -> None:
        if isinstance(message, REQUESTS) == self.is_client:
            raise ProtocolError(
                "out-of-state", f"{message_name(type(message))} comes from the other side only"
            )

    def _check_sent(self, message: Any) -> None:
        assert isinstance(message, REQUESTS) == self.is_client


class Replica:
    """The client's copy of the list: `rows` by server, replaced by snapshots, updated by changes."""

    def __init__(self) -> None:
        self.epoch = ""
        self.number = 0
        self.rows: dict[str, EndpointRow] = {}
        self.gap_count = 0
        self._snapshot_requested = True

    def watch(self) -> Watch:
        """The first request on a new connection."""
        self._snapshot_requested = True
        return Watch(self.epoch, self.number)

    def probe(self) -> Watch:
        """A request that a live service must answer even if nothing has changed.

        It requests the last change again, or a snapshot if there was no change.
        """
        return Watch(self.epoch, self.number - 1) if self.number else Watch()

    def on_message(self, message: Snapshot | Change) -> tuple[list[EndpointRow] | None, Watch | None]:
        """Returns the rows to apply (None: nothing new) and the request to send, if any.

        After a gap, only the rows that take servers out of service are applied: these are valid even late or
        out of order.
        """
        if isinstance(message, Snapshot):
            self._snapshot_requested = False
            self.epoch, self.number = message.epoch, message.number
            self.rows = {row.server: row for row in message.rows if row.phase != "gone"}
            return message.rows, None
        if message.epoch == self.epoch and message.number <= self.number:
            return None, None
        if message.epoch == self.epoch and message.number == self.number + 1:
            self._snapshot_requested = False
            self.number = message.number
            self._store(message.rows)
            return message.rows, None
        out_of_service = [row for row in message.rows if row.phase != "in-service"]
        self._store(out_of_service)
        if self._snapshot_requested:
            return out_of_service or None, None
        self.gap_count += 1
        self._snapshot_requested = True
        return out_of_service or None, Watch()

    def _store(self, rows: list[EndpointRow]) -> None:
        for row in rows:
            if row.phase == "gone":
                self.rows.pop(row.server, None)
            else:
                self.rows[row.server] = row


class EndpointRegistry:
    """The service's list: its rows, the number of the last change, and the last HISTORY_LENGTH changes."""

    def __init__(self, epoch: str) -> None:
        self.epoch = epoch
        self.number = 0
        self.rows: dict[str, EndpointRow] = {}
        self._changes: deque[Change] = deque(maxlen=HISTORY_LENGTH)

    def change(self, rows: list[EndpointRow]) -> Change:
        """Applies rows as the next change and returns the change."""
        self.number += 1
        for row in rows:
            if row.phase == "gone":
                self.rows.pop(row.server, None)
            else:
                self.rows[row.server] = row
        self._changes.append(Change(self.epoch, self.number, rows))
        return self._changes[-1]

    def answer(self, watch: Watch) -> list[Snapshot | Change]:
        """Returns the changes that a client has missed, or a snapshot if they are not available."""
        missed = [change for change in self._changes if change.number > watch.last_number]
        known = watch.epoch == self.epoch and watch.last_number <= self.number
        if known and watch.last_number + len(missed) == self.number:
            return list(missed)
        return [Snapshot(self.epoch, self.number, list(self.rows.values()))]
