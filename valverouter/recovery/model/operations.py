"""The proxy's writes and sends, carried out one at a time; the rules are checked as each message leaves."""

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
    Omission,
    Operation,
    RuleViolationError,
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
    """Carries operations out, but for what `omitted` leaves out."""

    omitted: Omission | None = None

    def perform_next(self, state: State) -> Step:
        """The first operation that waits; RuleViolationError where it breaks a rule."""
        operation = state.operations[0]
        state = replace(state, operations=state.operations[1:])
        match operation:
            case WriteRecord(record, written):
                return Step(f"the proxy writes: {written.value}", replace(state, known=record, stored=record))
            case ForgetDialog():
                return Step("the proxy forgets the dialog", replace(state, known=None, stored=None))
            case StartReleaseDelay():
                return self._start_release_delay(state)
            case SendProvisional():
                return Step("the caller is told that its dialog was accepted", replace(state, accepted=True))
            case SendAnswer(answer, record):
                return _answer(_with_known(state, record), answer)
            case _:
                return self._send(state, operation)

    def _start_release_delay(self, state: State) -> Step:
        delay = 0 if self.omitted is Omission.RELEASE_DELAY else RELEASE_DELAY
        return Step("the release delay starts", replace(state, release_until=state.now + delay))

    def _send(self, state: State, operation: Operation) -> Step:
        match operation:
            case SendSetup(record):
                state = _with_known(state, record)
                self._check_setup(state, record.attempt)
                return _to_server(state, MessageKind.SETUP, record.attempt)
            case SendCancel(attempt, record):
                state = replace(_with_known(state, record), cancelled_at=state.now)
                return _to_server(state, MessageKind.CANCEL, attempt)
            case SendQuery(attempt):
                return _to_server(state, MessageKind.QUERY, attempt)
            case _:
                raise AssertionError(f"{operation} sends nothing")

    def _check_setup(self, state: State, attempt: int) -> None:
        if AttemptState.IN_FLIGHT in self._attempts_underway(state):
            raise RuleViolationError(f"rule 2: attempt {attempt} starts while another is in flight")
        since_cancel = state.now - state.cancelled_at
        if since_cancel < RELEASE_DELAY:
            raise RuleViolationError(f"rule 5: attempt {attempt} starts {since_cancel} after a cancel")

    def _attempts_underway(self, state: State) -> list[AttemptState]:
        """The server's attempts as they will be when everything sent so far has arrived."""
        attempts = list(state.attempts)
        newest_epoch = max(state.epoch, state.server_epoch)
        for message in (*state.to_server, *state.stale_to_server):
            fenced = self.omitted is not Omission.EPOCH_FENCE and message.epoch < newest_epoch
            present = attempts[message.attempt]
            if message.kind is MessageKind.SETUP and present is AttemptState.UNSEEN and not fenced:
                attempts[message.attempt] = AttemptState.IN_FLIGHT
            if message.kind is MessageKind.CANCEL and present is not AttemptState.ESTABLISHED:
                attempts[message.attempt] = AttemptState.CLOSED
        return attempts


def _with_known(state: State, record: DialogRecord | None) -> State:
    return state if record is None else replace(state, known=record)


def _answer(state: State, answer: str) -> Step:
    if state.now >= DEADLINE:
        return Step("the answer is withheld, being past the caller's deadline", state)
    if state.answer and state.answer != answer:
        raise RuleViolationError(f"rule 1: the caller is answered {answer} after {state.answer}")
    return Step(f"the caller is answered {answer}", replace(state, answer=answer))


def _to_server(state: State, kind: MessageKind, attempt: int) -> Step:
    message = Message(kind, attempt, state.epoch)
    return Step(f"the proxy sends {message}", replace(state, to_server=(*state.to_server, message)))
