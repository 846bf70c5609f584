"""Orders to a fleet of real processes on loopback: a council, keepers with their edge proxies, the tool, and
faults between them.

All datagrams between seats, keepers and edge proxies pass a stand-in of the paths, as the view's do; the tool
is a process too, and speaks to the seats past it. What is judged comes from the keepers' own logs.
"""

from __future__ import annotations

import ctypes
import os
import random
import signal
import socket
import subprocess
from collections.abc import Awaitable, Callable
from contextlib import suppress
from datetime import datetime
from pathlib import Path

import msgspec
import trio

from valverouter.days.operation_files import CLI, NODES, OperationFiles, supervised_by, supervisor_of
from valverouter.days.play import play_day
from valverouter.days.world import World
from valverouter.edge.sockets import SocketRuntime
from valverouter.fakes.datagrams import FakeDatagramNetwork
from valverouter.rollout.status import FleetStatus, OperationStatus
from valverouter.servermodel.paths import NetworkPaths, PathFault
from valverouter.signalling.tap import (
    DisruptionLimitsRow,
    FaultRow,
    OperationRow,
    ProgramVersionRow,
    Row,
    StepRow,
)
from valverouter.terms.day import Day

START_WITHIN_S = 30
FAULT_SLACK = 200_000_000
PR_SET_PDEATHSIG = 1


class _Line(msgspec.Struct):
    event: str = ""
    timestamp: str = ""
    version: str = ""
    number: int = 0
    step: int = 0
    up: bool = True
    outcome: str = ""


class Kept:
    """An edge proxy as the day's callers see it: an address that stays."""

    def __init__(self, name: str, address: str) -> None:
        self.name = name
        self.address = address

    async def start(self) -> None:
        raise NotImplementedError("its keeper starts it")

    kill = stop = start

    async def stall(self, span: int) -> None:
        raise NotImplementedError("stalled by name")


class OrderRig:
    """The processes of one course, by name: seats c0 to c2, keepers k0..., and the edge proxies e0... that
    the keepers start."""

    def __init__(
        self,
        day: Day,
        folder: Path,
        world: World,
        most: int,
        in_region: int,
        servers: bool = False,
        least: float = 0.0,
    ) -> None:
        self.day = day
        self.folder = folder.absolute()
        self.world = world
        self.edges = [f"e{place}" for place in range(day.fleet.edge_proxies)]
        self.processes: dict[str, subprocess.Popen[bytes]] = {}
        self.limits = most, in_region
        self._least = least
        self.faults: list[PathFault] = []
        self._draw = random.Random(f"{day.terms.seed}/paths").random
        self._paths = FakeDatagramNetwork(
            SocketRuntime().bind_datagrams, world.now, NetworkPaths([], self._draw)
        )
        self._fronts: dict[str, str] = {}
        self._real: dict[str, str] = {}
        self._listen: dict[str, str] = {}
        # Of servers with a keeper: where their agents say that they run, and those that do.
        self.servers = list(world.servers) if servers else []
        self._control = ""
        self._agents: dict[str, trio.abc.Stream] = {}

    async def open(self, nursery: trio.Nursery) -> None:
        """Files and fronts; nothing is started."""
        await nursery.start(self._paths.run)
        names = [*NODES, *map(supervisor_of, (*self.edges, *self.servers)), *self.edges, *self.servers]
        if self.servers:
            self._control = await nursery.start(SocketRuntime().serve, "127.0.0.1:0", self._agent)
            self.world.list.on_leave = lambda server: self.world.tell([server], "draining")
            nursery.start_soon(self._warms)
        for name, port in zip(names, _free(len(names), socket.SOCK_DGRAM), strict=True):
            self._real[name] = f"127.0.0.1:{port}"
            self._fronts[name] = self._paths.open_front(name)
            self._paths.set_process_address(name, self._real[name])
        for name, port in zip(self.edges, _free(len(self.edges), socket.SOCK_STREAM), strict=True):
            self._listen[name] = f"127.0.0.1:{port}"
        files = OperationFiles(
            day=self.day,
            folder=self.folder,
            edges=self.edges,
            servers=self.servers,
            list_service=self.world.list.address,
            limits=self.limits,
            min_capacity_fraction=self._least,
            listen=self._real,
            advertised=self._fronts,
            callers=self._listen,
        )
        regions = {name: self.day.region_of_server(self.world.numbers_of[name]) for name in self.servers}
        files.write(self._control, regions)
        most, in_region = self.limits
        self.world.tap.record(DisruptionLimitsRow, max_unavailable=most, max_per_region=in_region)

    # Servers behind their agents

    async def _agent(self, stream: trio.abc.Stream) -> None:
        """A server runs for as long as its agent does."""
        name, world = (await stream.receive_some(64)).decode().strip(), self.world
        self._agents[name] = stream
        if not world.servers[name].model.is_running:
            world.list.started_at[name] = world.now()
            await world.servers[name].start()
            world.tell([name], "in-service")
        with suppress(trio.BrokenResourceError, trio.ClosedResourceError):
            while await stream.receive_some(64):
                pass
        if self._agents.get(name) is stream:
            del self._agents[name]
            world.servers[name].crash()
            world.tell([name], "gone")

    async def _warms(self) -> None:
        """Agents hear whether their servers are warm."""
        while True:
            await trio.sleep(0.2)
            for name, stream in list(self._agents.items()):
                born = self.world.list.started_at.get(name)
                warm = born is None or self.world.now() - born >= self.day.fleet.warm_after
                with suppress(trio.BrokenResourceError, trio.ClosedResourceError, trio.BusyResourceError):
                    await stream.send_all(b"warm\n" if warm else b"cold\n")

    def callers(self) -> None:
        for place, name in enumerate(self.edges):
            self.world.add_callers(place, Kept(name, self._listen[name]))

    # Processes

    def start(self, name: str, *more: str) -> None:
        """A seat or a keeper; its log goes on in its file."""
        what = "raft-server" if name in NODES else "supervisor"
        command = [*CLI, "fleet", what, str(self.folder / f"{name}.ini"), *more]
        with (self.folder / f"{name}.log").open("ab") as log:
            self.processes[name] = subprocess.Popen(
                command, stdin=subprocess.DEVNULL, stderr=log, preexec_fn=_ends_with_us
            )

    async def begin(self) -> None:
        """The council is founded, keepers start their edge proxies; returns once all are in."""
        for name in NODES:
            self.start(name, *(["--bootstrap"] if name == NODES[0] else []))
        for name in (*self.servers, *self.edges):
            self.start(supervisor_of(name))
        with trio.fail_after(START_WITHIN_S):
            while not self._has_begun(await self.status()):
                await trio.sleep(0.2)

    def _has_begun(self, shown: FleetStatus | None) -> bool:
        return (
            shown is not None
            and set(shown.members) == set(NODES)
            and len(shown.instances) == len(self.edges) + len(self.servers)
            and all(unit.state == "in" and unit.running_version for unit in shown.instances)
            and all(self._listens(name) for name in self.edges)
        )

    def _listens(self, name: str) -> bool:
        log = self.folder / f"{name}.log"
        return log.exists() and b'"edge-listening"' in log.read_bytes()

    def kill(self, name: str) -> None:
        """SIGKILL: a seat, a keeper, or an edge proxy behind its keeper."""
        self._fault(f"kill-{name}", name)
        if name in self.edges:
            if (pid := self._pid(name)) is not None:
                os.kill(pid, signal.SIGKILL)
            return
        self.processes[name].kill()
        self.processes[name].wait()

    def _pid(self, edge: str) -> int | None:
        """Of the edge proxy's process, by its file's name in the command: the keeper's word is not asked."""
        files = {f"{self.folder / edge}.ini".encode(), f"{self.folder / edge}.declines.ini".encode()}
        for folder in Path("/proc").iterdir():
            if folder.name.isdigit():
                try:
                    words = (folder / "cmdline").read_bytes().split(b"\0")
                except OSError:
                    continue
                if files & set(words) and b"timeout" not in words[0]:
                    return int(folder.name)
        return None

    async def stall(self, name: str, seconds: float) -> None:
        self._fault(f"stall-{name}", name, seconds)
        process = self.processes[name]
        os.kill(process.pid, signal.SIGSTOP)
        try:
            await trio.sleep(seconds)
        finally:
            if process.poll() is None:
                os.kill(process.pid, signal.SIGCONT)

    def strike(self, fault: PathFault) -> None:
        """A fault of paths; its moments are the world's."""
        self.faults = [one for one in self.faults if one.until > self.world.now()] + [fault]
        self._paths.paths = NetworkPaths(self.faults, self._draw)
        self.world.tap.record(
            FaultRow, until=fault.until + FAULT_SLACK, kind=f"path-{fault.kind}", target="paths"
        )

    def _fault(self, kind: str, name: str, seconds: float = 0.0) -> None:
        until = self.world.now() + round(seconds * 1e9) + FAULT_SLACK
        target = supervised_by(name) if name[0] == "k" else name
        self.world.tap.record(FaultRow, until=until, kind=kind, target=target)

    # The tool

    async def tool(self, *words: str, within: float = 60.0) -> tuple[int, str]:
        """`valverouter fleet WORD tool.ini ...` as a process: its exit code and what it printed. -1: it was
        killed for taking longer."""
        command = [*CLI, "fleet", words[0], str(self.folder / "tool.ini"), *words[1:]]
        with trio.move_on_after(within):
            done = await trio.run_process(command, capture_stdout=True, capture_stderr=True, check=False)
            return done.returncode, (done.stdout + done.stderr).decode()
        return -1, ""

    async def status(self) -> FleetStatus | None:
        code, said = await self.tool("status", "--json", within=15.0)
        return msgspec.json.decode(said.splitlines()[0], type=FleetStatus) if code == 0 and said else None

    async def settled(self, within: float) -> FleetStatus:
        """Once no order waits or goes and everybody who is to run is in; TooSlowError past that."""
        with trio.fail_after(within):
            while True:
                shown = await self.status()
                if (
                    shown is not None
                    and not any(one.phase != "ended" for one in shown.operations)
                    and all(unit.state in ("in", "drained") for unit in shown.instances)
                ):
                    return shown
                await trio.sleep(0.3)

    # Its end

    async def end(self) -> None:
        """Everybody is asked to end; the rows of their logs."""
        code, said = await self.tool("history", "--json", within=15.0)
        orders = (
            msgspec.json.decode(said.splitlines()[0], type=list[OperationStatus])
            if code == 0 and said
            else []
        )
        for process in self.processes.values():
            process.terminate()
        with trio.move_on_after(12):
            while any(process.poll() is None for process in self.processes.values()):
                await trio.sleep(0.05)
        for name, process in self.processes.items():
            if process.poll() is None:
                process.kill()
            process.wait()
            if name[0] == "k" and (pid := self._pid(supervised_by(name))) is not None:
                os.kill(pid, signal.SIGKILL)
        self._read_logs()
        for one in orders:
            members = {m.name: (m.status, m.permit_number, m.previous_version) for m in one.participants}
            self.world.tap.record(
                OperationRow,
                operation=one.id,
                kind=one.kind,
                version=one.version,
                phase=one.phase,
                result=one.result,
                members=members,
            )

    def _read_logs(self) -> None:
        """Moments of the logs are wall time; this clock's now and the wall's are taken together."""
        base = self.world.now() - round(datetime.now().timestamp() * 1e9)
        decoder = msgspec.json.Decoder(_Line)
        rows = self.world.tap.rows
        for name in (*self.edges, *self.servers):
            turns: dict[tuple[int, int], bool] = {}
            for line in (self.folder / f"{supervisor_of(name)}.log").read_bytes().splitlines():
                try:
                    said = decoder.decode(line)
                except msgspec.DecodeError:
                    continue
                if not said.timestamp:
                    continue
                at = base + round(datetime.fromisoformat(said.timestamp).timestamp() * 1e9)
                seq, turn = len(rows), (said.number, said.step)
                if said.event == "step-started":
                    turns[turn] = said.up
                    rows.append(StepRow(seq, at, name, said.number, said.step, said.up))
                elif said.event == "step-ended":
                    up = turns.get(turn, True)
                    rows.append(StepRow(seq, at, name, said.number, said.step, up, said.outcome))
                elif said.event in ("process-started", "process-adopted"):
                    rows.append(ProgramVersionRow(seq, at, name, said.version))
                elif said.event == "process-exited":
                    rows.append(ProgramVersionRow(seq, at, name, ""))


def _ends_with_us() -> None:
    """In a child: a rig that is killed must not leave its fleet running, whose load then spoils whatever is
    measured next. A keeper that is told so ends its edge proxy first."""
    ctypes.CDLL(None).prctl(PR_SET_PDEATHSIG, signal.SIGTERM)


def _free(count: int, kind: socket.SocketKind) -> list[int]:
    """Ports that are free now, below those that the machine gives out by itself: one of these was given to
    another socket between its choice and its use."""
    chance = random.SystemRandom()
    held: dict[int, socket.socket] = {}
    try:
        while len(held) < count:
            one, port = socket.socket(socket.AF_INET, kind), chance.randrange(10_000, 32_000)
            try:
                one.bind(("127.0.0.1", port))
                held[port] = one
            except OSError:
                one.close()
        return list(held)
    finally:
        for one in held.values():
            one.close()


def run_orders(
    day: Day,
    folder: Path,
    script: Callable[[OrderRig], Awaitable[None]],
    most: int = 2,
    in_region: int = 1,
    servers: bool = False,
    least: float = 0.0,
) -> list[Row]:
    """Plays the day with `script` beside its callers; the rows of what passed and of the keepers' logs.
    `servers`: they have keepers too. `least`: the share of a region's edge proxies that must stay."""

    async def main() -> list[Row]:
        world = World(day, SocketRuntime(), day.terms.slack, lambda name: "127.0.0.1:0", FAULT_SLACK)
        with trio.CancelScope() as scope:
            async with trio.open_nursery() as nursery:
                await world.open(nursery)
                rig = OrderRig(day, folder, world, most, in_region, servers, least)
                await rig.open(nursery)
                try:
                    await rig.begin()
                    rig.callers()
                    await trio.sleep(day.terms.settle / 1e9)
                    async with trio.open_nursery() as playing:
                        playing.start_soon(play_day, world)
                        playing.start_soon(script, rig)
                finally:
                    with trio.CancelScope(shield=True):
                        await rig.end()
                scope.cancel()
        return world.tap.rows

    return trio.run(main)
