"""The decisions of a running edge proxy. They add the resulting operations to the state."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass, replace

from valverouter.recovery.lifecycle import (
    ANSWER_ESTABLISHED,
    ANSWER_FAILED,
    ANSWER_REJECTED,
    DialogRecord,
    Phase,
    cancel_attempt,
    conclude,
    end_attempt,
    establish,
    start_attempt,
    take_over,
)
from valverouter.recovery.model.state import (
    CHANGED_AT,
    DEADLINE,
    MAX_ATTEMPTS,
    NO_RELEASE_DELAY,
    RELEASE_DELAY,
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
    timestamp,
)
from valverouter.recovery.plan import (
    PeerStatus,
    RecoveryAction,
    RecoveryPlan,
    plan_on_restart,
    plan_on_status,
)

# At this tick the final answer must be sent, and from it on no attempt starts.
LAST_TICK = DEADLINE - 1


@dataclass(frozen=True, slots=True)
class Proxy:
    """The proxy's decisions, without the `omitted` safeguard."""

    omitted: Safeguard | None = None

    def accept(self, record: DialogRecord) -> tuple[Operation, ...]:
        """Returns a new dialog's operations: its record, the provisional answer and the first attempt."""
        return (
            *self._write(record, Safeguard.ACCEPTED_RECORD),
            SendProvisional(),
            *self._next_attempt(record, 0),
        )

    # Sequences of operations: each write comes before the message that depends on it

    def _write(self, record: DialogRecord, safeguard: Safeguard) -> tuple[Operation, ...]:
        return () if safeguard is self.omitted else (WriteRecord(record, safeguard),)

    def _next_attempt(self, record: DialogRecord, now: int) -> tuple[Operation, ...]:
        """Returns the operations for the next attempt, or for a rejection if none is left."""
        attempt = record.attempt + 1
        if attempt >= MAX_ATTEMPTS or now >= LAST_TICK:
            return self._conclude(record, ANSWER_REJECTED)
        started = start_attempt(record, attempt, "s", 1, CHANGED_AT)
        return (*self._write(started, Safeguard.ATTEMPT_RECORD), SendSetup(started))

    def _conclude(self, record: DialogRecord, answer: str) -> tuple[Operation, ...]:
        concluded = conclude(record, answer, 0, CHANGED_AT)
        return (*self._write(concluded, Safeguard.ANSWER_RECORD), SendAnswer(answer, concluded))

    def _establish(self, record: DialogRecord) -> tuple[Operation, ...]:
        established = record if record.phase is Phase.ESTABLISHED else establish(record, CHANGED_AT)
        return (
            *self._write(established, Safeguard.ESTABLISHED_RECORD),
            SendAnswer(ANSWER_ESTABLISHED, established),
        )

    def _cancel(self, record: DialogRecord) -> tuple[Operation, ...]:
        cancelled = cancel_attempt(record, CHANGED_AT)
        return (
            *self._write(cancelled, Safeguard.CANCEL_RECORD),
            SendCancel(record.attempt, cancelled),
            StartReleaseDelay(),
        )

    # Restart and recovery

    def restart(self, state: State) -> Step:
        """Starts a new process, which reads the store and follows the plan for its record."""
        fresh = replace(state, is_running=True, epoch=state.epoch + 1, known=state.stored)
        if state.stored is None:
            if state.accepted and not state.answer and state.now < DEADLINE:
                raise RuleViolationError(
                    "rule 1: the caller got the provisional answer, and its dialog has no record"
                )
            return Step("the proxy restarts and finds no record", fresh)
        record = take_over(state.stored, fresh.epoch)
        fresh = replace(fresh, known=record)
        plan = plan_on_restart(record, timestamp(state.now), RELEASE_DELAY)
        return Step("the proxy restarts and reads its record", self._follow(fresh, record, plan))

    def _follow(self, state: State, record: DialogRecord, plan: RecoveryPlan) -> State:
        match plan.action:
            case RecoveryAction.FORGET:
                return _forget(state)
            case RecoveryAction.RESEND_ANSWER:
                return self._resend_answer(state, record)
            case RecoveryAction.RESEND_ANSWER_AND_END:
                return replace(state, operations=_answer_and_end(record), query_pending=False)
            case RecoveryAction.CONTINUE_ROUTING:
                waiting = record if record.phase is Phase.WAITING else end_attempt(record, CHANGED_AT)
                operations = self._next_attempt(waiting, state.now)
                return replace(state, operations=operations, query_pending=False)
            case RecoveryAction.QUERY_SERVER:
                if state.query_pending:
                    return state
                return replace(state, operations=(SendQuery(record.attempt),), query_pending=True)
            case RecoveryAction.CANCEL_ATTEMPT | RecoveryAction.AWAIT_RELEASE:
                if record.phase is Phase.WAITING:
                    return _forget(state)
                return replace(state, operations=self._cancel(record), query_pending=False)

    def _resend_answer(self, state: State, record: DialogRecord) -> State:
        if record.phase is Phase.CONCLUDED:
            return replace(state, operations=(SendAnswer(record.final_answer),))
        return replace(state, operations=self._establish(record), query_pending=False)

    def _on_status(self, state: State, record: DialogRecord, status: PeerStatus) -> State:
        plan = plan_on_status(record, status, True, DEADLINE - state.now, RELEASE_DELAY)
        return self._follow(state, record, plan)

    # Events

    def on_message(self, state: State, message: Message) -> State:
        """Handles a message from the server; ignores one that doesn't belong to the current attempt."""
        record = state.known
        if record is None or message.epoch != state.epoch or message.attempt != record.attempt:
            return state
        if message.status is not None:
            return self._on_status(state, record, message.status) if state.query_pending else state
        if record.phase is not Phase.IN_FLIGHT:
            return state
        if message.kind is MessageKind.ESTABLISHED:
            operations = self._establish(record)
        else:
            operations = self._next_attempt(end_attempt(record, CHANGED_AT), state.now)
        return replace(state, operations=operations, query_pending=False)

    def steps(self, state: State) -> Iterator[Step]:
        """Yields a step for each event that a running proxy without pending operations may handle next."""
        if state.to_proxy:
            message, rest = state.to_proxy[0], state.to_proxy[1:]
            received = self.on_message(replace(state, to_proxy=rest), message)
            yield Step(f"the proxy receives {message}", received)
        record = state.known
        if record is None:
            return
        if state.release_until != NO_RELEASE_DELAY and record.phase is Phase.CANCELLED:
            yield from self._release_delay_steps(state, record)
        if state.query_pending:
            yield Step("the status query times out", self._on_status(state, record, PeerStatus.NO_RESPONSE))
        elif record.phase is Phase.IN_FLIGHT and state.now < DEADLINE:
            timed_out = replace(state, operations=self._cancel(record))
            yield Step("the attempt times out", timed_out)

    def _release_delay_steps(self, state: State, record: DialogRecord) -> Iterator[Step]:
        if state.now >= state.release_until:
            operations = self._next_attempt(end_attempt(record, CHANGED_AT), state.now)
            released = replace(state, operations=operations, release_until=NO_RELEASE_DELAY)
            yield Step("the release delay is over", released)
        if state.now == LAST_TICK:
            operations = self._conclude(record, ANSWER_FAILED)
            out_of_time = replace(state, operations=operations, release_until=NO_RELEASE_DELAY)
            yield Step("the dialog is at its last tick before the deadline", out_of_time)


def crash(state: State) -> Step:
    """Kills the process: its memory and the messages in transit to it are lost."""
    after = replace(
        state,
        is_running=False,
        crashes=state.crashes + 1,
        operations=(),
        known=None,
        query_pending=False,
        release_until=NO_RELEASE_DELAY,
        stale_to_server=(*state.stale_to_server, *state.to_server),
        to_server=(),
        to_proxy=(),
    )
    return Step("the proxy crashes", after)


def _answer_and_end(record: DialogRecord) -> tuple[Operation, ...]:
    return SendCancel(record.attempt), SendAnswer(ANSWER_ESTABLISHED), ForgetDialog()


def _forget(state: State) -> State:
    return replace(state, known=None, stored=None, query_pending=False)
