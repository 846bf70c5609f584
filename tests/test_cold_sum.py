"""What 20, 30 and 200 instances of the real decisions together send one cold server, in every window.

Virtual time, fixed seeds. Every set-up is wanted at the server that starts cold, four times what it carries
when warm; a few instances see many times the mean; all start again in the ramp, in steps or at once, and each
former self goes on for a while beside its successor, under the same place.
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

COLD = Endpoint("s0", 0, True)
SPAN, WARM, RAMP = SECOND, 12 * SECOND, 14 * SECOND
TIP, COLD_SHARE = 2.5, 0.35
BEFORE = 3 * SECOND  # time to learn what servers carry
DELAY, TOLD_EVERY, GOES_ON = 50 * MS, 500 * MS, 650 * MS


@dataclass
class World:
    """One cold server, three warm ones. `length` of a dialog, `usual` busy lines of a server that is warm."""

    instances: int
    seed: int
    length: int
    usual: int
    at_once: bool
    now: int = 1_000 * SECOND
    sent: list[int] = field(default_factory=list)
    _due: list[tuple[int, int, tuple[Any, ...]]] = field(default_factory=list)
    _serial: int = 0

    def run(self) -> None:
        self.random = random.Random(self.seed)
        self.entries = [Endpoint(f"s{n}", n, True) for n in range(4)]
        self.busy = dict.fromkeys((entry.id for entry in self.entries), self.usual)
        self.legs: dict[tuple[int, str], int] = {}
        # Each place's processes, the present one last; none of them ever goes, so that ids stay apart.
        self.places = [[self._starts(place)] for place in range(self.instances)]
        self.ends_at = [0] * self.instances
        weights = [self.random.paretovariate(1.3) for _ in self.places]
        self.start = self.now + BEFORE
        self._at(self.start, self._cold_start)
        for entry in self.entries:
            for _ in range(self.usual):
                self._at(self.now + int(self.random.random() * self.length), self._free, entry.id)
        at, calls = self.now, 4 * 4 * self.usual * SECOND / self.length
        while (at := at + int(self.random.expovariate(calls) * SECOND)) < self.start + RAMP:
            self._at(at, self._call, self.random.choices(range(self.instances), weights)[0])
        for at in range(self.now, self.start + RAMP, TOLD_EVERY):
            self._at(at, self._tells)
        for n in range(self.instances):
            step = 0 if self.at_once else n * 10 // self.instances
            self._at(self.start + SPAN + step * 1_200 * MS, self._restart, n)
        while self._due and self._due[0][0] < self.start + RAMP:
            self.now, _, (act, *told) = heapq.heappop(self._due)
            act(*told)

    def _at(self, at: int, *what: Any) -> None:
        self._serial += 1
        heapq.heappush(self._due, (at, self._serial, what))

    def _starts(self, place: int) -> Driver:
        kinds = {
            "a": TrafficType(1_500 * MS, 1.0, self.length, True, None),
            "b": TrafficType(800 * MS, 6.0, self.length, True, None),
        }
        terms = Deployment(
            kinds, self.instances, place, -1, True, 6, True, 2 * SECOND, 300 * MS, COLD_SHARE, TIP, SPAN, WARM
        )
        driver = Driver(terms, self.random.randrange(2**32), self.now)
        driver.update_endpoints(EndpointUpdateKind.COMPLETE, self.entries)
        return driver

    def _carry_out(self, driver: Driver) -> None:
        while driver.commands:
            for command in driver.take_commands():
                if isinstance(command, Timer):
                    self._at(self.now + command.duration, self._rings, driver, command.timer_id)
                elif isinstance(command, DialogAction) and isinstance(command.action, StartAttempt):
                    server, id_ = command.action.server, command.dialog_id
                    if server == COLD.id and self.now >= self.start:
                        self.sent.append(self.now)
                    self.busy[server] += 1
                    leg = self.legs[id(driver), id_] = self.legs.get((id(driver), id_), -1) + 1
                    self._at(self.now + DELAY, self._stands, driver, id_, leg, server)

    def _with(self, driver: Driver) -> Driver:
        driver.tick(self.now)
        return driver

    def _rings(self, driver: Driver, ref: int) -> None:
        self._with(driver).on_timer(ref)
        self._carry_out(driver)

    def _call(self, place: int) -> None:
        processes = self.places[place]
        both = len(processes) > 1 and self.now < self.ends_at[place]
        driver = processes[-1 - (both and self.random.random() < 0.5)]
        self._serial += 1
        kind = "b" if self.random.random() < 0.2 else "a"
        self._with(driver).start_dialog(Dialog(f"d{self._serial}", kind, self.now + 9 * SECOND, COLD.number))
        self._carry_out(driver)

    def _stands(self, driver: Driver, id_: str, leg: int, server: str) -> None:
        result = AttemptResult(id_, leg, server, Outcome.ESTABLISHED, load_report=self._report(server))
        self._with(driver).on_attempt_result(result)
        self._carry_out(driver)
        over = AttemptResult(id_, leg, server, Outcome.ENDED, dialog_closed=True)
        self._at(self.now + int(self.length * (0.5 + self.random.random())), self._free, server, driver, over)

    def _free(self, server: str, driver: Driver | None = None, over: AttemptResult | None = None) -> None:
        self.busy[server] = max(0, self.busy[server] - 1)
        if driver is not None and over is not None:
            self._with(driver).on_attempt_result(over)

    def _report(self, server: str) -> LoadReport:
        lines = self.usual * 4 // 3
        told = self.busy[server] * (1 + 0.1 * (2 * self.random.random() - 1))
        return LoadReport(free_lines=max(0.0, lines - told), lines=lines)

    def _tells(self) -> None:
        for processes in self.places:
            for entry in self.entries:
                self._with(processes[-1]).update_load(entry.id, self._report(entry.id))

    def _cold_start(self) -> None:
        self.busy[COLD.id] = 0
        self.entries[0] = Endpoint(COLD.id, COLD.number, True, self.now)
        for processes in self.places:
            self._with(processes[-1]).update_endpoints(EndpointUpdateKind.INCREMENTAL, self.entries[:1])

    def _restart(self, place: int) -> None:
        self.places[place].append(self._starts(place))
        self.ends_at[place] = self.now + GOES_ON

    def over(self) -> list[tuple[int, float]]:
        """Each window, ended by a set-up while the server is cold, that passes what is put down to chance."""
        warm_rate, window = self.usual * SECOND / self.length, deque[int]()
        found = []
        for at in self.sent:
            window.append(at)
            while window[0] <= at - SPAN:
                window.popleft()
            age = at - self.start
            n = TIP * (COLD_SHARE + (1 - COLD_SHARE) * age / WARM) * warm_rate * SPAN / SECOND
            if age < WARM and len(window) > n + 2 * n**0.5 + 2:
                found.append((len(window), n))
        return found


DIALOGS = [(10 * SECOND, 300), (SECOND, 100), (SECOND, 15)]


@pytest.mark.parametrize("instances", [20, 30, 200])
@pytest.mark.parametrize("at_once", [False, True], ids=["in-steps", "at-once"])
@pytest.mark.parametrize(("length", "usual"), DIALOGS)
def test_all_together_keep_a_cold_server_up(instances: int, at_once: bool, length: int, usual: int) -> None:
    world = World(instances, 36 + instances, length, usual, at_once)
    world.run()
    assert not world.over()
    # It is no shut door either: what it may be sent in its ramp, on the mean, is used to a fifth at least.
    assert len(world.sent) > 0.2 * TIP * 0.675 * usual * WARM / length


@pytest.mark.parametrize("instances", [20, 200])
def test_without_turns_a_cold_server_would_fall(instances: int, monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(SlowStart, "has_slot", lambda *_: True)
    world = World(instances, 36, *DIALOGS[1], at_once=False)
    world.run()
    assert world.over()
