"""Messages between raft servers, supervisors and operators' clients, sent as fragmented MessagePack.

All are arrays on the wire; tags and field order are part of the protocol.
"""

from __future__ import annotations

from enum import StrEnum

import msgspec
from msgspec import Struct

from valverouter.rollout.operations import Command, DesiredState
from valverouter.rollout.reports import SupervisorReport
from valverouter.rollout.serialization import WireMessage

NIL = msgspec.Raw(b"\xc0")


class RaftEnvelope(Struct, frozen=True, array_like=True, tag="v"):
    """A raft message for the node named `recipient`."""

    recipient: str
    message: WireMessage


class NodeAnnouncement(Struct, frozen=True, array_like=True, tag="h"):
    """The name and the disk id of a raft server, sent to the other raft servers."""

    name: str
    disk_id: int


class ReportMessage(Struct, frozen=True, array_like=True, tag="r"):
    """A supervisor's report to one raft server.

    `incarnation` and `stamp` are copied from the last DesiredStateMessage of that server; both are 0 if none
    has been received.
    """

    report: SupervisorReport
    incarnation: int = 0
    stamp: int = 0


class DesiredStateMessage(Struct, frozen=True, array_like=True, tag="w"):
    """The desired state of the instance `name`, sent to its supervisor by the raft server `node`.

    `incarnation` and `stamp` (the server's clock, ns) order the messages of one server. `is_open`: whether
    the permit of that step is still valid.
    """

    node: str
    name: str
    incarnation: int
    stamp: int
    desired: DesiredState
    is_open: bool


class RequestKind(StrEnum):
    """The kinds of client requests; the values are sent."""

    PLAN = "plan"
    EXECUTE = "do"
    SHOW = "show"


class ClientRequest(Struct, frozen=True, array_like=True, tag="q"):
    """A request of an operators' client to the control plane. `kind` is a RequestKind.

    `command` is None for SHOW; `operation` is then the id of the operation to show in detail.
    """

    nonce: int
    kind: str
    command: Command | None = None
    operation: str = ""


class ClientResponse(Struct, frozen=True, array_like=True, tag="t"):
    """The response to the ClientRequest with the same nonce.

    Only the leader sends an answer, as MessagePack in `body`; any other node sets `leader` to the leader
    that it knows of.
    """

    nonce: int
    node: str
    is_leader: bool
    leader: str = ""
    body: msgspec.Raw = NIL


ControlMessage = (
    RaftEnvelope | NodeAnnouncement | ReportMessage | DesiredStateMessage | ClientRequest | ClientResponse
)

encoder = msgspec.msgpack.Encoder()
decoder: msgspec.msgpack.Decoder[ControlMessage] = msgspec.msgpack.Decoder(ControlMessage)
