"""Single-member changes of a Raft group's membership (Ongaro's thesis, 4.1).

If only one member changes at a time, any majority before the change and any majority after it have a member
in common. A change therefore needs no joint consensus.
"""

from __future__ import annotations

from collections.abc import Iterable

from valverouter.rollout.raft_log import Configuration, LogEntry


class MembershipChangeError(Exception):
    """A membership change was rejected; the message says why."""


def changed_configuration(
    current: Configuration, uncommitted: Iterable[LogEntry], remove: str, add: tuple[str, int] | None
) -> Configuration:
    """The membership without the member named `remove`, or with `add`, a pair of name and disk id.

    Raises MembershipChangeError if the `uncommitted` entries contain an earlier change, if no member or more
    than one would change, if the last member would be removed, or if the name to add is a member already.
    """
    if any(isinstance(entry.command, Configuration) for entry in uncommitted):
        raise MembershipChangeError("another change is under way")
    if remove and add:
        raise MembershipChangeError("one change at a time: first in, then out")
    changed = _without(current, remove) if add is None else _with(current, add)
    if changed == current:
        raise MembershipChangeError("that changes nothing")
    if not changed.members:
        raise MembershipChangeError("the last member stays")
    return changed


def _without(current: Configuration, name: str) -> Configuration:
    return Configuration(tuple(member for member in current.members if member[0] != name))


def _with(current: Configuration, member: tuple[str, int]) -> Configuration:
    name, _ = member
    if name in current.names:
        raise MembershipChangeError(f"{name} is a member, with another disk: it must go first")
    return Configuration((*current.members, member))
