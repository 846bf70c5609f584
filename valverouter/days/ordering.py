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
import sys
from collections.abc import Awaitable, Callable
from contextlib import suppress
from datetime import datetime
from pathlib import Path

import msgspec
import trio

from valverouter.days.viewing import SECRET
from valverouter.days.world import World
from valverouter.edge.surroundings import Sockets
from valverouter.fakes.datagrams import FakeDatagramNetwork
from valverouter.rollout.shown import Order, Shown
from valverouter.servermodel.paths import NetworkPaths, PathFault
from valverouter.signalling import tap
from valverouter.terms.day import Day

START_WITHIN_S = 30
FAULT_SLACK = 200_000_000
CLI = (sys.executable, "-m", "valverouter.cli")
# Of a version that ends by itself: after so long, in seconds.
DIES_AFTER_S = 4
PR_SET_PDEATHSIG = 1
SEATS = ("c0", "c1", "c2")


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
        self._paths = FakeDatagramNetwork(Sockets().datagrams, world.now, NetworkPaths([], self._draw))
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
        names = [*SEATS, *map(keeper_of, (*self.edges, *self.servers)), *self.edges, *self.servers]
        if self.servers:
            self._control = await nursery.start(Sockets().serve, "127.0.0.1:0", self._agent)
            self.world.list.on_leave = lambda server: self.world.tell([server], "draining")
            nursery.start_soon(self._warms)
        for name, port in zip(names, _free(len(names), socket.SOCK_DGRAM), strict=True):
            self._real[name] = f"127.0.0.1:{port}"
            self._fronts[name] = self._paths.open_front(name)
            self._paths.set_process_address(name, self._real[name])
        for name, port in zip(self.edges, _free(len(self.edges), socket.SOCK_STREAM), strict=True):
            self._listen[name] = f"127.0.0.1:{port}"
        key = self.folder / "fleet.key"
        with os.fdopen(os.open(key, os.O_WRONLY | os.O_CREAT | os.O_TRUNC, 0o600), "wb") as file:
            file.write(SECRET)
        self._write_files()
        most, in_region = self.limits
        self.world.tap.record(tap.DisruptionLimitsRow, max_unavailable=most, max_per_region=in_region)

    def _write_files(self) -> None:
        most, in_region = self.limits
        limits = (
            f"[limits edge proxies]\nmost = {most}\nin_region = {in_region}\nleast_capacity = {self._least}\n"
        )
        limits += (
            "\n[limits servers]\nmost = 1\nin_region = 1\nleast_capacity = 0.4\n" if self.servers else ""
        )
        for name in (*SEATS, "tool"):
            at = self._real if name == "tool" else self._fronts
            seats = ", ".join(f"{one} {at[one]}" for one in SEATS)
            own = SEATS[0] if name == "tool" else name
            text = f"[seat]\nname = {own}\nlisten = {self._real[own]}\nadvertise = {self._fronts[own]}\n"
            text += f"key = fleet.key\nstore = {own}.store\ncouncil = {seats}\nsilent = 3s\n"
            text += f"unsettled = 20s\n\n{limits}\n[evidence]\nleast = 60\nodds = 4\nwatch = 2s\n"
            (self.folder / f"{name}.ini").write_text(text)
        seats = ", ".join(f"{one} {self._fronts[one]}" for one in SEATS)
        for place, name in enumerate(self.edges):
            self._write_edge(place, name)
            keeper = keeper_of(name)
            edge = " ".join((*CLI, "edge"))
            text = f"[keeper]\nname = {name}\nlisten = {self._real[keeper]}\n"
            text += f"advertise = {self._fronts[keeper]}\nkey = fleet.key\nstore = {keeper}.store\n"
            text += f"council = {seats}\nasks = {self._real[name]}\nversion = v1\n"
            text += f"region = {self.day.region_of_edge(place)}\ncapacity = 100\nstop_within = 6s\n"
            text += f"output = {self.folder / name}.log\n"
            for version, command in (
                ("v1", f"{edge} {self.folder / name}.ini"),
                ("v2", f"{edge} {self.folder / name}.ini"),
                ("declines", f"{edge} {self.folder / name}.declines.ini"),
                (
                    "crowds",
                    f"sh -c 'touch {self.folder}/crowd.{name}; set -- {self.folder}/crowd.*; "
                    f"[ $# -ge {max(2, round(0.3 * len(self.edges)))} ] && file=declines.ini || file=ini; "
                    f"exec {edge} {self.folder / name}.$file'",
                ),
                ("crashes", f"{sys.executable} -c 'raise SystemExit(7)'"),
                ("dies-late", f"timeout -s KILL {DIES_AFTER_S} {edge} {self.folder / name}.ini"),
            ):
                text += f"\n[version {version}]\ncommand = {command}\n"
            (self.folder / f"{keeper}.ini").write_text(text)
        for name in self.servers:
            keeper = keeper_of(name)
            agent = (
                f"{sys.executable} -m valverouter.days.serveragent {name} {self._control} {self._real[name]}"
            )
            text = f"[keeper]\nname = {name}\nsort = server\nlisten = {self._real[keeper]}\n"
            text += f"advertise = {self._fronts[keeper]}\nkey = fleet.key\nstore = {keeper}.store\n"
            text += f"council = {seats}\nasks = {self._real[name]}\nversion = v1\ncapacity = 0\n"
            text += f"list_service = {self.world.list.address}\ndrain_within = 2s\nstop_within = 6s\n"
            text += f"region = {self.day.region_of_server(self.world.numbers_of[name])}\n"
            for version in ("v1", "v2"):
                text += f"\n[version {version}]\ncommand = {agent} {self.folder}/fleet.key\n"
            (self.folder / f"{keeper}.ini").write_text(text)

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

    def _write_edge(self, place: int, name: str) -> None:
        between = {
            "listen": self._real[name],
            "advertise": self._fronts[name],
            "key": str(self.folder / "fleet.key"),
            "seeds": ", ".join(self._fronts[one] for one in self.edges[:3]),
        }
        list_at, cache = self.world.list.address, str(self.folder / f"{name}.list")
        ini = self.day.edge_ini(place, self._listen[name], list_at, cache, between=between)
        (self.folder / f"{name}.ini").write_text(ini)
        # Declines whatever comes while it has a dialog open.
        harmful = ini.replace("[fleet]", "[links]\nopen_dialogs = 1\n\n[fleet]", 1)
        (self.folder / f"{name}.declines.ini").write_text(harmful)

    def callers(self) -> None:
        for place, name in enumerate(self.edges):
            self.world.add_callers(place, Kept(name, self._listen[name]))

    # Processes

    def start(self, name: str, *more: str) -> None:
        """A seat or a keeper; its log goes on in its file."""
        what = "council" if name in SEATS else "keeper"
        command = [*CLI, "fleet", what, str(self.folder / f"{name}.ini"), *more]
        with (self.folder / f"{name}.log").open("ab") as log:
            self.processes[name] = subprocess.Popen(
                command, stdin=subprocess.DEVNULL, stderr=log, preexec_fn=_ends_with_us
            )

    async def begin(self) -> None:
        """The council is founded, keepers start their edge proxies; returns once all are in."""
        for name in SEATS:
            self.start(name, *(["--found"] if name == SEATS[0] else []))
        for name in (*self.servers, *self.edges):
            self.start(keeper_of(name))
        with trio.fail_after(START_WITHIN_S):
            while not self._has_begun(await self.status()):
                await trio.sleep(0.2)

    def _has_begun(self, shown: Shown | None) -> bool:
        return (
            shown is not None
            and set(shown.members) == set(SEATS)
            and len(shown.units) == len(self.edges) + len(self.servers)
            and all(unit.state == "in" and unit.version for unit in shown.units)
            and all(self._listens(name) for name in self.edges)
        )

    def _listens(self, name: str) -> bool:
        log = self.folder / f"{name}.log"
        return log.exists() and b'"listening"' in log.read_bytes()

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
        until = fault.until + FAULT_SLACK
        self.world.tap.record(tap.FaultRow, until=until, kind=f"path-{fault.kind}", target="paths")

    def _fault(self, kind: str, name: str, seconds: float = 0.0) -> None:
        until = self.world.now() + round(seconds * 1e9) + FAULT_SLACK
        target = kept_by(name) if name[0] == "k" else name
        self.world.tap.record(tap.FaultRow, until=until, kind=kind, target=target)

    # The tool

    async def tool(self, *words: str, within: float = 60.0) -> tuple[int, str]:
        """`valverouter fleet WORD tool.ini ...` as a process: its exit code and what it printed. -1: it was
        killed for taking longer."""
        command = [*CLI, "fleet", words[0], str(self.folder / "tool.ini"), *words[1:]]
        with trio.move_on_after(within):
            done = await trio.run_process(command, capture_stdout=True, capture_stderr=True, check=False)
            return done.returncode, (done.stdout + done.stderr).decode()
        return -1, ""

    async def status(self) -> Shown | None:
        code, said = await self.tool("status", "--json", within=15.0)
        return msgspec.json.decode(said.splitlines()[0], type=Shown) if code == 0 and said else None

    async def settled(self, within: float) -> Shown:
        """Once no order waits or goes and everybody who is to run is in; TooSlowError past that."""
        with trio.fail_after(within):
            while True:
                shown = await self.status()
                if (
                    shown is not None
                    and not any(one.phase != "ended" for one in shown.orders)
                    and all(unit.state in ("in", "drained") for unit in shown.units)
                ):
                    return shown
                await trio.sleep(0.3)

    # Its end

    async def end(self) -> None:
        """Everybody is asked to end; the rows of their logs."""
        code, said = await self.tool("history", "--json", within=15.0)
        orders = msgspec.json.decode(said.splitlines()[0], type=list[Order]) if code == 0 and said else []
        for process in self.processes.values():
            process.terminate()
        with trio.move_on_after(12):
            while any(process.poll() is None for process in self.processes.values()):
                await trio.sleep(0.05)
        for name, process in self.processes.items():
            if process.poll() is None:
                process.kill()
            process.wait()
            if name[0] == "k" and (pid := self._pid(kept_by(name))) is not None:
                os.kill(pid, signal.SIGKILL)
        self._read_logs()
        for one in orders:
            members = {m.name: (m.step, m.number, m.former) for m in one.members}
            self.world.tap.record(
                tap.OperationRow,
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
            for line in (self.folder / f"{keeper_of(name)}.log").read_bytes().splitlines():
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
                    rows.append(tap.StepRow(seq, at, name, said.number, said.step, said.up))
                elif said.event == "step-ended":
                    rows.append(tap.StepRow(seq, at, name, *turn, turns.get(turn, True), said.outcome))
                elif said.event in ("process-started", "process-adopted"):
                    rows.append(tap.ProgramVersionRow(seq, at, name, said.version))
                elif said.event == "process-exited":
                    rows.append(tap.ProgramVersionRow(seq, at, name, ""))


def _ends_with_us() -> None:
    """In a child: a rig that is killed must not leave its fleet running, whose load then spoils whatever is
    measured next. A keeper that is told so ends its edge proxy first."""
    ctypes.CDLL(None).prctl(PR_SET_PDEATHSIG, signal.SIGTERM)


def keeper_of(name: str) -> str:
    return f"k{name[1:]}" if name[0] == "e" else f"k{name}"


def kept_by(keeper: str) -> str:
    return keeper[1:] if keeper[1] == "s" else f"e{keeper[1:]}"


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
) -> list[tap.Row]:
    """Plays the day with `script` beside its callers; the rows of what passed and of the keepers' logs.
    `servers`: they have keepers too. `least`: the share of a region's edge proxies that must stay."""

    async def main() -> list[tap.Row]:
        world = World(day, Sockets(), day.terms.slack, lambda name: "127.0.0.1:0", FAULT_SLACK)
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
                        playing.start_soon(world.play)
                        playing.start_soon(script, rig)
                finally:
                    with trio.CancelScope(shield=True):
                        await rig.end()
                scope.cancel()
        return world.tap.rows

    return trio.run(main)
