"""What seats, keepers and tools say to each other, as MessagePack in parcels."""

from __future__ import annotations

import msgspec
from msgspec import Struct

from valverouter.rollout.keeping import Report
from valverouter.rollout.orders import Command, Want
from valverouter.rollout.written import Sent


class RaftEnvelope(Struct, frozen=True, array_like=True, tag="v"):
    """A council's message to seat `to`."""

    recipient: str
    message: Sent


class NodeAnnouncement(Struct, frozen=True, array_like=True, tag="h"):
    """A seat with its disk."""

    name: str
    disk_id: int


class ReportMessage(Struct, frozen=True, array_like=True, tag="r"):
    """A keeper's report. `to`: the life of the seat whose `stamp` is given back; both 0: none yet."""

    report: Report
    incarnation: int = 0
    stamp: int = 0


class DesiredStateMessage(Struct, frozen=True, array_like=True, tag="w"):
    """To a keeper, of its instance `name`; `life`: of the seat that says it."""

    node: str
    name: str
    incarnation: int
    stamp: int
    desired: Want
    is_open: bool


class ClientRequest(Struct, frozen=True, array_like=True, tag="q"):
    """A tool's. `what`: plan, do, show. `command`: an order, a stop; None where it only looks."""

    nonce: int
    kind: str
    command: Command | None = None
    # Of the answer's part that the tool is given, where it looks.
    operation: str = ""


class ClientResponse(Struct, frozen=True, array_like=True, tag="t"):
    """To a tool. `leads`: whether the seat that answers does, else whom it takes for the leader; only a
    leader's `body` holds."""

    nonce: int
    node: str
    is_leader: bool
    leader: str = ""
    body: msgspec.Raw = msgspec.Raw(b"\xc0")


ControlMessage = (
    RaftEnvelope | NodeAnnouncement | ReportMessage | DesiredStateMessage | ClientRequest | ClientResponse
)

encoder = msgspec.msgpack.Encoder()
decoder: msgspec.msgpack.Decoder[ControlMessage] = msgspec.msgpack.Decoder(ControlMessage)
