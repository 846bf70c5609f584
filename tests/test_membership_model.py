"""Tests of the explicit-state model of membership: its properties hold, and each protocol rule is needed."""

from __future__ import annotations

import pytest

from valverouter.membership.model import Model, PropertyViolationError, ProtocolRule


@pytest.mark.parametrize(
    ("model", "states"),
    [
        (Model(max_processes=2, max_accusations=1), 2681),
        (Model(max_processes=2, max_accusations=0, max_concurrent=2), 3601),
        (Model(max_processes=3, max_accusations=0), 16133),
    ],
)
def test_every_order_of_starts_ends_accusations_and_deliveries_keeps_the_properties(
    model: Model, states: int
) -> None:
    assert model.explore() == states, "as documented in docs/fleet.md"


@pytest.mark.parametrize("omitted", list(ProtocolRule))
def test_the_walk_notices_each_omitted_rule(omitted: ProtocolRule) -> None:
    max_concurrent = 2 if omitted in (ProtocolRule.VERIFY, ProtocolRule.TIE_BREAK) else 1
    model = Model(max_processes=2, max_accusations=1, max_concurrent=max_concurrent, omitted=omitted)
    with pytest.raises(PropertyViolationError):
        model.explore()
