"""Selects the instances of an operation by names and selectors from the command line."""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from dataclasses import dataclass

from valverouter.rollout.operations import OperationKind
from valverouter.rollout.status import InstanceStatus

STATES = frozenset({"in", "out", "away", "drained"})


class SelectionError(ValueError):
    """A selector names an unknown instance, region, version or state, or no instance is selected."""


@dataclass(frozen=True, slots=True)
class Selection:
    """Names of instances, and selectors; an instance must match each kind of selector that is given.

    `everybody`: all instances of the kind. `servers`: servers instead of edge proxies.
    """

    names: tuple[str, ...]
    regions: tuple[str, ...]
    versions: tuple[str, ...]
    states: tuple[str, ...]
    servers: bool
    everybody: bool

    @property
    def has_selectors(self) -> bool:
        """Whether instances can be selected other than by name."""
        return bool(self.regions or self.states or self.versions or self.everybody)

    def matches(self, instance: InstanceStatus) -> bool:
        """Whether the instance is named, or matches all selectors that are given."""
        return instance.name in self.names or (
            self.has_selectors
            and (not self.regions or instance.region in self.regions)
            and (not self.states or instance.state in self.states)
            and (not self.versions or instance.desired_version in self.versions)
        )


def select_instances(
    instances: Sequence[InstanceStatus], kind: OperationKind, version: str, selection: Selection
) -> list[str]:
    """Returns the names of the selected instances to which the operation applies.

    Unless they are named, instances that already have the release's version and drained instances (for an
    undrain: those not drained) are omitted. Raises SelectionError if none is left.
    """
    instance_kind = "server" if selection.servers else "edge proxy"
    candidates = [instance for instance in instances if instance.kind == instance_kind]
    _check(selection, candidates, instance_kind)
    selected = [instance for instance in candidates if selection.matches(instance)]
    if kind is OperationKind.RELEASE:
        selected = [
            instance
            for instance in selected
            if instance.desired_version != version or instance.name in selection.names
        ]
    if not selection.names:
        is_undrain = kind is OperationKind.UNDRAIN
        selected = [instance for instance in selected if (instance.state == "drained") is is_undrain]
    if not selected:
        raise SelectionError("no instance is selected: give names, --region, --version, --state or --all")
    return [instance.name for instance in selected]


def _check(selection: Selection, candidates: list[InstanceStatus], instance_kind: str) -> None:
    _check_known("region", selection.regions, {instance.region for instance in candidates})
    _check_known("state", selection.states, STATES)
    _check_known("version", selection.versions, {instance.desired_version for instance in candidates})
    names = {instance.name for instance in candidates}
    for name in selection.names:
        if name not in names:
            raise SelectionError(f"there is no {instance_kind} {name!r}")


def _check_known(selector: str, values: Iterable[str], known: Iterable[str]) -> None:
    for value in values:
        if value not in known:
            listed = ", ".join(sorted(known)) or "none"
            raise SelectionError(f"no instance has {selector} {value!r}; known: {listed}")
