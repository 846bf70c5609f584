"""The supervisor process: performs the actions that `rollout`'s Supervisor chooses for one instance.

It starts the instance's program in the desired version, queries its counters, reports to the control plane's
raft servers, and brings the instance to the desired state sent by the leader. It needs no privileges, and
depends on nothing of the program but the command that starts it.
"""

from __future__ import annotations

import os
import secrets
import signal
import subprocess
from collections.abc import Awaitable, Callable
from contextlib import ExitStack
from pathlib import Path
from typing import IO

import msgspec
import structlog
import trio

from valverouter.config.rollout import SupervisorConfig
from valverouter.edge.runtime import Runtime
from valverouter.fleet.clock import monotonic_ns
from valverouter.fleet.control_plane_link import ControlPlaneLink
from valverouter.fleet.instance_probe import InstanceProbe
from valverouter.fleet.instance_status import VERSION_VARIABLE
from valverouter.fleet.list_client import ListClient
from valverouter.fleet.managed_process import ManagedProcess
from valverouter.fleet.messages import DesiredStateMessage
from valverouter.fleet.transport import Transport
from valverouter.ledger.supervisor_store import SupervisorStore
from valverouter.rollout.disruption_limits import InstanceKind
from valverouter.rollout.reports import InstanceCounters, InstanceInfo
from valverouter.rollout.supervisor import Supervisor, SupervisorAction
from valverouter.rollout.supervisor_state import SupervisorState
from valverouter.signalling.serverlist import DrainEnded, DrainRequest

# Maximum time to wait for a datagram before the next action and reports are checked.
MAX_SLEEP_S = 0.05
NS_PER_S = 1e9
INCARNATION_BITS = 63

log = structlog.get_logger()


class SupervisorService:
    """Supervises one instance: its process, its counters, and its drain if it is a server."""

    def __init__(
        self,
        config: SupervisorConfig,
        runtime: Runtime,
        store: SupervisorStore,
        state: SupervisorState | None,
    ) -> None:
        """`state` is the state loaded from the store; None if the store is new or was lost."""
        self.supervisor = Supervisor(_instance_info(config), state or SupervisorState(config.version))
        self._config = config
        self._runtime = runtime
        self._store = store
        self._starts_without_state = state is None
        self._incarnation = secrets.randbits(INCARNATION_BITS)
        self._list_client = ListClient(runtime, config.list_service, config.name)
        self._log = log.bind(keeper=config.name)
        self._process: ManagedProcess | None = None
        # Processes that this supervisor started and has to reap, by process id.
        self._children: dict[int, subprocess.Popen[bytes]] = {}
        self._nursery: trio.Nursery | None = None
        self._logged_outcome: tuple[int, int, str] | None = None

    async def run(self, task_status: trio.TaskStatus[str] = trio.TASK_STATUS_IGNORED) -> None:
        """Runs until the program has ended after `shut_down`; raises OSError if a socket can't be bound."""
        with ExitStack() as sockets:
            socket = self._runtime.bind_datagrams(self._config.listen)
            sockets.callback(socket.close)
            probe = self._open_probe()
            if probe is not None:
                sockets.callback(probe.close)
            transport = Transport(socket, self._config.keys, self._config.name, self._incarnation)
            link = ControlPlaneLink(transport, self._config.name, self._config.council)
            self._log.info("supervisor-listening", address=transport.address)
            task_status.started(transport.address)
            if self._starts_without_state:
                await self._await_desired_state(link)
                await self._find_running_process(probe)
            async with trio.open_nursery() as self._nursery:
                self._resume_process()
                await self._supervise(link, probe)
                self._nursery.cancel_scope.cancel()

    def shut_down(self) -> None:
        """Stops the program on the machine's request, reports it to the control plane and ends `run`."""
        self.supervisor.shut_down()

    def _open_probe(self) -> InstanceProbe | None:
        address = self._config.asks
        if not address:
            return None
        socket = self._runtime.bind_datagrams(_wildcard_address(address))
        return InstanceProbe(socket, address, self._config.keys, self._incarnation)

    async def _supervise(self, link: ControlPlaneLink, probe: InstanceProbe | None) -> None:
        while True:
            with trio.move_on_after(MAX_SLEEP_S):
                await link.wait_readable()
            await self._runtime.checkpoint()
            self._receive(link)
            if probe is not None:
                self._update_counters(probe)
            self._act()
            link.report_if_due(self.supervisor.report)
            if self.supervisor.is_leaving and not self.supervisor.is_running:
                link.report(self.supervisor.report())
                return

    # Start without a stored state

    async def _await_desired_state(self, link: ControlPlaneLink) -> None:
        """Waits for a desired state from the control plane before a process is started.

        The version in the configuration file may have been rolled back since it was written. A control plane
        that does not answer delays the start by at most `hears_within`.
        """
        with trio.move_on_after(self._config.hears_within / NS_PER_S):
            while not link.has_received:
                link.report_if_due(self.supervisor.report)
                with trio.move_on_after(MAX_SLEEP_S):
                    await link.wait_readable()
                self._receive(link)

    async def _find_running_process(self, probe: InstanceProbe | None) -> None:
        """Finds a process that a previous incarnation of this supervisor started before it lost its disk.

        A running instance replies to a query with its process id. A second instance could not bind the
        addresses that the first one uses.
        """
        counters = await probe.find_running() if probe is not None else None
        if counters is None:
            return
        process = ManagedProcess.attach(counters.pid)
        state = self.supervisor.state
        state.process = process.identity if process is not None else ""
        state.running_version = counters.version_label
        if process is not None:
            process.close()

    # Messages

    def _receive(self, link: ControlPlaneLink) -> None:
        for message in link.receive():
            self._on_desired_state(message)

    def _on_desired_state(self, message: DesiredStateMessage) -> None:
        desired = message.desired
        if self.supervisor.on_desired_state(monotonic_ns(), desired, message.is_open):
            self._log.info(
                "step-started",
                number=desired.permit_number,
                step=desired.step_index,
                order=desired.operation,
                version=desired.version,
                up=desired.up,
            )

    def _update_counters(self, probe: InstanceProbe) -> None:
        for counters in probe.receive():
            resident = self._process.resident_bytes if self._process is not None else 0
            self.supervisor.on_counters(msgspec.structs.replace(counters, memory_bytes=resident))
        if probe.is_timed_out and self.supervisor.counters.incarnation:
            self.supervisor.counters = InstanceCounters()
        if self.supervisor.is_running:
            probe.query_if_due()

    # Actions

    def _act(self) -> None:
        while (action := self.supervisor.next_action(monotonic_ns())) is not None:
            self._carry_out(action)
        self._log_outcome()

    def _carry_out(self, action: SupervisorAction) -> None:
        match action:
            case SupervisorAction.SAVE:
                # Not in a thread: a step must not begin before it is on disk, and no other task needs the
                # event loop meanwhile.
                self._store.save(self.supervisor.state)
                self.supervisor.on_saved()
            case SupervisorAction.STOP:
                self._stop_process()
            case SupervisorAction.REQUEST_DRAIN:
                self._start_task(self._request_drain, self._permit_number())
            case SupervisorAction.END_DRAIN:
                self._start_task(self._end_drain, self._permit_number())
            case SupervisorAction.START:
                self._start_process()

    def _permit_number(self) -> int:
        steps = self.supervisor.state.steps
        return steps[-1].permit_number if steps else 0

    def _log_outcome(self) -> None:
        """Logs the outcome of the latest step once."""
        steps = self.supervisor.state.steps
        if not steps or not steps[-1].outcome:
            return
        step = steps[-1]
        outcome = step.permit_number, step.index, step.outcome
        if outcome != self._logged_outcome:
            self._logged_outcome = outcome
            self._log.info(
                "step-ended",
                number=step.permit_number,
                step=step.index,
                outcome=step.outcome,
                why=step.reason,
            )

    # Process

    def _resume_process(self) -> None:
        """Reattaches to a process that a previous incarnation left running."""
        state = self.supervisor.state
        process = ManagedProcess.reattach(state.process)
        if process is not None:
            self._process = process
            self.supervisor.resume(True)
            self._log.info("process-adopted", version=state.running_version, process=process.pid)
            self._start_task(self._await_exit, process)

    def _start_process(self) -> None:
        version = self.supervisor.state.version
        try:
            child = self._spawn(version)
            self._children[child.pid] = child
            process = ManagedProcess(child.pid)
        except OSError as error:
            self._log.error("process-start-failed", version=version, why=str(error))
            self.supervisor.on_start_failed(monotonic_ns())
            return
        self._process = process
        self.supervisor.on_started(monotonic_ns(), version, process.identity)
        self._log.info("process-started", version=version, process=process.pid)
        self._start_task(self._await_exit, process)

    def _spawn(self, version: str) -> subprocess.Popen[bytes]:
        """Starts the version's command; raises OSError if none is configured or it can't be started."""
        command = self._config.commands.get(version, ())
        if not command:
            raise OSError(f"no command is configured for version {version!r}")
        if not self._config.output:
            return _popen(command, version, subprocess.DEVNULL)
        with Path(self._config.output).open("ab") as output:
            return _popen(command, version, output)

    async def _await_exit(self, process: ManagedProcess) -> None:
        await process.wait()
        child = self._children.pop(process.pid, None)
        code = child.wait() if child is not None else None
        self._log.info("process-exited", process=process.pid, code=code)
        process.close()
        if self._process is process:
            self._process = None
            self.supervisor.on_exited(monotonic_ns())

    def _stop_process(self) -> None:
        self.supervisor.on_stop_requested()
        process = self._process
        if process is not None:
            process.signal(signal.SIGTERM)
            self._start_task(self._kill_after_timeout, process)

    async def _kill_after_timeout(self, process: ManagedProcess) -> None:
        """Kills a process that still runs `stop_within` after its SIGTERM."""
        await trio.sleep(self._config.stop_within / NS_PER_S)
        if self._process is process:
            self._log.warning("process-killed", process=process.pid)
            process.signal(signal.SIGKILL)

    # List service

    async def _request_drain(self, number: int) -> None:
        """Requests the server's drain; once granted, waits `drain_within` before the server is stopped."""
        answer = await self._list_client.request_until_answered(DrainRequest(self._config.name, number))
        self._log_drain_answer(True, number, answer.granted, answer.refusal)
        if answer.granted:
            await trio.sleep(self._config.drain_within / NS_PER_S)
        self.supervisor.on_drain_answer(answer.granted, answer.refusal)

    async def _end_drain(self, number: int) -> None:
        answer = await self._list_client.request_until_answered(DrainEnded(self._config.name, number))
        self._log_drain_answer(False, number, answer.granted, answer.refusal)

    def _log_drain_answer(self, is_request: bool, number: int, granted: bool, reason: str) -> None:
        self._log.info("list-answer-received", leaves=is_request, number=number, given=granted, why=reason)

    def _start_task(self, function: Callable[..., Awaitable[object]], *arguments: object) -> None:
        assert self._nursery is not None
        self._nursery.start_soon(function, *arguments)


def _popen(command: tuple[str, ...], version: str, output: IO[bytes] | int) -> subprocess.Popen[bytes]:
    # In a new session, so that signals to the supervisor's terminal session don't stop the instance.
    return subprocess.Popen(
        command,
        stdin=subprocess.DEVNULL,
        stdout=output,
        stderr=output,
        start_new_session=True,
        env=os.environ | {VERSION_VARIABLE: version},
    )


def _instance_info(config: SupervisorConfig) -> InstanceInfo:
    return InstanceInfo(
        config.name,
        InstanceKind.SERVER if config.is_server else InstanceKind.EDGE,
        config.region,
        config.capacity,
        config.processor,
        tuple(sorted(config.commands)),
    )


def _wildcard_address(address: str) -> str:
    """Returns the wildcard address with any port, in the address family of `address`."""
    return "[::]:0" if address.startswith("[") else "0.0.0.0:0"
