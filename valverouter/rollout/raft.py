"""One member of a Raft group (Ongaro and Ousterhout 2014), without I/O.

A node is fed with messages, ticks and proposals. It leaves in `pending_saves` what must be on disk, in
`outgoing` what may be sent once it is, and in `committed` the entries that became committed, in order. The
caller writes `pending_saves` first, in one transaction, and sends `outgoing` only then: a vote or an
acknowledgement that was sent and then lost breaks the safety of the group.

Two additions are from Ongaro's thesis. Pre-vote (9.6): a member that was stopped or cut off does not depose a
leader when it wakes. Membership changes of a single member at a time (4.1), not before the leader has
committed an entry of its own term (the later correction). One is our own: a vote counts by its member's
name *and* disk id, see `raft_log`. A member that lost its disk is a new member, which the group must admit in
place of the former one.
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
# An election begins after one to two of these, drawn anew each time, without word from a leader.
ELECTION_TIMEOUT = SECOND
HEARTBEAT_INTERVAL = ELECTION_TIMEOUT // 4
# A leader that no majority has answered for so long can commit nothing, and steps down.
LEADER_CONTACT_TIMEOUT = 2 * ELECTION_TIMEOUT
MAX_ENTRIES_PER_MESSAGE = 16
# So many committed entries are kept in the log before a snapshot replaces them.
COMPACTION_THRESHOLD = 256


class Role(Enum):
    """What a node is in its term. A pre-candidate asks for votes in advance and has begun no term yet."""

    FOLLOWER = "follower"
    PRE_CANDIDATE = "pre-candidate"
    CANDIDATE = "candidate"
    LEADER = "leader"


class RaftNode:
    """One member of the group.

    `committed` holds pairs of index and command; whoever applies them empties it. `capture_state` gives the
    state machine's state for a snapshot, `restore_state` replaces it by a snapshot's. `draw` gives numbers of
    [0, 1). All times are in ns, of any clock that does not go backwards.
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
        """Begins as a follower; a snapshot in `persistent` is restored."""
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
        """The newest membership in the log, committed or not."""
        return self.persistent.configuration

    @property
    def is_member(self) -> bool:
        """Whether the group has this node, with its present disk, as a member."""
        return self.configuration.contains(self.name, self.persistent.disk_id)

    @property
    def round_number(self) -> int:
        """The number of the last broadcast that this node made as a leader."""
        return self._round

    @property
    def confirmed_round(self) -> int:
        """The last round that a majority has answered; 0: none, or no entry of its own term is committed yet.

        The node was the leader when that round began, whatever has happened since. Reads that were requested
        before the round see committed state that was not out of date then (thesis, 6.4).
        """
        if self.role is not Role.LEADER or not self._has_committed_own_term() or not self.is_member:
            return 0
        return self._progress.acknowledged_round(self.configuration, self._round)

    def _has_committed_own_term(self) -> bool:
        return self.persistent.term_at(self.commit_index) == self.persistent.current_term

    # Inputs

    def tick(self, now: int) -> None:
        """Does what is due: a leader's heartbeat, or an election."""
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
        """Takes a message of another member in."""
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
        """Whether this node leads and has appended the command to its log.

        The command is committed once it appears in `committed`, and may be lost before that: its sender
        proposes it again, with an id by which the state machine recognizes it.
        """
        self._now = now
        if self.role is not Role.LEADER:
            return False
        self._append_to_log(command)
        return True

    def change_membership(self, now: int, remove: str, add: tuple[str, int] | None) -> None:
        """Begins to remove a member by name, or to add one by name and disk id.

        Raises MembershipChangeError where the change can't begin now.
        """
        self._now = now
        if self.role is not Role.LEADER:
            raise MembershipChangeError("another leads")
        if not self._has_committed_own_term():
            raise MembershipChangeError("nothing of this leader's own is agreed on yet")
        uncommitted = self.persistent.entries_from(self.commit_index + 1)
        self._append_to_log(changed_configuration(self.configuration, uncommitted, remove, add))

    def compact_log(self) -> None:
        """Replaces committed entries by a snapshot if they are many; `committed` must have been applied."""
        if self.commit_index - self.persistent.first_index + 1 >= self._compaction_threshold:
            snapshot = self.persistent.compacted(self.commit_index, self._capture_state())
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
        self._append_to_log(None)  # former terms' entries can be committed only along with one of its own
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
        """A candidate that asks while a leader is heard was away itself, and must not depose it."""
        if self.role is Role.LEADER and request.pre_vote:
            return True
        return bool(self.leader_id) and self._now - self._leader_contact_at < ELECTION_TIMEOUT

    def _may_vote(self, request: RequestVote) -> bool:
        """One vote a term: for whoever asks first, again and again."""
        is_current = request.term == self.persistent.current_term
        return is_current and self.persistent.voted_for in ("", request.candidate_id)

    def _grant_vote(self, request: RequestVote) -> None:
        if not self.persistent.voted_for:
            self._save(SaveTerm(self.persistent.current_term, request.candidate_id))
        self._reset_election_timer()

    def _respond_to_vote(self, request: RequestVote, granted: bool) -> None:
        # A pre-vote is granted for a term that has not begun; a rejection tells this node's own.
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
        """Begins a new round: every other member gets what its log lacks, or a heartbeat."""
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
        # Else the same request would bring the same response, over and over: the next heartbeat asks again.

    def _advance_commit_index(self) -> None:
        """Commits the last entry of its own term that a majority has on disk, and all before it.

        An entry of a former term is never committed by counting its replicas (the paper's figure 8).
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
            self._become_follower(self.persistent.current_term)  # it has committed its own removal

    # Replication, by a follower

    def _on_append_entries(self, request: AppendEntries) -> None:
        if request.term < self.persistent.current_term:
            self._respond_to_append(request, False, self.last_log_index)
            return
        self._follow_leader(request)
        prev_term = self.persistent.term_at(request.prev_log_index)
        if prev_term is None and request.prev_log_index < self.commit_index:
            # Older than the snapshot: what that includes is committed, and so it is the leader's as well.
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
    """Its term has not begun, unlike that of a rejected one, which is the voter's own.

    Ignoring the rejected ones' terms too, two members asked each other for ever: one with the longer log and
    the lower term, the other the other way round.
    """
    return isinstance(message, RequestVoteResponse) and message.pre_vote and message.vote_granted
