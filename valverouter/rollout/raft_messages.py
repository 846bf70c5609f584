"""The messages that Raft members send to each other: the RPCs of the paper, as requests and responses.

Disk ids (see `raft_log`) are sent along where a member's identity counts. `round_number` counts a leader's
broadcasts; a response repeats the number of the request that it answers, which tells the leader that the
member still followed it after that round had begun.
"""

from __future__ import annotations

from msgspec import Struct

from valverouter.rollout.raft_log import LogEntry, Snapshot


class RequestVote(Struct, frozen=True, array_like=True, tag="Vote"):
    """Asks for a vote in `term`; with `pre_vote` only whether it would be granted, which begins no term."""

    term: int
    candidate_id: str
    disk_id: int
    last_log_index: int
    last_log_term: int
    pre_vote: bool = False


class RequestVoteResponse(Struct, frozen=True, array_like=True, tag="Voted"):
    """The answer to a request for a vote."""

    term: int
    voter_id: str
    disk_id: int
    vote_granted: bool
    pre_vote: bool = False


class AppendEntries(Struct, frozen=True, array_like=True, tag="Append"):
    """Entries that follow the one at `prev_log_index`; without entries a heartbeat."""

    term: int
    leader_id: str
    prev_log_index: int
    prev_log_term: int
    entries: tuple[LogEntry, ...]
    leader_commit: int
    round_number: int = 0


class AppendEntriesResponse(Struct, frozen=True, array_like=True, tag="Appended"):
    """The answer to appended entries or a snapshot.

    `match_index`: where it succeeded, the last index at which the follower's log is known to be the leader's;
    where not, the index before the one to continue from.
    """

    term: int
    follower_id: str
    disk_id: int
    success: bool
    match_index: int
    round_number: int = 0


class InstallSnapshot(Struct, frozen=True, array_like=True, tag="Install"):
    """A snapshot in place of entries that the leader has compacted away."""

    term: int
    leader_id: str
    snapshot: Snapshot
    round_number: int = 0


RaftMessage = RequestVote | RequestVoteResponse | AppendEntries | AppendEntriesResponse | InstallSnapshot
