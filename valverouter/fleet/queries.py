"""Messages by which an instance is queried: clients ask for its membership view, its supervisor for counters.

A client holds the fleet's key without being a member: its messages have an empty name, and nothing that it
sends enters any view.
"""

from __future__ import annotations

import msgspec
from msgspec import Struct

from valverouter.membership.messages import FleetMessage
from valverouter.membership.records import MemberState
from valverouter.rollout.reports import InstanceCounters

# Bytes of a row's fields other than its texts, at most.
FIXED_ROW_BYTES = 64


class ViewQuery(FleetMessage, frozen=True, array_like=True, tag="?"):
    """Asks for page `page` of the receiver's membership view."""

    nonce: int = 0
    page: int = 0


class CountersQuery(FleetMessage, frozen=True, array_like=True, tag="c"):
    """Asks for what the receiver has counted since its start; sent by an instance's supervisor."""

    nonce: int = 0


class CountersReply(FleetMessage, frozen=True, array_like=True, tag="C"):
    """The reply to the CountersQuery of the same nonce."""

    nonce: int = 0
    counters: InstanceCounters = InstanceCounters()


class MemberRow(Struct, frozen=True, array_like=True):
    """A member as the answering instance sees it; it has been in `state` for `since_ms` milliseconds."""

    name: str
    region: str
    place: int
    address: str
    generation: int
    incarnation: int
    state: MemberState
    since_ms: int
    version: str
    config_digest: str
    phase: int
    name_conflict: bool

    @property
    def size(self) -> int:
        """Bytes that the row takes in a message at most."""
        texts = (self.name, self.region, self.address, self.version)
        return FIXED_ROW_BYTES + sum(len(text.encode()) for text in texts)


class ViewPage(FleetMessage, frozen=True, array_like=True, tag="!"):
    """One page of a view, the reply to the ViewQuery of the same nonce.

    `counts`, on the first page alone: events and dropped datagrams since the instance's start, by kind.
    """

    nonce: int = 0
    page: int = 0
    page_count: int = 1
    view_health: str = ""
    counts: dict[str, int] = msgspec.field(default_factory=dict)
    rows: tuple[MemberRow, ...] = ()
