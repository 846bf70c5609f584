"""Runs operations on a fleet of real processes on loopback: raft servers, supervisors with their edge
proxies, and clients.

All datagrams between raft servers, supervisors and edge proxies pass through a fake network that faults are
injected into. Clients are processes too, and reach the raft servers directly. The rows for the audit are read
from the supervisors' logs.
"""

from __future__ import annotations

import ctypes
import os
import random
import signal
import socket
import subprocess
from collections.abc import Awaitable, Callable
from pathlib import Path

import msgspec
import trio

from valverouter.config.scenario import ScenarioConfig
from valverouter.edge.sockets import SocketRuntime
from valverouter.fakes.datagrams import FakeDatagramNetwork
from valverouter.rollout.status import FleetStatus, OperationStatus
from valverouter.scenarios.operation_files import CLI, NODES, OperationFiles, supervised_by, supervisor_of
from valverouter.scenarios.scenario_fakes import ScenarioFakes
from valverouter.scenarios.scenario_runner import run_calls_and_faults
from valverouter.scenarios.server_agents import ServerAgents
from valverouter.scenarios.supervisor_logs import append_log_rows
from valverouter.servermodel.paths import NetworkPaths, PathFault
from valverouter.signalling.traffic_record import DisruptionLimitsRow, FaultRow, OperationRow, Row

NS_PER_S = 1e9
START_TIMEOUT_S = 30
STOP_TIMEOUT_S = 12
STATUS_TIMEOUT_S = 15.0
# The time after its end for which the audit still takes a fault into account, ns.
FAULT_SLACK = 200_000_000
# Below the operating system's ephemeral ports: such a port was once assigned to another socket between its
# selection and its use.
PORT_RANGE = (10_000, 32_000)
PR_SET_PDEATHSIG = 1


class SupervisedEdge:
    """An edge proxy under a supervisor, as its callers see it: a fixed address."""

    def __init__(self, name: str, address: str) -> None:
        """`address`: where it accepts callers' connections."""
        self.name = name
        self.address = address

    async def start(self) -> None:
        """Not supported: the supervisor starts and stops the process."""
        raise NotImplementedError("the supervisor starts and stops the edge proxy")

    kill = stop = start

    async def stall(self, duration: int) -> None:
        """Not supported: see `OperationHarness.pause`."""
        raise NotImplementedError("use OperationHarness.pause")


class OperationHarness:
    """The processes of one scenario, by name.

    Raft servers are named c0 to c2, edge proxies e0, e1, ... and their supervisors k0, k1, ...; servers with
    supervisors s0, s1, ... and their supervisors ks0, ks1, ...
    """

    def __init__(
        self,
        scenario: ScenarioConfig,
        folder: Path,
        fakes: ScenarioFakes,
        limits: tuple[int, int],
        with_servers: bool,
        min_capacity_fraction: float,
    ) -> None:
        """`limits`: the maximum of unavailable edge proxies, in all and per region.

        `folder` holds the settings files and the logs.
        """
        self.scenario = scenario
        self.folder = folder.absolute()
        self.fakes = fakes
        self.edges = [f"e{index}" for index in range(scenario.fleet.edge_proxies)]
        # Servers with supervisors.
        self.servers = list(fakes.servers) if with_servers else []
        self.processes: dict[str, subprocess.Popen[bytes]] = {}
        self.faults: list[PathFault] = []
        self._limits = limits
        self._min_capacity_fraction = min_capacity_fraction
        self._draw = random.Random(f"{scenario.run.seed}/paths").random
        self._network = FakeDatagramNetwork(
            SocketRuntime().bind_datagrams, fakes.now, NetworkPaths([], self._draw)
        )
        self._caller_addresses: dict[str, str] = {}

    async def open(self, nursery: trio.Nursery) -> None:
        """Opens the fake network and writes all settings files; starts no process."""
        await nursery.start(self._network.run)
        server_control = await self._open_server_agents(nursery) if self.servers else ""
        listen, advertised = self._open_network()
        for name, port in zip(self.edges, _free_ports(len(self.edges), socket.SOCK_STREAM), strict=True):
            self._caller_addresses[name] = f"127.0.0.1:{port}"
        files = OperationFiles(
            scenario=self.scenario,
            folder=self.folder,
            edges=self.edges,
            servers=self.servers,
            list_service=self.fakes.endpoint_list.address,
            limits=self._limits,
            min_capacity_fraction=self._min_capacity_fraction,
            listen=listen,
            advertised=advertised,
            caller_addresses=self._caller_addresses,
        )
        regions = {
            name: self.scenario.region_of_server(self.fakes.server_numbers[name]) for name in self.servers
        }
        files.write(server_control, regions)
        max_unavailable, max_per_region = self._limits
        self.fakes.recorder.record(
            DisruptionLimitsRow, max_unavailable=max_unavailable, max_per_region=max_per_region
        )

    async def _open_server_agents(self, nursery: trio.Nursery) -> str:
        """Starts listening for server agents; returns the address to which they connect."""
        agents = ServerAgents(self.fakes, self.scenario.fleet.warm_after)
        address: str = await nursery.start(SocketRuntime().serve, "127.0.0.1:0", agents.serve)
        self.fakes.endpoint_list.on_drain_request = lambda server: self.fakes.announce([server], "draining")
        nursery.start_soon(agents.report_warm_up)
        return address

    def _open_network(self) -> tuple[dict[str, str], dict[str, str]]:
        """Returns each process's own datagram address and the address of its relay socket."""
        supervisors = map(supervisor_of, (*self.edges, *self.servers))
        names = [*NODES, *supervisors, *self.edges, *self.servers]
        listen, advertised = {}, {}
        for name, port in zip(names, _free_ports(len(names), socket.SOCK_DGRAM), strict=True):
            listen[name] = f"127.0.0.1:{port}"
            advertised[name] = self._network.open_relay(name)
            self._network.set_process_address(name, listen[name])
        return listen, advertised

    def add_callers(self) -> None:
        """Adds the scenario's callers to the edge proxies."""
        for index, name in enumerate(self.edges):
            self.fakes.add_callers(index, SupervisedEdge(name, self._caller_addresses[name]))

    # Processes

    def start(self, name: str, *options: str) -> None:
        """Starts a raft server or a supervisor, which appends to its log file."""
        program = "raft-server" if name in NODES else "supervisor"
        command = [*CLI, "fleet", program, str(self.folder / f"{name}.ini"), *options]
        with (self.folder / f"{name}.log").open("ab") as log:
            self.processes[name] = subprocess.Popen(
                command, stdin=subprocess.DEVNULL, stderr=log, preexec_fn=_terminate_with_parent
            )

    async def start_all(self) -> None:
        """Starts all processes; returns once every instance is in service. Raises TooSlowError."""
        for name in NODES:
            self.start(name, *(["--bootstrap"] if name == NODES[0] else []))
        for name in (*self.servers, *self.edges):
            self.start(supervisor_of(name))
        with trio.fail_after(START_TIMEOUT_S):
            while not self._is_started(await self.status()):
                await trio.sleep(0.2)

    def _is_started(self, status: FleetStatus | None) -> bool:
        return (
            status is not None
            and set(status.members) == set(NODES)
            and len(status.instances) == len(self.edges) + len(self.servers)
            and all(instance.state == "in" and instance.running_version for instance in status.instances)
            and all(self._is_listening(name) for name in self.edges)
        )

    def _is_listening(self, name: str) -> bool:
        log = self.folder / f"{name}.log"
        return log.exists() and b'"edge-listening"' in log.read_bytes()

    def kill(self, name: str) -> None:
        """Sends SIGKILL to a raft server, a supervisor, or an edge proxy, whose supervisor keeps running."""
        self.record_fault(f"kill-{name}", name)
        if name in self.edges:
            if (pid := self.find_pid(name)) is not None:
                os.kill(pid, signal.SIGKILL)
            return
        self.processes[name].kill()
        self.processes[name].wait()

    def find_pid(self, edge: str) -> int | None:
        """Returns the PID of an edge proxy's process; None if there is none.

        Finds it by the settings file in its command line, independently of what its supervisor reports.
        """
        files = {f"{self.folder / edge}.ini".encode(), f"{self.folder / edge}.declines.ini".encode()}
        for folder in Path("/proc").iterdir():
            if not folder.name.isdigit():
                continue
            try:
                arguments = (folder / "cmdline").read_bytes().split(b"\0")
            except OSError:
                continue
            if files & set(arguments) and b"timeout" not in arguments[0]:
                return int(folder.name)
        return None

    async def pause(self, name: str, seconds: float) -> None:
        """Sends SIGSTOP to a process, and SIGCONT after `seconds`."""
        self.record_fault(f"stall-{name}", name, seconds)
        process = self.processes[name]
        os.kill(process.pid, signal.SIGSTOP)
        try:
            await trio.sleep(seconds)
        finally:
            if process.poll() is None:
                os.kill(process.pid, signal.SIGCONT)

    def add_path_fault(self, fault: PathFault) -> None:
        """Adds a network fault; its times are on the scenario's clock."""
        self.faults = [earlier for earlier in self.faults if earlier.until > self.fakes.now()] + [fault]
        self._network.paths = NetworkPaths(self.faults, self._draw)
        self.fakes.recorder.record(
            FaultRow, until=fault.until + FAULT_SLACK, kind=f"path-{fault.kind}", target="paths"
        )

    def record_fault(self, kind: str, name: str, seconds: float = 0.0) -> None:
        """Records a fault of a process for the audit."""
        until = self.fakes.now() + round(seconds * NS_PER_S) + FAULT_SLACK
        target = supervised_by(name) if name[0] == "k" else name
        self.fakes.recorder.record(FaultRow, until=until, kind=kind, target=target)

    # Clients

    async def run_client(self, *arguments: str, timeout_s: float = 60.0) -> tuple[int, str]:
        """Runs `valverouter fleet ARGUMENT tool.ini ...`; returns its exit code and its output.

        The exit code is -1 if the process was killed after `timeout_s`.
        """
        command = [*CLI, "fleet", arguments[0], str(self.folder / "tool.ini"), *arguments[1:]]
        with trio.move_on_after(timeout_s):
            completed = await trio.run_process(command, capture_stdout=True, capture_stderr=True, check=False)
            return completed.returncode, (completed.stdout + completed.stderr).decode()
        return -1, ""

    async def status(self) -> FleetStatus | None:
        """Returns the fleet's status; None if no leader answered."""
        code, output = await self.run_client("status", "--json", timeout_s=STATUS_TIMEOUT_S)
        if code != 0 or not output:
            return None
        return msgspec.json.decode(output.splitlines()[0], type=FleetStatus)

    async def _history(self) -> list[OperationStatus]:
        code, output = await self.run_client("history", "--json", timeout_s=STATUS_TIMEOUT_S)
        if code != 0 or not output:
            return []
        return msgspec.json.decode(output.splitlines()[0], type=list[OperationStatus])

    async def wait_until_settled(self, timeout_s: float) -> FleetStatus:
        """Waits until every operation has ended and every instance is in service or drained.

        Raises TooSlowError after `timeout_s`.
        """
        with trio.fail_after(timeout_s):
            while True:
                status = await self.status()
                if (
                    status is not None
                    and all(operation.phase == "ended" for operation in status.operations)
                    and all(instance.state in ("in", "drained") for instance in status.instances)
                ):
                    return status
                await trio.sleep(0.3)

    # Shutdown

    async def stop_all(self) -> None:
        """Stops all processes; records the rows of supervisors' logs and of the operation log."""
        operations = await self._history()
        for process in self.processes.values():
            process.terminate()
        with trio.move_on_after(STOP_TIMEOUT_S):
            while any(process.poll() is None for process in self.processes.values()):
                await trio.sleep(0.05)
        for name, process in self.processes.items():
            if process.poll() is None:
                process.kill()
            process.wait()
            if name[0] == "k" and (pid := self.find_pid(supervised_by(name))) is not None:
                os.kill(pid, signal.SIGKILL)
        for name in (*self.edges, *self.servers):
            log = self.folder / f"{supervisor_of(name)}.log"
            append_log_rows(self.fakes.recorder.rows, log, name, self.fakes.now())
        for operation in operations:
            self._record_operation(operation)

    def _record_operation(self, operation: OperationStatus) -> None:
        members = {
            participant.name: (participant.status, participant.permit_number, participant.previous_version)
            for participant in operation.participants
        }
        self.fakes.recorder.record(
            OperationRow,
            operation=operation.id,
            kind=operation.kind,
            version=operation.version,
            phase=operation.phase,
            result=operation.result,
            members=members,
        )


def _terminate_with_parent() -> None:
    """Makes the kernel send SIGTERM to a child process when its parent ends; runs in the child before exec.

    Otherwise a harness that is killed would leave its fleet running and loading the machine. A supervisor
    that gets SIGTERM stops its edge proxy first.
    """
    ctypes.CDLL(None).prctl(PR_SET_PDEATHSIG, signal.SIGTERM)


def _free_ports(count: int, kind: socket.SocketKind) -> list[int]:
    rng = random.SystemRandom()
    bound: dict[int, socket.socket] = {}
    try:
        while len(bound) < count:
            candidate, port = socket.socket(socket.AF_INET, kind), rng.randrange(*PORT_RANGE)
            try:
                candidate.bind(("127.0.0.1", port))
                bound[port] = candidate
            except OSError:
                candidate.close()
        return list(bound)
    finally:
        for bound_socket in bound.values():
            bound_socket.close()


def run_operations(
    scenario: ScenarioConfig,
    folder: Path,
    script: Callable[[OperationHarness], Awaitable[None]],
    max_unavailable: int = 2,
    max_per_region: int = 1,
    servers: bool = False,
    min_capacity_fraction: float = 0.0,
) -> list[Row]:
    """Plays the scenario while `script` runs; returns its rows and those of the supervisors' logs.

    `servers`: whether servers have supervisors too. `min_capacity_fraction`: the fraction of a region's edge
    proxy capacity that must remain in service.
    """

    async def main() -> list[Row]:
        fakes = ScenarioFakes(
            scenario, SocketRuntime(), scenario.run.slack, lambda name: "127.0.0.1:0", FAULT_SLACK
        )
        limits = max_unavailable, max_per_region
        with trio.CancelScope() as scope:
            async with trio.open_nursery() as nursery:
                await fakes.start(nursery)
                harness = OperationHarness(scenario, folder, fakes, limits, servers, min_capacity_fraction)
                await harness.open(nursery)
                try:
                    await _play(scenario, fakes, harness, script)
                finally:
                    with trio.CancelScope(shield=True):
                        await harness.stop_all()
                scope.cancel()
        return fakes.recorder.rows

    return trio.run(main)


async def _play(
    scenario: ScenarioConfig,
    fakes: ScenarioFakes,
    harness: OperationHarness,
    script: Callable[[OperationHarness], Awaitable[None]],
) -> None:
    await harness.start_all()
    harness.add_callers()
    await trio.sleep(scenario.run.settle / NS_PER_S)
    async with trio.open_nursery() as playing:
        playing.start_soon(run_calls_and_faults, fakes)
        playing.start_soon(script, harness)
