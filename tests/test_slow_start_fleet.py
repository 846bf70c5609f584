"""The attempts of a whole fleet at one server in slow start stay below its overload in every window.

Edge proxies share no state, so their quotas at a cold server could add up to an overload. Fleets of 20, 30
and 200 drivers run in virtual time with fixed seeds. All dialogs prefer the cold server, at four times its
warm capacity, and a few edge proxies get many times the mean load. During the slow start every edge proxy is
restarted, in steps or all at once, and its previous process keeps running for a while beside the new one,
with the same fleet index.
"""

from __future__ import annotations

import heapq
import random
from collections import deque
from dataclasses import dataclass, field
from typing import Any

import pytest

from tests.helpers import MS, SECOND
from valverouter.driver import Driver
from valverouter.interface import (
    AttemptResult,
    Deployment,
    Dialog,
    DialogAction,
    Endpoint,
    EndpointUpdateKind,
    LoadReport,
    Outcome,
    StartAttempt,
    Timer,
    TrafficType,
)
from valverouter.policy.capacity import SlowStart

COLD_SERVER = Endpoint("s0", 0, True)
OVERLOAD_WINDOW, SLOW_START_DURATION, OBSERVED_DURATION = SECOND, 12 * SECOND, 14 * SECOND
OVERLOAD_MULTIPLE, SLOW_START_FRACTION = 2.5, 0.35
LEARNING_DURATION = 3 * SECOND  # before the cold start, to learn the capacity of the servers
SETUP_LATENCY, REPORT_INTERVAL, PROCESS_OVERLAP = 50 * MS, 500 * MS, 650 * MS


@dataclass
class FleetSimulation:
    """A fleet, one cold server and three warm ones.

    `duration` is the mean of a dialog in nanoseconds, `warm_busy_lines` the busy lines of a warm server.
    """

    edge_proxies: int
    seed: int
    duration: int
    warm_busy_lines: int
    all_at_once: bool
    now: int = 1_000 * SECOND
    sent: list[int] = field(default_factory=list)
    _events: list[tuple[int, int, tuple[Any, ...]]] = field(default_factory=list)
    _serial: int = 0

    def run(self) -> None:
        self.random = random.Random(self.seed)
        self.endpoints = [Endpoint(f"s{n}", n, True) for n in range(4)]
        self.busy_lines = dict.fromkeys((endpoint.id for endpoint in self.endpoints), self.warm_busy_lines)
        self.attempts: dict[tuple[int, str], int] = {}
        # The processes of each edge proxy, the present one last. None is removed: `attempts` uses id().
        self.fleet = [[self._start_process(index)] for index in range(self.edge_proxies)]
        self.overlap_ends_at = [0] * self.edge_proxies
        weights = [self.random.paretovariate(1.3) for _ in self.fleet]
        self.start = self.now + LEARNING_DURATION
        self._schedule(self.start, self._cold_start)
        for endpoint in self.endpoints:
            for _ in range(self.warm_busy_lines):
                self._schedule(
                    self.now + int(self.random.random() * self.duration), self._end_dialog, endpoint.id
                )
        at, dialog_rate = self.now, 4 * 4 * self.warm_busy_lines * SECOND / self.duration
        while (
            at := at + int(self.random.expovariate(dialog_rate) * SECOND)
        ) < self.start + OBSERVED_DURATION:
            self._schedule(at, self._start_dialog, self.random.choices(range(self.edge_proxies), weights)[0])
        for at in range(self.now, self.start + OBSERVED_DURATION, REPORT_INTERVAL):
            self._schedule(at, self._report_load)
        for n in range(self.edge_proxies):
            step = 0 if self.all_at_once else n * 10 // self.edge_proxies
            self._schedule(self.start + OVERLOAD_WINDOW + step * 1_200 * MS, self._restart, n)
        while self._events and self._events[0][0] < self.start + OBSERVED_DURATION:
            self.now, _, (handler, *arguments) = heapq.heappop(self._events)
            handler(*arguments)

    def _schedule(self, at: int, *event: Any) -> None:
        self._serial += 1
        heapq.heappush(self._events, (at, self._serial, event))

    def _start_process(self, fleet_index: int) -> Driver:
        traffic_types = {
            "a": TrafficType(1_500 * MS, 1.0, self.duration, True, None),
            "b": TrafficType(800 * MS, 6.0, self.duration, True, None),
        }
        deployment = Deployment(
            traffic_types,
            self.edge_proxies,
            fleet_index,
            -1,
            True,
            6,
            True,
            2 * SECOND,
            300 * MS,
            SLOW_START_FRACTION,
            OVERLOAD_MULTIPLE,
            OVERLOAD_WINDOW,
            SLOW_START_DURATION,
        )
        driver = Driver(deployment, self.random.randrange(2**32), self.now)
        driver.update_endpoints(EndpointUpdateKind.COMPLETE, self.endpoints)
        return driver

    def _execute_commands(self, driver: Driver) -> None:
        while driver.commands:
            for command in driver.take_commands():
                if isinstance(command, Timer):
                    self._schedule(self.now + command.duration, self._fire_timer, driver, command.timer_id)
                elif isinstance(command, DialogAction) and isinstance(command.action, StartAttempt):
                    server, id_ = command.action.server, command.dialog_id
                    if server == COLD_SERVER.id and self.now >= self.start:
                        self.sent.append(self.now)
                    self.busy_lines[server] += 1
                    attempt = self.attempts[id(driver), id_] = self.attempts.get((id(driver), id_), -1) + 1
                    self._schedule(self.now + SETUP_LATENCY, self._establish, driver, id_, attempt, server)

    def _ticked(self, driver: Driver) -> Driver:
        driver.tick(self.now)
        return driver

    def _fire_timer(self, driver: Driver, timer_id: int) -> None:
        self._ticked(driver).on_timer(timer_id)
        self._execute_commands(driver)

    def _start_dialog(self, fleet_index: int) -> None:
        processes = self.fleet[fleet_index]
        both = len(processes) > 1 and self.now < self.overlap_ends_at[fleet_index]
        driver = processes[-1 - (both and self.random.random() < 0.5)]
        self._serial += 1
        traffic_type = "b" if self.random.random() < 0.2 else "a"
        self._ticked(driver).start_dialog(
            Dialog(f"d{self._serial}", traffic_type, self.now + 9 * SECOND, COLD_SERVER.number)
        )
        self._execute_commands(driver)

    def _establish(self, driver: Driver, id_: str, attempt: int, server: str) -> None:
        result = AttemptResult(
            id_, attempt, server, Outcome.ESTABLISHED, load_report=self._load_report(server)
        )
        self._ticked(driver).on_attempt_result(result)
        self._execute_commands(driver)
        end = AttemptResult(id_, attempt, server, Outcome.ENDED, dialog_closed=True)
        self._schedule(
            self.now + int(self.duration * (0.5 + self.random.random())),
            self._end_dialog,
            server,
            driver,
            end,
        )

    def _end_dialog(
        self, server: str, driver: Driver | None = None, end: AttemptResult | None = None
    ) -> None:
        self.busy_lines[server] = max(0, self.busy_lines[server] - 1)
        if driver is not None and end is not None:
            self._ticked(driver).on_attempt_result(end)

    def _load_report(self, server: str) -> LoadReport:
        lines = self.warm_busy_lines * 4 // 3
        reported = self.busy_lines[server] * (1 + 0.1 * (2 * self.random.random() - 1))
        return LoadReport(free_lines=max(0.0, lines - reported), lines=lines)

    def _report_load(self) -> None:
        for processes in self.fleet:
            for endpoint in self.endpoints:
                self._ticked(processes[-1]).update_load(endpoint.id, self._load_report(endpoint.id))

    def _cold_start(self) -> None:
        self.busy_lines[COLD_SERVER.id] = 0
        self.endpoints[0] = Endpoint(COLD_SERVER.id, COLD_SERVER.number, True, self.now)
        for processes in self.fleet:
            self._ticked(processes[-1]).update_endpoints(EndpointUpdateKind.INCREMENTAL, self.endpoints[:1])

    def _restart(self, fleet_index: int) -> None:
        self.fleet[fleet_index].append(self._start_process(fleet_index))
        self.overlap_ends_at[fleet_index] = self.now + PROCESS_OVERLAP

    def overloaded_windows(self) -> list[tuple[int, float]]:
        """Each window, ended by an attempt in the slow start, that exceeds its limit by more than chance."""
        warm_rate, window = self.warm_busy_lines * SECOND / self.duration, deque[int]()
        found = []
        for at in self.sent:
            window.append(at)
            while window[0] <= at - OVERLOAD_WINDOW:
                window.popleft()
            age = at - self.start
            limit = (
                OVERLOAD_MULTIPLE
                * (SLOW_START_FRACTION + (1 - SLOW_START_FRACTION) * age / SLOW_START_DURATION)
                * warm_rate
                * OVERLOAD_WINDOW
                / SECOND
            )
            if age < SLOW_START_DURATION and len(window) > limit + 2 * limit**0.5 + 2:
                found.append((len(window), limit))
        return found


# The mean duration of a dialog, and the busy lines of a warm server.
LOADS = [(10 * SECOND, 300), (SECOND, 100), (SECOND, 15)]


@pytest.mark.parametrize("edge_proxies", [20, 30, 200])
@pytest.mark.parametrize("all_at_once", [False, True], ids=["in-steps", "at-once"])
@pytest.mark.parametrize(("duration", "warm_busy_lines"), LOADS)
def test_the_whole_fleet_does_not_overload_a_server_in_slow_start(
    edge_proxies: int, all_at_once: bool, duration: int, warm_busy_lines: int
) -> None:
    simulation = FleetSimulation(edge_proxies, 36 + edge_proxies, duration, warm_busy_lines, all_at_once)
    simulation.run()
    assert not simulation.overloaded_windows()
    # Nor is the server starved: at least a fifth of the mean limit during its slow start is used.
    assert (
        len(simulation.sent)
        > 0.2 * OVERLOAD_MULTIPLE * 0.675 * warm_busy_lines * SLOW_START_DURATION / duration
    )


@pytest.mark.parametrize("edge_proxies", [20, 200])
def test_without_slots_the_fleet_overloads_a_server_in_slow_start(
    edge_proxies: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(SlowStart, "has_slot", lambda *_: True)
    simulation = FleetSimulation(edge_proxies, 36, *LOADS[1], all_at_once=False)
    simulation.run()
    assert simulation.overloaded_windows()
