"""Clients of the control plane: what they are told, also by a fleet too large for one burst."""

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

from tests.rollout_settings import KEEPER, SEAT, free_port, written
from valverouter.cli.__main__ import main
from valverouter.edge.surroundings import Sockets
from valverouter.fleet.fragmentation import BURST_FRAGMENTS, FRAGMENT_BYTES
from valverouter.fleet.messages import RequestKind
from valverouter.fleet.operations_client import OperationsClient
from valverouter.fleet.raft_server import RaftServer
from valverouter.ledger.raft_store import RaftStore
from valverouter.rollout.disruption_limits import Instance, InstanceKind
from valverouter.rollout.disruption_permits import EnrollInstances
from valverouter.rollout.operations import InstanceReported, OperationKind, Submit, SubmitResult
from valverouter.rollout.status import FleetStatus
from valverouter.terms.ini import FlawedTermsError
from valverouter.terms.rollout import ToolTerms, load_seat, load_tool


def test_a_client_reports_settings_without_nodes_and_an_unreachable_control_plane(tmp_path: Path) -> None:
    file = written(tmp_path, "[edge]\nname = e0\n")
    with pytest.raises(FlawedTermsError, match=r"neither a \[seat\] nor a \[keeper\]"):
        load_tool(file)
    with pytest.MonkeyPatch.context() as patch:
        patch.setattr("valverouter.cli.ordering.WITHIN_S", 0.2)
        done = CliRunner().invoke(main, ["fleet", "status", str(written(tmp_path, KEEPER))])
    assert done.exit_code == 3


@pytest.mark.parametrize("what", ["raft-server", "council", "supervisor", "keeper"])
def test_an_address_in_use_ends_the_start_with_exit_code_3(tmp_path: Path, what: str) -> None:
    taken = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    taken.bind(("127.0.0.1", 0))
    text = SEAT if what in ("raft-server", "council") else KEEPER
    listen = text[text.index("listen") :].splitlines()[0]
    file = written(tmp_path, text.replace(listen, f"listen = 127.0.0.1:{taken.getsockname()[1]}"))
    done = subprocess.run(
        [sys.executable, "-m", "valverouter.cli", "fleet", what, str(file)],
        capture_output=True,
        timeout=20,
        check=False,
    )
    taken.close()
    assert done.returncode == 3, done.stderr
    assert b"in use" in done.stderr, done.stderr


async def test_a_status_larger_than_a_burst_of_fragments_reaches_the_client(tmp_path: Path) -> None:
    """FleetStatus anew at each question, with other spans in it, the pieces of two answers never made one."""
    text = SEAT.replace(", c1 127.0.0.1:7001, c2 127.0.0.1:7002", "").replace("7000", str(free_port()))
    terms = load_seat(written(tmp_path, text))
    store = RaftStore(terms.store, 7)
    task = RaftServer(terms, Sockets(), store, bootstrap=True)
    async with trio.open_nursery() as nursery:
        await nursery.start(task.run)
        with trio.fail_after(5):
            while not task.node.raft.confirmed_round:
                await trio.sleep(0.05)
        names = [f"edge-{at}" for at in range(900)]
        units = tuple(Instance(name, InstanceKind.EDGE, "north", 100) for name in names)
        assert task.node.propose(round(trio.current_time() * 1e9), EnrollInstances(units))
        for name in names:
            task.node.propose(round(trio.current_time() * 1e9), InstanceReported(name, "v1", ("v1", "v2")))
        socket = Sockets().datagrams("127.0.0.1:0")
        asker = OperationsClient(ToolTerms(terms.keys, terms.council), socket, random.Random(1))
        shown = await asker.request(RequestKind.SHOW, None, FleetStatus, 15)
        assert shown is not None
        assert [unit.name for unit in shown.instances] == sorted(names)
        assert len(msgspec.msgpack.encode(shown)) > BURST_FRAGMENTS * FRAGMENT_BYTES
        refused = await asker.request(
            RequestKind.PLAN, Submit("a", OperationKind.RESTART, ("nobody",)), SubmitResult, 5
        )
        assert refused is not None
        assert refused.rejection == "nobody is not enrolled"
        nursery.cancel_scope.cancel()
    socket.close()
    store.close()
