"""Generates the calls of a scenario: random arrivals, or a replay of recorded calls."""

from __future__ import annotations

import random

import trio

from valverouter.config.recorded_calls import RecordedCall
from valverouter.emulator.call_generation import MASS_CALLED_NUMBER
from valverouter.fakes.callers import NO_DIALOG, FakeCallers
from valverouter.scenarios.scenario_fakes import NS_PER_S, ScenarioFakes
from valverouter.servermodel.arrivals import ArrivalPattern, ArrivalProcess, draw_repetitions
from valverouter.signalling import setup

# Random called numbers are drawn from the CALLED_NUMBERS numbers that start here.
FIRST_CALLED_NUMBER = 100
CALLED_NUMBERS = 10**6


class CallLoad:
    """Dials for all callers.

    `rate_factor` scales the rate; `mass_call_fraction` of the calls go to one number.
    """

    def __init__(self, fakes: ScenarioFakes) -> None:
        self.rate_factor = 1.0
        self.mass_call_fraction = 0.0
        self._fakes = fakes

    async def run(self, fleet_index: int, callers: FakeCallers) -> None:
        """Dials for the callers of one edge proxy, until cancelled or out of recorded calls."""
        source = _CallSource(self, self._fakes, fleet_index, callers)
        recorded = self._fakes.scenario.recorded
        if recorded is None:
            await source.run_drawn()
        else:
            await source.run_recorded(recorded[fleet_index])


class _CallSource:
    """Generates the calls of one edge proxy's callers from a random stream of its own."""

    def __init__(self, load: CallLoad, fakes: ScenarioFakes, fleet_index: int, callers: FakeCallers) -> None:
        self._load = load
        self._fakes = fakes
        self._callers = callers
        self._rng = fakes.random_stream(f"arrivals {fleet_index}")
        self._traffic_types = list(fakes.scenario.mix)
        self._shares = [fakes.scenario.mix[kind].share for kind in self._traffic_types]
        self._first_choices = _first_choices(fakes, fleet_index)

    async def run_recorded(self, calls: list[RecordedCall]) -> None:
        settings, fakes = self._fakes.scenario.callers, self._fakes
        start = fakes.now()
        for call in calls:
            await trio.sleep(max(0, start + call.at - fakes.now()) / NS_PER_S)
            repetitions = draw_repetitions(settings.times * self._load.rate_factor, self._rng.random)
            for _ in range(repetitions):
                self._dial(call)

    async def run_drawn(self) -> None:
        settings, fakes = self._fakes.scenario.callers, self._fakes
        pattern = ArrivalPattern(settings.on, settings.off, settings.drift, fakes.scenario.run.length)
        arrivals = ArrivalProcess(pattern, lambda: self._rng.expovariate(1), fakes.now())
        rate = settings.rate / len(fakes.callers)
        while True:
            now = fakes.now()
            arrival = arrivals.next_arrival(now, rate * self._load.rate_factor)
            await trio.sleep((arrival - now) / NS_PER_S)
            self._dial(None)

    def _dial(self, recorded: RecordedCall | None) -> None:
        """Dials one call.

        The random values are drawn for a recorded call as well; its recorded values replace them.
        """
        traffic_type = self._rng.choices(self._traffic_types, self._shares)[0]
        is_mass_call = self._rng.random() < self._load.mass_call_fraction
        first_choice = self._rng.choice(self._first_choices)
        called_number = self._draw_called_number(self._rng, is_mass_call)
        no_answer = None
        if recorded is not None:
            traffic_type, no_answer = recorded.traffic_type, recorded.no_answer
            if recorded.first_choice is not None:
                first_choice = recorded.first_choice
            if recorded.number is not None and not is_mass_call:
                called_number = recorded.number
        self._callers.dial(
            setup.Setup(
                dialog=NO_DIALOG,
                traffic_type=traffic_type,
                time_left=no_answer or self._fakes.scenario.mix[traffic_type].no_answer,
                preferred_server_number=first_choice,
                called_number=called_number,
            )
        )

    @staticmethod
    def _draw_called_number(rng: random.Random, is_mass_call: bool) -> int:
        return MASS_CALLED_NUMBER if is_mass_call else FIRST_CALLED_NUMBER + rng.randrange(CALLED_NUMBERS)


def _first_choices(fakes: ScenarioFakes, fleet_index: int) -> list[int]:
    """Returns the preferred servers of an edge proxy's callers: with `local`, those of its own region."""
    scenario = fakes.scenario
    numbers = sorted(set(fakes.server_numbers.values()))
    if not scenario.callers.local:
        return numbers
    home = scenario.region_of_edge(fleet_index)
    return [number for number in numbers if scenario.region_of_server(number) == home] or numbers
