"""Messages between raft servers, supervisors and operators' clients, sent as fragmented MessagePack.

All are arrays on the wire: the tags and the order of the fields are part of the protocol.
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
    """A raft message to the node named `recipient`."""

    recipient: str
    message: WireMessage


class NodeAnnouncement(Struct, frozen=True, array_like=True, tag="h"):
    """A raft server tells the others its name and the id of its disk."""

    name: str
    disk_id: int


class ReportMessage(Struct, frozen=True, array_like=True, tag="r"):
    """A supervisor's report to one raft server.

    `stamp` and `incarnation` are those of the last DesiredStateMessage from that server; both are 0 where
    there was none.
    """

    report: SupervisorReport
    incarnation: int = 0
    stamp: int = 0


class DesiredStateMessage(Struct, frozen=True, array_like=True, tag="w"):
    """To a supervisor: the desired state of its instance `name`, from the raft server `node`.

    `incarnation` and `stamp` (the server's clock, ns) order the messages of one server; `is_open`: the permit
    of that step is still held.
    """

    node: str
    name: str
    incarnation: int
    stamp: int
    desired: DesiredState
    is_open: bool


class RequestKind(StrEnum):
    """What a client asks for; the values are sent."""

    PLAN = "plan"
    EXECUTE = "do"
    SHOW = "show"


class ClientRequest(Struct, frozen=True, array_like=True, tag="q"):
    """An operators' client to the control plane. `kind` is a RequestKind.

    `command` is None for SHOW; `operation` then names the operation of which details are wanted.
    """

    nonce: int
    kind: str
    command: Command | None = None
    operation: str = ""


class ClientResponse(Struct, frozen=True, array_like=True, tag="t"):
    """The reply to the ClientRequest of the same nonce.

    Only the leader's `body` holds an answer, as MessagePack; any other node names the one that it takes for
    the `leader`.
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
