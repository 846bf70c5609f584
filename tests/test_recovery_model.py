"""The model check of recovery: no rule is violated, and omitting any one safeguard violates a rule."""

from __future__ import annotations

import pytest

from valverouter.recovery.lifecycle import DialogRecord, Timestamp
from valverouter.recovery.model import proxy as model_proxy
from valverouter.recovery.model.search import Model, explore
from valverouter.recovery.model.state import Safeguard
from valverouter.recovery.plan import PeerStatus as Status
from valverouter.recovery.plan import RecoveryAction as Action
from valverouter.recovery.plan import RecoveryPlan, plan_on_restart, plan_on_status


def test_no_sequence_of_steps_with_one_crash_breaks_a_rule() -> None:
    exploration = explore(Model(max_crashes=1))
    assert exploration.violation == []
    assert exploration.states > 20_000


@pytest.mark.parametrize("omitted", Safeguard, ids=lambda omitted: omitted.name.lower())
def test_omitting_any_write_or_safeguard_breaks_a_rule(omitted: Safeguard) -> None:
    violation = explore(Model(omitted)).violation
    assert violation
    assert violation[-1].startswith("rule"), "\n".join(violation)


def test_the_model_finds_two_former_faults_of_the_recovery_plans(monkeypatch: pytest.MonkeyPatch) -> None:
    """Checks that the model detects two former faults of the recovery plans.

    One took an old cancel as delivered and skipped the release delay. The other removed the record of an
    established dialog that had ended, although its caller might not have received the answer.
    """

    def without_release_delay(record: DialogRecord, now: Timestamp, release_delay: int) -> RecoveryPlan:
        plan = plan_on_restart(record, now, release_delay)
        is_release_wait = plan.action is Action.AWAIT_RELEASE
        return RecoveryPlan(Action.CONTINUE_ROUTING, plan.time_left) if is_release_wait else plan

    monkeypatch.setattr(model_proxy, "plan_on_restart", without_release_delay)
    violation = explore(Model(max_crashes=1)).violation
    assert violation[-1].startswith(("rule 2", "rule 5"))
    monkeypatch.undo()

    def without_answer(
        record: DialogRecord, status: Status, same_incarnation: bool, time_left: int, release_delay: int
    ) -> RecoveryPlan:
        plan = plan_on_status(record, status, same_incarnation, time_left, release_delay)
        return RecoveryPlan(Action.FORGET) if plan.action is Action.RESEND_ANSWER_AND_END else plan

    monkeypatch.setattr(model_proxy, "plan_on_status", without_answer)
    violation = explore(Model(max_crashes=2)).violation
    assert violation[-1].startswith(
        "rule 1: the caller got the provisional answer, and its dialog has no record"
    )
