"""Handling of operators' client requests by a raft server.

Only the leader answers, and only after a majority has confirmed that it was still the leader when the
request arrived; any other node replies with the leader that it knows of.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import msgspec

from valverouter.fleet.bounded_dict import BoundedDict
from valverouter.fleet.clock import monotonic_ns
from valverouter.fleet.messages import ClientRequest, ClientResponse, RequestKind
from valverouter.rollout.control_plane_node import ControlPlaneNode
from valverouter.rollout.disruption_permits import HaltDisruptions
from valverouter.rollout.operation_log import OperationLog
from valverouter.rollout.operation_planning import plan_operation
from valverouter.rollout.operations import Cancel, Command, Retire, Submit
from valverouter.rollout.status import fleet_status

MAX_REMEMBERED_PROPOSALS = 1_024
MAX_REMEMBERED_STATUSES = 16
# Commands that clients may submit; all others are reserved for the orchestrator.
CLIENT_COMMANDS = (Submit, Cancel, HaltDisruptions, Retire)
# The answer to a command without a result.
DONE = {"done": True}

Reply = Callable[[str, ClientResponse], None]


class ClientRequestHandler:
    """Handles requests with the node's state; responses are sent, possibly later, through `reply`."""

    def __init__(self, node: ControlPlaneNode, reply: Reply) -> None:
        """`reply` sends a response to an address."""
        self._node = node
        self._reply = reply
        # The log index of each command proposed during this leadership, by the request's nonce.
        self._proposals: BoundedDict[int, int] = BoundedDict(MAX_REMEMBERED_PROPOSALS)
        # Encoded statuses sent in response, by the request's nonce.
        self._statuses: BoundedDict[int, bytes] = BoundedDict(MAX_REMEMBERED_STATUSES)

    def on_leadership_changed(self) -> None:
        """Clears the proposals, since another leader may overwrite them before they are committed."""
        self._proposals.clear()

    def on_request(self, source: str, request: ClientRequest) -> None:
        """Handles a request from the address `source`; a retry of a request has the same nonce."""
        node, command = self._node, request.command
        if not node.is_leader:
            self._reply(source, ClientResponse(request.nonce, node.name, False, node.leader_id))
        elif request.kind == RequestKind.EXECUTE and isinstance(command, CLIENT_COMMANDS):
            self._execute(source, request, command)
        elif request.kind == RequestKind.PLAN and isinstance(command, Submit):
            self._plan(source, request, command)
        elif request.kind == RequestKind.SHOW:
            node.read(monotonic_ns(), lambda log: self._show(source, request, log))

    def _plan(self, source: str, request: ClientRequest, command: Submit) -> None:
        self._node.read(
            monotonic_ns(), lambda log: self._answer(source, request, plan_operation(log, command))
        )

    def _execute(self, source: str, request: ClientRequest, command: Command) -> None:
        """Proposes the command once per nonce, and answers retries after it has been applied.

        A request with a new nonce is proposed even if it repeats an operation, since the reason for which
        the operation was rejected may no longer apply.
        """
        index = self._proposals.get(request.nonce)
        if index is None:
            if self._node.propose(monotonic_ns(), command):
                self._proposals[request.nonce] = self._node.raft.last_log_index
        elif self._node.applied_index >= index:
            answer = self._result_of(command)
            if answer is not None:
                self._node.read(monotonic_ns(), lambda _: self._answer(source, request, answer))

    def _result_of(self, command: Command) -> Any:
        if isinstance(command, Submit):
            return self._node.answers.get(command.id)
        return DONE

    def _show(self, source: str, request: ClientRequest, log: OperationLog) -> None:
        """Answers every retry with the same bytes.

        The status of a large fleet takes many fragments, and lost ones can't be replaced by fragments of a
        different status.
        """
        if request.nonce not in self._statuses:
            status = fleet_status(log, self._node, monotonic_ns(), request.operation)
            self._statuses[request.nonce] = msgspec.msgpack.encode(status)
        self._answer(source, request, msgspec.Raw(self._statuses[request.nonce]))

    def _answer(self, source: str, request: ClientRequest, answer: Any) -> None:
        name = self._node.name
        body = msgspec.Raw(msgspec.msgpack.encode(answer))
        self._reply(source, ClientResponse(request.nonce, name, True, name, body))
