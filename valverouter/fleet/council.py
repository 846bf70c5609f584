"""A seat of the council as a process: what `rollout/control_plane_node.py` decides, carried.

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
from valverouter.ledger.raft_store import RaftStore
from valverouter.rollout.control_plane_node import ControlPlaneNode, DesiredStateReply
from valverouter.rollout.disruption_limits import DisruptionLimits, InstanceKind
from valverouter.rollout.disruption_permits import HaltDisruptions
from valverouter.rollout.operations import Cancel, Command, OperationLog, Retire, Submit
from valverouter.rollout.orchestrator import OrchestratorConfig
from valverouter.rollout.raft_log import Configuration, LogEntry, PersistentState, SaveEntries
from valverouter.rollout.raft_membership import MembershipChangeError
from valverouter.rollout.sequential_test import SequentialTestConfig
from valverouter.rollout.serialization import from_wire as from_sent
from valverouter.rollout.serialization import to_wire
from valverouter.rollout.status import fleet_status
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


def rules_of(terms: SeatTerms) -> OrchestratorConfig:
    """The seat's terms in the words of the decisions."""
    limits = {
        InstanceKind.EDGE if sort == "edge proxies" else InstanceKind.SERVER: DisruptionLimits(
            one.most, one.in_region, one.by_region, one.least_capacity, one.least_processor
        )
        for sort, one in terms.limits.items()
    }
    told = terms.evidence
    return OrchestratorConfig(
        limits,
        away_after=terms.silent,
        unreachable_after=terms.not_reached,
        max_unsettled=terms.unsettled,
        min_evaluation=told.watch,
        max_unexpected_exits=told.ends,
        sequential_test=SequentialTestConfig(told.false_halt, told.missed, told.odds, told.least),
    )


class NotFoundedError(RuntimeError):
    """The council was founded already, or its store holds something."""


class SeatTask:
    """One seat. `found`: the first of a new council, which lets the others in."""

    def __init__(self, terms: SeatTerms, surroundings: Surroundings, store: RaftStore, found: bool) -> None:
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
        self.seat = ControlPlaneNode(terms.name, durable, rules_of(terms), self._draw, self._now())
        # Words that wait for what stands behind them to be on disk.
        self._words: list[tuple[str, Any]] = []

    def _draw(self) -> float:
        self._draws += 1
        return zlib.crc32(b"%d/%d" % (self._life, self._draws)) / 2**32

    def _now(self) -> int:
        return round(trio.current_time() * 1e9)

    async def run(self, task_status: trio.TaskStatus[str] = trio.TASK_STATUS_IGNORED) -> None:
        """Until cancelled; OSError where the address can't be had, LedgerError where the disk fails: a seat
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
        return self.seat.raft.persistent.disk_id

    def _leave(self, post: Post) -> None:
        """On disk first, then words."""
        if self.seat.saves:
            self._store.commit(self.seat.saves)
            self.seat.saves.clear()
        out = list(self.seat.out)
        self.seat.out.clear()
        for to, message in out:
            if (address := self._terms.council.get(to)) is not None:
                post.send(address, Votes(to, to_wire(message)))
        words, self._words = self._words, []
        for address, word in words:
            post.send(address, word)

    def _hear(self, word: Any, source: str) -> None:
        now = self._now()
        match word:
            case Votes(to, message):
                if to == self._terms.name:
                    self.seat.on_message(now, from_sent(message))
            case Here(name, disk):
                if name in self._terms.council:
                    self._disks[name] = disk
            case Reported(report, to, stamp):
                since = stamp if to == self._life else -(10**18)
                self.seat.on_report(now, report, since, lambda said: self._word(source, said))
            case Asks():
                self._asked(source, word)

    def _word(self, address: str, said: DesiredStateReply) -> None:
        self._words.append(
            (
                address,
                Worded(self._terms.name, said.instance, self._life, said.stamp, said.desired, said.is_open),
            )
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
        one = self.seat.raft
        if not self.seat.is_leader or not self._disks:
            return
        present = dict(one.configuration.members)
        for name, disk in self._disks.items():
            if present.get(name) == disk:
                continue
            try:
                if name in present:
                    one.change_membership(self._now(), name, None)
                else:
                    one.change_membership(self._now(), "", (name, disk))
            except MembershipChangeError:
                return
            self._log.warning("council-changes", seat_named=name, disk=f"{disk:016x}")
            return

    # Tools

    def _asked(self, source: str, asks: Asks) -> None:
        """A leader answers with what holds; anybody else says who leads, as far as it knows."""
        if not self.seat.is_leader:
            self._words.append((source, Tells(asks.nonce, self._terms.name, False, self.seat.leader)))
            return
        now, command = self._now(), asks.command
        if asks.what == "do" and isinstance(command, Submit | Cancel | HaltDisruptions | Retire):
            self._do(source, asks, command)
        elif asks.what == "plan" and isinstance(command, Submit):
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
                self._proposed[asks.nonce] = self.seat.raft.last_log_index
                if len(self._proposed) > PROPOSED_MOST:
                    del self._proposed[next(iter(self._proposed))]
        elif self.seat.applied_index >= index:
            answer: Any = {"done": True}
            if isinstance(command, Submit):
                answer = self.seat.answers.get(command.operation_id)
            if answer is not None:
                self.seat.read(now, lambda book: self._tells(source, asks, answer))

    def _shows(self, source: str, asks: Asks, book: OperationLog) -> None:
        """The same words to the same question, however often it is asked: a fleet's worth of them goes in
        many pieces, and those that were lost could not be filled from other words."""
        if asks.nonce not in self._shown:
            self._shown[asks.nonce] = msgspec.msgpack.encode(
                fleet_status(book, self.seat, self._now(), asks.about)
            )
            if len(self._shown) > SHOWN_MOST:
                del self._shown[next(iter(self._shown))]
        self._tells(source, asks, msgspec.Raw(self._shown[asks.nonce]))

    def _tells(self, source: str, asks: Asks, body: Any) -> None:
        raw = msgspec.Raw(msgspec.msgpack.encode(body))
        self._words.append((source, Tells(asks.nonce, self._terms.name, True, self._terms.name, raw)))

    # The log

    def _tell(self) -> None:
        if self.seat.is_leader != self._was_leader:
            self._was_leader = self.seat.is_leader
            self._proposed.clear()
            term = self.seat.raft.persistent.current_term
            self._log.info("council-leads" if self._was_leader else "council-follows", term=term)
        orders = self.seat.operation_log.operations
        for gone in [id_ for id_ in self._told if id_ not in orders]:
            del self._told[gone]
        for order in orders.values():
            said = f"{order.phase.value} {order.wave_index} {order.result} {order.halt_reason}"
            if self._told.get(order.id) != said:
                self._told[order.id] = said
                level = self._log.warning if order.halt_reason else self._log.info
                level(
                    "order",
                    order=order.id,
                    kind=order.kind.value,
                    phase=order.phase.value,
                    wave=order.wave_index,
                    result=order.result,
                    why=order.halt_reason,
                    **{f"members_{step.replace(' ', '_')}": n for step, n in order.status_counts.items()},
                )


def _found(name: str, durable: PersistentState, store: RaftStore) -> None:
    if durable.entries or durable.snapshot or durable.current_term:
        raise NotFoundedError(f"{store.path} holds a record: this council was founded before")
    save = SaveEntries(1, (LogEntry(1, Configuration(((name, durable.disk_id),))),))
    durable.apply(save)
    store.commit([save])
