"""A seat of the council as a process: what `rollout/seat.py` decides, carried.

What a seat promises is on its disk before any word of it leaves. A seat that is no member yet, or has lost
its disk, tells the others who it is, and the one who leads lets it in.
"""

from __future__ import annotations

import secrets
import zlib
from typing import Any

import msgspec
import structlog
import trio

from valverouter.edge.surroundings import Surroundings
from valverouter.fleet.post import Post
from valverouter.fleet.words import Asks, Here, Reported, Tells, Votes, Worded
from valverouter.ledger.councilstore import CouncilStore
from valverouter.rollout.conducting import Rules
from valverouter.rollout.council import Durable, Entry, Members, SaveEntries
from valverouter.rollout.evidence import Rule
from valverouter.rollout.limits import Limits, Sort
from valverouter.rollout.orders import Book, Command, Place, Retire, Stop
from valverouter.rollout.permits import Halt
from valverouter.rollout.seat import Seat, Word
from valverouter.rollout.shown import shown
from valverouter.rollout.written import heard as from_sent
from valverouter.rollout.written import sent
from valverouter.terms.rollout import SeatTerms

# The longest sleep.
LOOK_S = 0.05
# Words taken in one go before what is due is done.
BATCH = 64
HERE_S = 1.0
# Tools' questions that are remembered.
PROPOSED_MOST = 1_024
SHOWN_MOST = 16

log = structlog.get_logger()


def rules_of(terms: SeatTerms) -> Rules:
    """The seat's terms in the words of the decisions."""
    limits = {
        Sort.EDGE if sort == "edge proxies" else Sort.SERVER: Limits(
            one.most, one.in_region, one.by_region, one.least_capacity, one.least_processor
        )
        for sort, one in terms.limits.items()
    }
    told = terms.evidence
    return Rules(
        limits,
        silent=terms.silent,
        not_reached=terms.not_reached,
        unsettled=terms.unsettled,
        watch_least=told.watch,
        ends=told.ends,
        evidence=Rule(told.false_halt, told.missed, told.odds, told.least),
    )


class NotFoundedError(RuntimeError):
    """The council was founded already, or its store holds something."""


class SeatTask:
    """One seat. `found`: the first of a new council, which lets the others in."""

    def __init__(
        self, terms: SeatTerms, surroundings: Surroundings, store: CouncilStore, found: bool
    ) -> None:
        self._terms = terms
        self._surroundings = surroundings
        self._store = store
        self._life = secrets.randbits(63)
        self._draws = 0
        self._here_at = float("-inf")
        # Names of the seats by the disks that they told of last.
        self._disks: dict[str, int] = {}
        self._was_leader = False
        # What was told of each order last, for the log.
        self._told: dict[str, str] = {}
        # What tools were shown, by the question.
        self._shown: dict[int, bytes] = {}
        # Where in the record tools' commands stand, by the question; of this time in office.
        self._proposed: dict[int, int] = {}
        durable = store.load()
        if found:
            _found(terms.name, durable, store)
        self._log = log.bind(seat=terms.name)
        self.seat = Seat(terms.name, durable, rules_of(terms), self._draw, self._now())
        # Words that wait for what stands behind them to be on disk.
        self._words: list[tuple[str, Any]] = []

    def _draw(self) -> float:
        self._draws += 1
        return zlib.crc32(b"%d/%d" % (self._life, self._draws)) / 2**32

    def _now(self) -> int:
        return round(trio.current_time() * 1e9)

    async def run(self, task_status: trio.TaskStatus[str] = trio.TASK_STATUS_IGNORED) -> None:
        """Until cancelled; OSError where the address can't be had, StoreError where the disk fails: a seat
        that can't keep what it promises must not stay."""
        socket = self._surroundings.datagrams(self._terms.listen)
        try:
            post = Post(socket, self._terms.keys, self._terms.name, self._life)
            self._log.info("seat-listening", address=post.address, disk=f"{self._disk:016x}")
            task_status.started(post.address)
            while True:
                with trio.move_on_after(LOOK_S):
                    await socket.readable()
                await self._surroundings.turn()
                for _ in range(BATCH):
                    came = post.take()
                    if came is None:
                        break
                    self._hear(*came)
                    self._leave(post)
                self.seat.tick(self._now())
                self._mend()
                self._leave(post)
                self._say_here(post)
                self._tell()
        finally:
            socket.close()

    @property
    def _disk(self) -> int:
        return self.seat.councillor.durable.disk

    def _leave(self, post: Post) -> None:
        """On disk first, then words."""
        if self.seat.saves:
            self._store.commit(self.seat.saves)
            self.seat.saves.clear()
        out = list(self.seat.out)
        self.seat.out.clear()
        for to, message in out:
            if (address := self._terms.council.get(to)) is not None:
                post.send(address, Votes(to, sent(message)))
        words, self._words = self._words, []
        for address, word in words:
            post.send(address, word)

    def _hear(self, word: Any, source: str) -> None:
        now = self._now()
        match word:
            case Votes(to, message):
                if to == self._terms.name:
                    self.seat.heard(now, from_sent(message))
            case Here(name, disk):
                if name in self._terms.council:
                    self._disks[name] = disk
            case Reported(report, to, stamp):
                since = stamp if to == self._life else -(10**18)
                self.seat.report(now, report, since, lambda said: self._word(source, said))
            case Asks():
                self._asked(source, word)

    def _word(self, address: str, said: Word) -> None:
        self._words.append(
            (address, Worded(self._terms.name, said.name, self._life, said.stamp, said.want, said.is_open))
        )

    # The council's own membership

    def _say_here(self, post: Post) -> None:
        if trio.current_time() - self._here_at < HERE_S:
            return
        self._here_at = trio.current_time()
        here = Here(self._terms.name, self._disk)
        for name, address in self._terms.council.items():
            if name != self._terms.name:
                post.send(address, here)

    def _mend(self) -> None:
        """Lets in who is named in the terms, under the disk that it tells of; a former disk goes first."""
        one = self.seat.councillor
        if not self.seat.leads or not self._disks:
            return
        present = dict(one.members.disks)
        for name, disk in self._disks.items():
            if name not in present:
                why = one.replace(self._now(), "", (name, disk))
            elif present[name] != disk:
                why = one.replace(self._now(), name, None)
            else:
                continue
            if not why:
                self._log.warning("council-changes", seat_named=name, disk=f"{disk:016x}")
            return

    # Tools

    def _asked(self, source: str, asks: Asks) -> None:
        """A leader answers with what holds; anybody else says who leads, as far as it knows."""
        if not self.seat.leads:
            self._words.append((source, Tells(asks.nonce, self._terms.name, False, self.seat.leader)))
            return
        now, command = self._now(), asks.command
        if asks.what == "do" and isinstance(command, Place | Stop | Halt | Retire):
            self._do(source, asks, command)
        elif asks.what == "plan" and isinstance(command, Place):
            place = command
            self.seat.read(now, lambda book: self._tells(source, asks, book.plan(place)))
        elif asks.what == "show":
            self.seat.read(now, lambda book: self._shows(source, asks, book))

    def _do(self, source: str, asks: Asks, command: Command) -> None:
        """Put into the record once for each question, and answered once the record holds it. A question of
        its own is put there again, though it may be the same order: what refused it then may be over."""
        now = self._now()
        index = self._proposed.get(asks.nonce)
        if index is None:
            if self.seat.propose(now, command):
                self._proposed[asks.nonce] = self.seat.councillor.last
                if len(self._proposed) > PROPOSED_MOST:
                    del self._proposed[next(iter(self._proposed))]
        elif self.seat.applied >= index:
            answer: Any = {"done": True}
            if isinstance(command, Place):
                answer = self.seat.answers.get(command.id)
            if answer is not None:
                self.seat.read(now, lambda book: self._tells(source, asks, answer))

    def _shows(self, source: str, asks: Asks, book: Book) -> None:
        """The same words to the same question, however often it is asked: a fleet's worth of them goes in
        many pieces, and those that were lost could not be filled from other words."""
        if asks.nonce not in self._shown:
            self._shown[asks.nonce] = msgspec.msgpack.encode(shown(book, self.seat, self._now(), asks.about))
            if len(self._shown) > SHOWN_MOST:
                del self._shown[next(iter(self._shown))]
        self._tells(source, asks, msgspec.Raw(self._shown[asks.nonce]))

    def _tells(self, source: str, asks: Asks, body: Any) -> None:
        raw = msgspec.Raw(msgspec.msgpack.encode(body))
        self._words.append((source, Tells(asks.nonce, self._terms.name, True, self._terms.name, raw)))

    # The log

    def _tell(self) -> None:
        if self.seat.leads != self._was_leader:
            self._was_leader = self.seat.leads
            self._proposed.clear()
            term = self.seat.councillor.durable.term
            self._log.info("council-leads" if self._was_leader else "council-follows", term=term)
        orders = self.seat.book.orders
        for gone in [id_ for id_ in self._told if id_ not in orders]:
            del self._told[gone]
        for order in orders.values():
            said = f"{order.phase.value} {order.wave} {order.result} {order.why}"
            if self._told.get(order.id) != said:
                self._told[order.id] = said
                level = self._log.warning if order.why else self._log.info
                level(
                    "order",
                    order=order.id,
                    kind=order.kind.value,
                    phase=order.phase.value,
                    wave=order.wave,
                    result=order.result,
                    why=order.why,
                    **{f"members_{step.replace(' ', '_')}": n for step, n in order.counts.items()},
                )


def _found(name: str, durable: Durable, store: CouncilStore) -> None:
    if durable.entries or durable.snapshot or durable.term:
        raise NotFoundedError(f"{store.path} holds a record: this council was founded before")
    save = SaveEntries(1, (Entry(1, Members(((name, durable.disk),))),))
    durable.apply(save)
    store.commit([save])
