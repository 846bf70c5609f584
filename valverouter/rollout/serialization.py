"""Serializable types of the Raft log and messages, for stores and datagrams.

`raft.py` is independent of the type of the commands that it replicates. Here they are commands of the
operation log, which is the replicated state machine.
"""

from __future__ import annotations

from msgspec import Struct

from valverouter.rollout.operation_log import OperationLog
from valverouter.rollout.operations import Command
from valverouter.rollout.raft_log import Configuration, LogEntry, Snapshot
from valverouter.rollout.raft_messages import (
    AppendEntries,
    AppendEntriesResponse,
    InstallSnapshot,
    RaftMessage,
    RequestVote,
    RequestVoteResponse,
)


class StoredEntry(Struct, frozen=True, array_like=True):
    """A `LogEntry` of the operation log."""

    term: int
    command: Command | Configuration | None

    def to_log_entry(self) -> LogEntry:
        """Converts to the Raft node's type."""
        return LogEntry(self.term, self.command)


class StoredSnapshot(Struct, frozen=True, array_like=True):
    """A `Snapshot` of the operation log."""

    last_included_index: int
    last_included_term: int
    configuration: Configuration
    state: OperationLog

    def to_snapshot(self) -> Snapshot:
        """Converts to the Raft node's type."""
        return Snapshot(self.last_included_index, self.last_included_term, self.configuration, self.state)


class WireAppendEntries(Struct, frozen=True, array_like=True, tag="SentAppend"):
    """An `AppendEntries` with entries of the operation log."""

    term: int
    leader_id: str
    prev_log_index: int
    prev_log_term: int
    entries: tuple[StoredEntry, ...]
    leader_commit: int
    round_number: int


class WireInstallSnapshot(Struct, frozen=True, array_like=True, tag="SentInstall"):
    """An `InstallSnapshot` of the operation log.

    It has no round number, so that a repeated message is identical byte by byte, and fragments that were lost
    the first time can be completed from the next one.
    """

    term: int
    leader_id: str
    snapshot: StoredSnapshot


WireMessage = (
    RequestVote | RequestVoteResponse | AppendEntriesResponse | WireAppendEntries | WireInstallSnapshot
)


def to_stored_entry(entry: LogEntry) -> StoredEntry:
    """Converts an entry for a store or datagram."""
    return StoredEntry(entry.term, entry.command)


def to_stored_snapshot(snapshot: Snapshot) -> StoredSnapshot:
    """Converts a snapshot for a store or datagram."""
    return StoredSnapshot(
        snapshot.last_included_index, snapshot.last_included_term, snapshot.configuration, snapshot.state
    )


def to_wire(message: RaftMessage) -> WireMessage:
    """Converts a message for a datagram."""
    match message:
        case AppendEntries():
            return WireAppendEntries(
                message.term,
                message.leader_id,
                message.prev_log_index,
                message.prev_log_term,
                tuple(to_stored_entry(entry) for entry in message.entries),
                message.leader_commit,
                message.round_number,
            )
        case InstallSnapshot():
            return WireInstallSnapshot(message.term, message.leader_id, to_stored_snapshot(message.snapshot))
        case _:
            return message


def from_wire(message: WireMessage) -> RaftMessage:
    """Converts a message from a datagram to the Raft node's type."""
    match message:
        case WireAppendEntries():
            return AppendEntries(
                message.term,
                message.leader_id,
                message.prev_log_index,
                message.prev_log_term,
                tuple(entry.to_log_entry() for entry in message.entries),
                message.leader_commit,
                message.round_number,
            )
        case WireInstallSnapshot():
            return InstallSnapshot(message.term, message.leader_id, message.snapshot.to_snapshot())
        case _:
            return message
