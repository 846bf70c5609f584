"""Who is a member of the raft group: nodes announce their disks, and the leader admits and replaces them.

A node that lost its disk comes back with a new disk id. It may have forgotten votes, so it must not go on as
the same member: the former disk is removed first, then the new one is admitted.
"""

from __future__ import annotations

from typing import Any

from valverouter.rollout.control_plane_node import ControlPlaneNode
from valverouter.rollout.raft_membership import MembershipChangeError


class RaftMembershipReconciler:
    """Brings the group's members in line with the nodes in the configuration, one change at a time."""

    def __init__(self, node: ControlPlaneNode, configured: frozenset[str], logger: Any) -> None:
        """`configured` are the names of all nodes; `logger` is a bound structlog logger."""
        self._node = node
        self._configured = configured
        self._log = logger
        # The disk id that each node announced last.
        self._announced: dict[str, int] = {}

    def on_announcement(self, name: str, disk_id: int) -> None:
        """Record which disk a node runs on."""
        if name in self._configured:
            self._announced[name] = disk_id

    def reconcile(self, now: int) -> None:
        """As the leader, propose the first change that is needed, if any. `now` in ns."""
        if not self._node.is_leader:
            return
        members = dict(self._node.raft.configuration.members)
        for name, disk_id in self._announced.items():
            if members.get(name) != disk_id:
                self._propose_change(now, name, disk_id, is_member=name in members)
                return

    def _propose_change(self, now: int, name: str, disk_id: int, is_member: bool) -> None:
        raft = self._node.raft
        try:
            if is_member:
                raft.change_membership(now, name, None)
            else:
                raft.change_membership(now, "", (name, disk_id))
        except MembershipChangeError:
            return
        self._log.warning("raft-membership-changed", seat_named=name, disk=f"{disk_id:016x}")
