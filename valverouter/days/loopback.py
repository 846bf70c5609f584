"""A day on loopback sockets in real time: every edge proxy is a process, the fakes run here."""

from __future__ import annotations

import os
import signal
import subprocess
import sys
from collections.abc import Callable
from pathlib import Path

import msgspec
import trio

from valverouter.days.play import play_day
from valverouter.days.viewing import LoopbackViews
from valverouter.days.world import World
from valverouter.edge.sockets import SocketRuntime
from valverouter.signalling.tap import Row
from valverouter.terms.day import ScenarioConfig

START_WITHIN_S = 20
FAULT_SLACK = 200_000_000


class EdgeFailedError(RuntimeError):
    """An edge proxy's process did not come up; its log says why."""


class _Line(msgspec.Struct):
    event: str = ""
    address: str = ""
    member: str = ""
    life: str = ""


class ProcessEdge:
    """One edge proxy as a process. Killing it is SIGKILL, stalling it SIGSTOP, as a machine would."""

    def __init__(
        self,
        day: ScenarioConfig,
        place: int,
        list_at: str,
        folder: Path,
        nursery: trio.Nursery,
        views: LoopbackViews | None = None,
    ) -> None:
        self.address = "127.0.0.1:0"
        self.name = f"e{place}"
        self.log = folder / f"e{place}.log"
        self.starts = 0
        self._ini = folder / f"e{place}.ini"
        self._day = day
        self._place = place
        self._list_at = list_at
        self._cache = str(folder / f"e{place}.list")
        self._accounts = str(folder / f"e{place}.accounts")
        self._ledger = str(folder / f"e{place}.ledger") if day.ledger else ""
        self._nursery = nursery
        self._views = views
        self._process: trio.Process | None = None
        self._struck = False

    async def start(self) -> None:
        """Returns once it listens; EdgeFailedError when it does not."""
        between = self._views.section(f"e{self._place}") if self._views is not None else None
        ini = self._day.edge_ini(
            self._place, self.address, self._list_at, self._cache, self._accounts, self._ledger, between
        )
        self._ini.write_text(ini, "utf-8")
        self.starts += 1
        self._struck = False
        with trio.move_on_after(START_WITHIN_S):
            address = await self._nursery.start(self._run)
            if address:
                self.address = address
                return
            if self._struck:
                return  # killed by the day while it came up: whoever did starts it again
        raise EdgeFailedError(f"{self._ini.name} did not come up: see {self.log}")

    async def _run(self, task_status: trio.TaskStatus[str] = trio.TASK_STATUS_IGNORED) -> None:
        command = [sys.executable, "-m", "valverouter.cli", "edge", str(self._ini)]
        process = await trio.lowlevel.open_process(command, stderr=subprocess.PIPE)
        self._process = process
        told = False
        try:
            assert process.stderr is not None
            with self.log.open("ab") as log:
                rest = b""
                while data := await process.stderr.receive_some(65_536):
                    log.write(data)
                    log.flush()
                    if told and self._views is None:
                        continue
                    *lines, rest = (rest + data).split(b"\n")
                    for line in lines:
                        said = _said(line)
                        if said.event == "edge-listening" and not told:
                            told = True
                            task_status.started(said.address)
                        elif self._views is not None:
                            self._views.heard(self.name, said.event, said.address, said.member, said.life)
            await process.wait()
        finally:
            with trio.CancelScope(shield=True):
                if process.poll() is None:
                    process.kill()
                await process.wait()
            if self._views is not None:
                self._views.over(self.name)
            if not told:
                task_status.started("")

    @property
    def returncode(self) -> int | None:
        return self._process.poll() if self._process is not None else None

    async def kill(self) -> None:
        self._struck = True
        if self._process is not None:
            self._process.kill()
            await self._process.wait()

    async def stall(self, span: int) -> None:
        process = self._process
        if process is None or process.poll() is not None:
            return
        os.kill(process.pid, signal.SIGSTOP)
        try:
            await trio.sleep(span / 1e9)
        finally:
            if process.poll() is None:
                os.kill(process.pid, signal.SIGCONT)

    async def stop(self) -> None:
        """Asks it to end by itself; kills it where it does not within its own limit and a little."""
        process = self._process
        if process is None or process.poll() is not None:
            return
        process.terminate()
        with trio.move_on_after(15):
            await process.wait()
            return
        process.kill()


def _said(line: bytes) -> _Line:
    try:
        return msgspec.json.decode(line, type=_Line)
    except msgspec.DecodeError:
        return _Line()


def run_loopback(
    day: ScenarioConfig, folder: Path, tick: Callable[[float], None] = lambda share: None
) -> list[Row]:
    """Plays the day; the rows of what passed. Files and logs of the edge proxies are left in the folder."""

    async def main() -> list[Row]:
        place = SocketRuntime()
        world = World(day, place, day.run.slack, lambda name: "127.0.0.1:0", FAULT_SLACK)
        with trio.CancelScope() as scope:
            async with trio.open_nursery() as nursery:
                await world.open(nursery)
                views = None
                if day.between is not None:
                    views = LoopbackViews(day, day.between, world, place, folder)
                    await nursery.start(views.run)
                edges = [
                    ProcessEdge(day, at, world.list.address, folder, nursery, views)
                    for at in range(day.fleet.edge_proxies)
                ]
                async with trio.open_nursery() as starting:
                    for edge in edges:
                        if edge.name not in day.late_edges:
                            starting.start_soon(edge.start)
                for at, edge in enumerate(edges):
                    world.add_callers(at, edge)
                await trio.sleep(day.run.settle / 1e9)
                if views is not None:
                    views.begins()
                await play_day(world, tick)
                if views is not None:
                    await views.settle()
                async with trio.open_nursery() as stopping:
                    for edge in edges:
                        stopping.start_soon(edge.stop)
                await trio.sleep(0.05)
                scope.cancel()
        return world.tap.rows

    return trio.run(main)
