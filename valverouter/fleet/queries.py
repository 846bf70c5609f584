"""Query messages to an instance: clients query its membership view, its supervisor queries its counters.

Clients and supervisors have the fleet's key without being members: their messages have an empty name and
don't affect any view.
"""

from __future__ import annotations

import msgspec
from msgspec import Struct

from valverouter.membership.messages import FleetMessage
from valverouter.membership.records import MemberState
from valverouter.rollout.reports import InstanceCounters

# Maximum encoded size of a row's fields other than its texts.
FIXED_ROW_BYTES = 64


class ViewQuery(FleetMessage, frozen=True, array_like=True, tag="?"):
    """Requests page `page` of the receiver's membership view."""

    nonce: int = 0
    page: int = 0


class CountersQuery(FleetMessage, frozen=True, array_like=True, tag="c"):
    """Requests the receiver's counters since its start; sent by an instance's supervisor."""

    nonce: int = 0


class CountersReply(FleetMessage, frozen=True, array_like=True, tag="C"):
    """The reply to the CountersQuery with the same nonce."""

    nonce: int = 0
    counters: InstanceCounters = InstanceCounters()


class MemberRow(Struct, frozen=True, array_like=True):
    """A member in the replying instance's view; it has been in `state` for `since_ms` milliseconds."""

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
        """Returns the maximum encoded size of the row in bytes."""
        texts = (self.name, self.region, self.address, self.version)
        return FIXED_ROW_BYTES + sum(len(text.encode()) for text in texts)


class ViewPage(FleetMessage, frozen=True, array_like=True, tag="!"):
    """One page of a membership view; the reply to the ViewQuery with the same nonce.

    `counts`, only on the first page: events and dropped datagrams since the instance's start, by kind.
    """

    nonce: int = 0
    page: int = 0
    page_count: int = 1
    view_health: str = ""
    counts: dict[str, int] = msgspec.field(default_factory=dict)
    rows: tuple[MemberRow, ...] = ()
