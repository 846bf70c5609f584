"""A keeper as a process: what `rollout/keeping.py` decides about one instance, carried out.

It starts the instance's program by version, asks it for its counts, tells the council's seats, and does what
the one who leads has been agreed to want. It needs no privileges, and knows of its program only the command.
"""

from __future__ import annotations

import os
import secrets
import signal
import subprocess
from contextlib import suppress
from pathlib import Path
from typing import Any

import msgspec
import structlog
import trio

from valverouter.edge.surroundings import READ, Datagrams, Surroundings
from valverouter.fleet.authentication import Authenticator, DatagramReader
from valverouter.fleet.membership_service import VERSION_VARIABLE
from valverouter.fleet.messages import DesiredStateMessage, ReportMessage
from valverouter.fleet.queries import CountersQuery, CountersReply
from valverouter.fleet.transport import Transport
from valverouter.ledger.keeperstore import KeeperStore
from valverouter.rollout.keeping import Counts, Do, Facts, Keeping, Memory
from valverouter.rollout.limits import Sort
from valverouter.rollout.orders import Want
from valverouter.signalling.framing import ProtocolError
from valverouter.signalling.greeting import NEWEST, OLDEST, Hello, Welcome
from valverouter.signalling.serverlist import Leave, Left, ListSession, Returns
from valverouter.terms.rollout import KeeperTerms

# Between two reports, and two questions to the instance.
REPORT_S = 0.5
ASK_S = 0.25
LOOK_S = 0.05
# An instance that has not answered for so long serves nobody, as far as is known here.
ANSWER_S = 2.0
# Of the list service, and before it is asked again.
LIST_ANSWERS_S, LIST_AGAIN_S = 2.0, 0.5

PAGE = os.sysconf("SC_PAGE_SIZE")

log = structlog.get_logger()


class ManagedProcess:
    """A program that runs, started by this keeper or by its former self: waited for by a descriptor of the
    process, since of another's child there is no other news."""

    def __init__(self, pid: int) -> None:
        self.pid = pid
        self.identity = f"{pid} {_born(pid)}"
        self._descriptor = os.pidfd_open(pid)

    @classmethod
    def attach(cls, pid: int) -> ManagedProcess | None:
        """The process of that number, if there is one."""
        with suppress(OSError):
            return cls(pid)
        return None

    @classmethod
    def reattach(cls, mark: str) -> ManagedProcess | None:
        """The process of that mark, if it still runs: a number alone may be another's by now."""
        pid, _, born = mark.partition(" ")
        if not pid.isdigit() or not born or _born(int(pid)) != born:
            return None
        with suppress(OSError):
            return cls(int(pid))
        return None

    @property
    def resident_bytes(self) -> int:
        """Bytes that it holds in memory; 0 where that can't be read."""
        try:
            return int(Path(f"/proc/{self.pid}/statm").read_text("ascii").split()[1]) * PAGE
        except (OSError, IndexError, ValueError):
            return 0

    def signal(self, number: signal.Signals) -> None:
        with suppress(OSError):
            signal.pidfd_send_signal(self._descriptor, number)

    async def wait(self) -> None:
        await trio.lowlevel.wait_readable(self._descriptor)

    def close(self) -> None:
        if self._descriptor >= 0:
            os.close(self._descriptor)
            self._descriptor = -1


def _born(pid: int) -> str:
    """When a process began, in ticks since the boot; empty where there is none, or it has ended and waits
    for somebody to hear of it."""
    try:
        told = Path(f"/proc/{pid}/stat").read_text("ascii", "replace").rpartition(")")[2].split()
    except OSError:
        return ""
    return told[19] if told[0] not in "ZX" else ""


class SupervisorService:
    """One keeper. `memory`: what its store held; None: nothing."""

    def __init__(
        self, terms: KeeperTerms, surroundings: Surroundings, store: KeeperStore, memory: Memory | None
    ) -> None:
        facts = Facts(
            terms.name,
            Sort.SERVER if terms.is_server else Sort.EDGE,
            terms.region,
            terms.capacity,
            terms.processor,
            tuple(sorted(terms.commands)),
        )
        self.supervisor = Keeping(facts, memory or Memory(terms.version))
        self._terms = terms
        self._surroundings = surroundings
        self._store = store
        self._fresh = memory is None
        self._life = secrets.randbits(63)
        self._log = log.bind(keeper=terms.name)
        self._process: ManagedProcess | None = None
        # Those of ours are reaped.
        self._children: dict[int, subprocess.Popen[bytes]] = {}
        # By seat: the life and the stamp of its last word.
        self._stamps: dict[str, tuple[int, int]] = {}
        self._report_at = self._ask_at = float("-inf")
        self._answered_at = float("-inf")
        self._nonce = 0
        self._heard_council = False
        self._nursery: trio.Nursery | None = None
        self._told = ""

    def _now(self) -> int:
        return round(trio.current_time() * 1e9)

    async def run(self, task_status: trio.TaskStatus[str] = trio.TASK_STATUS_IGNORED) -> None:
        """Until told to leave, and then until its program has ended; OSError where the address can't be
        had."""
        socket = self._surroundings.datagrams(self._terms.listen)
        asking = self._surroundings.datagrams(_beside(self._terms.asks)) if self._terms.asks else None
        try:
            post = Transport(socket, self._terms.keys, self._terms.name, self._life)
            seal = Authenticator(self._terms.keys)
            opener = DatagramReader(seal)
            self._log.info("keeper-listening", address=post.address)
            task_status.started(post.address)
            await self._hears_first(post)
            if self._fresh and asking is not None:
                await self._finds(asking, seal, opener)
            async with trio.open_nursery() as self._nursery:
                self._takes_over()
                while True:
                    with trio.move_on_after(LOOK_S):
                        await socket.readable()
                    await self._surroundings.turn()
                    self._hear(post)
                    if asking is not None:
                        self._ask(asking, seal, opener)
                    self._act()
                    self._report(post)
                    if self.supervisor.leaving and not self.supervisor.runs:
                        self._report_at = float("-inf")
                        self._report(post)
                        self._nursery.cancel_scope.cancel()
                        return
        finally:
            socket.close()
            if asking is not None:
                asking.close()

    def shut_down(self) -> None:
        """The machine asks it to go: its program is asked to end, and the council hears of it."""
        self.supervisor.leave()

    async def _hears_first(self, post: Transport) -> None:
        """One that has no memory asks what is wanted before it starts anything: what it starts by its own
        terms may be a version that was taken back. A council that does not answer holds nobody up for
        long."""
        if not self._fresh:
            return
        with trio.move_on_after(self._terms.hears_within / 1e9):
            while not self._heard_council:
                self._report(post)
                with trio.move_on_after(LOOK_S):
                    await post.socket.readable()
                self._hear(post)

    async def _finds(self, socket: Datagrams, seal: Authenticator, opener: DatagramReader) -> None:
        """What a former self started, whose disk is lost: it answers where the instance is asked, and a
        second one would find its addresses in use."""
        socket.send(seal.sign(CountersQuery("", self._life, 0, self._nonce)), self._terms.asks)
        with trio.move_on_after(ASK_S):
            while True:
                await socket.readable()
                while (came := socket.take()) is not None:
                    answer = opener.read(came[0])
                    if isinstance(answer, CountersReply) and answer.counters.process:
                        process = ManagedProcess.attach(answer.counters.process)
                        self.supervisor.memory.process = process.identity if process is not None else ""
                        self.supervisor.memory.running = answer.counters.label
                        if process is not None:
                            process.close()
                        return

    # The council

    def _hear(self, post: Transport) -> None:
        while (came := post.receive()) is not None:
            word: Any = came[0]
            if isinstance(word, DesiredStateMessage) and word.name == self._terms.name:
                self._worded(word)

    def _worded(self, word: DesiredStateMessage) -> None:
        name = word.node
        if name not in self._terms.council:
            return
        life, stamp = self._stamps.get(name, (0, 0))
        if word.incarnation == life and word.stamp < stamp:
            return  # overtaken by a later word of that seat
        self._stamps[name] = word.incarnation, word.stamp
        self._heard_council = True
        want: Want = word.desired
        if self.supervisor.wanted(self._now(), want, word.is_open):
            self._log.info(
                "turn", number=want.number, step=want.step, order=want.order, version=want.version, up=want.up
            )

    def _report(self, post: Transport) -> None:
        now = trio.current_time()
        if now - self._report_at < REPORT_S:
            return
        self._report_at = now
        report = self.supervisor.report()
        for name, address in self._terms.council.items():
            life, stamp = self._stamps.get(name, (0, 0))
            post.send(address, ReportMessage(report, life, stamp))

    # The instance

    def _ask(self, socket: Datagrams, seal: Authenticator, opener: DatagramReader) -> None:
        while (came := socket.take()) is not None:
            answer = opener.read(came[0])
            if isinstance(answer, CountersReply) and answer.nonce == self._nonce:
                self._answered_at = trio.current_time()
                memory = self._process.resident_bytes if self._process is not None else 0
                self.supervisor.told(msgspec.structs.replace(answer.counters, memory=memory))
        now = trio.current_time()
        if now - self._answered_at > ANSWER_S and self.supervisor.counts.life:
            self.supervisor.counts = Counts()
        if now - self._ask_at >= ASK_S and self.supervisor.runs:
            self._ask_at = now
            self._nonce += 1
            socket.send(seal.sign(CountersQuery("", self._life, 0, self._nonce)), self._terms.asks)

    def _takes_over(self) -> None:
        """What its former self started and left running."""
        memory = self.supervisor.memory
        process = ManagedProcess.reattach(memory.process)
        if process is not None:
            self._process = process
            self.supervisor.resumes(True)
            self._log.info("taken-over", version=memory.running, process=process.pid)
            assert self._nursery is not None
            self._nursery.start_soon(self._waits, process)

    def _act(self) -> None:
        keeping = self.supervisor
        while (do := keeping.act(self._now())) is not None:
            if do is Do.SAVE:
                # Not in a thread: a turn that is not on disk must not begin, and nothing else waits here.
                self._store.save(keeping.memory)
                keeping.saved()
            elif do is Do.STOP:
                self._stop()
            elif do in (Do.LEAVE, Do.RETURN):
                number = keeping.memory.turns[-1].number if keeping.memory.turns else 0
                assert self._nursery is not None
                self._nursery.start_soon(self._asks_list, do is Do.LEAVE, number)
            else:
                self._start()
        last = keeping.memory.turns[-1] if keeping.memory.turns else None
        said = f"{last.number}/{last.step} {last.outcome}" if last else ""
        if last is not None and last.outcome and said != self._told:
            self._told = said
            self._log.info(
                "turn-over", number=last.number, step=last.step, outcome=last.outcome, why=last.why
            )

    def _start(self) -> None:
        version = self.supervisor.memory.version
        command = self._terms.commands.get(version, ())
        try:
            if not command:
                raise OSError(f"no command for version {version!r}")
            output: Any = subprocess.DEVNULL
            if self._terms.output:
                output = Path(self._terms.output).open("ab")  # noqa: SIM115 - the program's own from here on
            # In a session of its own: what ends this keeper's terminal must not end its instance.
            child = subprocess.Popen(
                command,
                stdin=subprocess.DEVNULL,
                stdout=output,
                stderr=output,
                start_new_session=True,
                env=os.environ | {VERSION_VARIABLE: version},
            )
            if self._terms.output:
                output.close()
            self._children[child.pid] = child
            process = ManagedProcess(child.pid)
        except OSError as error:
            self._log.error("could-not-start", version=version, why=str(error))
            self.supervisor.could_not_start(self._now())
            return
        self._process = process
        self.supervisor.started(self._now(), version, process.identity)
        self._log.info("started", version=version, process=process.pid)
        assert self._nursery is not None
        self._nursery.start_soon(self._waits, process)

    async def _waits(self, process: ManagedProcess) -> None:
        await process.wait()
        child = self._children.pop(process.pid, None)
        code = child.wait() if child is not None else None
        self._log.info("ended", process=process.pid, code=code)
        process.close()
        if self._process is process:
            self._process = None
            self.supervisor.ended(self._now())

    async def _asks_list(self, leaves: bool, number: int) -> None:
        """Until the list service has answered: one that is away lets no server go."""
        name = self._terms.name
        asks = Leave(name, number) if leaves else Returns(name, number)
        while (left := await self._ask_list(asks)) is None:
            await trio.sleep(LIST_AGAIN_S)
        self._log.info("list-answers", leaves=leaves, number=number, given=left.given, why=left.why)
        if leaves:
            if left.given:
                await trio.sleep(self._terms.drain_within / 1e9)
            self.supervisor.left_list(left.given, left.why)

    async def _ask_list(self, asks: Leave | Returns) -> Left | None:
        session = ListSession(Hello((OLDEST, NEWEST), "keeper", self._terms.name))
        with trio.move_on_after(LIST_ANSWERS_S), suppress(OSError, ProtocolError, trio.BrokenResourceError):
            stream = await self._surroundings.connect(self._terms.list_service)
            async with stream:
                await stream.send_all(session.opening())
                while data := await stream.receive_some(READ):
                    for message in session.receive(data):
                        if isinstance(message, Welcome):
                            await stream.send_all(session.send(asks))
                        elif isinstance(message, Left):
                            return message
        return None

    def _stop(self) -> None:
        self.supervisor.asked_to_stop()
        process = self._process
        if process is None:
            return
        process.signal(signal.SIGTERM)
        assert self._nursery is not None
        self._nursery.start_soon(self._kills, process)

    async def _kills(self, process: ManagedProcess) -> None:
        """Asked to end, it has its own limit; past it and a little it is ended."""
        await trio.sleep(self._terms.stop_within / 1e9)
        if self._process is process:
            self._log.warning("killed", process=process.pid)
            process.signal(signal.SIGKILL)


def _beside(address: str) -> str:
    """Any port, of the same kind of address."""
    return "[::]:0" if address.startswith("[") else "0.0.0.0:0"
