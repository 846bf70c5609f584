"""All transitions of the model, and the breadth-first search over its states."""

from __future__ import annotations

from collections import deque
from collections.abc import Iterator
from dataclasses import dataclass, replace
from typing import NamedTuple, TypeAlias

from valverouter.recovery.lifecycle import DialogRecord, InvalidTransitionError, Phase
from valverouter.recovery.model.operations import Operations
from valverouter.recovery.model.proxy import Proxy, crash
from valverouter.recovery.model.server import Server
from valverouter.recovery.model.state import (
    DEADLINE,
    NO_RELEASE_DELAY,
    RuleViolationError,
    Safeguard,
    State,
    Step,
    timestamp,
)


class TooManyStatesError(OverflowError):
    """The search stopped because it reached more states than allowed."""


class Model:
    """A model with at most `max_crashes` crashes of the proxy and, optionally, one `omitted` safeguard."""

    def __init__(self, omitted: Safeguard | None = None, max_crashes: int = 2) -> None:
        """Creates the model; by default with all safeguards, like the program."""
        self._max_crashes = max_crashes
        self._proxy = Proxy(omitted)
        self._operations = Operations(omitted)
        self._server = Server(omitted)

    def initial_state(self) -> State:
        """Returns the state in which the proxy has received a set-up and performed no operation yet."""
        record = DialogRecord("d", "c", "plain", 0, 0, timestamp(0), DEADLINE, 1)
        return State(known=record, operations=self._proxy.accept(record))

    def steps(self, state: State) -> Iterator[Step]:
        """Yields every possible next step. Raises RuleViolationError if one violates a rule."""
        if state.is_running and state.operations:
            yield self._operations.perform_next(state)
        elif state.is_running:
            yield from self._proxy.steps(state)
        if state.is_running and state.crashes < self._max_crashes:
            yield crash(state)
        if not state.is_running:
            yield self._proxy.restart(state)
        if state.operations:
            return  # the steps of the server and the clock commute with writes and sends
        yield from self._server.steps(state)
        if state.now <= DEADLINE:
            yield Step("time passes", replace(state, now=state.now + 1))


def is_stuck(state: State) -> bool:
    """Returns whether a running proxy with an unanswered dialog and time left has no event to wait for."""
    record = state.known
    if not state.is_running or record is None or state.operations:
        return False
    if state.answer or state.now >= DEADLINE:
        return False
    waits_for_timer = state.release_until != NO_RELEASE_DELAY or record.phase is Phase.IN_FLIGHT
    return not (state.query_pending or waits_for_timer or state.to_proxy)


@dataclass(frozen=True, slots=True)
class Exploration:
    """The result of a search.

    `violation`: a shortest sequence of steps that violates a rule, with the rule as its last item; empty if
    there is none. `states`: the number of states reached.
    """

    violation: list[str]
    states: int


class _Origin(NamedTuple):
    """The step by which a state was first reached."""

    previous: State
    description: str


# By reached state; None for the initial state.
_Origins: TypeAlias = dict[State, _Origin | None]


def explore(model: Model, max_states: int = 2_000_000) -> Exploration:
    """Explores reachable states up to the first violation. Raises TooManyStatesError past `max_states`."""
    initial = model.initial_state()
    origins: _Origins = {initial: None}
    unexplored = deque([initial])
    while unexplored:
        state = unexplored.popleft()
        if is_stuck(state):
            return _violation(origins, state, "progress: the proxy has no event to wait for")
        try:
            for description, after in model.steps(state):
                if after not in origins:
                    origins[after] = _Origin(state, description)
                    unexplored.append(after)
        except (RuleViolationError, InvalidTransitionError) as error:
            return _violation(origins, state, str(error))
        if len(origins) > max_states:
            raise TooManyStatesError(f"more than {max_states} states")
    return Exploration([], len(origins))


def _violation(origins: _Origins, state: State, rule: str) -> Exploration:
    descriptions = [rule]
    while (origin := origins[state]) is not None:
        descriptions.append(origin.description)
        state = origin.previous
    return Exploration(descriptions[::-1], len(origins))
