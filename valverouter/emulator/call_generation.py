"""Generates the calls of a scenario at each edge proxy, from random arrivals or from recorded calls."""

from __future__ import annotations

from dataclasses import dataclass

from valverouter.config.recorded_calls import RecordedCall
from valverouter.emulator.callers import EmulatedCallers
from valverouter.emulator.edge_model import DialogRequest
from valverouter.emulator.fleet import Fleet
from valverouter.servermodel.arrivals import ArrivalPattern, ArrivalProcess, draw_repetitions

# The called number that mass-calling faults direct calls to; drawn numbers start above it.
MASS_CALLED_NUMBER = 1
MIN_CALLED_NUMBER = 100
CALLED_NUMBERS = 10**6


@dataclass(slots=True)
class CallLoad:
    """The parameters of the load that faults change, and the number of calls dialled.

    `rate_factor` multiplies the scenario's rate; `mass_call_fraction` of the calls go to one called number.
    """

    rate_factor: float = 1.0
    mass_call_fraction: float = 0.0
    dialled: int = 0


class CallGenerator:
    """Dials calls at one edge proxy from its creation until `ends_at`, ns."""

    def __init__(self, fleet: Fleet, load: CallLoad, callers: EmulatedCallers, ends_at: int) -> None:
        scenario, fleet_index = fleet.scenario, callers.fleet_index
        self._fleet = fleet
        self._load = load
        self._callers = callers
        self._ends_at = ends_at
        self._starts_at = fleet.sim.now()
        self._arrival_draws = fleet.random_stream(f"arrivals {fleet_index}")
        self._call_draws = fleet.random_stream(f"asks {fleet_index}")
        settings = scenario.callers
        pattern = ArrivalPattern(settings.on, settings.off, settings.drift, scenario.run.length)
        self._arrivals = ArrivalProcess(pattern, self._arrival_draws.exponential, self._starts_at)
        self._traffic_types = list(scenario.mix)
        self._weights = [scenario.mix[traffic_type].share for traffic_type in self._traffic_types]
        self._server_numbers = self._preferred_server_numbers()

    def _preferred_server_numbers(self) -> list[int]:
        scenario = self._fleet.scenario
        numbers = list(range(scenario.server_count))
        if not scenario.callers.local:
            return numbers
        home_region = scenario.region_of_edge(self._callers.fleet_index)
        return [number for number in numbers if scenario.region_of_server(number) == home_region] or numbers

    def start(self) -> None:
        """Schedules the first call. Each call schedules the next, so that only one is queued at a time."""
        recorded = self._fleet.scenario.recorded
        if recorded is None:
            self._schedule_arrival()
            return
        self._recorded = (
            call for call in recorded[self._callers.fleet_index] if self._starts_at + call.at < self._ends_at
        )
        self._schedule_recorded()

    # Random arrivals

    def _schedule_arrival(self) -> None:
        fleet = self._fleet
        rate = fleet.scenario.callers.rate / len(fleet.callers) * self._load.rate_factor
        arrives_at = self._arrivals.next_arrival(fleet.sim.now(), rate)
        if arrives_at < self._ends_at:
            fleet.sim.call_at(arrives_at, self._on_arrival)

    def _on_arrival(self) -> None:
        self._dial(None)
        self._schedule_arrival()

    # Recorded calls

    def _schedule_recorded(self) -> None:
        call = next(self._recorded, None)
        if call is not None:
            self._fleet.sim.call_at(self._starts_at + call.at, self._on_recorded, call)

    def _on_recorded(self, call: RecordedCall) -> None:
        times = self._fleet.scenario.callers.times * self._load.rate_factor
        for _ in range(draw_repetitions(times, self._arrival_draws.random)):
            self._dial(call)
        self._schedule_recorded()

    # Dialing

    def _dial(self, recorded: RecordedCall | None) -> None:
        # Values that a recorded call replaces are drawn all the same: a scenario that replays its own record
        # with its own seed then reproduces the original run.
        traffic_type = self._traffic_types[self._call_draws.weighted_index(self._weights)]
        called_number = MIN_CALLED_NUMBER + self._call_draws.integer_below(CALLED_NUMBERS)
        is_mass_call = self._call_draws.random() < self._load.mass_call_fraction
        preferred = self._server_numbers[self._call_draws.integer_below(len(self._server_numbers))]
        no_answer_timeout = None
        if recorded is not None:
            traffic_type, no_answer_timeout = recorded.traffic_type, recorded.no_answer
            called_number = called_number if recorded.number is None else recorded.number
            preferred = preferred if recorded.first_choice is None else recorded.first_choice
        if is_mass_call:
            called_number = MASS_CALLED_NUMBER
        no_answer_timeout = no_answer_timeout or self._fleet.scenario.mix[traffic_type].no_answer
        self._load.dialled += 1
        self._callers.dial(DialogRequest("-", traffic_type, no_answer_timeout, preferred, called_number))
