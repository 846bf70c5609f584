"""The messages that Raft members send to each other: the RPCs of the paper, as requests and responses.

Disk ids (see `raft_log`) are sent along where a member's identity counts. `round_number` counts a leader's
broadcasts; a response repeats the number of the request that it answers, which tells the leader that the
member still followed it after that round had begun.
"""

from __future__ import annotations

from msgspec import Struct

from valverouter.rollout.raft_log import LogEntry, Snapshot


class Vote(Struct, frozen=True, array_like=True, tag="Vote"):
    """Asks for a vote in `term`. `ahead`: asks only whether it would be granted, and changes no term."""

    term: int
    name: str
    disk: int
    last: int
    last_term: int
    ahead: bool = False


class Voted(Struct, frozen=True, array_like=True, tag="Voted"):
    """The answer to a request for a vote."""

    term: int
    name: str
    disk: int
    given: bool
    ahead: bool = False


class Append(Struct, frozen=True, array_like=True, tag="Append"):
    """Entries that follow the one at `before`; without entries a heartbeat."""

    term: int
    name: str
    before: int
    before_term: int
    entries: tuple[LogEntry, ...]
    agreed: int
    turn: int = 0


class Appended(Struct, frozen=True, array_like=True, tag="Appended"):
    """The answer to appended entries or a snapshot.

    `has`: where it succeeded, the last index at which the follower's log is known to be the leader's; where
    not, the index to continue from.
    """

    term: int
    name: str
    disk: int
    taken: bool
    has: int
    turn: int = 0


class Install(Struct, frozen=True, array_like=True, tag="Install"):
    """A snapshot in place of entries that the leader has compacted away."""

    term: int
    name: str
    snapshot: Snapshot
    turn: int = 0


RaftMessage = Vote | Voted | Append | Appended | Install
