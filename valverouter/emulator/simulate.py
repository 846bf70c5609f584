"""Runs an emulated fleet through its scenario: settling time, calls and faults, and the last answers."""

from __future__ import annotations

from dataclasses import dataclass, field

from valverouter.config.scenario_sections import FaultConfig
from valverouter.emulator.call_generation import CallGenerator, CallLoad
from valverouter.emulator.edge_faults import EdgeFaults
from valverouter.emulator.edge_model import ServerView
from valverouter.emulator.fault_targets import FaultProcess, FaultTargets
from valverouter.emulator.fleet import Fleet
from valverouter.emulator.server_faults import ServerFaults
from valverouter.emulator.servers import EmulatedServer
from valverouter.signalling.traffic_record import CallersStartedRow, Row

SECOND = 1_000_000_000
# Interval at which edge proxies without events read the load reports, so that none waits long, ns.
ADVANCE_INTERVAL = 2 * SECOND
# Interval at which unanswered dialogs are checked at the end of a run, ns.
ANSWER_POLL_INTERVAL = SECOND // 20
# Simulated time after the last answer, ns.
FINAL_DELAY = 300_000_000


@dataclass(frozen=True, slots=True)
class ServerSample:
    """The edge proxies' estimates for a server at a time, averaged over all running edge proxies.

    `queue_delay` in ns; `window`: the concurrency window; `token_fraction`: the fraction of retry tokens
    left.
    """

    at: int
    server: str
    queue_delay: float
    window: float
    token_fraction: float


@dataclass(slots=True)
class ScenarioResult:
    """The result of a run: rows, servers with their counters, number of calls dialled, and samples."""

    rows: list[Row]
    servers: dict[str, EmulatedServer] = field(default_factory=dict)
    dialled: int = 0
    samples: list[ServerSample] = field(default_factory=list)


class _ScenarioRun:
    """One run of a fleet's scenario."""

    def __init__(self, fleet: Fleet, sample_interval: int) -> None:
        self._fleet = fleet
        self._sample_interval = sample_interval
        self._load = CallLoad()
        self._samples: list[ServerSample] = []
        targets = FaultTargets(fleet)
        self._faults = ServerFaults(fleet, targets).by_kind()
        self._faults |= EdgeFaults(fleet, targets, self._load).by_kind()

    def run(self) -> ScenarioResult:
        """Runs the scenario, then waits until all callers are answered or their no-answer timeouts expire."""
        fleet, sim = self._fleet, self._fleet.sim
        for edge in fleet.edges:
            edge.start(fleet.endpoint_list.complete())
        settled_at = sim.now() + fleet.scenario.run.settle
        ends_at = settled_at + fleet.scenario.run.length
        sim.run(settled_at)
        self._start_load(ends_at)
        sim.run(ends_at)
        self._wait_for_answers(ends_at)
        return ScenarioResult(fleet.recorder.rows, fleet.servers, self._load.dialled, self._samples)

    def _start_load(self, ends_at: int) -> None:
        fleet = self._fleet
        fleet.recorder.record(CallersStartedRow)
        for name, fault in fleet.scenario.faults.items():
            fleet.sim.env.process(self._run_fault(name, fault))
        for callers in fleet.callers:
            CallGenerator(fleet, self._load, callers, ends_at).start()
        self._advance_edges()
        if self._sample_interval:
            self._sample()

    def _run_fault(self, name: str, fault: FaultConfig) -> FaultProcess:
        yield self._fleet.sim.env.timeout(fault.start)
        yield from self._faults[fault.kind](fault, self._fleet.random_stream(f"trouble {name}"))

    def _wait_for_answers(self, ends_at: int) -> None:
        fleet, sim = self._fleet, self._fleet.sim
        for callers in fleet.callers:
            callers.abandon_fraction = 1.0
        deadline = ends_at + max(mix.no_answer for mix in fleet.scenario.mix.values()) + SECOND
        while sim.now() < deadline and any(callers.is_waiting for callers in fleet.callers):
            sim.run(min(deadline, sim.now() + ANSWER_POLL_INTERVAL))
        sim.run(sim.now() + FINAL_DELAY)

    def _advance_edges(self) -> None:
        for edge in self._fleet.edges:
            edge.advance()
        self._fleet.sim.call_after(ADVANCE_INTERVAL, self._advance_edges)

    def _sample(self) -> None:
        views: dict[str, list[ServerView]] = {}
        for edge in self._fleet.edges:
            if edge.is_running:
                for server, view in edge.server_views().items():
                    views.setdefault(server, []).append(view)
        now = self._fleet.sim.now()
        for server, server_views in sorted(views.items()):
            means = [sum(values) / len(server_views) for values in zip(*server_views, strict=True)]
            self._samples.append(ServerSample(now, server, *means))
        self._fleet.sim.call_after(self._sample_interval, self._sample)


def simulate_scenario(fleet: Fleet, sample_interval: int = 0) -> ScenarioResult:
    """Runs a fleet's scenario to the end.

    `sample_interval`: ns between samples of the edge proxies' estimates for servers; 0: no samples.
    """
    return _ScenarioRun(fleet, sample_interval).run()
