"""The messages between Raft members: the RPCs of the paper, as requests and responses.

Messages that identify a member by its disk carry a disk id (see `raft_log`). `round_number` counts a leader's
broadcasts; a response repeats the number of its request, which shows the leader that the member still
followed it after that round had started.
"""

from __future__ import annotations

from msgspec import Struct

from valverouter.rollout.raft_log import LogEntry, Snapshot


class RequestVote(Struct, frozen=True, array_like=True, tag="Vote"):
    """Requests a vote in `term`; `pre_vote` only asks whether it would be granted, and starts no term."""

    term: int
    candidate_id: str
    disk_id: int
    last_log_index: int
    last_log_term: int
    pre_vote: bool = False


class RequestVoteResponse(Struct, frozen=True, array_like=True, tag="Voted"):
    """The response to `RequestVote`."""

    term: int
    voter_id: str
    disk_id: int
    vote_granted: bool
    pre_vote: bool = False


class AppendEntries(Struct, frozen=True, array_like=True, tag="Append"):
    """Entries that follow the one at `prev_log_index`; a heartbeat if there are none."""

    term: int
    leader_id: str
    prev_log_index: int
    prev_log_term: int
    entries: tuple[LogEntry, ...]
    leader_commit: int
    round_number: int = 0


class AppendEntriesResponse(Struct, frozen=True, array_like=True, tag="Appended"):
    """The response to `AppendEntries` and `InstallSnapshot`.

    `match_index`: on success, the last index at which the follower's log is known to match the leader's;
    otherwise the index after which the leader should retry.
    """

    term: int
    follower_id: str
    disk_id: int
    success: bool
    match_index: int
    round_number: int = 0


class InstallSnapshot(Struct, frozen=True, array_like=True, tag="Install"):
    """A snapshot, sent in place of entries that the leader has compacted away."""

    term: int
    leader_id: str
    snapshot: Snapshot
    round_number: int = 0


RaftMessage = RequestVote | RequestVoteResponse | AppendEntries | AppendEntriesResponse | InstallSnapshot
