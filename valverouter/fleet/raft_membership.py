"""Membership of the raft group: nodes announce their disk ids, and the leader adds and replaces members.

A node that lost its disk restarts with a new disk id. It may have lost votes that it cast, so it must not
continue as the same member: the member with the former disk id is removed before the new one is added.
"""

from __future__ import annotations

from typing import Any

from valverouter.rollout.control_plane_node import ControlPlaneNode
from valverouter.rollout.raft_membership import MembershipChangeError


class RaftMembershipReconciler:
    """Reconciles the group's members with the announcements of configured nodes, one change at a time."""

    def __init__(self, node: ControlPlaneNode, configured: frozenset[str], logger: Any) -> None:
        """`configured`: the names of all configured nodes; `logger`: a bound structlog logger."""
        self._node = node
        self._configured = configured
        self._log = logger
        # The last announced disk id of each node.
        self._announced: dict[str, int] = {}

    def on_announcement(self, name: str, disk_id: int) -> None:
        """Records the disk id of a node; ignores nodes that are not configured."""
        if name in self._configured:
            self._announced[name] = disk_id

    def reconcile(self, now: int) -> None:
        """Proposes the first change that is needed, if this node is the leader. `now` in ns."""
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
