"""The server: deliveries from the running proxy and from killed ones, and the server's spontaneous steps."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass, replace

from valverouter.recovery.model.state import (
    AttemptState,
    Message,
    MessageKind,
    RuleViolationError,
    Safeguard,
    State,
    Step,
)
from valverouter.recovery.plan import PeerStatus

PEER_STATUS = {
    AttemptState.UNSEEN: PeerStatus.UNKNOWN,
    AttemptState.IN_FLIGHT: PeerStatus.IN_PROGRESS,
    AttemptState.ESTABLISHED: PeerStatus.ESTABLISHED,
    AttemptState.CLOSED: PeerStatus.CLOSED,
}
CANCELLABLE = (AttemptState.IN_FLIGHT, AttemptState.ESTABLISHED)


@dataclass(frozen=True, slots=True)
class Server:
    """The server's steps, without the `omitted` safeguard."""

    omitted: Safeguard | None = None

    def steps(self, state: State) -> Iterator[Step]:
        """Yields every delivery to the server and every spontaneous step of it that may come next."""
        if state.to_server:
            message, rest = state.to_server[0], state.to_server[1:]
            yield self._receive(replace(state, to_server=rest), message, "")
        yield from self._stale_steps(state)
        yield from _spontaneous_steps(state)

    def _stale_steps(self, state: State) -> Iterator[Step]:
        """Yields the deliveries from killed proxies.

        Connections preserve order: from each killed proxy the first message in transit is delivered next, or
        all the rest is lost.
        """
        stale = state.stale_to_server
        for epoch in sorted({message.epoch for message in stale}):
            index = next(index for index, message in enumerate(stale) if message.epoch == epoch)
            rest = stale[:index] + stale[index + 1 :]
            yield self._receive(replace(state, stale_to_server=rest), stale[index], " of a killed proxy")
            remaining = tuple(message for message in stale if message.epoch != epoch)
            lost = replace(state, stale_to_server=remaining)
            yield Step(f"the remaining messages of epoch {epoch} are lost", lost)

    def _receive(self, state: State, message: Message, origin: str) -> Step:
        description = f"{message}{origin} reaches the server"
        if message.epoch < state.server_epoch and self.omitted is not Safeguard.EPOCH_FENCE:
            return Step(f"{description} and is rejected by the epoch fence", state)
        state = replace(state, server_epoch=max(message.epoch, state.server_epoch))
        attempt = state.attempts[message.attempt]
        match message.kind:
            case MessageKind.SETUP if attempt is AttemptState.UNSEEN:
                state = _accept_setup(state, message.attempt)
            case MessageKind.CANCEL if attempt in CANCELLABLE:
                state = _with_attempt(state, message.attempt, AttemptState.CLOSED)
            case MessageKind.QUERY if state.is_running:
                reply = Message(MessageKind.STATUS, message.attempt, state.epoch, PEER_STATUS[attempt])
                state = replace(state, to_proxy=(*state.to_proxy, reply))
        return Step(description, state)


def _spontaneous_steps(state: State) -> Iterator[Step]:
    for attempt, attempt_state in enumerate(state.attempts):
        if attempt_state is AttemptState.IN_FLIGHT:
            established = _respond(state, attempt, AttemptState.ESTABLISHED, MessageKind.ESTABLISHED)
            yield Step(f"the server establishes attempt {attempt}", established)
            failed = _respond(state, attempt, AttemptState.CLOSED, MessageKind.FAILED)
            yield Step(f"the server fails attempt {attempt}", failed)
        elif attempt_state is AttemptState.ESTABLISHED:
            closed = _with_attempt(state, attempt, AttemptState.CLOSED)
            yield Step(f"the dialog established by attempt {attempt} ends", closed)


def _respond(state: State, attempt: int, attempt_state: AttemptState, kind: MessageKind) -> State:
    state = _with_attempt(state, attempt, attempt_state)
    if not state.is_running:
        return state
    return replace(state, to_proxy=(*state.to_proxy, Message(kind, attempt, state.epoch)))


def _accept_setup(state: State, attempt: int) -> State:
    if AttemptState.IN_FLIGHT in state.attempts:
        raise RuleViolationError(f"rule 2: attempt {attempt} reaches the server while another is in flight")
    return _with_attempt(state, attempt, AttemptState.IN_FLIGHT)


def _with_attempt(state: State, attempt: int, attempt_state: AttemptState) -> State:
    attempts = (*state.attempts[:attempt], attempt_state, *state.attempts[attempt + 1 :])
    return replace(state, attempts=attempts)
