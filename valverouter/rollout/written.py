"""The council's record and messages with their types, as a store and datagrams hold them.

`council.py` itself knows nothing of what it agrees on; here it is the fleet's book and its commands.
"""

from __future__ import annotations

from msgspec import Struct

from valverouter.rollout.council import (
    Append,
    Appended,
    Entry,
    Install,
    Members,
    Message,
    Snapshot,
    Vote,
    Voted,
)
from valverouter.rollout.orders import Book, Command


class KeptEntry(Struct, frozen=True, array_like=True):
    term: int
    what: Command | Members | None

    def entry(self) -> Entry:
        return Entry(self.term, self.what)


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


Sent = Vote | Voted | Appended | SentAppend | SentInstall


def kept_entry(entry: Entry) -> KeptEntry:
    return KeptEntry(entry.term, entry.what)


def kept_snapshot(one: Snapshot) -> KeptSnapshot:
    return KeptSnapshot(one.index, one.term, one.members, one.state)


def sent(message: Message) -> Sent:
    match message:
        case Append(term, name, before, before_term, entries, agreed, turn):
            kept = tuple(kept_entry(entry) for entry in entries)
            return SentAppend(term, name, before, before_term, kept, agreed, turn)
        case Install(term, name, snapshot):
            return SentInstall(term, name, kept_snapshot(snapshot))
        case _:
            return message


def heard(message: Sent) -> Message:
    match message:
        case SentAppend(term, name, before, before_term, entries, agreed, turn):
            own = tuple(one.entry() for one in entries)
            return Append(term, name, before, before_term, own, agreed, turn)
        case SentInstall(term, name, snapshot):
            return Install(term, name, snapshot.snapshot())
        case _:
            return message
