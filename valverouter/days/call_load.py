"""The calls of a day: drawn arrivals, or recorded calls that are dialled again."""

from __future__ import annotations

import random

import trio

from valverouter.days.world import World
from valverouter.emulator.call_load import HOT_CALLED_NUMBER
from valverouter.fakes.callers import NO_DIALOG, FakeCallers
from valverouter.servermodel.arrivals import ArrivalPattern, ArrivalProcess, draw_repetitions
from valverouter.signalling import setup
from valverouter.terms.calls import RecordedCall

# Called numbers that are drawn lie from here on.
FIRST_CALLED_NUMBER = 100
CALLED_NUMBERS = 10**6


class CallLoad:
    """Dials for all callers. `rate_factor` scales the rate; `hot_fraction` of the calls go to one number."""

    def __init__(self, world: World) -> None:
        self.rate_factor = 1.0
        self.hot_fraction = 0.0
        self._world = world

    async def run(self, place: int, callers: FakeCallers) -> None:
        """Dials for the callers of one edge proxy, until cancelled or its recorded calls are over."""
        source = _CallSource(self, self._world, place, callers)
        recorded = self._world.day.recorded
        if recorded is None:
            await source.run_drawn()
        else:
            await source.run_recorded(recorded[place])


class _CallSource:
    """The calls of one edge proxy's callers, with their own stream of random numbers."""

    def __init__(self, load: CallLoad, world: World, place: int, callers: FakeCallers) -> None:
        self._load = load
        self._world = world
        self._callers = callers
        self._rng = world.chance(f"arrivals {place}")
        self._traffic_types = list(world.day.mix)
        self._shares = [world.day.mix[kind].share for kind in self._traffic_types]
        self._first_choices = _first_choices(world, place)

    async def run_recorded(self, calls: list[RecordedCall]) -> None:
        settings, world = self._world.day.callers, self._world
        start = world.now()
        for call in calls:
            await trio.sleep(max(0, start + call.at - world.now()) / 1e9)
            repetitions = draw_repetitions(settings.times * self._load.rate_factor, self._rng.random)
            for _ in range(repetitions):
                self._dial(call)

    async def run_drawn(self) -> None:
        settings, world = self._world.day.callers, self._world
        pattern = ArrivalPattern(settings.on, settings.off, settings.drift, world.day.run.length)
        arrivals = ArrivalProcess(pattern, lambda: self._rng.expovariate(1), world.now())
        rate = settings.rate / len(world.callers)
        while True:
            now = world.now()
            arrival = arrivals.next_arrival(now, rate * self._load.rate_factor)
            await trio.sleep((arrival - now) / 1e9)
            self._dial(None)

    def _dial(self, recorded: RecordedCall | None) -> None:
        """Dials once. All is drawn for a recorded call as well; what is on record replaces it."""
        traffic_type = self._rng.choices(self._traffic_types, self._shares)[0]
        is_hot = self._rng.random() < self._load.hot_fraction
        first_choice = self._rng.choice(self._first_choices)
        called_number = self._draw_called_number(self._rng, is_hot)
        no_answer = None
        if recorded is not None:
            traffic_type, no_answer = recorded.traffic_type, recorded.no_answer
            if recorded.first_choice is not None:
                first_choice = recorded.first_choice
            if recorded.number is not None and not is_hot:
                called_number = recorded.number
        self._callers.dial(
            setup.Setup(
                dialog=NO_DIALOG,
                traffic_type=traffic_type,
                time_left=no_answer or self._world.day.mix[traffic_type].no_answer,
                preferred_server_number=first_choice,
                called_number=called_number,
            )
        )

    @staticmethod
    def _draw_called_number(rng: random.Random, is_hot: bool) -> int:
        return HOT_CALLED_NUMBER if is_hot else FIRST_CALLED_NUMBER + rng.randrange(CALLED_NUMBERS)


def _first_choices(world: World, place: int) -> list[int]:
    """The server numbers that an edge proxy's callers prefer: of its own region where the day says so."""
    day = world.day
    numbers = sorted(set(world.numbers_of.values()))
    if not day.callers.local:
        return numbers
    home = day.region_of_edge(place)
    return [number for number in numbers if day.region_of_server(number) == home] or numbers
