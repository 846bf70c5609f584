"""The Raft server process: its start, and requests of operators' clients."""

from __future__ import annotations

import random
import socket
import subprocess
import sys
from pathlib import Path

import msgspec
import pytest
import trio
from click.testing import CliRunner

from tests.rollout_settings import RAFT_SERVER, SUPERVISOR, free_port, write_settings
from valverouter.cli.__main__ import main
from valverouter.config.ini import InvalidConfigError
from valverouter.config.rollout import FleetClientConfig, load_fleet_client, load_raft_server
from valverouter.edge.sockets import SocketRuntime
from valverouter.fleet.fragmentation import BURST_FRAGMENTS, FRAGMENT_BYTES
from valverouter.fleet.messages import RequestKind
from valverouter.fleet.operations_client import OperationsClient
from valverouter.fleet.raft_server import RaftServer
from valverouter.ledger.raft_store import RaftStore
from valverouter.rollout.disruption_limits import Instance, InstanceKind
from valverouter.rollout.disruption_permits import EnrollInstances
from valverouter.rollout.operations import InstanceReported, OperationKind, Submit, SubmitResult
from valverouter.rollout.status import FleetStatus


@pytest.mark.parametrize("command", ["raft-server", "council", "supervisor", "keeper"])
def test_start_fails_with_exit_code_3_if_the_address_is_in_use(tmp_path: Path, command: str) -> None:
    bound = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    bound.bind(("127.0.0.1", 0))
    text = RAFT_SERVER if command in ("raft-server", "council") else SUPERVISOR
    listen = text[text.index("listen") :].splitlines()[0]
    file = write_settings(tmp_path, text.replace(listen, f"listen = 127.0.0.1:{bound.getsockname()[1]}"))
    result = subprocess.run(
        [sys.executable, "-m", "valverouter.cli", "fleet", command, str(file)],
        capture_output=True,
        timeout=20,
        check=False,
    )
    bound.close()
    assert result.returncode == 3, result.stderr
    assert b"in use" in result.stderr, result.stderr


async def test_a_client_receives_a_status_larger_than_one_burst_of_fragments(tmp_path: Path) -> None:
    """Retries must get the same bytes: with updated ages, fragments of several could not be combined."""
    text = RAFT_SERVER.replace(", c1 127.0.0.1:7001, c2 127.0.0.1:7002", "").replace("7000", str(free_port()))
    terms = load_raft_server(write_settings(tmp_path, text))
    store = RaftStore(terms.store, 7)
    server = RaftServer(terms, SocketRuntime(), store, bootstrap=True)
    async with trio.open_nursery() as nursery:
        await nursery.start(server.run)
        with trio.fail_after(5):
            while not server.node.raft.confirmed_round:
                await trio.sleep(0.05)
        names = [f"edge-{number}" for number in range(900)]
        instances = tuple(Instance(name, InstanceKind.EDGE, "north", 100) for name in names)
        assert server.node.propose(round(trio.current_time() * 1e9), EnrollInstances(instances))
        for name in names:
            server.node.propose(round(trio.current_time() * 1e9), InstanceReported(name, "v1", ("v1", "v2")))
        socket = SocketRuntime().bind_datagrams("127.0.0.1:0")
        client = OperationsClient(FleetClientConfig(terms.keys, terms.council), socket, random.Random(1))
        status = await client.request(RequestKind.SHOW, None, FleetStatus, 15)
        assert status is not None
        assert [instance.name for instance in status.instances] == sorted(names)
        assert len(msgspec.msgpack.encode(status)) > BURST_FRAGMENTS * FRAGMENT_BYTES
        result = await client.request(
            RequestKind.PLAN, Submit("a", OperationKind.RESTART, ("nobody",)), SubmitResult, 5
        )
        assert result is not None
        assert result.rejection == "nobody is not enrolled"
        nursery.cancel_scope.cancel()
    socket.close()
    store.close()


def test_a_client_reports_a_file_without_servers_and_an_unreachable_control_plane(tmp_path: Path) -> None:
    file = write_settings(tmp_path, "[edge]\nname = e0\n")
    with pytest.raises(InvalidConfigError, match=r"neither a \[seat\] nor a \[keeper\]"):
        load_fleet_client(file)
    with pytest.MonkeyPatch.context() as patch:
        patch.setattr("valverouter.cli.operation_requests.TIMEOUT_S", 0.2)
        result = CliRunner().invoke(main, ["fleet", "status", str(write_settings(tmp_path, SUPERVISOR))])
    assert result.exit_code == 3
