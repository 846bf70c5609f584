"""One member of the council: a replicated record by Raft as published (Ongaro, Ousterhout 2014), without I/O.

Fed with messages, ticks and proposals; leaves in `saves` what must be durable, in `out` what may leave
once it is, and in `decided` what the majority has agreed on, in order. Whoever carries it writes `saves`
first, in one commit, and sends `out` only then: a vote or an entry that was told and lost is what breaks
agreement.

Taken from Ongaro's thesis beside it: votes are asked for in advance, so that one that was stopped or cut off
does not depose a leader when it wakes (9.6); members change one at a time, not before the leader has
agreed on an entry of its own term (4.1, and its later correction). Our own: a vote counts by its member's
name **and its disk**, 64 bits drawn when the disk was empty. A member that lost its disk has forgotten
what it voted and told; it comes back as another, which the council must first let in, in place of the
former.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from enum import Enum
from typing import Any

from msgspec import Struct

SECOND = 10**9
# An election begins between one and two of these without word of a leader; a leader speaks four times in one.
PATIENCE = SECOND
# Entries in one message, and entries kept behind the last agreed one before a snapshot takes their place.
ENTRIES_MOST = 16
KEPT = 256


class Part(Enum):
    FOLLOWER = "follower"
    ASKING = "asking"
    CANDIDATE = "candidate"
    LEADER = "leader"


class Members(Struct, frozen=True, tag="Members"):
    """Who the council is, as an entry of its record: names with their disks."""

    disks: tuple[tuple[str, int], ...]

    def has(self, name: str, disk: int) -> bool:
        return (name, disk) in self.disks

    @property
    def majority(self) -> int:
        return len(self.disks) // 2 + 1


@dataclass(frozen=True, slots=True)
class Entry:
    """`what`: a command of the machine, Members, or None: a leader's first word."""

    term: int
    what: Any


@dataclass(frozen=True, slots=True)
class Snapshot:
    """All up to `index`: the machine's state, and who the council was then."""

    index: int
    term: int
    members: Members
    state: Any


# What must be durable


@dataclass(frozen=True, slots=True)
class SaveTerm:
    term: int
    voted: str


@dataclass(frozen=True, slots=True)
class SaveEntries:
    """Entries from `first` on take the place of whatever stood there and behind."""

    first: int
    entries: tuple[Entry, ...]


@dataclass(frozen=True, slots=True)
class SaveSnapshot:
    snapshot: Snapshot


Save = SaveTerm | SaveEntries | SaveSnapshot


@dataclass(slots=True)
class Durable:
    """What a disk holds. `apply` is how a store reads its saves back."""

    disk: int
    term: int = 0
    voted: str = ""
    snapshot: Snapshot | None = None
    entries: list[Entry] = field(default_factory=list)

    @property
    def first(self) -> int:
        """The index of entries[0]."""
        return self.snapshot.index + 1 if self.snapshot else 1

    def apply(self, save: Save) -> None:
        match save:
            case SaveTerm(term, voted):
                self.term, self.voted = term, voted
            case SaveEntries(first, entries):
                del self.entries[first - self.first :]
                self.entries += entries
            case SaveSnapshot(snapshot):
                gone = snapshot.index + 1 - self.first
                same = 0 < gone <= len(self.entries) and self.entries[gone - 1].term == snapshot.term
                self.entries = self.entries[gone:] if same else []
                self.snapshot = snapshot


# What is said


class Vote(Struct, frozen=True, array_like=True, tag="Vote"):
    """`ahead`: would you, before any term is changed."""

    term: int
    name: str
    disk: int
    last: int
    last_term: int
    ahead: bool = False


class Voted(Struct, frozen=True, array_like=True, tag="Voted"):
    term: int
    name: str
    disk: int
    given: bool
    ahead: bool = False


class Append(Struct, frozen=True, array_like=True, tag="Append"):
    term: int
    name: str
    before: int
    before_term: int
    entries: tuple[Entry, ...]
    agreed: int
    # Counts a leader's rounds: an answer tells which one it is to.
    turn: int = 0


class Appended(Struct, frozen=True, array_like=True, tag="Appended"):
    """`has`: the last index that is the leader's as well; where not `taken`, from where to try again."""

    term: int
    name: str
    disk: int
    taken: bool
    has: int
    turn: int = 0


class Install(Struct, frozen=True, array_like=True, tag="Install"):
    term: int
    name: str
    snapshot: Snapshot
    turn: int = 0


Message = Vote | Voted | Append | Appended | Install


class Councillor:
    """One member. `decided`: (index, what) of entries newly agreed on; emptied by whoever applies them.

    `state` gives the machine's state for a snapshot, `install` takes one.
    """

    def __init__(
        self,
        name: str,
        durable: Durable,
        draw: Callable[[], float],
        now: int,
        state: Callable[[], Any] = lambda: None,
        install: Callable[[Any], None] = lambda state: None,
    ) -> None:
        self.name = name
        self.durable = durable
        self.part = Part.FOLLOWER
        self.leader = ""
        self.out: list[tuple[str, Message]] = []
        self.saves: list[Save] = []
        self.decided: list[tuple[int, Any]] = []
        self._draw = draw
        self._state = state
        self._install = install
        self._now = now
        self._agreed = durable.snapshot.index if durable.snapshot else 0
        if durable.snapshot:
            install(durable.snapshot.state)
        self._votes: set[str] = set()
        self._next: dict[str, int] = {}
        self._has: dict[str, int] = {}
        self._answered: dict[str, int] = {}
        self._turn = 0
        self._acked: dict[str, int] = {}
        self._members: Members | None = None
        self._heard_at = now - PATIENCE
        self.due = 0
        self._rest()

    # The record

    @property
    def last(self) -> int:
        return self.durable.first + len(self.durable.entries) - 1

    @property
    def agreed(self) -> int:
        return self._agreed

    def term_at(self, index: int) -> int | None:
        """None: not here any more, or not yet."""
        first, snapshot = self.durable.first, self.durable.snapshot
        if index == 0:
            return 0
        if snapshot is not None and index == snapshot.index:
            return snapshot.term
        if first <= index <= self.last:
            return self.durable.entries[index - first].term
        return None

    @property
    def members(self) -> Members:
        """The newest in the record, agreed on or not: one change at a time makes any two majorities meet."""
        if self._members is None:
            whole = self.durable.snapshot.members if self.durable.snapshot else Members(())
            newest = (one.what for one in reversed(self.durable.entries) if isinstance(one.what, Members))
            self._members = next(newest, whole)
        return self._members

    @property
    def is_member(self) -> bool:
        return self.members.has(self.name, self.durable.disk)

    def _save(self, save: Save) -> None:
        if not isinstance(save, SaveTerm):
            self._members = None  # going through the record at each question was half of a seat's work
        self.durable.apply(save)
        self.saves.append(save)

    # Time

    def tick(self, now: int) -> None:
        self._now = now
        if now < self.due:
            return
        if self.part is Part.LEADER:
            if self._is_deserted():
                self._follow(self.durable.term)
                return
            self._round()
            self.due = now + PATIENCE // 4
        elif self.is_member:
            self._asks(ahead=True)
        else:
            self._rest()

    def _rest(self) -> None:
        self.due = self._now + PATIENCE + int(self._draw() * PATIENCE)

    def _is_deserted(self) -> bool:
        """No majority has answered for two patiences: it can decide nothing, and should not pass for one."""
        self._answered[self.name] = self._now
        lately = [n for n, _ in self.members.disks if self._now - self._answered.get(n, 0) < 2 * PATIENCE]
        return len(lately) < self.members.majority

    # Whether it still leads

    @property
    def round(self) -> int:
        """The number of its last round, as a leader."""
        return self._turn

    @property
    def confirmed(self) -> int:
        """The last round that a majority has answered: it led when that began, whatever has come since. What
        it says of the record to those who asked before then was not out of date when they asked (6.4). 0:
        none, or nothing of its own is agreed on yet."""
        if self.part is not Part.LEADER or self.term_at(self._agreed) != self.durable.term:
            return 0
        acked = [
            self._turn if name == self.name else self._acked.get(name, 0) for name, _ in self.members.disks
        ]
        return sorted(acked, reverse=True)[self.members.majority - 1] if self.is_member else 0

    # Elections

    def _asks(self, ahead: bool) -> None:
        term = self.durable.term + 1
        self._votes = {self.name}
        self.leader = ""
        self._rest()
        if ahead:
            self.part = Part.ASKING
        else:
            self.part = Part.CANDIDATE
            self._save(SaveTerm(term, self.name))
        last_term = self.term_at(self.last) or 0
        vote = Vote(term, self.name, self.durable.disk, self.last, last_term, ahead)
        for name, _ in self.members.disks:
            if name != self.name:
                self.out.append((name, vote))
        self._count()

    def _count(self) -> None:
        if len(self._votes) < self.members.majority:
            return
        if self.part is Part.ASKING:
            self._asks(ahead=False)
        elif self.part is Part.CANDIDATE:
            self._leads()

    def _leads(self) -> None:
        self.part, self.leader = Part.LEADER, self.name
        names = [name for name, _ in self.members.disks]
        self._next = {name: self.last + 1 for name in names}
        self._has = {name: 0 for name in names}
        self._answered = {name: self._now for name in names}
        self._acked = {}
        self._add(None)
        self.due = self._now + PATIENCE // 4

    def _follow(self, term: int, leader: str = "") -> None:
        if term > self.durable.term:
            self._save(SaveTerm(term, ""))
        self.part, self.leader = Part.FOLLOWER, leader
        self._rest()

    # Proposals

    def propose(self, now: int, what: Any) -> bool:
        """Whether this member leads and has put it into its record. It is decided when `decided` says so,
        and may yet be lost: whoever asked asks again by its id."""
        self._now = now
        if self.part is not Part.LEADER:
            return False
        self._add(what)
        return True

    def replace(self, now: int, leaves: str, comes: tuple[str, int] | None) -> str:
        """One member for another, or out, or in: empty where it is on its way, else why not."""
        self._now = now
        if self.part is not Part.LEADER:
            return "another leads"
        if self.term_at(self._agreed) != self.durable.term:
            return "nothing of this leader's own is agreed on yet"
        if any(isinstance(entry.what, Members) for entry in self._open()):
            return "another change is under way"
        present = self.members.disks
        if leaves and comes:
            return "one change at a time: first in, then out"
        if leaves:
            after = tuple(one for one in present if one[0] != leaves)
        else:
            assert comes is not None
            if any(name == comes[0] for name, _ in present):
                return f"{comes[0]} is a member, with another disk: it must go first"
            after = (*present, comes)
        if after == present or not after:
            return "that changes nothing" if after == present else "the last member stays"
        self._add(Members(after))
        return ""

    def _open(self) -> Sequence[Entry]:
        return self.durable.entries[self._agreed + 1 - self.durable.first :]

    def _add(self, what: Any) -> None:
        entry = Entry(self.durable.term, what)
        self._save(SaveEntries(self.last + 1, (entry,)))
        if isinstance(what, Members):
            names = {name for name, _ in what.disks}
            for table in (self._next, self._has, self._answered, self._acked):
                for name in table.keys() - names:
                    # Kept, what its former disk held would count as held by the one that takes its place.
                    del table[name]
            for name in names - self._next.keys():
                self._next[name], self._has[name], self._answered[name] = self.last, 0, self._now
        self._round()
        self._agree()

    # What a leader tells

    def _round(self) -> None:
        self._turn += 1
        for name, _ in self.members.disks:
            if name != self.name:
                self._tell(name)

    def _tell(self, name: str) -> None:
        before = self._next[name] - 1
        before_term = self.term_at(before)
        snapshot = self.durable.snapshot
        if before_term is None:
            assert snapshot is not None
            self.out.append((name, Install(self.durable.term, self.name, snapshot, self._turn)))
            return
        at = before + 1 - self.durable.first
        entries = tuple(self.durable.entries[at : at + ENTRIES_MOST])
        append = Append(self.durable.term, self.name, before, before_term, entries, self._agreed, self._turn)
        self.out.append((name, append))

    def _agree(self) -> None:
        """What a majority has on disk, and is of this term, is agreed on, with all before it."""
        for index in range(self.last, self._agreed, -1):
            if self.term_at(index) != self.durable.term:
                return
            having = sum(
                index <= (self.last if name == self.name else self._has.get(name, 0))
                for name, _ in self.members.disks
            )
            if having >= self.members.majority:
                self._decide(index)
                return

    def _decide(self, index: int) -> None:
        while self._agreed < index:
            self._agreed += 1
            entry = self.durable.entries[self._agreed - self.durable.first]
            self.decided.append((self._agreed, entry.what))
        if self.part is Part.LEADER and not self.is_member:
            self._follow(self.durable.term)  # it has agreed on its own going

    def compact(self) -> None:
        """Once `decided` is applied: a snapshot takes the place of what is agreed on, if that is much."""
        if self._agreed - self.durable.first + 1 < KEPT:
            return
        members = self.durable.snapshot.members if self.durable.snapshot else Members(())
        for entry in self.durable.entries[: self._agreed + 1 - self.durable.first]:
            members = entry.what if isinstance(entry.what, Members) else members
        term = self.term_at(self._agreed)
        assert term is not None
        self._save(SaveSnapshot(Snapshot(self._agreed, term, members, self._state())))

    # What is heard

    def heard(self, now: int, message: Message) -> None:
        self._now = now
        if isinstance(message, Vote):
            self._asked(message)
            return
        # The term of a vote given ahead is not begun yet; that of one refused is the other's own. Passed over
        # too, one with the longer record and the lower term asked for ever, and so did the other.
        if message.term > self.durable.term and not (
            isinstance(message, Voted) and message.ahead and message.given
        ):
            self._follow(message.term)
        match message:
            case Voted():
                self._voted(message)
            case Append():
                self._append(message)
            case Install():
                self._take(message)
            case Appended():
                self._appended(message)

    def _asked(self, vote: Vote) -> None:
        # A leader was heard of late: whoever asks was away itself, and must not depose it.
        sticks = self.part is Part.LEADER and vote.ahead
        if sticks or (self._now - self._heard_at < PATIENCE and self.leader):
            self._answer_vote(vote, False)
            return
        if vote.term > self.durable.term and not vote.ahead:
            self._follow(vote.term)
        last_term = self.term_at(self.last) or 0
        newer = (vote.last_term, vote.last) >= (last_term, self.last)
        if vote.ahead:
            self._answer_vote(vote, vote.term > self.durable.term and newer)
            return
        given = vote.term == self.durable.term and newer and self.durable.voted in ("", vote.name)
        if given and not self.durable.voted:
            self._save(SaveTerm(self.durable.term, vote.name))
        if given:
            self._rest()
        self._answer_vote(vote, given)

    def _answer_vote(self, vote: Vote, given: bool) -> None:
        term = vote.term if vote.ahead and given else self.durable.term
        self.out.append((vote.name, Voted(term, self.name, self.durable.disk, given, vote.ahead)))

    def _voted(self, voted: Voted) -> None:
        if not voted.given or not self.members.has(voted.name, voted.disk):
            return
        asking = self.part is Part.ASKING and voted.ahead and voted.term == self.durable.term + 1
        standing = self.part is Part.CANDIDATE and not voted.ahead and voted.term == self.durable.term
        if asking or standing:
            self._votes.add(voted.name)
            self._count()

    def _append(self, append: Append) -> None:
        if append.term < self.durable.term:
            self._appends(append.name, False, self.last, append.turn)
            return
        self._heard_at = self._now
        self._follow(append.term, append.name)
        here = self.term_at(append.before)
        if append.before < self._agreed and here is None:
            # Older than the snapshot: what it had then is agreed on, and so the same.
            self._appends(append.name, True, self._agreed, append.turn)
            return
        if here != append.before_term:
            self._appends(append.name, False, min(self.last, append.before - 1), append.turn)
            return
        for at, entry in enumerate(append.entries, append.before + 1):
            if self.term_at(at) != entry.term:
                rest = append.entries[at - append.before - 1 :]
                self._save(SaveEntries(at, rest))
                break
        has = append.before + len(append.entries)
        if min(append.agreed, has) > self._agreed:
            self._decide(min(append.agreed, has))
        self._appends(append.name, True, has, append.turn)

    def _appends(self, to: str, taken: bool, has: int, turn: int) -> None:
        said = Appended(self.durable.term, self.name, self.durable.disk, taken, has, turn)
        self.out.append((to, said))

    def _take(self, install: Install) -> None:
        if install.term < self.durable.term:
            self._appends(install.name, False, self.last, install.turn)
            return
        self._heard_at = self._now
        self._follow(install.term, install.name)
        if install.snapshot.index > self._agreed:
            self._save(SaveSnapshot(install.snapshot))
            self._agreed = install.snapshot.index
            self.decided.clear()
            self._install(install.snapshot.state)
        self._appends(install.name, True, install.snapshot.index, install.turn)

    def _appended(self, said: Appended) -> None:
        if self.part is not Part.LEADER or said.term != self.durable.term:
            return
        if not self.members.has(said.name, said.disk):
            return
        self._answered[said.name] = self._now
        self._acked[said.name] = max(self._acked.get(said.name, 0), said.turn)
        if said.taken:
            self._has[said.name] = max(self._has[said.name], said.has)
            self._next[said.name] = max(self._next[said.name], said.has + 1)
            self._agree()
            if self.part is Part.LEADER and self._next[said.name] <= self.last:
                self._tell(said.name)
        else:
            self._next[said.name] = max(1, min(self._next[said.name] - 1, said.has + 1))
            self._tell(said.name)
