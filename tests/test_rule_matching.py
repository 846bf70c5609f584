"""The most specific rule sets each key, and ambiguous rules are found."""

from __future__ import annotations

from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st

from valverouter.attempts.matching import (
    AmbiguousRulesError,
    DialogAttributes,
    EffectiveSetting,
    MatchCondition,
    PolicyRule,
    find_ambiguous_rules,
    resolve,
)


def rule(name: str, legs: int = 0, **condition: Any) -> PolicyRule:
    return PolicyRule(MatchCondition(**condition), {"legs": legs}, name)


RULES = [
    rule("all", 3),
    rule("urgent", 4, traffic_type="urgent"),
    rule("sofia", 2, prefix="2"),
    rule("hospital", 5, prefix="2912"),
    rule("urgent sofia", 6, traffic_type="urgent", prefix="2"),
    rule("urgent hospital", 1, traffic_type="urgent", prefix="2912"),
]


@pytest.mark.parametrize(
    ("kind", "number", "name"),
    [
        ("plain", "77", "all"),
        ("urgent", "77", "urgent"),
        ("plain", "21", "sofia"),
        ("plain", "291234", "hospital"),
        ("urgent", "21", "urgent sofia"),
        ("urgent", "29123", "urgent hospital"),
    ],
)
def test_the_most_specific_rule_wins(kind: str, number: str, name: str) -> None:
    found = resolve(RULES, DialogAttributes(kind, number))["legs"]
    assert found == EffectiveSetting(next(r.values["legs"] for r in RULES if r.name == name), name)
    assert find_ambiguous_rules(RULES) == []


def test_each_key_is_resolved_by_itself() -> None:
    rules = [
        PolicyRule(MatchCondition(), {"legs": 3, "objective": 9}, "all"),
        PolicyRule(MatchCondition(prefix="2"), {"legs": 2}, "two"),
    ]
    found = resolve(rules, DialogAttributes("plain", "2"))
    assert found == {"legs": EffectiveSetting(2, "two"), "objective": EffectiveSetting(9, "all")}


def test_ambiguous_rules_are_found_with_their_overlap() -> None:
    overlapping = [rule("urgent", traffic_type="urgent"), rule("sofia", prefix="2")]
    (ambiguity,) = find_ambiguous_rules(overlapping)
    assert (ambiguity.first, ambiguity.second, ambiguity.overlap) == (
        "urgent",
        "sofia",
        MatchCondition("urgent", "2"),
    )
    with pytest.raises(AmbiguousRulesError):
        resolve(overlapping, DialogAttributes("urgent", "2"))
    assert find_ambiguous_rules([*overlapping, rule("both", traffic_type="urgent", prefix="2")]) == []
    assert len(find_ambiguous_rules([rule("one", region="a"), rule("two", region="a")])) == 1
    assert find_ambiguous_rules([rule("one", region="a"), rule("two", region="b")]) == []
    assert find_ambiguous_rules([rule("one", prefix="21"), rule("two", prefix="22")]) == []


conditions = st.builds(
    MatchCondition,
    st.none() | st.sampled_from("ab"),
    st.sampled_from(["", "2", "21", "3"]),
    st.none() | st.sampled_from("xy"),
)


@given(st.lists(conditions, max_size=6))
def test_unambiguous_rules_resolve_for_every_dialog(conditions: list[MatchCondition]) -> None:
    rules = [PolicyRule(condition, {"legs": at}, str(at)) for at, condition in enumerate(conditions)]
    dialogs = [
        DialogAttributes(kind, number, region)
        for kind in "abc"
        for number in ("2", "21", "3", "4")
        for region in "xyz"
    ]
    is_ambiguous = False
    for dialog in dialogs:
        try:
            resolve(rules, dialog)
        except AmbiguousRulesError:
            is_ambiguous = True
    assert is_ambiguous <= bool(find_ambiguous_rules(rules))
