"""The Raft log and the other persistent state of a member.

The names follow the Raft paper (Ongaro and Ousterhout 2014, figure 2): `current_term`, `voted_for` and the
log are the persistent state of a server. Log indexes count from 1; 0 is the empty log before the first entry.

A member is identified by its name *and* a disk id, 64 random bits that are drawn when its store is created. A
member that lost its disk has lost its votes and the entries that it acknowledged, so it must not be mistaken
for the former member.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass, field
from typing import Any

from msgspec import Struct


class Configuration(Struct, frozen=True, tag="Members", rename={"members": "disks"}):
    """The membership of the group, replicated as a log entry: pairs of a member's name and disk id."""

    members: tuple[tuple[str, int], ...]

    @property
    def names(self) -> list[str]:
        """The members' names, in the order in which they joined."""
        return [name for name, _ in self.members]

    def contains(self, name: str, disk_id: int) -> bool:
        """Whether the pair of `name` and `disk_id` is a member."""
        return (name, disk_id) in self.members

    @property
    def quorum_size(self) -> int:
        """The number of members in the smallest majority."""
        return len(self.members) // 2 + 1


@dataclass(frozen=True, slots=True)
class LogEntry:
    """A log entry: a state machine command, a `Configuration`, or None, the no-op of a new leader."""

    term: int
    command: Any


@dataclass(frozen=True, slots=True)
class Snapshot:
    """The state machine's state and the membership after all entries up to `last_included_index`."""

    last_included_index: int
    last_included_term: int
    configuration: Configuration
    state: Any


@dataclass(frozen=True, slots=True)
class SaveTerm:
    """Sets the current term and the candidate voted for in it (empty: none)."""

    term: int
    voted_for: str


@dataclass(frozen=True, slots=True)
class SaveEntries:
    """Replaces all log entries from `first_index` on by `entries`."""

    first_index: int
    entries: tuple[LogEntry, ...]


@dataclass(frozen=True, slots=True)
class SaveSnapshot:
    """Replaces the entries that the snapshot includes by the snapshot."""

    snapshot: Snapshot


# A change of the persistent state. It must be on disk before any message that depends on it is sent.
Save = SaveTerm | SaveEntries | SaveSnapshot


class CompactedError(IndexError):
    """The requested log entry has been replaced by a snapshot."""


@dataclass(slots=True)
class PersistentState:
    """The persistent state of a member, in memory."""

    disk_id: int
    current_term: int = 0
    voted_for: str = ""
    snapshot: Snapshot | None = None
    entries: list[LogEntry] = field(default_factory=list)
    # Cache of `configuration`: searching the log on each access took half of a node's processor time. None:
    # not computed since the log last changed.
    _configuration: Configuration | None = field(default=None, compare=False, repr=False)

    @property
    def first_index(self) -> int:
        """The log index of `entries[0]`."""
        return self.snapshot.last_included_index + 1 if self.snapshot else 1

    @property
    def last_index(self) -> int:
        """The log index of the last entry; 0: the log is empty."""
        return self.first_index + len(self.entries) - 1

    @property
    def last_term(self) -> int:
        """The term of the last entry; 0: the log is empty."""
        return self.term_at(self.last_index) or 0

    def term_at(self, index: int) -> int | None:
        """The term of the entry at `index`; None: it was compacted away, or is not in the log yet.

        Index 0, the empty log, is compacted away like any other index: once a snapshot exists, no entry can
        be appended directly after index 0, and a member with an empty log needs the snapshot.
        """
        if index == 0 and self.snapshot is None:
            return 0
        if self.snapshot is not None and index == self.snapshot.last_included_index:
            return self.snapshot.last_included_term
        if self.first_index <= index <= self.last_index:
            return self.entries[index - self.first_index].term
        return None

    def entry_at(self, index: int) -> LogEntry:
        """The entry at `index`; raises CompactedError if it was compacted away."""
        return self.entries[self._position(index)]

    def entries_from(self, index: int, limit: int | None = None) -> Sequence[LogEntry]:
        """Up to `limit` entries from `index` on; raises CompactedError if `index` was compacted away."""
        start = self._position(index)
        return self.entries[start : None if limit is None else start + limit]

    def _position(self, index: int) -> int:
        """The position in `entries` of the entry at `index`; raises CompactedError if it was compacted away.

        Without this check, a negative position counts from the end of the list, and a member was sent entries
        under wrong indexes.
        """
        if index < self.first_index:
            raise CompactedError(f"entry {index} was compacted away, the log starts at {self.first_index}")
        return index - self.first_index

    @property
    def configuration(self) -> Configuration:
        """The latest membership in the log, committed or not.

        Using it before it is committed is safe: members change one at a time, so any majority of the former
        membership and any majority of the new one have a member in common.
        """
        if self._configuration is None:
            self._configuration = self._configuration_up_to(self.last_index)
        return self._configuration

    def create_snapshot(self, index: int, state: Any) -> Snapshot:
        """Returns a snapshot that includes all entries up to `index`.

        `state` is the state machine's state after that entry.
        """
        term = self.term_at(index)
        assert term is not None
        return Snapshot(index, term, self._configuration_up_to(index), state)

    def _configuration_up_to(self, index: int) -> Configuration:
        entries = self.entries[: index + 1 - self.first_index]
        commands = (entry.command for entry in reversed(entries))
        newest = next((command for command in commands if isinstance(command, Configuration)), None)
        if newest is not None:
            return newest
        return self.snapshot.configuration if self.snapshot else Configuration(())

    def missing_entries(self, prev_index: int, entries: Sequence[LogEntry]) -> SaveEntries | None:
        """The change that stores `entries`, which follow `prev_index`; None: the log has all of them.

        The log is only truncated at the first conflicting entry: a delayed or duplicated request must not
        delete entries that were appended after it was sent.
        """
        for index, entry in enumerate(entries, prev_index + 1):
            if self.term_at(index) != entry.term:
                return SaveEntries(index, tuple(entries[index - prev_index - 1 :]))
        return None

    def apply(self, save: Save) -> None:
        """Applies a change to the state in memory."""
        match save:
            case SaveTerm(term, voted_for):
                self.current_term, self.voted_for = term, voted_for
            case SaveEntries(first_index, entries):
                del self.entries[self._position(first_index) :]
                self.entries += entries
                self._configuration = None
            case SaveSnapshot(snapshot):
                self._apply_snapshot(snapshot)
                self._configuration = None

    def _apply_snapshot(self, snapshot: Snapshot) -> None:
        """Keeps the entries after the snapshot only if the log has the snapshot's last entry, by its term."""
        included_count = snapshot.last_included_index + 1 - self.first_index
        is_prefix = (
            0 < included_count <= len(self.entries)
            and self.entries[included_count - 1].term == snapshot.last_included_term
        )
        self.entries = self.entries[included_count:] if is_prefix else []
        self.snapshot = snapshot
