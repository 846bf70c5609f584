"""Soak run of `valverouter edge` with its dialog store; the audit checks the rules."""

from __future__ import annotations

import random
import signal
from collections import Counter
from contextlib import suppress
from pathlib import Path

import trio

from valverouter.audit.records import FINAL_ANSWERS
from valverouter.audit.rules import audit
from valverouter.config.ini import IniFile
from valverouter.config.scenario import ScenarioConfig, scenario_config
from valverouter.edge.sockets import SocketRuntime
from valverouter.scenarios.loopback import ANY_PORT, FAULT_SLACK, LoopbackEdge
from valverouter.scenarios.scenario_fakes import NS_PER_S, ScenarioFakes
from valverouter.scenarios.scenario_runner import run_calls_and_faults
from valverouter.signalling.traffic_record import FaultRow, MessageRow
from valverouter.soak.event_loop_lag import watch_lag
from valverouter.soak.judge import Outcome, RunVerdict
from valverouter.soak.plan import FileChange, RunPlan, ScheduledSignal, ServerBehavior
from valverouter.soak.process import log_problem
from valverouter.soak.record import RunRecord

# Time after the restart in which callers that reconnect are observed.
TIME_AFTER_RESTART_S = 2.0
TRUNCATED_FILE_S = 0.05
READ_SIZE = 4_096
# The scenario fault that reproduces each server behavior.
FAULT_KINDS = {
    ServerBehavior.LATE: "kind = slow\nsize = 3",
    ServerBehavior.NEVER: "kind = hang",
    ServerBehavior.HANGS_AT_SHUTDOWN: "kind = hang",
    ServerBehavior.RESETS: "kind = reconnect",
    ServerBehavior.CLOSES_IDLE: "kind = reconnect",
}
SCENARIO = """
[day]
length = {length_ms}ms
seed = {seed}

[fleet]
edge_proxies = 1
legs_allowed = 6
may_cancel = yes
come_back_limit = 2s
release_wait = 300ms
cold_share = 0.35
tip_multiple = 2.5
tip_span = 1s
warm_after = 15s

[servers]
lines = 400
setup_work = 3ms
answer_work = 1ms
release_work = 1ms
refuse_work = 1ms
repeat_work = 2ms
resend_first = 500ms
most_wait = 2500ms

[traffic plain]
objective = 1500ms
length = 1s

[mix plain]
share = 1
no_answer = {no_answer_ms}ms

[callers]
rate = {rate}
redials = 2
redial_wait = 300ms

[ledger]
"""


def build_scenario(plan: RunPlan) -> ScenarioConfig:
    """Builds the scenario of a plan: the servers' faults, and calls until after the restart."""
    length_s = plan.stop_s + plan.kill_after_s + TIME_AFTER_RESTART_S
    text = SCENARIO.format(
        length_ms=round(length_s * 1e3),
        seed=plan.seed,
        no_answer_ms=round(plan.longest_deadline_s * 1e3),
        rate=round(plan.setups_per_s),
    )
    for number, behavior in enumerate(plan.servers):
        if (fault := FAULT_KINDS.get(behavior)) is None:
            continue
        start_s = plan.stop_s if behavior is ServerBehavior.HANGS_AT_SHUTDOWN else 0.2
        length_ms = round((length_s - start_s) * 500)
        text += f"\n[trouble t{number}]\n{fault}\nstart = {round(start_s * 1e3)}ms\n"
        text += f"length = {length_ms}ms\non = s{number}\n"
    servers = f"[region north]\nedges = 1\nservers = {len(plan.servers)}\n"
    return scenario_config(IniFile(text + "\n" + servers, f"soak {plan.seed}"), "soak")


class EdgeRun:
    """One run of an edge proxy that speaks this project's own protocol."""

    def __init__(self, plan: RunPlan, folder: Path) -> None:
        """Prepares a run whose logs and files are written to `folder`."""
        self.record = RunRecord()
        self._plan = plan
        self._folder = folder
        self._rng = random.Random(f"soak/{plan.seed}/run")
        self._violations: list[str] = []
        self._margins: list[int] = []

    async def play(self) -> RunVerdict:
        """Runs the plan and returns its verdict."""
        scenario = build_scenario(self._plan)
        runtime = SocketRuntime()
        fakes = ScenarioFakes(scenario, runtime, scenario.run.slack, lambda name: ANY_PORT, FAULT_SLACK)
        with trio.CancelScope() as scope:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(watch_lag, self.record)
                await fakes.start(nursery)
                address = fakes.endpoint_list.address
                edge = LoopbackEdge(scenario, 0, address, self._folder, nursery)
                await edge.start()
                fakes.add_callers(0, edge)
                await trio.sleep(scenario.run.settle / NS_PER_S)
                for _ in range(self._plan.idle_connections):
                    nursery.start_soon(self._keep_idle_connection, edge)
                async with trio.open_nursery() as playing:
                    playing.start_soon(run_calls_and_faults, fakes)
                    await self._send_signals(edge, fakes)
                await edge.stop()
                self._check_exit(edge)
                scope.cancel()
        return self._judge(fakes, edge)

    async def _send_signals(self, edge: LoopbackEdge, fakes: ScenarioFakes) -> None:
        """Sends the plan's signals, waits for the process to end, and starts another one."""
        began = trio.current_time()
        stopped_at = None
        for item in self._plan.signals:
            await trio.sleep_until(began + item.at_s)
            await self._change_file(edge, item)
            if item.number != signal.SIGHUP and stopped_at is None:
                stopped_at = trio.current_time()
                self._record_fault(fakes, "balancer_leave", self._plan.kill_after_s)
            edge.send_signal(item.number)
        assert stopped_at is not None
        kill_at = stopped_at + self._plan.kill_after_s
        if await edge.wait_until_ended(kill_at - trio.current_time()):
            self._margins.append(round((kill_at - trio.current_time()) * NS_PER_S))
            self._check_exit(edge)
        else:
            self._margins.append(0)
            self._record_fault(fakes, "balancer_crash", 0)
            await edge.kill()
        await edge.start()

    async def _keep_idle_connection(self, edge: LoopbackEdge) -> None:
        """Keeps a connection open without sending anything, until the edge proxy closes it."""
        await trio.sleep(self._rng.random() * self._plan.stop_s)
        with suppress(OSError, trio.BrokenResourceError, trio.ClosedResourceError):
            async with await SocketRuntime().connect(edge.address) as stream:
                while await stream.receive_some(READ_SIZE):
                    pass

    async def _change_file(self, edge: LoopbackEdge, item: ScheduledSignal) -> None:
        if item.file is FileChange.TRUNCATED:
            text = edge.config_file.read_text("utf-8")
            edge.config_file.write_text(text[: len(text) // 2], "utf-8")
            edge.send_signal(item.number)
            await trio.sleep(TRUNCATED_FILE_S)
            edge.config_file.write_text(text, "utf-8")

    def _record_fault(self, fakes: ScenarioFakes, kind: str, length_s: float) -> None:
        until = fakes.now() + round(length_s * NS_PER_S) + FAULT_SLACK
        fakes.recorder.record(FaultRow, until=until, kind=kind, target="e0")

    def _check_exit(self, edge: LoopbackEdge) -> None:
        if edge.returncode != 0:
            self._violations.append(f"a process ended with {edge.returncode}")

    def _judge(self, fakes: ScenarioFakes, edge: LoopbackEdge) -> RunVerdict:
        rows = fakes.recorder.rows
        found = [f"rule {item.rule}: {item.subject} {item.text}" for item in audit(rows).violations]
        lines = edge.log_file.read_bytes().splitlines()
        found += [problem for line in lines if (problem := log_problem(line))]
        kinds = Counter(row.kind for row in rows if isinstance(row, MessageRow) and row.peer == "c0")
        answers = sum(kinds[kind] for kind in FINAL_ANSWERS)
        return RunVerdict(Counter({Outcome.ANSWERED: answers}), found + self._violations, self._margins)
