"""Which instances an operation of the command line is meant for."""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from dataclasses import dataclass

from valverouter.rollout.operations import OperationKind
from valverouter.rollout.status import InstanceStatus

STATES = frozenset({"in", "out", "away", "drained"})


class SelectionError(ValueError):
    """A selector means an instance, region, version or state that is not there, or nobody at all."""


@dataclass(frozen=True, slots=True)
class Selection:
    """Instances by name, and all that match each kind of selector that was given."""

    names: tuple[str, ...]
    regions: tuple[str, ...]
    versions: tuple[str, ...]
    states: tuple[str, ...]
    servers: bool
    everybody: bool

    @property
    def has_selectors(self) -> bool:
        """Whether instances are meant that are not named."""
        return bool(self.regions or self.states or self.versions or self.everybody)

    def matches(self, instance: InstanceStatus) -> bool:
        """Whether the instance is named, or all selectors that were given mean it."""
        return instance.name in self.names or (
            self.has_selectors
            and (not self.regions or instance.region in self.regions)
            and (not self.states or instance.state in self.states)
            and (not self.versions or instance.desired_version in self.versions)
        )


def select_instances(
    instances: Sequence[InstanceStatus], kind: OperationKind, version: str, selection: Selection
) -> list[str]:
    """Names of the selected instances that the operation has something to do with.

    Those that a release has brought to its version before, and those that are drained (for an undrain: that
    are not), are left out unless they are named. Raises SelectionError where nobody is left.
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
        raise SelectionError("that means nobody: give names, --region, --version, --state or --all")
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
            raise SelectionError(f"nobody is of {selector} {value!r}; known: {listed}")
