"""Which attempt terms a dialog gets: of the rules that match it, the most specific one that sets each key.

A rule matches by traffic type and route: called-number prefix, region, trunk group, server set; what it
leaves out matches all. One rule is more specific than another when everything that it matches the other
matches too. Two rules that set the same key, both match a dialog, and are neither the more specific, are a
tie: an error at load.
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from dataclasses import dataclass, fields
from typing import Any


@dataclass(frozen=True, slots=True)
class Asked:
    """What of a dialog decides on its terms."""

    traffic_type: str
    number: str = ""
    region: str = ""
    trunk_group: str = ""
    server_set: str = ""


@dataclass(frozen=True, slots=True)
class When:
    """What a rule asks of a dialog; None, or no prefix, asks nothing."""

    traffic_type: str | None = None
    prefix: str = ""
    region: str | None = None
    trunk_group: str | None = None
    server_set: str | None = None

    def matches(self, asked: Asked) -> bool:
        return asked.number.startswith(self.prefix) and all(
            getattr(self, name) in (None, getattr(asked, name)) for name in NAMES
        )

    def covers(self, other: When) -> bool:
        """Whether this matches all that the other matches."""
        return other.prefix.startswith(self.prefix) and all(
            getattr(self, name) in (None, getattr(other, name)) for name in NAMES
        )

    def meet(self, other: When) -> When | None:
        """What matches exactly the dialogs that both match; None where there can be none."""
        one, two = sorted((self.prefix, other.prefix), key=len)
        if not two.startswith(one):
            return None
        both: dict[str, Any] = {"prefix": two}
        for name in NAMES:
            mine, theirs = getattr(self, name), getattr(other, name)
            if mine is not None and theirs is not None and mine != theirs:
                return None
            both[name] = theirs if mine is None else mine
        return When(**both)


NAMES = tuple(field.name for field in fields(When) if field.name != "prefix")


@dataclass(frozen=True, slots=True)
class Rule:
    """One section of a file: what it matches, the keys that it sets, and its name there."""

    when: When
    values: Mapping[str, Any]
    name: str


@dataclass(frozen=True, slots=True)
class Effective:
    """A key's value for a dialog, and the rule that it comes from."""

    value: Any
    rule: str


@dataclass(frozen=True, slots=True)
class Tie:
    """Two rules that set a key for the same dialogs, neither the more specific."""

    one: str
    two: str
    key: str
    where: When


class TieError(ValueError):
    """No rule is the most specific; only files that were not checked can raise it."""


def resolve(rules: Sequence[Rule], asked: Asked) -> dict[str, Effective]:
    """The effective value of each key that any matching rule sets."""
    found: dict[str, Effective] = {}
    for key in {key for rule in rules for key in rule.values}:
        setting = [rule for rule in rules if key in rule.values and rule.when.matches(asked)]
        most = [one for one in setting if all(other.when.covers(one.when) for other in setting)]
        if setting and len(most) != 1:
            raise TieError(f"{key}: {', '.join(rule.name for rule in setting)} tie for {asked}")
        if most:
            found[key] = Effective(most[0].values[key], most[0].name)
    return found


def closure(whens: Sequence[When], most: int) -> list[When]:
    """All that some of these match together, themselves included; ends past `most`, being then of no use.

    What three sections set may break a rule that no two of them break.
    """
    found = dict.fromkeys(whens)
    waiting = list(found)
    while waiting and len(found) <= most:
        one = waiting.pop()
        for other in whens:
            both = one.meet(other)
            if both is not None and both not in found:
                found[both] = None
                waiting.append(both)
    return list(found)


def ties(rules: Sequence[Rule]) -> list[Tie]:
    """All pairs that can tie, but those that a third rule settles by being more specific than both there."""
    found: list[Tie] = []
    for at, one in enumerate(rules):
        for two in rules[at + 1 :]:
            both = one.when.meet(two.when)
            if both is None or (one.when.covers(two.when) != two.when.covers(one.when)):
                continue
            for key in sorted(set(one.values) & set(two.values)):
                settled = any(
                    key in third.values and third.when == both
                    for third in rules
                    if third is not one and third is not two
                )
                if not settled or one.when == two.when:
                    found.append(Tie(one.name, two.name, key, both))
    return found
