"""Compares the router with the reference model at each step over fixed seeds, with and without defects."""

from __future__ import annotations

import dataclasses
import heapq
import logging
import random
from collections import Counter
from collections.abc import Callable, Iterator
from typing import Any

import msgspec
import pytest
import structlog

from tests.helpers import MS, SECOND, TYPE
from tests.reference_model import RuleModel, Step
from tests.test_scenarios import FAULT_SETTINGS, short_scenario
from valverouter import interface
from valverouter.audit.rules import audit
from valverouter.config.attempts import AttemptConfig, AttemptKeys, AttemptSection
from valverouter.config.scenario import ScenarioConfig
from valverouter.driver import Driver
from valverouter.edge.attempts import AttemptHandler
from valverouter.edge.dialogs import DialogTable
from valverouter.edge.server_links import ServerLinks
from valverouter.interface import AttemptResult, Endpoint, EndpointUpdateKind, LoadReport, Outcome
from valverouter.policy import tuning
from valverouter.policy.capacity import SlowStart
from valverouter.scenarios.scenario_fakes import ScenarioFakes
from valverouter.scenarios.virtual import VirtualEdge, run_virtual
from valverouter.signalling import setup, traffic_record

# The model compared with the Driver: a fleet of three drivers, with random outcomes of their attempts.

EDGES, SETUPS_PER_SECOND, MEAN_DURATION = 3, 20.0, 2 * SECOND
DEPLOYMENT_SETTINGS: dict[str, Any] = {
    "edge_proxies": EDGES, "own_server_number": -1, "endpoint_list_is_pushed": True, "max_attempts": 6,
    "can_cancel": True, "max_retry_after": 2 * SECOND, "release_delay": 300 * MS, "slow_start_fraction": 0.35,
    "overload_multiple": 1.2, "overload_window": SECOND, "slow_start_duration": 5 * SECOND,
}  # fmt: skip
TRAFFIC_TYPES = {
    "plain": dataclasses.replace(TYPE, mean_duration=MEAN_DURATION),
    "once": dataclasses.replace(TYPE, mean_duration=MEAN_DURATION, idempotent=False),
}
DRAWN_OUTCOMES = [Outcome.ESTABLISHED] * 14 + [
    Outcome.LINE_BUSY, Outcome.FAULT, Outcome.FULL, Outcome.NO_AGENT, Outcome.RESET, Outcome.UNREACHABLE,
    Outcome.TIMED_OUT, Outcome.TIMED_OUT,
]  # fmt: skip
CLOSING_OUTCOMES = (Outcome.LINE_BUSY, Outcome.FAULT, Outcome.FULL, Outcome.NO_AGENT)
STEP_KINDS = {Outcome.RESET: "reset", Outcome.UNREACHABLE: "unsent", Outcome.TIMED_OUT: "timed-out"}

Tamper = Callable[["DriverFleet", int, interface.Command], list[interface.Command]]


class DriverFleet:
    """Three Drivers with random events; the model checks each of their actions before it is carried out."""

    def __init__(self, seed: int, tamper: Tamper | None = None, **other: Any) -> None:
        self.rng = random.Random(seed)
        self.now = 1_000 * SECOND
        self.rules = RuleModel(DEPLOYMENT_SETTINGS["release_delay"])
        self.tamper = tamper
        self.tampered: list[int] = []
        self.settings = DEPLOYMENT_SETTINGS | other
        self.servers = {f"s{number}": number for number in range(4)}
        self.started_at = dict.fromkeys(self.servers, 0)
        self.phase = dict.fromkeys(self.servers, "in-service")
        self.established_counts: Counter[str] = Counter()
        self.drivers = [self._driver(fleet_index) for fleet_index in range(EDGES)]
        self.stalled_until = [0] * EDGES
        # The attempt in flight by dialog: fleet index, attempt number, server, id of the driver.
        self.in_flight: dict[str, tuple[int, int, str, int]] = {}
        self.event_heap: list[tuple[int, int, Callable[[], None]]] = []
        self.serial = 0
        self.dialogs = 0
        self.last_arrival = 0
        self.deadlines: dict[str, int] = {}

    def _driver(self, fleet_index: int) -> Driver:
        deployment = interface.Deployment(
            traffic_types=TRAFFIC_TYPES, fleet_index=fleet_index, **self.settings
        )
        driver = Driver(deployment, self.rng.randrange(10**6), self.now)
        driver.update_endpoints(EndpointUpdateKind.COMPLETE, [self.entry(server) for server in self.servers])
        for server in self.servers:
            self.record_endpoint_update(fleet_index, server)
        return driver

    def entry(self, server: str) -> Endpoint:
        in_service = self.phase[server] == "in-service"
        return Endpoint(server, self.servers[server], in_service, self.started_at[server])

    def record_endpoint_update(self, fleet_index: int, server: str) -> None:
        self.step("endpoint-update", server=server, edge=f"e{fleet_index}", detail=self.phase[server])

    def step(self, kind: str, **fields: Any) -> None:
        self.rules.step(Step(self.now, kind, **fields))

    def schedule(self, delay: int, action: Callable[[], None]) -> None:
        self.serial += 1
        heapq.heappush(self.event_heap, (self.now + delay, self.serial, action))

    # Events

    def run(self, length: int) -> None:
        end = self.now + length
        self.last_arrival = end - 15 * SECOND  # so that all dialogs are answered within the run
        self.schedule(0, self.on_arrival)
        self.schedule(SECOND, self.inject_fault)
        for fleet_index in range(EDGES):
            self.run_commands(fleet_index)
        while self.event_heap and self.event_heap[0][0] <= end:
            self.now, _, action = heapq.heappop(self.event_heap)
            action()
        self.now = end + 60 * SECOND
        self.step("time-passed")

    def deliver(
        self, fleet_index: int, action: Callable[[Driver], None], driver: Driver | None = None
    ) -> None:
        """Passes an event to a Driver: to a stalled one after its stall, never to one that was replaced."""
        target = driver or self.drivers[fleet_index]
        if self.now < self.stalled_until[fleet_index]:
            self.schedule(
                self.stalled_until[fleet_index] - self.now, lambda: self.deliver(fleet_index, action, target)
            )
        elif target is self.drivers[fleet_index]:
            target.tick(self.now)
            action(target)
            self.run_commands(fleet_index)

    def on_arrival(self) -> None:
        if self.now < self.last_arrival:
            self.schedule(int(self.rng.expovariate(30) * SECOND) + 1, self.on_arrival)
        fleet_index = self.rng.randrange(EDGES)
        if self.now < self.stalled_until[fleet_index]:
            return
        self.dialogs += 1
        dialog, until = f"d{self.dialogs}", self.now + self.rng.choice([400 * MS, 3 * SECOND, 6 * SECOND])
        kind = self.rng.choice(["plain"] * 5 + ["once", "unknown"])
        self.deadlines[dialog] = until
        self.step("accepted", dialog=dialog, edge=f"e{fleet_index}", until=until)
        request = interface.Dialog(dialog, kind, until, self.rng.randrange(4), self.rng.randrange(50))
        self.deliver(fleet_index, lambda driver: driver.start_dialog(request))
        if self.rng.random() < 0.04:
            self.schedule(self.rng.randrange(1, 2 * SECOND), lambda: self.on_caller_gone(dialog, fleet_index))

    def on_caller_gone(self, dialog: str, fleet_index: int) -> None:
        if any(step.dialog == dialog and step.kind == "answered" for step in self.rules.history):
            return
        if any(
            step.kind == "edge-restarted" and step.edge == f"e{fleet_index}"
            for step in self.rules.history[-400:]
        ):
            return  # the dialog may belong to the previous process, whose dialogs are lost
        self.step("caller-gone", dialog=dialog)
        if (current := self.in_flight.pop(dialog, None)) is not None:
            self.step("cancelled", dialog=dialog, attempt=current[1], server=current[2])
        self.deliver(fleet_index, lambda driver: driver.on_caller_gone(dialog))

    def finish_attempt(
        self, dialog: str, fleet_index: int, attempt: int, server: str, outcome: Outcome, driver: Driver
    ) -> None:
        """Finishes an attempt; ignored unless it is the one in flight, at the process that sent it."""
        if self.in_flight.get(dialog) != (fleet_index, attempt, server, id(driver)):
            return
        if (delay := self.stalled_until[fleet_index] - self.now) > 0:  # a stalled process defers it
            self.schedule(
                delay, lambda: self.finish_attempt(dialog, fleet_index, attempt, server, outcome, driver)
            )
            return
        del self.in_flight[dialog]
        if outcome is Outcome.ESTABLISHED:
            self.step("established", dialog=dialog, attempt=attempt, server=server)
            self.answer(dialog, fleet_index, "stands")
            self.established_counts[server] += 1
            self.schedule(
                int(self.rng.expovariate(1) * MEAN_DURATION) + 1,
                lambda: self.end_dialog(dialog, fleet_index, attempt, server),
            )
        else:
            kind = "closed" if outcome in CLOSING_OUTCOMES else STEP_KINDS.get(outcome, "cancelled")
            self.step(kind, dialog=dialog, attempt=attempt, server=server)
        retry_after = self.rng.randrange(SECOND) if outcome is Outcome.FULL else 0
        lines = 400.0
        report = LoadReport(free_lines=lines - self.established_counts[server], lines=lines)
        result = AttemptResult(dialog, attempt, server, outcome, retry_after=retry_after, load_report=report)
        self.deliver(fleet_index, lambda driver: driver.on_attempt_result(result), driver)

    def end_dialog(self, dialog: str, fleet_index: int, attempt: int, server: str) -> None:
        self.established_counts[server] -= 1
        if any(step.dialog == dialog and step.kind == "answered" for step in self.rules.history):
            self.step("ended", dialog=dialog)
        result = AttemptResult(dialog, attempt, server, Outcome.ENDED, dialog_closed=True)
        self.deliver(fleet_index, lambda driver: driver.on_attempt_result(result))

    def inject_fault(self) -> None:
        self.schedule(self.rng.randrange(200 * MS, 2 * SECOND), self.inject_fault)
        server, fleet_index = self.rng.choice(list(self.servers)), self.rng.randrange(EDGES)
        match self.rng.choice(
            ["phase", "phase", "start-server", "start-server", "complete-list", "stall", "restart"]
        ):
            case "phase":
                self.phase[server] = self.rng.choice(["draining", "gone", "in-service"])
                self.announce(server)
            case "start-server":
                self.started_at[server], self.phase[server] = self.now, "in-service"
                self.step(
                    "server-started",
                    server=server,
                    setups_per_second=SETUPS_PER_SECOND,
                    overload_multiple=DEPLOYMENT_SETTINGS["overload_multiple"],
                    overload_window=self.settings["overload_window"],
                    slow_start_fraction=self.settings["slow_start_fraction"],
                    slow_start_duration=self.settings["slow_start_duration"],
                )
                self.announce(server)
            case "complete-list":
                for name in self.servers:
                    self.record_endpoint_update(fleet_index, name)
                entries = [self.entry(name) for name in self.servers]
                self.deliver(
                    fleet_index, lambda driver: driver.update_endpoints(EndpointUpdateKind.COMPLETE, entries)
                )
            case "stall":
                until = self.now + self.rng.randrange(250 * MS, 2 * SECOND)
                self.stalled_until[fleet_index] = max(until, self.stalled_until[fleet_index])
                self.step("edge-stalled", edge=f"e{fleet_index}", until=until)
            case "restart":
                self.step("edge-restarted", edge=f"e{fleet_index}")
                for step in [step for step in self.rules.history if step.kind == "accepted"]:
                    if step.edge == f"e{fleet_index}":
                        self.step("caller-gone", dialog=step.dialog)
                for dialog in [name for name, current in self.in_flight.items() if current[0] == fleet_index]:
                    _, attempt, attempt_server, _ = self.in_flight.pop(dialog)
                    self.step("reset", dialog=dialog, attempt=attempt, server=attempt_server)
                self.drivers[fleet_index] = self._driver(fleet_index)
                self.run_commands(fleet_index)

    def announce(self, server: str) -> None:
        for fleet_index in range(EDGES):
            self.deliver(
                fleet_index,
                lambda driver, index=fleet_index: self._on_endpoint_update(driver, index, server),  # type: ignore[misc]
            )

    def _on_endpoint_update(self, driver: Driver, fleet_index: int, server: str) -> None:
        # An update has the phase at the time when it is handled; a stalled process handles it late.
        self.record_endpoint_update(fleet_index, server)
        driver.update_endpoints(EndpointUpdateKind.INCREMENTAL, [self.entry(server)])

    # Commands of the drivers

    def run_commands(self, fleet_index: int) -> None:
        driver = self.drivers[fleet_index]
        while driver.commands:
            for command in driver.take_commands():
                changed = self.tamper(self, fleet_index, command) if self.tamper else [command]
                if changed != [command]:
                    self.tampered.append(len(self.rules.history))
                for replacement in changed:
                    self.run_command(driver, fleet_index, replacement)

    def run_command(self, driver: Driver, fleet_index: int, command: interface.Command) -> None:
        if isinstance(command, interface.Timer):
            self.schedule(
                command.duration,
                lambda: self.deliver(fleet_index, lambda target: target.on_timer(command.timer_id), driver),
            )
        elif isinstance(command, interface.DialogAction):
            dialog, action = command.dialog_id, command.action
            if isinstance(action, interface.StartAttempt):
                self.send(driver, fleet_index, dialog, action)
            elif isinstance(action, interface.CancelAttempt):
                current = self.in_flight.get(dialog)
                if current is not None and current[1] == action.attempt:
                    self.finish_attempt(dialog, current[0], current[1], current[2], Outcome.CANCELLED, driver)
            else:
                detail = "declined" if isinstance(action, interface.Reject) else "aborted"
                self.answer(dialog, fleet_index, detail)

    def answer(self, dialog: str, fleet_index: int, detail: str) -> None:
        """Records an answer; an edge proxy that was stalled beyond the deadline sends none."""
        if (
            self.now <= self.deadlines[dialog]
            or not self.stalled_until[fleet_index] >= self.deadlines[dialog]
        ):
            self.step("answered", dialog=dialog, detail=detail)

    def send(self, driver: Driver, fleet_index: int, dialog: str, action: interface.StartAttempt) -> None:
        attempt = sum(step.kind == "sent" and step.dialog == dialog for step in self.rules.history)
        self.step("sent", dialog=dialog, attempt=attempt, server=action.server, edge=f"e{fleet_index}")
        self.in_flight[dialog] = (fleet_index, attempt, action.server, id(driver))
        outcome, delay = self.rng.choice(DRAWN_OUTCOMES), self.rng.randrange(MS, 120 * MS)
        if outcome is Outcome.TIMED_OUT or self.now + delay >= action.deadline:
            outcome, delay = Outcome.TIMED_OUT, max(0, action.deadline - self.now)
        self.schedule(
            delay, lambda: self.finish_attempt(dialog, fleet_index, attempt, action.server, outcome, driver)
        )


EXPECTED_STEPS = {
    "accepted", "answered stands", "answered declined", "answered aborted", "ended", "caller-gone", "sent",
    "established", "closed", "timed-out", "reset", "cancelled", "unsent", "endpoint-update in-service",
    "endpoint-update draining", "endpoint-update gone", "server-started", "edge-restarted", "edge-stalled",
}  # fmt: skip


def test_drivers_and_model_agree_at_every_step_over_fixed_seeds() -> None:
    counts: Counter[str] = Counter()
    for seed in range(8):
        fleet = DriverFleet(seed)
        fleet.run(40 * SECOND)
        assert not fleet.rules.violations, (
            f"seed {seed}: {fleet.rules.violations[:3]}\n{fleet.rules.format_last()}"
        )
        counts += fleet.rules.counts()
    assert set(counts) - {"time-passed"} == EXPECTED_STEPS, counts
    assert min(counts[kind] for kind in EXPECTED_STEPS) >= 10, counts
    assert counts["accepted"] > 3_000


def count_slow_start_attempts(rules: RuleModel) -> int:
    began: dict[str, Step] = {}
    count = 0
    for step in rules.history:
        if step.kind == "server-started":
            began[step.server] = step
        elif step.kind == "sent" and step.server in began:
            count += step.at - began[step.server].at < began[step.server].slow_start_duration
    return count


def unchanged(fleet: DriverFleet, fleet_index: int, command: interface.Command) -> list[interface.Command]:
    return [command]


def duplicate_rejection(
    fleet: DriverFleet, fleet_index: int, command: interface.Command
) -> list[interface.Command]:
    is_rejection = isinstance(command, interface.DialogAction) and isinstance(
        command.action, interface.Reject
    )
    return [command, command] if is_rejection and fleet.dialogs > 20 else [command]


def drop_rejection(
    fleet: DriverFleet, fleet_index: int, command: interface.Command
) -> list[interface.Command]:
    is_rejection = isinstance(command, interface.DialogAction) and isinstance(
        command.action, interface.Reject
    )
    return [] if is_rejection and fleet.dialogs > 20 else [command]


def add_parallel_attempt(
    fleet: DriverFleet, fleet_index: int, command: interface.Command
) -> list[interface.Command]:
    if isinstance(command, interface.DialogAction) and isinstance(command.action, interface.StartAttempt):
        other = "s0" if command.action.server != "s0" else "s1"
        if fleet.phase[other] == "in-service":
            return [
                command,
                interface.DialogAction(command.dialog_id, dataclasses.replace(command.action, server=other)),
            ]
    return [command]


def send_to_out_of_service_server(
    fleet: DriverFleet, fleet_index: int, command: interface.Command
) -> list[interface.Command]:
    if isinstance(command, interface.DialogAction) and isinstance(command.action, interface.StartAttempt):
        for server in fleet.servers:
            updates = [s for s in fleet.rules.history if s.kind == "endpoint-update" and s.server == server]
            updates = [s for s in updates if s.edge == f"e{fleet_index}"]
            if updates and updates[-1].detail != "in-service" and updates[-1].at < fleet.now:
                return [
                    interface.DialogAction(
                        command.dialog_id, dataclasses.replace(command.action, server=server)
                    )
                ]
    return [command]


@pytest.mark.parametrize(
    ("rule", "tamper", "steps_later"),
    [(1, duplicate_rejection, 1), (2, add_parallel_attempt, 1), (3, send_to_out_of_service_server, 0)],
)
def test_a_tampered_action_is_detected_at_its_step(rule: int, tamper: Tamper, steps_later: int) -> None:
    for seed in range(2):
        fleet = DriverFleet(seed, tamper)
        fleet.run(32 * SECOND)
        found, step, reason = fleet.rules.violations[0]
        assert fleet.tampered, (seed, reason)
        assert (found, step) == (rule, fleet.tampered[0] + steps_later), (seed, reason)


def test_a_missing_answer_is_detected_at_the_first_step_after_its_deadline() -> None:
    fleet = DriverFleet(1, drop_rejection)
    fleet.run(32 * SECOND)
    found, step, reason = fleet.rules.violations[0]
    history = fleet.rules.history
    until = {step.dialog: step.until for step in history if step.kind == "accepted"}[reason.split()[0]]
    assert found == 1
    assert history[step - 1].at <= until < history[step].at


@pytest.mark.parametrize("is_defective", [False, True])
def test_overload_of_a_server_in_slow_start_is_detected(
    monkeypatch: pytest.MonkeyPatch, is_defective: bool
) -> None:
    if is_defective:
        monkeypatch.setattr(SlowStart, "has_slot", lambda *_: True)
    fleet = DriverFleet(4, unchanged, slow_start_duration=20 * SECOND)
    fleet.run(40 * SECOND)
    assert {rule for rule, _, _ in fleet.rules.violations} == ({4} if is_defective else set())
    assert count_slow_start_attempts(fleet.rules) > 30
    assert all(fleet.rules.history[step].kind == "sent" for _, step, _ in fleet.rules.violations)


def test_a_missing_release_delay_is_detected() -> None:
    fleet = DriverFleet(2, unchanged, release_delay=0)
    fleet.run(40 * SECOND)
    assert {rule for rule, _, _ in fleet.rules.violations} == {5}


# The model compared with whole edge proxies in virtual time, at each recorded row


class RowChecker:
    """Turns rows into steps of the model as they are recorded."""

    def __init__(self, scenario: ScenarioConfig) -> None:
        self.rules = RuleModel(scenario.fleet.release_wait)
        self.callers: dict[str, str] = {}
        self.attempts: dict[str, tuple[str, int, str]] = {}
        self.requests: dict[str, setup.Setup] = {}
        self.first_at = -1

    def __call__(self, fakes: ScenarioFakes, edges: list[VirtualEdge]) -> None:
        original = fakes.recorder.record

        def record_and_check(row_type: type[Any], **fields: Any) -> None:
            original(row_type, **fields)
            before = len(self.rules.violations)
            self.row(fakes.recorder.rows[-1])
            if len(self.rules.violations) > before and self.first_at < 0:
                self.first_at = fakes.recorder.rows[-1].at

        fakes.recorder.record = record_and_check  # type: ignore[method-assign]

    def step(self, at: int, kind: str, **fields: Any) -> None:
        self.rules.step(Step(at, kind, **fields))

    def row(self, row: traffic_record.Row) -> None:
        match row:
            case traffic_record.EndpointUpdateRow():
                self.step(row.at, "endpoint-update", server=row.server, edge=row.edge, detail=row.phase)
            case traffic_record.ServerStartedRow():
                self.on_server_started(row)
            case traffic_record.FaultRow(kind="balancer_crash"):
                self.step(row.at, "edge-restarted", edge=row.target)
            case traffic_record.FaultRow(kind="balancer_stall"):
                self.step(row.at, "edge-stalled", edge=row.target, until=row.until)
            case traffic_record.ConnectionLostRow() if row.peer.startswith("c"):
                self.on_caller_lost(row)
            case traffic_record.ConnectionLostRow():
                self.on_server_lost(row)
            case traffic_record.MessageRow() if row.dialog and row.peer.startswith("c"):
                self.on_caller_message(row)
            case traffic_record.MessageRow() if row.dialog and row.peer.startswith("s"):
                self.on_server_message(row)

    def on_server_started(self, row: traffic_record.ServerStartedRow) -> None:
        self.step(
            row.at,
            "server-started",
            server=row.server,
            setups_per_second=SECOND / row.setup_work,
            overload_multiple=row.overload_multiple,
            overload_window=row.overload_window,
            slow_start_fraction=row.slow_start_fraction,
            slow_start_duration=row.slow_start_duration,
        )

    def on_caller_lost(self, row: traffic_record.ConnectionLostRow) -> None:
        for dialog in [name for name, caller in self.callers.items() if caller == row.peer]:
            del self.callers[dialog]
            self.step(row.at, "caller-gone", dialog=dialog)

    def on_server_lost(self, row: traffic_record.ConnectionLostRow) -> None:
        for dialog, (server, attempt, edge) in list(self.attempts.items()):
            if (server, edge) == (row.peer, row.edge):
                del self.attempts[dialog]
                self.step(row.at, "reset", dialog=dialog, attempt=attempt, server=server)

    def on_caller_message(self, row: traffic_record.MessageRow) -> None:
        if row.sent and row.kind == "setup":
            self.callers[row.dialog] = row.peer
            self.step(row.at, "accepted", dialog=row.dialog, edge=row.edge, until=row.at + row.duration)
        elif not row.sent and row.kind in ("stands", "declined", "aborted"):
            self.step(row.at, "answered", dialog=row.dialog, detail=row.kind)
            if row.kind != "stands":
                self.callers.pop(row.dialog, None)
        elif not row.sent and row.kind == "ended":
            self.callers.pop(row.dialog, None)
            self.step(row.at, "ended", dialog=row.dialog)

    def on_server_message(self, row: traffic_record.MessageRow) -> None:
        fields = {"dialog": row.dialog, "attempt": row.leg, "server": row.peer}
        is_current = self.attempts.get(row.dialog) == (row.peer, row.leg, row.edge)
        if not row.sent and row.kind == "setup":
            self.step(row.at, "sent", edge=row.edge, **fields)
            self.attempts[row.dialog] = row.peer, row.leg, row.edge
        elif row.sent and row.kind == "stands" and is_current:
            self.step(row.at, "established", **fields)
        elif row.sent and row.kind not in ("provisional", "stands") and is_current:
            del self.attempts[row.dialog]
            self.step(row.at, "closed", **fields)
        elif not row.sent and row.kind in ("cancel", "release") and is_current:
            del self.attempts[row.dialog]
            self.step(row.at, "cancelled" if row.kind == "cancel" else "closed", **fields)


def run_with_model(
    scenario: ScenarioConfig, prepare: Callable[[ScenarioFakes, list[VirtualEdge]], None] | None = None
) -> tuple[RowChecker, set[int]]:
    """Runs the scenario with the model; returns its checker, and the rules that the audit finds violated."""
    checker = RowChecker(scenario)

    def prepare_both(fakes: ScenarioFakes, edges: list[VirtualEdge]) -> None:
        checker(fakes, edges)
        if prepare is not None:
            prepare(fakes, edges)

    rows = run_virtual(scenario, prepare_both)
    checker.step(rows[-1].at + 1, "time-passed")
    return checker, audit(rows).violated_rules()


def reload_attempt_policies(fakes: ScenarioFakes, edges: list[VirtualEdge]) -> None:
    """Changes the attempt policy of every edge proxy every 700 ms, regardless of open dialogs."""

    def reload(times: int) -> None:
        for edge in edges:
            if edge.proxy is not None:
                keys = AttemptKeys(legs=1 + times % 3, leg_time_out=(300 + 100 * (times % 4)) * MS)
                section = AttemptSection("a", "day", 1, keys, {})
                attempts = AttemptConfig((section,))
                edge.proxy.reload(msgspec.structs.replace(edge.proxy.config, attempts=attempts))
        if times < 10:
            fakes.scheduler.call_at(fakes.now() + 700 * MS, lambda: reload(times + 1))

    fakes.scheduler.call_at(fakes.now() + SECOND, lambda: reload(0))


@pytest.fixture
def silenced_logs() -> Iterator[None]:
    structlog.configure(wrapper_class=structlog.make_filtering_bound_logger(logging.CRITICAL))
    yield
    structlog.reset_defaults()


FAULT_COMBINATIONS = [
    ("crash", "burst", "balancer_crash"),
    ("deploy", "answer_lost", "balancer_stall"),
    ("hang", "reconnect", "give_up"),
    ("vanish", "peer_down", "slow"),
]


@pytest.mark.usefixtures("silenced_logs")
@pytest.mark.parametrize("seed", [3, 4])
@pytest.mark.parametrize("kinds", FAULT_COMBINATIONS, ids="-".join)
def test_edge_proxies_and_model_agree_at_every_row(kinds: tuple[str, ...], seed: int) -> None:
    scenario = short_scenario(*((kind, FAULT_SETTINGS[kind]) for kind in kinds), length=6)
    scenario = msgspec.structs.replace(scenario, run=msgspec.structs.replace(scenario.run, seed=seed))
    checker, violated_rules = run_with_model(scenario, reload_attempt_policies)
    assert not checker.rules.violations, (
        checker.rules.violations[:3],
        violated_rules,
        checker.rules.format_last(),
    )
    assert not violated_rules, (checker.rules.violations[:3], violated_rules, checker.rules.format_last())
    counts = checker.rules.counts()
    assert counts["accepted"] > 100, counts
    assert counts["sent"] > 60, counts
    assert counts["answered stands"] > 30, counts
    once = {
        "crash": "server-started",
        "balancer_crash": "edge-restarted",
        "balancer_stall": "edge-stalled",
        "deploy": "endpoint-update draining",
    }
    assert all(counts[once[kind]] for kind in kinds if kind in once)
    assert counts["endpoint-update gone"] + counts["reset"]


def inject_defect(monkeypatch: pytest.MonkeyPatch, rule: int) -> Any:
    """Injects a defect that violates `rule` into the edge proxy; may return a function to prepare the run."""
    match rule:
        case 1:
            original_answer = DialogTable.answer

            def drop_answer(self: DialogTable, entry: Any, message: Any) -> None:
                if not message.dialog.endswith("5"):
                    original_answer(self, entry, message)

            monkeypatch.setattr(DialogTable, "answer", drop_answer)
        case 2:
            original_start = AttemptHandler.start

            def start_in_parallel(self: AttemptHandler, dialog_id: str, action: Any) -> None:
                original_start(self, dialog_id, action)
                entry = self._entries[dialog_id]
                links = (link for link in self._links.values() if link is not entry.link and link.is_writable)
                if (other := next(links, None)) is not None and dialog_id.endswith("7"):
                    other.start_attempt((dialog_id, 60), msgspec.structs.replace(entry.setup, leg=60))

            monkeypatch.setattr(AttemptHandler, "start", start_in_parallel)
        case 3:
            original_update = ServerLinks.on_endpoint_update

            def ignore_phases(self: ServerLinks, update: Any) -> None:
                rows = [msgspec.structs.replace(row, phase="in-service") for row in update.rows]
                original_update(self, type(update)(update.kind, rows))

            monkeypatch.setattr(ServerLinks, "on_endpoint_update", ignore_phases)
        case 4:
            monkeypatch.setattr(tuning, "SLOW_START_MARGIN", 2 * tuning.SLOW_START_MARGIN)
        case 5:

            def shorten_release_delay(fakes: ScenarioFakes, edges: list[VirtualEdge]) -> None:
                for edge in edges:
                    assert edge.proxy is not None
                    policy = edge.proxy.context.driver.policy
                    policy.deployment = dataclasses.replace(policy.deployment, release_delay=0)

            return shorten_release_delay
    return None


@pytest.mark.usefixtures("silenced_logs")
@pytest.mark.parametrize("rule", [1, 2, 3, 4, 5])
def test_a_defect_of_the_edge_proxy_is_detected_by_model_and_audit(
    monkeypatch: pytest.MonkeyPatch, rule: int
) -> None:
    prepare = inject_defect(monkeypatch, rule)
    scenario = short_scenario(
        ("deploy", FAULT_SETTINGS["deploy"]), ("answer_lost", FAULT_SETTINGS["answer_lost"]), length=4
    )
    if rule == 4:
        burst = ("burst", {"start": 0, "length": 20 * SECOND, "size": 3})
        crash = ("crash", {"start": 4 * SECOND, "length": 500 * MS, "part": 0.6})
        scenario = short_scenario(burst, crash, length=8, tip_multiple=0.8)
    checker, violated_rules = run_with_model(scenario, prepare)
    assert rule in violated_rules
    assert {found for found, _, _ in checker.rules.violations} == violated_rules
