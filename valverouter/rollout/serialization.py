"""The council's record and messages with their types, as a store and datagrams hold them.

`council.py` itself knows nothing of what it agrees on; here it is the fleet's book and its commands.
"""

from __future__ import annotations

from msgspec import Struct

from valverouter.rollout.operations import Command, OperationLog
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
    term: int
    command: Command | Configuration | None

    def to_log_entry(self) -> LogEntry:
        return LogEntry(self.term, self.command)


class StoredSnapshot(Struct, frozen=True, array_like=True):
    last_included_index: int
    last_included_term: int
    configuration: Configuration
    state: OperationLog

    def to_snapshot(self) -> Snapshot:
        return Snapshot(self.last_included_index, self.last_included_term, self.configuration, self.state)


class WireAppendEntries(Struct, frozen=True, array_like=True, tag="SentAppend"):
    term: int
    leader_id: str
    prev_log_index: int
    prev_log_term: int
    entries: tuple[StoredEntry, ...]
    leader_commit: int
    round_number: int


class WireInstallSnapshot(Struct, frozen=True, array_like=True, tag="SentInstall"):
    """Without the number of its round: sent again it is the same words, whose missing pieces follow."""

    term: int
    leader_id: str
    snapshot: StoredSnapshot


WireMessage = (
    RequestVote | RequestVoteResponse | AppendEntriesResponse | WireAppendEntries | WireInstallSnapshot
)


def to_stored_entry(entry: LogEntry) -> StoredEntry:
    return StoredEntry(entry.term, entry.command)


def to_stored_snapshot(one: Snapshot) -> StoredSnapshot:
    return StoredSnapshot(one.last_included_index, one.last_included_term, one.configuration, one.state)


def to_wire(message: RaftMessage) -> WireMessage:
    match message:
        case AppendEntries(term, name, before, before_term, entries, agreed, turn):
            kept = tuple(to_stored_entry(entry) for entry in entries)
            return WireAppendEntries(term, name, before, before_term, kept, agreed, turn)
        case InstallSnapshot(term, name, snapshot):
            return WireInstallSnapshot(term, name, to_stored_snapshot(snapshot))
        case _:
            return message


def from_wire(message: WireMessage) -> RaftMessage:
    match message:
        case WireAppendEntries(term, name, before, before_term, entries, agreed, turn):
            own = tuple(one.to_log_entry() for one in entries)
            return AppendEntries(term, name, before, before_term, own, agreed, turn)
        case WireInstallSnapshot(term, name, snapshot):
            return InstallSnapshot(term, name, snapshot.to_snapshot())
        case _:
            return message
