"""The conditions that open and close the spillover gate."""

from __future__ import annotations

from valverouter.regions import spillover_gate
from valverouter.regions.spillover_gate import SpilloverGate

MS, SECOND = 10**6, 10**9
START = 10**18


def test_the_gate_opens_by_fraction_and_closes_after_the_healthy_period() -> None:
    gate, now = SpilloverGate(), START
    for at in range(40):
        gate.on_selection(now + at * 100 * MS, at % 20 != 19)
    assert not gate.allows(now + 4 * SECOND), "one dialog in twenty is below the threshold"
    now += 10 * SECOND
    for at in range(20):
        gate.on_selection(now + at * 100 * MS, at % 3 != 0)
    assert gate.allows(now + 2 * SECOND)
    assert gate.allows(now + 2 * SECOND + spillover_gate.MIN_HEALTHY_PERIOD - 200 * MS)
    assert not gate.allows(now + 2 * SECOND + spillover_gate.MIN_HEALTHY_PERIOD)


def test_the_gate_opens_at_the_first_failure_when_dialogs_are_few() -> None:
    gate = SpilloverGate()
    gate.on_selection(START, True)
    gate.on_selection(START + 5 * SECOND, False)
    assert gate.allows(START + 5 * SECOND)


def test_a_flapping_fault_does_not_make_the_gate_flap() -> None:
    # No home server is available for half a second in every three seconds, for two minutes.
    gate = SpilloverGate()
    for at in range(1_200):
        now = START + at * 100 * MS
        gate.on_selection(now, at % 30 >= 5)
        gate.allows(now)
    assert gate.openings <= 4
