"""Soak run of the platform's edge proxy as a process."""

from __future__ import annotations

import random
import signal
import socket
import time
from pathlib import Path
from typing import Any

import msgspec
import trio

from valverouter.audit.attempt_rules import check_attempts
from valverouter.audit.endpoint_rules import check_draining
from valverouter.audit.records import in_order
from valverouter.audit.verdict import Verdict
from valverouter.edge.sockets import SocketRuntime
from valverouter.signalling.traffic_record import AuditConfigRow, TrafficRecorder
from valverouter.soak.core_servers import CoreServer, EventBus
from valverouter.soak.event_loop_lag import watch_lag
from valverouter.soak.judge import TIME_LIMIT_SLACK, RunVerdict, judge_run
from valverouter.soak.plan import (
    INCOMPLETE_MESSAGE_FRACTION,
    LAST_CONNECT_RANGE_S,
    FileChange,
    RunPlan,
    ScheduledSignal,
    ServerBehavior,
)
from valverouter.soak.platform_callers import PlatformCallers
from valverouter.soak.process import EdgeProcess
from valverouter.soak.record import ProcessRecord, RunRecord

EDGE = "n0"
PLATFORM_EDGE_COMMAND = ["-m", "valverouter.platform_edge"]
SECOND = 10**9
RELEASE_GUARD_US = 200_000
# The platform's rule on draining servers: no new set-up from this long after the announcement.
STOP_SENDING_S = 1.0
SETTLE_S = 0.2


class PlatformRun:
    """One run, its peers and its processes."""

    def __init__(self, plan: RunPlan, folder: Path, command: list[str]) -> None:
        """Prepares a run.

        `command`: the arguments of python that start the edge proxy. Logs and files are written to `folder`.
        """
        self.record = RunRecord()
        self._plan = plan
        self._folder = folder
        self._command = command
        self._rng = random.Random(f"soak/{plan.seed}/run")
        self._recorder = TrafficRecorder(time.monotonic_ns)
        self._recorder.record(
            AuditConfigRow,
            release_wait=RELEASE_GUARD_US * 1_000,
            slack=TIME_LIMIT_SLACK,
            latency_objectives={},
            priority_weights={},
        )
        self._bus = EventBus(self._recorder, EDGE, self._on_bus_poll)
        self._servers = [
            CoreServer(
                f"s{number}", behavior, EDGE, random.Random(f"soak/{plan.seed}/s{number}"), self._recorder
            )
            for number, behavior in enumerate(plan.servers)
        ]
        self._config_file = folder / "config.json"
        self._listen = _free_address()
        self._bus_address = ""
        self._reloaded_bus_address = ""
        self._last_connection_at = float("inf")

    async def play(self) -> RunVerdict:
        """Runs the plan and returns its verdict."""
        with trio.CancelScope() as scope:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(watch_lag, self.record)
                for server in self._servers:
                    await nursery.start(server.run)
                self._bus_address = await nursery.start(self._bus.listen)
                hosts = [self._host(number) for number in range(len(self._servers))]
                self._bus.publish(hosts, whole=True)
                await self._play_processes(nursery)
                scope.cancel()
        verdict = judge_run(self.record, round(self._plan.kill_after_s * SECOND))
        verdict.violations += self._audit_servers()
        return verdict

    async def _play_processes(self, nursery: trio.Nursery) -> None:
        plan = self._plan
        callers = PlatformCallers(
            self._listen,
            random.Random(f"soak/{plan.seed}/callers"),
            [round(plan.longest_deadline_s * 1e3), round(plan.longest_deadline_s * 500)],
            len(self._servers),
            lambda: trio.current_time() < self._last_connection_at,
        )
        self.record.setups = callers.setups
        for number in range(1 + plan.restarts):
            callers.process = number
            self._last_connection_at = float("inf")
            await self._play_process(number, callers, nursery)

    async def _play_process(self, number: int, callers: PlatformCallers, servers: trio.Nursery) -> None:
        """Runs one process: starts it and its callers, and ends it by the plan's signals."""
        self._write_config(FileChange.REPLACED)
        record = ProcessRecord(number)
        self.record.processes.append(record)
        process = EdgeProcess(record, self._folder / f"n0-{number}.log")
        async with trio.open_nursery() as nursery:
            environment = {"RELAY_CONFIG": str(self._config_file)}
            await nursery.start(process.run, self._command, environment)
            await trio.sleep(SETTLE_S)
            for _ in range(self._plan.callers):
                nursery.start_soon(callers.run_caller, self._plan.setups_per_s / self._plan.callers)
            if number == 0:
                for _ in range(self._plan.idle_connections):
                    nursery.start_soon(self._keep_idle_connection)
                nursery.start_soon(self._drain_server)
                await self._send_signals(process, servers)
            else:
                await trio.sleep(self._rng.uniform(0.5, 1.5))
                self._stop(process, signal.SIGTERM)
            await process.wait_or_kill(record.stopped_at + round(self._plan.kill_after_s * SECOND))
            await trio.sleep(SETTLE_S)
            nursery.cancel_scope.cancel()
        for setup in callers.setups:
            if setup.process == number and not setup.answers and not setup.connection_ended_at:
                setup.connection_ended_at = record.ended_at

    # Signals and the configuration file

    async def _send_signals(self, process: EdgeProcess, servers: trio.Nursery) -> None:
        began = trio.current_time()
        for item in self._plan.signals:
            await trio.sleep_until(began + item.at_s)
            if item.file is not FileChange.NONE:
                await self._change_file(item, servers)
            if item.number == signal.SIGHUP:
                process.send_signal(item.number)
            else:
                self._stop(process, item.number)

    def _stop(self, process: EdgeProcess, number: signal.Signals) -> None:
        if not process.record.stopped_at:
            process.record_resource_usage()
            process.record.stopped_at = time.monotonic_ns()
            self._last_connection_at = trio.current_time() + self._rng.uniform(*LAST_CONNECT_RANGE_S)
            for server in self._servers:
                server.is_hanging = server.behavior is ServerBehavior.HANGS_AT_SHUTDOWN
        process.send_signal(number)

    async def _change_file(self, item: ScheduledSignal, servers: trio.Nursery) -> None:
        """Replaces the file by one with another event bus address, or truncates it."""
        if item.file is FileChange.REPLACED:
            self._bus_address = await servers.start(self._bus.listen)
        self._write_config(item.file)
        early = [signal_ for signal_ in self._plan.sighups if signal_.at_s < self._plan.stop_s - 1]
        if early and item is early[-1] and item.file is FileChange.REPLACED:
            self.record.sighup_at = time.monotonic_ns()
            self._reloaded_bus_address = self._bus_address

    def _write_config(self, change: FileChange) -> None:
        data = msgspec.json.encode(self._config())
        if change is FileChange.TRUNCATED:
            self._config_file.write_bytes(data[: len(data) // 2])
            return
        temporary = self._config_file.with_suffix(".new")
        temporary.write_bytes(data)
        temporary.replace(self._config_file)

    def _on_bus_poll(self, address: str) -> None:
        if address == self._reloaded_bus_address and not self.record.sighup_applied_at:
            self.record.sighup_applied_at = time.monotonic_ns()

    def _config(self) -> dict[str, Any]:
        longest_us = round(self._plan.longest_deadline_s * 1e6)
        deadlines_us = [longest_us, longest_us // 2]
        servers = list(range(len(self._servers)))
        settings = {
            "categories": [
                {"name": f"class{number}", "objectiveUs": deadline // 4, "deadlineUs": deadline}
                for number, deadline in enumerate(deadlines_us)
            ],
            "nInstances": 1,
            "discovery": "pushed",
            "extra": {
                "classCells": [servers, servers],
                "callLengthUs": [500_000, 500_000],
                "releaseGuardUs": RELEASE_GUARD_US,
            },
            "limits": {"sendCap": 6, "mayCancel": True, "retryAfter": True, "maxRetryAfterUs": 2_000_000},
            "rules": {
                "startCapacity": 0.35,
                "tipMultiple": 2.5,
                "fallUs": 10**6,
                "warmWithinUs": 15 * 10**6,
                "stopSendingWithinUs": round(STOP_SENDING_S * 1e6),
            },
        }
        return {
            "name": EDGE,
            "listen": self._listen,
            "seed": f"{self._plan.seed:016x}",
            "bus": self._bus_address,
            "known": {"offset": 1, "batch": self._bus.events[:1]},
            "limits": {"cores": 1.0, "memory_mb": 64, "sockets": 1_024},
            "settings": settings,
        }

    # Peers

    def _host(self, number: int, health: str = "Ready") -> dict[str, Any]:
        server = self._servers[number]
        return {"host": server.name, "dial": server.address, "block": number, "health": health, "born_ms": 0}

    async def _drain_server(self) -> None:
        """Announces that the last server is draining.

        Records it only once the edge proxy must have stopped sending set-ups to it.
        """
        await trio.sleep(self._plan.drain_s)
        self._bus.publish([self._host(len(self._servers) - 1, "Terminating")])
        await trio.sleep(STOP_SENDING_S)
        self._bus.record_draining(self._servers[-1].name)

    async def _keep_idle_connection(self) -> None:
        """Keeps a connection open until the edge proxy closes it; some send an incomplete message."""
        await trio.sleep(self._rng.random() * self._plan.stop_s)
        try:
            stream = await SocketRuntime().connect(self._listen)
            async with stream:
                if self._rng.random() < INCOMPLETE_MESSAGE_FRACTION:
                    await stream.send_all(b"\x00\x40\x01half")
                while await stream.receive_some(4_096):
                    pass
        except (OSError, trio.BrokenResourceError, trio.ClosedResourceError):
            return

    def _audit_servers(self) -> list[str]:
        """Checks rules 2, 3 and 5 on the messages recorded at the core servers' sockets."""
        rows = in_order(self._recorder.rows)
        config = next(row for row in rows if isinstance(row, AuditConfigRow))
        verdict = Verdict()
        check_attempts(rows, config, verdict)
        check_draining(rows, config, verdict)
        return [f"rule {found.rule}: {found.subject} {found.text}" for found in verdict.violations]


def _free_address() -> str:
    with socket.socket() as free:
        free.bind(("127.0.0.1", 0))
        return f"127.0.0.1:{free.getsockname()[1]}"
