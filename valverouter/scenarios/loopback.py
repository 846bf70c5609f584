"""Plays a scenario on loopback sockets in real time.

Each edge proxy is a process of its own; the fakes of its peers run in this process.
"""

from __future__ import annotations

import os
import signal
import subprocess
import sys
from pathlib import Path

import msgspec
import trio

from valverouter.config.scenario import ScenarioConfig
from valverouter.edge.sockets import SocketRuntime
from valverouter.scenarios.loopback_membership import LoopbackMembership
from valverouter.scenarios.scenario_fakes import NS_PER_S, ScenarioFakes
from valverouter.scenarios.scenario_runner import ProgressCallback, run_scenario
from valverouter.signalling.traffic_record import Row

START_TIMEOUT_S = 20
# The edge proxy's own time limit for a graceful shutdown, plus a margin.
STOP_TIMEOUT_S = 15
# Wait at the end of a run until the last messages of the edge proxies are received and recorded.
LAST_ROWS_WAIT_S = 0.05
READ_SIZE = 65_536
# The time by which a fault of real processes may outlast its configured duration, ns.
FAULT_SLACK = 200_000_000
ANY_PORT = "127.0.0.1:0"


class EdgeFailedError(RuntimeError):
    """An edge proxy's process did not start listening in time; its log holds the reason."""


class _LogLine(msgspec.Struct, rename={"incarnation": "life"}):
    event: str = ""
    address: str = ""
    member: str = ""
    incarnation: str = ""


class LoopbackEdge:
    """An edge proxy that runs as a process: `kill` sends SIGKILL, `stall` SIGSTOP and SIGCONT."""

    def __init__(
        self,
        scenario: ScenarioConfig,
        fleet_index: int,
        list_address: str,
        folder: Path,
        nursery: trio.Nursery,
        membership: LoopbackMembership | None = None,
    ) -> None:
        self.address = ANY_PORT
        self.name = f"e{fleet_index}"
        self.log_file = folder / f"{self.name}.log"
        self.starts = 0
        self._config_file = folder / f"{self.name}.ini"
        self._scenario = scenario
        self._fleet_index = fleet_index
        self._list_address = list_address
        self._list_cache = str(folder / f"{self.name}.list")
        self._accounts = str(folder / f"{self.name}.accounts")
        self._dialog_store = str(folder / f"{self.name}.ledger") if scenario.ledger else ""
        self._nursery = nursery
        self._membership = membership
        self._process: trio.Process | None = None
        self._killed = False
        self._listening = False

    async def start(self) -> None:
        """Starts the process; returns once it listens. Raises EdgeFailedError if it does not in time."""
        gossip = self._membership.gossip_section(self.name) if self._membership is not None else None
        config = self._scenario.edge_ini(
            self._fleet_index,
            self.address,
            self._list_address,
            self._list_cache,
            self._accounts,
            self._dialog_store,
            gossip,
        )
        self._config_file.write_text(config, "utf-8")
        self.starts += 1
        self._killed = False
        with trio.move_on_after(START_TIMEOUT_S):
            address = await self._nursery.start(self._run)
            if address:
                self.address = address
                return
            if self._killed:
                return  # killed by the scenario during its start; the same fault starts it again
        raise EdgeFailedError(f"{self._config_file.name}: edge proxy does not listen, see {self.log_file}")

    async def _run(self, task_status: trio.TaskStatus[str] = trio.TASK_STATUS_IGNORED) -> None:
        command = [sys.executable, "-m", "valverouter.cli", "edge", str(self._config_file)]
        process = await trio.lowlevel.open_process(command, stderr=subprocess.PIPE)
        self._process = process
        self._listening = False
        try:
            assert process.stderr is not None
            await self._follow_log(process.stderr, task_status)
            await process.wait()
        finally:
            with trio.CancelScope(shield=True):
                if process.poll() is None:
                    process.kill()
                await process.wait()
            if self._membership is not None:
                self._membership.record_end(self.name)
            if not self._listening:
                task_status.started("")

    async def _follow_log(self, output: trio.abc.ReceiveStream, task_status: trio.TaskStatus[str]) -> None:
        with self.log_file.open("ab") as log:
            incomplete = b""
            while data := await output.receive_some(READ_SIZE):
                log.write(data)
                log.flush()
                if self._listening and self._membership is None:
                    continue
                *lines, incomplete = (incomplete + data).split(b"\n")
                for line in lines:
                    self._handle_log_line(_decode_log_line(line), task_status)

    def _handle_log_line(self, line: _LogLine, task_status: trio.TaskStatus[str]) -> None:
        if line.event == "edge-listening" and not self._listening:
            self._listening = True
            task_status.started(line.address)
        elif self._membership is not None:
            self._membership.handle_log_event(
                self.name, line.event, line.address, line.member, line.incarnation
            )

    @property
    def config_file(self) -> Path:
        """The settings file of the process, which it reloads on SIGHUP."""
        return self._config_file

    def send_signal(self, number: signal.Signals) -> None:
        """Sends a signal to the process if it is running."""
        if self._process is not None and self._process.poll() is None:
            self._process.send_signal(number)

    async def wait_until_ended(self, timeout_s: float) -> bool:
        """Waits up to `timeout_s` for the process to end; returns whether it has."""
        if self._process is not None:
            with trio.move_on_after(timeout_s):
                await self._process.wait()
        return self.returncode is not None

    @property
    def returncode(self) -> int | None:
        """The exit status of the last process; None while it runs or if none was started."""
        return self._process.poll() if self._process is not None else None

    async def kill(self) -> None:
        """Kills the process and waits until it has ended."""
        self._killed = True
        if self._process is not None:
            self._process.kill()
            await self._process.wait()

    async def stall(self, duration: int) -> None:
        """Suspends the process for `duration` ns, then resumes it."""
        process = self._process
        if process is None or process.poll() is not None:
            return
        os.kill(process.pid, signal.SIGSTOP)
        try:
            await trio.sleep(duration / NS_PER_S)
        finally:
            if process.poll() is None:
                os.kill(process.pid, signal.SIGCONT)

    async def stop(self) -> None:
        """Terminates the process gracefully; kills it if it has not ended after STOP_TIMEOUT_S."""
        process = self._process
        if process is None or process.poll() is not None:
            return
        process.terminate()
        with trio.move_on_after(STOP_TIMEOUT_S):
            await process.wait()
            return
        process.kill()


def _decode_log_line(line: bytes) -> _LogLine:
    try:
        return msgspec.json.decode(line, type=_LogLine)
    except msgspec.DecodeError:
        return _LogLine()


class LoopbackFleet:
    """The scenario's edge proxies as processes, started concurrently; `folder` holds their files."""

    def __init__(self, fakes: ScenarioFakes, runtime: SocketRuntime, folder: Path) -> None:
        self.membership: LoopbackMembership | None = None
        self.edges: list[LoopbackEdge] = []
        self._fakes = fakes
        self._runtime = runtime
        self._folder = folder

    async def start(self, nursery: trio.Nursery) -> None:
        """Starts the edge proxies, then their callers."""
        scenario, fakes = self._fakes.scenario, self._fakes
        if scenario.between is not None:
            self.membership = LoopbackMembership(fakes, scenario.between, self._runtime, self._folder)
            await nursery.start(self.membership.run)
        list_address = fakes.endpoint_list.address
        self.edges = [
            LoopbackEdge(scenario, fleet_index, list_address, self._folder, nursery, self.membership)
            for fleet_index in range(scenario.fleet.edge_proxies)
        ]
        async with trio.open_nursery() as starting:
            for edge in self.edges:
                if edge.name not in scenario.late_edges:
                    starting.start_soon(edge.start)
        for fleet_index, edge in enumerate(self.edges):
            fakes.add_callers(fleet_index, edge)

    async def stop(self) -> None:
        """Shuts all edge proxies down, and waits until their last messages are recorded."""
        async with trio.open_nursery() as stopping:
            for edge in self.edges:
                stopping.start_soon(edge.stop)
        await trio.sleep(LAST_ROWS_WAIT_S)


def run_loopback(
    scenario: ScenarioConfig, folder: Path, on_progress: ProgressCallback = lambda fraction: None
) -> list[Row]:
    """Plays the scenario and returns the rows that were recorded.

    The files and logs of the edge proxies remain in `folder`.
    """

    async def main() -> list[Row]:
        runtime = SocketRuntime()
        fakes = ScenarioFakes(scenario, runtime, scenario.run.slack, lambda name: ANY_PORT, FAULT_SLACK)
        return await run_scenario(fakes, LoopbackFleet(fakes, runtime, folder), on_progress)

    return trio.run(main)
