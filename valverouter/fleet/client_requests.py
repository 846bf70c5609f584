"""A raft server's replies to operators' clients.

Only the leader answers, and only once a majority has confirmed that it led after the request came in; any
other node says whom it takes for the leader.
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
# The commands that clients may have executed; the others are the orchestrator's.
CLIENT_COMMANDS = (Submit, Cancel, HaltDisruptions, Retire)
# The answer to a command that yields nothing of its own.
DONE = {"done": True}

Reply = Callable[[str, ClientResponse], None]


class ClientRequestHandler:
    """Answers requests from the node's state; responses may come later, through the `reply` callback."""

    def __init__(self, node: ControlPlaneNode, reply: Reply) -> None:
        """`reply` sends a response to an address."""
        self._node = node
        self._reply = reply
        # The log index of each command proposed in this term of office, by the request's nonce.
        self._proposals: BoundedDict[int, int] = BoundedDict(MAX_REMEMBERED_PROPOSALS)
        # Encoded statuses that were sent, by the request's nonce.
        self._statuses: BoundedDict[int, bytes] = BoundedDict(MAX_REMEMBERED_STATUSES)

    def on_leadership_changed(self) -> None:
        """Forget the proposals: whether they get committed is not known any more."""
        self._proposals.clear()

    def on_request(self, source: str, request: ClientRequest) -> None:
        """Handle a request from the address `source`; a retry of it has the same nonce."""
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
        """Propose the command once per nonce, and answer retries once it is applied.

        A new request is proposed again although it may repeat an operation: what rejected it the first time
        may be over.
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
        """Answer every retry with the same bytes.

        A large fleet's status goes in many fragments; those that were lost could not be replaced by
        fragments of another status.
        """
        if request.nonce not in self._statuses:
            status = fleet_status(log, self._node, monotonic_ns(), request.operation)
            self._statuses[request.nonce] = msgspec.msgpack.encode(status)
        self._answer(source, request, msgspec.Raw(self._statuses[request.nonce]))

    def _answer(self, source: str, request: ClientRequest, answer: Any) -> None:
        name = self._node.name
        body = msgspec.Raw(msgspec.msgpack.encode(answer))
        self._reply(source, ClientResponse(request.nonce, name, True, name, body))
