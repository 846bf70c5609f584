"""Matching of policy rules: of the rules that match a dialog, the most specific one sets each key.

A rule matches by traffic type and by route: called-number prefix, region, trunk group and server set.
An omitted attribute matches everything. A rule is more specific than another if the other one matches every
dialog that it matches. Two rules are ambiguous if they set the same key, some dialog matches both, and
neither is more specific; a configuration with ambiguous rules is rejected when it is loaded.
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from dataclasses import dataclass, fields
from itertools import combinations
from typing import Any


@dataclass(frozen=True, slots=True)
class DialogAttributes:
    """The attributes of a dialog that rules are matched against."""

    traffic_type: str
    called_number: str = ""
    region: str = ""
    trunk_group: str = ""
    server_set: str = ""


@dataclass(frozen=True, slots=True)
class MatchCondition:
    """The attributes that a rule requires of a dialog; None, or an empty prefix, matches any dialog."""

    traffic_type: str | None = None
    prefix: str = ""
    region: str | None = None
    trunk_group: str | None = None
    server_set: str | None = None

    def __str__(self) -> str:
        """The condition as messages about a configuration show it; operators may search for this text."""
        values = ", ".join(f"{name}={getattr(self, name)!r}" for name in _CONDITION_FIELDS)
        return f"When({values})"

    def matches(self, dialog: DialogAttributes) -> bool:
        """Whether the dialog meets the condition."""
        return dialog.called_number.startswith(self.prefix) and all(
            getattr(self, name) in (None, getattr(dialog, name)) for name in _EXACT_FIELDS
        )

    def covers(self, other: MatchCondition) -> bool:
        """Whether this condition matches every dialog that `other` matches."""
        return other.prefix.startswith(self.prefix) and all(
            getattr(self, name) in (None, getattr(other, name)) for name in _EXACT_FIELDS
        )

    def intersection(self, other: MatchCondition) -> MatchCondition | None:
        """The condition for exactly the dialogs that match both; None if no dialog can."""
        shorter, longer = sorted((self.prefix, other.prefix), key=len)
        if not longer.startswith(shorter):
            return None
        merged: dict[str, Any] = {"prefix": longer}
        for name in _EXACT_FIELDS:
            own, others = getattr(self, name), getattr(other, name)
            if own is not None and others is not None and own != others:
                return None
            merged[name] = others if own is None else own
        return MatchCondition(**merged)


_CONDITION_FIELDS = tuple(field.name for field in fields(MatchCondition))
_EXACT_FIELDS = tuple(name for name in _CONDITION_FIELDS if name != "prefix")


@dataclass(frozen=True, slots=True)
class PolicyRule:
    """One section of a configuration file: its condition, the values it sets by key, and its name."""

    condition: MatchCondition
    values: Mapping[str, Any]
    name: str


@dataclass(frozen=True, slots=True)
class EffectiveSetting:
    """The value of a key for a dialog, and its source: the name of a rule, or a position in a file."""

    value: Any
    source: str


@dataclass(frozen=True, slots=True)
class AmbiguousRules:
    """The names of two rules that set `key` for the dialogs of `overlap`; neither is more specific."""

    first: str
    second: str
    key: str
    overlap: MatchCondition


class AmbiguousRulesError(ValueError):
    """No matching rule is the most specific; raised only for rules that were not checked on loading."""


def resolve(rules: Sequence[PolicyRule], dialog: DialogAttributes) -> dict[str, EffectiveSetting]:
    """The effective setting of each key that any matching rule sets; raises AmbiguousRulesError."""
    settings: dict[str, EffectiveSetting] = {}
    for key in {key for rule in rules for key in rule.values}:
        matching = [rule for rule in rules if key in rule.values and rule.condition.matches(dialog)]
        if matching:
            rule = _most_specific(matching, key, dialog)
            settings[key] = EffectiveSetting(rule.values[key], rule.name)
    return settings


def _most_specific(matching: Sequence[PolicyRule], key: str, dialog: DialogAttributes) -> PolicyRule:
    most_specific = [
        rule for rule in matching if all(other.condition.covers(rule.condition) for other in matching)
    ]
    if len(most_specific) != 1:
        names = ", ".join(rule.name for rule in matching)
        raise AmbiguousRulesError(f"{key}: none of {names} is the most specific rule for {dialog}")
    return most_specific[0]


def intersection_closure(conditions: Sequence[MatchCondition], limit: int) -> list[MatchCondition]:
    """The conditions and all intersections of two or more of them.

    More than two are needed, since three sections together may break a constraint that no two of them break.
    Stops early, with an incomplete result, once there are more than `limit`.
    """
    closure = dict.fromkeys(conditions)
    unexpanded = list(closure)
    while unexpanded and len(closure) <= limit:
        condition = unexpanded.pop()
        for other in conditions:
            intersection = condition.intersection(other)
            if intersection is not None and intersection not in closure:
                closure[intersection] = None
                unexpanded.append(intersection)
    return list(closure)


def find_ambiguous_rules(rules: Sequence[PolicyRule]) -> list[AmbiguousRules]:
    """All ambiguous pairs of rules, except those that a third, more specific rule resolves."""
    ambiguous: list[AmbiguousRules] = []
    for first, second in combinations(rules, 2):
        overlap = first.condition.intersection(second.condition)
        if overlap is None or _is_ordered(first.condition, second.condition):
            continue
        for key in sorted(set(first.values) & set(second.values)):
            if first.condition == second.condition or not _is_resolved(rules, (first, second), key, overlap):
                ambiguous.append(AmbiguousRules(first.name, second.name, key, overlap))
    return ambiguous


def _is_ordered(first: MatchCondition, second: MatchCondition) -> bool:
    """Whether one of the conditions is more specific than the other."""
    return first.covers(second) != second.covers(first)


def _is_resolved(
    rules: Sequence[PolicyRule], pair: tuple[PolicyRule, PolicyRule], key: str, overlap: MatchCondition
) -> bool:
    """Whether another rule sets the key for exactly the dialogs that both rules of the pair match."""
    return any(
        key in rule.values and rule.condition == overlap
        for rule in rules
        if all(rule is not member for member in pair)
    )
