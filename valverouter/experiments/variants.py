"""Baselines and ablations of the decisions, for experiments alone: the product never imports this.

A baseline stands in for the server rule or the retries of the module; an ablation takes one of its exceptions
away. Both change the module from outside, for the length of a run, and never by a switch in it.
"""

from __future__ import annotations

from collections.abc import Iterator, Mapping, Sequence
from contextlib import ExitStack, contextmanager
from dataclasses import dataclass, field
from typing import Any
from unittest.mock import patch

from valverouter import control
from valverouter.control import Control, Far, RetryBudget
from valverouter.driver import Driver
from valverouter.interface import CrossingRule, Deployment, Dialog, ListScope, ServerEntry, TrafficType


class _Baseline(Control):
    """Chooses among all servers that are in service and may take the type, by one figure alone."""

    def _open(self, kind: TrafficType) -> list[Far]:
        return [
            far
            for far in self._fars.values()
            if far.entry.in_service
            and (kind.server_numbers is None or far.entry.number in kind.server_numbers)
        ]


class AnyServer(_Baseline):
    """One drawn at random, whatever is known of it."""

    def _choose(self, dialog: Dialog, kind: TrafficType, tried: set[str]) -> Far | None:
        fars = self._open(kind)
        return fars[int(self._draw() * len(fars))] if fars else None


class FirstOnly(_Baseline):
    """The first choice, at every attempt."""

    def _choose(self, dialog: Dialog, kind: TrafficType, tried: set[str]) -> Far | None:
        return next((far for far in self._open(kind) if far.entry.number == dialog.first_choice), None)


class LeastWait(_Baseline):
    """The least wait known; of equal ones the first choice, else drawn."""

    def _choose(self, dialog: Dialog, kind: TrafficType, tried: set[str]) -> Far | None:
        return min(
            self._open(kind),
            key=lambda far: (far.wait(self.now), far.entry.number != dialog.first_choice, self._draw()),
            default=None,
        )


class TwoDrawn(_Baseline):
    """The first choice, and after it the lower wait of two drawn; nothing else is looked at."""

    def _choose(self, dialog: Dialog, kind: TrafficType, tried: set[str]) -> Far | None:
        fars = self._open(kind)
        first = next((far for far in fars if far.entry.number == dialog.first_choice), None)
        if first is not None and first.entry.id not in tried:
            return first
        if not fars:
            return None
        two = [fars[int(self._draw() * len(fars))] for _ in range(2)]
        return min(two, key=lambda far: far.wait(self.now))


class _Endless(RetryBudget):
    @property
    def allows_retry(self) -> bool:
        return True


class WithoutBudget(Control):
    """The module, its retries never throttled."""

    def server_list(self, scope: ListScope, entries: Sequence[ServerEntry]) -> None:
        super().server_list(scope, entries)
        for far in self._fars.values():
            if not isinstance(far.budget, _Endless):
                far.budget = _Endless()


class WithoutColdTurns(Control):
    """The module, without turns at cold servers: it may break rule 4."""

    def _cold_turn(self, far: Far) -> bool:
        return True


class WithoutRoom(Control):
    """The module, sending on all that it passes by."""

    def _finds_room(self, *args: Any) -> bool:
        return True

    def _room(self, far: Far) -> float:
        return 1.0


@dataclass(frozen=True, slots=True)
class Variant:
    """One form of the decisions: what runs, and what of the module's values is other than it is."""

    name: str
    rule: type[Control] = Control
    values: Mapping[str, Any] = field(default_factory=dict)

    @contextmanager
    def acts(self) -> Iterator[None]:
        """The module's values, for the length of a run."""
        with ExitStack() as stack:
            for name, value in self.values.items():
                stack.enter_context(patch.object(control, name, value))
            yield

    def build(
        self, deployment: Deployment, seed: int, now: int, crossing: CrossingRule | None = None
    ) -> Driver:
        driver = Driver(deployment, seed, now, crossing)
        if self.rule is not Control:
            driver.control = self.rule(deployment, seed, now, crossing)
        return driver


def _fixed_wait(retry: int, draw: float, least: int, base: int = 0, cap: int = 0) -> int:
    return max(least, control.RETRY_BASE)


ENDLESS = 1e9
VARIANTS = {
    variant.name: variant
    for variant in (
        Variant("module"),
        Variant("any-server", AnyServer),
        Variant("first-only", FirstOnly),
        Variant("least-wait", LeastWait),
        Variant("two-drawn", TwoDrawn),
        Variant("without-budget", WithoutBudget),
        Variant("fixed-waits", values={"retry_wait": _fixed_wait}),
        Variant("without-cold-turns", WithoutColdTurns),
        Variant("without-room", WithoutRoom),
        Variant(
            "without-window",
            values={"WINDOW_FIRST": ENDLESS, "WINDOW_LEAST": ENDLESS, "WINDOW_MOST": ENDLESS},
        ),
        Variant("without-turns-in-news", values={"NEWS_FADES_TURNS": 0, "NO_AGENT_HOLDS_TURNS": 0}),
        Variant("without-shunning", values={"SHUN_BASE": 0, "SHUN_BASE_TURNS": 0}),
        Variant("without-overtaken", values={"OVERTAKEN_BY": 1 << 62}),
        Variant("late-come-back", values={"COME_BACK": control.SECOND}),
        Variant("never-told-back", values={"COME_BACK": 0}),
    )
}
BASELINES = ("any-server", "first-only", "least-wait", "two-drawn")


def variant(level: str) -> Variant:
    """A variant by its name, and after it values of the module that are other: `module NEWS_FADES_TURNS=2`.

    ValueError names what is not known; a value must be a number where the module has one.
    """
    name, *changes = level.split()
    if name not in VARIANTS:
        raise ValueError(f"{name!r}: known are {', '.join(VARIANTS)}")
    values = dict(VARIANTS[name].values)
    for change in changes:
        key, _, text = change.partition("=")
        was = getattr(control, key, None)
        if not key.isupper() or not isinstance(was, int | float):
            raise ValueError(f"{key!r} is no figure of the decisions")
        try:
            values[key] = type(was)(text)
        except ValueError:
            raise ValueError(f"{change!r}: {key} is {type(was).__name__}, now {was}") from None
    return Variant(level, VARIANTS[name].rule, values)
