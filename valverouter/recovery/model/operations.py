"""The proxy's writes and sends, performed one at a time; the rules are checked when a message is sent."""

from __future__ import annotations

from dataclasses import dataclass, replace

from valverouter.recovery.lifecycle import DialogRecord
from valverouter.recovery.model.state import (
    DEADLINE,
    RELEASE_DELAY,
    AttemptState,
    ForgetDialog,
    Message,
    MessageKind,
    Operation,
    RuleViolationError,
    Safeguard,
    SendAnswer,
    SendCancel,
    SendProvisional,
    SendQuery,
    SendSetup,
    StartReleaseDelay,
    State,
    Step,
    WriteRecord,
)


@dataclass(frozen=True, slots=True)
class Operations:
    """Performs the proxy's operations, without the `omitted` safeguard."""

    omitted: Safeguard | None = None

    def perform_next(self, state: State) -> Step:
        """Performs the first pending operation. Raises RuleViolationError if it violates a rule."""
        operation = state.operations[0]
        state = replace(state, operations=state.operations[1:])
        match operation:
            case WriteRecord(record, safeguard):
                return Step(
                    f"the proxy writes: {safeguard.value}", replace(state, known=record, stored=record)
                )
            case ForgetDialog():
                return Step("the proxy forgets the dialog", replace(state, known=None, stored=None))
            case StartReleaseDelay():
                return self._start_release_delay(state)
            case SendProvisional():
                return Step("the caller gets the provisional answer", replace(state, accepted=True))
            case SendAnswer(answer, record):
                return _answer_caller(_with_record(state, record), answer)
            case _:
                return self._send(state, operation)

    def _start_release_delay(self, state: State) -> Step:
        delay = 0 if self.omitted is Safeguard.RELEASE_DELAY else RELEASE_DELAY
        return Step("the release delay starts", replace(state, release_until=state.now + delay))

    def _send(self, state: State, operation: Operation) -> Step:
        match operation:
            case SendSetup(record):
                state = _with_record(state, record)
                self._check_setup(state, record.attempt)
                return _send_to_server(state, MessageKind.SETUP, record.attempt)
            case SendCancel(attempt, record):
                state = replace(_with_record(state, record), cancelled_at=state.now)
                return _send_to_server(state, MessageKind.CANCEL, attempt)
            case SendQuery(attempt):
                return _send_to_server(state, MessageKind.QUERY, attempt)
            case _:
                raise AssertionError(f"{operation} is not a message to the server")

    def _check_setup(self, state: State, attempt: int) -> None:
        if AttemptState.IN_FLIGHT in self._attempts_after_delivery(state):
            raise RuleViolationError(f"rule 2: attempt {attempt} starts while another is in flight")
        since_cancel = state.now - state.cancelled_at
        if since_cancel < RELEASE_DELAY:
            raise RuleViolationError(f"rule 5: attempt {attempt} starts {since_cancel} ticks after a cancel")

    def _attempts_after_delivery(self, state: State) -> list[AttemptState]:
        """Returns the states of the server's attempts after the delivery of all messages in transit."""
        attempts = list(state.attempts)
        newest_epoch = max(state.epoch, state.server_epoch)
        for message in (*state.to_server, *state.stale_to_server):
            fenced = self.omitted is not Safeguard.EPOCH_FENCE and message.epoch < newest_epoch
            current = attempts[message.attempt]
            if message.kind is MessageKind.SETUP and current is AttemptState.UNSEEN and not fenced:
                attempts[message.attempt] = AttemptState.IN_FLIGHT
            if message.kind is MessageKind.CANCEL and current is not AttemptState.ESTABLISHED:
                attempts[message.attempt] = AttemptState.CLOSED
        return attempts


def _with_record(state: State, record: DialogRecord | None) -> State:
    return state if record is None else replace(state, known=record)


def _answer_caller(state: State, answer: str) -> Step:
    if state.now >= DEADLINE:
        return Step("no answer is sent after the caller's deadline", state)
    if state.answer and state.answer != answer:
        raise RuleViolationError(f"rule 1: the caller gets the answer {answer} after {state.answer}")
    return Step(f"the caller gets the answer {answer}", replace(state, answer=answer))


def _send_to_server(state: State, kind: MessageKind, attempt: int) -> Step:
    message = Message(kind, attempt, state.epoch)
    return Step(f"the proxy sends {message}", replace(state, to_server=(*state.to_server, message)))
