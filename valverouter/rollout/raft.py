"""One member of a Raft group (Ongaro and Ousterhout 2014), without I/O.

The input of a node is messages, ticks and proposals. Its output is `pending_saves`, changes to write to disk,
`outgoing`, messages to send, and `committed`, newly committed entries in log order. The caller writes
`pending_saves` in one transaction before it sends `outgoing`: sending a vote or an acknowledgement that is
then lost from disk breaks the safety of the group.

Two extensions are from Ongaro's thesis. Pre-vote (9.6): a member that was stopped or partitioned does not
depose a leader when it resumes. Single-member membership changes (4.1), which start only after the leader has
committed an entry of its own term (the later correction). One extension is specific to this implementation: a
vote is counted by its member's name *and* disk id, see `raft_log`. A member that lost its disk is a new
member, which the group must admit in place of the former one.
"""

from __future__ import annotations

from collections.abc import Callable
from enum import Enum
from typing import Any

from valverouter.rollout.raft_log import (
    Configuration,
    LogEntry,
    PersistentState,
    Save,
    SaveEntries,
    SaveSnapshot,
    SaveTerm,
)
from valverouter.rollout.raft_membership import MembershipChangeError, changed_configuration
from valverouter.rollout.raft_messages import (
    AppendEntries,
    AppendEntriesResponse,
    InstallSnapshot,
    RaftMessage,
    RequestVote,
    RequestVoteResponse,
)
from valverouter.rollout.raft_progress import LeaderState

SECOND = 10**9
# Time without contact from a leader before an election, ns; each timeout is drawn from one to two times this.
ELECTION_TIMEOUT = SECOND
HEARTBEAT_INTERVAL = ELECTION_TIMEOUT // 4
# A leader without responses from a majority for this long (ns) can't commit anything, and steps down.
LEADER_CONTACT_TIMEOUT = 2 * ELECTION_TIMEOUT
MAX_ENTRIES_PER_MESSAGE = 16
# Number of committed entries in the log at which a snapshot replaces them.
COMPACTION_THRESHOLD = 256


class Role(Enum):
    """The role of a node in its term. A pre-candidate requests pre-votes and has not started a new term."""

    FOLLOWER = "follower"
    PRE_CANDIDATE = "pre-candidate"
    CANDIDATE = "candidate"
    LEADER = "leader"


class RaftNode:
    """One member of the group.

    `committed` holds pairs of index and command; the caller applies them and clears the list. `capture_state`
    returns the state machine's state for a snapshot, `restore_state` replaces it with that of a snapshot.
    `draw` returns random numbers in [0, 1). All times are ns of a monotonic clock.
    """

    def __init__(
        self,
        name: str,
        persistent: PersistentState,
        draw: Callable[[], float],
        now: int,
        capture_state: Callable[[], Any] = lambda: None,
        restore_state: Callable[[Any], None] = lambda state: None,
        compaction_threshold: int = COMPACTION_THRESHOLD,
    ) -> None:
        """Starts as a follower, and restores the snapshot in `persistent`, if any."""
        self.name = name
        self.persistent = persistent
        self.role = Role.FOLLOWER
        self.leader_id = ""
        self.commit_index = 0
        self.outgoing: list[tuple[str, RaftMessage]] = []
        self.pending_saves: list[Save] = []
        self.committed: list[tuple[int, Any]] = []
        self.next_deadline = 0
        self._draw = draw
        self._capture_state = capture_state
        self._restore_state = restore_state
        self._compaction_threshold = compaction_threshold
        self._now = now
        self._votes: set[str] = set()
        self._progress = LeaderState(name)
        self._round = 0
        self._leader_contact_at = now - ELECTION_TIMEOUT
        if persistent.snapshot:
            self.commit_index = persistent.snapshot.last_included_index
            restore_state(persistent.snapshot.state)
        self._reset_election_timer()

    # Queries

    @property
    def last_log_index(self) -> int:
        """The index of the last log entry, committed or not."""
        return self.persistent.last_index

    @property
    def configuration(self) -> Configuration:
        """The latest membership in the log, committed or not."""
        return self.persistent.configuration

    @property
    def is_member(self) -> bool:
        """Whether this node, with its current disk id, is a member of the group."""
        return self.configuration.contains(self.name, self.persistent.disk_id)

    @property
    def round_number(self) -> int:
        """The number of the last broadcast that this node sent as a leader."""
        return self._round

    @property
    def confirmed_round(self) -> int:
        """The last round that a majority has acknowledged; 0: none, or no entry of its term is committed.

        The node was the leader when that round started, even if it has lost leadership since. A read that was
        requested before the round sees everything that was committed at that time (thesis, 6.4).
        """
        if self.role is not Role.LEADER or not self._has_committed_own_term() or not self.is_member:
            return 0
        return self._progress.acknowledged_round(self.configuration, self._round)

    def _has_committed_own_term(self) -> bool:
        return self.persistent.term_at(self.commit_index) == self.persistent.current_term

    # Inputs

    def tick(self, now: int) -> None:
        """Sends a leader's heartbeat or starts an election if it is due."""
        self._now = now
        if now < self.next_deadline:
            return
        if self.role is Role.LEADER:
            self._on_heartbeat_due()
        elif self.is_member:
            self._start_election(pre_vote=True)
        else:
            self._reset_election_timer()

    def receive(self, now: int, message: RaftMessage) -> None:
        """Processes a message from another member."""
        self._now = now
        if isinstance(message, RequestVote):
            self._on_request_vote(message)
            return
        if message.term > self.persistent.current_term and not _is_granted_pre_vote(message):
            self._become_follower(message.term)
        match message:
            case RequestVoteResponse():
                self._on_vote_response(message)
            case AppendEntries():
                self._on_append_entries(message)
            case InstallSnapshot():
                self._on_install_snapshot(message)
            case AppendEntriesResponse():
                self._on_append_response(message)

    def propose(self, now: int, command: Any) -> bool:
        """Appends the command to the log if this node is the leader; returns whether it did.

        The command is committed once it appears in `committed`, and may be lost before that. The client then
        proposes it again with the same id, by which the state machine detects the duplicate.
        """
        self._now = now
        if self.role is not Role.LEADER:
            return False
        self._append_to_log(command)
        return True

    def change_membership(self, now: int, remove: str, add: tuple[str, int] | None) -> None:
        """Starts to remove a member by name, or to add one by name and disk id.

        Raises MembershipChangeError if the change is invalid or can't start now.
        """
        self._now = now
        if self.role is not Role.LEADER:
            raise MembershipChangeError("another leads")
        if not self._has_committed_own_term():
            raise MembershipChangeError("nothing of this leader's own is agreed on yet")
        uncommitted = self.persistent.entries_from(self.commit_index + 1)
        self._append_to_log(changed_configuration(self.configuration, uncommitted, remove, add))

    def compact_log(self) -> None:
        """Replaces the committed entries by a snapshot at the threshold; all must have been applied."""
        if self.commit_index - self.persistent.first_index + 1 >= self._compaction_threshold:
            snapshot = self.persistent.create_snapshot(self.commit_index, self._capture_state())
            self._save(SaveSnapshot(snapshot))

    def _save(self, save: Save) -> None:
        self.persistent.apply(save)
        self.pending_saves.append(save)

    def _send(self, receiver: str, message: RaftMessage) -> None:
        self.outgoing.append((receiver, message))

    # Elections

    def _reset_election_timer(self) -> None:
        self.next_deadline = self._now + ELECTION_TIMEOUT + int(self._draw() * ELECTION_TIMEOUT)

    def _start_election(self, pre_vote: bool) -> None:
        self._votes = {self.name}
        self.leader_id = ""
        self._reset_election_timer()
        term = self.persistent.current_term + 1
        if pre_vote:
            self.role = Role.PRE_CANDIDATE
        else:
            self.role = Role.CANDIDATE
            self._save(SaveTerm(term, self.name))
        persistent = self.persistent
        request = RequestVote(
            term, self.name, persistent.disk_id, persistent.last_index, persistent.last_term, pre_vote
        )
        for name in self.configuration.names:
            if name != self.name:
                self._send(name, request)
        self._count_votes()

    def _count_votes(self) -> None:
        if len(self._votes) < self.configuration.quorum_size:
            return
        if self.role is Role.PRE_CANDIDATE:
            self._start_election(pre_vote=False)
        elif self.role is Role.CANDIDATE:
            self._become_leader()

    def _become_leader(self) -> None:
        self.role, self.leader_id = Role.LEADER, self.name
        self._progress = LeaderState.begin(self.name, self.configuration, self.last_log_index, self._now)
        # Entries of former terms can only be committed together with one of the current term.
        self._append_to_log(None)
        self.next_deadline = self._now + HEARTBEAT_INTERVAL

    def _become_follower(self, term: int, leader_id: str = "") -> None:
        if term > self.persistent.current_term:
            self._save(SaveTerm(term, ""))
        self.role, self.leader_id = Role.FOLLOWER, leader_id
        self._reset_election_timer()

    def _on_request_vote(self, request: RequestVote) -> None:
        if self._has_live_leader(request):
            self._respond_to_vote(request, False)
            return
        if request.term > self.persistent.current_term and not request.pre_vote:
            self._become_follower(request.term)
        last_entry = (self.persistent.last_term, self.persistent.last_index)
        is_up_to_date = (request.last_log_term, request.last_log_index) >= last_entry
        if request.pre_vote:
            granted = request.term > self.persistent.current_term and is_up_to_date
        else:
            granted = is_up_to_date and self._may_vote(request)
            if granted:
                self._grant_vote(request)
        self._respond_to_vote(request, granted)

    def _has_live_leader(self, request: RequestVote) -> bool:
        """Whether a leader is active: the candidate has lost contact with it and must not depose it."""
        if self.role is Role.LEADER and request.pre_vote:
            return True
        return bool(self.leader_id) and self._now - self._leader_contact_at < ELECTION_TIMEOUT

    def _may_vote(self, request: RequestVote) -> bool:
        """One vote per term, for the first candidate; a repeated request by that one is granted again."""
        is_current = request.term == self.persistent.current_term
        return is_current and self.persistent.voted_for in ("", request.candidate_id)

    def _grant_vote(self, request: RequestVote) -> None:
        if not self.persistent.voted_for:
            self._save(SaveTerm(self.persistent.current_term, request.candidate_id))
        self._reset_election_timer()

    def _respond_to_vote(self, request: RequestVote, granted: bool) -> None:
        # A granted pre-vote repeats the requested term, which has not started; a rejection has this node's.
        term = request.term if request.pre_vote and granted else self.persistent.current_term
        response = RequestVoteResponse(term, self.name, self.persistent.disk_id, granted, request.pre_vote)
        self._send(request.candidate_id, response)

    def _on_vote_response(self, response: RequestVoteResponse) -> None:
        if not response.vote_granted or not self.configuration.contains(response.voter_id, response.disk_id):
            return
        current_term = self.persistent.current_term
        if response.pre_vote:
            is_current = self.role is Role.PRE_CANDIDATE and response.term == current_term + 1
        else:
            is_current = self.role is Role.CANDIDATE and response.term == current_term
        if is_current:
            self._votes.add(response.voter_id)
            self._count_votes()

    # Replication, by the leader

    def _on_heartbeat_due(self) -> None:
        if not self._progress.is_quorum_in_contact(self.configuration, self._now, LEADER_CONTACT_TIMEOUT):
            self._become_follower(self.persistent.current_term)
            return
        self._broadcast()
        self.next_deadline = self._now + HEARTBEAT_INTERVAL

    def _append_to_log(self, command: Any) -> None:
        entry = LogEntry(self.persistent.current_term, command)
        self._save(SaveEntries(self.last_log_index + 1, (entry,)))
        if isinstance(command, Configuration):
            self._progress.change_members(command, self.last_log_index, self._now)
        self._broadcast()
        self._advance_commit_index()

    def _broadcast(self) -> None:
        """Starts a new round: sends each other member its missing entries, or a heartbeat."""
        self._round += 1
        for name in self.configuration.names:
            if name != self.name:
                self._replicate_to(name)

    def _replicate_to(self, name: str) -> None:
        persistent = self.persistent
        next_index = self._progress.followers[name].next_index
        prev_term = persistent.term_at(next_index - 1)
        if prev_term is None:
            assert persistent.snapshot is not None
            self._send(
                name, InstallSnapshot(persistent.current_term, self.name, persistent.snapshot, self._round)
            )
            return
        entries = tuple(persistent.entries_from(next_index, MAX_ENTRIES_PER_MESSAGE))
        request = AppendEntries(
            persistent.current_term,
            self.name,
            next_index - 1,
            prev_term,
            entries,
            self.commit_index,
            self._round,
        )
        self._send(name, request)

    def _on_append_response(self, response: AppendEntriesResponse) -> None:
        if self.role is not Role.LEADER or response.term != self.persistent.current_term:
            return
        if not self.configuration.contains(response.follower_id, response.disk_id):
            return
        follower = self._progress.on_response(response.follower_id, response.round_number, self._now)
        if response.success:
            follower.match_index = max(follower.match_index, response.match_index)
            follower.next_index = max(follower.next_index, response.match_index + 1)
            self._advance_commit_index()
            is_behind = follower.next_index <= self.last_log_index
            if self.role is Role.LEADER and is_behind:
                self._replicate_to(response.follower_id)
        elif follower.rewind(response.match_index):
            self._replicate_to(response.follower_id)
        # Otherwise the same request would get the same response in a loop: the next heartbeat retries.

    def _advance_commit_index(self) -> None:
        """Commits up to the last entry of the current term that a majority has stored.

        An entry of a former term is never committed by counting its replicas (figure 8 of the paper).
        """
        for index in range(self.last_log_index, self.commit_index, -1):
            if self.persistent.term_at(index) != self.persistent.current_term:
                return
            if self._progress.is_replicated(index, self.configuration, self.last_log_index):
                self._commit_up_to(index)
                return

    def _commit_up_to(self, index: int) -> None:
        while self.commit_index < index:
            self.commit_index += 1
            entry = self.persistent.entry_at(self.commit_index)
            self.committed.append((self.commit_index, entry.command))
        if self.role is Role.LEADER and not self.is_member:
            self._become_follower(self.persistent.current_term)  # its own removal is committed

    # Replication, by a follower

    def _on_append_entries(self, request: AppendEntries) -> None:
        if request.term < self.persistent.current_term:
            self._respond_to_append(request, False, self.last_log_index)
            return
        self._follow_leader(request)
        prev_term = self.persistent.term_at(request.prev_log_index)
        if prev_term is None and request.prev_log_index < self.commit_index:
            # Compacted away: the entries in the snapshot are committed, so the leader has the same ones.
            self._respond_to_append(request, True, self.commit_index)
        elif prev_term != request.prev_log_term:
            self._respond_to_append(request, False, min(self.last_log_index, request.prev_log_index - 1))
        else:
            self._append_entries(request)

    def _append_entries(self, request: AppendEntries) -> None:
        save = self.persistent.missing_entries(request.prev_log_index, request.entries)
        if save is not None:
            self._save(save)
        match_index = request.prev_log_index + len(request.entries)
        self._commit_up_to(min(request.leader_commit, match_index))
        self._respond_to_append(request, True, match_index)

    def _on_install_snapshot(self, request: InstallSnapshot) -> None:
        if request.term < self.persistent.current_term:
            self._respond_to_append(request, False, self.last_log_index)
            return
        self._follow_leader(request)
        last_included_index = request.snapshot.last_included_index
        if last_included_index > self.commit_index:
            self._save(SaveSnapshot(request.snapshot))
            self.commit_index = last_included_index
            self.committed.clear()
            self._restore_state(request.snapshot.state)
        self._respond_to_append(request, True, last_included_index)

    def _follow_leader(self, request: AppendEntries | InstallSnapshot) -> None:
        self._leader_contact_at = self._now
        self._become_follower(request.term, request.leader_id)

    def _respond_to_append(self, request: AppendEntries | InstallSnapshot, success: bool, index: int) -> None:
        response = AppendEntriesResponse(
            self.persistent.current_term,
            self.name,
            self.persistent.disk_id,
            success,
            index,
            request.round_number,
        )
        self._send(request.leader_id, response)


def _is_granted_pre_vote(message: RaftMessage) -> bool:
    """Whether the message grants a pre-vote: its term has not started, unlike that of a rejection.

    A rejection has the voter's own term, which must be adopted. When it was ignored, two members rejected
    each other's pre-votes forever: one had the longer log and the lower term, the other the reverse.
    """
    return isinstance(message, RequestVoteResponse) and message.pre_vote and message.vote_granted
