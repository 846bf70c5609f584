"""The council's record and messages with their types, as a store and datagrams hold them.

`council.py` itself knows nothing of what it agrees on; here it is the fleet's book and its commands.
"""

from __future__ import annotations

from msgspec import Struct

from valverouter.rollout.operations import Book, Command
from valverouter.rollout.raft_log import LogEntry, Members, Snapshot
from valverouter.rollout.raft_messages import Append, Appended, Install, RaftMessage, Vote, Voted


class KeptEntry(Struct, frozen=True, array_like=True):
    term: int
    what: Command | Members | None

    def entry(self) -> LogEntry:
        return LogEntry(self.term, self.what)


class KeptSnapshot(Struct, frozen=True, array_like=True):
    index: int
    term: int
    members: Members
    state: Book

    def snapshot(self) -> Snapshot:
        return Snapshot(self.index, self.term, self.members, self.state)


class SentAppend(Struct, frozen=True, array_like=True, tag="SentAppend"):
    term: int
    name: str
    before: int
    before_term: int
    entries: tuple[KeptEntry, ...]
    agreed: int
    turn: int


class SentInstall(Struct, frozen=True, array_like=True, tag="SentInstall"):
    """Without the number of its round: sent again it is the same words, whose missing pieces follow."""

    term: int
    name: str
    snapshot: KeptSnapshot


WireMessage = Vote | Voted | Appended | SentAppend | SentInstall


def to_stored_entry(entry: LogEntry) -> KeptEntry:
    return KeptEntry(entry.term, entry.command)


def to_stored_snapshot(one: Snapshot) -> KeptSnapshot:
    return KeptSnapshot(one.last_included_index, one.last_included_term, one.configuration, one.state)


def to_wire(message: RaftMessage) -> WireMessage:
    match message:
        case Append(term, name, before, before_term, entries, agreed, turn):
            kept = tuple(to_stored_entry(entry) for entry in entries)
            return SentAppend(term, name, before, before_term, kept, agreed, turn)
        case Install(term, name, snapshot):
            return SentInstall(term, name, to_stored_snapshot(snapshot))
        case _:
            return message


def from_wire(message: WireMessage) -> RaftMessage:
    match message:
        case SentAppend(term, name, before, before_term, entries, agreed, turn):
            own = tuple(one.entry() for one in entries)
            return Append(term, name, before, before_term, own, agreed, turn)
        case SentInstall(term, name, snapshot):
            return Install(term, name, snapshot.snapshot())
        case _:
            return message
